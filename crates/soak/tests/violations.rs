//! Which observations the soak reports as violations, and which disturbances excuse them.

use std::time::{Duration, Instant};

use slipturn_platform_standin::caller::Outcome;
use slipturn_soak::{
    check,
    config_probe::{ConfigProbe, ProbeTarget, Publication},
    evidence::{
        AnnouncedLimit, Disturbance, Evidence, LinkFault, RequestArrival, UpstreamListing,
        UpstreamResponse,
    },
    traffic::SentRequest,
};

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);
const UNKNOWN_ROUTE: Outcome = Outcome::Status(404, None);

/// Returns evidence with two configurations, published at the start and 10 s later.
fn with_publications() -> Evidence {
    let mut evidence = Evidence::new();
    evidence.publications = (0..2)
        .map(|number| Publication {
            route: format!("new{number}"),
            key: format!("turn-{number}"),
            at: evidence.started + SECOND * 10 * number,
        })
        .collect();
    evidence
}

fn add_probe(evidence: &mut Evidence, target: ProbeTarget, at: Duration, outcome: Outcome) {
    let from = evidence.started + at;
    let id = format!("probe-config-0-{}", evidence.probes.len());
    let probe = ConfigProbe { id, instance: 0, target, from, to: from + MILLI, outcome };
    evidence.probes.push(probe);
}

fn record_contact_loss(
    evidence: &mut Evidence,
    instance: Option<u8>,
    from: Duration,
    to: Duration,
) {
    let [from, to] = [from, to].map(|at| evidence.started + at);
    evidence.contact_losses.push(Disturbance { instance, from, to });
}

#[test]
fn a_route_still_unknown_after_the_bound_is_a_violation() {
    for (at, found) in [(12_200, 0), (12_400, 1)] {
        let mut evidence = with_publications();
        add_probe(&mut evidence, ProbeTarget::Route(1), MILLI * at, UNKNOWN_ROUTE);
        assert_eq!(check::violations(&evidence).len(), found, "{at} ms");
    }
}

/// Guards against violations reported for a fault that ended late: a store outage planned for half
/// a second lasted four, as its end waited for an instance to start, and instances were blamed for
/// not knowing a route that they could not have read.
#[test]
fn a_fault_that_ends_late_excuses_until_its_actual_end() {
    for (prolonged, found) in [(false, 1), (true, 0)] {
        let mut evidence = with_publications();
        record_contact_loss(&mut evidence, None, SECOND * 10, SECOND * 11);
        add_probe(&mut evidence, ProbeTarget::Route(1), MILLI * 14_500, UNKNOWN_ROUTE);
        if prolonged {
            let planned = evidence.started + SECOND * 11;
            evidence.extend_to_actual_end(planned, planned + SECOND * 4);
        }
        assert_eq!(check::violations(&evidence).len(), found, "prolonged: {prolonged}");
    }
}

#[test]
fn a_removed_key_still_accepted_after_the_bound_is_a_violation() {
    for (at, outcome, found) in [
        (12_200, Outcome::Good, 0),
        (12_400, Outcome::Good, 1),
        (12_400, Outcome::Status(401, None), 0),
    ] {
        let mut evidence = with_publications();
        add_probe(&mut evidence, ProbeTarget::RemovedKey(0), MILLI * at, outcome);
        assert_eq!(check::violations(&evidence).len(), found, "{at} ms");
    }
}

#[test]
fn only_the_instance_out_of_contact_is_excused() {
    for (instance, found) in [(None, 0), (Some(0), 0), (Some(1), 1)] {
        let mut evidence = with_publications();
        record_contact_loss(&mut evidence, instance, SECOND * 11, SECOND * 14);
        add_probe(&mut evidence, ProbeTarget::Route(1), SECOND * 13, UNKNOWN_ROUTE);
        assert_eq!(check::violations(&evidence).len(), found, "{instance:?}");
    }
}

#[test]
fn only_a_restart_excuses_falling_back_to_an_older_configuration() {
    for (start, found) in [(None, 1), (Some(SECOND * 11), 0)] {
        let mut evidence = with_publications();
        record_contact_loss(&mut evidence, None, Duration::ZERO, SECOND * 60);
        add_probe(&mut evidence, ProbeTarget::Route(1), MILLI * 10_500, Outcome::Good);
        add_probe(&mut evidence, ProbeTarget::Route(1), MILLI * 11_500, UNKNOWN_ROUTE);
        evidence.starts.extend(start.map(|start| (0, evidence.started + start)));
        assert_eq!(check::violations(&evidence).len(), found, "{start:?}");
    }
}

/// Returns evidence with one request, sent to instance 0, that reaches upstream 5 at `at`.
fn with_arrival(at: Duration) -> Evidence {
    let mut evidence = Evidence::new();
    let at = evidence.started + at;
    let outcome = Some(Outcome::Good);
    let id = "1-0-0".to_owned();
    evidence.arrivals.push(RequestArrival { upstream: 5, id: id.clone(), at, ended: at });
    let (from, to) = (at - MILLI, at + MILLI);
    let request =
        SentRequest { id, route: "safe", instance: 0, from, to, closed_idle_since: None, outcome };
    evidence.sent.push(request);
    evidence
}

fn add_listing(evidence: &mut Evidence, upstream: u8, leaving: bool, at: Duration) {
    let at: Instant = evidence.started + at;
    evidence.listings.push(UpstreamListing { upstream, leaving, at });
}

#[test]
fn a_request_at_an_upstream_listed_as_leaving_after_the_bound_is_a_violation() {
    for (at, found) in [(4_900, 0), (7_100, 0), (7_300, 1), (9_100, 0)] {
        let mut evidence = with_arrival(MILLI * at);
        add_listing(&mut evidence, 5, true, SECOND * 5);
        add_listing(&mut evidence, 4, true, SECOND);
        add_listing(&mut evidence, 5, true, SECOND * 6);
        add_listing(&mut evidence, 5, false, SECOND * 9);
        assert_eq!(check::violations(&evidence).len(), found, "{at} ms");
    }
}

#[test]
fn a_link_fault_or_a_loss_of_contact_excuses_a_request_at_a_leaving_upstream() {
    let mut evidence = with_arrival(SECOND * 8);
    add_listing(&mut evidence, 5, true, SECOND * 5);
    record_contact_loss(&mut evidence, Some(0), SECOND * 4, MILLI * 7_500);
    assert_eq!(check::violations(&evidence).len(), 1);

    let mut cut = with_arrival(SECOND * 8);
    add_listing(&mut cut, 5, true, SECOND * 5);
    record_contact_loss(&mut cut, Some(0), SECOND * 7, SECOND * 9);
    assert!(check::violations(&cut).is_empty());

    let [from, to] = [SECOND * 7, SECOND * 9].map(|at| evidence.started + at);
    evidence.link_faults.push(LinkFault { upstream: 5, from, to });
    assert!(check::violations(&evidence).is_empty());
}

#[test]
fn a_request_started_long_after_its_caller_left_is_a_violation() {
    for (left, found) in [(7_500, 0), (7_200, 1)] {
        let mut evidence = with_arrival(SECOND * 8);
        let request = &mut evidence.sent[0];
        request.from = evidence.started + SECOND * 7;
        request.to = evidence.started + MILLI * left;
        request.outcome = None;
        assert_eq!(check::violations(&evidence).len(), found, "left at {left} ms");
    }
}

#[test]
fn work_continued_long_after_the_caller_left_is_a_violation() {
    for (ended, found) in [(8_600, 0), (8_800, 1)] {
        let mut evidence = with_arrival(SECOND * 8);
        evidence.sent[0].outcome = None;
        evidence.sent[0].to = evidence.started + SECOND * 8;
        evidence.arrivals[0].ended = evidence.started + MILLI * ended;
        assert_eq!(check::violations(&evidence).len(), found, "ended at {ended} ms");
    }
}

#[test]
fn an_idle_connection_closed_without_an_outage_is_a_violation() {
    for (kill, found) in [(None, 1), (Some(SECOND * 2), 1), (Some(SECOND * 5), 0)] {
        let mut evidence = with_arrival(SECOND * 8);
        evidence.sent[0].closed_idle_since = Some(evidence.started + SECOND * 4);
        let outage = kill.map(|kill| {
            let from = evidence.started + kill;
            Disturbance { instance: Some(0), from, to: from + SECOND }
        });
        evidence.unplanned_outages.extend(outage);
        assert_eq!(check::violations(&evidence).len(), found, "{kill:?}");
    }
}

/// Returns a request that an instance answered well at once.
fn served(id: String, instance: u8, at: Instant) -> SentRequest {
    let outcome = Some(Outcome::Good);
    SentRequest { id, route: "safe", instance, outcome, from: at, to: at, closed_idle_since: None }
}

/// Returns evidence with a request of instance 0 that upstream 5 answered with a signal at 1 s, and
/// a second request that reached the same upstream at `later`.
fn with_signal(leaving: bool, rest: Option<Duration>, later: Duration) -> Evidence {
    let mut evidence = Evidence::new();
    let [told, at] = [SECOND, later].map(|at| evidence.started + at);
    for (number, at) in [told, at].into_iter().enumerate() {
        let id = format!("1-0-{number}");
        let first = number == 0;
        evidence.responses.push(UpstreamResponse {
            upstream: 5,
            id: id.clone(),
            at,
            leaving: leaving.then_some(told).filter(|_| first),
            rest: rest.map(|rest| (told, rest)).filter(|_| first),
            limited: None,
        });
        evidence.sent.push(served(id, 0, at));
    }
    evidence
}

#[test]
fn a_request_sent_despite_a_signal_is_a_violation() {
    let three = Some(SECOND * 3);
    for (leaving, rest, later, found) in [
        (true, None, 3_100, 0),
        (true, None, 3_300, 1),
        (false, three, 1_400, 0),
        (false, three, 1_600, 1),
        (false, three, 3_900, 1),
        (false, three, 4_100, 0),
        (false, None, 60_000, 0),
    ] {
        let evidence = with_signal(leaving, rest, MILLI * later);
        let violations = check::violations(&evidence);
        assert_eq!(violations.len(), found, "{leaving} {rest:?} {later} ms: {violations:?}");
    }
}

#[test]
fn a_restart_a_loss_of_contact_or_a_link_fault_excuses_a_request_despite_a_signal() {
    let mut restarted = with_signal(true, None, SECOND * 10);
    restarted.upstream_restarts.push((5, restarted.started + SECOND * 2));
    assert_eq!(check::violations(&restarted).len(), 0);
    for (instance, found) in [(0, 0), (1, 1)] {
        let mut evidence = with_signal(true, None, SECOND * 10);
        record_contact_loss(&mut evidence, Some(instance), SECOND * 2, SECOND * 5);
        assert_eq!(check::violations(&evidence).len(), found, "instance {instance}");
    }
    let mut link_failed = with_signal(false, Some(SECOND * 20), SECOND * 10);
    let (from, to) = (link_failed.started, link_failed.started + SECOND * 2);
    link_failed.link_faults.push(LinkFault { upstream: 5, from, to });
    assert_eq!(check::violations(&link_failed).len(), 0);
}

/// Returns evidence with `count` requests, sent alternately to two instances, that reach an
/// upstream 100 ms apart from 1 s on; all its answers announce a limit of 2 requests a second.
fn with_limit(count: u32) -> Evidence {
    let mut evidence = Evidence::new();
    let started = evidence.started;
    let (since, until) = (started, started + SECOND * 30);
    evidence.limits.push(AnnouncedLimit { upstream: 5, rate: 2.0, since, until });
    for number in 0..count {
        let id = format!("1-0-{number}");
        let at = started + SECOND + MILLI * 100 * number;
        evidence.responses.push(UpstreamResponse {
            upstream: 5,
            id: id.clone(),
            at,
            leaving: None,
            rest: None,
            limited: Some(at + MILLI),
        });
        evidence.sent.push(served(id, (number % 2) as u8, at));
    }
    evidence
}

/// 17 requests in 4 s are allowed; those of an instance count from half a second after its first
/// answer.
#[test]
fn more_requests_than_a_limit_allows_is_a_violation() {
    for (count, found) in [(23, 0), (24, 1), (30, 1), (60, 1)] {
        let violations = check::violations(&with_limit(count));
        assert_eq!(violations.len(), found, "{count}: {violations:?}");
    }
    let mut cut = with_limit(30);
    record_contact_loss(&mut cut, Some(0), SECOND * 2, SECOND * 5);
    assert_eq!(check::violations(&cut).len(), 0, "only requests of the instance in contact count");
    let mut ended = with_limit(40);
    ended.limits[0].until = ended.started + SECOND * 2;
    assert_eq!(
        check::violations(&ended).len(),
        0,
        "requests after the end of the limit do not count"
    );
}
