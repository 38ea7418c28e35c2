//! Event queue in virtual time, ordered by time and then by the order of scheduling.

use std::{cmp, collections};

use slipturn_core::units;

#[derive(Debug)]
struct QueuedEvent<T> {
    at: units::MonoTime,
    order: u64,
    event: T,
}

impl<T> PartialEq for QueuedEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl<T> Eq for QueuedEvent<T> {}
impl<T> PartialOrd for QueuedEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for QueuedEvent<T> {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A queue of scheduled events.
#[derive(Debug)]
pub(crate) struct EventQueue<T> {
    /// Number of the last scheduled event.
    order: u64,
    events: collections::BinaryHeap<QueuedEvent<T>>,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { order: 0, events: collections::BinaryHeap::new() }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event.
    pub(crate) fn push(&mut self, at: units::MonoTime, event: T) {
        self.order += 1;
        self.events.push(QueuedEvent { at, order: self.order, event });
    }

    /// Removes and returns the next event if it is due by `end`.
    pub(crate) fn pop_until(&mut self, end: units::MonoTime) -> Option<(units::MonoTime, T)> {
        self.events.peek().filter(|next| next.at <= end)?;
        self.events.pop().map(|next| (next.at, next.event))
    }
}
