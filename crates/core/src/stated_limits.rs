//! Tells first attempts from retries by the time limits that callers state.
//!
//! A retry has a new request id and arrives at another instance, so an instance that has just started cannot recognize
//! it by its content. But first attempts of a class state the same time limit, while a retry states what is left of it,
//! which hardly any other request states.

use std::{collections, time};

use crate::start_hold;

/// Most stated time limits that are remembered; retries state a different one each.
const MAX_LIMITS: usize = 64;

/// The time limits that callers have stated since the start of the process.
#[derive(Debug, Default)]
pub struct StatedLimits {
    /// Number of requests by stated time limit in milliseconds; at most [`MAX_LIMITS`] entries.
    counts: collections::BTreeMap<u64, u32>,
}

impl StatedLimits {
    /// Records the time limit that a request states.
    pub fn note(&mut self, stated: time::Duration) {
        let millis = whole_millis(stated);
        if self.counts.len() >= MAX_LIMITS && !self.counts.contains_key(&millis) {
            let rarest = self.counts.iter().min_by_key(|(_, count)| **count);
            if let Some(rarest) = rarest.map(|(millis, _)| *millis) {
                self.counts.remove(&rarest);
            }
        }
        let count = self.counts.entry(millis).or_default();
        *count = count.saturating_add(1);
    }

    /// Returns which attempt of its caller a request with this recorded time limit probably is: the last one if no
    /// other request states that limit while several state a longer one. The answer may change with further requests.
    pub fn attempt(&self, stated: time::Duration) -> start_hold::CallerAttempt {
        let millis = whole_millis(stated);
        let is_common = |count: &u32| *count > 1;
        let is_own_common = self.counts.get(&millis).is_some_and(is_common);
        let mut longer = self.counts.range(millis.saturating_add(1)..).map(|(_, count)| count);
        if !is_own_common && longer.any(is_common) {
            start_hold::CallerAttempt::Last
        } else {
            start_hold::CallerAttempt::First
        }
    }
}

fn whole_millis(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
