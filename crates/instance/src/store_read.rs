//! Reads from the platform's store: routes, evacuations and upstreams together, or the routes alone.

use std::{collections, time};

use slipturn_core::{ids, range_read, store_revision, units};

use crate::{adapter, context, document_call, raw_state, store_call, store_contact};

/// Timeout of a call that reads one page, or the routes alone.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Age of the first page, as a share of the time within which requests to a leaving upstream must stop, from which the
/// changes since it are read before the documents come into force.
const CURRENT_SHARE: f64 = 0.5;
/// Wait of the watch that reads these changes: it returns at once.
const CHANGES_WAIT: time::Duration = time::Duration::from_millis(1);
/// Most doublings of the timeout of a page, each after a page that had begun to arrive in time.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// Longest time without any answer of the store after which pages that were read before it are still used. The answer may
/// be a rejection.
const MAX_SILENCE: time::Duration = time::Duration::from_secs(5);

/// A read of routes, evacuations and upstreams, which may take several attempts.
///
/// A store that limits or loses calls fails some page of a long read in every attempt, so an attempt continues where
/// the one before failed.
#[derive(Default)]
pub(crate) struct FullRead {
    upstreams: range_read::RangeRead<(String, String)>,
    operator_documents: range_read::RangeRead<adapter::StoreItem>,
    /// Revision of the list in force when the read began.
    known_revision: store_revision::StoreRevision,
    /// Changes since the first page, and the revision after them; `None` if they have not been read.
    changes: Option<(Vec<adapter::StoreChange>, store_revision::StoreRevision)>,
    /// When the read began; `None` before its first call.
    begun_at: Option<units::MonoTime>,
    /// When the store last answered, whatever the status.
    answered_at: units::MonoTime,
    /// Number of unreadable entries that have been read.
    unreadable: usize,
    /// Size in bytes of the documents that have been read.
    bytes: usize,
    /// Number of times that the timeout of a page has been doubled; at most [`MAX_TIMEOUT_DOUBLINGS`].
    timeout_doublings: u32,
    /// Number of failed calls.
    failures: u64,
    /// Whether an attempt has read a page before it failed; cleared by [`Self::take_progress`].
    has_advanced: bool,
}

impl FullRead {
    /// Begins the read unless it has begun, and begins it again if its pages are too old to be continued.
    fn begin(&mut self, context: &context::InstanceContext) {
        let now = context.now();
        let is_outdated = now.since(self.answered_at) > MAX_SILENCE;
        if self.begun_at.is_none() || is_outdated {
            let known_revision = context.fleet.borrow().revision();
            *self = Self {
                known_revision,
                begun_at: Some(now),
                answered_at: now,
                failures: self.failures,
                timeout_doublings: self.timeout_doublings,
                ..Self::default()
            };
        }
    }

    /// Whether the read has begun and is not complete.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Returns whether an attempt has read a page before it failed, since the last call of this method.
    pub(crate) fn take_progress(&mut self) -> bool {
        std::mem::take(&mut self.has_advanced)
    }

    /// Whether members have provided newer documents than were known when the read began.
    fn is_superseded(&self, context: &context::InstanceContext) -> bool {
        let fleet = context.fleet.borrow();
        fleet.is_known() && fleet.revision() > self.known_revision
    }

    fn pages(&self) -> u64 {
        self.upstreams.pages() + self.operator_documents.pages()
    }

    /// Reads the pages that are missing, until members have provided the documents.
    async fn read_missing(
        &mut self,
        context: &context::InstanceContext,
        connection: &mut document_call::DocumentConnection,
    ) -> Result<ReadOutcome, String> {
        while !(self.upstreams.is_complete() && self.operator_documents.is_complete()) {
            if self.is_superseded(context) {
                return Ok(ReadOutcome::Superseded);
            }
            let path = if self.upstreams.is_complete() {
                context.adapter.operator_path(self.operator_documents.after())
            } else {
                context.adapter.upstreams_path(self.upstreams.after())
            };
            let reader = context.adapter.page_reader();
            let timeout = READ_TIMEOUT * (1 << self.timeout_doublings);
            let answer = store_call::get(context, connection, &path, timeout, reader).await;
            if answer.as_ref().is_err_and(store_call::StoreError::is_late_body) {
                // The same call would time out again.
                self.timeout_doublings = MAX_TIMEOUT_DOUBLINGS.min(self.timeout_doublings + 1);
            }
            if answer.as_ref().map_or_else(store_call::StoreError::is_answer, |_| true) {
                self.answered_at = context.now();
            }
            let answer = answer.map_err(|error| error.to_string())?;
            if context.fleet.borrow().is_known() {
                // Recorded before the list is replaced, so that entries that expired during an outage are not removed at
                // once.
                store_contact::mark_answered(context);
            }
            let page = answer.content;
            let revision = store_revision::StoreRevision::new(answer.era, page.revision);
            self.add_page(context, page, revision).map_err(|error| {
                // The pages that were read cannot be continued.
                *self = Self {
                    failures: self.failures,
                    timeout_doublings: self.timeout_doublings,
                    ..Self::default()
                };
                error.to_string()
            })?;
        }
        self.read_changes(context, connection).await?;
        Ok(ReadOutcome::Complete)
    }

    /// Reads the changes since the first page if that is old, so that no list comes into force that upstreams have left
    /// since.
    async fn read_changes(
        &mut self,
        context: &context::InstanceContext,
        connection: &mut document_call::DocumentConnection,
    ) -> Result<(), String> {
        let age = self.begun_at.map_or(time::Duration::ZERO, |begun| context.now().since(begun));
        let first = self.upstreams.first_revision().unwrap_or_default();
        if age < context.settings().bounds.leave.0.mul_f64(CURRENT_SHARE) {
            return Ok(());
        }
        let path = context.adapter.watch_path(first.number, CHANGES_WAIT);
        let reader = context.adapter.changes_reader();
        let answer = store_call::get(context, connection, &path, READ_TIMEOUT, reader).await;
        if answer.as_ref().map_or_else(store_call::StoreError::is_answer, |_| true) {
            self.answered_at = context.now();
        }
        match answer {
            Ok(answer) if answer.era == first.era => {
                let (changes, next) = answer.content;
                let next = store_revision::StoreRevision::new(answer.era, next);
                self.changes = Some((changes, next));
                Ok(())
            }
            // The watch that follows finds the same, and reads the documents again.
            Ok(_)
            | Err(
                store_call::StoreError::HistoryGone { .. }
                | store_call::StoreError::Unreadable { .. },
            ) => Ok(()),
            Err(error) => Err(error.to_string()),
        }
    }

    fn add_page(
        &mut self,
        context: &context::InstanceContext,
        page: adapter::StorePage,
        revision: store_revision::StoreRevision,
    ) -> Result<(), range_read::PageError> {
        if !self.upstreams.is_complete() {
            let mut fleet = context.fleet.borrow_mut();
            let mut documents = Vec::new();
            for item in page.items {
                let adapter::StoreKey::Upstream(name) = context.adapter.key(&item.key) else {
                    continue;
                };
                let text = fleet.entry_text(&name, item, self.bytes);
                self.unreadable += usize::from(text.is_empty());
                // The list does not hold more of them either.
                if !text.is_empty() || self.unreadable <= raw_state::MAX_UNREADABLE {
                    self.bytes += name.len() + text.len();
                    documents.push((name, text));
                }
            }
            fleet.read_bytes = self.bytes;
            return self.upstreams.add_page(documents, page.next, revision);
        }
        let first = self.upstreams.first_revision().unwrap_or(revision);
        if first.era != revision.era {
            return Err(range_read::PageError::OtherEra { revision });
        }
        let is_used = |item: &adapter::StoreItem| {
            let key = context.adapter.key(&item.key);
            matches!(key, adapter::StoreKey::Routes | adapter::StoreKey::Evacuation(_))
        };
        let items: Vec<_> = page.items.into_iter().filter(is_used).collect();
        let value_bytes = |item: &adapter::StoreItem| item.value.as_ref().map_or(0, String::len);
        self.bytes += items.iter().map(|item| item.key.len() + value_bytes(item)).sum::<usize>();
        context.fleet.borrow_mut().read_bytes = self.bytes;
        self.operator_documents.add_page(items, page.next, revision)
    }

    /// Puts the documents into force; returns the revision from which to watch.
    fn apply(self, context: &context::InstanceContext) -> store_revision::StoreRevision {
        // The watch starts at the first page, and repeats changes that later pages contain.
        let revision = self.upstreams.first_revision().unwrap_or_default();
        let mut fleet = context.fleet.borrow_mut();
        let mut evacuated = collections::BTreeSet::<ids::DataCenterId>::new();
        for item in self.operator_documents.into_items() {
            match context.adapter.key(&item.key) {
                adapter::StoreKey::Routes => fleet.put_routes_item(item, "store"),
                adapter::StoreKey::Evacuation(data_center) => {
                    evacuated.insert(data_center);
                }
                adapter::StoreKey::Upstream(_) | adapter::StoreKey::Other => {}
            }
        }
        let documents = self.upstreams.into_items();
        fleet.replace_list(context.now(), documents, evacuated, revision, "store");
        let Some((changes, next)) = self.changes else {
            return revision;
        };
        if !changes.is_empty() {
            fleet.apply(context.now(), changes, next);
        }
        revision.max(next)
    }
}

/// How an attempt of a [`FullRead`] ended without a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadOutcome {
    Complete,
    /// Members have provided newer documents meanwhile.
    Superseded,
}

impl ReadOutcome {
    /// Label of the outcome in logs and counters.
    fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Superseded => "superseded",
        }
    }
}

/// Reads routes, evacuations and upstreams, and puts them into force; returns the revision of the store from which to watch
/// for changes, or `None` if members have provided newer documents meanwhile. After a failure the next call with the same
/// `read` continues it.
pub(crate) async fn read_all(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
    read: &mut FullRead,
) -> Result<Option<store_revision::StoreRevision>, String> {
    read.begin(context);
    let pages_before = read.pages();
    let outcome = match read.read_missing(context, connection).await {
        Ok(outcome) => outcome,
        Err(error) => {
            read.failures += 1;
            read.has_advanced |= read.pages() > pages_before;
            context.stats.borrow_mut().count("store_reads", "failed");
            // The pause between attempts is bounded, so a store that is away for long would fill the log.
            if read.failures.is_power_of_two() {
                log::warn!(pages = read.pages(), failures = read.failures, error; "store.read_failed");
            }
            return Err(error);
        }
    };
    let read = std::mem::take(read);
    context.fleet.borrow_mut().read_bytes = 0;
    let took = read.begun_at.map_or(time::Duration::ZERO, |begun_at| context.now().since(begun_at));
    log::info!(
        outcome = outcome.label(), pages = read.pages(), failures = read.failures,
        took_ms = units::whole_millis(took); "store.read"
    );
    context.stats.borrow_mut().count("store_reads", outcome.label());
    Ok((outcome == ReadOutcome::Complete).then(|| read.apply(context)))
}

/// Reads the routes alone from the store, and adopts them if they are newer.
pub(crate) async fn read_routes(context: &context::InstanceContext) -> Result<(), String> {
    let mut connection = document_call::DocumentConnection::new(context.settings().store);
    let path = context.adapter.routes_path();
    let reader = context.adapter.key_reader();
    let answer = store_call::get(context, &mut connection, &path, READ_TIMEOUT, reader).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let mut fleet = context.fleet.borrow_mut();
    answer.content.items.into_iter().for_each(|item| fleet.put_routes_item(item, "store"));
    Ok(())
}
