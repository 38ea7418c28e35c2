//! Service calls whose pooled upstream connections have gone silent permanently, without a reset,
//! while new connections work.
//!
//! Guards against repeatable calls that end with 504 after their whole time limit although every
//! upstream works. A call was sent on a silent pooled connection and waited for it until its limit;
//! the next call took another silent connection from the pool, because the silence of one
//! connection didn't exclude the others that had been idle at the same time. With two upstreams,
//! six of six calls failed, each after 2.0 s of its 2 s.

#![allow(clippy::unwrap_used)]

mod support;

use std::{sync, thread, time};

use slipturn_platform_standin::proxy;
use support::{Fleet, FleetConfig};

/// Limit for the duration of a call that doesn't wait for a silent connection. It is far longer
/// than a call on a working connection takes, and shorter than a call that first waits for a silent
/// one.
const FAST_CALL_LIMIT: time::Duration = time::Duration::from_millis(600);
/// Delay of slow answers, in milliseconds. It is longer than the wait for a silent connection, and
/// shorter than the service's time limit of 2 s.
const SLOW_ANSWER_MS: u64 = 1_400;

/// A fleet that reaches its upstreams through proxies.
struct ProxiedFleet {
    fleet: Fleet,
    proxies: Vec<sync::Arc<proxy::Proxy>>,
}

impl ProxiedFleet {
    fn start(config: &FleetConfig) -> Self {
        let fleet = Fleet::start(config);
        let path = "/v1/documents/list?after=0&wait_ms=0";
        let mut list = support::get(fleet.platform.address, path).unwrap().json();
        let proxies: Vec<sync::Arc<proxy::Proxy>> = fleet
            .services
            .iter()
            .map(|service| {
                proxy::Proxy::start(support::free_address(), service.address, &sync::Arc::default())
                    .unwrap()
            })
            .collect();
        for (row, proxy) in list["upstreams"].as_array_mut().unwrap().iter_mut().zip(&proxies) {
            row["address"] = serde_json::json!(proxy.address.to_string());
        }
        list["revision"] = serde_json::json!(50);
        fleet.publish("list", 50, &list.to_string());
        let operators = fleet.instances[0].operators;
        support::wait_until("the list with the proxies is in effect", || {
            let status = support::get(operators, "/v1/status").ok()?.json();
            (status["entry"]["list_revision"] == 50).then_some(())
        });
        Self { fleet, proxies }
    }

    /// Calls the service without an idempotency key. Returns the status and the time taken.
    fn call(&self, method: &str) -> (u16, time::Duration) {
        let started = time::Instant::now();
        let address = self.fleet.instances[0].entry.address;
        let answer = support::call_service(address, method, None).unwrap();
        (answer.status, started.elapsed())
    }

    /// Fills the pool with several idle connections to each upstream, by parallel calls.
    fn fill_connection_pool(&self) {
        for _ in 0..4 {
            thread::scope(|scope| {
                for _ in 0..8 {
                    scope.spawn(|| assert_eq!(self.call("GET").0, 200));
                }
            });
        }
    }

    /// Silences all open connections to the upstreams. New connections work.
    fn silence_connections(&self) {
        self.proxies.iter().for_each(|proxy| proxy.silence_open_connections());
    }
}

/// Another upstream and new connections work, so every call must succeed, and only the first one on
/// each upstream may be slow.
#[test]
fn repeatable_calls_succeed_when_pooled_connections_go_silent() {
    let proxied =
        ProxiedFleet::start(&FleetConfig { instances: 1, services: 2, ..Default::default() });
    proxied.fill_connection_pool();
    proxied.silence_connections();
    let results: Vec<_> = (0..6).map(|_| proxied.call("GET")).collect();
    println!("{results:?}");
    assert!(results.iter().all(|(status, _)| *status == 200), "{results:?}");
    // One call for each upstream may wait for a silent connection. The other connections that were
    // idle at the same time must not be used.
    let slow = results.iter().filter(|(_, duration)| *duration > FAST_CALL_LIMIT).count();
    assert!(slow <= 2, "{results:?}");
}

#[test]
fn call_to_the_only_upstream_moves_to_a_new_connection() {
    let proxied =
        ProxiedFleet::start(&FleetConfig { instances: 1, services: 1, ..Default::default() });
    proxied.fill_connection_pool();
    proxied.silence_connections();
    let results: Vec<_> = (0..4).map(|_| proxied.call("GET")).collect();
    println!("{results:?}");
    assert!(results.iter().all(|(status, _)| *status == 200), "{results:?}");
    let slow = results.iter().filter(|(_, duration)| *duration > FAST_CALL_LIMIT).count();
    assert!(slow <= 1, "{results:?}");
}

#[test]
fn call_without_retries_waits_for_a_late_answer() {
    let defaults = "{time_limit: 20s, max_attempts: 1, max_output_tokens: 400, \
                    token_rate: 1000000000.0, token_burst: 1000000000}";
    let config = FleetConfig { instances: 1, services: 1, defaults, ..Default::default() };
    let proxied = ProxiedFleet::start(&config);
    proxied.fill_connection_pool();
    let slow = serde_json::json!({ "delay_ms": SLOW_ANSWER_MS });
    support::set_faults(proxied.fleet.services[0].address, &slow);
    let (status, duration) = proxied.call("GET");
    assert_eq!(status, 200, "after {duration:?}");
}

#[test]
fn non_repeatable_call_uses_no_pooled_connection() {
    let proxied =
        ProxiedFleet::start(&FleetConfig { instances: 1, services: 2, ..Default::default() });
    proxied.fill_connection_pool();
    proxied.silence_connections();
    let results: Vec<_> = (0..4).map(|_| proxied.call("POST")).collect();
    println!("{results:?}");
    assert!(
        results.iter().all(|(status, duration)| *status == 200 && *duration < FAST_CALL_LIMIT),
        "{results:?}"
    );
}

#[test]
fn late_answer_on_a_pooled_connection_is_delivered() {
    for services in [1, 2] {
        let proxied = ProxiedFleet::start(&FleetConfig { services, ..Default::default() });
        proxied.fill_connection_pool();
        let slow = serde_json::json!({ "delay_ms": SLOW_ANSWER_MS });
        for service in &proxied.fleet.services {
            support::set_faults(service.address, &slow);
        }
        let results: Vec<_> = (0..3).map(|_| proxied.call("GET")).collect();
        println!("{services}: {results:?}");
        assert!(results.iter().all(|(status, _)| *status == 200), "{results:?}");
    }
}

/// Guards against parallel calls that take silent connections from the pool: they need more
/// connections than the single one that the first call opened after it had found the silence.
#[test]
fn calls_avoid_connections_pooled_before_a_silence() {
    let proxied = ProxiedFleet::start(&FleetConfig { services: 1, ..Default::default() });
    proxied.fill_connection_pool();
    proxied.silence_connections();
    assert_eq!(proxied.call("GET").0, 200);
    thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                let (status, duration) = proxied.call("GET");
                assert!(status == 200 && duration < FAST_CALL_LIMIT, "{status} after {duration:?}");
            });
        }
    });
}
