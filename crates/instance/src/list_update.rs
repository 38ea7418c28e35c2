//! The list of upstreams and evacuations: what the store and members tell of it.

use std::{collections, time};

use slipturn_core::{ids, store_revision, units, upstream_list, upstream_notice};

use crate::{adapter, fleet_state, list_recovery, packed_bytes};

/// Characters of a name or error from outside that a log line shows.
const MAX_LOGGED: usize = 160;

/// All upstreams and evacuations at a revision of the store.
struct StoreList {
    /// Upstreams by name.
    upstreams: collections::BTreeMap<String, String>,
    /// Evacuated data centres.
    evacuated: collections::BTreeSet<ids::DataCenterId>,
    /// Those of them that another member keeps although its first list of the era lacked them.
    unconfirmed: Vec<ids::DataCenterId>,
    /// The revision.
    revision: store_revision::StoreRevision,
}

impl fleet_state::FleetState {
    pub(crate) fn adopt_list(
        &mut self,
        now: units::MonoTime,
        mut documents: adapter::RawDocuments,
        source: &str,
    ) -> Result<(), packed_bytes::PackError> {
        let revision = documents.revision;
        if revision.is_none() || (revision <= self.raw.revision && self.listed) {
            return Ok(());
        }
        let later_era = self.is_later_era(revision);
        if later_era {
            let upstreams = self.upstreams_of_era(&mut documents);
            self.differs = upstreams.is_err();
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
            self.differs = false;
            let evacuated = documents.evacuated;
            let list = StoreList { upstreams, evacuated, unconfirmed, revision };
            // Within an era this process knows itself what it keeps.
            let recovery = recovery.filter(|_| later_era || !self.listed);
            self.replace_all(now, list, recovery, source);
        } else if self.listed {
            self.take_evacuations(now, documents.evacuated, &unconfirmed, revision, source);
            if documents.skipped {
                self.raw.note_gap(revision);
            }
            self.change_upstreams(now, documents.changes, revision, source);
        }
        Ok(())
    }

    /// Takes over all upstreams and evacuations, as the store has them.
    pub fn replace_list(
        &mut self,
        now: units::MonoTime,
        documents: Vec<(String, String)>,
        evacuated: collections::BTreeSet<ids::DataCenterId>,
        revision: store_revision::StoreRevision,
        source: &str,
    ) {
        if revision < self.list.revision() {
            self.drop_older(revision, source);
            return;
        }
        // Of a key that is there twice the last one holds.
        let upstreams = documents.into_iter().collect();
        let list = StoreList { upstreams, evacuated, unconfirmed: Vec::new(), revision };
        self.replace_all(now, list, None, source);
    }

    /// Takes over all upstreams, and what another member keeps in force beside them.
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
        self.note_origin(now, source);
        self.take_evacuations(now, evacuated, &unconfirmed, revision, source);
        let mut entries = Vec::new();
        let mut unreadable = Vec::new();
        for (name, text) in &mut documents {
            match self.read_entry(name, text) {
                Some(entry) => entries.push(entry),
                None => {
                    text.clear();
                    unreadable.extend(read_name(name).map(upstream_list::ListChange::Unreadable));
                }
            }
        }
        let kept = recovery.iter().flat_map(|recovery| &recovery.kept);
        let kept = kept.filter(|(name, _)| !documents.contains_key(name));
        entries.extend(kept.filter_map(|(name, text)| self.read_entry(name, text)));
        let count = entries.len();
        let replaced = self.list.replace(now, entries, revision);
        if self.list.apply(now, unreadable, revision) || replaced {
            log::info!(source, revision:%, upstreams = count; "list.replaced");
        }
        let known = self.listed;
        let upstreams_before = self.raw.replace(documents, revision, known);
        self.listed = true;
        match recovery {
            Some(recovery) => self.adopt_recovery(now, recovery),
            None if later_era => self.keep_documents(&upstreams_before),
            None => {}
        }
        if later_era {
            self.log_recovery(before, source);
        }
    }

    /// Takes over the data centres under evacuation, and holds those that the list of a later era lacks.
    fn take_evacuations(
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

    /// Replaces the data centres under evacuation.
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

    /// Applies changes of the store.
    pub fn apply(
        &mut self,
        now: units::MonoTime,
        changes: Vec<adapter::StoreChange>,
        revision: store_revision::StoreRevision,
    ) {
        let mut upstreams = Vec::new();
        let mut evacuations = Vec::new();
        for change in changes {
            match change {
                adapter::StoreChange::Put(item) => match self.adapter.key(&item.key) {
                    adapter::StoreKey::Routes => self.put_routes_item(item, "store"),
                    adapter::StoreKey::Upstream(name) => {
                        upstreams.push((name, Some(text_of(item))))
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
                    adapter::StoreKey::Upstream(name) => upstreams.push((name, None)),
                    adapter::StoreKey::Evacuation(data_center) => {
                        evacuations.push(upstream_list::ListChange::Restored(data_center));
                    }
                    adapter::StoreKey::Routes | adapter::StoreKey::Other => {}
                },
            }
        }
        self.change_evacuations(now, evacuations, revision, "store");
        self.change_upstreams(now, upstreams, revision, "store");
    }

    fn change_upstreams(
        &mut self,
        now: units::MonoTime,
        changes: Vec<(String, Option<String>)>,
        revision: store_revision::StoreRevision,
        source: &str,
    ) {
        if revision < self.list.revision() {
            // A late answer; its content must not go to other members as news.
            self.drop_older(revision, source);
            return;
        }
        self.note_origin(now, source);
        // What members have sent already may come again, with older changes: only the last change of
        // each counts, or a start that is long over would seem to be the next one for a moment.
        let mut last_changes = collections::BTreeMap::new();
        let mut list_changes = Vec::new();
        for (name, mut text) in changes {
            let change = self.read_change(&name, text.as_deref(), revision);
            if matches!(change, None | Some(upstream_list::ListChange::Unreadable(_))) {
                // What cannot be read is passed on as that, not as it is: it may be of any size.
                text.as_mut().map(String::clear);
            }
            let untold = matches!(&change, Some(upstream_list::ListChange::Present(entry))
                if entry.name.start().is_none());
            let before = last_changes.insert(name.clone(), change).flatten();
            // An upstream without a start may be listed after one that did only if that one had gone.
            let gone = before.filter(|before| matches!(before, upstream_list::ListChange::Gone(_)));
            list_changes.extend(gone.filter(|_| untold));
            self.raw.change(name, text, revision);
        }
        list_changes.extend(last_changes.into_values().flatten());
        self.list.apply(now, list_changes, revision);
        self.raw.settle(revision);
    }

    /// One change as the list takes it; `None` where its name is none.
    ///
    /// An entry that cannot be read names no upstream to use, also where a good one stood before.
    fn read_change(
        &self,
        name: &str,
        text: Option<&str>,
        revision: store_revision::StoreRevision,
    ) -> Option<upstream_list::ListChange> {
        let Some(text) = text else {
            log::info!(upstream = bounded(name), revision:%; "upstream.unlisted");
            return read_name(name).map(upstream_list::ListChange::Gone);
        };
        let Some(entry) = self.read_entry(name, text) else {
            return read_name(name).map(upstream_list::ListChange::Unreadable);
        };
        if self.list.entry(&entry.name) != Some(&entry) {
            log::info!(
                upstream:% = entry.name, service:% = entry.service, state:? = entry.state,
                revision:%; "upstream.listed"
            );
        }
        Some(upstream_list::ListChange::Present(entry))
    }

    fn read_entry(&self, name: &str, text: &str) -> Option<upstream_list::UpstreamEntry> {
        // One line for each time that such an entry is written, not for each time that it is read.
        let known = self.raw.upstreams.get(name).is_some_and(String::is_empty);
        let read = self.adapter.read_upstream(name, text);
        read.inspect_err(|error| {
            if !known {
                let error = error.to_string();
                log::error!(upstream = bounded(name), error = bounded(&error); "upstream.rejected");
            }
        })
        .ok()
    }

    fn drop_older(&mut self, revision: store_revision::StoreRevision, source: &str) {
        let known = self.list.revision();
        log::info!(source, revision:%, known:%; "list.older");
        self.dropped += 1;
    }

    fn note_origin(&mut self, now: units::MonoTime, source: &str) {
        if *self.origin.source != *source {
            self.origin.source = source.into();
        }
        self.origin.since = now;
    }
}

/// The upstream that a key of the store names; `None` where it names none.
fn read_name(name: &str) -> Option<ids::UpstreamId> {
    ids::UpstreamId::of_identifier(name).ok()
}

/// An item's text; empty, which no entry is, where it cannot be read.
pub(crate) fn text_of(item: adapter::StoreItem) -> String {
    let reject = |error: &adapter::FormatError| {
        log::debug!(key = bounded(&item.key), error:%; "store.item_unreadable");
    };
    item.value.inspect_err(reject).unwrap_or_default()
}

/// The beginning of a text that may be of any length.
fn bounded(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_LOGGED).map_or(text.len(), |(end, _)| end);
    &text[..end]
}
