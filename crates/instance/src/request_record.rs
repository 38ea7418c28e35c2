//! Records of completed requests, for the log and for `explain`.

use std::collections;

use serde::Serialize;

/// Maximum number of records in the log; a record takes about 400 bytes.
const MAX_RECORDS: usize = 256;

/// Record of one attempt at an upstream.
#[derive(Debug, Clone, Default, Serialize)]
pub struct AttemptRecord {
    /// Name of the upstream, with its start (life of its process) if that is known.
    pub upstream: String,
    /// Notices of the upstream in force when it was chosen, such as a shutdown or a backoff, with their
    /// ages and sources.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known: Option<String>,
    /// The member that relayed the connection, and for how long this instance had reached no upstream of the service;
    /// absent if the connection was direct.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub relayed: Option<String>,
    /// Number of further engines that processed parts of the prompt.
    #[serde(skip_serializing_if = "is_zero")]
    pub helpers: usize,
    /// Time that the attempt waited for its place (its assignment to engines), in milliseconds; 0 for
    /// a plain service, whose upstreams run no model.
    #[serde(skip_serializing_if = "is_zero")]
    pub waited_ms: u64,
    /// Time to the first token that the planner expected, in milliseconds; 0 for a plain service, whose upstreams run
    /// no model.
    #[serde(skip_serializing_if = "is_zero")]
    pub planned_ms: u64,
    /// Measured time from obtaining a connection to the first event, in milliseconds; absent if no event was received,
    /// and for services whose upstreams run no model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_ms: Option<u64>,
    /// How the attempt ended.
    pub end: String,
}

/// Record of one admitted request, from its arrival to its end.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RequestRecord {
    /// The caller's id of the request.
    pub id: String,
    /// Name of the route that matched the request's host and path.
    pub route: String,
    /// Name of the customer; empty if unknown.
    pub customer: String,
    /// Name of the service that the route picked for the request.
    pub service: String,
    /// Version of the routes in force when the request was admitted.
    pub routes: u64,
    /// Revision of the list of upstreams in force when the request was admitted.
    pub list: String,
    /// Origin of the list of upstreams: the store, or the member that sent it.
    pub list_source: String,
    /// Time from the last change of the list of upstreams to the admission of the request, in milliseconds.
    pub list_age_ms: u64,
    /// Whether the route allows the request to run more than once: `repeatable`, `resumable` or `at_most_once`.
    pub repeat: &'static str,
    /// Digest that identifies the request when its caller repeats it; set if the request is
    /// quarantined or an upstream may have run an attempt that failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub digest: Option<String>,
    /// Parts that the prompt shares with others, set as [`Self::digest`] is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub parts: Option<String>,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Time limit counted from the arrival, in milliseconds; a margin for sending the answer is subtracted.
    pub limit_ms: u64,
    /// Origin of the time limit: the caller, or the route by name.
    pub limit_from: String,
    /// The attempts, oldest first.
    pub attempts: Vec<AttemptRecord>,
    /// Status code of the answer; absent if the caller disconnected or a stream was cut off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Time in milliseconds from the arrival to the first event; for a plain service, whose upstreams run no model, to
    /// the answer or refusal. Absent for a stream without events.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_ms: Option<u64>,
    /// Longest pause between two events, in milliseconds.
    #[serde(skip_serializing_if = "is_zero")]
    pub pause_ms: u64,
    /// Number of events forwarded.
    #[serde(skip_serializing_if = "is_zero")]
    pub events: u64,
    /// Time from the arrival to the end, in milliseconds.
    pub total_ms: u64,
    /// Result of the request, with the reason of a failure.
    pub outcome: String,
}

/// The records of the last `MAX_RECORDS` completed requests.
#[derive(Debug, Default)]
pub struct RecordLog {
    records: collections::VecDeque<RequestRecord>,
}

impl RecordLog {
    /// Adds a record; the oldest one is dropped if the log is full.
    pub fn push(&mut self, record: RequestRecord) {
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Returns the latest record of a request id.
    pub fn find(&self, id: &str) -> Option<&RequestRecord> {
        self.records.iter().rev().find(|record| record.id == id)
    }
}

fn is_zero<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
