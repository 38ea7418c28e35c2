//! The simulated engines of a comparison run. Each consists of an engine model, the ledger by which
//! a scheduler would place requests on it, and load reports that reach the ledger late.

use std::{collections, time};

use slipturn_core::{engine_ledger, ids, placement, settings, units};
use slipturn_standin::engine_model;

use crate::scenario;

/// Time between two load reports.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// An engine model and the ledger that a scheduler keeps of it.
pub struct FakeEngine {
    /// Name of the engine in the fleet list.
    pub name: ids::EngineId,
    /// Leases and waiting requests of the engine, as its scheduler tracks them. The baseline
    /// policies place no requests through it.
    pub ledger: engine_ledger::EngineLedger,
    model: engine_model::EngineModel,
    /// Requests that wait for free memory. Under the baseline policies no ledger holds requests
    /// back, so the engine has to queue them.
    queue: collections::VecDeque<engine_model::EngineRequest>,
    /// Load reports with the times at which they were recorded, oldest first.
    reports: collections::VecDeque<(units::MonoTime, placement::EngineReport)>,
    /// Time at which the next load report is due.
    next_report: units::MonoTime,
    /// Whether the engine has failed; it then neither runs requests nor reports its load.
    pub dead: bool,
}

impl FakeEngine {
    /// Creates an engine without requests, and records its first load report at time 0. `options`
    /// configure the engine's ledger.
    pub fn new(name: ids::EngineId, options: settings::FleetOptions) -> Self {
        let parameters = engine_model::EngineParameters {
            memory: scenario::ENGINE_MEMORY_TOKENS,
            prefill_rate: scenario::PREFILL_RATE,
            token_time: time::Duration::from_millis(10),
            doubling_batch_size: 64.0,
        };
        let memory = units::TokenCount(scenario::ENGINE_MEMORY_TOKENS);
        let rate = units::TokenRate(scenario::PREFILL_RATE);
        let start = units::MonoTime(0);
        let mut engine = Self {
            name,
            ledger: engine_ledger::EngineLedger::new(start, memory, rate, options),
            model: engine_model::EngineModel::new(parameters),
            queue: collections::VecDeque::new(),
            reports: collections::VecDeque::new(),
            next_report: start,
            dead: false,
        };
        engine.record_report(start);
        engine
    }

    /// Starts a request, or queues it until there is enough free memory.
    pub fn submit(&mut self, request: engine_model::EngineRequest) {
        self.queue.push_back(request);
        self.start_queued();
    }

    /// Aborts a queued or running attempt and frees its memory; does nothing if the engine has no
    /// such attempt.
    pub fn cancel(&mut self, attempt: &str) {
        self.queue.retain(|request| request.attempt != attempt);
        self.model.cancel(attempt);
    }

    /// Advances the engine by `elapsed`, starts queued requests that now fit, and returns the
    /// outputs of the running ones.
    pub fn step(&mut self, elapsed: time::Duration) -> Vec<engine_model::EngineOutput> {
        if self.dead {
            return Vec::new();
        }
        let outputs = self.model.step(elapsed);
        self.start_queued();
        outputs
    }

    /// Passes a load report to the ledger if one is due, and returns the actions of the ledger. The
    /// report is the newest that is at least `lag` old, or the oldest if none is.
    pub fn report(
        &mut self,
        now: units::MonoTime,
        lag: time::Duration,
    ) -> Vec<placement::LedgerAction> {
        if self.dead || now < self.next_report {
            return Vec::new();
        }
        self.next_report = now + REPORT_INTERVAL;
        self.record_report(now);
        while self.reports.len() > 1 && now.since(self.reports[1].0) >= lag {
            self.reports.pop_front();
        }
        let (recorded_at, report) = self.reports[0].clone();
        let report = placement::EngineReport { age: now.since(recorded_at), ..report };
        self.ledger.report(now, &report)
    }

    fn record_report(&mut self, now: units::MonoTime) {
        let held = self.model.memory_by_attempt().into_iter().filter_map(|(attempt, tokens)| {
            Some((attempt.parse().ok()?, units::TokenCount(tokens)))
        });
        let report = placement::EngineReport {
            draining: false,
            memory: units::TokenCount(self.model.memory()),
            prefill_backlog: units::TokenCount(self.model.prefill_backlog()),
            age: time::Duration::ZERO,
            held: held.collect(),
        };
        self.reports.push_back((now, report));
    }

    fn start_queued(&mut self) {
        while let Some(request) = self.queue.front() {
            if !self.model.start(request.clone()) {
                return;
            }
            self.queue.pop_front();
        }
    }
}
