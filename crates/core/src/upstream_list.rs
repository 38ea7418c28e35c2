//! Upstreams as the platform lists them, what is believed of those that vanish from the list, and
//! which start of each is the present one.

use std::{collections, net, sync, time};

use crate::{
    cold_start, fleet_list, ids, list_recovery, start_record, store_revision, units,
    upstream_notice,
};

/// How long upstreams that vanished right after the list's source came back may still return.
///
/// Leases may run out while the source is away; their holders write them again about two seconds
/// after its return.
pub(crate) const RETURN_TIME: time::Duration = time::Duration::from_millis(1_900);
/// Beyond this share of a service vanished at once, the vanished are still used until they are
/// surely gone: the source's own outage is likelier than all of them leaving.
const OUTAGE_SHARE: f64 = 0.5;
/// How long the starts of an upstream that is not listed any more are remembered: writes of one that
/// is over may come seconds late, also after a lapse.
const START_RETENTION: time::Duration = time::Duration::from_secs(30);

/// One upstream of a service, engine or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// This start of it.
    pub name: ids::UpstreamId,
    /// The service it belongs to.
    pub service: ids::ServiceId,
    /// Where it runs.
    pub data_center: ids::DataCenterId,
    /// Where it takes requests.
    pub address: net::SocketAddrV4,
    /// Requests it works on at once.
    pub slots: usize,
    /// Whether it takes new work.
    pub state: fleet_list::ListState,
    /// For how much longer it was cold when it was written.
    pub cold: time::Duration,
}

/// A change to the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// An upstream is there, new or changed.
    Present(UpstreamEntry),
    /// An upstream is gone.
    Gone(ids::UpstreamId),
    /// Its entry is not one that names an upstream to use: somebody else has written there.
    Unreadable(ids::UpstreamId),
    /// A data centre is evacuated: none of its upstreams takes new work.
    Evacuated(ids::DataCenterId),
    /// The evacuation of a data centre is over.
    Restored(ids::DataCenterId),
}

/// A start of an upstream that is over, as another one is the present one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedStart {
    /// The start that is over.
    pub name: ids::UpstreamId,
    /// Where it took requests.
    pub address: net::SocketAddrV4,
    /// The present one.
    pub present: ids::UpstreamId,
}

/// The list as this process believes it.
#[derive(Debug, Default)]
pub struct UpstreamList {
    /// By identifier: of each upstream one start is the present one.
    pub(crate) entries: collections::BTreeMap<sync::Arc<str>, UpstreamEntry>,
    /// Starts of those that have started again, listed now or within [`START_RETENTION`].
    pub(crate) starts: collections::BTreeMap<sync::Arc<str>, start_record::StartRecord>,
    /// Upstreams that vanished and may return, with the time at which they are taken for gone.
    pub(crate) doubtful: collections::BTreeMap<sync::Arc<str>, units::MonoTime>,
    /// What upstreams say of themselves in passing, and that the list says that they leave.
    pub(crate) notices: upstream_notice::NoticeTable,
    /// What stays in force after the source has returned from an older copy.
    pub(crate) recovery: list_recovery::ListRecovery,
    /// Cold starts.
    pub(crate) cold: cold_start::ColdTable,
    /// Evacuated data centres, and when each evacuation became known.
    pub(crate) evacuated: collections::BTreeMap<ids::DataCenterId, units::MonoTime>,
    /// Starts that were found to be over since the last look.
    pub(crate) ended: Vec<EndedStart>,
    /// Until when vanishing is doubted.
    pub(crate) doubt_until: Option<units::MonoTime>,
    /// The source's revision this state belongs to; only ever goes up.
    pub(crate) revision: store_revision::StoreRevision,
    /// Goes up whenever another set of upstreams may be usable.
    pub(crate) changes: u64,
}

impl UpstreamList {
    /// The source's revision of this state.
    pub fn revision(&self) -> store_revision::StoreRevision {
        self.revision
    }

    /// Number of changes so far: while it stays the same, so does what is usable.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Notes that the source answers again after an outage.
    pub fn source_returned(&mut self, now: units::MonoTime) {
        self.doubt_until = Some(now + RETURN_TIME);
    }

    /// Upstreams of a service that are listed, in use or not.
    ///
    /// Unlike the number of usable ones it does not change with an evacuation or a planned end.
    pub fn listed_count(&self, service: &ids::ServiceId) -> usize {
        self.entries.values().filter(|entry| entry.service == *service).count()
    }

    /// Takes doubtful upstreams for gone whose time has come, and starts for present that the list has
    /// named for long although they were taken for over.
    pub fn tick(&mut self, now: units::MonoTime) -> bool {
        // What it removes is not named any more.
        let recovered = self.tick_recovery(now);
        let gone: Vec<_> = self
            .doubtful
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(identifier, _)| sync::Arc::clone(identifier))
            .collect();
        for identifier in &gone {
            self.remove(now, identifier);
        }
        let records = self.starts.values_mut();
        let named: Vec<_> = records.filter_map(|record| record.take_relisted(now)).collect();
        let changed = !gone.is_empty() || !named.is_empty();
        let changed = recovered || changed;
        let entries = &self.entries;
        self.cold.retain(now, |name| {
            entries.get(name.identifier()).is_some_and(|entry| entry.name == *name)
        });
        self.starts.retain(|identifier, record| {
            entries.contains_key(identifier) || now.since(record.known_since) < START_RETENTION
        });
        named.into_iter().for_each(|entry| self.set_present_start(now, entry));
        changed
    }

    /// Upstreams of a service that may take new work, as far as all instances are concerned: neither the list
    /// nor they themselves say that they leave, and their data centre is not evacuated.
    pub fn usable<'a>(&'a self, service: &'a ids::ServiceId) -> Vec<&'a UpstreamEntry> {
        let live: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.service == *service && self.is_staying(entry))
            .collect();
        let is_certain =
            |entry: &&UpstreamEntry| !self.doubtful.contains_key(entry.name.identifier());
        let certain: Vec<_> = live.iter().copied().filter(is_certain).collect();
        let vanished = live.len() - certain.len();
        if vanished as f64 > live.len() as f64 * OUTAGE_SHARE { live } else { certain }
    }

    /// Whether an upstream may still be sent a request, whichever its present start is.
    pub fn is_usable(&self, name: &ids::UpstreamId) -> bool {
        let Some(entry) = self.entry(name).filter(|entry| self.is_staying(entry)) else {
            return false;
        };
        // Asked for each request and each engine that reads a part of it; only doubt needs all the others.
        !self.doubtful.contains_key(entry.name.identifier())
            || self.usable(&entry.service).iter().any(|usable| usable.name == entry.name)
    }

    /// Whether an upstream is not known to leave, and its data centre is not evacuated.
    fn is_staying(&self, entry: &UpstreamEntry) -> bool {
        entry.state == fleet_list::ListState::Live
            && self.notices.leaving(&entry.name).is_none()
            && !self.is_withheld(&entry.name)
            && !self.is_evacuated(entry)
    }

    /// One upstream, leaving or not, with its present start.
    ///
    /// Members may know different starts for some seconds. Whoever is sent to another start than
    /// it knows means the same upstream, and reaches the one that runs.
    pub fn entry(&self, name: &ids::UpstreamId) -> Option<&UpstreamEntry> {
        self.entries.get(name.identifier())
    }

    /// Whether a start of an upstream is the present one.
    pub fn is_present(&self, name: &ids::UpstreamId) -> bool {
        self.entry(name).is_some_and(|entry| entry.name == *name)
    }

    /// What upstreams have said.
    pub fn notices(&self) -> &upstream_notice::NoticeTable {
        &self.notices
    }

    /// Takes in that a start says that it leaves; returns whether that is news.
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
        let news = self.notices.receive_leaving(now, name, source, age);
        self.changes += u64::from(news);
        news
    }

    /// What upstreams have said, to take in what concerns this instance alone.
    pub fn notices_mut(&mut self) -> &mut upstream_notice::NoticeTable {
        &mut self.notices
    }

    /// Forgets what was said by starts that have not been listed for long.
    pub fn forget_notices(&mut self, now: units::MonoTime) {
        let entries = &self.entries;
        let listed = |name: &ids::UpstreamId| {
            entries.get(name.identifier()).is_some_and(|entry| entry.name == *name)
        };
        self.notices.retain(now, listed);
    }

    /// The upstream at an address, where only one is listed there.
    pub fn name_at(&self, address: net::SocketAddrV4) -> Option<&ids::UpstreamId> {
        let mut there = self.entries.values().filter(|entry| entry.address == address);
        let name = there.next().map(|entry| &entry.name);
        name.filter(|_| there.next().is_none())
    }

    /// All upstreams.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values()
    }

    /// Records which start an upstream itself reported, asked at `asked`; returns whether it is another
    /// than the one believed to be present.
    ///
    /// Starts say other, not newer, as clocks may be wrong. The source and its time decide:
    /// the upstream's own report, asked for after the present start became known, is true whatever
    /// the list said; one that was on its way already may be of the start before. The list's newer
    /// word replaces the present one; a start that is over must be named for some seconds, as a write
    /// of it may be late.
    pub fn update_start(
        &mut self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        start: ids::UpstreamStart,
        asked: units::MonoTime,
    ) -> bool {
        let Some(entry) = self.entries.get(name.identifier()) else {
            return false;
        };
        let before = entry.name.start();
        let since = self.starts.get(name.identifier()).map(|record| record.known_since);
        // Where the list has no starts, there is nothing to compare with.
        if before.is_none() || since.is_some_and(|since| asked < since) {
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

    /// Starts that were found to be over since the last call.
    pub fn take_ended(&mut self) -> Vec<EndedStart> {
        std::mem::take(&mut self.ended)
    }
}
