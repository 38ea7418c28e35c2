//! Where prompts are read: which engine answers a request, and which engines read parts of it.
//!
//! One planner holds the work of every engine of a service. Short prompts are packed onto few
//! engines, long ones are read in parts by engines on which nobody's pauses suffer. A request
//! that has slack waits for such a place; one that has none takes the place that loses least.
//! Times are milliseconds as `f64`, see [`crate::pass_model`].

use std::{collections, time};

use crate::{
    engine_place, engine_work, ids, planner_choice, planner_urgency, route_table, settings, units,
};

/// Time after a short request found no calm place during which others are taken to find none.
const PRESSED_TIME: time::Duration = time::Duration::from_millis(700);

/// How the planner weighs its choices; the figures come from runs of `slipturn-compare` and of
/// the users' bench, see `docs/design/platform.md`.
#[derive(Debug, Clone, Copy)]
pub struct PlannerOptions {
    /// How engines are chosen; all but slipturn's own are there to compare with.
    pub routing: settings::RoutingKind,
    /// Writers with tight pauses that an engine is filled up to before the next one is used.
    pub packed_writers: usize,
    /// Most parts of one prompt.
    pub max_parts: usize,
    /// Loss of an engine's tight writer whose pause grows by a whole goal, in shares of its worth.
    pub pressure: f64,
    /// Loss of a first token that takes its whole goal, in shares of its worth, for ties.
    pub delay: f64,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        let routing = settings::RoutingKind::ExpectedStart;
        Self { routing, packed_writers: 14, max_parts: 17, pressure: 0.25, delay: 0.3 }
    }
}

/// A request with a place.
#[derive(Debug, Clone)]
pub(crate) struct JobState {
    pub(crate) lease: engine_place::PlaceLease,
    pub(crate) renewed: units::MonoTime,
}

/// The work of every engine of one service.
#[derive(Debug)]
pub struct ReadPlanner {
    pub(crate) shape: route_table::EngineShape,
    pub(crate) options: PlannerOptions,
    pub(crate) engines: collections::BTreeMap<ids::UpstreamId, engine_work::EngineWork>,
    pub(crate) jobs: collections::HashMap<engine_place::JobId, JobState>,
    pub(crate) waiting: Vec<planner_urgency::WaitingJob>,
    /// Until when short requests are taken to find no room.
    pub(crate) pressed_until: units::MonoTime,
    /// Engines that were silent; they should be asked for a report.
    pub(crate) suspects: collections::BTreeSet<ids::UpstreamId>,
}

impl ReadPlanner {
    /// A planner without engines.
    pub fn new(shape: route_table::EngineShape, options: PlannerOptions) -> Self {
        Self {
            shape,
            options,
            engines: collections::BTreeMap::new(),
            jobs: collections::HashMap::new(),
            waiting: Vec::new(),
            pressed_until: units::MonoTime::default(),
            suspects: collections::BTreeSet::new(),
        }
    }

    /// Takes over new figures of the engines.
    pub fn set_shape(&mut self, shape: route_table::EngineShape) {
        self.shape = shape;
    }

    /// Sets which engines may be used; each with a number that orders them alike everywhere.
    pub fn set_engines(&mut self, now: units::MonoTime, names: &[(ids::UpstreamId, u64)]) {
        let wanted: collections::BTreeSet<_> = names.iter().map(|(name, _)| name).collect();
        self.engines.retain(|name, _| wanted.contains(name));
        for (name, rank) in names {
            let memory = (self.shape.memory.0 as f64 * planner_choice::MEMORY_PART) as u64;
            self.engines
                .entry(name.clone())
                .or_insert_with(|| engine_work::EngineWork::new(*rank, memory, now));
        }
    }

    /// Number of requests that wait for a place.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that have a place.
    pub fn placed_count(&self) -> usize {
        self.jobs.len()
    }

    /// The planner's view of its engines, one short text an engine, for the log.
    pub fn summary(&self, now: units::MonoTime) -> String {
        let row = |(name, engine): (&ids::UpstreamId, &engine_work::EngineWork)| {
            let pending = engine.unread_ms();
            let shunned = if engine.shunned_until > now { " shunned" } else { "" };
            format!(
                "{name}: {} running, {pending:.0} ms to read, {} tokens, pace {:.1}{shunned}",
                engine.answering.len(),
                engine.used,
                engine.pace
            )
        };
        self.engines.iter().map(row).collect::<Vec<_>>().join("; ")
    }

    /// Asks for a place; asked again, it answers the same.
    pub fn ask(
        &mut self,
        now: units::MonoTime,
        ask: engine_place::PlaceAsk,
    ) -> Option<engine_place::PlaceAnswer> {
        if let Some(state) = self.jobs.get(&ask.job) {
            return Some(engine_place::PlaceAnswer::Grant(state.lease.grant.clone()));
        }
        if self.waiting.iter().any(|waiting| waiting.ask.job == ask.job) {
            return None;
        }
        let waiting = planner_urgency::WaitingJob { ask, since: now };
        match self.try_place(now, &waiting) {
            Some(answer) => Some(answer),
            None => {
                self.waiting.push(waiting);
                None
            }
        }
    }

    /// Gives places to those that wait, the most urgent first.
    pub fn tick(&mut self, now: units::MonoTime) -> Vec<engine_place::PlaceAnswer> {
        self.expire(now);
        let mut waiting = std::mem::take(&mut self.waiting);
        // What would be late after a short wait goes first. Of the others the least work goes first, as it earns most for an engine's time; short
        // ones that were refused once go before all.
        waiting.sort_by(|left, right| {
            let order = |job: &planner_urgency::WaitingJob| {
                let first = job.ask.refusable || !job.ask.tight();
                let late = job.late(now) && !job.ask.tight();
                (late, first, !self.is_urgent(now, job), job.ask.prompt)
            };
            order(left).cmp(&order(right))
        });
        let mut answers = Vec::new();
        for job in waiting {
            match self.try_place(now, &job) {
                Some(answer) => answers.push(answer),
                None => self.waiting.push(job),
            }
        }
        answers
    }

    /// Takes in what a member tells of one of its requests.
    pub fn note(&mut self, now: units::MonoTime, note: &engine_place::PlaceNote) {
        match note {
            engine_place::PlaceNote::FirstToken(job) => self.first_token(now, *job),
            engine_place::PlaceNote::Ended(job, end) => self.end(now, *job, *end),
            engine_place::PlaceNote::Shun(engine) => self.shun(now, engine),
        }
    }

    /// Notes that a prompt has been read and its answer begins.
    pub fn first_token(&mut self, now: units::MonoTime, job: engine_place::JobId) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        state.lease.reading = false;
        let grant = state.lease.grant.clone();
        for name in std::iter::once(&grant.engine).chain(&grant.helpers) {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.advance(now);
                engine.note_read(job);
            }
        }
        if let Some(engine) = self.engines.get_mut(&grant.engine) {
            engine.writers.insert(job);
        }
        self.refresh_steps(&grant.engine);
    }

    /// Ends a request, placed or waiting.
    pub fn end(
        &mut self,
        now: units::MonoTime,
        job: engine_place::JobId,
        end: engine_place::PlaceEnd,
    ) {
        self.waiting.retain(|waiting| waiting.ask.job != job);
        let Some(state) = self.jobs.remove(&job) else {
            return;
        };
        self.release(&state.lease);
        match end {
            engine_place::PlaceEnd::Failed => self.shun(now, &state.lease.grant.engine),
            engine_place::PlaceEnd::Silent => {
                self.suspects.insert(state.lease.grant.engine.clone());
            }
            engine_place::PlaceEnd::Done | engine_place::PlaceEnd::Full => {}
        }
    }

    /// Leaves an engine alone for a while.
    pub fn shun(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.shun(now);
        }
    }

    /// Engines that were silent since the last call.
    pub fn take_suspects(&mut self) -> Vec<ids::UpstreamId> {
        std::mem::take(&mut self.suspects).into_iter().collect()
    }

    /// Takes over what an engine says of itself: its pace, above 1 when it is slower than its
    /// figures, and the requests that it runs and holds in its queue.
    ///
    /// What goes clearly beyond this planner's own is the work of another one, as on the other
    /// side of a cut.
    pub fn set_report(&mut self, name: &ids::UpstreamId, pace: f64, requests: usize) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.report(pace, requests);
        }
    }

    fn try_place(
        &mut self,
        now: units::MonoTime,
        job: &planner_urgency::WaitingJob,
    ) -> Option<engine_place::PlaceAnswer> {
        for engine in self.engines.values_mut() {
            engine.advance(now);
        }
        let mode = self.mode(now, job);
        if job.ask.tight() && !job.ask.resumed && mode == planner_choice::ChoiceMode::Forced {
            self.pressed_until = now + PRESSED_TIME;
        }
        let views = self.views(now, job);
        if self.options.routing != settings::RoutingKind::ExpectedStart {
            let grant = self.choose_plainly(now, job, &views)?;
            return Some(engine_place::PlaceAnswer::Grant(self.take(now, job, grant)));
        }
        if !self.earns_its_reading(now, job) {
            return self.refuse_long(now, job).map(engine_place::PlaceAnswer::Refuse);
        }
        let calm = self.choose(now, job, &views, planner_choice::ChoiceMode::Calm);
        let choice = match (calm, mode) {
            (Some(choice), _) => choice,
            (None, planner_choice::ChoiceMode::Calm) => {
                return self.refuse_long(now, job).map(engine_place::PlaceAnswer::Refuse);
            }
            (None, mode) => {
                let choice = self.choose(now, job, &views, mode);
                let crowded = choice.as_ref().is_none_or(|choice| self.is_crowded(job, choice));
                if crowded && let Some(refusal) = self.refuse(now, job) {
                    return Some(engine_place::PlaceAnswer::Refuse(refusal));
                }
                choice?
            }
        };
        if let Some(refusal) = self.refuse_hopeless(now, job, &choice) {
            return Some(engine_place::PlaceAnswer::Refuse(refusal));
        }
        let grant = choice.grant;
        Some(engine_place::PlaceAnswer::Grant(self.take(now, job, grant)))
    }
}
