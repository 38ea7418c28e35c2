//! A token bucket for sends, represented by the time at which its next token is due.

use std::time;

use crate::units;

/// Burst allowance of an upstream's limit. Without it, the tokens of a short gap between requests would be lost; with
/// it, later sends catch up.
pub const CATCH_UP: time::Duration = time::Duration::from_millis(200);
/// Lowest rate in force, in sends per second. Only an answer ends a limit, so an upstream whose limit is zero must still
/// be sent a request now and then.
const MIN_RATE: f64 = 0.1;

/// Rate and burst allowance of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceBound {
    /// Sustained rate of sends.
    pub rate: units::RequestRate,
    /// Burst allowance, as time at the sustained rate.
    pub catch_up: time::Duration,
    /// Part of the burst allowance that a new bucket starts with, as time at the sustained rate; zero if the sends of a
    /// previous coordinator must be accounted for.
    pub credit: time::Duration,
}

impl PaceBound {
    /// The bound for an upstream's limit: a burst allowance of [`CATCH_UP`], none of which is available to a new
    /// bucket.
    pub fn of_limit(rate: units::RequestRate) -> Self {
        Self { rate, catch_up: CATCH_UP, credit: time::Duration::ZERO }
    }

    /// Time between two sends at the sustained rate.
    pub fn interval(&self) -> time::Duration {
        time::Duration::from_secs_f64(1.0 / self.rate.per_second().max(MIN_RATE))
    }
}

/// A token bucket for sends, whose [`PaceBound`] may change while it is in use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendPace {
    bound: PaceBound,
    /// When the next token is due at an even rate.
    due: units::MonoTime,
}

impl SendPace {
    /// Creates a bucket that is empty except for the bound's credit.
    pub fn initial(now: units::MonoTime, bound: PaceBound) -> Self {
        let used = bound.interval() + bound.catch_up;
        Self { bound, due: now + used.saturating_sub(bound.credit) }
    }

    /// The bound in force.
    pub fn bound(&self) -> PaceBound {
        self.bound
    }

    /// Time until a token is available.
    pub fn wait(&self, now: units::MonoTime) -> time::Duration {
        self.wait_reserving(now, 0.0)
    }

    /// Like [`Self::wait`], leaving `part` of the burst allowance unused.
    pub fn wait_reserving(&self, now: units::MonoTime, part: f64) -> time::Duration {
        let allowance = self.bound.catch_up.mul_f64(1.0 - part.clamp(0.0, 1.0));
        self.due.earlier_by(allowance).since(now)
    }

    /// Takes `count` tokens, also if they are not available yet.
    pub fn take(&mut self, now: units::MonoTime, count: u32) {
        self.due = self.due.max(now) + self.bound.interval() * count;
    }

    /// Changes the bound. Tokens taken at the old rate delay the next send by at most one interval of the new rate.
    pub fn change(&mut self, now: units::MonoTime, bound: PaceBound) {
        self.bound = bound;
        self.due = self.due.min(now + bound.interval() + bound.catch_up);
    }
}
