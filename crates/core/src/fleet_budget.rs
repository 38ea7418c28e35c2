//! The retries that all members together may make, and this member's own share of them.
//!
//! The bound grows with the requests of all, so what each member's own requests add is its own to use. What goes beyond
//! that is one number for all: a part of it is split evenly, for members that reach nobody, and the rest is given
//! by the member that keeps it, to those that need it.

use std::{collections, time};

use crate::{send_pace, units};

/// Part of the bound that own requests add to it which is used; the rest is for views that differ.
const USED_PART: f64 = 0.6;
/// Part of the number for all that is split evenly among the members: where these are cut in halves that take each
/// other for gone, it is used twice.
const SPLIT_PART: f64 = 0.3;
/// Part of that number which its keeper gives; used twice behind a cut, too.
const KEPT_PART: f64 = 0.2;
/// The same where there are so many members that no split share is a whole retry.
const KEPT_ALONE_PART: f64 = SPLIT_PART + KEPT_PART;

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

impl RetryBound {
    /// What the keeper gives, of which `part` is its own to give, where it knows how many `members` there are: half of
    /// it at once, the rest as time goes by, so that no window has more than the whole.
    pub fn kept(&self, part: f64, members: Option<usize>) -> send_pace::PaceBound {
        let is_split = members.is_none_or(|members| self.split(members) >= 1.0);
        let kept = if is_split { KEPT_PART } else { KEPT_ALONE_PART };
        let most = self.extra * kept * part.clamp(0.0, 1.0);
        let rate = most / 2.0 / self.window.as_secs_f64();
        let rate = units::RequestRate::try_from(rate).unwrap_or_default();
        // A keeper that changes a few times within a window still gives less than is left of the whole.
        send_pace::PaceBound { rate, catch_up: self.window, credit: self.window / 2 }
    }

    /// Each member's share of what is split among so many.
    fn split(&self, members: usize) -> f64 {
        self.extra * SPLIT_PART / members.max(1) as f64
    }
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

    /// Takes one retry, if this member's share has one left. While the `members` are not known it has what its own
    /// requests add and no more: however many there are, all may be as unsure.
    pub fn take(&mut self, now: units::MonoTime, members: Option<usize>) -> bool {
        self.prune(now);
        let split = members.map_or(0.0, |members| self.bound.split(members));
        let added = self.requests.len() as f64 * self.bound.ratio * USED_PART;
        if self.retries.len() as f64 + 1.0 > added + split {
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
