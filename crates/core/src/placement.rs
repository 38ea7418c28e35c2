//! Inputs and outputs of an engine ledger: requests from instances, reports from engines, and the resulting actions.

use std::time;

use crate::{ids, refusal, service_rank, units};

/// A request for capacity on an engine.
#[derive(Debug, Clone)]
pub struct CapacityRequest {
    /// Attempt that needs the capacity, under whose id the lease is granted and the engine reports memory.
    pub attempt: ids::AttemptId,
    /// Instance that sends the request and renews the lease.
    pub entry: ids::InstanceId,
    /// Boot id of the instance that sends the request, which changes with each restart.
    pub boot: ids::BootId,
    /// Customer that the request belongs to, for fair queueing between customers.
    pub customer: ids::CustomerId,
    /// Weight of the customer in fair queueing.
    pub weight: f64,
    /// Prompt length.
    pub prompt: units::TokenCount,
    /// Length of the prompt's prefix that the engine has probably cached.
    pub cached: units::TokenCount,
    /// Largest output length.
    pub output: units::TokenCount,
    /// Memory needed on this engine; less than prompt and output together if several engines share the request.
    pub memory: units::TokenCount,
    /// Whether this engine is one of a group that serves the prompt together.
    pub grouped: bool,
    /// When the answer must be complete.
    pub deadline: units::MonoTime,
    /// Time from which the request is refused if it still waits in the queue.
    pub queue_deadline: units::MonoTime,
}

impl CapacityRequest {
    /// Length of the prompt without its cached prefix.
    pub fn prefill(&self) -> units::TokenCount {
        self.prompt.saturating_sub(self.cached)
    }
}

/// A load report of an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineReport {
    /// Whether the engine accepts no new work; the ledger then refuses all waiting requests.
    pub draining: bool,
    /// Total memory of the engine; zero if unknown.
    pub memory: units::TokenCount,
    /// Prefill work that the engine still has to do, including that of attempts without a lease.
    pub prefill_backlog: units::TokenCount,
    /// Age of the reported state when the ledger receives it.
    pub age: time::Duration,
    /// Attempts that the engine holds memory for, with the size of that memory.
    pub held: Vec<(ids::AttemptId, units::TokenCount)>,
}

/// An action requested by the ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerAction {
    /// The instance may start the attempt; the rank is the order in which the engine serves it.
    Grant(ids::AttemptId, service_rank::ServiceRank),
    /// The attempt gets no capacity, for the reason in the refusal.
    Refuse(ids::AttemptId, refusal::RequestRefusal),
    /// The engine must cancel the attempt.
    Cancel(ids::AttemptId, CancelReason),
}

/// Reason for cancelling an attempt on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelReason {
    /// The instance that sent the request has not renewed the lease within the grace period.
    EntrySilent,
    /// The time limit of the request has passed.
    PastLimit,
    /// The lease was released, but the engine still holds the attempt.
    StillHeld,
    /// The engine has held the attempt without a lease for the whole grace period.
    Unexplained,
}

/// An estimate of how an engine could serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineOffer {
    /// Expected time to the first token.
    pub first_token: time::Duration,
    /// Memory that is neither leased nor held by an orphan (an attempt that the engine holds without a lease).
    pub free: units::TokenCount,
    /// Number of requests with a lease on the engine.
    pub running: usize,
    /// Number of requests that wait for a lease on the engine.
    pub waiting: usize,
}
