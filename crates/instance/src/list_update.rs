//! Updates of the list of upstreams and evacuations, from the store and from members.

use std::{collections, time};

use slipturn_core::{ids, store_revision, units, upstream_list, upstream_notice};

use crate::{adapter, compressed_bytes, fleet_state, list_recovery, raw_state};

/// Most characters that a log line shows of a name or error from outside.
const MAX_LOGGED_CHARS: usize = 160;

/// Complete list of upstreams and evacuations at one revision of the store.
struct StoreList {
    /// Documents of upstreams by name.
    upstreams: collections::BTreeMap<String, String>,
    /// Evacuated data centres.
    evacuated: collections::BTreeSet<ids::DataCenterId>,
    /// Those of `evacuated` that another member keeps in force although the first list after the store was restored
    /// from an older copy lacks them.
    unconfirmed: Vec<ids::DataCenterId>,
    /// Revision of the store that the list belongs to.
    revision: store_revision::StoreRevision,
}

impl fleet_state::FleetState {
    /// Adopts the list, or its changes, from the documents of another member if they are newer.
    pub(crate) fn adopt_list(
        &mut self,
        now: units::MonoTime,
        mut documents: adapter::RawDocuments,
        source: &str,
    ) -> Result<(), compressed_bytes::CompressionError> {
        let revision = documents.revision;
        if revision.is_none() || (revision <= self.raw.revision && self.has_list) {
            return Ok(());
        }
        let later_era = self.is_later_era(revision);
        if later_era {
            let upstreams = self.upstreams_after(&mut documents);
            self.diverged = upstreams.is_err();
            documents.upstreams = Some(upstreams?);
        }
        if let Some(millis) = documents.returned_ms {
            self.source_returned(now.earlier_by(time::Duration::from_millis(millis)));
        }
        let ended = || later_era.then(list_recovery::RecoveryReport::ended);
        let recovery = documents.recovery.or_else(ended);
        for report in recovery.iter().flat_map(|recovery| &recovery.leaving) {
            let age = time::Duration::from_millis(report.age_ms);
            let member = upstream_notice::NoticeSource::Member;
            self.list.receive_leaving(now, &report.upstream, member, age);
        }
        let unconfirmed = recovery.as_ref().map(|report| report.evacuated.clone());
        let unconfirmed = unconfirmed.unwrap_or_default();
        if let Some(upstreams) = documents.upstreams {
            self.diverged = false;
            let evacuated = documents.evacuated;
            let list = StoreList { upstreams, evacuated, unconfirmed, revision };
            // If the list is of the same era, this process already knows which state of the previous era is in force,
            // so the member's report is not adopted.
            let recovery = recovery.filter(|_| later_era || !self.has_list);
            self.replace_all(now, list, recovery, source);
        } else if self.has_list {
            self.adopt_evacuations(now, documents.evacuated, &unconfirmed, revision, source);
            if documents.skipped {
                self.raw.record_gap(revision);
            }
            self.change_upstreams(now, documents.changes, revision, source);
        }
        Ok(())
    }

    /// Replaces the list with all upstreams and evacuations in the store, unless they are older than the list in force.
    pub fn replace_list(
        &mut self,
        now: units::MonoTime,
        documents: Vec<(String, String)>,
        evacuated: collections::BTreeSet<ids::DataCenterId>,
        revision: store_revision::StoreRevision,
        source: &str,
    ) {
        if revision < self.list.revision() {
            self.reject_older(revision, source);
            return;
        }
        // If a key occurs twice, the last value counts.
        let upstreams = documents.into_iter().collect();
        let list = StoreList { upstreams, evacuated, unconfirmed: Vec::new(), revision };
        self.replace_all(now, list, None, source);
    }

    /// Replaces the list, and adopts the `recovery`: state that another member keeps in force from before the store was
    /// restored from an older copy.
    fn replace_all(
        &mut self,
        now: units::MonoTime,
        list: StoreList,
        recovery: Option<list_recovery::RecoveryReport>,
        source: &str,
    ) {
        let StoreList { upstreams: mut documents, evacuated, unconfirmed, revision } = list;
        let before = self.list.revision();
        let later_era = self.is_later_era(revision);
        self.record_origin(now, source);
        self.adopt_evacuations(now, evacuated, &unconfirmed, revision, source);
        let mut entries = Vec::new();
        let mut unreadable = Vec::new();
        for (name, text) in &mut documents {
            match self.parse_entry(name, text) {
                Some(entry) => entries.push(entry),
                None => {
                    *text = String::new();
                    unreadable
                        .extend(parse_upstream_id(name).map(upstream_list::ListChange::Unreadable));
                }
            }
        }
        let kept = recovery.iter().flat_map(|recovery| &recovery.kept);
        let kept = kept.filter(|(name, _)| !documents.contains_key(name));
        entries.extend(kept.filter_map(|(name, text)| self.parse_entry(name, text)));
        let count = entries.len();
        let replaced = self.list.replace(now, entries, revision);
        if self.list.apply(now, unreadable, revision) || replaced {
            log::info!(source, revision:%, upstreams = count; "list.replaced");
        }
        let known = self.has_list;
        let upstreams_before = self.raw.replace(documents, revision, known);
        self.has_list = true;
        match recovery {
            Some(recovery) => self.adopt_recovery(now, recovery),
            None if later_era => self.keep_documents(&upstreams_before),
            None => {}
        }
        if later_era {
            self.log_era_change(before, source);
        }
    }

    /// Adopts the evacuated data centres. An evacuation that the first list after a restore of the store lacks stays in
    /// force until it is written again or the recovery ends.
    fn adopt_evacuations(
        &mut self,
        now: units::MonoTime,
        evacuated: collections::BTreeSet<ids::DataCenterId>,
        unconfirmed: &[ids::DataCenterId],
        revision: store_revision::StoreRevision,
        source: &str,
    ) {
        let in_force = self.list.merge_evacuations(revision, evacuated, unconfirmed);
        self.replace_evacuations(now, &in_force, revision, source);
    }

    /// Replaces the set of evacuated data centres.
    fn replace_evacuations(
        &mut self,
        now: units::MonoTime,
        evacuated: &collections::BTreeSet<ids::DataCenterId>,
        revision: store_revision::StoreRevision,
        source: &str,
    ) {
        let known: collections::BTreeSet<_> = self.list.evacuated().cloned().collect();
        let began = evacuated.difference(&known).cloned().map(upstream_list::ListChange::Evacuated);
        let ended = known.difference(evacuated).cloned().map(upstream_list::ListChange::Restored);
        self.change_evacuations(now, began.chain(ended).collect(), revision, source);
    }

    /// Applies beginnings and ends of evacuations, and logs those that are new.
    fn change_evacuations(
        &mut self,
        now: units::MonoTime,
        changes: Vec<upstream_list::ListChange>,
        revision: store_revision::StoreRevision,
        source: &str,
    ) {
        for change in changes {
            let (event, data_center) = match &change {
                upstream_list::ListChange::Evacuated(name) => {
                    ("data_center.evacuated", name.clone())
                }
                upstream_list::ListChange::Restored(name) => ("data_center.restored", name.clone()),
                _ => continue,
            };
            if self.list.apply(now, vec![change], revision) {
                log::info!(data_center:%, source, revision:%; "{event}");
            }
        }
    }

    /// Applies changes read from the store, up to `revision`, to the routes, evacuations and upstreams.
    pub fn apply(
        &mut self,
        now: units::MonoTime,
        changes: Vec<adapter::StoreChange>,
        revision: store_revision::StoreRevision,
    ) {
        let mut items = Vec::new();
        let mut item_bytes = 0;
        let mut evacuations = Vec::new();
        for change in changes {
            match change {
                adapter::StoreChange::Put(item) => match self.adapter.key(&item.key) {
                    adapter::StoreKey::Routes => self.put_routes_item(item, "store"),
                    adapter::StoreKey::Upstream(name) => {
                        let others = self.raw.bytes_beside(&name) + item_bytes;
                        let text = self.entry_text(&name, item, others);
                        item_bytes += raw_state::document_bytes(&name, Some(&text));
                        items.push((name, Some(text)));
                    }
                    adapter::StoreKey::Evacuation(data_center) => {
                        if revision >= self.list.revision() {
                            self.list.confirm_evacuation(&data_center);
                        }
                        evacuations.push(upstream_list::ListChange::Evacuated(data_center));
                    }
                    adapter::StoreKey::Other => {}
                },
                adapter::StoreChange::Gone(key) => match self.adapter.key(&key) {
                    adapter::StoreKey::Upstream(name) => items.push((name, None)),
                    adapter::StoreKey::Evacuation(data_center) => {
                        evacuations.push(upstream_list::ListChange::Restored(data_center));
                    }
                    adapter::StoreKey::Routes | adapter::StoreKey::Other => {}
                },
            }
        }
        self.change_evacuations(now, evacuations, revision, "store");
        self.change_upstreams(now, items, revision, "store");
    }

    /// Applies changes of upstreams, each a name and a document or `None` after a removal, up to `revision`.
    fn change_upstreams(
        &mut self,
        now: units::MonoTime,
        changes: Vec<(String, Option<String>)>,
        revision: store_revision::StoreRevision,
        source: &str,
    ) {
        if revision < self.list.revision() {
            // Changes that arrive after newer ones must not be passed on to other members.
            self.reject_older(revision, source);
            return;
        }
        self.record_origin(now, source);
        // Members may resend changes that were applied before, older ones first. Only the last change of each upstream
        // counts: otherwise a start (life of the process) that ended long ago would briefly count as the upstream's
        // next one.
        let mut last_changes = collections::BTreeMap::new();
        let mut list_changes = Vec::new();
        for (name, mut text) in changes {
            let change = self.read_change(&name, text.as_deref(), revision);
            if matches!(change, None | Some(upstream_list::ListChange::Unreadable(_))) {
                // An unreadable document may be of any size, so it is passed on to members as an empty one. The
                // allocation is not kept either.
                text = text.map(|_| String::new());
            }
            let without_start = matches!(&change, Some(upstream_list::ListChange::Present(entry))
                if entry.name.start().is_none());
            let before = last_changes.insert(name.clone(), change).flatten();
            // An entry that names no start (life of the process) replaces an entry that names one only after a removal,
            // so a removal in between is applied too.
            let gone = before.filter(|before| matches!(before, upstream_list::ListChange::Gone(_)));
            list_changes.extend(gone.filter(|_| without_start));
            self.raw.change(name, text, revision);
        }
        list_changes.extend(last_changes.into_values().flatten());
        self.list.apply(now, list_changes, revision);
        self.raw.advance_to(revision);
    }

    /// Converts a change of a document to a change of the list; `None` if its name is invalid.
    ///
    /// An unreadable entry takes its upstream out of use, even if a valid entry was listed before.
    fn read_change(
        &self,
        name: &str,
        text: Option<&str>,
        revision: store_revision::StoreRevision,
    ) -> Option<upstream_list::ListChange> {
        let Some(text) = text else {
            log::info!(upstream = truncated(name), revision:%; "upstream.unlisted");
            return parse_upstream_id(name).map(upstream_list::ListChange::Gone);
        };
        let Some(entry) = self.parse_entry(name, text) else {
            return parse_upstream_id(name).map(upstream_list::ListChange::Unreadable);
        };
        if self.list.entry(&entry.name) != Some(&entry) {
            log::info!(
                upstream:% = entry.name, service:% = entry.service, state:? = entry.state,
                revision:%; "upstream.listed"
            );
        }
        Some(upstream_list::ListChange::Present(entry))
    }

    /// Returns the document of an upstream in an item of the store; empty if the item names no upstream, so that neither
    /// its bytes nor their allocation are kept, or if the list has no room beside the `other_bytes`. Logs why.
    pub(crate) fn entry_text(
        &self,
        name: &str,
        item: adapter::StoreItem,
        other_bytes: usize,
    ) -> String {
        let check = |text: String| {
            self.adapter.parse_upstream(name, &text)?;
            if raw_state::has_room(other_bytes, name, &text) {
                Ok(text)
            } else {
                Err(adapter::FormatError::new("entry of an upstream", "the list has no room"))
            }
        };
        let mut text = item.value.and_then(check).unwrap_or_else(|error| {
            self.log_rejected(name, &error);
            String::new()
        });
        text.shrink_to_fit();
        text
    }

    /// Parses the document of an upstream; drops an invalid one, and logs it unless it is empty: that one has been
    /// rejected and logged by its reader.
    fn parse_entry(&self, name: &str, text: &str) -> Option<upstream_list::UpstreamEntry> {
        if text.is_empty() {
            return None;
        }
        let parsed = self.adapter.parse_upstream(name, text);
        parsed.inspect_err(|error| self.log_rejected(name, error)).ok()
    }

    /// Logs an unreadable entry once for each time it replaces a readable one, not each time it is read.
    fn log_rejected(&self, name: &str, error: &adapter::FormatError) {
        if !self.raw.upstreams.get(name).is_some_and(String::is_empty) {
            let error = error.to_string();
            log::error!(upstream = truncated(name), error = truncated(&error); "upstream.rejected");
        }
    }

    /// Logs and counts a list or changes that are older than the list in force.
    fn reject_older(&mut self, revision: store_revision::StoreRevision, source: &str) {
        let known = self.list.revision();
        log::info!(source, revision:%, known:%; "list.older");
        self.dropped += 1;
    }

    /// Records the source and time of the latest change of the list.
    fn record_origin(&mut self, now: units::MonoTime, source: &str) {
        if *self.origin.source != *source {
            self.origin.source = source.into();
        }
        self.origin.since = now;
    }
}

/// Parses the name of an upstream in a key of the store; `None` if it is invalid.
fn parse_upstream_id(name: &str) -> Option<ids::UpstreamId> {
    ids::UpstreamId::of_identifier(name).ok()
}

/// Truncates a text of unknown length for the log.
fn truncated(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_LOGGED_CHARS).map_or(text.len(), |(end, _)| end);
    &text[..end]
}
