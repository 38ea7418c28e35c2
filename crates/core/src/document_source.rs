//! Chooses where to fetch a missing document: from other members first, and from the platform's store if they cannot
//! provide it.
//!
//! If every instance read each document from the store, the store's load would be instances times changes.

use std::time;

use crate::units;

/// How long after a document was found missing only members are queried for it. It covers three attempts, so that a
/// member that is busy, gone or silent is followed by another. It must be short, as a change must be in force within
/// two seconds on the smallest fleets.
const MEMBERS_ONLY_TIME: time::Duration = time::Duration::from_millis(450);
/// Period after [`MEMBERS_ONLY_TIME`] over which instances begin to query the store, so that they don't do so all at
/// once.
const STORE_SPREAD_TIME: time::Duration = time::Duration::from_millis(300);
/// How long only members are queried after a failed read of the store. Another wait for the store would take a second
/// or more of the time within which a change must be in force.
const STORE_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);

/// Where a missing document is fetched, as chosen by [`DocumentSource::choose`] for each attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentOrigin {
    /// Another instance that has the document.
    Member,
    /// The platform's store, which is read only if members cannot provide the document.
    Store,
}

/// State of the fetches of one kind of document.
#[derive(Debug)]
pub struct DocumentSource {
    /// This instance's fraction of [`STORE_SPREAD_TIME`], 0 to 1.
    spread: f64,
    /// When the missing document was first requested; `None` while none is missing.
    since: Option<units::MonoTime>,
    /// When the store last failed to provide the document.
    failed: Option<units::MonoTime>,
    /// Whether a member's copy was damaged, or was a diff against another text than the local one.
    damaged: bool,
}

impl DocumentSource {
    /// The state before any fetch; `spread` is a random number from 0 to 1.
    pub fn new(spread: f64) -> Self {
        Self { spread, since: None, failed: None, damaged: false }
    }

    /// Chooses where to fetch the missing document now.
    pub fn choose(&mut self, now: units::MonoTime) -> DocumentOrigin {
        let elapsed = now.since(*self.since.get_or_insert(now));
        let has_failed = self.failed.is_some_and(|failed| now.since(failed) < STORE_RETRY_DELAY);
        let members_only = MEMBERS_ONLY_TIME + STORE_SPREAD_TIME.mul_f64(self.spread);
        if !has_failed && (self.damaged || elapsed >= members_only) {
            DocumentOrigin::Store
        } else {
            DocumentOrigin::Member
        }
    }

    /// Records that no document is missing any more.
    pub fn note_complete(&mut self) {
        self.since = None;
        self.damaged = false;
    }

    /// Records that a member's copy was unusable. The document is then fetched from the store, unless a read of the
    /// store failed recently.
    pub fn note_damaged_copy(&mut self) {
        self.damaged = true;
    }

    /// Records a successful read of the store, after which no document is missing.
    pub fn note_store_answer(&mut self) {
        self.failed = None;
        self.note_complete();
    }

    /// Records a failed read of the store, after which only members are queried for `STORE_RETRY_DELAY`.
    pub fn note_store_failure(&mut self, now: units::MonoTime) {
        self.failed = Some(now);
    }
}
