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
const WILD_STEPS: u64 = 60;
/// Steps after which nothing may be held: the longest limit, the grace and some cancels.
const CALM_STEPS: u64 = 160;
const MEMORY: u64 = 100_000;
const ENTRIES: usize = 2;

/// An entry: its start and what it believes to stream.
struct FakeEntry {
    name: ids::InstanceId,
    boot: u64,
    streaming: collections::BTreeMap<ids::AttemptId, placement::CapacityRequest>,
}

/// One round's world.
struct Round {
    random: rand_chacha::ChaCha8Rng,
    now: units::MonoTime,
    ledger: engine_ledger::EngineLedger,
    model: engine_model::EngineModel,
    entries: Vec<FakeEntry>,
    /// Requests that wait for a place, by attempt, with their entry.
    asked: collections::BTreeMap<ids::AttemptId, (usize, placement::CapacityRequest)>,
    /// Releases on their way, and when they arrive.
    late: Vec<(units::MonoTime, ids::AttemptId)>,
    number: u64,
    /// Share of messages lost.
    loss: f64,
}

fn new_ledger(now: units::MonoTime) -> engine_ledger::EngineLedger {
    let options = settings::FleetOptions {
        orphan_grace: units::TimeSpan::from_secs(4),
        ..Default::default()
    };
    let (memory, rate) = (units::TokenCount(MEMORY), units::TokenRate(100_000.0));
    engine_ledger::EngineLedger::new(now, memory, rate, options)
}

impl Round {
    fn new(seed: u64) -> Self {
        let shape = engine_model::EngineShape {
            memory: MEMORY,
            prefill_rate: 100_000.0,
            token_time: time::Duration::from_millis(10),
            batch_knee: 64.0,
        };
        let now = units::MonoTime(0);
        let entry = |index: usize| FakeEntry {
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
            asked: collections::BTreeMap::new(),
            late: Vec::new(),
            number: 0,
            loss: 0.3,
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random.random::<f64>() < share
    }

    fn lost(&mut self) -> bool {
        self.chance(self.loss)
    }

    fn wild_step(&mut self) {
        if self.chance(0.5) {
            self.ask();
        }
        if self.chance(0.03) {
            let entry = usize::from(self.chance(0.5));
            self.entries[entry].boot += 1;
            self.entries[entry].streaming.clear();
        }
        if self.chance(0.03) {
            // The next scheduler knows nothing, and what waited there is gone.
            self.ledger = new_ledger(self.now);
            self.asked.clear();
        }
        self.step();
    }

    fn ask(&mut self) {
        self.number += 1;
        let entry = usize::from(self.chance(0.5));
        let prompt = 500 + self.random.random_range(0..40_000);
        let limit = time::Duration::from_secs(5 + self.random.random_range(0..15));
        let FakeEntry { name, boot, .. } = &self.entries[entry];
        let request = ids::RequestId::new(name, ids::BootId(*boot), self.number);
        let place = placement::CapacityRequest {
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
        if self.lost() {
            return;
        }
        self.asked.insert(place.attempt.clone(), (entry, place.clone()));
        let mut actions = self.ledger.enqueue(self.now, place.clone());
        if self.chance(0.1) {
            actions.extend(self.ledger.enqueue(self.now, place));
        }
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<placement::LedgerAction>) {
        for action in actions {
            match action {
                placement::LedgerAction::Grant(attempt, _) => self.start(&attempt),
                placement::LedgerAction::Refuse(attempt, _) => drop(self.asked.remove(&attempt)),
                placement::LedgerAction::Cancel(attempt, _) => {
                    if !self.lost() {
                        self.model.cancel(attempt.as_str());
                    }
                }
            }
        }
    }

    /// The entry hears of its place, or not; its call reaches the engine, or not.
    fn start(&mut self, attempt: &ids::AttemptId) {
        let Some((entry, place)) = self.asked.remove(attempt) else { return };
        if self.lost() || place.boot.0 != self.entries[entry].boot {
            return;
        }
        let request = engine_model::EngineRequest {
            attempt: attempt.to_string(),
            prompt: place.prompt.0,
            output: place.output.0,
            memory: place.memory.0,
            priority: 0,
            prefix: (self.number, 0),
        };
        if self.model.start(request) {
            self.entries[entry].streaming.insert(attempt.clone(), place);
            if self.chance(0.1) {
                // An engine that hangs makes no end of it.
                self.model.hang(attempt.as_str());
            }
        } else {
            self.release(attempt);
        }
    }

    /// A release arrives now, late, twice or never.
    fn release(&mut self, attempt: &ids::AttemptId) {
        if self.lost() {
            return;
        }
        if self.chance(0.3) {
            let delay = time::Duration::from_millis(self.random.random_range(0..3_000));
            self.late.push((self.now + delay, attempt.clone()));
        }
        let actions = self.ledger.release(self.now, attempt);
        self.carry_out(actions);
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for output in self.model.step(STEP) {
            if let engine_model::EngineOutput::Done(attempt) = output {
                self.end(&attempt.parse().unwrap());
            }
        }
        self.give_up_late();
        let (due, rest) = self.late.drain(..).partition(|(when, _)| *when <= self.now);
        self.late = rest;
        let due: Vec<(units::MonoTime, ids::AttemptId)> = due;
        for (_, attempt) in due {
            let actions = self.ledger.release(self.now, &attempt);
            self.carry_out(actions);
        }
        if self.now.0.is_multiple_of(1_000_000) {
            self.renew();
        }
        if self.now.0.is_multiple_of(500_000) && !self.lost() {
            self.report();
        }
        let actions = self.ledger.advance(self.now);
        self.carry_out(actions);
    }

    fn end(&mut self, attempt: &ids::AttemptId) {
        let known = self.entries.iter_mut().filter_map(|one| one.streaming.remove(attempt)).count();
        if known > 0 {
            self.release(attempt);
        }
    }

    /// Entries give up what has passed its limit; their cancels and releases may be lost.
    fn give_up_late(&mut self) {
        let now = self.now;
        let late: Vec<_> = self
            .entries
            .iter()
            .flat_map(|entry| entry.streaming.values())
            .filter(|place| place.deadline <= now)
            .map(|place| place.attempt.clone())
            .collect();
        for attempt in late {
            if !self.lost() {
                self.model.cancel(attempt.as_str());
            }
            self.end(&attempt);
        }
    }

    fn renew(&mut self) {
        for index in 0..self.entries.len() {
            if self.lost() {
                continue;
            }
            let entry = &self.entries[index];
            let streaming: Vec<_> = entry.streaming.values().cloned().collect();
            let (name, boot) = (entry.name.clone(), ids::BootId(entry.boot));
            let actions = self.ledger.renew(self.now, &name, boot, &streaming);
            self.carry_out(actions);
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
        self.carry_out(actions);
    }
}

#[test]
fn a_thousand_rounds_end_with_nothing_held() {
    let mut started = 0;
    for seed in 0..ROUNDS {
        let mut round = Round::new(seed);
        for _ in 0..WILD_STEPS {
            round.wild_step();
        }
        started += round.number;
        // No new requests; messages are still lost.
        for _ in 0..CALM_STEPS {
            round.step();
        }
        assert_eq!(round.model.held(), 0, "round {seed}: {:?}", round.model.holds());
        // One report that arrives, and the ledger agrees.
        round.report();
        assert_eq!(round.ledger.free(), units::TokenCount(MEMORY), "round {seed}");
        assert_eq!((round.ledger.running(), round.ledger.waiting()), (0, 0), "round {seed}");
    }
    assert!(started > 20_000, "{started}");
}
