//! Schedules the heartbeats of a member.

use std::time;

/// Timer of one member's heartbeats.
///
/// Each member sends with a random phase, drawn anew whenever the interval changes. Otherwise members that start
/// together would always send at the same times, and a change right after one of these times would spread by heartbeats
/// only a whole interval later, which is long in a large fleet.
#[derive(Debug, Default)]
pub struct HeartbeatTimer {
    interval: time::Duration,
}

impl HeartbeatTimer {
    /// Returns the time until the next heartbeat at the current `interval`; `drawn` is a random number, uniform in 0 to 1.
    pub fn next(&mut self, interval: time::Duration, drawn: f64) -> time::Duration {
        if interval == self.interval {
            return interval;
        }
        self.interval = interval;
        // Never longer than the interval, so that no live member is suspected.
        interval.mul_f64(drawn.clamp(0.0, 1.0))
    }
}
