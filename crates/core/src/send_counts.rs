//! Number of requests that this process recently sent to each upstream, for the status pages.

use std::{collections, time};

use crate::{ids, units};

/// Time for which a request is counted.
pub const COUNT_TIME: time::Duration = time::Duration::from_secs(10);
/// Length of a slice of time, whose requests expire together.
const SLICE_TIME: time::Duration = time::Duration::from_secs(1);

/// Requests sent within one slice of time, by upstream.
#[derive(Debug)]
struct CountSlice {
    /// Time of the first request in the slice.
    begun: units::MonoTime,
    counts: collections::HashMap<ids::UpstreamId, u32>,
}

/// Number of requests in the last [`COUNT_TIME`], by upstream.
#[derive(Debug, Default)]
pub struct SendCounts {
    /// Slices in which requests were sent, oldest first; consecutive slices begin at least [`SLICE_TIME`] apart.
    slices: collections::VecDeque<CountSlice>,
}

impl SendCounts {
    /// Counts a request sent to an upstream, and drops old slices.
    pub fn count(&mut self, now: units::MonoTime, upstream: &ids::UpstreamId) {
        while self.slices.front().is_some_and(|slice| !slice.is_recent(now)) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| now.since(slice.begun) >= SLICE_TIME) {
            self.slices.push_back(CountSlice { begun: now, counts: collections::HashMap::new() });
        }
        let slice = self.slices.back_mut().expect("a slice was pushed above");
        *slice.counts.entry(upstream.clone()).or_default() += 1;
    }

    /// Number of requests that were sent to an upstream within the last [`COUNT_TIME`], to the accuracy of a slice.
    pub fn recent_count(&self, now: units::MonoTime, upstream: &ids::UpstreamId) -> u32 {
        let recent = self.slices.iter().filter(|slice| slice.is_recent(now));
        recent.filter_map(|slice| slice.counts.get(upstream)).sum()
    }
}

impl CountSlice {
    fn is_recent(&self, now: units::MonoTime) -> bool {
        now.since(self.begun) < COUNT_TIME
    }
}
