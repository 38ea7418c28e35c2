//! Time to wait for an answer on a reused connection, and the assumed cause when a connection goes silent.

use std::time;

use slipturn_core::connection_silence::{AnswerTimes, ConnectionAges, SilenceCause, SilencePhase};

/// Latency goal of the service. A fixed part of it is the shortest wait for an answer on a reused connection.
const GOAL: time::Duration = time::Duration::from_millis(300);
/// Longest wait for the head of an answer on a reused connection; it applies if the upstream usually answers slowly, or
/// its answer times are unknown.
const LONGEST_WAIT: time::Duration = time::Duration::from_millis(675);
/// Time for which a connection has been silent while an answer was expected on it.
const WAITED: time::Duration = time::Duration::from_millis(200);

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

fn ages(opened: u64, received: Option<u64>) -> ConnectionAges {
    ConnectionAges { opened: millis(opened), received: received.map(millis) }
}

fn times(spans: &[u64]) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    spans.iter().for_each(|span| times.note(millis(*span)));
    times
}

#[test]
fn the_wait_for_a_head_follows_the_usual_answer_time() {
    let table = [
        ("no answers", vec![], LONGEST_WAIT),
        ("too few answers", vec![10; 7], LONGEST_WAIT),
        ("fast answers: part of the goal", vec![10; 20], millis(180)),
        ("answers slower than the goal", vec![400; 60], millis(600)),
        ("answers slower than the longest wait", vec![800; 60], LONGEST_WAIT),
    ];
    for (case, spans, expected) in table {
        let wait = times(&spans).reused_connection_wait(GOAL, LONGEST_WAIT);
        assert!(wait.abs_diff(expected) < millis(2), "{case}: {wait:?}");
    }
    let uneven = times(&[40, 120, 60, 90, 30, 110, 70, 50, 100, 80])
        .reused_connection_wait(GOAL, LONGEST_WAIT);
    assert!(uneven > millis(200) && uneven < millis(500), "{uneven:?}");
}

#[test]
fn a_live_connection_open_for_as_long_shows_that_the_upstream_is_slow() {
    let reused = ages(5_000, Some(1_200));
    let table = [
        ("no other", reused, vec![], SilenceCause::ReusedConnection),
        ("never any data", ages(220, None), vec![ages(9_000, Some(10))], SilenceCause::Upstream),
        ("open throughout, live", reused, vec![ages(3_000, Some(20))], SilenceCause::SlowUpstream),
        ("opened later, live", reused, vec![ages(1_100, Some(20))], SilenceCause::ReusedConnection),
        (
            "open throughout, not live",
            reused,
            vec![ages(3_000, Some(150))],
            SilenceCause::ReusedConnection,
        ),
    ];
    for (case, silent, others, expected) in table {
        let cause = SilenceCause::of(silent, SilencePhase::Head, WAITED, others.into_iter());
        assert_eq!(cause, expected, "{case}");
    }
    let mid_answer =
        SilenceCause::of(ages(900, Some(200)), SilencePhase::MidAnswer, WAITED, std::iter::empty());
    assert_eq!(mid_answer, SilenceCause::OpenConnection);
}

#[test]
fn only_a_connection_open_since_the_silence_began_counts_as_a_live_peer() {
    let silent = ages(5_000, Some(1_200));
    let live = [ages(300, Some(10)), ages(9_000, Some(10))];
    assert!(silent.has_live_peer(WAITED, live.into_iter()));
    assert!(
        !silent.has_live_peer(WAITED, live.into_iter().take(1)),
        "the connection was opened after the silence began"
    );
    assert!(!silent.has_live_peer(WAITED, std::iter::empty()));
}

#[test]
fn only_connections_with_data_late_in_the_wait_are_trusted() {
    assert!(ages(5_000, Some(20)).trusted(WAITED));
    assert!(
        !ages(5_000, Some(120)).trusted(WAITED),
        "the connection may have gone silent with the other one"
    );
    assert!(!ages(50, None).trusted(WAITED));
    for cause in [SilenceCause::Upstream, SilenceCause::SlowUpstream] {
        assert!(!cause.may_affect_others(), "{cause:?}");
    }
}
