//! Evidence of whether a process reaches the upstreams of a service over its own links.

use std::{net, time};

use slipturn_core::{
    ids,
    units::MonoTime,
    upstream_reach::{LinkAttempt, ReachChange, UpstreamReach},
};

/// Number of upstreams in the list of each service.
const LISTED: usize = 5;

/// The evidence, with short calls to note attempts at a service's upstreams; times are in milliseconds.
#[derive(Default)]
struct Evidence(UpstreamReach);

impl Evidence {
    fn answer(&mut self, now: u64, service: &str, number: u8, opened: u64) -> Option<ReachChange> {
        let service = service_id(service);
        let (address, opened) = (upstream(number), at(opened));
        self.0.note_answer(at(now), LinkAttempt { service: &service, address, opened })
    }

    fn failure(&mut self, now: u64, service: &str, number: u8, opened: u64) -> Option<ReachChange> {
        self.failure_of(LISTED, now, service, number, opened)
    }

    fn failure_of(
        &mut self,
        listed: usize,
        now: u64,
        service: &str,
        number: u8,
        opened: u64,
    ) -> Option<ReachChange> {
        let service = service_id(service);
        let (address, opened) = (upstream(number), at(opened));
        self.0.note_failure(at(now), LinkAttempt { service: &service, address, opened }, listed)
    }

    fn is_lost(&self, service: &str) -> bool {
        self.0.lost_since(&service_id(service)).is_some()
    }
}

fn service_id(name: &str) -> ids::ServiceId {
    name.parse().expect("a valid name")
}

fn upstream(number: u8) -> net::SocketAddrV4 {
    net::SocketAddrV4::new(net::Ipv4Addr::new(10, 0, 0, number), 80)
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_span(time::Duration::from_millis(millis))
}

#[test]
fn a_service_is_lost_when_connections_to_two_upstreams_fail_and_until_one_answers() {
    let mut evidence = Evidence::default();
    assert_eq!(evidence.failure(10, "m", 1, 9), None);
    assert_eq!(evidence.failure(20, "m", 2, 19), Some(ReachChange::Lost));
    assert!(evidence.is_lost("m"));
    assert_eq!(evidence.failure(30, "m", 3, 29), None);
    let restored = ReachChange::Restored(time::Duration::from_millis(980));
    assert_eq!(evidence.answer(1_000, "m", 3, 900), Some(restored));
    assert!(!evidence.is_lost("m"));
}

#[test]
fn an_answer_of_another_service_does_not_restore_a_lost_one() {
    let mut evidence = Evidence::default();
    evidence.failure(10, "m", 1, 9);
    assert_eq!(evidence.answer(15, "p", 9, 14), None);
    assert_eq!(evidence.failure(20, "m", 2, 19), Some(ReachChange::Lost));
    assert_eq!(evidence.answer(30, "p", 9, 29), None);
    assert!(evidence.is_lost("m") && !evidence.is_lost("p"));
}

#[test]
fn failures_of_one_upstream_do_not_make_its_service_lost() {
    let mut evidence = Evidence::default();
    for millis in 1..50 {
        assert_eq!(evidence.failure(millis, "m", 1, millis - 1), None);
    }
}

#[test]
fn the_failure_of_the_only_listed_upstream_makes_its_service_lost() {
    let mut evidence = Evidence::default();
    assert_eq!(evidence.failure_of(1, 1, "m", 1, 0), Some(ReachChange::Lost));
}

#[test]
fn an_answer_on_a_connection_older_than_the_failures_does_not_restore_a_service() {
    let mut evidence = Evidence::default();
    evidence.answer(5, "m", 1, 1);
    evidence.failure(10, "m", 1, 9);
    evidence.failure(20, "m", 2, 19);
    assert_eq!(evidence.answer(30, "m", 3, 1), None);
    assert!(evidence.is_lost("m"));
}

#[test]
fn a_failure_is_no_evidence_once_a_younger_connection_has_answered() {
    let mut evidence = Evidence::default();
    evidence.failure(10, "m", 1, 9);
    evidence.answer(15, "m", 3, 12);
    assert_eq!(evidence.failure(20, "m", 2, 11), None);
    assert_eq!(evidence.failure(25, "m", 4, 24), None);
    assert_eq!(evidence.failure(30, "m", 5, 29), Some(ReachChange::Lost));
}

#[test]
fn failures_that_are_far_apart_do_not_add_up() {
    let mut evidence = Evidence::default();
    evidence.failure(10, "m", 1, 9);
    assert_eq!(evidence.failure(11_000, "m", 2, 10_999), None);
}
