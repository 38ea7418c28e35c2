//! What this process believes of routes and upstreams, and the raw documents it passes on.

use std::{net, rc, time};

use slipturn_core::{ids, route_table, store_revision, units, upstream_list};

use crate::{adapter, packed_bytes, raw_state, routes_history};

/// An outage's end this long ago explains no changes any more, milliseconds.
const RECENT_RETURN_MS: u64 = 3_000;

/// Ages reported to members are rounded up to this, so that one answer serves many of them, milliseconds.
const AGE_STEP_MS: u64 = 250;

/// Routes and upstreams in force in this process. Versions only ever go up.
pub struct FleetState {
    pub(crate) adapter: rc::Rc<dyn adapter::InstanceAdapter>,
    /// Routes in force; version 0 until the first is known.
    pub routes: rc::Rc<route_table::RouteTable>,
    /// Upstreams.
    pub list: upstream_list::UpstreamList,
    /// What the two were read from.
    pub(crate) raw: raw_state::RawState,
    /// Whether a list of upstreams was ever read.
    pub(crate) listed: bool,
    /// When the store came back from its last outage.
    returned: Option<units::MonoTime>,
    /// Where the list in force comes from.
    pub(crate) origin: ListOrigin,
    /// Lists and changes that were dropped as older than the list in force.
    pub(crate) dropped: u64,
    /// Whether changes of a member did not lead to the member's list.
    pub(crate) differs: bool,
}

/// Where a list comes from, and since when it has been in force.
#[derive(Debug, Clone)]
pub struct ListOrigin {
    /// The store, or the member that passed it on; empty before the first list.
    pub source: rc::Rc<str>,
    /// When its last change was taken over.
    pub since: units::MonoTime,
}

impl FleetState {
    /// A process that knows nothing yet.
    pub fn new(adapter: rc::Rc<dyn adapter::InstanceAdapter>) -> Self {
        Self {
            adapter,
            routes: rc::Rc::new(route_table::RouteTable::default()),
            list: upstream_list::UpstreamList::default(),
            raw: raw_state::RawState::default(),
            listed: false,
            returned: None,
            origin: ListOrigin { source: "".into(), since: units::MonoTime::default() },
            dropped: 0,
            differs: false,
        }
    }

    /// Where the list in force comes from.
    pub fn origin(&self) -> &ListOrigin {
        &self.origin
    }

    /// Lists and changes that were dropped as older than the list in force.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether requests can be served.
    pub fn is_known(&self) -> bool {
        self.routes.version.0 > 0 && self.listed
    }

    /// Whether a list of upstreams is known.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Revision of the store that was read last.
    pub fn revision(&self) -> store_revision::StoreRevision {
        self.raw.revision
    }

    /// Revision from which on changes of the list are wanted of members; none where only the whole list helps.
    pub fn wanted_from(&self) -> store_revision::StoreRevision {
        if self.differs { store_revision::StoreRevision::default() } else { self.list.revision() }
    }

    /// What a member that has these versions does not know yet; of the list nothing where it asks for routes only.
    pub fn documents(
        &mut self,
        now: units::MonoTime,
        routes: u64,
        list: Option<store_revision::StoreRevision>,
    ) -> adapter::RawDocuments {
        let newer = self.routes.version.0 > routes;
        let text = self.raw.routes.as_deref().filter(|_| newer);
        let routes = text.and_then(|text| self.raw.history.copy_for(routes, text));
        let (returned_ms, _) = self.reported_ages(now);
        let Some(list) = list else {
            return adapter::RawDocuments { routes, returned_ms, ..Default::default() };
        };
        let whole = !self.raw.leads_from(list);
        let changes = self.raw.changes.iter().filter(|(revision, _, _)| *revision > list);
        let changes = changes.map(|(_, name, text)| (name.clone(), text.clone()));
        let crosses = !whole && list.era < self.raw.revision.era;
        adapter::RawDocuments {
            routes,
            upstreams: whole.then(|| self.raw.upstreams.clone()),
            changes: if whole { Vec::new() } else { changes.collect() },
            revision: self.raw.revision,
            digest: crosses.then(|| raw_state::digest(&self.raw.upstreams)),
            evacuated: self.list.evacuated().cloned().collect(),
            skipped: !whole && self.raw.has_gap_since(list),
            returned_ms,
            recovery: self.recovery_report(now),
        }
    }

    /// Ages reported to members: of the store's return, and of its era.
    pub(crate) fn reported_ages(&self, now: units::MonoTime) -> (Option<u64>, Option<u64>) {
        let returned = self.returned.map(|returned| rounded_age(now.since(returned)));
        let returned = returned.filter(|millis| *millis < RECENT_RETURN_MS);
        let era = self.list.recovering_since().map(|since| rounded_age(now.since(since)));
        (returned, era)
    }

    /// Notes that the store answers again after an outage.
    pub fn source_returned(&mut self, now: units::MonoTime) {
        self.returned = Some(now);
        self.list.source_returned(now);
    }

    /// Takes over documents of another member, each only where it is newer. Fails where its copy of the
    /// routes is damaged, or made for others than these; the list is taken over all the same.
    pub fn adopt(
        &mut self,
        now: units::MonoTime,
        documents: adapter::RawDocuments,
        source: &str,
    ) -> Result<(), packed_bytes::PackError> {
        let copied = documents.routes.as_ref().map(|copy| self.adopt_routes(copy, source));
        let listed = self.adopt_list(now, documents, source);
        copied.unwrap_or(Ok(())).and(listed)
    }

    fn adopt_routes(
        &mut self,
        copy: &routes_history::RoutesCopy,
        source: &str,
    ) -> Result<(), packed_bytes::PackError> {
        let version = self.routes.version.0;
        let text = self.raw.routes.as_deref().unwrap_or_default();
        let (text, changes) = copy.apply(version, text)?;
        if self.replace_routes(text, source).is_some() {
            self.raw.history.extend(changes);
        }
        Ok(())
    }

    /// Takes over routes as they lie in the store, if they can be read and are newer.
    pub fn put_routes_item(&mut self, item: adapter::StoreItem, source: &str) {
        match item.value {
            Ok(text) => self.put_routes(text, source),
            Err(error) => log::error!(source, error:%; "routes.rejected"),
        }
    }

    /// Takes over routes that the store has, if they are newer.
    pub fn put_routes(&mut self, text: String, source: &str) {
        if let Some((version, before)) = self.replace_routes(text, source) {
            let text = self.raw.routes.as_deref().unwrap_or_default();
            self.raw.history.replace((version, &before), (self.routes.version.0, text));
        }
    }

    /// Brings routes into force, if they are newer; the version and text before.
    fn replace_routes(&mut self, text: String, source: &str) -> Option<(u64, String)> {
        let read = match self.adapter.read_routes(&text) {
            Ok(read) => read,
            Err(error) => {
                log::error!(source, error:%; "routes.rejected");
                return None;
            }
        };
        if read.version <= self.routes.version {
            return None;
        }
        log::info!(
            version = read.version.0, before = self.routes.version.0, routes = read.route_count(),
            source; "routes.adopted"
        );
        self.list.set_cold_policies(read.cold_policies());
        let before = std::mem::replace(&mut self.routes, rc::Rc::new(read));
        let text = self.raw.routes.replace(text).unwrap_or_default();
        Some((before.version.0, text))
    }

    /// Takes in which start answers at an address, asked at `asked`.
    ///
    /// An address at which two upstreams are listed identifies neither.
    pub fn receive_start(
        &mut self,
        now: units::MonoTime,
        address: net::SocketAddrV4,
        start: ids::UpstreamStart,
        asked: units::MonoTime,
    ) {
        if let Some(name) = self.list.name_at(address).cloned() {
            self.list.update_start(now, &name, start, asked);
        }
    }
}

/// An age in milliseconds, as reported to members.
pub(crate) fn rounded_age(age: time::Duration) -> u64 {
    units::whole_millis(age).next_multiple_of(AGE_STEP_MS)
}
