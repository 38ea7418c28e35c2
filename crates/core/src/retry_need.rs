//! Priority of retries when their quota is short.

use serde::{Deserialize, Serialize};

/// What is lost without the retry; the variants are in order of priority, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RetryNeed {
    /// Only latency is lost: the pending attempt may still answer.
    Early,
    /// The request is lost: its caller has received nothing and may send it again.
    Failed,
    /// An answer is lost of which the caller has already received a part.
    Begun,
}

impl RetryNeed {
    /// Part of the burst allowance reserved for retries of higher priority. Permits beyond the burst allowance are not
    /// reserved, because they would be lost while there are no retries of higher priority.
    pub fn reserved_part(self) -> f64 {
        match self {
            Self::Early => 0.3,
            Self::Failed => 0.15,
            Self::Begun => 0.0,
        }
    }
}
