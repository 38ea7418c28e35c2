//! The starts of one upstream: which are over, and since when the present one is known.

use std::collections;

use crate::{ids, units};

/// Starts of one upstream that are remembered as over. An entry of one may still arrive seconds later,
/// by a store that is slow or a member that is behind; an upstream that starts more often meanwhile
/// is of no use to anybody.
const MAX_OVER: usize = 8;

/// What is known of the starts of one upstream.
#[derive(Debug, Default)]
pub(crate) struct StartRecord {
    /// When the present one became known.
    pub(crate) known_since: units::MonoTime,
    /// Those that are over, oldest first, at most [`MAX_OVER`]; never holds the present one.
    over: collections::VecDeque<ids::UpstreamStart>,
}

impl StartRecord {
    /// Whether a start is known to be over.
    pub(crate) fn is_over(&self, start: Option<ids::UpstreamStart>) -> bool {
        start.is_some_and(|start| self.over.contains(&start))
    }

    /// Puts another start in the place of the present one.
    pub(crate) fn replace(
        &mut self,
        now: units::MonoTime,
        before: Option<ids::UpstreamStart>,
        present: Option<ids::UpstreamStart>,
    ) {
        self.known_since = now;
        self.over.retain(|start| Some(*start) != present);
        self.over.extend(before);
        if self.over.len() > MAX_OVER {
            self.over.pop_front();
        }
    }
}
