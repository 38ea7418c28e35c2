//! What a streamed request may expect: its worth, its urgency, and how long silence is borne.

use std::time;

use slipturn_core::{class_worth, engine_place, ids, pass_model};

use crate::{context, incoming_call};

/// Times the shortest pause goal of its service up to which a request's pauses are tight.
const TIGHT_PAUSES: f64 = 1.5;
/// Part of its goal within which one engine alone must read a short request.
const SHORT_GOAL_PART: f64 = 0.75;
/// Callers give a stream up after a silence of this, or of the multiples below, if longer.
const CALLER_SILENCE: time::Duration = time::Duration::from_secs(2);
/// Goals for the first token that callers wait.
const CALLER_GOALS: u32 = 4;
/// Goals for a pause that callers wait.
const CALLER_PAUSES: u32 = 8;
/// Part of the callers' patience after which a silent engine is given up at the latest.
const SILENCE_PART: f64 = 0.72;
/// Goals for a pause after which an engine in the middle of an answer is given up.
const SILENCE_PAUSES: f64 = 3.5;
/// Expected times to the first token after which an engine is given up that has not begun.
const SILENCE_PLANS: f64 = 3.0;
/// Expected times to the first token that an engine has at least.
const LEAST_PLANS: f64 = 1.1;
/// Time beyond these, for what the plan could not see.
const SILENCE_MARGIN: time::Duration = time::Duration::from_millis(600);
/// Callers that have less than this part of the route's time have spent some on an earlier try.
const FIRST_TRY_PART: f64 = 0.97;

/// Short goals go first on an engine; what is late goes last.
pub(crate) fn priority(call: &incoming_call::IncomingCall, late: bool) -> u8 {
    if late {
        return 8;
    }
    match call.route.first_token_goal.as_millis() {
        0..=500 => 2,
        501..=2_000 => 4,
        _ => 5,
    }
}

/// What has become of a request so far.
pub(crate) struct AskProgress<'a> {
    /// Whether the caller has part of its answer.
    pub(crate) begun: bool,
    /// Whether an engine has got it.
    pub(crate) sent: bool,
    /// Whether upstreams have ended under it, in this arrival or an earlier one.
    pub(crate) suspect: bool,
    /// Engines that must not be used.
    pub(crate) excluded: &'a [ids::UpstreamId],
}

/// What is asked of the planner for a request.
pub(crate) fn ask(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    progress: &AskProgress<'_>,
) -> engine_place::PlaceAsk {
    let spent = context.now().since(call.arrived);
    let millis = |span: time::Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    let goal_left = if progress.begun {
        // The stream goes on as soon as it can; its first token is out.
        call.route.pause_goal
    } else {
        call.route.first_token_goal.saturating_sub(spent)
    };
    engine_place::PlaceAsk {
        job: context.next_job(),
        prompt: call.request.prompt,
        output: call.request.output,
        pause_ms: millis(call.route.pause_goal),
        goal_ms: millis(call.route.first_token_goal),
        goal_left_ms: millis(goal_left),
        patience_ms: millis(patience(call).saturating_sub(spent).min(call.left(context.now()))),
        // Where it may end the next engine, it gets one where few others run.
        tight: is_short(context, call) && !progress.suspect,
        worth: worth(context, call),
        refusable: !progress.sent && !came_back(call),
        resumed: progress.sent,
        excluded: progress.excluded.to_vec(),
    }
}

/// Whether one engine reads a prompt in time, together with others with pauses as tight.
fn is_short(context: &context::InstanceContext, call: &incoming_call::IncomingCall) -> bool {
    let fleet = context.fleet.borrow();
    let tightest =
        fleet.routes.goals(&call.service).map_or(call.route.pause_goal, |goals| goals.pause);
    let engine =
        fleet.routes.services.get(&call.service).and_then(|service| service.engine.as_ref());
    let reading = engine.map_or(0.0, |shape| pass_model::prefill_ms(shape, call.request.prompt));
    let goal = call.route.first_token_goal.as_secs_f64() * 1_000.0;
    call.route.pause_goal <= tightest.mul_f64(TIGHT_PAUSES) && reading <= goal * SHORT_GOAL_PART
}

/// What a request is worth in time, against one of its service's most urgent class.
fn worth(context: &context::InstanceContext, call: &incoming_call::IncomingCall) -> f32 {
    let own = call.route.first_token_goal;
    let fleet = context.fleet.borrow();
    let shortest = fleet.routes.goals(&call.service).map_or(own, |goals| goals.first_token);
    let ask = class_worth::WorthQuery {
        class: &call.route.name,
        service: &call.service,
        prompt: call.request.prompt,
        goal: own,
        shortest_goal: shortest,
    };
    context.classes.borrow_mut().count(&ask) as f32
}

/// Whether a caller has probably been refused before: it has less time than its route gives.
pub(crate) fn came_back(call: &incoming_call::IncomingCall) -> bool {
    let whole = call.route.time_limit.mul_f64(FIRST_TRY_PART);
    call.request.patience.is_some_and(|patience| patience < whole)
}

/// How long a caller waits without an event.
pub(crate) fn patience(call: &incoming_call::IncomingCall) -> time::Duration {
    CALLER_SILENCE
        .max(call.route.first_token_goal * CALLER_GOALS)
        .max(call.route.pause_goal * CALLER_PAUSES)
}

/// How long an engine may be silent in the middle of an answer.
pub(crate) fn silence(call: &incoming_call::IncomingCall) -> time::Duration {
    let pauses = call.route.pause_goal.mul_f64(SILENCE_PAUSES);
    pauses.min(last_silence(call))
}

/// How long the only engine left may be silent: just so long that its caller is still there for
/// another try.
pub(crate) fn last_silence(call: &incoming_call::IncomingCall) -> time::Duration {
    patience(call).mul_f64(SILENCE_PART)
}

/// How long an engine may be silent before its answer begins.
pub(crate) fn first_silence(
    call: &incoming_call::IncomingCall,
    grant: &engine_place::PlaceGrant,
) -> time::Duration {
    let planned = time::Duration::from_millis(u64::from(grant.first_token_ms));
    let expected = planned.mul_f64(SILENCE_PLANS) + SILENCE_MARGIN;
    // Never shorter than the plan: what was read by then is lost.
    let least = planned.mul_f64(LEAST_PLANS) + SILENCE_MARGIN;
    expected.min(last_silence(call)).max(least)
}
