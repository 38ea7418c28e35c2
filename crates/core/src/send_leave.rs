//! Leave to send one request to an upstream with a limit, asked of the member that keeps it.

use std::time;

use serde::{Deserialize, Serialize};

use crate::{ids, units};

/// How long a leave is good for behind the moment for which it was given. What is sent later counts in another
/// span of time than its keeper believes; a connection opens and a lost message is repeated within it.
pub const LEAVE_TIME: time::Duration = time::Duration::from_millis(500);

/// Leave to send one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendLeave {
    /// The start of the upstream.
    pub upstream: ids::UpstreamId,
    /// When it may be used.
    pub from: units::MonoTime,
    /// When it is over: [`LEAVE_TIME`] behind the moment for which it was given, or sooner.
    pub until: units::MonoTime,
}

impl SendLeave {
    /// One that was asked for at `asked` and is to be used so long behind the ask's arrival. The arrival is not
    /// known here, only that it was not before the ask: so the leave is never good for too long, also where its
    /// answer lay unread while this process was paused.
    pub fn of_answer(
        upstream: ids::UpstreamId,
        asked: units::MonoTime,
        wait: time::Duration,
    ) -> Self {
        let from = asked + wait;
        Self { upstream, from, until: from + LEAVE_TIME }
    }

    /// Whether something may be sent to an upstream by it.
    pub fn is_good(&self, now: units::MonoTime, upstream: &ids::UpstreamId) -> bool {
        self.upstream == *upstream && now < self.until
    }
}

/// What a member asks of the keeper of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveAsk {
    /// The start of the upstream.
    pub upstream: ids::UpstreamId,
    /// Requests that the member sends there within a moment; one at least.
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
