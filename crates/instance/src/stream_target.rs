//! Resolves a granted place (the assignment of a request to engines) to the addresses that a
//! streamed request is sent with.

use crate::{
    context, incoming_call, memory_hold, plan_client, stream_policy, stream_state, upstream_attempt,
};

/// Returns the target of an attempt: the engine that answers and its helpers, which prefill parts of the prompt.
/// Returns `None` if the engine that answers is no longer listed; helpers that are not listed are left out.
pub(crate) fn target(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    state: &stream_state::StreamState,
    hold: &plan_client::PlaceHold,
    memory: &memory_hold::MemoryHold,
) -> Option<upstream_attempt::AttemptTarget> {
    let fleet = context.fleet.borrow();
    let grant = &hold.grant;
    let engine = fleet.list.entry(&grant.engine)?;
    let holders = grant.held.iter().map(|part| &part.engine);
    let readers = grant.helpers.iter().filter(|helper| memory.ticket(helper).is_none());
    let helpers = holders
        .chain(readers)
        .filter_map(|helper| {
            let entry = fleet.list.entry(helper)?;
            let (engine, address) = (entry.name.clone(), entry.address);
            Some(upstream_attempt::PartReader { engine, address, ticket: memory.ticket(helper) })
        })
        .collect();
    let late = context.now().since(call.arrived) > call.route.first_token_goal;
    Some(upstream_attempt::AttemptTarget {
        upstream: engine.name.clone(),
        address: engine.address,
        helpers,
        last_event: state.last_event.clone(),
        priority: Some(stream_policy::priority(call, late)),
        permits: hold.permits.clone(),
    })
}
