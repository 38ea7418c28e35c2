//! Digests that identify repeats of the same request, which have different request ids.

use std::{fmt, str};

use sha2::Digest as _;
use snafu::Snafu;

use crate::ids;

/// Length to which the hash is truncated. Finding a body with the digest of a given request takes
/// about 2^128 trials, and the customer's name is hashed as well, so a collision affects only the
/// customer's own requests.
const DIGEST_BYTES: usize = 16;

/// Identifies a request in logs, messages and the quarantine without disclosing its body.
///
/// Headers are not included: a repeat has another id, less time left and possibly another priority.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

/// Error for a text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("expected {} hexadecimal digits", DIGEST_BYTES * 2))]
pub struct DigestError;

impl RequestDigest {
    /// Computes the digest of a request; `target` is its path with its query.
    pub fn of(method: &str, target: &str, customer: Option<&ids::CustomerId>, body: &[u8]) -> Self {
        let mut hasher = sha2::Sha256::new();
        let customer = customer.map(ids::CustomerId::as_str).unwrap_or_default();
        for part in [method, target, customer] {
            hasher.update(part.len().to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let hash = hasher.finalize();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl str::FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !digits || text.len() != DIGEST_BYTES * 2 {
            return DigestSnafu.fail();
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[at * 2..at * 2 + 2], 16).map_err(|_| DigestError)?;
        }
        Ok(Self(bytes))
    }
}
