//! Engine memory is released after crashes and pauses of entries, schedulers and engines, and after
//! lost cancels.

#![allow(clippy::unwrap_used)]

mod support;

use std::{thread, time};

use serde_json::json;
use support::{Fleet, FleetConfig};

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Starts long streams in background threads, and waits until the engines hold memory for all of
/// them.
fn start_streams(fleet: &Fleet, count: usize) {
    for number in 0..count {
        let address = fleet.instances[0].entry.address;
        let body = support::prompt_body(&format!("{number}"), 2_000, 400, true);
        thread::spawn(move || support::complete(address, &body));
    }
    support::wait_until("all streams run", || {
        let held = |engine: &support::Process| {
            let load = support::get(engine.address, "/v1/load").unwrap().json();
            load["held"].as_array().unwrap().len()
        };
        let running: usize = fleet.engines.iter().map(held).sum();
        (running == count).then_some(())
    });
    // Let each stream reach its third chunk, after which the engines hang.
    thread::sleep(SECOND / 2);
}

/// Makes all engines hang after three chunks of each answer, and keep the memory of an attempt when
/// its connection closes.
fn ignore_disconnects_and_hang(fleet: &Fleet) {
    for engine in &fleet.engines {
        support::set_faults(
            engine.address,
            &json!({ "ignore_disconnects": true, "hang_after": 3 }),
        );
    }
}

#[test]
fn killed_entry_leaves_no_memory_held() {
    let mut fleet = Fleet::start(&FleetConfig { engines: 2, ..Default::default() });
    ignore_disconnects_and_hang(&fleet);
    start_streams(&fleet, 6);
    fleet.instances[0].entry.kill();
    fleet.wait_no_memory_held();
}

#[test]
fn restarted_scheduler_soon_accounts_for_running_streams() {
    let mut fleet = Fleet::start(&FleetConfig { engines: 2, ..Default::default() });
    ignore_disconnects_and_hang(&fleet);
    start_streams(&fleet, 6);
    fleet.instances[0].scheduler.kill();
    fleet.restart(0, "scheduler");
    let started = time::Instant::now();
    support::wait_until("the new scheduler accounts for all streams", || {
        let status = support::get(fleet.instances[0].operators, "/v1/status").ok()?.json();
        let engines = status["scheduler"]["engines"].as_array()?.clone();
        let known = |row: &serde_json::Value| {
            row["running"].as_u64().unwrap() + row["unexplained"].as_u64().unwrap()
        };
        (engines.iter().map(known).sum::<u64>() == 6).then_some(())
    });
    assert!(started.elapsed() < 2 * SECOND, "{:?}", started.elapsed());
    // The streams stay open. Their memory must be free after their time limit.
    fleet.wait_no_memory_held();
}

#[test]
fn killed_entry_and_scheduler_leave_no_memory_held() {
    let mut fleet = Fleet::start(&FleetConfig { instances: 2, engines: 3, ..Default::default() });
    ignore_disconnects_and_hang(&fleet);
    start_streams(&fleet, 6);
    fleet.instances[0].entry.kill();
    fleet.instances[0].scheduler.kill();
    // Once the list marks the instance as leaving, the other instance takes over its engines.
    fleet.mark_leaving("instance-0");
    fleet.wait_no_memory_held();
}

#[test]
fn lost_cancels_are_sent_again() {
    let mut fleet = Fleet::start(&FleetConfig { engines: 1, ..Default::default() });
    let address = fleet.engines[0].address;
    let faults = json!({ "ignore_disconnects": true, "hang_after": 3, "ignore_cancels": true });
    support::set_faults(address, &faults);
    start_streams(&fleet, 4);
    fleet.instances[0].entry.kill();
    thread::sleep(5 * SECOND);
    let held = support::get(address, "/v1/load").unwrap().json()["held"].as_array().unwrap().len();
    assert_eq!(held, 4, "the engine ignores cancels, so it must still hold all attempts");
    support::set_faults(address, &json!({}));
    let started = time::Instant::now();
    fleet.wait_no_memory_held();
    assert!(started.elapsed() < 2 * SECOND, "{:?}", started.elapsed());
}

#[test]
fn resumed_scheduler_does_not_disturb_its_successor() {
    let mut fleet = Fleet::start(&FleetConfig { instances: 2, engines: 3, ..Default::default() });
    fleet.instances[0].scheduler.signal("STOP");
    fleet.mark_leaving("instance-0");
    // The other instance now owns all engines; fill them through it.
    let address = fleet.instances[1].entry.address;
    support::wait_until("the successor serves", || {
        let body = support::prompt_body("x", 1_000, 5, true);
        let answer = support::complete(address, &body).ok()?;
        (answer.status == 200).then_some(())
    });
    let callers: Vec<_> = (0..12)
        .map(|number| {
            let address = fleet.instances[1].entry.address;
            thread::spawn(move || {
                let body = support::prompt_body(&format!("{number}"), 15_000, 200, true);
                let answer = support::complete(address, &body).unwrap();
                support::is_complete_answer(&answer, &body)
            })
        })
        .collect();
    thread::sleep(SECOND);
    fleet.instances[0].scheduler.signal("CONT");
    // The outdated ledger of the resumed scheduler must not end any stream.
    assert!(callers.into_iter().all(|caller| caller.join().unwrap()));
    fleet.wait_no_memory_held();
    for engine in &fleet.engines {
        assert!(support::counts(engine.address)["peak_held"].as_u64().unwrap() <= 100_000);
    }
}

#[test]
fn group_that_loses_an_engine_releases_the_others() {
    let mut fleet = Fleet::start(&FleetConfig {
        engines: 9,
        fleet: "{orphan_grace: 3s, group_limit: 1}",
        ..Default::default()
    });
    let address = fleet.instances[0].entry.address;
    let body = support::prompt_body("archive", 220_000, 400, true);
    let caller = thread::spawn(move || support::complete(address, &body).unwrap());
    let index = support::wait_until("a group serves", || {
        fleet.engines.iter().position(|engine| {
            let load = support::get(engine.address, "/v1/load").unwrap().json();
            load["held"].as_array().unwrap().iter().any(|row| row["tokens"].as_u64() > Some(70_000))
        })
    });
    thread::sleep(SECOND);
    let mut killed = fleet.engines.remove(index);
    killed.kill();
    // The killed engine may be the streaming one or one that only holds memory; either way all
    // memory must be released.
    caller.join().unwrap();
    fleet.wait_no_memory_held();
}

#[test]
fn competing_groups_do_not_deadlock() {
    let fleet = Fleet::start(&FleetConfig {
        instances: 2,
        engines: 9,
        fleet: "{orphan_grace: 3s, group_limit: 1, group_wait: 15s}",
        ..Default::default()
    });
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let address = fleet.instances[number % 2].entry.address;
            thread::spawn(move || {
                let body = support::prompt_body(&format!("archive {number}"), 220_000, 5, true);
                let answer = support::complete(address, &body).unwrap();
                let is_complete = support::is_complete_answer(&answer, &body);
                assert!(is_complete || answer.ran() == "no", "{}", answer.text());
                is_complete
            })
        })
        .collect();
    let completions = callers.into_iter().map(|caller| caller.join().unwrap());
    assert!(completions.filter(|is_complete| *is_complete).count() >= 3);
    fleet.wait_no_memory_held();
}

#[test]
fn refused_group_releases_its_memory_at_once() {
    let fleet = Fleet::start(&FleetConfig {
        engines: 9,
        fleet: "{orphan_grace: 3s, group_limit: 1}",
        ..Default::default()
    });
    for engine in &fleet.engines {
        support::set_faults(engine.address, &json!({ "refuse": true }));
    }
    let body = support::prompt_body("archive", 220_000, 5, true);
    let answer = support::complete(fleet.instances[0].entry.address, &body).unwrap();
    assert_eq!(answer.ran(), "no", "{}", answer.text());
    let ended = time::Instant::now();
    fleet.wait_no_memory_held();
    assert!(ended.elapsed() < SECOND, "{:?}", ended.elapsed());
}
