//! Which upstream takes a call of a plain service, and the leave that it needs there.

use std::time;

use slipturn_core::{ids, quota_permit, send_gate, upstream_list};

use crate::{context, incoming_call, permit_request, stream_policy};

/// Upstreams asked for leave by a call that waits for one, at most.
const MAX_WAITS: usize = 3;
/// Part of its time left that a call waits for leave at most: the rest is for its answer.
const WAIT_PART: f64 = 0.45;
/// Goals within which a call that came back waits for leave: it is late by then.
const RETURNED_GOALS: u32 = 2;

/// An upstream that takes a call now.
pub(crate) struct ChosenUpstream {
    /// The upstream.
    pub(crate) entry: upstream_list::UpstreamEntry,
    /// The leave by which the call goes there, where the upstream has a limit.
    pub(crate) permit: Option<quota_permit::SendPermit>,
}

/// The upstream that takes a call, of those that are not `excluded`. Where limits keep it from all of them for a moment
/// it waits for its turn; where it would be late by then, it is better refused.
pub(crate) async fn choose(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    excluded: &[ids::UpstreamId],
) -> Option<ChosenUpstream> {
    let mut refused = Vec::new();
    while let Some(entry) = pick_beside(context, call, excluded, &refused) {
        match permit_request::obtain(context, &entry.name, time::Duration::ZERO).await {
            Ok(permit) => return Some(ChosenUpstream { entry, permit }),
            Err(_) => refused.push(entry.name),
        }
    }
    wait(context, call, excluded).await
}

/// The same without waiting for anything, leave included.
pub(crate) fn pick(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    excluded: &[ids::UpstreamId],
) -> Option<upstream_list::UpstreamEntry> {
    pick_beside(context, call, excluded, &[])
}

fn pick_beside(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    excluded: &[ids::UpstreamId],
    refused: &[ids::UpstreamId],
) -> Option<upstream_list::UpstreamEntry> {
    let fleet = context.fleet.borrow();
    let turn = send_gate::ProbePermission::of(excluded.len(), call.route.max_attempts);
    let mut open = fleet.list.open(context.now(), &call.service, turn);
    open.retain(|entry| !excluded.contains(&entry.name) && !refused.contains(&entry.name));
    open.retain(|entry| permit_request::closed(context, &entry.name).is_zero());
    let own = context.settings().data_center.clone();
    // A call finds out whether an upstream is sound again only while it has another attempt left.
    let first = excluded.is_empty() && call.route.max_attempts > 1;
    let repeatable = first && call.route.repeat.allows_repeat();
    let is_paced = |entry: &upstream_list::UpstreamEntry| fleet.list.limit(&entry.name).is_some();
    context.loads.borrow().pick(context.now(), &open, &own, repeatable, is_paced).cloned()
}

/// Waits for leave at the upstreams that are closed for the shortest time.
async fn wait(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    excluded: &[ids::UpstreamId],
) -> Option<ChosenUpstream> {
    for entry in closed(context, call, excluded).into_iter().take(MAX_WAITS) {
        let obtained = permit_request::obtain(context, &entry.name, patience(context, call)).await;
        if let Ok(permit) = obtained {
            return Some(ChosenUpstream { entry, permit });
        }
    }
    None
}

/// Upstreams that are closed for want of leave alone, the shortest time first.
fn closed(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    excluded: &[ids::UpstreamId],
) -> Vec<upstream_list::UpstreamEntry> {
    let fleet = context.fleet.borrow();
    let turn = send_gate::ProbePermission::of(excluded.len(), call.route.max_attempts);
    let open = fleet.list.open(context.now(), &call.service, turn).into_iter();
    let is_closed = |entry: &&upstream_list::UpstreamEntry| {
        !excluded.contains(&entry.name) && fleet.list.limit(&entry.name).is_some()
    };
    let mut closed: Vec<_> = open.filter(is_closed).cloned().collect();
    closed.sort_by_key(|entry| permit_request::closed(context, &entry.name));
    closed
}

/// How long a call waits for leave.
fn patience(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
) -> time::Duration {
    let now = context.now();
    let goal = call.route.first_token_goal;
    let wait = if stream_policy::came_back(call) {
        goal * RETURNED_GOALS
    } else {
        goal.saturating_sub(context.loads.borrow().usual(&call.route))
    };
    wait.saturating_sub(now.since(call.arrived)).min(call.left(now).mul_f64(WAIT_PART))
}
