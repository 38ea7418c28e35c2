//! What this process believes of routes and upstreams, and the raw documents it passes on.

use std::rc;

use slipturn_core::{route_table, units, upstream_list};

use crate::border;

/// Routes and upstreams in force in this process. Versions only ever go up.
pub struct FleetState {
    border: rc::Rc<dyn border::PlatformBorder>,
    /// Routes in force; version 0 until the first is known.
    pub routes: rc::Rc<route_table::RouteTable>,
    /// Upstreams.
    pub list: upstream_list::UpstreamList,
    /// What the two were read from.
    raw: border::RawDocuments,
    /// Whether a list of upstreams was ever read.
    listed: bool,
}

impl FleetState {
    /// A process that knows nothing yet.
    pub fn new(border: rc::Rc<dyn border::PlatformBorder>) -> Self {
        Self {
            border,
            routes: rc::Rc::new(route_table::RouteTable::default()),
            list: upstream_list::UpstreamList::default(),
            raw: border::RawDocuments::default(),
            listed: false,
        }
    }

    /// Whether requests can be served.
    pub fn is_known(&self) -> bool {
        self.routes.version.0 > 0 && self.listed
    }

    /// The documents, for another member.
    pub fn documents(&self) -> &border::RawDocuments {
        &self.raw
    }

    /// Takes over documents of another member, each only where it is newer.
    pub fn adopt(&mut self, now: units::MonoTime, documents: border::RawDocuments, source: &str) {
        if let Some(text) = documents.routes {
            self.put_routes(text, source);
        }
        if documents.revision > self.list.revision() || !self.listed {
            self.replace_upstreams(
                now,
                documents.upstreams.into_iter().collect(),
                documents.revision,
                source,
            );
        }
    }

    /// Takes over routes, if they are newer.
    pub fn put_routes(&mut self, text: String, source: &str) {
        let read = match self.border.read_routes(&text) {
            Ok(read) => read,
            Err(error) => {
                log::error!(source, error:%; "routes.rejected");
                return;
            }
        };
        if read.version <= self.routes.version {
            return;
        }
        log::info!(
            version = read.version.0, before = self.routes.version.0, routes = read.route_count(),
            source; "routes.adopted"
        );
        self.routes = rc::Rc::new(read);
        self.raw.routes = Some(text);
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
        self.raw.upstreams = documents.into_iter().collect();
        self.raw.revision = revision;
        self.listed = true;
    }

    /// Applies changes of the store.
    pub fn apply(
        &mut self,
        now: units::MonoTime,
        changes: Vec<border::StoreChange>,
        revision: u64,
    ) {
        let mut list_changes = Vec::new();
        for change in changes {
            let key = match &change {
                border::StoreChange::Put(key, _) | border::StoreChange::Gone(key) => key,
            };
            match (self.border.key(key), change) {
                (border::StoreKey::Routes, border::StoreChange::Put(_, text)) => {
                    self.put_routes(text, "store");
                }
                (border::StoreKey::Upstream(name), border::StoreChange::Put(_, text)) => {
                    if let Some(entry) = self.read_entry(&name, &text) {
                        list_changes.push(upstream_list::ListChange::Present(entry));
                        self.raw.upstreams.insert(name, text);
                    }
                }
                (border::StoreKey::Upstream(name), border::StoreChange::Gone(_)) => {
                    self.raw.upstreams.remove(&name);
                    if let Ok(name) = name.parse() {
                        list_changes.push(upstream_list::ListChange::Gone(name));
                    }
                }
                _ => {}
            }
        }
        for change in &list_changes {
            match change {
                upstream_list::ListChange::Present(entry) => {
                    if self.list.entry(&entry.name) != Some(entry) {
                        log::info!(
                            upstream:% = entry.name, service:% = entry.service,
                            state:? = entry.state, revision; "upstream.listed"
                        );
                    }
                }
                upstream_list::ListChange::Gone(name) => {
                    log::info!(upstream:% = name, revision; "upstream.unlisted");
                }
            }
        }
        self.list.apply(now, list_changes, revision);
        self.raw.revision = self.raw.revision.max(revision);
    }

    fn read_entry(&self, name: &str, text: &str) -> Option<upstream_list::UpstreamEntry> {
        self.border
            .read_upstream(name, text)
            .inspect_err(|error| log::error!(upstream = name, error:%; "upstream.rejected"))
            .ok()
    }
}
