//! Permits to send one request under a quota that all members share, and the messages by which a member requests them
//! from the quota's coordinator.

use std::time;

use serde::{Deserialize, Serialize};

use crate::{ids, retry_need, units};

/// How long a permit stays valid after the time it was granted for. Connecting and repeating a lost message fit within
/// it. A later send could fall into another rate window than the one in which the coordinator counted the permit.
pub const PERMIT_TTL: time::Duration = time::Duration::from_millis(500);

/// What a shared quota limits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuotaSubject {
    /// Requests to one start (one life of the process) of an upstream that has a limit.
    Upstream(ids::UpstreamId),
    /// Retries of requests to a service, by priority. All retries to a service share one quota.
    Retries(ids::ServiceId, retry_need::RetryNeed),
}

impl QuotaSubject {
    /// The quota of all retries to a service.
    pub fn all_retries(service: ids::ServiceId) -> Self {
        Self::Retries(service, retry_need::RetryNeed::Begun)
    }

    /// The quota whose permits the coordinator counts for this subject: retries of all priorities to a service count
    /// together.
    pub fn shared_quota(&self) -> Self {
        match self {
            Self::Upstream(upstream) => Self::Upstream(upstream.clone()),
            Self::Retries(service, _) => Self::all_retries(service.clone()),
        }
    }

    /// Part of the burst allowance that is reserved for retries of higher priority.
    pub fn reserved_part(&self) -> f64 {
        match self {
            Self::Upstream(_) => 0.0,
            Self::Retries(_, need) => need.reserved_part(),
        }
    }
}

/// Period in which a permit may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitTerm {
    /// Start of the permit's validity.
    pub from: units::MonoTime,
    /// End of the permit's validity, at most [`PERMIT_TTL`] after the time it was granted for.
    pub until: units::MonoTime,
}

impl PermitTerm {
    /// Validity of a permit requested at `requested_at` that starts `wait` after the request reached the coordinator.
    ///
    /// The time of arrival is not known here. Counting from `requested_at` instead keeps the permit from lasting too long,
    /// even if this process was paused before it read the response.
    pub fn of_answer(requested_at: units::MonoTime, wait: time::Duration) -> Self {
        let from = requested_at + wait;
        Self { from, until: from + PERMIT_TTL }
    }

    /// Whether the permit has not expired. It may not have started yet.
    pub fn is_valid(&self, now: units::MonoTime) -> bool {
        now < self.until
    }
}

/// A permit to send one request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendPermit {
    /// Start of the upstream that the permit is for.
    pub upstream: ids::UpstreamId,
    /// Validity of the permit.
    pub term: PermitTerm,
}

impl SendPermit {
    /// Whether the permit is for `upstream` and has not expired.
    pub fn is_valid(&self, now: units::MonoTime, upstream: &ids::UpstreamId) -> bool {
        self.upstream == *upstream && self.term.is_valid(now)
    }
}

/// A member's request for permits, which the coordinator of the quota answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of permits that the member expects to use soon; at least one.
    pub wanted: u32,
    /// Longest wait for the start of a permit's validity, in milliseconds.
    pub patience_ms: u32,
}

/// A coordinator's response to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitResponse {
    /// Permits are granted.
    Granted {
        /// Number of permits granted; at least one, at most as many as requested.
        count: u32,
        /// Start of the permits' validity, in milliseconds after the request's arrival.
        wait_ms: u32,
    },
    /// No permit is granted now, or another member coordinates the quota.
    Refused {
        /// Backoff before the member's next request for permits of the quota, in milliseconds.
        back_ms: u32,
    },
}
