//! Records of the decisions taken for each request, kept in bounded memory.

use std::{collections, rc};

use serde::Serialize;

use crate::{ids, settings_resolve};

/// A setting that applied to a request.
#[derive(Debug, Clone, Serialize)]
pub struct SettingRow {
    /// Name of the option in the settings tree.
    pub option: &'static str,
    /// Value that applied to the request.
    pub value: String,
    /// Node of the settings tree that set the value.
    pub source: String,
}

/// An engine or upstream that an attempt could have used, as known when its target was chosen.
#[derive(Debug, Clone, Serialize)]
pub struct CandidateRow {
    /// Name of the engine or upstream.
    pub name: String,
    /// Description of the scheduler's offer, or of why there was none.
    pub offer: String,
}

/// An attempt to serve a request: the target, the other candidates and the outcome.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptRow {
    /// Attempt id, as sent to the upstream.
    pub attempt: ids::AttemptId,
    /// Engines or upstream that the attempt was sent to.
    pub target: String,
    /// Engines or upstreams among which the target was chosen.
    pub candidates: Vec<CandidateRow>,
    /// Why the target was chosen, as text for operators.
    pub reason: String,
    /// Time for which the attempt waited for a placement, in milliseconds.
    pub waited_ms: u64,
    /// Outcome of the attempt; `None` while it runs.
    pub end: Option<String>,
}

/// All decisions taken for one request.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionRecord {
    /// Request id assigned by slipturn.
    pub request: ids::RequestId,
    /// Request id that the caller sent; `None` if it sent none.
    pub caller_request: Option<String>,
    /// Path of the HTTP request, without its query.
    pub path: String,
    /// Customer that the request belongs to; `None` until the settings are resolved.
    pub customer: Option<ids::CustomerId>,
    /// Application of the customer that sent the request; `None` until the settings are resolved.
    pub application: Option<ids::ApplicationId>,
    /// Request class; `None` until the settings are resolved, or if no class fits the prompt.
    pub class: Option<ids::ClassId>,
    /// Estimated prompt length in tokens; 0 unless a model request was admitted.
    pub prompt_tokens: u64,
    /// Version of the settings that applied to the request; 0 until they are resolved.
    pub settings_version: u64,
    /// Revision of the published list that was in force at admission; 0 unless a model request was admitted.
    pub list_revision: u64,
    /// Settings that applied, with the node that set each.
    pub settings: Vec<SettingRow>,
    /// Descriptions of decisions on budgets, votes, retries and the like, in the order taken.
    pub notes: Vec<String>,
    /// Attempts to serve the request, oldest first.
    pub attempts: Vec<AttemptRow>,
    /// Time from the arrival of the request to its first token, in milliseconds; `None` unless a streamed answer began.
    pub first_token_ms: Option<u64>,
    /// Time from the arrival of the request to its end, in milliseconds; `None` while it runs.
    pub total_ms: Option<u64>,
    /// Outcome of the request; `None` while it runs.
    pub end: Option<String>,
}

impl DecisionRecord {
    /// Creates the record of a request whose settings are not resolved yet.
    pub fn new(request: ids::RequestId, caller_request: Option<String>, path: String) -> Self {
        Self {
            request,
            caller_request,
            path,
            customer: None,
            application: None,
            class: None,
            prompt_tokens: 0,
            settings_version: 0,
            list_revision: 0,
            settings: Vec::new(),
            notes: Vec::new(),
            attempts: Vec::new(),
            first_token_ms: None,
            total_ms: None,
            end: None,
        }
    }

    /// Records the settings that applied, and the customer, application and class they were resolved for.
    pub fn set_settings(&mut self, resolved: &settings_resolve::ResolvedSettings) {
        self.customer = Some(resolved.customer.clone());
        self.application = Some(resolved.application.clone());
        self.class = resolved.class.clone();
        self.settings_version = resolved.version.0;
        let rows = resolved.rows().into_iter();
        self.settings =
            rows.map(|(option, value, source)| SettingRow { option, value, source }).collect();
    }
}

/// The newest records, searchable by slipturn's request id or the caller's.
#[derive(Debug)]
pub struct DecisionLog {
    limit: usize,
    /// Invariant: at most `limit` records, oldest first.
    records: collections::VecDeque<rc::Rc<DecisionRecord>>,
}

impl DecisionLog {
    /// Creates a log of at most `limit` records; a `limit` of 0 counts as 1.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), records: collections::VecDeque::new() }
    }

    /// Adds a record; drops the oldest if the log is full.
    pub fn add(&mut self, record: DecisionRecord) {
        if self.records.len() == self.limit {
            self.records.pop_front();
        }
        self.records.push_back(rc::Rc::new(record));
    }

    /// Finds the newest record whose request id, of slipturn or of the caller, is `id`.
    pub fn find(&self, id: &str) -> Option<rc::Rc<DecisionRecord>> {
        let matches = |record: &&rc::Rc<DecisionRecord>| {
            record.request.as_str() == id || record.caller_request.as_deref() == Some(id)
        };
        self.records.iter().rev().find(matches).cloned()
    }

    /// Number of records held, at most the limit of the log.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the log holds no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
