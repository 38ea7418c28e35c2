//! A request that waits for a place, and what is left of its times.

use crate::{engine_place, units};

/// Part of the time left until a first token is late that a plan may use.
const GOAL_FRACTION: f64 = 0.93;
/// Time on the way to an engine and back, and until the planner looks again, milliseconds.
const ROUND_TRIP_MS: f64 = 40.0;
/// Part of a caller's patience that a plan may use; after it the caller has left.
const PATIENCE_FRACTION: f64 = 0.9;
/// Part of its worth that a request keeps that comes late.
pub(crate) const LATE_FRACTION: f64 = 0.25;

/// A request without a place.
#[derive(Debug, Clone)]
pub(crate) struct WaitingJob {
    pub(crate) ask: engine_place::PlaceAsk,
    pub(crate) since: units::MonoTime,
    /// Whether it is planned to be late, after all that can be in time; worked out at each plan.
    pub(crate) late: bool,
    /// Whether it was late once and not refused.
    pub(crate) admitted_late: bool,
}

impl WaitingJob {
    /// A request that has just asked.
    pub(crate) fn new(ask: engine_place::PlaceAsk, since: units::MonoTime) -> Self {
        Self { ask, since, late: false, admitted_late: false }
    }

    pub(crate) fn waited_ms(&self, now: units::MonoTime) -> f64 {
        now.since(self.since).as_secs_f64() * 1_000.0
    }

    pub(crate) fn goal_left_ms(&self, now: units::MonoTime) -> f64 {
        f64::from(self.ask.goal_left_ms) - self.waited_ms(now)
    }

    /// Time within which its first token must be planned, milliseconds: for its goal, or before its
    /// caller leaves where it comes late.
    pub(crate) fn due_ms(&self, now: units::MonoTime) -> f64 {
        if self.late {
            self.patience_ms(now)
        } else {
            self.goal_left_ms(now) * GOAL_FRACTION - ROUND_TRIP_MS
        }
    }

    /// Time within which its first token must be planned before its caller leaves, milliseconds.
    pub(crate) fn patience_ms(&self, now: units::MonoTime) -> f64 {
        (f64::from(self.ask.patience_ms) - self.waited_ms(now)) * PATIENCE_FRACTION
    }

    /// What its answer is worth by now.
    pub(crate) fn value(&self) -> f64 {
        f64::from(self.ask.worth) * if self.late { LATE_FRACTION } else { 1.0 }
    }

    /// What is lost where that time is missed: the difference to a late answer, or that answer.
    pub(crate) fn loss_if_missed(&self) -> f64 {
        let part = if self.late { LATE_FRACTION } else { 1.0 - LATE_FRACTION };
        f64::from(self.ask.worth) * part
    }
}
