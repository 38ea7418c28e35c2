//! Serving of a model request, from the received body to the final answer.

use std::{rc, time};

use bytes::Bytes;
use slipturn_core::{decision, entry_router, histogram, ids, refusal, retry, units};
use slipturn_net::{http_client, http_server};

use crate::{
    answer, budget_step, event, place, prompt, request_context, upstream_call,
    upstream_call::EngineCommands as _,
};

/// A model request as sent by the caller, without its body.
pub struct ModelCall {
    /// Ids of the request, assigned by slipturn and sent by the caller.
    pub request_ids: answer::RequestIds,
    /// API key of the caller.
    pub key: String,
    /// Time limit requested by the caller; it can shorten the limit in the settings, not extend it.
    pub requested_limit: Option<time::Duration>,
    /// Path of the request, which is also the path on the engine.
    pub path: String,
    /// When the last byte of the body had arrived.
    pub arrived: units::MonoTime,
}

/// How a request ended, and whether its connection can be used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete answer or refusal was sent; the connection can serve another request.
    Answered,
    /// The answer was truncated, the caller is gone, or the request's body was not read completely;
    /// the connection must be closed.
    Close,
}

pub(crate) enum AttemptEnd {
    /// The complete answer was sent to the caller.
    Complete,
    /// The caller closed its connection.
    CallerGone,
    /// The time limit of the request has passed.
    TimedOut,
    /// The attempt failed; another one may follow.
    Failed(upstream_call::AttemptFault),
}

/// A model request that has been admitted, with the state of its attempts.
pub(crate) struct ModelRequest {
    pub(crate) context: rc::Rc<request_context::EntryContext>,
    pub(crate) call: ModelCall,
    pub(crate) admitted: AdmittedRequest,
    pub(crate) record: decision::DecisionRecord,
    /// Engines of failed attempts, which are left out of the candidates.
    pub(crate) tried: Vec<ids::EngineId>,
    /// Whether any attempt has run so far, combined from the failures of all attempts. Never
    /// returns to `No` from `Unknown` or `Yes`.
    pub(crate) ran: refusal::RanState,
    /// Intervals between pieces of the answer, sent to the director when the request ends.
    pub(crate) intervals: Vec<time::Duration>,
    /// When the first piece of a streamed answer was forwarded. Afterwards the request gets no
    /// further attempt. Stays `None` for an answer that is not streamed.
    pub(crate) first_token: Option<units::MonoTime>,
}

/// Admits a model request, makes its attempts, and sends the answer or a refusal to the caller.
pub async fn serve(
    context: rc::Rc<request_context::EntryContext>,
    connection: &mut http_server::ServerConnection,
    call: ModelCall,
    body: Bytes,
) -> Result<RequestEnd, http_server::ServeError> {
    let request_ids = call.request_ids.clone();
    let mut record = decision::DecisionRecord::new(
        request_ids.request.clone(),
        request_ids.caller.clone(),
        call.path.clone(),
    );
    match admit(&context, &call, body, &mut record).await {
        Ok(admitted) => {
            let request = ModelRequest {
                admitted,
                record,
                tried: Vec::new(),
                ran: refusal::RanState::No,
                intervals: Vec::new(),
                first_token: None,
                context,
                call,
            };
            request.run(connection).await
        }
        Err(refusal) => {
            let refusal = context.spread_retry_after(refusal).await;
            record.end = Some(format!("refused: {}", refusal.message));
            record.total_ms = Some(units::whole_millis(context.clock.now().since(call.arrived)));
            context.events.send(event::EntryEvent::Decision(Box::new(record)));
            let refused = answer::refusal_answer(&request_ids, &refusal);
            connection.respond(refused).await?;
            Ok(RequestEnd::Answered)
        }
    }
}

/// Data of a request whose settings are resolved and whose tokens are charged to the customer's
/// budget.
pub(crate) struct AdmittedRequest {
    pub(crate) plan_query: entry_router::PlanQuery,
    pub(crate) grant: entry_router::RequestGrant,
    pub(crate) body: Bytes,
    pub(crate) prefix: u64,
    pub(crate) prefix_tokens: units::TokenCount,
    pub(crate) stream: bool,
    pub(crate) deadline: units::MonoTime,
}

/// Parses the body, resolves the settings and takes the tokens from the customer's budget.
async fn admit(
    context: &request_context::EntryContext,
    call: &ModelCall,
    body: Bytes,
    record: &mut decision::DecisionRecord,
) -> Result<AdmittedRequest, refusal::RequestRefusal> {
    let parsed = prompt::ParsedRequest::read(&body)?;
    drop(body);
    let plan_query = parsed.plan_query(call.key.clone(), call.requested_limit);
    let query = plan_query.clone();
    let grant = context.events.ask(|answer| event::EntryEvent::Plan(query, answer)).await?;
    record.set_settings(&grant.settings);
    record.prompt_tokens = plan_query.prompt.0;
    record.list_revision = grant.list_revision;
    budget_step::take(context, &grant, plan_query.prompt + grant.output, record).await?;
    let deadline = call.arrived + grant.settings.time_limit.value.0;
    let (prefix, prefix_tokens, stream) = (parsed.prefix, parsed.prefix_tokens, parsed.stream);
    let body = parsed.into_body(grant.output);
    Ok(AdmittedRequest { plan_query, grant, body, prefix, prefix_tokens, stream, deadline })
}

impl ModelRequest {
    /// Runs the attempts and sends the refusal or error event if they fail.
    async fn run(
        mut self,
        connection: &mut http_server::ServerConnection,
    ) -> Result<RequestEnd, http_server::ServeError> {
        let refusal = match self.run_attempts(connection).await {
            Ok(end) => {
                let outcome = if end == RequestEnd::Answered { "answered" } else { "caller gone" };
                self.finish(outcome.to_owned());
                return Ok(end);
            }
            Err(refusal) => self.context.spread_retry_after(refusal).await,
        };
        let started = self.first_token.is_some();
        let outcome = if started { "cut" } else { "refused" };
        self.finish(format!("{outcome}: {} (ran: {})", refusal.message, refusal.ran.label()));
        if started && self.admitted.stream {
            // A caller that reads the stream to its end finds an error event and no `[DONE]`.
            connection.send_piece(&answer::error_event(&refusal)).await?;
            connection.finish_stream().await?;
            return Ok(RequestEnd::Close);
        }
        let refused = answer::refusal_answer(&self.call.request_ids, &refusal);
        connection.respond(refused).await?;
        Ok(RequestEnd::Answered)
    }

    /// Makes attempts until one succeeds, the caller leaves, or no retry is allowed.
    async fn run_attempts(
        &mut self,
        connection: &mut http_server::ServerConnection,
    ) -> Result<RequestEnd, refusal::RequestRefusal> {
        let mut number = 0;
        loop {
            number += 1;
            let place_request = self.place_request(number);
            let finding = place::find(&self.context, &place_request);
            let limited = monoio::time::timeout(self.remaining_time(), finding);
            let Some(found) = connection.while_connected(limited).await else {
                return Ok(RequestEnd::Close);
            };
            let found = found.unwrap_or_else(|_| Err(no_place_in_time()));
            // Earlier attempts may have run although this one found no place on an engine, so the
            // refusal also reports the last failure.
            let place = found.map_err(|refusal| self.add_last_failure(refusal))?;
            self.measure_wait(&place);
            let end = self.run_attempt(connection, &place, &place_request.attempt).await;
            self.record_attempt(&place, &end);
            match end {
                AttemptEnd::Complete => {
                    place.free_members().await;
                    return Ok(RequestEnd::Answered);
                }
                AttemptEnd::CallerGone => {
                    place.cancel();
                    return Ok(RequestEnd::Close);
                }
                AttemptEnd::TimedOut => {
                    place.cancel();
                    return Err(self.timed_out());
                }
                AttemptEnd::Failed(fault) => {
                    if fault.failure.definitely_not_run() {
                        place.free_members().await;
                    } else {
                        place.cancel();
                    }
                    self.handle_fault(&place, &fault, number).await?;
                }
            }
        }
    }

    /// Leaves the engines of a failed attempt out of the candidates for a while, and decides
    /// whether another attempt follows.
    async fn handle_fault(
        &mut self,
        place: &place::HeldPlace,
        fault: &upstream_call::AttemptFault,
        attempts: u32,
    ) -> Result<(), refusal::RequestRefusal> {
        self.ran = self.ran.or(fault.ran());
        for member in &place.members {
            self.tried.push(member.engine.clone());
            self.context.events.send(event::EntryEvent::Eject(member.engine.clone()));
        }
        let failed_attempt = retry::FailedAttempt {
            failure: fault.failure,
            repeatable: true,
            attempts,
            max_attempts: self.admitted.grant.settings.max_attempts.value,
            time_left: !self.remaining_time().is_zero(),
        };
        let to_event = |answer| event::EntryEvent::Retry(failed_attempt, answer);
        match self.context.events.ask(to_event).await {
            retry::RetryVerdict::Retry => {
                self.record.notes.push(format!("retry: {}", fault.text));
                Ok(())
            }
            retry::RetryVerdict::GiveUp(reason) => {
                self.record.notes.push(format!("no retry: {reason}"));
                let code = refusal::RefusalCode::UpstreamFailed;
                let refusal = refusal::RequestRefusal::not_run(code, fault.text.clone());
                Err(refusal.ran(self.ran).retry_after(time::Duration::from_secs(1)))
            }
        }
    }

    /// Adds the failure of the last attempt, if there was one, to `refusal`, which states why no
    /// place was found for the next attempt. The result also states whether an attempt may have
    /// run.
    fn add_last_failure(&self, refusal: refusal::RequestRefusal) -> refusal::RequestRefusal {
        let last = self.record.attempts.last().and_then(|row| row.end.clone());
        match last {
            Some(last) => refusal::RequestRefusal {
                code: refusal::RefusalCode::UpstreamFailed,
                ran: self.ran,
                message: format!("{last}; then {}", refusal.message),
                ..refusal
            },
            None => refusal,
        }
    }

    /// Sends the request to the engine on which the attempt has its place and forwards the answer.
    async fn run_attempt(
        &mut self,
        connection: &mut http_server::ServerConnection,
        place: &place::HeldPlace,
        attempt: &ids::AttemptId,
    ) -> AttemptEnd {
        if let Err(fault) = self.reserve_members(place, attempt).await {
            return AttemptEnd::Failed(fault);
        }
        let context = rc::Rc::clone(&self.context);
        let call = self.engine_call(place, attempt);
        let connection_policy = http_client::ConnectionPolicy::Pooled;
        let calling = context.pool.call(place.engine().address, connection_policy, call);
        let limited = monoio::time::timeout(self.remaining_time(), calling);
        let mut answer = match connection.while_connected(limited).await {
            None => return AttemptEnd::CallerGone,
            Some(Err(_)) => return AttemptEnd::TimedOut,
            Some(Ok(Err(error))) => {
                return AttemptEnd::Failed(upstream_call::AttemptFault::before_answer(&error));
            }
            Some(Ok(Ok(answer))) => answer,
        };
        if let Err(fault) = upstream_call::check_head(&answer.head, attempt) {
            return AttemptEnd::Failed(fault);
        }
        if answer.head.status.is_server_error() {
            let text = format!("the engine answered {}", answer.head.status.as_u16());
            let failure = retry::AttemptFailure::BrokeBeforeAnswer;
            return AttemptEnd::Failed(upstream_call::AttemptFault { failure, text });
        }
        if self.admitted.stream && answer.head.status.is_success() {
            self.forward_stream(connection, &mut answer).await
        } else {
            self.forward_body(connection, &mut answer).await
        }
    }

    /// Reserves memory on all members of a group but the first, before the prompt is sent to the
    /// first.
    async fn reserve_members(
        &self,
        place: &place::HeldPlace,
        attempt: &ids::AttemptId,
    ) -> Result<(), upstream_call::AttemptFault> {
        for member in place.members.iter().skip(1) {
            let tokens = place.member_memory;
            let reserved = self.context.pool.reserve(member.address, attempt.clone(), tokens).await;
            if let Err(fault) = reserved {
                // The prompt has not been sent to any engine, so the attempt counts as not run.
                let failure = retry::AttemptFailure::SaidNotRun;
                return Err(upstream_call::AttemptFault { failure, ..fault });
            }
        }
        Ok(())
    }

    /// Builds the call to the engine, with the priority and the other members of a group.
    fn engine_call(
        &self,
        place: &place::HeldPlace,
        attempt: &ids::AttemptId,
    ) -> http::Request<Bytes> {
        let (path, body) = (&self.call.path, self.admitted.body.clone());
        let mut call = upstream_call::build_call(
            http::Method::POST,
            path,
            attempt,
            self.remaining_time(),
            body,
        );
        upstream_call::set_header(&mut call, "content-type", "application/json");
        if let Some(priority) = place.priority {
            let priority = priority.to_string();
            upstream_call::set_header(&mut call, upstream_call::PRIORITY_HEADER, &priority);
        }
        if place.members.len() > 1 {
            let peers: Vec<_> =
                place.members.iter().skip(1).map(|peer| peer.address.to_string()).collect();
            upstream_call::set_header(&mut call, upstream_call::PEERS_HEADER, &peers.join(","));
        }
        call
    }

    fn place_request(&self, number: u32) -> place::PlaceRequest {
        place::PlaceRequest {
            attempt: ids::AttemptId::new(&self.call.request_ids.request, number),
            plan_query: self.admitted.plan_query.clone(),
            grant: self.admitted.grant.clone(),
            prefix: self.admitted.prefix,
            prefix_tokens: self.admitted.prefix_tokens,
            tried: self.tried.clone(),
            deadline: self.admitted.deadline,
        }
    }

    /// Time until the deadline of the request, or zero if it has passed.
    pub(crate) fn remaining_time(&self) -> time::Duration {
        self.admitted.deadline.since(self.context.clock.now())
    }

    /// Builds the fault of an attempt whose streamed answer failed or ended early. Its class allows
    /// another attempt only if no piece of the answer was forwarded.
    pub(crate) fn broken_answer(&self, text: &str) -> upstream_call::AttemptFault {
        let failure = match self.first_token {
            Some(_) => retry::AttemptFailure::BrokeMidAnswer,
            None => retry::AttemptFailure::BrokeBeforeAnswer,
        };
        upstream_call::AttemptFault { failure, text: text.to_owned() }
    }

    fn timed_out(&self) -> refusal::RequestRefusal {
        let limit = self.admitted.grant.settings.time_limit.value;
        let text = format!("the time limit of {limit} has passed");
        let ran = match self.first_token {
            Some(_) => refusal::RanState::Yes,
            None => refusal::RanState::Unknown,
        };
        refusal::RequestRefusal::not_run(refusal::RefusalCode::TimedOut, text).ran(ran)
    }

    /// Adds an attempt and its end to the decision record.
    fn record_attempt(&mut self, place: &place::HeldPlace, end: &AttemptEnd) {
        let mut row = place.row.clone();
        row.end = Some(match end {
            AttemptEnd::Complete => "whole answer".to_owned(),
            AttemptEnd::CallerGone => "caller gone, cancelled".to_owned(),
            AttemptEnd::TimedOut => "time limit passed, cancelled".to_owned(),
            AttemptEnd::Failed(fault) => fault.text.clone(),
        });
        self.record.attempts.push(row);
    }

    /// Records the measurements of an ended request and sends its decision record to the director.
    fn finish(&mut self, end: String) {
        let total = self.context.clock.now().since(self.call.arrived);
        self.measure(histogram::MeasureKind::Total, total);
        let intervals = std::mem::take(&mut self.intervals);
        self.measure_all(histogram::MeasureKind::TokenInterval, intervals);
        self.record.total_ms = Some(units::whole_millis(total));
        self.record.end = Some(end);
        let record = Box::new(self.record.clone());
        self.context.events.send(event::EntryEvent::Decision(record));
    }
}

/// Refusal of a request for which no place on an engine was found within its time limit.
fn no_place_in_time() -> refusal::RequestRefusal {
    let code = refusal::RefusalCode::Overloaded;
    refusal::RequestRefusal::not_run(code, "no engine took it within its time limit")
        .retry_after(time::Duration::from_secs(1))
}
