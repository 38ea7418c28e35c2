//! What makes two requests the same one: a caller that repeats a request changes its id, not these.

use std::{fmt, str};

use sha2::Digest as _;
use snafu::Snafu;

use crate::ids;

/// Bytes kept of the hash. No customer finds a body with another request's digest by trying 2^128 of
/// them, and its own name is hashed too: at most it has its own requests refused.
const DIGEST_BYTES: usize = 16;

/// Stands for a request in logs, in messages and in the quarantine; never shows its body.
///
/// Headers do not count: a repeat has another id, another time left, perhaps another priority.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

/// Why a text is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("expected {} hexadecimal digits", DIGEST_BYTES * 2))]
pub struct DigestError;

impl RequestDigest {
    /// The digest of a request; `target` is its path with its query.
    pub fn of(method: &str, target: &str, customer: Option<&ids::CustomerId>, body: &[u8]) -> Self {
        let mut hasher = sha2::Sha256::new();
        let customer = customer.map(ids::CustomerId::as_str).unwrap_or_default();
        for part in [method, target, customer] {
            hasher.update(part.len().to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let whole = hasher.finalize();
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&whole[..DIGEST_BYTES]);
        Self(kept)
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
