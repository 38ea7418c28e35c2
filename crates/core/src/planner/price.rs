//! What engine time earns with short requests while these find no room.

use std::time;

use crate::{pass_model, planner::waiting_job, route_table, units};

/// Time after a short request found no calm place during which others are taken to find none.
const PRESSED_TIME: time::Duration = time::Duration::from_millis(700);
/// Tokens of a short request's answer, for what an engine could do instead of reading.
const SHORT_ANSWER: u64 = 1_700;

/// Engine time taken to earn as much as one short request before any was seen, milliseconds.
const FIRST_MS_PER_WORTH: f64 = 150.0;
/// Time over which the load of reading is remembered.
const LOAD_TIME: time::Duration = time::Duration::from_secs(3);
/// Largest load that is believed: something is always left over.
const MAX_LOAD: f64 = 0.95;
/// Weight of the newest prompt in the mean.
const READING_WEIGHT: f64 = 0.05;

/// The price of engine time: nothing while there is room, else what short requests earn there.
#[derive(Debug)]
pub(crate) struct EnginePrice {
    /// Until when short requests are taken to find no room.
    pressed_until: units::MonoTime,
    /// Engine time that earned as much as one short request with the long prompts that were read
    /// lately, milliseconds.
    ms_per_worth: f64,
    /// Engine time that was taken for reading in time, decaying over [`LOAD_TIME`], milliseconds; as
    /// of the time beside.
    reading_ms: f64,
    reading_since: units::MonoTime,
}

impl Default for EnginePrice {
    fn default() -> Self {
        Self {
            pressed_until: units::MonoTime::default(),
            ms_per_worth: FIRST_MS_PER_WORTH,
            reading_ms: 0.0,
            reading_since: units::MonoTime::default(),
        }
    }
}

impl EnginePrice {
    /// Notes that a long prompt gets engine time.
    pub(crate) fn note_reading(
        &mut self,
        now: units::MonoTime,
        shape: &route_table::EngineShape,
        job: &waiting_job::WaitingJob,
    ) {
        let reading = pass_model::read_ms(shape, job.ask.prompt);
        if !job.late {
            self.reading_ms = self.reading_ms(now) + reading;
            self.reading_since = now;
        }
        let each = reading / f64::from(job.ask.worth);
        self.ms_per_worth += (each - self.ms_per_worth) * READING_WEIGHT;
    }

    /// Part of so many engines' time that reading in time has taken lately.
    pub(crate) fn load(&self, now: units::MonoTime, engines: usize) -> f64 {
        let whole = LOAD_TIME.as_secs_f64() * 1_000.0 * engines.max(1) as f64;
        (self.reading_ms(now) / whole).min(MAX_LOAD)
    }

    fn reading_ms(&self, now: units::MonoTime) -> f64 {
        let spent = now.since(self.reading_since).as_secs_f64();
        self.reading_ms * (-spent / LOAD_TIME.as_secs_f64()).exp()
    }

    /// Engine time that earns as much as one short request, milliseconds.
    pub(crate) fn ms_per_worth(&self) -> f64 {
        self.ms_per_worth
    }

    /// Notes that a short request found no calm place.
    pub(crate) fn press(&mut self, now: units::MonoTime) {
        self.pressed_until = now + PRESSED_TIME;
    }

    /// Whether a long prompt earns more than the short requests that its reading turns away.
    ///
    /// Without it 23 in 1,000 of all credit were lost by refused shorts, with it 13 (mean of 15
    /// days with trouble).
    pub(crate) fn is_earned(
        &self,
        now: units::MonoTime,
        shape: &route_table::EngineShape,
        job: &waiting_job::WaitingJob,
    ) -> bool {
        if job.ask.resumed || now >= self.pressed_until {
            return true;
        }
        let seconds = pass_model::read_ms(shape, job.ask.prompt) / 1_000.0;
        let answer_ms = pass_model::write_ms(shape, shape.slots, 0, SHORT_ANSWER);
        let shorts = shape.slots as f64 * 1_000.0 / answer_ms;
        job.value() >= seconds * shorts
    }
}
