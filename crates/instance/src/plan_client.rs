//! A request's way to its place: from the planner in reach, else from this process's own.

use std::{net, rc, time};

use futures::{StreamExt as _, channel::mpsc};
use slipturn_core::{engine_place, ids, planner_key, quota_permit, units};

use crate::{context, lease_renewal, peer_message, peers, planner_set};

/// Time for a planner's reply; within a region it takes a millisecond or two.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(25);
/// Time after which a waiting request asks again, in case the planner has lost it.
const REPEAT_TIME: time::Duration = time::Duration::from_millis(300);
/// Time after which a request that only this process's planner knows looks for another.
const OWN_REPEAT_TIME: time::Duration = time::Duration::from_millis(200);

/// A place on an engine; given back when dropped.
pub struct PlaceHold {
    context: rc::Rc<context::InstanceContext>,
    key: planner_key::PlannerKey,
    /// The place.
    pub grant: engine_place::PlaceGrant,
    /// Leaves for those of its engines that have a limit.
    pub permits: Vec<quota_permit::SendPermit>,
    /// How the attempt ended, as far as is known.
    pub end: engine_place::PlaceEnd,
}

impl PlaceHold {
    /// The planner that gave it.
    pub fn key(&self) -> &planner_key::PlannerKey {
        &self.key
    }

    /// Tells the planner that the prompt has been read, and how many requests its engine had by then.
    pub fn first_token(&self, requests: Option<u16>) {
        let job = self.grant.job;
        if let Some(held) = self.context.leases.borrow_mut().get_mut(&job) {
            held.lease.reading = false;
        }
        let note = engine_place::PlaceNote::FirstToken(job, requests);
        peers::notify_planner(&self.context, &self.key, note);
    }

    /// Where its engine takes requests, as long as it is listed.
    pub fn address(&self) -> Option<net::SocketAddrV4> {
        self.context.fleet.borrow().list.entry(&self.grant.engine).map(|entry| entry.address)
    }

    /// Tells the planner that another engine is the cause of a refusal.
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

/// Ends a request's wait when dropped.
struct WaitGuard<'a> {
    context: &'a rc::Rc<context::InstanceContext>,
    key: &'a planner_key::PlannerKey,
    job: engine_place::JobId,
    granted: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.context.grants.borrow_mut().remove(&self.job);
        if !self.granted {
            let end = engine_place::PlaceEnd::Done;
            let note = engine_place::PlaceNote::Ended(self.job, end);
            peers::notify_planner(self.context, self.key, note);
        }
    }
}

/// What a request's wait for a place came to.
pub enum PlaceOutcome {
    /// It has one.
    Placed(PlaceHold),
    /// It gets none in time.
    Refused(engine_place::PlaceRefusal),
    /// There was none by the end of its patience.
    TimedOut,
}

/// Waits for a place until `limit`.
pub async fn place(
    context: &rc::Rc<context::InstanceContext>,
    key: &planner_key::PlannerKey,
    mut ask: engine_place::PlaceAsk,
    limit: time::Duration,
) -> PlaceOutcome {
    let started = context.now();
    let (sender, mut replies) = mpsc::unbounded();
    context.grants.borrow_mut().insert(ask.job, sender);
    let mut guard = WaitGuard { context, key, job: ask.job, granted: false };
    let goal_left = ask.goal_left_ms;
    loop {
        let spent = context.now().since(started);
        let stopped = context.places_until.get().is_some_and(|until| context.now() >= until);
        if spent >= limit || stopped {
            return PlaceOutcome::TimedOut;
        }
        let spent_ms = u32::try_from(spent.as_millis()).unwrap_or(u32::MAX);
        ask.goal_left_ms = goal_left.saturating_sub(spent_ms);
        let step = ask_once(context, key, &ask, &mut replies);
        let Ok(answer) = monoio::time::timeout(limit - spent, step).await else {
            return PlaceOutcome::TimedOut;
        };
        let (grant, paced) = match answer {
            None => continue,
            Some(engine_place::PlaceAnswer::Refuse(refusal)) => {
                return PlaceOutcome::Refused(refusal);
            }
            Some(engine_place::PlaceAnswer::Grant(grant)) => (grant, Vec::new()),
            Some(engine_place::PlaceAnswer::Paced(grant, paced)) => (grant, paced),
        };
        guard.granted = true;
        // They were given when the request had waited so long in the planner, which it cannot have reached sooner
        // than it was asked.
        let waited = time::Duration::from_millis(u64::from(grant.waited_ms));
        let term = quota_permit::PermitTerm::of_answer(started, waited);
        let permit = |upstream| quota_permit::SendPermit { upstream, term };
        let permits = paced.into_iter().map(permit).collect();
        let mut hold = hold(context, key, ask, grant);
        hold.permits = permits;
        return PlaceOutcome::Placed(hold);
    }
}

/// Notes a place as in use until it is dropped.
fn hold(
    context: &rc::Rc<context::InstanceContext>,
    key: &planner_key::PlannerKey,
    ask: engine_place::PlaceAsk,
    grant: engine_place::PlaceGrant,
) -> PlaceHold {
    let job = ask.job;
    // Whom it must not use mattered for the choice alone; many repeated leases must fit a datagram.
    let ask = engine_place::PlaceAsk { excluded: Vec::new(), ..ask };
    let lease = engine_place::PlaceLease { ask, grant: grant.clone(), reading: true };
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

async fn ask_once(
    context: &rc::Rc<context::InstanceContext>,
    key: &planner_key::PlannerKey,
    ask: &engine_place::PlaceAsk,
    replies: &mut mpsc::UnboundedReceiver<peer_message::PlanReply>,
) -> Option<engine_place::PlaceAnswer> {
    let Some(member) = peers::planner_of(context, key) else {
        return ask_own(context, key, ask, replies).await;
    };
    if note_planner(context, key, &member.name) {
        lease_renewal::announce_leases(context, member.address, key);
    }
    let message = peer_message::PeerMessage::Ask(key.clone(), Box::new(ask.clone()));
    context.send_to(member.address, message);
    let mut patience = REPLY_TIMEOUT;
    loop {
        match monoio::time::timeout(patience, replies.next()).await {
            Ok(Some(peer_message::PlanReply::Answer(answer))) => {
                context.members.borrow_mut().answered(context.now(), &member.name);
                return Some(*answer);
            }
            Ok(Some(peer_message::PlanReply::Queued)) => {
                context.members.borrow_mut().answered(context.now(), &member.name);
                patience = REPEAT_TIME;
            }
            Ok(None) => return None,
            Err(_) => {
                if patience == REPLY_TIMEOUT {
                    context.members.borrow_mut().unanswered(&member.name);
                    log::debug!(member:% = member.name; "planner.silent");
                }
                return None;
            }
        }
    }
}

/// Notes which member plans for a key; whether it is another than before, and so may not know of the
/// places in use here.
fn note_planner(
    context: &context::InstanceContext,
    key: &planner_key::PlannerKey,
    member: &ids::InstanceId,
) -> bool {
    let mut planned_by = context.planned_by.borrow_mut();
    let before = planned_by.insert(key.clone(), member.clone());
    before.is_some_and(|before| before != *member)
}

async fn ask_own(
    context: &rc::Rc<context::InstanceContext>,
    key: &planner_key::PlannerKey,
    ask: &engine_place::PlaceAsk,
    replies: &mut mpsc::UnboundedReceiver<peer_message::PlanReply>,
) -> Option<engine_place::PlaceAnswer> {
    let answer = ask_planner(context, key, ask, context.now());
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
    monoio::time::timeout(OWN_REPEAT_TIME, waiting).await.ok()
}

fn ask_planner(
    context: &context::InstanceContext,
    key: &planner_key::PlannerKey,
    ask: &engine_place::PlaceAsk,
    now: units::MonoTime,
) -> Option<engine_place::PlaceAnswer> {
    let mut planners = context.planners.borrow_mut();
    planners.sync(now, &context.fleet.borrow());
    lease_renewal::begin_if_idle(context, &mut planners, now, key);
    planners.ask(now, key, ask.clone(), planner_set::AskOrigin::Own)
}
