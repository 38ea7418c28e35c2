//! What a silent connection says of itself, of its upstream and of others.

use std::time;

use slipturn_core::connection_silence::{AnswerTimes, ConnectionAges, SilenceCause, SilencePhase};

const GOAL: time::Duration = time::Duration::from_millis(300);
const LONGEST: time::Duration = time::Duration::from_millis(675);
const WAITED: time::Duration = time::Duration::from_millis(200);

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

fn ages(opened: u64, heard: Option<u64>) -> ConnectionAges {
    ConnectionAges { opened: millis(opened), heard: heard.map(millis) }
}

fn times(spans: &[u64]) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    spans.iter().for_each(|span| times.note(millis(*span)));
    times
}

#[test]
fn a_head_is_awaited_as_long_as_answers_usually_take() {
    let table = [
        ("nothing known", vec![], LONGEST),
        ("too little known", vec![10; 7], LONGEST),
        ("quick: most of the goal", vec![10; 20], millis(180)),
        ("slower than the goal", vec![400; 60], millis(600)),
        ("as slow as the wait for a slow upstream", vec![800; 60], LONGEST),
    ];
    for (what, spans, wanted) in table {
        let wait = times(&spans).kept_wait(GOAL, LONGEST);
        assert!(wait.abs_diff(wanted) < millis(2), "{what}: {wait:?}");
    }
    let uneven = times(&[40, 120, 60, 90, 30, 110, 70, 50, 100, 80]).kept_wait(GOAL, LONGEST);
    assert!(uneven > millis(200) && uneven < millis(500), "{uneven:?}");
}

#[test]
fn a_silence_is_told_from_a_slow_upstream_by_connections_as_old() {
    let kept = ages(5_000, Some(1_200));
    let table = [
        ("no other", kept, vec![], SilenceCause::KeptConnection),
        ("never heard", ages(220, None), vec![ages(9_000, Some(10))], SilenceCause::Upstream),
        ("as old and heard", kept, vec![ages(3_000, Some(20))], SilenceCause::SlowUpstream),
        ("heard, but newer", kept, vec![ages(1_100, Some(20))], SilenceCause::KeptConnection),
        ("as old, unheard", kept, vec![ages(3_000, Some(150))], SilenceCause::KeptConnection),
    ];
    for (what, silent, others, wanted) in table {
        let cause = SilenceCause::of(silent, SilencePhase::Head, WAITED, others.into_iter());
        assert_eq!(cause, wanted, "{what}");
    }
    let midway =
        SilenceCause::of(ages(900, Some(200)), SilencePhase::MidAnswer, WAITED, std::iter::empty());
    assert_eq!(midway, SilenceCause::OpenConnection);
}

#[test]
fn one_that_was_open_all_the_time_and_is_heard_speaks_for_the_others() {
    let silent = ages(5_000, Some(1_200));
    let heard = [ages(300, Some(10)), ages(9_000, Some(10))];
    assert!(silent.has_live_peer(WAITED, heard.into_iter()));
    assert!(!silent.has_live_peer(WAITED, heard.into_iter().take(1)), "opened behind the silence");
    assert!(!silent.has_live_peer(WAITED, std::iter::empty()));
}

#[test]
fn only_what_was_heard_late_in_the_wait_is_trusted_behind_it() {
    assert!(ages(5_000, Some(20)).trusted(WAITED));
    assert!(!ages(5_000, Some(120)).trusted(WAITED), "it may have fallen silent with the other");
    assert!(!ages(50, None).trusted(WAITED));
    for cause in [SilenceCause::Upstream, SilenceCause::SlowUpstream] {
        assert!(!cause.doubts_others(), "{cause:?}");
    }
}
