//! What a retry saves: where retries are short, those that save more go first.

use serde::{Deserialize, Serialize};

/// What is lost without a retry, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RetryNeed {
    /// Time: the attempt under way may still answer.
    Early,
    /// The request: nothing of an answer has reached its caller, who may send it again.
    Failed,
    /// What has reached the caller of its answer.
    Begun,
}

impl RetryNeed {
    /// Part of what retries may be made at once that is left for those which save more. What comes back in time is
    /// for all: a part of that would be lost to each while there is no other.
    pub fn spared(self) -> f64 {
        match self {
            Self::Early => 0.3,
            Self::Failed => 0.15,
            Self::Begun => 0.0,
        }
    }
}
