//! Datagrams between instances: heartbeats, places and leases; and the planners' clock.

use std::{collections, net, rc, time};

use futures::{StreamExt as _, channel::mpsc};
use slipturn_core::{engine_place, membership, planner_key, units};

use crate::{context, peer_message, planner_set};

/// Time between two repetitions of the leases in use; a planner gives them up after five missed.
const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time between two looks at requests that wait, while any does.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Time between two looks while none waits.
const REST_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time between two log lines on what a planner believes.
const STATE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time between two timers' ends beyond which the process must have been paused.
const PAUSE_SIGN: time::Duration = time::Duration::from_millis(700);

/// Sends what other tasks say.
pub async fn send_all(
    socket: rc::Rc<monoio::net::udp::UdpSocket>,
    mut outgoing: mpsc::UnboundedReceiver<context::Outgoing>,
) {
    while let Some(context::Outgoing { to, message }) = outgoing.next().await {
        let bytes = match message.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:%; "peer.unencodable");
                continue;
            }
        };
        let (result, _) = socket.send_to(bytes, net::SocketAddr::V4(to)).await;
        // Datagrams are lost now and then anyway; whoever needs an answer asks again.
        if let Err(error) = result {
            log::debug!(to:%, error:%; "peer.send_failed");
        }
    }
}

/// Receives what other members say.
pub async fn receive_all(
    context: rc::Rc<context::InstanceContext>,
    socket: rc::Rc<monoio::net::udp::UdpSocket>,
) {
    loop {
        let buffer = Vec::with_capacity(peer_message::MAX_DATAGRAM);
        let (result, buffer) = socket.recv_from(buffer).await;
        let from = match result {
            Ok((_, net::SocketAddr::V4(from))) => from,
            Ok(_) => continue,
            Err(error) => {
                // A dead peer's refusal shows up here.
                log::debug!(error:%; "peer.receive_failed");
                continue;
            }
        };
        match peer_message::PeerMessage::decode(&buffer) {
            Ok(message) => hear(&context, from, message),
            Err(error) => log::warn!(from:%, error:%; "peer.unreadable"),
        }
    }
}

fn hear(
    context: &rc::Rc<context::InstanceContext>,
    from: net::SocketAddrV4,
    message: peer_message::PeerMessage,
) {
    use peer_message::PeerMessage;
    let now = context.now();
    match message {
        PeerMessage::Beat(beat) => hear_beat(context, now, *beat),
        PeerMessage::Alive(alive) => {
            if !context.members.borrow_mut().hear_alive(now, &alive) {
                context.tell(from, PeerMessage::Who);
            }
        }
        PeerMessage::Who => {
            let beat = context.next_beat();
            context.tell(from, PeerMessage::Beat(Box::new(beat)));
        }
        PeerMessage::Ask(key, ask) => {
            let job = ask.job;
            let origin = planner_set::AskOrigin::Member(from);
            let mut planners = context.planners.borrow_mut();
            planners.sync(now, &context.fleet.borrow());
            let reply = match planners.ask(now, &key, *ask, origin) {
                Some(answer) => PeerMessage::Answer(Box::new(answer)),
                None => PeerMessage::Queued(job),
            };
            context.tell(from, reply);
        }
        PeerMessage::Answer(answer) => {
            let job = answer.job();
            reply(context, job, peer_message::PlanReply::Answer(answer));
        }
        PeerMessage::Queued(job) => reply(context, job, peer_message::PlanReply::Queued),
        PeerMessage::Note(key, note) => {
            if let Some(planner) = context.planners.borrow_mut().planner(&key) {
                planner.note(now, &note);
            }
        }
        PeerMessage::Renew(key, boot, jobs) => hear_renewals(context, now, from, key, boot, jobs),
        PeerMessage::Unknown(key, jobs) => tell_leases(context, from, key, &jobs),
        PeerMessage::Leases(key, leases) => {
            let mut planners = context.planners.borrow_mut();
            planners.sync(now, &context.fleet.borrow());
            if let Some(planner) = planners.planner(&key) {
                planner.take_over(now, leases);
            }
        }
    }
}

/// Renews places in this process's planner, and asks for those that it does not know.
fn hear_renewals(
    context: &context::InstanceContext,
    now: units::MonoTime,
    from: net::SocketAddrV4,
    key: planner_key::PlannerKey,
    boot: u64,
    jobs: Vec<peer_message::RenewedJob>,
) {
    let mut planners = context.planners.borrow_mut();
    planners.sync(now, &context.fleet.borrow());
    let Some(planner) = planners.planner(&key) else {
        return;
    };
    let mut unknown = Vec::new();
    for job in jobs {
        let id = engine_place::JobId { boot, sequence: job.sequence };
        if !planner.renew(now, id, job.reading) {
            unknown.push(job.sequence);
        }
    }
    if !unknown.is_empty() {
        context.tell(from, peer_message::PeerMessage::Unknown(key, unknown));
    }
}

/// Tells a planner the leases that it asked for, as far as they are still in use.
fn tell_leases(
    context: &context::InstanceContext,
    to: net::SocketAddrV4,
    key: planner_key::PlannerKey,
    jobs: &[u64],
) {
    let held = context.leases.borrow();
    let ids =
        jobs.iter().map(|sequence| engine_place::JobId { boot: context.boot, sequence: *sequence });
    let leases: Vec<_> =
        ids.filter_map(|job| held.get(&job)).map(|held| held.lease.clone()).collect();
    for part in leases.chunks(peer_message::MAX_LEASES) {
        context.tell(to, peer_message::PeerMessage::Leases(key.clone(), part.to_vec()));
    }
}

/// Takes a heartbeat in. Who has just started hears back at once, and whoever it names hears from
/// this process: waiting for heartbeats, a large fleet would need many seconds to know itself.
fn hear_beat(
    context: &context::InstanceContext,
    now: units::MonoTime,
    beat: membership::MemberBeat,
) {
    let from = beat.address;
    let own = context.settings().member_address;
    let (joined, welcome, unmet) = {
        let mut members = context.members.borrow_mut();
        let welcome = members.welcome(&beat);
        let joined = members.hear(now, beat);
        (joined, welcome, members.take_unmet(own))
    };
    if joined {
        context.joined.set(context.joined.get() + 1);
        let beat = context.next_beat();
        if welcome.is_empty() {
            context.tell(from, peer_message::PeerMessage::Beat(Box::new(beat.clone())));
        }
        for others in welcome {
            let beat = membership::MemberBeat { others, ..beat.clone() };
            context.tell(from, peer_message::PeerMessage::Beat(Box::new(beat)));
        }
    }
    if !unmet.is_empty() {
        tell_beat(context, unmet);
    }
}

/// Says to these members what this process says of itself.
fn tell_beat(context: &context::InstanceContext, targets: Vec<net::SocketAddrV4>) {
    let beat = context.next_beat();
    for to in targets {
        let message = if beat.is_whole() || !context.members.borrow().knows(to) {
            peer_message::PeerMessage::Beat(Box::new(beat.clone()))
        } else {
            peer_message::PeerMessage::Alive(beat.alive())
        };
        context.tell(to, message);
    }
}

/// Hands a reply to the request that waits for it.
fn reply(
    context: &context::InstanceContext,
    job: engine_place::JobId,
    reply: peer_message::PlanReply,
) {
    if let Some(sender) = context.grants.borrow().get(&job) {
        // A request that has ended in between needs no reply.
        let _ = sender.unbounded_send(reply);
    }
}

/// Repeats this process's heartbeat to the others and forgets silent ones.
pub async fn beat(context: rc::Rc<context::InstanceContext>) {
    loop {
        tell_all(&context);
        let forgotten = context.members.borrow_mut().tick(context.now());
        for member in forgotten {
            log::warn!(member:%; "member.forgotten");
        }
        let joined = context.joined.take();
        if joined > 0 {
            let alive = context.members.borrow().alive(context.now()).count();
            log::info!(joined, alive; "members.joined");
        }
        let interval = context.members.borrow().beat_interval();
        monoio::time::sleep(interval).await;
    }
}

fn tell_all(context: &context::InstanceContext) {
    let own = context.settings().member_address;
    let targets = context.members.borrow().targets(own);
    tell_beat(context, targets);
}

/// Tells the members of this data centre at once that there is something new to fetch.
pub fn announce(context: &context::InstanceContext) {
    let near: Vec<_> = {
        let data_center = context.settings().data_center.clone();
        let members = context.members.borrow();
        let alive = members.alive(context.now());
        alive.filter(|other| other.data_center == data_center).map(|other| other.address).collect()
    };
    tell_beat(context, near);
}

/// What the others must know at once, as it decides who plans.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct ToldState {
    plans: bool,
    leaving: bool,
    has_routes: bool,
}

impl ToldState {
    fn of(beat: &membership::MemberBeat) -> Self {
        Self { plans: beat.plans, leaving: beat.leaving, has_routes: beat.routes > 0 }
    }
}

/// Gives places to requests that wait, and notices that the process had been paused.
pub async fn plan(context: rc::Rc<context::InstanceContext>) {
    let mut last = context.now();
    let mut logged = last;
    let mut told = ToldState::default();
    loop {
        let state = ToldState::of(&context.own_beat());
        if state != told {
            told = state;
            tell_all(&context);
        }
        // A process that has just started tells at once when it has routes.
        let busy = context.planners.borrow().waiting() > 0 || !told.has_routes;
        monoio::time::sleep(if busy { PLAN_INTERVAL } else { REST_INTERVAL }).await;
        let now = context.now();
        if now.since(last) > PAUSE_SIGN {
            log::warn!(paused_ms = now.since(last).as_millis() as u64; "process.woke");
            context.woke.set(now);
        }
        last = now;
        if context.fleet.borrow_mut().list.tick(now) {
            log::info!("list.doubtful_gone");
        }
        let answers = {
            let mut planners = context.planners.borrow_mut();
            planners.sync(now, &context.fleet.borrow());
            if now.since(logged) > STATE_INTERVAL {
                logged = now;
                planners.log_state(now);
            }
            planners.tick(now)
        };
        for (origin, answer) in answers {
            let job = answer.job();
            match origin {
                planner_set::AskOrigin::Own => {
                    reply(&context, job, peer_message::PlanReply::Answer(Box::new(answer)));
                }
                planner_set::AskOrigin::Member(address) => {
                    context.tell(address, peer_message::PeerMessage::Answer(Box::new(answer)));
                }
            }
        }
    }
}

/// Tells whoever plans which places are still in use.
pub async fn renew(context: rc::Rc<context::InstanceContext>) {
    loop {
        monoio::time::sleep(RENEW_INTERVAL).await;
        let mut by_key: collections::BTreeMap<planner_key::PlannerKey, Vec<_>> =
            collections::BTreeMap::new();
        for (job, held) in context.leases.borrow().iter() {
            let reading = held.lease.reading;
            let renewed = peer_message::RenewedJob { sequence: job.sequence, reading };
            by_key.entry(held.key.clone()).or_default().push(renewed);
        }
        for (key, jobs) in by_key {
            renew_jobs(&context, &key, &jobs);
        }
    }
}

fn renew_jobs(
    context: &context::InstanceContext,
    key: &planner_key::PlannerKey,
    jobs: &[peer_message::RenewedJob],
) {
    if let Some(member) = planner_of(context, key) {
        for part in jobs.chunks(peer_message::MAX_RENEWED) {
            let message =
                peer_message::PeerMessage::Renew(key.clone(), context.boot, part.to_vec());
            context.tell(member.address, message);
        }
        return;
    }
    let now = context.now();
    if let Some(planner) = context.planners.borrow_mut().planner(key) {
        let held = context.leases.borrow();
        let jobs = jobs
            .iter()
            .map(|job| engine_place::JobId { boot: context.boot, sequence: job.sequence });
        let leases = jobs.filter_map(|job| held.get(&job)).map(|held| held.lease.clone());
        planner.take_over(now, leases.collect());
    }
}

/// The other member that runs a planner; `None` when that is this process.
pub fn planner_of(
    context: &context::InstanceContext,
    key: &planner_key::PlannerKey,
) -> Option<membership::MemberBeat> {
    let own = context.own_beat();
    context.members.borrow().planner(context.now(), key, &own)
}

/// Tells a planner what has become of a place, wherever it runs.
pub fn tell_planner(
    context: &context::InstanceContext,
    key: &planner_key::PlannerKey,
    note: engine_place::PlaceNote,
) {
    // This process's own planner may hold the job too, from a time when no other was in reach.
    if let Some(planner) = context.planners.borrow_mut().planner(key) {
        planner.note(context.now(), &note);
    }
    if let Some(member) = planner_of(context, key) {
        context.tell(member.address, peer_message::PeerMessage::Note(key.clone(), note));
    }
}
