//! What engine time earns with short requests while these find no room.

use std::time;

use crate::{engine_place, pass_model, planner::waiting_job, route_table, units};

/// Time after a short request found no calm place during which others are taken to find none.
const CONTENTION_TIME: time::Duration = time::Duration::from_millis(700);
/// Tokens of a short request's answer, for what an engine could do instead of reading.
const SHORT_ANSWER: u64 = 1_700;

/// Engine time taken to earn as much as one short request before any was seen, milliseconds.
const FIRST_MS_PER_WORTH: f64 = 150.0;
/// Time over which the load of reading is remembered.
const LOAD_TIME: time::Duration = time::Duration::from_secs(3);
/// Largest load that is believed: something is always left over.
const MAX_LOAD: f64 = 0.95;
/// Load of others below which a prompt takes no other request's time.
const ALONE_LOAD: f64 = 0.1;
/// Weight of the newest prompt in the mean.
const READING_WEIGHT: f64 = 0.05;

/// The price of engine time: nothing while there is room, else what short requests earn there.
#[derive(Debug)]
pub(crate) struct EnginePrice {
    /// Until when short requests are taken to find no room.
    contended_until: units::MonoTime,
    /// Engine time that earned as much as one short request with the long prompts that were read
    /// lately, milliseconds.
    ms_per_worth: f64,
    /// Engine time that long prompts asked for, decaying over [`LOAD_TIME`], milliseconds; as of the
    /// time beside.
    demand_ms: f64,
    /// The same in prompts.
    demand_count: f64,
    demand_since: units::MonoTime,
}

impl Default for EnginePrice {
    fn default() -> Self {
        Self {
            contended_until: units::MonoTime::default(),
            ms_per_worth: FIRST_MS_PER_WORTH,
            demand_ms: 0.0,
            demand_count: 0.0,
            demand_since: units::MonoTime::default(),
        }
    }
}

impl EnginePrice {
    /// Notes that a long prompt gets engine time.
    pub(crate) fn note_reading(
        &mut self,
        shape: &route_table::EngineShape,
        ask: &engine_place::PlaceAsk,
    ) {
        let each = pass_model::read_ms(shape, ask.prompt) / f64::from(ask.worth);
        self.ms_per_worth += (each - self.ms_per_worth) * READING_WEIGHT;
    }

    /// Notes that a long prompt asks for engine time.
    pub(crate) fn note_demand(
        &mut self,
        now: units::MonoTime,
        shape: &route_table::EngineShape,
        ask: &engine_place::PlaceAsk,
    ) {
        self.demand_ms = self.demand_ms(now) + pass_model::read_ms(shape, ask.prompt);
        self.demand_count = self.demand_count * self.left(now) + 1.0;
        self.demand_since = now;
    }

    /// Part of the summed rate limits of all engines that long prompts have asked for recently.
    pub(crate) fn limited_load(&self, now: units::MonoTime, rate: f64) -> f64 {
        let asked = self.demand_count * self.left(now);
        (asked / (LOAD_TIME.as_secs_f64() * rate)).min(MAX_LOAD)
    }

    /// Part of the engines' time that long prompts have asked for recently; nothing where this one
    /// was nearly alone.
    pub(crate) fn load(
        &self,
        now: units::MonoTime,
        engines: usize,
        shape: &route_table::EngineShape,
        ask: &engine_place::PlaceAsk,
    ) -> f64 {
        let whole = LOAD_TIME.as_secs_f64() * 1_000.0 * engines.max(1) as f64;
        let demand = self.demand_ms(now);
        let others = demand - pass_model::read_ms(shape, ask.prompt);
        if others < whole * ALONE_LOAD {
            return 0.0;
        }
        (demand / whole).min(MAX_LOAD)
    }

    fn demand_ms(&self, now: units::MonoTime) -> f64 {
        self.demand_ms * self.left(now)
    }

    /// Part of a demand that is remembered by now.
    fn left(&self, now: units::MonoTime) -> f64 {
        let spent = now.since(self.demand_since).as_secs_f64();
        (-spent / LOAD_TIME.as_secs_f64()).exp()
    }

    /// Engine time that earns as much as one short request, milliseconds.
    pub(crate) fn ms_per_worth(&self) -> f64 {
        self.ms_per_worth
    }

    /// Notes that a short request found no calm place.
    pub(crate) fn note_contention(&mut self, now: units::MonoTime) {
        self.contended_until = now + CONTENTION_TIME;
    }

    /// Whether a long prompt earns more than the short requests that its reading turns away.
    pub(crate) fn is_worth_reading(
        &self,
        now: units::MonoTime,
        shape: &route_table::EngineShape,
        job: &waiting_job::WaitingJob,
    ) -> bool {
        if job.ask.resumed || now >= self.contended_until {
            return true;
        }
        let seconds = pass_model::read_ms(shape, job.ask.prompt) / 1_000.0;
        let answer_ms = pass_model::write_ms(shape, shape.slots, 0, SHORT_ANSWER);
        let shorts = shape.slots as f64 * 1_000.0 / answer_ms;
        job.value() >= seconds * shorts
    }
}
