//! Plans engines whose streams have neither a length nor chunks, and end with their connection.

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose plan has such engines, and whose run ends with [`crate::part_check`]: some plans of lower seeds are
/// kept as tests and must not change.
pub(crate) const FIRST_SEED: u64 = 90_000;
/// Number of the random stream that draws the engines.
const FRAMING_STREAM: u64 = 10;
/// Time between two changes, milliseconds.
const GAP_MS: ops::Range<u64> = 300..2_500;
/// How long an engine sends such streams, milliseconds.
const LENGTH_MS: ops::Range<u64> = 500..6_000;

/// Returns the changes of a seed, spread over the whole run.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream: FRAMING_STREAM,
        end: size.length + contact_plan::scenes_length(size),
        gap_ms: GAP_MS,
        length_ms: LENGTH_MS,
    };
    series.faults(seed, |random| Fault::Unframed(random.random_range(0..size.engines)))
}
