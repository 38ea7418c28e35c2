//! Losses of power, limits of the store's reads, and upstreams that crash in answers without a length.

use std::time::{Duration, Instant};

use slipturn_platform_standin::{
    runner::{Rejection, RunnerMode},
    store::ReadLimit,
};

use crate::{
    evidence::UpstreamListing,
    fault_injector::{FaultEnd, FaultInjector},
    return_plan::WithheldState,
};

/// Number of entries of another writer that a return after a loss of power finds in the store.
const OTHER_ENTRIES: u32 = 300;
/// Number of items on a page of the store from the first loss of power on.
const PAGE_SIZE: usize = 50;
/// Time from the first answers without a length until the upstream gets no further requests.
const WITHHOLD_DELAY: Duration = Duration::from_millis(700);
/// Time from then until the upstream crashes.
const CRASH_DELAY: Duration = Duration::from_millis(300);
/// Downtime of an upstream that crashes.
const CRASH_DOWNTIME: Duration = Duration::from_millis(500);
/// `Retry-After` time of an upstream that rejects requests before it crashes, in seconds.
const RETRY_AFTER: &str = "2";

impl FaultInjector {
    /// Kills all instances and crashes all upstreams until `until`; the upstreams return under new identifiers, beside
    /// their former entries and those of another writer.
    pub(crate) fn lose_power(&mut self, until: Instant) {
        self.write_other_entries();
        self.record_external_fault(until);
        for number in 0..self.fleet.instances.len() as u8 {
            self.kill(number, until);
        }
        for (number, runner) in (0..).zip(self.fleet.runners()) {
            self.restart(number);
            runner.crash(until.saturating_duration_since(Instant::now()));
            let starts = self.evidence.upstream_restarts.len();
            runner.set_identifier(&format!("{}-{starts}", runner.name));
        }
        self.ends.push((until, FaultEnd::PowerBack));
    }

    /// Lists all upstreams under their present identifiers.
    pub(crate) fn list_upstreams(&mut self) {
        (0..self.fleet.runners().len() as u8).for_each(|number| self.list(number, false));
    }

    /// Writes the entries of another writer, unless they are there.
    fn write_other_entries(&self) {
        let store = &self.fleet.store;
        store.set_page_size(PAGE_SIZE);
        for number in 0..OTHER_ENTRIES {
            let key = format!("servers/other-{number}");
            if store.value(&key).is_none() {
                let entry = serde_json::json!({"service": "other", "address": "127.0.0.9:9",
                    "zone": "a", "version": "v1", "slots": 1, "state": "ready",
                    "cold_remaining_ms": 0, "sequence": 1});
                store.put(&key, Some(entry.to_string()));
            }
        }
    }

    /// Limits the reads of the store until `until`.
    pub(crate) fn limit_reads(&mut self, limit: ReadLimit, until: Instant) {
        self.record_contact_loss(None, until);
        self.fleet.store.set_read_limit(Some(limit));
        self.ends.push((until, FaultEnd::ReadsUnlimited));
    }

    /// Lets an upstream begin answers without a length; it gets no more requests then, crashes, and is used as before at
    /// `until`.
    pub(crate) fn crash_unframed(&mut self, number: u8, state: WithheldState, until: Instant) {
        let withhold_at = Instant::now() + WITHHOLD_DELAY;
        self.record_external_fault(until);
        self.set_unframed(number, true);
        self.ends.push((withhold_at, FaultEnd::Withhold(number, state)));
        self.ends.push((withhold_at + CRASH_DELAY, FaultEnd::Crash(number)));
        self.ends.push((until, FaultEnd::CrashOver(number)));
    }

    /// Sets whether the answers of an upstream have a length.
    fn set_unframed(&self, number: u8, unframed: bool) {
        let runner = &self.fleet.runners()[usize::from(number)];
        if number < self.first_plain() {
            runner.set_unframed_streams(unframed);
        } else {
            runner.set_mode(if unframed { RunnerMode::Unframed } else { RunnerMode::Good });
        }
    }

    /// Makes an upstream get no further requests.
    pub(crate) fn withhold(&mut self, number: u8, state: WithheldState) {
        let runner = self.fleet.runners()[usize::from(number)].clone();
        match state {
            WithheldState::Backoff => {
                runner.set_rejection(Some(Rejection::with_retry_after(RETRY_AFTER)));
            }
            WithheldState::Leaving => self.list(number, true),
            WithheldState::Unlisted => {
                self.fleet.unlist(&runner);
                let listing =
                    UpstreamListing { upstream: number, leaving: true, at: Instant::now() };
                self.evidence.listings.push(listing);
            }
        }
    }

    /// Crashes an upstream for a short time.
    pub(crate) fn crash(&mut self, number: u8) {
        self.evidence.upstream_restarts.push((number, Instant::now()));
        self.fleet.runners()[usize::from(number)].crash(CRASH_DOWNTIME);
    }

    /// Lets an upstream that has crashed be used as before.
    pub(crate) fn end_crash(&mut self, number: u8) {
        self.set_unframed(number, false);
        self.fleet.runners()[usize::from(number)].set_rejection(None);
        self.list(number, false);
    }
}
