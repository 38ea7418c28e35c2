//! Plans evacuations of data centres, and engines that are listed as cold (limited to a low request
//! rate for a while).

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose plan has evacuations and cold engines: some plans of lower seeds are kept as
/// tests and must not change.
const FIRST_SEED: u64 = 60_000;
/// Number of the random stream that draws the evacuations and cold engines.
const DATA_CENTER_STREAM: u64 = 7;
/// Time between the starts of two evacuations or cold engines, milliseconds.
const GAP_MS: ops::Range<u64> = 800..3_500;
/// How long an evacuation lasts, or an engine is listed as cold, milliseconds.
const LENGTH_MS: ops::Range<u64> = 1_000..7_000;

/// Returns the evacuations and cold engines of a seed, spread over the whole run.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream: DATA_CENTER_STREAM,
        end: size.length + contact_plan::scenes_length(size),
        gap_ms: GAP_MS,
        length_ms: LENGTH_MS,
    };
    series.faults(seed, |random| match random.random_range(0..3) {
        0 => Fault::Cool(random.random_range(0..size.engines)),
        _ => Fault::Evacuate(random.random_range(0..size.upstreams)),
    })
}
