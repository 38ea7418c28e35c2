//! The list of upstreams: which are usable, which were dropped from the list but may return, and which start of each is the
//! present one. A start is one life of an upstream's process.

use std::{collections, net, sync, time};

use crate::{
    cold_start, fleet_list, ids, list_recovery, start_record, store_revision, units,
    upstream_notice,
};

/// How long upstreams that are dropped from the list right after an outage of its source may still return.
///
/// The source deletes the entry of an upstream whose lease expires during the outage; the upstream rewrites its entry
/// about two seconds after the outage ends.
pub(crate) const RETURN_TIME: time::Duration = time::Duration::from_millis(1_900);
/// Fraction of a service's upstreams beyond which doubtful ones (dropped from the list after an outage, but not removed
/// yet) are still used: an outage of the source is more likely than the simultaneous leaving of that many upstreams.
const OUTAGE_SHARE: f64 = 0.5;
/// How long the starts of an unlisted upstream are remembered: writes of an ended start may arrive seconds late, even after
/// the entry was deleted.
const START_RETENTION: time::Duration = time::Duration::from_secs(30);

/// An entry of the list: an upstream of a service, which may be an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Name of the upstream, with its start if the list names one.
    pub name: ids::UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ids::ServiceId,
    /// Data centre in which the upstream runs; while it is evacuated, the upstream takes no new work.
    pub data_center: ids::DataCenterId,
    /// Address for requests.
    pub address: net::SocketAddrV4,
    /// Number of requests that the upstream processes concurrently.
    pub slots: usize,
    /// Whether the upstream takes new work.
    pub state: fleet_list::ListState,
    /// Remaining length of the upstream's cold phase when the entry was written.
    pub cold: time::Duration,
}

/// A change to the list: to one entry, or to the evacuation of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// An entry is new or changed.
    Present(UpstreamEntry),
    /// The entry of an upstream was deleted.
    Gone(ids::UpstreamId),
    /// The entry of an upstream cannot be used, as another writer has overwritten it.
    Unreadable(ids::UpstreamId),
    /// A data centre is evacuated: none of its upstreams takes new work.
    Evacuated(ids::DataCenterId),
    /// The evacuation of a data centre has ended.
    Restored(ids::DataCenterId),
}

/// A start of an upstream that has ended, as another start has replaced it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedStart {
    /// Name of the upstream, with the ended start.
    pub name: ids::UpstreamId,
    /// Address at which the ended start took requests.
    pub address: net::SocketAddrV4,
    /// Name of the upstream, with the start that has replaced the ended one.
    pub present: ids::UpstreamId,
}

/// This process's view of the list of upstreams.
#[derive(Debug, Default)]
pub struct UpstreamList {
    /// Entries of the present starts, by identifier of the upstream.
    pub(crate) entries: collections::BTreeMap<sync::Arc<str>, UpstreamEntry>,
    /// Starts of upstreams that have restarted or were removed, by identifier; kept for [`START_RETENTION`] after an
    /// upstream was removed from the list.
    pub(crate) starts: collections::BTreeMap<sync::Arc<str>, start_record::StartRecord>,
    /// Upstreams that were dropped from the list and may return, with the time at which they are removed.
    pub(crate) doubtful: collections::BTreeMap<sync::Arc<str>, units::MonoTime>,
    /// Notices that upstreams sent, and leaving notices taken from the list.
    pub(crate) notices: upstream_notice::NoticeTable,
    /// State of the recovery that begins when the list's source is restored from an older copy.
    pub(crate) recovery: list_recovery::ListRecovery,
    /// Cold phases, in which upstreams that have just started may have a limit.
    pub(crate) cold: cold_start::ColdTable,
    /// Evacuated data centres, and when each evacuation became known.
    pub(crate) evacuated: collections::BTreeMap<ids::DataCenterId, units::MonoTime>,
    /// Starts that ended since the last call of [`Self::take_ended_starts`].
    pub(crate) ended: Vec<EndedStart>,
    /// Until when upstreams that are dropped from the list become doubtful instead of being removed at once.
    pub(crate) doubt_until: Option<units::MonoTime>,
    /// Revision of the source that this state belongs to; never decreases.
    pub(crate) revision: store_revision::StoreRevision,
    /// Incremented whenever the set of usable upstreams may have changed.
    pub(crate) changes: u64,
}

impl UpstreamList {
    /// Revision of the source that this state belongs to.
    pub fn revision(&self) -> store_revision::StoreRevision {
        self.revision
    }

    /// Number of changes so far. While it stays the same, so does the set of usable upstreams.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Records that the source answers again after an outage. Upstreams that it drops within `RETURN_TIME` become
    /// doubtful: they are removed only at the end of that time, unless they return.
    pub fn source_returned(&mut self, now: units::MonoTime) {
        self.doubt_until = Some(now + RETURN_TIME);
    }

    /// Number of listed upstreams of a service, usable or not.
    ///
    /// Unlike the number of usable ones it does not change with an evacuation or a leaving upstream.
    pub fn listed_count(&self, service: &ids::ServiceId) -> usize {
        self.entries.values().filter(|entry| entry.service == *service).count()
    }

    /// Removes doubtful upstreams whose time to return is over, drops expired state of a recovery, and makes ended
    /// starts that the list has named for long enough the present ones; returns whether the list changed.
    pub fn tick(&mut self, now: units::MonoTime) -> bool {
        // Goes first, because removing an upstream also discards the ended start that the list names for it.
        let recovered = self.tick_recovery(now);
        let expired: Vec<_> = self
            .doubtful
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(identifier, _)| sync::Arc::clone(identifier))
            .collect();
        for identifier in &expired {
            self.remove(now, identifier);
        }
        let records = self.starts.values_mut();
        let relisted: Vec<_> = records.filter_map(|record| record.take_relisted(now)).collect();
        let changed = !expired.is_empty() || !relisted.is_empty();
        let changed = recovered || changed;
        let entries = &self.entries;
        self.cold.retain(now, |name| {
            entries.get(name.identifier()).is_some_and(|entry| entry.name == *name)
        });
        self.starts.retain(|identifier, record| {
            entries.contains_key(identifier) || now.since(record.known_since) < START_RETENTION
        });
        relisted.into_iter().for_each(|entry| self.set_present_start(now, entry));
        changed
    }

    /// Upstreams of a service that may take new work of any instance: those that are neither known to be leaving, nor withheld
    /// by a recovery, nor in an evacuated data centre. Doubtful ones are included only if they are more than `OUTAGE_SHARE`.
    pub fn usable<'a>(&'a self, service: &'a ids::ServiceId) -> Vec<&'a UpstreamEntry> {
        let live: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.service == *service && self.is_staying(entry))
            .collect();
        let is_certain =
            |entry: &&UpstreamEntry| !self.doubtful.contains_key(entry.name.identifier());
        let certain: Vec<_> = live.iter().copied().filter(is_certain).collect();
        let doubtful_count = live.len() - certain.len();
        if doubtful_count as f64 > live.len() as f64 * OUTAGE_SHARE { live } else { certain }
    }

    /// Whether an upstream may take new work, whichever its present start is; see [`Self::usable`].
    pub fn is_usable(&self, name: &ids::UpstreamId) -> bool {
        let Some(entry) = self.entry(name).filter(|entry| self.is_staying(entry)) else {
            return false;
        };
        // Called for each request and each engine that prefills a part of it, so the other upstreams of the service are only
        // counted for a doubtful one.
        !self.doubtful.contains_key(entry.name.identifier())
            || self.usable(&entry.service).iter().any(|usable| usable.name == entry.name)
    }

    /// Whether an upstream is not known to be leaving, not withheld by a recovery, and not evacuated.
    fn is_staying(&self, entry: &UpstreamEntry) -> bool {
        entry.state == fleet_list::ListState::Live
            && self.notices.leaving(&entry.name).is_none()
            && !self.is_withheld(&entry.name)
            && !self.is_evacuated(entry)
    }

    /// The entry of an upstream, leaving or not, with its present start.
    ///
    /// The start in `name` is ignored. Members may know different starts for some seconds, and a request for another start
    /// means the same upstream and reaches the start that runs.
    pub fn entry(&self, name: &ids::UpstreamId) -> Option<&UpstreamEntry> {
        self.entries.get(name.identifier())
    }

    /// Whether a start of an upstream is the present one.
    pub fn is_present(&self, name: &ids::UpstreamId) -> bool {
        self.entry(name).is_some_and(|entry| entry.name == *name)
    }

    /// Notices that upstreams have sent, and leaving notices of the list.
    pub fn notices(&self) -> &upstream_notice::NoticeTable {
        &self.notices
    }

    /// Records a leaving notice of a start, received `age` ago; returns whether it is new.
    ///
    /// A notice that has expired is ignored unless it is of a present start.
    pub fn receive_leaving(
        &mut self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        source: upstream_notice::NoticeSource,
        age: time::Duration,
    ) -> bool {
        if age >= upstream_notice::NOTICE_MEMORY && !self.is_present(name) {
            return false;
        }
        let is_new = self.notices.receive_leaving(now, name, source, age);
        self.changes += u64::from(is_new);
        is_new
    }

    /// Notices of upstreams, to record backoffs, probes and limits. Leaving notices, which change the usable upstreams, go
    /// through [`Self::receive_leaving`].
    pub fn notices_mut(&mut self) -> &mut upstream_notice::NoticeTable {
        &mut self.notices
    }

    /// Drops notices of starts that have not been listed for long.
    pub fn forget_notices(&mut self, now: units::MonoTime) {
        let entries = &self.entries;
        let listed = |name: &ids::UpstreamId| {
            entries.get(name.identifier()).is_some_and(|entry| entry.name == *name)
        };
        self.notices.retain(now, listed);
    }

    /// The upstream at an address; `None` if several are listed there, or none.
    pub fn name_at(&self, address: net::SocketAddrV4) -> Option<&ids::UpstreamId> {
        let mut entries = self.entries.values().filter(|entry| entry.address == address);
        let name = entries.next().map(|entry| &entry.name);
        name.filter(|_| entries.next().is_none())
    }

    /// Entries of all listed upstreams, usable or not, with their present starts.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values()
    }

    /// Records the start that an upstream reported itself in answer to a query sent at `queried_at`; returns whether it
    /// replaces the present one.
    ///
    /// Two starts can be distinguished but not ordered, as clocks may be wrong, so the source and time of the
    /// information decide. A report that was requested after the present start became known takes precedence over the
    /// list; one requested earlier may come from the previous start. A later entry of the list replaces the present
    /// start; an entry that names an ended start does so only after some seconds, as it may be a late write.
    pub fn update_start(
        &mut self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        start: ids::UpstreamStart,
        queried_at: units::MonoTime,
    ) -> bool {
        let Some(entry) = self.entries.get(name.identifier()) else {
            return false;
        };
        let before = entry.name.start();
        let since = self.starts.get(name.identifier()).map(|record| record.known_since);
        // If the list's entry has no start, there is nothing to compare the reported start with.
        if before.is_none() || since.is_some_and(|since| queried_at < since) {
            return false;
        }
        if before == Some(start) {
            self.clear_relisted(name.identifier());
            return false;
        }
        let present = UpstreamEntry { name: entry.name.with_start(start), ..entry.clone() };
        self.set_present_start(now, present);
        true
    }

    /// Takes the starts that ended since the last call.
    pub fn take_ended_starts(&mut self) -> Vec<EndedStart> {
        std::mem::take(&mut self.ended)
    }
}
