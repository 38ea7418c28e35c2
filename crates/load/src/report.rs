//! Aggregates the outcomes of a run into a report.

use std::{collections, time};

use serde::Serialize;
use slipturn_core::{histogram, units};

use crate::{arrivals, caller};

/// Latency of the complete responses in one band of prompt lengths. Arrays hold the 50th, 95th and
/// 99th percentile in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct BandReport {
    /// Name of the band, as in [`histogram::BAND_BOUNDS`].
    pub band: &'static str,
    /// Number of complete and correct responses to prompts of this band.
    pub whole: u64,
    /// Percentiles of the time from the start of a call to the first chunk of its response.
    pub first_token_ms: [f64; 3],
    /// Percentiles of the time from the start of a call to the end of its response.
    pub total_ms: [f64; 3],
    /// Percentiles of the longest time between two consecutive chunks of a response.
    pub gap_ms: [f64; 3],
}

/// The results of a run, printed as a table or as JSON.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// Number of requests sent.
    pub requests: u64,
    /// Number of complete and correct responses.
    pub whole: u64,
    /// Number of refusals by status, code and whether the request ran.
    pub refused: collections::BTreeMap<String, u64>,
    /// Number of responses that ended without their last event or with an error event, by reason.
    pub cut: collections::BTreeMap<String, u64>,
    /// Number of responses that ended normally but with the wrong text.
    pub wrong: u64,
    /// Number of other failures, such as lost connections and timeouts, by reason.
    pub failed: collections::BTreeMap<String, u64>,
    /// Sum of the prompt and output tokens of the complete responses.
    pub tokens: u64,
    /// Latency by band of prompt lengths, shortest first, without the bands that have no complete
    /// response.
    pub bands: Vec<BandReport>,
    /// Id of the completed request with the longest prompt, to look up in slipturn.
    pub example: Option<String>,
    /// Time to first token of short prompts as a multiple of that in a baseline run with short
    /// prompts only: 50th, 95th and 99th percentile, computed from the first row of each run's
    /// `bands`. `None` without a baseline run; see [`RunReport::compare_short_prompts`].
    pub short_slowdown: Option<[f64; 3]>,
}

#[derive(Default)]
struct BandValues {
    first_token: Vec<time::Duration>,
    total: Vec<time::Duration>,
    gap: Vec<time::Duration>,
}

/// Accumulates the outcomes of the requests of a run.
#[derive(Default)]
pub struct ReportBuilder {
    requests: u64,
    whole: u64,
    wrong: u64,
    tokens: u64,
    refused: collections::BTreeMap<String, u64>,
    cut: collections::BTreeMap<String, u64>,
    failed: collections::BTreeMap<String, u64>,
    bands: collections::BTreeMap<&'static str, BandValues>,
    example: Option<(u64, String)>,
}

impl ReportBuilder {
    /// Counts the outcome of one request. A complete response also adds its times to the band of
    /// the prompt's length.
    pub fn add(&mut self, arrival: &arrivals::Arrival, outcome: &caller::CallOutcome) {
        self.requests += 1;
        match outcome {
            caller::CallOutcome::Whole { first_token, total, longest_gap, request } => {
                self.whole += 1;
                self.tokens += arrival.prompt + arrival.output;
                let band = histogram::band_name(units::TokenCount(arrival.prompt));
                let values = self.bands.entry(band).or_default();
                values.first_token.push(*first_token);
                values.total.push(*total);
                values.gap.push(*longest_gap);
                // Of the complete requests, the one with the longest prompt is the most useful to
                // look up.
                if self.example.as_ref().is_none_or(|(longest, _)| arrival.prompt > *longest) {
                    self.example = Some((arrival.prompt, request.clone()));
                }
            }
            caller::CallOutcome::Refused { status, code, ran, .. } => {
                let key = format!("{status} {code} (ran: {ran})");
                *self.refused.entry(key).or_default() += 1;
            }
            caller::CallOutcome::Cut(reason) => *self.cut.entry(reason.clone()).or_default() += 1,
            caller::CallOutcome::Wrong(_) => self.wrong += 1,
            caller::CallOutcome::Failed(text) => *self.failed.entry(text.clone()).or_default() += 1,
        }
    }

    /// Computes the percentiles and returns the report.
    pub fn build(mut self) -> RunReport {
        let order = histogram::BAND_BOUNDS.iter().map(|(_, name)| *name);
        let bands = order.filter_map(|band| {
            let values = self.bands.remove(band)?;
            Some(BandReport {
                band,
                whole: values.total.len() as u64,
                first_token_ms: percentiles(values.first_token),
                total_ms: percentiles(values.total),
                gap_ms: percentiles(values.gap),
            })
        });
        RunReport {
            bands: bands.collect(),
            requests: self.requests,
            whole: self.whole,
            refused: self.refused,
            cut: self.cut,
            wrong: self.wrong,
            failed: self.failed,
            tokens: self.tokens,
            example: self.example.map(|(_, request)| request),
            short_slowdown: None,
        }
    }
}

impl RunReport {
    /// Sets `short_slowdown` from `baseline`, a run with short prompts only.
    pub fn compare_short_prompts(&mut self, baseline: &Self) {
        let first_token = |report: &Self| report.bands.first().map(|row| row.first_token_ms);
        if let (Some(mixed), Some(baseline)) = (first_token(self), first_token(baseline)) {
            self.short_slowdown = Some(std::array::from_fn(|index| mixed[index] / baseline[index]));
        }
    }

    /// Formats the report as a table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{} requests, {} whole, {} wrong, {} tokens\n",
            self.requests, self.whole, self.wrong, self.tokens
        );
        for (title, counts) in
            [("refused", &self.refused), ("cut", &self.cut), ("failed", &self.failed)]
        {
            for (reason, count) in counts {
                text += &format!("{title}: {count} x {reason}\n");
            }
        }
        text += &format!(
            "{:<14}{:>7}  {:>26}  {:>26}  {:>26}\n",
            "prompt", "whole", "first token p50/95/99 ms", "total p50/95/99 ms", "gap p50/95/99 ms"
        );
        for row in &self.bands {
            let format_cell =
                |values: &[f64; 3]| format!("{:.0}/{:.0}/{:.0}", values[0], values[1], values[2]);
            text += &format!(
                "{:<14}{:>7}  {:>26}  {:>26}  {:>26}\n",
                row.band,
                row.whole,
                format_cell(&row.first_token_ms),
                format_cell(&row.total_ms),
                format_cell(&row.gap_ms)
            );
        }
        if let Some([p50, p95, p99]) = self.short_slowdown {
            text += &format!(
                "slowdown of shorts beside the others, p50/95/99: {p50:.2}/{p95:.2}/{p99:.2}\n"
            );
        }
        if let Some(example) = &self.example {
            text += &format!("example: {example}\n");
        }
        text
    }
}

/// Returns the 50th, 95th and 99th percentile in milliseconds; zeros if `values` is empty.
pub fn percentiles(mut values: Vec<time::Duration>) -> [f64; 3] {
    values.sort();
    [0.50, 0.95, 0.99].map(|quantile| {
        let index = (values.len() as f64 * quantile).ceil() as usize;
        let value = values.get(index.saturating_sub(1).min(values.len().saturating_sub(1)));
        value.map_or(0.0, |value| value.as_secs_f64() * 1_000.0)
    })
}
