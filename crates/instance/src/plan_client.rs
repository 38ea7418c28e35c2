//! Requests a place (the assignment of a request to engines) from the planner of a cell (a group of
//! a service's engines); the planner runs in another member or in this process.

use std::{net, rc, time};

use futures::{StreamExt as _, channel::mpsc};
use slipturn_core::{
    engine_place, ids, planner_key, planner_silence, quota_permit, sharing, units,
};

use crate::{
    context, incoming_call, lease_renewal, peer_message, peers, planner_guard, planner_set,
    stop_gate,
};

/// Time after which a queued request is sent again, in case the planner has lost it.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Time after which a request that is queued in this process's planner checks again which member plans.
const LOCAL_REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// A place on an engine; the planner is notified of its end when it is dropped.
pub struct PlaceHold {
    context: rc::Rc<context::InstanceContext>,
    key: planner_key::PlannerKey,
    /// The place as granted by the planner.
    pub grant: engine_place::PlaceGrant,
    /// Permits for those engines of the place that have a limit.
    pub permits: Vec<quota_permit::SendPermit>,
    /// How the attempt ended, as far as known; sent to the planner on drop.
    pub end: engine_place::PlaceEnd,
}

impl PlaceHold {
    /// Returns the key of the planner that granted the place.
    pub fn key(&self) -> &planner_key::PlannerKey {
        &self.key
    }

    /// Notifies the planner that the prompt was processed, and of the number of requests on the engine
    /// at that time, if known.
    pub fn first_token(&self, requests: Option<u16>) {
        let job = self.grant.job;
        if let Some(held) = self.context.leases.borrow_mut().get_mut(&job) {
            held.lease.prefilling = false;
        }
        let note = engine_place::PlaceNote::FirstToken(job, requests);
        peers::notify_planner(&self.context, &self.key, note);
    }

    /// Returns the address of the engine, or `None` if it is no longer listed.
    pub fn address(&self) -> Option<net::SocketAddrV4> {
        self.context.fleet.borrow().list.entry(&self.grant.engine).map(|entry| entry.address)
    }

    /// Notifies the planner that another engine than the granted one caused a refusal; the planner excludes
    /// that engine for a while.
    pub fn eject(&self, engine: &ids::UpstreamId) {
        let note = engine_place::PlaceNote::Eject(engine.clone());
        peers::notify_planner(&self.context, &self.key, note);
    }
}

impl Drop for PlaceHold {
    fn drop(&mut self) {
        let job = self.grant.job;
        self.context.leases.borrow_mut().remove(&job);
        let note = engine_place::PlaceNote::Ended(job, self.end);
        peers::notify_planner(&self.context, &self.key, note);
    }
}

/// Removes a waiting request when dropped, also from the planner if no place was granted.
struct WaitGuard<'a> {
    context: &'a rc::Rc<context::InstanceContext>,
    key: &'a planner_key::PlannerKey,
    job: engine_place::JobId,
    granted: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.context.reply_senders.borrow_mut().remove(&self.job);
        if !self.granted {
            let end = engine_place::PlaceEnd::Done;
            let note = engine_place::PlaceNote::Ended(self.job, end);
            peers::notify_planner(self.context, self.key, note);
        }
    }
}

/// Result of a request for a place.
pub enum PlaceOutcome {
    /// A place was granted; it is in use until the [`PlaceHold`] is dropped.
    Placed(PlaceHold),
    /// The planner refused the request, as no place will be free in time.
    Refused(engine_place::PlaceRefusal),
    /// The planner refused the request, as its customer uses its share of the engines.
    OverShare(engine_place::PlaceRefusal),
    /// No place was granted within the time limit.
    TimedOut,
}

/// Requests a place and waits for it up to `limit`, or until the request may no longer be sent in a graceful stop.
pub async fn place(
    context: &rc::Rc<context::InstanceContext>,
    call: &incoming_call::IncomingCall,
    key: &planner_key::PlannerKey,
    mut request: engine_place::PlacementRequest,
    limit: time::Duration,
) -> PlaceOutcome {
    let started = context.now();
    let (sender, mut replies) = mpsc::unbounded();
    context.reply_senders.borrow_mut().insert(request.job, sender);
    let mut guard = WaitGuard { context, key, job: request.job, granted: false };
    let goal_left = request.goal_left_ms;
    let mut asked = None;
    loop {
        let spent = context.now().since(started);
        if spent >= limit || stop_gate::check(context, call, request.resumed).is_err() {
            return PlaceOutcome::TimedOut;
        }
        let spent_ms = u32::try_from(spent.as_millis()).unwrap_or(u32::MAX);
        request.goal_left_ms = goal_left.saturating_sub(spent_ms);
        let step = request_once(context, key, &request, &mut replies, &mut asked);
        let Ok(answer) = monoio::time::timeout(limit - spent, step).await else {
            return PlaceOutcome::TimedOut;
        };
        let (grant, limited) = match answer {
            None => continue,
            Some(engine_place::PlaceAnswer::Refuse(refusal)) => {
                return PlaceOutcome::Refused(refusal);
            }
            Some(engine_place::PlaceAnswer::OverShare(refusal)) => {
                return PlaceOutcome::OverShare(refusal);
            }
            Some(engine_place::PlaceAnswer::Grant(grant)) => (grant, Vec::new()),
            Some(engine_place::PlaceAnswer::Paced(grant, limited)) => (grant, limited),
        };
        guard.granted = true;
        // The planner issued the permits when the request had waited there for `waited`. The request cannot
        // have reached the planner before `started`, so this never makes a permit valid for too long.
        let waited = time::Duration::from_millis(u64::from(grant.waited_ms));
        let term = quota_permit::PermitTerm::of_answer(started, waited);
        let permit = |upstream| quota_permit::SendPermit { upstream, term };
        let permits = limited.into_iter().map(permit).collect();
        let mut hold = record_lease(context, key, request, grant);
        hold.permits = permits;
        return PlaceOutcome::Placed(hold);
    }
}

/// Records a lease on a granted place until the place is dropped.
fn record_lease(
    context: &rc::Rc<context::InstanceContext>,
    key: &planner_key::PlannerKey,
    request: engine_place::PlacementRequest,
    grant: engine_place::PlaceGrant,
) -> PlaceHold {
    let job = request.job;
    // Excluded engines are needed only to choose one, and many leases must fit into a datagram.
    let request = engine_place::PlacementRequest { excluded: Vec::new(), ..request };
    let lease = engine_place::PlaceLease { request, grant: grant.clone(), prefilling: true };
    let held = context::HeldLease { key: key.clone(), lease };
    context.leases.borrow_mut().insert(job, held);
    PlaceHold {
        context: rc::Rc::clone(context),
        key: key.clone(),
        grant,
        permits: Vec::new(),
        end: engine_place::PlaceEnd::Done,
    }
}

/// Sends the request to the current planner once; returns `None` if it is to be repeated. `asked` keeps, between calls,
/// the planner that was asked last and the wait for its first reply.
async fn request_once(
    context: &rc::Rc<context::InstanceContext>,
    key: &planner_key::PlannerKey,
    request: &engine_place::PlacementRequest,
    replies: &mut mpsc::UnboundedReceiver<peer_message::PlanReply>,
    asked: &mut Option<(ids::InstanceId, planner_silence::ReplyWait)>,
) -> Option<engine_place::PlaceAnswer> {
    let Some(member) = peers::planner_of(context, key) else {
        return request_local(context, key, request, replies).await;
    };
    if note_planner(context, key, &member.name) {
        lease_renewal::announce_leases(context, member.address, key);
    }
    let message = peer_message::PeerMessage::Ask(key.clone(), Box::new(request.clone()));
    context.send_to(member.address, message);
    let wait = begin_wait(context, &member.name, asked);
    let mut reply_timeout = wait.timeout;
    let mut queued = false;
    loop {
        match monoio::time::timeout(reply_timeout, replies.next()).await {
            Ok(Some(reply)) => {
                let now = context.now();
                context.members.borrow_mut().note_answered(now, &member.name);
                if !queued {
                    context.reply_times.borrow_mut().note(now.since(wait.first_sent));
                }
                match reply {
                    peer_message::PlanReply::Answer(answer) => return Some(*answer),
                    peer_message::PlanReply::Queued => queued = true,
                }
                reply_timeout = REPEAT_INTERVAL;
            }
            Ok(None) => return None,
            Err(_) => {
                if !queued {
                    note_timeout(context, &member.name, wait);
                }
                return None;
            }
        }
    }
}

/// Begins the wait for a planner's reply to a request that was sent now.
fn begin_wait<'a>(
    context: &context::InstanceContext,
    planner: &ids::InstanceId,
    asked: &'a mut Option<(ids::InstanceId, planner_silence::ReplyWait)>,
) -> &'a planner_silence::ReplyWait {
    let now = context.now();
    let wait = match asked.take() {
        Some((before, mut wait)) if before == *planner => {
            wait.repeat(now);
            wait
        }
        _ => {
            let rule = context.settings().sharing.planner_silence;
            planner_silence::ReplyWait::new(rule, now, &context.reply_times.borrow())
        }
    };
    &asked.insert((planner.clone(), wait)).1
}

/// Records that a planner has not replied in time.
fn note_timeout(
    context: &context::InstanceContext,
    planner: &ids::InstanceId,
    wait: &planner_silence::ReplyWait,
) {
    let now = context.now();
    let mut members = context.members.borrow_mut();
    let heard = members.was_heard_since(planner, wait.last_sent);
    if !wait.is_silence(now, heard) {
        log::debug!(member:% = planner, heard; "planner.late");
        return;
    }
    match context.settings().sharing.planner_silence {
        sharing::PlannerSilence::Contact => members.note_timeout(now, planner, wait.last_sent),
        sharing::PlannerSilence::Fixed | sharing::PlannerSilence::ReplyTimes => {
            members.note_unanswered(planner);
        }
    }
    log::debug!(member:% = planner; "planner.silent");
}

/// Records which member runs the planner of a key (service and cell). Returns whether that member has replaced another
/// one, and so may not know this process's leases.
fn note_planner(
    context: &context::InstanceContext,
    key: &planner_key::PlannerKey,
    member: &ids::InstanceId,
) -> bool {
    let mut planned_by = context.planned_by.borrow_mut();
    let before = planned_by.insert(key.clone(), member.clone());
    before.is_some_and(|before| before != *member)
}

/// Requests a place from this process's planner; if the request is queued, waits for the answer up to
/// [`LOCAL_REPEAT_INTERVAL`].
async fn request_local(
    context: &rc::Rc<context::InstanceContext>,
    key: &planner_key::PlannerKey,
    request: &engine_place::PlacementRequest,
    replies: &mut mpsc::UnboundedReceiver<peer_message::PlanReply>,
) -> Option<engine_place::PlaceAnswer> {
    let now = context.now();
    let answer =
        planner_guard::run(context, || request_local_planner(context, key, request, now)).flatten();
    if answer.is_some() {
        return answer;
    }
    let waiting = async {
        loop {
            if let Some(peer_message::PlanReply::Answer(answer)) = replies.next().await {
                return *answer;
            }
        }
    };
    monoio::time::timeout(LOCAL_REPEAT_INTERVAL, waiting).await.ok()
}

fn request_local_planner(
    context: &context::InstanceContext,
    key: &planner_key::PlannerKey,
    request: &engine_place::PlacementRequest,
    now: units::MonoTime,
) -> Option<engine_place::PlaceAnswer> {
    let mut planners = context.planners.borrow_mut();
    planners.sync(now, &context.fleet.borrow());
    lease_renewal::begin_if_idle(context, &mut planners, now, key);
    planners.request(now, key, request.clone(), planner_set::PlacementOrigin::Local)
}
