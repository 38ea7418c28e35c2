//! Simulation of entries, a scheduler's ledger and an engine, with lost, late and duplicate
//! messages and with restarts of entries and the scheduler. Afterwards neither the engine nor the
//! ledger may hold memory.

#![allow(clippy::unwrap_used)]

use std::{collections, time};

use rand::{RngExt as _, SeedableRng as _};
use slipturn_core::{engine_ledger, ids, placement, settings, units};
use slipturn_standin::engine_model;

/// Number of simulations; the seed of each is its index.
const ROUNDS: u64 = 1_000;
const STEP: time::Duration = time::Duration::from_millis(250);
/// Steps with new requests, restarts and message faults.
const FAULTY_STEPS: u64 = 60;
/// Steps without new requests, after which no memory may be held. They cover the longest time
/// limit, the orphan grace and some lost cancels.
const RECOVERY_STEPS: u64 = 160;
const MEMORY: u64 = 100_000;
const ENTRIES: usize = 2;

/// An entry with its boot id and the attempts that it is streaming.
struct SimulatedEntry {
    name: ids::InstanceId,
    boot: u64,
    streaming: collections::BTreeMap<ids::AttemptId, placement::CapacityRequest>,
}

/// State of one simulation.
struct Simulation {
    random: rand_chacha::ChaCha8Rng,
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
    let (memory, rate) = (units::TokenCount(MEMORY), units::TokenRate(100_000.0));
    engine_ledger::EngineLedger::new(now, memory, rate, options)
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let shape = engine_model::EngineParameters {
            memory: MEMORY,
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
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            now,
            ledger: new_ledger(now),
            model: engine_model::EngineModel::new(shape),
            entries: (0..ENTRIES).map(entry).collect(),
            queued: collections::BTreeMap::new(),
            delayed_releases: Vec::new(),
            request_number: 0,
            loss_rate: 0.3,
        }
    }

    /// Returns true with the probability `share`.
    fn random_bool(&mut self, share: f64) -> bool {
        self.random.random::<f64>() < share
    }

    fn message_lost(&mut self) -> bool {
        self.random_bool(self.loss_rate)
    }

    /// A step before which a request may be sent, and an entry or the scheduler may restart.
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
            // A restarted scheduler has no leases, and its queue is lost.
            self.ledger = new_ledger(self.now);
            self.queued.clear();
        }
        self.step();
    }

    /// Sends a new request to the ledger, sometimes twice.
    fn enqueue_request(&mut self) {
        self.request_number += 1;
        let entry = usize::from(self.random_bool(0.5));
        let prompt = 500 + self.random.random_range(0..40_000);
        let limit = time::Duration::from_secs(5 + self.random.random_range(0..15));
        let SimulatedEntry { name, boot, .. } = &self.entries[entry];
        let request = ids::RequestId::new(name, ids::BootId(*boot), self.request_number);
        let placement_request = placement::CapacityRequest {
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
        self.queued.insert(placement_request.attempt.clone(), (entry, placement_request.clone()));
        let mut actions = self.ledger.enqueue(self.now, placement_request.clone());
        if self.random_bool(0.1) {
            actions.extend(self.ledger.enqueue(self.now, placement_request));
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
        let Some((entry, placement_request)) = self.queued.remove(attempt) else { return };
        if self.message_lost() || placement_request.boot.0 != self.entries[entry].boot {
            return;
        }
        let request = engine_model::EngineRequest {
            attempt: attempt.to_string(),
            prompt: placement_request.prompt.0,
            output: placement_request.output.0,
            memory: placement_request.memory.0,
            priority: 0,
            prefix: (self.request_number, 0),
        };
        if self.model.start(request) {
            self.entries[entry].streaming.insert(attempt.clone(), placement_request);
            if self.random_bool(0.1) {
                // A hanging engine never finishes the attempt and keeps its memory.
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
            let delay = time::Duration::from_millis(self.random.random_range(0..3_000));
            self.delayed_releases.push((self.now + delay, attempt.clone()));
        }
        let actions = self.ledger.release(self.now, attempt);
        self.apply(actions);
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for output in self.model.step(STEP) {
            if let engine_model::EngineOutput::Done(attempt) = output {
                self.finish(&attempt.parse().unwrap());
            }
        }
        self.cancel_expired();
        let (due, rest) = self.delayed_releases.drain(..).partition(|(when, _)| *when <= self.now);
        self.delayed_releases = rest;
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

    /// Ends an attempt at the entry that is streaming it, and releases its lease.
    fn finish(&mut self, attempt: &ids::AttemptId) {
        let known = self.entries.iter_mut().filter_map(|one| one.streaming.remove(attempt)).count();
        if known > 0 {
            self.release(attempt);
        }
    }

    /// Has entries cancel and release attempts past their deadline. Both messages may be lost.
    fn cancel_expired(&mut self) {
        let now = self.now;
        let expired: Vec<_> = self
            .entries
            .iter()
            .flat_map(|entry| entry.streaming.values())
            .filter(|placement_request| placement_request.deadline <= now)
            .map(|placement_request| placement_request.attempt.clone())
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
            memory: units::TokenCount(MEMORY),
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
    let mut started = 0;
    for seed in 0..ROUNDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..FAULTY_STEPS {
            simulation.faulty_step();
        }
        started += simulation.request_number;
        // Messages are still lost, but there are no new requests and restarts.
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
        assert_eq!(simulation.ledger.free(), units::TokenCount(MEMORY), "round {seed}");
        assert_eq!(
            (simulation.ledger.running(), simulation.ledger.waiting()),
            (0, 0),
            "round {seed}"
        );
    }
    assert!(started > 20_000, "{started}");
}
