//! How long a version that another member has is missing here.

use std::time;

use crate::units;

/// Follows one kind of document: the oldest version of others that this process still lacks.
///
/// Comparing newest with newest would not do: while changes follow each other, some member is
/// always a moment ahead, and a process that receives every change would look late at each check.
#[derive(Debug, Default)]
pub struct DocumentLag<V> {
    /// The version missed, and when it was seen to be missing; newer than the own one.
    missing: Option<(V, units::MonoTime)>,
    /// Up to here the source itself does not have what members claimed.
    refuted: V,
}

impl<V: Copy + Default + Ord> DocumentLag<V> {
    /// Takes in the own version and the newest that another member has; for how long the own one
    /// has been older than one that a member had.
    pub fn observe(&mut self, now: units::MonoTime, own: V, newest: V) -> time::Duration {
        self.missing = self.missing.filter(|(missing, _)| *missing > own);
        if newest <= own.max(self.refuted) {
            return time::Duration::ZERO;
        }
        let (_, since) = self.missing.get_or_insert((newest, now));
        now.since(*since)
    }

    /// The version that is missed.
    pub fn missing(&self) -> Option<V> {
        self.missing.map(|(version, _)| version)
    }

    /// Takes in that the source, asked at `asked`, has nothing newer than the `own` version: a
    /// version that was missed before then is one that no member can give. Without this a member that
    /// claims such a version, or reads a document that this process rejects, cost ten calls a
    /// second.
    pub fn refute(&mut self, own: V, asked: units::MonoTime) {
        let claimed = self.missing.filter(|(missing, since)| *missing > own && *since <= asked);
        if let Some((missing, _)) = claimed {
            self.refuted = self.refuted.max(missing);
            self.missing = None;
        }
    }

    /// Forgets what the source did not have: its writers may write it again.
    pub fn forget_refuted(&mut self) {
        self.refuted = V::default();
    }

    /// The version up to which nothing newer is to be had.
    pub fn known(&self, own: V) -> V {
        own.max(self.refuted)
    }
}
