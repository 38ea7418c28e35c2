//! Propagation of settings: a valid version takes effect on all instances within nine seconds and
//! is never reverted.

#![allow(clippy::unwrap_used)]

mod support;

use std::{thread, time};

use serde_json::json;
use support::{Fleet, FleetConfig};

const SECOND: time::Duration = time::Duration::from_secs(1);
/// Settings below `fleet:` in a published version.
const FLEET_OPTIONS: &str = "{orphan_grace: 3s}";
/// Settings below `defaults:` in a published version.
const DEFAULT_OPTIONS: &str = "{time_limit: 20s}";
/// Time within which a version must take effect on the whole fleet. Required by the users.
const IN_EFFECT_LIMIT: time::Duration = time::Duration::from_secs(9);

/// Returns the settings versions in use, two for each instance: the version of its entry, then the
/// version of its scheduler.
fn versions(fleet: &Fleet) -> Vec<u64> {
    let version = |instance: &support::Instance| {
        let status = support::get(instance.operators, "/v1/status").unwrap().json();
        ["entry", "scheduler"].map(|role| status[role]["settings_version"].as_u64().unwrap_or(0))
    };
    fleet.instances.iter().flat_map(version).collect()
}

#[test]
fn new_version_takes_effect_on_all_instances_within_nine_seconds() {
    let fleet = Fleet::start(&FleetConfig { instances: 12, ..Default::default() });
    for version in 2..6 {
        fleet.publish_settings(version, FLEET_OPTIONS, DEFAULT_OPTIONS);
        let elapsed_time = fleet.wait_version(version);
        assert!(elapsed_time < IN_EFFECT_LIMIT, "version {version}: {elapsed_time:?}");
    }
}

#[test]
fn stale_platform_answers_do_not_revert_settings() {
    let fleet = Fleet::start(&FleetConfig { instances: 3, ..Default::default() });
    fleet.publish_settings(2, FLEET_OPTIONS, DEFAULT_OPTIONS);
    fleet.wait_version(2);
    support::set_faults(fleet.platform.address, &json!({ "stale_by": 1 }));
    for _ in 0..20 {
        thread::sleep(SECOND / 10);
        assert_eq!(versions(&fleet), [2; 6]);
    }
    support::set_faults(fleet.platform.address, &json!({}));
    fleet.publish_settings(3, FLEET_OPTIONS, DEFAULT_OPTIONS);
    fleet.wait_version(3);
}

#[test]
fn rejected_version_has_no_effect_and_is_reported_to_operators() {
    let fleet = Fleet::start(&FleetConfig { instances: 2, ..Default::default() });
    fleet.publish_settings(2, "{headrom: 1}", DEFAULT_OPTIONS);
    support::wait_until("the rejected option is shown to operators", || {
        let status = support::get(fleet.instances[0].operators, "/v1/status").unwrap().json();
        let rejection = status["scheduler"]["settings_rejected"].as_str()?.to_owned();
        rejection.contains("headrom").then_some(())
    });
    assert_eq!(versions(&fleet), [1; 4]);
    let body = support::prompt_body("x", 10, 5, true);
    assert_eq!(support::complete(fleet.instances[0].entry.address, &body).unwrap().status, 200);
    fleet.publish_settings(3, FLEET_OPTIONS, DEFAULT_OPTIONS);
    fleet.wait_version(3);
}

#[test]
fn instances_serve_without_the_platform_and_entries_without_their_scheduler() {
    let mut fleet = Fleet::start(&FleetConfig { instances: 3, ..Default::default() });
    fleet.publish_settings(2, FLEET_OPTIONS, DEFAULT_OPTIONS);
    fleet.wait_version(2);
    support::set_faults(fleet.platform.address, &json!({ "down": true }));
    thread::sleep(2 * SECOND);
    let body = support::prompt_body("x", 10, 5, true);
    for instance in &fleet.instances {
        assert_eq!(support::complete(instance.entry.address, &body).unwrap().status, 200);
    }
    // Without its own scheduler, the entry falls back to the other schedulers that it knows.
    fleet.instances[1].scheduler.kill();
    thread::sleep(SECOND);
    let answer = support::complete(fleet.instances[1].entry.address, &body).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    support::set_faults(fleet.platform.address, &json!({}));
    fleet.publish_settings(3, FLEET_OPTIONS, DEFAULT_OPTIONS);
    // Index 2 is the entry of instance 1.
    support::wait_until("the entry uses the new version", || {
        (versions(&fleet)[2] == 3).then_some(())
    });
}

#[test]
fn paused_process_confirms_its_settings_before_it_serves() {
    let fleet = Fleet::start(&FleetConfig { instances: 2, ..Default::default() });
    for process in [&fleet.instances[1].entry, &fleet.instances[1].scheduler] {
        process.signal("STOP");
    }
    thread::sleep(2 * SECOND);
    fleet.publish_settings(2, FLEET_OPTIONS, "{time_limit: 7s}");
    support::wait_until("the running instance uses the new version", || {
        (first_entry_version(&fleet) == 2).then_some(())
    });
    let body = support::prompt_body("x", 10, 5, true);
    let address = fleet.instances[1].entry.address;
    let caller = thread::spawn(move || support::complete(address, &body).unwrap());
    thread::sleep(SECOND / 2);
    for process in [&fleet.instances[1].entry, &fleet.instances[1].scheduler] {
        process.signal("CONT");
    }
    let answer = caller.join().unwrap();
    if answer.status == 200 {
        let id = &answer.headers["slipturn-request-id"];
        let record = support::wait_until("the decision record is available", || {
            let path = format!("/v1/decisions/{id}");
            let found = support::get(fleet.instances[1].operators, &path).ok()?;
            (found.status == 200).then(|| found.json())
        });
        assert_eq!(record["settings_version"], 2);
    } else {
        assert_eq!((answer.code().as_str(), answer.ran().as_str()), ("not_ready", "no"));
    }
    fleet.wait_version(2);
}

/// Returns the settings version in use by the entry of instance 0.
fn first_entry_version(fleet: &Fleet) -> u64 {
    let status = support::get(fleet.instances[0].operators, "/v1/status").unwrap().json();
    status["entry"]["settings_version"].as_u64().unwrap()
}

/// Starts a fleet with this number of instances, and counts the reads of platform documents in ten
/// seconds without a change.
fn count_idle_reads(instances: usize) -> u64 {
    let fleet = Fleet::start(&FleetConfig { instances, ..Default::default() });
    thread::sleep(2 * SECOND);
    let reads = || support::counts(fleet.platform.address)["reads"].as_u64().unwrap();
    let before = reads();
    thread::sleep(10 * SECOND);
    reads() - before
}

#[test]
fn platform_reads_do_not_grow_with_the_fleet() {
    let (few, many) = (count_idle_reads(6), count_idle_reads(24));
    // Two watchers in each of three data centres read two documents. A watch lasts five seconds, so
    // two rounds fit into the ten seconds, and a third may overlap.
    assert!(few <= 36, "{few} reads by 6 instances");
    assert!(many <= few + 12, "{few} reads by 6 instances, {many} by 24");
}

#[test]
fn new_version_takes_effect_in_time_when_other_schedulers_freeze() {
    let fleet = Fleet::start(&FleetConfig { instances: 4, ..Default::default() });
    // Freeze all schedulers but one. Processes that watched a frozen scheduler must find another
    // source.
    thread::sleep(SECOND);
    for instance in &fleet.instances[1..] {
        instance.scheduler.signal("STOP");
    }
    fleet.publish_settings(2, FLEET_OPTIONS, DEFAULT_OPTIONS);
    let published = time::Instant::now();
    for instance in &fleet.instances {
        support::wait_until("the entry uses the new version", || {
            let status = support::get(instance.operators, "/v1/status").unwrap().json();
            (status["entry"]["settings_version"] == 2).then_some(())
        });
    }
    assert!(published.elapsed() < IN_EFFECT_LIMIT, "{:?}", published.elapsed());
    for instance in &fleet.instances[1..] {
        instance.scheduler.signal("CONT");
    }
}

/// Open connections to the platform may go silent without being closed, while new connections work.
/// A watch on a silent connection looks like a watch without changes, so it must be abandoned early
/// enough for a new version to take effect in time.
#[test]
fn new_version_takes_effect_in_time_when_platform_connections_go_silent() {
    let config = FleetConfig { instances: 4, platform_proxy: true, ..Default::default() };
    let fleet = Fleet::start(&config);
    thread::sleep(SECOND);
    let proxy = fleet.platform_proxy.as_ref().unwrap();
    for version in 2..5 {
        proxy.silence_open_connections();
        fleet.publish_settings(version, FLEET_OPTIONS, DEFAULT_OPTIONS);
        let elapsed_time = fleet.wait_version(version);
        assert!(elapsed_time < IN_EFFECT_LIMIT, "version {version}: {elapsed_time:?}");
        println!("version {version}: {elapsed_time:?}");
    }
}
