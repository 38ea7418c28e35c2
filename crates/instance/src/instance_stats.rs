//! Counters and latency histograms of one instance, rendered in the Prometheus text format.

use std::{collections, fmt::Write as _, time};

use serde::Serialize;

/// Upper bounds of the latency buckets, in milliseconds.
const BUCKETS_MS: [u64; 14] =
    [5, 10, 25, 50, 100, 200, 300, 500, 800, 1_500, 3_000, 5_000, 10_000, 20_000];
/// Most series of counters, and of latencies; values of further series are counted under the label `other`.
const MAX_SERIES: usize = 200;

#[derive(Debug, Default, Clone)]
struct LatencySeries {
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    total_ms: u64,
}

impl LatencySeries {
    /// Upper bound of the bucket that contains the quantile `share`; `None` if it lies above the largest bucket.
    fn quantile_bound(&self, share: f64) -> Option<u64> {
        let rank = (self.count as f64 * share).ceil() as u64;
        let mut below = 0;
        BUCKETS_MS.iter().zip(self.buckets).find_map(|(bound, count)| {
            below += count;
            (below >= rank).then_some(*bound)
        })
    }
}

/// Summary of one latency series, for operators.
#[derive(Debug, Serialize)]
pub struct LatencyRow {
    /// Name of the metric, without the prefix `slipturn_` and the unit.
    pub measure: &'static str,
    /// Label of the series within the metric, such as a route or a customer.
    pub series: String,
    /// Number of measurements.
    pub count: u64,
    /// Mean latency in milliseconds, rounded down.
    pub mean_ms: u64,
    /// Upper bound in milliseconds of the bucket that contains the median; absent above the largest bucket.
    pub p50_below_ms: Option<u64>,
    /// Upper bound in milliseconds of the bucket that contains the 95th percentile; absent above the largest bucket.
    pub p95_below_ms: Option<u64>,
}

/// Counters and latency histograms, with a bounded number of series.
#[derive(Debug, Default)]
pub struct InstanceStats {
    /// Counters by metric name and label.
    counters: collections::BTreeMap<(&'static str, String), u64>,
    /// Latencies by metric name and label.
    latencies: collections::BTreeMap<(&'static str, String), LatencySeries>,
}

impl InstanceStats {
    /// Adds one to the series `label` of the counter `metric`.
    pub fn count(&mut self, metric: &'static str, label: &str) {
        let key = bounded_key(&self.counters, metric, label);
        *self.counters.entry(key).or_default() += 1;
    }

    /// Adds a measurement to the series `label` of the histogram `metric`.
    pub fn time(&mut self, metric: &'static str, label: &str, span: time::Duration) {
        let key = bounded_key(&self.latencies, metric, label);
        let series = self.latencies.entry(key).or_default();
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        series.count += 1;
        series.total_ms = series.total_ms.saturating_add(millis);
        if let Some(bucket) = BUCKETS_MS.iter().position(|bound| millis <= *bound) {
            series.buckets[bucket] += 1;
        }
    }

    /// Summaries of all latency series.
    pub fn rows(&self) -> Vec<LatencyRow> {
        let row =
            |((metric, label), series): (&(&'static str, String), &LatencySeries)| LatencyRow {
                measure: metric,
                series: label.clone(),
                count: series.count,
                mean_ms: series.total_ms / series.count.max(1),
                p50_below_ms: series.quantile_bound(0.5),
                p95_below_ms: series.quantile_bound(0.95),
            };
        self.latencies.iter().map(row).collect()
    }

    /// All counters and histograms, in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for ((metric, label), value) in &self.counters {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "slipturn_{metric}_total{{of=\"{label}\"}} {value}");
        }
        for ((metric, label), series) in &self.latencies {
            let mut below = 0;
            for (bound, count) in BUCKETS_MS.iter().zip(series.buckets) {
                below += count;
                let _ = writeln!(
                    text,
                    "slipturn_{metric}_ms_bucket{{of=\"{label}\",le=\"{bound}\"}} {below}"
                );
            }
            let _ = writeln!(
                text,
                "slipturn_{metric}_ms_bucket{{of=\"{label}\",le=\"+Inf\"}} {}\n\
                 slipturn_{metric}_ms_sum{{of=\"{label}\"}} {}\n\
                 slipturn_{metric}_ms_count{{of=\"{label}\"}} {}",
                series.count, series.total_ms, series.count
            );
        }
        text
    }
}

/// Returns the key of a series, or that of `other` if a new series would exceed [`MAX_SERIES`].
///
/// Characters that would need escaping in a label are dropped.
fn bounded_key<T>(
    series: &collections::BTreeMap<(&'static str, String), T>,
    metric: &'static str,
    label: &str,
) -> (&'static str, String) {
    let label: String =
        label.chars().filter(|character| !matches!(character, '"' | '\\' | '\n')).collect();
    let key = (metric, label);
    if series.len() < MAX_SERIES || series.contains_key(&key) {
        return key;
    }
    (metric, "other".to_owned())
}
