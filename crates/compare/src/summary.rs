//! Figures of a run.

use std::time;

use slipturn_core::{histogram, units};
use slipturn_load::{arrivals, report};

use crate::{policy_run, scenario};

/// Figures of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunSummary {
    /// Time to first token by length band, percentiles 50, 95 and 99 in milliseconds.
    pub bands: Vec<(&'static str, [f64; 3])>,
    /// The same for prompts up to 2,000 tokens.
    pub short_prompts: [f64; 3],
    /// The same for the other small customers, beside the one that may flood.
    pub other_small_customers: [f64; 3],
    /// Requests.
    pub requests: usize,
    /// Whole answers.
    pub completed: usize,
    /// Refusals.
    pub refused: usize,
    /// Admitted and not finished in time, or cut.
    pub failed: usize,
    /// Share of admitted prompts over 100,000 tokens that ended whole.
    pub long_completion_share: f64,
    /// Prompt and output tokens of whole answers, a second of the run.
    pub goodput: f64,
    /// Longest time to a refusal, in milliseconds.
    pub slowest_refusal_ms: f64,
    /// Attempts for each request.
    pub attempts_per_request: f64,
}

/// Sums a run up.
pub fn summarize(
    scenario: &scenario::RunScenario,
    results: &[policy_run::RequestResult],
) -> RunSummary {
    let first_tokens = |matches_filter: &dyn Fn(&arrivals::Arrival) -> bool| {
        let completed = results.iter().filter(|result| matches_filter(&result.arrival));
        let completed = completed.filter_map(|result| match result.outcome {
            policy_run::RequestOutcome::Completed(first_token, _) => Some(first_token),
            _ => None,
        });
        report::percentiles(completed.collect())
    };
    let band = |name: &'static str| {
        let matches_filter = move |arrival: &arrivals::Arrival| {
            histogram::band_name(units::TokenCount(arrival.prompt)) == name
        };
        (name, first_tokens(&matches_filter))
    };
    let count = |matches_filter: &dyn Fn(&policy_run::RequestResult) -> bool| {
        results.iter().filter(|result| matches_filter(result)).count()
    };
    let completed = |result: &policy_run::RequestResult| {
        matches!(result.outcome, policy_run::RequestOutcome::Completed(..))
    };
    let refused = |result: &policy_run::RequestResult| {
        matches!(result.outcome, policy_run::RequestOutcome::Refused(_))
    };
    let long =
        |result: &policy_run::RequestResult| result.arrival.prompt > arrivals::LONG_PROMPT_TOKENS;
    let admitted_long = count(&|result| long(result) && !refused(result));
    let useful: u64 = results
        .iter()
        .filter(|result| completed(result))
        .map(|result| result.arrival.prompt + result.arrival.output)
        .sum();
    let slowest = results.iter().filter_map(|result| match result.outcome {
        policy_run::RequestOutcome::Refused(time_to_refusal) => Some(time_to_refusal),
        _ => None,
    });
    let attempts: u32 = results.iter().map(|result| result.attempts).sum();
    RunSummary {
        bands: histogram::BAND_BOUNDS.iter().map(|(_, name)| band(name)).collect(),
        short_prompts: first_tokens(&|arrival| arrival.prompt <= scenario::SHORT_PROMPT_TOKENS),
        other_small_customers: first_tokens(&|arrival| arrival.key > 3),
        requests: results.len(),
        completed: count(&completed),
        refused: count(&refused),
        failed: results.len() - count(&completed) - count(&refused),
        long_completion_share: count(&|result| long(result) && completed(result)) as f64
            / (admitted_long as f64).max(1.0),
        goodput: useful as f64 / scenario.length.as_secs_f64(),
        slowest_refusal_ms: slowest.max().unwrap_or(time::Duration::ZERO).as_secs_f64() * 1_000.0,
        attempts_per_request: f64::from(attempts) / (results.len() as f64).max(1.0),
    }
}
