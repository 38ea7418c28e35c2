//! Faults of one kind, one after the other through a part of a run.

use std::{ops, time};

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlannedFault},
};

/// When the faults of a series strike, and how long each lasts.
pub(crate) struct FaultSeries {
    /// Seeds below have no such faults: some of their plans are kept as tests and must not change.
    pub(crate) first_seed: u64,
    /// Its random stream.
    pub(crate) stream: u64,
    /// Its end, from the beginning of the run.
    pub(crate) end: time::Duration,
    /// Pause between two faults, milliseconds.
    pub(crate) gap_ms: ops::Range<u64>,
    /// How long a fault lasts, milliseconds.
    pub(crate) length_ms: ops::Range<u64>,
}

impl FaultSeries {
    /// The faults of a seed, each drawn by `draw`.
    pub(crate) fn faults(
        self,
        seed: u64,
        mut draw: impl FnMut(&mut ChaCha8Rng) -> Fault,
    ) -> Vec<PlannedFault> {
        if seed < self.first_seed {
            return Vec::new();
        }
        let mut random = contact_plan::random_stream(seed, self.stream);
        let end = self.end.as_millis() as u64;
        let mut faults = Vec::new();
        let mut at = random.random_range(self.gap_ms.clone());
        while at < end {
            let fault = draw(&mut random);
            let length = random.random_range(self.length_ms.clone());
            faults.push(contact_plan::planned_fault(at, length, fault));
            at += random.random_range(self.gap_ms.clone());
        }
        faults
    }
}
