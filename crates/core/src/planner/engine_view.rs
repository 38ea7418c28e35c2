//! Engines as one decision of the planner sees them. Times are milliseconds as `f64`, see
//! [`crate::pass_model`].

use crate::{engine_place, ids, planner::engine_limits};

/// An engine as one decision sees it.
#[derive(Debug, Clone)]
pub(crate) struct EngineView<'a> {
    pub(crate) name: &'a ids::UpstreamId,
    pub(crate) rank: u64,
    /// Whether it failed lately and is left alone.
    pub(crate) ejected: bool,
    /// Time until its next pass begins, milliseconds.
    pub(crate) wait_ms: f64,
    /// Reading that waits for that pass, milliseconds.
    pub(crate) pending_ms: f64,
    /// Time until all that is to be read there has been read, milliseconds.
    pub(crate) unread_ms: f64,
    /// Steps of a pass there, milliseconds.
    pub(crate) steps_ms: f64,
    /// Smallest pause goal of those that write there; infinite without any.
    pub(crate) pause_ms: f64,
    /// Worth of those that write there.
    pub(crate) worth: f64,
    /// Requests with tight pauses there, of this planner.
    pub(crate) tight: usize,
    /// Requests of other planners there, whose kinds are not known.
    pub(crate) foreign: usize,
    /// Requests with tight pauses whose prompt has not been read.
    pub(crate) unread: usize,
    /// Requests that it answers.
    pub(crate) answering: usize,
    /// Tokens of its memory that are neither in use nor set aside.
    pub(crate) free: u64,
    /// Above 1 it is slower than its figures.
    pub(crate) pace: f64,
    /// When its limit lets requests through.
    pub(crate) permit: engine_limits::PermitTimes,
}

/// Part of a pause goal that a pass may fill by plan; the rest is for what the plan cannot see.
pub(crate) const PAUSE_FRACTION: f64 = 0.85;
/// Part of its worth that an answer loses by one long pause.
const PAUSE_LOSS_FRACTION: f64 = 0.75;

/// Pause goals beyond which a plan keeps no request waiting: after 8 of them callers leave.
const MAX_PAUSES: f64 = 6.0;

impl EngineView<'_> {
    /// Whether its limit lets a request through now.
    pub(crate) fn has_permit(&self) -> bool {
        self.permit.wait_ms <= 0.0
    }

    /// Requests there that a long part beside them may harm: those with tight pauses, and those of
    /// other planners.
    pub(crate) fn sensitive(&self) -> usize {
        self.tight + self.foreign
    }

    /// Expected time to the first token of a prompt of which a part is read here: it is out when
    /// the pass that reads it ends.
    pub(crate) fn first_ms(&self, part: f64) -> f64 {
        (self.wait_ms + self.pending_ms + part + self.steps_ms) * self.pace
    }

    /// Time of a pass that reads a part here, milliseconds.
    pub(crate) fn own_ms(&self, part: f64) -> f64 {
        (part + self.steps_ms) * self.pace
    }

    /// Worth that those who write here lose by one more part read here.
    pub(crate) fn pause_loss(&self, part: f64) -> f64 {
        let before = (self.steps_ms + self.pending_ms) * self.pace;
        let pause = before + part * self.pace;
        let limit = self.pause_ms * PAUSE_FRACTION;
        if pause > self.pause_ms * MAX_PAUSES {
            return f64::INFINITY;
        }
        // A pause that is too long already is not lost twice.
        if pause > limit && before <= limit { self.worth * PAUSE_LOSS_FRACTION } else { 0.0 }
    }
}

/// Engines that a request may use, by their places among the views; one that failed lately is
/// better than none.
pub(crate) fn usable(views: &[EngineView<'_>], ask: &engine_place::PlaceAsk) -> Vec<usize> {
    let allowed = |ejected: bool| {
        let rows = views.iter().enumerate();
        rows.filter(|(_, view)| view.ejected == ejected && !ask.excluded.contains(view.name))
            .map(|(at, _)| at)
            .collect::<Vec<_>>()
    };
    let usable = allowed(false);
    if usable.is_empty() { allowed(true) } else { usable }
}
