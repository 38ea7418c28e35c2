//! Every admitted request finishes or fails within its limit, and is told so at once.

#![allow(clippy::unwrap_used)]

mod support;

use std::{thread, time};

use serde_json::json;
use support::{Fleet, FleetShape};

const SECOND: time::Duration = time::Duration::from_secs(1);
/// Limit set by the callers of these trials.
const LIMIT: (&str, &str) = ("slipturn-timeout-ms", "3000");

fn timed(fleet: &Fleet, stream: bool) -> (support::Answer, time::Duration) {
    let started = time::Instant::now();
    let body = support::prompt_body("x", 200, 40, stream);
    let answer = support::complete_with(fleet.instances[0].entry.address, &body, &[LIMIT]).unwrap();
    (answer, started.elapsed())
}

fn assert_within_limit(spent: time::Duration) {
    // The limit and what the answer itself takes on a busy machine.
    assert!(spent < 4 * SECOND, "{spent:?}");
}

#[test]
fn an_engine_that_never_answers() {
    let fleet = Fleet::start(&FleetShape::default());
    support::set_faults(fleet.engines[0].address, &json!({ "delay_ms": 60_000 }));
    let (answer, spent) = timed(&fleet, true);
    assert_eq!((answer.status, answer.code().as_str()), (504, "timed_out"));
    assert_eq!(answer.ran(), "unknown");
    assert_within_limit(spent);
}

#[test]
fn an_engine_that_hangs_after_its_head_or_in_the_middle() {
    let fleet = Fleet::start(&FleetShape::default());
    for pieces in [0, 2] {
        support::set_faults(fleet.engines[0].address, &json!({ "hang_after": pieces }));
        let (answer, spent) = timed(&fleet, true);
        let error = if pieces == 0 {
            assert_eq!(answer.status, 504);
            answer.text()
        } else {
            // Part of the answer is out: an error event, and no last event.
            assert_eq!(answer.status, 200);
            assert!(answer.text().contains("event: error"), "{}", answer.text());
            assert!(!answer.text().contains("[DONE]"));
            answer.text()
        };
        assert!(error.contains("timed_out"), "{error}");
        assert_within_limit(spent);
    }
    support::set_faults(fleet.engines[0].address, &json!({ "hang_after": 2 }));
    let (answer, spent) = timed(&fleet, false);
    assert_eq!(answer.status, 504);
    assert_within_limit(spent);
}

#[test]
fn an_engine_that_dies_before_the_first_token_is_replaced_by_another() {
    let fleet = Fleet::start(&FleetShape { engines: 3, ..Default::default() });
    support::set_faults(fleet.engines[0].address, &json!({ "close_before_answer": true }));
    support::set_faults(fleet.engines[1].address, &json!({ "close_before_answer": true }));
    for number in 0..3 {
        let body = support::prompt_body(&format!("{number}"), 200, 10, true);
        let answer = support::complete(fleet.instances[0].entry.address, &body).unwrap();
        assert!(support::is_whole_answer(&answer, &body), "{}", answer.text());
    }
}

#[test]
fn an_engine_that_dies_mid_stream_ends_the_answer_at_once() {
    let mut fleet = Fleet::start(&FleetShape::default());
    let address = fleet.instances[0].entry.address;
    let body = support::prompt_body("x", 200, 400, true);
    let asking = thread::spawn(move || support::complete(address, &body).unwrap());
    thread::sleep(SECOND / 2);
    fleet.engines[0].kill();
    let killed = time::Instant::now();
    let answer = asking.join().unwrap();
    assert!(killed.elapsed() < SECOND, "{:?}", killed.elapsed());
    assert!(answer.text().contains("\"ran\":\"yes\""), "{}", answer.text());
    assert!(!answer.text().contains("[DONE]"));
}

#[test]
fn a_scheduler_that_dies_or_freezes_costs_no_request_in_progress() {
    for signal in ["KILL", "STOP"] {
        let fleet = Fleet::start(&FleetShape::default());
        let address = fleet.instances[0].entry.address;
        let body = support::prompt_body("x", 200, 200, true);
        let asked = body.clone();
        let asking = thread::spawn(move || support::complete(address, &asked).unwrap());
        thread::sleep(SECOND / 2);
        fleet.instances[0].scheduler.signal(signal);
        let answer = asking.join().unwrap();
        assert!(support::is_whole_answer(&answer, &body), "{signal}: {}", answer.text());
        // The only scheduler is gone: an engine is used directly, one request a time.
        let (answer, spent) = timed(&fleet, true);
        assert_eq!(answer.status, 200, "{signal}: {}", answer.text());
        assert_within_limit(spent);
    }
}

#[test]
fn under_overload_each_request_is_answered_or_refused_at_once() {
    let fleet = Fleet::start(&FleetShape { instances: 2, ..Default::default() });
    let asking: Vec<_> = (0..120)
        .map(|number| {
            let address = fleet.instances[number % 2].entry.address;
            thread::spawn(move || {
                let body = support::prompt_body(&format!("{number}"), 10_000, 20, true);
                let started = time::Instant::now();
                let answer = support::complete_with(address, &body, &[LIMIT]).unwrap();
                let whole = support::is_whole_answer(&answer, &body);
                (answer, whole, started.elapsed())
            })
        })
        .collect();
    let mut outcomes = (0, 0);
    let mut waits = std::collections::BTreeSet::new();
    for asked in asking {
        let (answer, whole, spent) = asked.join().unwrap();
        if whole {
            outcomes.0 += 1;
        } else {
            assert_eq!(
                (answer.status, answer.code().as_str()),
                (503, "overloaded"),
                "{}",
                answer.text()
            );
            assert_eq!(answer.ran(), "no");
            let wait = answer.json()["error"]["retry_after_ms"].as_u64().unwrap();
            assert!(wait >= 500);
            waits.insert(wait / 100);
            outcomes.1 += 1;
        }
        assert!(spent < 5 * SECOND, "{spent:?}");
    }
    assert!(outcomes.0 >= 5 && outcomes.1 >= 5, "{outcomes:?}");
    // Whoever obeys does not return as one wave.
    assert!(waits.len() >= 3, "{waits:?}");
    let started = support::counts(fleet.engines[0].address)["started"].clone();
    assert_eq!(started.as_object().unwrap().len(), outcomes.0);
}

#[test]
fn a_caller_that_leaves_frees_the_engine() {
    let fleet = Fleet::start(&FleetShape::default());
    support::set_faults(fleet.engines[0].address, &json!({ "ignore_disconnects": true }));
    let body = support::prompt_body("x", 200, 400, true).to_string();
    let mut stream = support::connect(fleet.instances[0].entry.address).unwrap();
    let bearer = format!("Bearer {}", support::KEY);
    let headers = [("authorization", bearer.as_str())];
    support::send(&mut stream, "POST", "/v1/chat/completions", &headers, body.as_bytes()).unwrap();
    thread::sleep(SECOND / 2);
    drop(stream);
    let started = time::Instant::now();
    fleet.wait_no_memory_held();
    // 400 tokens would have taken two seconds and more.
    assert!(started.elapsed() < SECOND, "{:?}", started.elapsed());
}
