//! What a run showed.

use std::{collections, time};

use serde::Serialize;
use slipturn_core::{histogram, units};

use crate::{arrivals, caller};

/// Percentiles of one length band, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct BandReport {
    /// Prompt length band.
    pub band: &'static str,
    /// Whole answers.
    pub whole: u64,
    /// Time to first token.
    pub first_token_ms: [f64; 3],
    /// Time to the end.
    pub total_ms: [f64; 3],
    /// Longest pause between two pieces of an answer.
    pub gap_ms: [f64; 3],
}

/// A whole run.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// Requests made.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals by code.
    pub refused: collections::BTreeMap<String, u64>,
    /// Answers that began and were cut, by reason.
    pub cut: collections::BTreeMap<String, u64>,
    /// Whole answers that were not this request's.
    pub wrong: u64,
    /// Failed connections, by reason.
    pub failed: collections::BTreeMap<String, u64>,
    /// Prompt and output tokens of whole answers.
    pub tokens: u64,
    /// Percentiles 50, 95 and 99 by length band.
    pub bands: Vec<BandReport>,
    /// A request to ask about.
    pub example: Option<String>,
    /// Time to first token of shorts beside the others, as a multiple of theirs alone.
    pub short_slowdown: Option<[f64; 3]>,
}

#[derive(Default)]
struct BandValues {
    first_token: Vec<time::Duration>,
    total: Vec<time::Duration>,
    gap: Vec<time::Duration>,
}

/// Counts outcomes.
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
    /// Counts one.
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
                // The longest prompt makes the most telling example.
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
            caller::CallOutcome::Failed(reason) => {
                *self.failed.entry(reason.clone()).or_default() += 1
            }
        }
    }

    /// The report on all that was counted.
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
    /// Compares the shorts of this run with those of a run that had no others.
    pub fn compare_short_prompts(&mut self, baseline: &Self) {
        let first_token = |report: &Self| report.bands.first().map(|row| row.first_token_ms);
        if let (Some(mixed), Some(baseline)) = (first_token(self), first_token(baseline)) {
            self.short_slowdown = Some(std::array::from_fn(|index| mixed[index] / baseline[index]));
        }
    }

    /// The report as a table for a person.
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

/// Percentiles 50, 95 and 99 in milliseconds.
pub fn percentiles(mut values: Vec<time::Duration>) -> [f64; 3] {
    values.sort();
    [0.50, 0.95, 0.99].map(|quantile| {
        let index = (values.len() as f64 * quantile).ceil() as usize;
        let value = values.get(index.saturating_sub(1).min(values.len().saturating_sub(1)));
        value.map_or(0.0, |value| value.as_secs_f64() * 1_000.0)
    })
}
