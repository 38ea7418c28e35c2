//! Plans upstreams whose answers are not valid HTTP.

use std::ops;

use slipturn_platform_standin::runner::{RawAnswer, RunnerMode};

use crate::{
    fault_plan::{self, Fault, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose plan has such upstreams: some plans of lower seeds are kept as tests and must not change.
const FIRST_SEED: u64 = 150_000;
/// Number of the random stream that draws the upstreams.
const INVALID_STREAM: u64 = 14;
/// Time between two such upstreams, milliseconds.
const GAP_MS: ops::Range<u64> = 1_500..6_000;
/// How long an upstream sends such answers, milliseconds.
const LENGTH_MS: ops::Range<u64> = 300..2_500;
/// Answers that may be sent.
const ANSWERS: [RawAnswer; 6] = [
    raw("HTTP/1.1 600 -", "content-length: 2", "hi"),
    raw("HTTP/1.1 000 -", "content-length: 2", "hi"),
    raw("HTTP/1.1 200 OK", "x y: 1\r\ncontent-length: 2", "hi"),
    raw("HTTP/1.1 200 OK", "x\u{1}: 1\r\ncontent-length: 2", "hi"),
    raw("HTTP/1.1 200 OK", "transfer-encoding: gzip, chunked", "2\r\nhi\r\n0\r\n\r\n"),
    raw("HTTP/1.1 200 OK", "content-encoding: gzip\r\ncontent-length: 2", "hi"),
];

const fn raw(
    status_line: &'static str,
    header_lines: &'static str,
    body: &'static str,
) -> RawAnswer {
    RawAnswer { status_line, header_lines, body }
}

/// Returns the faults of a seed in the first part of a run, whose later part checks promises to callers of sound upstreams.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream: INVALID_STREAM,
        end: size.length,
        gap_ms: GAP_MS,
        length_ms: LENGTH_MS,
    };
    series.faults(seed, |random| {
        let upstream = fault_plan::pick(random, &(0..size.upstreams).collect::<Vec<_>>());
        Fault::Upstream(upstream, RunnerMode::Raw(fault_plan::pick(random, &ANSWERS)))
    })
}
