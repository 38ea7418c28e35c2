//! Heartbeats: said to all again and again, at once where something has changed, and heard.

use std::{net, rc, time};

use rand::seq::IndexedRandom as _;
use slipturn_core::{heartbeat_timer, member_heartbeat, units};

use crate::{context, failure_watch, member_gossip, peer_message};

/// Time between two questions to a member that left calls unanswered: while it is silent two members may
/// plan for the same engines. A question and its answer are some 60 bytes, to one or two members.
const SILENT_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Handles a heartbeat. A member that has just started is answered at once, and the members it names are
/// greeted: with periodic heartbeats alone, the members of a large fleet would meet only after many seconds.
pub(crate) fn receive(
    context: &context::InstanceContext,
    now: units::MonoTime,
    beat: member_heartbeat::MemberHeartbeat,
) {
    let from = beat.address;
    failure_watch::restore(context, beat.boot);
    let own = context.settings().member_address;
    let (joined, welcome, unmet) = {
        let mut members = context.members.borrow_mut();
        let welcome = members.welcome(&beat);
        let joined = members.receive(now, beat);
        (joined, welcome, members.take_uncontacted(own))
    };
    if joined {
        context.joined.set(context.joined.get() + 1);
        member_gossip::request_from_met(context, from);
        let beat = context.next_beat();
        if welcome.is_empty() {
            context.send_to(from, peer_message::PeerMessage::Beat(Box::new(beat.clone())));
        }
        for others in welcome {
            let beat = member_heartbeat::MemberHeartbeat { others, ..beat.clone() };
            context.send_to(from, peer_message::PeerMessage::Beat(Box::new(beat)));
        }
    }
    if !unmet.is_empty() {
        send_beat(context, unmet);
    }
}

/// Says to these members what this process says of itself.
fn send_beat(context: &context::InstanceContext, targets: Vec<net::SocketAddrV4>) {
    let beat = context.next_beat();
    for to in targets {
        let message = if beat.is_full() || !context.members.borrow().knows(to) {
            peer_message::PeerMessage::Beat(Box::new(beat.clone()))
        } else {
            peer_message::PeerMessage::Alive(beat.alive())
        };
        context.send_to(to, message);
    }
}

/// Repeats this process's heartbeat to the others and forgets silent ones.
pub async fn repeat(context: rc::Rc<context::InstanceContext>) {
    let mut clock = heartbeat_timer::HeartbeatTimer::default();
    loop {
        broadcast(&context);
        let forgotten = context.members.borrow_mut().tick(context.now());
        for member in forgotten {
            log::warn!(member:%; "member.forgotten");
        }
        let joined = context.joined.take();
        if joined > 0 {
            let alive = context.members.borrow().alive(context.now()).count();
            log::info!(joined, alive; "members.joined");
        }
        let interval = context.members.borrow().heartbeat_interval();
        monoio::time::sleep(clock.next(interval, rand::random())).await;
    }
}

/// Asks members that left calls unanswered whether they are back.
pub async fn ask_silent(context: rc::Rc<context::InstanceContext>) {
    loop {
        monoio::time::sleep(SILENT_INTERVAL).await;
        let silent = context.members.borrow().silent();
        for to in silent {
            context.send_to(to, peer_message::PeerMessage::Who);
        }
    }
}

/// Broadcasts a change of state: to all where it affects the choice of planners, else to this data centre.
pub(crate) fn broadcast_state(
    context: &context::InstanceContext,
    state: AnnouncedState,
    before: AnnouncedState,
) {
    let now = context.now();
    let cpu = context.own_beat().cpu;
    let may_plan = context.members.borrow().is_largest(now, cpu);
    if may_plan || state.leaving != before.leaving {
        broadcast(context);
    } else {
        announce(context);
    }
}

pub(crate) fn broadcast(context: &context::InstanceContext) {
    let own = context.settings().member_address;
    let targets = context.members.borrow().targets(own);
    send_beat(context, targets);
}

/// Tells the members of this data centre at once that there is something new to fetch.
pub fn announce(context: &context::InstanceContext) {
    send_beat(context, near_members(context));
}

/// Sends to a random choice of them.
pub(crate) fn announce_to_some(context: &context::InstanceContext, count: usize) {
    let near = near_members(context);
    let drawn = near.sample(&mut rand::rng(), count).copied().collect();
    send_beat(context, drawn);
}

fn near_members(context: &context::InstanceContext) -> Vec<net::SocketAddrV4> {
    let data_center = context.settings().data_center.clone();
    let members = context.members.borrow();
    let alive = members.alive(context.now());
    alive.filter(|other| other.data_center == data_center).map(|other| other.address).collect()
}

/// What the others must know at once, as it decides who plans.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AnnouncedState {
    plans: bool,
    leaving: bool,
    /// Whether it knows any routes.
    pub(crate) has_routes: bool,
}

impl AnnouncedState {
    /// Of a heartbeat that would be sent now.
    pub(crate) fn of(beat: &member_heartbeat::MemberHeartbeat) -> Self {
        Self { plans: beat.plans, leaving: beat.leaving, has_routes: beat.routes > 0 }
    }
}
