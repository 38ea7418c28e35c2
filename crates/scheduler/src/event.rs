//! What happens to a scheduler, and what it wants done.

use std::{net, time};

use futures::channel::{mpsc, oneshot};
use slipturn_core::{budget, ids, key_vote, placement, refusal, units};
use slipturn_net::scheduler_link;

/// Where events go.
pub type EventSender = mpsc::UnboundedSender<SchedulerEvent>;

/// Answer to a question about an engine.
pub type OfferAnswer = Result<placement::EngineOffer, refusal::RequestRefusal>;
/// End of a wait for a place: the priority to send to the engine.
pub type PlaceAnswer = Result<u8, refusal::RequestRefusal>;
/// A portion of a budget, or when there will be one.
pub type PortionAnswer = Result<budget::BudgetPortion, budget::BudgetExhausted>;

/// Documents to hand on, with their numbers.
#[derive(Debug, Clone, Default)]
pub struct DocumentAnswer {
    /// Version and text of newer settings.
    pub settings: Option<(u64, std::rc::Rc<str>)>,
    /// Revision and text of a newer list.
    pub list: Option<(u64, std::rc::Rc<str>)>,
    /// How long ago the settings were confirmed.
    pub age: time::Duration,
}

/// Something that happened.
#[derive(Debug)]
pub enum SchedulerEvent {
    /// An entry asks what an engine could do.
    Offer(ids::EngineId, placement::PlaceRequest, oneshot::Sender<OfferAnswer>),
    /// An entry waits for a place.
    Acquire(ids::EngineId, placement::PlaceRequest, oneshot::Sender<PlaceAnswer>),
    /// An entry gives a place back.
    Release(ids::EngineId, ids::AttemptId),
    /// An entry says what it streams.
    Renew(ids::InstanceId, ids::BootId, Vec<(ids::EngineId, placement::PlaceRequest)>),
    /// An entry draws a portion of a budget.
    Draw(ids::CustomerId, budget::BudgetLimit, units::TokenCount, oneshot::Sender<PortionAnswer>),
    /// An entry asks for a vote.
    Vote(key_vote::ScopedKey, ids::RequestId, oneshot::Sender<key_vote::VoteAnswer>),
    /// Somebody waits for newer documents, until the time given.
    Watch(scheduler_link::KnownDocuments, units::MonoTime, oneshot::Sender<DocumentAnswer>),
    /// An operator asks for the state.
    Status(oneshot::Sender<String>),
    /// Documents, or a confirmation of those held, came in.
    Documents(scheduler_link::DocumentUpdate),
    /// An engine reported.
    Report(ids::EngineId, placement::EngineReport),
    /// Time has passed.
    Tick,
}

/// Something to be done outside the state.
#[derive(Debug, PartialEq)]
pub enum SchedulerEffect {
    /// Tell an engine to give an attempt up.
    Cancel(net::SocketAddr, ids::AttemptId),
    /// Start asking an engine for its load.
    StartPoll(ids::EngineId, net::SocketAddr),
    /// Stop asking an engine.
    StopPoll(ids::EngineId),
}
