//! Routes and upstreams in force in this process, and the raw documents that it passes on to members.

use std::{net, rc, time};

use slipturn_core::{ids, route_table, store_revision, units, upstream_list};

use crate::{adapter, compressed_bytes, raw_state, routes_history};

/// Age in milliseconds from which the end of a store outage is not reported to members any more: it no longer explains
/// changes of the list.
const RECENT_RETURN_MS: u64 = 3_000;

/// Step in milliseconds to which ages reported to members are rounded up, so that one cached answer serves many of them.
const AGE_STEP_MS: u64 = 250;

/// Routes and upstreams in force in this process. Neither the version of the routes nor the revision of the list ever
/// goes down.
pub struct FleetState {
    pub(crate) adapter: rc::Rc<dyn adapter::InstanceAdapter>,
    /// Routes in force; version 0 until the first routes are known.
    pub routes: rc::Rc<route_table::RouteTable>,
    /// Upstreams and evacuations in force.
    pub list: upstream_list::UpstreamList,
    /// Documents from which routes and list were read.
    pub(crate) raw: raw_state::RawState,
    /// Whether a list of upstreams has ever been read.
    pub(crate) has_list: bool,
    /// When the last outage of the store ended; `None` if there was none.
    returned_at: Option<units::MonoTime>,
    pub(crate) origin: ListOrigin,
    /// Number of lists and changes dropped because they were older than the list in force.
    pub(crate) dropped: u64,
    /// Size in bytes of the documents of a read of the store that is not complete.
    pub(crate) read_bytes: usize,
    /// Whether applying a member's changes did not result in the member's list, so that a whole list is needed.
    pub(crate) diverged: bool,
}

/// Source and time of the last change of the list in force, for operators and for the records of requests.
#[derive(Debug, Clone)]
pub struct ListOrigin {
    /// `store`, or the name of the member that passed the list on; empty before the first list.
    pub source: rc::Rc<str>,
    /// When the last change of the list was applied.
    pub since: units::MonoTime,
}

/// Sizes in bytes of what is kept of the store: names and texts of documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KeptBytes {
    /// Routes in force.
    pub(crate) routes: usize,
    /// List of upstreams.
    pub(crate) list: usize,
    /// Remembered changes of upstreams.
    pub(crate) changes: usize,
    /// Pages of a read that is not complete.
    pub(crate) read: usize,
}

impl FleetState {
    /// Creates the state of a process that has not read any documents.
    pub fn new(adapter: rc::Rc<dyn adapter::InstanceAdapter>) -> Self {
        Self {
            adapter,
            routes: rc::Rc::new(route_table::RouteTable::default()),
            list: upstream_list::UpstreamList::default(),
            raw: raw_state::RawState::default(),
            has_list: false,
            returned_at: None,
            origin: ListOrigin { source: "".into(), since: units::MonoTime::default() },
            dropped: 0,
            read_bytes: 0,
            diverged: false,
        }
    }

    /// Returns who provided the list in force, and when its last change was applied.
    pub fn origin(&self) -> &ListOrigin {
        &self.origin
    }

    /// Returns the sizes of what is kept of the store.
    pub(crate) fn kept_bytes(&self) -> KeptBytes {
        let (list, changes) = self.raw.kept_bytes();
        let routes = self.raw.routes.as_ref().map_or(0, String::len);
        KeptBytes { routes, list, changes, read: self.read_bytes }
    }

    /// Number of lists and changes dropped, since the start of the process, because they were older than the list in
    /// force.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether routes and a list of upstreams are known, so that requests can be served.
    pub fn is_known(&self) -> bool {
        self.routes.version.0 > 0 && self.has_list
    }

    /// Whether a list of upstreams has been read since the start of the process; it may be outdated.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Latest revision of the store that this process has read or received from a member.
    pub fn revision(&self) -> store_revision::StoreRevision {
        self.raw.revision
    }

    /// Revision after which changes of the list are requested from members; the empty revision if a whole list is needed.
    pub fn sync_revision(&self) -> store_revision::StoreRevision {
        if self.diverged { store_revision::StoreRevision::default() } else { self.list.revision() }
    }

    /// Documents that a member with version `routes` of the routes and revision `list` of the list lacks; the routes
    /// alone if `list` is `None`.
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
        let whole = !self.raw.has_changes_since(list);
        let changes = self.raw.changes.iter().filter(|(revision, _, _)| *revision > list);
        let changes = changes.map(|(_, name, text)| (name.clone(), text.clone()));
        let crosses_eras = !whole && list.era < self.raw.revision.era;
        adapter::RawDocuments {
            routes,
            upstreams: whole.then(|| self.raw.upstreams.clone()),
            changes: if whole { Vec::new() } else { changes.collect() },
            revision: self.raw.revision,
            digest: crosses_eras.then(|| raw_state::digest(&self.raw.upstreams)),
            evacuated: self.list.evacuated().cloned().collect(),
            skipped: !whole && self.raw.has_gap_since(list),
            returned_ms,
            recovery: self.recovery_report(now),
        }
    }

    /// Ages in milliseconds reported to members: of the end of the last outage, if that is recent, and of the era
    /// (begun when the store was restored from an older copy), if the list is still recovering from that.
    pub(crate) fn reported_ages(&self, now: units::MonoTime) -> (Option<u64>, Option<u64>) {
        let return_age = self.returned_at.map(|returned_at| rounded_age(now.since(returned_at)));
        let return_age = return_age.filter(|millis| *millis < RECENT_RETURN_MS);
        let era_age = self.list.recovering_since().map(|since| rounded_age(now.since(since)));
        (return_age, era_age)
    }

    /// Records that the store answers again after an outage.
    pub fn source_returned(&mut self, now: units::MonoTime) {
        self.returned_at = Some(now);
        self.list.source_returned(now);
    }

    /// Adopts those documents of another member that are newer than the ones in force.
    ///
    /// Fails if the copy of the routes is damaged or is based on other routes than those in force; the list is adopted
    /// nevertheless. Fails also if the changes of the list lead into another era but do not result in the member's
    /// list.
    pub fn adopt(
        &mut self,
        now: units::MonoTime,
        documents: adapter::RawDocuments,
        source: &str,
    ) -> Result<(), compressed_bytes::CompressionError> {
        let routes_result = documents.routes.as_ref().map(|copy| self.adopt_routes(copy, source));
        let list_result = self.adopt_list(now, documents, source);
        routes_result.unwrap_or(Ok(())).and(list_result)
    }

    fn adopt_routes(
        &mut self,
        copy: &routes_history::RoutesCopy,
        source: &str,
    ) -> Result<(), compressed_bytes::CompressionError> {
        let version = self.routes.version.0;
        let text = self.raw.routes.as_deref().unwrap_or_default();
        let (text, changes) = copy.apply(version, text)?;
        if self.replace_routes(text, source).is_some() {
            self.raw.history.extend(changes);
        }
        Ok(())
    }

    /// Adopts the routes in an item of the store, if they are valid and newer than those in force.
    pub fn put_routes_item(&mut self, item: adapter::StoreItem, source: &str) {
        match item.value {
            Ok(text) => self.put_routes(text, source),
            Err(error) => log::error!(source, error:%; "routes.rejected"),
        }
    }

    /// Adopts the routes in a document of the store, if they are valid and newer than those in force.
    pub fn put_routes(&mut self, text: String, source: &str) {
        if let Some((version, before)) = self.replace_routes(text, source) {
            let text = self.raw.routes.as_deref().unwrap_or_default();
            self.raw.history.replace((version, &before), (self.routes.version.0, text));
        }
    }

    /// Puts routes into force, if they are valid and newer; returns the version and text that they replace.
    fn replace_routes(&mut self, text: String, source: &str) -> Option<(u64, String)> {
        let routes = match self.adapter.parse_routes(&text) {
            Ok(routes) => routes,
            Err(error) => {
                log::error!(source, error:%; "routes.rejected");
                return None;
            }
        };
        if routes.version <= self.routes.version {
            return None;
        }
        log::info!(
            version = routes.version.0, before = self.routes.version.0, routes = routes.route_count(),
            source; "routes.adopted"
        );
        self.list.set_cold_policies(routes.cold_policies());
        let before = std::mem::replace(&mut self.routes, rc::Rc::new(routes));
        let text = self.raw.routes.replace(text).unwrap_or_default();
        Some((before.version.0, text))
    }

    /// Records which start (life of its process) of an upstream answered a request that was sent to `address` at
    /// `requested_at`.
    ///
    /// An address at which two upstreams are listed identifies neither, so the report is ignored.
    pub fn receive_start(
        &mut self,
        now: units::MonoTime,
        address: net::SocketAddrV4,
        start: ids::UpstreamStart,
        requested_at: units::MonoTime,
    ) {
        if let Some(name) = self.list.name_at(address).cloned() {
            self.list.update_start(now, &name, start, requested_at);
        }
    }
}

/// Age in milliseconds, rounded up as it is reported to members.
pub(crate) fn rounded_age(age: time::Duration) -> u64 {
    units::whole_millis(age).next_multiple_of(AGE_STEP_MS)
}
