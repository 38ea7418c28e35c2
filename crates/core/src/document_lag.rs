//! How long a version that another member has is missing here.

use std::time;

use crate::units;

/// Follows one kind of document: the oldest version of others that this process still lacks.
///
/// Comparing newest with newest would not do: while changes follow each other, some member is
/// always a moment ahead, and a process that hears every change looks behind at each look.
#[derive(Debug, Default)]
pub struct DocumentLag {
    /// The version missed, and when it was seen to be missing; newer than the own one.
    missed: Option<(u64, units::MonoTime)>,
    /// Up to here the source itself does not have what members claimed.
    refuted: u64,
}

impl DocumentLag {
    /// Takes in the own version and the newest that another member has; for how long the own one
    /// has been older than one that a member had.
    pub fn observe(&mut self, now: units::MonoTime, own: u64, newest: u64) -> time::Duration {
        self.missed = self.missed.filter(|(missed, _)| *missed > own);
        if newest <= own.max(self.refuted) {
            return time::Duration::ZERO;
        }
        let (_, since) = self.missed.get_or_insert((newest, now));
        now.since(*since)
    }

    /// Takes in that the source, asked at `asked`, has nothing newer than the `own` version: a
    /// version that was missed before then is one that no member can give. Without this a member that
    /// claims such a version, or reads a document that this process rejects, cost ten calls a
    /// second.
    pub fn refute(&mut self, own: u64, asked: units::MonoTime) {
        let claimed = self.missed.filter(|(missed, since)| *missed > own && *since <= asked);
        if let Some((missed, _)) = claimed {
            self.refuted = self.refuted.max(missed);
            self.missed = None;
        }
    }

    /// The version up to which nothing newer is to be had.
    pub fn known(&self, own: u64) -> u64 {
        own.max(self.refuted)
    }
}
