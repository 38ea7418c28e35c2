//! Upstreams that say in passing that they leave or want rest.

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// Plans of earlier seeds stay as they were: some of them are kept as tests.
const FIRST_SEED: u64 = 40_000;
/// Random stream of these faults.
const SIGNAL_STREAM: u64 = 5;
/// Pause between two of them, milliseconds.
const GAP_MS: ops::Range<u64> = 500..2_500;
/// How long an upstream goes on after its word, milliseconds.
const LENGTH_MS: ops::Range<u64> = 500..5_000;
/// Rest that is asked for, milliseconds.
const REST_MS: ops::Range<u64> = 200..4_000;

/// Such faults through the whole run: what instances in contact must do is judged in the scenes.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream: SIGNAL_STREAM,
        end: size.length + contact_plan::scenes_length(size),
        gap_ms: GAP_MS,
        length_ms: LENGTH_MS,
    };
    series.faults(seed, |random| {
        let upstream = random.random_range(0..size.upstreams);
        if random.random_range(0..3) == 0 {
            Fault::SayLeaving(upstream)
        } else {
            Fault::AskRest(upstream, random.random_range(REST_MS))
        }
    })
}
