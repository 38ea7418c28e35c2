//! A request's way to a place among the cells of its service's engines.

use std::{rc, time};

use slipturn_core::{engine_place, planner::ways, send_gate};

use crate::{context, incoming_call, plan_client};

/// Asks for a place in one cell of the service's engines, and in others where that one refuses: its engines may be
/// full while others are not. The refusal is that with the soonest time to come back.
pub(crate) async fn place(
    context: &rc::Rc<context::InstanceContext>,
    call: &incoming_call::IncomingCall,
    ask: engine_place::PlaceAsk,
    turn: send_gate::ProbePermission,
    limit: time::Duration,
) -> plan_client::PlaceOutcome {
    let asked = context.now();
    let mut refused = Vec::new();
    let mut best: Option<engine_place::PlaceRefusal> = None;
    context.search.borrow_mut().note_request();
    while context.search.borrow_mut().take(refused.len())
        && let Some(planner) = context.pick_planner(&call.service, turn, &refused)
    {
        let spent = context.now().since(asked);
        let mut ask = engine_place::PlaceAsk { job: context.next_job(), ..ask.after(spent) };
        if context.settings().experiments.closed_engines == ways::ClosedEngineWay::Asked {
            ask.excluded.extend(context.closed_engines(&planner, turn));
        }
        if !refused.is_empty() && ask.goal_left_ms == 0 {
            // It has waited in the first cell; another would keep its caller waiting longer.
            break;
        }
        match plan_client::place(context, &planner, ask, limit.saturating_sub(spent)).await {
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
