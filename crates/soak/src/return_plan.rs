//! Plans returns after a loss of power of all instances and upstreams, answers that end in their head, upstreams that crash
//! in answers without a length, and changes that follow each other closely.

use std::{ops, time};

use rand::RngExt as _;
use slipturn_platform_standin::{
    runner::{CutAnswer, CutEnd, CutPlace, RunnerMode},
    store::ReadLimit,
};

use crate::{
    fault_plan::{self, Fault, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose plan has such faults, and whose run ends with [`crate::return_check`]: the plans of lower seeds must
/// not change.
pub const FIRST_SEED: u64 = 1 << 33;
/// Numbers of the random streams that draw the losses of power, the cut answers, the crashes and the changes.
const STREAMS: [u64; 4] = [17, 18, 19, 20];
/// Time between two losses of power, milliseconds.
const POWER_GAP_MS: ops::Range<u64> = 2_000..9_000;
/// How long the power is lost, milliseconds.
const POWER_LOSS_MS: ops::Range<u64> = 100..1_500;
/// Time for which the store limits reads after the return of the power.
const LIMIT_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time between two upstreams that cut their answers, milliseconds.
const CUT_GAP_MS: ops::Range<u64> = 500..3_000;
/// How long an upstream cuts its answers, milliseconds.
const CUT_MS: ops::Range<u64> = 200..1_500;
/// Time between two crashes, milliseconds.
const CRASH_GAP_MS: ops::Range<u64> = 1_000..4_000;
/// Time from the first answers without a length until the upstream is listed and used as before, milliseconds.
const CRASH_MS: ops::Range<u64> = 1_500..3_000;
/// Time between two changes of a series, milliseconds.
const CHANGE_GAP_MS: ops::Range<u64> = 20..700;
/// How long a change lasts, milliseconds.
const CHANGE_MS: ops::Range<u64> = 100..1_000;
/// Places at which answers are cut.
const PLACES: [CutPlace; 4] =
    [CutPlace::StatusLine, CutPlace::Field, CutPlace::Length, CutPlace::BlankLine];
/// How the connections of cut answers end.
const ENDS: [CutEnd; 3] = [CutEnd::Closed, CutEnd::Reset, CutEnd::Exit];

/// Why an upstream gets no requests when it crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithheldState {
    /// It has rejected a request with a `Retry-After` time.
    Backoff,
    /// It is listed as leaving.
    Leaving,
    /// It is not listed.
    Unlisted,
}

/// Returns the limit of the store's reads that a number selects; `None` for some.
pub(crate) fn read_limit(number: u64) -> Option<ReadLimit> {
    let rate = |per_second| Some(ReadLimit::Rate { per_second, burst: 10.0 });
    match number % 6 {
        0 => rate(20.0),
        1 => rate(100.0),
        2 => rate(300.0),
        3 => Some(ReadLimit::OneIn(2)),
        4 => Some(ReadLimit::OneIn(3)),
        _ => None,
    }
}

/// Returns the faults of a seed in the first part of a run, whose later part checks promises to instances in contact.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = |stream, gap_ms, length_ms| fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream,
        end: size.length,
        gap_ms,
        length_ms,
    };
    let [losses, cuts, crashes, changes] = STREAMS;
    let losses = series(losses, POWER_GAP_MS, POWER_LOSS_MS)
        .faults(seed, |random| Fault::PowerLoss(read_limit(random.random())));
    let limits: Vec<_> = losses
        .iter()
        .filter_map(|loss| match loss.fault {
            Fault::PowerLoss(Some(limit)) => Some((loss, limit)),
            _ => None,
        })
        .map(|(loss, limit)| PlannedFault {
            length: loss.length + LIMIT_TIME,
            fault: Fault::LimitReads(limit),
            ..*loss
        })
        .collect();
    let cuts = series(cuts, CUT_GAP_MS, CUT_MS).faults(seed, |random| {
        let place = fault_plan::pick(random, &PLACES);
        let cut = CutAnswer::in_head(place, fault_plan::pick(random, &ENDS));
        Fault::Upstream(random.random_range(0..size.upstreams), RunnerMode::Cut(cut))
    });
    let states = [WithheldState::Backoff, WithheldState::Leaving, WithheldState::Unlisted];
    let crashes = series(crashes, CRASH_GAP_MS, CRASH_MS).faults(seed, |random| {
        let upstream = random.random_range(0..size.upstreams);
        Fault::CrashUnframed(upstream, fault_plan::pick(random, &states))
    });
    let changes = series(changes, CHANGE_GAP_MS, CHANGE_MS).faults(seed, |random| {
        let instance = random.random_range(0..size.instances);
        let upstream = random.random_range(0..size.upstreams);
        match random.random_range(0..8) {
            0 | 1 => Fault::StopLate(instance, random.random()),
            2 => Fault::Stop(instance),
            3 => Fault::Kill(instance),
            4 => Fault::Reload(instance),
            5 => Fault::Restart(upstream),
            6 => Fault::Leave(upstream),
            _ => Fault::Publish,
        }
    });
    [losses, limits, cuts, crashes, changes].concat()
}
