//! Which limits of upstreams this process keeps for all members, and what it answers to those that ask for leave.
//!
//! The limit of an engine is kept by whoever plans for it, whose places are its leaves; that of any other upstream by
//! the member that the same choice names for the upstream alone. Each keeps the part of a limit that belongs to the
//! members it hears, so that two sides of a cut together keep to it; and whoever does not take itself for the keeper
//! gives no leave.

use std::{cell, collections, time};

use slipturn_core::{
    ids, leave_desk, leave_ledger, member_beat, planner_key, return_line, send_leave, units,
    upstream_list,
};

use crate::{context, fleet_state, leave_request, limit_news, peer_message, peers, planner_set};

/// Time between two looks at which limits this process keeps.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time after which a member asks again that took this process for the keeper of another one's limit.
const NOT_KEPT_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Time for the answer of a member that others find silent.
const PROBE_TIME: time::Duration = time::Duration::from_millis(25);

/// Limits as this process keeps them, and as it keeps to them.
#[derive(Debug, Default)]
pub struct LimitState {
    /// Limits of plain upstreams that this process keeps.
    pub(crate) ledger: cell::RefCell<leave_ledger::LeaveLedger>,
    /// Leaves of this process's own requests.
    pub(crate) desk: cell::RefCell<leave_desk::LeaveDesk>,
    /// Asks that went out.
    pub(crate) asks: leave_request::SentAsks,
    /// When refused callers of each service come back.
    pub(crate) returns:
        cell::RefCell<collections::HashMap<ids::ServiceId, return_line::ReturnLine>>,
    /// Lines written on changes.
    pub(crate) log: cell::RefCell<limit_news::LimitLog>,
    /// Changes of limits up to the last look, and when that was.
    looked: cell::Cell<(u64, units::MonoTime)>,
    /// A keeper that others find silent, and when it was asked.
    probe: cell::RefCell<Option<(ids::InstanceId, units::MonoTime)>>,
}

/// Looks now and then at which limits this process keeps, while there are any.
pub(crate) fn tick(context: &context::InstanceContext) {
    let changes = context.fleet.borrow().list.notices().limit_changes();
    let (seen, last) = context.limits.looked.get();
    let is_due = context.now().since(last) >= LOOK_INTERVAL;
    if changes != seen || (changes > 0 && is_due) {
        refresh(context);
    }
}

/// Works out which limits this process keeps, and how much of them.
pub(crate) fn refresh(context: &context::InstanceContext) {
    let now = context.now();
    let mut plain = collections::BTreeMap::new();
    let mut planned = collections::BTreeMap::<_, planner_set::EngineLimits>::new();
    {
        let fleet = context.fleet.borrow();
        let part = context.members.borrow().seen_part(now);
        context.limits.looked.set((fleet.list.notices().limit_changes(), now));
        for (upstream, limit) in fleet.list.notices().limits() {
            let Some(entry) = fleet.list.entry(upstream).filter(|entry| entry.name == *upstream)
            else {
                continue;
            };
            let key = key_of(&fleet, entry);
            let own = peers::planner_of(context, &key).is_none();
            let rate = limit.scaled(part);
            if !is_planned(&fleet, entry) {
                plain.extend(own.then(|| (upstream.clone(), rate)));
                continue;
            }
            let (kept, elsewhere) = planned.entry(key).or_default();
            if own {
                kept.insert(upstream.clone(), rate);
            } else {
                elsewhere.insert(upstream.clone());
            }
        }
        let limited = |upstream: &ids::UpstreamId| fleet.list.notices().limit(upstream).is_some();
        context.limits.desk.borrow_mut().retain(limited);
        context.limits.log.borrow_mut().retain(|upstream, _| limited(upstream));
    }
    context.limits.ledger.borrow_mut().set_kept(now, &plain);
    context.planners.borrow_mut().set_limits(now, planned);
}

/// Begins anew with all limits that this process keeps: it was paused, and others have kept them meanwhile.
pub(crate) fn begin_anew(context: &context::InstanceContext) {
    let now = context.now();
    context.limits.ledger.borrow_mut().begin_anew(now);
    context.planners.borrow_mut().begin_limits_anew(now);
}

/// The other member that keeps an upstream's limit; `None` where this process does, or it is not listed.
pub(crate) fn keeper_of(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
) -> Option<member_beat::MemberBeat> {
    let key = {
        let fleet = context.fleet.borrow();
        key_of(&fleet, fleet.list.entry(upstream)?)
    };
    peers::planner_of(context, &key)
}

/// Answers a member, or a request of this process.
pub(crate) fn answer(
    context: &context::InstanceContext,
    asker: u64,
    ask: &send_leave::LeaveAsk,
) -> send_leave::LeaveAnswer {
    let now = context.now();
    if let Some(keeper) = keeper_of(context, &ask.upstream) {
        probe(context, now, &keeper);
        context.stats.borrow_mut().count("leaves", "kept_elsewhere");
        return not_kept();
    }
    if context.fleet.borrow().list.notices().limit(&ask.upstream).is_none() {
        // The limit has ended, which the member does not know yet.
        return send_leave::LeaveAnswer::Given { count: 1, wait_ms: 0 };
    }
    let planned = {
        let fleet = context.fleet.borrow();
        let entry = fleet.list.entry(&ask.upstream).filter(|entry| is_planned(&fleet, entry));
        entry.map(|entry| key_of(&fleet, entry))
    };
    let answer = match planned {
        Some(key) => {
            let mut planners = context.planners.borrow_mut();
            planners.planner(&key).and_then(|planner| planner.leaves().ask(now, asker, ask))
        }
        None => context.limits.ledger.borrow_mut().ask(now, asker, ask),
    };
    let answer = answer.unwrap_or_else(not_kept);
    let word = match answer {
        send_leave::LeaveAnswer::Given { .. } => "given",
        send_leave::LeaveAnswer::Refused { .. } => "refused",
    };
    context.stats.borrow_mut().count("leaves", word);
    answer
}

/// Takes in a member's ask, with what it knows of the limit.
pub(crate) fn hear_ask(
    context: &context::InstanceContext,
    from: std::net::SocketAddrV4,
    asked: peer_message::LeaveQuestion,
) {
    limit_news::hear_members(context, vec![asked.known]);
    let answer = answer(context, asked.boot, &asked.ask);
    let limited = context.fleet.borrow().list.notices().limit(&asked.ask.upstream).is_some();
    if !limited && let Some(report) = limit_news::report(context, &asked.ask.upstream) {
        context.tell(from, peer_message::PeerMessage::Limits(vec![report]));
    }
    context.tell(from, peer_message::PeerMessage::Leave(asked.number, answer));
}

/// Who keeps a limit, and what was given of it lately, for people.
pub(crate) fn summary(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
) -> Option<String> {
    let now = context.now();
    if let Some(keeper) = keeper_of(context, upstream) {
        return Some(format!("kept by {}", keeper.name));
    }
    let given = {
        let key = {
            let fleet = context.fleet.borrow();
            key_of(&fleet, fleet.list.entry(upstream)?)
        };
        let mut planners = context.planners.borrow_mut();
        let planned = planners.planner(&key);
        planned.and_then(|planner| planner.leaves().given(now, upstream))
    };
    let given = given.or_else(|| context.limits.ledger.borrow().given(now, upstream))?;
    let members = context.members.borrow();
    let name = |boot: u64| {
        let named = members.name_of_boot(boot).map(ToString::to_string);
        named.unwrap_or_else(|| if boot == context.boot { "itself" } else { "gone" }.to_owned())
    };
    let rows: Vec<_> =
        given.iter().map(|(boot, count)| format!("{} {count}", name(*boot))).collect();
    Some(format!("kept here; given in 4 s: {}", rows.join(", ")))
}

/// Asks a keeper that another member finds silent whether it is there; one that does not answer keeps nothing any more.
fn probe(
    context: &context::InstanceContext,
    now: units::MonoTime,
    keeper: &member_beat::MemberBeat,
) {
    let last = context.limits.probe.take().filter(|(name, _)| *name == keeper.name);
    if let Some((name, at)) = &last {
        if now.since(*at) < PROBE_TIME {
            context.limits.probe.replace(last);
            return;
        }
        let mut members = context.members.borrow_mut();
        if !members.heard_since(name, *at) {
            members.unanswered(name);
        }
    }
    context.limits.probe.replace(Some((keeper.name.clone(), now)));
    context.tell(keeper.address, peer_message::PeerMessage::Who);
}

fn not_kept() -> send_leave::LeaveAnswer {
    let back_ms = NOT_KEPT_PAUSE.as_millis() as u32;
    send_leave::LeaveAnswer::Refused { back_ms }
}

/// Whether an upstream is an engine, for which somebody plans.
fn is_planned(fleet: &fleet_state::FleetState, entry: &upstream_list::UpstreamEntry) -> bool {
    fleet.routes.services.get(&entry.service).is_some_and(|service| service.engine.is_some())
}

/// The key by which the keeper of an upstream's limit is found.
fn key_of(
    fleet: &fleet_state::FleetState,
    entry: &upstream_list::UpstreamEntry,
) -> planner_key::PlannerKey {
    let service = &entry.service;
    if !is_planned(fleet, entry) {
        return planner_key::PlannerKey::of_plain(service, &entry.name);
    }
    let cells = planner_key::cell_count(fleet.list.usable(service).len());
    let cell = planner_key::cell_of(service, &entry.name, cells);
    planner_key::PlannerKey { service: service.clone(), cell }
}
