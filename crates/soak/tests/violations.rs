//! Which observations the soak reports as violations, and which disturbances excuse them.

use std::time::{Duration, Instant};

use slipturn_platform_standin::caller::Outcome;
use slipturn_soak::{
    check,
    config_probe::{ConfigProbe, ProbeTarget, Publication},
    evidence::{
        AnnouncedLimit, Disturbance, Evidence, InstancePartition, LinkFault, UpstreamListing,
        UpstreamResponse, UpstreamRun,
    },
    traffic::SentRequest,
};

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);
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
    let probe = ConfigProbe { id, instance: 0, target, from, to: from + MILLISECOND, outcome };
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
    for (at, expected) in [(12_200, 0), (12_400, 1)] {
        let mut evidence = with_publications();
        add_probe(&mut evidence, ProbeTarget::Route(1), MILLISECOND * at, UNKNOWN_ROUTE);
        assert_eq!(check::violations(&evidence).len(), expected, "{at} ms");
    }
}

/// Guards against violations reported for a fault that ended late. A store outage planned for half
/// a second lasted four, as its end waited for an instance to start, and instances were reported for
/// not knowing a route that they could not have read.
#[test]
fn a_fault_that_ends_late_excuses_until_its_actual_end() {
    for (prolonged, expected) in [(false, 1), (true, 0)] {
        let mut evidence = with_publications();
        record_contact_loss(&mut evidence, None, SECOND * 10, SECOND * 11);
        add_probe(&mut evidence, ProbeTarget::Route(1), MILLISECOND * 14_500, UNKNOWN_ROUTE);
        if prolonged {
            let planned = evidence.started + SECOND * 11;
            evidence.extend_to_actual_end(planned, planned + SECOND * 4);
        }
        assert_eq!(check::violations(&evidence).len(), expected, "prolonged: {prolonged}");
    }
}

#[test]
fn a_removed_key_still_accepted_after_the_bound_is_a_violation() {
    for (at, outcome, expected) in [
        (12_200, Outcome::Good, 0),
        (12_400, Outcome::Good, 1),
        (12_400, Outcome::Status(401, None), 0),
    ] {
        let mut evidence = with_publications();
        add_probe(&mut evidence, ProbeTarget::RemovedKey(0), MILLISECOND * at, outcome);
        assert_eq!(check::violations(&evidence).len(), expected, "{at} ms");
    }
}

#[test]
fn only_the_instance_out_of_contact_is_excused() {
    for (instance, expected) in [(None, 0), (Some(0), 0), (Some(1), 1)] {
        let mut evidence = with_publications();
        record_contact_loss(&mut evidence, instance, SECOND * 11, SECOND * 14);
        add_probe(&mut evidence, ProbeTarget::Route(1), SECOND * 13, UNKNOWN_ROUTE);
        assert_eq!(check::violations(&evidence).len(), expected, "{instance:?}");
    }
}

#[test]
fn only_a_restart_excuses_falling_back_to_an_older_configuration() {
    for (start, expected) in [(None, 1), (Some(SECOND * 11), 0)] {
        let mut evidence = with_publications();
        record_contact_loss(&mut evidence, None, Duration::ZERO, SECOND * 60);
        add_probe(&mut evidence, ProbeTarget::Route(1), MILLISECOND * 10_500, Outcome::Good);
        add_probe(&mut evidence, ProbeTarget::Route(1), MILLISECOND * 11_500, UNKNOWN_ROUTE);
        evidence.instance_restarts.extend(start.map(|start| (0, evidence.started + start)));
        assert_eq!(check::violations(&evidence).len(), expected, "{start:?}");
    }
}

/// Returns evidence with one request, sent to instance 0, that upstream 5 runs at `at`.
fn with_run(at: Duration) -> Evidence {
    let mut evidence = Evidence::new();
    let at = evidence.started + at;
    let outcome = Some(Outcome::Good);
    let id = "1-0-0".to_owned();
    evidence.upstream_runs.push(UpstreamRun { upstream: 5, id: id.clone(), at, ended: at });
    let (from, to) = (at - MILLISECOND, at + MILLISECOND);
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
    for (at, expected) in [(4_900, 0), (7_100, 0), (7_300, 1), (9_100, 0)] {
        let mut evidence = with_run(MILLISECOND * at);
        add_listing(&mut evidence, 5, true, SECOND * 5);
        add_listing(&mut evidence, 4, true, SECOND);
        add_listing(&mut evidence, 5, true, SECOND * 6);
        add_listing(&mut evidence, 5, false, SECOND * 9);
        assert_eq!(check::violations(&evidence).len(), expected, "{at} ms");
    }
}

#[test]
fn a_link_fault_or_a_loss_of_contact_excuses_a_request_at_a_leaving_upstream() {
    let mut evidence = with_run(SECOND * 8);
    add_listing(&mut evidence, 5, true, SECOND * 5);
    record_contact_loss(&mut evidence, Some(0), SECOND * 4, MILLISECOND * 7_500);
    assert_eq!(check::violations(&evidence).len(), 1);

    let mut out_of_contact = with_run(SECOND * 8);
    add_listing(&mut out_of_contact, 5, true, SECOND * 5);
    record_contact_loss(&mut out_of_contact, Some(0), SECOND * 7, SECOND * 9);
    assert!(check::violations(&out_of_contact).is_empty());

    let [from, to] = [SECOND * 7, SECOND * 9].map(|at| evidence.started + at);
    evidence.link_faults.push(LinkFault { instance: None, upstream: 5, from, to });
    assert!(check::violations(&evidence).is_empty());
}

#[test]
fn a_request_started_long_after_its_caller_left_is_a_violation() {
    for (left, expected) in [(7_500, 0), (7_200, 1)] {
        let mut evidence = with_run(SECOND * 8);
        let request = &mut evidence.sent[0];
        request.from = evidence.started + SECOND * 7;
        request.to = evidence.started + MILLISECOND * left;
        request.outcome = None;
        assert_eq!(check::violations(&evidence).len(), expected, "left at {left} ms");
    }
}

#[test]
fn work_continued_long_after_the_caller_left_is_a_violation() {
    for (ended, expected) in [(8_600, 0), (8_800, 1)] {
        let mut evidence = with_run(SECOND * 8);
        evidence.sent[0].outcome = None;
        evidence.sent[0].to = evidence.started + SECOND * 8;
        evidence.upstream_runs[0].ended = evidence.started + MILLISECOND * ended;
        assert_eq!(check::violations(&evidence).len(), expected, "ended at {ended} ms");
    }
}

#[test]
fn an_idle_connection_closed_without_an_outage_is_a_violation() {
    for (kill, expected) in [(None, 1), (Some(SECOND * 2), 1), (Some(SECOND * 5), 0)] {
        let mut evidence = with_run(SECOND * 8);
        evidence.sent[0].closed_idle_since = Some(evidence.started + SECOND * 4);
        let outage = kill.map(|kill| {
            let from = evidence.started + kill;
            Disturbance { instance: Some(0), from, to: from + SECOND }
        });
        evidence.unplanned_outages.extend(outage);
        assert_eq!(check::violations(&evidence).len(), expected, "{kill:?}");
    }
}

/// Returns a request that an instance answered correctly and at once.
fn served_request(id: String, instance: u8, at: Instant) -> SentRequest {
    let outcome = Some(Outcome::Good);
    SentRequest { id, route: "safe", instance, outcome, from: at, to: at, closed_idle_since: None }
}

/// Returns evidence with a request of instance 0 that upstream 5 answered at 1 s with a signal (that
/// it is leaving, or a rejection with a `Retry-After` time), and a second request that reached the
/// same upstream at `later`.
fn with_signal(leaving: bool, retry_after: Option<Duration>, later: Duration) -> Evidence {
    let mut evidence = Evidence::new();
    let [signalled, at] = [SECOND, later].map(|at| evidence.started + at);
    for (number, at) in [signalled, at].into_iter().enumerate() {
        let id = format!("1-0-{number}");
        let first = number == 0;
        evidence.responses.push(UpstreamResponse {
            upstream: 5,
            id: id.clone(),
            at,
            leaving_announced_at: leaving.then_some(signalled).filter(|_| first),
            rejection: retry_after.map(|time| (signalled, time)).filter(|_| first),
            limit_announced_at: None,
        });
        evidence.sent.push(served_request(id, 0, at));
    }
    evidence
}

#[test]
fn a_request_sent_despite_a_signal_is_a_violation() {
    let three_seconds = Some(SECOND * 3);
    for (leaving, retry_after, later, expected) in [
        (true, None, 3_100, 0),
        (true, None, 3_300, 1),
        (false, three_seconds, 1_400, 0),
        (false, three_seconds, 1_600, 1),
        (false, three_seconds, 3_900, 1),
        (false, three_seconds, 4_100, 0),
        (false, None, 60_000, 0),
    ] {
        let evidence = with_signal(leaving, retry_after, MILLISECOND * later);
        let violations = check::violations(&evidence);
        assert_eq!(
            violations.len(),
            expected,
            "{leaving} {retry_after:?} {later} ms: {violations:?}"
        );
    }
}

#[test]
fn a_restart_a_loss_of_contact_or_a_link_fault_excuses_a_request_despite_a_signal() {
    let mut restarted = with_signal(true, None, SECOND * 10);
    restarted.upstream_restarts.push((5, restarted.started + SECOND * 2));
    assert_eq!(check::violations(&restarted).len(), 0);
    for (instance, expected) in [(0, 0), (1, 1)] {
        let mut evidence = with_signal(true, None, SECOND * 10);
        record_contact_loss(&mut evidence, Some(instance), SECOND * 2, SECOND * 5);
        assert_eq!(check::violations(&evidence).len(), expected, "instance {instance}");
    }
    let mut link_failed = with_signal(false, Some(SECOND * 20), SECOND * 10);
    let (from, to) = (link_failed.started, link_failed.started + SECOND * 2);
    link_failed.link_faults.push(LinkFault { instance: None, upstream: 5, from, to });
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
        let at = started + SECOND + MILLISECOND * 100 * number;
        evidence.responses.push(UpstreamResponse {
            upstream: 5,
            id: id.clone(),
            at,
            leaving_announced_at: None,
            rejection: None,
            limit_announced_at: Some(at + MILLISECOND),
        });
        evidence.sent.push(served_request(id, (number % 2) as u8, at));
    }
    evidence
}

/// A limit of 2 requests a second allows 17 requests in 4 s. The requests of an instance count from
/// half a second after its first answer with the limit, so that the first 6 requests do not count
/// and the 24th is the first beyond the limit.
#[test]
fn more_requests_than_a_limit_allows_is_a_violation() {
    for (count, expected) in [(23, 0), (24, 1), (30, 1), (60, 1)] {
        let violations = check::violations(&with_limit(count));
        assert_eq!(violations.len(), expected, "{count}: {violations:?}");
    }
    let mut out_of_contact = with_limit(30);
    record_contact_loss(&mut out_of_contact, Some(0), SECOND * 2, SECOND * 5);
    assert_eq!(
        check::violations(&out_of_contact).len(),
        0,
        "only requests of the instance in contact count"
    );
    let mut ended = with_limit(40);
    ended.limits[0].until = ended.started + SECOND * 2;
    assert_eq!(
        check::violations(&ended).len(),
        0,
        "requests after the end of the limit do not count"
    );
}

/// Returns evidence with a partition of instance 0 from 1 s to 9 s, and requests to it and to instance 1, each from 3 s
/// after the start of the partition on, of which those in `served` are served.
fn with_partition(served: [std::ops::Range<u32>; 2]) -> Evidence {
    let mut evidence = Evidence::new();
    let started = evidence.started;
    let (from, to) = (started + SECOND, started + SECOND * 9);
    evidence.partitions.push(InstancePartition { instance: 0, from, to });
    for (instance, served) in (0..).zip(served) {
        for number in 0..40 {
            let id = format!("{instance}-0-{number}");
            let at = started + SECOND * 4 + MILLISECOND * 100 * number;
            let mut request = served_request(id, instance, at);
            if !served.contains(&number) {
                request.outcome = Some(Outcome::Status(504, None));
            }
            evidence.sent.push(request);
        }
    }
    evidence
}

#[test]
fn a_partitioned_instance_that_serves_far_fewer_requests_than_others_is_a_violation() {
    for (served, others, expected) in
        [(0..40, 0..40, 0), (0..27, 0..40, 0), (0..26, 0..40, 1), (0..26, 0..38, 0)]
    {
        let evidence = with_partition([served.clone(), others]);
        assert_eq!(check::violations(&evidence).len(), expected, "{served:?} served");
    }
    let mut few_requests = with_partition([0..0, 0..40]);
    let until = few_requests.started + SECOND * 5;
    few_requests.sent.retain(|sent| sent.instance == 1 || sent.from < until);
    assert!(check::violations(&few_requests).is_empty(), "10 failures are allowed");
}

#[test]
fn a_loss_of_contact_of_any_instance_excuses_a_partitioned_one() {
    let mut evidence = with_partition([0..0, 0..40]);
    assert_eq!(check::violations(&evidence).len(), 1);
    record_contact_loss(&mut evidence, Some(2), SECOND, SECOND * 9);
    assert!(check::violations(&evidence).is_empty());
}

/// What a partitioned instance sends during the partition goes by way of members, whose links work.
#[test]
fn a_partition_excuses_only_runs_that_began_before_it_or_after_its_end() {
    for (at, expected) in [(2_000, 0), (4_000, 1), (6_000, 0)] {
        let mut evidence = with_run(MILLISECOND * at);
        evidence.sent[0].outcome = None;
        evidence.sent[0].to = evidence.sent[0].from;
        evidence.upstream_runs[0].ended = evidence.started + MILLISECOND * (at + 2_000);
        let [from, to] = [MILLISECOND * 1_950, SECOND * 9].map(|at| evidence.started + at);
        evidence.link_faults.push(LinkFault { instance: Some(0), upstream: 5, from, to });
        assert_eq!(check::violations(&evidence).len(), expected, "{at} ms");
    }
}
