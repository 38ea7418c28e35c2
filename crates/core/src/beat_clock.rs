//! When a member says its next heartbeat.

use std::time;

/// The times of one member's heartbeats.
///
/// Members that start together would send at the same moments ever after: in a large fleet what one of them learns
/// right after that moment would reach those who hear of it by heartbeats alone a whole interval later. So each draws its place
/// in the interval, anew whenever that has changed.
#[derive(Debug, Default)]
pub struct BeatClock {
    interval: time::Duration,
}

impl BeatClock {
    /// Time until the next heartbeat, where they are so far apart now; `drawn` is evenly between 0 and 1.
    pub fn next(&mut self, interval: time::Duration, drawn: f64) -> time::Duration {
        if interval == self.interval {
            return interval;
        }
        self.interval = interval;
        // Never longer than the interval, so that no live member is suspected.
        interval.mul_f64(drawn.clamp(0.0, 1.0))
    }
}
