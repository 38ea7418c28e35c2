//! Counters and histograms of one instance, as text for a metrics collector.

use std::{collections, fmt::Write as _, time};

use serde::Serialize;

/// Upper bounds of the latency buckets, milliseconds.
const BUCKETS_MS: [u64; 14] =
    [5, 10, 25, 50, 100, 200, 300, 500, 800, 1_500, 3_000, 5_000, 10_000, 20_000];
/// Series of one metric; what comes later is counted under `other`.
const MAX_SERIES: usize = 200;

#[derive(Debug, Default, Clone)]
struct LatencySeries {
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    total_ms: u64,
}

impl LatencySeries {
    /// Bound of the bucket below which this share lies; `None` above the last one.
    fn quantile_bound(&self, share: f64) -> Option<u64> {
        let rank = (self.count as f64 * share).ceil() as u64;
        let mut below = 0;
        BUCKETS_MS.iter().zip(self.buckets).find_map(|(bound, count)| {
            below += count;
            (below >= rank).then_some(*bound)
        })
    }
}

/// One series of latencies, for operators.
#[derive(Debug, Serialize)]
pub struct LatencyRow {
    /// What is measured.
    pub measure: &'static str,
    /// Of which route or customer.
    pub series: String,
    /// Values counted.
    pub count: u64,
    /// Mean.
    pub mean_ms: u64,
    /// Bound below which half lie; absent above the largest bucket.
    pub p50_below_ms: Option<u64>,
    /// Bound below which 95% lie; absent above the largest bucket.
    pub p95_below_ms: Option<u64>,
}

/// Counters and latencies; bounded in number.
#[derive(Debug, Default)]
pub struct InstanceStats {
    /// By metric name and label.
    counters: collections::BTreeMap<(&'static str, String), u64>,
    latencies: collections::BTreeMap<(&'static str, String), LatencySeries>,
}

impl InstanceStats {
    /// Counts one event.
    pub fn count(&mut self, metric: &'static str, label: &str) {
        let key = bounded_key(&self.counters, metric, label);
        *self.counters.entry(key).or_default() += 1;
    }

    /// Notes a latency.
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

    /// Latencies as rows: mean, and the bounds below which half and 95% lie.
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

    /// All figures, in the text form that collectors read.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for ((metric, label), value) in &self.counters {
            // Writing to a string does not fail.
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
