//! What the tasks of an entry tell and ask its director.

use std::{net, rc, time};

use futures::channel::{mpsc, oneshot};
use slipturn_core::{
    budget, decision, engine_directory, entry_router, fleet_list, histogram, ids, key_vote,
    placement, refusal, retry, routing, settings, settings_resolve, units,
};
use slipturn_net::scheduler_link;

/// A place in use, for renewals.
#[derive(Debug, Clone)]
pub struct RunningPlace {
    /// The engine.
    pub engine: ids::EngineId,
    /// What was asked for.
    pub request: placement::PlaceRequest,
    /// Hash of the prompt's prefix, which the engine will have cached.
    pub prefix: u64,
}

/// Places in use by scheduler.
pub type RenewalBatch = Vec<(net::SocketAddr, Vec<(ids::EngineId, placement::PlaceRequest)>)>;
/// Settings of a caller of a plain service.
pub type ResolveAnswer = Result<
    (rc::Rc<settings::SettingsTree>, settings_resolve::ResolvedSettings),
    refusal::RequestRefusal,
>;

/// Instances to ask for votes, and how many were listed lately.
#[derive(Debug, Clone)]
pub struct VoterList {
    /// Schedulers by instance, in the order to ask them.
    pub voters: Vec<(ids::InstanceId, net::SocketAddr)>,
}

/// A message to the director.
pub enum EntryEvent {
    /// Who calls, and may it?
    Plan(
        entry_router::PlanQuestion,
        oneshot::Sender<Result<entry_router::RequestGrant, refusal::RequestRefusal>>,
    ),
    /// Who calls a plain service?
    Resolve(String, oneshot::Sender<ResolveAnswer>),
    /// Take tokens from the budget.
    Spend(
        settings_resolve::ResolvedSettings,
        units::TokenCount,
        oneshot::Sender<entry_router::BudgetStep>,
    ),
    /// Take tokens without the keeper.
    SpendAlone(
        settings_resolve::ResolvedSettings,
        units::TokenCount,
        oneshot::Sender<entry_router::BudgetStep>,
    ),
    /// A portion was drawn.
    Portion(ids::CustomerId, budget::BudgetPortion),
    /// Which engines to ask?
    Candidates(
        entry_router::PlanQuestion,
        rc::Rc<settings::SettingsTree>,
        u64,
        Vec<ids::EngineId>,
        oneshot::Sender<Vec<engine_directory::EngineTarget>>,
    ),
    /// Which engines together serve a prompt larger than one?
    Group(
        ids::ModelId,
        units::TokenCount,
        rc::Rc<settings::SettingsTree>,
        oneshot::Sender<Vec<engine_directory::EngineTarget>>,
    ),
    /// Which of the engines asked?
    Choose(
        Vec<engine_directory::EngineTarget>,
        Vec<Option<placement::EngineOffer>>,
        oneshot::Sender<Option<routing::RouteChoice>>,
    ),
    /// Does the policy in force ask schedulers?
    WantsOffers(oneshot::Sender<bool>),
    /// May this engine be used although its scheduler is out of reach?
    DirectShare(ids::EngineId, oneshot::Sender<bool>),
    /// An attempt starts on an engine.
    Started(RunningPlace),
    /// An attempt has ended.
    Ended(ids::AttemptId, ids::EngineId),
    /// An engine refused or broke.
    Eject(ids::EngineId),
    /// Is there to be another attempt?
    Retry(retry::FailedAttempt, oneshot::Sender<retry::RetryVerdict>),
    /// A request of a plain service arrived, against which retries are measured.
    CountRequest,
    /// Which upstreams has a service?
    Upstreams(ids::ServiceId, oneshot::Sender<Vec<fleet_list::UpstreamRecord>>),
    /// Whom to ask for votes on a key?
    Voters(key_vote::ScopedKey, oneshot::Sender<VoterList>),
    /// When should refused callers come back?
    SpreadRetry(time::Duration, oneshot::Sender<time::Duration>),
    /// Which places are in use?
    Renewals(oneshot::Sender<RenewalBatch>),
    /// Values were measured, each to be counted in each of the series.
    Measure(histogram::MeasureKind, Vec<String>, Vec<time::Duration>),
    /// A request has ended.
    Decision(Box<decision::DecisionRecord>),
    /// Where is the record of a request?
    Find(String, oneshot::Sender<Option<rc::Rc<decision::DecisionRecord>>>),
    /// Which models are served?
    Models(oneshot::Sender<Vec<ids::ModelId>>),
    /// What list is in force?
    List(oneshot::Sender<fleet_list::FleetList>),
    /// What do the histograms show?
    Histograms(oneshot::Sender<Vec<histogram::HistogramRow>>),
    /// What settings are in force?
    Settings(oneshot::Sender<Option<rc::Rc<settings::SettingsTree>>>),
    /// How does the entry do?
    Status(oneshot::Sender<EntryStatus>),
    /// Documents, or a confirmation of those held, came in; with the wakes when they were asked.
    Documents(scheduler_link::DocumentUpdate, u64),
    /// No source answered; with the wakes when they were asked.
    AllSilent(u64),
    /// Time has passed.
    Tick,
}

/// An entry's state as operators see it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct EntryStatus {
    /// Its instance.
    pub instance: ids::InstanceId,
    /// This start of the process.
    pub boot: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// Settings in force.
    pub settings_version: u64,
    /// Fault of the last settings that were refused, if none were accepted since.
    pub settings_rejected: Option<String>,
    /// How long ago a source confirmed the settings.
    pub settings_age_ms: u64,
    /// List in force.
    pub list_revision: u64,
    /// Attempts running on engines.
    pub running: usize,
    /// Decisions remembered.
    pub decisions: usize,
    /// Requests being served, plain services included.
    pub requests: usize,
}

/// Where events go.
#[derive(Clone)]
pub struct EventSender(mpsc::UnboundedSender<EntryEvent>);

impl EventSender {
    /// A sender and the receiver of what it sends.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<EntryEvent>) {
        let (sender, receiver) = mpsc::unbounded();
        (Self(sender), receiver)
    }

    /// Tells something.
    pub fn send_to(&self, message: EntryEvent) {
        // The director ends only with the process.
        let _ = self.0.unbounded_send(message);
    }

    /// Asks something and waits for the answer.
    pub async fn ask<T>(&self, to_event: impl FnOnce(oneshot::Sender<T>) -> EntryEvent) -> T {
        let (answer, answered) = oneshot::channel();
        self.send_to(to_event(answer));
        answered.await.expect("the director answers all it is asked while the process lives")
    }
}
