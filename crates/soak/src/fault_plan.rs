//! Derives the plan of a run from its seed: which faults occur, when, and what they affect.
//!
//! A run has two parts. In the first, faults follow each other densely and overlap. The second
//! consists of scenes. A scene begins with a loss of contact and has no other one that begins in
//! its later part, so that the promises to instances in contact with the store and other members
//! can be checked. Each kind of fault draws from a random stream of its own, so that new kinds
//! leave the other faults of a seed as they are.

use std::{fmt, time};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_platform_standin::{
    proxy::LinkMode,
    runner::RunnerMode,
    store::{ReadLimit, StoreMode},
};

use crate::{
    contact_plan, data_center_plan, drill_plan, endless_plan, engine_plan, entry_plan,
    framing_plan, grace_plan, invalid_plan, limit_plan, partition_plan, return_plan, signal_plan,
};

/// Time between the starts of two faults of [`dense_faults`] in the first part of a run,
/// milliseconds: short enough for the faults to overlap.
const GAP_MS: std::ops::Range<u64> = 100..600;
/// How long a fault of [`dense_faults`] lasts, milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..2_500;
/// Time at the start and the end of the first part of a run without faults of [`dense_faults`],
/// milliseconds.
const QUIET_MS: u64 = 600;

/// A fault to inject. Numbers of instances and upstreams count from 0. "The end" is the start of
/// the fault plus its planned length.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// An instance gets SIGKILL and is started again at the end.
    Kill(u8),
    /// An instance gets SIGTERM and is started again once it has exited.
    Stop(u8),
    /// An instance gets SIGSTOP, and SIGCONT at the end.
    Pause(u8),
    /// An instance gets SIGTERM like [`Self::Stop`], while clients whose requests the number determines use it until its
    /// process is gone.
    StopLate(u8, u64),
    /// An instance gets SIGHUP, on which it reads its settings again.
    Reload(u8),
    /// All instances get SIGKILL and are started again at the end.
    KillAll,
    /// The store fails in the given mode until the end.
    Store(StoreMode),
    /// The store discards its history of changes, so that watches from an older revision get status
    /// 410.
    Forget,
    /// A new configuration with one more route is published.
    Publish,
    /// The links from all instances to the store fail in the given mode until the end.
    StoreLink(LinkMode),
    /// An upstream fails in the given mode until the end.
    Upstream(u8, RunnerMode),
    /// The link to an upstream fails in the given mode until the end.
    UpstreamLink(u8, LinkMode),
    /// An upstream is listed as leaving, and as ready again at the end.
    Leave(u8),
    /// Open connections between the store and one instance, or all for `None`, become silent for
    /// good: they stay open but carry no more bytes.
    SilenceStore(Option<u8>),
    /// Open connections between one upstream and all instances become silent for good: they stay
    /// open but carry no more bytes.
    SilenceUpstream(u8),
    /// Open connections on which members fetch the routes and the list of upstreams from one
    /// instance, or from all for `None`, become silent for good: they stay open but carry no more
    /// bytes.
    SilenceMembers(Option<u8>),
    /// Open connections to the store, to members and to upstreams become silent for good at the
    /// same moment: they stay open but carry no more bytes.
    SilenceAll,
    /// The link from one instance to the store fails in the given mode until the end.
    StoreLinkOf(u8, LinkMode),
    /// The link on which members fetch the routes and the list of upstreams from one instance fails
    /// in the given mode until the end.
    MemberLink(u8, LinkMode),
    /// An upstream restarts under the same name; its new entry is written at the end.
    Restart(u8),
    /// An upstream signals in its answers, but not in the list, that it leaves, and restarts at the
    /// end.
    SayLeaving(u8),
    /// An upstream rejects requests until the end, with a `Retry-After` time in milliseconds.
    AskRest(u8, u64),
    /// An upstream announces a rate limit until the end, in thousandths of a request a second.
    NameLimit(u8, u32),
    /// Another writer replaces the entry of an upstream by an invalid one until the end.
    Overwrite(u8),
    /// Another writer adds an invalid entry under a key with this number.
    Litter(u8),
    /// Another writer adds an entry with odd values under a key with this number.
    OddEntry(u8),
    /// The data centre of an upstream is evacuated until the end; it has no other upstream.
    Evacuate(u8),
    /// An engine is listed as cold (limited to a low request rate) until the end.
    Cool(u8),
    /// The links from an instance to upstreams fail in the given mode until the end. An instance that is partitioned
    /// already stays so.
    Partition(u8, PartitionScope, LinkMode),
    /// The streams of an engine have neither a length nor chunks until the end.
    Unframed(u8),
    /// All instances and upstreams end at once and are started again at the end, the upstreams under new identifiers. The
    /// store, which has many entries of another writer, limits reads meanwhile as a [`Self::LimitReads`] beside says.
    PowerLoss(Option<ReadLimit>),
    /// The store rejects reads beyond a limit until the end.
    LimitReads(ReadLimit),
    /// An upstream whose answers have no length gets no more requests, crashes, and is used as before at the end.
    CrashUnframed(u8, return_plan::WithheldState),
    /// An engine with speed is slower than published by the given factor until the end.
    Slow(u8, u8),
    /// The store is unavailable until the end and is then restored from an older copy; lost entries
    /// are written again later.
    Drill {
        /// Age of the copy at the time of the restore, milliseconds.
        age_ms: u64,
        /// Time from the restore until lost entries are written again, milliseconds.
        rewrite_ms: u64,
    },
}

/// Which upstreams an instance is partitioned from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionScope {
    /// All upstreams.
    All,
    /// The engines.
    Engines,
    /// The upstreams of the plain service, which run no model.
    Plain,
    /// The upstreams with even numbers.
    EvenNumbers,
}

impl PartitionScope {
    /// Returns whether the upstream with a number is cut off; `engines` is the number of engines, which
    /// have the lowest numbers.
    pub fn contains(self, upstream: u8, engines: u8) -> bool {
        match self {
            Self::All => true,
            Self::Engines => upstream < engines,
            Self::Plain => upstream >= engines,
            Self::EvenNumbers => upstream.is_multiple_of(2),
        }
    }
}

/// A fault of a plan, with its start and length.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// Time from the start of traffic to the start of the fault.
    pub at: time::Duration,
    /// Length of the fault; single actions such as [`Fault::Publish`] ignore it.
    pub length: time::Duration,
    /// Kind of fault, with the number of the instance or upstream that it affects.
    pub fault: Fault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>6} ms, {:>5} ms: {:?}",
            self.at.as_millis(),
            self.length.as_millis(),
            self.fault
        )
    }
}

/// Size of the fleet and length of the run that a plan is made for.
#[derive(Debug, Clone, Copy)]
pub struct PlanSize {
    /// Number of instances; faults refer to them by numbers from 0.
    pub instances: u8,
    /// Number of upstreams: engines, which have the lowest numbers, and upstreams of the plain
    /// service, which run no model.
    pub upstreams: u8,
    /// Number of engines among the upstreams.
    pub engines: u8,
    /// Length of the first part of the run.
    pub length: time::Duration,
}

impl PlanSize {
    /// Returns the numbers of the upstreams of the plain service, which run no model.
    pub fn plain_upstreams(&self) -> std::ops::Range<u8> {
        self.engines..self.upstreams
    }
}

/// Returns the plan of a seed, in order of time.
pub fn plan(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let mut faults = dense_faults(seed, size);
    faults.extend(contact_plan::first_part_losses(seed, size));
    faults.extend(contact_plan::scenes(seed, size));
    faults.extend(entry_plan::faults(seed, size));
    faults.extend(signal_plan::faults(seed, size));
    faults.extend(limit_plan::faults(seed, size));
    faults.extend(data_center_plan::faults(seed, size));
    faults.extend(drill_plan::faults(seed, size));
    faults.extend(partition_plan::faults(seed, size));
    faults.extend(framing_plan::faults(seed, size));
    faults.extend(engine_plan::faults(seed, size));
    faults.extend(endless_plan::faults(seed, size));
    faults.extend(invalid_plan::faults(seed, size));
    faults.extend(grace_plan::faults(seed, size));
    faults.extend(return_plan::faults(seed, size));
    faults.sort_by_key(|planned| planned.at);
    faults
}

/// Returns the faults that follow each other densely and overlap in the first part of a run.
fn dense_faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = (size.length.as_millis() as u64).saturating_sub(QUIET_MS);
    let mut at = QUIET_MS;
    let mut faults = Vec::new();
    while at < end {
        let fault = draw_fault(&mut random, size);
        let length = random.random_range(LENGTH_MS).min(end.saturating_sub(at).max(1));
        faults.push(PlannedFault {
            at: time::Duration::from_millis(at),
            length: time::Duration::from_millis(length),
            fault,
        });
        at += random.random_range(GAP_MS);
    }
    faults
}

/// Draws one of the faults of [`dense_faults`].
fn draw_fault(random: &mut ChaCha8Rng, size: PlanSize) -> Fault {
    let instance = random.random_range(0..size.instances);
    let upstream = random.random_range(0..size.upstreams);
    match random.random_range(0..26) {
        0 | 1 => Fault::Kill(instance),
        2..=4 => Fault::Stop(instance),
        5 | 6 => Fault::Pause(instance),
        7 => Fault::Reload(instance),
        8 => Fault::KillAll,
        9 => Fault::Store(pick(random, &[StoreMode::Busy, StoreMode::Reset, StoreMode::Silent])),
        10 => Fault::Forget,
        11 | 12 => Fault::Publish,
        13 => Fault::StoreLink(draw_link_mode(random)),
        14..=20 => Fault::Upstream(upstream, pick(random, &RUNNER_MODES)),
        21 | 22 => Fault::UpstreamLink(upstream, draw_link_mode(random)),
        _ => Fault::Leave(upstream),
    }
}

/// Failure modes of upstreams that plans draw from.
pub(crate) const RUNNER_MODES: [RunnerMode; 7] = [
    RunnerMode::Full,
    RunnerMode::Failing,
    RunnerMode::Dark,
    RunnerMode::Breaking,
    RunnerMode::Surplus,
    RunnerMode::Crossed,
    RunnerMode::Mute,
];

/// Draws the failure mode of a link.
pub(crate) fn draw_link_mode(random: &mut ChaCha8Rng) -> LinkMode {
    let modes = [LinkMode::Slow, LinkMode::Reset, LinkMode::DropForth, LinkMode::DropBack];
    pick(random, &modes)
}

/// Draws one of several values with equal probability.
pub(crate) fn pick<T: Copy>(random: &mut ChaCha8Rng, from: &[T]) -> T {
    from[random.random_range(0..from.len())]
}
