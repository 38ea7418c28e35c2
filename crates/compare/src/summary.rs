//! Condenses the results of a run into latency percentiles, counts and rates.

use std::time;

use slipturn_core::{histogram, units};
use slipturn_load::{arrivals, report};

use crate::{policy_run, scenario};

/// Latency and throughput of a run. Only completed requests count in the times to first token.
#[derive(Debug, Clone, PartialEq)]
pub struct RunSummary {
    /// Time to first token by band (range of prompt lengths): percentiles 50, 95 and 99 in
    /// milliseconds.
    pub bands: Vec<(&'static str, [f64; 3])>,
    /// Time to first token of prompts of up to 2,000 tokens, percentiles as in `bands`.
    pub short_prompts: [f64; 3],
    /// Time to first token of the small customers other than the one to which
    /// [`scenario::RunScenario::flood_factor`] applies, percentiles as in `bands`.
    pub other_small_customers: [f64; 3],
    /// Number of requests that arrived.
    pub requests: usize,
    /// Number of requests whose output was generated completely.
    pub completed: usize,
    /// Number of requests that were refused at placement or while they waited in a queue.
    pub refused: usize,
    /// Number of requests that were admitted but timed out or lost their engine.
    pub failed: usize,
    /// Share of admitted requests with prompts over 100,000 tokens that completed.
    pub long_completion_share: f64,
    /// Prompt and output tokens of completed requests, divided by [`scenario::RunScenario::length`]
    /// in seconds.
    pub goodput: f64,
    /// Longest time from arrival to refusal, in milliseconds.
    pub slowest_refusal_ms: f64,
    /// Mean number of attempts per request, without attempts that reached no engine.
    pub attempts_per_request: f64,
}

/// Computes the summary of a run from `results`, which must hold every request of the run.
pub fn summarize(
    scenario: &scenario::RunScenario,
    results: &[policy_run::RequestResult],
) -> RunSummary {
    let first_token_percentiles = |matches_filter: &dyn Fn(&arrivals::Arrival) -> bool| {
        let matching = results.iter().filter(|result| matches_filter(&result.arrival));
        let first_tokens = matching.filter_map(|result| match result.outcome {
            policy_run::RequestOutcome::Completed(first_token, _) => Some(first_token),
            _ => None,
        });
        report::percentiles(first_tokens.collect())
    };
    let band_percentiles = |name: &'static str| {
        let matches_filter = move |arrival: &arrivals::Arrival| {
            histogram::band_name(units::TokenCount(arrival.prompt)) == name
        };
        (name, first_token_percentiles(&matches_filter))
    };
    let count = |matches_filter: &dyn Fn(&policy_run::RequestResult) -> bool| {
        results.iter().filter(|result| matches_filter(result)).count()
    };
    let is_completed = |result: &policy_run::RequestResult| {
        matches!(result.outcome, policy_run::RequestOutcome::Completed(..))
    };
    let is_refused = |result: &policy_run::RequestResult| {
        matches!(result.outcome, policy_run::RequestOutcome::Refused(_))
    };
    let is_long =
        |result: &policy_run::RequestResult| result.arrival.prompt > arrivals::LONG_PROMPT_TOKENS;
    let admitted_long = count(&|result| is_long(result) && !is_refused(result));
    let useful_tokens: u64 = results
        .iter()
        .filter(|result| is_completed(result))
        .map(|result| result.arrival.prompt + result.arrival.output)
        .sum();
    let refusal_times = results.iter().filter_map(|result| match result.outcome {
        policy_run::RequestOutcome::Refused(time_to_refusal) => Some(time_to_refusal),
        _ => None,
    });
    let attempts: u32 = results.iter().map(|result| result.attempts).sum();
    RunSummary {
        bands: histogram::BAND_BOUNDS.iter().map(|(_, name)| band_percentiles(name)).collect(),
        short_prompts: first_token_percentiles(&|arrival| {
            arrival.prompt <= scenario::SHORT_PROMPT_TOKENS
        }),
        // Customers 0 to 2 are the large ones; `flood_factor` applies to customer 3.
        other_small_customers: first_token_percentiles(&|arrival| arrival.key > 3),
        requests: results.len(),
        completed: count(&is_completed),
        refused: count(&is_refused),
        failed: results.len() - count(&is_completed) - count(&is_refused),
        long_completion_share: count(&|result| is_long(result) && is_completed(result)) as f64
            / (admitted_long as f64).max(1.0),
        goodput: useful_tokens as f64 / scenario.length.as_secs_f64(),
        slowest_refusal_ms: refusal_times.max().unwrap_or(time::Duration::ZERO).as_secs_f64()
            * 1_000.0,
        attempts_per_request: f64::from(attempts) / (results.len() as f64).max(1.0),
    }
}
