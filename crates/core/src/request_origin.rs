//! Who sent a request: what planners need to divide scarce engine time among customers and to recognize a retry.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ids, rendezvous};

/// Identifies a request across the attempts of its caller, which have different request ids. Collisions between
/// requests of one customer are harmless: both count as the same request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestIdentity(pub u64);

impl RequestIdentity {
    /// Derives the identity from the properties that a caller repeats in each attempt.
    pub fn of(customer: &ids::CustomerId, target: &str, content: &str) -> Self {
        Self(rendezvous::stable_hash(&[customer.as_str(), target, content]))
    }
}

impl fmt::Display for RequestIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Origin of a placement request. Requests of anonymous callers, and those that members of an older version send, have
/// none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestOrigin {
    /// The customer whose key the caller used.
    pub customer: ids::CustomerId,
    /// Class of the request, which is the name of its route.
    pub class: ids::ClassId,
    /// Weight of the customer relative to the others; above zero.
    pub weight: f32,
    /// Identity of the request across the attempts of its caller.
    pub identity: RequestIdentity,
}
