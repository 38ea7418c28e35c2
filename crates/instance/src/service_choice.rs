//! Chooses the upstream for a call of a plain service (whose upstreams run no model) and obtains
//! the permit that the call may need.

use std::time;

use slipturn_core::{ids, quota_permit, send_gate, upstream_list};

use crate::{context, incoming_call, permit_request};

/// Maximum number of upstreams for whose permits a call waits.
const MAX_WAITS: usize = 3;
/// Maximum fraction of the remaining time for which a call waits for a permit; the remainder is for
/// its answer.
const MAX_WAIT_FRACTION: f64 = 0.45;
/// Multiple of the first-token goal up to which a retried call waits for a permit: it has already
/// missed the goal.
const RETRIED_GOAL_FACTOR: u32 = 2;

/// An upstream that accepts a call now.
pub(crate) struct ChosenUpstream {
    /// The upstream's entry in the list.
    pub(crate) entry: upstream_list::UpstreamEntry,
    /// The permit for the call, if the upstream has a limit.
    pub(crate) permit: Option<quota_permit::SendPermit>,
}

/// Chooses an upstream that is not `excluded`. If all of them have a limit and no permit is available,
/// the call waits for one, but not so long that a refusal would be better than the late answer.
pub(crate) async fn choose(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    excluded: &[ids::UpstreamId],
) -> Option<ChosenUpstream> {
    let mut refused = Vec::new();
    while let Some(entry) = pick_excluding(context, call, excluded, &refused) {
        match permit_request::obtain(context, &entry.name, time::Duration::ZERO).await {
            Ok(permit) => return Some(ChosenUpstream { entry, permit }),
            Err(_) => refused.push(entry.name),
        }
    }
    wait(context, call, excluded).await
}

/// Picks the preferred upstream without obtaining a permit.
pub(crate) fn pick(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    excluded: &[ids::UpstreamId],
) -> Option<upstream_list::UpstreamEntry> {
    pick_excluding(context, call, excluded, &[])
}

/// Picks among the upstreams that are neither `excluded` nor `refused` a permit.
fn pick_excluding(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    excluded: &[ids::UpstreamId],
    refused: &[ids::UpstreamId],
) -> Option<upstream_list::UpstreamEntry> {
    let fleet = context.fleet.borrow();
    let probe_permission = send_gate::ProbePermission::of(excluded.len(), call.route.max_attempts);
    let mut open = fleet.list.open(context.now(), &call.service, probe_permission);
    open.retain(|entry| !excluded.contains(&entry.name) && !refused.contains(&entry.name));
    open.retain(|entry| permit_request::backoff_left(context, &entry.name).is_zero());
    let own = context.settings().data_center.clone();
    // A call probes an upstream that failed only while the call has another attempt left.
    let first = excluded.is_empty() && call.route.max_attempts > 1;
    let repeatable = first && call.route.repeat.allows_repeat();
    let has_limit = |entry: &upstream_list::UpstreamEntry| fleet.list.limit(&entry.name).is_some();
    let loads = context.loads.borrow();
    if !excluded.is_empty() || call.retried {
        return loads.pick_again(context.now(), &open, &own, repeatable, has_limit).cloned();
    }
    loads.pick(context.now(), &open, &own, repeatable, has_limit).cloned()
}

/// Waits for a permit for one of the upstreams with the shortest waits, tried one after the other.
async fn wait(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    excluded: &[ids::UpstreamId],
) -> Option<ChosenUpstream> {
    for entry in limited_upstreams(context, call, excluded).into_iter().take(MAX_WAITS) {
        let obtained =
            permit_request::obtain(context, &entry.name, max_permit_wait(context, call)).await;
        if let Ok(permit) = obtained {
            return Some(ChosenUpstream { entry, permit });
        }
    }
    None
}

/// Returns the upstreams with a limit that may receive the call once it has a permit, ordered by the
/// wait for the permit.
fn limited_upstreams(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    excluded: &[ids::UpstreamId],
) -> Vec<upstream_list::UpstreamEntry> {
    let fleet = context.fleet.borrow();
    let probe_permission = send_gate::ProbePermission::of(excluded.len(), call.route.max_attempts);
    let open = fleet.list.open(context.now(), &call.service, probe_permission).into_iter();
    let is_limited = |entry: &&upstream_list::UpstreamEntry| {
        !excluded.contains(&entry.name) && fleet.list.limit(&entry.name).is_some()
    };
    let mut limited: Vec<_> = open.filter(is_limited).cloned().collect();
    limited.sort_by_key(|entry| permit_request::backoff_left(context, &entry.name));
    limited
}

/// Returns how long a call waits for a permit: at most until its answer is expected to miss the first-token
/// goal. A retried call, which has missed the goal already, waits longer.
fn max_permit_wait(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
) -> time::Duration {
    let now = context.now();
    let goal = call.route.first_token_goal;
    let wait = if call.retried {
        goal * RETRIED_GOAL_FACTOR
    } else {
        goal.saturating_sub(context.loads.borrow().usual_time(&call.route))
    };
    wait.saturating_sub(now.since(call.arrived)).min(call.left(now).mul_f64(MAX_WAIT_FRACTION))
}
