//! Which sums over all members this process keeps, and what it answers to those that ask for leave: how many requests go
//! to each upstream with a limit, and how many retries to each service.
//!
//! The limit of an engine is kept by whoever plans for it, whose places are its leaves; any other sum by the member that
//! the same choice names for it alone. Each keeps the part of a sum that belongs to the members it hears, so that two
//! sides of a cut together keep to it; and whoever does not take itself for the keeper gives no leave.

use std::{cell, collections, time};

use slipturn_core::{
    ids, leave_desk, leave_ledger, member_beat, planner_key, return_line, send_leave, send_pace,
    units, upstream_list,
};

use crate::{context, fleet_state, leave_request, limit_news, peer_message, peers, planner_set};

/// Time between two looks at which sums this process keeps.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time between two looks at whether the members are known.
const SETTLE_LOOK: time::Duration = time::Duration::from_millis(20);
/// Time after which a member asks again that took this process for the keeper of what another one keeps.
const NOT_KEPT_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Time for the answer of a member that others find silent.
const PROBE_TIME: time::Duration = time::Duration::from_millis(25);

/// Sums as this process keeps them, and as it keeps to them.
#[derive(Debug, Default)]
pub struct SumState {
    /// Sums that this process keeps, but for those of the engines that it plans for.
    ledger: cell::RefCell<leave_ledger::LeaveLedger<send_leave::LeaveSubject>>,
    /// Leaves of this process's own requests.
    pub(crate) desk: cell::RefCell<leave_desk::LeaveDesk<send_leave::LeaveSubject>>,
    /// Asks that went out.
    pub(crate) asks: leave_request::SentAsks,
    /// When refused callers of each service come back.
    pub(crate) returns:
        cell::RefCell<collections::HashMap<ids::ServiceId, return_line::ReturnLine>>,
    /// Lines written on changes of limits.
    pub(crate) limit_log: cell::RefCell<limit_news::LimitLog>,
    /// What the last look went by, and when it was.
    looked: cell::Cell<(LookedState, units::MonoTime)>,
    /// A keeper that others find silent, and when it was asked.
    probe: cell::RefCell<Option<(ids::InstanceId, units::MonoTime)>>,
}

/// What there is to keep, and whether it can be known by whom: another one is looked at at once.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct LookedState {
    limit_changes: u64,
    routes: u64,
    settled: bool,
}

impl LookedState {
    fn of(context: &context::InstanceContext) -> Self {
        let fleet = context.fleet.borrow();
        Self {
            limit_changes: fleet.list.limit_changes(),
            routes: fleet.routes.version.0,
            settled: is_settled(context),
        }
    }
}

/// Looks now and then at which sums this process keeps.
pub(crate) fn tick(context: &context::InstanceContext) {
    let (seen, last) = context.sums.looked.get();
    let is_due = context.now().since(last) >= LOOK_INTERVAL;
    if is_due || seen != LookedState::of(context) {
        refresh(context);
    }
}

/// Waits until this process can know who keeps what: a few tenths of a second behind its start, no time later.
pub(crate) async fn until_settled(context: &context::InstanceContext) {
    while !is_settled(context) {
        monoio::time::sleep(SETTLE_LOOK).await;
    }
    tick(context);
}

/// Works out which sums this process keeps, and how much of them.
pub(crate) fn refresh(context: &context::InstanceContext) {
    let now = context.now();
    let fleet = context.fleet.borrow();
    let part = context.members.borrow().seen_part(now);
    context.sums.looked.set((LookedState::of(context), now));
    let mut kept = kept_retries(context, &fleet, part);
    let mut planned = collections::BTreeMap::<_, planner_set::EngineLimits>::new();
    // Engines of one cell have one keeper.
    let mut own_keys = collections::BTreeMap::new();
    for (upstream, limit) in fleet.list.limits() {
        let Some(entry) = fleet.list.entry(upstream).filter(|entry| entry.name == *upstream) else {
            continue;
        };
        let key = key_of_limit(&fleet, entry);
        let is_own = || peers::planner_of(context, &key).is_none();
        let own = *own_keys.entry(key.clone()).or_insert_with(is_own);
        let bound = send_pace::PaceBound::of_limit(limit.scaled(part));
        if !is_planned(&fleet, entry) {
            let subject = send_leave::LeaveSubject::Upstream(upstream.clone());
            kept.extend(own.then_some((subject, bound)));
            continue;
        }
        let (own_engines, elsewhere) = planned.entry(key).or_default();
        if own {
            own_engines.insert(upstream.clone(), bound);
        } else {
            elsewhere.insert(upstream.clone());
        }
    }
    let is_needed = |subject: &send_leave::LeaveSubject| match subject {
        send_leave::LeaveSubject::Upstream(upstream) => fleet.list.limit(upstream).is_some(),
        send_leave::LeaveSubject::Retries(service, _) => {
            fleet.routes.services.contains_key(service)
        }
    };
    context.sums.desk.borrow_mut().retain(is_needed);
    let mut log = context.sums.limit_log.borrow_mut();
    log.retain(|upstream, _| fleet.list.limit(upstream).is_some());
    context.sums.ledger.borrow_mut().set_kept(now, &kept);
    context.planners.borrow_mut().set_limits(now, planned);
}

fn is_settled(context: &context::InstanceContext) -> bool {
    context.members.borrow().is_settled(context.now())
}

/// Sums of retries that this process keeps.
fn kept_retries(
    context: &context::InstanceContext,
    fleet: &fleet_state::FleetState,
    part: f64,
) -> collections::BTreeMap<send_leave::LeaveSubject, send_pace::PaceBound> {
    if !is_settled(context) {
        // All may have just started, and each would take itself for the keeper.
        return collections::BTreeMap::new();
    }
    let bound = context.settings().bounds.retry_bound().kept(part, context.member_count());
    let services = fleet.routes.services.keys();
    let own = services.filter(|service| {
        peers::planner_of(context, &planner_key::PlannerKey::of_retries(service)).is_none()
    });
    own.map(|service| (send_leave::LeaveSubject::all_retries(service.clone()), bound)).collect()
}

/// Begins anew with all sums that this process keeps: it was paused, and others have kept them meanwhile.
pub(crate) fn begin_anew(context: &context::InstanceContext) {
    let now = context.now();
    context.sums.ledger.borrow_mut().begin_anew(now);
    context.planners.borrow_mut().begin_limits_anew(now);
}

/// The other member that keeps a sum; `None` where this process does, or there is nothing to keep.
pub(crate) fn keeper_of(
    context: &context::InstanceContext,
    subject: &send_leave::LeaveSubject,
) -> Option<member_beat::MemberBeat> {
    let key = {
        let fleet = context.fleet.borrow();
        match subject {
            send_leave::LeaveSubject::Upstream(upstream) => {
                key_of_limit(&fleet, fleet.list.entry(upstream)?)
            }
            send_leave::LeaveSubject::Retries(service, _) => {
                planner_key::PlannerKey::of_retries(service)
            }
        }
    };
    peers::planner_of(context, &key)
}

/// Answers a member, or a request of this process.
pub(crate) fn answer(
    context: &context::InstanceContext,
    asker: u64,
    subject: &send_leave::LeaveSubject,
    ask: &send_leave::LeaveAsk,
) -> send_leave::LeaveAnswer {
    let now = context.now();
    if let Some(keeper) = keeper_of(context, subject) {
        probe(context, &keeper);
        context.stats.borrow_mut().count("leaves", "kept_elsewhere");
        return not_kept();
    }
    if let send_leave::LeaveSubject::Upstream(upstream) = subject
        && context.fleet.borrow().list.limit(upstream).is_none()
    {
        // The limit has ended, which the member does not know yet.
        return send_leave::LeaveAnswer::Given { count: 1, wait_ms: 0 };
    }
    let answer = match planned_engine(context, subject) {
        Some((key, engine)) => {
            let mut planners = context.planners.borrow_mut();
            let planner = planners.planner(&key);
            planner.and_then(|planner| planner.leaves().ask(now, &engine, asker, ask))
        }
        None => {
            let mut ledger = context.sums.ledger.borrow_mut();
            ledger.ask_sparing(now, &subject.sum(), asker, ask, subject.spared())
        }
    };
    let answer = answer.unwrap_or_else(not_kept);
    let word = match answer {
        send_leave::LeaveAnswer::Given { .. } => "given",
        send_leave::LeaveAnswer::Refused { .. } => "refused",
    };
    let kind = match subject {
        send_leave::LeaveSubject::Upstream(_) => "limit",
        send_leave::LeaveSubject::Retries(..) => "retry",
    };
    context.stats.borrow_mut().count("leaves", &format!("{word}/{kind}"));
    answer
}

/// Takes in a member's ask, with what it knows of a limit.
pub(crate) fn hear_ask(
    context: &context::InstanceContext,
    from: std::net::SocketAddrV4,
    asked: peer_message::LeaveQuestion,
) {
    limit_news::hear_members(context, asked.known.into_iter().collect());
    let answer = answer(context, asked.boot, &asked.subject, &asked.ask);
    if let send_leave::LeaveSubject::Upstream(upstream) = &asked.subject
        && context.fleet.borrow().list.limit(upstream).is_none()
        && let Some(report) = limit_news::report(context, upstream)
    {
        context.tell(from, peer_message::PeerMessage::Limits(vec![report]));
    }
    context.tell(from, peer_message::PeerMessage::Leave(asked.number, answer));
}

/// Who keeps a sum, and what was given of it lately, for people.
pub(crate) fn summary(
    context: &context::InstanceContext,
    subject: &send_leave::LeaveSubject,
) -> Option<String> {
    let now = context.now();
    if let Some(keeper) = keeper_of(context, subject) {
        return Some(format!("kept by {}", keeper.name));
    }
    let given = match planned_engine(context, subject) {
        Some((key, engine)) => {
            let mut planners = context.planners.borrow_mut();
            planners.planner(&key).and_then(|planner| planner.leaves().given(now, &engine))
        }
        None => context.sums.ledger.borrow().given(now, subject),
    };
    let members = context.members.borrow();
    let name = |boot: u64| {
        let named = members.name_of_boot(boot).map(ToString::to_string);
        named.unwrap_or_else(|| if boot == context.boot { "itself" } else { "gone" }.to_owned())
    };
    let given = given?;
    let rows: Vec<_> =
        given.iter().map(|(boot, count)| format!("{} {count}", name(*boot))).collect();
    Some(format!("kept here; given in 4 s: {}", rows.join(", ")))
}

/// Asks a keeper that another member finds silent whether it is there; one that does not answer keeps nothing any more.
fn probe(context: &context::InstanceContext, keeper: &member_beat::MemberBeat) {
    let now = context.now();
    let last = context.sums.probe.take().filter(|(name, _)| *name == keeper.name);
    if let Some((name, at)) = &last {
        if now.since(*at) < PROBE_TIME {
            context.sums.probe.replace(last);
            return;
        }
        let mut members = context.members.borrow_mut();
        if !members.heard_since(name, *at) {
            members.unanswered(name);
        }
    }
    context.sums.probe.replace(Some((keeper.name.clone(), now)));
    context.tell(keeper.address, peer_message::PeerMessage::Who);
}

fn not_kept() -> send_leave::LeaveAnswer {
    send_leave::LeaveAnswer::Refused { back_ms: NOT_KEPT_PAUSE.as_millis() as u32 }
}

/// The planner that keeps a limit, where it is that of an engine.
fn planned_engine(
    context: &context::InstanceContext,
    subject: &send_leave::LeaveSubject,
) -> Option<(planner_key::PlannerKey, ids::UpstreamId)> {
    let send_leave::LeaveSubject::Upstream(upstream) = subject else {
        return None;
    };
    let fleet = context.fleet.borrow();
    let entry = fleet.list.entry(upstream).filter(|entry| is_planned(&fleet, entry))?;
    Some((key_of_limit(&fleet, entry), upstream.clone()))
}

/// Whether an upstream is an engine, for which somebody plans.
fn is_planned(fleet: &fleet_state::FleetState, entry: &upstream_list::UpstreamEntry) -> bool {
    fleet.routes.services.get(&entry.service).is_some_and(|service| service.engine.is_some())
}

/// The key by which the keeper of an upstream's limit is found.
fn key_of_limit(
    fleet: &fleet_state::FleetState,
    entry: &upstream_list::UpstreamEntry,
) -> planner_key::PlannerKey {
    let service = &entry.service;
    if !is_planned(fleet, entry) {
        return planner_key::PlannerKey::of_plain(service, &entry.name);
    }
    let cells = planner_key::cell_count(fleet.list.listed_count(service));
    let cell = planner_key::cell_of(service, &entry.name, cells);
    planner_key::PlannerKey { service: service.clone(), cell }
}
