//! Drills: the store is away and returns from an older copy of itself.

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// Plans of earlier seeds stay as they were: some of them are kept as tests.
const FIRST_SEED: u64 = 70_000;
/// Random stream of these faults.
const DRILL_STREAM: u64 = 8;
/// Pause between two of them, milliseconds.
const GAP_MS: ops::Range<u64> = 2_000..7_000;
/// How long the store is away, milliseconds.
const LENGTH_MS: ops::Range<u64> = 200..3_000;
/// How old the copy is, milliseconds.
const AGE_MS: ops::Range<u64> = 100..5_000;
/// Time from the return until all that was lost is written again, milliseconds.
const REWRITE_MS: ops::Range<u64> = 0..1_500;

/// Such faults through the whole run.
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
