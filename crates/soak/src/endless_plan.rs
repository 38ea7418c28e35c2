//! Plans upstreams that send a part of their answers without end.

use std::ops;

use slipturn_platform_standin::runner::{EndlessPart, RunnerMode};

use crate::{
    fault_plan::{self, Fault, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose plan has such upstreams, and whose run ends with [`crate::restart_check`]: some plans of lower seeds
/// are kept as tests and must not change.
pub(crate) const FIRST_SEED: u64 = 140_000;
/// Number of the random stream that draws the upstreams.
const ENDLESS_STREAM: u64 = 13;
/// Time between two such upstreams, milliseconds.
const GAP_MS: ops::Range<u64> = 1_500..6_000;
/// How long an upstream begins such answers, milliseconds.
const LENGTH_MS: ops::Range<u64> = 300..2_500;
/// Parts that may not end.
const PARTS: [EndlessPart; 7] = [
    EndlessPart::Head,
    EndlessPart::InterimAnswers,
    EndlessPart::ChunkSize,
    EndlessPart::Event,
    EndlessPart::Body,
    EndlessPart::FailureBody,
    EndlessPart::Trailers,
];

/// Returns the faults of a seed in the first part of a run, whose later part checks promises to callers of sound upstreams.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream: ENDLESS_STREAM,
        end: size.length,
        gap_ms: GAP_MS,
        length_ms: LENGTH_MS,
    };
    series.faults(seed, |random| {
        let upstream = fault_plan::pick(random, &(0..size.upstreams).collect::<Vec<_>>());
        Fault::Upstream(upstream, RunnerMode::Endless(fault_plan::pick(random, &PARTS)))
    })
}
