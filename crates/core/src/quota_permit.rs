//! Leave to send one request where all members together may send so many, asked of the member that keeps the sum.

use std::time;

use serde::{Deserialize, Serialize};

use crate::{ids, retry_need, units};

/// How long a leave is good for behind the moment for which it was given. What is sent later counts in another
/// span of time than its keeper believes; a connection opens and a lost message is repeated within it.
pub const LEAVE_TIME: time::Duration = time::Duration::from_millis(500);

/// What all members together do only so often.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LeaveSubject {
    /// Requests to a start of an upstream with a limit.
    Upstream(ids::UpstreamId),
    /// Retries of requests to a service that save so much. All of them are one sum.
    Retries(ids::ServiceId, retry_need::RetryNeed),
}

impl LeaveSubject {
    /// All retries to a service.
    pub fn all_retries(service: ids::ServiceId) -> Self {
        Self::Retries(service, retry_need::RetryNeed::Begun)
    }

    /// The sum that this belongs to, as its keeper knows it.
    pub fn sum(&self) -> Self {
        match self {
            Self::Upstream(upstream) => Self::Upstream(upstream.clone()),
            Self::Retries(service, _) => Self::all_retries(service.clone()),
        }
    }

    /// Part of what may be given at once that is left for others.
    pub fn spared(&self) -> f64 {
        match self {
            Self::Upstream(_) => 0.0,
            Self::Retries(_, need) => need.spared(),
        }
    }
}

/// When a leave may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaveTerm {
    /// From when on.
    pub from: units::MonoTime,
    /// Until when: [`LEAVE_TIME`] behind the moment for which it was given, or sooner.
    pub until: units::MonoTime,
}

impl LeaveTerm {
    /// Of one that was asked for at `asked` and is to be used so long behind the ask's arrival. The arrival is not
    /// known here, only that it was not before the ask: so the leave is never good for too long, also where its
    /// answer lay unread while this process was paused.
    pub fn of_answer(asked: units::MonoTime, wait: time::Duration) -> Self {
        let from = asked + wait;
        Self { from, until: from + LEAVE_TIME }
    }

    /// Whether it is not over.
    pub fn is_good(&self, now: units::MonoTime) -> bool {
        now < self.until
    }
}

/// Leave to send one request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendLeave {
    /// The start of the upstream.
    pub upstream: ids::UpstreamId,
    /// When it may be used.
    pub term: LeaveTerm,
}

impl SendLeave {
    /// Whether something may be sent to an upstream by it.
    pub fn is_good(&self, now: units::MonoTime, upstream: &ids::UpstreamId) -> bool {
        self.upstream == *upstream && self.term.is_good(now)
    }
}

/// What a member asks of the keeper of a limit, or of what all share otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveAsk {
    /// Leaves that the member will use within a moment; one at least.
    pub wanted: u32,
    /// For how long its request would wait for the leave, milliseconds.
    pub patience_ms: u32,
}

/// What the keeper says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaveAnswer {
    /// So many requests may be sent, the first so many milliseconds from now.
    Given {
        /// How many.
        count: u32,
        /// When, milliseconds behind the ask's arrival.
        wait_ms: u32,
    },
    /// None may, or the ask should have gone to another member.
    Refused {
        /// When to ask again, milliseconds from now.
        back_ms: u32,
    },
}
