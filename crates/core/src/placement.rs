//! What entries ask of a ledger, what engines tell it, and what it answers.

use std::time;

use crate::{ids, refusal, service_rank, units};

/// A request for a place on an engine.
#[derive(Debug, Clone)]
pub struct PlaceRequest {
    /// The attempt it is for.
    pub attempt: ids::AttemptId,
    /// The entry that makes it.
    pub entry: ids::InstanceId,
    /// That entry's start.
    pub boot: ids::BootId,
    /// Whose request it is.
    pub customer: ids::CustomerId,
    /// The customer's weight.
    pub weight: f64,
    /// Length of the prompt.
    pub prompt: units::TokenCount,
    /// Part of the prompt the engine has probably cached.
    pub cached: units::TokenCount,
    /// Most tokens of output.
    pub output: units::TokenCount,
    /// Memory it needs on this engine; less than prompt and output for a member of a group.
    pub memory: units::TokenCount,
    /// Whether this engine is one of several that serve the prompt together.
    pub grouped: bool,
    /// When it must have finished.
    pub deadline: units::MonoTime,
    /// Until when it is willing to wait for its place.
    pub patience: units::MonoTime,
}

impl PlaceRequest {
    /// The part of the prompt that the engine has to work through.
    pub fn prefill(&self) -> units::TokenCount {
        self.prompt.saturating_sub(self.cached)
    }
}

/// What an engine says of itself.
#[derive(Debug, Clone, Default)]
pub struct EngineReport {
    /// Whether it takes no new work.
    pub draining: bool,
    /// Its whole memory.
    pub memory: units::TokenCount,
    /// Prefill work it has not done yet.
    pub prefill_backlog: units::TokenCount,
    /// How old the report is.
    pub age: time::Duration,
    /// The attempts it holds memory for.
    pub held: Vec<(ids::AttemptId, units::TokenCount)>,
}

/// What the ledger wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerAction {
    /// Tell the entry to start, and with which rank.
    Grant(ids::AttemptId, service_rank::ServiceRank),
    /// Tell the entry that there is no place, and why.
    Refuse(ids::AttemptId, refusal::RequestRefusal),
    /// Tell the engine to give an attempt up, and why.
    Cancel(ids::AttemptId, CancelReason),
}

/// Why an engine is ordered to cancel an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelReason {
    /// Its entry has not renewed its lease for the whole grace.
    EntrySilent,
    /// Its time limit has passed.
    PastLimit,
    /// Its lease was given back, and the engine still holds it.
    StillHeld,
    /// The engine holds it, and no lease explained it for the whole grace.
    Unexplained,
}

/// What an engine could do for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineOffer {
    /// Expected time until the first token.
    pub first_token: time::Duration,
    /// Memory not spoken for.
    pub free: units::TokenCount,
    /// Requests running.
    pub running: usize,
    /// Requests waiting.
    pub waiting: usize,
}
