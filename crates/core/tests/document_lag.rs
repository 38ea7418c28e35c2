//! Lag behind the documents of other members: a process that receives each change a moment later does not lag.

use std::time;

use slipturn_core::{document_lag, units};

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::default() + time::Duration::from_millis(millis)
}

#[test]
fn a_process_that_receives_each_change_a_moment_later_does_not_lag() {
    let mut lag = document_lag::DocumentLag::default();
    for step in 0..100 {
        let span = lag.observe(at(step * 150), step, step + 1);
        assert!(span <= time::Duration::from_millis(150), "{span:?} at {step}");
    }
}

#[test]
fn a_process_that_receives_nothing_lags_since_the_first_version_it_lacks() {
    let mut lag = document_lag::DocumentLag::default();
    assert_eq!(lag.observe(at(0), 7, 7), time::Duration::ZERO);
    assert_eq!(lag.observe(at(100), 7, 8), time::Duration::ZERO);
    // Newer versions of other members don't restart the lag.
    assert_eq!(lag.observe(at(400), 7, 12), time::Duration::from_millis(300));
    // The process received the first missing version, but not the latest: the lag restarts.
    assert_eq!(lag.observe(at(500), 9, 13), time::Duration::ZERO);
    assert_eq!(lag.observe(at(900), 9, 13), time::Duration::from_millis(400));
    assert_eq!(lag.observe(at(950), 13, 13), time::Duration::ZERO);
}

#[test]
fn a_process_does_not_lag_behind_members_that_returned_to_an_older_version() {
    let mut lag = document_lag::DocumentLag::default();
    lag.observe(at(0), 5, 9);
    assert_eq!(lag.observe(at(800), 5, 5), time::Duration::ZERO);
}

#[test]
fn a_version_that_the_source_does_not_have_is_no_longer_missing() {
    let mut lag = document_lag::DocumentLag::default();
    lag.observe(at(50), 5, 9);
    // The source was queried before another member claimed to have version 9, so its answer does not refute the
    // claim.
    lag.refute(5, at(0));
    assert_eq!(lag.observe(at(100), 5, 9), time::Duration::from_millis(50));
    lag.refute(5, at(600));
    assert_eq!(lag.observe(at(700), 5, 9), time::Duration::ZERO);
    assert_eq!(lag.known(5), 9);
    // The refutation of version 9 does not cover version 10, which a member claims to have later.
    lag.observe(at(800), 5, 10);
    assert_eq!(lag.observe(at(900), 5, 10), time::Duration::from_millis(100));
}
