//! Network partitions: two parts of a fleet cannot reach each other, while all processes run.

#![allow(clippy::unwrap_used)]

mod support;

use std::{collections, thread, time};

use support::{Fleet, FleetConfig};

/// Time after which a new scheduler votes on keys: the key retention of 5 s, doubled because
/// instances' lists may lag behind each other, and a margin.
const VOTING_DELAY: time::Duration = time::Duration::from_millis(10_300);
/// Index of the first instance on the smaller side: 0 to 3 are on one side, 4 and 5 on the other.
const SMALL_SIDE_START: usize = 4;

/// Starts six instances on two platforms, so that [`Fleet::partition_network`] can divide them.
fn start_divisible_fleet(engines: usize) -> Fleet {
    let config = FleetConfig {
        instances: 6,
        engines,
        services: 2,
        second_platform_from: Some(SMALL_SIDE_START),
        fleet: "{key_retention: 5s, orphan_grace: 10s}",
        ..Default::default()
    };
    Fleet::start(&config)
}

/// Returns the number of runs for each idempotency key, summed over all services.
fn runs_by_key(fleet: &Fleet) -> collections::BTreeMap<String, u64> {
    let mut runs = collections::BTreeMap::new();
    for service in &fleet.services {
        for (key, count) in support::counts(service.address)["by_key"].as_object().unwrap() {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    runs
}

fn call(fleet: &Fleet, instance: usize, key: &str) -> support::Answer {
    let address = fleet.instances[instance].entry.address;
    support::call_service(address, "POST", Some(key)).unwrap()
}

#[test]
fn key_runs_once_during_and_after_a_partition() {
    let mut fleet = start_divisible_fleet(1);
    thread::sleep(VOTING_DELAY);
    assert_eq!(call(&fleet, 5, "before").status, 200);
    fleet.partition_network();
    // Only the larger side has a majority of voters. The smaller side can't tell whether a call
    // with the key has run on the larger side.
    let refused = call(&fleet, 4, "during");
    assert_eq!(
        (refused.status, refused.code().as_str()),
        (503, "key_in_doubt"),
        "{}",
        refused.text()
    );
    assert_eq!(refused.ran(), "unknown");
    assert_eq!(call(&fleet, 4, "before").status, 409);
    assert_eq!(call(&fleet, 0, "before").status, 409);
    assert_eq!(call(&fleet, 1, "other").status, 200);
    fleet.publish_list();
    fleet.wait_list();
    for instance in 0..6 {
        for key in ["before", "other"] {
            let repeat = call(&fleet, instance, key);
            assert_eq!(repeat.status, 409, "{instance} {key}: {}", repeat.text());
        }
    }
    let runs = runs_by_key(&fleet);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    assert!(!runs.contains_key("during"));
}

#[test]
fn both_sides_serve_during_and_after_a_partition() {
    let mut fleet = start_divisible_fleet(6);
    fleet.partition_network();
    let check_all_entries = |fleet: &Fleet, prompt_start: &str| {
        for (index, instance) in fleet.instances.iter().enumerate() {
            for turn in 0..3 {
                let body =
                    support::prompt_body(&format!("{prompt_start}/{index}/{turn}"), 200, 10, true);
                let answer = support::complete(instance.entry.address, &body).unwrap();
                assert!(support::is_complete_answer(&answer, &body), "{}", answer.text());
            }
        }
    };
    check_all_entries(&fleet, "during");
    fleet.publish_list();
    fleet.wait_list();
    check_all_entries(&fleet, "after");
    fleet.wait_no_memory_held();
    fleet.publish_settings(2, "{key_retention: 5s, orphan_grace: 10s}", "{time_limit: 20s}");
    assert!(fleet.wait_version(2) < time::Duration::from_secs(9));
}
