//! Measures how long this process has lacked a document version that other members have.

use std::time;

use crate::units;

/// Tracks, for one kind of document, the oldest version of other members that this process still lacks.
///
/// Comparing the newest versions is not enough: while changes follow each other, some member is
/// always a moment ahead, and a process that receives every change would look late at each check.
#[derive(Debug, Default)]
pub struct DocumentLag<V> {
    /// The missing version, newer than the local one, and when it was first seen to be missing.
    missing: Option<(V, units::MonoTime)>,
    /// Highest version that members claimed and that the source turned out not to have.
    refuted: V,
}

impl<V: Copy + Default + Ord> DocumentLag<V> {
    /// Records the local version and the newest one of other members. Returns for how long the local version
    /// has been older than one that a member had.
    pub fn observe(&mut self, now: units::MonoTime, own: V, newest: V) -> time::Duration {
        self.missing = self.missing.filter(|(missing, _)| *missing > own);
        if newest <= own.max(self.refuted) {
            return time::Duration::ZERO;
        }
        let (_, since) = self.missing.get_or_insert((newest, now));
        now.since(*since)
    }

    /// The oldest version of other members that this process lacks.
    pub fn missing(&self) -> Option<V> {
        self.missing.map(|(version, _)| version)
    }

    /// Records that a query of the source, sent at `queried_at`, found nothing newer than the `own` version. A version
    /// that was already missing at `queried_at` is considered unavailable.
    ///
    /// Otherwise a member that claims a version which no source can provide, or that accepts a document which this
    /// process rejects, would make this process send ten calls a second to fetch that version.
    pub fn refute(&mut self, own: V, queried_at: units::MonoTime) {
        let claimed =
            self.missing.filter(|(missing, since)| *missing > own && *since <= queried_at);
        if let Some((missing, _)) = claimed {
            self.refuted = self.refuted.max(missing);
            self.missing = None;
        }
    }

    /// Forgets which versions the source did not have, for a source that was restored from an older copy: those
    /// versions may be written to it again.
    pub fn forget_refuted(&mut self) {
        self.refuted = V::default();
    }

    /// The version above which a newer one may be available: the later of the local and the refuted one.
    pub fn known(&self, own: V) -> V {
        own.max(self.refuted)
    }
}
