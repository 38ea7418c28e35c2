//! Copies of the store as it was, to return from.

use std::{
    collections,
    time::{Duration, Instant},
};

use slipturn_platform_standin::store::{Store, StoreCopy, StoreMode};

/// Time between two copies.
const COPY_INTERVAL: Duration = Duration::from_millis(100);
/// Age beyond which copies are dropped.
const MAX_AGE: Duration = Duration::from_secs(6);

/// Copies, oldest first.
#[derive(Default)]
pub(crate) struct CopyLog {
    copies: collections::VecDeque<(Instant, StoreCopy)>,
}

impl CopyLog {
    /// Takes a copy, where the last one is old enough.
    pub(crate) fn take(&mut self, now: Instant, store: &Store) {
        if self.copies.back().is_some_and(|(at, _)| now - *at < COPY_INTERVAL) {
            return;
        }
        self.copies.push_back((now, store.copy()));
        while self.copies.front().is_some_and(|(at, _)| now - *at > MAX_AGE) {
            self.copies.pop_front();
        }
    }

    /// Returns the store from a copy of such an age.
    pub(crate) fn restore_copy(&self, now: Instant, age: Duration, store: &Store) {
        let old_enough = |(at, _): &&(Instant, StoreCopy)| now - *at >= age;
        let copy = self.copies.iter().rev().find(old_enough).or(self.copies.front());
        if let Some((_, copy)) = copy {
            store.restore_copy(copy, 1);
        }
        store.set_mode(StoreMode::Good);
    }
}
