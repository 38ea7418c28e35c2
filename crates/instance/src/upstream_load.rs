//! Load balancing over the upstreams of a plain service, which run no model.

use std::{collections, time};

use rand::seq::IndexedRandom as _;
use slipturn_core::{
    connection_silence, ids, planner::modes, rendezvous, route_table, units, upstream_health,
    upstream_list,
};

/// Age up to which an upstream's report of its load is used.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(500);
/// Maximum number of routes with answer times; beyond it all times are discarded.
const MAX_TIMED_ROUTES: usize = 512;

/// Cost of an upstream that failed all recent calls. Costs are added to its load, which is a
/// fraction of its slots.
const FAILING_COST: f64 = 3.0;
/// Cost of an upstream in another data centre.
const REMOTE_COST: f64 = 0.05;
/// Cost of an ejected upstream, which is so high that it is picked only if all are ejected.
const EJECTED_COST: f64 = 100.0;

#[derive(Debug, Default, Clone)]
struct LoadState {
    /// Number of this process's calls in progress at the upstream.
    calls: u32,
    /// Number of requests running and waiting at the upstream, and when it was reported.
    reported: Option<(u32, units::MonoTime)>,
    health: upstream_health::UpstreamHealth,
}

/// Load, health and answer times of upstreams as known to this process.
#[derive(Debug, Default)]
pub struct UpstreamLoads {
    /// Rule that chooses among upstreams by their costs; other rules than the default serve for comparisons.
    mode: modes::LoadChoiceMode,
    /// Name of this instance, which determines its own order of upstreams with equal costs.
    own: String,
    /// Load and health by upstream.
    states: collections::HashMap<ids::UpstreamId, LoadState>,
    /// Answer times by route.
    times: collections::HashMap<ids::ClassId, connection_silence::AnswerTimes>,
}

impl UpstreamLoads {
    /// Creates an empty state for the instance named `own`.
    pub fn new(mode: modes::LoadChoiceMode, own: &str) -> Self {
        Self { mode, own: own.to_owned(), ..Self::default() }
    }

    /// Picks the upstream for a call: a failed one whose probe is due, else the candidate with the
    /// lowest cost. `repeatable` calls probe first. Ejected upstreams are picked only if there is no other.
    /// Among those of equal cost, one with a limit, for which `has_limit` returns true, is preferred.
    pub fn pick<'a>(
        &self,
        now: units::MonoTime,
        candidates: &[&'a upstream_list::UpstreamEntry],
        own_data_center: &ids::DataCenterId,
        repeatable: bool,
        has_limit: impl Fn(&upstream_list::UpstreamEntry) -> bool,
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
            let reported = state.reported.filter(|(_, at)| now.since(*at) < MAX_REPORT_AGE);
            let running = reported.map_or(0, |(running, _)| running).max(state.calls);
            let load = f64::from(running) / entry.slots as f64;
            let remote = if entry.data_center == *own_data_center { 0.0 } else { REMOTE_COST };
            let ejected = if state.health.is_healthy() { 0.0 } else { EJECTED_COST };
            load + state.health.failure_rate(now) * FAILING_COST + remote + ejected
        };
        let costs: Vec<_> = candidates.iter().map(|entry| (cost(entry), *entry)).collect();
        let least = |costs: &[(f64, &'a upstream_list::UpstreamEntry)]| {
            let least = costs.iter().min_by(|left, right| left.0.total_cmp(&right.0));
            least.copied()
        };
        let (lowest, first) = least(&costs)?;
        let equal = costs.iter().filter(|(cost, _)| *cost <= lowest).map(|(_, entry)| *entry);
        // Calls that a limit admits now are lost if none is sent, so an upstream with a limit comes first. Upstreams
        // without a limit take the remaining calls.
        if let Some(limited) = equal.clone().find(|entry| has_limit(entry)) {
            return Some(limited);
        }
        match self.mode {
            modes::LoadChoiceMode::First => Some(first),
            // Instances with few calls in progress see equal costs for all upstreams, so a fixed order
            // would send the calls of all instances to the same one.
            modes::LoadChoiceMode::Random => {
                equal.collect::<Vec<_>>().choose(&mut rand::rng()).copied()
            }
            modes::LoadChoiceMode::OwnOrder => equal.max_by_key(|entry| self.own_rank(entry)),
            modes::LoadChoiceMode::TwoChoices => {
                let drawn: Vec<_> = costs.sample(&mut rand::rng(), 2).copied().collect();
                least(&drawn).map(|(_, entry)| entry)
            }
        }
    }

    /// Returns the rank of an upstream in this instance's own order.
    fn own_rank(&self, entry: &upstream_list::UpstreamEntry) -> u64 {
        rendezvous::stable_hash(&[&self.own, entry.name.identifier()])
    }

    /// Records the start of a call; [`Self::end`] must follow, also for a call that fails.
    pub fn begin(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        let state = self.states.entry(name.clone()).or_default();
        state.calls += 1;
        state.health.begin(now);
    }

    /// Records the end of a call, with its result for the upstream if known.
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

    /// Records that a member, or this process, has found that an upstream is gone; returns whether that is new, as
    /// there was no recent report that the upstream is gone.
    pub fn receive_gone(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        self.states.entry(name.clone()).or_default().health.receive_gone(now)
    }

    /// Records the time from sending a call to the head of its answer.
    pub fn answered(&mut self, route: &ids::ClassId, span: time::Duration) {
        if self.times.len() >= MAX_TIMED_ROUTES && !self.times.contains_key(route) {
            self.times.clear();
        }
        self.times.entry(route.clone()).or_default().note(span);
    }

    /// Returns the time within which answers of a route usually arrive; zero while too few times are known.
    pub fn usual_time(&self, route: &route_table::RoutePolicy) -> time::Duration {
        self.times.get(&route.name).copied().unwrap_or_default().usual_time()
    }

    /// Returns how long to wait for the head of an answer on a reused connection before the call is sent
    /// again; at most `longest`.
    pub fn reused_wait(
        &self,
        route: &route_table::RoutePolicy,
        longest: time::Duration,
    ) -> time::Duration {
        let times = self.times.get(&route.name).copied().unwrap_or_default();
        times.reused_connection_wait(route.first_token_goal, longest)
    }

    /// Records the number of running and waiting requests that an upstream has reported.
    pub fn set_reported_load(
        &mut self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        running: u32,
    ) {
        self.states.entry(name.clone()).or_default().reported = Some((running, now));
    }

    /// Removes upstreams that are not `known`, except those with calls in progress.
    pub fn retain(&mut self, known: impl Fn(&ids::UpstreamId) -> bool) {
        self.states.retain(|name, state| state.calls > 0 || known(name));
    }
}
