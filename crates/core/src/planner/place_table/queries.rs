//! Queries on the place table: slots in use, snapshots of the engines, and expected release times.

use crate::{
    engine_place, ids, pass_model,
    planner::{engine_view, engine_work, place_table},
    units,
};

/// Least remaining prefill time assumed for an engine that works on a long prompt, until its first token is sent,
/// milliseconds. Engines run newer parts first, so a part sent just before the previous one is complete would delay
/// the earlier prompt by its whole length.
const MIN_PREFILL_LEFT_MS: f64 = 50.0;

impl place_table::PlaceTable {
    /// Number of requests that an engine answers.
    pub(crate) fn running_on(&self, engine: &ids::UpstreamId) -> usize {
        self.engines.get(engine).map_or(0, |engine| engine.answering.len())
    }

    /// Number of slots in use and of usable slots, over the engines that are not `excluded`.
    pub(crate) fn used_slots(&self, excluded: &[ids::UpstreamId]) -> (usize, usize) {
        let open = self.engines.iter().filter(|(name, _)| !excluded.contains(name));
        let counts =
            open.map(|(name, engine)| (engine.answering.len(), self.usable_slots(name, engine)));
        counts.fold((0, 0), |(running, slots), count| (running + count.0, slots + count.1))
    }

    /// Number of requests that an engine can answer concurrently. With a rate limit, this is the number that the
    /// limit admits within the duration of one answer, as the other slots cannot be used.
    fn usable_slots(&self, name: &ids::UpstreamId, engine: &engine_work::EngineWork) -> usize {
        let answering = engine.answering.len();
        let Some(rate) = self.limits.rate(name) else {
            return self.shape.slots;
        };
        let admitted = (rate * self.answer_ms / 1_000.0).ceil() as usize;
        admitted.clamp(answering.min(self.shape.slots), self.shape.slots)
    }

    /// Time until the rate limit of any engine permits another request, milliseconds.
    pub(crate) fn next_permit_ms(&self, now: units::MonoTime) -> f64 {
        let times = self.engines.keys().map(|name| self.limits.times(now, name).wait_ms);
        times.fold(f64::INFINITY, f64::min)
    }

    /// Summed rate limits of the engines that are not `excluded`, requests per second; `None` if one of them has no
    /// limit.
    pub(crate) fn limited_rate(&self, excluded: &[ids::UpstreamId]) -> Option<f64> {
        let open = self.engines.keys().filter(|name| !excluded.contains(name));
        open.map(|name| self.limits.rate(name)).sum()
    }

    /// Builds a refusal that states how many slots are in use.
    pub(crate) fn refusal(
        &self,
        job: engine_place::JobId,
        back_after_ms: f64,
        expected_ms: Option<f64>,
    ) -> engine_place::PlaceRefusal {
        let (running, slots) = self.used_slots(&[]);
        engine_place::PlaceRefusal {
            job,
            back_after_ms: back_after_ms as u32,
            expected_ms: expected_ms.map(|expected| expected as u32),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            slots: u32::try_from(slots).unwrap_or(u32::MAX),
        }
    }

    /// Describes the engines that are not idle, for the log.
    pub(crate) fn summary(&self, now: units::MonoTime) -> String {
        let row = |(name, engine): (&ids::UpstreamId, &engine_work::EngineWork)| {
            let pending = engine.prefill_left_ms();
            let ejected = if engine.is_ejected(now, self.engine_faults) { " ejected" } else { "" };
            format!(
                "{name}: {} running, {pending:.0} ms to read, {} tokens, pace {:.1}{ejected}",
                engine.answering.len(),
                engine.used,
                engine.pace
            )
        };
        let (idle, busy): (Vec<_>, Vec<_>) =
            self.engines.iter().partition(|(_, engine)| engine.is_idle(now));
        let mut rows: Vec<_> = busy.into_iter().map(row).collect();
        rows.push(format!("{} idle", idle.len()));
        rows.join("; ")
    }

    /// Snapshots of all engines.
    pub(crate) fn views(&self, now: units::MonoTime) -> Vec<engine_view::EngineView<'_>> {
        self.engines.iter().map(|(name, engine)| self.view(now, name, engine)).collect()
    }

    fn view<'a>(
        &'a self,
        now: units::MonoTime,
        name: &'a ids::UpstreamId,
        engine: &engine_work::EngineWork,
    ) -> engine_view::EngineView<'a> {
        let states = engine.answering.iter().filter_map(|job| self.jobs.get(job));
        let (mut context, mut pause_goal_ms, mut worth) = (0, f64::INFINITY, 0.0);
        let (mut tight, mut prefilling) = (0, 0);
        for state in states {
            let request = &state.lease.request;
            context += place_table::context_of(&state.lease);
            pause_goal_ms = pause_goal_ms.min(f64::from(request.pause_ms));
            worth += f64::from(request.worth);
            tight += usize::from(request.tight);
            prefilling += usize::from(request.tight && state.lease.prefilling);
        }
        if engine.foreign > 0 {
            // The pause goals of another planner's requests are unknown. These requests are treated as short ones, so
            // that long prefills do not delay them.
            pause_goal_ms = pause_goal_ms.min(self.min_pause_goal_ms);
            worth += engine.foreign as f64;
        }
        let answering = engine.answering.len() + engine.foreign;
        let permit = self.limits.times(now, name);
        engine_view::EngineView {
            name,
            rank: engine.rank,
            ejected: engine.is_ejected(now, self.engine_faults),
            wait_ms: engine.wait_ms(now),
            pending_ms: engine.pending_ms(),
            oldest_pending_ms: engine.oldest_pending_ms(now),
            prefill_left_ms: engine.prefill_left_ms().max(self.unconfirmed_ms(now, engine)),
            steps_ms: pass_model::steps_ms(&self.shape, answering, context),
            pause_goal_ms,
            worth,
            tight,
            foreign: engine.foreign,
            prefilling,
            answering,
            free: engine.memory.saturating_sub(engine.used),
            pace: engine.pace,
            permit,
            kept: false,
        }
    }

    /// Mean time until a decoding request with tight pause goals ends and releases its slot, milliseconds; infinite
    /// if there is none.
    pub(crate) fn mean_slot_release_ms(&self) -> f64 {
        let decoding = self.jobs.values().filter(|state| state.lease.request.tight);
        let decoding = decoding.filter(|state| state.first_token_at.is_some()).count();
        self.answer_ms / decoding as f64
    }

    /// Time until all long prompts on this engine are expected to have sent their first tokens, milliseconds; 0 without
    /// such prompts. Only first tokens confirm that the prefill is complete.
    fn unconfirmed_ms(&self, now: units::MonoTime, engine: &engine_work::EngineWork) -> f64 {
        engine
            .expected
            .iter()
            .filter(|(job, _)| self.jobs.get(job).is_some_and(|state| !state.lease.request.tight))
            .filter(|(_, token)| now.since(token.due) <= engine_work::MAX_OVERDUE)
            .map(|(_, token)| {
                (token.due.since(now).as_secs_f64() * 1_000.0).max(MIN_PREFILL_LEFT_MS)
            })
            .fold(0.0, f64::max)
    }
}
