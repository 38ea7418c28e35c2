//! Planned removal of engines and stops of processes: leaving engines get no new requests, and no
//! request fails.

#![allow(clippy::unwrap_used)]

mod support;

use std::{
    sync::{Arc, atomic},
    thread, time,
};

use serde_json::json;
use support::{Fleet, FleetConfig};

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Threads that send requests one after the other until they are stopped, and collect failures.
struct Callers {
    stop_requested: Arc<atomic::AtomicBool>,
    /// Entry addresses, and whether each receives new connections. Simulates the load balancer of
    /// the platform, which skips instances that are not ready.
    balancer: Arc<Vec<(std::net::SocketAddr, atomic::AtomicBool)>>,
    /// Each thread returns the number of complete answers, and the texts of all other answers and
    /// errors.
    threads: Vec<thread::JoinHandle<(usize, Vec<String>)>>,
}

impl Callers {
    fn start(fleet: &Fleet, count: usize) -> Self {
        let stop_requested = Arc::new(atomic::AtomicBool::new(false));
        let row = |instance: &support::Instance| (instance.entry.address, true.into());
        let balancer = Arc::new(fleet.instances.iter().map(row).collect::<Vec<_>>());
        let threads = (0..count)
            .map(|caller| {
                let (stop_requested, balancer) =
                    (Arc::clone(&stop_requested), Arc::clone(&balancer));
                thread::spawn(move || send_requests(&stop_requested, &balancer, caller))
            })
            .collect();
        Self { stop_requested, balancer, threads }
    }

    /// Stops the callers. Returns the number of complete answers, and the texts of all other
    /// answers and errors.
    fn finish(self) -> (usize, Vec<String>) {
        self.stop_requested.store(true, atomic::Ordering::SeqCst);
        let mut totals = (0, Vec::new());
        for thread in self.threads {
            let (complete_count, failures) = thread.join().unwrap();
            totals.0 += complete_count;
            totals.1.extend(failures);
        }
        totals
    }
}

/// Sends requests to the instances in turn, except to those that the balancer skips, until a stop
/// is requested. Returns the number of complete answers, and the texts of all other answers and
/// errors.
fn send_requests(
    stop_requested: &atomic::AtomicBool,
    balancer: &[(std::net::SocketAddr, atomic::AtomicBool)],
    caller: usize,
) -> (usize, Vec<String>) {
    let (mut complete_count, mut failures, mut turn) = (0, Vec::new(), caller);
    while !stop_requested.load(atomic::Ordering::SeqCst) {
        turn += 1;
        let (address, in_pool) = &balancer[turn % balancer.len()];
        if !in_pool.load(atomic::Ordering::SeqCst) {
            continue;
        }
        let body = support::prompt_body(&format!("{caller}/{turn}"), 200, 30, true);
        match support::connect(*address).and_then(|stream| send_request(stream, &body)) {
            Ok(answer) if support::is_complete_answer(&answer, &body) => complete_count += 1,
            Ok(answer) => failures.push(answer.text()),
            Err(error) => failures.push(error.to_string()),
        }
    }
    (complete_count, failures)
}

fn send_request(
    mut stream: std::net::TcpStream,
    body: &serde_json::Value,
) -> std::io::Result<support::Answer> {
    let bearer = format!("Bearer {}", support::API_KEY);
    let headers = [("authorization", bearer.as_str())];
    let text = body.to_string();
    support::send(&mut stream, "POST", "/v1/chat/completions", &headers, text.as_bytes())?;
    support::read_answer(&mut std::io::BufReader::new(stream))
}

/// Returns the number of requests that an engine has received, including those that it refused.
fn count_received(fleet: &Fleet, engine: usize) -> usize {
    let counts = support::counts(fleet.engines[engine].address);
    let refused = counts["refused"].as_u64().unwrap();
    counts["started"].as_object().unwrap().len() + usize::try_from(refused).unwrap()
}

/// Checks that engine 0 gets no more requests from 3 s after `start_leaving`, and that no request
/// fails.
fn assert_engine_drains(mut fleet: Fleet, start_leaving: impl FnOnce(&mut Fleet)) {
    let callers = Callers::start(&fleet, 6);
    thread::sleep(SECOND);
    assert!(count_received(&fleet, 0) > 0);
    start_leaving(&mut fleet);
    thread::sleep(3 * SECOND);
    let before = count_received(&fleet, 0);
    thread::sleep(SECOND);
    assert_eq!(count_received(&fleet, 0), before);
    let (complete_count, failures) = callers.finish();
    assert!(complete_count > 50, "{complete_count}");
    assert!(failures.is_empty(), "{failures:?}");
}

#[test]
fn engine_marked_leaving_in_the_list_gets_no_new_requests() {
    let fleet = Fleet::start(&FleetConfig { instances: 3, engines: 3, ..Default::default() });
    assert_engine_drains(fleet, |fleet| fleet.mark_leaving("engine-0"));
}

#[test]
fn engine_that_reports_draining_gets_no_new_requests() {
    let fleet = Fleet::start(&FleetConfig { instances: 3, engines: 3, ..Default::default() });
    assert_engine_drains(fleet, |fleet| {
        support::set_faults(fleet.engines[0].address, &json!({ "draining": true }));
    });
}

#[test]
fn engine_that_refuses_every_request_fails_no_call() {
    let fleet = Fleet::start(&FleetConfig { instances: 2, engines: 3, ..Default::default() });
    support::set_faults(fleet.engines[0].address, &json!({ "refuse": true }));
    let callers = Callers::start(&fleet, 3);
    thread::sleep(2 * SECOND);
    let (complete_count, failures) = callers.finish();
    assert!(complete_count > 20, "{complete_count}");
    assert!(failures.is_empty(), "{failures:?}");
    // For three seconds after a refusal, an entry leaves the engine out of the sample of engines
    // from which it chooses.
    let refused = support::counts(fleet.engines[0].address)["refused"].as_u64().unwrap();
    assert!(refused <= 12, "{refused}");
}

#[test]
fn rolling_restart_fails_no_request() {
    let mut fleet = Fleet::start(&FleetConfig { instances: 6, engines: 3, ..Default::default() });
    let callers = Callers::start(&fleet, 8);
    thread::sleep(SECOND / 2);
    for index in 0..6 {
        let in_pool = &callers.balancer[index].1;
        fleet.instances[index].entry.signal("TERM");
        let operators = fleet.instances[index].operators;
        wait_readiness(operators, 503);
        in_pool.store(false, atomic::Ordering::SeqCst);
        assert_eq!(fleet.instances[index].entry.wait().code(), Some(0), "entry {index}");
        fleet.restart(index, "entry");
        wait_readiness(operators, 200);
        in_pool.store(true, atomic::Ordering::SeqCst);
        fleet.instances[index].scheduler.signal("TERM");
        assert_eq!(fleet.instances[index].scheduler.wait().code(), Some(0), "scheduler {index}");
        fleet.restart(index, "scheduler");
    }
    fleet.wait_ready();
    let (complete_count, failures) = callers.finish();
    assert!(complete_count > 100, "{complete_count}");
    assert!(failures.is_empty(), "{} of {complete_count}: {:?}", failures.len(), failures.first());
}

/// Waits until the readiness check of an instance returns this status.
fn wait_readiness(operators: std::net::SocketAddr, status: u16) {
    support::wait_until("the readiness status changes", || {
        let ready = support::get(operators, "/readyz").ok()?;
        (ready.status == status).then_some(())
    });
}

#[test]
fn stopping_entry_reports_unready_and_finishes_running_answers() {
    let mut fleet = Fleet::start(&FleetConfig::default());
    // The delay is longer than the three seconds for which a stopping entry accepts new
    // connections.
    support::set_faults(fleet.engines[0].address, &json!({ "delay_ms": 5_000 }));
    let address = fleet.instances[0].entry.address;
    let body = support::prompt_body("x", 100, 100, true);
    let request_body = body.clone();
    let caller_thread = thread::spawn(move || support::complete(address, &request_body).unwrap());
    thread::sleep(SECOND / 2);
    fleet.instances[0].entry.signal("TERM");
    wait_readiness(fleet.instances[0].operators, 503);
    let answer = caller_thread.join().unwrap();
    assert!(support::is_complete_answer(&answer, &body), "{}", answer.text());
    assert_eq!(fleet.instances[0].entry.wait().code(), Some(0));
}

#[test]
fn drain_request_stops_the_entry_cleanly() {
    let mut fleet = Fleet::start(&FleetConfig::default());
    let operators = fleet.instances[0].operators;
    let answer = support::request(operators, "POST", "/v1/drain", &[], &[]).unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(fleet.instances[0].entry.wait().code(), Some(0));
}
