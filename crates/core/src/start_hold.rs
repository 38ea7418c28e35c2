//! Whether a request that arrives at a process without routes is held or rejected, and when its caller should retry.
//!
//! The rules of [`crate::start_wait`] end the wait at a fixed process age. Requests that arrive in the first 0.7 s of an
//! outage of the store are then all rejected at the same moment with the same retry delay, and those that arrive later
//! are rejected immediately; half of the retries find the outage still going on. The rules of this module follow the
//! caller's time limit instead, so that the held time and the retry delay of a caller reach over an outage as far as its
//! two attempts allow.

use std::time;

use rand::RngExt as _;

use crate::{sharing, start_wait::StartContact};

/// Largest fraction of its time limit for which a request is held. The remainder is for its answer or for an attempt
/// at another instance.
const HOLD_FRACTION: f64 = 0.3;
/// Process age up to which first attempts are held while the process has had no contact. A partitioned process cannot
/// serve its callers, and other instances probably can.
const NO_CONTACT_AGE: time::Duration = time::Duration::from_millis(350);
/// Most requests held by one instance; the instances have 160 MB or more.
const MAX_HELD: usize = 256;
/// Most bytes of bodies of held requests, a fifth of the memory of the smallest instances.
const MAX_HELD_BYTES: usize = 32 * 1024 * 1024;
/// Fraction of both bounds that first attempts may use. The remainder is kept for callers that have no attempt left
/// after this one.
const FIRST_ATTEMPT_FRACTION: f64 = 0.5;
/// Largest fraction of their remaining time for which callers wait before a retry.
const OBEYED_FRACTION: f64 = 0.33;
/// Retry delays of callers whose goal has passed, relative to the longest delay that they obey: as late as possible, as
/// the outage is then most likely over, and spread.
const LATE_SPREAD: std::ops::Range<f64> = 0.85..1.0;
/// Retry delays of callers that can still be on time, relative to the time left until their goal. The remainder is for
/// the answer.
const TIMELY_SPREAD: std::ops::Range<f64> = 0.5..0.75;
/// Factor of the time for which the outage has lasted, in the variant that derives the delay from it.
const ELAPSED_SPREAD: std::ops::Range<f64> = 1.0..1.5;
/// Shortest retry delay. Routes reach all instances within some 100 ms after the first instance has them.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);
/// Time until the goal below which a held request is not delayed after the routes have arrived.
const MIN_SPREAD_GOAL: time::Duration = time::Duration::from_millis(500);
/// Time to the first event that a caller is assumed to accept while the routes, which state it, are unknown; a fraction
/// of its time limit.
const ASSUMED_GOAL_FRACTION: f64 = 0.1;
/// Largest fraction of the time until its goal or, once that has passed, until its time limit by which a held request is
/// delayed after the routes have arrived. Requests that are soon due are thus placed first.
const RELEASE_FRACTION: f64 = 0.05;

/// Which attempt of its caller a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAttempt {
    /// The first attempt; its caller makes another one after a rejection.
    First,
    /// The last attempt, whose rejection loses the request.
    Last,
}

/// A request that waits for the routes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingRequest {
    /// Which attempt of its caller the request is.
    pub attempt: CallerAttempt,
    /// How long the caller waits for the answer, counted from the arrival.
    pub time_limit: time::Duration,
    /// Time since the arrival.
    pub waited: time::Duration,
    /// Time to the first event that the caller accepts, counted from the arrival; `None` while the routes are unknown.
    pub goal: Option<time::Duration>,
}

impl WaitingRequest {
    /// Time until the caller gives up.
    pub fn left(&self) -> time::Duration {
        self.time_limit.saturating_sub(self.waited)
    }

    /// Time left until the goal; zero if it has passed. The goal of a last attempt has passed, as its caller has waited
    /// for the retry delay before.
    fn goal_left(&self) -> time::Duration {
        if self.attempt == CallerAttempt::Last {
            return time::Duration::ZERO;
        }
        let goal = self.goal.unwrap_or_else(|| self.time_limit.mul_f64(ASSUMED_GOAL_FRACTION));
        goal.saturating_sub(self.waited)
    }
}

/// What happens to a request that waits for the routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldVerdict {
    /// The request keeps waiting.
    Hold,
    /// The request is rejected now.
    Reject,
}

/// Decides whether a request keeps waiting for the routes at a process of this age, which equals the length of the
/// outage as far as the process knows.
pub fn decide(contact: StartContact, age: time::Duration, request: &WaitingRequest) -> HoldVerdict {
    let is_within_limit = request.waited < request.time_limit.mul_f64(HOLD_FRACTION);
    let is_useful = match (request.attempt, contact) {
        (CallerAttempt::Last, _) | (CallerAttempt::First, StartContact::Source) => true,
        (CallerAttempt::First, StartContact::NoContact) => age < NO_CONTACT_AGE,
        // An outage that has lasted longer than the caller's time limit rarely ends while the request is held; its
        // retry is held instead.
        (CallerAttempt::First, StartContact::Members) => age < request.time_limit,
    };
    if is_within_limit && is_useful { HoldVerdict::Hold } else { HoldVerdict::Reject }
}

/// Returns the retry delay of a request that is rejected because the routes are unknown; the process has been without
/// them for `outage`.
pub fn retry_after(
    variant: sharing::StartHold,
    outage: time::Duration,
    request: &WaitingRequest,
    random: &mut impl rand::Rng,
) -> time::Duration {
    let obeyed = request.left().mul_f64(OBEYED_FRACTION);
    let goal_left = request.goal_left();
    let delay = if variant == sharing::StartHold::ByContactElapsed {
        outage.mul_f64(random.random_range(ELAPSED_SPREAD)).min(obeyed)
    } else if goal_left.mul_f64(TIMELY_SPREAD.start) >= MIN_RETRY_AFTER {
        goal_left.mul_f64(random.random_range(TIMELY_SPREAD)).min(obeyed)
    } else {
        obeyed.mul_f64(random.random_range(LATE_SPREAD))
    };
    delay.max(MIN_RETRY_AFTER)
}

/// Returns by how much a held request is delayed after the routes have arrived: by a random time, short for requests
/// that can still be on time and have little time left, within the fraction of its time limit for which it may be held.
///
/// If all held requests asked for places at once, the planner would answer late, and members would take it for silent
/// and ask the next one.
pub fn release_delay(request: &WaitingRequest, random: &mut impl rand::Rng) -> time::Duration {
    let goal_left = request.goal_left();
    let spread_over = if goal_left.is_zero() {
        request.left()
    } else if goal_left < MIN_SPREAD_GOAL {
        return time::Duration::ZERO;
    } else {
        goal_left
    };
    let hold_left = request.time_limit.mul_f64(HOLD_FRACTION).saturating_sub(request.waited);
    spread_over.mul_f64(RELEASE_FRACTION * random.random::<f64>()).min(hold_left)
}

/// The requests that a process holds, within its bounds.
#[derive(Debug, Default)]
pub struct HeldRequests {
    /// Number of requests held; at most [`MAX_HELD`].
    count: usize,
    /// Bytes of their bodies; at most [`MAX_HELD_BYTES`].
    bytes: usize,
    /// Largest `count` so far.
    most: usize,
}

impl HeldRequests {
    /// Adds a request with a body of `bytes`, and returns whether it fits within the bounds; the caller must
    /// [`remove`](Self::remove) it later if it does.
    pub fn add(&mut self, attempt: CallerAttempt, bytes: usize) -> bool {
        let fraction = match attempt {
            CallerAttempt::First => FIRST_ATTEMPT_FRACTION,
            CallerAttempt::Last => 1.0,
        };
        let bound = |limit: usize| (limit as f64 * fraction) as usize;
        if self.count >= bound(MAX_HELD) || self.bytes + bytes > bound(MAX_HELD_BYTES) {
            return false;
        }
        self.count += 1;
        self.bytes += bytes;
        self.most = self.most.max(self.count);
        true
    }

    /// Removes a request that was added with a body of `bytes`.
    pub fn remove(&mut self, bytes: usize) {
        self.count = self.count.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Number of requests held now.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Largest number of requests held at the same time so far.
    pub fn most(&self) -> usize {
        self.most
    }
}
