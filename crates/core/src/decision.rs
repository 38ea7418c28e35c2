//! A record of every decision taken for a request, kept in bounded memory.

use std::{collections, rc};

use serde::Serialize;

use crate::{ids, settings_resolve};

/// One setting that applied.
#[derive(Debug, Clone, Serialize)]
pub struct SettingRow {
    /// The option's name.
    pub option: &'static str,
    /// Its value.
    pub value: String,
    /// The node that gave it.
    pub source: String,
}

/// One candidate and what was known of it.
#[derive(Debug, Clone, Serialize)]
pub struct CandidateRow {
    /// The engine or upstream.
    pub name: String,
    /// The scheduler's offer in words, or why there was none.
    pub offer: String,
}

/// One attempt.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptRow {
    /// Its id, as sent to the upstream.
    pub attempt: ids::AttemptId,
    /// Engines or upstream it went to.
    pub target: String,
    /// Candidates at that moment.
    pub candidates: Vec<CandidateRow>,
    /// Why this target.
    pub reason: String,
    /// Time it waited for its place, in milliseconds.
    pub waited_ms: u64,
    /// How it ended; absent while it runs.
    pub end: Option<String>,
}

/// Everything decided for one request.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionRecord {
    /// The request.
    pub request: ids::RequestId,
    /// The caller's own id for it.
    pub caller_request: Option<String>,
    /// What was called.
    pub path: String,
    /// Whose request it is.
    pub customer: Option<ids::CustomerId>,
    /// For which application.
    pub application: Option<ids::ApplicationId>,
    /// In which request class.
    pub class: Option<ids::ClassId>,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Settings version in force.
    pub settings_version: u64,
    /// Revision of the published list in force.
    pub list_revision: u64,
    /// Every setting that applied, with the node that gave it.
    pub settings: Vec<SettingRow>,
    /// Budget, votes and other decisions in the order taken.
    pub notes: Vec<String>,
    /// Attempts in order.
    pub attempts: Vec<AttemptRow>,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Time to the end, in milliseconds.
    pub total_ms: Option<u64>,
    /// The final answer; absent while it runs.
    pub end: Option<String>,
}

impl DecisionRecord {
    /// The record of a request that has just arrived.
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

    /// Notes the settings that applied.
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

/// The newest records, found by slipturn's id or by the caller's own.
#[derive(Debug)]
pub struct DecisionLog {
    limit: usize,
    /// Invariant: at most `limit` records, oldest first.
    records: collections::VecDeque<rc::Rc<DecisionRecord>>,
}

impl DecisionLog {
    /// A log of at most `limit` records.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), records: collections::VecDeque::new() }
    }

    /// Adds a record, dropping the oldest when full.
    pub fn add(&mut self, record: DecisionRecord) {
        if self.records.len() == self.limit {
            self.records.pop_front();
        }
        self.records.push_back(rc::Rc::new(record));
    }

    /// Finds the newest record with this id.
    pub fn find(&self, id: &str) -> Option<rc::Rc<DecisionRecord>> {
        let matches = |record: &&rc::Rc<DecisionRecord>| {
            record.request.as_str() == id || record.caller_request.as_deref() == Some(id)
        };
        self.records.iter().rev().find(matches).cloned()
    }

    /// Records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
