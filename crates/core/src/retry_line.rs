//! Retry-After times of callers that limits keep from all upstreams of their service.

use std::time;

use rand::RngExt as _;

use crate::units;

/// Part of the permitted rate that is reserved for returning callers; the rest is for first attempts, which can still
/// be in time.
const RETRY_FRACTION: f64 = 0.5;
/// Longest Retry-After: limits have mostly changed by then.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(10);

/// Returning callers, spaced by the rate at which they can be served.
#[derive(Debug, Default)]
pub struct RetryLine {
    /// When the last of them returns.
    tail: units::MonoTime,
}

impl RetryLine {
    /// Retry-After of the next caller, at a permitted rate of `rate` requests a second. Beyond the longest time it is
    /// random within its second half.
    pub fn next(&mut self, now: units::MonoTime, rate: f64) -> time::Duration {
        let step = 1.0 / (rate * RETRY_FRACTION).max(f64::MIN_POSITIVE);
        let step =
            time::Duration::try_from_secs_f64(step).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER);
        let back = self.tail.max(now) + step;
        if back.since(now) >= MAX_RETRY_AFTER {
            return MAX_RETRY_AFTER.mul_f64(rand::rng().random_range(0.5..1.0));
        }
        self.tail = back;
        back.since(now)
    }
}
