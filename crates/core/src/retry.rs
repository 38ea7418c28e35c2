//! Decides whether a failed attempt is followed by another, within a retry budget.

use std::collections;

use crate::units;

/// How an attempt ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection to the upstream was established; nothing was sent.
    NotConnected,
    /// The upstream reported that it did not run the request.
    SaidNotRun,
    /// Another upstream answered at the address and did not run the request.
    Misdirected,
    /// A prerequisite, such as memory on other engines, is not available; nothing was sent.
    NotPrepared,
    /// The send was denied, for example because the upstream is leaving or in backoff; nothing was
    /// sent.
    Denied,
    /// The connection broke after bytes were sent and before anything reached the caller.
    BrokeBeforeAnswer,
    /// The connection broke after part of the answer reached the caller.
    BrokeMidAnswer,
}

impl AttemptFailure {
    /// Whether the request certainly did not run.
    pub fn definitely_not_run(self) -> bool {
        matches!(
            self,
            Self::NotConnected
                | Self::SaidNotRun
                | Self::Misdirected
                | Self::NotPrepared
                | Self::Denied
        )
    }

    /// Whether no upstream received any part of the request. Such an attempt does not count towards the limit of
    /// attempts, and the retry permit taken for it stays valid for the next one.
    pub fn reached_no_upstream(self) -> bool {
        matches!(self, Self::NotConnected | Self::NotPrepared | Self::Denied)
    }
}

/// A failed attempt, with the state of its request that decides on a retry.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// How the attempt failed.
    pub failure: AttemptFailure,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// Most attempts allowed for the request.
    pub max_attempts: u32,
    /// Whether the time limit of the request leaves time for another attempt.
    pub time_left: bool,
}

/// Whether a failed attempt is followed by another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Make another attempt.
    Retry,
    /// Make no further attempt, for the given reason.
    GiveUp(&'static str),
}

/// Window over which requests and retries are counted.
const WINDOW: std::time::Duration = std::time::Duration::from_secs(10);
/// Number of slices of time in a window; the counts of a slice expire together.
const SLICES: u64 = 10;
/// Retries always allowed in a window, regardless of the number of requests.
const MIN_RETRIES: f64 = 3.0;

/// Limits retries to a share of the requests of the last ten seconds, so that they do not amplify an
/// outage.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    /// For each slice its index (time divided by the slice length) and the requests and retries counted in it; oldest
    /// first, at most [`SLICES`] of them.
    slices: collections::VecDeque<(u64, u64, u64)>,
}

impl RetryBudget {
    /// Creates a budget of `share` retries for each request.
    pub fn new(share: units::ShareRatio) -> Self {
        Self { share: share.factor(), slices: collections::VecDeque::new() }
    }

    /// Changes the number of retries for each request.
    pub fn set_share(&mut self, share: units::ShareRatio) {
        self.share = share.factor();
    }

    /// Counts a request, which adds to the number of retries allowed.
    pub fn count_request(&mut self, now: units::MonoTime) {
        self.slice(now).1 += 1;
    }

    /// Decides whether to make another attempt and, if so, takes it from the budget.
    pub fn decide(&mut self, now: units::MonoTime, failed: FailedAttempt) -> RetryVerdict {
        if failed.failure == AttemptFailure::BrokeMidAnswer {
            return RetryVerdict::GiveUp("part of the answer has reached the caller");
        }
        if !failed.repeatable && !failed.failure.definitely_not_run() {
            return RetryVerdict::GiveUp("it may have run and must not run twice");
        }
        if failed.attempts >= failed.max_attempts {
            return RetryVerdict::GiveUp("no attempts left");
        }
        if !failed.time_left {
            return RetryVerdict::GiveUp("no time left");
        }
        if !self.take(now) {
            return RetryVerdict::GiveUp("the retry budget is used up");
        }
        RetryVerdict::Retry
    }

    /// Takes one retry from the budget and returns whether there was one left.
    fn take(&mut self, now: units::MonoTime) -> bool {
        self.slice(now);
        let requests: u64 = self.slices.iter().map(|slice| slice.1).sum();
        let retries: u64 = self.slices.iter().map(|slice| slice.2).sum();
        let allowed = (requests as f64 * self.share).max(MIN_RETRIES);
        if retries as f64 + 1.0 > allowed {
            return false;
        }
        self.slice(now).2 += 1;
        true
    }

    /// Returns the slice that `now` belongs to, after dropping those outside the window.
    fn slice(&mut self, now: units::MonoTime) -> &mut (u64, u64, u64) {
        let width = u64::try_from(WINDOW.as_micros()).unwrap_or(u64::MAX) / SLICES;
        let number = now.0 / width;
        self.slices.retain(|slice| slice.0 + SLICES > number);
        if self.slices.back().is_none_or(|slice| slice.0 != number) {
            self.slices.push_back((number, 0, 0));
        }
        self.slices.back_mut().expect("a slice was pushed above")
    }
}
