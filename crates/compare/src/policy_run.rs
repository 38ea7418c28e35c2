//! One run: arrivals, decisions, engines, in steps of virtual time.

use std::{collections, time};

use slipturn_core::{
    engine_directory, entry_router, ids, placement, refusal, retry, routing, settings, units,
};
use slipturn_load::arrivals;
use slipturn_standin::engine_model;

use crate::{fake_engines, scenario};

/// Length of a step.
const STEP: time::Duration = time::Duration::from_millis(5);
/// Time between two advances of the ledgers and two renewals.
const ADVANCE_INTERVAL: time::Duration = time::Duration::from_millis(50);
const RENEW_INTERVAL: time::Duration = time::Duration::from_secs(4);
/// Rounds of candidates, as in the entry.
const MAX_ROUNDS: usize = 3;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Whole, with its times to first token and end.
    Whole(time::Duration, time::Duration),
    /// Refused, after this time.
    Refused(time::Duration),
    /// Admitted and then not finished within its limit, or cut.
    Failed,
}

/// A request and how it ended.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestResult {
    /// The request.
    pub arrival: arrivals::Arrival,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Attempts that reached an engine.
    pub attempts: u32,
}

/// A request on its way.
struct OpenRequest {
    arrival: arrivals::Arrival,
    entry: usize,
    engine: usize,
    place: placement::CapacityRequest,
    attempts: u32,
    arrived: units::MonoTime,
    /// What asking schedulers cost on the network.
    asking: time::Duration,
    first_token: Option<time::Duration>,
}

/// A whole run.
pub struct PolicyRun {
    scenario: scenario::RunScenario,
    options: settings::FleetOptions,
    entries: Vec<entry_router::EntryRouter>,
    engines: Vec<fake_engines::FakeEngine>,
    index: collections::HashMap<ids::EngineId, usize>,
    open: collections::BTreeMap<ids::AttemptId, OpenRequest>,
    results: Vec<RequestResult>,
    now: units::MonoTime,
}

impl PolicyRun {
    /// Runs a scenario to its end, and on until nothing is open.
    pub fn run(scenario: &scenario::RunScenario) -> Vec<RequestResult> {
        let mut run = Self::new(scenario.clone());
        let mut arrivals = scenario.arrivals().peekable();
        let half = units::MonoTime::from_span(scenario.length / 2);
        while arrivals.peek().is_some() || !run.open.is_empty() {
            let elapsed = time::Duration::from_micros(run.now.0);
            while let Some(arrival) = arrivals.next_if(|arrival| arrival.at <= elapsed) {
                run.arrive(arrival);
            }
            if run.now >= half && run.now < half + STEP {
                run.lose_engines();
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
            let instance = format!("instance-{number}").parse().expect("a valid name");
            let center = format!("dc-{}", number % 3).parse().expect("a valid name");
            let seed = scenario.seed * 1_000 + number as u64;
            let hour = time::Duration::from_secs(3_600);
            let mut router = entry_router::EntryRouter::new(instance, center, hour, seed);
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
        let index = engines
            .iter()
            .enumerate()
            .map(|(index, engine)| (engine.name.clone(), index))
            .collect();
        Self {
            options: tree.fleet,
            scenario,
            entries,
            engines,
            index,
            open: collections::BTreeMap::new(),
            results: Vec::new(),
            now: start,
        }
    }

    fn arrive(&mut self, arrival: arrivals::Arrival) {
        let entry = usize::try_from(arrival.number).unwrap_or(0) % self.entries.len();
        self.entries[entry].count_request(self.now);
        self.place(arrival, entry, self.now, 1, Vec::new());
    }

    /// Finds a request its engine as the entry does, and queues it there.
    fn place(
        &mut self,
        arrival: arrivals::Arrival,
        entry: usize,
        arrived: units::MonoTime,
        attempts: u32,
        mut tried: Vec<ids::EngineId>,
    ) {
        let question = entry_router::PlanQuery {
            key: scenario::key(arrival.key),
            model: "invitation".parse().expect("a valid name"),
            prompt: units::TokenCount(arrival.prompt),
            output: Some(units::TokenCount(arrival.output)),
            requested_limit: None,
        };
        let request = self.place_request(&arrival, entry, arrived, attempts);
        let mut asking = time::Duration::ZERO;
        for _ in 0..MAX_ROUNDS {
            let router = &mut self.entries[entry];
            let targets =
                router.candidates(self.now, &question, &self.options, arrival.number, &tried);
            if targets.is_empty() {
                break;
            }
            let (choice, cost) = self.choose(entry, &targets, &request);
            asking += cost;
            let Some(choice) = choice else {
                tried.extend(targets.into_iter().map(|target| target.engine));
                continue;
            };
            let engine = self.index[&targets[choice.index].engine];
            tried.push(targets[choice.index].engine.clone());
            let open = OpenRequest {
                arrival: arrival.clone(),
                entry,
                engine,
                place: request.clone(),
                attempts,
                arrived,
                asking,
                first_token: None,
            };
            if self.enqueue(open) {
                return;
            }
        }
        let spent = self.now.since(arrived) + asking;
        self.results.push(RequestResult {
            arrival,
            outcome: RequestOutcome::Refused(spent),
            attempts: attempts - 1,
        });
    }

    /// Asks the ledgers as an entry asks their schedulers. Also returns the time that takes.
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
                let engine = &mut self.engines[self.index[&target.engine]];
                engine.ledger.offer(self.now, request).ok()
            })
            .collect();
        let trip = |target: &engine_directory::EngineTarget| {
            if target.near { profile.near } else { profile.far }
        };
        let asked = targets.iter().map(trip).max().unwrap_or_default();
        let choice = self.entries[entry].choose(targets, &offers);
        let placed = choice.map_or(time::Duration::ZERO, |choice| trip(&targets[choice.index]));
        (choice, asked + placed)
    }

    /// Queues a request at its engine; `false` when the ledger refuses it at once.
    fn enqueue(&mut self, open: OpenRequest) -> bool {
        let (engine, attempt) = (open.engine, open.place.attempt.clone());
        let name = self.engines[engine].name.clone();
        let tokens = open.place.memory;
        let router = &mut self.entries[open.entry];
        if !router.wants_offers() {
            router.count_start(&name, tokens, open.arrival.number);
            let request = engine_request(&open, 0);
            self.open.insert(attempt, open);
            self.engines[engine].give(request);
            return true;
        }
        let actions = self.engines[engine].ledger.enqueue(self.now, open.place.clone());
        let refused = |action: &placement::LedgerAction| matches!(action, placement::LedgerAction::Refuse(refused, _) if *refused == attempt);
        if actions.iter().any(refused) {
            return false;
        }
        router.count_start(&name, tokens, open.arrival.number);
        self.open.insert(attempt, open);
        self.carry_out(engine, actions);
        true
    }

    fn carry_out(&mut self, engine: usize, actions: Vec<placement::LedgerAction>) {
        for action in actions {
            match action {
                placement::LedgerAction::Grant(attempt, rank) => {
                    let Some(open) = self.open.get(&attempt) else { continue };
                    let request = engine_request(open, rank.priority());
                    self.engines[engine].give(request);
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
                self.take_output(engine, &output);
            }
            let lag = self.scenario.report_lag;
            let actions = self.engines[engine].report(self.now, lag);
            self.carry_out(engine, actions);
            if self.due(ADVANCE_INTERVAL) {
                let actions = self.engines[engine].ledger.advance(self.now);
                self.carry_out(engine, actions);
            }
        }
        if self.due(RENEW_INTERVAL) {
            self.renew();
        }
        self.fail_late();
    }

    fn due(&self, interval: time::Duration) -> bool {
        self.now.0.is_multiple_of(units::MonoTime::from_span(interval).0)
    }

    fn take_output(&mut self, engine: usize, output: &engine_model::EngineOutput) {
        match output {
            engine_model::EngineOutput::Tokens(attempt, 0, _) => {
                let Some(open) = attempt.parse().ok().and_then(|id| self.open.get_mut(&id)) else {
                    return;
                };
                open.first_token = Some(self.now.since(open.arrived) + open.asking);
            }
            engine_model::EngineOutput::Tokens(..) => {}
            engine_model::EngineOutput::Done(attempt) => {
                let Ok(attempt) = attempt.parse::<ids::AttemptId>() else { return };
                let Some(open) = self.close(&attempt) else { return };
                let actions = self.engines[engine].ledger.release(self.now, &attempt);
                self.carry_out(engine, actions);
                let total = self.now.since(open.arrived) + open.asking;
                let first_token = open.first_token.unwrap_or(total);
                let outcome = RequestOutcome::Whole(first_token, total);
                self.results.push(RequestResult {
                    arrival: open.arrival,
                    outcome,
                    attempts: open.attempts,
                });
            }
        }
    }

    fn refuse(&mut self, attempt: &ids::AttemptId, _refusal: &refusal::RequestRefusal) {
        let Some(open) = self.close(attempt) else { return };
        let outcome = RequestOutcome::Refused(self.now.since(open.arrived) + open.asking);
        let attempts = open.attempts - 1;
        self.results.push(RequestResult { arrival: open.arrival, outcome, attempts });
    }

    fn close(&mut self, attempt: &ids::AttemptId) -> Option<OpenRequest> {
        let open = self.open.remove(attempt)?;
        let name = self.engines[open.engine].name.clone();
        self.entries[open.entry].count_end(&name, open.place.memory);
        Some(open)
    }

    fn renew(&mut self) {
        for engine in 0..self.engines.len() {
            for entry in 0..self.entries.len() {
                let streaming: Vec<_> = self
                    .open
                    .values()
                    .filter(|open| open.engine == engine && open.entry == entry)
                    .map(|open| open.place.clone())
                    .collect();
                let name = self.entries[entry].instance().clone();
                let boot = ids::BootId(1);
                let actions = self.engines[engine].ledger.renew(self.now, &name, boot, &streaming);
                self.carry_out(engine, actions);
            }
        }
    }

    /// What has passed its limit has failed, and its engine gives it up.
    fn fail_late(&mut self) {
        let late: Vec<_> = self
            .open
            .iter()
            .filter(|(_, open)| open.place.deadline <= self.now)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in late {
            self.fail(&attempt);
        }
    }

    fn fail(&mut self, attempt: &ids::AttemptId) {
        let Some(open) = self.close(attempt) else { return };
        self.engines[open.engine].cancel(attempt.as_str());
        let actions = self.engines[open.engine].ledger.release(self.now, attempt);
        self.carry_out(open.engine, actions);
        let (arrival, attempts) = (open.arrival, open.attempts);
        self.results.push(RequestResult { arrival, outcome: RequestOutcome::Failed, attempts });
    }

    /// Engines die at once; callers that have seen nothing yet may be tried elsewhere.
    fn lose_engines(&mut self) {
        for engine in 0..self.scenario.lost_engines {
            self.engines[engine].dead = true;
            let name = self.engines[engine].name.clone();
            let broken: Vec<_> = self
                .open
                .iter()
                .filter(|(_, open)| open.engine == engine)
                .map(|(attempt, _)| attempt.clone())
                .collect();
            for attempt in broken {
                self.retry(&attempt, &name);
            }
        }
    }

    fn retry(&mut self, attempt: &ids::AttemptId, engine: &ids::EngineId) {
        let Some(open) = self.open.get(attempt) else { return };
        let failure = match open.first_token {
            Some(_) => retry::AttemptFailure::BrokeMidAnswer,
            None => retry::AttemptFailure::BrokeBeforeAnswer,
        };
        let question = retry::FailedAttempt {
            failure,
            repeatable: true,
            attempts: open.attempts,
            max_attempts: 3,
            time_left: true,
        };
        let router = &mut self.entries[open.entry];
        router.eject(self.now, engine);
        if router.decide_retry(self.now, question) != retry::RetryVerdict::Retry {
            self.fail(attempt);
            return;
        }
        let Some(open) = self.close(attempt) else { return };
        let tried = vec![engine.clone()];
        self.place(open.arrival, open.entry, open.arrived, open.attempts + 1, tried);
    }

    fn place_request(
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
            customer: format!("customer-{}", arrival.key).parse().expect("a valid name"),
            weight: 1.0,
            prompt: units::TokenCount(arrival.prompt),
            cached: units::TokenCount::ZERO,
            output: units::TokenCount(arrival.output),
            memory: units::TokenCount(arrival.prompt + arrival.output),
            grouped: false,
            deadline,
            patience: deadline,
        }
    }
}

fn engine_request(open: &OpenRequest, priority: u8) -> engine_model::EngineRequest {
    engine_model::EngineRequest {
        attempt: open.place.attempt.to_string(),
        prompt: open.arrival.prompt,
        output: open.arrival.output,
        memory: open.place.memory.0,
        priority,
        prefix: (open.arrival.number, 0),
    }
}
