//! Plans runs whose engines have speed, slots and memory, with two customers, and the times at which engines are slow.

use std::ops;

use rand::RngExt as _;
use slipturn_platform_standin::{
    engine_speed::EngineSpeed,
    fleet::{FleetOptions, KEY},
};

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose run may have such engines: some plans of lower seeds are kept as tests and must not change.
const FIRST_SEED: u64 = 100_000;
/// Share of the seeds from [`FIRST_SEED`] on whose runs have such engines.
const ENGINE_SHARE: f64 = 0.5;
/// Number of the random stream that draws whether a run has such engines.
const CHOICE_STREAM: u64 = 11;
/// Number of the random stream that draws the slow engines.
const PACE_STREAM: u64 = 12;
/// Time between the starts of two slow times, milliseconds.
const GAP_MS: ops::Range<u64> = 500..4_000;
/// How long an engine is slow, milliseconds.
const LENGTH_MS: ops::Range<u64> = 500..4_000;
/// Factor by which a slow engine is slower than published.
const PACE: ops::Range<u8> = 2..5;
/// Settings of instances in addition to those of every run: the decisions under heavy load, and the bounds of a small
/// machine.
const INSTANCE_SETTINGS: &str = "\
machine:
  memory: 160MB
  descriptors: 4100
sharing:
  customers: in_progress
  returns: scheduled_shorts
  speeds: weighted_choice
  start: by_contact
  planner_start: shorts_first
  planner_silence: contact
  passes: confirmed
  forecast: reserve_slots
  attempts: observed
  late_admission: as_booked
";
/// Names of the customers with their API keys. Clients use them in turn.
const CUSTOMERS: [(&str, &str); 2] = [("t1", KEY), ("t2", "key-t2")];

/// Returns whether the engines of a seed's run have speed.
pub(crate) fn has_speed(seed: u64) -> bool {
    let mut random = contact_plan::random_stream(seed, CHOICE_STREAM);
    seed >= FIRST_SEED && random.random_bool(ENGINE_SHARE)
}

/// Returns the figures of the engines. Two slots are less than the clients need at times. The longest answers take about
/// 3 s, half of their time limit. Context costs nothing and prefill little: with the default figure for context, the
/// longest prompts made some answers beside them take more than the limit, at which instances rightly cut them.
pub(crate) fn speed() -> EngineSpeed {
    EngineSpeed {
        slots: 2,
        step_ms: 0.2,
        read_per_s: 20_000_000.0,
        pairs_per_m: 0.0,
        context_per_k: 0.0,
        ..EngineSpeed::default()
    }
}

/// Returns the options of the fleet of a seed's run.
pub(crate) fn fleet_options(seed: u64) -> FleetOptions {
    if !has_speed(seed) {
        return FleetOptions::default();
    }
    let others = customers(seed).iter().skip(1);
    FleetOptions {
        customers: others.map(|(name, key)| ((*name).to_owned(), (*key).to_owned())).collect(),
        engine_speed: Some(speed()),
        extra_settings: INSTANCE_SETTINGS.to_owned(),
        ..FleetOptions::default()
    }
}

/// Returns the customers of a seed's run, with their names and API keys.
pub(crate) fn customers(seed: u64) -> &'static [(&'static str, &'static str)] {
    if has_speed(seed) { &CUSTOMERS } else { &CUSTOMERS[..1] }
}

/// Returns the name of the customer that sent a request, with which the ids of clients' requests start.
pub(crate) fn customer_of(id: &str) -> &'static str {
    let names = || CUSTOMERS.iter().map(|(name, _)| *name);
    let start = id.split('-').next().unwrap_or_default();
    names().find(|name| *name == start).unwrap_or(CUSTOMERS[0].0)
}

/// Returns the slow times of a seed's engines, spread over the whole run.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream: PACE_STREAM,
        end: size.length + contact_plan::scenes_length(size),
        gap_ms: GAP_MS,
        length_ms: LENGTH_MS,
    };
    if !has_speed(seed) {
        return Vec::new();
    }
    series.faults(seed, |random| {
        Fault::Slow(random.random_range(0..size.engines), random.random_range(PACE))
    })
}
