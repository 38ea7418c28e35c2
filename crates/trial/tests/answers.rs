//! Answers from failing engines: a caller gets the complete answer to its own request, or an error.

#![allow(clippy::unwrap_used)]

mod support;

use std::{thread, time};

use serde_json::json;
use support::{Fleet, FleetConfig};

/// Sends a model request to the first instance. Returns the answer and the body of the request.
fn send_request(fleet: &Fleet, stream: bool) -> (support::Answer, serde_json::Value) {
    let body = support::prompt_body("x", 300, 40, stream);
    (support::complete(fleet.instances[0].entry.address, &body).unwrap(), body)
}

#[test]
fn answer_of_another_attempt_is_not_delivered() {
    let fleet = Fleet::start(&FleetConfig::default());
    support::set_faults(fleet.engines[0].address, &json!({ "wrong_attempt": true }));
    for stream in [true, false] {
        let (answer, _) = send_request(&fleet, stream);
        assert_eq!(answer.code(), "upstream_failed", "{}", answer.text());
        assert_eq!(answer.ran(), "unknown");
    }
}

#[test]
fn truncated_answer_is_not_reported_as_complete() {
    let fleet = Fleet::start(&FleetConfig::default());
    for plan in [json!({ "short_after": 3 }), json!({ "cut_after": 3 })] {
        support::set_faults(fleet.engines[0].address, &plan);
        let (answer, body) = send_request(&fleet, true);
        assert!(!support::is_complete_answer(&answer, &body));
        assert!(answer.text().contains("event: error"), "{plan}: {}", answer.text());
        assert!(!answer.text().contains("[DONE]"));
    }
    support::set_faults(fleet.engines[0].address, &json!({ "cut_after": 1 }));
    let (answer, _) = send_request(&fleet, false);
    assert_eq!(answer.code(), "upstream_failed");
}

#[test]
fn concurrent_answers_are_not_mixed_up_when_callers_disconnect() {
    let fleet = Fleet::start(&FleetConfig { instances: 2, engines: 2, ..Default::default() });
    let callers: Vec<_> = (0..16)
        .map(|caller| {
            let address = fleet.instances[caller % 2].entry.address;
            thread::spawn(move || {
                for number in 0..6 {
                    let body = support::prompt_body(&format!("{caller}/{number}"), 100, 30, true);
                    if number % 3 == 1 {
                        disconnect_early(address, &body);
                        continue;
                    }
                    let answer = support::complete(address, &body).unwrap();
                    assert!(support::is_complete_answer(&answer, &body), "{}", answer.text());
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller_thread| caller_thread.join().unwrap());
    fleet.wait_no_memory_held();
}

/// Sends a request and closes the connection 40 ms later, before the answer can be complete.
fn disconnect_early(address: std::net::SocketAddr, body: &serde_json::Value) {
    let mut stream = support::connect(address).unwrap();
    let bearer = format!("Bearer {}", support::API_KEY);
    let headers = [("authorization", bearer.as_str())];
    let text = body.to_string();
    support::send(&mut stream, "POST", "/v1/chat/completions", &headers, text.as_bytes()).unwrap();
    thread::sleep(time::Duration::from_millis(40));
}
