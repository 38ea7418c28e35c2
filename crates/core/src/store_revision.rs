//! Positions in the history of the platform's store.

use std::{fmt, num, str};

use serde::{Deserialize, Serialize};

/// Generation of the store's history: rises whenever the store returns from an older copy of itself.
///
/// 0 for a store that tells none.
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
