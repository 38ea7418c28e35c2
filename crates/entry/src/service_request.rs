//! Serving of a call to a plain service, from the received body to the final answer.
//!
//! A plain service is one whose upstreams run no model. A call is repeatable if the settings of the
//! service allow calls with its HTTP method to run more than once.

use std::{collections, pin, rc, time};

use bytes::Bytes;
use futures::{FutureExt as _, future};
use slipturn_core::{
    decision, fleet_list, histogram, ids, key_vote, refusal, retry, settings, settings_resolve,
    units,
};
use slipturn_net::{http_client, http_server};

use crate::{answer, event, key_claim, model_request::RequestEnd, request_context, upstream_call};

/// Headers that are not copied between caller and upstream, because they concern one connection or
/// are meant for slipturn.
const UNFORWARDED_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "upgrade",
    "host",
    "expect",
    "authorization",
];

/// Fraction of a call's remaining time for which a repeatable call waits for an answer over a
/// connection that had been idle, before the call is sent again over a new connection. Less than
/// half, so that the new connection has at least as much time. `slipturn-instance` uses the same
/// fraction.
const SILENCE_FRACTION: f64 = 0.45;

/// A call to a plain service as sent by the caller, without its body.
pub struct ServiceCall {
    /// Ids of the call, assigned by slipturn and sent by the caller.
    pub request_ids: answer::RequestIds,
    /// API key of the caller.
    pub key: String,
    /// Time limit requested by the caller; it can shorten the service's limit, not extend it.
    pub requested_limit: Option<time::Duration>,
    /// Idempotency key, for calls that must run at most once.
    pub idempotency_key: Option<String>,
    /// Name of the service, from the path of the call.
    pub service: ids::ServiceId,
    /// Method, headers, and the path and query after the service's name.
    pub head: http::request::Parts,
    /// When the last byte of the body had arrived.
    pub arrived: units::MonoTime,
}

type AttemptResult = Result<AttemptAnswer, upstream_call::AttemptFault>;
/// Pending answer of an attempt whose call has meanwhile been sent again.
type LateAnswer = future::LocalBoxFuture<'static, AttemptResult>;

/// A complete answer, with the attempt that it belongs to.
struct AttemptAnswer {
    attempt: ids::AttemptId,
    response: http::Response<Bytes>,
}

/// A call that has been admitted, with the state of its attempts.
struct ServiceRequest {
    context: rc::Rc<request_context::EntryContext>,
    call: ServiceCall,
    node: settings::ServiceNode,
    settings: settings_resolve::ResolvedSettings,
    repeatable: bool,
    body: Bytes,
    deadline: units::MonoTime,
    record: decision::DecisionRecord,
    /// Result of the vote on the idempotency key, if there was one.
    verdict: Option<key_vote::VoteVerdict>,
    /// Whether the call was sent again because no answer arrived over a connection that had been
    /// idle. From then on only new connections are used, so that a call waits for at most one
    /// unresponsive connection.
    new_connections_only: bool,
    /// Pending answer of an earlier attempt over an unresponsive connection. It is kept because the
    /// upstream may merely be slow.
    late: Option<LateAnswer>,
}

/// Admits a call to a plain service, tries its upstreams, and sends the answer or a refusal.
pub async fn serve(
    context: rc::Rc<request_context::EntryContext>,
    connection: &mut http_server::ServerConnection,
    call: ServiceCall,
    body: Bytes,
) -> Result<RequestEnd, http_server::ServeError> {
    let request_ids = call.request_ids.clone();
    let path = call.head.uri.path().to_owned();
    let record = decision::DecisionRecord::new(
        request_ids.request.clone(),
        request_ids.caller.clone(),
        path,
    );
    let refusal = match admit(context.clone(), call, body, record).await {
        Ok(request) => match request.run(connection).await {
            Ok(Some(answered)) => {
                connection.respond(answered).await?;
                return Ok(RequestEnd::Answered);
            }
            Ok(None) => return Ok(RequestEnd::Close),
            Err(refusal) => refusal,
        },
        Err(refusal) => refusal,
    };
    let refusal = context.spread_retry_after(refusal).await;
    connection.respond(answer::refusal_answer(&request_ids, &refusal)).await?;
    Ok(RequestEnd::Answered)
}

/// Identifies the caller and the service, and resolves their settings.
async fn admit(
    context: rc::Rc<request_context::EntryContext>,
    call: ServiceCall,
    body: Bytes,
    mut record: decision::DecisionRecord,
) -> Result<ServiceRequest, refusal::RequestRefusal> {
    let key = call.key.clone();
    let resolved = context.events.ask(|answer| event::EntryEvent::Resolve(key, answer)).await;
    let found = resolved.and_then(|(tree, settings)| {
        let node = tree.services.get(&call.service).cloned();
        node.map(|node| (node, settings)).ok_or_else(|| unknown_service(&call.service))
    });
    let (node, settings) = match found {
        Ok(found) => found,
        Err(refusal) => {
            finish(&context, record, call.arrived, format!("refused: {}", refusal.message));
            return Err(refusal);
        }
    };
    record.set_settings(&settings);
    context.events.send(event::EntryEvent::CountRequest);
    let limit = call
        .requested_limit
        .map_or(node.time_limit.0, |requested_limit| requested_limit.min(node.time_limit.0));
    let deadline = call.arrived + limit;
    let repeatability = node.repeatability(call.head.method.as_str());
    let repeatable = repeatability == settings::Repeatability::Repeatable;
    Ok(ServiceRequest {
        context,
        call,
        node,
        settings,
        repeatable,
        body,
        deadline,
        record,
        verdict: None,
        new_connections_only: false,
        late: None,
    })
}

impl ServiceRequest {
    /// Runs the attempts within the time limit and records their outcome; `None` if the caller has
    /// gone.
    async fn run(
        mut self,
        connection: &mut http_server::ServerConnection,
    ) -> Result<Option<http::Response<Bytes>>, refusal::RequestRefusal> {
        let context = rc::Rc::clone(&self.context);
        let arrived = self.call.arrived;
        let remaining_time = self.remaining_time();
        let serving = monoio::time::timeout(remaining_time, self.run_attempts());
        let served = connection.while_connected(serving).await;
        let end = match &served {
            None => "caller gone".to_owned(),
            Some(Ok(Ok(_))) => "answered".to_owned(),
            Some(Ok(Err(refusal))) => {
                format!("refused: {} (ran: {})", refusal.message, refusal.ran.label())
            }
            Some(Err(_)) => "time limit passed".to_owned(),
        };
        let settings = &self.settings;
        let series = vec![format!("service/{}/{}", self.call.service, settings.customer)];
        let elapsed = context.clock.now().since(arrived);
        let total = histogram::MeasureKind::Total;
        context.events.send(event::EntryEvent::Measure(total, series, vec![elapsed]));
        finish(&context, self.record, arrived, end);
        match served {
            None => Ok(None),
            Some(Ok(answered)) => answered.map(Some),
            Some(Err(_)) => {
                let text = format!("the time limit of {remaining_time:?} has passed");
                let code = refusal::RefusalCode::TimedOut;
                Err(refusal::RequestRefusal::not_run(code, text).ran(refusal::RanState::Unknown))
            }
        }
    }

    /// Tries upstreams one after the other until one answers or no retry is allowed.
    async fn run_attempts(&mut self) -> Result<http::Response<Bytes>, refusal::RequestRefusal> {
        self.claim_key().await?;
        let service = self.call.service.clone();
        let to_event = |answer| event::EntryEvent::Upstreams(service, answer);
        let mut upstreams = collections::VecDeque::from(self.context.events.ask(to_event).await);
        let mut last = None;
        let mut ran = refusal::RanState::No;
        let mut number = 0;
        let mut late = None;
        while let Some(upstream) = upstreams.pop_front() {
            number += 1;
            let attempt = ids::AttemptId::new(&self.call.request_ids.request, number);
            let result =
                first_success(self.run_attempt(&upstream, &attempt, number), &mut late).await;
            self.record_attempt(&upstream, attempt, &result);
            let fault = match result {
                Ok(answer) => return Ok(self.add_answer_headers(answer.response)),
                Err(fault) => fault,
            };
            ran = ran.or(fault.ran());
            if let Some(pending) = self.late.take() {
                late = Some(pending);
                // The retry budget has already been charged. Only the connection is known to have
                // failed, so this upstream may be tried again over a new connection, after all
                // others.
                upstreams.push_back(upstream);
            } else if !self.may_retry(fault.failure, number).await {
                return Err(failed(&fault, ran));
            }
            last = Some(fault);
        }
        Err(last.map_or_else(|| no_upstream(&self.call.service), |fault| failed(&fault, ran)))
    }

    /// Claims the idempotency key of a call that must run at most once.
    ///
    /// Of all requests that carry the same key, at most one runs. A call without a key is only
    /// guarded against its own retries: at most one of its attempts runs.
    async fn claim_key(&mut self) -> Result<(), refusal::RequestRefusal> {
        let Some(key) = self.call.idempotency_key.as_deref().filter(|_| !self.repeatable) else {
            return Ok(());
        };
        if self.node.checks_keys {
            self.record.notes.push("key: the service itself checks it".to_owned());
            return Ok(());
        }
        let scoped = key_vote::ScopedKey::new(&self.settings.customer, &self.call.service, key);
        let verdict =
            key_claim::claim(&self.context, &scoped, &self.call.request_ids.request).await;
        self.record.notes.push(format!("key: {verdict:?}"));
        self.verdict = Some(verdict.clone());
        match verdict {
            key_vote::VoteVerdict::Run { .. } => Ok(()),
            key_vote::VoteVerdict::Taken(first) => {
                let text = format!("the key belongs to request {first}");
                let refusal =
                    refusal::RequestRefusal::not_run(refusal::RefusalCode::KeyTaken, text);
                Err(refusal.ran(refusal::RanState::Unknown))
            }
            key_vote::VoteVerdict::InDoubt { granted, needed } => {
                let text = format!(
                    "cannot tell whether a call with this key has run: {granted} of {needed} votes"
                );
                let refusal =
                    refusal::RequestRefusal::not_run(refusal::RefusalCode::KeyInDoubt, text);
                Err(refusal.ran(refusal::RanState::Unknown).retry_after(key_vote::MAJORITY_TTL))
            }
        }
    }

    /// Sends the call to one upstream and waits for the complete answer.
    ///
    /// A repeatable call over a connection that had been idle fails early if no answer arrives in
    /// time and another attempt is allowed; its pending answer is then kept in `late`.
    async fn run_attempt(
        &mut self,
        upstream: &fleet_list::UpstreamRecord,
        attempt: &ids::AttemptId,
        number: u32,
    ) -> AttemptResult {
        let now = self.context.clock.now();
        if self.verdict.as_ref().is_some_and(|verdict| !key_claim::permits_run(verdict, now)) {
            let text = "the votes are too old to be used".to_owned();
            return Err(upstream_call::AttemptFault {
                failure: retry::AttemptFailure::NotConnected,
                text,
            });
        }
        let connection_policy = if self.repeatable && !self.new_connections_only {
            http_client::ConnectionPolicy::Pooled
        } else {
            http_client::ConnectionPolicy::Fresh
        };
        let connecting = self.context.pool.connect(upstream.address, connection_policy);
        let connection = connecting.await.map_err(before_answer)?;
        let was_idle = connection.is_reused();
        let sent_at = time::Instant::now();
        let call = self.upstream_call(attempt);
        let context = rc::Rc::clone(&self.context);
        let mut exchange = exchange(context, connection, call, attempt.clone()).boxed_local();
        if !was_idle {
            return exchange.await;
        }
        let wait = self.remaining_time().mul_f64(SILENCE_FRACTION);
        if let Ok(result) = monoio::time::timeout(wait, exchange.as_mut()).await {
            return result;
        }
        if !self.retry_on_new_connection(number).await {
            return exchange.await;
        }
        self.late = Some(exchange);
        let closed = self.context.pool.close_idle_since(upstream.address, sent_at);
        Err(silence_fault(wait, closed))
    }

    /// Asks the director for a retry of a call whose connection delivers no answer. If the retry is
    /// denied, the call keeps waiting on that connection.
    async fn retry_on_new_connection(&mut self, attempts: u32) -> bool {
        // The call was sent and may have run, so it must not count as a failed connection.
        let failure = retry::AttemptFailure::BrokeBeforeAnswer;
        self.new_connections_only = self.may_retry(failure, attempts).await;
        self.new_connections_only
    }

    /// Adds the request's ids to an answer, and `connection: close` if the process is stopping.
    fn add_answer_headers(&self, mut response: http::Response<Bytes>) -> http::Response<Bytes> {
        self.call.request_ids.add_headers(response.headers_mut());
        answer::add_close_header(response.headers_mut(), &self.context.stop);
        response
    }

    /// Builds the call to an upstream from the caller's method, path, headers and body.
    fn upstream_call(&self, attempt: &ids::AttemptId) -> http::Request<Bytes> {
        let head = &self.call.head;
        let path = head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
        let body = self.body.clone();
        let mut call = upstream_call::build_call(
            head.method.clone(),
            path,
            attempt,
            self.remaining_time(),
            body,
        );
        let (own, headers) = (call.headers().clone(), call.headers_mut());
        copy_headers(&head.headers, headers);
        // Headers set by slipturn replace those of the same name from the caller.
        headers.extend(own);
        call
    }

    async fn may_retry(&self, failure: retry::AttemptFailure, attempts: u32) -> bool {
        let failed_attempt = retry::FailedAttempt {
            failure,
            repeatable: self.repeatable,
            attempts,
            max_attempts: self.settings.max_attempts.value,
            time_left: !self.remaining_time().is_zero(),
        };
        let to_event = |answer| event::EntryEvent::Retry(failed_attempt, answer);
        self.context.events.ask(to_event).await == retry::RetryVerdict::Retry
    }

    fn record_attempt(
        &mut self,
        upstream: &fleet_list::UpstreamRecord,
        attempt: ids::AttemptId,
        result: &AttemptResult,
    ) {
        let end = match result {
            Ok(answer) if answer.attempt != attempt => {
                format!("given up: {} answered late", answer.attempt)
            }
            Ok(answer) => format!("answered {}", answer.response.status().as_u16()),
            Err(fault) => fault.text.clone(),
        };
        self.record.attempts.push(decision::AttemptRow {
            attempt,
            target: upstream.name.to_string(),
            candidates: Vec::new(),
            reason: "next in an order that differs by call, nearest first".to_owned(),
            waited_ms: 0,
            end: Some(end),
        });
    }

    fn remaining_time(&self) -> time::Duration {
        self.deadline.since(self.context.clock.now())
    }
}

/// Completes a decision record and sends it to the director.
fn finish(
    context: &request_context::EntryContext,
    mut record: decision::DecisionRecord,
    arrived: units::MonoTime,
    end: String,
) {
    record.total_ms = Some(units::whole_millis(context.clock.now().since(arrived)));
    record.end = Some(end);
    context.events.send(event::EntryEvent::Decision(Box::new(record)));
}

/// Appends all headers except [`UNFORWARDED_HEADERS`].
fn copy_headers(from: &http::HeaderMap, to: &mut http::HeaderMap) {
    for (name, value) in from {
        if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Sends a call over a connection and reads the complete answer.
async fn exchange(
    context: rc::Rc<request_context::EntryContext>,
    connection: http_client::CallConnection,
    call: http::Request<Bytes>,
    attempt: ids::AttemptId,
) -> AttemptResult {
    let mut answer = context.pool.send(connection, call).await.map_err(before_answer)?;
    let body =
        answer.read_full_body(context.local.limits.max_answer.0).await.map_err(before_answer)?;
    upstream_call::check_head(&answer.head, &attempt)?;
    let mut response = http::Response::new(body);
    *response.status_mut() = answer.head.status;
    copy_headers(&answer.head.headers, response.headers_mut());
    Ok(AttemptAnswer { attempt, response })
}

/// Returns the result of `attempt`, or the answer of the earlier attempt `late` if that succeeds
/// first.
async fn first_success(
    attempt: impl Future<Output = AttemptResult>,
    late: &mut Option<LateAnswer>,
) -> AttemptResult {
    let Some(waiting) = late else {
        return attempt.await;
    };
    match future::select(pin::pin!(attempt), waiting).await {
        future::Either::Left((result, _)) => result,
        future::Either::Right((Ok(answer), _)) => Ok(answer),
        future::Either::Right((Err(_), attempt)) => {
            *late = None;
            attempt.await
        }
    }
}

fn before_answer(error: http_client::CallError) -> upstream_call::AttemptFault {
    upstream_call::AttemptFault::before_answer(&error)
}

/// Failure of an attempt whose reused connection delivered no complete answer within `wait`.
/// `closed` is the number of other idle connections to the upstream that were closed as well.
fn silence_fault(wait: time::Duration, closed: usize) -> upstream_call::AttemptFault {
    let text = format!(
        "no whole answer within {wait:?} over a connection that had rested; {closed} more closed"
    );
    upstream_call::AttemptFault { failure: retry::AttemptFailure::BrokeBeforeAnswer, text }
}

/// Refusal of a call whose last attempt failed with `fault`; `ran` covers all attempts.
fn failed(fault: &upstream_call::AttemptFault, ran: refusal::RanState) -> refusal::RequestRefusal {
    let code = match fault.failure {
        retry::AttemptFailure::NotConnected | retry::AttemptFailure::SaidNotRun => {
            refusal::RefusalCode::NoUpstream
        }
        _ => refusal::RefusalCode::UpstreamFailed,
    };
    let refusal = refusal::RequestRefusal::not_run(code, fault.text.clone()).ran(ran);
    refusal.retry_after(time::Duration::from_secs(1))
}

fn unknown_service(service: &ids::ServiceId) -> refusal::RequestRefusal {
    let text = format!("service '{service}' is not known");
    refusal::RequestRefusal::not_run(refusal::RefusalCode::NotFound, text)
}

fn no_upstream(service: &ids::ServiceId) -> refusal::RequestRefusal {
    let text = format!("service '{service}' has no live upstream");
    let code = refusal::RefusalCode::NoUpstream;
    refusal::RequestRefusal::not_run(code, text).retry_after(time::Duration::from_secs(1))
}
