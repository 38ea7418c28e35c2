//! Plans planned stops with requests late in the grace time, losses of power of all instances, and odd entries.

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose plan has such faults: plans of lower seeds, which are all that 32 bits can hold, must not change.
pub const FIRST_SEED: u64 = 1 << 32;
/// Numbers of the random streams that draw the stops, the losses of power and the odd entries.
const STREAMS: [u64; 3] = [14, 15, 16];
/// Time between two late stops, milliseconds: longer than the grace time.
const STOP_GAP_MS: ops::Range<u64> = 2_000..12_000;
/// Time between two losses of power, milliseconds.
const POWER_GAP_MS: ops::Range<u64> = 6_000..20_000;
/// How long the power is lost, milliseconds.
const POWER_LOSS_MS: ops::Range<u64> = 100..1_500;
/// Time between two odd entries, milliseconds.
const ENTRY_GAP_MS: ops::Range<u64> = 1_000..4_000;

/// Returns the faults of a seed. Losses of power occur in the first part of a run only, whose later part checks promises
/// to instances in contact.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let whole = size.length + contact_plan::scenes_length(size);
    let series = |stream, end, gap_ms, length_ms| fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream,
        end,
        gap_ms,
        length_ms,
    };
    let [stops, losses, entries] = STREAMS;
    let stops = series(stops, whole, STOP_GAP_MS, 1..2).faults(seed, |random| {
        Fault::StopLate(random.random_range(0..size.instances), random.random())
    });
    let losses =
        series(losses, size.length, POWER_GAP_MS, POWER_LOSS_MS).faults(seed, |_| Fault::KillAll);
    let entries = series(entries, whole, ENTRY_GAP_MS, 1..2)
        .faults(seed, |random| Fault::OddEntry(random.random_range(0..u8::MAX)));
    [stops, losses, entries].concat()
}
