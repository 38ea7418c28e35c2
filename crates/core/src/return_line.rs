//! When callers come back that limits have kept from all upstreams of their service.

use std::time;

use rand::RngExt as _;

use crate::units;

/// Part of what the limits let through that is kept for those who come back; the rest is for those who come first, who
/// can still be in time.
const RETURN_PART: f64 = 0.5;
/// Longest time after which a caller is asked back: by then limits have mostly changed.
const MAX_BACK: time::Duration = time::Duration::from_secs(10);

/// Those that were refused, one behind the other at the pace at which they can be served.
#[derive(Debug, Default)]
pub struct ReturnLine {
    /// When the last of them comes back.
    tail: units::MonoTime,
}

impl ReturnLine {
    /// When the next one comes back, where so many requests a second are let through. Who would come back behind the
    /// longest time comes at any moment of its second half.
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
