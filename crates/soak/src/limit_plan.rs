//! Plans rate limits: upstreams announce how many requests a second they accept from all instances
//! together.

use std::ops;

use rand::RngExt as _;

use crate::{
    contact_plan,
    fault_plan::{Fault, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose plan has rate limits: some plans of lower seeds are kept as tests and must not
/// change.
const FIRST_SEED: u64 = 50_000;
/// Number of the random stream that draws the rate limits.
const LIMIT_STREAM: u64 = 6;
/// Time between the starts of two rate limits, milliseconds.
const GAP_MS: ops::Range<u64> = 500..3_000;
/// How long an upstream announces a limit, milliseconds; `limit_check` counts requests over 4 s.
const LENGTH_MS: ops::Range<u64> = 3_000..9_000;
/// Announced limit, thousandths of a request a second.
const RATE_THOUSANDTHS: ops::Range<u32> = 300..8_000;

/// Returns the rate limits of a seed, spread over the whole run. Where two overlap at an upstream,
/// the second replaces the first.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream: LIMIT_STREAM,
        end: size.length + contact_plan::scenes_length(size),
        gap_ms: GAP_MS,
        length_ms: LENGTH_MS,
    };
    series.faults(seed, |random| {
        let upstream = random.random_range(0..size.upstreams);
        Fault::NameLimit(upstream, random.random_range(RATE_THOUSANDTHS))
    })
}
