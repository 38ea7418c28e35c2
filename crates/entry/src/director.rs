//! The task that owns the state shared by an entry's requests: router, decision records,
//! histograms.
//!
//! A place is the assignment of an attempt to an engine. An attempt on a group of engines has one
//! place on each of them.

use std::{collections, rc};

use futures::{
    StreamExt as _,
    channel::{mpsc, oneshot},
};
use slipturn_core::{
    decision, entry_router, fleet_list, histogram, ids, key_vote, live_settings, rendezvous, units,
};
use slipturn_net::{metrics, process, scheduler_link};

use crate::{documents, event};

/// Actor that owns the state shared by requests and handles [`event::EntryEvent`]s one at a time.
pub struct EntryDirector {
    router: entry_router::EntryRouter,
    boot: ids::BootId,
    decisions: decision::DecisionLog,
    histograms: histogram::HistogramSet,
    /// Places in use, keyed by attempt and engine: an attempt on a group of engines has one place
    /// on each of them.
    running: collections::HashMap<(ids::AttemptId, ids::EngineId), event::RunningPlace>,
    /// Documents in force and number of detected process pauses, for the document feed. Updated
    /// when documents are applied and on every tick.
    summary: rc::Rc<documents::DocumentSummary>,
    sender: metrics::MetricSender,
}

impl EntryDirector {
    /// Creates a director that keeps the last `decisions` decision records.
    pub fn new(
        router: entry_router::EntryRouter,
        boot: ids::BootId,
        decisions: usize,
        summary: rc::Rc<documents::DocumentSummary>,
        sender: metrics::MetricSender,
    ) -> Self {
        Self {
            router,
            boot,
            decisions: decision::DecisionLog::new(decisions),
            histograms: histogram::HistogramSet::default(),
            running: collections::HashMap::new(),
            summary,
            sender,
        }
    }

    /// Handles events until all senders are dropped.
    pub async fn run(
        mut self,
        mut incoming: mpsc::UnboundedReceiver<event::EntryEvent>,
        clock: process::ProcessClock,
    ) {
        while let Some(event) = incoming.next().await {
            self.handle(clock.now(), event);
        }
    }

    /// Applies an event to the state at the time `now`, and sends the answer if the event asks for
    /// one.
    fn handle(&mut self, now: units::MonoTime, event: event::EntryEvent) {
        use event::EntryEvent;
        let router = &mut self.router;
        match event {
            EntryEvent::Plan(query, answer) => reply(answer, router.plan(now, &query)),
            EntryEvent::Resolve(key, answer) => {
                reply(answer, router.resolve(now, &key, units::TokenCount::ZERO));
            }
            EntryEvent::Spend(resolved, want, answer) => {
                reply(answer, router.spend(now, &resolved, want));
            }
            EntryEvent::SpendOwnShare(resolved, want, answer) => {
                reply(answer, router.spend_own_share(now, &resolved, want));
            }
            EntryEvent::Portion(customer, portion) => router.add_portion(now, &customer, portion),
            EntryEvent::Candidates(query, tree, prefix, tried, answer) => {
                let found = router.candidates(now, &query, &tree.fleet, prefix, &tried);
                reply(answer, found);
            }
            EntryEvent::Group(model, need, tree, answer) => {
                reply(answer, router.group(&model, need, &tree.fleet));
            }
            EntryEvent::Choose(targets, offers, answer) => {
                reply(answer, router.choose(&targets, &offers));
            }
            EntryEvent::WantsOffers(answer) => reply(answer, router.wants_offers()),
            EntryEvent::MaySendUnleased(engine, answer) => {
                reply(answer, router.may_send_unleased(&engine));
            }
            EntryEvent::Started(place) => self.start(place),
            EntryEvent::Ended(attempt, engine) => self.end(&attempt, &engine),
            EntryEvent::Eject(engine) => router.eject(now, &engine),
            EntryEvent::Retry(attempt, answer) => {
                reply(answer, router.decide_retry(now, attempt));
            }
            EntryEvent::CountRequest => router.count_request(now),
            EntryEvent::Upstreams(service, answer) => reply(answer, router.upstreams(&service)),
            EntryEvent::Voters(key, answer) => reply(answer, voters(router.list(), &key)),
            EntryEvent::SpreadRetry(expected, answer) => {
                reply(answer, router.spread_retry(expected));
            }
            EntryEvent::Renewals(answer) => reply(answer, self.renewals()),
            EntryEvent::Measure(kind, series, spans) => {
                for series in &series {
                    self.histograms.record_all(kind, series, &spans);
                }
            }
            EntryEvent::Decision(record) => self.record_decision(*record),
            EntryEvent::Find(id, answer) => reply(answer, self.decisions.find(&id)),
            EntryEvent::Models(answer) => reply(answer, models(router.list())),
            EntryEvent::List(answer) => reply(answer, router.list().clone()),
            EntryEvent::Histograms(answer) => reply(answer, self.histograms.rows()),
            EntryEvent::Settings(answer) => reply(answer, router.live_settings().tree()),
            EntryEvent::Status(answer) => reply(answer, self.status(now)),
            EntryEvent::Documents(update, pauses) => self.apply_documents(now, &update, pauses),
            EntryEvent::SourcesUnreachable(pauses) => router.note_sources_queried(now, pauses),
            EntryEvent::Tick => self.tick(now),
        }
    }

    fn start(&mut self, place: event::RunningPlace) {
        self.router.count_start(&place.engine, place.request.memory, place.prefix);
        let key = (place.request.attempt.clone(), place.engine.clone());
        self.running.insert(key, place);
    }

    fn end(&mut self, attempt: &ids::AttemptId, engine: &ids::EngineId) {
        if let Some(place) = self.running.remove(&(attempt.clone(), engine.clone())) {
            self.router.count_end(engine, place.request.memory);
        }
    }

    /// Groups the places in use by the scheduler that owns their engine according to the list in
    /// force. Places on engines without an owner are left out.
    fn renewals(&self) -> event::RenewalBatch {
        let list = self.router.list();
        let mut batches: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for place in self.running.values() {
            let record = list.engines.iter().find(|record| record.name == place.engine);
            let owner = record.and_then(|record| {
                rendezvous::engine_owner(list, &record.name, &record.data_center)
            });
            if let Some(owner) = owner {
                let renewed = (place.engine.clone(), place.request.clone());
                batches.entry(owner.scheduler).or_default().push(renewed);
            }
        }
        batches.into_iter().collect()
    }

    /// Counts an ended request in the metrics and keeps its record.
    fn record_decision(&mut self, record: decision::DecisionRecord) {
        self.sender.count("requests");
        if let Some(total) = record.total_ms {
            self.sender.time("total", std::time::Duration::from_millis(total));
        }
        if let Some(first) = record.first_token_ms {
            self.sender.time("first_token", std::time::Duration::from_millis(first));
        }
        self.decisions.add(record);
    }

    /// Applies the settings and the list of an update. An update without settings confirms that
    /// those in force are current.
    ///
    /// `pause_count` is the number of process pauses detected before the sources were asked. If it
    /// has changed since, the answer may be outdated and doesn't count as a refresh.
    fn apply_documents(
        &mut self,
        now: units::MonoTime,
        update: &scheduler_link::DocumentUpdate,
        pause_count: u64,
    ) {
        match &update.settings {
            Some(text) => self.apply_settings(now, text),
            None => self.router.confirm_settings(now, update.age),
        }
        if let Some(text) = &update.list {
            match fleet_list::FleetList::parse(text) {
                Ok(list) => self.router.offer_list(list),
                Err(error) => log::error!("invalid list: {error}"),
            }
        }
        self.router.note_sources_queried(now, pause_count);
        self.update_summary();
    }

    fn apply_settings(&mut self, now: units::MonoTime, text: &str) {
        match self.router.offer_settings(now, text) {
            live_settings::OfferOutcome::Accepted => {
                log::info!(
                    "settings version {} is in force",
                    self.router.live_settings().version()
                );
            }
            live_settings::OfferOutcome::Invalid(error) => log::error!("invalid settings: {error}"),
            live_settings::OfferOutcome::Older => log::warn!("ignored older settings"),
            live_settings::OfferOutcome::Same => {}
        }
    }

    fn update_summary(&self) {
        let list = self.router.list();
        let known = scheduler_link::KnownDocuments {
            settings: self.router.live_settings().version().0,
            list: list.revision,
        };
        self.summary.known.set(known);
        self.summary.pause_count.set(self.router.pause_count());
        let schedulers = list.live_instances().map(|instance| instance.scheduler);
        self.summary.schedulers.replace(schedulers.collect());
    }

    fn status(&mut self, now: units::MonoTime) -> event::EntryStatus {
        let ready = self.router.ready(now);
        let live_settings = self.router.live_settings();
        event::EntryStatus {
            instance: self.router.instance().clone(),
            boot: self.boot.to_string(),
            ready,
            settings_version: live_settings.version().0,
            settings_rejected: live_settings.rejected().map(str::to_owned),
            settings_age_ms: units::whole_millis(live_settings.age(now)),
            list_revision: self.router.list().revision,
            running: self.running.len(),
            decisions: self.decisions.len(),
            requests: 0,
        }
    }

    fn tick(&mut self, now: units::MonoTime) {
        self.router.tick(now);
        self.summary.pause_count.set(self.router.pause_count());
        self.sender.gauge("running", self.running.len() as u64);
        self.sender.flush();
    }
}

/// Sends an answer. A failed send means that the asking task was dropped and needs no answer.
fn reply<T>(reply_to: oneshot::Sender<T>, answer: T) {
    let _ = reply_to.send(answer);
}

/// Instances to ask for votes on a key, ranked by the key.
///
/// Every entry asks the same instance first. Of two requests with the same key, the later one thus
/// learns of the earlier one from its first query, and the votes are not split between them.
fn voters(list: &fleet_list::FleetList, key: &key_vote::ScopedKey) -> event::VoterList {
    let ranked =
        rendezvous::ranked(&key.0, list.instances.iter(), |instance| instance.name.as_str());
    let voters =
        ranked.iter().map(|instance| (instance.name.clone(), instance.scheduler)).collect();
    event::VoterList { voters }
}

/// Models of all listed engines, sorted and without duplicates.
fn models(list: &fleet_list::FleetList) -> Vec<ids::ModelId> {
    let mut models: Vec<_> = list.engines.iter().map(|engine| engine.model.clone()).collect();
    models.sort();
    models.dedup();
    models
}
