//! Calls of many instances to equal upstreams of a plain service: what each gets, and how many come late.
//!
//! Played in virtual time: upstreams with a few places and a queue, instances that know their own calls and, where
//! upstreams tell it, what these had to do as they answered.

use std::collections;

use rand::{RngExt as _, SeedableRng as _};
use slipturn_core::{
    fleet_list::ListState, planner::ways::LoadChoiceWay, units, upstream_health::CallResult,
    upstream_list::UpstreamEntry,
};
use slipturn_instance::upstream_load::UpstreamLoads;

const UPSTREAMS: usize = 6;
/// Calls that an upstream works on at once.
const SLOTS: usize = 6;
/// Time that a call takes, milliseconds.
const WORK_MS: u64 = 60;
/// Time within which an answer is in time, milliseconds.
const GOAL_MS: u64 = 300;
/// Virtual time of a play, milliseconds.
const PLAY_MS: u64 = 4_000;
/// The least shares that count as equal: the busiest against the mean.
const EQUAL: f64 = 1.3;
/// Calls a second that all upstreams together could work on.
const CAPACITY: f64 = (UPSTREAMS * SLOTS) as f64 * 1_000.0 / WORK_MS as f64;

#[derive(Debug, Clone, Copy)]
struct SharePlan {
    instances: usize,
    /// Calls in shares of what the upstreams can do.
    load: f64,
    /// Whether answers tell what their upstream has to do.
    tells: bool,
    /// How many times slower the first one is.
    slow: u64,
}

/// What a play showed.
#[derive(Debug)]
struct ShareFigures {
    /// Calls to the busiest, against the mean.
    busiest: f64,
    /// Part of the calls that were late.
    late: f64,
}

/// An upstream: when each of its places is free.
struct PlayedUpstream {
    places: [u64; SLOTS],
    work_ms: u64,
    calls: usize,
    /// Calls that have not ended.
    running: u32,
}

impl PlayedUpstream {
    /// Takes a call; when its answer comes.
    fn take(&mut self, now: u64) -> u64 {
        let place = self.places.iter_mut().min().expect("it has places");
        *place = (*place).max(now) + self.work_ms;
        self.calls += 1;
        self.running += 1;
        *place
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

fn play(way: LoadChoiceWay, plan: SharePlan, seed: u64) -> ShareFigures {
    let entries: Vec<_> = (0..UPSTREAMS).map(entry).collect();
    let usable: Vec<_> = entries.iter().collect();
    let own = "dc".parse().expect("a valid name");
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let loads = |number: usize| UpstreamLoads::new(way, &format!("i{number}"));
    let mut loads: Vec<_> = (0..plan.instances).map(loads).collect();
    let work = |number: usize| if number == 0 { WORK_MS * plan.slow } else { WORK_MS };
    let new =
        |number| PlayedUpstream { places: [0; SLOTS], work_ms: work(number), calls: 0, running: 0 };
    let mut upstreams: Vec<_> = (0..UPSTREAMS).map(new).collect();
    let mut ends = collections::BTreeMap::<u64, Vec<(usize, usize)>>::new();
    let (mut calls, mut late) = (0_u32, 0_u32);
    for now in 0..PLAY_MS {
        for (instance, upstream) in ends.remove(&now).unwrap_or_default() {
            upstreams[upstream].running -= 1;
            let name = &entries[upstream].name;
            loads[instance].end(at(now), name, Some(CallResult::Good));
            if plan.tells {
                loads[instance].set_reported_load(at(now), name, upstreams[upstream].running);
            }
        }
        let due = CAPACITY * plan.load / 1_000.0 + random.random::<f64>();
        for _ in 0..due as usize {
            let instance = random.random_range(0..plan.instances);
            let picked = loads[instance].pick(at(now), &usable, &own, false, |_| false);
            let picked = picked.expect("there are some");
            let upstream = entries.iter().position(|entry| entry.name == picked.name);
            let upstream = upstream.expect("it is one");
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

/// Mean of some seeds.
fn mean(way: LoadChoiceWay, plan: SharePlan) -> ShareFigures {
    const SEEDS: u64 = 3;
    let plays: Vec<_> = (0..SEEDS).map(|seed| play(way, plan, seed)).collect();
    let mean =
        |figure: fn(&ShareFigures) -> f64| plays.iter().map(figure).sum::<f64>() / SEEDS as f64;
    ShareFigures { busiest: mean(|play| play.busiest), late: mean(|play| play.late) }
}

const WAYS: [LoadChoiceWay; 4] = [
    LoadChoiceWay::First,
    LoadChoiceWay::Random,
    LoadChoiceWay::TwoChoices,
    LoadChoiceWay::OwnOrder,
];

/// Each instance has less than one call under way: by its own calls all upstreams are alike to it.
#[test]
fn equal_upstreams_get_equal_shares_at_all_sizes() {
    for instances in [6, 60, 300] {
        for tells in [false, true] {
            let plan = SharePlan { instances, load: 0.3, tells, slow: 1 };
            for way in WAYS {
                let figures = mean(way, plan);
                println!("{way:?}, {instances} instances, tells {tells}: {figures:?}");
                if way == LoadChoiceWay::default() {
                    assert!(figures.busiest <= EQUAL, "{instances}, {tells}: {figures:?}");
                }
            }
        }
    }
}

/// What decides: answers that come late, at a high load and beside a slow upstream.
#[test]
fn the_way_kept_has_few_late_answers() {
    for (load, slow) in [(0.7, 1), (0.9, 1), (0.7, 3), (0.5, 8)] {
        for (instances, tells) in [(6, true), (60, true), (300, true), (60, false)] {
            let plan = SharePlan { instances, load, tells, slow };
            let late = |way| mean(way, plan).late;
            let all: Vec<_> = WAYS.iter().map(|way| late(*way)).collect();
            println!(
                "load {load}, slow {slow}, {instances} instances, tells {tells}: late {all:.3?}"
            );
            let kept = late(LoadChoiceWay::default());
            assert!(kept <= late(LoadChoiceWay::First) + 0.01, "{plan:?}");
        }
    }
}
