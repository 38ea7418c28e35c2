//! Permits to send one request under a quota that all members share, requested from the member that coordinates it.

use std::time;

use serde::{Deserialize, Serialize};

use crate::{ids, retry_need, units};

/// How long a permit stays valid after the time it was granted for. Connecting and repeating a lost message fit
/// within it; a later send would count in another window than its coordinator believes.
pub const PERMIT_TTL: time::Duration = time::Duration::from_millis(500);

/// A quota shared by all members.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuotaSubject {
    /// Requests to a start of an upstream with a limit.
    Upstream(ids::UpstreamId),
    /// Retries of requests to a service, by what they save. All of a service share one quota.
    Retries(ids::ServiceId, retry_need::RetryNeed),
}

impl QuotaSubject {
    /// All retries to a service.
    pub fn all_retries(service: ids::ServiceId) -> Self {
        Self::Retries(service, retry_need::RetryNeed::Begun)
    }

    /// The quota that this draws from, as its coordinator knows it.
    pub fn shared_quota(&self) -> Self {
        match self {
            Self::Upstream(upstream) => Self::Upstream(upstream.clone()),
            Self::Retries(service, _) => Self::all_retries(service.clone()),
        }
    }

    /// Part of the burst allowance that is reserved for requests with a greater need.
    pub fn reserved_part(&self) -> f64 {
        match self {
            Self::Upstream(_) => 0.0,
            Self::Retries(_, need) => need.reserved_part(),
        }
    }
}

/// Validity of a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitTerm {
    /// Start of the validity.
    pub from: units::MonoTime,
    /// End of the validity, at most [`PERMIT_TTL`] after the time it was granted for.
    pub until: units::MonoTime,
}

impl PermitTerm {
    /// Validity of a permit requested at `asked` that starts `wait` after the request's arrival. The arrival is not
    /// known here; counting from the request keeps a permit from lasting too long, also when the response lay
    /// unread while this process was paused.
    pub fn of_answer(asked: units::MonoTime, wait: time::Duration) -> Self {
        let from = asked + wait;
        Self { from, until: from + PERMIT_TTL }
    }

    /// Whether it has not expired.
    pub fn is_valid(&self, now: units::MonoTime) -> bool {
        now < self.until
    }
}

/// A permit to send one request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendPermit {
    /// The start of the upstream.
    pub upstream: ids::UpstreamId,
    /// When it is valid.
    pub term: PermitTerm,
}

impl SendPermit {
    /// Whether it allows a send to an upstream now.
    pub fn is_valid(&self, now: units::MonoTime, upstream: &ids::UpstreamId) -> bool {
        self.upstream == *upstream && self.term.is_valid(now)
    }
}

/// A request for permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Permits that the member will use shortly; at least one.
    pub wanted: u32,
    /// How long its request would wait for a permit, milliseconds.
    pub patience_ms: u32,
}

/// The coordinator's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitResponse {
    /// Permits are granted.
    Granted {
        /// Their number.
        count: u32,
        /// Start of their validity, milliseconds after the request's arrival.
        wait_ms: u32,
    },
    /// None is granted now, or another member coordinates the quota.
    Refused {
        /// When to request again, milliseconds from now.
        back_ms: u32,
    },
}
