//! One call of a plain service, from its read body to its final answer.

use std::{collections, pin, rc, time};

use bytes::Bytes;
use futures::{FutureExt as _, future};
use slipturn_core::{
    decision, fleet_list, histogram, ids, key_vote, refusal, retry, settings, settings_resolve,
    units,
};
use slipturn_net::{http_client, http_server};

use crate::{answer, event, key_claim, model_request::RequestEnd, request_context, upstream_call};

/// Headers of a caller that concern its own connection, or are slipturn's to read.
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

/// Part of the time left for which a repeatable call waits at a connection that had rested, before
/// it goes out anew: under a half, so that the new one has at least as long. As on the platform.
const SILENCE_FRACTION: f64 = 0.45;

/// What a caller sent.
pub struct ServiceCall {
    /// Its ids.
    pub request_ids: answer::RequestIds,
    /// Its key.
    pub key: String,
    /// Its own time limit.
    pub requested_limit: Option<time::Duration>,
    /// Key for what must not run twice.
    pub idempotency: Option<String>,
    /// The service called.
    pub service: ids::ServiceId,
    /// Method, headers and the path after the service's name.
    pub head: http::request::Parts,
    /// When its last body byte had arrived.
    pub arrived: units::MonoTime,
}

/// An attempt's answer, or why there is none.
type AttemptResult = Result<AttemptAnswer, upstream_call::AttemptFault>;
/// The answer of an attempt after which the call has gone out anew.
type LateAnswer = future::LocalBoxFuture<'static, AttemptResult>;

/// A whole answer, and the attempt whose it is.
struct AttemptAnswer {
    attempt: ids::AttemptId,
    whole: http::Response<Bytes>,
}

/// A call being served.
struct ServiceRequest {
    context: rc::Rc<request_context::EntryContext>,
    call: ServiceCall,
    node: settings::ServiceNode,
    settings: settings_resolve::ResolvedSettings,
    repeatable: bool,
    body: Bytes,
    deadline: units::MonoTime,
    record: decision::DecisionRecord,
    verdict: Option<key_vote::VoteVerdict>,
    /// Whether a connection has fallen silent under it. From then on it takes new ones, so that no
    /// call meets two silent connections.
    new_connections_only: bool,
    /// What that connection may still bring. The upstream may only be slow.
    late: Option<LateAnswer>,
}

/// Serves a call of a plain service.
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
    context.events.send_to(event::EntryEvent::CountRequest);
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
    /// `None` when the caller has gone.
    async fn run(
        mut self,
        connection: &mut http_server::ServerConnection,
    ) -> Result<Option<http::Response<Bytes>>, refusal::RequestRefusal> {
        let context = rc::Rc::clone(&self.context);
        let arrived = self.call.arrived;
        let remaining_time = self.remaining_time();
        let serving = monoio::time::timeout(remaining_time, self.attempts());
        let served = connection.while_present(serving).await;
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
        let spent = context.clock.now().since(arrived);
        let total = histogram::MeasureKind::Total;
        context.events.send_to(event::EntryEvent::Measure(total, series, vec![spent]));
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

    async fn attempts(&mut self) -> Result<http::Response<Bytes>, refusal::RequestRefusal> {
        self.claim_key().await?;
        let service = self.call.service.clone();
        let ask = |answer| event::EntryEvent::Upstreams(service, answer);
        let mut upstreams = collections::VecDeque::from(self.context.events.ask(ask).await);
        let mut last = None;
        let mut ran = refusal::RanState::No;
        let mut number = 0;
        let mut late = None;
        while let Some(upstream) = upstreams.pop_front() {
            number += 1;
            let attempt = ids::AttemptId::new(&self.call.request_ids.request, number);
            let result = first_success(self.attempt(&upstream, &attempt, number), &mut late).await;
            self.record_attempt(&upstream, attempt, &result);
            let fault = match result {
                Ok(answer) => return Ok(self.add_answer_headers(answer.whole)),
                Err(fault) => fault,
            };
            ran = ran.or(fault.ran());
            if let Some(silent) = self.late.take() {
                late = Some(silent);
                // Its retry has been taken. Only a connection has failed; where no other upstream
                // is left, this one takes the call over a new connection.
                upstreams.push_back(upstream);
            } else if !self.may_retry(fault.failure, number).await {
                return Err(failed(&fault, ran));
            }
            last = Some(fault);
        }
        Err(last.map_or_else(|| no_upstream(&self.call.service), |fault| failed(&fault, ran)))
    }

    /// Without a key, a call that must run at most once has this one request only. With a key, all
    /// requests that carry it have one run between them.
    async fn claim_key(&mut self) -> Result<(), refusal::RequestRefusal> {
        let Some(key) = self.call.idempotency.as_deref().filter(|_| !self.repeatable) else {
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

    async fn attempt(
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
        let connection_use = if self.repeatable && !self.new_connections_only {
            http_client::ConnectionUse::Pooled
        } else {
            http_client::ConnectionUse::Fresh
        };
        let connecting = self.context.pool.connect(upstream.address, connection_use);
        let connection = connecting.await.map_err(before_answer)?;
        let was_idle = connection.has_rested();
        let sent = time::Instant::now();
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
        let closed = self.context.pool.close_rested(upstream.address, sent);
        Err(silent(wait, closed))
    }

    /// Takes a retry for a call whose connection is silent. Without one the call waits on.
    async fn retry_on_new_connection(&mut self, attempts: u32) -> bool {
        // What was written may have run.
        let failure = retry::AttemptFailure::BrokeBeforeAnswer;
        self.new_connections_only = self.may_retry(failure, attempts).await;
        self.new_connections_only
    }

    fn add_answer_headers(&self, mut whole: http::Response<Bytes>) -> http::Response<Bytes> {
        self.call.request_ids.add_headers(whole.headers_mut());
        answer::add_close_header(whole.headers_mut(), &self.context.stop);
        whole
    }

    fn upstream_call(&self, attempt: &ids::AttemptId) -> http::Request<Bytes> {
        let head = &self.call.head;
        let path = head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
        let body = self.body.clone();
        let mut call =
            upstream_call::call(head.method.clone(), path, attempt, self.remaining_time(), body);
        let (own, headers) = (call.headers().clone(), call.headers_mut());
        copy_headers(&head.headers, headers);
        // What slipturn itself states is not for a caller to overwrite.
        headers.extend(own);
        call
    }

    async fn may_retry(&self, failure: retry::AttemptFailure, attempts: u32) -> bool {
        let question = retry::FailedAttempt {
            failure,
            repeatable: self.repeatable,
            attempts,
            max_attempts: self.settings.max_attempts.value,
            time_left: !self.remaining_time().is_zero(),
        };
        let ask = |answer| event::EntryEvent::Retry(question, answer);
        self.context.events.ask(ask).await == retry::RetryVerdict::Retry
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
            Ok(answer) => format!("answered {}", answer.whole.status().as_u16()),
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

fn finish(
    context: &request_context::EntryContext,
    mut record: decision::DecisionRecord,
    arrived: units::MonoTime,
    end: String,
) {
    record.total_ms = Some(units::whole_millis(context.clock.now().since(arrived)));
    record.end = Some(end);
    context.events.send_to(event::EntryEvent::Decision(Box::new(record)));
}

fn copy_headers(from: &http::HeaderMap, to: &mut http::HeaderMap) {
    for (name, value) in from {
        if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Sends a call over a connection taken for it and reads its whole answer.
async fn exchange(
    context: rc::Rc<request_context::EntryContext>,
    connection: http_client::CallConnection,
    call: http::Request<Bytes>,
    attempt: ids::AttemptId,
) -> AttemptResult {
    let mut answer = context.pool.send(connection, call).await.map_err(before_answer)?;
    let body = answer.read_whole(context.local.limits.max_answer.0).await.map_err(before_answer)?;
    upstream_call::check_head(&answer.head, &attempt)?;
    let mut whole = http::Response::new(body);
    *whole.status_mut() = answer.head.status;
    copy_headers(&answer.head.headers, whole.headers_mut());
    Ok(AttemptAnswer { attempt, whole })
}

/// The end of an attempt, or the good answer of an earlier one if that comes first.
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

/// The fault of a call that goes out anew, as its connection brought no answer for `wait`.
fn silent(wait: time::Duration, closed: usize) -> upstream_call::AttemptFault {
    let text = format!(
        "no whole answer within {wait:?} over a connection that had rested; {closed} more closed"
    );
    upstream_call::AttemptFault { failure: retry::AttemptFailure::BrokeBeforeAnswer, text }
}

/// The last attempt's fault, and whether any attempt ran.
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
