//! This member's share of the retries that the whole fleet may make.

use std::{collections, time};

use crate::units;

/// Part of the fleet's bound that is used; the rest is for views that differ.
const USED_PART: f64 = 0.6;
/// Members assumed while none has been heard of for long enough to know.
const UNSURE_MEMBERS: usize = 24;

/// The fleet's bound on retries to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that in one window, of all members together.
    pub extra: f64,
    /// Length of the window; every span of that length counts.
    pub window: time::Duration,
}

/// Retries and requests of this member in the window.
#[derive(Debug)]
pub struct RetryShare {
    bound: RetryBound,
    requests: collections::VecDeque<units::MonoTime>,
    retries: collections::VecDeque<units::MonoTime>,
}

impl RetryShare {
    /// An unused share.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            requests: collections::VecDeque::new(),
            retries: collections::VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: units::MonoTime) {
        self.prune(now);
        self.requests.push_back(now);
    }

    /// Takes one retry, if this member's share has one left; `members` is `None` while unsure.
    pub fn take(&mut self, now: units::MonoTime, members: Option<usize>) -> bool {
        self.prune(now);
        let members = members.unwrap_or(UNSURE_MEMBERS).max(1);
        let extra = self.bound.extra / members as f64;
        let allowed = (self.requests.len() as f64 * self.bound.ratio + extra) * USED_PART;
        if self.retries.len() as f64 + 1.0 > allowed.max(1.0) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn prune(&mut self, now: units::MonoTime) {
        let oldest = now.earlier_by(self.bound.window);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < oldest) {
                times.pop_front();
            }
        }
    }
}
