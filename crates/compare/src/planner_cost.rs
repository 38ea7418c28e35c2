//! Measures how long a planner (the member that assigns requests to a group of engines) takes to
//! place a request, and how long a member takes to choose the planner.
//!
//! Results are wall-clock times and depend on the computer, so no test bounds them.

use std::{hint, net, time};

use slipturn_core::{
    engine_place, ids, member_heartbeat, membership, planner, planner_key, route_table, units,
};

use crate::planned_size;

/// Number of repetitions over which a time is averaged.
const ITERATIONS: u64 = 3_000;
/// Maximum number of running requests while the placement of one more is measured.
const PLACED_REQUESTS: u64 = 200;
/// Numbers of engines for which placement is measured.
const ENGINE_COUNTS: [usize; 4] = [18, 60, 96, 600];
/// Number of members (instances) among which the planner is chosen, including the local one.
const MEMBERS: u16 = 380;

/// Measures placement with 18 to 600 engines, and the choice of the planner.
pub fn measure() -> Vec<planned_size::CostRow> {
    let mut rows = Vec::new();
    for engines in ENGINE_COUNTS {
        rows.push(measure_placement("a short request placed and ended", engines, 5_000));
        rows.push(measure_placement("a long request placed and ended", engines, 154_000));
    }
    rows.push(measure_planner_choice());
    rows
}

/// Measures the placement and the end of a request with a prompt of `prompt` tokens.
fn measure_placement(operation: &str, engines: usize, prompt: u64) -> planned_size::CostRow {
    let mut planner =
        planner::PlacementPlanner::new(engine_shape(), planner::PlannerOptions::default());
    let names: Vec<_> = (0..engines).map(|number| (name("e", number), number as u64)).collect();
    planner.set_engines(at_millis(0), &names);
    for sequence in 0..PLACED_REQUESTS.min(engines as u64 * 8) {
        let placement = planner.request(at_millis(0), placement_request(sequence, 5_000));
        hint::black_box(placement);
        planner.first_token(at_millis(0), job(sequence));
    }
    let started = time::Instant::now();
    for iteration in 0..ITERATIONS {
        let sequence = PLACED_REQUESTS + iteration;
        // Virtual time starts at 10 s, after the prefill of the requests placed above, and advances
        // by 1 ms per iteration.
        let now = at_millis(10_000 + iteration);
        hint::black_box(planner.request(now, placement_request(sequence, prompt)));
        planner.first_token(now, job(sequence));
        planner.end(now, job(sequence), engine_place::PlaceEnd::Done);
    }
    let mean = started.elapsed() / u32::try_from(ITERATIONS).unwrap_or(u32::MAX);
    planned_size::cost_row(format!("{operation}, {engines} engines"), format!("{mean:?}"))
}

/// Measures how long a member takes to choose the planner of a cell (a subset of the engines of a
/// service).
fn measure_planner_choice() -> planned_size::CostRow {
    let mut view = membership::MemberView::new(name("m", 0), Vec::new());
    for number in 1..MEMBERS {
        view.receive(at_millis(0), heartbeat(number));
    }
    let local_heartbeat = heartbeat(0);
    let service = name("s", 1);
    let key = planner_key::PlannerKey { service, cell: 3 };
    let started = time::Instant::now();
    for _ in 0..ITERATIONS {
        hint::black_box(view.planner(at_millis(1), &key, &local_heartbeat));
    }
    let mean = started.elapsed() / u32::try_from(ITERATIONS).unwrap_or(u32::MAX);
    planned_size::cost_row(format!("which of {MEMBERS} members plans"), format!("{mean:?}"))
}

/// Returns a placement request with the latency goals of a short prompt or, above 24,000 tokens, of
/// a long one.
fn placement_request(sequence: u64, prompt: u64) -> engine_place::PlacementRequest {
    let long = prompt > 24_000;
    let goal_ms = if long { 3_000 } else { 300 };
    engine_place::PlacementRequest {
        job: job(sequence),
        prompt,
        output: 1_000,
        pause_ms: if long { 1_000 } else { 250 },
        goal_ms,
        goal_left_ms: goal_ms,
        patience_ms: goal_ms * 4,
        tight: !long,
        worth: (prompt as f32 / 8_000.0).max(1.0),
        refusable: true,
        resumed: false,
        excluded: Vec::new(),
        origin: None,
    }
}

fn job(sequence: u64) -> engine_place::JobId {
    engine_place::JobId { boot: 1, sequence }
}

fn engine_shape() -> route_table::EngineShape {
    route_table::EngineShape {
        slots: 16,
        memory: units::TokenCount(315_000),
        stride: 51.0,
        step_ms: 0.85,
        step_per_decoding_ms: 0.004_25,
        step_per_context_ms: 0.002_85,
        prefill_tokens_per_ms: 177.0,
        prefill_per_million_pairs_ms: 0.184,
        report_lag_ms: 200.0,
    }
}

fn heartbeat(number: u16) -> member_heartbeat::MemberHeartbeat {
    let [high, low] = number.to_be_bytes();
    member_heartbeat::MemberHeartbeat {
        name: name("m", usize::from(number)),
        boot: 1,
        sequence: 1,
        address: net::SocketAddrV4::new(net::Ipv4Addr::new(10, 0, high, low), 7_000),
        data_center: name::<ids::DataCenterId>("d", usize::from(number % 5)),
        cpu: 250,
        plans: true,
        leaving: false,
        routes: 1,
        list: 1.into(),
        watches: false,
        others: Vec::new(),
    }
}

/// Returns the name or id `prefix-number`.
fn name<T: std::str::FromStr>(prefix: &str, number: usize) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{prefix}-{number}").parse().expect("the name is valid")
}

fn at_millis(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}
