//! Runs the failure detector and broadcasts its findings.

use std::{net, rc, time};

use slipturn_core::{failure_detector, units};

use crate::{context, heartbeats, peer_message};

/// Interval between two calls of the detector.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Interval between two updates of its ring.
const RING_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Least interval between two denials of a suspicion.
const DENIAL_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Most reports in one message; each takes some twelve bytes.
const MAX_REPORTS: usize = 200;

/// Runs the detector where heartbeats alone are too slow.
pub async fn run(context: rc::Rc<context::InstanceContext>) {
    let mut ring_at = units::MonoTime::default();
    loop {
        monoio::time::sleep(TICK).await;
        let now = context.now();
        let members = context.members.borrow();
        if !members.needs_probes() || !members.is_settled(now) {
            continue;
        }
        if now.since(ring_at) >= RING_INTERVAL {
            ring_at = now;
            context.detector.borrow_mut().set_members(now, members.ring());
        }
        drop(members);
        let actions = context.detector.borrow_mut().tick(now, &mut rand::rng());
        act(&context, actions);
    }
}

/// Handles a probe or its answer.
pub(crate) fn receive(
    context: &context::InstanceContext,
    from: net::SocketAddrV4,
    message: failure_detector::ProbeMessage,
) {
    let now = context.now();
    let actions = context.detector.borrow_mut().receive(now, from, message);
    act(context, actions);
}

/// Handles suspicions broadcast by another member.
pub(crate) fn receive_suspects(
    context: &context::InstanceContext,
    reports: Vec<failure_detector::SuspectReport>,
) {
    for report in reports {
        if report.boot == context.boot {
            deny(context);
            continue;
        }
        let heard = context.detector.borrow_mut().receive_suspect(context.now(), report);
        let (news, actions) = heard;
        if news {
            suspect(context, report);
        }
        act(context, actions);
    }
}

/// Handles ends of suspicions broadcast by another member.
pub(crate) fn receive_restored(context: &context::InstanceContext, boots: &[u64]) {
    boots.iter().for_each(|boot| restore(context, *boot));
}

/// Handles a sign of life of a member.
pub(crate) fn restore(context: &context::InstanceContext, boot: u64) {
    let now = context.now();
    if context.detector.borrow_mut().restore(now, boot) {
        context.members.borrow_mut().set_suspected(now, boot, None);
        log::info!(boot; "member.restored");
    }
}

fn suspect(context: &context::InstanceContext, report: failure_detector::SuspectReport) {
    let now = context.now();
    let silent = time::Duration::from_millis(u64::from(report.silent_ms));
    let suspected = context.members.borrow_mut().set_suspected(now, report.boot, Some(silent));
    if suspected {
        context.stats.borrow_mut().count("members", "suspected");
        log::info!(boot = report.boot, silent_ms = report.silent_ms; "member.suspected");
    } else {
        // There was a later sign of life here.
        context.detector.borrow_mut().restore(now, report.boot);
    }
}

/// Denies a suspicion of this process with heartbeats to all.
fn deny(context: &context::InstanceContext) {
    let now = context.now();
    if context.last_refuted.get().is_none_or(|last| now.since(last) >= DENIAL_INTERVAL) {
        context.last_refuted.set(Some(now));
        log::warn!("process.suspected");
        heartbeats::broadcast(context);
    }
}

fn act(context: &context::InstanceContext, actions: Vec<failure_detector::DetectorAction>) {
    use failure_detector::DetectorAction;
    let (mut suspects, mut restored) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            DetectorAction::Send(to, message) => {
                context.send_to(to, peer_message::PeerMessage::Probe(message));
            }
            DetectorAction::Suspect(report) => suspects.push(report),
            DetectorAction::Restore(boot) => restored.push(boot),
        }
    }
    suspects.iter().for_each(|report| suspect(context, *report));
    for reports in suspects.chunks(MAX_REPORTS) {
        announce(context, &peer_message::PeerMessage::Suspects(reports.to_vec()));
    }
    if !restored.is_empty() {
        let now = context.now();
        let mut members = context.members.borrow_mut();
        restored.iter().for_each(|boot| {
            members.set_suspected(now, *boot, None);
        });
        drop(members);
        announce(context, &peer_message::PeerMessage::Restored(restored));
    }
}

fn announce(context: &context::InstanceContext, message: &peer_message::PeerMessage) {
    let own = context.settings().member_address;
    let targets = context.members.borrow().targets(own);
    targets.into_iter().for_each(|to| context.send_to(to, message.clone()));
}
