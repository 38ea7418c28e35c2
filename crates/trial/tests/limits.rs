//! Time limits: every admitted request is answered or fails within its limit.

#![allow(clippy::unwrap_used)]

mod support;

use std::{thread, time};

use serde_json::json;
use support::{Fleet, FleetConfig};

const SECOND: time::Duration = time::Duration::from_secs(1);
/// Header with the time limit of the requests in these tests.
const TIME_LIMIT: (&str, &str) = ("slipturn-timeout-ms", "3000");

/// Sends a model request with [`TIME_LIMIT`] and measures the time until its answer has ended.
fn complete_timed(fleet: &Fleet, stream: bool) -> (support::Answer, time::Duration) {
    let started = time::Instant::now();
    let body = support::prompt_body("x", 200, 40, stream);
    let answer =
        support::complete_with(fleet.instances[0].entry.address, &body, &[TIME_LIMIT]).unwrap();
    (answer, started.elapsed())
}

fn assert_within_limit(duration: time::Duration) {
    // The bound is the time limit of 3 s and a second for the answer itself on a busy machine.
    assert!(duration < 4 * SECOND, "{duration:?}");
}

#[test]
fn engine_that_never_answers_times_out() {
    let fleet = Fleet::start(&FleetConfig::default());
    support::set_faults(fleet.engines[0].address, &json!({ "delay_ms": 60_000 }));
    let (answer, duration) = complete_timed(&fleet, true);
    assert_eq!((answer.status, answer.code().as_str()), (504, "timed_out"));
    assert_eq!(answer.ran(), "unknown");
    assert_within_limit(duration);
}

#[test]
fn engine_that_hangs_during_an_answer_times_out() {
    let fleet = Fleet::start(&FleetConfig::default());
    for chunks in [0, 2] {
        support::set_faults(fleet.engines[0].address, &json!({ "hang_after": chunks }));
        let (answer, duration) = complete_timed(&fleet, true);
        let error = if chunks == 0 {
            assert_eq!(answer.status, 504);
            answer.text()
        } else {
            // Part of the answer has been sent: the stream must end with an error event, not with
            // the last event of a complete answer.
            assert_eq!(answer.status, 200);
            assert!(answer.text().contains("event: error"), "{}", answer.text());
            assert!(!answer.text().contains("[DONE]"));
            answer.text()
        };
        assert!(error.contains("timed_out"), "{error}");
        assert_within_limit(duration);
    }
    support::set_faults(fleet.engines[0].address, &json!({ "hang_after": 2 }));
    let (answer, duration) = complete_timed(&fleet, false);
    assert_eq!(answer.status, 504);
    assert_within_limit(duration);
}

#[test]
fn request_is_retried_if_the_engine_closes_before_answering() {
    let fleet = Fleet::start(&FleetConfig { engines: 3, ..Default::default() });
    support::set_faults(fleet.engines[0].address, &json!({ "close_before_answer": true }));
    support::set_faults(fleet.engines[1].address, &json!({ "close_before_answer": true }));
    for number in 0..3 {
        let body = support::prompt_body(&format!("{number}"), 200, 10, true);
        let answer = support::complete(fleet.instances[0].entry.address, &body).unwrap();
        assert!(support::is_complete_answer(&answer, &body), "{}", answer.text());
    }
}

#[test]
fn killed_engine_ends_its_stream_at_once() {
    let mut fleet = Fleet::start(&FleetConfig::default());
    let address = fleet.instances[0].entry.address;
    let body = support::prompt_body("x", 200, 400, true);
    let caller = thread::spawn(move || support::complete(address, &body).unwrap());
    thread::sleep(SECOND / 2);
    fleet.engines[0].kill();
    let killed = time::Instant::now();
    let answer = caller.join().unwrap();
    assert!(killed.elapsed() < SECOND, "{:?}", killed.elapsed());
    assert!(answer.text().contains("\"ran\":\"yes\""), "{}", answer.text());
    assert!(!answer.text().contains("[DONE]"));
}

#[test]
fn dead_or_frozen_scheduler_fails_no_request() {
    for signal in ["KILL", "STOP"] {
        let fleet = Fleet::start(&FleetConfig::default());
        let address = fleet.instances[0].entry.address;
        let body = support::prompt_body("x", 200, 200, true);
        let request_body = body.clone();
        let caller = thread::spawn(move || support::complete(address, &request_body).unwrap());
        thread::sleep(SECOND / 2);
        fleet.instances[0].scheduler.signal(signal);
        let answer = caller.join().unwrap();
        assert!(support::is_complete_answer(&answer, &body), "{signal}: {}", answer.text());
        // Without any scheduler, the entry uses an engine directly, for one request at a time.
        let (answer, duration) = complete_timed(&fleet, true);
        assert_eq!(answer.status, 200, "{signal}: {}", answer.text());
        assert_within_limit(duration);
    }
}

#[test]
fn overloaded_fleet_answers_or_refuses_each_request_at_once() {
    let fleet = Fleet::start(&FleetConfig { instances: 2, ..Default::default() });
    let callers: Vec<_> = (0..120)
        .map(|number| {
            let address = fleet.instances[number % 2].entry.address;
            thread::spawn(move || {
                let body = support::prompt_body(&format!("{number}"), 10_000, 20, true);
                let started = time::Instant::now();
                let answer = support::complete_with(address, &body, &[TIME_LIMIT]).unwrap();
                let complete = support::is_complete_answer(&answer, &body);
                (answer, complete, started.elapsed())
            })
        })
        .collect();
    // Numbers of complete answers and of refusals.
    let mut counts_by_outcome = (0, 0);
    let mut retry_delays = std::collections::BTreeSet::new();
    for caller in callers {
        let (answer, complete, duration) = caller.join().unwrap();
        if complete {
            counts_by_outcome.0 += 1;
        } else {
            assert_eq!(
                (answer.status, answer.code().as_str()),
                (503, "overloaded"),
                "{}",
                answer.text()
            );
            assert_eq!(answer.ran(), "no");
            let retry_delay = answer.json()["error"]["retry_after_ms"].as_u64().unwrap();
            assert!(retry_delay >= 500);
            retry_delays.insert(retry_delay / 100);
            counts_by_outcome.1 += 1;
        }
        assert!(duration < 5 * SECOND, "{duration:?}");
    }
    assert!(counts_by_outcome.0 >= 5 && counts_by_outcome.1 >= 5, "{counts_by_outcome:?}");
    // Retry delays must differ, so that refused callers don't all retry at the same time.
    assert!(retry_delays.len() >= 3, "{retry_delays:?}");
    let started = support::counts(fleet.engines[0].address)["started"].clone();
    assert_eq!(started.as_object().unwrap().len(), counts_by_outcome.0);
}

#[test]
fn caller_disconnect_frees_engine_memory() {
    let fleet = Fleet::start(&FleetConfig::default());
    support::set_faults(fleet.engines[0].address, &json!({ "ignore_disconnects": true }));
    let body = support::prompt_body("x", 200, 400, true).to_string();
    let mut stream = support::connect(fleet.instances[0].entry.address).unwrap();
    let bearer = format!("Bearer {}", support::API_KEY);
    let headers = [("authorization", bearer.as_str())];
    support::send(&mut stream, "POST", "/v1/chat/completions", &headers, body.as_bytes()).unwrap();
    thread::sleep(SECOND / 2);
    drop(stream);
    let started = time::Instant::now();
    fleet.wait_no_memory_held();
    // Generating all 400 tokens would have taken at least two seconds.
    assert!(started.elapsed() < SECOND, "{:?}", started.elapsed());
}
