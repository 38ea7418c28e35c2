//! Data centres that are evacuated, and upstreams that say that they are cold.

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
};

/// Plans of earlier seeds stay as they were: some of them are kept as tests.
const FIRST_SEED: u64 = 60_000;
/// Random stream of these faults.
const ZONE_STREAM: u64 = 7;
/// Pause between two of them, milliseconds.
const GAP_MS: ops::Range<u64> = 800..3_500;
/// How long an evacuation or a cold phase lasts, milliseconds.
const LENGTH_MS: ops::Range<u64> = 1_000..7_000;

/// Such faults through the whole run.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    if seed < FIRST_SEED {
        return Vec::new();
    }
    let mut random = contact_plan::stream(seed, ZONE_STREAM);
    let end = (size.length + contact_plan::scenes_length(size)).as_millis() as u64;
    let mut faults = Vec::new();
    let mut at = random.random_range(GAP_MS);
    while at < end {
        let fault = match random.random_range(0..3) {
            0 => Fault::Cool(random.random_range(0..size.engines)),
            _ => Fault::Evacuate(random.random_range(0..size.upstreams)),
        };
        faults.push(contact_plan::planned(at, random.random_range(LENGTH_MS), fault));
        at += random.random_range(GAP_MS);
    }
    faults
}
