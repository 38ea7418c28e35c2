//! What one engine has been given, what waits for it, and what it says it holds.
//!
//! The engine is the truth: memory counts as free only once a lease is gone and the engine no
//! longer lists the attempt. A ledger that starts empty, as after a crash, rebuilds itself from
//! the engine's list and from the renewals of entries that still stream.

use std::{collections, time};

use crate::{engine_room, fair_queue, ids, placement, refusal, service_rank, settings, units};

/// Expected time from one output token to the next, for estimates of the whole answer.
const TOKEN_INTERVAL: time::Duration = time::Duration::from_millis(30);
/// Prefill work handed to an engine ahead of its pace, beyond the request being worked on.
const PREFILL_AHEAD: time::Duration = time::Duration::from_millis(250);
/// Longest age of a load report before its absence counts as the engine being out of reach.
const REPORT_LIMIT: time::Duration = time::Duration::from_secs(3);
/// After a release, how long the engine's list may lag behind it.
const RELEASE_LAG: time::Duration = time::Duration::from_secs(2);
/// How far back own prefill work is remembered; older reports are compared with the oldest.
const HISTORY_SPAN: time::Duration = time::Duration::from_secs(5);
/// Part of the wait that passes before an item counts as overdue.
pub(crate) const OVERDUE_FRACTION: f64 = 0.5;
/// After its time limit, how long a lease may still be in use by a cancel on its way.
const LEASE_MARGIN: time::Duration = time::Duration::from_secs(2);

/// A place on an engine, held for one attempt.
#[derive(Debug, Clone)]
pub struct EngineLease {
    pub(crate) request: placement::PlaceRequest,
    pub(crate) rank: service_rank::ServiceRank,
    /// Tokens of the prompt not worked through yet, as far as known. Only falls.
    pub(crate) prefill_left: f64,
    /// Last time the entry said that it still streams.
    pub(crate) renewed: units::MonoTime,
}

/// Something the engine holds that no lease explains.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrphanRecord {
    tokens: units::TokenCount,
    since: units::MonoTime,
}

/// The scheduler's record of one engine.
#[derive(Debug)]
pub struct EngineLedger {
    pub(crate) capacity: units::TokenCount,
    pub(crate) prefill_rate: units::TokenRate,
    pub(crate) options: settings::FleetOptions,
    pub(crate) draining: bool,
    /// Invariant: the sum of their memory never exceeds `capacity` less what orphans hold, as far
    /// as the ledger knew when it granted them.
    pub(crate) leases: collections::HashMap<ids::AttemptId, EngineLease>,
    pub(crate) orphans: collections::HashMap<ids::AttemptId, OrphanRecord>,
    pub(crate) released: collections::HashMap<ids::AttemptId, units::MonoTime>,
    pub(crate) queue: fair_queue::FairQueue<placement::PlaceRequest>,
    pub(crate) shares: service_rank::ShareMeter,
    /// Prefill work the engine reported beyond what the leases explain.
    pub(crate) foreign_prefill: f64,
    /// Prefill work that the leases explained at earlier times, oldest first, to compare an old
    /// report with its own time. Invariant: reaches back [`HISTORY_SPAN`] at most.
    pub(crate) history: collections::VecDeque<(units::MonoTime, f64)>,
    pub(crate) advanced: units::MonoTime,
    pub(crate) reported: Option<units::MonoTime>,
}

impl EngineLedger {
    /// A ledger that knows of no lease yet.
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

    /// Takes new settings over; leases granted under the old ones stay.
    pub fn set_options(&mut self, options: settings::FleetOptions) {
        self.options = options;
    }

    /// Notes that the published list calls the engine leaving, or live again.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.draining = leaving;
    }

    /// Memory neither leased nor held by an orphan.
    pub fn free(&self) -> units::TokenCount {
        self.capacity.saturating_sub(self.leased() + self.orphaned())
    }

    /// Number of leases.
    pub fn running(&self) -> usize {
        self.leases.len()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Attempts the engine holds that no lease explains.
    pub fn orphan_count(&self) -> usize {
        self.orphans.len()
    }

    /// Whether the engine takes no new work.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Whether the engine has reported recently.
    pub fn reachable(&self, now: units::MonoTime) -> bool {
        self.reported.is_some_and(|reported| now.since(reported) <= REPORT_LIMIT)
    }

    /// What the engine could do for a request, or why nothing.
    pub fn offer(
        &mut self,
        now: units::MonoTime,
        request: &placement::PlaceRequest,
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

    /// Takes a request into the queue, or refuses it at once.
    pub fn enqueue(
        &mut self,
        now: units::MonoTime,
        request: placement::PlaceRequest,
    ) -> Vec<placement::LedgerAction> {
        self.advance_prefill(now);
        let known = |waiting: &fair_queue::QueueItem<placement::PlaceRequest>| {
            waiting.payload.attempt == request.attempt
        };
        if self.leases.contains_key(&request.attempt) || self.queue.iter().any(known) {
            // The same message a second time: one lease is enough.
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

    /// Does what has become due: grants, refusals of what waited too long, cancels.
    pub fn advance(&mut self, now: units::MonoTime) -> Vec<placement::LedgerAction> {
        self.advance_prefill(now);
        let mut actions = self.expire_waiting(now);
        actions.extend(self.expire_leases(now));
        actions.extend(self.grant_waiting(now));
        actions
    }

    /// Gives a place back. Unknown and repeated releases do nothing.
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

    /// Takes in what one entry says it still streams; what it leases and does not name is over.
    ///
    /// Attempts no lease explains are adopted: the ledger may be newer than they are.
    pub fn renew(
        &mut self,
        now: units::MonoTime,
        entry: &ids::InstanceId,
        boot: ids::BootId,
        streaming: &[placement::PlaceRequest],
    ) -> Vec<placement::LedgerAction> {
        for request in streaming {
            self.adopt(now, request);
        }
        let named: collections::HashSet<_> = streaming.iter().map(|one| &one.attempt).collect();
        let settled = |lease: &EngineLease| now.since(lease.renewed) >= RELEASE_LAG;
        let over: Vec<_> = self
            .leases
            .values()
            .filter(|lease| lease.request.entry == *entry)
            .filter(|lease| !named.contains(&lease.request.attempt))
            .filter(|lease| lease.request.boot != boot || settled(lease))
            .map(|lease| lease.request.attempt.clone())
            .collect();
        for attempt in &over {
            self.drop_lease(now, attempt);
        }
        self.advance(now)
    }

    /// Applies the engine's own report and cancels work without a lease.
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
        let taken = now.earlier_by(report.age);
        let done_since = self.prefill_rate.tokens_in(report.age).0 as f64;
        let foreign = report.prefill_backlog.0 as f64 - self.own_prefill_at(taken) - done_since;
        self.foreign_prefill = foreign.max(0.0);
        self.update_orphans(now, taken, &report.held);
        let mut actions = self.due_cancels(now);
        actions.extend(self.advance(now));
        actions
    }

    /// Prefill work the leases explained at an earlier time.
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

    fn adopt(&mut self, now: units::MonoTime, request: &placement::PlaceRequest) {
        let waits = self.queue.iter().any(|item| item.payload.attempt == request.attempt);
        if waits || self.released.contains_key(&request.attempt) {
            return;
        }
        self.orphans.remove(&request.attempt);
        let rank = service_rank::ServiceRank { band: self.band(request), over_share: false };
        let adopted =
            || EngineLease { request: request.clone(), rank, prefill_left: 0.0, renewed: now };
        self.leases.entry(request.attempt.clone()).or_insert_with(adopted).renewed = now;
    }

    /// Takes in what the engine held at the time `taken`.
    fn update_orphans(
        &mut self,
        now: units::MonoTime,
        taken: units::MonoTime,
        report: &[(ids::AttemptId, units::TokenCount)],
    ) {
        let mut orphans = collections::HashMap::new();
        for (attempt, tokens) in report {
            let fresh_release = self
                .released
                .get(attempt)
                .is_some_and(|released| taken.since(*released) < RELEASE_LAG);
            if self.leases.contains_key(attempt) || fresh_release {
                continue;
            }
            let since = self.orphans.get(attempt).map_or(now, |orphan| orphan.since);
            orphans.insert(attempt.clone(), OrphanRecord { tokens: *tokens, since });
        }
        self.orphans = orphans;
        let held: collections::HashSet<_> = report.iter().map(|(attempt, _)| attempt).collect();
        self.released.retain(|attempt, released| {
            held.contains(attempt) || taken.since(*released) < RELEASE_LAG
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
                let known = self.released.contains_key(attempt);
                let reason = if known {
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
                (request.attempt.clone(), self.latest_start(request).min(request.patience))
            })
            .collect();
        let draining = self.draining;
        let gone = self.queue.remove_where(|request| draining || latest[&request.attempt] <= now);
        let rate = self.prefill_rate;
        let backlog = self.backlog(service_rank::ServiceRank::LAST)
            + self.queue.iter().map(|item| item.cost).sum();
        gone.into_iter()
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
        let over: Vec<_> = self
            .leases
            .values()
            .filter_map(|lease| Some((lease.request.attempt.clone(), reason(lease)?)))
            .collect();
        for (attempt, _) in &over {
            self.drop_lease(now, attempt);
        }
        over.into_iter()
            .map(|(attempt, reason)| placement::LedgerAction::Cancel(attempt, reason))
            .collect()
    }

    /// Ends a lease whose entry has not released it: the engine may still hold its memory.
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
        // A scheduler that was paused knows nothing of its engine until the engine has reported.
        while self.reachable(now) && !self.queue.is_empty() {
            let mut room = self.room();
            let over = self.waiting_over_share(now);
            let options = &self.options;
            let rank = |request: &placement::PlaceRequest| service_rank::ServiceRank {
                band: service_rank::LengthBand::of(request.prefill(), options),
                over_share: over.contains(&request.customer),
            };
            let yields = |request: &placement::PlaceRequest| over.contains(&request.customer);
            let fits = |item: &fair_queue::QueueItem<placement::PlaceRequest>, overdue| {
                room.fits(&item.payload, rank(&item.payload), overdue)
            };
            let Some(item) = self.queue.pop_where(now, yields, fits) else { break };
            let rank = rank(&item.payload);
            let request = item.payload;
            self.shares.count(now, &request.customer, request.weight, request.prefill());
            actions.push(placement::LedgerAction::Grant(request.attempt.clone(), rank));
            let prefill_left = request.prefill().0 as f64;
            let attempt = request.attempt.clone();
            let lease = EngineLease { rank, prefill_left, renewed: now, request };
            self.leases.insert(attempt, lease);
            self.record_history(now);
        }
        actions
    }

    /// Customers with waiting requests that are over their share.
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
        request: &placement::PlaceRequest,
    ) -> service_rank::ServiceRank {
        let over_share = self.shares.over_share(now, &request.customer, self.prefill_rate);
        service_rank::ServiceRank { band: self.band(request), over_share }
    }

    fn room(&self) -> engine_room::EngineRoom {
        engine_room::EngineRoom {
            free: self.free(),
            headroom: self.capacity.scale(self.options.headroom.factor()),
            slots: self.options.max_running.saturating_sub(self.leases.len()),
            grouped: self.leases.values().any(|lease| lease.request.grouped),
            prefills: self.leases.values().map(|one| (one.rank, one.prefill_left)).collect(),
            foreign: self.foreign_prefill,
            prefill_limit: self.prefill_rate.tokens_in(PREFILL_AHEAD),
            reserved: false,
        }
    }

    pub(crate) fn band(&self, request: &placement::PlaceRequest) -> service_rank::LengthBand {
        service_rank::LengthBand::of(request.prefill(), &self.options)
    }

    pub(crate) fn latest_start(&self, request: &placement::PlaceRequest) -> units::MonoTime {
        let needed = self.prefill_rate.time_for(request.prefill()) + answer_time(request.output);
        request.deadline.earlier_by(needed)
    }

    fn leased(&self) -> units::TokenCount {
        self.leases.values().map(|lease| lease.request.memory).sum()
    }

    fn orphaned(&self) -> units::TokenCount {
        self.orphans.values().map(|orphan| orphan.tokens).sum()
    }

    /// Lets the engine's prefill run on to `now`: shorter bands first, as the engine does it.
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
