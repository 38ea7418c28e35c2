//! How granting and releasing a placement changes the estimated work of its engines.

use std::time;

use crate::{
    engine_place, ids, pass_model,
    planner::{engine_work, place_table},
    units,
};

impl place_table::PlaceTable {
    /// Adds the prefill, decoding and memory of a placement to its engines.
    pub(super) fn occupy(&mut self, now: units::MonoTime, lease: &engine_place::PlaceLease) {
        let (request, grant) = (&lease.request, &lease.grant);
        self.min_pause_goal_ms = self.min_pause_goal_ms.min(f64::from(request.pause_ms));
        let part = pass_model::part_ms(&self.shape, request.prompt, grant.helpers.len() + 1);
        for name in std::iter::once(&grant.engine).chain(&grant.helpers) {
            let Some(engine) = self.engines.get_mut(name) else {
                continue;
            };
            engine.advance(now);
            engine.note_placed(now);
            if lease.prefilling {
                engine.add_part(engine_work::PendingPart {
                    job: request.job,
                    left_ms: part,
                    placed: now,
                });
                let first = time::Duration::from_millis(u64::from(grant.first_token_ms));
                let token = engine_work::ExpectedToken::new(now + first);
                engine.expected.insert(request.job, token);
            }
        }
        let held: u64 = grant.held.iter().map(|part| part.tokens).sum();
        if let Some(engine) = self.engines.get_mut(&grant.engine) {
            engine.answering.insert(request.job);
            engine.used += (request.prompt + request.output).saturating_sub(held);
            if !lease.prefilling {
                engine.decoding.insert(request.job);
            }
        }
        for part in &grant.held {
            if let Some(engine) = self.engines.get_mut(&part.engine) {
                engine.used += part.tokens;
            }
        }
    }

    /// Removes the prefill, decoding and memory of a placement from its engines.
    pub(super) fn release(&mut self, lease: &engine_place::PlaceLease) {
        let (request, grant) = (&lease.request, &lease.grant);
        for name in std::iter::once(&grant.engine).chain(&grant.helpers) {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.drop_part(request.job);
            }
        }
        let held: u64 = grant.held.iter().map(|part| part.tokens).sum();
        if let Some(engine) = self.engines.get_mut(&grant.engine)
            && engine.answering.remove(&request.job)
        {
            let own = (request.prompt + request.output).saturating_sub(held);
            engine.used = engine.used.saturating_sub(own);
            engine.decoding.remove(&request.job);
        }
        for part in &grant.held {
            if let Some(engine) = self.engines.get_mut(&part.engine) {
                engine.used = engine.used.saturating_sub(part.tokens);
            }
        }
        self.refresh_steps(&grant.engine);
    }

    /// Recomputes the decode time of an engine's passes after its decoding requests have changed.
    pub(super) fn refresh_steps(&mut self, name: &ids::UpstreamId) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let states = engine.decoding.iter().filter_map(|job| self.jobs.get(job));
        let context = states.map(|state| place_table::context_of(&state.lease)).sum();
        let decoding = engine.decoding.len();
        engine.steps_ms =
            if decoding == 0 { 0.0 } else { pass_model::steps_ms(&self.shape, decoding, context) };
    }
}
