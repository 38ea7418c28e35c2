//! Pace of engines, observed from first tokens.
//!
//! Reports of engines come every two seconds. An engine that becomes slow in between gets requests as though it were
//! fast, and each is late. The time of each first token, relative to the plan that its request was granted with, shows it
//! sooner. The observed pace corrects the reported one until the next report.

use std::{collections, time};

use crate::{engine_place, ids, units};

/// Part of the time to a first token that is not attributed to the engine's pace: one pass, which the request may have
/// missed, and the messages to and from the member.
const FIRST_TOKEN_SLACK: time::Duration = time::Duration::from_millis(120);
/// Weight of the reported pace, in first tokens. A single late token, as of a request that was lost and sent again,
/// corrects the pace by half at most.
const REPORTED_WEIGHT: f64 = 1.0;
/// Ratio of the observed pace to the reported one from which the observed one applies. Smaller ones are within the error
/// of the plans.
const MIN_CORRECTION: f64 = 1.25;
/// Largest ratio of a first token's time to its plan; later tokens have other causes than the pace.
const MAX_RATIO: f64 = 8.0;
/// Most planned tokens; beyond it all are dropped, which loses observations only.
const MAX_PLANNED: usize = 4_096;

/// The plan of a request's first token.
#[derive(Debug, Clone)]
struct PlannedToken {
    engine: ids::UpstreamId,
    granted: units::MonoTime,
    /// Time to the first token, with the pace that the engine was believed to have.
    planned_ms: f64,
    pace: f64,
}

/// First tokens of one engine since its last report.
#[derive(Debug, Clone, Copy)]
struct PaceEvidence {
    /// Pace in the last report; 1 before the first one.
    reported: f64,
    /// Sum of the logarithms of observed paces relative to the reported one.
    sum: f64,
    /// Number of first tokens in `sum`.
    tokens: f64,
}

impl Default for PaceEvidence {
    fn default() -> Self {
        Self { reported: 1.0, sum: 0.0, tokens: 0.0 }
    }
}

/// Observed paces of the engines of one planner.
#[derive(Debug, Default)]
pub(crate) struct ObservedPaces {
    planned: collections::HashMap<engine_place::JobId, PlannedToken>,
    engines: collections::BTreeMap<ids::UpstreamId, PaceEvidence>,
}

impl ObservedPaces {
    /// Records the plan of a request's first token, at an engine of this believed `pace`. Prompts that several engines
    /// prefill are not observed, as any of them may be slow.
    pub(crate) fn granted(
        &mut self,
        now: units::MonoTime,
        grant: &engine_place::PlaceGrant,
        pace: f64,
    ) {
        if !grant.helpers.is_empty() {
            return;
        }
        if self.planned.len() >= MAX_PLANNED {
            self.planned.clear();
        }
        let (engine, planned_ms) = (grant.engine.clone(), f64::from(grant.first_token_ms).max(1.0));
        let token = PlannedToken { engine, granted: now, planned_ms, pace };
        self.planned.insert(grant.job, token);
    }

    /// Records the first token of a request; returns its engine's pace if it is clearly above the reported one.
    pub(crate) fn first_token(
        &mut self,
        now: units::MonoTime,
        job: engine_place::JobId,
    ) -> Option<f64> {
        let token = self.planned.remove(&job)?;
        let spent = now.since(token.granted).saturating_sub(FIRST_TOKEN_SLACK);
        let ratio = (spent.as_secs_f64() * 1_000.0 / token.planned_ms).min(MAX_RATIO);
        let evidence = self.engines.entry(token.engine).or_default();
        // An early token says little: plans include the wait for a pass that may end sooner.
        let relative = (ratio * token.pace / evidence.reported).max(1.0);
        evidence.sum += relative.ln();
        evidence.tokens += 1.0;
        let correction = (evidence.sum / (evidence.tokens + REPORTED_WEIGHT)).exp();
        (correction >= MIN_CORRECTION).then_some(evidence.reported * correction)
    }

    /// Drops the plan of a request that has ended.
    pub(crate) fn forget(&mut self, job: engine_place::JobId) {
        self.planned.remove(&job);
    }

    /// Records the pace in an engine's report, which replaces the observed one.
    pub(crate) fn reported(&mut self, engine: &ids::UpstreamId, pace: f64) {
        let evidence = PaceEvidence { reported: pace, ..PaceEvidence::default() };
        self.engines.insert(engine.clone(), evidence);
    }

    /// Removes the engines that are not `known`.
    pub(crate) fn retain(&mut self, known: impl Fn(&ids::UpstreamId) -> bool) {
        self.engines.retain(|engine, _| known(engine));
    }
}
