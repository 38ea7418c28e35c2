//! Events that the tasks of an entry send to its director, the task that owns their shared state.
//!
//! A place is the assignment of an attempt of a request to an engine.

use std::{net, rc, time};

use futures::channel::{mpsc, oneshot};
use slipturn_core::{
    budget, decision, engine_directory, entry_router, fleet_list, histogram, ids, key_vote,
    placement, refusal, retry, routing, settings, settings_resolve, units,
};
use slipturn_net::scheduler_link;

/// A place in use, kept until its attempt ends, so that the lease can be renewed.
#[derive(Debug, Clone)]
pub struct RunningPlace {
    /// Engine to which the attempt is assigned.
    pub engine: ids::EngineId,
    /// Request for capacity on the engine, which each renewal of the lease sends again.
    pub request: placement::CapacityRequest,
    /// Hash of the prompt's prefix, which routing expects this engine to have cached from now on.
    pub prefix: u64,
}

/// Places in use, by the address of the scheduler that owns their engine.
pub type RenewalBatch = Vec<(net::SocketAddr, Vec<(ids::EngineId, placement::CapacityRequest)>)>;
/// Settings tree in force and the settings resolved for a caller of a plain service.
pub type ResolveAnswer = Result<
    (rc::Rc<settings::SettingsTree>, settings_resolve::ResolvedSettings),
    refusal::RequestRefusal,
>;

/// Instances to ask for votes on an idempotency key.
#[derive(Debug, Clone)]
pub struct VoterList {
    /// Instances with the addresses of their schedulers, in the order in which to ask them.
    pub voters: Vec<(ids::InstanceId, net::SocketAddr)>,
}

/// A call, measurement, update or timer tick that the director handles. An event with a
/// `oneshot::Sender` is answered through it.
pub enum EntryEvent {
    /// Identifies the caller of a model request, resolves its settings and checks the request.
    Plan(
        entry_router::PlanQuery,
        oneshot::Sender<Result<entry_router::RequestGrant, refusal::RequestRefusal>>,
    ),
    /// Identifies the caller of a plain service by its key and resolves its settings.
    Resolve(String, oneshot::Sender<ResolveAnswer>),
    /// Takes tokens from the portion of the customer's budget that this entry holds. If the portion
    /// doesn't suffice, the answer states what to draw from the owner of the budget.
    Spend(
        settings_resolve::ResolvedSettings,
        units::TokenCount,
        oneshot::Sender<entry_router::BudgetStep>,
    ),
    /// Takes tokens from this entry's own share of the budget: the customer's limit divided by the
    /// number of live instances. Used while the owner of the customer's budget is unreachable.
    SpendOwnShare(
        settings_resolve::ResolvedSettings,
        units::TokenCount,
        oneshot::Sender<entry_router::BudgetStep>,
    ),
    /// Adds a portion, drawn from the owner of the customer's budget, to the tokens that this entry
    /// holds.
    Portion(ids::CustomerId, budget::BudgetPortion),
    /// Selects the engines to consider for a request. The number is the hash of the prompt's
    /// prefix; the engine ids are those already tried, which are left out.
    Candidates(
        entry_router::PlanQuery,
        rc::Rc<settings::SettingsTree>,
        u64,
        Vec<ids::EngineId>,
        oneshot::Sender<Vec<engine_directory::EngineTarget>>,
    ),
    /// Selects a group of engines for a prompt that needs more memory than one engine has. The
    /// token count is the memory for prompt and output.
    Group(
        ids::ModelId,
        units::TokenCount,
        rc::Rc<settings::SettingsTree>,
        oneshot::Sender<Vec<engine_directory::EngineTarget>>,
    ),
    /// Chooses among candidates, given the offers of their schedulers in the same order.
    Choose(
        Vec<engine_directory::EngineTarget>,
        Vec<Option<placement::EngineOffer>>,
        oneshot::Sender<Option<routing::RouteChoice>>,
    ),
    /// Returns whether the routing policy in force needs offers from schedulers.
    WantsOffers(oneshot::Sender<bool>),
    /// Returns whether an engine may be used without a lease while its scheduler is unreachable: only
    /// while this entry has no attempt on it.
    MaySendUnleased(ids::EngineId, oneshot::Sender<bool>),
    /// Counts an attempt as running on an engine; until it ends, its lease is renewed.
    Started(RunningPlace),
    /// Counts an attempt as ended on an engine, so that its lease there is no longer renewed.
    Ended(ids::AttemptId, ids::EngineId),
    /// Leaves an engine that refused or failed out of the candidates for a while. It remains a
    /// candidate if there is no other.
    Eject(ids::EngineId),
    /// Decides whether a request gets another attempt, and if so takes it from the retry budget.
    Retry(retry::FailedAttempt, oneshot::Sender<retry::RetryVerdict>),
    /// Counts a request to a plain service towards the retry budget. A model request is counted by
    /// [`Self::Plan`].
    CountRequest,
    /// Returns the live upstreams of a plain service, in the order in which to try them.
    Upstreams(ids::ServiceId, oneshot::Sender<Vec<fleet_list::UpstreamRecord>>),
    /// Returns the instances to ask for votes on an idempotency key.
    Voters(key_vote::ScopedKey, oneshot::Sender<VoterList>),
    /// Adds jitter to the retry delay of a refused request.
    SpreadRetry(time::Duration, oneshot::Sender<time::Duration>),
    /// Returns the places in use, whose leases have to be renewed.
    Renewals(oneshot::Sender<RenewalBatch>),
    /// Records all of the measured durations in each of the named histogram series.
    Measure(histogram::MeasureKind, Vec<String>, Vec<time::Duration>),
    /// Stores the decision record of a request that has ended.
    Decision(Box<decision::DecisionRecord>),
    /// Looks up the decision record of a request by the id that slipturn assigned or the caller sent.
    Find(String, oneshot::Sender<Option<rc::Rc<decision::DecisionRecord>>>),
    /// Returns the models of all listed engines.
    Models(oneshot::Sender<Vec<ids::ModelId>>),
    /// Returns the published list of instances, engines and upstreams in force.
    List(oneshot::Sender<fleet_list::FleetList>),
    /// Returns the rows of all histograms.
    Histograms(oneshot::Sender<Vec<histogram::HistogramRow>>),
    /// Returns the settings tree in force, if settings are known.
    Settings(oneshot::Sender<Option<rc::Rc<settings::SettingsTree>>>),
    /// Returns the state of the entry for operators.
    Status(oneshot::Sender<EntryStatus>),
    /// Applies documents from a source, or its confirmation that those in force are current. The
    /// number is the count of process pauses detected before the query; if it has changed since,
    /// the answer may be outdated.
    Documents(scheduler_link::DocumentUpdate, u64),
    /// Reports that no source of documents answered. The number is the count of process pauses
    /// detected before the query, as in [`Self::Documents`].
    SourcesUnreachable(u64),
    /// Runs the periodic work of the director: cleanup of the router and sending of metrics.
    Tick,
}

/// State of an entry, as shown to operators.
#[derive(Debug, Clone, serde::Serialize)]
pub struct EntryStatus {
    /// Instance that the entry belongs to.
    pub instance: ids::InstanceId,
    /// Boot id, which differs for every start of the process.
    pub boot: String,
    /// Whether the entry accepts requests.
    pub ready: bool,
    /// Version of the settings in force.
    pub settings_version: u64,
    /// Error of the last rejected settings, if none have been accepted since.
    pub settings_rejected: Option<String>,
    /// Time since a source last confirmed the settings, in milliseconds.
    pub settings_age_ms: u64,
    /// Revision of the published list in force.
    pub list_revision: u64,
    /// Number of places in use; an attempt on a group of engines has one on each member.
    pub running: usize,
    /// Number of stored decision records.
    pub decisions: usize,
    /// Number of requests being served, including those to plain services, whose upstreams run no
    /// model. The director leaves it at 0; the operators' interface fills it in.
    pub requests: usize,
}

/// Sends events to the director.
#[derive(Clone)]
pub struct EventSender(mpsc::UnboundedSender<EntryEvent>);

impl EventSender {
    /// Creates a sender and the receiver for the director.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<EntryEvent>) {
        let (sender, receiver) = mpsc::unbounded();
        (Self(sender), receiver)
    }

    /// Sends an event without waiting for it to be handled.
    pub fn send(&self, event: EntryEvent) {
        // Sending fails only when the director has ended, which happens only with the process.
        let _ = self.0.unbounded_send(event);
    }

    /// Sends the event that `to_event` builds around an answer channel, and waits for the answer.
    ///
    /// # Panics
    ///
    /// Panics if the director ends without an answer.
    pub async fn ask<T>(&self, to_event: impl FnOnce(oneshot::Sender<T>) -> EntryEvent) -> T {
        let (answer, answered) = oneshot::channel();
        self.send(to_event(answer));
        answered.await.expect("the director runs as long as the process and answers every message")
    }
}
