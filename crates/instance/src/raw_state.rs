//! Raw documents of the store and their recent changes, for members with older ones.

use std::collections;

use slipturn_core::{rendezvous, store_revision};

use crate::routes_history;

/// Number of changes to upstreams that are always remembered for other members.
const MIN_REMEMBERED_CHANGES: usize = 256;
/// Number of remembered changes as a share of the list's length: with more changes than that, the whole list is cheaper
/// to send.
const REMEMBERED_CHANGES_SHARE: f64 = 0.5;
/// Size in bytes of the changes that are remembered whatever the size of the list.
const MIN_REMEMBERED_BYTES: usize = 256 * 1024;
/// Most bytes of the list, names and documents: with the routes, it must fit into one answer to a member.
const MAX_LIST_BYTES: usize = 6 << 20;
/// Size in bytes from which a document counts as large: no list that is half full takes more of them, so that they leave
/// room for those of usual size.
const LARGE_DOCUMENT_BYTES: usize = 1 << 10;
/// Most names of unreadable documents in the list. Further ones count as removed, as they name no upstream.
pub(crate) const MAX_UNREADABLE: usize = 4_096;

/// Most remembered gaps; beyond that the oldest gap is dropped, together with the changes before the next gap.
const MAX_GAPS: usize = 8;

/// Documents as they were written to the store, and their recent changes.
#[derive(Default)]
pub(crate) struct RawState {
    /// Routes in force; `None` until the first are read.
    pub(crate) routes: Option<String>,
    /// Last changes of the routes.
    pub(crate) history: routes_history::RoutesHistory,
    /// Documents of upstreams by name; empty for those that are unreadable.
    pub(crate) upstreams: collections::BTreeMap<String, String>,
    /// Last changes of upstreams, oldest first: the revision, the name, and the document or `None` after a removal.
    pub(crate) changes:
        collections::VecDeque<(store_revision::StoreRevision, String, Option<String>)>,
    /// Size in bytes of `upstreams`: their names and documents.
    upstream_bytes: usize,
    /// Size in bytes of `changes`: their names and documents.
    change_bytes: usize,
    /// Number of empty documents in `upstreams`; at most [`MAX_UNREADABLE`].
    unreadable: usize,
    /// Revision up to which changes are not remembered.
    pub(crate) history_start: store_revision::StoreRevision,
    /// Latest revision of the store that was read or received from a member.
    pub(crate) revision: store_revision::StoreRevision,
    /// Ranges of revisions whose single changes are unknown, oldest first: only the difference between the two ends of
    /// each range is known.
    gaps: collections::VecDeque<(store_revision::StoreRevision, store_revision::StoreRevision)>,
    /// Documents of upstreams that stay in use although the first list after the store was restored from an older copy
    /// lacked them.
    pub(crate) kept: collections::BTreeMap<String, String>,
}

impl RawState {
    /// Replaces the upstreams, and returns the previous ones.
    ///
    /// If the previous list was `known`, the differences are remembered as changes, so that members that are slightly
    /// behind need not all fetch the whole list at once.
    pub(crate) fn replace(
        &mut self,
        mut upstreams: collections::BTreeMap<String, String>,
        revision: store_revision::StoreRevision,
        known: bool,
    ) -> collections::BTreeMap<String, String> {
        let mut unreadable = 0;
        upstreams.retain(|_, text| {
            unreadable += usize::from(text.is_empty());
            !text.is_empty() || unreadable <= MAX_UNREADABLE
        });
        let before = std::mem::take(&mut self.upstreams);
        if known {
            self.record_gap(revision);
            let gone = before.keys().filter(|name| !upstreams.contains_key(*name));
            let gone: Vec<_> = gone.cloned().collect();
            for name in gone {
                self.remember(name, None, revision);
            }
            for (name, text) in &upstreams {
                if before.get(name) != Some(text) {
                    self.remember(name.clone(), Some(text.clone()), revision);
                }
            }
        } else {
            self.history_start = revision;
        }
        self.upstream_bytes =
            upstreams.iter().map(|(name, text)| document_bytes(name, Some(text))).sum();
        self.unreadable = unreadable.min(MAX_UNREADABLE);
        self.upstreams = upstreams;
        self.advance_to(revision);
        before
    }

    /// Applies and remembers a change of one upstream; `None` removes it.
    ///
    /// An unreadable document in place of another one, and the removal of an unknown one, are not remembered: a writer of
    /// such documents would displace the changes of others.
    pub(crate) fn change(
        &mut self,
        name: String,
        text: Option<String>,
        revision: store_revision::StoreRevision,
    ) {
        let before = self.upstreams.remove(&name);
        if let Some(before) = &before {
            self.upstream_bytes -= document_bytes(&name, Some(before));
            self.unreadable -= usize::from(before.is_empty());
        }
        let text = text.filter(|text| !text.is_empty() || self.unreadable < MAX_UNREADABLE);
        if let Some(text) = &text {
            self.upstream_bytes += document_bytes(&name, Some(text));
            self.unreadable += usize::from(text.is_empty());
            self.upstreams.insert(name.clone(), text.clone());
        }
        let names_none = |text: &Option<String>| text.as_ref().is_none_or(String::is_empty);
        if before != text || !names_none(&text) {
            self.remember(name, text, revision);
        }
    }

    /// Remembers a change.
    fn remember(
        &mut self,
        name: String,
        text: Option<String>,
        revision: store_revision::StoreRevision,
    ) {
        self.change_bytes += document_bytes(&name, text.as_deref());
        self.changes.push_back((revision, name, text));
    }

    /// Size in bytes of the list without the document of `name`.
    pub(crate) fn bytes_beside(&self, name: &str) -> usize {
        let own = self.upstreams.get(name).map_or(0, |text| document_bytes(name, Some(text)));
        self.upstream_bytes - own
    }

    /// Size in bytes of the list and of the remembered changes.
    pub(crate) fn kept_bytes(&self) -> (usize, usize) {
        (self.upstream_bytes, self.change_bytes)
    }

    /// Records that single changes between the present revision and `next` are unknown.
    pub(crate) fn record_gap(&mut self, next: store_revision::StoreRevision) {
        self.gaps.push_back((self.revision, next));
        if self.gaps.len() > MAX_GAPS {
            self.gaps.pop_front();
            self.history_start =
                self.history_start.max(self.gaps.front().map_or(next, |(start, _)| *start));
        }
    }

    /// Whether the remembered changes lead from the list of revision `list` to the present one.
    pub(crate) fn has_changes_since(&self, list: store_revision::StoreRevision) -> bool {
        list >= self.history_start
            && !self.gaps.iter().any(|(start, end)| *start < list && list < *end)
    }

    /// Whether single changes after revision `list` are unknown.
    pub(crate) fn has_gap_since(&self, list: store_revision::StoreRevision) -> bool {
        self.gaps.iter().any(|(_, end)| *end > list)
    }

    /// The upstreams that result from applying `changes`, which are not stored.
    pub(crate) fn changed_upstreams(
        &self,
        changes: Vec<(String, Option<String>)>,
    ) -> collections::BTreeMap<String, String> {
        let mut upstreams = self.upstreams.clone();
        for (name, text) in changes {
            match text {
                Some(text) => upstreams.insert(name, text),
                None => upstreams.remove(&name),
            };
        }
        upstreams
    }

    /// Records that all changes up to `revision` have been applied, and forgets the oldest ones.
    pub(crate) fn advance_to(&mut self, revision: store_revision::StoreRevision) {
        let limit = MIN_REMEMBERED_CHANGES
            .max((self.upstreams.len() as f64 * REMEMBERED_CHANGES_SHARE) as usize);
        let byte_share = (self.upstream_bytes as f64 * REMEMBERED_CHANGES_SHARE) as usize;
        let byte_limit = MIN_REMEMBERED_BYTES.max(byte_share);
        while self.changes.len() > limit || self.change_bytes > byte_limit {
            let Some((oldest, name, text)) = self.changes.pop_front() else { break };
            self.change_bytes -= document_bytes(&name, text.as_deref());
            self.history_start = oldest;
        }
        self.revision = self.revision.max(revision);
    }
}

/// Whether a list in which the others take `other_bytes` has room for a document.
pub(crate) fn has_room(other_bytes: usize, name: &str, text: &str) -> bool {
    let is_large = text.len() >= LARGE_DOCUMENT_BYTES;
    let limit = if is_large { MAX_LIST_BYTES / 2 } else { MAX_LIST_BYTES };
    other_bytes + document_bytes(name, Some(text)) <= limit
}

/// Size in bytes of a document with its name; `None` is a removal.
pub(crate) fn document_bytes(name: &str, text: Option<&str>) -> usize {
    name.len() + text.map_or(0, str::len)
}

/// Digest of a list of upstreams, by which two members compare their lists.
pub(crate) fn digest(upstreams: &collections::BTreeMap<String, String>) -> u64 {
    let parts = upstreams.iter().flat_map(|(name, text)| [name.as_str(), text.as_str()]);
    rendezvous::stable_hash(&parts.collect::<Vec<_>>())
}
