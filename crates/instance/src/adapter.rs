//! What an instance needs of the outside: callers, upstreams and the platform's store.
//!
//! An adapter implements these traits with the names and formats of one platform. It translates
//! and decides nothing.

use std::{collections, net, time};

use bytes::Bytes;
use slipturn_core::{ids, route_table, store_revision, units, upstream_list};
use snafu::Snafu;

use crate::{list_recovery, routes_history};

/// Why bytes from outside could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{what}: {reason}"))]
pub struct FormatError {
    /// What was being read.
    pub what: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl FormatError {
    /// An error in `what`.
    pub fn new(what: &'static str, reason: impl ToString) -> Self {
        Self { what, reason: reason.to_string() }
    }
}

/// What a caller's request head says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallerRequest {
    /// The caller's id of this attempt.
    pub id: String,
    /// Key of the customer.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub patience: Option<time::Duration>,
    /// Tokens of the prompt; 0 where it is none.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub output: u64,
    /// The last event that the caller has, when it takes a stream up again.
    pub last_event: Option<String>,
}

/// A request as it goes to an upstream.
#[derive(Debug)]
pub struct UpstreamCall<'a> {
    /// What the caller sent.
    pub head: &'a http::request::Parts,
    /// Who must answer.
    pub upstream: &'a ids::UpstreamId,
    /// Whose request it is.
    pub customer: Option<&'a ids::CustomerId>,
    /// Time left.
    pub left: time::Duration,
    /// 0 is the most urgent; `None` leaves it to the upstream.
    pub priority: Option<u8>,
    /// The event after which a stream goes on.
    pub last_event: Option<&'a str>,
    /// Engines that read parts of the prompt, with the ticket of the memory set aside there.
    pub helpers: Vec<(net::SocketAddrV4, Option<String>)>,
}

/// What an upstream's answer head says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UpstreamAnswer {
    /// The id of the request it answers.
    pub id: Option<String>,
    /// Whether it carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether it says that it is not the one that was meant.
    pub misdirected: bool,
    /// Requests running, waiting, and slots.
    pub load: Option<(u32, u32, u32)>,
    /// The upstream that is the cause of a refusal, where it is another.
    pub at_fault: Option<net::SocketAddrV4>,
    /// Whether the upstream says that it leaves.
    pub leaving: bool,
    /// For how long it wants to be left alone, if it names a time; an error says what cannot be read.
    pub rest: Option<Result<time::Duration, FormatError>>,
    /// How many requests it takes from all instances together, if it names a limit; an error says what cannot be
    /// read.
    pub limit: Option<Result<units::RequestRate, FormatError>>,
}

impl UpstreamAnswer {
    /// Requests running and waiting, if reported.
    pub fn requests(&self) -> Option<u16> {
        let (running, waiting, _) = self.load?;
        u16::try_from(running.saturating_add(waiting)).ok()
    }
}

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineReport {
    /// Above 1 the engine is slower than its figures.
    pub pace: f64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Tokens in use.
    pub used: u64,
    /// Memory set aside, if the engine reports it.
    pub tickets: Option<Vec<TicketReport>>,
    /// Which start of the engine reports, if it names it.
    pub start: Option<ids::UpstreamStart>,
}

impl EngineReport {
    /// Whether a request uses memory set aside; nothing where the engine does not tell.
    pub fn uses(&self, ticket: &str) -> Option<bool> {
        let tickets = self.tickets.as_ref()?;
        Some(tickets.iter().any(|told| told.ticket == ticket && told.used))
    }
}

/// Memory set aside, as an engine reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketReport {
    /// Its ticket.
    pub ticket: String,
    /// Whether a request uses it.
    pub used: bool,
}

/// An order about an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemoryOrder {
    /// Set memory aside, or go on holding it.
    Hold {
        /// Its ticket.
        ticket: String,
        /// How much.
        tokens: u64,
        /// For how long from now.
        time: time::Duration,
    },
    /// Give it back.
    Release {
        /// Its ticket.
        ticket: String,
    },
}

/// The callers' side.
pub trait CallerAdapter {
    /// Reads a request's head.
    fn read_request(&self, head: &http::request::Parts) -> Result<CallerRequest, FormatError>;
    /// Headers of an answer of the instance's own.
    fn answer_headers(&self, request: &str, back_after: Option<time::Duration>) -> http::HeaderMap;
    /// Whether a path of the health address asks for readiness.
    fn is_readiness(&self, path: &str) -> bool;
}

/// The upstreams' side.
pub trait UpstreamAdapter {
    /// The head of a request to an upstream; the length is added after it.
    fn call_head(&self, call: &UpstreamCall<'_>) -> http::request::Parts;
    /// Reads an answer's head.
    fn read_answer(&self, head: &http::response::Parts) -> UpstreamAnswer;
    /// Path and body of an order about memory.
    fn memory_order(&self, order: &MemoryOrder) -> (String, Bytes);
    /// Which start of an engine answered an order, if the answer names it.
    fn order_start(&self, body: &[u8]) -> Option<ids::UpstreamStart>;
    /// Path of an engine's report.
    fn report_path(&self) -> String;
    /// Reads an engine's report.
    fn read_report(&self, body: &[u8]) -> Result<EngineReport, FormatError>;
    /// Number of the event that `event` is, where it has one.
    fn event_id(&self, event: &[u8]) -> Option<String>;
}

/// What a member passes on of the store's documents, raw, to one that knows less.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RawDocuments {
    /// The routes, if newer ones are known.
    pub routes: Option<routes_history::RoutesCopy>,
    /// All upstreams by name, where the changes alone are not known any more.
    pub upstreams: Option<collections::BTreeMap<String, String>>,
    /// Changes to upstreams, oldest first: the name and its document, or nothing once it is gone.
    pub changes: Vec<(String, Option<String>)>,
    /// Whether the changes skip some that were taken back since.
    pub skipped: bool,
    /// All data centres under evacuation; empty where only routes were asked for.
    pub evacuated: collections::BTreeSet<ids::DataCenterId>,
    /// Revision of the store that the upstreams and evacuations belong to; none where only routes were asked for.
    pub revision: store_revision::StoreRevision,
    /// Digest of all upstreams, where the changes lead into another era.
    pub digest: Option<u64>,
    /// What stays in force of the era before, while that matters.
    pub recovery: Option<list_recovery::RecoveryReport>,
    /// How long ago the store came back from an outage, if that was a moment ago: what vanished
    /// with it may return.
    pub returned_ms: Option<u64>,
}

/// A key of the store with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// The key; empty where not even that can be read.
    pub key: String,
    /// The value, or why it is none: anybody may write to the store.
    pub value: Result<String, FormatError>,
}

/// A page of what lies in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// What it holds.
    pub items: Vec<StoreItem>,
    /// Key after which the next page starts, if there is one.
    pub next: Option<String>,
    /// Revision of the store within its era.
    pub revision: u64,
}

/// A change in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreChange {
    /// A key has a value.
    Put(StoreItem),
    /// A key is gone.
    Gone(String),
}

/// What a key of the store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreKey {
    /// The routes.
    Routes,
    /// An upstream of this name.
    Upstream(String),
    /// The order to evacuate this data centre, in force for as long as the key exists.
    Evacuation(ids::DataCenterId),
    /// Nothing that concerns an instance.
    Other,
}

/// The platform's store.
pub trait StoreAdapter {
    /// Path that reads a page of the upstreams, after a key.
    fn upstreams_path(&self, after: Option<&str>) -> String;
    /// Path that reads the routes.
    fn routes_path(&self) -> String;
    /// Path that reads a page of what operators publish, routes and evacuations, after a key.
    fn operator_path(&self, after: Option<&str>) -> String;
    /// Path that waits for changes after a revision.
    fn watch_path(&self, after: u64, wait: time::Duration) -> String;
    /// The era that an answer's head tells, whatever its status.
    fn store_era(
        &self,
        head: &http::response::Parts,
    ) -> Result<Option<store_revision::StoreEra>, FormatError>;
    /// Reads a page; also of a single key.
    fn read_page(&self, body: &[u8]) -> Result<StorePage, FormatError>;
    /// Reads changes and the revision behind them.
    fn read_changes(&self, body: &[u8]) -> Result<(Vec<StoreChange>, u64), FormatError>;
    /// What a key holds.
    fn key(&self, key: &str) -> StoreKey;
    /// Reads the routes.
    fn read_routes(&self, text: &str) -> Result<route_table::RouteTable, FormatError>;
    /// Reads an upstream's entry.
    fn read_upstream(
        &self,
        name: &str,
        text: &str,
    ) -> Result<upstream_list::UpstreamEntry, FormatError>;
}

/// All borders of one platform.
pub trait InstanceAdapter: CallerAdapter + UpstreamAdapter + StoreAdapter {}
