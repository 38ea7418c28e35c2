//! Places in use: taken, renewed by their members, taken over from other planners, given back.

use std::time;

use crate::{engine_place, engine_work, ids, pass_model, planner_urgency, read_planner, units};

/// Leases that their member does not renew for so long are given up.
const LEASE_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Longest that a request waits; its member has given up long before.
const WAIT_TIME: time::Duration = time::Duration::from_secs(30);

impl read_planner::ReadPlanner {
    /// Renews a place; `false` where it is not known here.
    pub fn renew(&mut self, now: units::MonoTime, job: engine_place::JobId, reading: bool) -> bool {
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
    pub fn take_over(&mut self, now: units::MonoTime, leases: Vec<engine_place::PlaceLease>) {
        for lease in leases {
            if !self.renew(now, lease.ask.job, lease.reading) {
                self.adopt(now, lease);
            }
        }
    }

    fn adopt(&mut self, now: units::MonoTime, lease: engine_place::PlaceLease) {
        self.waiting.retain(|waiting| waiting.ask.job != lease.ask.job);
        self.occupy(now, &lease);
        let engine = lease.grant.engine.clone();
        self.jobs.insert(lease.ask.job, read_planner::JobState { lease, renewed: now });
        self.refresh_steps(&engine);
    }

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
        // Whoever still wants a place asks again within the lease time.
        self.waiting.retain(|job| now.since(job.since) < WAIT_TIME);
    }

    /// Notes a place as taken.
    pub(crate) fn take(
        &mut self,
        now: units::MonoTime,
        job: &planner_urgency::WaitingJob,
        grant: engine_place::PlaceGrant,
    ) -> engine_place::PlaceGrant {
        let lease =
            engine_place::PlaceLease { ask: job.ask.clone(), grant: grant.clone(), reading: true };
        self.occupy(now, &lease);
        self.jobs.insert(job.ask.job, read_planner::JobState { lease, renewed: now });
        grant
    }

    fn occupy(&mut self, now: units::MonoTime, lease: &engine_place::PlaceLease) {
        let (ask, grant) = (&lease.ask, &lease.grant);
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

    pub(crate) fn release(&mut self, lease: &engine_place::PlaceLease) {
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
    pub(crate) fn refresh_steps(&mut self, name: &ids::UpstreamId) {
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
pub(crate) fn context_of(lease: &engine_place::PlaceLease) -> u64 {
    lease.ask.prompt / (lease.grant.helpers.len() as u64 + 1)
}
