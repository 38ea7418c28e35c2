//! Words on limits: which one holds, whatever the order in which they arrive.

use std::time;

use proptest::prelude::*;
use slipturn_core::{
    ids,
    quota_permit::{PermitTerm, SendPermit},
    units,
    upstream_limit::{LimitChange, LimitReading},
    upstream_notice::{NoticeSource, NoticeTable},
};

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

fn rate(per_second: f64) -> units::RequestRate {
    units::RequestRate::try_from(per_second).expect("a rate")
}

fn name(text: &str) -> ids::UpstreamId {
    text.parse().expect("a name")
}

fn label(limit: Option<f64>, asked: u64, heard: u64) -> LimitReading {
    let source = NoticeSource::Answer;
    LimitReading { rate: limit.map(rate), asked: at(asked), heard: at(heard), source }
}

#[test]
fn the_later_word_holds_and_of_two_at_once_the_lower_limit() {
    let known = label(Some(2.0), 100, 200);
    let cases = [
        (label(Some(4.0), 200, 300), Some(4.0), "asked behind it"),
        (label(Some(4.0), 199, 300), Some(2.0), "perhaps given before it"),
        (label(Some(1.2), 150, 250), Some(1.2), "lower, perhaps later"),
        (label(Some(1.2), 50, 90), Some(2.0), "heard before it was asked"),
        (label(None, 200, 300), None, "an end asked behind it"),
        (label(None, 150, 300), Some(2.0), "an answer that was under way ends nothing"),
    ];
    for (other, expected, why) in cases {
        assert_eq!(known.or(other).rate, expected.map(rate), "{why}");
        assert_eq!(other.or(known).rate, expected.map(rate), "{why}, the other way round");
    }
}

#[test]
fn a_limit_begins_changes_and_ends_once_and_belongs_to_one_start() {
    let mut table = NoticeTable::default();
    let (before, after) = (name("e1@100"), name("e1@200"));
    assert_eq!(table.receive_limit(&before, label(None, 0, 10)), LimitChange::Known, "as most say");
    let begun = table.receive_limit(&before, label(Some(2.0), 20, 30));
    assert_eq!(begun, LimitChange::Begun(rate(2.0)));
    assert_eq!(table.receive_limit(&before, label(Some(2.0), 40, 50)), LimitChange::Known);
    let changed = table.receive_limit(&before, label(Some(1.2), 60, 70));
    assert_eq!(changed, LimitChange::Changed(rate(1.2), rate(2.0)));
    assert_eq!(
        table.describe(at(1_030), &before).as_deref(),
        Some("takes 1.2 requests/s of all, by answer 1.0 s ago, limited for 1.0 s")
    );
    assert!(table.limit(&after).is_none());
    assert_eq!(table.receive_limit(&before, label(None, 80, 90)), LimitChange::Ended);
    assert!(table.limit(&before).is_none());
    // A member repeats what it has not heard the end of.
    assert_eq!(table.receive_limit(&before, label(Some(2.0), 40, 50)), LimitChange::Known);
    assert_eq!(table.limit_changes(), 3);
    table.retain(at(20_000), |_| true);
    assert_eq!(table.limit_readings().count(), 1, "words of before may come for a while");
    table.retain(at(40_000), |_| true);
    assert_eq!(table.limit_readings().count(), 0);
}

#[test]
fn what_is_no_limit_is_none() {
    for text in ["2", "0.3", "1000000", "0", "2.50"] {
        assert!(text.parse::<units::RequestRate>().is_ok(), "{text}");
    }
    for text in ["", "-1", "two", "1e9", "NaN", "inf", "1 2", "+2", "0x2", "1,5"] {
        assert!(text.parse::<units::RequestRate>().is_err(), "{text}");
    }
    for number in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(units::RequestRate::try_from(number).is_err(), "{number}");
    }
}

#[test]
fn a_leave_is_for_one_upstream_and_a_short_time() {
    let term = PermitTerm::of_answer(at(1_000), time::Duration::from_millis(200));
    let leave = SendPermit { upstream: name("e1"), term };
    assert!(leave.is_valid(at(1_699), &name("e1")));
    assert!(!leave.is_valid(at(1_699), &name("e2")));
    assert!(!leave.is_valid(at(1_700), &name("e1")));
}

proptest! {
    /// Members hear the same words in any order, some of them twice; a last word that was asked behind all of them
    /// makes them agree.
    #[test]
    fn members_agree_behind_a_later_word(
        words in prop::collection::vec((prop::option::of(0.1..9.0_f64), 0..900_u64, 1..90_u64), 1..12),
        order in any::<prop::sample::Index>(),
        last in prop::option::of(0.1..9.0_f64),
    ) {
        let told: Vec<_> = words.iter().map(|(limit, asked, took)| label(*limit, *asked, asked + took)).collect();
        let mut turned = told.clone();
        turned.rotate_left(order.index(told.len()));
        let last = label(last, 1_000, 1_010);
        let mut tables = [NoticeTable::default(), NoticeTable::default()];
        for (table, words) in tables.iter_mut().zip([&told, &turned]) {
            for reading in words.iter().chain([&last]).chain(words.iter().take(2)) {
                table.receive_limit(&name("e1"), *reading);
            }
        }
        let held = tables.map(|table| table.limit(&name("e1")).and_then(|limit| limit.reading.rate));
        prop_assert_eq!(held[0], last.rate);
        prop_assert_eq!(held[1], last.rate);
    }
}
