//! Simulation of entries, a scheduler's ledger and an engine, with lost, late and duplicate
//! messages and with restarts of entries and the scheduler. Once requests and restarts have ended,
//! neither the engine nor the ledger may hold memory.

#![allow(clippy::unwrap_used)]

use std::{collections, time};

use rand::{RngExt as _, SeedableRng as _};
use slipturn_core::{engine_ledger, ids, placement, settings, units};
use slipturn_standin::engine_model;

/// Number of simulations. The seed of each is its index.
const ROUNDS: u64 = 1_000;
/// Virtual time between two steps.
const STEP: time::Duration = time::Duration::from_millis(250);
/// Number of steps with new requests, restarts and message faults.
const FAULTY_STEPS: u64 = 60;
/// Number of steps without new requests, after which no memory may be held. They cover the longest
/// time limit, the orphan grace and some lost cancels.
const RECOVERY_STEPS: u64 = 160;
/// Memory of the engine, in tokens.
const ENGINE_MEMORY_TOKENS: u64 = 100_000;
/// Number of simulated entries.
const ENTRIES: usize = 2;

/// An entry with its boot id and the attempts that it is streaming.
struct SimulatedEntry {
    name: ids::InstanceId,
    boot: u64,
    streaming: collections::BTreeMap<ids::AttemptId, placement::CapacityRequest>,
}

/// Entries, a scheduler's ledger and an engine, with the messages in transit between them.
struct Simulation {
    rng: rand_chacha::ChaCha8Rng,
    now: units::MonoTime,
    ledger: engine_ledger::EngineLedger,
    model: engine_model::EngineModel,
    entries: Vec<SimulatedEntry>,
    /// Requests sent to the ledger and not yet granted or refused, by attempt, with the index of
    /// their entry.
    queued: collections::BTreeMap<ids::AttemptId, (usize, placement::CapacityRequest)>,
    /// Duplicate releases in transit, with the time of their arrival.
    delayed_releases: Vec<(units::MonoTime, ids::AttemptId)>,
    /// Number of requests created so far.
    request_number: u64,
    /// Probability that a message is lost.
    loss_rate: f64,
}

fn new_ledger(now: units::MonoTime) -> engine_ledger::EngineLedger {
    let options = settings::FleetOptions {
        orphan_grace: units::TimeSpan::from_secs(4),
        ..Default::default()
    };
    let (memory, rate) = (units::TokenCount(ENGINE_MEMORY_TOKENS), units::TokenRate(100_000.0));
    engine_ledger::EngineLedger::new(now, memory, rate, options)
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let parameters = engine_model::EngineParameters {
            memory: ENGINE_MEMORY_TOKENS,
            prefill_rate: 100_000.0,
            token_time: time::Duration::from_millis(10),
            doubling_batch_size: 64.0,
        };
        let now = units::MonoTime(0);
        let entry = |index: usize| SimulatedEntry {
            name: format!("instance-{index}").parse().unwrap(),
            boot: 1,
            streaming: collections::BTreeMap::new(),
        };
        Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            now,
            ledger: new_ledger(now),
            model: engine_model::EngineModel::new(parameters),
            entries: (0..ENTRIES).map(entry).collect(),
            queued: collections::BTreeMap::new(),
            delayed_releases: Vec::new(),
            request_number: 0,
            loss_rate: 0.3,
        }
    }

    /// Returns `true` with the given probability.
    fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    /// Decides at random whether a message is lost.
    fn message_lost(&mut self) -> bool {
        self.random_bool(self.loss_rate)
    }

    /// Performs a step, before which a request may be sent, and an entry or the scheduler may
    /// restart.
    fn faulty_step(&mut self) {
        if self.random_bool(0.5) {
            self.enqueue_request();
        }
        if self.random_bool(0.03) {
            let entry = usize::from(self.random_bool(0.5));
            self.entries[entry].boot += 1;
            self.entries[entry].streaming.clear();
        }
        if self.random_bool(0.03) {
            // A restarted scheduler starts without leases and with an empty queue.
            self.ledger = new_ledger(self.now);
            self.queued.clear();
        }
        self.step();
    }

    /// Sends a new request to the ledger, sometimes twice.
    fn enqueue_request(&mut self) {
        self.request_number += 1;
        let entry = usize::from(self.random_bool(0.5));
        let prompt = 500 + self.rng.random_range(0..40_000);
        let limit = time::Duration::from_secs(5 + self.rng.random_range(0..15));
        let SimulatedEntry { name, boot, .. } = &self.entries[entry];
        let request = ids::RequestId::new(name, ids::BootId(*boot), self.request_number);
        let capacity_request = placement::CapacityRequest {
            attempt: ids::AttemptId::new(&request, 1),
            entry: name.clone(),
            boot: ids::BootId(*boot),
            customer: "bluebonnet".parse().unwrap(),
            weight: 1.0,
            prompt: units::TokenCount(prompt),
            cached: units::TokenCount::ZERO,
            output: units::TokenCount(100),
            memory: units::TokenCount(prompt + 100),
            grouped: false,
            deadline: self.now + limit,
            queue_deadline: self.now + limit,
        };
        if self.message_lost() {
            return;
        }
        self.queued.insert(capacity_request.attempt.clone(), (entry, capacity_request.clone()));
        let mut actions = self.ledger.enqueue(self.now, capacity_request.clone());
        if self.random_bool(0.1) {
            actions.extend(self.ledger.enqueue(self.now, capacity_request));
        }
        self.apply(actions);
    }

    /// Delivers the actions of the ledger to entries and the engine. Cancels may be lost.
    fn apply(&mut self, actions: Vec<placement::LedgerAction>) {
        for action in actions {
            match action {
                placement::LedgerAction::Grant(attempt, _) => self.start(&attempt),
                placement::LedgerAction::Refuse(attempt, _) => drop(self.queued.remove(&attempt)),
                placement::LedgerAction::Cancel(attempt, _) => {
                    if !self.message_lost() {
                        self.model.cancel(attempt.as_str());
                    }
                }
            }
        }
    }

    /// Delivers a grant to the entry, which starts the attempt on the engine. The grant or the call
    /// to the engine may be lost, and a grant for an earlier boot of the entry is ignored. If the
    /// engine refuses the attempt, the entry releases its lease.
    fn start(&mut self, attempt: &ids::AttemptId) {
        let Some((entry, capacity_request)) = self.queued.remove(attempt) else { return };
        if self.message_lost() || capacity_request.boot.0 != self.entries[entry].boot {
            return;
        }
        let request = engine_model::EngineRequest {
            attempt: attempt.to_string(),
            prompt: capacity_request.prompt.0,
            output: capacity_request.output.0,
            memory: capacity_request.memory.0,
            priority: 0,
            prefix: (self.request_number, 0),
        };
        if self.model.start(request) {
            self.entries[entry].streaming.insert(attempt.clone(), capacity_request);
            if self.random_bool(0.1) {
                // The engine never finishes a hanging attempt, and keeps its memory.
                self.model.hang(attempt.as_str());
            }
        } else {
            self.release(attempt);
        }
    }

    /// Sends a release to the ledger. It may be lost; otherwise it arrives now, and sometimes once
    /// more later.
    fn release(&mut self, attempt: &ids::AttemptId) {
        if self.message_lost() {
            return;
        }
        if self.random_bool(0.3) {
            let delay = time::Duration::from_millis(self.rng.random_range(0..3_000));
            self.delayed_releases.push((self.now + delay, attempt.clone()));
        }
        let actions = self.ledger.release(self.now, attempt);
        self.apply(actions);
    }

    /// Advances virtual time by [`STEP`] and delivers what is due by then.
    fn step(&mut self) {
        self.now = self.now + STEP;
        for output in self.model.step(STEP) {
            if let engine_model::EngineOutput::Done(attempt) = output {
                self.finish(&attempt.parse().unwrap());
            }
        }
        self.cancel_expired();
        let (due, pending) =
            self.delayed_releases.drain(..).partition(|(arrives_at, _)| *arrives_at <= self.now);
        self.delayed_releases = pending;
        let due: Vec<(units::MonoTime, ids::AttemptId)> = due;
        for (_, attempt) in due {
            let actions = self.ledger.release(self.now, &attempt);
            self.apply(actions);
        }
        if self.now.0.is_multiple_of(1_000_000) {
            self.renew();
        }
        if self.now.0.is_multiple_of(500_000) && !self.message_lost() {
            self.report();
        }
        let actions = self.ledger.advance(self.now);
        self.apply(actions);
    }

    /// Ends an attempt at the entry that is streaming it, if any, and then releases its lease.
    fn finish(&mut self, attempt: &ids::AttemptId) {
        let removed =
            self.entries.iter_mut().filter_map(|entry| entry.streaming.remove(attempt)).count();
        if removed > 0 {
            self.release(attempt);
        }
    }

    /// Has each entry cancel and release its attempts that have passed their deadline. Both
    /// messages may be lost.
    fn cancel_expired(&mut self) {
        let now = self.now;
        let expired: Vec<_> = self
            .entries
            .iter()
            .flat_map(|entry| entry.streaming.values())
            .filter(|capacity_request| capacity_request.deadline <= now)
            .map(|capacity_request| capacity_request.attempt.clone())
            .collect();
        for attempt in expired {
            if !self.message_lost() {
                self.model.cancel(attempt.as_str());
            }
            self.finish(&attempt);
        }
    }

    /// Has each entry renew the leases of the attempts that it is streaming. Renewals may be lost.
    fn renew(&mut self) {
        for index in 0..self.entries.len() {
            if self.message_lost() {
                continue;
            }
            let entry = &self.entries[index];
            let streaming: Vec<_> = entry.streaming.values().cloned().collect();
            let (name, boot) = (entry.name.clone(), ids::BootId(entry.boot));
            let actions = self.ledger.renew(self.now, &name, boot, &streaming);
            self.apply(actions);
        }
    }

    /// Delivers a load report of the engine to the ledger.
    fn report(&mut self) {
        let held = self.model.memory_by_attempt().into_iter();
        let report = placement::EngineReport {
            memory: units::TokenCount(ENGINE_MEMORY_TOKENS),
            prefill_backlog: units::TokenCount(self.model.prefill_backlog()),
            held: held
                .map(|(attempt, tokens)| (attempt.parse().unwrap(), units::TokenCount(tokens)))
                .collect(),
            ..Default::default()
        };
        let actions = self.ledger.report(self.now, &report);
        self.apply(actions);
    }
}

#[test]
fn lost_messages_and_restarts_leave_no_memory_held() {
    let mut request_count = 0;
    for seed in 0..ROUNDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..FAULTY_STEPS {
            simulation.faulty_step();
        }
        request_count += simulation.request_number;
        // Messages are still lost, but there are no new requests or restarts.
        for _ in 0..RECOVERY_STEPS {
            simulation.step();
        }
        assert_eq!(
            simulation.model.held(),
            0,
            "round {seed}: {:?}",
            simulation.model.memory_by_attempt()
        );
        // After one report that is certain to arrive, the ledger must agree with the engine.
        simulation.report();
        assert_eq!(
            simulation.ledger.free(),
            units::TokenCount(ENGINE_MEMORY_TOKENS),
            "round {seed}"
        );
        assert_eq!(
            (simulation.ledger.running(), simulation.ledger.waiting()),
            (0, 0),
            "round {seed}"
        );
    }
    assert!(request_count > 20_000, "{request_count}");
}
