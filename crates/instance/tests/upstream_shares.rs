//! Simulation of many instances that call equal upstreams of a plain service. Instances with few
//! calls in progress see all upstreams as idle, and must not send their calls to the same one.
//!
//! Each upstream has some slots and a queue. Instances know their own calls and, if upstreams report
//! it, the upstream's load at its last answer.

use std::collections;

use rand::{RngExt as _, SeedableRng as _};
use slipturn_core::{
    fleet_list::ListState, planner::modes::LoadChoiceMode, units, upstream_health::CallResult,
    upstream_list::UpstreamEntry,
};
use slipturn_instance::upstream_load::UpstreamLoads;

const UPSTREAMS: usize = 6;
/// Number of calls that an upstream processes at once.
const SLOTS: usize = 6;
/// Time that a call takes, in milliseconds.
const WORK_MS: u64 = 60;
/// Time after which an answer is late, in milliseconds.
const GOAL_MS: u64 = 300;
/// Length of a simulation in virtual time, in milliseconds.
const SIMULATION_MS: u64 = 4_000;
/// Maximum share of the busiest upstream, relative to the mean, that counts as equal.
const EQUAL: f64 = 1.3;
/// Calls per second that all upstreams together can process.
const CAPACITY: f64 = (UPSTREAMS * SLOTS) as f64 * 1_000.0 / WORK_MS as f64;

#[derive(Debug, Clone, Copy)]
struct SharePlan {
    instances: usize,
    /// Rate of calls, as a fraction of the capacity.
    load: f64,
    /// Whether answers report the load of their upstream.
    reports_load: bool,
    /// Factor by which the first upstream is slower.
    slowdown: u64,
}

#[derive(Debug)]
struct ShareFigures {
    /// Number of calls to the busiest upstream, relative to the mean.
    busiest: f64,
    /// Fraction of the calls that were late.
    late: f64,
}

struct SimulatedUpstream {
    /// Time at which each slot becomes free, in milliseconds.
    free_at: [u64; SLOTS],
    /// Time that a call takes, in milliseconds.
    work_ms: u64,
    calls: usize,
    /// Number of calls that have not ended.
    running: u32,
}

impl SimulatedUpstream {
    /// Accepts a call and returns the time of its answer.
    fn take(&mut self, now: u64) -> u64 {
        let slot = self.free_at.iter_mut().min().expect("an upstream has slots");
        *slot = (*slot).max(now) + self.work_ms;
        self.calls += 1;
        self.running += 1;
        *slot
    }
}

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(std::time::Duration::from_millis(millis))
}

fn entry(number: usize) -> UpstreamEntry {
    UpstreamEntry {
        name: format!("u{number}@7").parse().expect("a valid name"),
        service: "s".parse().expect("a valid name"),
        data_center: "dc".parse().expect("a valid name"),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        slots: SLOTS,
        state: ListState::Live,
        cold: std::time::Duration::ZERO,
    }
}

fn simulate(mode: LoadChoiceMode, plan: SharePlan, seed: u64) -> ShareFigures {
    let entries: Vec<_> = (0..UPSTREAMS).map(entry).collect();
    let usable: Vec<_> = entries.iter().collect();
    let own = "dc".parse().expect("a valid name");
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let loads = |number: usize| UpstreamLoads::new(mode, &format!("i{number}"));
    let mut loads: Vec<_> = (0..plan.instances).map(loads).collect();
    let work = |number: usize| if number == 0 { WORK_MS * plan.slowdown } else { WORK_MS };
    let new = |number| SimulatedUpstream {
        free_at: [0; SLOTS],
        work_ms: work(number),
        calls: 0,
        running: 0,
    };
    let mut upstreams: Vec<_> = (0..UPSTREAMS).map(new).collect();
    let mut ends = collections::BTreeMap::<u64, Vec<(usize, usize)>>::new();
    let (mut calls, mut late) = (0_u32, 0_u32);
    for now in 0..SIMULATION_MS {
        for (instance, upstream) in ends.remove(&now).unwrap_or_default() {
            upstreams[upstream].running -= 1;
            let name = &entries[upstream].name;
            loads[instance].end(at(now), name, Some(CallResult::Good));
            if plan.reports_load {
                loads[instance].set_reported_load(at(now), name, upstreams[upstream].running);
            }
        }
        let due = CAPACITY * plan.load / 1_000.0 + random.random::<f64>();
        for _ in 0..due as usize {
            let instance = random.random_range(0..plan.instances);
            let picked = loads[instance].pick(at(now), &usable, &own, false, |_| false);
            let picked = picked.expect("there are candidates");
            let upstream = entries.iter().position(|entry| entry.name == picked.name);
            let upstream = upstream.expect("it is a candidate");
            loads[instance].begin(at(now), &picked.name);
            let end = upstreams[upstream].take(now);
            ends.entry(end).or_default().push((instance, upstream));
            calls += 1;
            late += u32::from(end > now + GOAL_MS);
        }
    }
    let busiest = upstreams.iter().map(|upstream| upstream.calls).max().unwrap_or(0);
    ShareFigures {
        busiest: busiest as f64 * UPSTREAMS as f64 / f64::from(calls),
        late: f64::from(late) / f64::from(calls),
    }
}

/// Returns the mean figures over three seeds.
fn mean(mode: LoadChoiceMode, plan: SharePlan) -> ShareFigures {
    const SEEDS: u64 = 3;
    let runs: Vec<_> = (0..SEEDS).map(|seed| simulate(mode, plan, seed)).collect();
    let mean =
        |figure: fn(&ShareFigures) -> f64| runs.iter().map(figure).sum::<f64>() / SEEDS as f64;
    ShareFigures { busiest: mean(|run| run.busiest), late: mean(|run| run.late) }
}

const MODES: [LoadChoiceMode; 4] = [
    LoadChoiceMode::First,
    LoadChoiceMode::Random,
    LoadChoiceMode::TwoChoices,
    LoadChoiceMode::OwnOrder,
];

/// Guards against one upstream receiving most calls: each instance has few calls in progress, so its
/// own calls hardly distinguish the upstreams.
#[test]
fn equal_upstreams_get_equal_shares_at_all_sizes() {
    for instances in [6, 60, 300] {
        for reports_load in [false, true] {
            let plan = SharePlan { instances, load: 0.3, reports_load, slowdown: 1 };
            for mode in MODES {
                let figures = mean(mode, plan);
                println!(
                    "{mode:?}, {instances} instances, load reported {reports_load}: {figures:?}"
                );
                if mode == LoadChoiceMode::default() {
                    assert!(figures.busiest <= EQUAL, "{instances}, {reports_load}: {figures:?}");
                }
            }
        }
    }
}

/// Guards against a default [`LoadChoiceMode`] that causes more late answers than `First`, at a
/// high load or with a slow upstream.
#[test]
fn the_default_load_choice_has_few_late_answers() {
    for (load, slowdown) in [(0.7, 1), (0.9, 1), (0.7, 3), (0.5, 8)] {
        for (instances, reports_load) in [(6, true), (60, true), (300, true), (60, false)] {
            let plan = SharePlan { instances, load, reports_load, slowdown };
            let late = |mode| mean(mode, plan).late;
            let all: Vec<_> = MODES.iter().map(|mode| late(*mode)).collect();
            println!(
                "load {load}, slowdown {slowdown}, {instances} instances, load reported {reports_load}: late {all:.3?}"
            );
            let default_late = late(LoadChoiceMode::default());
            assert!(default_late <= late(LoadChoiceMode::First) + 0.01, "{plan:?}");
        }
    }
}
