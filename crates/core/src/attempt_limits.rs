//! Tells retries from first attempts by the fraction of the route's time limit that a caller states.
//!
//! A retry has a new request id and arrives at another instance; only the time limit that it states shows that its
//! caller has waited before. Some callers state the route's whole limit with their first attempt, others a part of it
//! that differs from request to request. With a fixed threshold, most first attempts of the latter count as retries.

use std::time;

use crate::{sharing, units};

/// Fraction of the route's time limit that first attempts state at least, unless observations show otherwise.
const NOMINAL_FRACTION: f64 = 0.97;
/// Fraction of the route's time limit from which a caller counts as stating the whole limit. Retries state less.
const WHOLE_FRACTION: f64 = 0.995;
/// Share of the requests that state the whole limit below which first attempts evidently state less. Retries alone don't
/// reach it, as most requests are first attempts or there are few requests.
const MIN_WHOLE_SHARE: f64 = 0.08;
/// Number of requests that count as stating the whole limit before any was observed.
const PRIOR_WHOLE: f64 = 1.0;
/// Number of requests in a range, relative to the range with the most, from which first attempts are assumed to state
/// such fractions. Retries are fewer and spread over more ranges.
const FIRST_ATTEMPT_DENSITY: f64 = 0.25;
/// Time in which the weight of an observation decays to 1/e.
const MEMORY: time::Duration = time::Duration::from_secs(30);
/// Number of equal ranges of stated fractions below the whole limit.
const RANGES: usize = 50;

/// Fractions of their routes' time limits that callers have stated recently.
#[derive(Debug)]
pub struct AttemptLimits {
    rule: sharing::AttemptRule,
    /// Requests that stated the whole limit, decaying over [`MEMORY`]; as of `updated`.
    whole: f64,
    /// Requests by range of the stated fraction, the lowest first, decaying over [`MEMORY`]; as of `updated`.
    less: [f64; RANGES],
    /// When the counts were last updated.
    updated: units::MonoTime,
}

impl AttemptLimits {
    /// Creates the rule without observations.
    pub fn new(rule: sharing::AttemptRule) -> Self {
        Self { rule, whole: 0.0, less: [0.0; RANGES], updated: units::MonoTime::default() }
    }

    /// Records the time limit that a request states, and returns whether its caller has probably sent it before.
    pub fn note(
        &mut self,
        now: units::MonoTime,
        stated: time::Duration,
        limit: time::Duration,
    ) -> bool {
        let fraction = stated.as_secs_f64() / limit.as_secs_f64().max(f64::MIN_POSITIVE);
        self.decay(now);
        if fraction >= WHOLE_FRACTION {
            self.whole += 1.0;
        } else {
            self.less[range_of(fraction)] += 1.0;
        }
        fraction < self.first_attempt_fraction()
    }

    /// Lowest fraction of the route's time limit that a first attempt states.
    pub fn first_attempt_fraction(&self) -> f64 {
        let less: f64 = self.less.iter().sum();
        let whole = self.whole + PRIOR_WHOLE;
        let is_whole = whole >= (whole + less) * MIN_WHOLE_SHARE;
        if self.rule == sharing::AttemptRule::Nominal || is_whole {
            return NOMINAL_FRACTION;
        }
        let most = self.less.iter().copied().fold(0.0, f64::max);
        let is_common = |count: &f64| *count >= most * FIRST_ATTEMPT_DENSITY;
        let lowest = self.less.iter().position(is_common).unwrap_or(RANGES);
        (lowest as f64 / RANGES as f64).min(NOMINAL_FRACTION)
    }

    fn decay(&mut self, now: units::MonoTime) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let left = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.whole *= left;
        self.less.iter_mut().for_each(|count| *count *= left);
        self.updated = now;
    }
}

/// Index of the range of a fraction below 1.
fn range_of(fraction: f64) -> usize {
    ((fraction * RANGES as f64) as usize).min(RANGES - 1)
}
