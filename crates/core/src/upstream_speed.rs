//! Measured speed of single upstreams, relative to the mean of their service.
//!
//! Answer times differ between classes of requests, so each is compared with the mean of its class. The logarithms of
//! these ratios are averaged by upstream, with a weak prior of zero: an upstream without recent answers counts as fast
//! as the mean. Speeds are hints, of this process and of other members, and belong to one start of an upstream.

use std::{collections, fmt, str, time};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{ids, units};

/// Time constant with which samples lose their weight. With 3 s, an upstream that was slow for 3 s got 0.11 instead of
/// 0.29 of the calls four to six seconds later.
const SAMPLE_DECAY: time::Duration = time::Duration::from_millis(1_500);
/// Largest weight of the samples of an upstream. At high rates the estimate follows the last 16 answers rather than
/// those of [`SAMPLE_DECAY`].
const MAX_WEIGHT: f64 = 16.0;
/// Weight of the assumption that an upstream is as fast as the mean. With 0.5, members learn more slowly (0.044 instead of
/// 0.040 of the calls late with the weighted choice, 0.7 of the capacity); with 0.2, the expected completion follows noise.
const PRIOR_WEIGHT: f64 = 0.3;
/// Most answers in the mean of a class; the newest has at least the inverse as its weight.
const CLASS_ANSWERS: f64 = 64.0;
/// Most classes with a mean; beyond it all means are discarded.
const MAX_CLASSES: usize = 512;
/// Largest ratio to the mean, in both directions; it bounds the effect of a single answer.
const MAX_RATIO: f64 = 8.0;
/// Ratio to the fastest candidate up to which an upstream counts as equally fast. It is above the effect of the network
/// between data centres (9 ms of 60 ms) and of the spread of single answer times on a mean of few samples.
const EQUAL_RATIO: f64 = 1.35;
/// Ratio between a relative time and the one that other members know above which they are informed.
const CHANGED_RATIO: f64 = 1.25;

/// Ratio of an upstream's service time to the mean of its service; above 1 for a slow upstream. Between 1/8 and 8.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f32", into = "f32")]
pub struct RelativeTime(f64);

/// A text or number that is no [`RelativeTime`].
#[derive(Debug, Snafu, PartialEq)]
#[snafu(display("found '{found}', expected a ratio from 0.125 to 8"))]
pub struct RelativeTimeError {
    /// The text or number, which is not a ratio in the range.
    found: String,
}

impl RelativeTime {
    /// The mean of the service.
    pub const MEAN: Self = Self(1.0);

    /// Returns the ratio.
    pub fn factor(self) -> f64 {
        self.0
    }

    fn from_log(log: f64) -> Self {
        Self(log.exp().clamp(1.0 / MAX_RATIO, MAX_RATIO))
    }

    /// Whether this and another ratio differ by more than a quarter.
    fn differs(self, other: Self) -> bool {
        (self.0 / other.0).max(other.0 / self.0) > CHANGED_RATIO
    }
}

impl TryFrom<f32> for RelativeTime {
    type Error = RelativeTimeError;

    fn try_from(found: f32) -> Result<Self, RelativeTimeError> {
        let ratio = f64::from(found);
        if (1.0 / MAX_RATIO..=MAX_RATIO).contains(&ratio) {
            return Ok(Self(ratio));
        }
        RelativeTimeSnafu { found: found.to_string() }.fail()
    }
}

impl From<RelativeTime> for f32 {
    fn from(ratio: RelativeTime) -> Self {
        ratio.0 as Self
    }
}

impl fmt::Display for RelativeTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

impl str::FromStr for RelativeTime {
    type Err = RelativeTimeError;

    fn from_str(text: &str) -> Result<Self, RelativeTimeError> {
        let ratio = text.parse::<f32>();
        ratio.or_else(|_| RelativeTimeSnafu { found: text }.fail()).and_then(Self::try_from)
    }
}

/// Decaying sum of the logarithms of relative times.
#[derive(Debug, Clone, Copy, Default)]
struct SpeedEvidence {
    sum: f64,
    /// Number of samples in `sum`, which decays as they do; at most [`MAX_WEIGHT`].
    weight: f64,
    updated: units::MonoTime,
}

impl SpeedEvidence {
    /// Returns the evidence that is left at `now`.
    fn at(self, now: units::MonoTime) -> Self {
        let left = decay(now.since(self.updated));
        Self { sum: self.sum * left, weight: self.weight * left, updated: now }
    }

    fn add(&mut self, now: units::MonoTime, log: f64, weight: f64) {
        let old = self.at(now);
        let kept = (MAX_WEIGHT - weight).max(0.0).min(old.weight);
        let scale = if old.weight > 0.0 { kept / old.weight } else { 0.0 };
        *self = Self { sum: old.sum * scale + log * weight, weight: kept + weight, updated: now };
    }
}

/// Returns the part of a sample's weight that is left after `age`.
fn decay(age: time::Duration) -> f64 {
    (-age.as_secs_f64() / SAMPLE_DECAY.as_secs_f64()).exp()
}

/// What is known of the speed of one start of an upstream.
#[derive(Debug, Clone, Default)]
struct SpeedRecord {
    /// Answers to this process.
    own: SpeedEvidence,
    /// Reports of other members.
    others: SpeedEvidence,
    /// Logarithm of the relative time last sent to other members, and when. Their belief decays in the same way.
    sent: Option<(f64, units::MonoTime)>,
}

impl SpeedRecord {
    fn log(&self, now: units::MonoTime) -> f64 {
        let (own, others) = (self.own.at(now), self.others.at(now));
        (own.sum + others.sum) / (own.weight + others.weight + PRIOR_WEIGHT)
    }
}

/// A member's own measurement of an upstream, for other members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// The start of the upstream.
    pub upstream: ids::UpstreamId,
    /// Mean ratio of its service times to the mean of its service.
    pub relative: RelativeTime,
    /// Number of recent answers that the ratio is the mean of; at most 16.
    pub samples: u8,
}

/// Relative speeds of the upstreams that this process calls.
#[derive(Debug, Default)]
pub struct UpstreamSpeeds {
    records: collections::HashMap<ids::UpstreamId, SpeedRecord>,
    /// Number of answers and mean logarithm of their times in seconds, by class of requests. Classes belong to one
    /// service.
    classes: collections::HashMap<ids::ClassId, (f64, f64)>,
}

impl UpstreamSpeeds {
    /// Records the time that an upstream took for a call of a class.
    pub fn note(
        &mut self,
        now: units::MonoTime,
        upstream: &ids::UpstreamId,
        class: &ids::ClassId,
        span: time::Duration,
    ) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(class) {
            self.classes.clear();
        }
        let log = span.as_secs_f64().max(1e-6).ln();
        let (answers, mean) = self.classes.entry(class.clone()).or_default();
        *answers = (*answers + 1.0).min(CLASS_ANSWERS);
        *mean += (log - *mean) / *answers;
        let ratio = (log - *mean).clamp(-MAX_RATIO.ln(), MAX_RATIO.ln());
        self.records.entry(upstream.clone()).or_default().own.add(now, ratio, 1.0);
    }

    /// Records the measurement of another member.
    pub fn receive(&mut self, now: units::MonoTime, report: &SpeedReport) {
        let weight = f64::from(report.samples).min(MAX_WEIGHT);
        let record = self.records.entry(report.upstream.clone()).or_default();
        record.others.add(now, report.relative.factor().ln(), weight);
    }

    /// Returns the service time of an upstream relative to the mean; the mean if nothing recent is known.
    pub fn relative(&self, now: units::MonoTime, upstream: &ids::UpstreamId) -> RelativeTime {
        let record = self.records.get(upstream);
        record.map_or(RelativeTime::MEAN, |record| RelativeTime::from_log(record.log(now)))
    }

    /// Returns the number of recent answers and reports that the relative time of an upstream rests on; it decays.
    pub fn samples(&self, now: units::MonoTime, upstream: &ids::UpstreamId) -> f64 {
        let record = self.records.get(upstream);
        record.map_or(0.0, |record| record.own.at(now).weight + record.others.at(now).weight)
    }

    /// Returns the factors by which candidates are slower than the fastest of them, in the same order; 1 for those that
    /// count as equally fast.
    pub fn slowdowns<'a>(
        &self,
        now: units::MonoTime,
        candidates: impl Iterator<Item = &'a ids::UpstreamId>,
    ) -> Vec<f64> {
        let factors: Vec<_> =
            candidates.map(|upstream| self.relative(now, upstream).factor()).collect();
        let fastest = factors.iter().copied().fold(f64::INFINITY, f64::min);
        let slowdown = |factor| if factor < fastest * EQUAL_RATIO { 1.0 } else { factor / fastest };
        factors.into_iter().map(slowdown).collect()
    }

    /// Returns the age of the last answer of an upstream to this process; `None` if there was none.
    pub fn last_answer_age(
        &self,
        now: units::MonoTime,
        upstream: &ids::UpstreamId,
    ) -> Option<time::Duration> {
        let record = self.records.get(upstream).filter(|record| record.own.weight > 0.0)?;
        Some(now.since(record.own.updated))
    }

    /// Returns this process's measurements that differ by more than a quarter from what other members know, those of
    /// the largest difference from the mean first; at most `max`. They count as sent.
    pub fn take_changed(&mut self, now: units::MonoTime, max: usize) -> Vec<SpeedReport> {
        let changed = |(upstream, record): (&ids::UpstreamId, &SpeedRecord)| {
            let own = record.own.at(now);
            // Reports without a new answer would keep an old speed alive at the members.
            let is_new = record.sent.is_none_or(|(_, at)| record.own.updated > at);
            let samples = Some(own.weight).filter(|weight| *weight >= 1.0 && is_new)?;
            let relative = RelativeTime::from_log(own.sum / own.weight);
            let sent = record.sent.map_or(0.0, |(log, at)| log * decay(now.since(at)));
            let report =
                SpeedReport { upstream: upstream.clone(), relative, samples: samples as u8 };
            relative.differs(RelativeTime::from_log(sent)).then_some(report)
        };
        let mut reports: Vec<_> = self.records.iter().filter_map(changed).collect();
        let distance = |report: &SpeedReport| report.relative.factor().ln().abs();
        reports.sort_by(|left, right| distance(right).total_cmp(&distance(left)));
        reports.truncate(max);
        for report in &reports {
            if let Some(record) = self.records.get_mut(&report.upstream) {
                record.sent = Some((report.relative.factor().ln(), now));
            }
        }
        reports
    }

    /// Removes the upstreams that are not `known`, for example after a restart.
    pub fn retain(&mut self, known: impl Fn(&ids::UpstreamId) -> bool) {
        self.records.retain(|upstream, _| known(upstream));
    }
}
