//! Whether the sender of a message makes enough progress while others wait for the memory that it holds.
//!
//! An inactivity time-out does not bound a caller that sends one byte a second. The required rate follows from the time
//! within which the whole message must arrive, so it needs no setting of its own and suits any length.

use std::time;

use crate::units;

/// Part of the arrival time after which progress is first judged. A shorter window would judge a sender by the round
/// trips in which its connection opens up.
const WINDOW_FRACTION: f64 = 0.25;
/// Part of the average rate that a sender must keep up. Senders that are only a little behind may still finish in time.
const RATE_FRACTION: f64 = 0.5;

/// Progress of one message that is being received.
#[derive(Debug, Clone, Copy)]
pub struct ProgressLimit {
    begun: units::MonoTime,
    /// Time within which the whole message must arrive.
    arrival: time::Duration,
    /// Length of the message in bytes, or its largest length if it declares none.
    length: u64,
    received: u64,
}

impl ProgressLimit {
    /// Begins to follow a message that must arrive within `arrival`.
    pub fn new(begun: units::MonoTime, arrival: time::Duration, length: u64) -> Self {
        Self { begun, arrival, length, received: 0 }
    }

    /// Adds received bytes.
    pub fn note(&mut self, bytes: u64) {
        self.received += bytes;
    }

    /// Time after the beginning at which progress is first judged, and interval between two judgments.
    pub fn window(&self) -> time::Duration {
        self.arrival.mul_f64(WINDOW_FRACTION)
    }

    /// Whether the sender is so far behind that it must give way to others.
    pub fn is_behind(&self, now: units::MonoTime) -> bool {
        let elapsed = now.since(self.begun);
        if elapsed < self.window() || self.arrival.is_zero() {
            return false;
        }
        let expected = self.length as f64 * elapsed.as_secs_f64() / self.arrival.as_secs_f64();
        (self.received as f64) < expected * RATE_FRACTION
    }
}
