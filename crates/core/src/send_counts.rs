//! How many requests this process sent to each upstream lately, for people who look at shares.

use std::{collections, time};

use crate::{ids, units};

/// For how long a request counts.
pub const COUNT_TIME: time::Duration = time::Duration::from_secs(10);
/// Span that is counted, and forgotten, as one.
const SLICE_TIME: time::Duration = time::Duration::from_secs(1);

/// Requests sent within one span.
#[derive(Debug)]
struct CountSlice {
    begun: units::MonoTime,
    counts: collections::HashMap<ids::UpstreamId, u32>,
}

/// Requests of the last [`COUNT_TIME`], by upstream.
#[derive(Debug, Default)]
pub struct SendCounts {
    /// Oldest first; begun a [`SLICE_TIME`] apart or more.
    slices: collections::VecDeque<CountSlice>,
}

impl SendCounts {
    /// Counts a request.
    pub fn count(&mut self, now: units::MonoTime, upstream: &ids::UpstreamId) {
        while self.slices.front().is_some_and(|slice| !slice.is_recent(now)) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| now.since(slice.begun) >= SLICE_TIME) {
            self.slices.push_back(CountSlice { begun: now, counts: collections::HashMap::new() });
        }
        let slice = self.slices.back_mut().expect("one was pushed above");
        *slice.counts.entry(upstream.clone()).or_default() += 1;
    }

    /// Requests that were sent to an upstream lately.
    pub fn lately(&self, now: units::MonoTime, upstream: &ids::UpstreamId) -> u32 {
        let recent = self.slices.iter().filter(|slice| slice.is_recent(now));
        recent.filter_map(|slice| slice.counts.get(upstream)).sum()
    }
}

impl CountSlice {
    fn is_recent(&self, now: units::MonoTime) -> bool {
        now.since(self.begun) < COUNT_TIME
    }
}
