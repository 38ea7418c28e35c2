//! Upstreams as the platform lists them, and what is believed of those that vanish from the list.

use std::{collections, net, time};

use crate::{fleet_list, ids, units};

/// How long upstreams that vanished right after the list's source came back may still return.
///
/// Leases may run out while the source is away; their holders write them again about two seconds
/// after its return.
const RETURN_TIME: time::Duration = time::Duration::from_millis(1_900);
/// Beyond this share of a service vanished at once, the vanished are still used until they are
/// surely gone: the source's own outage is likelier than all of them leaving.
const DOUBT_SHARE: f64 = 0.5;

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
}

/// A change to the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// An upstream is there, new or changed.
    Present(UpstreamEntry),
    /// An upstream is gone.
    Gone(ids::UpstreamId),
}

/// The list as this process believes it.
#[derive(Debug, Default)]
pub struct UpstreamList {
    entries: collections::BTreeMap<ids::UpstreamId, UpstreamEntry>,
    /// Upstreams that vanished and may return, with the time at which they are taken for gone.
    doubtful: collections::BTreeMap<ids::UpstreamId, units::MonoTime>,
    /// Until when vanishing is doubted.
    doubt_until: Option<units::MonoTime>,
    /// The source's revision this state belongs to; only ever goes up.
    revision: u64,
    /// Goes up whenever another set of upstreams may be usable.
    changes: u64,
}

impl UpstreamList {
    /// The source's revision of this state.
    pub fn revision(&self) -> u64 {
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

    /// Applies changes; returns whether any mattered.
    pub fn apply(&mut self, now: units::MonoTime, changes: Vec<ListChange>, revision: u64) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        let mut changed = false;
        for change in changes {
            changed |= match change {
                ListChange::Present(entry) => self.put(entry),
                ListChange::Gone(name) => self.vanish(now, name),
            };
        }
        changed
    }

    /// Replaces the whole list, as after a gap in the history of changes.
    pub fn replace(
        &mut self,
        now: units::MonoTime,
        entries: Vec<UpstreamEntry>,
        revision: u64,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let listed: collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.name.clone()).collect();
        let missing: Vec<_> =
            self.entries.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        let mut changes: Vec<_> = entries.into_iter().map(ListChange::Present).collect();
        changes.extend(missing.into_iter().map(ListChange::Gone));
        self.apply(now, changes, revision)
    }

    /// Takes doubtful upstreams for gone whose time has come.
    pub fn tick(&mut self, now: units::MonoTime) -> bool {
        let gone: Vec<_> = self
            .doubtful
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.doubtful.remove(name);
            self.entries.remove(name);
        }
        self.changes += gone.len() as u64;
        !gone.is_empty()
    }

    /// Upstreams of a service that may take new work.
    pub fn usable<'a>(&'a self, service: &'a ids::ServiceId) -> Vec<&'a UpstreamEntry> {
        let live: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.service == *service)
            .filter(|entry| entry.state == fleet_list::ListState::Live)
            .collect();
        let certain: Vec<_> =
            live.iter().copied().filter(|entry| !self.doubtful.contains_key(&entry.name)).collect();
        let vanished = live.len() - certain.len();
        if vanished as f64 > live.len() as f64 * DOUBT_SHARE { live } else { certain }
    }

    /// Whether an upstream may still be sent a request.
    pub fn is_usable(&self, name: &ids::UpstreamId) -> bool {
        self.entries.get(name).is_some_and(|entry| {
            entry.state == fleet_list::ListState::Live
                && self.usable(&entry.service).iter().any(|usable| usable.name == *name)
        })
    }

    /// One upstream, leaving or not.
    pub fn entry(&self, name: &ids::UpstreamId) -> Option<&UpstreamEntry> {
        self.entries.get(name)
    }

    /// All upstreams.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values()
    }

    fn put(&mut self, entry: UpstreamEntry) -> bool {
        let returned = self.doubtful.remove(&entry.name).is_some();
        let before = self.entries.insert(entry.name.clone(), entry.clone());
        let changed = returned || before.as_ref() != Some(&entry);
        self.changes += u64::from(changed);
        changed
    }

    fn vanish(&mut self, now: units::MonoTime, name: ids::UpstreamId) -> bool {
        let Some(entry) = self.entries.get(&name) else {
            return false;
        };
        let leaving = entry.state == fleet_list::ListState::Leaving;
        self.changes += 1;
        match self.doubt_until.filter(|until| now < *until && !leaving) {
            Some(until) => {
                self.doubtful.entry(name).or_insert(until);
            }
            None => {
                self.doubtful.remove(&name);
                self.entries.remove(&name);
            }
        }
        true
    }
}
