//! Quarantine of requests that crash upstreams, as derived from reported crashes and answers.

use std::time::Duration;

use proptest::prelude::*;
use slipturn_core::{
    answered_requests::AnsweredRequests,
    quarantine::{CrashCountMode, CrashTime, CrashedRun, QuarantineTable},
    request_digest::RequestDigest,
    units::MonoTime,
};

const QUARANTINE_TIME: Duration = Duration::from_secs(300);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_span(Duration::from_millis(millis))
}

fn digest(body: &str) -> RequestDigest {
    RequestDigest::of("POST", "/draft/a", None, body.as_bytes())
}

/// A run of the request with this body, from `sent` to the crash at `ended`, in milliseconds.
fn run(body: &str, upstream: &str, sent: u64, ended: u64) -> CrashedRun {
    let upstream = upstream.parse().expect("a valid name");
    let (sent, ended) = (at(sent).into(), at(ended).into());
    CrashedRun { digest: digest(body), upstream, sent, ended }
}

fn table_of(runs: impl IntoIterator<Item = CrashedRun>) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for run in runs {
        table.note_crashes(run.ended.since_start(), [run]);
    }
    table
}

fn is_quarantined(table: &QuarantineTable, body: &str, now: u64) -> bool {
    table.verdict(at(now), digest(body)).is_some()
}

#[test]
fn three_crashes_in_sequence_quarantine_a_request() {
    let mut table = table_of([run("x", "a", 0, 100), run("x", "b", 100, 200)]);
    assert!(!is_quarantined(&table, "x", 250) && !table.has_quarantined());
    let added = table.note_crashes(at(300), [run("x", "c", 210, 300)]);
    assert_eq!(added, [digest("x")]);
    let verdict = table.verdict(at(300), digest("x")).expect("quarantined");
    assert_eq!(verdict.upstreams.len(), 3);
    assert!(!is_quarantined(&table, "y", 300), "another request is not quarantined");
}

#[test]
fn a_crash_reported_twice_counts_once() {
    let runs = [run("x", "a", 0, 100), run("x", "b", 100, 200), run("x", "b", 101, 201)];
    assert!(!is_quarantined(&table_of(runs), "x", 300));
}

/// Guards against crashes of successive runs that are not counted because of inaccurate times: as times are exchanged as
/// ages, the second attempt may seem to be sent before the first one ended.
#[test]
fn a_small_overlap_of_runs_does_not_hide_a_sequence() {
    let runs = [run("x", "a", 0, 100), run("x", "b", 97, 200), run("x", "c", 196, 300)];
    assert!(is_quarantined(&table_of(runs), "x", 300));
    let overlap = [run("x", "a", 0, 100), run("x", "b", 60, 200), run("x", "c", 150, 300)];
    assert!(!is_quarantined(&table_of(overlap), "x", 300));
}

/// Guards against crashes that a paused member does not count: after the pause it receives all messages at once, as if the
/// runs had just ended together, and more accurate times only in later reports.
#[test]
fn the_earliest_reported_times_of_a_run_are_used() {
    let mut table =
        table_of([run("x", "a", 800, 900), run("x", "b", 801, 901), run("x", "c", 802, 902)]);
    assert!(!is_quarantined(&table, "x", 902));
    table.note_crashes(
        at(903),
        [run("x", "a", 0, 100), run("x", "b", 101, 201), run("x", "c", 202, 302)],
    );
    assert!(is_quarantined(&table, "x", 903));
}

#[test]
fn copies_that_crash_at_the_same_time_count_once() {
    let copies = (0..40).map(|copy| run("x", &format!("e{copy}"), copy, 500 + copy % 3));
    assert!(!is_quarantined(&table_of(copies), "x", 600));
}

/// Guards against a quarantine of a call that many callers send: its second attempts run on upstreams that end together.
#[test]
fn upstreams_that_end_together_count_once_under_a_call_that_is_sent_again_at_once() {
    let runs = [run("x", "a", 0, 100), run("x", "b", 101, 103), run("x", "c", 104, 109)];
    assert!(!is_quarantined(&table_of(runs), "x", 200));
    let apart = [run("x", "a", 0, 100), run("x", "b", 101, 160), run("x", "c", 161, 220)];
    assert!(is_quarantined(&table_of(apart), "x", 300));
}

/// Evidence of a member that has just started: three runs whose crashes were `gap_ms` apart, the last one a second before.
fn table_of_crashes_before_the_start(gap_ms: u64) -> QuarantineTable {
    let ago = |millis: u64| CrashTime::before(at(0), millis * 1_000);
    let runs = ["a", "b", "c"].into_iter().zip([2, 1, 0]).map(|(upstream, later)| {
        let ended = 1_000 + gap_ms * later;
        CrashedRun { sent: ago(ended + gap_ms), ended: ago(ended), ..run("x", upstream, 0, 0) }
    });
    let mut table = QuarantineTable::default();
    table.note_crashes(at(0), runs);
    table
}

/// Guards against a restarted member that does not quarantine what the others do: the crashes happened before its start.
#[test]
fn crashes_before_the_start_of_the_process_count_if_they_were_apart() {
    assert!(is_quarantined(&table_of_crashes_before_the_start(100), "x", 200));
}

/// Guards against a restarted member that quarantines what the others do not.
#[test]
fn crashes_before_the_start_of_the_process_count_once_if_they_were_together() {
    assert!(!is_quarantined(&table_of_crashes_before_the_start(5), "x", 200));
}

/// Guards against waves of crashes that are not counted because each wave has more copies of the request than the table
/// stores crashes for a request.
#[test]
fn three_waves_of_many_copies_quarantine_a_request() {
    let wave = |number: u64| {
        (0..40).map(move |copy| {
            run(
                "x",
                &format!("e{number}-{copy}"),
                number * 1_000 + copy,
                number * 1_000 + 500 + copy,
            )
        })
    };
    let table = table_of((0..3).flat_map(wave));
    assert!(is_quarantined(&table, "x", 3_000));
}

#[test]
fn an_answer_clears_a_request_of_earlier_crashes() {
    let mut table = table_of([run("x", "a", 0, 100), run("x", "b", 100, 200)]);
    assert!(table.clear(digest("x"), at(250)));
    assert!(!table.clear(digest("y"), at(250)), "there is no record of the request");
    table.note_crashes(at(400), [run("x", "c", 300, 400), run("x", "a2", 120, 240)]);
    assert!(
        !is_quarantined(&table, "x", 400),
        "one crash is left, the other was before the answer"
    );
}

/// Guards against blaming the wrong requests: one of fourteen requests crashes its engine, and by chance the other
/// thirteen run beside it three times.
#[test]
fn requests_that_run_beside_the_cause_are_not_quarantined() {
    let mut runs = Vec::new();
    for (number, upstream) in ["a", "b", "c"].iter().enumerate() {
        let start = number as u64 * 1_000;
        runs.push(run("cause", upstream, start, start + 500));
        runs.extend(
            (0..13).map(|other| run(&format!("s{other}"), upstream, start + 1, start + 501)),
        );
    }
    // The cause crashes another engine, on which none of the others runs.
    runs.push(run("cause", "d", 3_000, 3_100));
    let table = table_of(runs);
    assert!(is_quarantined(&table, "cause", 3_200));
    let others =
        (0..13).filter(|other| is_quarantined(&table, &format!("s{other}"), 3_200)).count();
    assert_eq!(others, 0);
}

#[test]
fn a_quarantine_expires_and_doubles_after_the_next_crash() {
    let mut table =
        table_of([run("x", "a", 0, 100), run("x", "b", 100, 200), run("x", "c", 200, 300)]);
    let after = 300 + QUARANTINE_TIME.as_millis() as u64;
    assert!(is_quarantined(&table, "x", after - 1) && !is_quarantined(&table, "x", after));
    let added = table.note_crashes(at(after + 60), [run("x", "d", after, after + 60)]);
    assert_eq!(added, [digest("x")], "quarantined again");
    assert!(is_quarantined(&table, "x", after + 2 * QUARANTINE_TIME.as_millis() as u64));
    // An answer to the request ends the quarantine.
    assert!(table.clear(digest("x"), at(after + 100)));
    assert!(!is_quarantined(&table, "x", after + 101) && !table.has_quarantined());
    assert_eq!(table.answered_age(at(after + 101), digest("x")), Some(Duration::from_millis(1)));
}

#[test]
fn old_evidence_without_a_quarantine_is_dropped() {
    let mut table = table_of([run("x", "a", 0, 100)]);
    table.note_crashes(at(700_000), [run("y", "b", 699_900, 700_000)]);
    assert!(!table.suspects(digest("x")) && table.suspects(digest("y")));
}

#[test]
fn a_flood_of_suspects_does_not_displace_a_quarantined_request() {
    let mut table =
        table_of([run("x", "a", 0, 100), run("x", "b", 100, 200), run("x", "c", 200, 300)]);
    for number in 0..5_000 {
        let sent = 300 + number;
        table.note_crashes(at(sent), [run(&format!("s{number}"), "d", sent, sent + 50)]);
    }
    assert!(is_quarantined(&table, "x", 6_000));
    let remaining =
        (0..5_000).filter(|number| table.suspects(digest(&format!("s{number}")))).count();
    assert!(remaining < 512, "{remaining} suspects remain");
}

#[test]
fn counting_every_crash_quarantines_a_request_after_a_rack_failure() {
    let mut table = QuarantineTable::new(CrashCountMode::Count);
    table.note_crashes(at(500), (0..4).map(|copy| run("x", &format!("e{copy}"), copy, 500)));
    assert!(is_quarantined(&table, "x", 600), "the sequence rule exists to prevent this");
}

#[test]
fn digests_depend_on_method_target_customer_and_body() {
    let customer = |name: &str| name.parse().expect("a valid name");
    let of = |method, target, name: &str, body: &str| {
        RequestDigest::of(method, target, Some(&customer(name)), body.as_bytes())
    };
    let one = of("POST", "/a", "c", "body");
    assert_eq!(one, of("POST", "/a", "c", "body"));
    for other in [
        of("PUT", "/a", "c", "body"),
        of("POST", "/a?q", "c", "body"),
        of("POST", "/a", "d", "body"),
        of("POST", "/a", "c", "bodi"),
        // Moving a character from one part to the next changes the digest.
        of("POST", "/ac", "b", "ody"),
        RequestDigest::of("POST", "/a", None, b"cbody"),
    ] {
        assert_ne!(one, other);
    }
    assert_eq!(one.to_string().parse(), Ok(one));
    assert!(
        "zz".parse::<RequestDigest>().is_err() && "é".repeat(16).parse::<RequestDigest>().is_err()
    );
}

/// Adds ten answers to the request, a second apart from `from` on, in milliseconds.
fn note_answers(table: &mut QuarantineTable, body: &str, from: u64) {
    (0..10).for_each(|number| table.note_answer(at(from + number * 1_000), digest(body)));
}

fn note_runs(table: &mut QuarantineTable, runs: impl IntoIterator<Item = CrashedRun>) {
    runs.into_iter().for_each(|run| _ = table.note_crashes(run.ended.since_start(), [run]));
}

/// Crashes of `count` upstreams under successive runs of the request, `gap_ms` apart.
fn series(body: &str, first: u64, gap_ms: u64, count: u64) -> Vec<CrashedRun> {
    let run_at = |number: u64| {
        let sent = first + number * gap_ms;
        run(body, &format!("s{number}-{first}"), sent + 1, sent + gap_ms)
    };
    (0..count).map(run_at).collect()
}

/// Guards against a quarantine of a call whose upstreams lose power one after the other.
#[test]
fn a_request_answered_before_is_not_quarantined_for_a_short_series_of_crashes() {
    let mut table = QuarantineTable::default();
    note_answers(&mut table, "x", 0);
    note_runs(&mut table, series("x", 10_000, 90, 5));
    note_runs(&mut table, series("y", 10_000, 90, 3));
    assert!(!is_quarantined(&table, "x", 10_500));
    assert!(is_quarantined(&table, "y", 10_500), "a request that was never answered");
}

#[test]
fn a_request_answered_before_is_quarantined_if_its_answers_are_missing() {
    let mut table = QuarantineTable::default();
    note_answers(&mut table, "x", 0);
    let runs = [("a", 10_000), ("b", 14_000), ("c", 20_000)]
        .map(|(name, at)| run("x", name, at - 500, at));
    note_runs(&mut table, runs);
    assert!(is_quarantined(&table, "x", 20_000));
}

#[test]
fn a_request_answered_before_is_quarantined_after_a_long_series_of_crashes() {
    let mut table = QuarantineTable::default();
    note_answers(&mut table, "x", 0);
    note_runs(&mut table, series("x", 10_000, 90, 6));
    assert!(is_quarantined(&table, "x", 10_600));
}

/// Guards against a member that knows no answers of its own and quarantines what the others have answered.
#[test]
fn answers_of_members_count_once_for_each_series_of_crashes() {
    let mut table = QuarantineTable::default();
    table.note_member_rate(digest("x"), 100.0);
    note_runs(&mut table, series("x", 1_000, 90, 1));
    assert!(table.take_suspects().is_empty(), "one crash is no suspicion");
    note_runs(&mut table, series("x", 1_090, 90, 1));
    let asked = table.take_suspects();
    assert_eq!(asked, [(digest("x"), CrashTime::from(at(1_090)))]);
    assert!(table.take_suspects().is_empty(), "asked once");
    table.note_member_rate(digest("x"), 0.5);
    table.note_member_rate(digest("x"), 0.5);
    note_runs(&mut table, series("x", 1_180, 90, 1));
    assert!(!is_quarantined(&table, "x", 1_300));
    assert!(table.clear(digest("x"), at(2_000)));
    note_runs(&mut table, series("x", 30_000, 90, 2));
    assert_eq!(table.take_suspects().len(), 1, "asked again after an answer");
    note_runs(&mut table, series("x", 30_180, 90, 1));
    assert!(is_quarantined(&table, "x", 30_300), "no member has answered it lately");
}

/// Guards against a request that a member's reply keeps from being quarantined although it was not answered regularly.
#[test]
fn a_single_answer_long_before_does_not_prolong_a_series() {
    let mut table = QuarantineTable::default();
    table.note_answer(at(0), digest("x"));
    note_runs(&mut table, series("x", 20_000, 90, 3));
    assert!(is_quarantined(&table, "x", 20_300));
}

#[test]
fn a_flood_of_single_answers_does_not_displace_a_request_that_is_answered_often() {
    let mut answered = AnsweredRequests::default();
    for number in 0..20_000 {
        let now = at(number);
        answered.note(now, digest(&format!("once {number}")));
        if number.is_multiple_of(500) {
            answered.note(now, digest("often"));
        }
        assert!(answered.len() <= 2_048, "{} are kept", answered.len());
    }
    assert!(answered.rate(at(20_000), digest("often")) > 1.0);
}

proptest! {
    /// Guards against quarantines that depend on the order in which members learn of crashes.
    #[test]
    fn members_with_the_same_evidence_agree(
        runs in prop::collection::vec((0_u8..4, 0_u8..9, 0_u64..3_000, 1_u64..800), 1..14),
        order in any::<u64>(),
    ) {
        let mut runs: Vec<_> = runs
            .into_iter()
            .map(|(body, upstream, sent, took)| {
                run(&format!("b{body}"), &format!("u{upstream}-{sent}"), sent, sent + took)
            })
            .collect();
        let one = table_of(runs.clone());
        let length = runs.len();
        runs.rotate_left(order as usize % length);
        let other = order as usize / 7 % length;
        runs.swap(0, other);
        let two = table_of(runs);
        prop_assert_eq!(one.quarantined_at(at(4_000)), two.quarantined_at(at(4_000)));
    }
}
