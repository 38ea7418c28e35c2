//! The scheduler's ledger of one engine: leases, waiting requests, and memory that the engine reports as held.
//!
//! The engine's report is authoritative: memory counts as free only once a lease is gone and the engine no longer
//! lists the attempt. A ledger that starts empty, as after a crash, is rebuilt from the engine's reports and from the
//! lease renewals of the instances that are still streaming answers.

use std::{collections, time};

use crate::{fair_queue, free_capacity, ids, placement, refusal, service_rank, settings, units};

/// Assumed time between two output tokens, for estimates of the whole answer.
const TOKEN_INTERVAL: time::Duration = time::Duration::from_millis(30);
/// Prefill work that is queued on an engine in advance, beyond the request in progress, as time at its prefill rate.
const PREFILL_AHEAD: time::Duration = time::Duration::from_millis(250);
/// Time without a load report after which an engine counts as unreachable.
const REPORT_LIMIT: time::Duration = time::Duration::from_secs(3);
/// How long the engine's reports may still list an attempt after its release.
const RELEASE_LAG: time::Duration = time::Duration::from_secs(2);
/// How long earlier values of the leases' remaining prefill are kept. A report of an older state of the engine is
/// compared with the oldest value.
const HISTORY_SPAN: time::Duration = time::Duration::from_secs(5);
/// Fraction of the time from the arrival of a request to its latest start after which the request counts as overdue.
pub(crate) const OVERDUE_FRACTION: f64 = 0.5;
/// How long a lease is kept after the request's time limit, while a cancel may still be on its way.
const LEASE_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Capacity on an engine, held for one attempt.
#[derive(Debug, Clone)]
pub struct EngineLease {
    pub(crate) request: placement::CapacityRequest,
    pub(crate) rank: service_rank::ServiceRank,
    /// Estimated number of prompt tokens that are not prefilled yet. Never increases.
    pub(crate) prefill_left: f64,
    /// When the instance that sent the request last confirmed that it is still streaming the answer.
    pub(crate) renewed: units::MonoTime,
}

/// Memory that the engine holds for an attempt without a lease.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrphanRecord {
    tokens: units::TokenCount,
    /// When the engine's report first listed the attempt, or when its lease ended.
    since: units::MonoTime,
}

/// The scheduler's record of one engine: its capacity, the leases on it, its orphans (attempts that it holds without a
/// lease) and the requests that wait for it.
#[derive(Debug)]
pub struct EngineLedger {
    pub(crate) capacity: units::TokenCount,
    pub(crate) prefill_rate: units::TokenRate,
    pub(crate) options: settings::FleetOptions,
    pub(crate) draining: bool,
    /// Invariant: when a lease was granted, the memory of all leases and known orphans did not exceed `capacity`.
    pub(crate) leases: collections::HashMap<ids::AttemptId, EngineLease>,
    pub(crate) orphans: collections::HashMap<ids::AttemptId, OrphanRecord>,
    /// Attempts whose lease has ended, with the time of its end; kept until the engine's reports no longer list them.
    pub(crate) released: collections::HashMap<ids::AttemptId, units::MonoTime>,
    pub(crate) queue: fair_queue::FairQueue<placement::CapacityRequest>,
    pub(crate) shares: service_rank::ShareMeter,
    /// Prefill work that the engine reported beyond that of the leases, tokens.
    pub(crate) foreign_prefill: f64,
    /// Remaining prefill of all leases at earlier times, tokens, oldest first. A report is compared with the value at
    /// the time of the reported state. Invariant: reaches back [`HISTORY_SPAN`] at most.
    pub(crate) history: collections::VecDeque<(units::MonoTime, f64)>,
    /// Time up to which the engine's prefill has been simulated.
    pub(crate) advanced: units::MonoTime,
    /// Time of the engine's last load report; `None` before the first.
    pub(crate) reported: Option<units::MonoTime>,
}

impl EngineLedger {
    /// Creates a ledger without leases. The engine counts as unreachable until its first report.
    pub fn new(
        now: units::MonoTime,
        capacity: units::TokenCount,
        prefill_rate: units::TokenRate,
        options: settings::FleetOptions,
    ) -> Self {
        Self {
            capacity,
            prefill_rate,
            options,
            draining: false,
            leases: collections::HashMap::new(),
            orphans: collections::HashMap::new(),
            released: collections::HashMap::new(),
            queue: fair_queue::FairQueue::default(),
            shares: service_rank::ShareMeter::default(),
            foreign_prefill: 0.0,
            history: collections::VecDeque::new(),
            advanced: now,
            reported: None,
        }
    }

    /// Replaces the settings; leases granted under the old ones stay.
    pub fn set_options(&mut self, options: settings::FleetOptions) {
        self.options = options;
    }

    /// Sets whether the published list marks the engine as leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.draining = leaving;
    }

    /// Memory neither leased nor held by an orphan (an attempt that the engine holds without a lease).
    pub fn free(&self) -> units::TokenCount {
        self.capacity.saturating_sub(self.leased() + self.orphaned())
    }

    /// Number of attempts with a lease.
    pub fn running(&self) -> usize {
        self.leases.len()
    }

    /// Number of requests that wait for a lease.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of attempts that the engine holds without a lease.
    pub fn orphan_count(&self) -> usize {
        self.orphans.len()
    }

    /// Whether the engine accepts no new work.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Whether the engine's last report is recent enough for new leases.
    pub fn reachable(&self, now: units::MonoTime) -> bool {
        self.reported.is_some_and(|reported| now.since(reported) <= REPORT_LIMIT)
    }

    /// Estimates when the engine could serve a request, or refuses it.
    pub fn offer(
        &mut self,
        now: units::MonoTime,
        request: &placement::CapacityRequest,
    ) -> Result<placement::EngineOffer, refusal::RequestRefusal> {
        self.advance_prefill(now);
        self.check(now, request)?;
        Ok(placement::EngineOffer {
            first_token: self.first_token(now, request),
            free: self.free(),
            running: self.leases.len(),
            waiting: self.queue.len(),
        })
    }

    /// Queues a request or refuses it at once. A repeated request has no effect.
    pub fn enqueue(
        &mut self,
        now: units::MonoTime,
        request: placement::CapacityRequest,
    ) -> Vec<placement::LedgerAction> {
        self.advance_prefill(now);
        let known = |waiting: &fair_queue::QueueItem<placement::CapacityRequest>| {
            waiting.payload.attempt == request.attempt
        };
        if self.leases.contains_key(&request.attempt) || self.queue.iter().any(known) {
            // A duplicate message must not create a second lease.
            return Vec::new();
        }
        if let Err(refusal) = self.check(now, &request) {
            return vec![placement::LedgerAction::Refuse(request.attempt, refusal)];
        }
        let spare = self.latest_start(&request).since(now);
        let item = fair_queue::QueueItem {
            customer: request.customer.clone(),
            weight: request.weight,
            cost: request.prefill() + request.output,
            overdue: now + spare.mul_f64(OVERDUE_FRACTION),
            payload: request,
        };
        self.queue.push(item);
        self.advance(now)
    }

    /// Performs all due actions: refuses requests that waited too long, ends expired leases and grants new ones.
    pub fn advance(&mut self, now: units::MonoTime) -> Vec<placement::LedgerAction> {
        self.advance_prefill(now);
        let mut actions = self.expire_waiting(now);
        actions.extend(self.expire_leases(now));
        actions.extend(self.grant_waiting(now));
        actions
    }

    /// Releases the lease of an attempt, or removes it from the queue. Unknown and repeated releases are ignored.
    pub fn release(
        &mut self,
        now: units::MonoTime,
        attempt: &ids::AttemptId,
    ) -> Vec<placement::LedgerAction> {
        if self.leases.remove(attempt).is_some() {
            self.released.insert(attempt.clone(), now);
        }
        self.queue.remove_where(|waiting| waiting.attempt == *attempt);
        self.advance(now)
    }

    /// Renews the leases of the attempts that an instance is still streaming, and ends the instance's other leases. A
    /// lease that was granted under the same `boot` id ends only `RELEASE_LAG` after its last renewal.
    ///
    /// A streaming attempt without a lease gets one, because the attempt may be older than this ledger.
    pub fn renew(
        &mut self,
        now: units::MonoTime,
        entry: &ids::InstanceId,
        boot: ids::BootId,
        streaming: &[placement::CapacityRequest],
    ) -> Vec<placement::LedgerAction> {
        for request in streaming {
            self.adopt(now, request);
        }
        let streamed: collections::HashSet<_> =
            streaming.iter().map(|request| &request.attempt).collect();
        let settled = |lease: &EngineLease| now.since(lease.renewed) >= RELEASE_LAG;
        let ended: Vec<_> = self
            .leases
            .values()
            .filter(|lease| lease.request.entry == *entry)
            .filter(|lease| !streamed.contains(&lease.request.attempt))
            .filter(|lease| lease.request.boot != boot || settled(lease))
            .map(|lease| lease.request.attempt.clone())
            .collect();
        for attempt in &ended {
            self.drop_lease(now, attempt);
        }
        self.advance(now)
    }

    /// Applies a report of the engine, and cancels attempts that the engine still holds after their release or has held
    /// without a lease for the grace period.
    pub fn report(
        &mut self,
        now: units::MonoTime,
        report: &placement::EngineReport,
    ) -> Vec<placement::LedgerAction> {
        self.advance_prefill(now);
        self.reported = Some(now);
        self.draining = report.draining;
        if report.memory > units::TokenCount::ZERO {
            self.capacity = report.memory;
        }
        let report_time = now.earlier_by(report.age);
        let done_since = self.prefill_rate.tokens_in(report.age).0 as f64;
        let foreign =
            report.prefill_backlog.0 as f64 - self.own_prefill_at(report_time) - done_since;
        self.foreign_prefill = foreign.max(0.0);
        self.update_orphans(now, report_time, &report.held);
        let mut actions = self.due_cancels(now);
        actions.extend(self.advance(now));
        actions
    }

    /// Prefill work of the leases at an earlier time, tokens.
    fn own_prefill_at(&self, time: units::MonoTime) -> f64 {
        let before = self.history.iter().rev().find(|(when, _)| *when <= time);
        before.or_else(|| self.history.front()).map_or(0.0, |(_, own)| *own)
    }

    fn record_history(&mut self, now: units::MonoTime) {
        let own = self.leases.values().map(|lease| lease.prefill_left).sum();
        match self.history.back_mut() {
            Some((when, last)) if *when == now => *last = own,
            _ => self.history.push_back((now, own)),
        }
        while self.history.front().is_some_and(|(when, _)| now.since(*when) > HISTORY_SPAN) {
            self.history.pop_front();
        }
    }

    fn adopt(&mut self, now: units::MonoTime, request: &placement::CapacityRequest) {
        let is_queued = self.queue.iter().any(|item| item.payload.attempt == request.attempt);
        if is_queued || self.released.contains_key(&request.attempt) {
            return;
        }
        self.orphans.remove(&request.attempt);
        let rank = service_rank::ServiceRank { band: self.band(request), over_share: false };
        let adopted =
            || EngineLease { request: request.clone(), rank, prefill_left: 0.0, renewed: now };
        self.leases.entry(request.attempt.clone()).or_insert_with(adopted).renewed = now;
    }

    /// Replaces the orphans (attempts that the engine holds without a lease) by those in a report of the engine's state
    /// at `report_time`. Attempts that were released less than [`RELEASE_LAG`] before are left out.
    fn update_orphans(
        &mut self,
        now: units::MonoTime,
        report_time: units::MonoTime,
        held: &[(ids::AttemptId, units::TokenCount)],
    ) {
        let mut orphans = collections::HashMap::new();
        for (attempt, tokens) in held {
            let fresh_release = self
                .released
                .get(attempt)
                .is_some_and(|released| report_time.since(*released) < RELEASE_LAG);
            if self.leases.contains_key(attempt) || fresh_release {
                continue;
            }
            let since = self.orphans.get(attempt).map_or(now, |orphan| orphan.since);
            orphans.insert(attempt.clone(), OrphanRecord { tokens: *tokens, since });
        }
        self.orphans = orphans;
        let held: collections::HashSet<_> = held.iter().map(|(attempt, _)| attempt).collect();
        self.released.retain(|attempt, released| {
            held.contains(attempt) || report_time.since(*released) < RELEASE_LAG
        });
    }

    fn due_cancels(&self, now: units::MonoTime) -> Vec<placement::LedgerAction> {
        let grace = self.options.orphan_grace.0;
        self.orphans
            .iter()
            .filter(|(attempt, orphan)| {
                self.released.contains_key(*attempt) || now.since(orphan.since) >= grace
            })
            .map(|(attempt, _)| {
                let is_released = self.released.contains_key(attempt);
                let reason = if is_released {
                    placement::CancelReason::StillHeld
                } else {
                    placement::CancelReason::Unexplained
                };
                placement::LedgerAction::Cancel(attempt.clone(), reason)
            })
            .collect()
    }

    fn expire_waiting(&mut self, now: units::MonoTime) -> Vec<placement::LedgerAction> {
        let latest: collections::HashMap<_, _> = self
            .queue
            .iter()
            .map(|item| {
                let request = &item.payload;
                (request.attempt.clone(), self.latest_start(request).min(request.queue_deadline))
            })
            .collect();
        let draining = self.draining;
        let expired =
            self.queue.remove_where(|request| draining || latest[&request.attempt] <= now);
        let rate = self.prefill_rate;
        let backlog = self.backlog(service_rank::ServiceRank::LAST)
            + self.queue.iter().map(|item| item.cost).sum();
        expired
            .into_iter()
            .map(|item| {
                let refusal = if draining {
                    leaving_refusal()
                } else {
                    overload_refusal(
                        "waited as long as its time limit allows",
                        rate.time_for(backlog),
                    )
                };
                placement::LedgerAction::Refuse(item.payload.attempt, refusal)
            })
            .collect()
    }

    fn expire_leases(&mut self, now: units::MonoTime) -> Vec<placement::LedgerAction> {
        let grace = self.options.orphan_grace.0;
        let reason = |lease: &EngineLease| {
            if now.since(lease.renewed) >= grace {
                return Some(placement::CancelReason::EntrySilent);
            }
            let past = lease.request.deadline + LEASE_MARGIN <= now;
            past.then_some(placement::CancelReason::PastLimit)
        };
        let expired: Vec<_> = self
            .leases
            .values()
            .filter_map(|lease| Some((lease.request.attempt.clone(), reason(lease)?)))
            .collect();
        for (attempt, _) in &expired {
            self.drop_lease(now, attempt);
        }
        expired
            .into_iter()
            .map(|(attempt, reason)| placement::LedgerAction::Cancel(attempt, reason))
            .collect()
    }

    /// Ends a lease that was not released. The memory counts as held by an orphan (an attempt without a lease), as the
    /// engine may still hold it.
    fn drop_lease(&mut self, now: units::MonoTime, attempt: &ids::AttemptId) {
        let Some(lease) = self.leases.remove(attempt) else {
            return;
        };
        self.released.insert(attempt.clone(), now);
        let tokens = lease.request.memory;
        self.orphans.insert(attempt.clone(), OrphanRecord { tokens, since: now });
    }

    fn grant_waiting(&mut self, now: units::MonoTime) -> Vec<placement::LedgerAction> {
        let mut actions = Vec::new();
        // After a pause of this process, the ledger is outdated, so nothing is granted until the engine has reported.
        while self.reachable(now) && !self.queue.is_empty() {
            let mut free_capacity = self.free_capacity();
            let over_share = self.waiting_over_share(now);
            let options = &self.options;
            let rank = |request: &placement::CapacityRequest| service_rank::ServiceRank {
                band: service_rank::LengthBand::of(request.prefill(), options),
                over_share: over_share.contains(&request.customer),
            };
            let yields =
                |request: &placement::CapacityRequest| over_share.contains(&request.customer);
            let fits = |item: &fair_queue::QueueItem<placement::CapacityRequest>, overdue| {
                free_capacity.fits(&item.payload, rank(&item.payload), overdue)
            };
            let Some(item) = self.queue.pop_where(now, yields, fits) else { break };
            let rank = rank(&item.payload);
            let request = item.payload;
            self.shares.record_work(now, &request.customer, request.weight, request.prefill());
            actions.push(placement::LedgerAction::Grant(request.attempt.clone(), rank));
            let prefill_left = request.prefill().0 as f64;
            let attempt = request.attempt.clone();
            let lease = EngineLease { rank, prefill_left, renewed: now, request };
            self.leases.insert(attempt, lease);
            self.record_history(now);
        }
        actions
    }

    /// Customers with waiting requests that have used more than their share.
    fn waiting_over_share(
        &mut self,
        now: units::MonoTime,
    ) -> collections::HashSet<ids::CustomerId> {
        let waiting: collections::HashSet<_> =
            self.queue.iter().map(|item| item.customer.clone()).collect();
        let rate = self.prefill_rate;
        waiting.into_iter().filter(|customer| self.shares.over_share(now, customer, rate)).collect()
    }

    pub(crate) fn rank(
        &mut self,
        now: units::MonoTime,
        request: &placement::CapacityRequest,
    ) -> service_rank::ServiceRank {
        let over_share = self.shares.over_share(now, &request.customer, self.prefill_rate);
        service_rank::ServiceRank { band: self.band(request), over_share }
    }

    fn free_capacity(&self) -> free_capacity::FreeCapacity {
        free_capacity::FreeCapacity {
            free: self.free(),
            headroom: self.capacity.scale(self.options.headroom.factor()),
            slots: self.options.max_running.saturating_sub(self.leases.len()),
            grouped: self.leases.values().any(|lease| lease.request.grouped),
            prefills: self.leases.values().map(|lease| (lease.rank, lease.prefill_left)).collect(),
            foreign: self.foreign_prefill,
            prefill_limit: self.prefill_rate.tokens_in(PREFILL_AHEAD),
            reserved: false,
        }
    }

    pub(crate) fn band(&self, request: &placement::CapacityRequest) -> service_rank::LengthBand {
        service_rank::LengthBand::of(request.prefill(), &self.options)
    }

    /// Latest time at which the prefill must start for the answer to be complete in time.
    pub(crate) fn latest_start(&self, request: &placement::CapacityRequest) -> units::MonoTime {
        let needed = self.prefill_rate.time_for(request.prefill()) + answer_time(request.output);
        request.deadline.earlier_by(needed)
    }

    fn leased(&self) -> units::TokenCount {
        self.leases.values().map(|lease| lease.request.memory).sum()
    }

    fn orphaned(&self) -> units::TokenCount {
        self.orphans.values().map(|orphan| orphan.tokens).sum()
    }

    /// Simulates the engine's prefill up to `now`, in the order of [`service_rank::ServiceRank`] like the engine.
    fn advance_prefill(&mut self, now: units::MonoTime) {
        let mut done = self.prefill_rate.0 * now.since(self.advanced).as_secs_f64();
        self.advanced = self.advanced.max(now);
        let mut leases: Vec<_> =
            self.leases.values_mut().filter(|lease| lease.prefill_left > 0.0).collect();
        leases.sort_by_key(|lease| lease.rank);
        for lease in leases {
            let part = done.min(lease.prefill_left);
            lease.prefill_left -= part;
            done -= part;
        }
        self.foreign_prefill = (self.foreign_prefill - done).max(0.0);
        self.record_history(now);
    }
}

pub(crate) fn answer_time(output: units::TokenCount) -> time::Duration {
    TOKEN_INTERVAL.mul_f64(output.0 as f64)
}

pub(crate) fn leaving_refusal() -> refusal::RequestRefusal {
    let code = refusal::RefusalCode::NoUpstream;
    refusal::RequestRefusal::not_run(code, "the engine is leaving")
}

pub(crate) fn overload_refusal(message: &str, wait: time::Duration) -> refusal::RequestRefusal {
    refusal::RequestRefusal::not_run(refusal::RefusalCode::Overloaded, message).retry_after(wait)
}
