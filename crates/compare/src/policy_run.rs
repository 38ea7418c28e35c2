//! Runs a scenario in steps of virtual time: arrivals, routing, placement and engines.

use std::{collections, time};

use slipturn_core::{
    engine_directory, entry_router, ids, placement, refusal, retry, routing, settings, units,
};
use slipturn_load::arrivals;
use slipturn_standin::engine_model;

use crate::{fake_engines, scenario};

/// Virtual time by which each step advances the run.
const STEP: time::Duration = time::Duration::from_millis(5);
/// Virtual time between two advances of the ledgers, which refuse requests that have waited too
/// long, end expired leases and grant new ones.
const ADVANCE_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Virtual time between two renewals of the leases that entries hold at the engines.
const RENEW_INTERVAL: time::Duration = time::Duration::from_secs(4);
/// Maximum number of rounds per placement, each with newly selected candidate engines, as in a real
/// entry.
const MAX_ROUNDS: usize = 3;

/// How a request ended. The times include the simulated network time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Completed, with the times from arrival to the first token and to the end.
    Completed(time::Duration, time::Duration),
    /// Refused, with the time from arrival to refusal.
    Refused(time::Duration),
    /// Admitted, but not completed: the request timed out or lost its engine.
    Failed,
}

/// Result of a request that has ended, from which the summary of the run is computed.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestResult {
    /// Scheduled time, prompt and output length, and API key of the request.
    pub arrival: arrivals::Arrival,
    /// Whether the request completed, was refused or failed, with its latencies.
    pub outcome: RequestOutcome,
    /// Number of attempts that reached an engine; 0 if the request was refused without one.
    pub attempts: u32,
}

/// A request that has been placed and has not ended.
struct ActiveRequest {
    arrival: arrivals::Arrival,
    /// Index of the entry that received the request.
    entry: usize,
    /// Index of the engine that serves the current attempt.
    engine: usize,
    /// The current attempt as a scheduler receives it, with its memory and deadlines.
    capacity_request: placement::CapacityRequest,
    /// Number of attempts so far, including the current one.
    attempts: u32,
    arrived: units::MonoTime,
    /// Network time of the exchanges with the schedulers; added to all latencies.
    network_time: time::Duration,
    /// Time from arrival to the first token; `None` before the engine has generated it.
    first_token: Option<time::Duration>,
}

/// A run in progress: its virtual clock, routers, engines and requests, and the results so far.
pub struct PolicyRun {
    scenario: scenario::RunScenario,
    options: settings::FleetOptions,
    entries: Vec<entry_router::EntryRouter>,
    engines: Vec<fake_engines::FakeEngine>,
    engine_indices: collections::HashMap<ids::EngineId, usize>,
    active: collections::BTreeMap<ids::AttemptId, ActiveRequest>,
    results: Vec<RequestResult>,
    now: units::MonoTime,
}

impl PolicyRun {
    /// Runs a scenario until all requests have ended, and returns their results.
    pub fn run(scenario: &scenario::RunScenario) -> Vec<RequestResult> {
        let mut run = Self::new(scenario.clone());
        let mut arrivals = scenario.arrivals().peekable();
        let midpoint = units::MonoTime::from_span(scenario.length / 2);
        while arrivals.peek().is_some() || !run.active.is_empty() {
            let elapsed = time::Duration::from_micros(run.now.0);
            while let Some(arrival) = arrivals.next_if(|arrival| arrival.at <= elapsed) {
                run.handle_arrival(arrival);
            }
            if run.now >= midpoint && run.now < midpoint + STEP {
                run.kill_engines();
            }
            run.step();
        }
        run.results
    }

    fn new(scenario: scenario::RunScenario) -> Self {
        let text = scenario.settings();
        let tree = settings::SettingsTree::parse(&text).expect("the run's settings are valid");
        let start = units::MonoTime(0);
        let entries = (0..scenario::INSTANCES).map(|number| {
            let instance = format!("instance-{number}").parse().expect("the name is valid");
            let data_center = format!("dc-{}", number % 3).parse().expect("the name is valid");
            let seed = scenario.seed * 1_000 + number as u64;
            let sleep_bound = time::Duration::from_secs(3_600);
            let mut router =
                entry_router::EntryRouter::new(instance, data_center, sleep_bound, seed);
            router.offer_settings(start, &text);
            router.offer_list(scenario.list());
            router.note_sources_queried(start, 0);
            router
        });
        let entries = entries.collect();
        let list = scenario.list();
        let engines: Vec<_> = list
            .engines
            .iter()
            .map(|record| fake_engines::FakeEngine::new(record.name.clone(), tree.fleet.clone()))
            .collect();
        let engine_indices = engines
            .iter()
            .enumerate()
            .map(|(index, engine)| (engine.name.clone(), index))
            .collect();
        Self {
            options: tree.fleet,
            scenario,
            entries,
            engines,
            engine_indices,
            active: collections::BTreeMap::new(),
            results: Vec::new(),
            now: start,
        }
    }

    fn handle_arrival(&mut self, arrival: arrivals::Arrival) {
        let entry = usize::try_from(arrival.number).unwrap_or(0) % self.entries.len();
        self.entries[entry].count_request(self.now);
        self.place(arrival, entry, self.now, 1, Vec::new());
    }

    /// Selects an engine for a request in the same way as a real entry, and queues the request
    /// there. Records a refusal if no engine accepts it.
    fn place(
        &mut self,
        arrival: arrivals::Arrival,
        entry: usize,
        arrived: units::MonoTime,
        attempts: u32,
        mut tried: Vec<ids::EngineId>,
    ) {
        let query = entry_router::PlanQuery {
            key: scenario::customer_key(arrival.key),
            model: "invitation".parse().expect("the name is valid"),
            prompt: units::TokenCount(arrival.prompt),
            output: Some(units::TokenCount(arrival.output)),
            requested_limit: None,
        };
        let request = self.build_capacity_request(&arrival, entry, arrived, attempts);
        let mut network_time = time::Duration::ZERO;
        for _ in 0..MAX_ROUNDS {
            let router = &mut self.entries[entry];
            let targets =
                router.candidates(self.now, &query, &self.options, arrival.number, &tried);
            if targets.is_empty() {
                break;
            }
            let (choice, exchange_time) = self.choose(entry, &targets, &request);
            network_time += exchange_time;
            let Some(choice) = choice else {
                tried.extend(targets.into_iter().map(|target| target.engine));
                continue;
            };
            let engine = self.engine_indices[&targets[choice.index].engine];
            tried.push(targets[choice.index].engine.clone());
            let active = ActiveRequest {
                arrival: arrival.clone(),
                entry,
                engine,
                capacity_request: request.clone(),
                attempts,
                arrived,
                network_time,
                first_token: None,
            };
            if self.enqueue(active) {
                return;
            }
        }
        let time_to_refusal = self.now.since(arrived) + network_time;
        self.results.push(RequestResult {
            arrival,
            outcome: RequestOutcome::Refused(time_to_refusal),
            attempts: attempts - 1,
        });
    }

    /// Collects the offers of the ledgers, as a real entry does from the schedulers, and chooses
    /// one. Also returns the network time of the exchange.
    fn choose(
        &mut self,
        entry: usize,
        targets: &[engine_directory::EngineTarget],
        request: &placement::CapacityRequest,
    ) -> (Option<routing::RouteChoice>, time::Duration) {
        if !self.entries[entry].wants_offers() {
            let choice = self.entries[entry].choose(targets, &vec![None; targets.len()]);
            return (choice, time::Duration::ZERO);
        }
        let profile = self.scenario.profile;
        let offers: Vec<_> = targets
            .iter()
            .map(|target| {
                let engine = &mut self.engines[self.engine_indices[&target.engine]];
                engine.ledger.offer(self.now, request).ok()
            })
            .collect();
        let round_trip = |target: &engine_directory::EngineTarget| {
            if target.near { profile.local_round_trip } else { profile.remote_round_trip }
        };
        let offer_time = targets.iter().map(round_trip).max().unwrap_or_default();
        let choice = self.entries[entry].choose(targets, &offers);
        let placement_time =
            choice.map_or(time::Duration::ZERO, |choice| round_trip(&targets[choice.index]));
        (choice, offer_time + placement_time)
    }

    /// Queues a request at its engine: under a baseline policy in the engine model, otherwise in
    /// the ledger. Returns `false` if the ledger refuses it immediately.
    fn enqueue(&mut self, active: ActiveRequest) -> bool {
        let (engine, attempt) = (active.engine, active.capacity_request.attempt.clone());
        let name = self.engines[engine].name.clone();
        let tokens = active.capacity_request.memory;
        let router = &mut self.entries[active.entry];
        if !router.wants_offers() {
            router.count_start(&name, tokens, active.arrival.number);
            let request = engine_request(&active, 0);
            self.active.insert(attempt, active);
            self.engines[engine].submit(request);
            return true;
        }
        let actions =
            self.engines[engine].ledger.enqueue(self.now, active.capacity_request.clone());
        let is_refused = |action: &placement::LedgerAction| matches!(action, placement::LedgerAction::Refuse(refused, _) if *refused == attempt);
        if actions.iter().any(is_refused) {
            return false;
        }
        router.count_start(&name, tokens, active.arrival.number);
        self.active.insert(attempt, active);
        self.apply_actions(engine, actions);
        true
    }

    /// Applies the actions that the ledger of an engine has returned.
    fn apply_actions(&mut self, engine: usize, actions: Vec<placement::LedgerAction>) {
        for action in actions {
            match action {
                placement::LedgerAction::Grant(attempt, rank) => {
                    let Some(active) = self.active.get(&attempt) else { continue };
                    let request = engine_request(active, rank.priority());
                    self.engines[engine].submit(request);
                }
                placement::LedgerAction::Refuse(attempt, refusal) => {
                    self.refuse(&attempt, &refusal);
                }
                placement::LedgerAction::Cancel(attempt, _) => {
                    self.engines[engine].cancel(attempt.as_str());
                }
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for engine in 0..self.engines.len() {
            for output in self.engines[engine].step(STEP) {
                self.handle_output(engine, &output);
            }
            let lag = self.scenario.report_lag;
            let actions = self.engines[engine].report(self.now, lag);
            self.apply_actions(engine, actions);
            if self.is_due(ADVANCE_INTERVAL) {
                let actions = self.engines[engine].ledger.advance(self.now);
                self.apply_actions(engine, actions);
            }
        }
        if self.is_due(RENEW_INTERVAL) {
            self.renew_leases();
        }
        self.fail_expired();
    }

    fn is_due(&self, interval: time::Duration) -> bool {
        self.now.0.is_multiple_of(units::MonoTime::from_span(interval).0)
    }

    fn handle_output(&mut self, engine: usize, output: &engine_model::EngineOutput) {
        match output {
            engine_model::EngineOutput::Tokens(attempt, 0, _) => {
                let Some(active) = attempt.parse().ok().and_then(|id| self.active.get_mut(&id))
                else {
                    return;
                };
                active.first_token = Some(self.now.since(active.arrived) + active.network_time);
            }
            engine_model::EngineOutput::Tokens(..) => {}
            engine_model::EngineOutput::Done(attempt) => {
                let Ok(attempt) = attempt.parse::<ids::AttemptId>() else { return };
                let Some(active) = self.remove_active(&attempt) else { return };
                let actions = self.engines[engine].ledger.release(self.now, &attempt);
                self.apply_actions(engine, actions);
                let total = self.now.since(active.arrived) + active.network_time;
                let first_token = active.first_token.unwrap_or(total);
                let outcome = RequestOutcome::Completed(first_token, total);
                self.results.push(RequestResult {
                    arrival: active.arrival,
                    outcome,
                    attempts: active.attempts,
                });
            }
        }
    }

    /// Ends a queued request with a refusal.
    fn refuse(&mut self, attempt: &ids::AttemptId, _refusal: &refusal::RequestRefusal) {
        let Some(active) = self.remove_active(attempt) else { return };
        let outcome = RequestOutcome::Refused(self.now.since(active.arrived) + active.network_time);
        let attempts = active.attempts - 1;
        self.results.push(RequestResult { arrival: active.arrival, outcome, attempts });
    }

    /// Removes a request from `active`, and from the outstanding load that its entry counts for the
    /// engine.
    fn remove_active(&mut self, attempt: &ids::AttemptId) -> Option<ActiveRequest> {
        let active = self.active.remove(attempt)?;
        let name = self.engines[active.engine].name.clone();
        self.entries[active.entry].count_end(&name, active.capacity_request.memory);
        Some(active)
    }

    /// Renews the leases of all active requests, as entries do.
    fn renew_leases(&mut self) {
        for engine in 0..self.engines.len() {
            for entry in 0..self.entries.len() {
                let streaming: Vec<_> = self
                    .active
                    .values()
                    .filter(|active| active.engine == engine && active.entry == entry)
                    .map(|active| active.capacity_request.clone())
                    .collect();
                let name = self.entries[entry].instance().clone();
                let boot = ids::BootId(1);
                let actions = self.engines[engine].ledger.renew(self.now, &name, boot, &streaming);
                self.apply_actions(engine, actions);
            }
        }
    }

    /// Fails the requests that have passed their deadline and cancels them on their engines.
    fn fail_expired(&mut self) {
        let expired: Vec<_> = self
            .active
            .iter()
            .filter(|(_, active)| active.capacity_request.deadline <= self.now)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in expired {
            self.fail(&attempt);
        }
    }

    /// Ends a request as failed, and releases its memory on the engine and in the ledger.
    fn fail(&mut self, attempt: &ids::AttemptId) {
        let Some(active) = self.remove_active(attempt) else { return };
        self.engines[active.engine].cancel(attempt.as_str());
        let actions = self.engines[active.engine].ledger.release(self.now, attempt);
        self.apply_actions(active.engine, actions);
        let (arrival, attempts) = (active.arrival, active.attempts);
        self.results.push(RequestResult { arrival, outcome: RequestOutcome::Failed, attempts });
    }

    /// Stops the first `lost_engines` engines. Their requests are retried on other engines if the
    /// retry policy allows it, and fail otherwise.
    fn kill_engines(&mut self) {
        for engine in 0..self.scenario.lost_engines {
            self.engines[engine].dead = true;
            let name = self.engines[engine].name.clone();
            let affected: Vec<_> = self
                .active
                .iter()
                .filter(|(_, active)| active.engine == engine)
                .map(|(attempt, _)| attempt.clone())
                .collect();
            for attempt in affected {
                self.retry(&attempt, &name);
            }
        }
    }

    /// Places a request on another engine after the loss of `engine`, or fails it if the retry
    /// policy allows no further attempt.
    fn retry(&mut self, attempt: &ids::AttemptId, engine: &ids::EngineId) {
        let Some(active) = self.active.get(attempt) else { return };
        let failure = match active.first_token {
            Some(_) => retry::AttemptFailure::BrokeMidAnswer,
            None => retry::AttemptFailure::BrokeBeforeAnswer,
        };
        let failed_attempt = retry::FailedAttempt {
            failure,
            repeatable: true,
            attempts: active.attempts,
            max_attempts: 3,
            time_left: true,
        };
        let router = &mut self.entries[active.entry];
        router.eject(self.now, engine);
        if router.decide_retry(self.now, failed_attempt) != retry::RetryVerdict::Retry {
            self.fail(attempt);
            return;
        }
        let Some(active) = self.remove_active(attempt) else { return };
        let tried = vec![engine.clone()];
        self.place(active.arrival, active.entry, active.arrived, active.attempts + 1, tried);
    }

    fn build_capacity_request(
        &self,
        arrival: &arrivals::Arrival,
        entry: usize,
        arrived: units::MonoTime,
        attempts: u32,
    ) -> placement::CapacityRequest {
        let instance = self.entries[entry].instance().clone();
        let request = ids::RequestId::new(&instance, ids::BootId(1), arrival.number);
        let deadline = arrived + scenario::TIME_LIMIT;
        placement::CapacityRequest {
            attempt: ids::AttemptId::new(&request, attempts),
            entry: instance,
            boot: ids::BootId(1),
            customer: format!("customer-{}", arrival.key).parse().expect("the name is valid"),
            weight: 1.0,
            prompt: units::TokenCount(arrival.prompt),
            cached: units::TokenCount::ZERO,
            output: units::TokenCount(arrival.output),
            memory: units::TokenCount(arrival.prompt + arrival.output),
            grouped: false,
            deadline,
            queue_deadline: deadline,
        }
    }
}

fn engine_request(active: &ActiveRequest, priority: u8) -> engine_model::EngineRequest {
    engine_model::EngineRequest {
        attempt: active.capacity_request.attempt.to_string(),
        prompt: active.arrival.prompt,
        output: active.arrival.output,
        memory: active.capacity_request.memory.0,
        priority,
        prefix: (active.arrival.number, 0),
    }
}
