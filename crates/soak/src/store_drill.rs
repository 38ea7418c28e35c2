//! Keeps recent copies of the store, to restore an older state in a drill: an outage of the store
//! that ends with the restore of a copy.

use std::{
    collections,
    time::{Duration, Instant},
};

use slipturn_platform_standin::store::{Store, StoreCopy, StoreMode};

/// Minimum time between two copies of the store.
const COPY_INTERVAL: Duration = Duration::from_millis(100);
/// Age beyond which a copy of the store is dropped; drills restore copies up to about 5 s old.
const MAX_AGE: Duration = Duration::from_secs(6);

/// Recent copies of the store with the time of each, oldest first.
#[derive(Default)]
pub(crate) struct CopyLog {
    copies: collections::VecDeque<(Instant, StoreCopy)>,
}

impl CopyLog {
    /// Copies the store if [`COPY_INTERVAL`] has passed since the last copy, and drops copies older
    /// than [`MAX_AGE`].
    pub(crate) fn copy_if_due(&mut self, now: Instant, store: &Store) {
        if self.copies.back().is_some_and(|(at, _)| now - *at < COPY_INTERVAL) {
            return;
        }
        self.copies.push_back((now, store.copy()));
        while self.copies.front().is_some_and(|(at, _)| now - *at > MAX_AGE) {
            self.copies.pop_front();
        }
    }

    /// Restores the store from the newest copy that is at least `age` old, or else from the oldest,
    /// and makes it available again.
    pub(crate) fn restore_copy(&self, now: Instant, age: Duration, store: &Store) {
        let old_enough = |(at, _): &&(Instant, StoreCopy)| now - *at >= age;
        let copy = self.copies.iter().rev().find(old_enough).or(self.copies.front());
        if let Some((_, copy)) = copy {
            store.restore_copy(copy, 1);
        }
        store.set_mode(StoreMode::Good);
    }
}
