//! Retry-After times for callers whose requests are refused because no upstream's rate limit permits them.

use std::time;

use rand::RngExt as _;

use crate::units;

/// Fraction of the permitted rate that is reserved for retries; the remainder is for first attempts, which can still be
/// in time.
const RETRY_FRACTION: f64 = 0.5;
/// Longest Retry-After time. Limits have mostly changed after this time.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(10);

/// Assigns retry times, spaced by the rate at which retries can be served.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    /// Latest retry time assigned so far.
    last_assigned: units::MonoTime,
}

impl RetrySchedule {
    /// Returns the Retry-After time for the next caller, at a permitted rate of `rate` requests per second.
    ///
    /// A time that would reach `MAX_RETRY_AFTER` is replaced by a random time between half of `MAX_RETRY_AFTER` and the
    /// whole of it.
    pub fn next(&mut self, now: units::MonoTime, rate: f64) -> time::Duration {
        let step = 1.0 / (rate * RETRY_FRACTION).max(f64::MIN_POSITIVE);
        let step =
            time::Duration::try_from_secs_f64(step).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER);
        let retry_at = self.last_assigned.max(now) + step;
        if retry_at.since(now) >= MAX_RETRY_AFTER {
            return MAX_RETRY_AFTER.mul_f64(rand::rng().random_range(0.5..1.0));
        }
        self.last_assigned = retry_at;
        retry_at.since(now)
    }
}
