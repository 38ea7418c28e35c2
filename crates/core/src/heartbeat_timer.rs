//! Schedules the heartbeats of a member.

use std::time;

/// Timer of one member's heartbeats.
///
/// Members that start together would otherwise always send at the same times, and in a large fleet a change right
/// after such a time would spread by heartbeats only a whole interval later. So each member draws a random phase, and
/// draws another whenever the interval changes.
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
