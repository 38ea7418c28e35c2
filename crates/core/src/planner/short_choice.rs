//! Which engine reads a short prompt: shorts are packed onto few engines, so that others stay free
//! of writers whose pauses are tight.

use crate::{
    engine_place, pass_model,
    planner::{engine_view, waiting_job},
    route_table, units,
};

/// Part of a short goal that a plan may use on the engine.
const GOAL_FRACTION: f64 = 0.75;
/// Part of a short goal within which a sooner start earns nothing.
const NO_LOSS_GOAL_FRACTION: f64 = 0.55;
/// Losses by which short requests are ordered onto engines, in shares of one's worth: for each
/// writer missing to the packing, for each beyond it, for each long one beside, for a pause that
/// is too long already, for an engine without a free slot.
const PACK_LOSS: f64 = 0.004;
/// See [`PACK_LOSS`].
const CROWD_LOSS: f64 = 0.02;
/// See [`PACK_LOSS`].
const BESIDE_LOSS: f64 = 0.03;
/// See [`PACK_LOSS`]; for each request of another planner. Two that fill the same engine see each
/// other's only when these have begun to write, so each keeps to engines of its own while it can.
const FOREIGN_LOSS: f64 = 0.02;
/// See [`PACK_LOSS`].
const PAUSED_LOSS: f64 = 0.5;
/// See [`PACK_LOSS`].
const FULL_LOSS: f64 = 1.0;
/// Loss for each time that an engine is slower than its figures: it may get slower still.
const PACE_LOSS: f64 = 0.05;

/// How a choice among engines is weighed.
pub(crate) struct ShortChoice<'a> {
    pub(crate) shape: &'a route_table::EngineShape,
    /// Writers with tight pauses that an engine is filled up to before the next one is used, where
    /// they are packed.
    pub(crate) packed_writers: Option<usize>,
}

impl ShortChoice<'_> {
    /// The engine that loses least; with `strict` only one that is in time and delays no other request.
    pub(crate) fn choose(
        &self,
        now: units::MonoTime,
        job: &waiting_job::WaitingJob,
        views: &[engine_view::EngineView<'_>],
        strict: bool,
    ) -> Option<engine_place::PlaceGrant> {
        let part = pass_model::read_ms(self.shape, job.ask.prompt);
        let usable = engine_view::usable(views, &job.ask);
        let engine = usable
            .into_iter()
            .map(|at| &views[at])
            .filter(|view| view.has_permit())
            .filter(|view| !strict || self.meets_limits(view, &job.ask, part))
            .min_by(|left, right| {
                let loss = self.loss(left, &job.ask, part);
                loss.total_cmp(&self.loss(right, &job.ask, part)).then(left.rank.cmp(&right.rank))
            })?;
        Some(engine_place::PlaceGrant {
            job: job.ask.job,
            engine: engine.name.clone(),
            helpers: Vec::new(),
            held: Vec::new(),
            first_token_ms: engine.first_ms(part) as u32,
            waited_ms: job.waited_ms(now) as u32,
        })
    }

    /// Whether an engine can read a prompt at once without delaying other requests.
    fn meets_limits(
        &self,
        view: &engine_view::EngineView<'_>,
        ask: &engine_place::PlaceAsk,
        part: f64,
    ) -> bool {
        let pass = (view.steps_ms + view.pending_ms + part) * view.pace;
        view.answering < self.shape.slots
            && pass <= f64::from(ask.pause_ms) * engine_view::PAUSE_FRACTION
            && view.first_ms(part) <= f64::from(ask.goal_ms) * GOAL_FRACTION
            && view.pause_loss(part) <= 0.0
    }

    /// Cost of reading a prompt on an engine, in shares of a short one's worth.
    fn loss(
        &self,
        view: &engine_view::EngineView<'_>,
        ask: &engine_place::PlaceAsk,
        part: f64,
    ) -> f64 {
        let wait = (view.pending_ms + view.steps_ms + part) * view.pace;
        let full = if view.answering >= self.shape.slots { FULL_LOSS } else { 0.0 };
        let pause_limit = f64::from(ask.pause_ms) * engine_view::PAUSE_FRACTION;
        let paused = if wait > pause_limit { PAUSED_LOSS } else { 0.0 };
        let fill = match self.packed_writers {
            Some(packed) if view.tight < packed => (packed - view.tight) as f64 * PACK_LOSS,
            Some(packed) => (view.tight - packed) as f64 * CROWD_LOSS,
            None => 0.0,
        };
        let foreign = view.foreign as f64 * FOREIGN_LOSS;
        let beside = (view.answering - view.tight - view.foreign) as f64 * BESIDE_LOSS;
        // Time that the goal leaves anyway costs nothing.
        let easy = f64::from(ask.goal_ms) * NO_LOSS_GOAL_FRACTION;
        let slow = (view.first_ms(part) - easy).max(0.0) / 1_000.0;
        let pace = (view.pace - 1.0).max(0.0) * PACE_LOSS;
        view.pause_loss(part) + slow + full + paused + fill + foreign + beside + pace
    }
}
