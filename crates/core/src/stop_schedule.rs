//! Times of a graceful stop: when connections are closed, until when requests may be sent to upstreams, and when the
//! process exits.

use std::time;

use crate::{connection_silence, units};

/// Time after SIGTERM for which connections are still accepted: the load balancer checks readiness every second and
/// removes the instance after two failures.
const NOT_READY_TIME: time::Duration = time::Duration::from_millis(2_600);
/// Time before SIGKILL at which the process exits by itself: on a slow machine its last steps take some hundred
/// milliseconds.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(900);
/// Largest part of the grace time that the margin before SIGKILL takes. Upstreams that are at work for longer than five
/// sixths of the grace time may be cut off, so the exit must not be earlier.
const EXIT_MARGIN_DIVISOR: u32 = 8;
/// Least part of the grace time that is left for a request while the usual time of its route is not known.
const UNKNOWN_TIME_DIVISOR: u32 = 4;
/// Part of the grace time that the rest of a resumed stream is expected to take.
const RESUMED_TIME_DIVISOR: u32 = 8;
/// Minimum time that the rest of a resumed stream is expected to take, whatever the grace time: the engine that goes on
/// with it may pause as the one before did.
const MIN_RESUMED_TIME: time::Duration = time::Duration::from_secs(1);

/// What is known of the time that a request takes once it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedTime {
    /// The times of earlier answers on its route.
    Usual(connection_silence::TimeEstimate),
    /// Too few answers are known.
    Unknown,
    /// The request continues a stream of which the caller has received a part.
    Resumed,
}

/// Times of a graceful stop, derived from its start and the grace time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// When the process noticed the request to stop.
    begun: units::MonoTime,
    /// Time from the request to stop to SIGKILL. All other times are parts of it, in this order: connections are closed,
    /// the last requests are sent, the process exits.
    grace: time::Duration,
}

impl StopSchedule {
    /// Creates the schedule of a stop that has `begun`, with a grace time from the settings.
    pub fn new(begun: units::MonoTime, grace: time::Duration) -> Self {
        Self { begun, grace }
    }

    /// Returns when idle connections are closed, and from when requests on new connections are rejected.
    pub fn closing_at(&self) -> units::MonoTime {
        self.begun + NOT_READY_TIME.min(self.grace / 2)
    }

    /// Returns when the remaining requests are answered or cut off, and the process exits.
    pub fn exit_at(&self) -> units::MonoTime {
        let margin = EXIT_MARGIN.min(self.grace / EXIT_MARGIN_DIVISOR);
        self.begun + self.grace.saturating_sub(margin)
    }

    /// Returns until when a request with `left` until its deadline may be sent to an upstream: until its answer can no
    /// longer be expected before the exit.
    ///
    /// Until connections are closed, while the load balancer still sends callers here, the mean time of its route
    /// decides; from then on its longest usual time.
    pub fn last_send_at(
        &self,
        now: units::MonoTime,
        left: time::Duration,
        expected: ExpectedTime,
    ) -> units::MonoTime {
        if now + left <= self.exit_at() {
            // The request has ended before the exit, by its deadline at the latest.
            return self.exit_at();
        }
        let before_exit = |expected| self.exit_at().earlier_by(expected);
        match expected {
            ExpectedTime::Usual(estimate) => {
                let early = before_exit(estimate.mean).min(self.closing_at());
                early.max(before_exit(estimate.longest))
            }
            ExpectedTime::Unknown => {
                self.closing_at().min(before_exit(self.grace / UNKNOWN_TIME_DIVISOR))
            }
            ExpectedTime::Resumed => {
                before_exit((self.grace / RESUMED_TIME_DIVISOR).max(MIN_RESUMED_TIME))
            }
        }
    }
}
