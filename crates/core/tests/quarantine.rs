//! Which requests are held back, by the evidence alone.

use std::time::Duration;

use proptest::prelude::*;
use slipturn_core::{
    quarantine::{BlameWay, CrashedRun, QuarantineTable},
    request_digest::RequestDigest,
    units::MonoTime,
};

const HOLD: Duration = Duration::from_secs(300);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_span(Duration::from_millis(millis))
}

fn digest(body: &str) -> RequestDigest {
    RequestDigest::of("POST", "/draft/a", None, body.as_bytes())
}

/// A run of `body` from `sent` to `ended`, milliseconds.
fn run(body: &str, upstream: &str, sent: u64, ended: u64) -> CrashedRun {
    let upstream = upstream.parse().expect("a valid name");
    CrashedRun { digest: digest(body), upstream, sent: at(sent), ended: at(ended) }
}

fn table_of(runs: impl IntoIterator<Item = CrashedRun>) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for run in runs {
        table.note_crashes(run.ended, [run]);
    }
    table
}

fn held(table: &QuarantineTable, body: &str, now: u64) -> bool {
    table.verdict(at(now), digest(body)).is_some()
}

#[test]
fn three_ends_in_a_row_hold_a_request_back() {
    let mut table = table_of([run("x", "a", 0, 100), run("x", "b", 100, 200)]);
    assert!(!held(&table, "x", 250) && !table.has_quarantined());
    let news = table.note_crashes(at(300), [run("x", "c", 210, 300)]);
    assert_eq!(news, [digest("x")]);
    let verdict = table.verdict(at(300), digest("x")).expect("held back");
    assert_eq!(verdict.upstreams.len(), 3);
    assert!(!held(&table, "y", 300), "another request is not");
}

#[test]
fn an_end_told_twice_counts_once() {
    let runs = [run("x", "a", 0, 100), run("x", "b", 100, 200), run("x", "b", 101, 201)];
    assert!(!held(&table_of(runs), "x", 300));
}

/// Told as ages, the end of a first attempt and the sending of the second may change places.
#[test]
fn times_that_are_off_by_the_way_of_a_message_do_not_hide_a_sequence() {
    let runs = [run("x", "a", 0, 100), run("x", "b", 97, 200), run("x", "c", 196, 300)];
    assert!(held(&table_of(runs), "x", 300));
    let overlap = [run("x", "a", 0, 100), run("x", "b", 60, 200), run("x", "c", 150, 300)];
    assert!(!held(&table_of(overlap), "x", 300));
}

/// A member that was paused hears all messages at once when it wakes, as if the runs were just over; what it
/// is told later has the truer times.
#[test]
fn the_earliest_times_that_were_told_of_a_run_hold() {
    let mut table =
        table_of([run("x", "a", 800, 900), run("x", "b", 801, 901), run("x", "c", 802, 902)]);
    assert!(!held(&table, "x", 902));
    table.note_crashes(
        at(903),
        [run("x", "a", 0, 100), run("x", "b", 101, 201), run("x", "c", 202, 302)],
    );
    assert!(held(&table, "x", 903));
}

#[test]
fn copies_that_end_at_one_moment_are_one_run_in_the_sequence() {
    let copies = (0..40).map(|copy| run("x", &format!("e{copy}"), copy, 500 + copy % 3));
    assert!(!held(&table_of(copies), "x", 600));
}

/// The evidence that is kept is bounded; waves of more copies than that are still seen as waves.
#[test]
fn three_waves_of_many_copies_hold_a_request_back() {
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
    assert!(held(&table, "x", 3_000));
}

#[test]
fn an_answer_clears_what_was_before() {
    let mut table = table_of([run("x", "a", 0, 100), run("x", "b", 100, 200)]);
    assert!(table.clear(digest("x"), at(250)));
    assert!(!table.clear(digest("y"), at(250)), "nothing is known of it");
    table.note_crashes(at(400), [run("x", "c", 300, 400), run("x", "a2", 120, 240)]);
    assert!(!held(&table, "x", 400), "one end is left, the other had ended before");
}

/// Fourteen prompts stand on each engine that one of them ends, by chance the same three times.
#[test]
fn who_stands_beside_is_not_blamed() {
    let mut runs = Vec::new();
    for (number, upstream) in ["a", "b", "c"].iter().enumerate() {
        let start = number as u64 * 1_000;
        runs.push(run("cause", upstream, start, start + 500));
        runs.extend(
            (0..13).map(|beside| run(&format!("s{beside}"), upstream, start + 1, start + 501)),
        );
    }
    // The cause has ended one more, without the others.
    runs.push(run("cause", "d", 3_000, 3_100));
    let table = table_of(runs);
    assert!(held(&table, "cause", 3_200));
    let beside = (0..13).filter(|beside| held(&table, &format!("s{beside}"), 3_200)).count();
    assert_eq!(beside, 0);
}

#[test]
fn a_request_is_tried_again_after_a_time_that_doubles() {
    let mut table =
        table_of([run("x", "a", 0, 100), run("x", "b", 100, 200), run("x", "c", 200, 300)]);
    let after = 300 + HOLD.as_millis() as u64;
    assert!(held(&table, "x", after - 1) && !held(&table, "x", after));
    let news = table.note_crashes(at(after + 60), [run("x", "d", after, after + 60)]);
    assert_eq!(news, [digest("x")], "held back anew");
    assert!(held(&table, "x", after + 2 * HOLD.as_millis() as u64));
    // A trial that is answered ends it.
    assert!(table.clear(digest("x"), at(after + 100)));
    assert!(!held(&table, "x", after + 101) && !table.has_quarantined());
    assert_eq!(table.answered_age(at(after + 101), digest("x")), Some(Duration::from_millis(1)));
}

#[test]
fn ends_that_led_to_nothing_are_forgotten() {
    let mut table = table_of([run("x", "a", 0, 100)]);
    table.note_crashes(at(700_000), [run("y", "b", 699_900, 700_000)]);
    assert!(!table.suspects(digest("x")) && table.suspects(digest("y")));
}

#[test]
fn a_flood_of_suspects_does_not_push_out_who_is_held_back() {
    let mut table =
        table_of([run("x", "a", 0, 100), run("x", "b", 100, 200), run("x", "c", 200, 300)]);
    for number in 0..5_000 {
        let sent = 300 + number;
        table.note_crashes(at(sent), [run(&format!("s{number}"), "d", sent, sent + 50)]);
    }
    assert!(held(&table, "x", 6_000));
    let kept = (0..5_000).filter(|number| table.suspects(digest(&format!("s{number}")))).count();
    assert!(kept < 512, "{kept} are kept");
}

#[test]
fn another_way_of_counting_takes_a_rack_for_a_cause() {
    let mut table = QuarantineTable::new(BlameWay::Count);
    table.note_crashes(at(500), (0..4).map(|copy| run("x", &format!("e{copy}"), copy, 500)));
    assert!(held(&table, "x", 600), "this is what the sequence guards against");
}

#[test]
fn what_makes_a_request_the_same() {
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
        // Parts do not run into each other.
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

proptest! {
    /// Members hear of ends in other orders, and agree all the same.
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
