//! Number of requests recently sent to each upstream.

use std::time;

use slipturn_core::{
    ids,
    send_counts::{COUNT_TIME, SendCounts},
    units,
};

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

fn upstream(name: &str) -> ids::UpstreamId {
    name.parse().expect("a name")
}

#[test]
fn each_upstream_has_its_own_count() {
    let mut counts = SendCounts::default();
    (0..5).for_each(|number| counts.count(at(number * 300), &upstream("a")));
    counts.count(at(1_500), &upstream("b"));
    let now = at(2_000);
    let recent_counts = ["a", "b", "c"].map(|name| counts.recent_count(now, &upstream(name)));
    assert_eq!(recent_counts, [5, 1, 0]);
}

#[test]
fn old_requests_are_not_counted() {
    let mut counts = SendCounts::default();
    counts.count(at(0), &upstream("a"));
    counts.count(at(5_000), &upstream("a"));
    let span = u64::try_from(COUNT_TIME.as_millis()).expect("a short time");
    assert_eq!(counts.recent_count(at(span + 1_000), &upstream("a")), 1);
    assert_eq!(counts.recent_count(at(span + 6_000), &upstream("a")), 0);
}
