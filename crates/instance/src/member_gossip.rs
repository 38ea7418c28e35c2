//! Gossip between members: quarantined requests, leaving upstreams and limits.
//!
//! Targets and intervals: `slipturn_core::gossip`.

use std::{net, rc};

use slipturn_core::{gossip, units};

use crate::{context, limit_gossip, peer_message, quarantine_gossip, upstream_signals};

/// Sends a member the state known here.
pub(crate) fn send_to(context: &context::InstanceContext, to: net::SocketAddrV4) {
    quarantine_gossip::send_held(context, to);
    upstream_signals::send_leaving(context, to);
    limit_gossip::send_to(context, to);
}

/// Requests the state of a newly met member, within a bound for each second.
pub(crate) fn request_from_met(context: &context::InstanceContext, to: net::SocketAddrV4) {
    let second = context.now().since(units::MonoTime::default()).as_secs();
    let (last, count) = context.gossip_requests.get();
    let count = if last == second { count } else { 0 };
    if gossip::requests_from_met(count) {
        context.gossip_requests.set((second, count + 1));
        context.send_to(to, peer_message::PeerMessage::RequestGossip);
    }
}

/// Requests the state of a few members, after something may have been missed.
pub(crate) fn request(context: &context::InstanceContext) {
    for to in drawn(context, gossip::GossipCause::Woke) {
        context.send_to(to, peer_message::PeerMessage::RequestGossip);
    }
}

/// Broadcasts a change.
pub(crate) fn broadcast(context: &context::InstanceContext, message: &peer_message::PeerMessage) {
    for to in drawn(context, gossip::GossipCause::Found) {
        context.send_to(to, message.clone());
    }
}

/// Runs periodic rounds, and requests state after a pause.
pub(crate) async fn repeat(context: rc::Rc<context::InstanceContext>) {
    let mut woken = context.resumed_at.get();
    loop {
        monoio::time::sleep(gossip::REPEAT_INTERVAL).await;
        if context.resumed_at.get() != woken {
            woken = context.resumed_at.get();
            request(&context);
        }
        let told = drawn(&context, gossip::GossipCause::Repeat);
        for to in &told {
            upstream_signals::send_leaving(&context, *to);
            limit_gossip::send_to(&context, *to);
        }
        // Evidence of the quarantine is larger and only needed for future sends.
        told.first().into_iter().for_each(|to| quarantine_gossip::send_held(&context, *to));
    }
}

/// Targets of a round.
fn drawn(context: &context::InstanceContext, cause: gossip::GossipCause) -> Vec<net::SocketAddrV4> {
    let members = context.members.borrow();
    let alive = members.alive(context.now()).map(|beat| beat.address);
    gossip::targets(cause, alive, &mut rand::rng())
}
