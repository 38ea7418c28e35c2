//! Latency histograms by customer, and by request class and prompt length, bounded in number.

use std::{collections, time};

use serde::Serialize;

use crate::units;

/// The latency of a request that a series measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MeasureKind {
    /// From the last byte of the request to the first token of the answer.
    FirstToken,
    /// Between two chunks of the answer.
    TokenInterval,
    /// From the last byte of the request to the end of the answer.
    Total,
    /// From the request for a placement (an assignment to engines) to its grant.
    PlaceWait,
}

/// Upper bounds of the prompt length bands in tokens, with the names of the bands.
pub const BAND_BOUNDS: [(u64, &str); 6] = [
    (2_000, "up_to_2k"),
    (8_000, "up_to_8k"),
    (32_000, "up_to_32k"),
    (100_000, "up_to_100k"),
    (300_000, "up_to_300k"),
    (u64::MAX, "over_300k"),
];

/// The name of the length band that contains a prompt.
pub fn band_name(prompt: units::TokenCount) -> &'static str {
    let band = BAND_BOUNDS.iter().find(|(bound, _)| prompt.0 <= *bound);
    band.map_or("over_300k", |(_, name)| name)
}

/// Largest recorded value, in milliseconds; larger values are recorded as this value.
const MAX_MILLIS: u64 = 3_600_000;
/// Significant decimal digits of recorded values.
const DIGITS: u8 = 2;
/// Largest number of series; values of further series are counted in the series [`OVERFLOW`].
const MAX_SERIES: usize = 2_000;
/// Name of the series for values beyond [`MAX_SERIES`].
const OVERFLOW: &str = "other";

/// Percentiles of one series, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct HistogramRow {
    /// Which latency the series measures.
    pub measure: MeasureKind,
    /// Name of the series: a customer, or a request class and length band.
    pub series: String,
    /// Number of recorded values.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Largest value, in milliseconds.
    pub max_ms: f64,
}

/// Latency histograms by measure and series. Beyond `MAX_SERIES`, new series share one overflow series per measure, so
/// that memory stays bounded with any number of customers and classes.
#[derive(Debug, Default)]
pub struct HistogramSet {
    /// Histograms in tenths of a millisecond. Invariant: at most [`MAX_SERIES`], plus one overflow series for each
    /// measure.
    series: collections::BTreeMap<(MeasureKind, String), hdrhistogram::Histogram<u32>>,
}

impl HistogramSet {
    /// Records latencies in a series, or in the overflow series if a new series would exceed `MAX_SERIES`.
    pub fn record_all(&mut self, measure: MeasureKind, series: &str, spans: &[time::Duration]) {
        if spans.is_empty() {
            return;
        }
        let full = self.series.len() >= MAX_SERIES;
        let mut key = (measure, series.to_owned());
        if full && !self.series.contains_key(&key) {
            key.1 = OVERFLOW.to_owned();
        }
        let histogram = self.series.entry(key).or_insert_with(new_histogram);
        for span in spans {
            let tenths = u64::try_from(span.as_micros() / 100).unwrap_or(u64::MAX);
            histogram.saturating_record(tenths.max(1));
        }
    }

    /// The percentiles of each series, sorted by measure and name.
    pub fn rows(&self) -> Vec<HistogramRow> {
        self.series
            .iter()
            .map(|((measure, series), histogram)| {
                let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 10.0;
                HistogramRow {
                    measure: *measure,
                    series: series.clone(),
                    count: histogram.len(),
                    p50_ms: at(0.5),
                    p95_ms: at(0.95),
                    p99_ms: at(0.99),
                    max_ms: histogram.max() as f64 / 10.0,
                }
            })
            .collect()
    }
}

fn new_histogram() -> hdrhistogram::Histogram<u32> {
    hdrhistogram::Histogram::new_with_bounds(1, MAX_MILLIS * 10, DIGITS)
        .expect("constant bounds are valid")
}
