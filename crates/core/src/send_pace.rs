//! When the next send may go out where so many a second may: a token bucket kept as one time.

use std::time;

use crate::units;

/// Time that is not used for a send to an upstream with a limit and may be made up for: what passes until the next
/// request asks. Without it each such gap would be lost to the limit; the burst that it allows is what the limit lets
/// through in that time, and one.
pub const CATCH_UP: time::Duration = time::Duration::from_millis(200);
/// Lowest rate that is kept, sends a second: only an answer can tell that a limit is over, so an upstream that takes
/// none is asked now and then all the same.
const LOWEST_RATE: f64 = 0.1;

/// How much may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceBound {
    /// Sends a second.
    pub rate: units::RequestRate,
    /// Time that was not used and may be made up for.
    pub catch_up: time::Duration,
    /// The part of that which whoever begins to keep it has at once: none where what others have just sent must
    /// count.
    pub credit: time::Duration,
}

impl PaceBound {
    /// That of an upstream's limit.
    pub fn of_limit(rate: units::RequestRate) -> Self {
        Self { rate, catch_up: CATCH_UP, credit: time::Duration::ZERO }
    }

    /// Time between two sends.
    pub fn interval(&self) -> time::Duration {
        time::Duration::from_secs_f64(1.0 / self.rate.per_second().max(LOWEST_RATE))
    }
}

/// The sends of one kind, by the time of the next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendPace {
    bound: PaceBound,
    /// When the next send is due if each comes an interval behind the one before.
    due: units::MonoTime,
}

impl SendPace {
    /// As though something had just been sent: others may have done so that are not known of.
    pub fn begun(now: units::MonoTime, bound: PaceBound) -> Self {
        let used = bound.interval() + bound.catch_up;
        Self { bound, due: now + used.saturating_sub(bound.credit) }
    }

    /// Its bound.
    pub fn bound(&self) -> PaceBound {
        self.bound
    }

    /// Time until something may be sent.
    pub fn wait(&self, now: units::MonoTime) -> time::Duration {
        self.wait_sparing(now, 0.0)
    }

    /// The same for what leaves a part of the sends that may be made up for to others.
    pub fn wait_sparing(&self, now: units::MonoTime, part: f64) -> time::Duration {
        let made_up = self.bound.catch_up.mul_f64(1.0 - part.clamp(0.0, 1.0));
        self.due.earlier_by(made_up).since(now)
    }

    /// Takes so many sends, the first as soon as it may be.
    pub fn take(&mut self, now: units::MonoTime, count: u32) {
        self.due = self.due.max(now) + self.bound.interval() * count;
    }

    /// Goes on with another bound: what was taken at a slow rate holds nothing up for longer than one interval of the
    /// new.
    pub fn change(&mut self, now: units::MonoTime, bound: PaceBound) {
        self.bound = bound;
        self.due = self.due.min(now + bound.interval() + bound.catch_up);
    }
}
