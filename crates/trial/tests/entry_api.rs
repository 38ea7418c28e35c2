//! The HTTP interface of an entry: model requests, decision records, and each kind of refusal.

#![allow(clippy::unwrap_used)]

mod support;

use std::{io, io::Write as _, thread, time};

use serde_json::json;
use support::{Fleet, FleetConfig};

/// Returns the caller address of the first instance.
fn entry_address(fleet: &Fleet) -> std::net::SocketAddr {
    fleet.instances[0].entry.address
}

#[test]
fn answers_models_and_decision_records_are_served() {
    let fleet = Fleet::start(&FleetConfig { instances: 2, engines: 2, ..Default::default() });
    let body = support::prompt_body("hello", 500, 20, true);
    let answer =
        support::complete_with(entry_address(&fleet), &body, &[("x-request-id", "mine-1")])
            .unwrap();
    assert!(support::is_complete_answer(&answer, &body), "{}", answer.text());
    assert_eq!(answer.headers["x-request-id"], "mine-1");
    assert!(answer.text().ends_with("data: [DONE]\n\n"));

    let unstreamed = support::prompt_body("hello", 500, 20, false);
    let unstreamed = support::complete(entry_address(&fleet), &unstreamed).unwrap();
    assert_eq!(unstreamed.status, 200);
    assert!(
        unstreamed.json()["choices"][0]["message"]["content"].as_str().unwrap().contains("-19 ")
    );

    let models = support::get(entry_address(&fleet), "/v1/models").unwrap().json();
    assert_eq!(models["data"][0]["id"], "invitation");

    // Every instance returns the decision record, by slipturn's request id and by the caller's.
    let id = &answer.headers["slipturn-request-id"];
    for instance in &fleet.instances {
        for id in [id.as_str(), "mine-1"] {
            let record = support::wait_until("the decision record is available", || {
                let found =
                    support::get(instance.operators, &format!("/v1/decisions/{id}")).ok()?;
                (found.status == 200).then(|| found.json())
            });
            assert_eq!(record["end"], "answered");
            assert_eq!(record["customer"], "bluebonnet");
            assert!(record["attempts"][0]["reason"].as_str().unwrap().contains("earliest"));
            assert!(record["settings"].as_array().unwrap().iter().any(|row| {
                row["option"] == "time_limit" && row["source"] == "fleet" && row["value"] == "20s"
            }));
        }
    }
    let rows = support::get(fleet.instances[0].operators, "/v1/histograms").unwrap().json();
    let rows = rows.as_array().unwrap();
    assert!(rows.iter().any(|row| row["series"] == "customer/bluebonnet"));
    assert!(rows.iter().any(|row| row["series"] == "class/-/up_to_2k"));
    let path = "/v1/settings?customer=bluebonnet&application=drafts&prompt=10";
    let resolved = support::get(fleet.instances[0].operators, path).unwrap().json();
    assert_eq!(resolved["version"], 1);
    let unknown = support::get(fleet.instances[0].operators, "/v1/decisions/nobody:1:1").unwrap();
    assert_eq!(unknown.status, 404);
}

#[test]
fn connection_serves_several_requests() {
    let fleet = Fleet::start(&FleetConfig::default());
    let stream = support::connect(entry_address(&fleet)).unwrap();
    let mut reader = io::BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    for number in 0..5 {
        let body = support::prompt_body(&format!("turn {number}"), 100, 5, number % 2 == 0);
        let bearer = format!("Bearer {}", support::API_KEY);
        let headers = [("authorization", bearer.as_str())];
        let text = body.to_string();
        support::send(&mut writer, "POST", "/v1/chat/completions", &headers, text.as_bytes())
            .unwrap();
        let answer = support::read_answer(&mut reader).unwrap();
        assert_eq!(answer.status, 200);
    }
}

/// A request as method, path, headers and body, and the expected status and error code.
type RefusalCase<'text> =
    (&'text str, &'text str, Vec<(&'text str, &'text str)>, &'text [u8], u16, &'text str);

#[test]
fn refusals_have_the_expected_code_and_run_nothing() {
    let fleet = Fleet::start(&FleetConfig { services: 1, ..Default::default() });
    let address = entry_address(&fleet);
    let body = support::prompt_body("x", 10, 5, true);
    let text = body.to_string();
    let bearer = ("authorization", "Bearer key-1");
    let path = "/v1/chat/completions";
    let huge = vec![b' '; 3 << 20];
    let long =
        support::prompt_body("x", 10, 5, true).to_string().replace("abc ", &"abc ".repeat(300_000));
    let other_model = text.replace("\"invitation\"", "\"poetry\"");
    let cases: Vec<RefusalCase<'_>> = vec![
        ("POST", path, vec![bearer], b"{", 400, "bad_request"),
        ("POST", path, vec![bearer], b"{\"model\":\"invitation\"}", 400, "bad_request"),
        (
            "POST",
            path,
            vec![bearer, ("slipturn-timeout-ms", "soon")],
            text.as_bytes(),
            400,
            "bad_request",
        ),
        ("POST", path, vec![], text.as_bytes(), 401, "unauthorized"),
        (
            "POST",
            path,
            vec![("authorization", "Bearer key-2")],
            text.as_bytes(),
            401,
            "unauthorized",
        ),
        ("GET", "/nowhere", vec![bearer], b"", 404, "not_found"),
        ("POST", path, vec![bearer], other_model.as_bytes(), 404, "not_found"),
        ("GET", "/services/weather/today", vec![bearer], b"", 404, "not_found"),
        ("POST", path, vec![bearer], &huge, 413, "too_large"),
        ("POST", path, vec![bearer], long.as_bytes(), 413, "too_large"),
    ];
    for (method, path, headers, body, status, code) in cases {
        let answer = support::request(address, method, path, &headers, body).unwrap();
        assert_eq!((answer.status, answer.code().as_str()), (status, code), "{}", answer.text());
        assert_eq!(answer.ran(), "no", "{}", answer.text());
    }
    let started = support::counts(fleet.engines[0].address)["started"].clone();
    assert_eq!(started, json!({}));
}

#[test]
fn request_with_two_body_lengths_is_refused() {
    let fleet = Fleet::start(&FleetConfig::default());
    let mut stream = support::connect(entry_address(&fleet)).unwrap();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let answer = support::read_answer(&mut io::BufReader::new(stream)).unwrap();
    assert_eq!((answer.status, answer.code().as_str()), (400, "bad_request"));
}

#[test]
fn incomplete_body_times_out() {
    let fleet = Fleet::start(&FleetConfig::default());
    let mut stream = support::connect(entry_address(&fleet)).unwrap();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 400\r\n\r\n{";
    stream.write_all(head.as_bytes()).unwrap();
    let answer = support::read_answer(&mut io::BufReader::new(stream)).unwrap();
    assert_eq!((answer.status, answer.code().as_str()), (408, "body_timeout"));
}

#[test]
fn total_size_of_held_bodies_is_bounded() {
    let fleet = Fleet::start(&FleetConfig::default());
    // Two incomplete bodies of 2 MiB fill the limit of 4 MiB for held bodies.
    let incomplete_requests: Vec<_> = (0..2)
        .map(|_| {
            let mut stream = support::connect(entry_address(&fleet)).unwrap();
            let head =
                "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 2097152\r\n\r\n{";
            stream.write_all(head.as_bytes()).unwrap();
            stream
        })
        .collect();
    thread::sleep(time::Duration::from_millis(200));
    let body = support::prompt_body("x", 10, 5, true);
    let answer = support::complete(entry_address(&fleet), &body).unwrap();
    assert_eq!((answer.status, answer.code().as_str()), (503, "out_of_memory"));
    assert!(answer.headers.contains_key("retry-after"));
    drop(incomplete_requests);
    support::wait_until("the memory of the bodies is free again", || {
        let answer = support::complete(entry_address(&fleet), &body).ok()?;
        (answer.status == 200).then_some(())
    });
}

#[test]
fn customer_over_budget_gets_a_retry_time() {
    let defaults =
        "{time_limit: 20s, max_output_tokens: 400, token_rate: 100.0, token_burst: 1000}";
    let fleet = Fleet::start(&FleetConfig { defaults, ..Default::default() });
    let body = support::prompt_body("x", 500, 100, true);
    assert_eq!(support::complete(entry_address(&fleet), &body).unwrap().status, 200);
    let answer = support::complete(entry_address(&fleet), &body).unwrap();
    assert_eq!((answer.status, answer.code().as_str()), (429, "over_budget"));
    let retry_delay = answer.json()["error"]["retry_after_ms"].as_u64().unwrap();
    assert!((4_000..16_000).contains(&retry_delay), "{retry_delay}");
}

#[test]
fn request_that_cannot_meet_its_time_limit_is_refused_at_once() {
    let fleet = Fleet::start(&FleetConfig::default());
    let body = support::prompt_body("x", 500, 400, true);
    let started = time::Instant::now();
    let limit = [("slipturn-timeout-ms", "3000")];
    let answer = support::complete_with(entry_address(&fleet), &body, &limit).unwrap();
    assert_eq!((answer.status, answer.code().as_str()), (503, "overloaded"), "{}", answer.text());
    assert_eq!(answer.ran(), "no");
    // The bound is shorter than the time limit of 3 s, for which a refusal must not wait.
    assert!(started.elapsed() < time::Duration::from_secs(2));
    // Callers can shorten the configured time limit, but not extend it.
    let answer =
        support::complete_with(entry_address(&fleet), &body, &[("slipturn-timeout-ms", "900000")]);
    let id = answer.unwrap().headers["slipturn-request-id"].clone();
    let record = support::wait_until("the decision record is available", || {
        let found =
            support::get(fleet.instances[0].operators, &format!("/v1/decisions/{id}")).ok()?;
        (found.status == 200).then(|| found.json())
    });
    let rows = record["settings"].as_array().unwrap();
    assert!(rows.iter().any(|row| row["option"] == "time_limit" && row["value"] == "20s"));
}

#[test]
fn prompt_larger_than_one_engine_is_served_by_a_group() {
    let fleet = Fleet::start(&FleetConfig {
        engines: 9,
        fleet: "{orphan_grace: 3s, group_limit: 1}",
        ..Default::default()
    });
    // Each engine has memory for 100,000 tokens, of which some headroom stays free, so a prompt of
    // 220,000 tokens needs three engines.
    let body = support::prompt_body("archive", 220_000, 10, true);
    let answer = support::complete(entry_address(&fleet), &body).unwrap();
    assert!(support::is_complete_answer(&answer, &body), "{}", answer.text());
    // The memory of all engines of the group must be released when the answer ends, not later by a
    // scheduler that cancels orphaned attempts.
    let ended = time::Instant::now();
    fleet.wait_no_memory_held();
    assert!(ended.elapsed() < time::Duration::from_secs(1), "{:?}", ended.elapsed());
    let peaks = fleet
        .engines
        .iter()
        .map(|engine| support::counts(engine.address)["peak_held"].as_u64().unwrap());
    assert_eq!(peaks.filter(|peak| *peak > 70_000).count(), 3);
}

#[test]
fn processes_use_epoll_and_start_no_children() {
    let fleet = Fleet::start(&FleetConfig::default());
    let body = support::prompt_body("x", 10, 5, true);
    assert_eq!(support::complete(entry_address(&fleet), &body).unwrap().status, 200);
    for process in [&fleet.instances[0].entry, &fleet.instances[0].scheduler] {
        let files = std::fs::read_dir(format!("/proc/{}/fd", process.id())).unwrap();
        let targets: Vec<_> = files
            .filter_map(|file| std::fs::read_link(file.unwrap().path()).ok())
            .map(|target| target.display().to_string())
            .collect();
        assert!(targets.iter().any(|target| target.contains("eventpoll")), "{targets:?}");
        assert!(!targets.iter().any(|target| target.contains("io_uring")), "{targets:?}");
        let tasks = std::fs::read_dir(format!("/proc/{}/task", process.id())).unwrap();
        for task in tasks {
            let children = std::fs::read_to_string(task.unwrap().path().join("children"));
            assert_eq!(children.unwrap_or_default(), "");
        }
    }
}

#[test]
fn process_fails_if_its_address_is_in_use() {
    let mut fleet = Fleet::start(&FleetConfig::default());
    fleet.start_instance(0);
    let mut second = fleet.instances.pop().unwrap();
    for process in [&mut second.entry, &mut second.scheduler] {
        assert_eq!(process.wait().code(), Some(1));
    }
    let body = support::prompt_body("x", 10, 5, true);
    assert_eq!(support::complete(entry_address(&fleet), &body).unwrap().status, 200);
}
