//! What leaves gets no new work and loses none; a planned stop cuts nothing.

#![allow(clippy::unwrap_used)]

mod support;

use std::{
    sync::{Arc, atomic},
    thread, time,
};

use serde_json::json;
use support::{Fleet, FleetShape};

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Callers that ask without pause until they are told to stop; they count what is not whole.
struct Callers {
    stop: Arc<atomic::AtomicBool>,
    /// What the platform's balancer does: an instance that is not ready gets no new connections.
    rotation: Arc<Vec<(std::net::SocketAddr, atomic::AtomicBool)>>,
    threads: Vec<thread::JoinHandle<(usize, Vec<String>)>>,
}

impl Callers {
    fn start(fleet: &Fleet, count: usize) -> Self {
        let stop = Arc::new(atomic::AtomicBool::new(false));
        let in_rotation = |one: &support::Instance| (one.entry.address, true.into());
        let rotation = Arc::new(fleet.instances.iter().map(in_rotation).collect::<Vec<_>>());
        let threads = (0..count)
            .map(|caller| {
                let (stop, rotation) = (Arc::clone(&stop), Arc::clone(&rotation));
                thread::spawn(move || call_until(&stop, &rotation, caller))
            })
            .collect();
        Self { stop, rotation, threads }
    }

    /// Whole answers, and what the others were.
    fn finish(self) -> (usize, Vec<String>) {
        self.stop.store(true, atomic::Ordering::SeqCst);
        let mut all = (0, Vec::new());
        for thread in self.threads {
            let (whole, others) = thread.join().unwrap();
            all.0 += whole;
            all.1.extend(others);
        }
        all
    }
}

/// Asks one instance after the other, those in rotation only.
fn call_until(
    stop: &atomic::AtomicBool,
    rotation: &[(std::net::SocketAddr, atomic::AtomicBool)],
    caller: usize,
) -> (usize, Vec<String>) {
    let (mut whole, mut others, mut turn) = (0, Vec::new(), caller);
    while !stop.load(atomic::Ordering::SeqCst) {
        turn += 1;
        let (address, used) = &rotation[turn % rotation.len()];
        if !used.load(atomic::Ordering::SeqCst) {
            continue;
        }
        let body = support::prompt_body(&format!("{caller}/{turn}"), 200, 30, true);
        match support::connect(*address).and_then(|stream| ask(stream, &body)) {
            Ok(answer) if support::is_whole_answer(&answer, &body) => whole += 1,
            Ok(answer) => others.push(answer.text()),
            Err(error) => others.push(error.to_string()),
        }
    }
    (whole, others)
}

fn ask(
    mut stream: std::net::TcpStream,
    body: &serde_json::Value,
) -> std::io::Result<support::Answer> {
    let bearer = format!("Bearer {}", support::KEY);
    let headers = [("authorization", bearer.as_str())];
    let text = body.to_string();
    support::send(&mut stream, "POST", "/v1/chat/completions", &headers, text.as_bytes())?;
    support::read_answer(&mut std::io::BufReader::new(stream))
}

/// Requests that reached an engine, whether it took or refused them.
fn reached(fleet: &Fleet, engine: usize) -> usize {
    let counts = support::counts(fleet.engines[engine].address);
    let refused = counts["refused"].as_u64().unwrap();
    counts["started"].as_object().unwrap().len() + usize::try_from(refused).unwrap()
}

/// Runs callers, has an engine leave by `leave`, and checks that it gets nothing after 3 s.
fn check_leaving(mut fleet: Fleet, leave: impl FnOnce(&mut Fleet)) {
    let callers = Callers::start(&fleet, 6);
    thread::sleep(SECOND);
    assert!(reached(&fleet, 0) > 0);
    leave(&mut fleet);
    thread::sleep(3 * SECOND);
    let before = reached(&fleet, 0);
    thread::sleep(SECOND);
    assert_eq!(reached(&fleet, 0), before);
    let (whole, others) = callers.finish();
    assert!(whole > 50, "{whole}");
    assert!(others.is_empty(), "{others:?}");
}

#[test]
fn an_engine_leaving_by_the_list_only() {
    let fleet = Fleet::start(&FleetShape { instances: 3, engines: 3, ..Default::default() });
    check_leaving(fleet, |fleet| fleet.list_leaving("engine-0"));
}

#[test]
fn an_engine_leaving_by_its_own_report_and_refusals() {
    let fleet = Fleet::start(&FleetShape { instances: 3, engines: 3, ..Default::default() });
    check_leaving(fleet, |fleet| {
        support::set_faults(fleet.engines[0].address, &json!({ "draining": true }));
    });
}

#[test]
fn an_engine_that_only_refuses_loses_nobody_a_request() {
    let fleet = Fleet::start(&FleetShape { instances: 2, engines: 3, ..Default::default() });
    support::set_faults(fleet.engines[0].address, &json!({ "refuse": true }));
    let callers = Callers::start(&fleet, 3);
    thread::sleep(2 * SECOND);
    let (whole, others) = callers.finish();
    assert!(whole > 20, "{whole}");
    assert!(others.is_empty(), "{others:?}");
    // Each refusal keeps the engine out of an entry's sample for three seconds.
    let refused = support::counts(fleet.engines[0].address)["refused"].as_u64().unwrap();
    assert!(refused <= 12, "{refused}");
}

#[test]
fn stopping_each_process_one_after_the_other_cuts_nothing() {
    let mut fleet = Fleet::start(&FleetShape { instances: 6, engines: 3, ..Default::default() });
    let callers = Callers::start(&fleet, 8);
    thread::sleep(SECOND / 2);
    for index in 0..6 {
        let used = &callers.rotation[index].1;
        fleet.instances[index].entry.signal("TERM");
        let operators = fleet.instances[index].operators;
        wait_ready(operators, 503);
        used.store(false, atomic::Ordering::SeqCst);
        assert_eq!(fleet.instances[index].entry.wait().code(), Some(0), "entry {index}");
        fleet.restart(index, "entry");
        wait_ready(operators, 200);
        used.store(true, atomic::Ordering::SeqCst);
        fleet.instances[index].scheduler.signal("TERM");
        assert_eq!(fleet.instances[index].scheduler.wait().code(), Some(0), "scheduler {index}");
        fleet.restart(index, "scheduler");
    }
    fleet.wait_ready();
    let (whole, others) = callers.finish();
    assert!(whole > 100, "{whole}");
    assert!(others.is_empty(), "{} of {whole}: {:?}", others.len(), others.first());
}

fn wait_ready(operators: std::net::SocketAddr, status: u16) {
    support::until("readiness changes", || {
        let ready = support::get(operators, "/readyz").ok()?;
        (ready.status == status).then_some(())
    });
}

#[test]
fn a_stop_waits_for_a_long_answer_and_is_said_to_the_balancer() {
    let mut fleet = Fleet::start(&FleetShape::default());
    // Longer than new connections are taken after a stop was asked for.
    support::set_faults(fleet.engines[0].address, &json!({ "delay_ms": 5_000 }));
    let address = fleet.instances[0].entry.address;
    let body = support::prompt_body("x", 100, 100, true);
    let asked = body.clone();
    let asking = thread::spawn(move || support::complete(address, &asked).unwrap());
    thread::sleep(SECOND / 2);
    fleet.instances[0].entry.signal("TERM");
    wait_ready(fleet.instances[0].operators, 503);
    let answer = asking.join().unwrap();
    assert!(support::is_whole_answer(&answer, &body), "{}", answer.text());
    assert_eq!(fleet.instances[0].entry.wait().code(), Some(0));
}

#[test]
fn an_operator_s_drain_is_a_planned_stop() {
    let mut fleet = Fleet::start(&FleetShape::default());
    let operators = fleet.instances[0].operators;
    let answer = support::request(operators, "POST", "/v1/drain", &[], &[]).unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(fleet.instances[0].entry.wait().code(), Some(0));
}
