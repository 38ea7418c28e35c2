//! Which upstream of a plain service takes the next call.

use std::{collections, time};

use rand::seq::IndexedRandom as _;
use slipturn_core::{
    connection_silence, ids, planner::ways, rendezvous, route_table, units, upstream_health,
    upstream_list,
};

/// How long an upstream's report of its load counts.
const LOAD_TIME: time::Duration = time::Duration::from_millis(500);
/// Routes whose answers are timed; beyond these all are learnt anew.
const MAX_TIMED: usize = 512;

/// Cost of an upstream, in shares of its slots: that it failed all calls lately, that
/// it is in another data centre, that it is left alone.
const FAILING_COST: f64 = 3.0;
/// See [`FAILING_COST`].
const AWAY_COST: f64 = 0.05;
/// See [`FAILING_COST`].
const EJECTED_COST: f64 = 100.0;

#[derive(Debug, Default, Clone)]
struct LoadState {
    /// Calls of this process in progress.
    calls: u32,
    /// Requests running and waiting there, and when it said so.
    told: Option<(u32, units::MonoTime)>,
    health: upstream_health::UpstreamHealth,
}

/// What this process knows of upstreams' load.
#[derive(Debug, Default)]
pub struct UpstreamLoads {
    way: ways::LoadChoiceWay,
    /// Name of this instance.
    own: String,
    states: collections::HashMap<ids::UpstreamId, LoadState>,
    /// How long answers take, by route.
    times: collections::HashMap<ids::ClassId, connection_silence::AnswerTimes>,
}

impl UpstreamLoads {
    /// Nothing known yet, for the instance of this name.
    pub fn new(way: ways::LoadChoiceWay, own: &str) -> Self {
        Self { way, own: own.to_owned(), ..Self::default() }
    }

    /// The least loaded of the candidates, but for one that failed and is to be asked again; those
    /// left alone only where there is no other. Of equal ones one that `is_paced`: its limit lets a request through
    /// now.
    pub fn pick<'a>(
        &self,
        now: units::MonoTime,
        candidates: &[&'a upstream_list::UpstreamEntry],
        own: &ids::DataCenterId,
        repeatable: bool,
        is_paced: impl Fn(&upstream_list::UpstreamEntry) -> bool,
    ) -> Option<&'a upstream_list::UpstreamEntry> {
        let to_probe = |entry: &&&upstream_list::UpstreamEntry| {
            let state = self.states.get(&entry.name);
            state.is_some_and(|state| state.health.needs_probe(now, repeatable))
        };
        if let Some(entry) = candidates.iter().find(to_probe) {
            return Some(entry);
        }
        let cost = |entry: &upstream_list::UpstreamEntry| {
            let state = self.states.get(&entry.name).cloned().unwrap_or_default();
            let told = state.told.filter(|(_, at)| now.since(*at) < LOAD_TIME);
            let running = told.map_or(0, |(running, _)| running).max(state.calls);
            let load = f64::from(running) / entry.slots as f64;
            let away = if entry.data_center == *own { 0.0 } else { AWAY_COST };
            let ejected = if state.health.is_healthy() { 0.0 } else { EJECTED_COST };
            load + state.health.failure_rate(now) * FAILING_COST + away + ejected
        };
        let costs: Vec<_> = candidates.iter().map(|entry| (cost(entry), *entry)).collect();
        let least = |costs: &[(f64, &'a upstream_list::UpstreamEntry)]| {
            let least = costs.iter().min_by(|left, right| left.0.total_cmp(&right.0));
            least.copied()
        };
        let (lowest, first) = least(&costs)?;
        let equal = costs.iter().filter(|(cost, _)| *cost <= lowest).map(|(_, entry)| *entry);
        // What a limit lets through is lost if it is not requested in time; the others take the rest.
        if let Some(paced) = equal.clone().find(|entry| is_paced(entry)) {
            return Some(paced);
        }
        match self.way {
            ways::LoadChoiceWay::First => Some(first),
            // Instances whose own calls are few find all upstreams alike: none of these may be the first for all.
            ways::LoadChoiceWay::Random => {
                equal.collect::<Vec<_>>().choose(&mut rand::rng()).copied()
            }
            ways::LoadChoiceWay::OwnOrder => equal.max_by_key(|entry| self.place(entry)),
            ways::LoadChoiceWay::TwoChoices => {
                let drawn: Vec<_> = costs.sample(&mut rand::rng(), 2).copied().collect();
                least(&drawn).map(|(_, entry)| entry)
            }
        }
    }

    /// Place of an upstream in this instance's own order.
    fn place(&self, entry: &upstream_list::UpstreamEntry) -> u64 {
        rendezvous::stable_hash(&[&self.own, entry.name.identifier()])
    }

    /// A call begins.
    pub fn begin(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        let state = self.states.entry(name.clone()).or_default();
        state.calls += 1;
        state.health.begin(now);
    }

    /// A call ends; with what that says of its upstream, where it is known.
    pub fn end(
        &mut self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        result: Option<upstream_health::CallResult>,
    ) {
        let state = self.states.entry(name.clone()).or_default();
        state.calls = state.calls.saturating_sub(1);
        match result {
            Some(result) => state.health.end(now, result),
            None => state.health.cancel_probe(),
        }
    }

    /// Records that another member was informed that an upstream is gone; returns whether that is news.
    pub fn receive_gone(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        self.states.entry(name.clone()).or_default().health.receive_gone(now)
    }

    /// Takes in how long an answer took.
    pub fn answered(&mut self, route: &ids::ClassId, span: time::Duration) {
        if self.times.len() >= MAX_TIMED && !self.times.contains_key(route) {
            self.times.clear();
        }
        self.times.entry(route.clone()).or_default().note(span);
    }

    /// How long answers of a route take at most, usually.
    pub fn usual(&self, route: &route_table::RoutePolicy) -> time::Duration {
        self.times.get(&route.name).copied().unwrap_or_default().usual()
    }

    /// How long an answer is awaited on a connection that has rested.
    pub fn kept_wait(
        &self,
        route: &route_table::RoutePolicy,
        longest: time::Duration,
    ) -> time::Duration {
        let times = self.times.get(&route.name).copied().unwrap_or_default();
        times.kept_wait(route.first_token_goal, longest)
    }

    /// Takes in what an upstream says of its load.
    pub fn describe(&mut self, now: units::MonoTime, name: &ids::UpstreamId, running: u32) {
        self.states.entry(name.clone()).or_default().told = Some((running, now));
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, known: impl Fn(&ids::UpstreamId) -> bool) {
        self.states.retain(|name, state| state.calls > 0 || known(name));
    }
}
