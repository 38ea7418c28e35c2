//! Tracks whether the platform's store answers this process, up to which revision it was read, and which documents of
//! other members are missing here.

use std::time;

use crate::{document_lag, store_revision, units};

/// Time after which operators have rewritten what the store lacks after it was restored from an older copy.
const REWRITE_TIME: time::Duration = time::Duration::from_secs(10);

/// Contact of this process with the store.
///
/// The initial state is [`Away`](Self::Away). An answer leads to [`Answering`](Self::Answering). An overdue answer to a
/// watch, or a member that knows a change which the watch should have reported, leads to [`Doubted`](Self::Doubted). A
/// failed call, or leaving the store to other members, leads back to `Away`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreContact {
    /// The store has not answered yet, the last call failed, or this process leaves the store to other members.
    Away,
    /// The store has answered, and no answer is overdue.
    Answering,
    /// An answer is overdue, and the store is called again.
    Doubted,
}

/// Versions of the routes and of the list of upstreams that a process has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DocumentVersions {
    /// Version of the routes that the process has.
    pub routes: u64,
    /// Revision of the list of upstreams that the process has.
    pub list: store_revision::StoreRevision,
}

/// For how long other members have had newer documents than this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DocumentLags {
    /// For how long other members have had newer routes.
    pub routes: time::Duration,
    /// For how long other members have had a newer list of upstreams.
    pub list: time::Duration,
}

impl DocumentLags {
    /// The longer of both lags, which decides whether this process counts as behind other members.
    pub fn longest(&self) -> time::Duration {
        self.routes.max(self.list)
    }
}

/// Changes caused by an answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEffect {
    /// Length of the outage that the answer ends, if any.
    pub away: Option<time::Duration>,
    /// Whether other members may rely on this process's watch again.
    pub resumes_watch: bool,
}

/// State of the store and its documents as one process knows it.
#[derive(Debug)]
pub struct StoreTracker {
    contact: StoreContact,
    /// Whether this process watches the store itself. It keeps trying during an outage.
    watching: bool,
    /// Revision up to which this process itself has read both routes and list from the store; 0 before the first read, and
    /// after it has left the store to other members. The list may be newer, as members send it too.
    watched: store_revision::StoreRevision,
    /// Time of the first failed call since the last answer; `None` while the store answers.
    away_since: Option<units::MonoTime>,
    /// When the last answer arrived; before any, when the process started.
    last_answer_at: units::MonoTime,
    /// Highest era in the store's answers; `None` before the first answer.
    era: Option<store_revision::StoreEra>,
    /// When `era` became known, if it replaced an earlier one.
    era_since: Option<units::MonoTime>,
    /// Lag behind the routes of other members.
    routes: document_lag::DocumentLag<u64>,
    /// Lag behind the lists of other members.
    list: document_lag::DocumentLag<store_revision::StoreRevision>,
}

impl Default for StoreTracker {
    fn default() -> Self {
        Self {
            contact: StoreContact::Away,
            watching: false,
            watched: store_revision::StoreRevision::default(),
            away_since: None,
            last_answer_at: units::MonoTime::default(),
            era: None,
            era_since: None,
            routes: document_lag::DocumentLag::default(),
            list: document_lag::DocumentLag::default(),
        }
    }
}

impl StoreTracker {
    /// Whether the store answers this process now, and whether that is in doubt.
    pub fn contact(&self) -> StoreContact {
        self.contact
    }

    /// Whether the store answers this process, as far as is known.
    pub fn answers(&self) -> bool {
        self.contact == StoreContact::Answering
    }

    /// Whether this process watches the store, also while it cannot reach it.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Whether other members may rely on this process's watch. They may while the store is only doubted: if they took over
    /// then, more and more members would call a slow store.
    pub fn is_reliable_watcher(&self) -> bool {
        self.watching && self.contact != StoreContact::Away
    }

    /// Revision up to which this process itself has read the store.
    pub fn watched(&self) -> store_revision::StoreRevision {
        self.watched
    }

    /// Age of the store's last answer; before any, the time since the process started.
    pub fn last_answer_age(&self, now: units::MonoTime) -> time::Duration {
        now.since(self.last_answer_at)
    }

    /// Highest era in the store's answers; 0 before the first answer.
    pub fn era(&self) -> store_revision::StoreEra {
        self.era.unwrap_or_default()
    }

    /// Records the era of an answer; returns the previous era if this one is later.
    pub fn note_era(
        &mut self,
        now: units::MonoTime,
        era: store_revision::StoreEra,
    ) -> Option<store_revision::StoreEra> {
        let before = self.era.replace(self.era().max(era)).filter(|before| *before < era)?;
        self.era_since = Some(now);
        self.routes.forget_refuted();
        Some(before)
    }

    /// Whether the store may have lacked recent writes of operators at `queried_at`, as it was restored from an older copy
    /// shortly before.
    fn is_incomplete(&self, queried_at: units::MonoTime) -> bool {
        self.era_since.is_some_and(|since| queried_at.since(since) < REWRITE_TIME)
    }

    /// Records an answer of the store, which ends any outage.
    pub fn receive(&mut self, now: units::MonoTime) -> AnswerEffect {
        let before = std::mem::replace(&mut self.contact, StoreContact::Answering);
        let away = self.away_since.take().map(|since| now.since(since));
        self.last_answer_at = now;
        AnswerEffect { away, resumes_watch: before == StoreContact::Away && self.watching }
    }

    /// Records that an answer of the store is overdue.
    pub fn note_overdue(&mut self) {
        self.contact = StoreContact::Doubted;
    }

    /// Records a failed call; returns whether it ends the contact with the store.
    pub fn note_failure(&mut self, now: units::MonoTime) -> bool {
        self.away_since.get_or_insert(now);
        std::mem::replace(&mut self.contact, StoreContact::Away) != StoreContact::Away
    }

    /// Records that this process has begun to watch the store.
    pub fn watch(&mut self) {
        self.watching = true;
    }

    /// Records that this process itself has read routes and list from the store up to a revision.
    pub fn set_watched(&mut self, revision: store_revision::StoreRevision) {
        self.watched = revision;
    }

    /// Leaves the store to other members, and forgets up to which revision this process has read it.
    pub fn stop_watching(&mut self) {
        self.watching = false;
        self.watched = store_revision::StoreRevision::default();
        self.contact = StoreContact::Away;
    }

    /// Records the versions of this process and the newest ones of other members; returns how far this process lags behind.
    pub fn lags(
        &mut self,
        now: units::MonoTime,
        own: DocumentVersions,
        newest: DocumentVersions,
    ) -> DocumentLags {
        DocumentLags {
            routes: self.routes.observe(now, own.routes, newest.routes),
            list: self.list.observe(now, own.list, newest.list),
        }
    }

    /// Records that a query of the store, sent at `queried_at`, found no routes newer than `own`. That is ignored shortly
    /// after the store was restored from an older copy.
    pub fn refute_routes(&mut self, own: u64, queried_at: units::MonoTime) {
        if !self.is_incomplete(queried_at) {
            self.routes.refute(own, queried_at);
        }
    }

    /// Records that a query of the store, sent at `queried_at`, found no list newer than `own`. That refutes only revisions
    /// of the same era.
    pub fn refute_list(&mut self, own: store_revision::StoreRevision, queried_at: units::MonoTime) {
        if self.list.missing().is_none_or(|missing| missing.era == own.era) {
            self.list.refute(own, queried_at);
        }
    }

    /// Versions above which newer documents may be available: the `own` ones, or versions that the store turned out not to
    /// have although members claimed them.
    pub fn known(&self, own: DocumentVersions) -> DocumentVersions {
        DocumentVersions { routes: self.routes.known(own.routes), list: self.list.known(own.list) }
    }
}
