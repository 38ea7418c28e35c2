//! Whom a document that other members have is asked of: members first, the platform's store where they
//! cannot give it.
//!
//! A document that every instance reads from the store itself costs instances times changes.

use std::time;

use crate::units;

/// Time for which members are asked alone: three looks, so that one that is busy, gone or silent is
/// followed by another. A change must be in force within two seconds on the smallest fleets.
const MEMBERS_ONLY_TIME: time::Duration = time::Duration::from_millis(450);
/// Instances turn to the store spread over this time after it, not all at once.
const STORE_SPREAD_TIME: time::Duration = time::Duration::from_millis(300);
/// Time for which members alone are asked after the store failed to give it: waiting for it again takes
/// a second or more of the time within which a change must be in force.
const STORE_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);

/// Whom to ask next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentOrigin {
    /// A member that has it.
    Member,
    /// The store.
    Store,
}

/// How members' copies and the store have done lately.
#[derive(Debug)]
pub struct DocumentSource {
    /// This instance's part of [`STORE_SPREAD_TIME`], 0 to 1.
    spread: f64,
    /// Since when it has been asked for; nothing while nothing is missing.
    since: Option<units::MonoTime>,
    /// When the store last failed to give it.
    failed: Option<units::MonoTime>,
    /// Whether a member's copy was damaged, or made for another text than the own one.
    damaged: bool,
}

impl DocumentSource {
    /// Of an instance that has not asked any member yet; `spread` is drawn from 0 to 1.
    pub fn new(spread: f64) -> Self {
        Self { spread, since: None, failed: None, damaged: false }
    }

    /// Whom to ask for what is missing.
    pub fn choose(&mut self, now: units::MonoTime) -> DocumentOrigin {
        let asked = now.since(*self.since.get_or_insert(now));
        let doubted = self.failed.is_some_and(|failed| now.since(failed) < STORE_RETRY_DELAY);
        let patience = MEMBERS_ONLY_TIME + STORE_SPREAD_TIME.mul_f64(self.spread);
        if !doubted && (self.damaged || asked >= patience) {
            DocumentOrigin::Store
        } else {
            DocumentOrigin::Member
        }
    }

    /// Takes in that nothing is missing any more.
    pub fn note_complete(&mut self) {
        self.since = None;
        self.damaged = false;
    }

    /// Takes in that a member's copy was of no use: the next one comes from the store.
    pub fn note_damaged_copy(&mut self) {
        self.damaged = true;
    }

    /// Takes in that the store gave what it has.
    pub fn note_store_answer(&mut self) {
        self.failed = None;
        self.note_complete();
    }

    /// Takes in that the store did not answer.
    pub fn note_store_failure(&mut self, now: units::MonoTime) {
        self.failed = Some(now);
    }
}
