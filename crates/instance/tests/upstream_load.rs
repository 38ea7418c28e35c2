//! Simulation of a plain service with an upstream that fails quickly. A quick failure must not make
//! the upstream look lightly loaded, which would attract more calls to it.
//!
//! The instances have separate views of the upstreams, and messages between them are delayed. Some
//! calls must not be repeated and are lost if they fail.

use std::{collections, time};

use rand::{RngExt as _, SeedableRng as _};
use slipturn_core::{
    fleet_list::ListState,
    ids, units,
    upstream_health::CallResult::{self, Erred, Failed, Full, Gone, Good},
    upstream_list::UpstreamEntry,
};
use slipturn_instance::upstream_load::UpstreamLoads;

const UPSTREAMS: u8 = 3;
/// Time that a healthy upstream takes for a call, in milliseconds.
const WORK_MS: u64 = 60;
/// Time until a failing call fails, in milliseconds.
const FAULT_MS: u64 = 4;
/// Delay of a message between members, in milliseconds.
const MESSAGE_MS: u64 = 3;

#[derive(Clone, Copy)]
struct LoadPlan {
    instances: usize,
    calls_per_s: f64,
    /// Fraction of calls that may be repeated.
    repeatable: f64,
    /// How the first upstream fails.
    fault: CallResult,
    /// Fraction of the first upstream's calls that fail.
    failing_fraction: f64,
    /// Fraction of the repeatable calls that fail on any upstream.
    failing_call_fraction: f64,
    /// Start of the period in which the first upstream fails, in milliseconds.
    from_ms: u64,
    /// End of the period in which the first upstream fails, in milliseconds.
    until_ms: u64,
    /// Length of the simulation, in milliseconds.
    length_ms: u64,
}

/// Numbers of calls in a simulation.
#[derive(Debug, Default)]
struct LoadOutcome {
    calls: u32,
    /// Calls that failed because of the first upstream's fault.
    lost: u32,
    /// Lost calls that must not be repeated.
    lost_once: u32,
    /// Calls to the first upstream while it failed.
    failing_calls: u32,
    /// Calls to the first upstream in the last second.
    last: u32,
    /// Calls to all upstreams in the last second.
    last_all: u32,
}

/// A scheduled event, with the indexes of the instance at which it occurs and of the upstream.
enum Due {
    /// The end of a call.
    End(usize, usize, CallResult),
    /// A message that the upstream is gone.
    GoneMessage(usize, usize),
}

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

fn upstreams() -> Vec<UpstreamEntry> {
    let entry = |number: u8| UpstreamEntry {
        name: format!("u{number}@7").parse().expect("a valid name"),
        service: "s".parse().expect("a valid name"),
        data_center: format!("dc{number}").parse().expect("a valid name"),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        slots: 6,
        state: ListState::Live,
        cold: time::Duration::ZERO,
    };
    (1..=UPSTREAMS).map(entry).collect()
}

fn simulate(plan: LoadPlan, seed: u64) -> LoadOutcome {
    let entries = upstreams();
    let usable: Vec<_> = entries.iter().collect();
    let names: Vec<ids::UpstreamId> = entries.iter().map(|entry| entry.name.clone()).collect();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut loads: Vec<_> = (0..plan.instances).map(|_| UpstreamLoads::default()).collect();
    let mut due: collections::BTreeMap<(u64, u32), Due> = collections::BTreeMap::new();
    let mut outcome = LoadOutcome::default();
    let mut number = 0;
    for now in 0..plan.length_ms {
        while let Some(entry) = due.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Due::End(instance, upstream, result) => {
                    let is_new =
                        result == Gone && loads[instance].receive_gone(at(now), &names[upstream]);
                    loads[instance].end(at(now), &names[upstream], Some(result));
                    for other in (0..plan.instances).filter(|other| is_new && *other != instance) {
                        number += 1;
                        due.insert((now + MESSAGE_MS, number), Due::GoneMessage(other, upstream));
                    }
                }
                Due::GoneMessage(instance, upstream) => {
                    loads[instance].receive_gone(at(now), &names[upstream]);
                }
            }
        }
        if !rng.random_bool(plan.calls_per_s / 1_000.0) {
            continue;
        }
        let instance = rng.random_range(0..plan.instances);
        let own = entries[instance % entries.len()].data_center.clone();
        let repeatable = rng.random_bool(plan.repeatable);
        let fails_anywhere = repeatable && rng.random_bool(plan.failing_call_fraction);
        let picked = loads[instance]
            .pick(at(now), &usable, &own, repeatable, |_| false)
            .expect("there are candidates");
        let upstream =
            names.iter().position(|name| *name == picked.name).expect("it is a candidate");
        let failing = upstream == 0 && (plan.from_ms..plan.until_ms).contains(&now);
        let fails = failing && rng.random_bool(plan.failing_fraction);
        outcome.calls += 1;
        outcome.lost += u32::from(fails);
        outcome.lost_once += u32::from(fails && !repeatable);
        outcome.failing_calls += u32::from(failing);
        if now + 1_000 >= plan.length_ms {
            outcome.last_all += 1;
            outcome.last += u32::from(upstream == 0);
        }
        loads[instance].begin(at(now), &names[upstream]);
        let (result, took) = match (fails, fails_anywhere) {
            (true, _) => (plan.fault, FAULT_MS),
            (false, true) => (Erred, WORK_MS),
            (false, false) => (Good, WORK_MS),
        };
        number += 1;
        due.insert((now + took, number), Due::End(instance, upstream, result));
    }
    outcome
}

const SIX_INSTANCES: LoadPlan = LoadPlan {
    instances: 6,
    calls_per_s: 40.0,
    repeatable: 0.5,
    fault: Gone,
    failing_fraction: 1.0,
    failing_call_fraction: 0.0,
    from_ms: 500,
    until_ms: 10_000,
    length_ms: 10_000,
};

/// Returns the mean over ten seeds of the calls to the failing upstream, and of the calls lost there
/// that must not be repeated. Repeatable calls don't count as lost, as an instance repeats them on
/// another upstream.
fn mean(plan: LoadPlan) -> (f64, f64) {
    const SEEDS: u64 = 10;
    let outcomes: Vec<_> = (1..=SEEDS).map(|seed| simulate(plan, seed)).collect();
    let mean_of = |count: fn(&LoadOutcome) -> u32| {
        outcomes.iter().map(|outcome| f64::from(count(outcome))).sum::<f64>() / SEEDS as f64
    };
    (mean_of(|outcome| outcome.failing_calls), mean_of(|outcome| outcome.lost_once))
}

/// Of some 380 calls in the failure period, 196 went to the upstream when a quick refusal counted as
/// an answer, and 26 when each failure counted as three calls in progress for two seconds. With the
/// current rule 17 go there without messages between members, and 5 with them.
#[test]
fn an_upstream_that_is_gone_gets_few_calls() {
    let (calls, lost) = mean(SIX_INSTANCES);
    println!("gone: {calls:.1} calls, lost {lost:.1}");
    assert!(calls <= 8.0, "{calls} calls in 9.5 s by six instances");
    assert!(lost <= 2.0, "{lost} calls that may not be repeated were lost");
    let (calls, _) = mean(LoadPlan { instances: 60, ..SIX_INSTANCES });
    println!("gone, 60 instances: {calls:.1} calls");
    assert!(calls <= 8.0, "{calls} calls in 9.5 s by sixty instances");
}

/// Each case bounds the calls to the failing upstream, of some 380, and the calls lost there that
/// must not be repeated. When probes were not left to repeatable calls, 6.9 calls were lost to an
/// upstream that always fails instead of 3.4, and at 90 calls a second 10.7 instead of 3.5.
#[test]
fn an_upstream_that_fails_quickly_attracts_no_calls() {
    let cases = [
        (Failed, 1.0, 40.0, 5.0),
        (Full, 1.0, 70.0, 5.0),
        (Erred, 1.0, 20.0, 10.0),
        (Failed, 0.45, 50.0, 8.0),
        (Full, 0.45, 55.0, 9.0),
        (Erred, 0.45, 35.0, 9.0),
    ];
    for (fault, failing_fraction, max_calls, max_lost) in cases {
        let (calls, lost) = mean(LoadPlan { fault, failing_fraction, ..SIX_INSTANCES });
        println!("{fault:?} {failing_fraction}: {calls:.1} calls, lost {lost:.1}");
        assert!(
            calls <= max_calls,
            "{fault:?} in {failing_fraction} of its calls: received {calls}"
        );
        assert!(lost <= max_lost, "{fault:?} in {failing_fraction} of its calls: lost {lost}");
    }
}

#[test]
fn a_recovered_upstream_regains_its_share_within_seconds() {
    for (fault, repeatable) in
        [(Failed, 0.5), (Erred, 0.5), (Full, 0.5), (Gone, 0.5), (Failed, 0.0), (Gone, 0.0)]
    {
        let plan =
            LoadPlan { fault, repeatable, until_ms: 5_000, length_ms: 12_000, ..SIX_INSTANCES };
        let outcomes: Vec<_> = (1..=10).map(|seed| simulate(plan, seed)).collect();
        let last: u32 = outcomes.iter().map(|outcome| outcome.last).sum();
        let all: u32 = outcomes.iter().map(|outcome| outcome.last_all).sum();
        assert!(last * 5 >= all, "{fault:?}: {last} of {all}, 7 s after it recovered");
    }
}

/// Calls that fail on any upstream must not count against a single upstream: all upstreams continue
/// to share the load, and an upstream that also fails by itself is still detected.
#[test]
fn calls_that_fail_on_any_upstream_do_not_shift_the_load() {
    let plan = LoadPlan {
        fault: Erred,
        failing_fraction: 0.45,
        failing_call_fraction: 0.3,
        ..SIX_INSTANCES
    };
    let (calls, lost) = mean(plan);
    println!("45 in 100 beside calls that fail everywhere: {calls:.1} calls, lost {lost:.1}");
    assert!(calls <= 85.0, "{calls} of 380 calls");
    let healthy = LoadPlan { failing_fraction: 0.0, failing_call_fraction: 0.3, ..SIX_INSTANCES };
    let (calls, _) = mean(healthy);
    println!("healthy beside calls that fail everywhere: {calls:.1} calls");
    assert!((85.0..170.0).contains(&calls), "{calls} of 380 calls, a third is expected");
}

#[test]
fn the_last_upstream_left_is_used_even_after_failures() {
    let entries = upstreams();
    let own = "dc1".parse().expect("a valid name");
    let mut loads = UpstreamLoads::default();
    for result in [Gone, Failed, Full] {
        loads.begin(at(0), &entries[0].name);
        loads.end(at(0), &entries[0].name, Some(result));
    }
    let picked =
        loads.pick(at(1), &[&entries[0]], &own, false, |_| false).expect("there is a candidate");
    assert_eq!(picked.name, entries[0].name);
}

#[test]
fn a_restarted_upstream_has_no_failure_history() {
    let entries = upstreams();
    let own = "dc1".parse().expect("a valid name");
    let mut loads = UpstreamLoads::default();
    loads.begin(at(0), &entries[0].name);
    loads.end(at(0), &entries[0].name, Some(Gone));
    let restarted =
        UpstreamEntry { name: "u1@8".parse().expect("a valid name"), ..entries[0].clone() };
    let picked = loads
        .pick(at(1), &[&restarted, &entries[1]], &own, false, |_| false)
        .expect("there are candidates");
    assert_eq!(picked.name, restarted.name);
}
