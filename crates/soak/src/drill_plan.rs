//! Plans store drills: the store becomes unavailable and is then restored from an older copy.

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose plan has store drills: some plans of lower seeds are kept as tests and must not
/// change.
const FIRST_SEED: u64 = 70_000;
/// Number of the random stream that draws the store drills.
const DRILL_STREAM: u64 = 8;
/// Time between the starts of two drills, milliseconds.
const GAP_MS: ops::Range<u64> = 2_000..7_000;
/// How long the store is unavailable before the restore, milliseconds.
const LENGTH_MS: ops::Range<u64> = 200..3_000;
/// Age, at the time of the restore, of the copy that the store is restored from, milliseconds.
const AGE_MS: ops::Range<u64> = 100..5_000;
/// Time from the restore until the entries that it lost are written again, milliseconds.
const REWRITE_MS: ops::Range<u64> = 0..1_500;

/// Returns the drills of a seed, spread over the whole run.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream: DRILL_STREAM,
        end: size.length + contact_plan::scenes_length(size),
        gap_ms: GAP_MS,
        length_ms: LENGTH_MS,
    };
    series.faults(seed, |random| Fault::Drill {
        age_ms: random.random_range(AGE_MS),
        rewrite_ms: random.random_range(REWRITE_MS),
    })
}
