//! Gossip between members: quarantined requests, leaving upstreams, limits and speeds of upstreams.
//!
//! `slipturn_core::gossip` defines the targets and intervals.

use std::{net, rc};

use slipturn_core::{gossip, units};

use crate::{
    context, limit_gossip, part_gossip, peer_message, quarantine_gossip, share_gossip,
    speed_gossip, upstream_signals,
};

/// Sends a member all state of this process that is exchanged by gossip.
pub(crate) fn send_to(context: &context::InstanceContext, to: net::SocketAddrV4) {
    quarantine_gossip::send_quarantine(context, to);
    part_gossip::send_verdicts(context, to);
    upstream_signals::send_leaving(context, to);
    limit_gossip::send_to(context, to);
    share_gossip::send_to(context, to);
}

/// Requests gossip state from a member that has just joined, up to a number of requests per second.
pub(crate) fn request_from_joined(context: &context::InstanceContext, to: net::SocketAddrV4) {
    let second = context.now().since(units::MonoTime::default()).as_secs();
    let (last, count) = context.gossip_requests.get();
    let count = if last == second { count } else { 0 };
    if gossip::may_request_state(count) {
        context.gossip_requests.set((second, count + 1));
        context.send_to(to, peer_message::PeerMessage::RequestGossip);
    }
}

/// Requests gossip state from a few random members, after this process may have missed messages.
pub(crate) fn request(context: &context::InstanceContext) {
    for to in targets_for(context, gossip::GossipCause::Resumed) {
        context.send_to(to, peer_message::PeerMessage::RequestGossip);
    }
}

/// Broadcasts to all live members a change that this process has detected.
pub(crate) fn broadcast(context: &context::InstanceContext, message: &peer_message::PeerMessage) {
    for to in targets_for(context, gossip::GossipCause::Found) {
        context.send_to(to, message.clone());
    }
}

/// Runs periodic gossip rounds, and requests state after the process has been paused.
pub(crate) async fn repeat(context: rc::Rc<context::InstanceContext>) {
    let mut last_resumed = context.resumed_at.get();
    loop {
        monoio::time::sleep(gossip::REPEAT_INTERVAL).await;
        if context.resumed_at.get() != last_resumed {
            last_resumed = context.resumed_at.get();
            request(&context);
        }
        let targets = targets_for(&context, gossip::GossipCause::Repeat);
        speed_gossip::send_changed(&context, &targets);
        for to in &targets {
            upstream_signals::send_leaving(&context, *to);
            limit_gossip::send_to(&context, *to);
            share_gossip::send_to(&context, *to);
        }
        // Evidence against quarantined requests is larger and only needed for future requests, so it is sent to one
        // member in each round.
        if let Some(to) = targets.first() {
            quarantine_gossip::send_quarantine(&context, *to);
            part_gossip::send_verdicts(&context, *to);
        }
    }
}

/// Live members to which gossip for `cause` is sent.
fn targets_for(
    context: &context::InstanceContext,
    cause: gossip::GossipCause,
) -> Vec<net::SocketAddrV4> {
    let members = context.members.borrow();
    let alive = members.alive(context.now()).map(|heartbeat| heartbeat.address);
    gossip::targets(cause, alive, &mut rand::rng())
}
