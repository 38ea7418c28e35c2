//! Events that the scheduler's state handles, and the effects that it returns.
//!
//! A place is the assignment of an attempt of a request to an engine, held under a lease.

use std::{net, time};

use futures::channel::{mpsc, oneshot};
use slipturn_core::{budget, ids, key_vote, placement, refusal, units};
use slipturn_net::scheduler_link;

/// Sender of events to the task that owns the scheduler's state.
pub type EventSender = mpsc::UnboundedSender<SchedulerEvent>;

/// Answer to an offer call: the engine's estimate for the request, or a refusal.
pub type OfferAnswer = Result<placement::EngineOffer, refusal::RequestRefusal>;
/// Answer to an acquire call: the priority to send to the engine, or a refusal.
pub type PlaceAnswer = Result<u8, refusal::RequestRefusal>;
/// Answer to a draw call: a portion of the budget, or the time until one is available.
pub type PortionAnswer = Result<budget::BudgetPortion, budget::BudgetExhausted>;

/// Answer to a watch: the documents that are newer than those of the watcher.
#[derive(Debug, Clone, Default)]
pub struct DocumentAnswer {
    /// Version and text of the settings; `None` if the watcher has them.
    pub settings: Option<(u64, std::rc::Rc<str>)>,
    /// Revision and text of the list; `None` if the watcher has it.
    pub list: Option<(u64, std::rc::Rc<str>)>,
    /// Time since a source last confirmed the scheduler's settings.
    pub age: time::Duration,
}

/// A call, report, update or timer tick that the state handles.
#[derive(Debug)]
pub enum SchedulerEvent {
    /// An entry asks for an engine's estimate for a request.
    Offer(ids::EngineId, placement::CapacityRequest, oneshot::Sender<OfferAnswer>),
    /// An entry requests a place on an engine, and waits until it is granted or refused.
    Acquire(ids::EngineId, placement::CapacityRequest, oneshot::Sender<PlaceAnswer>),
    /// An entry releases the place of an attempt, or removes the attempt from the engine's queue.
    Release(ids::EngineId, ids::AttemptId),
    /// An entry lists all attempts that it is running: their leases are renewed, and leases of
    /// other attempts of the entry end as described at [`scheduler_link::SchedulerLink::renew`].
    Renew(ids::InstanceId, ids::BootId, Vec<(ids::EngineId, placement::CapacityRequest)>),
    /// An entry draws a portion of a customer's budget.
    Draw(ids::CustomerId, budget::BudgetLimit, units::TokenCount, oneshot::Sender<PortionAnswer>),
    /// An entry asks for a vote on an idempotency key.
    Vote(key_vote::ScopedKey, ids::RequestId, oneshot::Sender<key_vote::VoteAnswer>),
    /// An entry or another scheduler waits for newer documents, until the given time.
    Watch(scheduler_link::KnownDocuments, units::MonoTime, oneshot::Sender<DocumentAnswer>),
    /// An operator requests the status, as JSON.
    Status(oneshot::Sender<String>),
    /// A source of documents sent newer ones, or confirmed that those in force are current.
    Documents(scheduler_link::DocumentUpdate),
    /// An engine sent a load report.
    Report(ids::EngineId, placement::EngineReport),
    /// Regular timer tick, on which the state checks its timeouts.
    Tick,
}

/// An action that the event loop performs for the state.
#[derive(Debug, PartialEq)]
pub enum SchedulerEffect {
    /// Tell the engine at the address to cancel an attempt.
    Cancel(net::SocketAddr, ids::AttemptId),
    /// Start polling an engine's load; replaces an earlier poll of the same engine.
    StartPoll(ids::EngineId, net::SocketAddr),
    /// Stop polling an engine's load.
    StopPoll(ids::EngineId),
}
