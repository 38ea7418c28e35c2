//! Parts of prompts that callers name, such as a system prompt or a document that many prompts share.

use std::{fmt, str, sync};

use sha2::Digest as _;
use snafu::Snafu;

/// Longest id of a part that is kept as it is, in hexadecimal digits. A longer one is replaced by as many digits of its
/// SHA-256 hash.
pub const MAX_ID_DIGITS: usize = 32;
/// Most shared parts of a prompt that are considered; the prompt itself may have more.
pub const MAX_SHARED_PARTS: usize = 32;

/// Error for a text that is not the id of a part.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("expected the id of a part in hexadecimal digits"))]
pub struct PartIdError;

/// Id of a part of prompts, as callers name it. Prompts with the same id share that part, as far as their callers tell
/// the truth.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PartId(
    /// 1 to [`MAX_ID_DIGITS`] hexadecimal digits in lower case.
    sync::Arc<str>,
);

impl str::FromStr for PartId {
    type Err = PartIdError;

    fn from_str(text: &str) -> Result<Self, PartIdError> {
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !digits || text.is_empty() {
            return PartIdSnafu.fail();
        }
        let text = text.to_ascii_lowercase();
        if text.len() <= MAX_ID_DIGITS {
            return Ok(Self(text.into()));
        }
        let hash = sha2::Sha256::digest(text);
        let digits: String =
            hash.iter().take(MAX_ID_DIGITS / 2).map(|byte| format!("{byte:02x}")).collect();
        Ok(Self(digits.into()))
    }
}

impl TryFrom<String> for PartId {
    type Error = PartIdError;

    fn try_from(text: String) -> Result<Self, PartIdError> {
        text.parse()
    }
}

impl From<PartId> for String {
    fn from(id: PartId) -> Self {
        id.0.as_ref().to_owned()
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The parts that a prompt may share with others: all but its last one, which belongs to the request or its session.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Default, serde::Serialize, serde::Deserialize)]
pub struct SharedParts(
    /// Sorted, without duplicates, at most [`MAX_SHARED_PARTS`].
    Vec<PartId>,
);

impl SharedParts {
    /// Returns the shared parts of a prompt, given the ids of all its parts in order; the last one may be unknown.
    pub fn of_prompt(ids: impl IntoIterator<Item = Option<PartId>>) -> Self {
        let mut ids: Vec<_> = ids.into_iter().collect();
        ids.pop();
        ids.into_iter().flatten().take(MAX_SHARED_PARTS).collect()
    }

    /// Returns the parts in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = &PartId> {
        self.0.iter()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether all parts of `others` are among these.
    pub fn contains_all(&self, others: &Self) -> bool {
        others.iter().all(|part| self.0.binary_search(part).is_ok())
    }
}

impl FromIterator<PartId> for SharedParts {
    fn from_iter<T: IntoIterator<Item = PartId>>(parts: T) -> Self {
        let mut parts: Vec<_> = parts.into_iter().collect();
        parts.sort_unstable();
        parts.dedup();
        Self(parts)
    }
}

impl fmt::Display for SharedParts {
    /// Writes the ids, separated by `+`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "+" };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for SharedParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl str::FromStr for SharedParts {
    type Err = PartIdError;

    fn from_str(text: &str) -> Result<Self, PartIdError> {
        text.split('+').map(str::parse).collect()
    }
}
