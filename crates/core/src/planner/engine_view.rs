//! Snapshots of engines for one decision of the planner. Times are milliseconds as `f64`, see
//! [`crate::pass_model`].

use crate::{
    engine_place, ids,
    planner::{engine_limits, engine_work},
};

/// The state of an engine at the time of one decision, including what that decision has booked on it.
#[derive(Debug, Clone)]
pub(crate) struct EngineView<'a> {
    pub(crate) name: &'a ids::UpstreamId,
    /// Tie-breaker between engines of equal loss or cost: the lowest rank is preferred. Each member derives its own
    /// ranks.
    pub(crate) rank: u64,
    /// Whether the engine is excluded for a while after a recent failure or refusal.
    pub(crate) ejected: bool,
    /// Time until the engine's next pass begins, milliseconds.
    pub(crate) wait_ms: f64,
    /// Prefill time that is queued for the engine's next pass, milliseconds.
    pub(crate) pending_ms: f64,
    /// Age of the oldest part that waits for the engine's next pass, milliseconds.
    pub(crate) oldest_pending_ms: f64,
    /// Time until all prefill that is running or queued on the engine is complete, milliseconds.
    pub(crate) prefill_left_ms: f64,
    /// Time of the decode steps of one pass, milliseconds.
    pub(crate) steps_ms: f64,
    /// Smallest pause goal of the engine's requests, milliseconds; infinite without requests.
    pub(crate) pause_goal_ms: f64,
    /// Summed worth of the engine's requests; each request of another planner counts 1.
    pub(crate) worth: f64,
    /// Number of this planner's requests with tight pause goals on the engine.
    pub(crate) tight: usize,
    /// Number of requests of other planners on the engine. Their pause goals are unknown.
    pub(crate) foreign: usize,
    /// Number of requests with tight pause goals whose prefill is not complete.
    pub(crate) prefilling: usize,
    /// Number of requests that the engine answers, including those of other planners.
    pub(crate) answering: usize,
    /// Memory that is neither in use nor reserved, tokens.
    pub(crate) free: u64,
    /// Slowdown relative to the performance model; above 1 if the engine is slower.
    pub(crate) pace: f64,
    /// When the engine's rate limit permits requests.
    pub(crate) permit: engine_limits::PermitTimes,
    /// Whether the engine is kept free of long parts, for short requests that are expected to arrive.
    pub(crate) kept: bool,
}

/// Fraction of a first-token goal within which an engine must be able to send the first token to count as having a free
/// place. The last places that are left have the latest first tokens: with 0.75, which any placement may use, 0.92 of the
/// requests that needed these places were on time, with 0.65 0.99.
const FREE_PLACE_GOAL_FRACTION: f64 = 0.65;
/// Fraction of a first-token goal that a pass of an engine with a free place may take. A request that just missed the
/// start of a pass waits for two passes. Without this bound, 0.83 of a small customer's requests were on time during
/// the first seconds of a flood, with it 0.96.
const FREE_PLACE_PASS_FRACTION: f64 = 0.4;
/// Fraction of a pause goal that a planned pass may take; the remainder is for load that the planner cannot see.
pub(crate) const PAUSE_FRACTION: f64 = 0.85;
/// Fraction of its worth that an answer loses by one pause beyond its goal.
const PAUSE_LOSS_FRACTION: f64 = 0.75;

/// Longest pause that a plan may cause, as a multiple of the pause goal. Callers leave after 8 times their goal.
const MAX_PAUSE_FACTOR: f64 = 6.0;

impl EngineView<'_> {
    /// Whether the engine's rate limit permits a request now.
    pub(crate) fn has_permit(&self) -> bool {
        self.permit.wait_ms <= 0.0
    }

    /// Number of requests that a long prefill on the engine may delay too much: those with tight pause goals, and those
    /// of other planners.
    pub(crate) fn latency_sensitive(&self) -> usize {
        self.tight + self.foreign
    }

    /// Expected time to the first token, milliseconds, if this engine prefills a part of `part` milliseconds. The token
    /// is sent at the end of the pass that prefills the part.
    pub(crate) fn first_ms(&self, part: f64) -> f64 {
        (self.wait_ms + self.pending_ms + part + self.steps_ms) * self.pace
    }

    /// Counts the requests of other planners that reports leave out, if the engine has any.
    pub(crate) fn count_hidden(&mut self) {
        if self.foreign > 0 {
            self.foreign += engine_work::REPORT_SLACK;
            self.answering += engine_work::REPORT_SLACK;
        }
    }

    /// Number of requests like `request`, with parts of `part` milliseconds, that the engine could start together so that
    /// all of them meet their goals, and so would one that just missed their pass.
    pub(crate) fn free_places(
        &self,
        slots: usize,
        request: &engine_place::PlacementRequest,
        part: f64,
    ) -> usize {
        let goal_ms = f64::from(request.goal_ms);
        let in_pass =
            self.free_place_pass_ms(request) / self.pace - self.steps_ms - self.pending_ms;
        let in_goal = (goal_ms * FREE_PLACE_GOAL_FRACTION - self.first_ms(0.0)) / self.pace;
        let starting = (in_pass.min(in_goal) / part).max(0.0) as usize;
        slots.saturating_sub(self.answering).min(starting)
    }

    /// Longest pass with which the engine has a free place for a request like `request`, milliseconds.
    pub(crate) fn free_place_pass_ms(&self, request: &engine_place::PlacementRequest) -> f64 {
        let pause_goal_ms = f64::from(request.pause_ms).min(self.pause_goal_ms);
        (pause_goal_ms * PAUSE_FRACTION).min(f64::from(request.goal_ms) * FREE_PLACE_PASS_FRACTION)
    }

    /// Duration in milliseconds of a pass that prefills a part of `part` milliseconds.
    pub(crate) fn pass_ms(&self, part: f64) -> f64 {
        (part + self.steps_ms) * self.pace
    }

    /// Worth that the engine's requests lose if it prefills one more part of `part` milliseconds; infinite if the pause
    /// would be longer than any plan may cause.
    pub(crate) fn pause_loss(&self, part: f64) -> f64 {
        let before = (self.steps_ms + self.pending_ms) * self.pace;
        let pause = before + part * self.pace;
        let limit = self.pause_goal_ms * PAUSE_FRACTION;
        if pause > self.pause_goal_ms * MAX_PAUSE_FACTOR {
            return f64::INFINITY;
        }
        // If the pause exceeds the limit even without this part, the part causes no further loss.
        if pause > limit && before <= limit { self.worth * PAUSE_LOSS_FRACTION } else { 0.0 }
    }
}

/// Indices of the engines that a request may use. Ejected engines are used only if there are no others.
pub(crate) fn usable(
    views: &[EngineView<'_>],
    request: &engine_place::PlacementRequest,
) -> Vec<usize> {
    let allowed = |ejected: bool| {
        let rows = views.iter().enumerate();
        rows.filter(|(_, view)| view.ejected == ejected && !request.excluded.contains(view.name))
            .map(|(index, _)| index)
            .collect::<Vec<_>>()
    };
    let usable = allowed(false);
    if usable.is_empty() { allowed(true) } else { usable }
}
