//! What a planner's and a member's work costs. Wall-clock: a measurement, not a bound.

use std::{hint, net, time};

use slipturn_core::{
    engine_place, ids, member_heartbeat, membership, planner, planner_key, route_table, units,
};

use crate::planned_size;

/// Requests that are placed and ended.
const ROUNDS: u64 = 3_000;
/// Requests placed at once while the cost of one more is measured.
const PLACED: u64 = 200;
/// Engines of one planner that are compared.
const ENGINE_COUNTS: [usize; 4] = [18, 60, 96, 600];
/// Members of a view.
const MEMBERS: u16 = 380;

/// Measures them all.
pub fn measure() -> Vec<planned_size::CostRow> {
    let mut rows = Vec::new();
    for engines in ENGINE_COUNTS {
        rows.push(place_row("a short request placed and ended", engines, 5_000));
        rows.push(place_row("a long request placed and ended", engines, 154_000));
    }
    rows.push(planner_row());
    rows
}

fn place_row(what: &str, engines: usize, prompt: u64) -> planned_size::CostRow {
    let mut planner = planner::PlacementPlanner::new(shape(), planner::PlannerOptions::default());
    let names: Vec<_> = (0..engines).map(|number| (name("e", number), number as u64)).collect();
    planner.set_engines(at(0), &names);
    for sequence in 0..PLACED.min(engines as u64 * 8) {
        let answer = planner.request(at(0), ask(sequence, 5_000));
        hint::black_box(answer);
        planner.first_token(at(0), job(sequence));
    }
    let started = time::Instant::now();
    for round in 0..ROUNDS {
        let sequence = PLACED + round;
        // A millisecond a round: what was read before is done by then.
        let now = at(10_000 + round);
        hint::black_box(planner.request(now, ask(sequence, prompt)));
        planner.first_token(now, job(sequence));
        planner.end(now, job(sequence), engine_place::PlaceEnd::Done);
    }
    let each = started.elapsed() / u32::try_from(ROUNDS).unwrap_or(u32::MAX);
    planned_size::row(format!("{what}, {engines} engines"), format!("{each:?}"))
}

fn planner_row() -> planned_size::CostRow {
    let mut view = membership::MemberView::new(name("m", 0), Vec::new());
    for number in 1..MEMBERS {
        view.receive(at(0), beat(number));
    }
    let own = beat(0);
    let service = name("s", 1);
    let key = planner_key::PlannerKey { service, cell: 3 };
    let started = time::Instant::now();
    for _ in 0..ROUNDS {
        hint::black_box(view.planner(at(1), &key, &own));
    }
    let each = started.elapsed() / u32::try_from(ROUNDS).unwrap_or(u32::MAX);
    planned_size::row(format!("which of {MEMBERS} members plans"), format!("{each:?}"))
}

fn ask(sequence: u64, prompt: u64) -> engine_place::PlacementRequest {
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
    }
}

fn job(sequence: u64) -> engine_place::JobId {
    engine_place::JobId { boot: 1, sequence }
}

fn shape() -> route_table::EngineShape {
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

fn beat(number: u16) -> member_heartbeat::MemberHeartbeat {
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

fn name<T: std::str::FromStr>(kind: &str, number: usize) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{kind}-{number}").parse().expect("a valid name")
}

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}
