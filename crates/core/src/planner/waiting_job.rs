//! A request that waits for a placement, and its remaining time limits.

use crate::{engine_place, pass_model, planner::return_schedule, route_table, units};

/// Fraction of the time left until the first token is late that a plan may use.
const GOAL_FRACTION: f64 = 0.93;
/// Round trip to an engine plus the wait for the next planning round, milliseconds.
const ROUND_TRIP_MS: f64 = 40.0;
/// Multiple of the shortest prefill time for which a prompt that waits must still have time.
const SPARE_FACTOR: f64 = 2.0;
/// Fraction of the time left until the caller gives up that a plan may use.
const CALLER_WAIT_FRACTION: f64 = 0.9;
/// Fraction of its worth that a late request keeps.
pub(crate) const LATE_FRACTION: f64 = 0.25;

/// A request without a placement.
#[derive(Debug, Clone)]
pub(crate) struct WaitingJob {
    pub(crate) request: engine_place::PlacementRequest,
    /// When the request arrived at this planner.
    pub(crate) since: units::MonoTime,
    /// Whether the first token is planned to be late; decided again in each planning round.
    pub(crate) late: bool,
    /// Whether the request missed its due time in an earlier planning step and was admitted late instead of refused.
    pub(crate) admitted_late: bool,
    /// What the schedule of rejected callers knew about the request when it arrived.
    pub(crate) standing: return_schedule::ReturnStanding,
    /// 0 unless the request's customer demands more than its share of scarce capacity; otherwise the engines that it uses
    /// per unit of its weight. Computed again in each planning round.
    pub(crate) over_share: f64,
}

impl WaitingJob {
    /// Creates a request that starts to wait at `since`.
    pub(crate) fn new(request: engine_place::PlacementRequest, since: units::MonoTime) -> Self {
        let standing = return_schedule::ReturnStanding::default();
        Self { request, since, late: false, admitted_late: false, standing, over_share: 0.0 }
    }

    /// Whether the request has precedence: its caller was rejected before and returns at its assigned time.
    pub(crate) fn is_due(&self) -> bool {
        self.standing == return_schedule::ReturnStanding::Due
    }

    /// Time for which the request has waited, milliseconds.
    pub(crate) fn waited_ms(&self, now: units::MonoTime) -> f64 {
        now.since(self.since).as_secs_f64() * 1_000.0
    }

    /// Time left until the first token is late, milliseconds; negative if it is late already.
    pub(crate) fn goal_left_ms(&self, now: units::MonoTime) -> f64 {
        f64::from(self.request.goal_left_ms) - self.waited_ms(now)
    }

    /// Time since the caller's first attempt, as a fraction of the first-token goal.
    pub(crate) fn goal_spent(&self, now: units::MonoTime) -> f64 {
        1.0 - self.goal_left_ms(now) / f64::from(self.request.goal_ms.max(1))
    }

    /// Time within which the first token must be planned, milliseconds: to meet its goal, or if it is late, before the
    /// caller gives up.
    pub(crate) fn due_ms(&self, now: units::MonoTime) -> f64 {
        if self.late {
            self.patience_ms(now)
        } else {
            self.goal_left_ms(now) * GOAL_FRACTION - ROUND_TRIP_MS
        }
    }

    /// Part of the time left until the caller gives up that a plan may use, milliseconds; see [`CALLER_WAIT_FRACTION`].
    pub(crate) fn patience_ms(&self, now: units::MonoTime) -> f64 {
        (f64::from(self.request.patience_ms) - self.waited_ms(now)) * CALLER_WAIT_FRACTION
    }

    /// Whether a prompt can wait for `span_ms` and still meet its goal, if as many engines as possible then prefill it.
    /// `false` for a resumed request, and if `span_ms` is 0.
    pub(crate) fn can_wait(
        &self,
        now: units::MonoTime,
        shape: &route_table::EngineShape,
        span_ms: f64,
    ) -> bool {
        let parts = engine_place::MAX_HELPERS + 1;
        let prefill_ms = pass_model::part_ms(shape, self.request.prompt, parts);
        let left_ms = self.goal_left_ms(now) * GOAL_FRACTION - ROUND_TRIP_MS;
        span_ms > 0.0 && !self.request.resumed && span_ms + prefill_ms * SPARE_FACTOR <= left_ms
    }

    /// Worth of the answer, reduced if it is late.
    pub(crate) fn value(&self) -> f64 {
        f64::from(self.request.worth) * if self.late { LATE_FRACTION } else { 1.0 }
    }

    /// Worth lost if the request misses its due time: the difference between an answer in time and a late one, or if
    /// the request is late already, the late answer.
    pub(crate) fn loss_if_missed(&self) -> f64 {
        let part = if self.late { LATE_FRACTION } else { 1.0 - LATE_FRACTION };
        f64::from(self.request.worth) * part
    }
}
