//! Retry-After times of callers that limits keep from all upstreams of their service.

use std::time;

use rand::RngExt as _;

use crate::units;

/// Part of the permitted rate that is reserved for returning callers; the rest is for first attempts, which can still
/// be in time.
const RETURN_PART: f64 = 0.5;
/// Longest Retry-After: limits have mostly changed by then.
const MAX_BACK: time::Duration = time::Duration::from_secs(10);

/// Returning callers, spaced by the rate at which they can be served.
#[derive(Debug, Default)]
pub struct ReturnLine {
    /// When the last of them returns.
    tail: units::MonoTime,
}

impl ReturnLine {
    /// Retry-After of the next caller, at a permitted rate of `rate` requests a second. Beyond the longest time it is
    /// random within its second half.
    pub fn next(&mut self, now: units::MonoTime, rate: f64) -> time::Duration {
        let step = 1.0 / (rate * RETURN_PART).max(f64::MIN_POSITIVE);
        let step = time::Duration::try_from_secs_f64(step).unwrap_or(MAX_BACK).min(MAX_BACK);
        let back = self.tail.max(now) + step;
        if back.since(now) >= MAX_BACK {
            return MAX_BACK.mul_f64(rand::rng().random_range(0.5..1.0));
        }
        self.tail = back;
        back.since(now)
    }
}
