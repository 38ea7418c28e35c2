//! Permits that this member holds, and its requests for more to the coordinators of the quotas.

use std::{collections, time};

use crate::{quota_permit, units};

/// Window over which this member's demand for permits is counted.
const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(1);
/// Divisor of the demand in [`DEMAND_WINDOW`]: permits are requested ahead for the next tenth of a second.
const PREFETCH_DIVISOR: usize = 10;

/// What a request that needs a permit does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitStep {
    /// Send with this permit.
    Send(quota_permit::PermitTerm),
    /// Request permits from the coordinator.
    Request(quota_permit::PermitRequest),
    /// Try another upstream: no permits can be requested before the end of this backoff.
    Backoff(time::Duration),
}

/// Permits of one quota, and this member's demand for them.
#[derive(Debug, Default)]
struct CacheRow {
    /// Permits that were granted and not used yet, some of them perhaps expired.
    cached: collections::VecDeque<quota_permit::PermitTerm>,
    /// End of the backoff before the next request for permits.
    backoff_until: units::MonoTime,
    /// Times at which a permit was needed recently, oldest first.
    demand: collections::VecDeque<units::MonoTime>,
}

/// Permits of this member and its demand for more, by the quota that they are for.
#[derive(Debug)]
pub struct PermitCache<K> {
    rows: collections::BTreeMap<K, CacheRow>,
}

impl<K> Default for PermitCache<K> {
    fn default() -> Self {
        Self { rows: collections::BTreeMap::new() }
    }
}

impl<K: Ord + Clone> PermitCache<K> {
    /// The next step of a request that waits for a permit for at most `max_wait`.
    pub fn step(
        &mut self,
        now: units::MonoTime,
        subject: &K,
        max_wait: time::Duration,
    ) -> PermitStep {
        let row = self.rows.entry(subject.clone()).or_default();
        row.count_demand(now);
        row.cached.retain(|term| term.is_valid(now));
        let in_time = |term: &quota_permit::PermitTerm| term.from <= now + max_wait;
        if let Some(at) = row.cached.iter().position(in_time)
            && let Some(term) = row.cached.remove(at)
        {
            return PermitStep::Send(term);
        }
        let backoff = row.backoff_until.since(now);
        if backoff > max_wait {
            return PermitStep::Backoff(backoff);
        }
        let wanted = u32::try_from(row.demand.len() / PREFETCH_DIVISOR).unwrap_or(u32::MAX).max(1);
        let patience_ms = u32::try_from(max_wait.as_millis()).unwrap_or(u32::MAX);
        PermitStep::Request(quota_permit::PermitRequest { wanted, patience_ms })
    }

    /// Time until permits of a quota may be requested again; zero without a backoff.
    pub fn backoff_left(&self, now: units::MonoTime, subject: &K) -> time::Duration {
        self.rows.get(subject).map_or(time::Duration::ZERO, |row| row.backoff_until.since(now))
    }

    /// Applies the response to a request for permits sent at `requested_at`; returns a permit, or the backoff, which is zero
    /// if permits were granted but have expired since.
    pub fn receive(
        &mut self,
        now: units::MonoTime,
        subject: &K,
        requested_at: units::MonoTime,
        response: quota_permit::PermitResponse,
    ) -> Result<quota_permit::PermitTerm, time::Duration> {
        let row = self.rows.entry(subject.clone()).or_default();
        match response {
            quota_permit::PermitResponse::Granted { count, wait_ms } => {
                let wait = time::Duration::from_millis(u64::from(wait_ms));
                let term = quota_permit::PermitTerm::of_answer(requested_at, wait);
                let more = count.saturating_sub(1) as usize;
                row.cached.extend(std::iter::repeat_n(term, more));
                if term.is_valid(now) { Ok(term) } else { Err(time::Duration::ZERO) }
            }
            quota_permit::PermitResponse::Refused { back_ms } => {
                let backoff = time::Duration::from_millis(u64::from(back_ms));
                row.backoff_until = row.backoff_until.max(now + backoff);
                Err(backoff)
            }
        }
    }

    /// Stores a permit that was not used, so that another request can use it.
    pub fn put_back(&mut self, subject: &K, term: quota_permit::PermitTerm) {
        let row = self.rows.entry(subject.clone()).or_default();
        row.cached.push_back(term);
    }

    /// Starts a backoff after a coordinator has not responded.
    pub fn note_silence(&mut self, now: units::MonoTime, subject: &K, backoff: time::Duration) {
        let row = self.rows.entry(subject.clone()).or_default();
        row.backoff_until = row.backoff_until.max(now + backoff);
    }

    /// Ends the backoff of a quota that has changed, so that permits can be requested at once.
    pub fn end_backoff(&mut self, subject: &K) {
        if let Some(row) = self.rows.get_mut(subject) {
            row.backoff_until = units::MonoTime::default();
        }
    }

    /// Drops the permits, backoff and demand of the quotas for which `needed` returns false.
    pub fn retain(&mut self, needed: impl Fn(&K) -> bool) {
        self.rows.retain(|subject, _| needed(subject));
    }
}

impl CacheRow {
    /// Counts a request that needs a permit.
    fn count_demand(&mut self, now: units::MonoTime) {
        while self.demand.front().is_some_and(|at| now.since(*at) >= DEMAND_WINDOW) {
            self.demand.pop_front();
        }
        self.demand.push_back(now);
    }
}
