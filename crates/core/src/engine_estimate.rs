//! Estimates of when an engine can serve a request, and the refusals that follow from them.

use std::time;

use crate::{engine_ledger, placement, refusal, service_rank, units};

impl engine_ledger::EngineLedger {
    /// Refuses a request that the engine cannot serve, or cannot serve in time.
    pub(crate) fn check(
        &mut self,
        now: units::MonoTime,
        request: &placement::CapacityRequest,
    ) -> Result<(), refusal::RequestRefusal> {
        if self.draining {
            return Err(engine_ledger::leaving_refusal());
        }
        if !self.reachable(now) {
            let code = refusal::RefusalCode::NoUpstream;
            return Err(refusal::RequestRefusal::not_run(code, "the engine is out of reach"));
        }
        if request.memory > self.max_memory(request) {
            let text = format!("needs {}, the engine holds {}", request.memory, self.capacity);
            let code = refusal::RefusalCode::TooLarge;
            return Err(refusal::RequestRefusal::not_run(code, text));
        }
        let first_token = self.first_token(now, request);
        let total = first_token + engine_ledger::answer_time(request.output);
        let left = request.deadline.since(now);
        if total > left {
            return Err(engine_ledger::overload_refusal(
                "would not finish inside its time limit",
                total - left,
            ));
        }
        self.check_backlog(now, request)
    }

    /// Refuses a medium or long request if the engine cannot work through the whole queue in time.
    ///
    /// Shorter requests may go before this request until it is overdue, which is the case once a fraction
    /// [`engine_ledger::OVERDUE_FRACTION`] of the time until its latest start has passed; from then on it goes before
    /// all that arrive later. So all queued work must fit into the time between these two moments.
    fn check_backlog(
        &self,
        now: units::MonoTime,
        request: &placement::CapacityRequest,
    ) -> Result<(), refusal::RequestRefusal> {
        if self.band(request) == service_rank::LengthBand::Short {
            return Ok(());
        }
        let queued: units::TokenCount = self.queue.iter().map(|item| item.payload.prefill()).sum();
        let backlog = self.backlog(service_rank::ServiceRank::LAST);
        let work = self.prefill_rate.time_for(backlog + queued);
        let spare =
            self.latest_start(request).since(now).mul_f64(1.0 - engine_ledger::OVERDUE_FRACTION);
        if work <= spare {
            return Ok(());
        }
        Err(engine_ledger::overload_refusal("too much waits already", work - spare))
    }

    /// Most memory that a request may need. Only short requests may use the headroom, which is reserved for them.
    fn max_memory(&self, request: &placement::CapacityRequest) -> units::TokenCount {
        match self.band(request) {
            service_rank::LengthBand::Short => self.capacity,
            _ => self.capacity.scale(1.0 - self.options.headroom.factor()),
        }
    }

    /// Expected time until the first token of a request that arrives now.
    pub(crate) fn first_token(
        &mut self,
        now: units::MonoTime,
        request: &placement::CapacityRequest,
    ) -> time::Duration {
        let rank = self.rank(now, request);
        let cost = request.prefill() + request.output;
        let queued = self.queue.cost_ahead(now, &request.customer, request.weight, cost);
        let work = self.backlog(rank) + queued + request.prefill();
        let prefill = self.prefill_rate.time_for(work);
        if self.fits_now(request) { prefill } else { prefill + self.memory_wait(request) }
    }

    fn fits_now(&self, request: &placement::CapacityRequest) -> bool {
        self.leases.len() < self.options.max_running && request.memory <= self.free()
    }

    /// Expected time until enough leases end to free the memory for a request; each lease is expected to end after its
    /// remaining prefill and half the duration of its longest answer. If all leases together free too little, the
    /// result is the grace period after which orphans (attempts that the engine holds without a lease) are cancelled.
    fn memory_wait(&self, request: &placement::CapacityRequest) -> time::Duration {
        let mut ends: Vec<_> = self
            .leases
            .values()
            .map(|lease| {
                let prefill =
                    self.prefill_rate.time_for(units::TokenCount(lease.prefill_left as u64));
                (
                    prefill + engine_ledger::answer_time(lease.request.output) / 2,
                    lease.request.memory,
                )
            })
            .collect();
        ends.sort();
        let mut free = self.free();
        for (end, memory) in ends {
            free += memory;
            if free >= request.memory {
                return end;
            }
        }
        self.options.orphan_grace.0
    }

    /// Prefill work on the engine that goes before a request of `rank`, including reported work that belongs to no
    /// lease.
    pub(crate) fn backlog(&self, rank: service_rank::ServiceRank) -> units::TokenCount {
        let before = self.leases.values().filter(|lease| lease.rank <= rank);
        let own: f64 = before.map(|lease| lease.prefill_left).sum();
        units::TokenCount((own + self.foreign_prefill) as u64)
    }
}
