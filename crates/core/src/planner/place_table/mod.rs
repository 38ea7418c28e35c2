//! Table of placements, and the estimated work of every engine that results from them. A placement is granted here or
//! adopted from another planner, renewed by its member, and finally released.

mod customer_usage;
mod occupancy;
mod queries;

use std::{collections, time};

use crate::{
    engine_place, ids,
    planner::{engine_limits, engine_work, modes, observed_pace},
    route_table, sharing, units,
};

/// Time after the last renewal by the member at which the lease of a placement expires.
const LEASE_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Fraction of an engine's memory that the planner assigns to requests.
pub(crate) const MEMORY_FRACTION: f64 = 0.96;

/// Reports of idle engines that a planner requests per second.
const IDLE_REPORTS: f64 = 8.0;
/// Longest interval between two reports of an idle engine, slightly above the delay of the published list.
const MAX_REPORT_INTERVAL: time::Duration = time::Duration::from_secs(6);

/// Assumed duration of an answer before any has ended, milliseconds.
const INITIAL_ANSWER_MS: f64 = 1_500.0;
/// Weight of the newest answer in the moving average of answer durations.
const ANSWER_WEIGHT: f64 = 0.05;

/// A request with a placement.
#[derive(Debug, Clone)]
struct JobState {
    lease: engine_place::PlaceLease,
    /// When the lease was last renewed.
    renewed: units::MonoTime,
    /// When the first token was sent; `None` before.
    first_token_at: Option<units::MonoTime>,
    /// Rate-limited engines for which the request holds a permit.
    paced: Vec<ids::UpstreamId>,
}

/// The engines of one planner and the requests placed on them.
#[derive(Debug)]
pub(crate) struct PlaceTable {
    /// Performance model of the engines.
    pub(crate) shape: route_table::EngineShape,
    engine_faults: modes::EngineFaultMode,
    passes: sharing::PassTracking,
    /// Estimated state of each engine. Invariant: reflects exactly the placements in `jobs`.
    engines: collections::BTreeMap<ids::UpstreamId, engine_work::EngineWork>,
    jobs: collections::HashMap<engine_place::JobId, JobState>,
    /// Engines that were silent and should be polled.
    suspects: collections::BTreeSet<ids::UpstreamId>,
    /// Moving average of the time from the first token to the end of answers with tight pause goals, milliseconds.
    answer_ms: f64,
    /// Smallest pause goal of any request so far, milliseconds; infinite before the first.
    min_pause_goal_ms: f64,
    pub(crate) limits: engine_limits::EngineLimits,
    /// Paces observed from first tokens; `None` if only reported paces count.
    pub(crate) observed: Option<observed_pace::ObservedPaces>,
}

impl PlaceTable {
    /// Creates a table without engines.
    pub(crate) fn new(
        shape: route_table::EngineShape,
        engine_faults: modes::EngineFaultMode,
        passes: sharing::PassTracking,
    ) -> Self {
        Self {
            shape,
            engine_faults,
            passes,
            engines: collections::BTreeMap::new(),
            jobs: collections::HashMap::new(),
            suspects: collections::BTreeSet::new(),
            answer_ms: INITIAL_ANSWER_MS,
            min_pause_goal_ms: f64::INFINITY,
            limits: engine_limits::EngineLimits::default(),
            observed: None,
        }
    }

    /// Sets which engines may be used, each with the rank by which it is preferred among engines of equal loss or cost,
    /// lowest first. An engine that is already in the table keeps its state and rank.
    pub(crate) fn set_engines(&mut self, now: units::MonoTime, names: &[(ids::UpstreamId, u64)]) {
        let wanted: collections::BTreeSet<_> = names.iter().map(|(name, _)| name).collect();
        self.engines.retain(|name, _| wanted.contains(name));
        if let Some(observed) = &mut self.observed {
            observed.retain(|name| wanted.contains(name));
        }
        for (name, rank) in names {
            let memory = (self.shape.memory.0 as f64 * MEMORY_FRACTION) as u64;
            self.engines
                .entry(name.clone())
                .or_insert_with(|| engine_work::EngineWork::new(*rank, memory, self.passes, now));
        }
    }

    /// Number of requests that have a placement.
    pub(crate) fn placed_count(&self) -> usize {
        self.jobs.len()
    }

    /// The answer to a request that has a placement, which is the same at each call; `None` if it has no placement.
    pub(crate) fn answer(&self, job: engine_place::JobId) -> Option<engine_place::PlaceAnswer> {
        let state = self.jobs.get(&job)?;
        let grant = state.lease.grant.clone();
        Some(if state.paced.is_empty() {
            engine_place::PlaceAnswer::Grant(grant)
        } else {
            engine_place::PlaceAnswer::Paced(grant, state.paced.clone())
        })
    }

    /// Simulates the engines' passes up to `now`.
    pub(crate) fn advance(&mut self, now: units::MonoTime) {
        self.engines.values_mut().for_each(|engine| engine.advance(now));
    }

    /// Records the first token of a request: its prefill is complete.
    pub(crate) fn first_token(&mut self, now: units::MonoTime, job: engine_place::JobId) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        state.lease.prefilling = false;
        state.first_token_at = Some(now);
        let grant = state.lease.grant.clone();
        for name in std::iter::once(&grant.engine).chain(&grant.helpers) {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.advance(now);
                engine.note_first_token(job);
            }
        }
        let pace = self.observed.as_mut().and_then(|observed| observed.first_token(now, job));
        if let Some(engine) = self.engines.get_mut(&grant.engine) {
            engine.decoding.insert(job);
            engine.correct_pace(pace);
        }
        self.refresh_steps(&grant.engine);
    }

    /// Releases the placement of a request, if it has one. Depending on how the attempt ended, also ejects the engine
    /// or marks it for polling.
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
        if let Some(observed) = &mut self.observed {
            observed.forget(job);
        }
        if let Some(since) = state.first_token_at.filter(|_| state.lease.request.tight) {
            let duration_ms = now.since(since).as_secs_f64() * 1_000.0;
            self.answer_ms += (duration_ms - self.answer_ms) * ANSWER_WEIGHT;
        }
        match end {
            engine_place::PlaceEnd::Failed => self.eject(now, &state.lease.grant.engine),
            engine_place::PlaceEnd::Silent => {
                self.suspects.insert(state.lease.grant.engine.clone());
            }
            engine_place::PlaceEnd::Full => {
                let engine = self.engines.get_mut(&state.lease.grant.engine);
                if let Some(engine) =
                    engine.filter(|_| self.engine_faults == modes::EngineFaultMode::Probe)
                {
                    engine.note_refusal(now);
                }
            }
            engine_place::PlaceEnd::Done => {}
        }
    }

    /// Excludes an engine from new placements for a while.
    pub(crate) fn eject(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.eject(now);
        }
    }

    /// Ejects an engine that refused to prefill a part for another one.
    pub(crate) fn eject_helper(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.eject_helper(now);
        }
    }

    /// Returns the engines reported as silent since the last call, which should be polled.
    pub(crate) fn take_suspects(&mut self) -> Vec<ids::UpstreamId> {
        std::mem::take(&mut self.suspects).into_iter().collect()
    }

    /// Applies the pace and the number of requests in an engine's load report.
    pub(crate) fn set_report(&mut self, name: &ids::UpstreamId, pace: f64, requests: usize) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.report(pace, requests);
            let pace = engine.pace;
            if let Some(observed) = &mut self.observed {
                observed.reported(name, pace);
            }
        }
    }

    /// Whether the report of an engine is due; if so, records it as requested.
    pub(crate) fn take_report_due(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        let interval = self.engines.len() as f64 / IDLE_REPORTS;
        let interval = time::Duration::from_secs_f64(interval).min(MAX_REPORT_INTERVAL);
        let engine = self.engines.get_mut(name);
        engine.is_some_and(|engine| engine.take_report_due(now, interval))
    }

    /// Applies the number of requests that the engine of a placement had when it sent the first token.
    pub(crate) fn note_load(&mut self, job: engine_place::JobId, requests: Option<u16>) {
        let (Some(state), Some(requests)) = (self.jobs.get(&job), requests) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&state.lease.grant.engine) {
            engine.note_load(usize::from(requests));
        }
    }

    /// Renews the lease of a placement, and records the first token once `prefilling` is `false`. Returns `false` if
    /// the job has no placement.
    pub(crate) fn renew(
        &mut self,
        now: units::MonoTime,
        job: engine_place::JobId,
        prefilling: bool,
    ) -> bool {
        let Some(state) = self.jobs.get_mut(&job) else {
            return false;
        };
        state.renewed = now;
        if state.lease.prefilling && !prefilling {
            self.first_token(now, job);
        }
        true
    }

    /// Adopts placements that another planner granted.
    pub(crate) fn take_over(
        &mut self,
        now: units::MonoTime,
        leases: Vec<engine_place::PlaceLease>,
    ) {
        for lease in leases {
            if !self.renew(now, lease.request.job, lease.prefilling) {
                self.adopt(now, lease);
            }
        }
    }

    fn adopt(&mut self, now: units::MonoTime, lease: engine_place::PlaceLease) {
        self.occupy(now, &lease);
        let engine = lease.grant.engine.clone();
        let first_token_at = (!lease.prefilling).then_some(now);
        let paced = Vec::new();
        self.jobs
            .insert(lease.request.job, JobState { lease, renewed: now, first_token_at, paced });
        self.refresh_steps(&engine);
    }

    /// Releases placements whose members have stopped renewing them.
    pub(crate) fn expire(&mut self, now: units::MonoTime) {
        let expired: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, state)| now.since(state.renewed) > LEASE_TIME)
            .map(|(job, _)| *job)
            .collect();
        for job in expired {
            if let Some(state) = self.jobs.remove(&job) {
                self.release(&state.lease);
            }
        }
    }

    /// Records a grant and takes the rate-limit permits for its engines.
    pub(crate) fn take(
        &mut self,
        now: units::MonoTime,
        request: &engine_place::PlacementRequest,
        grant: engine_place::PlaceGrant,
    ) {
        let engines = std::iter::once(&grant.engine).chain(&grant.helpers);
        let paced = self.limits.take(now, engines, request.job.boot);
        if let (Some(observed), Some(engine)) =
            (&mut self.observed, self.engines.get(&grant.engine))
        {
            observed.granted(now, &grant, engine.pace);
        }
        let lease = engine_place::PlaceLease { request: request.clone(), grant, prefilling: true };
        self.occupy(now, &lease);
        let first_token_at = None;
        self.jobs.insert(request.job, JobState { lease, renewed: now, first_token_at, paced });
    }
}

/// Prompt tokens of a request that its engine holds and that slow down each decode step of that engine.
fn context_of(lease: &engine_place::PlaceLease) -> u64 {
    lease.request.prompt / (lease.grant.helpers.len() as u64 + 1)
}
