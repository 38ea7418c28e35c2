//! Parameters of a streamed request: its worth and priority for planning, and how long an engine
//! may be silent.

use std::time;

use slipturn_core::{class_worth, engine_place, ids, pass_model, request_origin, sharing};

use crate::{context, incoming_call};

/// Multiple of the service's shortest pause goal (latency goal between two events) up to which a request's pause goal
/// counts as short.
const SHORT_PAUSE_FACTOR: f64 = 1.5;
/// Fraction of the first-token goal within which one engine must process the prompt of a short request.
const SHORT_GOAL_FRACTION: f64 = 0.75;
/// Minimum time without an event after which callers are assumed to give up a stream. The times computed with
/// [`CALLER_GOAL_FACTOR`] and [`CALLER_PAUSE_FACTOR`] apply instead if they are longer.
const MIN_EVENT_WAIT: time::Duration = time::Duration::from_secs(2);
/// Multiple of the first-token goal that callers wait without an event.
const CALLER_GOAL_FACTOR: u32 = 4;
/// Multiple of the pause goal that callers wait without an event.
const CALLER_PAUSE_FACTOR: u32 = 8;
/// Fraction of the time that callers wait without an event after which a silent engine is given up at
/// the latest.
const SILENCE_FRACTION: f64 = 0.72;
/// Multiple of the pause goal after which an engine that is silent mid-answer is given up.
const SILENCE_PAUSE_FACTOR: f64 = 3.5;
/// Multiple of the planned time to the first token after which an engine that has not begun its
/// answer is given up.
const SILENCE_PLAN_FACTOR: f64 = 3.0;
/// Minimum multiple of the planned time to the first token for which an engine may be silent.
const MIN_PLAN_FACTOR: f64 = 1.1;
/// Time added to the planned time to the first token after its multiplication by [`SILENCE_PLAN_FACTOR`] or
/// [`MIN_PLAN_FACTOR`], for delays that the plan does not cover.
const SILENCE_MARGIN: time::Duration = time::Duration::from_millis(600);
/// Returns the priority of a request on its engine, where lower is more urgent: short goals come
/// first and late requests last.
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

/// State of a request when it requests a place (its assignment to engines).
pub(crate) struct RequestProgress<'a> {
    /// Whether the caller has received part of the answer.
    pub(crate) begun: bool,
    /// Whether an earlier attempt reached an engine.
    pub(crate) sent: bool,
    /// Whether upstreams crashed while they ran the request, in this call or when its caller sent it before.
    pub(crate) suspect: bool,
    /// Engines that must not be used.
    pub(crate) excluded: &'a [ids::UpstreamId],
}

/// Builds the request to a planner for a place: the assignment of `call` to engines.
pub(crate) fn placement_request(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    progress: &RequestProgress<'_>,
) -> engine_place::PlacementRequest {
    let spent = context.now().since(call.arrived);
    let millis = |span: time::Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    let goal_left = if progress.begun {
        // The first token was delivered, so the next event is due within the pause goal.
        call.route.pause_goal
    } else {
        call.route.first_token_goal.saturating_sub(spent)
    };
    engine_place::PlacementRequest {
        job: context.next_job(),
        prompt: call.request.prompt,
        output: call.request.output,
        pause_ms: millis(call.route.pause_goal),
        goal_ms: millis(call.route.first_token_goal),
        goal_left_ms: millis(goal_left),
        patience_ms: millis(
            max_event_wait(call).saturating_sub(spent).min(call.left(context.now())),
        ),
        // A request that may crash its engine is placed where few other requests run.
        tight: is_short(context, call) && !progress.suspect,
        worth: worth(context, call),
        refusable: !progress.sent && !call.retried,
        resumed: progress.sent,
        excluded: progress.excluded.to_vec(),
        origin: request_origin(context, call),
    }
}

/// Returns the origin of a request, which planners need only if the settings switch on a decision that uses it.
fn request_origin(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
) -> Option<request_origin::RequestOrigin> {
    let settings = context.settings();
    let sharing = &settings.sharing;
    let is_used = sharing.customers != sharing::CustomerSharing::Off
        || sharing.returns != sharing::ReturnOrder::Off;
    let customer = call.customer.clone().filter(|_| is_used)?;
    let fleet = context.fleet.borrow();
    let priority = fleet.routes.priorities.get(&customer).copied().unwrap_or_default();
    let target = call.head.uri.path_and_query().map_or("/", |target| target.as_str());
    // A hash of the body would identify the prompt exactly, but takes about 100 µs for each request.
    let caller_request = &call.request;
    let content = format!(
        "{} {} {} {}",
        caller_request.prompt,
        caller_request.output,
        call.body.len(),
        caller_request.parts
    );
    let identity = request_origin::RequestIdentity::of(&customer, target, &content);
    let factor = context.share_factors.borrow().factor(context.now(), &customer);
    let weight = (sharing.priority_ratio.weight(priority) * factor) as f32;
    Some(request_origin::RequestOrigin {
        customer,
        class: call.route.name.clone(),
        weight,
        identity,
    })
}

/// Returns whether planners assign each rejected caller a time of its own. `PlaceRefusal` does not say so.
pub(crate) fn has_assigned_return(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
) -> bool {
    let returns = context.settings().sharing.returns;
    returns.assigns_times(is_short(context, call)) && call.customer.is_some()
}

/// Returns whether a request is short: one engine can process its prompt in time, and its pause goal is
/// among the shortest of the service.
fn is_short(context: &context::InstanceContext, call: &incoming_call::IncomingCall) -> bool {
    let fleet = context.fleet.borrow();
    let shortest =
        fleet.routes.goals(&call.service).map_or(call.route.pause_goal, |goals| goals.pause);
    let engine =
        fleet.routes.services.get(&call.service).and_then(|service| service.engine.as_ref());
    let prefill_ms = engine.map_or(0.0, |shape| pass_model::prefill_ms(shape, call.request.prompt));
    let goal = call.route.first_token_goal.as_secs_f64() * 1_000.0;
    call.route.pause_goal <= shortest.mul_f64(SHORT_PAUSE_FACTOR)
        && prefill_ms <= goal * SHORT_GOAL_FRACTION
}

/// Counts a request and returns its worth if answered in time, relative to a request of the
/// service's most urgent class.
fn worth(context: &context::InstanceContext, call: &incoming_call::IncomingCall) -> f32 {
    let own = call.route.first_token_goal;
    let fleet = context.fleet.borrow();
    let shortest = fleet.routes.goals(&call.service).map_or(own, |goals| goals.first_token);
    let query = class_worth::WorthQuery {
        class: &call.route.name,
        service: &call.service,
        prompt: call.request.prompt,
        goal: own,
        shortest_goal: shortest,
    };
    context.classes.borrow_mut().record_prompt(&query) as f32
}

/// Returns how long a caller is assumed to wait without an event before it gives up the stream.
pub(crate) fn max_event_wait(call: &incoming_call::IncomingCall) -> time::Duration {
    MIN_EVENT_WAIT
        .max(call.route.first_token_goal * CALLER_GOAL_FACTOR)
        .max(call.route.pause_goal * CALLER_PAUSE_FACTOR)
}

/// Returns how long an engine may be silent mid-answer if another engine can continue the stream.
pub(crate) fn silence(call: &incoming_call::IncomingCall) -> time::Duration {
    let pauses = call.route.pause_goal.mul_f64(SILENCE_PAUSE_FACTOR);
    pauses.min(last_silence(call))
}

/// Returns how long the only engine left may be silent, so that there is time for another attempt
/// before the caller gives up.
pub(crate) fn last_silence(call: &incoming_call::IncomingCall) -> time::Duration {
    max_event_wait(call).mul_f64(SILENCE_FRACTION)
}

/// Returns how long an engine may be silent before its answer begins if another engine can answer.
pub(crate) fn first_silence(
    call: &incoming_call::IncomingCall,
    grant: &engine_place::PlaceGrant,
) -> time::Duration {
    let planned = time::Duration::from_millis(u64::from(grant.first_token_ms));
    let expected = planned.mul_f64(SILENCE_PLAN_FACTOR) + SILENCE_MARGIN;
    // Never shorter than planned, as giving up discards the processed part of the prompt.
    let least = planned.mul_f64(MIN_PLAN_FACTOR) + SILENCE_MARGIN;
    expected.min(last_silence(call)).max(least)
}
