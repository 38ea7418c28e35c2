//! A token bucket, kept as the time at which its next token is due.

use std::time;

use crate::units;

/// Burst allowance of an upstream's limit. It covers the gap until the next request arrives, which would otherwise be
/// lost to the limit.
pub const CATCH_UP: time::Duration = time::Duration::from_millis(200);
/// Lowest rate in force, sends a second: only an answer ends a limit, so an upstream that allows none is still tried.
const LOWEST_RATE: f64 = 0.1;

/// Rate and burst allowance of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceBound {
    /// Sends a second.
    pub rate: units::RequestRate,
    /// Burst allowance, as time at the full rate.
    pub catch_up: time::Duration,
    /// Part of the burst allowance that a new coordinator starts with; none where the sends of its predecessor count.
    pub credit: time::Duration,
}

impl PaceBound {
    /// Bound of an upstream's limit.
    pub fn of_limit(rate: units::RequestRate) -> Self {
        Self { rate, catch_up: CATCH_UP, credit: time::Duration::ZERO }
    }

    /// Time between two sends.
    pub fn interval(&self) -> time::Duration {
        time::Duration::from_secs_f64(1.0 / self.rate.per_second().max(LOWEST_RATE))
    }
}

/// A token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendPace {
    bound: PaceBound,
    /// When the next token is due at an even rate.
    due: units::MonoTime,
}

impl SendPace {
    /// A bucket that starts empty but for the bound's credit.
    pub fn begun(now: units::MonoTime, bound: PaceBound) -> Self {
        let used = bound.interval() + bound.catch_up;
        Self { bound, due: now + used.saturating_sub(bound.credit) }
    }

    /// Its bound.
    pub fn bound(&self) -> PaceBound {
        self.bound
    }

    /// Time until a token is available.
    pub fn wait(&self, now: units::MonoTime) -> time::Duration {
        self.wait_reserving(now, 0.0)
    }

    /// Like [`Self::wait`], leaving `part` of the burst allowance unused.
    pub fn wait_reserving(&self, now: units::MonoTime, part: f64) -> time::Duration {
        let made_up = self.bound.catch_up.mul_f64(1.0 - part.clamp(0.0, 1.0));
        self.due.earlier_by(made_up).since(now)
    }

    /// Takes `count` tokens.
    pub fn take(&mut self, now: units::MonoTime, count: u32) {
        self.due = self.due.max(now) + self.bound.interval() * count;
    }

    /// Changes the bound. Tokens taken at a slow rate delay the next one by at most one interval of the new rate.
    pub fn change(&mut self, now: units::MonoTime, bound: PaceBound) {
        self.bound = bound;
        self.due = self.due.min(now + bound.interval() + bound.catch_up);
    }
}
