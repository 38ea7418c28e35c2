//! The starts of one upstream: which are over, and since when the present one is known.

use std::{collections, time};

use crate::{ids, units, upstream_list};

/// Time for which the list must go on naming a start that is over before it is taken for the present
/// one after all. A write of the start before may be carried out seconds late, and the present one
/// writes over it with its next heartbeat, each 1.2 s.
pub(crate) const RELISTED_TIME: time::Duration = time::Duration::from_secs(3);

/// Starts of one upstream that are remembered as over. An entry of one may still arrive seconds later,
/// by a store that is slow or a member that is behind; an upstream that starts more often meanwhile
/// is of no use to anybody.
const MAX_ENDED: usize = 8;

/// What is known of the starts of one upstream.
#[derive(Debug, Default)]
pub(crate) struct StartRecord {
    /// When the present one became known, or the last one was not listed any more.
    pub(crate) known_since: units::MonoTime,
    /// The last one, while none is listed.
    last: Option<ids::UpstreamStart>,
    /// Those that are over, oldest first, at most [`MAX_ENDED`]; never holds the present one.
    ended: collections::VecDeque<ids::UpstreamStart>,
    /// The entry of one that is over, which the list names again, and since when.
    relisted: Option<(upstream_list::UpstreamEntry, units::MonoTime)>,
}

impl StartRecord {
    /// Whether a start is known to be over.
    pub(crate) fn is_ended(&self, start: Option<ids::UpstreamStart>) -> bool {
        start.is_some_and(|start| self.ended.contains(&start))
    }

    /// Puts another start in the place of the present one.
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

    /// Notes that the present one is not listed any more: it may come back, or another one in its place.
    pub(crate) fn note_unlisted(&mut self, now: units::MonoTime, present: ids::UpstreamStart) {
        self.known_since = now;
        self.relisted = None;
        self.last = Some(present);
    }

    /// Notes that the list names a start that is over.
    pub(crate) fn note_relisted(
        &mut self,
        now: units::MonoTime,
        entry: upstream_list::UpstreamEntry,
    ) {
        let same = self.relisted.take().filter(|(relisted, _)| relisted.name == entry.name);
        self.relisted = Some((entry, same.map_or(now, |(_, since)| since)));
    }

    /// Notes that the list does not go on naming one that is over, or that the present one has spoken.
    pub(crate) fn clear_relisted(&mut self) {
        self.relisted = None;
    }

    /// The entry that the list has named for long enough.
    pub(crate) fn take_relisted(
        &mut self,
        now: units::MonoTime,
    ) -> Option<upstream_list::UpstreamEntry> {
        let due = self.relisted.take_if(|(_, since)| now.since(*since) >= RELISTED_TIME);
        due.map(|(entry, _)| entry)
    }
}
