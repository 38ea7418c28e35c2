//! What this process believes of routes and upstreams, and the raw documents it passes on.

use std::{collections, rc, time};

use slipturn_core::{route_table, units, upstream_list};

use crate::{border, packed_bytes, routes_history};

/// Changes to upstreams that are remembered for other members, at least.
const MIN_CHANGES: usize = 256;
/// The same in shares of the list: with more changes than that, the whole list costs less.
const CHANGES_SHARE: f64 = 0.5;
/// An outage's end this long ago explains no changes any more, milliseconds.
const RECENT_RETURN_MS: u64 = 3_000;

/// What was read, as it was written.
#[derive(Default)]
struct RawState {
    routes: Option<String>,
    /// Their last changes.
    history: routes_history::RoutesHistory,
    upstreams: collections::BTreeMap<String, String>,
    /// Revision, name and document of the last changes, oldest first.
    changes: collections::VecDeque<(u64, String, Option<String>)>,
    /// Changes up to this revision are not remembered.
    floor: u64,
    /// Revision of the store that was read last.
    revision: u64,
}

impl RawState {
    /// Replaces the upstreams. Where they were `known` before, what differs is remembered as
    /// changes: members that are a little behind then need not read the whole list, all at once.
    fn replace(
        &mut self,
        upstreams: collections::BTreeMap<String, String>,
        revision: u64,
        known: bool,
    ) {
        if known {
            let before = std::mem::take(&mut self.upstreams);
            let gone = before.keys().filter(|name| !upstreams.contains_key(*name));
            let gone: Vec<_> = gone.cloned().collect();
            for name in gone {
                self.change(name, None, revision);
            }
            for (name, text) in &upstreams {
                if before.get(name) != Some(text) {
                    self.change(name.clone(), Some(text.clone()), revision);
                }
            }
        } else {
            self.floor = revision;
        }
        self.upstreams = upstreams;
        self.settle(revision);
    }

    fn change(&mut self, name: String, text: Option<String>, revision: u64) {
        match &text {
            Some(text) => self.upstreams.insert(name.clone(), text.clone()),
            None => self.upstreams.remove(&name),
        };
        self.changes.push_back((revision, name, text));
    }

    /// Notes that all changes up to `revision` are in, and forgets the oldest.
    fn settle(&mut self, revision: u64) {
        let most = MIN_CHANGES.max((self.upstreams.len() as f64 * CHANGES_SHARE) as usize);
        while self.changes.len() > most {
            self.floor = self.changes.pop_front().map_or(revision, |(oldest, _, _)| oldest);
        }
        self.revision = self.revision.max(revision);
    }
}

/// Routes and upstreams in force in this process. Versions only ever go up.
pub struct FleetState {
    border: rc::Rc<dyn border::PlatformBorder>,
    /// Routes in force; version 0 until the first is known.
    pub routes: rc::Rc<route_table::RouteTable>,
    /// Upstreams.
    pub list: upstream_list::UpstreamList,
    /// What the two were read from.
    raw: RawState,
    /// Whether a list of upstreams was ever read.
    listed: bool,
    /// When the store came back from its last outage.
    returned: Option<units::MonoTime>,
}

impl FleetState {
    /// A process that knows nothing yet.
    pub fn new(border: rc::Rc<dyn border::PlatformBorder>) -> Self {
        Self {
            border,
            routes: rc::Rc::new(route_table::RouteTable::default()),
            list: upstream_list::UpstreamList::default(),
            raw: RawState::default(),
            listed: false,
            returned: None,
        }
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
    pub fn revision(&self) -> u64 {
        self.raw.revision
    }

    /// What a member that has these versions does not know yet.
    pub fn documents(
        &mut self,
        now: units::MonoTime,
        routes: u64,
        list: u64,
    ) -> border::RawDocuments {
        let newer = self.routes.version.0 > routes;
        let text = self.raw.routes.as_deref().filter(|_| newer);
        let routes = text.and_then(|text| self.raw.history.copy_for(routes, text));
        let whole = list < self.raw.floor;
        let changes = self.raw.changes.iter().filter(|(revision, _, _)| *revision > list);
        let changes = changes.map(|(_, name, text)| (name.clone(), text.clone()));
        border::RawDocuments {
            routes,
            upstreams: whole.then(|| self.raw.upstreams.clone()),
            changes: if whole { Vec::new() } else { changes.collect() },
            // Who asks for routes only must not take the list for up to date.
            revision: if list == u64::MAX { 0 } else { self.raw.revision },
            returned_ms: self
                .returned
                .map(|returned| units::whole_millis(now.since(returned)))
                .filter(|millis| *millis < RECENT_RETURN_MS),
        }
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
        documents: border::RawDocuments,
        source: &str,
    ) -> Result<(), packed_bytes::PackError> {
        let copied = documents.routes.as_ref().map(|copy| self.adopt_routes(copy, source));
        self.adopt_list(now, documents, source);
        copied.unwrap_or(Ok(()))
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

    fn adopt_list(&mut self, now: units::MonoTime, documents: border::RawDocuments, source: &str) {
        if documents.revision <= self.raw.revision && self.listed {
            return;
        }
        if let Some(millis) = documents.returned_ms {
            self.source_returned(now.earlier_by(time::Duration::from_millis(millis)));
        }
        if let Some(upstreams) = documents.upstreams {
            let upstreams = upstreams.into_iter().collect();
            self.replace_upstreams(now, upstreams, documents.revision, source);
        } else if self.listed {
            self.change_upstreams(now, documents.changes, documents.revision);
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
        let read = match self.border.read_routes(&text) {
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
        let before = std::mem::replace(&mut self.routes, rc::Rc::new(read));
        let text = self.raw.routes.replace(text).unwrap_or_default();
        Some((before.version.0, text))
    }

    /// Replaces the upstreams.
    pub fn replace_upstreams(
        &mut self,
        now: units::MonoTime,
        documents: Vec<(String, String)>,
        revision: u64,
        source: &str,
    ) {
        if revision < self.list.revision() {
            log::debug!(source, revision; "list.older");
            return;
        }
        let entries = documents.iter().filter_map(|(name, text)| self.read_entry(name, text));
        let entries: Vec<_> = entries.collect();
        let count = entries.len();
        if self.list.replace(now, entries, revision) {
            log::info!(source, revision, upstreams = count; "list.replaced");
        }
        let known = self.listed;
        self.raw.replace(documents.into_iter().collect(), revision, known);
        self.listed = true;
    }

    /// Applies changes of the store.
    pub fn apply(
        &mut self,
        now: units::MonoTime,
        changes: Vec<border::StoreChange>,
        revision: u64,
    ) {
        let mut upstreams = Vec::new();
        for change in changes {
            let (key, text) = match change {
                border::StoreChange::Put(key, text) => (key, Some(text)),
                border::StoreChange::Gone(key) => (key, None),
            };
            match (self.border.key(&key), text) {
                (border::StoreKey::Routes, Some(text)) => self.put_routes(text, "store"),
                (border::StoreKey::Upstream(name), text) => upstreams.push((name, text)),
                _ => {}
            }
        }
        self.change_upstreams(now, upstreams, revision);
    }

    fn change_upstreams(
        &mut self,
        now: units::MonoTime,
        changes: Vec<(String, Option<String>)>,
        revision: u64,
    ) {
        if revision < self.list.revision() {
            // A late answer; what it tells must not go to other members as news.
            log::debug!(revision; "list.older");
            return;
        }
        let mut list_changes = Vec::new();
        for (name, text) in changes {
            list_changes.extend(self.read_change(&name, text.as_deref(), revision));
            self.raw.change(name, text, revision);
        }
        self.list.apply(now, list_changes, revision);
        self.raw.settle(revision);
    }

    /// One change as the list takes it; `None` where the entry cannot be read.
    fn read_change(
        &self,
        name: &str,
        text: Option<&str>,
        revision: u64,
    ) -> Option<upstream_list::ListChange> {
        let Some(text) = text else {
            log::info!(upstream = name, revision; "upstream.unlisted");
            return name.parse().ok().map(upstream_list::ListChange::Gone);
        };
        let entry = self.read_entry(name, text)?;
        if self.list.entry(&entry.name) != Some(&entry) {
            log::info!(
                upstream:% = entry.name, service:% = entry.service, state:? = entry.state,
                revision; "upstream.listed"
            );
        }
        Some(upstream_list::ListChange::Present(entry))
    }

    fn read_entry(&self, name: &str, text: &str) -> Option<upstream_list::UpstreamEntry> {
        self.border
            .read_upstream(name, text)
            .inspect_err(|error| log::error!(upstream = name, error:%; "upstream.rejected"))
            .ok()
    }
}
