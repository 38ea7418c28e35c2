//! Places in use: taken, renewed by their members, taken over from other planners, given back; and
//! the work of every engine that follows from them.

use std::{collections, time};

use crate::{
    engine_place, ids, pass_model,
    planner::{engine_limits, engine_view, engine_work, ways},
    route_table, units,
};

/// Leases that their member does not renew for so long are given up.
const LEASE_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Part of an engine's memory that is given away.
pub(crate) const MEMORY_PART: f64 = 0.96;

/// Reading left at least on an engine that reads a long prompt until its first token is out,
/// milliseconds. Engines put parts that come later first: where one was sent by plan just before the
/// part before it had been read, the earlier prompt would come later by the whole of it.
const MIN_UNREAD_MS: f64 = 50.0;
/// Time overdue beyond which a first token is not waited for, milliseconds: another engine of the
/// same prompt has failed.
const MAX_OVERDUE_MS: f64 = 500.0;

/// Time that an answer is taken to last before any has been seen, milliseconds.
const FIRST_ANSWER_MS: f64 = 1_500.0;
/// Weight of the newest answer in the mean.
const ANSWER_WEIGHT: f64 = 0.05;
/// A request with a place.
#[derive(Debug, Clone)]
struct JobState {
    lease: engine_place::PlaceLease,
    renewed: units::MonoTime,
    /// When its answer began; nothing before.
    writing_since: Option<units::MonoTime>,
    /// Engines with a limit that it was given leave for.
    paced: Vec<ids::UpstreamId>,
}

/// The engines of one planner, and who has a place there.
#[derive(Debug)]
pub(crate) struct PlaceTable {
    /// Figures of the engines.
    pub(crate) shape: route_table::EngineShape,
    engine_faults: ways::EngineFaultWay,
    /// What each engine is believed to do; holds just what `jobs` says.
    engines: collections::BTreeMap<ids::UpstreamId, engine_work::EngineWork>,
    jobs: collections::HashMap<engine_place::JobId, JobState>,
    /// Engines that were silent; they should be asked for a report.
    suspects: collections::BTreeSet<ids::UpstreamId>,
    /// Mean time from the first token to the end of an answer with tight pauses, milliseconds; learned.
    answer_ms: f64,
    /// Smallest pause goal seen, milliseconds; infinite before any.
    tightest_ms: f64,
    /// Engines that take only so many requests.
    pub(crate) limits: engine_limits::EngineLimits,
}

impl PlaceTable {
    /// A table without engines.
    pub(crate) fn new(
        shape: route_table::EngineShape,
        engine_faults: ways::EngineFaultWay,
    ) -> Self {
        Self {
            shape,
            engine_faults,
            engines: collections::BTreeMap::new(),
            jobs: collections::HashMap::new(),
            suspects: collections::BTreeSet::new(),
            answer_ms: FIRST_ANSWER_MS,
            tightest_ms: f64::INFINITY,
            limits: engine_limits::EngineLimits::default(),
        }
    }

    /// Sets which engines may be used; each with a number that orders them alike everywhere.
    pub(crate) fn set_engines(&mut self, now: units::MonoTime, names: &[(ids::UpstreamId, u64)]) {
        let wanted: collections::BTreeSet<_> = names.iter().map(|(name, _)| name).collect();
        self.engines.retain(|name, _| wanted.contains(name));
        for (name, rank) in names {
            let memory = (self.shape.memory.0 as f64 * MEMORY_PART) as u64;
            self.engines
                .entry(name.clone())
                .or_insert_with(|| engine_work::EngineWork::new(*rank, memory, now));
        }
    }

    /// Number of requests that have a place.
    pub(crate) fn placed_count(&self) -> usize {
        self.jobs.len()
    }

    /// The answer that a request got which has a place.
    pub(crate) fn answer(&self, job: engine_place::JobId) -> Option<engine_place::PlaceAnswer> {
        let state = self.jobs.get(&job)?;
        let grant = state.lease.grant.clone();
        Some(if state.paced.is_empty() {
            engine_place::PlaceAnswer::Grant(grant)
        } else {
            engine_place::PlaceAnswer::Paced(grant, state.paced.clone())
        })
    }

    /// Requests that an engine answers.
    pub(crate) fn running_on(&self, engine: &ids::UpstreamId) -> usize {
        self.engines.get(engine).map_or(0, |engine| engine.answering.len())
    }

    /// Requests that engines answer and could answer at once, of engines that are not `excluded`.
    pub(crate) fn taken(&self, excluded: &[ids::UpstreamId]) -> (usize, usize) {
        let open = self.engines.iter().filter(|(name, _)| !excluded.contains(name));
        let counts = open.map(|(name, engine)| (engine.answering.len(), self.places(name, engine)));
        counts.fold((0, 0), |(running, slots), one| (running + one.0, slots + one.1))
    }

    /// Requests that an engine could answer at once: as many as come to it within one answer where it has a limit, as
    /// its other places may not be used.
    fn places(&self, name: &ids::UpstreamId, engine: &engine_work::EngineWork) -> usize {
        let answering = engine.answering.len();
        let Some(rate) = self.limits.rate(name) else {
            return self.shape.slots;
        };
        let within = (rate * self.answer_ms / 1_000.0).ceil() as usize;
        within.clamp(answering.min(self.shape.slots), self.shape.slots)
    }

    /// Time until the first limit lets another request through, milliseconds.
    pub(crate) fn soonest_leave_ms(&self, now: units::MonoTime) -> f64 {
        let times = self.engines.keys().map(|name| self.limits.times(now, name).wait_ms);
        times.fold(f64::INFINITY, f64::min)
    }

    /// Requests a second that limits let through to engines that are not `excluded`; nothing while one of these has no
    /// limit.
    pub(crate) fn limited_rate(&self, excluded: &[ids::UpstreamId]) -> Option<f64> {
        let open = self.engines.keys().filter(|name| !excluded.contains(name));
        open.map(|name| self.limits.rate(name)).sum()
    }

    /// A refusal that tells how many places are taken.
    pub(crate) fn refusal(
        &self,
        job: engine_place::JobId,
        back_after_ms: f64,
        expected_ms: Option<f64>,
    ) -> engine_place::PlaceRefusal {
        let (running, slots) = self.taken(&[]);
        engine_place::PlaceRefusal {
            job,
            back_after_ms: back_after_ms as u32,
            expected_ms: expected_ms.map(|expected| expected as u32),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            slots: u32::try_from(slots).unwrap_or(u32::MAX),
        }
    }

    /// The engines' work, one short text an engine, for the log.
    pub(crate) fn summary(&self, now: units::MonoTime) -> String {
        let row = |(name, engine): (&ids::UpstreamId, &engine_work::EngineWork)| {
            let pending = engine.unread_ms();
            let shunned = if engine.is_shunned(now, self.engine_faults) { " shunned" } else { "" };
            format!(
                "{name}: {} running, {pending:.0} ms to read, {} tokens, pace {:.1}{shunned}",
                engine.answering.len(),
                engine.used,
                engine.pace
            )
        };
        self.engines.iter().map(row).collect::<Vec<_>>().join("; ")
    }

    /// Plays the engines' passes up to now.
    pub(crate) fn advance(&mut self, now: units::MonoTime) {
        self.engines.values_mut().for_each(|engine| engine.advance(now));
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
            context += context_of(&state.lease);
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
        let leave = self.limits.times(now, name);
        engine_view::EngineView {
            name,
            rank: engine.rank,
            shunned: engine.is_shunned(now, self.engine_faults),
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
            leave,
        }
    }

    /// Notes that a prompt has been read and its answer begins.
    pub(crate) fn first_token(&mut self, now: units::MonoTime, job: engine_place::JobId) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        state.lease.reading = false;
        state.writing_since = Some(now);
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

    /// Ends a place, if the request has one.
    pub(crate) fn end(
        &mut self,
        now: units::MonoTime,
        job: engine_place::JobId,
        end: engine_place::PlaceEnd,
    ) {
        let Some(state) = self.jobs.remove(&job) else {
            return;
        };
        self.release(&state.lease);
        if let Some(since) = state.writing_since.filter(|_| state.lease.ask.tight) {
            let lasted = now.since(since).as_secs_f64() * 1_000.0;
            self.answer_ms += (lasted - self.answer_ms) * ANSWER_WEIGHT;
        }
        match end {
            engine_place::PlaceEnd::Failed => self.shun(now, &state.lease.grant.engine),
            engine_place::PlaceEnd::Silent => {
                self.suspects.insert(state.lease.grant.engine.clone());
            }
            engine_place::PlaceEnd::Full => {
                let engine = self.engines.get_mut(&state.lease.grant.engine);
                if let Some(engine) =
                    engine.filter(|_| self.engine_faults == ways::EngineFaultWay::Probe)
                {
                    engine.note_refusal(now);
                }
            }
            engine_place::PlaceEnd::Done => {}
        }
    }

    /// Leaves an engine alone for a while.
    pub(crate) fn shun(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.shun(now);
        }
    }

    /// Leaves an engine alone that refused to read a part for another one.
    pub(crate) fn shun_helper(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.shun_helper(now);
        }
    }

    /// Engines that were silent since the last call.
    pub(crate) fn take_suspects(&mut self) -> Vec<ids::UpstreamId> {
        std::mem::take(&mut self.suspects).into_iter().collect()
    }

    /// Takes over what an engine says of itself.
    pub(crate) fn set_report(&mut self, name: &ids::UpstreamId, pace: f64, requests: usize) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.report(pace, requests);
        }
    }

    /// Takes over how many requests the engine of a place had as its answer began.
    pub(crate) fn note_load(&mut self, job: engine_place::JobId, requests: Option<u16>) {
        let (Some(state), Some(requests)) = (self.jobs.get(&job), requests) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&state.lease.grant.engine) {
            engine.note_load(usize::from(requests));
        }
    }

    /// Mean time until one of those who write with tight pauses has ended, milliseconds; endless
    /// where nobody does.
    pub(crate) fn slot_ms(&self) -> f64 {
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

    /// Renews a place; `false` where it is not known here.
    pub(crate) fn renew(
        &mut self,
        now: units::MonoTime,
        job: engine_place::JobId,
        reading: bool,
    ) -> bool {
        let Some(state) = self.jobs.get_mut(&job) else {
            return false;
        };
        state.renewed = now;
        if state.lease.reading && !reading {
            self.first_token(now, job);
        }
        true
    }

    /// Takes over places that another planner gave.
    pub(crate) fn take_over(
        &mut self,
        now: units::MonoTime,
        leases: Vec<engine_place::PlaceLease>,
    ) {
        for lease in leases {
            if !self.renew(now, lease.ask.job, lease.reading) {
                self.adopt(now, lease);
            }
        }
    }

    fn adopt(&mut self, now: units::MonoTime, lease: engine_place::PlaceLease) {
        self.occupy(now, &lease);
        let engine = lease.grant.engine.clone();
        let writing_since = (!lease.reading).then_some(now);
        let paced = Vec::new();
        self.jobs.insert(lease.ask.job, JobState { lease, renewed: now, writing_since, paced });
        self.refresh_steps(&engine);
    }

    /// Gives up places that their members do not renew.
    pub(crate) fn expire(&mut self, now: units::MonoTime) {
        let silent: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, state)| now.since(state.renewed) > LEASE_TIME)
            .map(|(job, _)| *job)
            .collect();
        for job in silent {
            if let Some(state) = self.jobs.remove(&job) {
                self.release(&state.lease);
            }
        }
    }

    /// Notes a place as taken, and its leaves as given.
    pub(crate) fn take(
        &mut self,
        now: units::MonoTime,
        ask: &engine_place::PlaceAsk,
        grant: engine_place::PlaceGrant,
    ) {
        let engines = std::iter::once(&grant.engine).chain(&grant.helpers);
        let paced = self.limits.take(now, engines, ask.job.boot);
        let lease = engine_place::PlaceLease { ask: ask.clone(), grant, reading: true };
        self.occupy(now, &lease);
        let writing_since = None;
        self.jobs.insert(ask.job, JobState { lease, renewed: now, writing_since, paced });
    }

    fn occupy(&mut self, now: units::MonoTime, lease: &engine_place::PlaceLease) {
        let (ask, grant) = (&lease.ask, &lease.grant);
        self.tightest_ms = self.tightest_ms.min(f64::from(ask.pause_ms));
        let part = pass_model::part_ms(&self.shape, ask.prompt, grant.helpers.len() + 1);
        for name in std::iter::once(&grant.engine).chain(&grant.helpers) {
            let Some(engine) = self.engines.get_mut(name) else {
                continue;
            };
            engine.advance(now);
            if lease.reading {
                engine.add_part(engine_work::PendingPart { job: ask.job, left_ms: part });
                let first = time::Duration::from_millis(u64::from(grant.first_token_ms));
                engine.expected.insert(ask.job, now + first);
            }
        }
        let held: u64 = grant.held.iter().map(|part| part.tokens).sum();
        if let Some(engine) = self.engines.get_mut(&grant.engine) {
            engine.answering.insert(ask.job);
            engine.used += (ask.prompt + ask.output).saturating_sub(held);
            if !lease.reading {
                engine.writers.insert(ask.job);
            }
        }
        for part in &grant.held {
            if let Some(engine) = self.engines.get_mut(&part.engine) {
                engine.used += part.tokens;
            }
        }
    }

    fn release(&mut self, lease: &engine_place::PlaceLease) {
        let (ask, grant) = (&lease.ask, &lease.grant);
        for name in std::iter::once(&grant.engine).chain(&grant.helpers) {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.drop_part(ask.job);
            }
        }
        let held: u64 = grant.held.iter().map(|part| part.tokens).sum();
        if let Some(engine) = self.engines.get_mut(&grant.engine)
            && engine.answering.remove(&ask.job)
        {
            let own = (ask.prompt + ask.output).saturating_sub(held);
            engine.used = engine.used.saturating_sub(own);
            engine.writers.remove(&ask.job);
        }
        for part in &grant.held {
            if let Some(engine) = self.engines.get_mut(&part.engine) {
                engine.used = engine.used.saturating_sub(part.tokens);
            }
        }
        self.refresh_steps(&grant.engine);
    }

    /// Works out the steps of an engine's passes anew, after its writers have changed.
    fn refresh_steps(&mut self, name: &ids::UpstreamId) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let asks = engine.writers.iter().filter_map(|job| self.jobs.get(job));
        let context = asks.map(|state| context_of(&state.lease)).sum();
        let writers = engine.writers.len();
        engine.steps_ms =
            if writers == 0 { 0.0 } else { pass_model::steps_ms(&self.shape, writers, context) };
    }
}

/// Tokens of a request's prompt that lie on its engine and slow down each step there.
fn context_of(lease: &engine_place::PlaceLease) -> u64 {
    lease.ask.prompt / (lease.grant.helpers.len() as u64 + 1)
}
