//! Positions in the history of the platform's store.

use std::{fmt, num, str};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, Snafu};

/// Generation of the store's history, which rises whenever the store is restored from an older copy.
///
/// It is 0 for a store that reports no era.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for StoreEra {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, num::ParseIntError> {
        text.trim().parse().map(Self)
    }
}

/// Identifies a state of the store, or of the documents read from it.
///
/// Ordered by era first: numbers are assigned again after the store was restored from an older copy, so numbers of two
/// eras cannot be compared. The default is ordered before every state.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Era of the store's history that the number belongs to.
    pub era: StoreEra,
    /// Number of the revision within the era; rises with each change.
    pub number: u64,
}

impl StoreRevision {
    /// The revision with this number in an era.
    pub fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// Whether this is the default, which stands for no state of the store.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

impl From<u64> for StoreRevision {
    /// A revision of a store that reports no era.
    fn from(number: u64) -> Self {
        Self { era: StoreEra::default(), number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// Error for a text that is not an era and a number separated by a dot.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("found '{found}', expected ERA.REVISION"))]
pub struct RevisionError {
    found: String,
}

impl str::FromStr for StoreRevision {
    type Err = RevisionError;

    fn from_str(text: &str) -> Result<Self, RevisionError> {
        let parse = || {
            let (era, number) = text.split_once('.')?;
            Some(Self { era: era.parse().ok()?, number: number.parse().ok()? })
        };
        parse().context(RevisionSnafu { found: text })
    }
}
