//! Notices of upstreams that leave or request a backoff.

use std::time;

use proptest::prelude::*;
use slipturn_core::{
    ids,
    send_gate::{ProbePermission, SendDenial, SendKind},
    units,
    upstream_notice::{
        BackoffChange, BackoffReturnMode, MAX_ACCEPTED_BACKOFF, NoticeSource, NoticeTable,
    },
};

const ALL_KINDS: [SendKind; 6] = [
    SendKind::Request,
    SendKind::Hold,
    SendKind::Renewal,
    SendKind::Release,
    SendKind::Report,
    SendKind::Check,
];

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(ms(millis))
}

fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn name(text: &str) -> ids::UpstreamId {
    text.parse().expect("a name")
}

/// Kinds of messages that the table permits to an upstream at `now`, in milliseconds.
fn permitted(table: &NoticeTable, now: u64, upstream: &ids::UpstreamId) -> Vec<SendKind> {
    let permits = |kind: &SendKind| table.permits(at(now), upstream, *kind).is_ok();
    ALL_KINDS.into_iter().filter(permits).collect()
}

#[test]
fn upstreams_that_leave_or_are_in_backoff_still_get_renewals_and_releases() {
    let mut table = NoticeTable::default();
    let (leaving, in_backoff, other) = (name("e1"), name("e2"), name("e3"));
    table.receive_leaving(at(10), &leaving, NoticeSource::Answer, ms(0));
    table.receive_backoff(at(10), &in_backoff, ms(3_000));
    let ends_work = [SendKind::Renewal, SendKind::Release];
    assert_eq!(permitted(&table, 20, &leaving), [&ends_work[..], &[SendKind::Report]].concat());
    assert_eq!(permitted(&table, 20, &in_backoff), ends_work);
    assert_eq!(permitted(&table, 20, &other), ALL_KINDS);
    assert_eq!(permitted(&table, 3_010, &in_backoff), ALL_KINDS, "the backoff has ended");
    assert_eq!(permitted(&table, 300_000, &leaving).len(), 3, "leaving is final");
}

#[test]
fn the_first_leaving_notice_keeps_its_source_and_time() {
    let mut table = NoticeTable::default();
    let upstream = name("e1");
    assert!(table.receive_leaving(at(5_000), &upstream, NoticeSource::Member, ms(1_500)));
    assert!(
        !table.receive_leaving(at(6_000), &upstream, NoticeSource::Answer, ms(0)),
        "already known"
    );
    let leaving = table.leaving(&upstream).expect("it leaves");
    assert_eq!((leaving.source, leaving.since), (NoticeSource::Member, at(3_500)));
    assert_eq!(
        table.describe(at(7_500), &upstream).expect("the upstream has a notice"),
        "leaves, by member 4.0 s ago"
    );
    let denied = table.permits(at(7_500), &upstream, SendKind::Request);
    assert_eq!(denied, Err(SendDenial::Leaves(NoticeSource::Member, ms(4_000))));
}

/// Writes of an upstream to the list may be late, so the list can revoke only its own notices.
#[test]
fn the_list_revokes_only_its_own_leaving_notices() {
    let mut table = NoticeTable::default();
    let (listed, reported) = (name("e1"), name("e2"));
    table.receive_leaving(at(0), &listed, NoticeSource::List, ms(0));
    table.receive_leaving(at(0), &reported, NoticeSource::List, ms(0));
    table.receive_leaving(at(100), &reported, NoticeSource::Report, ms(0));
    [&listed, &reported].into_iter().for_each(|name| table.receive_live(name));
    assert_eq!(table.leaving(&listed), None);
    let leaving = table.leaving(&reported).expect("the notice of the upstream stands");
    assert_eq!((leaving.source, leaving.since), (NoticeSource::Report, at(0)));
}

#[test]
fn a_notice_belongs_to_one_start() {
    let mut table = NoticeTable::default();
    let (before, after) = (name("e1@100"), name("e1@200"));
    table.receive_leaving(at(0), &before, NoticeSource::Answer, ms(0));
    table.receive_backoff(at(0), &before, ms(60_000));
    assert_eq!(permitted(&table, 10, &after), ALL_KINDS);
    assert_eq!(permitted(&table, 10, &before).len(), 2);
}

#[test]
fn a_backoff_is_only_extended_and_is_bounded() {
    let mut table = NoticeTable::default();
    let upstream = name("p1");
    assert_eq!(
        table.receive_backoff(at(0), &upstream, ms(0)),
        BackoffChange::Known,
        "a backoff of no length"
    );
    assert_eq!(table.receive_backoff(at(0), &upstream, ms(4_000)), BackoffChange::Begun);
    assert_eq!(
        table.receive_backoff(at(1_000), &upstream, ms(1_000)),
        BackoffChange::Known,
        "a shorter one"
    );
    assert_eq!(table.receive_backoff(at(2_000), &upstream, ms(4_000)), BackoffChange::Longer);
    assert_eq!(table.backoff(at(5_999), &upstream).expect("it is in backoff").until, at(6_000));
    assert_eq!(table.backoff(at(6_000), &upstream), None);
    assert_eq!(
        table.receive_backoff(at(6_500), &upstream, ms(1_000)),
        BackoffChange::Begun,
        "another backoff"
    );
    table.receive_backoff(at(8_000), &upstream, ms(31_536_000_000));
    let until = table.backoff(at(8_000), &upstream).expect("it is in backoff").until;
    assert_eq!(until.since(at(8_000)), MAX_ACCEPTED_BACKOFF);
}

/// After a backoff one request probes the upstream, and the other requests follow its result. A probe without a result must
/// not block them for long.
#[test]
fn one_request_probes_after_a_backoff() {
    let mut table = NoticeTable::default();
    let upstream = name("p1");
    let avoided =
        |table: &NoticeTable, now, permission| table.is_avoided(at(now), &upstream, permission);
    table.receive_backoff(at(0), &upstream, ms(1_000));
    assert!(!table.begin(at(500), &upstream), "a request within the backoff is no probe");
    assert!(
        !table.receive_accepted(at(900), &upstream),
        "the request's answer does not end the backoff"
    );
    assert!(!avoided(&table, 1_000, ProbePermission::Yes));
    assert!(
        avoided(&table, 1_000, ProbePermission::No),
        "a request without another attempt does not probe"
    );
    assert!(table.begin(at(1_000), &upstream));
    assert!(avoided(&table, 1_100, ProbePermission::Yes), "one probe at a time");
    assert!(!avoided(&table, 3_000, ProbePermission::Yes), "the caller of the probe may have left");
    table.end_probe(&upstream);
    assert!(!avoided(&table, 1_100, ProbePermission::Yes), "the probe ended without a result");
    table.begin(at(1_200), &upstream);
    assert!(table.receive_accepted(at(1_300), &upstream));
    for permission in [ProbePermission::Yes, ProbePermission::No] {
        assert!(!avoided(&table, 1_300, permission), "the upstream takes work again");
    }
    table.receive_backoff(at(2_000), &upstream, ms(1_000));
    assert!(!avoided(&table, 13_000, ProbePermission::No), "the time for probes is over");
    table.set_return_mode(BackoffReturnMode::All);
    assert!(!avoided(&table, 3_500, ProbePermission::No));
}

#[test]
fn a_request_probes_only_with_another_attempt_left() {
    let cases =
        [(0, 1, ProbePermission::No), (0, 2, ProbePermission::Yes), (1, 2, ProbePermission::No)];
    for (made, allowed, expected) in cases {
        assert_eq!(ProbePermission::of(made, allowed), expected, "{made} of {allowed}");
    }
}

#[test]
fn notices_of_upstreams_unlisted_for_long_are_dropped() {
    let mut table = NoticeTable::default();
    let (listed, gone) = (name("e1"), name("e2"));
    for upstream in [&listed, &gone] {
        table.receive_leaving(at(0), upstream, NoticeSource::Answer, ms(0));
    }
    let seconds = 1..=200;
    seconds.for_each(|second| table.retain(at(second * 1_000), |name| *name == listed));
    assert!(table.leaving(&listed).is_some(), "notices of a listed upstream are kept");
    assert_eq!(table.leaving(&gone), None);
    // Another member that still has the notice repeats it.
    table.receive_leaving(at(200_000), &gone, NoticeSource::Member, ms(200_000));
    table.retain(at(200_001), |name| *name == listed);
    assert_eq!(table.leaving(&gone), None, "repetition does not preserve a notice");
}

#[test]
fn a_full_table_drops_the_oldest_notices() {
    let mut table = NoticeTable::default();
    for number in 0..5_000 {
        table.receive_backoff(at(number), &name(&format!("e{number}")), ms(60_000));
    }
    assert!(table.names().count() <= 2_048);
    assert!(table.backoff(at(5_000), &name("e4999")).is_some());
}

/// A step of a random history.
#[derive(Debug, Clone)]
enum Step {
    Leaves(NoticeSource),
    Live,
    Backoff(u64),
    Begin,
    Accepted,
    EndProbe,
    Retain(bool),
    Pass(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let source = prop_oneof![
        Just(NoticeSource::List),
        Just(NoticeSource::Answer),
        Just(NoticeSource::Report),
        Just(NoticeSource::Member),
    ];
    prop_oneof![
        source.prop_map(Step::Leaves),
        Just(Step::Live),
        (0..8_000_u64).prop_map(Step::Backoff),
        Just(Step::Begin),
        Just(Step::Accepted),
        Just(Step::EndProbe),
        any::<bool>().prop_map(Step::Retain),
        (1..3_000_u64).prop_map(Step::Pass),
    ]
}

proptest! {
    /// In any order of notices, requests, answers and time: no request is permitted during a backoff, nor after a leaving
    /// notice of the upstream itself, unless the upstream was unlisted for long.
    #[test]
    fn no_request_is_permitted_during_a_backoff_or_after_a_leaving_notice(
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let upstream = name("e1");
        let mut table = NoticeTable::default();
        let (mut now, mut backoff_until, mut final_leaving, mut known) = (0, 0, false, 0);
        for step in steps {
            match step {
                Step::Leaves(source) => {
                    table.receive_leaving(at(now), &upstream, source, ms(0));
                    final_leaving |= source != NoticeSource::List;
                    known = now;
                }
                Step::Live => table.receive_live(&upstream),
                Step::Backoff(span) => {
                    table.receive_backoff(at(now), &upstream, ms(span));
                    backoff_until = backoff_until.max(now + span);
                    known = now;
                }
                Step::Begin => _ = table.begin(at(now), &upstream),
                Step::Accepted => _ = table.receive_accepted(at(now), &upstream),
                Step::EndProbe => table.end_probe(&upstream),
                Step::Retain(listed) => {
                    table.retain(at(now), |_| listed);
                    known = if listed { now } else { known };
                    final_leaving &= now < known + 120_000;
                }
                Step::Pass(span) => now += span,
            }
            let passes = table.permits(at(now), &upstream, SendKind::Request).is_ok();
            prop_assert!(!passes || now >= backoff_until, "permitted within a backoff");
            prop_assert!(!passes || !final_leaving, "permitted after a leaving notice");
            prop_assert!(table.permits(at(now), &upstream, SendKind::Release).is_ok());
        }
    }
}
