//! What stays in force of a list after its source has returned from an older copy, until it is written again.
//!
//! The copy lacks the last changes. Its writers make them again within seconds; until then the list would name upstreams as
//! ready that have left, lack new ones, and lack evacuations.

use std::{collections, sync, time};

use crate::{fleet_list, ids, start_record, store_revision, units, upstream_list, upstream_notice};

/// How long removed starts are remembered; a copy is some seconds old.
const REMOVED_MEMORY: time::Duration = time::Duration::from_secs(60);
/// Most of them, some 100 bytes each; beyond that the oldest are forgotten.
const MAX_REMOVED: usize = 2_048;
/// Default of [`ListRecovery::rewrite_time`].
const REWRITE_TIME: time::Duration = time::Duration::from_millis(5_600);

/// State carried over from the era before.
#[derive(Debug)]
pub(crate) struct ListRecovery {
    /// When the present era became known; `None` in the first era, and once the recovery has ended.
    pub(crate) since: Option<units::MonoTime>,
    /// Whether the list of the present era has not been taken over yet.
    pub(crate) pending: bool,
    /// Time after which an entry that still stands has been renewed by its upstream in the present era.
    pub(crate) rewrite_time: time::Duration,
    /// Identifiers of upstreams in use that the copy lacks.
    pub(crate) kept: collections::BTreeSet<sync::Arc<str>>,
    /// Starts that had been removed and that the copy lists: not in use.
    pub(crate) withheld: collections::BTreeSet<ids::UpstreamId>,
    /// Evacuated data centres that the copy does not list.
    pub(crate) evacuated: collections::BTreeSet<ids::DataCenterId>,
    /// Starts that were removed, and when.
    removed: collections::BTreeMap<ids::UpstreamId, units::MonoTime>,
}

impl Default for ListRecovery {
    fn default() -> Self {
        Self {
            since: None,
            pending: false,
            rewrite_time: REWRITE_TIME,
            kept: collections::BTreeSet::new(),
            withheld: collections::BTreeSet::new(),
            evacuated: collections::BTreeSet::new(),
            removed: collections::BTreeMap::new(),
        }
    }
}

impl ListRecovery {
    /// Records that a start was removed from the list.
    pub(crate) fn note_removed(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        if self.removed.len() >= MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|oldest| self.removed.remove(&oldest));
        }
        self.removed.insert(name.clone(), now);
    }

    /// Records a change of the present era to an upstream: its entry has been written again.
    pub(crate) fn confirm(&mut self, name: &ids::UpstreamId) {
        self.removed.remove(name);
        self.kept.remove(name.identifier());
        self.withheld.remove(name);
    }

    /// Records that a list read as a whole names a start, which does not tell whether its entry has been written again.
    pub(crate) fn note_listed(&mut self, name: &ids::UpstreamId) {
        self.kept.remove(name.identifier());
        if !self.withheld.contains(name) {
            self.removed.remove(name);
        }
    }

    /// Whether an upstream is in use although the copy lacks it.
    pub(crate) fn is_kept(&self, name: &ids::UpstreamId) -> bool {
        self.kept.contains(name.identifier())
    }

    pub(crate) fn is_removed(&self, name: &ids::UpstreamId) -> bool {
        self.removed.contains_key(name)
    }

    /// Whether `limit` has passed since the present era became known.
    fn is_past(&self, now: units::MonoTime, limit: time::Duration) -> bool {
        self.since.is_some_and(|since| now.since(since) >= limit)
    }
}

/// A recovery as one instance passes it on to another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveryState {
    /// When the present era became known.
    pub since: units::MonoTime,
    /// Identifiers of upstreams in use that the copy lacks.
    pub kept: Vec<sync::Arc<str>>,
    /// Starts that the copy lists and that are not in use.
    pub withheld: Vec<ids::UpstreamId>,
    /// Evacuated data centres that the copy does not list.
    pub evacuated: Vec<ids::DataCenterId>,
}

impl upstream_list::UpstreamList {
    /// Sets the time after which an entry that still stands has been renewed in the present era.
    pub fn set_rewrite_time(&mut self, span: time::Duration) {
        self.recovery.rewrite_time = span;
    }

    /// When the era of the recovery in progress became known.
    pub fn recovering_since(&self) -> Option<units::MonoTime> {
        self.recovery.since.filter(|_| !self.recovery.pending)
    }

    /// The recovery in progress.
    pub fn recovery(&self) -> Option<RecoveryState> {
        let since = self.recovering_since()?;
        Some(RecoveryState {
            since,
            kept: self.recovery.kept.iter().cloned().collect(),
            withheld: self.recovery.withheld.iter().cloned().collect(),
            evacuated: self.recovery.evacuated.iter().cloned().collect(),
        })
    }

    /// Whether a recovery is in progress.
    pub fn is_recovering(&self) -> bool {
        self.recovery.since.is_some()
    }

    /// What the recovery in progress does with an upstream, for operators.
    pub fn recovery_label(&self, name: &ids::UpstreamId) -> &'static str {
        if self.is_withheld(name) {
            "withheld"
        } else if self.recovery.is_kept(name) {
            "kept"
        } else {
            ""
        }
    }

    /// Enters an era of the source that became known at `since`; its list is expected next.
    ///
    /// What the list of the era before said of leaving becomes final: the copy may be of before.
    pub(crate) fn enter_era(&mut self, since: units::MonoTime) {
        self.recovery.since = Some(since);
        self.recovery.pending = true;
        self.notices.finalize_listed();
    }

    /// Takes over a recovery of another instance, after the list that belongs to it.
    ///
    /// Upstreams that the copy lacks and that the other does not keep are removed.
    pub fn adopt_recovery(&mut self, now: units::MonoTime, state: RecoveryState) {
        self.recovery.since = Some(state.since);
        let others = std::mem::take(&mut self.recovery.kept);
        self.recovery.kept = state.kept.into_iter().collect();
        let dropped: Vec<_> = others.difference(&self.recovery.kept).cloned().collect();
        dropped.iter().for_each(|identifier| _ = self.remove(now, identifier));
        self.recovery.withheld.extend(state.withheld);
        self.recovery.evacuated.extend(state.evacuated);
        self.changes += 1;
    }

    /// Takes over the first list of an era, which lacks the upstreams in `missing`.
    pub(crate) fn recover(
        &mut self,
        now: units::MonoTime,
        entries: Vec<upstream_list::UpstreamEntry>,
        missing: Vec<ids::UpstreamId>,
    ) {
        self.recovery.pending = false;
        for name in missing {
            let entry = self.entry(&name);
            if entry.is_some_and(|entry| entry.state == fleet_list::ListState::Live) {
                self.recovery.kept.insert(name.identifier().into());
            } else {
                self.remove(now, name.identifier());
            }
        }
        for entry in entries {
            self.recovery.kept.remove(entry.name.identifier());
            if self.is_former_start(&entry.name) {
                self.note_former_start(now, entry);
                continue;
            }
            if self.recovery.is_removed(&entry.name) {
                self.recovery.withheld.insert(entry.name.clone());
            }
            self.apply_entry(now, entry);
        }
        self.changes += 1;
    }

    /// Whether the copy names a start of an upstream that is before the present one. Starts are times of clocks that may
    /// be wrong: one that is taken for a former one in error becomes the present one later.
    fn is_former_start(&self, name: &ids::UpstreamId) -> bool {
        let present = self.entry(name).map(|entry| &entry.name);
        name.start().is_some() && present.is_some_and(|present| name.start() < present.start())
    }

    /// Records that the copy names a former start of an upstream. It becomes the present one unless the present one is written
    /// again.
    fn note_former_start(&mut self, now: units::MonoTime, entry: upstream_list::UpstreamEntry) {
        let patience = self.recovery.rewrite_time.saturating_sub(start_record::RELISTED_TIME);
        let record = self.starts.entry(entry.name.identifier().into()).or_default();
        record.note_relisted(now + patience, entry);
    }

    /// Evacuations in force after a list of this revision that names the `listed` ones: also those that the first list of
    /// an era lacks, until they are written again or the recovery ends.
    ///
    /// The `unconfirmed` ones of the listed are kept by another instance for that reason alone.
    pub fn merge_evacuations(
        &mut self,
        revision: store_revision::StoreRevision,
        listed: collections::BTreeSet<ids::DataCenterId>,
        unconfirmed: &[ids::DataCenterId],
    ) -> collections::BTreeSet<ids::DataCenterId> {
        let first = self.revision().is_none();
        let later_era = !first && self.revision().era < revision.era;
        if later_era {
            self.recovery.evacuated = self.evacuated.keys().cloned().collect();
        }
        let is_open =
            |name: &ids::DataCenterId| !listed.contains(name) || unconfirmed.contains(name);
        self.recovery.evacuated.retain(is_open);
        if first || later_era || self.recovery.since.is_some() {
            let unknown = unconfirmed.iter().filter(|name| !self.evacuated.contains_key(*name));
            self.recovery.evacuated.extend(unknown.cloned());
        }
        let mut in_force = listed;
        in_force.retain(|name| !unconfirmed.contains(name));
        in_force.extend(self.recovery.evacuated.iter().cloned());
        in_force
    }

    /// Records that an evacuation has been written again in the present era.
    pub fn confirm_evacuation(&mut self, data_center: &ids::DataCenterId) {
        self.recovery.evacuated.remove(data_center);
    }

    /// Ends what is due of a recovery; returns whether that changed anything.
    pub(crate) fn tick_recovery(&mut self, now: units::MonoTime) -> bool {
        let recovery = &mut self.recovery;
        recovery.removed.retain(|_, at| now.since(*at) < REMOVED_MEMORY);
        let mut changed = false;
        if recovery.is_past(now, upstream_list::RETURN_TIME) {
            let lapsed = std::mem::take(&mut recovery.kept);
            changed |= !lapsed.is_empty();
            lapsed.iter().for_each(|identifier| _ = self.remove(now, identifier));
        }
        let recovery = &mut self.recovery;
        if recovery.is_past(now, recovery.rewrite_time) {
            recovery.since = None;
            let withheld = std::mem::take(&mut recovery.withheld);
            let evacuated = std::mem::take(&mut recovery.evacuated);
            changed |= !withheld.is_empty() || !evacuated.is_empty();
            self.changes += u64::from(!withheld.is_empty());
            evacuated.iter().for_each(|data_center| _ = self.restore(now, data_center));
        }
        changed
    }

    /// Whether a start is not in use because it had been removed before the source returned from a copy.
    pub fn is_withheld(&self, name: &ids::UpstreamId) -> bool {
        self.recovery.withheld.contains(name)
    }

    /// Starts that the list names as ready and that are known to leave, for instances that read the copy alone.
    pub fn relisted_leaving(
        &self,
    ) -> impl Iterator<Item = (&ids::UpstreamId, upstream_notice::LeavingNotice)> {
        self.notices().final_leaving().filter(|(name, _)| {
            let entry = self.entry(name);
            entry.is_none_or(|entry| entry.state == fleet_list::ListState::Live)
        })
    }
}
