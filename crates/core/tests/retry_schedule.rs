//! Retry-After times of callers whose requests no upstream may get because of rate limits.

use std::time;

use slipturn_core::{retry_schedule::RetrySchedule, send_pace::PaceBound, units};

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

/// Retry times are spaced at half the permitted rate, and start again from the present once all have passed.
#[test]
fn retries_are_spaced_at_half_the_permitted_rate() {
    let mut schedule = RetrySchedule::default();
    let delays: Vec<_> = (0..4).map(|_| schedule.next(at(1_000), 4.0).as_millis()).collect();
    assert_eq!(delays, [500, 1_000, 1_500, 2_000]);
    assert_eq!(schedule.next(at(9_000), 4.0).as_millis(), 500);
}

/// A Retry-After of minutes would be useless: in place of times beyond ten seconds callers get random times of 5 to
/// 10 s.
#[test]
fn retry_after_is_at_most_ten_seconds_and_spread() {
    let mut schedule = RetrySchedule::default();
    let delays: Vec<_> = (0..1_000).map(|_| schedule.next(at(0), 2.0)).collect();
    assert!(delays.iter().all(|delay| *delay <= time::Duration::from_secs(10)));
    let late: Vec<_> = delays.iter().skip(100).collect();
    let first_half = late.iter().filter(|delay| delay.as_millis() < 7_500).count();
    assert!((300..600).contains(&first_half), "{first_half} of {}", late.len());
    assert!(schedule.next(at(0), 0.0) <= time::Duration::from_secs(10), "nothing is permitted");
}

/// Only an answer of the upstream can show that a limit of zero has ended.
#[test]
fn an_upstream_with_a_limit_of_zero_is_tried_every_ten_seconds() {
    let rate = "0".parse().expect("a rate");
    assert_eq!(PaceBound::of_limit(rate).interval(), time::Duration::from_secs(10));
}
