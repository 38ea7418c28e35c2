//! Priority of retries when their quota is short.

use serde::{Deserialize, Serialize};

/// What is lost without the retry, lowest priority first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RetryNeed {
    /// Latency: the pending attempt may still answer.
    Early,
    /// The request: its caller has received nothing and may send it again.
    Failed,
    /// A partly delivered answer.
    Begun,
}

impl RetryNeed {
    /// Part of the burst allowance reserved for retries of higher priority. Tokens due later are reserved for none, as
    /// they would be lost while there is no other retry.
    pub fn reserved_part(self) -> f64 {
        match self {
            Self::Early => 0.3,
            Self::Failed => 0.15,
            Self::Begun => 0.0,
        }
    }
}
