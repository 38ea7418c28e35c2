//! Serves a call of a plain service (whose upstreams run no model): attempts at upstreams, and the answer to the
//! caller.

use std::{pin, rc, time};

use futures::future;
use slipturn_core::{
    ids, quota_permit, refusal, retry, retry_need, upstream_health::CallResult, upstream_list,
};
use slipturn_net::h1;

use crate::{
    caller_connection, context, incoming_call, long_answer, no_open_upstream, permit_request,
    request_record, service_choice, stop_gate, upstream_attempt, upstream_ends, upstream_signals,
};

/// Largest body that is read completely before it is forwarded, in bytes; longer ones are
/// forwarded as the caller reads them.
pub(crate) const MAX_BUFFERED_BODY: usize = 16 * 1024;
/// Largest body of an answer with an error status, in bytes; the usual ones are far smaller.
const MAX_ERROR_BODY: usize = 64 * 1024;
/// Fraction of the remaining time after which a silent upstream of a repeatable call is given up,
/// if another upstream may answer.
const SILENCE_FRACTION: f64 = 0.45;
/// Maximum number of upstreams tried, including those that never received the call.
const MAX_TRIES: u32 = 5;
/// Retry delay of a refusal if the state of the upstreams determines none.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// Result of a call: what is sent to the caller.
enum CallEnd<'a> {
    Answer(http::response::Parts, bytes::Bytes),
    /// An answer that has been read in part.
    Long(Box<long_answer::LongAnswer<'a>>),
    Refused(refusal::RequestRefusal),
}

/// Serves a call until it is answered, refused or cut off.
pub async fn serve(
    context: &rc::Rc<context::InstanceContext>,
    call: &incoming_call::IncomingCall,
    reply: &mut caller_connection::CallerReply<'_>,
    record: &mut request_record::RequestRecord,
) -> Result<caller_connection::ConnectionNext, h1::MessageError> {
    let left = call.left(context.now());
    let mut fallback = None;
    let work = attempts(context, call, record, &mut fallback);
    let end = match monoio::time::timeout(left, work).await {
        Ok(end) => end,
        Err(_) => match fallback {
            Some((head, body)) => CallEnd::Answer(head, body),
            None => CallEnd::Refused(call.timeout_refusal(left, DEFAULT_RETRY_AFTER)),
        },
    };
    record.first_ms = Some(context.now().since(call.arrived).as_millis() as u64);
    match end {
        CallEnd::Answer(head, body) => {
            record.status = Some(head.status.as_u16());
            "answered".clone_into(&mut record.outcome);
            reply.send_answer(&head, &body).await?;
        }
        CallEnd::Long(long) => {
            record.status = Some(long.answer.head.status.as_u16());
            let forwarded = long.forward(context, reply, call.left(context.now())).await;
            record.outcome = match &forwarded {
                Ok(()) => "answered".to_owned(),
                Err(error) => error.to_string(),
            };
            if forwarded.is_err() {
                // After part of the answer was sent, only closing the connection shows that it is
                // incomplete.
                return Ok(caller_connection::ConnectionNext::Close);
            }
        }
        CallEnd::Refused(refusal) => {
            record.status = Some(refusal.code.status());
            record.outcome = format!("{} (ran: {})", refusal.message, refusal.ran.label());
            reply.refuse(&call.request.id, &refusal).await?;
        }
    }
    Ok(caller_connection::ConnectionNext::Keep)
}

/// Makes attempts until one succeeds or no further one is possible. `fallback` receives the last failure
/// answer of an upstream, which is better than a refusal at the end of the time limit.
async fn attempts<'a>(
    context: &'a rc::Rc<context::InstanceContext>,
    call: &'a incoming_call::IncomingCall,
    record: &mut request_record::RequestRecord,
    fallback: &mut Option<(http::response::Parts, bytes::Bytes)>,
) -> CallEnd<'a> {
    let mut excluded: Vec<ids::UpstreamId> = Vec::new();
    let mut sent = 0;
    let mut retry_taken = false;
    let mut ran = refusal::RanState::No;
    let mut text = format!("service '{}' has no upstream", call.service);
    let mut reused_silent = None;
    let mut connection_need = upstream_attempt::ConnectionNeed::Any;
    let mut unavailable = None;
    let mut unreached = 0;
    for _ in 0..MAX_TRIES {
        if sent >= call.route.max_attempts {
            break;
        }
        if let Err(denial) = stop_gate::check(context, call, false) {
            text = denial.to_string();
            break;
        }
        let taken = std::mem::take(&mut retry_taken);
        let need = retry_need::RetryNeed::Failed;
        if sent > 0 && !taken && !permit_request::obtain_retry(context, &call.service, need).await {
            text.push_str("; the retry budget is used up");
            break;
        }
        let mut chosen = service_choice::choose(context, call, &excluded).await;
        if chosen.is_none()
            && let Some(upstream) = reused_silent.take()
        {
            // Only a pooled connection to this upstream failed; the call is sent to it over a new one.
            excluded.retain(|name| *name != upstream);
            chosen = service_choice::choose(context, call, &excluded).await;
        }
        let Some(service_choice::ChosenUpstream { entry, permit }) = chosen else {
            unavailable = no_open_upstream::no_upstream_reason(
                context,
                &call.service,
                call.left(context.now()),
            );
            break;
        };
        excluded.push(entry.name.clone());
        record.attempts.push(request_record::AttemptRecord {
            upstream: entry.name.to_string(),
            known: upstream_signals::describe_notices(context, &entry.name),
            // This text remains in the record if the caller disconnects during the attempt.
            end: "under way".to_owned(),
            ..Default::default()
        });
        let has_fallback = fallback.is_some();
        let give_up = async |reach| {
            let next = reach == upstream_attempt::RetryReach::AnyUpstream
                || service_choice::pick(context, call, &excluded).is_some();
            let allowed = call.route.repeat.allows_repeat()
                && sent + 1 < call.route.max_attempts
                && next
                && stop_gate::check(context, call, false).is_ok();
            let need = retry_need::RetryNeed::Early;
            retry_taken =
                allowed && permit_request::obtain_retry(context, &call.service, need).await;
            // An upstream's failure answer now is better than a refusal at the end of the time limit.
            retry_taken || (has_fallback && reach == upstream_attempt::RetryReach::OtherUpstream)
        };
        let start = AttemptStart { entry: &entry, permit, connection_need };
        let result = attempt(context, call, start, give_up).await;
        if let Some(attempt_record) = record.attempts.last_mut() {
            attempt_record.relayed = call.relayed.take();
            attempt_record.end = match &result {
                Ok(reply) => format!("status {}", reply.status().as_u16()),
                Err(fault) => fault.text.clone(),
            };
        }
        match result {
            Ok(UpstreamReply::Long(long)) => return CallEnd::Long(long),
            Ok(UpstreamReply::Whole(head, body)) => {
                let failed = head.status.is_server_error();
                sent += 1;
                if failed && call.route.repeat.allows_repeat() {
                    ran = refusal::RanState::Yes;
                    *fallback = Some((head, body));
                    continue;
                }
                return CallEnd::Answer(head, body);
            }
            Err(fault) => {
                if fault.reused_silent {
                    reused_silent = Some(entry.name.clone());
                }
                text = fault.text;
                let never_ran = fault.failure.definitely_not_run();
                if fault.failure.reached_no_upstream() {
                    // No upstream received anything, so the retry permit stays valid.
                    retry_taken = sent > 0;
                    unreached += u32::from(fault.failure == retry::AttemptFailure::NotConnected);
                    if no_open_upstream::is_unreachable(context, call, unreached) {
                        break;
                    }
                } else {
                    sent += 1;
                }
                if !never_ran {
                    call.identify(record);
                    ran = refusal::RanState::Unknown;
                    connection_need = upstream_attempt::ConnectionNeed::New;
                }
                if !never_ran && !call.route.repeat.allows_repeat() {
                    break;
                }
            }
        }
    }
    if let Some((head, body)) = fallback.take() {
        return CallEnd::Answer(head, body);
    }
    if ran == refusal::RanState::No && stop_gate::check(context, call, false).is_err() {
        return CallEnd::Refused(stop_gate::refusal());
    }
    let code = match ran {
        refusal::RanState::No => refusal::RefusalCode::NoUpstream,
        _ => refusal::RefusalCode::UpstreamFailed,
    };
    let mut retry_after = DEFAULT_RETRY_AFTER;
    let left = call.left(context.now());
    let unreachable = no_open_upstream::unreachable_reason(context, &call.service, unreached, left);
    if let Some(reason) = unreachable.or(unavailable).or_else(|| {
        no_open_upstream::no_upstream_reason(context, &call.service, call.left(context.now()))
    }) {
        text = reason.to_string();
        retry_after = reason.retry_after();
    }
    CallEnd::Refused(refusal::RequestRefusal::not_run(code, text).ran(ran).retry_after(retry_after))
}

/// An answer of an upstream, read completely or in part.
enum UpstreamReply<'a> {
    Whole(http::response::Parts, bytes::Bytes),
    Long(Box<long_answer::LongAnswer<'a>>),
}

impl UpstreamReply<'_> {
    fn status(&self) -> http::StatusCode {
        match self {
            Self::Whole(head, _) => head.status,
            Self::Long(long) => long.answer.head.status,
        }
    }
}

/// The target of an attempt and how it is sent.
struct AttemptStart<'a> {
    entry: &'a upstream_list::UpstreamEntry,
    /// The permit for the attempt, if the upstream has a limit.
    permit: Option<quota_permit::SendPermit>,
    /// Which connection the attempt needs.
    connection_need: upstream_attempt::ConnectionNeed,
}

/// Makes one attempt, which fails if the upstream restarts before it has answered.
async fn attempt<'a>(
    context: &'a rc::Rc<context::InstanceContext>,
    call: &'a incoming_call::IncomingCall,
    start: AttemptStart<'_>,
    give_up: impl AsyncFnMut(upstream_attempt::RetryReach) -> bool,
) -> Result<UpstreamReply<'a>, upstream_attempt::AttemptFault> {
    let upstream_ended = pin::pin!(context.starts.until_ended(&start.entry.name));
    let work = pin::pin!(call_upstream(context, call, start, give_up));
    match future::select(work, upstream_ended).await {
        future::Either::Left((result, _)) => result,
        future::Either::Right(_) => Err(upstream_attempt::AttemptFault::restarted()),
    }
}

/// Sends a call to an upstream and reads its answer, up to [`MAX_BUFFERED_BODY`] bytes of the body.
async fn call_upstream<'a>(
    context: &'a rc::Rc<context::InstanceContext>,
    call: &'a incoming_call::IncomingCall,
    AttemptStart { entry, permit, connection_need }: AttemptStart<'_>,
    mut give_up: impl AsyncFnMut(upstream_attempt::RetryReach) -> bool,
) -> Result<UpstreamReply<'a>, upstream_attempt::AttemptFault> {
    let guard = LoadGuard { context, name: entry.name.clone(), result: std::cell::Cell::new(None) };
    context.loads.borrow_mut().begin(context.now(), &entry.name);
    let target = upstream_attempt::AttemptTarget {
        upstream: entry.name.clone(),
        address: entry.address,
        helpers: Vec::new(),
        last_event: None,
        priority: None,
        permits: permit.into_iter().collect(),
    };
    let left = call.left(context.now());
    let connected = upstream_attempt::connect(context, call, &target, connection_need).await;
    let connection = connected.inspect_err(|fault| guard.note(fault))?;
    let started = context.now();
    let silence_limit = left.mul_f64(SILENCE_FRACTION);
    let wait = {
        let loads = context.loads.borrow();
        let reused = loads.reused_wait(&call.route, silence_limit);
        upstream_attempt::HeadWait {
            reused,
            longest: silence_limit,
            usual_time: loads.usual_time(&call.route),
        }
    };
    let run = upstream_ends::RunGuard::begin(context, call, &entry.name, entry.address);
    let sending = upstream_attempt::send(context, call, &target, connection, wait, &mut give_up);
    let answered = sending.await;
    let mut answer = match answered {
        Ok(answer) => answer,
        Err(fault) => {
            guard.note(&fault);
            run.failed(&fault);
            return Err(fault);
        }
    };
    let answer_time = context.now().since(started);
    context.loads.borrow_mut().answered(&call.route.name, answer_time);
    let status = answer.head.status;
    let body = if status.is_client_error() || status.is_server_error() {
        let body =
            answer.whole_body(context, &entry.name, MAX_ERROR_BODY, silence_limit, give_up).await;
        body.map(|bytes| upstream_attempt::LeadingBody { bytes, whole: true })
    } else {
        answer.leading_body(context, &entry.name, MAX_BUFFERED_BODY, silence_limit, give_up).await
    };
    let upstream_attempt::LeadingBody { bytes: body, whole } = match body {
        Ok(body) => body,
        Err(fault) => {
            guard.note(&fault);
            run.failed(&fault);
            return Err(fault);
        }
    };
    if let Some(requests) = answer.head_fields.reported_load() {
        context.loads.borrow_mut().set_reported_load(context.now(), &entry.name, requests);
    }
    if !whole {
        let long = long_answer::LongAnswer {
            entry: entry.clone(),
            route: &call.route.name,
            started,
            answer_time,
            answer,
            leading: body,
            run,
            guard,
        };
        return Ok(UpstreamReply::Long(Box::new(long)));
    }
    // Errors may come quickly, and answers that never end begin quickly; their times tell nothing of the speed.
    if answer.head.status.is_success() {
        let mut loads = context.loads.borrow_mut();
        loads.note_speed(context.now(), entry, &call.route.name, answer_time);
    }
    run.answered();
    let failed = answer.head.status.is_server_error();
    guard.result.set(Some(if failed { CallResult::Erred } else { CallResult::Good }));
    let head = answer.head.clone();
    answer.finish(context, &entry.name);
    Ok(UpstreamReply::Whole(head, body))
}

/// Counts a call as in progress and reports its end when dropped, also if the caller disconnects.
pub(crate) struct LoadGuard<'a> {
    context: &'a context::InstanceContext,
    name: ids::UpstreamId,
    /// How the call ended for the upstream; `None` if unknown, as when the caller disconnects.
    pub(crate) result: std::cell::Cell<Option<CallResult>>,
}

impl LoadGuard<'_> {
    /// Sets the result of a failed attempt. A silent pooled connection does not count as a failure, as
    /// the upstream may be healthy: when it counted, the upstream was ejected and got no call for 30 s.
    fn note(&self, fault: &upstream_attempt::AttemptFault) {
        let result = match fault.failure {
            retry::AttemptFailure::SaidNotRun => CallResult::Full,
            retry::AttemptFailure::Misdirected => CallResult::Gone,
            _ => CallResult::Failed,
        };
        let is_conclusive = !fault.reused_silent && fault.failure != retry::AttemptFailure::Denied;
        self.result.set(is_conclusive.then_some(result));
        if result == CallResult::Gone {
            upstream_signals::broadcast_gone(self.context, &self.name);
        }
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        let now = self.context.now();
        self.context.loads.borrow_mut().end(now, &self.name, self.result.get());
    }
}
