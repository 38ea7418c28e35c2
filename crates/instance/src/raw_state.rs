//! The store's documents as they were read, for members that know less.

use std::collections;

use slipturn_core::{rendezvous, store_revision};

use crate::routes_history;

/// Changes to upstreams that are remembered for other members, at least.
const MIN_REMEMBERED_CHANGES: usize = 256;
/// The same in shares of the list: with more changes than that, the whole list costs less.
const REMEMBERED_CHANGES_SHARE: f64 = 0.5;

/// Gaps that are remembered.
const MAX_GAPS: usize = 8;

/// What was read, as it was written.
#[derive(Default)]
pub(crate) struct RawState {
    pub(crate) routes: Option<String>,
    /// Their last changes.
    pub(crate) history: routes_history::RoutesHistory,
    /// Documents by name; empty where they cannot be read.
    pub(crate) upstreams: collections::BTreeMap<String, String>,
    /// Revision, name and document of the last changes, oldest first.
    pub(crate) changes:
        collections::VecDeque<(store_revision::StoreRevision, String, Option<String>)>,
    /// Changes up to this revision are not remembered.
    pub(crate) history_start: store_revision::StoreRevision,
    /// Revision of the store that was read last.
    pub(crate) revision: store_revision::StoreRevision,
    /// Spans that were skipped, oldest first: of what changed within one, only what differs between its ends is known.
    gaps: collections::VecDeque<(store_revision::StoreRevision, store_revision::StoreRevision)>,
    /// Documents in force that the first list of the present era lacked.
    pub(crate) kept: collections::BTreeMap<String, String>,
}

impl RawState {
    /// Replaces the upstreams, and returns those before. Where they were `known` before, what differs is remembered as
    /// changes: members that are a little behind then need not read the whole list, all at once.
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

    /// Notes that changes since the present revision and before the next one are skipped.
    pub(crate) fn record_gap(&mut self, next: store_revision::StoreRevision) {
        self.gaps.push_back((self.revision, next));
        if self.gaps.len() > MAX_GAPS {
            self.gaps.pop_front();
            self.history_start =
                self.history_start.max(self.gaps.front().map_or(next, |(start, _)| *start));
        }
    }

    /// Whether the changes that are remembered lead from the list of a revision to the present one.
    pub(crate) fn has_changes_since(&self, list: store_revision::StoreRevision) -> bool {
        list >= self.history_start
            && !self.gaps.iter().any(|(start, end)| *start < list && list < *end)
    }

    /// Whether something was skipped since the list of a revision.
    pub(crate) fn has_gap_since(&self, list: store_revision::StoreRevision) -> bool {
        self.gaps.iter().any(|(_, end)| *end > list)
    }

    /// The upstreams as they are after changes.
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

    /// Notes that all changes up to `revision` are in, and forgets the oldest.
    pub(crate) fn advance_to(&mut self, revision: store_revision::StoreRevision) {
        let limit = MIN_REMEMBERED_CHANGES
            .max((self.upstreams.len() as f64 * REMEMBERED_CHANGES_SHARE) as usize);
        while self.changes.len() > limit {
            self.history_start = self.changes.pop_front().map_or(revision, |(oldest, _, _)| oldest);
        }
        self.revision = self.revision.max(revision);
    }
}

/// Distinguishes lists of upstreams.
pub(crate) fn digest(upstreams: &collections::BTreeMap<String, String>) -> u64 {
    let parts = upstreams.iter().flat_map(|(name, text)| [name.as_str(), text.as_str()]);
    rendezvous::stable_hash(&parts.collect::<Vec<_>>())
}
