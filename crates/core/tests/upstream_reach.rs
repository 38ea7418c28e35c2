//! Evidence of whether a process reaches the upstreams of a service over its own links.

use std::{net, time};

use slipturn_core::{
    ids,
    units::MonoTime,
    upstream_reach::{LinkAttempt, LinkPath, ListedAddresses, ReachChange, UpstreamReach},
};

/// Number of upstreams in the list of each service.
const LISTED: usize = 4;

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

    fn path(&self, now: u64, service: &str, number: u8) -> LinkPath {
        self.0.path(at(now), &service_id(service), upstream(number))
    }

    fn relay_failure(&mut self, now: u64, service: &str, number: u8, refused: bool) {
        self.0.note_relay_failure(at(now), &service_id(service), upstream(number), refused);
    }

    /// Returns the number of probes that become due up to `until`, checked every 10 ms.
    fn probes(&mut self, from: u64, until: u64) -> usize {
        (from..until).step_by(10).filter(|now| self.0.take_probe(at(*now)).is_some()).count()
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
fn two_upstreams_must_fail_before_their_service_is_lost_if_it_has_as_many() {
    for (listed, needed) in [(1, 1), (2, 2), (3, 2), (4, 2), (7, 2), (12, 2), (18, 2), (997, 2)] {
        let mut evidence = Evidence::default();
        let lost: Vec<_> = (1..=needed)
            .map(|number| evidence.failure_of(listed, 20, "m", number, 10).is_some())
            .collect();
        assert_eq!(lost.iter().position(|lost| *lost), Some(usize::from(needed) - 1), "{listed}");
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

#[test]
fn connections_to_an_upstream_are_relayed_after_two_failures_and_until_it_answers() {
    let mut evidence = Evidence::default();
    evidence.answer(1, "m", 2, 0);
    evidence.failure(10, "m", 1, 9);
    assert_eq!(evidence.path(11, "m", 1), LinkPath::Direct);
    evidence.answer(12, "m", 2, 11);
    evidence.failure(20, "m", 1, 19);
    assert_eq!(evidence.path(21, "m", 1), LinkPath::Relayed);
    assert_eq!(evidence.path(21, "m", 2), LinkPath::Direct);
    evidence.answer(1_000, "m", 1, 900);
    assert_eq!(evidence.path(1_001, "m", 1), LinkPath::Direct);
}

#[test]
fn connections_to_all_upstreams_of_a_lost_service_are_relayed() {
    let mut evidence = Evidence::default();
    evidence.failure(10, "m", 1, 9);
    evidence.failure(20, "m", 2, 19);
    assert!((1..=4).all(|number| evidence.path(21, "m", number) == LinkPath::Relayed));
    assert_eq!(evidence.path(21, "p", 9), LinkPath::Direct);
    evidence.answer(1_000, "m", 1, 900);
    assert_eq!(evidence.path(1_001, "m", 4), LinkPath::Direct);
}

#[test]
fn an_old_connection_that_lives_on_does_not_end_the_relaying() {
    let mut evidence = Evidence::default();
    evidence.failure(10, "m", 1, 9);
    evidence.failure(20, "m", 1, 19);
    evidence.answer(30, "m", 1, 5);
    assert_eq!(evidence.path(31, "m", 1), LinkPath::Relayed);
}

#[test]
fn an_upstream_that_a_relay_does_not_reach_either_is_tried_directly_for_a_while() {
    let mut evidence = Evidence::default();
    evidence.failure(10, "m", 1, 9);
    evidence.relay_failure(12, "m", 1, true);
    assert_eq!(evidence.path(500, "m", 1), LinkPath::DirectOnly);
    assert!(evidence.0.relay_refused(&service_id("m"), upstream(1)));
    assert_eq!(evidence.path(1_100, "m", 1), LinkPath::Direct);
    evidence.failure(1_200, "m", 2, 1_199);
    assert!(!evidence.is_lost("m"), "the first failure was the upstream's");
}

#[test]
fn a_relayed_link_is_probed_ever_more_rarely_up_to_every_two_seconds() {
    let mut evidence = Evidence::default();
    evidence.failure(10, "m", 1, 9);
    evidence.failure(20, "m", 1, 19);
    assert_eq!(evidence.probes(20, 510), 0);
    assert_eq!(evidence.probes(510, 600), 1);
    assert_eq!(evidence.probes(600, 1_500), 0);
    assert_eq!(evidence.probes(1_500, 1_600), 1);
    assert_eq!(evidence.probes(10_000, 30_000), 10);
    evidence.answer(30_010, "m", 1, 30_000);
    assert_eq!(evidence.probes(30_010, 60_000), 0);
}

#[test]
fn the_other_links_of_a_restored_service_are_probed_at_once() {
    let mut evidence = Evidence::default();
    for number in 1..=4 {
        evidence.failure(10, "m", number, 9);
        evidence.failure(20, "m", number, 19);
    }
    assert!(evidence.probes(20, 3_000) >= 14, "the service is probed every 200 ms");
    evidence.answer(3_010, "m", 1, 3_000);
    assert_eq!(evidence.probes(3_010, 3_050), 3);
}

#[test]
fn a_process_is_reliable_only_while_it_receives_answers() {
    let mut evidence = Evidence::default();
    let is_reliable = |evidence: &Evidence, now| evidence.0.is_reliable(at(now), &service_id("m"));
    assert!(!is_reliable(&evidence, 0));
    evidence.answer(10, "m", 3, 5);
    assert!(is_reliable(&evidence, 500));
    assert!(!is_reliable(&evidence, 510));
    evidence.answer(4_000, "m", 3, 3_990);
    evidence.failure(4_010, "m", 1, 4_009);
    evidence.failure(4_020, "m", 2, 4_019);
    assert!(!is_reliable(&evidence, 4_021));
}

#[test]
fn a_service_that_is_no_longer_listed_does_not_stay_unreachable() {
    let mut evidence = Evidence::default();
    for service in ["m", "p"] {
        evidence.failure(10, service, 1, 9);
        evidence.failure(20, service, 2, 19);
    }
    let listed = ListedAddresses::from([(service_id("m"), [upstream(2)].into())]);
    evidence.0.retain(&listed);
    assert!(evidence.is_lost("m") && !evidence.is_lost("p"));
    evidence.0.retain(&ListedAddresses::new());
    assert!(evidence.0.is_empty());
}
