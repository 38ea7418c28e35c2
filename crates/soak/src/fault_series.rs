//! Series of faults of one kind, spread over a part of a run.

use std::{ops, time};

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlannedFault},
};

/// Timing of a series: when its faults begin and how long each lasts.
pub(crate) struct FaultSeries {
    /// First seed whose plan has the faults of the series: some plans of lower seeds are kept as
    /// tests and must not change.
    pub(crate) first_seed: u64,
    /// Number of the random stream that the series is drawn from; no other series uses it.
    pub(crate) stream: u64,
    /// Time after which no fault begins, from the start of the run.
    pub(crate) end: time::Duration,
    /// Time between the starts of two faults of the series, milliseconds.
    pub(crate) gap_ms: ops::Range<u64>,
    /// How long a fault of the series lasts, milliseconds.
    pub(crate) length_ms: ops::Range<u64>,
}

impl FaultSeries {
    /// Returns the faults of a seed, each chosen by `draw`.
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
