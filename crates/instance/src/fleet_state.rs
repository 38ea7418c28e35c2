//! What this process believes of routes and upstreams, and the raw documents it passes on.

use std::{collections, net, rc, time};

use slipturn_core::{ids, route_table, units, upstream_list};

use crate::{border, packed_bytes, raw_state, routes_history};

/// An outage's end this long ago explains no changes any more, milliseconds.
const RECENT_RETURN_MS: u64 = 3_000;

/// Characters of a name or error from outside that a log line shows.
const MAX_LOGGED: usize = 160;

/// Routes and upstreams in force in this process. Versions only ever go up.
pub struct FleetState {
    border: rc::Rc<dyn border::PlatformBorder>,
    /// Routes in force; version 0 until the first is known.
    pub routes: rc::Rc<route_table::RouteTable>,
    /// Upstreams.
    pub list: upstream_list::UpstreamList,
    /// What the two were read from.
    raw: raw_state::RawState,
    /// Whether a list of upstreams was ever read.
    listed: bool,
    /// When the store came back from its last outage.
    returned: Option<units::MonoTime>,
    /// Where the list in force comes from.
    origin: ListOrigin,
    /// Lists and changes that were dropped as older than the list in force.
    dropped: u64,
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
    pub fn new(border: rc::Rc<dyn border::PlatformBorder>) -> Self {
        Self {
            border,
            routes: rc::Rc::new(route_table::RouteTable::default()),
            list: upstream_list::UpstreamList::default(),
            raw: raw_state::RawState::default(),
            listed: false,
            returned: None,
            origin: ListOrigin { source: "".into(), since: units::MonoTime::default() },
            dropped: 0,
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

    fn drop_older(&mut self, revision: u64, source: &str) {
        let known = self.list.revision();
        log::info!(source, revision, known; "list.older");
        self.dropped += 1;
    }

    fn note_origin(&mut self, now: units::MonoTime, source: &str) {
        if *self.origin.source != *source {
            self.origin.source = source.into();
        }
        self.origin.since = now;
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
            evacuated: match list {
                u64::MAX => collections::BTreeSet::new(),
                _ => self.list.evacuated().cloned().collect(),
            },
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
        if documents.upstreams.is_some() || self.listed {
            self.replace_evacuations(now, &documents.evacuated, documents.revision, source);
        }
        if let Some(upstreams) = documents.upstreams {
            let upstreams = upstreams.into_iter().collect();
            self.replace_upstreams(now, upstreams, documents.revision, source);
        } else if self.listed {
            self.change_upstreams(now, documents.changes, documents.revision, source);
        }
    }

    /// Takes over routes as they lie in the store, if they can be read and are newer.
    pub fn put_routes_item(&mut self, item: border::StoreItem, source: &str) {
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
        self.list.set_cold_policies(read.cold_policies());
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
            self.drop_older(revision, source);
            return;
        }
        self.note_origin(now, source);
        // Of a key that is there twice the last one holds.
        let mut documents: collections::BTreeMap<_, _> = documents.into_iter().collect();
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
        let count = entries.len();
        let replaced = self.list.replace(now, entries, revision);
        if self.list.apply(now, unreadable, revision) || replaced {
            log::info!(source, revision, upstreams = count; "list.replaced");
        }
        let known = self.listed;
        self.raw.replace(documents, revision, known);
        self.listed = true;
    }

    /// Replaces the data centres under evacuation.
    pub fn replace_evacuations(
        &mut self,
        now: units::MonoTime,
        evacuated: &collections::BTreeSet<ids::DataCenterId>,
        revision: u64,
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
        revision: u64,
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
                log::info!(data_center:%, source, revision; "{event}");
            }
        }
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

    /// Applies changes of the store.
    pub fn apply(
        &mut self,
        now: units::MonoTime,
        changes: Vec<border::StoreChange>,
        revision: u64,
    ) {
        let mut upstreams = Vec::new();
        let mut evacuations = Vec::new();
        for change in changes {
            match change {
                border::StoreChange::Put(item) => match self.border.key(&item.key) {
                    border::StoreKey::Routes => self.put_routes_item(item, "store"),
                    border::StoreKey::Upstream(name) => upstreams.push((name, Some(text_of(item)))),
                    border::StoreKey::Evacuation(data_center) => {
                        evacuations.push(upstream_list::ListChange::Evacuated(data_center));
                    }
                    border::StoreKey::Other => {}
                },
                border::StoreChange::Gone(key) => match self.border.key(&key) {
                    border::StoreKey::Upstream(name) => upstreams.push((name, None)),
                    border::StoreKey::Evacuation(data_center) => {
                        evacuations.push(upstream_list::ListChange::Restored(data_center));
                    }
                    border::StoreKey::Routes | border::StoreKey::Other => {}
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
        revision: u64,
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
        revision: u64,
    ) -> Option<upstream_list::ListChange> {
        let Some(text) = text else {
            log::info!(upstream = bounded(name), revision; "upstream.unlisted");
            return read_name(name).map(upstream_list::ListChange::Gone);
        };
        let Some(entry) = self.read_entry(name, text) else {
            return read_name(name).map(upstream_list::ListChange::Unreadable);
        };
        if self.list.entry(&entry.name) != Some(&entry) {
            log::info!(
                upstream:% = entry.name, service:% = entry.service, state:? = entry.state,
                revision; "upstream.listed"
            );
        }
        Some(upstream_list::ListChange::Present(entry))
    }

    fn read_entry(&self, name: &str, text: &str) -> Option<upstream_list::UpstreamEntry> {
        // One line for each time that such an entry is written, not for each time that it is read.
        let known = self.raw.upstreams.get(name).is_some_and(String::is_empty);
        let read = self.border.read_upstream(name, text);
        read.inspect_err(|error| {
            if !known {
                let error = error.to_string();
                log::error!(upstream = bounded(name), error = bounded(&error); "upstream.rejected");
            }
        })
        .ok()
    }
}

/// The upstream that a key of the store names; `None` where it names none.
fn read_name(name: &str) -> Option<ids::UpstreamId> {
    ids::UpstreamId::of_identifier(name).ok()
}

/// An item's text; empty, which no entry is, where it cannot be read.
pub(crate) fn text_of(item: border::StoreItem) -> String {
    let reject = |error: &border::FormatError| {
        log::debug!(key = bounded(&item.key), error:%; "store.item_unreadable");
    };
    item.value.inspect_err(reject).unwrap_or_default()
}

/// The beginning of a text that may be of any length.
fn bounded(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_LOGGED).map_or(text.len(), |(end, _)| end);
    &text[..end]
}
