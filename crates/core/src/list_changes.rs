//! Applies changes to the list of upstreams: determines the present start of each upstream, and removes upstreams.
//!
//! A start is one life of an upstream's process. An era is a generation of the history of the list's source, and a
//! later one begins when the source is restored from an older copy.

use std::{collections, sync, time};

use crate::{fleet_list, ids, store_revision, units, upstream_list, upstream_notice};

impl upstream_list::UpstreamList {
    /// Applies the changes up to a revision; returns whether the list changed. An older revision is ignored.
    pub fn apply(
        &mut self,
        now: units::MonoTime,
        changes: Vec<upstream_list::ListChange>,
        revision: store_revision::StoreRevision,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        self.advance(now, revision);
        let mut changed = false;
        for change in changes {
            changed |= match change {
                upstream_list::ListChange::Present(entry) => {
                    self.recovery.confirm(&entry.name);
                    self.apply_entry(now, entry)
                }
                upstream_list::ListChange::Gone(name) => {
                    self.recovery.confirm(&name);
                    self.apply_gone(now, &name)
                }
                upstream_list::ListChange::Unreadable(name) => self.remove(now, name.identifier()),
                upstream_list::ListChange::Evacuated(data_center) => {
                    self.evacuate(now, data_center)
                }
                upstream_list::ListChange::Restored(data_center) => {
                    self.recovery.evacuated.remove(&data_center);
                    self.restore(now, &data_center)
                }
            };
        }
        changed
    }

    /// Sets the revision of the list. A revision of a later era than the previous one begins a recovery.
    fn advance(&mut self, now: units::MonoTime, revision: store_revision::StoreRevision) {
        if !self.revision.is_none() && self.revision.era < revision.era {
            self.enter_era(now);
        }
        self.revision = revision;
    }

    /// Replaces the whole list, as after a gap in the history of changes; returns whether it changed.
    ///
    /// An older revision is ignored.
    pub fn replace(
        &mut self,
        now: units::MonoTime,
        entries: Vec<upstream_list::UpstreamEntry>,
        revision: store_revision::StoreRevision,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        self.advance(now, revision);
        let listed: collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.name.identifier()).collect();
        let known = self.entries.iter().filter(|(identifier, _)| !listed.contains(&***identifier));
        let missing: Vec<_> = known.map(|(_, entry)| entry.name.clone()).collect();
        let unlisted =
            self.starts.iter_mut().filter(|(identifier, _)| !listed.contains(&***identifier));
        unlisted.for_each(|(_, record)| record.clear_relisted());
        if self.recovery.pending {
            self.recover(now, entries, missing);
            return true;
        }
        let mut changed = false;
        for entry in entries {
            self.recovery.note_listed(&entry.name);
            changed |= self.apply_entry(now, entry);
        }
        // Upstreams that are kept although the first list of this era lacked them are missing from its later lists as
        // well.
        let gone: Vec<_> = missing.iter().filter(|name| !self.recovery.is_kept(name)).collect();
        for name in gone {
            changed |= self.apply_gone(now, name);
        }
        changed
    }

    /// Applies an entry of the list; returns whether the list changed.
    pub(crate) fn apply_entry(
        &mut self,
        now: units::MonoTime,
        entry: upstream_list::UpstreamEntry,
    ) -> bool {
        let identifier = entry.name.identifier();
        self.apply_listed_state(now, &entry);
        let known = self.entries.get(identifier).map(|known| &known.name);
        if known == Some(&entry.name) {
            return self.update_present(now, entry);
        }
        let is_other_start = known.is_some();
        if is_other_start && entry.name.start().is_none() {
            // An upstream that has written its start once always does, so another writer wrote this entry.
            return self.remove(now, identifier);
        }
        let record = self.starts.get_mut(identifier);
        if let Some(record) = record.filter(|record| record.is_ended(entry.name.start())) {
            record.note_relisted(now, entry);
            return false;
        }
        self.doubtful.remove(identifier);
        self.set_present_start(now, entry);
        true
    }

    /// Records whether the list declares a start live or leaving.
    fn apply_listed_state(&mut self, now: units::MonoTime, entry: &upstream_list::UpstreamEntry) {
        match entry.state {
            fleet_list::ListState::Live => self.notices.receive_live(&entry.name),
            fleet_list::ListState::Leaving => {
                let source = upstream_notice::NoticeSource::List;
                self.notices.receive_leaving(now, &entry.name, source, time::Duration::ZERO);
            }
        }
    }

    /// Replaces the entry of the present start; returns whether the list changed.
    fn update_present(
        &mut self,
        now: units::MonoTime,
        entry: upstream_list::UpstreamEntry,
    ) -> bool {
        let identifier = entry.name.identifier();
        self.clear_relisted(identifier);
        let returned = self.doubtful.remove(identifier).is_some();
        let before = self.entries.insert(identifier.into(), entry.clone());
        // `cold` is the remaining length of the cold phase when the entry was written, so reading an unchanged value
        // again must not restart the phase.
        if before.as_ref().is_some_and(|before| before.cold != entry.cold) {
            self.cold.set(now, &entry.name, &entry.service, Some(entry.cold));
        }
        let changed = returned || before.as_ref() != Some(&entry);
        self.changes += u64::from(changed);
        changed
    }

    /// Makes the start of `entry` the present one of its upstream, which may be new to the list.
    pub(crate) fn set_present_start(
        &mut self,
        now: units::MonoTime,
        entry: upstream_list::UpstreamEntry,
    ) {
        let identifier: sync::Arc<str> = entry.name.identifier().into();
        let present = entry.name.clone();
        self.cold.set(now, &entry.name, &entry.service, Some(entry.cold));
        let before = self.entries.insert(sync::Arc::clone(&identifier), entry);
        if before.is_some() || self.starts.contains_key(&identifier) {
            let ended = before.as_ref().and_then(|before| before.name.start());
            self.starts.entry(identifier).or_default().replace(now, ended, present.start());
        }
        self.ended.extend(before.map(|before| upstream_list::EndedStart {
            name: before.name,
            address: before.address,
            present,
        }));
        self.changes += 1;
    }

    /// Handles the deletion of an entry; returns whether the list changed. If the list's source has just returned from
    /// an outage and the upstream was not leaving, the upstream only becomes doubtful: it is removed unless it is
    /// listed again in time.
    fn apply_gone(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        self.clear_relisted(name.identifier());
        let Some((identifier, entry)) = self.entries.get_key_value(name.identifier()) else {
            return false;
        };
        let leaving = entry.state == fleet_list::ListState::Leaving;
        let Some(until) = self.doubt_until.filter(|until| now < *until && !leaving) else {
            return self.remove(now, name.identifier());
        };
        self.doubtful.entry(sync::Arc::clone(identifier)).or_insert(until);
        self.changes += 1;
        true
    }

    /// Discards the ended start of an upstream that the list names again, if any, so that it does not become the
    /// present one.
    pub(crate) fn clear_relisted(&mut self, identifier: &str) {
        if let Some(record) = self.starts.get_mut(identifier) {
            record.clear_relisted();
        }
    }

    /// Removes an upstream from the list; returns whether it was listed.
    pub(crate) fn remove(&mut self, now: units::MonoTime, identifier: &str) -> bool {
        self.doubtful.remove(identifier);
        self.clear_relisted(identifier);
        let Some((identifier, removed)) = self.entries.remove_entry(identifier) else {
            return false;
        };
        self.recovery.note_removed(now, &removed.name);
        if let Some(start) = removed.name.start() {
            self.starts.entry(identifier).or_default().note_unlisted(now, start);
        }
        self.changes += 1;
        true
    }
}
