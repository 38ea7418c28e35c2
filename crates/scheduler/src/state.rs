//! The state of one scheduler. It sees no socket and no clock.

use std::{collections, time};

use futures::channel::oneshot;
use slipturn_core::{
    budget, engine_ledger, fleet_list, ids, key_vote, placement, refusal, rendezvous, settings,
    units,
};
use slipturn_net::scheduler_link;

use crate::{document_store, event, status};

/// A ledger this scheduler does not own, by its own list, is dropped after this time without use.
const FOREIGN_LIFE: time::Duration = time::Duration::from_secs(30);

/// One engine in this scheduler's care.
struct EngineCare {
    record: fleet_list::EngineRecord,
    ledger: engine_ledger::EngineLedger,
    used: units::MonoTime,
}

/// Who this scheduler is.
#[derive(Debug, Clone)]
pub struct SchedulerIdentity {
    /// Its instance.
    pub instance: ids::InstanceId,
    /// Its data centre.
    pub data_center: ids::DataCenterId,
    /// This start of the process.
    pub boot: ids::BootId,
}

/// Everything a scheduler knows.
pub struct SchedulerState {
    identity: SchedulerIdentity,
    documents: document_store::DocumentStore,
    engines: collections::BTreeMap<ids::EngineId, EngineCare>,
    /// Entries waiting for a place. Invariant: each attempt is in the queue of one ledger.
    waiting: collections::HashMap<ids::AttemptId, oneshot::Sender<event::PlaceAnswer>>,
    keeper: budget::BudgetLedger,
    voter: key_vote::KeyVoter,
}

impl SchedulerState {
    /// The state of a scheduler that has just started.
    pub fn new(now: units::MonoTime, identity: SchedulerIdentity) -> Self {
        let retention = settings::FleetOptions::default().key_retention.0;
        let voter = key_vote::KeyVoter::new(identity.instance.clone(), now, retention);
        Self {
            identity,
            documents: document_store::DocumentStore::default(),
            engines: collections::BTreeMap::new(),
            waiting: collections::HashMap::new(),
            keeper: budget::BudgetLedger::default(),
            voter,
        }
    }

    /// Takes in one event and says what is to be done.
    pub fn handle(
        &mut self,
        now: units::MonoTime,
        happened: event::SchedulerEvent,
    ) -> Vec<event::SchedulerEffect> {
        use event::SchedulerEvent;
        match happened {
            SchedulerEvent::Offer(engine, request, answer) => {
                let (offer, effects) = self.offer(now, &engine, &request);
                // An asker that has gone needs no answer; the same holds for those below.
                let _ = answer.send(offer);
                effects
            }
            SchedulerEvent::Acquire(engine, request, answer) => {
                self.acquire(now, &engine, request, answer)
            }
            SchedulerEvent::Release(engine, attempt) => self.release(now, &engine, &attempt),
            SchedulerEvent::Renew(entry, boot, places) => self.renew(now, &entry, boot, places),
            SchedulerEvent::Draw(customer, limit, want, answer) => {
                let _ = answer.send(self.keeper.draw(now, &customer, limit, want));
                Vec::new()
            }
            SchedulerEvent::Vote(key, asker, answer) => {
                let _ = answer.send(self.voter.ask(now, &key, &asker));
                Vec::new()
            }
            SchedulerEvent::Watch(known, until, answer) => {
                self.documents.watch(now, known, until, answer);
                Vec::new()
            }
            SchedulerEvent::Status(answer) => {
                let _ = answer.send(status::to_json(&self.status(now)));
                Vec::new()
            }
            SchedulerEvent::Documents(update) => self.take_documents(now, &update),
            SchedulerEvent::Report(engine, report) => self.report(now, &engine, &report),
            SchedulerEvent::Tick => self.tick(now),
        }
    }

    /// The documents held.
    pub fn documents(&self) -> &document_store::DocumentStore {
        &self.documents
    }

    fn offer(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
        request: &placement::PlaceRequest,
    ) -> (event::OfferAnswer, Vec<event::SchedulerEffect>) {
        let effects = self.take_care(now, engine);
        match self.engines.get_mut(engine) {
            Some(care) => (care.ledger.offer(now, request), effects),
            None => (Err(unknown_engine(engine)), effects),
        }
    }

    fn acquire(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
        request: placement::PlaceRequest,
        answer: oneshot::Sender<event::PlaceAnswer>,
    ) -> Vec<event::SchedulerEffect> {
        let mut effects = self.take_care(now, engine);
        let Some(care) = self.engines.get_mut(engine) else {
            let _ = answer.send(Err(unknown_engine(engine)));
            return effects;
        };
        self.waiting.insert(request.attempt.clone(), answer);
        let actions = care.ledger.enqueue(now, request);
        effects.extend(self.carry_out(now, engine, actions));
        effects
    }

    fn release(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
        attempt: &ids::AttemptId,
    ) -> Vec<event::SchedulerEffect> {
        self.waiting.remove(attempt);
        let Some(care) = self.engines.get_mut(engine) else {
            return Vec::new();
        };
        let actions = care.ledger.release(now, attempt);
        self.carry_out(now, engine, actions)
    }

    fn renew(
        &mut self,
        now: units::MonoTime,
        entry: &ids::InstanceId,
        boot: ids::BootId,
        places: Vec<(ids::EngineId, placement::PlaceRequest)>,
    ) -> Vec<event::SchedulerEffect> {
        let mut by_engine: collections::BTreeMap<ids::EngineId, Vec<_>> =
            collections::BTreeMap::new();
        for (engine, request) in places {
            by_engine.entry(engine).or_default().push(request);
        }
        let mut effects = Vec::new();
        for engine in by_engine.keys() {
            effects.extend(self.take_care(now, engine));
        }
        let engines: Vec<_> = self.engines.keys().cloned().collect();
        for engine in engines {
            let streaming = by_engine.remove(&engine).unwrap_or_default();
            let Some(care) = self.engines.get_mut(&engine) else {
                continue;
            };
            let actions = care.ledger.renew(now, entry, boot, &streaming);
            effects.extend(self.carry_out(now, &engine, actions));
        }
        effects
    }

    fn report(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
        report: &placement::EngineReport,
    ) -> Vec<event::SchedulerEffect> {
        let Some(care) = self.engines.get_mut(engine) else {
            return Vec::new();
        };
        let mut actions = care.ledger.report(now, report);
        if care.record.state == fleet_list::ListState::Leaving {
            care.ledger.set_leaving(true);
            actions.extend(care.ledger.advance(now));
        }
        self.carry_out(now, engine, actions)
    }

    fn take_documents(
        &mut self,
        now: units::MonoTime,
        update: &scheduler_link::DocumentUpdate,
    ) -> Vec<event::SchedulerEffect> {
        let instances = self.live_instances();
        let news = self.documents.take(now, update);
        if let Some(tree) = news.settings {
            self.voter.set_retention(now, tree.fleet.key_retention.0);
            for care in self.engines.values_mut() {
                care.ledger.set_options(tree.fleet.clone());
            }
        }
        if !news.list {
            return Vec::new();
        }
        if self.live_instances() != instances {
            self.keeper.note_membership_change(now);
        }
        self.see_instances(now);
        self.follow_engines(now)
    }

    fn live_instances(&self) -> Vec<ids::InstanceId> {
        let live = self.documents.list().live_instances();
        live.map(|instance| instance.name.clone()).collect()
    }

    fn see_instances(&mut self, now: units::MonoTime) {
        self.voter.update_list(
            now,
            self.documents.list().instances.iter().map(|instance| &instance.name),
        );
    }

    /// Takes over the engines this scheduler owns, and drops the unlisted ones.
    fn follow_engines(&mut self, now: units::MonoTime) -> Vec<event::SchedulerEffect> {
        let mut effects = Vec::new();
        let records: collections::HashMap<_, _> = self
            .documents
            .list()
            .engines
            .iter()
            .map(|engine| (engine.name.clone(), engine.clone()))
            .collect();
        for care in self.engines.values_mut() {
            if let Some(record) = records.get(&care.record.name) {
                care.ledger.set_leaving(record.state == fleet_list::ListState::Leaving);
                care.record = record.clone();
            }
        }
        let unlisted: Vec<_> =
            self.engines.keys().filter(|name| !records.contains_key(*name)).cloned().collect();
        for name in unlisted {
            effects.extend(self.drop_care(now, &name));
        }
        for record in records.values() {
            if self.owns(record) {
                effects.extend(self.take_care(now, &record.name));
            }
        }
        effects
    }

    fn owns(&self, record: &fleet_list::EngineRecord) -> bool {
        let owner =
            rendezvous::engine_owner(self.documents.list(), &record.name, &record.data_center);
        owner.is_some_and(|owner| owner.name == self.identity.instance)
    }

    /// Makes a ledger for a listed engine that has none yet.
    ///
    /// An entry with another list may name an engine that is not this scheduler's own: it is
    /// served all the same, for the engine's report shows what others have placed there.
    fn take_care(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
    ) -> Vec<event::SchedulerEffect> {
        if let Some(care) = self.engines.get_mut(engine) {
            care.used = now;
            return Vec::new();
        }
        let record = self.documents.list().engines.iter().find(|record| record.name == *engine);
        let Some(record) = record.cloned() else {
            return Vec::new();
        };
        let options =
            self.documents.store().tree().map(|tree| tree.fleet.clone()).unwrap_or_default();
        let mut ledger =
            engine_ledger::EngineLedger::new(now, record.memory, record.prefill_rate, options);
        ledger.set_leaving(record.state == fleet_list::ListState::Leaving);
        let start = event::SchedulerEffect::StartPoll(record.name.clone(), record.address);
        let care = EngineCare { record, ledger, used: now };
        self.engines.insert(engine.clone(), care);
        vec![start]
    }

    fn drop_care(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
    ) -> Vec<event::SchedulerEffect> {
        let Some(care) = self.engines.get_mut(engine) else {
            return Vec::new();
        };
        care.ledger.set_leaving(true);
        let actions = care.ledger.advance(now);
        let mut effects = self.carry_out(now, engine, actions);
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
        self.see_instances(now);
        self.voter.prune(now);
        self.keeper.prune(now);
        self.documents.answer_watchers(now);
        effects
    }

    fn tick_engine(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
    ) -> Vec<event::SchedulerEffect> {
        let Some(care) = self.engines.get_mut(engine) else {
            return Vec::new();
        };
        let actions = care.ledger.advance(now);
        let idle = care.ledger.running() == 0 && care.ledger.waiting() == 0;
        let unused = now.since(care.used) >= FOREIGN_LIFE;
        let record = care.record.clone();
        let mut effects = self.carry_out(now, engine, actions);
        if idle && unused && !self.owns(&record) {
            effects.extend(self.drop_care(now, engine));
        }
        effects
    }

    fn carry_out(
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
                    if let Some(answer) = self.waiting.remove(&attempt) {
                        let _ = answer.send(Err(refusal));
                    }
                }
                placement::LedgerAction::Cancel(attempt, reason) => {
                    log::info!("cancel of {attempt} at {engine}: {reason:?}");
                    if let Some(care) = self.engines.get(engine) {
                        effects.push(event::SchedulerEffect::Cancel(care.record.address, attempt));
                    }
                }
            }
        }
        effects
    }

    /// Tells the entry; one that has gone gives its place back at once.
    fn grant(
        &mut self,
        now: units::MonoTime,
        engine: &ids::EngineId,
        attempt: &ids::AttemptId,
        priority: u8,
    ) -> Vec<event::SchedulerEffect> {
        let answer = self.waiting.remove(attempt);
        if answer.is_some_and(|answer| answer.send(Ok(priority)).is_ok()) {
            return Vec::new();
        }
        self.release(now, engine, attempt)
    }

    fn status(&self, now: units::MonoTime) -> status::SchedulerStatus {
        let engines = self.engines.values().map(|care| status::EngineStatus {
            engine: care.record.name.clone(),
            owned: self.owns(&care.record),
            reachable: care.ledger.reachable(now),
            leaving: care.ledger.draining(),
            memory: care.record.memory,
            free: care.ledger.free(),
            running: care.ledger.running(),
            waiting: care.ledger.waiting(),
            unexplained: care.ledger.orphan_count(),
        });
        status::SchedulerStatus {
            instance: self.identity.instance.clone(),
            data_center: self.identity.data_center.clone(),
            boot: self.identity.boot.to_string(),
            settings_version: self.documents.store().version().0,
            settings_rejected: self.documents.store().rejected().map(str::to_owned),
            settings_age_ms: units::whole_millis(self.documents.store().age(now)),
            list_revision: self.documents.list().revision,
            engines: engines.collect(),
            budgets: self.keeper.len(),
            keys: self.voter.len(),
            votes: self.voter.has_full_history(now),
            watchers: self.documents.watchers(),
        }
    }
}

fn unknown_engine(engine: &ids::EngineId) -> refusal::RequestRefusal {
    let text = format!("engine {engine} is not listed");
    refusal::RequestRefusal::not_run(refusal::RefusalCode::NoUpstream, text)
}
