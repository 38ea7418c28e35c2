//! Upstreams in need that name how many requests a second they take from all instances together.

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// Plans of earlier seeds stay as they were: some of them are kept as tests.
const FIRST_SEED: u64 = 50_000;
/// Random stream of these faults.
const LIMIT_STREAM: u64 = 6;
/// Pause between two of them, milliseconds.
const GAP_MS: ops::Range<u64> = 500..3_000;
/// How long an upstream goes on naming a limit, milliseconds: a window of the rule and more.
const LENGTH_MS: ops::Range<u64> = 3_000..9_000;
/// What it takes, thousandths of a request a second.
const RATE: ops::Range<u32> = 300..8_000;

/// Such faults through the whole run; of two that overlap at one upstream the second changes its limit.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream: LIMIT_STREAM,
        end: size.length + contact_plan::scenes_length(size),
        gap_ms: GAP_MS,
        length_ms: LENGTH_MS,
    };
    series.faults(seed, |random| {
        let upstream = random.random_range(0..size.upstreams);
        Fault::NameLimit(upstream, random.random_range(RATE))
    })
}
