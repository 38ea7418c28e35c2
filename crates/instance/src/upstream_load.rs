//! Load balancing over the upstreams of a plain service, which run no model.

use std::{cell, collections, time};

use rand::seq::IndexedRandom as _;
use slipturn_core::{
    connection_silence, ids, planner::modes, rendezvous, route_table, sharing, stop_schedule,
    units, upstream_health, upstream_list, upstream_speed,
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
/// Number of calls of this process of which one at most is sent to a slow upstream to measure it again. Such a call may
/// be late, and 1 in 20 keeps the cost of a slow upstream below 5 in 100 calls.
const PROBE_CALLS: u32 = 20;
/// Age of the last answer of a slow upstream from which it is measured again. Younger answers tell enough.
const PROBE_AGE: time::Duration = time::Duration::from_millis(500);
/// Age of the last good answer up to which an upstream is preferred for a second try.
const RECENT_ANSWER: time::Duration = time::Duration::from_secs(2);

#[derive(Debug, Default, Clone)]
struct LoadState {
    /// Number of this process's calls in progress at the upstream.
    calls: u32,
    /// Number of requests running and waiting at the upstream, and when it was reported.
    reported: Option<(u32, units::MonoTime)>,
    health: upstream_health::UpstreamHealth,
    /// When this process last got a good answer.
    answered: Option<units::MonoTime>,
}

impl LoadState {
    /// Number of calls at the upstream per slot, as far as known.
    fn load(&self, now: units::MonoTime, slots: usize) -> f64 {
        let reported = self.reported.filter(|(_, at)| now.since(*at) < MAX_REPORT_AGE);
        let running = reported.map_or(0, |(running, _)| running).max(self.calls);
        f64::from(running) / slots as f64
    }
}

/// An upstream that may get a call, with its cost.
#[derive(Debug, Clone, Copy)]
struct CostedUpstream<'a> {
    cost: f64,
    entry: &'a upstream_list::UpstreamEntry,
    /// Factor by which it is slower than the fastest candidate; at least 1.
    slowdown: f64,
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
    /// Times for one output token of a stream, by route.
    token_times: collections::HashMap<ids::ClassId, connection_silence::AnswerTimes>,
    /// Use of measured speeds.
    tracking: sharing::SpeedTracking,
    /// Measured speeds; empty if `tracking` is off.
    speeds: upstream_speed::UpstreamSpeeds,
    /// Number of calls since the last one that was to measure a slow upstream.
    since_probe: cell::Cell<u32>,
}

impl UpstreamLoads {
    /// Creates an empty state for the instance named `own`.
    pub fn new(mode: modes::LoadChoiceMode, own: &str) -> Self {
        Self { mode, own: own.to_owned(), ..Self::default() }
    }

    /// Sets the use of measured speeds, which is off otherwise.
    pub fn with_speeds(self, tracking: sharing::SpeedTracking) -> Self {
        Self { tracking, ..self }
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
        let slowdowns = self.slowdowns(now, candidates);
        if let Some(entry) = self.slow_probe(now, candidates, &slowdowns) {
            self.since_probe.set(0);
            return Some(entry);
        }
        self.pick_by_cost(now, candidates, &slowdowns, own_data_center, has_limit)
    }

    /// Picks the candidate with the lowest cost.
    fn pick_by_cost<'a>(
        &self,
        now: units::MonoTime,
        candidates: &[&'a upstream_list::UpstreamEntry],
        slowdowns: &[f64],
        own_data_center: &ids::DataCenterId,
        has_limit: impl Fn(&upstream_list::UpstreamEntry) -> bool,
    ) -> Option<&'a upstream_list::UpstreamEntry> {
        let cost = |(entry, slowdown): (&&'a upstream_list::UpstreamEntry, &f64)| {
            let (entry, slowdown) = (*entry, *slowdown);
            let state = self.states.get(&entry.name).cloned().unwrap_or_default();
            let load = state.load(now, entry.slots);
            // (1 + load) * slowdown - 1, written such that it is exactly the load for equal upstreams.
            let completion = load + (1.0 + load) * (slowdown - 1.0);
            let remote = if entry.data_center == *own_data_center { 0.0 } else { REMOTE_COST };
            let ejected = if state.health.is_healthy() { 0.0 } else { EJECTED_COST };
            let cost =
                completion + state.health.failure_rate(now) * FAILING_COST + remote + ejected;
            CostedUpstream { cost, entry, slowdown }
        };
        let mut costs: Vec<_> = candidates.iter().zip(slowdowns).map(cost).collect();
        if self.tracking == sharing::SpeedTracking::WeightedChoice {
            costs = draw_two(costs);
        }
        self.least(&costs, has_limit)
    }

    /// Picks the candidate with the lowest cost; the mode of this process decides among equal ones.
    fn least<'a>(
        &self,
        costs: &[CostedUpstream<'a>],
        has_limit: impl Fn(&upstream_list::UpstreamEntry) -> bool,
    ) -> Option<&'a upstream_list::UpstreamEntry> {
        let least = |costs: &[CostedUpstream<'a>]| {
            let least = costs.iter().min_by(|left, right| left.cost.total_cmp(&right.cost));
            least.copied()
        };
        let first = least(costs)?;
        let equal = costs.iter().filter(|other| other.cost <= first.cost).map(|other| other.entry);
        // Calls that a limit admits now are lost if none is sent, so an upstream with a limit comes first. Upstreams
        // without a limit take the remaining calls.
        if let Some(limited) = equal.clone().find(|entry| has_limit(entry)) {
            return Some(limited);
        }
        match self.mode {
            modes::LoadChoiceMode::First => Some(first.entry),
            // Instances with few calls in progress see equal costs for all upstreams, so a fixed order
            // would send the calls of all instances to the same one.
            modes::LoadChoiceMode::Random => {
                equal.collect::<Vec<_>>().choose(&mut rand::rng()).copied()
            }
            modes::LoadChoiceMode::OwnOrder => equal.max_by_key(|entry| self.own_rank(entry)),
            modes::LoadChoiceMode::TwoChoices => {
                let drawn: Vec<_> = costs.sample(&mut rand::rng(), 2).copied().collect();
                least(&drawn).map(|costed| costed.entry)
            }
        }
    }

    /// Picks the upstream for a second try, after one met a failing or slow upstream: like [`Self::pick`], but among the
    /// upstreams that have answered well recently if there are any. The same as [`Self::pick`] if speeds are not used.
    pub fn pick_again<'a>(
        &self,
        now: units::MonoTime,
        candidates: &[&'a upstream_list::UpstreamEntry],
        own_data_center: &ids::DataCenterId,
        repeatable: bool,
        has_limit: impl Fn(&upstream_list::UpstreamEntry) -> bool,
    ) -> Option<&'a upstream_list::UpstreamEntry> {
        if self.tracking == sharing::SpeedTracking::Off {
            return self.pick(now, candidates, own_data_center, repeatable, has_limit);
        }
        let is_good = |entry: &upstream_list::UpstreamEntry| {
            self.states.get(&entry.name).is_some_and(|state| {
                let is_recent = |at| now.since(at) < RECENT_ANSWER;
                state.health.is_healthy() && state.answered.is_some_and(is_recent)
            })
        };
        let good: Vec<_> = candidates.iter().copied().filter(|entry| is_good(entry)).collect();
        if good.is_empty() {
            return self.pick(now, candidates, own_data_center, repeatable, has_limit);
        }
        let slowdowns = self.slowdowns(now, &good);
        self.pick_by_cost(now, &good, &slowdowns, own_data_center, has_limit)
    }

    /// Returns the factors by which candidates are slower than the fastest of them; 1 if speeds are not used.
    fn slowdowns(
        &self,
        now: units::MonoTime,
        candidates: &[&upstream_list::UpstreamEntry],
    ) -> Vec<f64> {
        match self.tracking {
            sharing::SpeedTracking::Off => vec![1.0; candidates.len()],
            _ => self.speeds.slowdowns(now, candidates.iter().map(|entry| &entry.name)),
        }
    }

    /// Returns the slow upstream that a call measures again, if one is due: its choice by cost may send it none.
    fn slow_probe<'a>(
        &self,
        now: units::MonoTime,
        candidates: &[&'a upstream_list::UpstreamEntry],
        slowdowns: &[f64],
    ) -> Option<&'a upstream_list::UpstreamEntry> {
        if self.since_probe.get() < PROBE_CALLS {
            return None;
        }
        let age = |entry: &upstream_list::UpstreamEntry| {
            self.speeds.last_answer_age(now, &entry.name).unwrap_or(time::Duration::MAX)
        };
        let is_due = |entry: &upstream_list::UpstreamEntry| {
            let state = self.states.get(&entry.name).cloned().unwrap_or_default();
            let has_slot = state.load(now, entry.slots) < 1.0;
            state.calls == 0 && has_slot && state.health.is_healthy() && age(entry) >= PROBE_AGE
        };
        let slow = candidates.iter().zip(slowdowns).filter(|(_, slowdown)| **slowdown > 1.0);
        let due = slow.map(|(entry, _)| *entry).filter(|entry| is_due(entry));
        due.max_by_key(|entry| age(entry))
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
        self.since_probe.set(self.since_probe.get().saturating_add(1));
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
        if result == Some(upstream_health::CallResult::Good) {
            state.answered = Some(now);
        }
        match result {
            Some(result) => state.health.end(now, result),
            None => state.health.cancel_probe(),
        }
    }

    /// Returns whether this process has got a whole good answer of an upstream since a point in time.
    pub fn answered_since(&self, name: &ids::UpstreamId, since: units::MonoTime) -> bool {
        let answered = self.states.get(name).and_then(|state| state.answered);
        answered.is_some_and(|answered| answered >= since)
    }

    /// Records that a member, or this process, has found that an upstream is gone; returns whether that is new, as
    /// there was no recent report that the upstream is gone.
    pub fn receive_gone(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        self.states.entry(name.clone()).or_default().health.receive_gone(now)
    }

    /// Records the time from sending a call to the head of its answer, or to the first event of a stream.
    pub fn answered(&mut self, route: &ids::ClassId, span: time::Duration) {
        if self.times.len() >= MAX_TIMED_ROUTES && !self.times.contains_key(route) {
            self.times.clear();
        }
        self.times.entry(route.clone()).or_default().note(span);
    }

    /// Records the time that an upstream took for a call, from sending it to the head of the answer, if speeds are used.
    ///
    /// The time includes the wait for a slot, and members see only part of the calls at an upstream. The weighted choice
    /// takes the time as it is: without the wait, by the known load, 0.15 instead of 0.06 of the calls were late at 0.9 of
    /// the capacity of seven upstreams. The expected completion counts the load itself. With the whole wait in the samples
    /// all members left an upstream at once, and 0.19 of the calls were late; without any of it, 0.11; with the square
    /// root, 0.07.
    pub fn note_speed(
        &mut self,
        now: units::MonoTime,
        entry: &upstream_list::UpstreamEntry,
        route: &ids::ClassId,
        span: time::Duration,
    ) {
        let load = self.states.get(&entry.name).map_or(0.0, |state| state.load(now, entry.slots));
        let wait = match self.tracking {
            sharing::SpeedTracking::Off => return,
            sharing::SpeedTracking::ExpectedCompletion => load.max(1.0).sqrt(),
            sharing::SpeedTracking::WeightedChoice => 1.0,
        };
        self.speeds.note(now, &entry.name, route, span.div_f64(wait));
    }

    /// Returns whether measured speeds are used; a reload of the settings does not change that.
    pub fn uses_speeds(&self) -> bool {
        self.tracking != sharing::SpeedTracking::Off
    }

    /// Returns the measured speeds, to exchange them with other members.
    pub fn speeds_mut(&mut self) -> &mut upstream_speed::UpstreamSpeeds {
        &mut self.speeds
    }

    /// Returns the measured speeds; empty if speeds are not used.
    pub fn speeds(&self) -> &upstream_speed::UpstreamSpeeds {
        &self.speeds
    }

    /// Records the time from the first event of a stream to its end, which has `tokens` output tokens.
    pub fn note_stream(&mut self, route: &ids::ClassId, span: time::Duration, tokens: u64) {
        if self.token_times.len() >= MAX_TIMED_ROUTES && !self.token_times.contains_key(route) {
            self.token_times.clear();
        }
        let token_time = span.div_f64(tokens.max(1) as f64);
        self.token_times.entry(route.clone()).or_default().note(token_time);
    }

    /// Returns how long requests of a route with `tokens` output tokens usually take: plain ones until their answer,
    /// streams until their last token.
    pub fn expected_time(
        &self,
        route: &route_table::RoutePolicy,
        tokens: u64,
    ) -> stop_schedule::ExpectedTime {
        let times = |by_route: &collections::HashMap<_, connection_silence::AnswerTimes>| {
            by_route.get(&route.name).and_then(connection_silence::AnswerTimes::estimate)
        };
        let estimate = match (times(&self.times), times(&self.token_times)) {
            (first, _) if !route.streaming => first,
            (Some(first), Some(token)) => Some(first.followed_by(tokens, token)),
            _ => None,
        };
        estimate.map_or(stop_schedule::ExpectedTime::Unknown, stop_schedule::ExpectedTime::Usual)
    }

    /// Returns the time within which answers of a route usually arrive, or streams begin; zero while too few times are known.
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
        self.speeds.retain(known);
    }
}

/// Draws two of the upstreams, or all if there are fewer, with probabilities proportional to their capacity (slots times
/// speed). Ejected ones are drawn only if all are ejected.
fn draw_two(mut costs: Vec<CostedUpstream<'_>>) -> Vec<CostedUpstream<'_>> {
    if costs.iter().any(|costed| costed.cost < EJECTED_COST) {
        costs.retain(|costed| costed.cost < EJECTED_COST);
    }
    let capacity = |costed: &CostedUpstream<'_>| costed.entry.slots as f64 / costed.slowdown;
    let drawn = costs.sample_weighted(&mut rand::rng(), 2, capacity);
    // The draw fails if fewer than two have slots.
    drawn.map(|drawn| drawn.copied().collect()).unwrap_or(costs)
}
