//! Raw documents of the store and their recent changes, for members with older ones.

use std::collections;

use slipturn_core::{rendezvous, store_revision};

use crate::routes_history;

/// Number of changes to upstreams that are always remembered for other members.
const MIN_REMEMBERED_CHANGES: usize = 256;
/// Number of remembered changes as a share of the list's length: with more changes than that, the whole list is cheaper
/// to send.
const REMEMBERED_CHANGES_SHARE: f64 = 0.5;

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
        upstreams: collections::BTreeMap<String, String>,
        revision: store_revision::StoreRevision,
        known: bool,
    ) -> collections::BTreeMap<String, String> {
        let before = std::mem::take(&mut self.upstreams);
        if known {
            self.record_gap(revision);
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
            self.history_start = revision;
        }
        self.upstreams = upstreams;
        self.advance_to(revision);
        before
    }

    /// Applies and remembers a change of one upstream; `None` removes it.
    pub(crate) fn change(
        &mut self,
        name: String,
        text: Option<String>,
        revision: store_revision::StoreRevision,
    ) {
        match &text {
            Some(text) => self.upstreams.insert(name.clone(), text.clone()),
            None => self.upstreams.remove(&name),
        };
        self.changes.push_back((revision, name, text));
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
        while self.changes.len() > limit {
            self.history_start = self.changes.pop_front().map_or(revision, |(oldest, _, _)| oldest);
        }
        self.revision = self.revision.max(revision);
    }
}

/// Digest of a list of upstreams, by which two members compare their lists.
pub(crate) fn digest(upstreams: &collections::BTreeMap<String, String>) -> u64 {
    let parts = upstreams.iter().flat_map(|(name, text)| [name.as_str(), text.as_str()]);
    rendezvous::stable_hash(&parts.collect::<Vec<_>>())
}
