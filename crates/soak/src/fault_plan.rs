//! Which faults strike, when and whom: all decided by the seed.
//!
//! A run has two parts. In the first, faults strike without a pause; in the second, scenes begin
//! with a loss of contact and leave instances undisturbed afterwards, so that what must hold in
//! contact is judged. Each part draws from a random stream of its own.

use std::{fmt, time};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_platform_standin::{proxy::LinkMode, runner::RunnerMode, store::StoreMode};

use crate::{contact_plan, data_center_plan, drill_plan, entry_plan, limit_plan, signal_plan};

/// Pause between two faults, milliseconds: short enough for faults to overlap.
const GAP_MS: std::ops::Range<u64> = 100..600;
/// How long a fault lasts, milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..2_500;
/// Time at the start and the end without faults, milliseconds.
const QUIET_MS: u64 = 600;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// SIGKILL, and a new start.
    Kill(u8),
    /// SIGTERM, and a new start after the end.
    Stop(u8),
    /// SIGSTOP, then SIGCONT.
    Pause(u8),
    /// SIGHUP.
    Reload(u8),
    /// SIGKILL to all, and new starts.
    KillAll,
    /// The store misbehaves.
    Store(StoreMode),
    /// The store forgets its history.
    Forget,
    /// A new configuration with one route more.
    Publish,
    /// The link from all instances to the store misbehaves.
    StoreLink(LinkMode),
    /// An upstream misbehaves.
    Upstream(u8, RunnerMode),
    /// The link to an upstream misbehaves.
    UpstreamLink(u8, LinkMode),
    /// An upstream says that it leaves, and comes back.
    Leave(u8),
    /// Open connections between the store and one instance, or all, fall silent for good.
    SilenceStore(Option<u8>),
    /// Those between one upstream and all instances.
    SilenceUpstream(u8),
    /// Those on which members read documents of one instance, or of all.
    SilenceMembers(Option<u8>),
    /// All of these at the same moment.
    SilenceAll,
    /// The link from one instance to the store misbehaves.
    StoreLinkOf(u8, LinkMode),
    /// The link on which members read documents of one instance misbehaves.
    MemberLink(u8, LinkMode),
    /// An upstream starts again under its name; its new entry comes at the end.
    Restart(u8),
    /// An upstream says in its answers that it leaves, and at the end starts again; the list hears nothing.
    SayLeaving(u8),
    /// An upstream turns away what comes, and asks for so many milliseconds of rest.
    AskRest(u8, u64),
    /// An upstream names how many requests it takes, thousandths a second.
    NameLimit(u8, u32),
    /// Another writer overwrites an upstream's entry until the end.
    Overwrite(u8),
    /// Another writer writes an entry of its own, under this number.
    Litter(u8),
    /// The data centre of an upstream, which holds no other, is evacuated.
    Evacuate(u8),
    /// An engine says that it is cold.
    Cool(u8),
    /// The store is away and returns from a copy of such an age; what was lost is written again later.
    Drill {
        /// Age of the copy as the store returns.
        age_ms: u64,
        /// Time from the return until all is written again.
        rewrite_ms: u64,
    },
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// When it strikes, from the start of traffic.
    pub at: time::Duration,
    /// How long it lasts.
    pub length: time::Duration,
    /// What it is.
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

/// Sizes that a plan is made for.
#[derive(Debug, Clone, Copy)]
pub struct PlanSize {
    /// Instances.
    pub instances: u8,
    /// Upstreams of both services together, engines first.
    pub upstreams: u8,
    /// Engines among them.
    pub engines: u8,
    /// Length of the run's first part.
    pub length: time::Duration,
}

impl PlanSize {
    /// Upstreams of the plain service.
    pub fn plain_upstreams(&self) -> std::ops::Range<u8> {
        self.engines..self.upstreams
    }
}

/// The plan of a seed, in order of time.
pub fn plan(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let mut faults = dense_faults(seed, size);
    faults.extend(contact_plan::first_part_losses(seed, size));
    faults.extend(contact_plan::scenes(seed, size));
    faults.extend(entry_plan::faults(seed, size));
    faults.extend(signal_plan::faults(seed, size));
    faults.extend(limit_plan::faults(seed, size));
    faults.extend(data_center_plan::faults(seed, size));
    faults.extend(drill_plan::faults(seed, size));
    faults.sort_by_key(|planned| planned.at);
    faults
}

/// Faults of the first part.
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

/// Faults of upstreams that are drawn.
pub(crate) const RUNNER_MODES: [RunnerMode; 7] = [
    RunnerMode::Full,
    RunnerMode::Failing,
    RunnerMode::Dark,
    RunnerMode::Breaking,
    RunnerMode::Surplus,
    RunnerMode::Crossed,
    RunnerMode::Mute,
];

/// Draws what a link does.
pub(crate) fn draw_link_mode(random: &mut ChaCha8Rng) -> LinkMode {
    let modes = [LinkMode::Slow, LinkMode::Reset, LinkMode::DropForth, LinkMode::DropBack];
    pick(random, &modes)
}

/// Draws one of several.
pub(crate) fn pick<T: Copy>(random: &mut ChaCha8Rng, from: &[T]) -> T {
    from[random.random_range(0..from.len())]
}
