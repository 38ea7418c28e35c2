//! Traits that connect an instance to a platform: to its callers, its upstreams and its store.
//!
//! An implementation knows the header names, paths and document formats of one platform. It only
//! translates between them and the types of this module; it makes no decisions.

use std::{collections, net, time};

use bytes::Bytes;
use slipturn_core::{ids, prompt_part, route_table, store_revision, units, upstream_list};
use snafu::Snafu;

use crate::{list_recovery, routes_history};

/// Input from a caller, an upstream or the store that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{input}: {reason}"))]
pub struct FormatError {
    /// What was parsed, such as the name of a header or of a document; shown in logs and refusals.
    pub input: &'static str,
    /// The reason why the input is invalid, for logs and refusals.
    pub reason: String,
}

impl FormatError {
    /// Creates an error about `input`; `reason` is a text or the error of a parser.
    pub fn new(input: &'static str, reason: impl ToString) -> Self {
        Self { input, reason: reason.to_string() }
    }
}

/// Fields of a caller's request head.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallerRequest {
    /// Id that the caller gave to this attempt at its request; an upstream's answer must repeat it.
    pub id: String,
    /// API key that the caller sent, if any; it identifies the customer.
    pub key: Option<String>,
    /// How long the caller waits for the answer, if the caller states that; the route's time limit is the maximum and
    /// the default.
    pub max_wait: Option<time::Duration>,
    /// Number of prompt tokens; 0 for a request without a prompt, at most [`units::MAX_TOKENS`].
    pub prompt: u64,
    /// Maximum number of output tokens; 0 for a request without a prompt, at most [`units::MAX_TOKENS`].
    pub output: u64,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<String>,
    /// Parts that the prompt shares with others, as its caller names them; empty if it names none.
    pub parts: prompt_part::SharedParts,
}

/// A request to be sent to an upstream.
#[derive(Debug)]
pub struct UpstreamCall<'a> {
    /// Head of the caller's request.
    pub head: &'a http::request::Parts,
    /// The upstream that must answer; another one at its address answers that the request was misdirected.
    pub upstream: &'a ids::UpstreamId,
    /// The customer that sent the request, if known.
    pub customer: Option<&'a ids::CustomerId>,
    /// Time left until the answer is due; the upstream receives it as its own deadline.
    pub left: time::Duration,
    /// Priority, where 0 is the most urgent; `None` leaves it to the upstream.
    pub priority: Option<u8>,
    /// Id of the event after which a stream resumes.
    pub last_event: Option<&'a str>,
    /// Addresses of the engines that each prefill a part of the prompt, and the ticket of the memory reserved on the
    /// engine, if any.
    pub helpers: Vec<(net::SocketAddrV4, Option<String>)>,
}

/// Fields of an upstream's answer head.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UpstreamAnswer {
    /// Id of the request that is answered; an answer without the id that was sent counts as broken.
    pub id: Option<String>,
    /// Whether the answer carries the upstream's signature; a success without it counts as broken.
    pub signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether the answering process states that it is not the upstream that was addressed.
    pub misdirected: bool,
    /// Numbers of running requests, of waiting requests and of slots (the most requests that run concurrently), in this
    /// order; `None` if the upstream does not report them.
    pub load: Option<(u32, u32, u32)>,
    /// Address of the upstream that caused a refusal, if another one than the upstream that answers.
    pub at_fault: Option<net::SocketAddrV4>,
    /// Whether the upstream announces that it is shutting down.
    pub leaving: bool,
    /// Backoff that the upstream requests: the time for which it is sent no requests. An error if the
    /// value is invalid.
    pub backoff: Option<Result<time::Duration, FormatError>>,
    /// Rate of requests that the upstream accepts from all instances together; an error if the value
    /// is invalid.
    pub limit: Option<Result<units::RequestRate, FormatError>>,
}

impl UpstreamAnswer {
    /// Returns the number of running and waiting requests, at most [`u32::MAX`]; `None` if it is not reported.
    pub fn reported_load(&self) -> Option<u32> {
        self.load.map(|(running, waiting, _)| running.saturating_add(waiting))
    }

    /// Returns the number of running and waiting requests; `None` if it is not reported or exceeds [`u16::MAX`].
    pub fn requests(&self) -> Option<u16> {
        u16::try_from(self.reported_load()?).ok()
    }
}

/// An engine's report about its own load.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineReport {
    /// Slowdown relative to the engine's configured speed: 1 at that speed, and higher if it is slower.
    pub pace: f64,
    /// Number of requests that the engine is running, from all instances together.
    pub running: u32,
    /// Number of requests that wait at the engine, from all instances together.
    pub waiting: u32,
    /// KV cache memory in use, in tokens.
    pub used: u64,
    /// Memory reservations, if the engine reports them.
    pub tickets: Option<Vec<TicketReport>>,
    /// Start (one life of the process) of the engine that sent the report, if the report states it.
    pub start: Option<ids::UpstreamStart>,
}

impl EngineReport {
    /// Returns whether a request uses the memory reserved under `ticket`, or `None` if the engine
    /// does not report its reservations.
    pub fn uses(&self, ticket: &str) -> Option<bool> {
        let tickets = self.tickets.as_ref()?;
        Some(tickets.iter().any(|report| report.ticket == ticket && report.used))
    }
}

/// A memory reservation reported by an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketReport {
    /// Id of the reservation, as in the [`MemoryOrder::Hold`] that made it.
    pub ticket: String,
    /// Whether a request uses the reserved memory.
    pub used: bool,
}

/// An order that reserves or releases memory of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemoryOrder {
    /// Reserves memory or extends a reservation.
    Hold {
        /// Id of the reservation, chosen by the instance; an order with the same id extends it.
        ticket: String,
        /// Amount of KV cache memory, in tokens.
        tokens: u64,
        /// Duration of the reservation, counted from now.
        time: time::Duration,
    },
    /// Releases a reservation.
    Release {
        /// Id of the reservation, as in the [`Self::Hold`] that made it.
        ticket: String,
    },
}

/// Translates between callers and the instance.
pub trait CallerAdapter {
    /// Parses the head of a caller's request; a request whose head is invalid is refused.
    fn parse_request(&self, head: &http::request::Parts) -> Result<CallerRequest, FormatError>;
    /// Returns the headers of an answer that the instance itself generates, such as a refusal of the request with the
    /// id `request`.
    fn answer_headers(&self, request: &str, retry_after: Option<time::Duration>)
    -> http::HeaderMap;
    /// Returns whether a path on the health address is the readiness check.
    fn is_readiness(&self, path: &str) -> bool;
}

/// Translates between the instance and upstreams.
pub trait UpstreamAdapter {
    /// Returns the head of a request to an upstream, without the body length.
    fn call_head(&self, call: &UpstreamCall<'_>) -> http::request::Parts;
    /// Parses the head of an upstream's answer, in which all fields are optional.
    fn parse_answer(&self, head: &http::response::Parts) -> UpstreamAnswer;
    /// Returns the path and body of the POST request that sends a memory order to an engine.
    fn memory_order(&self, order: &MemoryOrder) -> (String, Bytes);
    /// Returns the start (one life of the process) of the engine that answered a memory order, if the answer states it.
    fn order_start(&self, body: &[u8]) -> Option<ids::UpstreamStart>;
    /// Returns the path at which an engine serves the report about its load.
    fn report_path(&self) -> String;
    /// Parses an engine's report; an invalid one still shows that the engine answers.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, FormatError>;
    /// Returns the id of an event of a stream, after which the stream can resume; `None` if it has no id.
    fn event_id(&self, event: &[u8]) -> Option<String>;
}

/// Unparsed store documents that a member sends to a member with older ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RawDocuments {
    /// The routes, if the sender has newer ones.
    pub routes: Option<routes_history::RoutesCopy>,
    /// Documents of all upstreams by name, if the sender no longer has the changes that the receiver lacks.
    pub upstreams: Option<collections::BTreeMap<String, String>>,
    /// Changes to upstreams, oldest first: the name with its document, or `None` if it was deleted.
    pub changes: Vec<(String, Option<String>)>,
    /// Whether `changes` may lack changes that were reverted later, as the sender knows only the difference between two
    /// revisions.
    pub skipped: bool,
    /// All data centres under evacuation; empty if only routes were requested.
    pub evacuated: collections::BTreeSet<ids::DataCenterId>,
    /// Store revision of the upstreams and evacuations; the default if only routes were requested.
    pub revision: store_revision::StoreRevision,
    /// Digest of all upstreams, by which the receiver checks the result of the changes. Set if they lead into another
    /// era, which begins when the store is restored from an older copy.
    pub digest: Option<u64>,
    /// State that the sender keeps in force from before the store was restored from an older copy; `None` if it is not
    /// recovering from a restore.
    pub recovery: Option<list_recovery::RecoveryReport>,
    /// Milliseconds since the last outage of the store ended, if that was recent: upstreams whose entries vanished with
    /// the outage may be listed again.
    pub returned_ms: Option<u64>,
}

/// A key of the store and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// The key; empty if it cannot be parsed.
    pub key: String,
    /// The value, or an error if it cannot be parsed: any client may write to the store.
    pub value: Result<String, FormatError>,
}

/// A page of the store's contents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// Keys and values on this page.
    pub items: Vec<StoreItem>,
    /// Key after which the next page starts, if there is a next page.
    pub next: Option<String>,
    /// Revision of the store when the page was read. It counts within the store's present era, which ends when the
    /// store is restored from an older copy.
    pub revision: u64,
}

/// A change to a key of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreChange {
    /// The key was created or updated.
    Put(StoreItem),
    /// The key was deleted.
    Gone(String),
}

/// Changes, oldest first, and the revision after the last one.
pub type StoreChanges = (Vec<StoreChange>, u64);

/// Reads a body while it arrives.
pub trait BodyReader {
    /// Reads the next bytes of the body. Fails if the body cannot be valid, or if what is kept of it exceeds a limit.
    fn read(&mut self, piece: &[u8]) -> Result<(), FormatError>;
}

/// Reads an answer of the store while it arrives.
///
/// Items are parsed one by one. A value that is larger than a document of its kind may be becomes an error without being
/// held, so the memory needed does not grow with the size of the answer.
pub trait AnswerReader<T>: BodyReader {
    /// Returns what has been read of a complete body.
    fn finish(self: Box<Self>) -> Result<T, FormatError>;
}

fn parse_whole<T>(mut reader: Box<dyn AnswerReader<T>>, body: &[u8]) -> Result<T, FormatError> {
    reader.read(body)?;
    reader.finish()
}

/// The kind of document stored under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreKey {
    /// The configuration document, which contains the routes.
    Routes,
    /// The entry of the upstream with this name.
    Upstream(String),
    /// The order to evacuate a data centre, in force as long as the key exists.
    Evacuation(ids::DataCenterId),
    /// A document that instances do not use.
    Other,
}

/// Translates between the instance and the platform's store.
pub trait StoreAdapter {
    /// Returns the path that reads the page of upstreams after a key; `None` is the first page.
    fn upstreams_path(&self, after: Option<&str>) -> String;
    /// Returns the path that reads the routes.
    fn routes_path(&self) -> String;
    /// Returns the path that reads the page of operator documents (routes and evacuations) after a key; `None` is the
    /// first page.
    fn operator_path(&self, after: Option<&str>) -> String;
    /// Returns the path that waits up to `wait` for changes after a revision.
    fn watch_path(&self, after: u64, wait: time::Duration) -> String;
    /// Returns the store's era, which rises when the store is restored from an older copy, as named in an answer's
    /// head. `None` if the head names none; the answer may have any status.
    fn store_era(
        &self,
        head: &http::response::Parts,
    ) -> Result<Option<store_revision::StoreEra>, FormatError>;
    /// Returns a reader of a page of the store's contents.
    fn page_reader(&self) -> Box<dyn AnswerReader<StorePage>>;
    /// Returns a reader of the answer to a read of a single key, which becomes a page with one item.
    fn key_reader(&self) -> Box<dyn AnswerReader<StorePage>>;
    /// Returns a reader of the answer to a watch: the changes, and the revision after them.
    fn changes_reader(&self) -> Box<dyn AnswerReader<StoreChanges>>;
    /// Parses a page that has arrived completely; see [`Self::page_reader`].
    fn parse_page(&self, body: &[u8]) -> Result<StorePage, FormatError> {
        parse_whole(self.page_reader(), body)
    }
    /// Parses the answer to a watch that has arrived completely; see [`Self::changes_reader`].
    fn parse_changes(&self, body: &[u8]) -> Result<StoreChanges, FormatError> {
        parse_whole(self.changes_reader(), body)
    }
    /// Returns the kind of document stored under a key.
    fn key(&self, key: &str) -> StoreKey;
    /// Parses the routes; if they are invalid, those in force stay.
    fn parse_routes(&self, text: &str) -> Result<route_table::RouteTable, FormatError>;
    /// Parses the entry of the upstream `name`; an upstream whose entry is invalid is not used.
    fn parse_upstream(
        &self,
        name: &str,
        text: &str,
    ) -> Result<upstream_list::UpstreamEntry, FormatError>;
}

/// All adapter traits of one platform, which the instance uses as a single object.
pub trait InstanceAdapter: CallerAdapter + UpstreamAdapter + StoreAdapter {}
