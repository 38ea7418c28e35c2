//! The own interface's processes, where connections to upstreams fall silent for good, without a
//! reset, while new ones work.
//!
//! What callers saw: repeatable calls that ended with 504 after their whole time limit, one after
//! the other, though every upstream served. Order of events: connections rested in the pool; all
//! fell silent; each call was written to one of them, and waited for it until its limit; the next
//! one took another of them.
//!
//! Cause: a call waited at a resting connection for as long as it had time, and a silent connection
//! said nothing of others that had rested through the same time.
//!
//! Evidence: six of six such calls at two upstreams ended with 504 after 2.0 s of 2 s each.

#![allow(clippy::unwrap_used)]

mod support;

use std::{sync, thread, time};

use slipturn_platform_standin::proxy;
use support::{Fleet, FleetShape};

/// Far longer than a call takes that meets no silent connection, and shorter than one that does.
const SOON: time::Duration = time::Duration::from_millis(600);
/// Longer than the wait for a silent connection, and shorter than the service's time limit.
const LATE_MS: u64 = 1_400;

/// A fleet whose upstreams are reached through proxies.
struct LinkedFleet {
    fleet: Fleet,
    links: Vec<sync::Arc<proxy::Proxy>>,
}

impl LinkedFleet {
    fn start(shape: &FleetShape) -> Self {
        let fleet = Fleet::start(shape);
        let path = "/v1/documents/list?after=0&wait_ms=0";
        let mut list = support::get(fleet.platform.address, path).unwrap().json();
        let links: Vec<sync::Arc<proxy::Proxy>> = fleet
            .services
            .iter()
            .map(|service| proxy::Proxy::start(support::free_address(), service.address).unwrap())
            .collect();
        for (row, link) in list["upstreams"].as_array_mut().unwrap().iter_mut().zip(&links) {
            row["address"] = serde_json::json!(link.address.to_string());
        }
        list["revision"] = serde_json::json!(50);
        fleet.publish("list", 50, &list.to_string());
        let operators = fleet.instances[0].operators;
        support::until("the list is in force", || {
            let status = support::get(operators, "/v1/status").ok()?.json();
            (status["entry"]["list_revision"] == 50).then_some(())
        });
        Self { fleet, links }
    }

    fn call(&self, method: &str) -> (u16, time::Duration) {
        let began = time::Instant::now();
        let address = self.fleet.instances[0].entry.address;
        let answer = support::call_service(address, method, None).unwrap();
        (answer.status, began.elapsed())
    }

    /// Lets connections to all upstreams rest, more than one each.
    fn rest_connections(&self) {
        for _ in 0..4 {
            thread::scope(|scope| {
                for _ in 0..8 {
                    scope.spawn(|| assert_eq!(self.call("GET").0, 200));
                }
            });
        }
    }

    fn silence(&self) {
        self.links.iter().for_each(|link| link.silence_open_connections());
    }
}

/// A repeatable call over a pooled connection that has fallen silent, with another upstream and new
/// connections that work.
#[test]
fn a_repeatable_call_of_the_own_interface_survives_silent_connections() {
    let linked =
        LinkedFleet::start(&FleetShape { instances: 1, services: 2, ..Default::default() });
    linked.rest_connections();
    linked.silence();
    let ends: Vec<_> = (0..6).map(|_| linked.call("GET")).collect();
    println!("{ends:?}");
    assert!(ends.iter().all(|(status, _)| *status == 200), "{ends:?}");
    // One silence for each upstream; the others that rested with it are not met.
    let late = ends.iter().filter(|(_, spent)| *spent > SOON).count();
    assert!(late <= 2, "{ends:?}");
}

#[test]
fn the_only_upstream_takes_the_call_over_a_new_connection() {
    let linked =
        LinkedFleet::start(&FleetShape { instances: 1, services: 1, ..Default::default() });
    linked.rest_connections();
    linked.silence();
    let ends: Vec<_> = (0..4).map(|_| linked.call("GET")).collect();
    println!("{ends:?}");
    assert!(ends.iter().all(|(status, _)| *status == 200), "{ends:?}");
    let late = ends.iter().filter(|(_, spent)| *spent > SOON).count();
    assert!(late <= 1, "{ends:?}");
}

#[test]
fn a_call_without_an_attempt_left_waits_for_its_late_answer() {
    let defaults = "{time_limit: 20s, max_attempts: 1, max_output_tokens: 400, \
                    token_rate: 1000000000.0, token_burst: 1000000000}";
    let shape = FleetShape { instances: 1, services: 1, defaults, ..Default::default() };
    let linked = LinkedFleet::start(&shape);
    linked.rest_connections();
    let late = serde_json::json!({ "delay_ms": LATE_MS });
    support::set_faults(linked.fleet.services[0].address, &late);
    let (status, spent) = linked.call("GET");
    assert_eq!(status, 200, "after {spent:?}");
}

#[test]
fn a_call_that_must_not_run_twice_takes_no_resting_connection() {
    let linked =
        LinkedFleet::start(&FleetShape { instances: 1, services: 2, ..Default::default() });
    linked.rest_connections();
    linked.silence();
    let ends: Vec<_> = (0..4).map(|_| linked.call("POST")).collect();
    println!("{ends:?}");
    assert!(ends.iter().all(|(status, spent)| *status == 200 && *spent < SOON), "{ends:?}");
}

#[test]
fn a_late_answer_over_a_resting_connection_is_delivered() {
    for services in [1, 2] {
        let linked = LinkedFleet::start(&FleetShape { services, ..Default::default() });
        linked.rest_connections();
        let late = serde_json::json!({ "delay_ms": LATE_MS });
        for service in &linked.fleet.services {
            support::set_faults(service.address, &late);
        }
        let ends: Vec<_> = (0..3).map(|_| linked.call("GET")).collect();
        println!("{services}: {ends:?}");
        assert!(ends.iter().all(|(status, _)| *status == 200), "{ends:?}");
    }
}

/// Calls at once need more connections than the new one behind a silence.
#[test]
fn behind_a_silence_no_call_meets_another_connection_that_rested_with_it() {
    let linked = LinkedFleet::start(&FleetShape { services: 1, ..Default::default() });
    linked.rest_connections();
    linked.silence();
    assert_eq!(linked.call("GET").0, 200);
    thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                let (status, spent) = linked.call("GET");
                assert!(status == 200 && spent < SOON, "{status} after {spent:?}");
            });
        }
    });
}
