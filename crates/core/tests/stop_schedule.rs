//! Tests of the times of a graceful stop.

use std::time;

use slipturn_core::{
    connection_silence,
    stop_schedule::{ExpectedTime, StopSchedule},
    units::MonoTime,
};

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Answers that all take the same time.
fn usual(time: time::Duration) -> ExpectedTime {
    ExpectedTime::Usual(connection_silence::TimeEstimate { mean: time, longest: time })
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_span(time::Duration::from_millis(millis))
}

#[test]
fn the_exit_is_in_the_last_sixth_of_any_grace() {
    for grace_ms in [100, 1_000, 2_000, 4_000, 5_400, 8_000, 30_000, 600_000] {
        let grace = time::Duration::from_millis(grace_ms);
        let schedule = StopSchedule::new(at(1_000), grace);
        let exit = schedule.exit_at().since(at(1_000));
        assert!(exit >= grace * 5 / 6 && exit < grace, "{grace:?}: {exit:?}");
        assert!(schedule.closing_at() < schedule.exit_at(), "{grace:?}");
    }
}

#[test]
fn a_request_is_sent_as_long_as_its_answer_is_expected_before_the_exit() {
    let schedule = StopSchedule::new(at(0), SECOND * 8);
    let last = |expected| schedule.last_send_at(at(5_000), SECOND * 10, expected);
    assert_eq!(last(usual(SECOND)), at(6_100));
    assert_eq!(last(usual(SECOND * 20)), at(0));
    assert_eq!(last(ExpectedTime::Unknown), schedule.closing_at());
    assert_eq!(last(ExpectedTime::Resumed), at(6_100));
}

/// Guards against a stream that is given up for another engine, which pauses beyond the exit as well.
#[test]
fn a_short_grace_leaves_a_resumed_stream_time_to_pause() {
    let schedule = StopSchedule::new(at(0), SECOND * 4);
    let last = schedule.last_send_at(at(2_000), SECOND * 10, ExpectedTime::Resumed);
    assert_eq!(schedule.exit_at().since(last), SECOND);
}

#[test]
fn a_request_whose_deadline_is_before_the_exit_is_sent() {
    let schedule = StopSchedule::new(at(0), SECOND * 8);
    let usual = usual(SECOND * 20);
    assert_eq!(schedule.last_send_at(at(5_000), SECOND * 2, usual), schedule.exit_at());
    assert!(schedule.last_send_at(at(5_200), SECOND * 2, usual) < at(5_200));
}

/// Guards against a stop that rejects, from its first moment, calls of a route whose answers all fit into its grace time.
#[test]
fn a_call_is_sent_at_the_begin_of_a_stop_if_each_earlier_answer_would_fit() {
    let mut times = connection_silence::AnswerTimes::default();
    for number in 0..64 {
        times.note(time::Duration::from_millis(if number % 2 == 0 { 500 } else { 4_000 }));
    }
    let schedule = StopSchedule::new(at(0), SECOND * 8);
    let usual = ExpectedTime::Usual(times.estimate().expect("enough answers are known"));
    let last = schedule.last_send_at(at(10), SECOND * 30, usual);
    assert!(last >= at(2_600), "{usual:?}: sent until {last}");
}
