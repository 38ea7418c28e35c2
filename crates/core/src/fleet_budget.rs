//! The retry budget of the fleet and this member's share of it.
//!
//! The budget grows with the requests of all members, so each member may use what its own requests add. The fixed part
//! is a shared quota. A fraction of the quota is split evenly among the members, also for those that cannot reach its
//! coordinator; another fraction is granted by the coordinator. A network partition may let both fractions be used
//! twice, once on each side, so together they are half of the quota.

use std::{collections, time};

use crate::{send_pace, units};

/// Fraction that this member uses of what its own requests add to the budget. The remainder is for members whose views
/// of the fleet differ.
const USED_PART: f64 = 0.6;
/// Part of the fixed quota that is split evenly. Halves of a partitioned fleet that consider each other gone use it
/// twice.
const SPLIT_PART: f64 = 0.3;
/// Part of the fixed quota that its coordinator grants. Like the split part, it may be used twice after a partition.
const GRANTED_PART: f64 = 0.2;
/// Part of the fixed quota that its coordinator grants in fleets so large that an evenly split share is less than one
/// retry.
const GRANTED_ALONE_PART: f64 = SPLIT_PART + GRANTED_PART;

/// The fleet's retry budget for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Fixed quota: retries of all members together that are allowed in one window beyond those that the fleet's
    /// requests add.
    pub extra: f64,
    /// Length of the window in which requests and retries are counted. The bound holds for every span of that length.
    pub window: time::Duration,
}

impl RetryBound {
    /// Rate and burst of the coordinator's token bucket, for the granted fraction of the quota scaled by `part`, the
    /// share of members in contact (0 to 1). Half of the tokens are available at once and the rest over one window, so
    /// that no window exceeds this part of the quota.
    pub fn coordinator_bound(&self, part: f64, members: Option<usize>) -> send_pace::PaceBound {
        let is_split = members.is_none_or(|members| self.split(members) >= 1.0);
        let granted_part = if is_split { GRANTED_PART } else { GRANTED_ALONE_PART };
        let quota = self.extra * granted_part * part.clamp(0.0, 1.0);
        let rate = quota / 2.0 / self.window.as_secs_f64();
        let rate = units::RequestRate::try_from(rate).unwrap_or_default();
        // Each new coordinator starts with `credit` again, whatever its predecessor has granted. A few changes of the
        // coordinator within a window use less than the half of the quota that is neither split nor granted.
        send_pace::PaceBound { rate, catch_up: self.window, credit: self.window / 2 }
    }

    /// Each member's share of the evenly split part, in retries per window.
    fn split(&self, members: usize) -> f64 {
        self.extra * SPLIT_PART / members.max(1) as f64
    }
}

/// This member's share of the retry budget, with its requests and retries of the last window.
#[derive(Debug)]
pub struct RetryShare {
    bound: RetryBound,
    /// Times of recent requests, oldest first.
    requests: collections::VecDeque<units::MonoTime>,
    /// Times of recent retries, oldest first.
    retries: collections::VecDeque<units::MonoTime>,
}

impl RetryShare {
    /// Creates a share of `bound` in which no requests and retries have been counted.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            requests: collections::VecDeque::new(),
            retries: collections::VecDeque::new(),
        }
    }

    /// Counts a request of this member, which adds to its share of the budget.
    pub fn count_request(&mut self, now: units::MonoTime) {
        self.prune(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the share and returns whether there was one left.
    ///
    /// While the number of `members` is unknown, the share is only what this member's requests add. All members may lack
    /// the number at once, so none of them uses the fixed quota then.
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
