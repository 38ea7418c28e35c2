//! What this process believes of routes and upstreams, and the raw documents it passes on.

use std::{collections, net, rc, time};

use slipturn_core::{ids, route_table, store_revision, units, upstream_list, upstream_notice};

use crate::{border, list_recovery, packed_bytes, raw_state, routes_history};

/// An outage's end this long ago explains no changes any more, milliseconds.
const RECENT_RETURN_MS: u64 = 3_000;

/// Ages that members are told are rounded up to this, so that one answer serves many of them, milliseconds.
const AGE_STEP_MS: u64 = 250;

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
    pub(crate) raw: raw_state::RawState,
    /// Whether a list of upstreams was ever read.
    listed: bool,
    /// When the store came back from its last outage.
    returned: Option<units::MonoTime>,
    /// Where the list in force comes from.
    origin: ListOrigin,
    /// Lists and changes that were dropped as older than the list in force.
    dropped: u64,
    /// Whether changes of a member did not lead to the member's list.
    differs: bool,
}

/// All upstreams and evacuations at a revision of the store.
struct StoreList {
    /// Upstreams by name.
    upstreams: collections::BTreeMap<String, String>,
    /// Evacuated data centres.
    evacuated: collections::BTreeSet<ids::DataCenterId>,
    /// The revision.
    revision: store_revision::StoreRevision,
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

    fn drop_older(&mut self, revision: store_revision::StoreRevision, source: &str) {
        let known = self.list.revision();
        log::info!(source, revision:%, known:%; "list.older");
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
    ) -> border::RawDocuments {
        let newer = self.routes.version.0 > routes;
        let text = self.raw.routes.as_deref().filter(|_| newer);
        let routes = text.and_then(|text| self.raw.history.copy_for(routes, text));
        let (returned_ms, _) = self.told_ages(now);
        let Some(list) = list else {
            return border::RawDocuments { routes, returned_ms, ..Default::default() };
        };
        let whole = list < self.raw.floor;
        let changes = self.raw.changes.iter().filter(|(revision, _, _)| *revision > list);
        let changes = changes.map(|(_, name, text)| (name.clone(), text.clone()));
        let crosses = !whole && list.era < self.raw.revision.era;
        border::RawDocuments {
            routes,
            upstreams: whole.then(|| self.raw.upstreams.clone()),
            changes: if whole { Vec::new() } else { changes.collect() },
            revision: self.raw.revision,
            digest: crosses.then(|| raw_state::digest(&self.raw.upstreams)),
            evacuated: self.list.evacuated().cloned().collect(),
            returned_ms,
            recovery: self.recovery_report(now),
        }
    }

    /// Ages that members are told: of the store's return, and of its era.
    pub(crate) fn told_ages(&self, now: units::MonoTime) -> (Option<u64>, Option<u64>) {
        let returned = self.returned.map(|returned| rounded_age(now.since(returned)));
        let returned = returned.filter(|millis| *millis < RECENT_RETURN_MS);
        let era = self.list.recovery().map(|state| rounded_age(now.since(state.since)));
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
        documents: border::RawDocuments,
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

    fn adopt_list(
        &mut self,
        now: units::MonoTime,
        mut documents: border::RawDocuments,
        source: &str,
    ) -> Result<(), packed_bytes::PackError> {
        let revision = documents.revision;
        if revision.is_none() || (revision <= self.raw.revision && self.listed) {
            return Ok(());
        }
        let later_era = self.is_later_era(revision);
        if later_era {
            let upstreams = self.upstreams_of_era(&mut documents);
            self.differs = upstreams.is_err();
            documents.upstreams = Some(upstreams?);
        }
        if let Some(millis) = documents.returned_ms {
            self.source_returned(now.earlier_by(time::Duration::from_millis(millis)));
        }
        let ended = || later_era.then(list_recovery::RecoveryReport::ended);
        let recovery = documents.recovery.or_else(ended);
        for report in recovery.iter().flat_map(|recovery| &recovery.leaving) {
            let age = time::Duration::from_millis(report.age_ms);
            let member = upstream_notice::NoticeSource::Member;
            self.list.receive_leaving(now, &report.upstream, member, age);
        }
        if let Some(upstreams) = documents.upstreams {
            self.differs = false;
            let list = StoreList { upstreams, evacuated: documents.evacuated, revision };
            self.replace_all(now, list, recovery, source);
        } else if self.listed {
            let unconfirmed = recovery.map(|report| report.evacuated).unwrap_or_default();
            self.take_evacuations(now, documents.evacuated, &unconfirmed, revision, source);
            self.change_upstreams(now, documents.changes, revision, source);
        }
        Ok(())
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

    /// Takes over all upstreams and evacuations, as the store has them.
    pub fn replace_list(
        &mut self,
        now: units::MonoTime,
        documents: Vec<(String, String)>,
        evacuated: collections::BTreeSet<ids::DataCenterId>,
        revision: store_revision::StoreRevision,
        source: &str,
    ) {
        if revision < self.list.revision() {
            self.drop_older(revision, source);
            return;
        }
        // Of a key that is there twice the last one holds.
        let upstreams = documents.into_iter().collect();
        self.replace_all(now, StoreList { upstreams, evacuated, revision }, None, source);
    }

    /// Takes over all upstreams, and what another member keeps in force beside them.
    fn replace_all(
        &mut self,
        now: units::MonoTime,
        list: StoreList,
        recovery: Option<list_recovery::RecoveryReport>,
        source: &str,
    ) {
        let StoreList { upstreams: mut documents, evacuated, revision } = list;
        let before = self.list.revision();
        let later_era = self.is_later_era(revision);
        self.note_origin(now, source);
        let unconfirmed = recovery.as_ref().map(|report| &report.evacuated[..]);
        self.take_evacuations(now, evacuated, unconfirmed.unwrap_or_default(), revision, source);
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
        let kept = recovery.iter().flat_map(|recovery| &recovery.kept);
        let kept = kept.filter(|(name, _)| !documents.contains_key(name));
        entries.extend(kept.filter_map(|(name, text)| self.read_entry(name, text)));
        let count = entries.len();
        let replaced = self.list.replace(now, entries, revision);
        if self.list.apply(now, unreadable, revision) || replaced {
            log::info!(source, revision:%, upstreams = count; "list.replaced");
        }
        let known = self.listed;
        let upstreams_before = self.raw.replace(documents, revision, known);
        self.listed = true;
        match recovery {
            Some(recovery) => self.adopt_recovery(now, recovery),
            None if later_era => self.keep_documents(&upstreams_before),
            None => {}
        }
        if later_era {
            self.log_recovery(before, source);
        }
    }

    /// Takes over the data centres under evacuation, and holds those that the list of a later era lacks.
    fn take_evacuations(
        &mut self,
        now: units::MonoTime,
        evacuated: collections::BTreeSet<ids::DataCenterId>,
        unconfirmed: &[ids::DataCenterId],
        revision: store_revision::StoreRevision,
        source: &str,
    ) {
        let in_force = self.list.merge_evacuations(revision, evacuated, unconfirmed);
        self.replace_evacuations(now, &in_force, revision, source);
    }

    /// Replaces the data centres under evacuation.
    fn replace_evacuations(
        &mut self,
        now: units::MonoTime,
        evacuated: &collections::BTreeSet<ids::DataCenterId>,
        revision: store_revision::StoreRevision,
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
        revision: store_revision::StoreRevision,
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
                log::info!(data_center:%, source, revision:%; "{event}");
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
        revision: store_revision::StoreRevision,
    ) {
        let mut upstreams = Vec::new();
        let mut evacuations = Vec::new();
        for change in changes {
            match change {
                border::StoreChange::Put(item) => match self.border.key(&item.key) {
                    border::StoreKey::Routes => self.put_routes_item(item, "store"),
                    border::StoreKey::Upstream(name) => upstreams.push((name, Some(text_of(item)))),
                    border::StoreKey::Evacuation(data_center) => {
                        if revision >= self.list.revision() {
                            self.list.confirm_evacuation(&data_center);
                        }
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
        revision: store_revision::StoreRevision,
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
        revision: store_revision::StoreRevision,
    ) -> Option<upstream_list::ListChange> {
        let Some(text) = text else {
            log::info!(upstream = bounded(name), revision:%; "upstream.unlisted");
            return read_name(name).map(upstream_list::ListChange::Gone);
        };
        let Some(entry) = self.read_entry(name, text) else {
            return read_name(name).map(upstream_list::ListChange::Unreadable);
        };
        if self.list.entry(&entry.name) != Some(&entry) {
            log::info!(
                upstream:% = entry.name, service:% = entry.service, state:? = entry.state,
                revision:%; "upstream.listed"
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

/// An age in milliseconds, as members are told.
pub(crate) fn rounded_age(age: time::Duration) -> u64 {
    units::whole_millis(age).next_multiple_of(AGE_STEP_MS)
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
