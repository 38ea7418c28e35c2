//! How often a planner requests load reports from the engines of its cell.

mod support;

use slipturn_core::planner::{
    PlacementPlanner, PlannerOptions,
    modes::{PlannerModes, ReportMode},
};
use support::{at, engine, shape, short};

/// Number of engines in a cell (the engines of one planner) of the target size.
const ENGINES: usize = 96;
/// Time between two polling rounds, milliseconds.
const ROUND_MS: u64 = 2_000;

fn planner(engines: usize, reports: ReportMode) -> PlacementPlanner {
    let modes = PlannerModes { reports, ..Default::default() };
    let mut planner =
        PlacementPlanner::new(shape(), PlannerOptions { modes, ..Default::default() });
    let ranked: Vec<_> = (0..engines).map(engine).zip(0..).collect();
    planner.set_engines(at(0), &ranked);
    planner
}

/// Number of reports requested in `rounds` rounds: from all engines, and from engine 0 alone, which gets the prompt of
/// each round.
fn requested_reports(planner: &mut PlacementPlanner, rounds: u64) -> (usize, usize) {
    let (mut all, mut used) = (0, 0);
    for round in 0..rounds {
        planner.request(at(round * ROUND_MS), short(round));
        for number in 0..ENGINES {
            let due = planner.take_report_due(at(round * ROUND_MS + 1), &engine(number));
            all += usize::from(due);
            used += usize::from(due && number == 0);
        }
        planner.end(
            at(round * ROUND_MS + 1_500),
            short(round).job,
            slipturn_core::engine_place::PlaceEnd::Done,
        );
    }
    (all, used)
}

#[test]
fn idle_engines_are_polled_about_a_third_as_often() {
    let (all, used) = requested_reports(&mut planner(ENGINES, ReportMode::All), 30);
    assert_eq!((all, used), (30 * ENGINES, 30));
    let (all, used) = requested_reports(&mut planner(ENGINES, ReportMode::Used), 30);
    println!("{all} reports instead of {}", 30 * ENGINES);
    assert_eq!(used, 30, "an engine with work is polled in each round");
    assert!(all <= 30 * ENGINES / 3 + ENGINES, "{all} reports");
}

#[test]
fn a_small_cell_polls_all_engines_in_each_round() {
    let mut planner = planner(16, ReportMode::Used);
    for round in 0..10 {
        let polled = (0..16)
            .filter(|number| planner.take_report_due(at(round * ROUND_MS), &engine(*number)));
        assert_eq!(polled.count(), 16, "round {round}");
    }
}

#[test]
fn an_engine_that_is_slow_shared_or_failed_is_polled_in_each_round() {
    let mut planner = planner(ENGINES, ReportMode::Used);
    assert!(planner.take_report_due(at(0), &engine(1)), "the engine has not reported yet");
    assert!(!planner.take_report_due(at(ROUND_MS), &engine(1)));
    planner.set_report(&engine(1), 4.0, 0);
    assert!(planner.take_report_due(at(ROUND_MS * 2), &engine(1)), "the engine is slow");
    planner.set_report(&engine(1), 1.0, 9);
    assert!(
        planner.take_report_due(at(ROUND_MS * 3), &engine(1)),
        "the engine has requests of other planners"
    );
    planner.set_report(&engine(1), 1.0, 0);
    planner.eject(at(ROUND_MS * 3), &engine(1));
    assert!(planner.take_report_due(at(ROUND_MS * 4), &engine(1)), "the engine has failed");
}
