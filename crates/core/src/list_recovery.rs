//! Recovery: keeps recent changes of the list in force after its source was restored from an older copy, which begins a
//! new era.
//!
//! The copy lacks the last changes, which their writers repeat within seconds. Until then the list alone would name upstreams
//! as ready that have left, lack new ones, and lack evacuations.

use std::{collections, sync, time};

use crate::{fleet_list, ids, start_record, store_revision, units, upstream_list, upstream_notice};

/// How long removed starts are remembered; a restored copy is some seconds old.
const REMOVED_MEMORY: time::Duration = time::Duration::from_secs(60);
/// Most removed starts remembered, some 100 bytes each; beyond that the oldest are forgotten.
const MAX_REMOVED: usize = 2_048;
/// Default of [`ListRecovery::rewrite_time`].
const REWRITE_TIME: time::Duration = time::Duration::from_millis(5_600);

/// State of a recovery, carried over from the previous era.
#[derive(Debug)]
pub(crate) struct ListRecovery {
    /// When the present era became known; `None` in the first era, and once the recovery has ended.
    pub(crate) since: Option<units::MonoTime>,
    /// Whether the first list of the present era has not been applied yet.
    pub(crate) pending: bool,
    /// Time after the present era became known by which each valid entry has been rewritten by its upstream.
    pub(crate) rewrite_time: time::Duration,
    /// Identifiers of upstreams that stay in use although the restored copy lacks them.
    pub(crate) kept: collections::BTreeSet<sync::Arc<str>>,
    /// Starts that had been removed and that the restored copy lists again; they get no new work during the recovery.
    pub(crate) withheld: collections::BTreeSet<ids::UpstreamId>,
    /// Data centres that stay evacuated although the restored copy does not list the evacuation.
    pub(crate) evacuated: collections::BTreeSet<ids::DataCenterId>,
    /// Recently removed starts, with the time of removal.
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

    /// Records a change to an upstream in the present era, which shows that its entry was rewritten or deleted after the
    /// era began.
    pub(crate) fn confirm(&mut self, name: &ids::UpstreamId) {
        self.removed.remove(name);
        self.kept.remove(name.identifier());
        self.withheld.remove(name);
    }

    /// Records that a complete read of the list names a start, which does not show whether its entry was rewritten in the
    /// present era.
    pub(crate) fn note_listed(&mut self, name: &ids::UpstreamId) {
        self.kept.remove(name.identifier());
        if !self.withheld.contains(name) {
            self.removed.remove(name);
        }
    }

    /// Whether an upstream stays in use although the list, restored from an older copy, lacks it.
    pub(crate) fn is_kept(&self, name: &ids::UpstreamId) -> bool {
        self.kept.contains(name.identifier())
    }

    /// Whether a start was recently removed from the list.
    pub(crate) fn is_removed(&self, name: &ids::UpstreamId) -> bool {
        self.removed.contains_key(name)
    }

    /// Whether `limit` has passed since the present era became known.
    fn is_past(&self, now: units::MonoTime, limit: time::Duration) -> bool {
        self.since.is_some_and(|since| now.since(since) >= limit)
    }
}

/// State of a recovery that instances send each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveryState {
    /// When the present era became known.
    pub since: units::MonoTime,
    /// Identifiers of upstreams that stay in use although the restored copy lacks them.
    pub kept: Vec<sync::Arc<str>>,
    /// Starts that had been removed and that the restored copy lists again; they get no new work during the recovery.
    pub withheld: Vec<ids::UpstreamId>,
    /// Data centres that stay evacuated although the restored copy does not list the evacuation.
    pub evacuated: Vec<ids::DataCenterId>,
}

impl upstream_list::UpstreamList {
    /// Sets the time after an era became known by which each valid entry has been rewritten.
    pub fn set_rewrite_time(&mut self, span: time::Duration) {
        self.recovery.rewrite_time = span;
    }

    /// When the era of the recovery in progress became known; `None` without a recovery, and until the first list of
    /// that era has been read.
    pub fn recovering_since(&self) -> Option<units::MonoTime> {
        self.recovery.since.filter(|_| !self.recovery.pending)
    }

    /// State of the recovery in progress; `None` without a recovery, and until the first list of its era has been read.
    pub fn recovery(&self) -> Option<RecoveryState> {
        let since = self.recovering_since()?;
        Some(RecoveryState {
            since,
            kept: self.recovery.kept.iter().cloned().collect(),
            withheld: self.recovery.withheld.iter().cloned().collect(),
            evacuated: self.recovery.evacuated.iter().cloned().collect(),
        })
    }

    /// Whether a recovery is in progress, even if the first list of its era has not been read yet.
    pub fn is_recovering(&self) -> bool {
        self.recovery.since.is_some()
    }

    /// How the recovery in progress treats an upstream, for operators; empty if it does not concern the upstream.
    pub fn recovery_label(&self, name: &ids::UpstreamId) -> &'static str {
        if self.is_withheld(name) {
            "withheld"
        } else if self.recovery.is_kept(name) {
            "kept"
        } else {
            ""
        }
    }

    /// Enters an era of the source that became known at `since`; the first list of that era is expected next.
    ///
    /// Leaving notices of the previous era's list become final, as the copy may be older than them.
    pub(crate) fn enter_era(&mut self, since: units::MonoTime) {
        self.recovery.since = Some(since);
        self.recovery.pending = true;
        self.notices.finalize_listed();
    }

    /// Adopts the recovery of another instance. The list that the other instance sent with it must have been applied
    /// before.
    ///
    /// Upstreams that this instance has kept and the other instance does not keep are removed.
    pub fn adopt_recovery(&mut self, now: units::MonoTime, state: RecoveryState) {
        self.recovery.since = Some(state.since);
        let before = std::mem::take(&mut self.recovery.kept);
        self.recovery.kept = state.kept.into_iter().collect();
        let dropped: Vec<_> = before.difference(&self.recovery.kept).cloned().collect();
        dropped.iter().for_each(|identifier| _ = self.remove(now, identifier));
        self.recovery.withheld.extend(state.withheld);
        self.recovery.evacuated.extend(state.evacuated);
        self.changes += 1;
    }

    /// Applies the first list of an era, which lacks the upstreams in `missing`.
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

    /// Whether a start in the restored copy is earlier than the present one. Starts are timestamps of clocks that may
    /// be wrong; a start wrongly considered a former one becomes the present one after the delay of
    /// [`Self::note_former_start`].
    fn is_former_start(&self, name: &ids::UpstreamId) -> bool {
        let present = self.entry(name).map(|entry| &entry.name);
        name.start().is_some() && present.is_some_and(|present| name.start() < present.start())
    }

    /// Records that the restored copy names a former start of an upstream. It becomes the present start after the
    /// rewrite time, unless the list drops it, or the list or the upstream itself names the present start again before.
    fn note_former_start(&mut self, now: units::MonoTime, entry: upstream_list::UpstreamEntry) {
        let delay = self.recovery.rewrite_time.saturating_sub(start_record::RELISTED_TIME);
        let record = self.starts.entry(entry.name.identifier().into()).or_default();
        record.note_relisted(now + delay, entry);
    }

    /// Returns the evacuations in force once a list of this revision, with the evacuations `listed`, is applied. An
    /// earlier evacuation that the first list of an era lacks stays in force until it is rewritten or the recovery
    /// ends.
    ///
    /// `unconfirmed` are the evacuations in `listed` that the sender of the list, another instance, keeps in force only
    /// because it has not seen them rewritten in this era.
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
        let is_pending =
            |name: &ids::DataCenterId| !listed.contains(name) || unconfirmed.contains(name);
        self.recovery.evacuated.retain(is_pending);
        if first || later_era || self.recovery.since.is_some() {
            let unknown = unconfirmed.iter().filter(|name| !self.evacuated.contains_key(*name));
            self.recovery.evacuated.extend(unknown.cloned());
        }
        let mut in_force = listed;
        in_force.retain(|name| !unconfirmed.contains(name));
        in_force.extend(self.recovery.evacuated.iter().cloned());
        in_force
    }

    /// Records that an evacuation has been rewritten in the present era.
    pub fn confirm_evacuation(&mut self, data_center: &ids::DataCenterId) {
        self.recovery.evacuated.remove(data_center);
    }

    /// Drops state of the recovery that has expired; returns whether that changed the list.
    pub(crate) fn tick_recovery(&mut self, now: units::MonoTime) -> bool {
        let recovery = &mut self.recovery;
        recovery.removed.retain(|_, at| now.since(*at) < REMOVED_MEMORY);
        let mut changed = false;
        if recovery.is_past(now, upstream_list::RETURN_TIME) {
            let expired = std::mem::take(&mut recovery.kept);
            changed |= !expired.is_empty();
            expired.iter().for_each(|identifier| _ = self.remove(now, identifier));
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

    /// Whether a start gets no new work during a recovery, as it had been removed before the list's source was restored
    /// from an older copy that lists it.
    pub fn is_withheld(&self, name: &ids::UpstreamId) -> bool {
        self.recovery.withheld.contains(name)
    }

    /// Starts that are known to leave although the list names them as ready or lacks them, to be sent to instances that
    /// know only the restored copy.
    pub fn relisted_leaving(
        &self,
    ) -> impl Iterator<Item = (&ids::UpstreamId, upstream_notice::LeavingNotice)> {
        self.notices().final_leaving().filter(|(name, _)| {
            let entry = self.entry(name);
            entry.is_none_or(|entry| entry.state == fleet_list::ListState::Live)
        })
    }
}
