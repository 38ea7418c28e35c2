//! Plans upstreams that signal in their answers that they are leaving, or that reject requests with
//! a `Retry-After` time.

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose plan has upstreams that signal leaving or a `Retry-After` time: some plans of
/// lower seeds are kept as tests and must not change.
const FIRST_SEED: u64 = 40_000;
/// Number of the random stream that draws upstreams that signal leaving or a `Retry-After` time.
const SIGNAL_STREAM: u64 = 5;
/// Time between the starts of two consecutive signals (leaving or `Retry-After`), milliseconds.
const GAP_MS: ops::Range<u64> = 500..2_500;
/// How long an upstream signals leaving or a `Retry-After` time in its answers, milliseconds.
const LENGTH_MS: ops::Range<u64> = 500..5_000;
/// `Retry-After` time of a rejection, milliseconds.
const RETRY_AFTER_MS: ops::Range<u64> = 200..4_000;

/// Returns the signals (leaving or `Retry-After`) of a seed, spread over the whole run: in the
/// scenes, instances are in contact with the store and other members for long enough that their
/// reaction to the signals can be checked.
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
            Fault::AskRest(upstream, random.random_range(RETRY_AFTER_MS))
        }
    })
}
