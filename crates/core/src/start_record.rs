//! The starts of one upstream: which have ended, and since when the present one is known. A start is one life of an
//! upstream's process.

use std::{collections, time};

use crate::{ids, units, upstream_list};

/// How long the list must keep naming an ended start until that start becomes the present one again.
///
/// A write of the previous start may be executed seconds late, and the present one overwrites it with its next
/// heartbeat, within 1.2 s.
pub(crate) const RELISTED_TIME: time::Duration = time::Duration::from_secs(3);

/// Most ended starts remembered per upstream.
///
/// Entries of an ended start may arrive seconds late, from a slow store or a member with an older list. An upstream
/// that restarts more often within that time is unusable anyway.
const MAX_ENDED: usize = 8;

/// What is known of an upstream's starts beside the present one, which its list entry names.
#[derive(Debug, Default)]
pub(crate) struct StartRecord {
    /// When the present start became known, or when the last one was removed from the list.
    pub(crate) known_since: units::MonoTime,
    /// The start that was present when the upstream was last removed from the list; `None` while the upstream is
    /// listed.
    last: Option<ids::UpstreamStart>,
    /// Ended starts, oldest first, at most [`MAX_ENDED`]; never contains the present one.
    ended: collections::VecDeque<ids::UpstreamStart>,
    /// The entry of an ended start that the list names again, and since when it does.
    relisted: Option<(upstream_list::UpstreamEntry, units::MonoTime)>,
}

impl StartRecord {
    /// Whether a start is known to have ended.
    pub(crate) fn is_ended(&self, start: Option<ids::UpstreamStart>) -> bool {
        start.is_some_and(|start| self.ended.contains(&start))
    }

    /// Records that `present` has replaced the start `before` or, if that is `None`, the one that was listed last.
    pub(crate) fn replace(
        &mut self,
        now: units::MonoTime,
        before: Option<ids::UpstreamStart>,
        present: Option<ids::UpstreamStart>,
    ) {
        self.known_since = now;
        self.relisted = None;
        self.ended.retain(|start| Some(*start) != present);
        let last = self.last.take().filter(|last| Some(*last) != present);
        self.ended.extend(before.or(last));
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }

    /// Records that the present start is no longer listed. It may return, or another start may replace it.
    pub(crate) fn note_unlisted(&mut self, now: units::MonoTime, present: ids::UpstreamStart) {
        self.known_since = now;
        self.relisted = None;
        self.last = Some(present);
    }

    /// Records that the list names an ended start.
    pub(crate) fn note_relisted(
        &mut self,
        now: units::MonoTime,
        entry: upstream_list::UpstreamEntry,
    ) {
        let same = self.relisted.take().filter(|(relisted, _)| relisted.name == entry.name);
        self.relisted = Some((entry, same.map_or(now, |(_, since)| since)));
    }

    /// Discards the entry of an ended start, as the list no longer names that start, or the present start has
    /// reported itself.
    pub(crate) fn clear_relisted(&mut self) {
        self.relisted = None;
    }

    /// Takes the entry of an ended start once the list has named it for [`RELISTED_TIME`].
    pub(crate) fn take_relisted(
        &mut self,
        now: units::MonoTime,
    ) -> Option<upstream_list::UpstreamEntry> {
        let due = self.relisted.take_if(|(_, since)| now.since(*since) >= RELISTED_TIME);
        due.map(|(entry, _)| entry)
    }
}
