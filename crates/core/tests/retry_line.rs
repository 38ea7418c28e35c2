//! Callers that limits have kept from all upstreams: when they come back.

use std::time;

use slipturn_core::{retry_line::RetryLine, send_pace::PaceBound, units};

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

/// At half the pace of what is let through, one behind the other; a line that has passed begins anew.
#[test]
fn callers_come_back_one_behind_the_other_at_half_the_pace() {
    let mut line = RetryLine::default();
    let backs: Vec<_> = (0..4).map(|_| line.next(at(1_000), 4.0).as_millis()).collect();
    assert_eq!(backs, [500, 1_000, 1_500, 2_000]);
    assert_eq!(line.next(at(9_000), 4.0).as_millis(), 500);
}

/// A line of minutes would tell nobody anything: who would come back behind ten seconds comes at any moment of the last
/// five.
#[test]
fn a_long_line_ends_within_ten_seconds_and_is_spread() {
    let mut line = RetryLine::default();
    let backs: Vec<_> = (0..1_000).map(|_| line.next(at(0), 2.0)).collect();
    assert!(backs.iter().all(|back| *back <= time::Duration::from_secs(10)));
    let late: Vec<_> = backs.iter().skip(100).collect();
    let first_half = late.iter().filter(|back| back.as_millis() < 7_500).count();
    assert!((300..600).contains(&first_half), "{first_half} of {}", late.len());
    assert!(line.next(at(0), 0.0) <= time::Duration::from_secs(10), "nothing is let through");
}

/// Only an answer can tell that a limit of nothing is over.
#[test]
fn an_upstream_that_takes_nothing_is_asked_once_in_ten_seconds() {
    let rate = "0".parse().expect("a rate");
    assert_eq!(PaceBound::of_limit(rate).interval(), time::Duration::from_secs(10));
}
