//! Searches the cells of a service (groups of its engines, each with a planner of its own) for a place: the assignment
//! of a request to engines.

use std::{rc, time};

use slipturn_core::{engine_place, planner::modes, send_gate};

use crate::{context, incoming_call, plan_client};

/// Requests a place in one cell (group of engines) of the service. After a refusal further cells are tried, as far as
/// the instance's budget for such attempts allows: the engines of one cell may be full while others have room. If no
/// cell grants a place, the refusal with the shortest retry delay is returned.
pub(crate) async fn place(
    context: &rc::Rc<context::InstanceContext>,
    call: &incoming_call::IncomingCall,
    request: engine_place::PlacementRequest,
    probe_permission: send_gate::ProbePermission,
    limit: time::Duration,
) -> plan_client::PlaceOutcome {
    let started = context.now();
    let mut refused = Vec::new();
    let mut best: Option<engine_place::PlaceRefusal> = None;
    context.search_budget.borrow_mut().note_request();
    while context.search_budget.borrow_mut().take(refused.len())
        && let Some(planner) = context.pick_planner(&call.service, probe_permission, &refused)
    {
        let spent = context.now().since(started);
        let mut request =
            engine_place::PlacementRequest { job: context.next_job(), ..request.after(spent) };
        if context.settings().experiments.closed_engines == modes::ClosedEngineMode::Asked {
            request.excluded.extend(context.closed_engines(&planner, probe_permission));
        }
        if !refused.is_empty() && request.goal_left_ms == 0 {
            // The first-token goal was missed in earlier cells; another cell would delay the caller further.
            break;
        }
        let limit = limit.saturating_sub(spent);
        match plan_client::place(context, call, &planner, request, limit).await {
            plan_client::PlaceOutcome::Refused(refusal) => {
                refused.push(planner.cell);
                best = Some(match best.take() {
                    Some(best) if best.back_after_ms <= refusal.back_after_ms => best,
                    _ => refusal,
                });
            }
            outcome => return outcome,
        }
    }
    best.map_or(plan_client::PlaceOutcome::TimedOut, plan_client::PlaceOutcome::Refused)
}
