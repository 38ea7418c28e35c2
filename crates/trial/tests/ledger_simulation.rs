//! A thousand rounds of lost, late and doubled messages between entries, a scheduler's ledger and
//! an engine, each of which may start again, end with nothing held.

#![allow(clippy::unwrap_used)]

use std::{collections, time};

use rand::{RngExt as _, SeedableRng as _};
use slipturn_core::{engine_ledger, ids, placement, settings, units};
use slipturn_standin::engine_model;

const ROUNDS: u64 = 1_000;
const STEP: time::Duration = time::Duration::from_millis(250);
/// Steps in which everything goes wrong.
const FAULTY_STEPS: u64 = 60;
/// Steps after which nothing may be held: the longest limit, the grace and some cancels.
const RECOVERY_STEPS: u64 = 160;
const MEMORY: u64 = 100_000;
const ENTRIES: usize = 2;

/// An entry: its start and what it believes to stream.
struct SimulatedEntry {
    name: ids::InstanceId,
    boot: u64,
    streaming: collections::BTreeMap<ids::AttemptId, placement::PlaceRequest>,
}

/// One round's world.
struct Simulation {
    random: rand_chacha::ChaCha8Rng,
    now: units::MonoTime,
    ledger: engine_ledger::EngineLedger,
    model: engine_model::EngineModel,
    entries: Vec<SimulatedEntry>,
    /// Requests that wait for a place, by attempt, with their entry.
    queued: collections::BTreeMap<ids::AttemptId, (usize, placement::PlaceRequest)>,
    /// Releases on their way, and when they arrive.
    delayed_releases: Vec<(units::MonoTime, ids::AttemptId)>,
    request_number: u64,
    /// Share of messages lost.
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
        let shape = engine_model::EngineShape {
            memory: MEMORY,
            prefill_rate: 100_000.0,
            token_time: time::Duration::from_millis(10),
            batch_knee: 64.0,
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

    fn random_bool(&mut self, share: f64) -> bool {
        self.random.random::<f64>() < share
    }

    fn message_lost(&mut self) -> bool {
        self.random_bool(self.loss_rate)
    }

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
            // The next scheduler knows nothing, and what waited there is gone.
            self.ledger = new_ledger(self.now);
            self.queued.clear();
        }
        self.step();
    }

    fn enqueue_request(&mut self) {
        self.request_number += 1;
        let entry = usize::from(self.random_bool(0.5));
        let prompt = 500 + self.random.random_range(0..40_000);
        let limit = time::Duration::from_secs(5 + self.random.random_range(0..15));
        let SimulatedEntry { name, boot, .. } = &self.entries[entry];
        let request = ids::RequestId::new(name, ids::BootId(*boot), self.request_number);
        let placement_request = placement::PlaceRequest {
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
            patience: self.now + limit,
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

    /// The entry hears of its place, or not; its call reaches the engine, or not.
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
                // An engine that hangs makes no end of it.
                self.model.hang(attempt.as_str());
            }
        } else {
            self.release(attempt);
        }
    }

    /// A release arrives now, late, twice or never.
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

    fn finish(&mut self, attempt: &ids::AttemptId) {
        let known = self.entries.iter_mut().filter_map(|one| one.streaming.remove(attempt)).count();
        if known > 0 {
            self.release(attempt);
        }
    }

    /// Entries give up what has passed its limit; their cancels and releases may be lost.
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

    fn report(&mut self) {
        let held = self.model.holds().into_iter();
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
        // No new requests; messages are still lost.
        for _ in 0..RECOVERY_STEPS {
            simulation.step();
        }
        assert_eq!(simulation.model.held(), 0, "round {seed}: {:?}", simulation.model.holds());
        // One report that arrives, and the ledger agrees.
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
