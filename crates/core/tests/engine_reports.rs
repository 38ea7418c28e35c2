//! Which engines are asked for reports, and how often.

mod support;

use slipturn_core::planner::{
    PlacementPlanner, PlannerOptions,
    ways::{PlannerWays, ReportWay},
};
use support::{at, engine, shape, short};

/// Engines of the largest cells.
const ENGINES: usize = 96;
/// Time between two turns of all engines, milliseconds.
const TURN: u64 = 2_000;

fn planner(engines: usize, reports: ReportWay) -> PlacementPlanner {
    let ways = PlannerWays { reports, ..Default::default() };
    let mut planner = PlacementPlanner::new(shape(), PlannerOptions { ways, ..Default::default() });
    let ranked: Vec<_> = (0..engines).map(engine).zip(0..).collect();
    planner.set_engines(at(0), &ranked);
    planner
}

/// Reports asked for in so many turns, of all engines and of the one that gets all prompts.
fn asked(planner: &mut PlacementPlanner, turns: u64) -> (usize, usize) {
    let (mut all, mut used) = (0, 0);
    for turn in 0..turns {
        planner.ask(at(turn * TURN), short(turn));
        for number in 0..ENGINES {
            let due = planner.take_report_due(at(turn * TURN + 1), &engine(number));
            all += usize::from(due);
            used += usize::from(due && number == 0);
        }
        planner.end(
            at(turn * TURN + 1_500),
            short(turn).job,
            slipturn_core::engine_place::PlaceEnd::Done,
        );
    }
    (all, used)
}

#[test]
fn idle_engines_are_asked_a_third_as_often() {
    let (all, used) = asked(&mut planner(ENGINES, ReportWay::All), 30);
    assert_eq!((all, used), (30 * ENGINES, 30));
    let (all, used) = asked(&mut planner(ENGINES, ReportWay::Used), 30);
    println!("{all} reports of {} before", 30 * ENGINES);
    assert_eq!(used, 30, "one with work is asked at each turn");
    assert!(all <= 30 * ENGINES / 3 + ENGINES, "{all} reports");
}

#[test]
fn where_engines_are_few_all_are_asked_at_each_turn() {
    let mut planner = planner(16, ReportWay::Used);
    for turn in 0..10 {
        let asked =
            (0..16).filter(|number| planner.take_report_due(at(turn * TURN), &engine(*number)));
        assert_eq!(asked.count(), 16, "turn {turn}");
    }
}

#[test]
fn an_engine_that_is_slow_or_has_failed_is_asked_at_each_turn() {
    let mut planner = planner(ENGINES, ReportWay::Used);
    assert!(planner.take_report_due(at(0), &engine(1)), "nothing is known of it");
    assert!(!planner.take_report_due(at(TURN), &engine(1)));
    planner.set_report(&engine(1), 4.0, 0);
    assert!(planner.take_report_due(at(TURN * 2), &engine(1)), "it is slow");
    planner.set_report(&engine(1), 1.0, 9);
    assert!(planner.take_report_due(at(TURN * 3), &engine(1)), "others have placed there");
    planner.set_report(&engine(1), 1.0, 0);
    planner.eject(at(TURN * 3), &engine(1));
    assert!(planner.take_report_due(at(TURN * 4), &engine(1)), "it has failed");
}
