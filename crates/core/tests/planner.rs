//! Individual decisions of the placement planner: which engine answers a request, which engines prefill parts of its
//! prompt, and which requests are refused.

mod support;

use proptest::prelude::*;
use slipturn_core::{
    engine_place::{
        JobId, PlaceAnswer, PlaceEnd, PlaceGrant, PlaceLease, PlaceNote, PlacementRequest,
    },
    pass_model,
    planner::{PlacementPlanner, PlannerOptions},
    settings::RoutingKind,
};
use support::{MEMORY, SLOTS, at, engine, long, shape, short};

fn planner(engines: usize) -> PlacementPlanner {
    let mut planner = PlacementPlanner::new(shape(), PlannerOptions::default());
    let names: Vec<_> = (0..engines).map(|number| (engine(number), number as u64)).collect();
    planner.set_engines(at(0), &names);
    planner
}

fn grant(answer: Option<PlaceAnswer>) -> PlaceGrant {
    match answer {
        Some(PlaceAnswer::Grant(grant)) => grant,
        other => panic!("expected a placement, found {other:?}"),
    }
}

fn place(planner: &mut PlacementPlanner, now: u64, request: PlacementRequest) -> PlaceGrant {
    grant(planner.request(at(now), request))
}

/// Places a request and reports its first token, so that the request is decoding.
fn place_decoding(
    planner: &mut PlacementPlanner,
    now: u64,
    request: PlacementRequest,
) -> PlaceGrant {
    let grant = place(planner, now, request);
    planner.first_token(at(now), grant.job);
    grant
}

#[test]
fn short_prompts_are_packed_onto_few_engines() {
    let mut planner = planner(8);
    let used: std::collections::BTreeSet<_> = (0..8)
        .map(|number| place_decoding(&mut planner, number * 100, short(number)).engine)
        .collect();
    assert_eq!(used.len(), 1, "{used:?}");
}

#[test]
fn a_long_prompt_is_split_over_engines_without_short_requests() {
    let mut planner = planner(8);
    let busy = place_decoding(&mut planner, 0, short(1)).engine;
    let grant = place(&mut planner, 50, long(2, 154_000));
    assert!(grant.helpers.len() >= 3, "{grant:?}");
    assert!(grant.engine != busy && !grant.helpers.contains(&busy), "{grant:?}");
    assert!(grant.first_token_ms < 3_000);
}

#[test]
fn long_prompts_do_not_share_engines() {
    let mut planner = planner(4);
    let first = place(&mut planner, 0, long(1, 154_000));
    let second = planner.request(at(10), long(2, 154_000));
    if let Some(PlaceAnswer::Grant(second)) = second {
        let used: Vec<_> = second.helpers.iter().chain([&second.engine]).collect();
        assert!(!used.contains(&&first.engine), "{first:?} {second:?}");
        assert!(!first.helpers.iter().any(|helper| used.contains(&helper)), "{second:?}");
    }
}

#[test]
fn a_waiting_long_prompt_is_placed_once_the_parts_before_it_are_prefilled() {
    let mut planner = planner(2);
    place(&mut planner, 0, long(1, 90_000));
    assert!(planner.request(at(1), long(2, 90_000)).is_none());
    assert!(planner.tick(at(100)).is_empty());
    let prefill_time = pass_model::prefill_ms(&shape(), 90_000) as u64;
    let answers = planner.tick(at(prefill_time + 10));
    assert_eq!(answers.len(), 1, "{answers:?}");
}

#[test]
fn the_earliest_due_prompt_goes_first_if_all_can_be_in_time() {
    let mut planner = planner(1);
    place(&mut planner, 0, long(1, 60_000));
    assert!(planner.request(at(1), long(2, 50_000)).is_none());
    assert!(planner.request(at(2), long(3, 30_000)).is_none());
    planner.end(at(700), JobId { boot: 1, sequence: 1 }, PlaceEnd::Done);
    let first = planner.tick(at(700)).into_iter().next();
    assert_eq!(grant(first).job.sequence, 2);
}

#[test]
fn an_urgent_prompt_goes_before_a_smaller_one() {
    let mut planner = planner(1);
    place(&mut planner, 0, long(1, 60_000));
    let urgent = PlacementRequest { goal_left_ms: 1_900, goal_ms: 1_900, ..long(2, 80_000) };
    assert!(planner.request(at(1), urgent).is_none());
    assert!(planner.request(at(2), long(3, 30_000)).is_none());
    planner.end(at(700), JobId { boot: 1, sequence: 1 }, PlaceEnd::Done);
    let first = planner.tick(at(700)).into_iter().next();
    assert_eq!(grant(first).job.sequence, 2);
}

#[test]
fn a_late_long_prompt_does_not_break_the_pause_goals_of_many_requests() {
    let mut planner = planner(2);
    for number in 0..28 {
        place_decoding(&mut planner, number * 20, short(number));
    }
    let late = PlacementRequest { goal_left_ms: 0, patience_ms: 9_000, ..long(99, 200_000) };
    assert!(
        planner.request(at(1_000), late).is_none(),
        "it waits for an engine where it delays no others"
    );
    assert!(planner.tick(at(2_000)).is_empty());
}

#[test]
fn a_short_prompt_is_refused_at_once_only_if_all_slots_are_in_use() {
    let mut planner = planner(1);
    for number in 0..SLOTS as u64 {
        place_decoding(&mut planner, number * 60, short(number));
    }
    let answer = planner.request(at(2_000), short(50));
    let Some(PlaceAnswer::Refuse(refusal)) = answer else {
        panic!("expected a refusal, found {answer:?}");
    };
    assert_eq!((refusal.running, refusal.slots), (16, 16));
    assert!(refusal.back_after_ms >= 300, "{refusal:?}");
    assert_eq!(planner.waiting_count(), 0, "a refused request must not stay queued");
    planner.end(at(2_100), JobId { boot: 1, sequence: 0 }, PlaceEnd::Done);
    place(&mut planner, 2_100, short(51));
}

#[test]
fn a_short_prompt_is_refused_if_its_caller_would_give_up_first() {
    let mut planner = planner(1);
    // The only engine prefills for seconds; few of its slots are in use.
    let late = PlacementRequest { goal_left_ms: 0, patience_ms: 9_000, ..long(99, 250_000) };
    place(&mut planner, 0, late);
    let answer = planner.request(at(100), short(1));
    let Some(PlaceAnswer::Refuse(refusal)) = answer else { panic!("{answer:?}") };
    assert!(refusal.expected_ms > Some(2_000), "{refusal:?}");
    assert_eq!((planner.placed_count(), planner.waiting_count()), (1, 0));
}

#[test]
fn slots_of_an_engine_that_prefills_for_seconds_do_not_count_as_free() {
    let mut planner = planner(3);
    // Only one engine may prefill the long prompt, which takes 7.2 s: late, but before its caller gives up.
    let late = PlacementRequest { goal_left_ms: 0, patience_ms: 8_000, ..long(99, 250_000) };
    let long =
        place(&mut planner, 0, PlacementRequest { excluded: vec![engine(1), engine(2)], ..late });
    assert_eq!(long.engine, engine(0));
    for number in 0..2 * SLOTS as u64 {
        place_decoding(&mut planner, 10 + number, short(number));
    }
    let answer = planner.request(at(100), short(70));
    assert!(matches!(answer, Some(PlaceAnswer::Refuse(_))), "{answer:?}");
}

#[test]
fn at_most_two_retries_may_queue_at_an_engine() {
    let mut planner = planner(1);
    for number in 0..SLOTS as u64 {
        place_decoding(&mut planner, number * 60, short(number));
    }
    let retry = |sequence| PlacementRequest { refusable: false, ..short(sequence) };
    place(&mut planner, 2_000, retry(60));
    place(&mut planner, 2_001, retry(61));
    let answer = planner.request(at(2_002), retry(62));
    assert!(matches!(answer, Some(PlaceAnswer::Refuse(_))), "at most two: {answer:?}");
}

#[test]
fn a_resumed_request_is_placed_even_if_all_slots_are_in_use() {
    let mut planner = planner(2);
    for number in 0..2 * SLOTS as u64 {
        place_decoding(&mut planner, number * 30, short(number));
    }
    let resumed = PlacementRequest { refusable: false, resumed: true, ..short(80) };
    place(&mut planner, 2_000, resumed);
    let long =
        PlacementRequest { refusable: false, resumed: true, goal_left_ms: 0, ..long(81, 90_000) };
    place(&mut planner, 2_001, long);
}

#[test]
fn a_prompt_larger_than_one_engine_is_held_by_several() {
    let mut planner = planner(6);
    let grant = place(&mut planner, 0, long(1, 600_000));
    let held: u64 = grant.held.iter().map(|part| part.tokens).sum();
    assert!(held + MEMORY * 85 / 100 >= 600_000, "{grant:?}");
    for part in &grant.held {
        assert!(part.engine != grant.engine && grant.helpers.contains(&part.engine), "{grant:?}");
        assert!(part.tokens < MEMORY);
    }
}

#[test]
fn a_prompt_larger_than_all_engines_is_refused_at_once() {
    let mut planner = planner(2);
    let request =
        PlacementRequest { patience_ms: 600_000, goal_left_ms: 500_000, ..long(1, 900_000) };
    let answer = planner.request(at(0), request);
    assert!(matches!(answer, Some(PlaceAnswer::Refuse(_))), "{answer:?}");
    assert_eq!(planner.waiting_count(), 0);
}

#[test]
fn a_long_prompt_that_cannot_be_in_time_is_refused_at_once() {
    let mut planner = planner(2);
    place(&mut planner, 0, long(1, 250_000));
    let answer =
        planner.request(at(5), PlacementRequest { patience_ms: 6_000, ..long(2, 250_000) });
    let Some(PlaceAnswer::Refuse(refusal)) = answer else { panic!("{answer:?}") };
    assert!(refusal.back_after_ms >= 3_000, "not before the first is prefilled: {refusal:?}");
    let retry = PlacementRequest { refusable: false, patience_ms: 6_000, ..long(3, 250_000) };
    let answer = planner.request(at(460), retry);
    let Some(PlaceAnswer::Refuse(refusal)) = answer else { panic!("{answer:?}") };
    assert_eq!(refusal.job.sequence, 3, "a retry is refused, too");
    assert_eq!(planner.waiting_count(), 0, "a refused request must not stay queued");
}

#[test]
fn a_late_prompt_is_refused_at_once_under_high_load() {
    let mut planner = planner(2);
    // Without any load the prompt is placed, though late: its first token takes about 5 s.
    let alone = place(&mut planner, 0, long(1, 300_000));
    assert!(alone.first_token_ms > 3_000, "{alone:?}");
    planner.end(at(10), alone.job, PlaceEnd::Done);
    for number in 20..26 {
        let now = number * 1_000;
        place(&mut planner, now, long(number, 130_000));
        planner.end(at(now + 990), JobId { boot: 1, sequence: number }, PlaceEnd::Done);
    }
    let answer = planner.request(at(26_000), long(26, 300_000));
    let Some(PlaceAnswer::Refuse(refusal)) = answer else { panic!("{answer:?}") };
    assert!(refusal.expected_ms > Some(alone.first_token_ms * 2), "{refusal:?}");
}

#[test]
fn a_repeated_request_gets_the_same_answer() {
    let mut planner = planner(4);
    let first = place(&mut planner, 0, long(1, 154_000));
    assert_eq!(place(&mut planner, 40, long(1, 154_000)), first);
    assert_eq!(planner.placed_count(), 1);
}

#[test]
fn leases_that_are_not_renewed_expire() {
    let mut planner = planner(1);
    let renewed = place(&mut planner, 0, short(1));
    place(&mut planner, 0, short(2));
    let lease = PlaceLease { request: short(1), grant: renewed, prefilling: false };
    planner.take_over(at(2_000), vec![lease]);
    planner.tick(at(2_600));
    assert_eq!(planner.placed_count(), 1);
}

#[test]
fn a_new_planner_adopts_placements_in_use() {
    let mut before = planner(1);
    let leases: Vec<_> = (0..SLOTS as u64)
        .map(|number| {
            let grant = place_decoding(&mut before, number * 60, short(number));
            PlaceLease { request: short(number), grant, prefilling: false }
        })
        .collect();
    let mut after = planner(1);
    after.take_over(at(2_000), leases);
    assert_eq!(after.placed_count(), SLOTS);
    let answer = after.request(at(2_001), short(90));
    assert!(matches!(answer, Some(PlaceAnswer::Refuse(_))), "all slots are in use: {answer:?}");
}

#[test]
fn a_failed_engine_is_ejected_and_a_silent_one_is_suspected() {
    let mut planner = planner(2);
    let grant = place(&mut planner, 0, short(1));
    planner.end(at(10), grant.job, PlaceEnd::Failed);
    assert_ne!(place(&mut planner, 20, short(2)).engine, grant.engine);
    let silent = place(&mut planner, 30, short(3));
    planner.end(at(40), silent.job, PlaceEnd::Silent);
    assert_eq!(planner.take_suspects(), vec![silent.engine]);
    assert!(planner.take_suspects().is_empty());
}

#[test]
fn an_engine_that_refused_to_help_is_ejected_until_the_list_may_mark_it_leaving() {
    let mut planner = planner(3);
    planner.note(at(0), &PlaceNote::Eject(engine(1)));
    let grant = place(&mut planner, 2_000, long(1, 154_000));
    assert!(grant.engine != engine(1) && !grant.helpers.contains(&engine(1)), "{grant:?}");
    planner.end(at(2_001), grant.job, PlaceEnd::Done);
    let grant = place(&mut planner, 2_600, long(2, 154_000));
    assert_eq!(grant.helpers.len(), 2, "all three prefill: {grant:?}");
}

#[test]
fn an_excluded_engine_is_never_used_and_a_failed_one_only_as_a_last_resort() {
    let mut planner = planner(2);
    let request = PlacementRequest { excluded: vec![engine(0)], ..short(1) };
    assert_eq!(place(&mut planner, 0, request).engine, engine(1));
    planner.eject(at(0), &engine(1));
    let request = PlacementRequest { excluded: vec![engine(0)], ..short(2) };
    assert_eq!(place(&mut planner, 1, request).engine, engine(1));
}

#[test]
fn an_engine_full_of_another_planners_requests_gets_no_more() {
    let mut planner = planner(2);
    planner.set_report(&engine(0), 1.0, SLOTS + 6);
    for number in 0..SLOTS as u64 {
        assert_eq!(place_decoding(&mut planner, number * 60, short(number)).engine, engine(1));
    }
    planner.set_report(&engine(0), 1.0, 3);
    assert_eq!(
        place(&mut planner, 2_000, short(90)).engine,
        engine(0),
        "a small excess is ignored"
    );
}

#[test]
fn a_late_long_prompt_waits_while_short_ones_are_refused() {
    let mut planner = planner(3);
    for number in 0..3 * SLOTS as u64 {
        place_decoding(&mut planner, number * 10, short(number));
    }
    let answer = planner.request(at(1_150), short(90));
    assert!(matches!(answer, Some(PlaceAnswer::Refuse(_))), "{answer:?}");
    for number in 0..3 * SLOTS as u64 {
        planner.end(at(1_160), JobId { boot: 1, sequence: number }, PlaceEnd::Done);
    }
    let late = PlacementRequest { goal_left_ms: 0, patience_ms: 9_000, ..long(99, 150_000) };
    assert!(planner.request(at(1_170), late).is_none());
    assert!(planner.tick(at(1_300)).is_empty());
    assert_eq!(planner.tick(at(2_000)).len(), 1, "no short prompt was refused recently");
}

#[test]
fn a_long_prompt_is_refused_if_its_caller_would_give_up_first() {
    let mut planner = planner(2);
    place(&mut planner, 0, long(1, 250_000));
    let late = PlacementRequest { goal_left_ms: 0, patience_ms: 900, ..long(2, 150_000) };
    let late = PlacementRequest { refusable: false, ..late };
    let answer = planner.request(at(100), late);
    assert!(matches!(answer, Some(PlaceAnswer::Refuse(_))), "{answer:?}");
    assert_eq!((planner.placed_count(), planner.waiting_count()), (1, 0));
}

#[test]
fn a_long_prompt_that_is_late_anyway_does_not_delay_others() {
    let mut planner = planner(1);
    for number in 0..10 {
        place_decoding(&mut planner, number * 50, short(number));
    }
    // The prefill of the long prompt takes 2.9 s, which would pause ten decoding requests, and is due in 1.5 s.
    let hurried = PlacementRequest { goal_left_ms: 1_500, refusable: false, ..long(99, 150_000) };
    let answer = planner.request(at(600), hurried);
    assert!(answer.is_none(), "{answer:?}");
    assert!(planner.tick(at(900)).is_empty(), "it waits for an engine where it delays no others");
}

#[test]
fn baseline_policies_place_each_prompt_on_one_engine_at_once() {
    for routing in [RoutingKind::RoundRobin, RoutingKind::LeastRequests, RoutingKind::LeastTokens] {
        let options = PlannerOptions { routing, ..PlannerOptions::default() };
        let mut planner = PlacementPlanner::new(shape(), options);
        let names: Vec<_> = (0..4).map(|number| (engine(number), number as u64)).collect();
        planner.set_engines(at(0), &names);
        let used: std::collections::BTreeSet<_> =
            (0..4).map(|number| place(&mut planner, 0, long(number, 90_000)).engine).collect();
        assert_eq!(used.len(), 4, "{routing:?}");
    }
}

#[test]
fn a_slow_engine_is_the_last_choice() {
    let mut planner = planner(2);
    planner.set_report(&engine(0), 5.0, 0);
    assert_eq!(place(&mut planner, 0, short(1)).engine, engine(1));
}

#[test]
fn a_prompt_that_arrives_during_a_pass_waits_for_the_next_one() {
    let mut planner = planner(1);
    for number in 0..8 {
        place_decoding(&mut planner, number * 100, short(number));
    }
    // An engine pass prefills pending prompts and runs decode steps. A pass has just ended; the next one runs 51 decode
    // steps, about 55 ms, and the one after that also prefills 19,000 tokens, about 140 ms.
    let first = place_decoding(&mut planner, 1_000, short(20));
    let second = place(&mut planner, 1_000, PlacementRequest { prompt: 19_000, ..short(21) });
    assert!(second.first_token_ms > first.first_token_ms + 100, "{first:?} {second:?}");
    // The third prompt arrives during the pass that prefills the second prompt, which has about 50 ms left because of
    // its decode steps. The pass after that prefills the third prompt.
    let third = place(&mut planner, 1_150, short(22));
    assert!(third.first_token_ms > 120, "{third:?}");
    // The first token of the second prompt shows that its pass has ended.
    planner.first_token(at(1_200), second.job);
    let fourth = place(&mut planner, 1_201, PlacementRequest { prompt: 500, ..short(23) });
    assert!(fourth.first_token_ms < 180, "{fourth:?}");
}

#[test]
fn prefill_takes_longer_beside_decoding_requests() {
    let mut planner = planner(2);
    for number in 0..8 {
        place_decoding(&mut planner, number * 100, short(number));
    }
    let request = PlacementRequest { excluded: vec![engine(1)], ..short(20) };
    let beside = place(&mut planner, 1_000, request).first_token_ms;
    let request = PlacementRequest { excluded: vec![engine(0)], ..short(21) };
    let alone = place(&mut planner, 1_000, request).first_token_ms;
    assert!(
        beside >= alone + 40,
        "a pass with eight decoding requests runs 51 steps: {beside}, {alone}"
    );
}

#[test]
fn an_engine_with_an_overdue_first_token_gets_no_short_prompts() {
    let mut planner = planner(2);
    let silent = place_decoding(&mut planner, 0, short(1)).engine;
    let grant = place(&mut planner, 100, short(2));
    assert_eq!(grant.engine, silent, "short prompts are packed");
    // The first token of the second prompt is long overdue.
    let now = 100 + u64::from(grant.first_token_ms) + 400;
    assert_ne!(place(&mut planner, now, short(3)).engine, silent);
    planner.first_token(at(now + 10), grant.job);
    assert_eq!(place(&mut planner, now + 200, short(4)).engine, silent, "it is no longer overdue");
}

/// Requests of an instance that has lost its links hold their places until their time limit.
#[test]
fn a_request_that_is_lost_on_its_way_does_not_delay_those_that_its_engine_serves() {
    let mut planner = planner(1);
    let lost = place(&mut planner, 0, short(1));
    let mut expected = Vec::new();
    for number in 2..20 {
        let now = number * 250;
        planner.renew(at(now), lost.job, true);
        let grant = place(&mut planner, now, short(number));
        expected.push(grant.first_token_ms);
        planner.first_token(at(now + u64::from(grant.first_token_ms)), grant.job);
        planner.end(at(now + 240), grant.job, PlaceEnd::Done);
    }
    assert!(expected.iter().all(|ms| *ms < lost.first_token_ms + 750), "{expected:?}");
    assert!(expected.iter().skip(3).all(|ms| *ms < lost.first_token_ms + 100), "{expected:?}");
}

#[test]
fn a_report_without_requests_shows_that_overdue_ones_are_lost() {
    let mut planner = planner(1);
    let lost = place(&mut planner, 0, short(1));
    planner.renew(at(3_000), lost.job, true);
    planner.tick(at(3_000));
    planner.set_report(&lost.engine, 1.0, 1);
    let refused = planner.request(at(3_000), short(2));
    assert!(!matches!(refused, Some(PlaceAnswer::Grant(_))), "{refused:?}");
    planner.set_report(&lost.engine, 1.0, 0);
    place(&mut planner, 3_001, short(3));
}

proptest! {
    /// For any sequence of calls, a grant names each engine once and holds memory only on its helpers, and no slot or
    /// memory stays in use when all requests have ended.
    #[test]
    fn all_placements_are_released_when_all_requests_end(steps in prop::collection::vec((0_u8..5, 0_u64..40, 1_000_u64..700_000), 1..120)) {
        let mut planner = planner(5);
        let mut now = 0;
        let mut jobs = std::collections::BTreeSet::new();
        for (kind, number, prompt) in steps {
            now += number * 13;
            let job = JobId { boot: 1, sequence: number };
            let mut answers = Vec::new();
            match kind {
                0 => answers.extend(planner.request(at(now), short(number))),
                1 => answers.extend(planner.request(at(now), long(number, prompt))),
                2 => planner.first_token(at(now), job),
                3 => planner.end(at(now), job, PlaceEnd::Failed),
                _ => answers.extend(planner.tick(at(now))),
            }
            jobs.insert(job);
            for answer in answers {
                let PlaceAnswer::Grant(grant) = answer else { continue };
                let mut used = grant.helpers.clone();
                used.push(grant.engine.clone());
                let count = used.len();
                used.sort();
                used.dedup();
                prop_assert_eq!(used.len(), count);
                prop_assert!(grant.held.iter().all(|part| grant.helpers.contains(&part.engine)));
            }
        }
        for job in jobs {
            planner.end(at(now), job, PlaceEnd::Done);
        }
        prop_assert_eq!(planner.placed_count(), 0);
        prop_assert_eq!(planner.waiting_count(), 0);
        let summary = planner.summary(at(now));
        prop_assert!(!summary.contains("1 running"), "{}", summary);
        // The summary only counts idle engines, which hold nothing, and lists the others with their tokens.
        let idle = summary.rsplit("; ").next().and_then(|last| last.strip_suffix(" idle"));
        let idle = idle.and_then(|count| count.parse::<usize>().ok());
        let empty = summary.matches(" 0 tokens").count() + idle.unwrap_or(0);
        prop_assert_eq!(empty, 5, "{}", summary);
    }
}
