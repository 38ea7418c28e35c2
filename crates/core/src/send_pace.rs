//! When the next request may go to an upstream that takes so many a second: a token bucket kept as one time.

use std::time;

use crate::units;

/// Time that is not used for a send and may be made up for: what passes until the next request asks. Without it each
/// such gap would be lost to the limit; the burst that it allows is what the limit lets through in that time, and one.
pub const CATCH_UP: time::Duration = time::Duration::from_millis(200);
/// Lowest rate that is kept, requests a second: only an answer can tell that a limit is over, so an upstream that
/// takes none is asked now and then all the same.
const LOWEST_RATE: f64 = 0.1;

/// The sends to one upstream, by the time of the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendPace {
    /// When the next send is due if each comes an interval behind the one before.
    due: units::MonoTime,
}

impl SendPace {
    /// As though something had just been sent: others may have done so that are not known of.
    pub fn begun(now: units::MonoTime, rate: units::RequestRate) -> Self {
        Self { due: now + interval(rate) + CATCH_UP }
    }

    /// Time until something may be sent.
    pub fn wait(&self, now: units::MonoTime) -> time::Duration {
        self.due.earlier_by(CATCH_UP).since(now)
    }

    /// Takes so many sends, the first as soon as it may be.
    pub fn take(&mut self, now: units::MonoTime, rate: units::RequestRate, count: u32) {
        self.due = self.due.max(now) + interval(rate) * count;
    }

    /// Goes on at another rate: what was taken at a slow one holds nothing up for longer than one interval of the new.
    pub fn change(&mut self, now: units::MonoTime, rate: units::RequestRate) {
        self.due = self.due.min(now + interval(rate) + CATCH_UP);
    }
}

/// Time between two sends.
pub fn interval(rate: units::RequestRate) -> time::Duration {
    time::Duration::from_secs_f64(1.0 / rate.per_second().max(LOWEST_RATE))
}
