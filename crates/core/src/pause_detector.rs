//! Detects pauses of the whole process, after which its state may be out of date.

use std::time;

use crate::units;

/// Detects pauses by the time between two events, at which the process certainly runs.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    bound: time::Duration,
    /// Time of the last event.
    last: Option<units::MonoTime>,
    /// Number of pauses so far. If it changes during a query, the answer may be outdated.
    pub(crate) pause_count: u64,
    /// Whether the settings and the list may be out of date, as their sources have not been queried
    /// since the last pause or, before any, since the start.
    pub(crate) unrefreshed: bool,
}

impl PauseDetector {
    /// Creates a detector that considers a time longer than `bound` between two events a pause.
    pub(crate) fn new(bound: time::Duration) -> Self {
        Self { bound, last: None, pause_count: 0, unrefreshed: true }
    }

    /// Records that the process runs now, after a pause if the last event was longer ago than the
    /// bound.
    pub(crate) fn record_event(&mut self, now: units::MonoTime) {
        if self.last.is_some_and(|last| now.since(last) > self.bound) {
            self.pause_count += 1;
            self.unrefreshed = true;
        }
        self.last = Some(now);
    }
}
