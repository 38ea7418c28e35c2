//! What is known of one request when it ends: the log line and the answer to `explain` alike.

use std::collections;

use serde::Serialize;

/// Requests remembered for explanations; a record has some 400 bytes.
const MAX_RECORDS: usize = 256;

/// One attempt at an upstream.
#[derive(Debug, Clone, Default, Serialize)]
pub struct AttemptRecord {
    /// The upstream.
    pub upstream: String,
    /// What was known of it as it was chosen: that it leaves or rests, since when and from which source.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known: Option<String>,
    /// How many engines read parts of the prompt, besides it.
    #[serde(skip_serializing_if = "is_zero")]
    pub helpers: usize,
    /// Time waited for the place.
    #[serde(skip_serializing_if = "is_zero")]
    pub waited_ms: u64,
    /// First token as planned.
    #[serde(skip_serializing_if = "is_zero")]
    pub planned_ms: u64,
    /// First token as it came.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_ms: Option<u64>,
    /// How it ended.
    pub end: String,
}

/// One request.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RequestRecord {
    /// The caller's id.
    pub id: String,
    /// The route.
    pub route: String,
    /// The customer.
    pub customer: String,
    /// The service.
    pub service: String,
    /// Version of the routes that decided.
    pub routes: u64,
    /// Revision of the list of upstreams at the start.
    pub list: String,
    /// Where that list came from: the store, or the member that passed it on.
    pub list_source: String,
    /// For how long it had been in force.
    pub list_age_ms: u64,
    /// How often it may run.
    pub repeat: &'static str,
    /// What it is recognised by when its caller repeats it; reported where an attempt broke.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub digest: Option<String>,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Time it had when it arrived.
    pub limit_ms: u64,
    /// Who set that limit: the caller, or the route by name.
    pub limit_from: String,
    /// Attempts, oldest first.
    pub attempts: Vec<AttemptRecord>,
    /// Status of the answer; absent where the caller had gone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Time to the first event or the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_ms: Option<u64>,
    /// Longest pause between two events.
    #[serde(skip_serializing_if = "is_zero")]
    pub pause_ms: u64,
    /// Events passed on.
    #[serde(skip_serializing_if = "is_zero")]
    pub events: u64,
    /// Time from arrival to end.
    pub total_ms: u64,
    /// Why it ended as it did.
    pub outcome: String,
}

/// The last requests that ended.
#[derive(Debug, Default)]
pub struct RecordLog {
    records: collections::VecDeque<RequestRecord>,
}

impl RecordLog {
    /// Remembers a request; the oldest is forgotten.
    pub fn push(&mut self, record: RequestRecord) {
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// The request of this id.
    pub fn find(&self, id: &str) -> Option<&RequestRecord> {
        self.records.iter().rev().find(|record| record.id == id)
    }
}

fn is_zero<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
