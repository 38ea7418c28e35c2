//! No engine loses memory for good, whoever dies, freezes or loses messages.

#![allow(clippy::unwrap_used)]

mod support;

use std::{thread, time};

use serde_json::json;
use support::{Fleet, FleetShape};

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Starts long streams that nobody waits for to the end.
fn start_streams(fleet: &Fleet, count: usize) {
    for number in 0..count {
        let address = fleet.instances[0].entry.address;
        let body = support::prompt_body(&format!("{number}"), 2_000, 400, true);
        thread::spawn(move || support::complete(address, &body));
    }
    support::until("the streams run", || {
        let held = |engine: &support::Process| {
            let load = support::get(engine.address, "/v1/load").unwrap().json();
            load["held"].as_array().unwrap().len()
        };
        let running: usize = fleet.engines.iter().map(held).sum();
        (running == count).then_some(())
    });
    // Long enough for each to come to its third piece.
    thread::sleep(SECOND / 2);
}

fn stubborn_engines(fleet: &Fleet) {
    for engine in &fleet.engines {
        support::set_faults(
            engine.address,
            &json!({ "ignore_disconnects": true, "hang_after": 3 }),
        );
    }
}

#[test]
fn an_entry_killed_mid_stream() {
    let mut fleet = Fleet::start(&FleetShape { engines: 2, ..Default::default() });
    stubborn_engines(&fleet);
    start_streams(&fleet, 6);
    fleet.instances[0].entry.kill();
    fleet.wait_no_memory_held();
}

#[test]
fn a_scheduler_killed_with_leases_out_knows_them_again_soon() {
    let mut fleet = Fleet::start(&FleetShape { engines: 2, ..Default::default() });
    stubborn_engines(&fleet);
    start_streams(&fleet, 6);
    fleet.instances[0].scheduler.kill();
    fleet.restart(0, "scheduler");
    let started = time::Instant::now();
    support::until("the new scheduler knows what the engines hold", || {
        let status = support::get(fleet.instances[0].operators, "/v1/status").ok()?.json();
        let engines = status["scheduler"]["engines"].as_array()?.clone();
        let known = |row: &serde_json::Value| {
            row["running"].as_u64().unwrap() + row["unexplained"].as_u64().unwrap()
        };
        (engines.iter().map(known).sum::<u64>() == 6).then_some(())
    });
    assert!(started.elapsed() < 2 * SECOND, "{:?}", started.elapsed());
    // The streams still run; when their time is over, their memory is free.
    fleet.wait_no_memory_held();
}

#[test]
fn entry_and_scheduler_killed_together() {
    let mut fleet = Fleet::start(&FleetShape { instances: 2, engines: 3, ..Default::default() });
    stubborn_engines(&fleet);
    start_streams(&fleet, 6);
    fleet.instances[0].entry.kill();
    fleet.instances[0].scheduler.kill();
    // The list says so after a while; the other instance takes the engines over.
    fleet.list_leaving("instance-0");
    fleet.wait_no_memory_held();
}

#[test]
fn cancels_that_are_lost_are_sent_again() {
    let mut fleet = Fleet::start(&FleetShape { engines: 1, ..Default::default() });
    let address = fleet.engines[0].address;
    let lost = json!({ "ignore_disconnects": true, "hang_after": 3, "ignore_cancels": true });
    support::set_faults(address, &lost);
    start_streams(&fleet, 4);
    fleet.instances[0].entry.kill();
    thread::sleep(5 * SECOND);
    let held = support::get(address, "/v1/load").unwrap().json()["held"].as_array().unwrap().len();
    assert_eq!(held, 4, "the engine ignored the cancels so far");
    support::set_faults(address, &json!({}));
    let started = time::Instant::now();
    fleet.wait_no_memory_held();
    assert!(started.elapsed() < 2 * SECOND, "{:?}", started.elapsed());
}

#[test]
fn a_frozen_scheduler_that_wakes_beside_its_successor() {
    let mut fleet = Fleet::start(&FleetShape { instances: 2, engines: 3, ..Default::default() });
    fleet.instances[0].scheduler.signal("STOP");
    fleet.list_leaving("instance-0");
    // Its engines have another owner now, which fills them.
    let address = fleet.instances[1].entry.address;
    support::until("the successor serves", || {
        let body = support::prompt_body("x", 1_000, 5, true);
        let answer = support::complete(address, &body).ok()?;
        (answer.status == 200).then_some(())
    });
    let asking: Vec<_> = (0..12)
        .map(|number| {
            let address = fleet.instances[1].entry.address;
            thread::spawn(move || {
                let body = support::prompt_body(&format!("{number}"), 15_000, 200, true);
                let answer = support::complete(address, &body).unwrap();
                support::is_whole_answer(&answer, &body)
            })
        })
        .collect();
    thread::sleep(SECOND);
    fleet.instances[0].scheduler.signal("CONT");
    // What the woken one believes cuts nobody's stream.
    assert!(asking.into_iter().all(|asked| asked.join().unwrap()));
    fleet.wait_no_memory_held();
    for engine in &fleet.engines {
        assert!(support::counts(engine.address)["peak_held"].as_u64().unwrap() <= 100_000);
    }
}

#[test]
fn a_group_that_loses_an_engine_gives_the_others_back() {
    let mut fleet = Fleet::start(&FleetShape {
        engines: 9,
        fleet: "{orphan_grace: 3s, group_limit: 1}",
        ..Default::default()
    });
    let address = fleet.instances[0].entry.address;
    let body = support::prompt_body("archive", 220_000, 400, true);
    let asking = thread::spawn(move || support::complete(address, &body).unwrap());
    let index = support::until("a group serves", || {
        fleet.engines.iter().position(|engine| {
            let load = support::get(engine.address, "/v1/load").unwrap().json();
            load["held"].as_array().unwrap().iter().any(|row| row["tokens"].as_u64() > Some(70_000))
        })
    });
    thread::sleep(SECOND);
    let mut dead = fleet.engines.remove(index);
    dead.kill();
    // Whether it was the one that streams or one that only holds memory, all end clean.
    asking.join().unwrap();
    fleet.wait_no_memory_held();
}

#[test]
fn two_groups_that_compete_both_end() {
    let fleet = Fleet::start(&FleetShape {
        instances: 2,
        engines: 9,
        fleet: "{orphan_grace: 3s, group_limit: 1, group_wait: 15s}",
        ..Default::default()
    });
    let asking: Vec<_> = (0..6)
        .map(|number| {
            let address = fleet.instances[number % 2].entry.address;
            thread::spawn(move || {
                let body = support::prompt_body(&format!("archive {number}"), 220_000, 5, true);
                let answer = support::complete(address, &body).unwrap();
                let whole = support::is_whole_answer(&answer, &body);
                assert!(whole || answer.ran() == "no", "{}", answer.text());
                whole
            })
        })
        .collect();
    let whole = asking.into_iter().map(|asked| asked.join().unwrap());
    assert!(whole.filter(|whole| *whole).count() >= 3);
    fleet.wait_no_memory_held();
}

#[test]
fn a_group_whose_first_member_refuses_gives_the_others_back_at_once() {
    let fleet = Fleet::start(&FleetShape {
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
