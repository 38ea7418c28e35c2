//! Rate limits that upstreams announce in their answers. Of several readings (the limit that an answer announced, or
//! its absence) the same one holds, regardless of their order of arrival.

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

fn reading(limit: Option<f64>, requested: u64, received: u64) -> LimitReading {
    let source = NoticeSource::Answer;
    LimitReading { rate: limit.map(rate), requested: at(requested), received: at(received), source }
}

#[test]
fn the_later_reading_holds_and_of_overlapping_ones_the_lower_limit() {
    let known = reading(Some(2.0), 100, 200);
    let cases = [
        (reading(Some(4.0), 200, 300), Some(4.0), "requested after the known one was received"),
        (reading(Some(4.0), 199, 300), Some(2.0), "higher, possibly made before the known one"),
        (reading(Some(1.2), 150, 250), Some(1.2), "lower, possibly made after the known one"),
        (reading(Some(1.2), 50, 90), Some(2.0), "received before the known one was requested"),
        (reading(None, 200, 300), None, "no limit, requested after the known one was received"),
        (reading(None, 150, 300), Some(2.0), "no limit, possibly made before the known one"),
    ];
    for (other, expected, case) in cases {
        assert_eq!(known.or(other).rate, expected.map(rate), "{case}");
        assert_eq!(other.or(known).rate, expected.map(rate), "{case}, operands swapped");
    }
}

#[test]
fn each_change_of_a_limit_is_reported_once_and_for_one_start_only() {
    let mut table = NoticeTable::default();
    let (before, after) = (name("e1@100"), name("e1@200"));
    assert_eq!(
        table.receive_limit(&before, reading(None, 0, 10)),
        LimitChange::Known,
        "no limit, as in most answers"
    );
    let begun = table.receive_limit(&before, reading(Some(2.0), 20, 30));
    assert_eq!(begun, LimitChange::Begun(rate(2.0)));
    assert_eq!(table.receive_limit(&before, reading(Some(2.0), 40, 50)), LimitChange::Known);
    let changed = table.receive_limit(&before, reading(Some(1.2), 60, 70));
    assert_eq!(changed, LimitChange::Changed(rate(1.2), rate(2.0)));
    assert_eq!(
        table.describe(at(1_030), &before).as_deref(),
        Some("takes 1.2 requests/s of all, by answer 1.0 s ago, limited for 1.0 s")
    );
    assert!(table.limit(&after).is_none());
    assert_eq!(table.receive_limit(&before, reading(None, 80, 90)), LimitChange::Ended);
    assert!(table.limit(&before).is_none());
    // A member that does not know yet that the limit ended repeats its reading.
    assert_eq!(table.receive_limit(&before, reading(Some(2.0), 40, 50)), LimitChange::Known);
    assert_eq!(table.limit_changes(), 3);
    table.retain(at(20_000), |_| true);
    assert_eq!(table.limit_readings().count(), 1, "older readings may still arrive");
    table.retain(at(40_000), |_| true);
    assert_eq!(table.limit_readings().count(), 0);
}

#[test]
fn invalid_limits_are_rejected() {
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
fn a_permit_is_valid_for_one_upstream_and_a_short_time() {
    let term = PermitTerm::of_answer(at(1_000), time::Duration::from_millis(200));
    let permit = SendPermit { upstream: name("e1"), term };
    assert!(permit.is_valid(at(1_699), &name("e1")));
    assert!(!permit.is_valid(at(1_699), &name("e2")));
    assert!(!permit.is_valid(at(1_700), &name("e1")));
}

proptest! {
    /// Guards against members that disagree permanently about an upstream's limit. They receive the same announced
    /// limits in different orders, some of them twice, and must agree after one that was requested after all others
    /// were received.
    #[test]
    fn members_agree_after_a_later_reading(
        readings in prop::collection::vec((prop::option::of(0.1..9.0_f64), 0..900_u64, 1..90_u64), 1..12),
        order in any::<prop::sample::Index>(),
        last in prop::option::of(0.1..9.0_f64),
    ) {
        let sent: Vec<_> = readings.iter().map(|(limit, requested, took)| reading(*limit, *requested, requested + took)).collect();
        let mut rotated = sent.clone();
        rotated.rotate_left(order.index(sent.len()));
        let last = reading(last, 1_000, 1_010);
        let mut tables = [NoticeTable::default(), NoticeTable::default()];
        for (table, received) in tables.iter_mut().zip([&sent, &rotated]) {
            for reading in received.iter().chain([&last]).chain(received.iter().take(2)) {
                table.receive_limit(&name("e1"), *reading);
            }
        }
        let rates = tables.map(|table| table.limit(&name("e1")).and_then(|limit| limit.reading.rate));
        prop_assert_eq!(rates[0], last.rate);
        prop_assert_eq!(rates[1], last.rate);
    }
}
