//! What a process believes of the platform's store, and of documents that other members have and it
//! lacks: from whom, how old, and what ends it.

use std::time;

use crate::{document_lag, store_revision, units};

/// Time in which operators have written again what a copy of the store lacks.
const REWRITE_TIME: time::Duration = time::Duration::from_secs(10);

/// What is believed of the store's answers.
///
/// Begins [`Unavailable`](Self::Away). An answer makes it [`Answering`](Self::Answering); a watch that is
/// overdue, or members that know what it should have brought, [`Overdue`](Self::Doubted); a failed call,
/// or leaving the store to others, `Unavailable` again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreContact {
    /// It has not answered yet, its last answer failed, or it is left to others.
    Unavailable,
    /// It has answered, and the next answer is not overdue.
    Answering,
    /// Its next answer is overdue; it is asked anew.
    Overdue,
}

/// Versions of the routes and of the list of upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DocumentVersions {
    /// Of the routes.
    pub routes: u64,
    /// Of the list.
    pub list: store_revision::StoreRevision,
}

/// For how long others have had what is missing here.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DocumentLags {
    /// Newer routes.
    pub routes: time::Duration,
    /// A newer list.
    pub list: time::Duration,
}

impl DocumentLags {
    /// The longer of the two.
    pub fn longest(&self) -> time::Duration {
        self.routes.max(self.list)
    }
}

/// What an answer of the store changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEffect {
    /// How long it had been away; nothing where it had not.
    pub away: Option<time::Duration>,
    /// Whether the others may count on this process's watch again.
    pub resumes_watch: bool,
}

/// What one process believes.
#[derive(Debug)]
pub struct StoreTracker {
    contact: StoreContact,
    /// Whether this process watches the store itself; it goes on trying while the store is away.
    watching: bool,
    /// Revision up to which this process itself has read the store, routes and list alike; 0 before,
    /// and once it has left the store to others. The list alone may be newer, from members.
    watched: store_revision::StoreRevision,
    /// Since when calls have failed; nothing while the store answers.
    away_since: Option<units::MonoTime>,
    /// When its last answer came; the process's start before any.
    heard: units::MonoTime,
    /// Highest era in its answers; nothing before the first answer.
    era: Option<store_revision::StoreEra>,
    /// Since when that has been known, where another one was known before.
    era_since: Option<units::MonoTime>,
    /// Routes of other members that this process lacks.
    routes: document_lag::DocumentLag<u64>,
    /// Lists of other members that this process lacks.
    list: document_lag::DocumentLag<store_revision::StoreRevision>,
}

impl Default for StoreTracker {
    fn default() -> Self {
        Self {
            contact: StoreContact::Unavailable,
            watching: false,
            watched: store_revision::StoreRevision::default(),
            away_since: None,
            heard: units::MonoTime::default(),
            era: None,
            era_since: None,
            routes: document_lag::DocumentLag::default(),
            list: document_lag::DocumentLag::default(),
        }
    }
}

impl StoreTracker {
    /// What is believed of its answers.
    pub fn contact(&self) -> StoreContact {
        self.contact
    }

    /// Whether it answers this process, as far as is known.
    pub fn answers(&self) -> bool {
        self.contact == StoreContact::Answering
    }

    /// Whether this process watches it, in reach or not.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Whether others may count on this process's watch. While that is doubted only they need not take
    /// over: a slow store would be asked by more and more of them.
    pub fn is_reliable_watcher(&self) -> bool {
        self.watching && self.contact != StoreContact::Unavailable
    }

    /// Revision up to which this process itself has read it.
    pub fn watched(&self) -> store_revision::StoreRevision {
        self.watched
    }

    /// How long ago its last answer came.
    pub fn last_answer_age(&self, now: units::MonoTime) -> time::Duration {
        now.since(self.heard)
    }

    /// Highest era in its answers.
    pub fn era(&self) -> store_revision::StoreEra {
        self.era.unwrap_or_default()
    }

    /// Takes in the era of an answer; returns the one before where it has changed.
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

    /// Whether what operators wrote may be missing in the store, as it has returned from an older copy.
    fn is_incomplete(&self, asked: units::MonoTime) -> bool {
        self.era_since.is_some_and(|since| asked.since(since) < REWRITE_TIME)
    }

    /// Takes in an answer.
    pub fn receive(&mut self, now: units::MonoTime) -> AnswerEffect {
        let before = std::mem::replace(&mut self.contact, StoreContact::Answering);
        let away = self.away_since.take().map(|since| now.since(since));
        self.heard = now;
        AnswerEffect { away, resumes_watch: before == StoreContact::Unavailable && self.watching }
    }

    /// Takes in that an answer is overdue.
    pub fn mark_overdue(&mut self) {
        self.contact = StoreContact::Overdue;
    }

    /// Takes in that a call failed; whether that is new.
    pub fn lose(&mut self, now: units::MonoTime) -> bool {
        self.away_since.get_or_insert(now);
        std::mem::replace(&mut self.contact, StoreContact::Unavailable) != StoreContact::Unavailable
    }

    /// Begins to watch it, or goes on.
    pub fn watch(&mut self) {
        self.watching = true;
    }

    /// Takes in that all up to a revision has been read.
    pub fn set_watched(&mut self, revision: store_revision::StoreRevision) {
        self.watched = revision;
    }

    /// Leaves it to others.
    pub fn stop_watching(&mut self) {
        self.watching = false;
        self.watched = store_revision::StoreRevision::default();
        self.contact = StoreContact::Unavailable;
    }

    /// For how long others have had what is missing here, given the own versions and the newest that
    /// others have.
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

    /// Takes in that the store, asked at `asked`, has no routes newer than `own`.
    pub fn refute_routes(&mut self, own: u64, asked: units::MonoTime) {
        if !self.is_incomplete(asked) {
            self.routes.refute(own, asked);
        }
    }

    /// Takes in that the store, asked at `asked`, has no list newer than `own` in the same era.
    pub fn refute_list(&mut self, own: store_revision::StoreRevision, asked: units::MonoTime) {
        if self.list.missing().is_none_or(|missing| missing.era == own.era) {
            self.list.refute(own, asked);
        }
    }

    /// Versions up to which nothing newer is to be had, whatever members claim.
    pub fn known(&self, own: DocumentVersions) -> DocumentVersions {
        DocumentVersions { routes: self.routes.known(own.routes), list: self.list.known(own.list) }
    }
}
