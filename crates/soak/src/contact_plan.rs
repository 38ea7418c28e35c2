//! Plans losses of contact: connections that stop carrying bytes, instances that are cut off from
//! the store or from other members, answers that are lost.
//!
//! A scene consists of one or two simultaneous losses of contact, other faults at about the same
//! time, a series of configurations, upstreams that are listed as leaving, and an upstream that
//! does not answer or answers late. A scene has no loss of contact that begins in its later part,
//! so that the promises to instances in contact with the store and other members can be checked
//! there.

use std::{ops, time};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_platform_standin::{runner::RunnerMode, store::StoreMode};

use crate::{
    fault_plan::{self, Fault, PlanSize, PlannedFault},
    fault_series,
};

/// Number of the random stream that draws the losses of contact in the first part of a run.
const FIRST_PART_STREAM: u64 = 1;
/// Number of the random stream that draws the faults of the scenes (periods that begin with a loss
/// of contact), except their silent or late upstreams.
const SCENE_STREAM: u64 = 2;
/// Number of the random stream that draws, for each scene, the upstream that is silent or late
/// after the losses of contact of the scene have ended.
const SILENT_UPSTREAM_STREAM: u64 = 3;
/// Time from the start of a scene until an upstream becomes silent or late, milliseconds.
const SILENT_UPSTREAM_START_MS: ops::Range<u64> = 3_500..5_000;
/// How long an upstream stays silent or late, milliseconds: long enough that callers leave while
/// their requests wait.
const SILENT_UPSTREAM_LENGTH_MS: ops::Range<u64> = 700..1_600;
/// Time between the starts of two losses of contact in the first part of a run, milliseconds.
const FIRST_PART_GAP_MS: ops::Range<u64> = 600..2_500;
/// How long a loss of contact or an accompanying fault lasts, milliseconds. Silenced connections
/// stay silent for good.
const LOSS_MS: ops::Range<u64> = 200..1_200;
/// Length of a scene, milliseconds: time for its faults, the 3 s until all instances count as in
/// contact with the store and other members again, and about 3 s more in which promises are
/// checked.
const SCENE_MS: u64 = 7_000;
/// Quiet time from the start of a scene until its loss of contact begins, milliseconds.
const LOSS_START_MS: ops::Range<u64> = 300..900;
/// Time from the start of a scene until an accompanying fault begins, milliseconds.
const COMPANION_START_MS: ops::Range<u64> = 100..1_500;
/// Time between the publications of two configurations in a scene, milliseconds.
const PUBLISH_GAP_MS: ops::Range<u64> = 80..900;
/// Time from the start of a scene after which no configuration is published, milliseconds: early
/// enough for the last one to be checked within the scene.
const PUBLISH_UNTIL_MS: u64 = 4_300;
/// Time from the start of a scene until an upstream is listed as leaving, milliseconds.
const LEAVE_MS: ops::Range<u64> = 200..4_000;
/// Time before the end of a scene at which leaving upstreams return, milliseconds.
const RETURN_BEFORE_END_MS: u64 = 200;

/// Returns the length of all scenes of a run together, which is at least the length of the run's
/// first part.
pub fn scenes_length(size: PlanSize) -> time::Duration {
    time::Duration::from_millis(scene_count(size) * SCENE_MS)
}

fn scene_count(size: PlanSize) -> u64 {
    (size.length.as_millis() as u64).div_ceil(SCENE_MS)
}

/// Returns the losses of contact in the first part of a run, planned in addition to the other
/// faults of that part.
pub(crate) fn first_part_losses(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: 0,
        stream: FIRST_PART_STREAM,
        end: size.length,
        gap_ms: FIRST_PART_GAP_MS,
        length_ms: LOSS_MS,
    };
    series.faults(seed, |random| draw_loss(random, size))
}

/// Returns the faults of all scenes. The scenes make up the second part of a run.
pub(crate) fn scenes(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let mut random = random_stream(seed, SCENE_STREAM);
    let mut upstream_random = random_stream(seed, SILENT_UPSTREAM_STREAM);
    let first_start = size.length.as_millis() as u64;
    let starts = (0..scene_count(size)).map(|number| first_start + number * SCENE_MS);
    starts
        .flat_map(|start| {
            let mut faults = scene(&mut random, size, start);
            faults.push(silent_upstream(&mut upstream_random, size, start));
            faults
        })
        .collect()
}

/// Draws an upstream that does not answer for a while, or that works long before it answers, so that
/// callers leave while their requests wait.
fn silent_upstream(random: &mut ChaCha8Rng, size: PlanSize, start: u64) -> PlannedFault {
    let at = start + random.random_range(SILENT_UPSTREAM_START_MS);
    let upstream = random.random_range(0..size.upstreams);
    let modes = [RunnerMode::Late, RunnerMode::Late, RunnerMode::Dark];
    let fault = Fault::Upstream(upstream, fault_plan::pick(random, &modes));
    planned_fault(at, random.random_range(SILENT_UPSTREAM_LENGTH_MS), fault)
}

/// Draws the faults of the scene that begins `start` milliseconds after the start of the run.
fn scene(random: &mut ChaCha8Rng, size: PlanSize, start: u64) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let loss_start = start + random.random_range(LOSS_START_MS);
    let loss = draw_loss(random, size);
    faults.push(planned_fault(loss_start, random.random_range(LOSS_MS), loss));
    if random.random_bool(0.5) {
        // A second loss of contact begins at the same moment as the first one.
        let loss = draw_loss(random, size);
        faults.push(planned_fault(loss_start, random.random_range(LOSS_MS), loss));
    }
    for _ in 0..random.random_range(0..3) {
        let at = start + random.random_range(COMPANION_START_MS);
        let fault = draw_companion(random, size);
        faults.push(planned_fault(at, random.random_range(LOSS_MS), fault));
    }
    let mut at = start + random.random_range(0..LOSS_START_MS.end);
    while at < start + PUBLISH_UNTIL_MS {
        faults.push(planned_fault(at, 0, Fault::Publish));
        at += random.random_range(PUBLISH_GAP_MS);
    }
    // Lists one upstream of each service as leaving, so that the other upstreams of the service
    // remain available.
    for upstream in
        [random.random_range(0..size.engines), random.random_range(size.plain_upstreams())]
    {
        let at = start + random.random_range(LEAVE_MS);
        let end = start + SCENE_MS - RETURN_BEFORE_END_MS;
        faults.push(planned_fault(at, end - at, Fault::Leave(upstream)));
    }
    faults
}

/// Draws a loss of contact: connections that stop carrying bytes, a faulty link of one instance, or
/// lost answers of the store.
fn draw_loss(random: &mut ChaCha8Rng, size: PlanSize) -> Fault {
    let instance = random.random_range(0..size.instances);
    let upstream = random.random_range(0..size.upstreams);
    match random.random_range(0..15) {
        0..=2 => Fault::SilenceStore(None),
        3..=5 => Fault::SilenceStore(Some(instance)),
        6 => Fault::SilenceUpstream(upstream),
        7 => Fault::SilenceMembers(None),
        8 | 9 => Fault::SilenceAll,
        10 | 11 => Fault::StoreLinkOf(instance, fault_plan::draw_link_mode(random)),
        12 | 13 => Fault::Store(StoreMode::Lost),
        _ => Fault::MemberLink(instance, fault_plan::draw_link_mode(random)),
    }
}

/// Draws a fault that begins at about the same time as the loss of contact of a scene.
fn draw_companion(random: &mut ChaCha8Rng, size: PlanSize) -> Fault {
    let instance = random.random_range(0..size.instances);
    let upstream = random.random_range(0..size.upstreams);
    match random.random_range(0..9) {
        0 => Fault::Kill(instance),
        1 => Fault::Stop(instance),
        2 => Fault::Pause(instance),
        3 => Fault::Reload(instance),
        4 => Fault::Forget,
        5 => Fault::SilenceMembers(Some(instance)),
        6 => Fault::MemberLink(instance, fault_plan::draw_link_mode(random)),
        7 => Fault::UpstreamLink(upstream, fault_plan::draw_link_mode(random)),
        _ => Fault::Upstream(upstream, fault_plan::pick(random, &fault_plan::RUNNER_MODES)),
    }
}

/// Builds a planned fault from its start and length in milliseconds.
pub(crate) fn planned_fault(at: u64, length: u64, fault: Fault) -> PlannedFault {
    let [at, length] = [at, length].map(time::Duration::from_millis);
    PlannedFault { at, length, fault }
}

/// Returns the random stream `number` of a seed, which is independent of the seed's other streams.
/// Stream 0 draws the faults that [`fault_plan::plan`] packs densely into the first part of a run.
pub(crate) fn random_stream(seed: u64, number: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(number);
    random
}
