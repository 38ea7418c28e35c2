//! Runs the failure detector, and broadcasts the suspicions that it raises and withdraws.

use std::{net, rc, time};

use slipturn_core::{failure_detector, units};

use crate::{context, heartbeats, peer_message};

/// Interval between two calls of the failure detector.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Interval between two updates of the detector's list of members.
const RING_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Minimum interval between two refutations of suspicions of this process.
const REFUTATION_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Most suspicion reports in one message; each takes some twelve bytes.
const MAX_REPORTS: usize = 200;

/// Runs the failure detector while heartbeats are too far apart to show a silent member in time.
pub async fn run(context: rc::Rc<context::InstanceContext>) {
    let mut ring_at = units::MonoTime::default();
    loop {
        monoio::time::sleep(TICK_INTERVAL).await;
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
        apply_actions(&context, actions);
    }
}

/// Handles a probe of the failure detector, or the reply to one.
pub(crate) fn receive(
    context: &context::InstanceContext,
    from: net::SocketAddrV4,
    message: failure_detector::ProbeMessage,
) {
    let now = context.now();
    let actions = context.detector.borrow_mut().receive(now, from, message);
    apply_actions(context, actions);
}

/// Handles suspicions broadcast by another member.
pub(crate) fn receive_suspects(
    context: &context::InstanceContext,
    reports: Vec<failure_detector::SuspectReport>,
) {
    for report in reports {
        if report.boot == context.boot {
            refute(context);
            continue;
        }
        let outcome = context.detector.borrow_mut().receive_suspect(context.now(), report);
        let (is_new, actions) = outcome;
        if is_new {
            suspect(context, report);
        }
        apply_actions(context, actions);
    }
}

/// Handles withdrawn suspicions broadcast by another member.
pub(crate) fn receive_restored(context: &context::InstanceContext, boots: &[u64]) {
    boots.iter().for_each(|boot| restore(context, *boot));
}

/// Withdraws the suspicion of a member that has shown a sign of life.
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
        // The member is unknown, or a message from it has arrived since the report was made.
        context.detector.borrow_mut().restore(now, report.boot);
    }
}

/// Refutes a suspicion of this process by broadcasting its heartbeat to all members.
fn refute(context: &context::InstanceContext) {
    let now = context.now();
    if context.last_refuted.get().is_none_or(|last| now.since(last) >= REFUTATION_INTERVAL) {
        context.last_refuted.set(Some(now));
        log::warn!("process.suspected");
        heartbeats::broadcast(context);
    }
}

fn apply_actions(
    context: &context::InstanceContext,
    actions: Vec<failure_detector::DetectorAction>,
) {
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
