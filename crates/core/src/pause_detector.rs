//! Notices pauses of the whole process, after which what it believes may be old.

use std::time;

use crate::units;

/// Notices that the process was paused, from the gap between two events.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    bound: time::Duration,
    last: Option<units::MonoTime>,
    /// Pauses noticed so far.
    pub(crate) wakes: u64,
    /// Whether nothing was heard from any source since the last pause.
    pub(crate) unrefreshed: bool,
}

impl PauseDetector {
    /// A watch that takes a gap longer than `bound` for a pause.
    pub(crate) fn new(bound: time::Duration) -> Self {
        Self { bound, last: None, wakes: 0, unrefreshed: true }
    }

    /// Notes that something happens now.
    pub(crate) fn notice(&mut self, now: units::MonoTime) {
        if self.last.is_some_and(|last| now.since(last) > self.bound) {
            self.wakes += 1;
            self.unrefreshed = true;
        }
        self.last = Some(now);
    }
}
