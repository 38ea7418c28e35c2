//! When callers are asked back.

use std::time;

use slipturn_core::refusal;

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Of callers that arrive evenly over an outage of `outage` milliseconds and come back once, as they are
/// told, the share that comes back behind it.
fn returned(outage: u64, told: impl Fn(u64) -> u64) -> f64 {
    let back = (0..outage).filter(|away| away + told(*away) >= outage).count();
    back as f64 / outage as f64
}

/// At outages of 1 to 6 s; with 0.5 s for all it is 0.50, 0.25, 0.13 and 0.08.
#[test]
fn callers_of_an_outage_come_back_behind_it() {
    let told = |away| refusal::outage_return(millis(away), millis(10_000)).as_millis() as u64;
    for (outage, least) in [(1_000, 0.5), (2_000, 0.5), (4_000, 0.5), (6_000, 0.45)] {
        let share = returned(outage, told);
        assert!(share >= least, "{share} of an outage of {outage} ms");
        let fixed = returned(outage, |_| 500);
        println!("{outage} ms: {share:.2}, with a fixed time {fixed:.2}");
    }
}

#[test]
fn nobody_is_asked_back_when_no_time_is_left() {
    let back = |away, patience| refusal::outage_return(millis(away), millis(patience));
    assert_eq!(back(0, 10_000), millis(500), "a start takes a moment");
    assert_eq!(back(60_000, 9_000), millis(2_970));
    assert_eq!(back(2_000, 100), millis(500));
}
