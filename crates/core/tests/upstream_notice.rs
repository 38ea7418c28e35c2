//! What is believed of upstreams that leave or want rest.

use std::time;

use proptest::prelude::*;
use slipturn_core::{
    ids,
    send_gate::{SendDenial, SendKind, TrialTurn},
    units,
    upstream_notice::{MAX_REST, NoticeSource, NoticeTable, RestNews, RestReturnWay},
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

fn permitted(table: &NoticeTable, now: u64, upstream: &ids::UpstreamId) -> Vec<SendKind> {
    let permits = |kind: &SendKind| table.permits(at(now), upstream, *kind).is_ok();
    ALL_KINDS.into_iter().filter(permits).collect()
}

#[test]
fn what_ends_work_goes_anywhere_and_who_wants_rest_gets_nothing_else() {
    let mut table = NoticeTable::default();
    let (leaving, resting, other) = (name("e1"), name("e2"), name("e3"));
    table.receive_leaving(at(10), &leaving, NoticeSource::Answer, ms(0));
    table.receive_rest(at(10), &resting, ms(3_000));
    let ends_work = [SendKind::Renewal, SendKind::Release];
    assert_eq!(permitted(&table, 20, &leaving), [&ends_work[..], &[SendKind::Report]].concat());
    assert_eq!(permitted(&table, 20, &resting), ends_work);
    assert_eq!(permitted(&table, 20, &other), ALL_KINDS);
    assert_eq!(permitted(&table, 3_010, &resting), ALL_KINDS, "its time is over");
    assert_eq!(permitted(&table, 300_000, &leaving).len(), 3, "no time ends its leaving");
}

#[test]
fn who_speaks_and_since_when_is_kept() {
    let mut table = NoticeTable::default();
    let upstream = name("e1");
    assert!(table.receive_leaving(at(5_000), &upstream, NoticeSource::Member, ms(1_500)));
    assert!(!table.receive_leaving(at(6_000), &upstream, NoticeSource::Answer, ms(0)), "no news");
    let leaving = table.leaving(&upstream).expect("it leaves");
    assert_eq!((leaving.source, leaving.since), (NoticeSource::Member, at(3_500)));
    assert_eq!(table.describe(at(7_500), &upstream).expect("known"), "leaves, by member 4.0 s ago");
    let kept_back = table.permits(at(7_500), &upstream, SendKind::Request);
    assert_eq!(kept_back, Err(SendDenial::Leaves(NoticeSource::Member, ms(4_000))));
}

/// Its own writes to the list's source may come late; the list alone can take back what it alone has said.
#[test]
fn the_list_takes_back_its_own_word_only() {
    let mut table = NoticeTable::default();
    let (listed, told) = (name("e1"), name("e2"));
    table.receive_leaving(at(0), &listed, NoticeSource::List, ms(0));
    table.receive_leaving(at(0), &told, NoticeSource::List, ms(0));
    table.receive_leaving(at(100), &told, NoticeSource::Report, ms(0));
    [&listed, &told].into_iter().for_each(|name| table.receive_live(name));
    assert_eq!(table.leaving(&listed), None);
    let leaving = table.leaving(&told).expect("its own word stands");
    assert_eq!((leaving.source, leaving.since), (NoticeSource::Report, at(0)));
}

#[test]
fn a_word_belongs_to_one_start() {
    let mut table = NoticeTable::default();
    let (before, after) = (name("e1@100"), name("e1@200"));
    table.receive_leaving(at(0), &before, NoticeSource::Answer, ms(0));
    table.receive_rest(at(0), &before, ms(60_000));
    assert_eq!(permitted(&table, 10, &after), ALL_KINDS);
    assert_eq!(permitted(&table, 10, &before).len(), 2);
}

#[test]
fn rest_only_grows_and_is_bounded() {
    let mut table = NoticeTable::default();
    let upstream = name("p1");
    assert_eq!(table.receive_rest(at(0), &upstream, ms(0)), RestNews::Known, "none is asked for");
    assert_eq!(table.receive_rest(at(0), &upstream, ms(4_000)), RestNews::Begun);
    assert_eq!(
        table.receive_rest(at(1_000), &upstream, ms(1_000)),
        RestNews::Known,
        "a shorter one"
    );
    assert_eq!(table.receive_rest(at(2_000), &upstream, ms(4_000)), RestNews::Longer);
    assert_eq!(table.rest(at(5_999), &upstream).expect("it rests").until, at(6_000));
    assert_eq!(table.rest(at(6_000), &upstream), None);
    assert_eq!(table.receive_rest(at(6_500), &upstream, ms(1_000)), RestNews::Begun, "once more");
    table.receive_rest(at(8_000), &upstream, ms(31_536_000_000));
    let until = table.rest(at(8_000), &upstream).expect("it rests").until;
    assert_eq!(until.since(at(8_000)), MAX_REST);
}

/// Behind a rest one request goes first; the others follow its answer, and nobody waits for it for long.
#[test]
fn one_request_finds_out_behind_a_rest() {
    let mut table = NoticeTable::default();
    let upstream = name("p1");
    let avoided = |table: &NoticeTable, now, turn| table.is_avoided(at(now), &upstream, turn);
    table.receive_rest(at(0), &upstream, ms(1_000));
    assert!(!table.begin(at(500), &upstream), "what was on its way is no trial");
    assert!(!table.receive_accepted(at(900), &upstream), "nor does its answer end the rest");
    assert!(!avoided(&table, 1_000, TrialTurn::Yes));
    assert!(avoided(&table, 1_000, TrialTurn::No), "who has no other attempt waits");
    assert!(table.begin(at(1_000), &upstream));
    assert!(avoided(&table, 1_100, TrialTurn::Yes), "one at a time");
    assert!(!avoided(&table, 3_000, TrialTurn::Yes), "its caller may have left");
    table.end_trial(&upstream);
    assert!(!avoided(&table, 1_100, TrialTurn::Yes), "it ended without an answer");
    table.begin(at(1_200), &upstream);
    assert!(table.receive_accepted(at(1_300), &upstream));
    for turn in [TrialTurn::Yes, TrialTurn::No] {
        assert!(!avoided(&table, 1_300, turn), "it takes work again");
    }
    table.receive_rest(at(2_000), &upstream, ms(1_000));
    assert!(!avoided(&table, 13_000, TrialTurn::No), "nobody asked for long");
    table.set_return(RestReturnWay::All);
    assert!(!avoided(&table, 3_500, TrialTurn::No));
}

#[test]
fn a_request_tries_only_with_another_attempt_in_hand() {
    let cases = [(0, 1, TrialTurn::No), (0, 2, TrialTurn::Yes), (1, 2, TrialTurn::No)];
    for (made, allowed, expected) in cases {
        assert_eq!(TrialTurn::of(made, allowed), expected, "{made} of {allowed}");
    }
}

#[test]
fn what_nobody_lists_any_more_is_forgotten() {
    let mut table = NoticeTable::default();
    let (listed, gone) = (name("e1"), name("e2"));
    for upstream in [&listed, &gone] {
        table.receive_leaving(at(0), upstream, NoticeSource::Answer, ms(0));
    }
    let seconds = 1..=200;
    seconds.for_each(|second| table.retain(at(second * 1_000), |name| *name == listed));
    assert!(table.leaving(&listed).is_some(), "its entry may be late for as long as it likes");
    assert_eq!(table.leaving(&gone), None);
    // Another member that has not forgotten it yet repeats it.
    table.receive_leaving(at(200_000), &gone, NoticeSource::Member, ms(200_000));
    table.retain(at(200_001), |name| *name == listed);
    assert_eq!(table.leaving(&gone), None, "what is repeated is not kept alive by that");
}

#[test]
fn a_flood_of_names_pushes_out_the_oldest() {
    let mut table = NoticeTable::default();
    for number in 0..5_000 {
        table.receive_rest(at(number), &name(&format!("e{number}")), ms(60_000));
    }
    assert!(table.names().count() <= 2_048);
    assert!(table.rest(at(5_000), &name("e4999")).is_some());
}

#[derive(Debug, Clone)]
enum Step {
    Leaves(NoticeSource),
    Live,
    Rest(u64),
    Begin,
    Taken,
    EndTrial,
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
        (0..8_000_u64).prop_map(Step::Rest),
        Just(Step::Begin),
        Just(Step::Taken),
        Just(Step::EndTrial),
        any::<bool>().prop_map(Step::Retain),
        (1..3_000_u64).prop_map(Step::Pass),
    ]
}

proptest! {
    /// In whatever order words, sends, answers and time come: no request passes within a time that was asked
    /// for, nor behind an upstream's own word that it leaves, unless it was unlisted for long.
    #[test]
    fn nothing_passes_that_was_asked_not_to(steps in prop::collection::vec(any_step(), 1..60)) {
        let upstream = name("e1");
        let mut table = NoticeTable::default();
        let (mut now, mut rest_until, mut own_word, mut known) = (0, 0, false, 0);
        for step in steps {
            match step {
                Step::Leaves(source) => {
                    table.receive_leaving(at(now), &upstream, source, ms(0));
                    own_word |= source != NoticeSource::List;
                    known = now;
                }
                Step::Live => table.receive_live(&upstream),
                Step::Rest(span) => {
                    table.receive_rest(at(now), &upstream, ms(span));
                    rest_until = rest_until.max(now + span);
                    known = now;
                }
                Step::Begin => _ = table.begin(at(now), &upstream),
                Step::Taken => _ = table.receive_accepted(at(now), &upstream),
                Step::EndTrial => table.end_trial(&upstream),
                Step::Retain(listed) => {
                    table.retain(at(now), |_| listed);
                    known = if listed { now } else { known };
                    own_word &= now < known + 120_000;
                }
                Step::Pass(span) => now += span,
            }
            let passes = table.permits(at(now), &upstream, SendKind::Request).is_ok();
            prop_assert!(!passes || now >= rest_until, "within a rest");
            prop_assert!(!passes || !own_word, "behind its own word");
            prop_assert!(table.permits(at(now), &upstream, SendKind::Release).is_ok());
        }
    }
}
