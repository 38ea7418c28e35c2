//! Sends and receives datagrams between instances, and runs the planners of this process.

use std::{net, rc, time};

use futures::{StreamExt as _, channel::mpsc};
use slipturn_core::{engine_place, member_heartbeat, planner_key};

use crate::{
    context, failure_watch, heartbeats, lease_renewal, limit_gossip, member_gossip, part_gossip,
    peer_message, permit_request, planner_guard, planner_set, quarantine_gossip, quota_coordinator,
    share_gossip, share_rows, speed_gossip, upstream_signals, upstream_starts,
};

/// Interval between two runs of the planners while requests wait.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Interval between two runs of the planners while no request waits.
const IDLE_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Interval between two log lines on the state of the planners.
const STATE_LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time between two runs of the planners beyond which the process must have been paused.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(700);

/// Sends the messages that other tasks have queued.
pub async fn send_all(
    socket: &monoio::net::udp::UdpSocket,
    outgoing: &mut mpsc::UnboundedReceiver<context::OutgoingMessage>,
) {
    while let Some(context::OutgoingMessage { to, message }) = outgoing.next().await {
        let bytes = match message.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:%; "peer.unencodable");
                continue;
            }
        };
        let (result, _) = socket.send_to(bytes, net::SocketAddr::V4(to)).await;
        // Datagrams may be lost anyway; senders that need an answer retry.
        if let Err(error) = result {
            log::debug!(to:%, error:%; "peer.send_failed");
        }
    }
}

/// Receives and handles messages of other members.
pub async fn receive_all(
    context: &rc::Rc<context::InstanceContext>,
    socket: &monoio::net::udp::UdpSocket,
) {
    loop {
        let buffer = Vec::with_capacity(peer_message::MAX_DATAGRAM);
        let (result, buffer) = socket.recv_from(buffer).await;
        let from = match result {
            Ok((_, net::SocketAddr::V4(from))) => from,
            Ok(_) => continue,
            Err(error) => {
                // The refusal of an earlier datagram to a peer that is down is reported here.
                log::debug!(error:%; "peer.receive_failed");
                continue;
            }
        };
        match peer_message::PeerMessage::decode(&buffer) {
            Ok(message) if uses_planners(&message) => {
                // A panic costs this message alone, as the requests and leases in it are repeated.
                planner_guard::run(context, || receive(context, from, message));
            }
            Ok(message) => receive(context, from, message),
            Err(error) => log::warn!(from:%, error:%; "peer.unreadable"),
        }
    }
}

/// Whether a message changes the planners of this process.
fn uses_planners(message: &peer_message::PeerMessage) -> bool {
    use peer_message::PeerMessage;
    matches!(
        message,
        PeerMessage::Ask(..)
            | PeerMessage::Note(..)
            | PeerMessage::Renew(..)
            | PeerMessage::Leases(..)
    )
}

/// Passes a message to the module that handles it.
fn receive(
    context: &rc::Rc<context::InstanceContext>,
    from: net::SocketAddrV4,
    message: peer_message::PeerMessage,
) {
    use peer_message::PeerMessage;
    let now = context.now();
    match message {
        PeerMessage::Beat(heartbeat) => heartbeats::receive(context, now, *heartbeat),
        PeerMessage::Alive(alive) => {
            failure_watch::restore(context, alive.boot);
            if !context.members.borrow_mut().receive_alive(now, &alive) {
                context.send_to(from, PeerMessage::Who);
            }
        }
        PeerMessage::Who => {
            let heartbeat = context.next_heartbeat();
            context.send_to(from, PeerMessage::Beat(Box::new(heartbeat)));
        }
        PeerMessage::Ask(key, request) => {
            let job = request.job;
            let origin = planner_set::PlacementOrigin::Member(from);
            let mut planners = context.planners.borrow_mut();
            planners.sync(now, &context.fleet.borrow());
            lease_renewal::begin_if_idle(context, &mut planners, now, &key);
            let reply = match planners.request(now, &key, *request, origin) {
                Some(answer) => PeerMessage::Answer(Box::new(answer)),
                None => PeerMessage::Queued(job),
            };
            context.send_to(from, reply);
        }
        PeerMessage::Answer(answer) => {
            let job = answer.job();
            deliver(context, job, peer_message::PlanReply::Answer(answer));
        }
        PeerMessage::Queued(job) => deliver(context, job, peer_message::PlanReply::Queued),
        PeerMessage::Note(key, note) => {
            if let Some(planner) = context.planners.borrow_mut().planner(&key) {
                planner.note(now, &note);
            }
        }
        PeerMessage::Renew(key, boot, jobs) => {
            lease_renewal::receive(context, now, from, key, boot, jobs);
        }
        PeerMessage::Gone(upstream) => {
            context.loads.borrow_mut().receive_gone(now, &upstream);
        }
        PeerMessage::Ends(reports) => quarantine_gossip::receive_crashes(context, reports),
        PeerMessage::Held(reports) => quarantine_gossip::receive_quarantine(context, from, reports),
        PeerMessage::Cleared(digest, micros_ago) => {
            quarantine_gossip::receive_cleared(context, digest, micros_ago);
        }
        PeerMessage::RequestQuery(requests) => {
            quarantine_gossip::receive_query(context, from, requests);
        }
        PeerMessage::RequestAnswers(answers) => {
            quarantine_gossip::receive_answers(context, answers);
        }
        PeerMessage::PartCrashes(reports) => part_gossip::receive_crashes(context, reports),
        PeerMessage::PartQuery(first_us, subjects) => {
            part_gossip::receive_query(context, from, first_us, subjects);
        }
        PeerMessage::PartAnswers(report) => part_gossip::receive_answers(context, report),
        PeerMessage::PartVerdicts(reports) => part_gossip::receive_verdicts(context, from, reports),
        PeerMessage::PartRelease(report) => part_gossip::receive_release(context, &report),
        PeerMessage::PartTrial(scope, parts) => part_gossip::note_trial(context, scope, parts),
        PeerMessage::Speeds(reports) => speed_gossip::receive(context, &reports),
        PeerMessage::ShareFactors(reports) => share_gossip::receive(context, reports),
        PeerMessage::RequestGossip => member_gossip::send_to(context, from),
        PeerMessage::Leaving(reports) => upstream_signals::receive_members(context, reports),
        PeerMessage::Limits(reports) => limit_gossip::receive_members(context, reports),
        PeerMessage::RequestPermit(request) => {
            quota_coordinator::receive_request(context, from, *request);
        }
        PeerMessage::Permit(number, response) => permit_request::receive(context, number, response),
        PeerMessage::Probe(message) => failure_watch::receive(context, from, message),
        PeerMessage::Suspects(reports) => failure_watch::receive_suspects(context, reports),
        PeerMessage::Restored(boots) => failure_watch::receive_restored(context, &boots),
        PeerMessage::Census(key) => lease_renewal::announce_leases(context, from, &key),
        PeerMessage::Unknown(key, jobs) => {
            lease_renewal::send_requested_leases(context, from, key, &jobs);
        }
        PeerMessage::Leases(key, leases) => {
            let mut planners = context.planners.borrow_mut();
            planners.sync(now, &context.fleet.borrow());
            if let Some(planner) = planners.planner(&key) {
                planner.take_over(now, leases);
            }
        }
    }
}

/// Passes a planner's reply to the request that waits for it.
fn deliver(
    context: &context::InstanceContext,
    job: engine_place::JobId,
    reply: peer_message::PlanReply,
) {
    if let Some(sender) = context.reply_senders.borrow().get(&job) {
        // The request may have ended in the meantime; it needs no reply then.
        let _ = sender.unbounded_send(reply);
    }
}

/// Runs the planners periodically, and detects that the process has been paused.
pub async fn plan(context: rc::Rc<context::InstanceContext>) {
    let mut last = context.now();
    let mut logged = last;
    let mut announced = heartbeats::AnnouncedState::default();
    let mut share_log = share_rows::ShareLog::default();
    loop {
        let state = heartbeats::AnnouncedState::of(&context.own_heartbeat());
        if state != announced {
            heartbeats::broadcast_state(&context, state, announced);
            announced = state;
        }
        // The interval is short also until routes are known, so that the process announces at once that it has them.
        let busy = context.planners.borrow().waiting() > 0 || !announced.has_routes;
        monoio::time::sleep(if busy { PLAN_INTERVAL } else { IDLE_INTERVAL }).await;
        let now = context.now();
        if now.since(last) > MIN_PAUSE {
            log::warn!(paused_ms = now.since(last).as_millis() as u64; "process.woke");
            context.resumed_at.set(now);
            quota_coordinator::reset_quotas(&context);
            // Other members may suspect this process by now.
            heartbeats::broadcast(&context);
        }
        last = now;
        context.fleet.borrow_mut().tick(now);
        upstream_starts::handle_ended(&context);
        let answers = planner_guard::run(&context, || {
            quota_coordinator::tick(&context);
            let mut planners = context.planners.borrow_mut();
            planners.sync(now, &context.fleet.borrow());
            if now.since(logged) > STATE_LOG_INTERVAL {
                logged = now;
                planners.log_state(now);
            }
            share_log.update(now, &planners);
            planners.tick(now)
        });
        for (origin, answer) in answers.into_iter().flatten() {
            let job = answer.job();
            match origin {
                planner_set::PlacementOrigin::Local => {
                    deliver(&context, job, peer_message::PlanReply::Answer(Box::new(answer)));
                }
                planner_set::PlacementOrigin::Member(address) => {
                    context.send_to(address, peer_message::PeerMessage::Answer(Box::new(answer)));
                }
            }
        }
    }
}

/// The other member that runs the planner of `key` (service and cell); `None` if this process runs it, or if neither
/// this process nor a live member may plan.
pub fn planner_of(
    context: &context::InstanceContext,
    key: &planner_key::PlannerKey,
) -> Option<member_heartbeat::MemberHeartbeat> {
    let own = context.own_heartbeat();
    context.members.borrow().planner(context.now(), key, &own)
}

/// Informs the planner of `key`, wherever it runs, of a change to a place.
pub fn notify_planner(
    context: &context::InstanceContext,
    key: &planner_key::PlannerKey,
    note: engine_place::PlaceNote,
) {
    // The planner of this process may have the job as well, from a time when no other planner was reachable.
    // Guarded, as places end also while a panic unwinds, where a second one would end the process.
    planner_guard::run(context, || {
        if let Some(planner) = context.planners.borrow_mut().planner(key) {
            planner.note(context.now(), &note);
        }
    });
    if let Some(member) = planner_of(context, key) {
        context.send_to(member.address, peer_message::PeerMessage::Note(key.clone(), note));
    }
}
