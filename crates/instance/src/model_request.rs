//! Serves a streamed request: obtains a place (the assignment of the request to engines), sends the request there and
//! forwards the events; a failed attempt is retried on another engine.

use std::{pin, rc, time};

use bytes::{Bytes, BytesMut};
use slipturn_core::{
    connection_silence, engine_place, refusal, retry, retry_need, send_gate, units,
};
use slipturn_net::h1;

use crate::{
    caller_connection, cell_search, context, engine_call, engine_fault, event_stream,
    incoming_call, memory_hold, no_open_upstream, permit_request, plan_client, quarantine_gate,
    request_record, silence_watch, stop_gate, stream_policy, stream_state, stream_target,
    upstream_attempt, upstream_ends, upstream_gate, upstream_links, upstream_signals,
};

/// Maximum number of places (assignments to engines) tried for a request, including those whose engine never received
/// it.
const MAX_TRIES: u32 = 5;
/// Retry delay of a refusal if neither the planner nor the state of the upstreams determines one.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_millis(400);
/// Maximum time from the head to the first event for which the load in the head is passed to the
/// planner. Requests of other instances on the engine change little meanwhile, as a short answer takes a
/// few seconds.
const MAX_LOAD_AGE: time::Duration = time::Duration::from_millis(100);
/// Largest body of an engine's failure answer that is forwarded, in bytes.
const MAX_FAILURE_BODY: usize = 1 << 20;

/// How an attempt ended.
enum AttemptEnd {
    /// The caller received the complete answer.
    Complete,
    /// The engine answered with a failure, which is forwarded if no later attempt succeeds.
    Failure(Box<http::response::Parts>, Bytes),
    /// The attempt failed without an answer that can be forwarded.
    Fault(upstream_attempt::AttemptFault),
    /// No place was granted before the wait timed out.
    NoPlace,
    /// No engine may receive the request now: all are closed to new requests or excluded.
    NoEngine,
    /// The planner refused the request, as no place will be free in time.
    Refused(engine_place::PlaceRefusal),
    /// The planner refused the request, as its customer uses its share, with a retry time for this caller alone.
    OverShare(engine_place::PlaceRefusal),
}

/// Serves a streamed request until it is answered, refused or cut off.
pub async fn serve(
    context: &rc::Rc<context::InstanceContext>,
    call: &incoming_call::IncomingCall,
    reply: &mut caller_connection::CallerReply<'_>,
    record: &mut request_record::RequestRecord,
) -> Result<caller_connection::ConnectionNext, h1::MessageError> {
    let left = call.left(context.now());
    let mut state = stream_state::StreamState {
        last_event: call.request.last_event.clone(),
        ..Default::default()
    };
    let work = attempts(context, call, reply, record, &mut state);
    let refusal = match monoio::time::timeout(left, work).await {
        Ok(Ok(None)) => return Ok(caller_connection::ConnectionNext::Keep),
        Ok(Ok(Some(refusal))) => refusal,
        Ok(Err(error)) => return Err(error),
        Err(_) if forward_failure(reply, record, &mut state).await? => {
            return Ok(caller_connection::ConnectionNext::Keep);
        }
        Err(_) => call.timeout_refusal(left, DEFAULT_RETRY_AFTER),
    };
    record.outcome = format!("{} (ran: {})", refusal.message, refusal.ran.label());
    if state.begun {
        // After part of the answer was sent, only closing the connection shows that it is incomplete.
        return Ok(caller_connection::ConnectionNext::Close);
    }
    record.status = Some(refusal.code.status());
    reply.refuse(&call.request.id, &refusal).await?;
    Ok(caller_connection::ConnectionNext::Keep)
}

/// Makes attempts until one succeeds or no further one is possible. Returns the refusal to be
/// sent, or `None` if the caller has received an answer.
async fn attempts(
    context: &rc::Rc<context::InstanceContext>,
    call: &incoming_call::IncomingCall,
    reply: &mut caller_connection::CallerReply<'_>,
    record: &mut request_record::RequestRecord,
    state: &mut stream_state::StreamState,
) -> Result<Option<refusal::RequestRefusal>, h1::MessageError> {
    let mut retry_after = None;
    let mut text = format!("service '{}' has no engine free", call.service);
    let mut unreached = 0;
    for _ in 0..MAX_TRIES {
        if state.sent >= call.route.max_attempts {
            break;
        }
        let taken = std::mem::take(&mut state.retry_taken);
        let need = state.retry_need(retry_need::RetryNeed::Failed);
        if state.sent > 0
            && !taken
            && !permit_request::obtain_retry(context, &call.service, need).await
        {
            text.push_str("; the retry budget is used up");
            break;
        }
        if stop_gate::check(context, call, state.last_event.is_some()).is_err() {
            break;
        }
        match attempt(context, call, reply, record, state).await? {
            AttemptEnd::Complete => return Ok(None),
            AttemptEnd::NoPlace => break,
            AttemptEnd::NoEngine => break,
            AttemptEnd::Refused(refused) => {
                text = refused.to_string();
                let delay = time::Duration::from_millis(u64::from(refused.back_after_ms));
                let assigned = stream_policy::has_assigned_return(context, call);
                if assigned {
                    context.stats.borrow_mut().count("returns_told", call.route.name.as_str());
                }
                retry_after = Some(refusal::planned_retry(delay, assigned, &mut rand::rng()));
                break;
            }
            AttemptEnd::OverShare(refused) => {
                text = refused.to_string();
                retry_after = Some(time::Duration::from_millis(u64::from(refused.back_after_ms)));
                break;
            }
            AttemptEnd::Failure(head, body) => {
                state.ran = Some(refusal::RanState::Yes);
                state.failure = Some((head, body));
                if !call.route.repeat.allows_repeat() {
                    break;
                }
            }
            AttemptEnd::Fault(fault) => {
                let never_ran = fault.failure.definitely_not_run();
                if !never_ran {
                    call.identify(record);
                }
                if fault.failure.reached_no_upstream() {
                    // No engine received anything, so the retry permit stays valid. Otherwise a stream
                    // whose retry goes to an engine that is gone would be cut off for lack of another permit.
                    state.retry_taken = state.sent > 0;
                    unreached += u32::from(fault.failure == retry::AttemptFailure::NotConnected);
                }
                text = fault.text;
                if !never_ran {
                    state.ran = Some(refusal::RanState::Unknown);
                    if !call.route.repeat.allows_repeat() {
                        break;
                    }
                }
                if no_open_upstream::is_unreachable(context, call, unreached) {
                    break;
                }
            }
        }
    }
    if forward_failure(reply, record, state).await? {
        return Ok(None);
    }
    let ran = state.ran.unwrap_or(refusal::RanState::No);
    let is_resumed = state.last_event.is_some();
    if ran == refusal::RanState::No && stop_gate::check(context, call, is_resumed).is_err() {
        return Ok(Some(stop_gate::refusal()));
    }
    // The planner's delay is preferred to one computed from limits, as the planner knows better when
    // the limits of its engines admit the next request.
    let planned = retry_after.is_some();
    let left = call.left(context.now());
    let unreachable = no_open_upstream::unreachable_reason(context, &call.service, unreached, left);
    let unavailable = no_open_upstream::no_upstream_reason(context, &call.service, left);
    let unavailable = unavailable.filter(|unavailable| unavailable.is_backoff() || !planned);
    if let Some(unavailable) = unreachable.or(unavailable) {
        text = unavailable.to_string();
        retry_after = Some(unavailable.retry_after());
    }
    let code = match ran {
        refusal::RanState::No => refusal::RefusalCode::Overloaded,
        _ => refusal::RefusalCode::UpstreamFailed,
    };
    let spread = || refusal::spread_retry(DEFAULT_RETRY_AFTER, &mut rand::rng());
    let retry_after = retry_after.unwrap_or_else(spread);
    Ok(Some(refusal::RequestRefusal::not_run(code, text).ran(ran).retry_after(retry_after)))
}

/// Forwards the failure answer of an engine if there is one and nothing was sent to the caller;
/// returns whether it was forwarded.
async fn forward_failure(
    reply: &mut caller_connection::CallerReply<'_>,
    record: &mut request_record::RequestRecord,
    state: &mut stream_state::StreamState,
) -> Result<bool, h1::MessageError> {
    let Some((head, body)) = state.failure.take().filter(|_| !state.begun) else {
        return Ok(false);
    };
    record.status = Some(head.status.as_u16());
    "the engine's own failure".clone_into(&mut record.outcome);
    reply.send_answer(&head, &body).await?;
    Ok(true)
}

/// Obtains a place, makes one attempt there and adds it to the request's record.
async fn attempt(
    context: &rc::Rc<context::InstanceContext>,
    call: &incoming_call::IncomingCall,
    reply: &mut caller_connection::CallerReply<'_>,
    record: &mut request_record::RequestRecord,
    state: &mut stream_state::StreamState,
) -> Result<AttemptEnd, h1::MessageError> {
    if !state.has_engine(context, call, None) {
        return Ok(AttemptEnd::NoEngine);
    }
    // The time that a caller waits without an event restarts with each event.
    let since = state.last_at.unwrap_or(call.arrived);
    let limit = stream_policy::max_event_wait(call).saturating_sub(context.now().since(since));
    let limit = limit.max(context::MIN_PLACE_TIME).min(call.left(context.now()));
    let progress = stream_policy::RequestProgress {
        begun: state.begun,
        sent: state.sent > 0,
        suspect: quarantine_gate::is_suspect(context, call),
        excluded: &state.excluded,
    };
    let request = stream_policy::placement_request(context, call, &progress);
    let mut hold =
        match cell_search::place(context, call, request, state.probe_permission(call), limit).await
        {
            plan_client::PlaceOutcome::Placed(hold) => hold,
            plan_client::PlaceOutcome::Refused(refusal) => {
                return Ok(AttemptEnd::Refused(refusal));
            }
            plan_client::PlaceOutcome::OverShare(refusal) => {
                return Ok(AttemptEnd::OverShare(refusal));
            }
            plan_client::PlaceOutcome::TimedOut => return Ok(AttemptEnd::NoPlace),
        };
    let mut attempt_record = request_record::AttemptRecord {
        // This text remains in the record if the caller disconnects during the attempt.
        end: "under way".to_owned(),
        upstream: hold.grant.engine.to_string(),
        known: upstream_signals::describe_notices(context, &hold.grant.engine),
        helpers: hold.grant.helpers.len(),
        waited_ms: u64::from(hold.grant.waited_ms),
        planned_ms: u64::from(hold.grant.first_token_ms),
        ..Default::default()
    };
    record.attempts.push(attempt_record.clone());
    let end = run_place(context, call, reply, record, state, &mut hold, &mut attempt_record).await;
    if call.answering.replace(false) && matches!(end, Ok(AttemptEnd::Fault(_))) {
        // Lets the gate check the quarantine before the next attempt.
        monoio::time::sleep(time::Duration::ZERO).await;
    }
    if let Ok(AttemptEnd::Fault(fault)) = &end {
        attempt_record.end.clone_from(&fault.text);
        hold.end = engine_fault::place_end(context, &hold, fault);
        engine_fault::exclude_at_fault(context, state, &hold, fault);
    }
    attempt_record.relayed = call.relayed.take();
    if let Some(last) = record.attempts.last_mut() {
        *last = attempt_record;
    }
    end
}

/// Sends the request to the engine of a granted place and forwards its answer.
async fn run_place(
    context: &rc::Rc<context::InstanceContext>,
    call: &incoming_call::IncomingCall,
    reply: &mut caller_connection::CallerReply<'_>,
    record: &mut request_record::RequestRecord,
    state: &mut stream_state::StreamState,
    hold: &mut plan_client::PlaceHold,
    attempt_record: &mut request_record::AttemptRecord,
) -> Result<AttemptEnd, h1::MessageError> {
    if let Err(fault) = upstream_gate::check_grant(
        context,
        call,
        &hold.grant,
        &hold.permits,
        state.last_event.is_some(),
    ) {
        return Ok(AttemptEnd::Fault(fault));
    }
    let taken_at = context.now();
    let (job, held) = (hold.grant.job, &hold.grant.held);
    let taken = memory_hold::MemoryHold::take(context, job, held, &hold.permits).await;
    let memory = match taken {
        Ok(memory) => memory,
        Err(error) => {
            state.excluded.push(error.engine.clone());
            let failure = retry::AttemptFailure::NotPrepared;
            let fault = upstream_attempt::AttemptFault::new(failure, error);
            return Ok(AttemptEnd::Fault(fault));
        }
    };
    let Some(target) = stream_target::target(context, call, state, hold, &memory) else {
        let fault = upstream_gate::fault(send_gate::SendDenial::Unlisted);
        return Ok(AttemptEnd::Fault(fault));
    };
    let begun_at = context.now();
    // After an attempt that broke, possibly on a dead connection, no pooled connection is used: it
    // could be dead as well.
    let need = match state.ran {
        Some(refusal::RanState::Unknown) if state.begun => {
            upstream_attempt::ConnectionNeed::OtherPath(state.silent)
        }
        Some(refusal::RanState::Unknown) => upstream_attempt::ConnectionNeed::New,
        _ => upstream_attempt::ConnectionNeed::Any,
    };
    let connection = match upstream_attempt::connect(context, call, &target, need).await {
        Ok(connection) => connection,
        Err(fault) => return Ok(AttemptEnd::Fault(fault)),
    };
    let times = rc::Rc::clone(&connection.times);
    let left = call.left(context.now());
    let run = upstream_ends::RunGuard::begin(context, call, &target.upstream, target.address);
    let mut upstream_ended = pin::pin!(context.starts.until_ended(&target.upstream));
    let mut sending = pin::pin!(upstream_attempt::exchange(context, call, &target, connection));
    let unused_time = context.settings().bounds.unused_time();
    let mut watch = silence_watch::SilenceWatch {
        context,
        call,
        engine: engine_call::EngineAddress {
            engine: target.upstream.clone(),
            address: target.address,
        },
        held: memory.first_held(),
        answering: false,
        unused_until: memory.holds().then(|| taken_at + unused_time),
    };
    let first_wait = stream_policy::first_silence(call, &hold.grant).min(left);
    let sent_attempts = state.sent + 1;
    let last_silence = stream_policy::last_silence(call);
    let limits = silence_watch::SilenceLimits { other: first_wait, any: last_silence };
    let retry = async |reach| {
        upstream_links::note_exchange(context, &call.service, &times);
        state.give_up(context, call, &hold.grant.engine, sent_attempts, reach).await
    };
    let answered = match watch.wait(sending.as_mut(), upstream_ended.as_mut(), limits, retry).await
    {
        Ok(answered) => answered,
        Err(fault) => {
            state.sent += 1;
            let phase = connection_silence::SilencePhase::Head;
            let text = engine_fault::record_silence(context, hold, &times, phase, begun_at, fault);
            return Ok(broken(state, text));
        }
    };
    let mut answer = match answered {
        Ok(answer) => answer,
        Err(fault) => {
            if !fault.failure.reached_no_upstream() {
                state.sent += 1;
            }
            run.failed(&fault);
            return Ok(AttemptEnd::Fault(fault));
        }
    };
    state.sent += 1;
    state.silent = time::Duration::ZERO;
    if !answer.head.status.is_success() {
        attempt_record.end = format!("status {}", answer.head.status.as_u16());
        hold.end = engine_place::PlaceEnd::Failed;
        state.excluded.push(hold.grant.engine.clone());
        let silence = stream_policy::silence(call);
        let body = answer
            .whole_body(context, &hold.grant.engine, MAX_FAILURE_BODY, silence, async |_| true)
            .await;
        let head = Box::new(answer.head.clone());
        return Ok(match body {
            Ok(body) => {
                run.answered();
                answer.finish(context, &hold.grant.engine);
                AttemptEnd::Failure(head, body)
            }
            Err(fault) => {
                run.failed(&fault);
                AttemptEnd::Fault(fault)
            }
        });
    }
    let head_at = context.now();
    let reported_load = answer.head_fields.requests();
    let mut events = event_stream::EventBuffer::default();
    let limits =
        silence_watch::SilenceLimits { other: stream_policy::silence(call), any: last_silence };
    loop {
        let wait_started = context.now();
        let mut next = pin::pin!(answer.connection.next_piece(&mut answer.framing));
        let sent = state.sent;
        let retry =
            async |reach| state.give_up(context, call, &hold.grant.engine, sent, reach).await;
        let piece = match watch.wait(next.as_mut(), upstream_ended.as_mut(), limits, retry).await {
            Ok(Ok(piece)) => piece,
            Ok(Err(error)) => {
                run.connection_broke();
                return Ok(broken(state, error));
            }
            Err(fault) => {
                state.silent = context.now().since(wait_started);
                let phase = connection_silence::SilencePhase::MidAnswer;
                let text =
                    engine_fault::record_silence(context, hold, &times, phase, wait_started, fault);
                return Ok(broken(state, text));
            }
        };
        let Some(piece) = piece else {
            break;
        };
        times.receive();
        events.push(&piece);
        let complete = match events.take_complete() {
            Ok(complete) => complete,
            Err(error) => {
                run.connection_broke();
                return Ok(broken(state, error));
            }
        };
        if complete.is_empty() {
            continue;
        }
        if attempt_record.first_ms.is_none() {
            watch.unused_until = None;
            watch.answering = true;
            let first_event_at = context.now();
            call.answering.set(true);
            hold.first_token(
                reported_load.filter(|_| first_event_at.since(head_at) <= MAX_LOAD_AGE),
            );
            attempt_record.first_ms = Some(first_event_at.since(begun_at).as_millis() as u64);
        }
        state.note_events(context, call, record, &complete);
        state.send(reply, &answer.head, &complete).await?;
    }
    if !events.is_empty() {
        run.connection_broke();
        return Ok(broken(state, "the stream ends in the middle of an event"));
    }
    if let Err(error) = answer.confirm_end(context, &target.upstream).await {
        run.connection_broke();
        return Ok(broken(state, error));
    }
    run.prompt_answered();
    if target.last_event.is_none() {
        note_times(context, call, begun_at, state.last_at.zip(attempt_record.first_ms));
    }
    if !state.begun {
        state.send(reply, &answer.head, &BytesMut::new()).await?;
    }
    reply.end_chunked().await?;
    answer.finish(context, &hold.grant.engine);
    record.status = Some(200);
    "answered".clone_into(&mut record.outcome);
    "whole".clone_into(&mut attempt_record.end);
    Ok(AttemptEnd::Complete)
}

/// Records how long a complete stream took, from which it is judged whether later ones end before an exit.
fn note_times(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    begun_at: units::MonoTime,
    events: Option<(units::MonoTime, u64)>,
) {
    let Some((last_at, first_ms)) = events else {
        return;
    };
    let first_time = time::Duration::from_millis(first_ms);
    let stream_time = last_at.since(begun_at + first_time);
    let mut loads = context.loads.borrow_mut();
    loads.answered(&call.route.name, first_time);
    loads.note_stream(&call.route.name, stream_time, call.request.output);
}

/// Returns the end of an attempt whose answer broke off.
fn broken(state: &stream_state::StreamState, reason: impl ToString) -> AttemptEnd {
    let failure = if state.begun {
        retry::AttemptFailure::BrokeMidAnswer
    } else {
        retry::AttemptFailure::BrokeBeforeAnswer
    };
    AttemptEnd::Fault(upstream_attempt::AttemptFault::new(failure, reason))
}
