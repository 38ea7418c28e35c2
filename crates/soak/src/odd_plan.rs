//! Upstreams that start again under their name, and entries of other writers in the store.

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
};

/// Plans of earlier seeds stay as they were: some of them are kept as tests.
const FIRST_SEED: u64 = 20_000;
/// Random stream of these faults.
const ODD_STREAM: u64 = 4;
/// Pause between two of them, milliseconds.
const GAP_MS: ops::Range<u64> = 400..2_000;
/// How long the entry of a new start is missing, or an entry that was overwritten, milliseconds.
const LENGTH_MS: ops::Range<u64> = 20..1_500;

/// Such faults through the first part.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    if seed < FIRST_SEED {
        return Vec::new();
    }
    let mut random = contact_plan::stream(seed, ODD_STREAM);
    let end = size.length.as_millis() as u64;
    let mut faults = Vec::new();
    let mut at = random.random_range(GAP_MS);
    while at < end {
        let upstream = random.random_range(0..size.upstreams);
        let fault = match random.random_range(0..5) {
            0..=2 => Fault::Restart(upstream),
            3 => Fault::Overwrite(upstream),
            _ => Fault::Litter(random.random_range(0..u8::MAX)),
        };
        faults.push(contact_plan::planned(at, random.random_range(LENGTH_MS), fault));
        at += random.random_range(GAP_MS);
    }
    faults
}
