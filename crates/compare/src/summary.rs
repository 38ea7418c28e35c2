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
    pub shorts: [f64; 3],
    /// The same for the other small customers, beside the one that may flood.
    pub neighbours: [f64; 3],
    /// Requests.
    pub requests: usize,
    /// Whole answers.
    pub whole: usize,
    /// Refusals.
    pub refused: usize,
    /// Admitted and not finished in time, or cut.
    pub failed: usize,
    /// Share of admitted prompts over 100,000 tokens that ended whole.
    pub long_whole: f64,
    /// Prompt and output tokens of whole answers, a second of the run.
    pub useful_tokens: f64,
    /// Longest time to a refusal, in milliseconds.
    pub slowest_refusal: f64,
    /// Attempts for each request.
    pub attempts: f64,
}

/// Sums a run up.
pub fn summarise(
    scenario: &scenario::RunScenario,
    results: &[policy_run::RequestResult],
) -> RunSummary {
    let first_tokens = |takes: &dyn Fn(&arrivals::Arrival) -> bool| {
        let whole = results.iter().filter(|result| takes(&result.arrival));
        let whole = whole.filter_map(|result| match result.outcome {
            policy_run::RequestOutcome::Whole(first_token, _) => Some(first_token),
            _ => None,
        });
        report::percentiles(whole.collect())
    };
    let band = |name: &'static str| {
        let takes = move |arrival: &arrivals::Arrival| {
            histogram::band_name(units::TokenCount(arrival.prompt)) == name
        };
        (name, first_tokens(&takes))
    };
    let count = |takes: &dyn Fn(&policy_run::RequestResult) -> bool| {
        results.iter().filter(|result| takes(result)).count()
    };
    let whole = |result: &policy_run::RequestResult| {
        matches!(result.outcome, policy_run::RequestOutcome::Whole(..))
    };
    let refused = |result: &policy_run::RequestResult| {
        matches!(result.outcome, policy_run::RequestOutcome::Refused(_))
    };
    let long =
        |result: &policy_run::RequestResult| result.arrival.prompt > arrivals::LONG_PROMPT_TOKENS;
    let admitted_long = count(&|result| long(result) && !refused(result));
    let useful: u64 = results
        .iter()
        .filter(|result| whole(result))
        .map(|result| result.arrival.prompt + result.arrival.output)
        .sum();
    let slowest = results.iter().filter_map(|result| match result.outcome {
        policy_run::RequestOutcome::Refused(spent) => Some(spent),
        _ => None,
    });
    let attempts: u32 = results.iter().map(|result| result.attempts).sum();
    RunSummary {
        bands: histogram::BAND_BOUNDS.iter().map(|(_, name)| band(name)).collect(),
        shorts: first_tokens(&|arrival| arrival.prompt <= scenario::SHORT_PROMPT_TOKENS),
        neighbours: first_tokens(&|arrival| arrival.key > 3),
        requests: results.len(),
        whole: count(&whole),
        refused: count(&refused),
        failed: results.len() - count(&whole) - count(&refused),
        long_whole: count(&|result| long(result) && whole(result)) as f64
            / (admitted_long as f64).max(1.0),
        useful_tokens: useful as f64 / scenario.length.as_secs_f64(),
        slowest_refusal: slowest.max().unwrap_or(time::Duration::ZERO).as_secs_f64() * 1_000.0,
        attempts: f64::from(attempts) / (results.len() as f64).max(1.0),
    }
}
