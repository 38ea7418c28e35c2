//! Choice of the engine for a short prompt. Short requests are packed onto few engines, so that the others have no
//! decoding requests with tight pause goals and stay free for long prompts.
//!
//! All losses are fractions of a short request's worth; the engine with the smallest sum is chosen.

use crate::{
    engine_place, pass_model,
    planner::{engine_view, waiting_job},
    route_table, units,
};

/// Fraction of the first-token goal of a short request that the planned time on the engine may take.
const GOAL_FRACTION: f64 = 0.75;
/// Fraction of the first-token goal of a short request below which an earlier first token has no benefit.
const NO_LOSS_GOAL_FRACTION: f64 = 0.55;
/// Loss for each request by which an engine is below its packing target.
const PACK_LOSS: f64 = 0.004;
/// Loss for each request by which an engine is above its packing target.
const OVERPACKED_LOSS: f64 = 0.02;
/// Loss for each long request that the engine answers.
const LONG_NEIGHBOR_LOSS: f64 = 0.03;
/// Loss for each request of another planner. Two planners see each other's requests only once these are decoding, so
/// each prefers engines that the other does not use.
const FOREIGN_LOSS: f64 = 0.02;
/// Loss if the pass that prefills the prompt would exceed the pause limit.
const LONG_PASS_LOSS: f64 = 0.5;
/// Loss if the engine has no free slot.
const FULL_LOSS: f64 = 1.0;
/// Loss for each unit by which the engine's pace exceeds 1, as it may become even slower.
const PACE_LOSS: f64 = 0.05;

/// Parameters of the choice among engines.
pub(crate) struct ShortChoice<'a> {
    pub(crate) shape: &'a route_table::EngineShape,
    /// Packing target: requests with tight pause goals that an engine gets before the next one is used; `None`
    /// without packing.
    pub(crate) packing_target: Option<usize>,
}

impl ShortChoice<'_> {
    /// Grants the engine with the smallest loss; with `strict`, only one that meets all limits. `None` if there is
    /// none.
    pub(crate) fn choose(
        &self,
        now: units::MonoTime,
        job: &waiting_job::WaitingJob,
        views: &[engine_view::EngineView<'_>],
        strict: bool,
    ) -> Option<engine_place::PlaceGrant> {
        let part = pass_model::prefill_ms(self.shape, job.request.prompt);
        let usable = engine_view::usable(views, &job.request);
        let engine = usable
            .into_iter()
            .map(|at| &views[at])
            .filter(|view| view.has_permit())
            .filter(|view| !strict || self.meets_limits(view, &job.request, part))
            .min_by(|left, right| {
                let loss = self.loss(left, &job.request, part);
                loss.total_cmp(&self.loss(right, &job.request, part))
                    .then(left.rank.cmp(&right.rank))
            })?;
        Some(engine_place::PlaceGrant {
            job: job.request.job,
            engine: engine.name.clone(),
            helpers: Vec::new(),
            held: Vec::new(),
            first_token_ms: engine.first_ms(part) as u32,
            waited_ms: job.waited_ms(now) as u32,
        })
    }

    /// Whether an engine has a free slot and can prefill a prompt in time without breaking any pause limit.
    fn meets_limits(
        &self,
        view: &engine_view::EngineView<'_>,
        request: &engine_place::PlacementRequest,
        part: f64,
    ) -> bool {
        let pass_ms = (view.steps_ms + view.pending_ms + part) * view.pace;
        view.answering < self.shape.slots
            && pass_ms <= f64::from(request.pause_ms) * engine_view::PAUSE_FRACTION
            // The prompts that wait for the same pass get their first tokens at its end, too.
            && view.oldest_pending_ms + view.first_ms(part)
                <= f64::from(request.goal_ms) * GOAL_FRACTION
            && view.pause_loss(part) <= 0.0
    }

    /// Loss caused by placing a prompt on an engine, as a fraction of a short request's worth.
    fn loss(
        &self,
        view: &engine_view::EngineView<'_>,
        request: &engine_place::PlacementRequest,
        part: f64,
    ) -> f64 {
        let pass_ms = (view.pending_ms + view.steps_ms + part) * view.pace;
        let full_loss = if view.answering >= self.shape.slots { FULL_LOSS } else { 0.0 };
        let pause_limit = f64::from(request.pause_ms) * engine_view::PAUSE_FRACTION;
        let long_pass_loss = if pass_ms > pause_limit { LONG_PASS_LOSS } else { 0.0 };
        let packing_loss = match self.packing_target {
            Some(target) if view.tight < target => (target - view.tight) as f64 * PACK_LOSS,
            Some(target) => (view.tight - target) as f64 * OVERPACKED_LOSS,
            None => 0.0,
        };
        let foreign_loss = view.foreign as f64 * FOREIGN_LOSS;
        let neighbor_loss =
            (view.answering - view.tight - view.foreign) as f64 * LONG_NEIGHBOR_LOSS;
        // A first token within this time costs nothing; each second beyond it costs a short request's worth.
        let goal_without_loss = f64::from(request.goal_ms) * NO_LOSS_GOAL_FRACTION;
        let delay_loss = (view.first_ms(part) - goal_without_loss).max(0.0) / 1_000.0;
        let pace_loss = (view.pace - 1.0).max(0.0) * PACE_LOSS;
        view.pause_loss(part)
            + delay_loss
            + full_loss
            + long_pass_loss
            + packing_loss
            + foreign_loss
            + neighbor_loss
            + pace_loss
    }
}
