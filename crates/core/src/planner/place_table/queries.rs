//! What the planner reads off the places in use: how many there are, what each engine does, when there is room.

use crate::{
    engine_place, ids, pass_model,
    planner::{engine_view, engine_work, place_table},
    units,
};

/// Reading left at least on an engine that reads a long prompt until its first token is out,
/// milliseconds. Engines put parts that come later first: where one was sent by plan just before the
/// part before it had been read, the earlier prompt would come later by the whole of it.
const MIN_UNREAD_MS: f64 = 50.0;
/// Time overdue beyond which a first token is not waited for, milliseconds: another engine of the
/// same prompt has failed.
const MAX_OVERDUE_MS: f64 = 500.0;

impl place_table::PlaceTable {
    /// Requests that an engine answers.
    pub(crate) fn running_on(&self, engine: &ids::UpstreamId) -> usize {
        self.engines.get(engine).map_or(0, |engine| engine.answering.len())
    }

    /// Requests that engines answer and could answer at once, of engines that are not `excluded`.
    pub(crate) fn used_slots(&self, excluded: &[ids::UpstreamId]) -> (usize, usize) {
        let open = self.engines.iter().filter(|(name, _)| !excluded.contains(name));
        let counts =
            open.map(|(name, engine)| (engine.answering.len(), self.usable_slots(name, engine)));
        counts.fold((0, 0), |(running, slots), one| (running + one.0, slots + one.1))
    }

    /// Requests that an engine could answer at once: as many as come to it within one answer where it has a limit, as
    /// its other places may not be used.
    fn usable_slots(&self, name: &ids::UpstreamId, engine: &engine_work::EngineWork) -> usize {
        let answering = engine.answering.len();
        let Some(rate) = self.limits.rate(name) else {
            return self.shape.slots;
        };
        let within = (rate * self.answer_ms / 1_000.0).ceil() as usize;
        within.clamp(answering.min(self.shape.slots), self.shape.slots)
    }

    /// Time until the first limit lets another request through, milliseconds.
    pub(crate) fn next_permit_ms(&self, now: units::MonoTime) -> f64 {
        let times = self.engines.keys().map(|name| self.limits.times(now, name).wait_ms);
        times.fold(f64::INFINITY, f64::min)
    }

    /// Requests a second that limits let through to engines that are not `excluded`; nothing while one of these has no
    /// limit.
    pub(crate) fn limited_rate(&self, excluded: &[ids::UpstreamId]) -> Option<f64> {
        let open = self.engines.keys().filter(|name| !excluded.contains(name));
        open.map(|name| self.limits.rate(name)).sum()
    }

    /// A refusal with the number of places taken.
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

    /// The engines' work, one short text for each that is not idle, for the log.
    pub(crate) fn summary(&self, now: units::MonoTime) -> String {
        let row = |(name, engine): (&ids::UpstreamId, &engine_work::EngineWork)| {
            let pending = engine.unread_ms();
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

    /// All engines as they are now.
    pub(crate) fn views(&self, now: units::MonoTime) -> Vec<engine_view::EngineView<'_>> {
        self.engines.iter().map(|(name, engine)| self.view(now, name, engine)).collect()
    }

    fn view<'a>(
        &'a self,
        now: units::MonoTime,
        name: &'a ids::UpstreamId,
        engine: &engine_work::EngineWork,
    ) -> engine_view::EngineView<'a> {
        let asks = engine.answering.iter().filter_map(|job| self.jobs.get(job));
        let (mut context, mut pause_ms, mut worth) = (0, f64::INFINITY, 0.0);
        let (mut tight, mut unread) = (0, 0);
        for state in asks {
            let ask = &state.lease.ask;
            context += place_table::context_of(&state.lease);
            pause_ms = pause_ms.min(f64::from(ask.pause_ms));
            worth += f64::from(ask.worth);
            tight += usize::from(ask.tight);
            unread += usize::from(ask.tight && state.lease.reading);
        }
        if engine.foreign > 0 {
            // What another planner's requests bear is not known: taken for short ones, they are not
            // kept waiting by a long part.
            pause_ms = pause_ms.min(self.tightest_ms);
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
            unread_ms: engine.unread_ms().max(self.unconfirmed_ms(now, engine)),
            steps_ms: pass_model::steps_ms(&self.shape, answering, context),
            pause_ms,
            worth,
            tight,
            foreign: engine.foreign,
            unread,
            answering,
            free: engine.memory.saturating_sub(engine.used),
            pace: engine.pace,
            permit,
        }
    }

    /// Mean time until one of those who write with tight pauses has ended, milliseconds; endless
    /// where nobody does.
    pub(crate) fn mean_slot_release_ms(&self) -> f64 {
        let writing = self.jobs.values().filter(|state| state.lease.ask.tight);
        let writing = writing.filter(|state| state.writing_since.is_some()).count();
        self.answer_ms / writing as f64
    }

    /// Time until the long prompts that are read here are known to have been read, milliseconds.
    fn unconfirmed_ms(&self, now: units::MonoTime, engine: &engine_work::EngineWork) -> f64 {
        engine
            .expected
            .iter()
            .filter(|(job, _)| self.jobs.get(job).is_some_and(|state| !state.lease.ask.tight))
            .filter(|(_, due)| now.since(**due).as_secs_f64() * 1_000.0 <= MAX_OVERDUE_MS)
            .map(|(_, due)| (due.since(now).as_secs_f64() * 1_000.0).max(MIN_UNREAD_MS))
            .fold(0.0, f64::max)
    }
}
