//! Heartbeats of members: sent to all periodically, and at once after a change of state.

use std::{net, rc, time};

use rand::seq::IndexedRandom as _;
use slipturn_core::{heartbeat_timer, member_heartbeat, sharing, start_read, units};

use crate::{context, failure_watch, member_gossip, peer_message};

/// Interval between two probes of a member that left calls unanswered: until its return is noticed, two members may
/// plan for the same engines. A probe and its reply take some 60 bytes, and go to one or two members.
const SILENT_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Handles a heartbeat of another member.
///
/// A member that has just joined is answered at once, with the addresses of all members if it knows only few. Unknown
/// members that a heartbeat names are sent a heartbeat at once. With periodic heartbeats alone, the members of a large
/// fleet would discover each other only after many seconds.
pub(crate) fn receive(
    context: &context::InstanceContext,
    now: units::MonoTime,
    heartbeat: member_heartbeat::MemberHeartbeat,
) {
    let from = heartbeat.address;
    failure_watch::restore(context, heartbeat.boot);
    let own = context.settings().member_address;
    let (joined, newcomer_addresses, uncontacted) = {
        let mut members = context.members.borrow_mut();
        let newcomer_addresses = members.addresses_for_newcomer(&heartbeat);
        let joined = members.receive(now, heartbeat);
        (joined, newcomer_addresses, members.take_uncontacted(own))
    };
    if joined {
        context.joined_members.set(context.joined_members.get() + 1);
        member_gossip::request_from_joined(context, from);
        let heartbeat = context.next_heartbeat();
        if newcomer_addresses.is_empty() {
            context.send_to(from, peer_message::PeerMessage::Beat(Box::new(heartbeat.clone())));
        }
        for others in newcomer_addresses {
            let heartbeat = member_heartbeat::MemberHeartbeat { others, ..heartbeat.clone() };
            context.send_to(from, peer_message::PeerMessage::Beat(Box::new(heartbeat)));
        }
    }
    if !uncontacted.is_empty() {
        send_heartbeat(context, uncontacted);
    }
}

/// Sends this process's heartbeat to `targets`. Members that this process has not met get it in full, the others in its
/// short form, except that every few heartbeats are sent to all in full.
fn send_heartbeat(context: &context::InstanceContext, targets: Vec<net::SocketAddrV4>) {
    let heartbeat = context.next_heartbeat();
    for to in targets {
        let message = if heartbeat.is_full() || !context.members.borrow().knows(to) {
            peer_message::PeerMessage::Beat(Box::new(heartbeat.clone()))
        } else {
            peer_message::PeerMessage::Alive(heartbeat.to_short())
        };
        context.send_to(to, message);
    }
}

/// Broadcasts this process's heartbeat periodically, and forgets silent members.
pub async fn repeat(context: rc::Rc<context::InstanceContext>) {
    let mut timer = heartbeat_timer::HeartbeatTimer::default();
    loop {
        broadcast(&context);
        let forgotten = context.members.borrow_mut().tick(context.now());
        for member in forgotten {
            log::warn!(member:%; "member.forgotten");
        }
        let joined = context.joined_members.take();
        if joined > 0 {
            let alive = context.members.borrow().alive(context.now()).count();
            log::info!(joined, alive; "members.joined");
        }
        let interval = context.members.borrow().heartbeat_interval();
        let pause = contact_interval(&context);
        let pause = pause.unwrap_or_else(|| timer.next(interval, rand::random()));
        monoio::time::sleep(pause).await;
    }
}

/// Returns the interval between heartbeats to the seeds, if this process has just started and has reached no member.
fn contact_interval(context: &context::InstanceContext) -> Option<time::Duration> {
    let rule = match context.settings().sharing.start {
        sharing::StartHold::ByContact => start_read::StartReadRule::Contact,
        sharing::StartHold::Off | sharing::StartHold::ByContactElapsed => {
            start_read::StartReadRule::Lone
        }
    };
    let now = context.now();
    let is_lone = context.members.borrow().alive(now).next().is_none();
    let age = now.since(units::MonoTime::default());
    rule.contact_interval(age).filter(|_| is_lone)
}

/// Probes members that left calls unanswered, to notice their return.
pub async fn probe_silent(context: rc::Rc<context::InstanceContext>) {
    loop {
        monoio::time::sleep(SILENT_PROBE_INTERVAL).await;
        let silent = context.members.borrow().silent();
        for to in silent {
            context.send_to(to, peer_message::PeerMessage::Who);
        }
    }
}

/// Broadcasts a change of state: to all members if it may affect the choice of planners, else to those of this data
/// centre.
pub(crate) fn broadcast_state(
    context: &context::InstanceContext,
    state: AnnouncedState,
    before: AnnouncedState,
) {
    let now = context.now();
    let cpu = context.own_heartbeat().cpu;
    let may_plan = context.members.borrow().is_largest(now, cpu);
    if may_plan || state.leaving != before.leaving {
        broadcast(context);
    } else {
        announce(context);
    }
}

/// Sends this process's heartbeat to all members.
pub(crate) fn broadcast(context: &context::InstanceContext) {
    let own = context.settings().member_address;
    let targets = context.members.borrow().targets(own);
    send_heartbeat(context, targets);
}

/// Sends this process's heartbeat to the members of this data centre, so that they learn of its new documents or state.
pub fn announce(context: &context::InstanceContext) {
    send_heartbeat(context, members_of_data_center(context));
}

/// Sends this process's heartbeat to `count` random members of this data centre.
pub(crate) fn announce_to_sample(context: &context::InstanceContext, count: usize) {
    let members = members_of_data_center(context);
    let sample = members.sample(&mut rand::rng(), count).copied().collect();
    send_heartbeat(context, sample);
}

fn members_of_data_center(context: &context::InstanceContext) -> Vec<net::SocketAddrV4> {
    let data_center = context.settings().data_center.clone();
    let members = context.members.borrow();
    let alive = members.alive(context.now());
    alive.filter(|other| other.data_center == data_center).map(|other| other.address).collect()
}

/// State that other members must learn at once, as the choice of planners depends on it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AnnouncedState {
    plans: bool,
    leaving: bool,
    /// Whether the process knows any routes.
    pub(crate) has_routes: bool,
}

impl AnnouncedState {
    /// Extracts from a heartbeat the state whose changes are broadcast at once.
    pub(crate) fn of(heartbeat: &member_heartbeat::MemberHeartbeat) -> Self {
        Self {
            plans: heartbeat.plans,
            leaving: heartbeat.leaving,
            has_routes: heartbeat.routes > 0,
        }
    }
}
