//! Places in use: taken, renewed by their members, taken over from other planners, given back; and
//! the work of every engine that follows from them.

mod occupancy;
mod queries;

use std::{collections, time};

use crate::{
    engine_place, ids,
    planner::{engine_limits, engine_work, ways},
    route_table, units,
};

/// Leases that their member does not renew for so long are given up.
const LEASE_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Part of an engine's memory that is given away.
pub(crate) const MEMORY_FRACTION: f64 = 0.96;

/// Reports of idle engines that a planner requests a second.
const IDLE_REPORTS: f64 = 8.0;
/// Longest interval between two reports of an engine, slightly above the delay of the list.
const MAX_REPORT_INTERVAL: time::Duration = time::Duration::from_secs(6);

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
    /// Engines with a limit for which it holds a permit.
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
    /// Engines with a limit.
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
            let memory = (self.shape.memory.0 as f64 * MEMORY_FRACTION) as u64;
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

    /// Plays the engines' passes up to now.
    pub(crate) fn advance(&mut self, now: units::MonoTime) {
        self.engines.values_mut().for_each(|engine| engine.advance(now));
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
            engine_place::PlaceEnd::Failed => self.eject(now, &state.lease.grant.engine),
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
    pub(crate) fn eject(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.eject(now);
        }
    }

    /// Leaves an engine alone that refused to read a part for another one.
    pub(crate) fn eject_helper(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.eject_helper(now);
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

    /// Whether the report of an engine is due.
    pub(crate) fn take_report_due(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        let interval = self.engines.len() as f64 / IDLE_REPORTS;
        let interval = time::Duration::from_secs_f64(interval).min(MAX_REPORT_INTERVAL);
        let engine = self.engines.get_mut(name);
        engine.is_some_and(|engine| engine.take_report_due(now, interval))
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
}

/// Tokens of a request's prompt that lie on its engine and slow down each step there.
fn context_of(lease: &engine_place::PlaceLease) -> u64 {
    lease.ask.prompt / (lease.grant.helpers.len() as u64 + 1)
}
