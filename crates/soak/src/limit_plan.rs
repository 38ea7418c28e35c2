//! Upstreams in need that name how many requests a second they take from all instances together.

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
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
    if seed < FIRST_SEED {
        return Vec::new();
    }
    let mut random = contact_plan::stream(seed, LIMIT_STREAM);
    let end = (size.length + contact_plan::scenes_length(size)).as_millis() as u64;
    let mut faults = Vec::new();
    let mut at = random.random_range(GAP_MS);
    while at < end {
        let upstream = random.random_range(0..size.upstreams);
        let fault = Fault::NameLimit(upstream, random.random_range(RATE));
        faults.push(contact_plan::planned(at, random.random_range(LENGTH_MS), fault));
        at += random.random_range(GAP_MS);
    }
    faults
}
