//! Event queue in virtual time, ordered by time and then by the order of scheduling.

use std::{cmp, collections};

use slipturn_core::units;

#[derive(Debug)]
struct QueuedEvent<T> {
    at: units::MonoTime,
    /// Sequence number; events at the same time are handled in the order in which they were scheduled.
    sequence: u64,
    event: T,
}

impl<T> PartialEq for QueuedEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}
impl<T> Eq for QueuedEvent<T> {}
impl<T> PartialOrd for QueuedEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for QueuedEvent<T> {
    /// Compares in reverse, as the heap returns its greatest element first.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Scheduled events, of which the earliest is removed first.
#[derive(Debug)]
pub(crate) struct EventQueue<T> {
    /// Sequence number of the last scheduled event.
    sequence: u64,
    events: collections::BinaryHeap<QueuedEvent<T>>,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { sequence: 0, events: collections::BinaryHeap::new() }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event at a time; it follows the events that are already scheduled for the same time.
    pub(crate) fn push(&mut self, at: units::MonoTime, event: T) {
        self.sequence += 1;
        self.events.push(QueuedEvent { at, sequence: self.sequence, event });
    }

    /// Removes and returns the next event if it is due by `end`.
    pub(crate) fn pop_until(&mut self, end: units::MonoTime) -> Option<(units::MonoTime, T)> {
        self.events.peek().filter(|next| next.at <= end)?;
        self.events.pop().map(|next| (next.at, next.event))
    }
}
