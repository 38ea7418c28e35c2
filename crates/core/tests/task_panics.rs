//! Panics of tasks, after which other members plan.

use std::time;

use slipturn_core::{task_panics::TaskPanics, units::MonoTime};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn at(seconds: u32) -> MonoTime {
    MonoTime::from_span(SECOND * seconds)
}

/// Records three panics from `start` on, a second apart; returns the time of the last.
fn panic_thrice(panics: &mut TaskPanics, start: u32) -> u32 {
    let begins = [0, 1, 2].map(|second| panics.note(at(start + second)));
    assert_eq!(begins, [false, false, true]);
    start + 2
}

#[test]
fn a_single_panic_changes_nothing() {
    let mut panics = TaskPanics::default();
    for minute in 0..20 {
        assert!(!panics.note(at(minute * 60)));
        assert!(panics.may_plan(at(minute * 60)));
    }
}

#[test]
fn three_panics_within_ten_seconds_hand_planning_over_until_they_end() {
    let mut panics = TaskPanics::default();
    assert!(panics.may_plan(at(0)));
    let last = panic_thrice(&mut panics, 0);
    assert!(!panics.may_plan(at(last)));
    for second in (last + 3..60).step_by(3) {
        assert!(!panics.note(at(second)), "begins again");
        assert!(!panics.may_plan(at(second)));
    }
    assert!(!panics.may_plan(at(66)));
    assert!(panics.may_plan(at(70)));
}

#[test]
fn panics_that_return_with_planning_hand_it_over_for_ever_longer_times() {
    let mut panics = TaskPanics::default();
    let mut start = 0;
    for length in [10, 20, 40, 80, 160, 320, 320] {
        let last = panic_thrice(&mut panics, start);
        assert!(!panics.may_plan(at(last + length - 1)), "{length}");
        assert!(panics.may_plan(at(last + length)), "{length}");
        start = last + length + 1;
    }
    let last = panic_thrice(&mut panics, start + 1_000);
    assert!(panics.may_plan(at(last + 10)), "a sound time does not count");
}
