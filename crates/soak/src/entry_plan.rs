//! Plans restarts of upstreams under the same name, and invalid entries that another writer leaves
//! in the store.

use std::ops;

use rand::RngExt as _;

use crate::{
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose plan has restarts and invalid entries: some plans of lower seeds are kept as
/// tests and must not change.
const FIRST_SEED: u64 = 20_000;
/// Number of the random stream that draws the restarts and invalid entries.
const ENTRY_STREAM: u64 = 4;
/// Time between the starts of two consecutive faults of this plan, milliseconds.
const GAP_MS: ops::Range<u64> = 400..2_000;
/// How long an upstream lacks a valid entry after a restart or an overwrite, milliseconds.
const LENGTH_MS: ops::Range<u64> = 20..1_500;

/// Returns the restarts and invalid entries of a seed, spread over the first part of the run.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream: ENTRY_STREAM,
        end: size.length,
        gap_ms: GAP_MS,
        length_ms: LENGTH_MS,
    };
    series.faults(seed, |random| {
        let upstream = random.random_range(0..size.upstreams);
        match random.random_range(0..5) {
            0..=2 => Fault::Restart(upstream),
            3 => Fault::Overwrite(upstream),
            _ => Fault::Litter(random.random_range(0..u8::MAX)),
        }
    })
}
