//! Placement of a prompt that is too large for one engine on a group of engines.

use std::rc;

use slipturn_core::{refusal, units};

use crate::{event, place, request_context};

/// Acquires a lease on every member of a group, one after the other in the group's order.
///
/// If a member refuses or its scheduler cannot be reached, the leases acquired so far are released.
pub(crate) async fn find(
    context: &rc::Rc<request_context::EntryContext>,
    place_request: &place::PlaceRequest,
) -> Result<place::HeldPlace, refusal::RequestRefusal> {
    let required_memory = place_request.required_memory();
    let to_event = |answer| {
        let tree = rc::Rc::clone(&place_request.grant.fleet);
        event::EntryEvent::Group(
            place_request.plan_query.model.clone(),
            required_memory,
            tree,
            answer,
        )
    };
    let members = context.events.ask(to_event).await;
    if members.is_empty() {
        let text = format!("no group of engines holds {required_memory}");
        return Err(refusal::RequestRefusal::not_run(refusal::RefusalCode::TooLarge, text));
    }
    let started = context.clock.now();
    let wait_until = started + place_request.grant.fleet.fleet.group_wait.0;
    let memory_per_member = units::TokenCount(required_memory.0.div_ceil(members.len() as u64));
    let reason = format!("a group of {}, {memory_per_member} each", members.len());
    let mut held =
        place::create_held_place(context, place_request, Vec::new(), true, Vec::new(), reason);
    held.member_memory = memory_per_member;
    for member in members {
        let mut request = place_request.capacity_request(context, &member);
        request.memory = memory_per_member;
        request.grouped = true;
        request.queue_deadline = wait_until.min(place_request.deadline);
        let link = context.links.link(member.scheduler);
        // The member is added before the scheduler answers, so that its lease is released even if
        // the answer is lost.
        place::add_member(context, place_request, &mut held, member.clone(), request.clone());
        match link.acquire(&member.engine, &request, context.clock.now()).await {
            Ok(Ok(priority)) => held.priority = held.priority.or(Some(priority)),
            Ok(Err(refusal)) => return Err(refusal),
            Err(error) => {
                let code = refusal::RefusalCode::NoUpstream;
                return Err(refusal::RequestRefusal::not_run(code, error.to_string()));
            }
        }
    }
    held.row.waited_ms = place::millis_since(context, started);
    Ok(held)
}
