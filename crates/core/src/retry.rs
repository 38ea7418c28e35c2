//! When an attempt that failed may be followed by another.

use std::collections;

use crate::units;

/// How an attempt ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The upstream could not be connected to; nothing was written.
    NotConnected,
    /// The upstream itself said that it did not run the request.
    SaidNotRun,
    /// Another upstream answered at its address, and did not run the request.
    Misdirected,
    /// What it needs first, as memory elsewhere, is not to be had; nothing was sent.
    NotPrepared,
    /// The upstream leaves, or wants rest; nothing was sent.
    Denied,
    /// It broke off after bytes were written and before anything reached the caller.
    BrokeBeforeAnswer,
    /// It broke off after part of the answer reached the caller.
    BrokeMidAnswer,
}

impl AttemptFailure {
    /// Whether the upstream certainly did not run the request.
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

    /// Whether no upstream got anything of the request: the attempt, and the retry taken for it, are not spent.
    pub fn reached_no_upstream(self) -> bool {
        matches!(self, Self::NotConnected | Self::NotPrepared | Self::Denied)
    }
}

/// What is known when an attempt has failed.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// How it failed.
    pub failure: AttemptFailure,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Attempts made so far, this one included.
    pub attempts: u32,
    /// Most attempts allowed.
    pub max_attempts: u32,
    /// Whether the time limit leaves room for another.
    pub time_left: bool,
}

/// Whether to try again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Try again elsewhere.
    Retry,
    /// Give the request up, for the reason said.
    GiveUp(&'static str),
}

/// Length of the window over which retries are a share of requests.
const WINDOW: std::time::Duration = std::time::Duration::from_secs(10);
/// Slices of the window.
const SLICES: u64 = 10;
/// Retries allowed in a window however few requests there were.
const FLOOR: f64 = 3.0;

/// Retries as a share of the requests of the last ten seconds, so that an outage is not amplified.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    /// Slice number, requests, retries; oldest first, at most [`SLICES`] of them.
    slices: collections::VecDeque<(u64, u64, u64)>,
}

impl RetryBudget {
    /// A budget of `share` retries for each request.
    pub fn new(share: units::ShareRatio) -> Self {
        Self { share: share.factor(), slices: collections::VecDeque::new() }
    }

    /// Changes the share, as new settings say.
    pub fn set_share(&mut self, share: units::ShareRatio) {
        self.share = share.factor();
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: units::MonoTime) {
        self.slice(now).1 += 1;
    }

    /// Decides on another attempt and takes it from the budget.
    pub fn ask(&mut self, now: units::MonoTime, question: FailedAttempt) -> RetryVerdict {
        if question.failure == AttemptFailure::BrokeMidAnswer {
            return RetryVerdict::GiveUp("part of the answer has reached the caller");
        }
        if !question.repeatable && !question.failure.definitely_not_run() {
            return RetryVerdict::GiveUp("it may have run and must not run twice");
        }
        if question.attempts >= question.max_attempts {
            return RetryVerdict::GiveUp("no attempts left");
        }
        if !question.time_left {
            return RetryVerdict::GiveUp("no time left");
        }
        if !self.take(now) {
            return RetryVerdict::GiveUp("the retry budget is used up");
        }
        RetryVerdict::Retry
    }

    fn take(&mut self, now: units::MonoTime) -> bool {
        self.slice(now);
        let requests: u64 = self.slices.iter().map(|slice| slice.1).sum();
        let retries: u64 = self.slices.iter().map(|slice| slice.2).sum();
        let allowed = (requests as f64 * self.share).max(FLOOR);
        if retries as f64 + 1.0 > allowed {
            return false;
        }
        self.slice(now).2 += 1;
        true
    }

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
