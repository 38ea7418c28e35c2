//! The scheduler's state machine, which turns events into effects.
//!
//! It does no I/O and reads no clock: the time is passed in with each event.

use std::{collections, time};

use futures::channel::oneshot;
use slipturn_core::{
    budget, engine_ledger, fleet_list, ids, key_vote, placement, refusal, rendezvous, settings,
    units,
};
use slipturn_net::scheduler_link;

use crate::{document_store, event, status};

/// Time without use after which the ledger of an engine is dropped, if it has neither leases nor
/// waiting requests and this scheduler does not own the engine according to its list.
const UNOWNED_LEDGER_TTL: time::Duration = time::Duration::from_secs(30);

/// An engine for which this scheduler has a ledger.
struct ManagedEngine {
    record: fleet_list::EngineRecord,
    ledger: engine_ledger::EngineLedger,
    /// When an entry last asked for an offer, a place or a renewal on the engine or, for an owned
    /// engine, when a list was last applied, whichever is later.
    last_used: units::MonoTime,
}

/// Identity of a scheduler process.
#[derive(Debug, Clone)]
pub struct SchedulerIdentity {
    /// Instance that the scheduler runs on.
    pub instance: ids::InstanceId,
    /// Data centre of the instance.
    pub data_center: ids::DataCenterId,
    /// Id of this run of the process, which changes with each restart.
    pub boot: ids::BootId,
}

/// State of a scheduler: documents, engine ledgers, budgets and votes.
pub struct SchedulerState {
    identity: SchedulerIdentity,
    documents: document_store::DocumentStore,
    engines: collections::BTreeMap<ids::EngineId, ManagedEngine>,
    /// Reply channels of acquire calls that are not answered yet, by attempt. Invariant: each of
    /// these attempts is in the queue of one ledger.
    pending_acquires: collections::HashMap<ids::AttemptId, oneshot::Sender<event::PlaceAnswer>>,
    budgets: budget::BudgetLedger,
    voter: key_vote::KeyVoter,
}

impl SchedulerState {
    /// Creates the state of a scheduler that starts `now`, without documents or engines.
    pub fn new(now: units::MonoTime, identity: SchedulerIdentity) -> Self {
        let retention = settings::FleetOptions::default().key_retention.0;
        let voter = key_vote::KeyVoter::new(identity.instance.clone(), now, retention);
        Self {
            identity,
            documents: document_store::DocumentStore::default(),
            engines: collections::BTreeMap::new(),
            pending_acquires: collections::HashMap::new(),
            budgets: budget::BudgetLedger::default(),
            voter,
        }
    }

    /// Applies an event and returns the effects to perform.
    pub fn handle(
        &mut self,
        now: units::MonoTime,
        event: event::SchedulerEvent,
    ) -> Vec<event::SchedulerEffect> {
        use event::SchedulerEvent;
        match event {
            SchedulerEvent::Offer(engine, request, answer) => {
                let (offer, effects) = self.offer(now, &engine, &request);
                // A failed send means that the caller has disconnected and needs no answer; the
                // same holds for the sends below in this function.
                let _ = answer.send(offer);
                effects
            }
            SchedulerEvent::Acquire(engine, request, answer) => {
                self.acquire(now, &engine, request, answer)
            }
            SchedulerEvent::Release(engine, attempt) => self.release(now, &engine, &attempt),
            SchedulerEvent::Renew(entry, boot, places) => self.renew(now, &entry, boot, places),
            SchedulerEvent::Draw(customer, limit, want, answer) => {
                let _ = answer.send(self.budgets.draw(now, &customer, limit, want));
                Vec::new()
            }
            SchedulerEvent::Vote(key, request, answer) => {
                let _ = answer.send(self.voter.vote(now, &key, &request));
                Vec::new()
            }
            SchedulerEvent::Watch(known, deadline, answer) => {
                self.documents.watch(now, known, deadline, answer);
                Vec::new()
            }
            SchedulerEvent::Status(answer) => {
                let _ = answer.send(status::to_json(&self.status(now)));
                Vec::new()
            }
            SchedulerEvent::Documents(update) => self.apply_documents(now, &update),
            SchedulerEvent::Report(engine, report) => self.report(now, &engine, &report),
            SchedulerEvent::Tick => self.tick(now),
        }
    }

    /// The settings and the list in force, with the watchers that wait for newer ones.
    pub fn documents(&self) -> &document_store::DocumentStore {
        &self.documents
    }

    fn offer(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
        request: &placement::CapacityRequest,
    ) -> (event::OfferAnswer, Vec<event::SchedulerEffect>) {
        let effects = self.ensure_engine(now, engine);
        match self.engines.get_mut(engine) {
            Some(managed) => (managed.ledger.offer(now, request), effects),
            None => (Err(unknown_engine(engine)), effects),
        }
    }

    fn acquire(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
        request: placement::CapacityRequest,
        answer: oneshot::Sender<event::PlaceAnswer>,
    ) -> Vec<event::SchedulerEffect> {
        let mut effects = self.ensure_engine(now, engine);
        let Some(managed) = self.engines.get_mut(engine) else {
            let _ = answer.send(Err(unknown_engine(engine)));
            return effects;
        };
        self.pending_acquires.insert(request.attempt.clone(), answer);
        let actions = managed.ledger.enqueue(now, request);
        effects.extend(self.apply_actions(now, engine, actions));
        effects
    }

    fn release(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
        attempt: &ids::AttemptId,
    ) -> Vec<event::SchedulerEffect> {
        self.pending_acquires.remove(attempt);
        let Some(managed) = self.engines.get_mut(engine) else {
            return Vec::new();
        };
        let actions = managed.ledger.release(now, attempt);
        self.apply_actions(now, engine, actions)
    }

    fn renew(
        &mut self,
        now: units::MonoTime,
        entry: &ids::InstanceId,
        boot: ids::BootId,
        places: Vec<(ids::EngineId, placement::CapacityRequest)>,
    ) -> Vec<event::SchedulerEffect> {
        let mut by_engine: collections::BTreeMap<ids::EngineId, Vec<_>> =
            collections::BTreeMap::new();
        for (engine, request) in places {
            by_engine.entry(engine).or_default().push(request);
        }
        let mut effects = Vec::new();
        for engine in by_engine.keys() {
            effects.extend(self.ensure_engine(now, engine));
        }
        let engines: Vec<_> = self.engines.keys().cloned().collect();
        for engine in engines {
            let streaming = by_engine.remove(&engine).unwrap_or_default();
            let Some(managed) = self.engines.get_mut(&engine) else {
                continue;
            };
            let actions = managed.ledger.renew(now, entry, boot, &streaming);
            effects.extend(self.apply_actions(now, &engine, actions));
        }
        effects
    }

    fn report(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
        report: &placement::EngineReport,
    ) -> Vec<event::SchedulerEffect> {
        let Some(managed) = self.engines.get_mut(engine) else {
            return Vec::new();
        };
        let mut actions = managed.ledger.report(now, report);
        if managed.record.state == fleet_list::ListState::Leaving {
            managed.ledger.set_leaving(true);
            actions.extend(managed.ledger.advance(now));
        }
        self.apply_actions(now, engine, actions)
    }

    fn apply_documents(
        &mut self,
        now: units::MonoTime,
        update: &scheduler_link::DocumentUpdate,
    ) -> Vec<event::SchedulerEffect> {
        let instances = self.live_instances();
        let accepted = self.documents.apply(now, update);
        if let Some(tree) = accepted.settings {
            self.voter.set_retention(now, tree.fleet.key_retention.0);
            for managed in self.engines.values_mut() {
                managed.ledger.set_options(tree.fleet.clone());
            }
        }
        if !accepted.list {
            return Vec::new();
        }
        if self.live_instances() != instances {
            self.budgets.note_membership_change(now);
        }
        self.update_voter(now);
        self.update_engines(now)
    }

    fn live_instances(&self) -> Vec<ids::InstanceId> {
        let live = self.documents.list().live_instances();
        live.map(|instance| instance.name.clone()).collect()
    }

    fn update_voter(&mut self, now: units::MonoTime) {
        self.voter.update_list(
            now,
            self.documents.list().instances.iter().map(|instance| &instance.name),
        );
    }

    /// Applies a new list to the engines: updates their records, drops unlisted engines and takes
    /// over those that this scheduler owns.
    fn update_engines(&mut self, now: units::MonoTime) -> Vec<event::SchedulerEffect> {
        let mut effects = Vec::new();
        let records: collections::HashMap<_, _> = self
            .documents
            .list()
            .engines
            .iter()
            .map(|engine| (engine.name.clone(), engine.clone()))
            .collect();
        for managed in self.engines.values_mut() {
            if let Some(record) = records.get(&managed.record.name) {
                managed.ledger.set_leaving(record.state == fleet_list::ListState::Leaving);
                managed.record = record.clone();
            }
        }
        let unlisted: Vec<_> =
            self.engines.keys().filter(|name| !records.contains_key(*name)).cloned().collect();
        for name in unlisted {
            effects.extend(self.drop_engine(now, &name));
        }
        for record in records.values() {
            if self.owns(record) {
                effects.extend(self.ensure_engine(now, &record.name));
            }
        }
        effects
    }

    fn owns(&self, record: &fleet_list::EngineRecord) -> bool {
        let owner =
            rendezvous::engine_owner(self.documents.list(), &record.name, &record.data_center);
        owner.is_some_and(|owner| owner.name == self.identity.instance)
    }

    /// Creates a ledger for a listed engine that has none; marks an existing ledger as used.
    ///
    /// An entry with a different list may call this scheduler for an engine that another scheduler
    /// owns. Such calls are served as well, because the engine's load reports show the attempts
    /// that the other scheduler has placed on it.
    fn ensure_engine(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
    ) -> Vec<event::SchedulerEffect> {
        if let Some(managed) = self.engines.get_mut(engine) {
            managed.last_used = now;
            return Vec::new();
        }
        let record = self.documents.list().engines.iter().find(|record| record.name == *engine);
        let Some(record) = record.cloned() else {
            return Vec::new();
        };
        let options =
            self.documents.settings().tree().map(|tree| tree.fleet.clone()).unwrap_or_default();
        let mut ledger =
            engine_ledger::EngineLedger::new(now, record.memory, record.prefill_rate, options);
        ledger.set_leaving(record.state == fleet_list::ListState::Leaving);
        let start = event::SchedulerEffect::StartPoll(record.name.clone(), record.address);
        let managed = ManagedEngine { record, ledger, last_used: now };
        self.engines.insert(engine.clone(), managed);
        vec![start]
    }

    fn drop_engine(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
    ) -> Vec<event::SchedulerEffect> {
        let Some(managed) = self.engines.get_mut(engine) else {
            return Vec::new();
        };
        managed.ledger.set_leaving(true);
        let actions = managed.ledger.advance(now);
        let mut effects = self.apply_actions(now, engine, actions);
        self.engines.remove(engine);
        effects.push(event::SchedulerEffect::StopPoll(engine.clone()));
        effects
    }

    fn tick(&mut self, now: units::MonoTime) -> Vec<event::SchedulerEffect> {
        let engines: Vec<_> = self.engines.keys().cloned().collect();
        let mut effects = Vec::new();
        for engine in engines {
            effects.extend(self.tick_engine(now, &engine));
        }
        self.update_voter(now);
        self.voter.prune(now);
        self.budgets.prune(now);
        self.documents.answer_watchers(now);
        effects
    }

    fn tick_engine(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
    ) -> Vec<event::SchedulerEffect> {
        let Some(managed) = self.engines.get_mut(engine) else {
            return Vec::new();
        };
        let actions = managed.ledger.advance(now);
        let idle = managed.ledger.running() == 0 && managed.ledger.waiting() == 0;
        let unused = now.since(managed.last_used) >= UNOWNED_LEDGER_TTL;
        let record = managed.record.clone();
        let mut effects = self.apply_actions(now, engine, actions);
        if idle && unused && !self.owns(&record) {
            effects.extend(self.drop_engine(now, engine));
        }
        effects
    }

    fn apply_actions(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
        actions: Vec<placement::LedgerAction>,
    ) -> Vec<event::SchedulerEffect> {
        let mut effects = Vec::new();
        for action in actions {
            match action {
                placement::LedgerAction::Grant(attempt, rank) => {
                    effects.extend(self.grant(now, engine, &attempt, rank.priority()));
                }
                placement::LedgerAction::Refuse(attempt, refusal) => {
                    if let Some(answer) = self.pending_acquires.remove(&attempt) {
                        let _ = answer.send(Err(refusal));
                    }
                }
                placement::LedgerAction::Cancel(attempt, reason) => {
                    log::info!("cancelling {attempt} on engine {engine}: {reason:?}");
                    if let Some(managed) = self.engines.get(engine) {
                        effects
                            .push(event::SchedulerEffect::Cancel(managed.record.address, attempt));
                    }
                }
            }
        }
        effects
    }

    /// Answers the entry's acquire call. If the entry has disconnected, releases the place at once.
    fn grant(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
        attempt: &ids::AttemptId,
        priority: u8,
    ) -> Vec<event::SchedulerEffect> {
        let answer = self.pending_acquires.remove(attempt);
        if answer.is_some_and(|answer| answer.send(Ok(priority)).is_ok()) {
            return Vec::new();
        }
        self.release(now, engine, attempt)
    }

    fn status(&self, now: units::MonoTime) -> status::SchedulerStatus {
        let engines = self.engines.values().map(|managed| status::EngineStatus {
            engine: managed.record.name.clone(),
            owned: self.owns(&managed.record),
            reachable: managed.ledger.reachable(now),
            leaving: managed.ledger.draining(),
            memory: managed.record.memory,
            free: managed.ledger.free(),
            running: managed.ledger.running(),
            waiting: managed.ledger.waiting(),
            unexplained: managed.ledger.orphan_count(),
        });
        status::SchedulerStatus {
            instance: self.identity.instance.clone(),
            data_center: self.identity.data_center.clone(),
            boot: self.identity.boot.to_string(),
            settings_version: self.documents.settings().version().0,
            settings_rejected: self.documents.settings().rejected().map(str::to_owned),
            settings_age_ms: units::whole_millis(self.documents.settings().age(now)),
            list_revision: self.documents.list().revision,
            engines: engines.collect(),
            budgets: self.budgets.len(),
            keys: self.voter.len(),
            votes: self.voter.has_full_history(now),
            watchers: self.documents.watcher_count(),
        }
    }
}

fn unknown_engine(engine: &ids::EngineId) -> refusal::RequestRefusal {
    let text = format!("engine {engine} is not listed");
    refusal::RequestRefusal::not_run(refusal::RefusalCode::NoUpstream, text)
}
