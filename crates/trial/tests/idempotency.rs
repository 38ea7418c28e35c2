//! Idempotency keys and retries: calls that must not run twice run at most once, and a call
//! reported as not run has not run.

#![allow(clippy::unwrap_used)]

mod support;

use std::{collections, thread, time};

use serde_json::json;
use support::{Fleet, FleetConfig};

/// Time after which a new scheduler votes on keys: the key retention of 5 s, doubled because
/// instances' lists may lag behind each other, and a margin.
const VOTING_DELAY: time::Duration = time::Duration::from_millis(10_300);

/// Starts a fleet with two upstreams of the service, and waits until its schedulers vote on
/// idempotency keys.
fn start_service_fleet(instances: usize, checks_keys: bool) -> Fleet {
    let config = FleetConfig { instances, services: 2, checks_keys, ..Default::default() };
    let fleet = Fleet::start(&config);
    thread::sleep(VOTING_DELAY);
    fleet
}

/// Returns how often each call ran, summed over all services, by idempotency key (`field` is
/// `by_key`) or by request (`by_request`).
fn sum_runs_by(fleet: &Fleet, field: &str) -> collections::BTreeMap<String, u64> {
    let mut runs = collections::BTreeMap::new();
    for service in &fleet.services {
        for (name, count) in support::counts(service.address)[field].as_object().unwrap() {
            *runs.entry(name.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    runs
}

#[test]
fn concurrent_calls_with_one_key_run_once() {
    let fleet = start_service_fleet(6, false);
    let callers: Vec<_> = (0..60)
        .map(|number| {
            let address = fleet.instances[number % 6].entry.address;
            let key = format!("key-{}", number / 6);
            thread::spawn(move || support::call_service(address, "POST", Some(&key)).unwrap())
        })
        .collect();
    let mut answered = 0;
    for caller in callers {
        let answer = caller.join().unwrap();
        match answer.status {
            200 => answered += 1,
            409 => assert_eq!(
                (answer.code().as_str(), answer.ran().as_str()),
                ("key_taken", "unknown")
            ),
            _ => panic!("{}", answer.text()),
        }
    }
    assert_eq!(answered, 10);
    let runs = sum_runs_by(&fleet, "by_key");
    assert_eq!(runs.len(), 10);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

#[test]
fn repeated_key_does_not_run_after_a_failed_call() {
    let fleet = start_service_fleet(3, false);
    let plans = [json!({ "close_before_answer": true }), json!({ "delay_ms": 60_000 })];
    for (number, plan) in plans.iter().enumerate() {
        let key = format!("key-{number}");
        for service in &fleet.services {
            support::set_faults(service.address, plan);
        }
        let first = support::call_service(fleet.instances[0].entry.address, "POST", Some(&key));
        let first = first.unwrap();
        assert!(first.status == 502 || first.status == 504, "{}", first.text());
        assert_eq!(first.ran(), "unknown");
        for service in &fleet.services {
            support::set_faults(service.address, &json!({}));
        }
        for instance in &fleet.instances {
            let repeat = support::call_service(instance.entry.address, "POST", Some(&key)).unwrap();
            assert!(repeat.status == 409 || repeat.code() == "key_in_doubt", "{}", repeat.text());
        }
    }
    let runs = sum_runs_by(&fleet, "by_key");
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

#[test]
fn key_runs_once_when_two_voters_die_or_freeze() {
    for signal in ["KILL", "STOP"] {
        let mut fleet = start_service_fleet(6, false);
        let first =
            support::call_service(fleet.instances[0].entry.address, "POST", Some("k")).unwrap();
        assert_eq!(first.status, 200, "{}", first.text());
        // The votes on a key must survive the loss of any two of six schedulers.
        for index in [0, 3] {
            fleet.instances[index].scheduler.signal(signal);
        }
        let callers: Vec<_> = [1, 2, 4, 5]
            .into_iter()
            .map(|index| {
                let address = fleet.instances[index].entry.address;
                thread::spawn(move || {
                    // A call with a new key must still run.
                    let other = support::call_service(address, "POST", Some(&format!("k{index}")));
                    (support::call_service(address, "POST", Some("k")).unwrap(), other.unwrap())
                })
            })
            .collect();
        for caller_thread in callers {
            let (repeat, other) = caller_thread.join().unwrap();
            assert_eq!(repeat.status, 409, "{signal}: {}", repeat.text());
            assert_eq!(other.status, 200, "{signal}: {}", other.text());
        }
        for index in [0, 3] {
            if signal == "STOP" {
                fleet.instances[index].scheduler.signal("CONT");
            } else {
                fleet.restart(index, "scheduler");
            }
        }
        let address = fleet.instances[0].entry.address;
        let repeat = support::wait_until("the instance serves again", || {
            let answer = support::call_service(address, "POST", Some("k")).ok()?;
            (answer.code() != "not_ready").then_some(answer)
        });
        assert!(
            repeat.status == 409 || repeat.code() == "key_in_doubt",
            "{signal}: {}",
            repeat.text()
        );
        assert_eq!(sum_runs_by(&fleet, "by_key")["k"], 1);
    }
}

#[test]
fn key_without_a_majority_is_refused() {
    let fleet = start_service_fleet(6, false);
    for index in 1..4 {
        fleet.instances[index].scheduler.signal("STOP");
    }
    let answer =
        support::call_service(fleet.instances[0].entry.address, "POST", Some("k")).unwrap();
    assert_eq!((answer.status, answer.code().as_str()), (503, "key_in_doubt"), "{}", answer.text());
    assert_eq!(sum_runs_by(&fleet, "by_key").len(), 0);
    for index in 1..4 {
        fleet.instances[index].scheduler.signal("CONT");
    }
}

#[test]
fn new_fleet_refuses_keys_until_it_may_vote() {
    let config = FleetConfig {
        instances: 3,
        services: 1,
        fleet: "{key_retention: 30s}",
        ..Default::default()
    };
    let fleet = Fleet::start(&config);
    let answer =
        support::call_service(fleet.instances[0].entry.address, "POST", Some("k")).unwrap();
    assert_eq!(answer.code(), "key_in_doubt", "{}", answer.text());
    // A call without a key needs no votes, so it runs at once.
    let answer = support::call_service(fleet.instances[0].entry.address, "POST", None).unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(support::counts(fleet.services[0].address)["runs"], 1);
}

#[test]
fn upstream_that_checks_keys_needs_no_votes() {
    let mut fleet = Fleet::start_standins(&FleetConfig {
        instances: 1,
        services: 1,
        checks_keys: true,
        ..Default::default()
    });
    fleet.declare_checks_keys();
    fleet.publish_settings(1, "{key_retention: 30s}", "{time_limit: 20s}");
    fleet.publish_list();
    fleet.start_instance(0);
    fleet.wait_ready();
    let address = fleet.instances[0].entry.address;
    let statuses: Vec<_> =
        (0..3).map(|_| support::call_service(address, "POST", Some("k")).unwrap().status).collect();
    assert_eq!(statuses, [200, 409, 409]);
    assert_eq!(sum_runs_by(&fleet, "by_key")["k"], 1);
}

#[test]
fn reported_run_state_matches_what_ran() {
    let fleet = start_service_fleet(2, false);
    let plans = [
        json!({}),
        json!({ "refuse": true }),
        json!({ "close_before_answer": true }),
        json!({ "delay_ms": 20 }),
    ];
    for round in 0..24 {
        for (index, service) in fleet.services.iter().enumerate() {
            support::set_faults(service.address, &plans[(round + index * 3) % plans.len()]);
        }
        let address = fleet.instances[round % 2].entry.address;
        let before: u64 = sum_runs_by(&fleet, "by_request").values().sum();
        let answer = support::call_service(address, "POST", None).unwrap();
        let after: u64 = sum_runs_by(&fleet, "by_request").values().sum();
        match answer.status {
            200 => assert_eq!(after - before, 1),
            _ if answer.ran() == "no" => assert_eq!(after, before, "{}", answer.text()),
            _ => assert!(after - before <= 1),
        }
    }
    assert!(sum_runs_by(&fleet, "by_request").values().all(|count| *count == 1));
}

#[test]
fn repeatable_call_is_retried_on_another_upstream() {
    let fleet = start_service_fleet(1, false);
    support::set_faults(fleet.services[0].address, &json!({ "close_before_answer": true }));
    for _ in 0..3 {
        let answer = support::call_service(fleet.instances[0].entry.address, "GET", None).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}
