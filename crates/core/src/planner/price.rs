//! Opportunity cost of engine time: the worth of the short requests that it could serve, while some of them find no
//! engine that meets all their limits.

use std::time;

use crate::{engine_place, pass_model, planner::waiting_job, route_table, units};

/// How long engines count as contended after a short request found none that meets all its limits.
const CONTENTION_TIME: time::Duration = time::Duration::from_millis(700);
/// Assumed answer length of a short request, tokens.
const SHORT_ANSWER: u64 = 1_700;

/// Initial estimate of the engine time that earns as much as one short request, milliseconds.
const INITIAL_MS_PER_WORTH: f64 = 150.0;
/// Time constant of the decaying averages of demand.
const LOAD_TIME: time::Duration = time::Duration::from_secs(3);
/// Upper bound of a load estimate, so that some capacity always remains.
const MAX_LOAD: f64 = 0.95;
/// Load of the other long prompts below which the load estimate for a prompt is zero.
const ALONE_LOAD: f64 = 0.1;
/// Weight of the newest prompt in the moving average of engine time per worth.
const MS_PER_WORTH_WEIGHT: f64 = 0.05;

/// Price of engine time, from recent contention and demand.
#[derive(Debug)]
pub(crate) struct EnginePrice {
    /// Until when engines count as contended by short requests.
    contended_until: units::MonoTime,
    /// Prefill time of recent long prompts per unit of their worth, milliseconds; a moving average. A short request has
    /// a worth of 1.
    ms_per_worth: f64,
    /// Engine time requested by long prompts, decaying over [`LOAD_TIME`], milliseconds; as of `demand_updated`.
    demand_ms: f64,
    /// Number of long prompts, decaying over [`LOAD_TIME`]; as of `demand_updated`.
    demand_count: f64,
    /// Time of the last update of `demand_ms` and `demand_count`.
    demand_updated: units::MonoTime,
}

impl Default for EnginePrice {
    fn default() -> Self {
        Self {
            contended_until: units::MonoTime::default(),
            ms_per_worth: INITIAL_MS_PER_WORTH,
            demand_ms: 0.0,
            demand_count: 0.0,
            demand_updated: units::MonoTime::default(),
        }
    }
}

impl EnginePrice {
    /// Records that a long prompt was granted engine time.
    pub(crate) fn note_prefill(
        &mut self,
        shape: &route_table::EngineShape,
        request: &engine_place::PlacementRequest,
    ) {
        let sample = pass_model::prefill_ms(shape, request.prompt) / f64::from(request.worth);
        self.ms_per_worth += (sample - self.ms_per_worth) * MS_PER_WORTH_WEIGHT;
    }

    /// Records that a long prompt requests engine time.
    pub(crate) fn note_demand(
        &mut self,
        now: units::MonoTime,
        shape: &route_table::EngineShape,
        request: &engine_place::PlacementRequest,
    ) {
        self.demand_ms = self.demand_ms(now) + pass_model::prefill_ms(shape, request.prompt);
        self.demand_count = self.demand_count * self.remaining_fraction(now) + 1.0;
        self.demand_updated = now;
    }

    /// Fraction of `rate`, in requests per second, that long prompts have requested recently; at most [`MAX_LOAD`].
    /// `rate` sums the rate limits of the engines that a prompt may use.
    pub(crate) fn limited_load(&self, now: units::MonoTime, rate: f64) -> f64 {
        let requested = self.demand_count * self.remaining_fraction(now);
        (requested / (LOAD_TIME.as_secs_f64() * rate)).min(MAX_LOAD)
    }

    /// Fraction of the time of `engines` engines that long prompts have requested recently, at most [`MAX_LOAD`]; 0 if
    /// prompts other than that of `request` requested less than [`ALONE_LOAD`].
    pub(crate) fn load(
        &self,
        now: units::MonoTime,
        engines: usize,
        shape: &route_table::EngineShape,
        request: &engine_place::PlacementRequest,
    ) -> f64 {
        let capacity_ms = LOAD_TIME.as_secs_f64() * 1_000.0 * engines.max(1) as f64;
        let demand = self.demand_ms(now);
        let others = demand - pass_model::prefill_ms(shape, request.prompt);
        if others < capacity_ms * ALONE_LOAD {
            return 0.0;
        }
        (demand / capacity_ms).min(MAX_LOAD)
    }

    fn demand_ms(&self, now: units::MonoTime) -> f64 {
        self.demand_ms * self.remaining_fraction(now)
    }

    /// Fraction of the recorded demand that remains after its decay.
    fn remaining_fraction(&self, now: units::MonoTime) -> f64 {
        let elapsed = now.since(self.demand_updated).as_secs_f64();
        (-elapsed / LOAD_TIME.as_secs_f64()).exp()
    }

    /// Engine time that earns as much as one short request, milliseconds.
    pub(crate) fn ms_per_worth(&self) -> f64 {
        self.ms_per_worth
    }

    /// Records that a short request found no engine that meets all its limits.
    pub(crate) fn note_contention(&mut self, now: units::MonoTime) {
        self.contended_until = now + CONTENTION_TIME;
    }

    /// Whether a long prompt is worth at least as much as the short requests that its prefill displaces. Always true
    /// without contention and for resumed requests.
    pub(crate) fn is_worth_prefill(
        &self,
        now: units::MonoTime,
        shape: &route_table::EngineShape,
        job: &waiting_job::WaitingJob,
    ) -> bool {
        if job.request.resumed || now >= self.contended_until {
            return true;
        }
        let seconds = pass_model::prefill_ms(shape, job.request.prompt) / 1_000.0;
        let answer_ms = pass_model::decode_ms(shape, shape.slots, 0, SHORT_ANSWER);
        let shorts_per_second = shape.slots as f64 * 1_000.0 / answer_ms;
        job.value() >= seconds * shorts_per_second
    }
}
