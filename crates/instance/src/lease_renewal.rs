//! Renews the leases on places (assignments of requests to engines) in use. Renewals carry only the
//! numbers of jobs (attempts); the planner requests the full leases of jobs that it does not know.

use std::{collections, net, rc, time};

use slipturn_core::{engine_place, planner_key, sharing, units};

use crate::{context, peer_message, peers, planner_set};

/// Interval between renewals; a planner drops a lease after five missed ones.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Process age up to which a planner that begins counts as begun after a start. When all instances start together, the
/// first requests arrive within a second of the start.
const YOUNG_AGE: time::Duration = time::Duration::from_secs(3);

/// Renews a member's leases in this process's planner and requests those that are unknown.
pub(crate) fn receive(
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
        if !planner.renew(now, id, job.prefilling) {
            unknown.push(job.sequence);
        }
    }
    if !unknown.is_empty() {
        context.send_to(from, peer_message::PeerMessage::Unknown(key, unknown));
    }
}

/// Initialises this process's planner of a key (service and cell), if there is one and it has been idle: takes over this process's leases
/// and requests those of all members. Renewals arrive up to half a second later, and until then the planner would
/// assign engines that are full.
pub(crate) fn begin_if_idle(
    context: &context::InstanceContext,
    planners: &mut planner_set::PlannerSet,
    now: units::MonoTime,
    key: &planner_key::PlannerKey,
) {
    if planners.planner(key).is_none() || !planners.is_idle(now, key) {
        return;
    }
    log::info!(planner:% = key; "planner.begins");
    if context.settings().sharing.start != sharing::StartHold::Off
        && context.members.borrow().starts_together(now)
    {
        // Otherwise planning moves to the member that is old enough first, and back when this process is, each time to a
        // planner without the places and the queue of the one before.
        context.plans_since_start.set(true);
    }
    if let Some(planner) = planners.planner(key) {
        planner.take_over(now, held_leases(context, key));
        if now.since(units::MonoTime::default()) < YOUNG_AGE {
            planner.begin_after_start(now);
        }
    }
    for member in context.members.borrow().alive(now) {
        context.send_to(member.address, peer_message::PeerMessage::Census(key.clone()));
    }
}

/// Returns this process's leases on places granted by the planner of a key (service and cell).
fn held_leases(
    context: &context::InstanceContext,
    key: &planner_key::PlannerKey,
) -> Vec<engine_place::PlaceLease> {
    let held = context.leases.borrow();
    held.values().filter(|held| held.key == *key).map(|held| held.lease.clone()).collect()
}

/// Sends the member that runs the planner of `key` all leases that this process holds for that key (service and cell).
pub(crate) fn announce_leases(
    context: &context::InstanceContext,
    to: net::SocketAddrV4,
    key: &planner_key::PlannerKey,
) {
    send_leases(context, to, key, &held_leases(context, key));
}

fn send_leases(
    context: &context::InstanceContext,
    to: net::SocketAddrV4,
    key: &planner_key::PlannerKey,
    leases: &[engine_place::PlaceLease],
) {
    for part in leases.chunks(peer_message::MAX_LEASES) {
        context.send_to(to, peer_message::PeerMessage::Leases(key.clone(), part.to_vec()));
    }
}

/// Sends a planner the leases that it requested, except those no longer in use.
pub(crate) fn send_requested_leases(
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
    send_leases(context, to, &key, &leases);
}

/// Renews all leases in use, every `RENEWAL_INTERVAL`.
pub async fn repeat(context: rc::Rc<context::InstanceContext>) {
    loop {
        monoio::time::sleep(RENEWAL_INTERVAL).await;
        let mut by_key: collections::BTreeMap<planner_key::PlannerKey, Vec<_>> =
            collections::BTreeMap::new();
        for (job, held) in context.leases.borrow().iter() {
            let prefilling = held.lease.prefilling;
            let renewed = peer_message::RenewedJob { sequence: job.sequence, prefilling };
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
    if let Some(member) = peers::planner_of(context, key) {
        for part in jobs.chunks(peer_message::MAX_RENEWED) {
            let message =
                peer_message::PeerMessage::Renew(key.clone(), context.boot, part.to_vec());
            context.send_to(member.address, message);
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
