//! Upstreams that start again under their name, and entries of other writers in the store.

use std::ops;

use rand::RngExt as _;

use crate::{
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// Plans of earlier seeds stay as they were: some of them are kept as tests.
const FIRST_SEED: u64 = 20_000;
/// Random stream of these faults.
const ENTRY_STREAM: u64 = 4;
/// Pause between two of them, milliseconds.
const GAP_MS: ops::Range<u64> = 400..2_000;
/// How long the entry of a new start is missing, or an entry that was overwritten, milliseconds.
const LENGTH_MS: ops::Range<u64> = 20..1_500;

/// Such faults through the first part.
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
