//! Coordination of shared quotas: requests to each upstream with a limit, and retries to each service.
//!
//! The planner of an engine coordinates the engine's limit, and a place (an assignment of a request to engines) that
//! it grants is also a permit. Any other quota is coordinated by the member that rendezvous hashing selects. Each
//! coordinator grants the part of a quota that belongs to the members in contact, so both sides of a partition
//! together stay within it. A member that does not consider itself the coordinator grants nothing.

use std::{cell, collections, time};

use slipturn_core::{
    ids, member_heartbeat, permit_cache, planner_key, quota_ledger, quota_permit, retry_schedule,
    send_pace, units, upstream_list,
};

use crate::{context, fleet_state, limit_gossip, peer_message, peers, permit_request, planner_set};

/// Interval between two checks of which quotas this process coordinates.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Interval between two checks of whether this process presumably knows all members.
const SETTLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Backoff of a member that requested permits from the wrong coordinator.
const WRONG_COORDINATOR_BACKOFF: time::Duration = time::Duration::from_millis(100);
/// Timeout of a probe of a coordinator that other members report as silent.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(25);

/// Quotas that this process coordinates, and permits that it holds.
#[derive(Debug, Default)]
pub struct QuotaState {
    /// Quotas that this process coordinates, except those of engines that this process plans for.
    ledger: cell::RefCell<quota_ledger::QuotaLedger<quota_permit::QuotaSubject>>,
    /// Permits for this process's own requests.
    pub(crate) cache: cell::RefCell<permit_cache::PermitCache<quota_permit::QuotaSubject>>,
    /// Requests for permits that this process has sent to other members, and that await a response.
    pub(crate) pending: permit_request::PendingRequests,
    /// Schedules of the retry delays sent to callers, by service.
    pub(crate) retry_schedules:
        cell::RefCell<collections::HashMap<ids::ServiceId, retry_schedule::RetrySchedule>>,
    /// When a change of each upstream's limit was last logged.
    pub(crate) limit_log: cell::RefCell<limit_gossip::LimitLog>,
    /// Inputs and time of the last check of which quotas this process coordinates.
    last_check: cell::Cell<(CheckedState, units::MonoTime)>,
    /// The coordinator last reported as silent, and when it was probed.
    probe: cell::RefCell<Option<(ids::InstanceId, units::MonoTime)>>,
}

/// Inputs of a check of which quotas this process coordinates; the check is repeated at once when they change.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct CheckedState {
    limit_changes: u64,
    routes: u64,
    settled: bool,
}

impl CheckedState {
    fn of(context: &context::InstanceContext) -> Self {
        let fleet = context.fleet.borrow();
        Self {
            limit_changes: fleet.list.limit_changes(),
            routes: fleet.routes.version.0,
            settled: is_settled(context),
        }
    }
}

/// Checks periodically which quotas this process coordinates.
pub(crate) fn tick(context: &context::InstanceContext) {
    let (seen, last) = context.quotas.last_check.get();
    let is_due = context.now().since(last) >= CHECK_INTERVAL;
    if is_due || seen != CheckedState::of(context) {
        refresh(context);
    }
}

/// Waits until this process presumably knows all members.
pub(crate) async fn until_settled(context: &context::InstanceContext) {
    while !is_settled(context) {
        monoio::time::sleep(SETTLE_CHECK_INTERVAL).await;
    }
    tick(context);
}

/// Determines which quotas this process coordinates, and its part of each.
pub(crate) fn refresh(context: &context::InstanceContext) {
    let now = context.now();
    let fleet = context.fleet.borrow();
    let part = context.members.borrow().reachable_share(now);
    context.quotas.last_check.set((CheckedState::of(context), now));
    let mut coordinated = coordinated_retries(context, &fleet, part);
    let mut planned = collections::BTreeMap::<_, planner_set::EngineLimits>::new();
    // All engines of a cell have one coordinator, which is determined once.
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
            let subject = quota_permit::QuotaSubject::Upstream(upstream.clone());
            coordinated.extend(own.then_some((subject, bound)));
            continue;
        }
        let (own_engines, elsewhere) = planned.entry(key).or_default();
        if own {
            own_engines.insert(upstream.clone(), bound);
        } else {
            elsewhere.insert(upstream.clone());
        }
    }
    let is_needed = |subject: &quota_permit::QuotaSubject| match subject {
        quota_permit::QuotaSubject::Upstream(upstream) => fleet.list.limit(upstream).is_some(),
        quota_permit::QuotaSubject::Retries(service, _) => {
            fleet.routes.services.contains_key(service)
        }
    };
    context.quotas.cache.borrow_mut().retain(is_needed);
    let mut log = context.quotas.limit_log.borrow_mut();
    log.retain(|upstream, _| fleet.list.limit(upstream).is_some());
    context.quotas.ledger.borrow_mut().set_coordinated(now, &coordinated);
    context.planners.borrow_mut().set_limits(now, planned);
}

/// Whether this process presumably knows all members, as none has joined for some time.
fn is_settled(context: &context::InstanceContext) -> bool {
    context.members.borrow().is_settled(context.now())
}

/// Retry quotas that this process coordinates.
fn coordinated_retries(
    context: &context::InstanceContext,
    fleet: &fleet_state::FleetState,
    part: f64,
) -> collections::BTreeMap<quota_permit::QuotaSubject, send_pace::PaceBound> {
    if !is_settled(context) {
        // After a start of all members at once, each would consider itself the coordinator until it knows the others.
        return collections::BTreeMap::new();
    }
    let bound =
        context.settings().bounds.retry_bound().coordinator_bound(part, context.member_count());
    let services = fleet.routes.services.keys();
    let own = services.filter(|service| {
        peers::planner_of(context, &planner_key::PlannerKey::of_retries(service)).is_none()
    });
    own.map(|service| (quota_permit::QuotaSubject::all_retries(service.clone()), bound)).collect()
}

/// Empties all permit buckets after a pause of this process: other members may have coordinated the quotas meanwhile.
pub(crate) fn reset_quotas(context: &context::InstanceContext) {
    let now = context.now();
    context.quotas.ledger.borrow_mut().reset_buckets(now);
    context.planners.borrow_mut().reset_limits(now);
}

/// The other member that coordinates a quota; `None` when this process does, or there is no such quota.
pub(crate) fn coordinator_of(
    context: &context::InstanceContext,
    subject: &quota_permit::QuotaSubject,
) -> Option<member_heartbeat::MemberHeartbeat> {
    let key = {
        let fleet = context.fleet.borrow();
        match subject {
            quota_permit::QuotaSubject::Upstream(upstream) => {
                key_of_limit(&fleet, fleet.list.entry(upstream)?)
            }
            quota_permit::QuotaSubject::Retries(service, _) => {
                planner_key::PlannerKey::of_retries(service)
            }
        }
    };
    peers::planner_of(context, &key)
}

/// Grants or refuses permits under the quota `subject`. `requester` is the boot id of the requesting instance, which
/// may be this one.
pub(crate) fn respond(
    context: &context::InstanceContext,
    requester: u64,
    subject: &quota_permit::QuotaSubject,
    request: &quota_permit::PermitRequest,
) -> quota_permit::PermitResponse {
    let now = context.now();
    if let Some(coordinator) = coordinator_of(context, subject) {
        probe(context, &coordinator);
        context.stats.borrow_mut().count("leaves", "kept_elsewhere");
        return wrong_coordinator();
    }
    if let quota_permit::QuotaSubject::Upstream(upstream) = subject
        && context.fleet.borrow().list.limit(upstream).is_none()
    {
        // The member has not learned yet that the limit has ended.
        return quota_permit::PermitResponse::Granted { count: 1, wait_ms: 0 };
    }
    let response = match planned_engine(context, subject) {
        Some((key, engine)) => {
            let mut planners = context.planners.borrow_mut();
            let planner = planners.planner(&key);
            planner.and_then(|planner| planner.permits().request(now, &engine, requester, request))
        }
        None => {
            let mut ledger = context.quotas.ledger.borrow_mut();
            ledger.request_reserving(
                now,
                &subject.shared_quota(),
                requester,
                request,
                subject.reserved_part(),
            )
        }
    };
    let response = response.unwrap_or_else(wrong_coordinator);
    let outcome = match response {
        quota_permit::PermitResponse::Granted { .. } => "given",
        quota_permit::PermitResponse::Refused { .. } => "refused",
    };
    let kind = match subject {
        quota_permit::QuotaSubject::Upstream(_) => "limit",
        quota_permit::QuotaSubject::Retries(..) => "retry",
    };
    context.stats.borrow_mut().count("leaves", &format!("{outcome}/{kind}"));
    response
}

/// Handles a member's request for permits, and the upstream's limit that the request states.
pub(crate) fn receive_request(
    context: &context::InstanceContext,
    from: std::net::SocketAddrV4,
    message: peer_message::PermitRequestMessage,
) {
    limit_gossip::receive_members(context, message.known.into_iter().collect());
    let response = respond(context, message.boot, &message.subject, &message.request);
    if let quota_permit::QuotaSubject::Upstream(upstream) = &message.subject
        && context.fleet.borrow().list.limit(upstream).is_none()
        && let Some(report) = limit_gossip::report(context, upstream)
    {
        context.send_to(from, peer_message::PeerMessage::Limits(vec![report]));
    }
    context.send_to(from, peer_message::PeerMessage::Permit(message.number, response));
}

/// Text for operators on the coordinator of a quota and, if it is this process, on its recent grants. `None` if it is
/// this process, but has no record of the quota yet.
pub(crate) fn summary(
    context: &context::InstanceContext,
    subject: &quota_permit::QuotaSubject,
) -> Option<String> {
    let now = context.now();
    if let Some(coordinator) = coordinator_of(context, subject) {
        return Some(format!("kept by {}", coordinator.name));
    }
    let grants = match planned_engine(context, subject) {
        Some((key, engine)) => {
            let mut planners = context.planners.borrow_mut();
            planners.planner(&key).and_then(|planner| planner.permits().recent_grants(now, &engine))
        }
        None => context.quotas.ledger.borrow().recent_grants(now, subject),
    };
    let members = context.members.borrow();
    let name = |boot: u64| {
        let named = members.name_of_boot(boot).map(ToString::to_string);
        named.unwrap_or_else(|| if boot == context.boot { "itself" } else { "gone" }.to_owned())
    };
    let grants = grants?;
    let rows: Vec<_> =
        grants.iter().map(|(boot, count)| format!("{} {count}", name(*boot))).collect();
    Some(format!("kept here; given in 4 s: {}", rows.join(", ")))
}

/// Probes a coordinator that is silent to a member, as the member sent its request to this process instead. A previous
/// probe without a reply counts as an unanswered call.
fn probe(context: &context::InstanceContext, coordinator: &member_heartbeat::MemberHeartbeat) {
    let now = context.now();
    let last = context.quotas.probe.take().filter(|(name, _)| *name == coordinator.name);
    if let Some((name, at)) = &last {
        if now.since(*at) < PROBE_TIMEOUT {
            context.quotas.probe.replace(last);
            return;
        }
        let mut members = context.members.borrow_mut();
        if !members.was_heard_since(name, *at) {
            members.note_unanswered(name);
        }
    }
    context.quotas.probe.replace(Some((coordinator.name.clone(), now)));
    context.send_to(coordinator.address, peer_message::PeerMessage::Who);
}

/// Response to a request for permits under a quota that this process does not coordinate.
fn wrong_coordinator() -> quota_permit::PermitResponse {
    quota_permit::PermitResponse::Refused { back_ms: WRONG_COORDINATOR_BACKOFF.as_millis() as u32 }
}

/// The planner that coordinates the limit of an engine; `None` for other quotas.
fn planned_engine(
    context: &context::InstanceContext,
    subject: &quota_permit::QuotaSubject,
) -> Option<(planner_key::PlannerKey, ids::UpstreamId)> {
    let quota_permit::QuotaSubject::Upstream(upstream) = subject else {
        return None;
    };
    let fleet = context.fleet.borrow();
    let entry = fleet.list.entry(upstream).filter(|entry| is_planned(&fleet, entry))?;
    Some((key_of_limit(&fleet, entry), upstream.clone()))
}

/// Whether an upstream is an engine with a planner.
fn is_planned(fleet: &fleet_state::FleetState, entry: &upstream_list::UpstreamEntry) -> bool {
    fleet.routes.services.get(&entry.service).is_some_and(|service| service.engine.is_some())
}

/// The key that selects the coordinator of an upstream's limit: that of the engine's planner, or for an upstream that
/// runs no model a key of its own.
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
