//! State of a streamed request that persists across its attempts.

use std::time;

use bytes::{Bytes, BytesMut};
use slipturn_core::{ids, refusal, retry_need, send_gate, units};
use slipturn_net::h1;

use crate::{
    caller_connection, context, event_stream, incoming_call, permit_request, request_record,
    stop_gate, upstream_attempt,
};

/// State of a stream that persists across attempts.
#[derive(Default)]
pub(crate) struct StreamState {
    /// Whether the head was sent to the caller.
    pub(crate) begun: bool,
    /// Id of the event after which the stream resumes.
    pub(crate) last_event: Option<String>,
    /// Engines that must not be used again.
    pub(crate) excluded: Vec<ids::UpstreamId>,
    /// Number of attempts that may have reached an engine.
    pub(crate) sent: u32,
    /// Whether a retry has already been taken from the budget for the next attempt.
    pub(crate) retry_taken: bool,
    /// Whether an attempt ran, as far as known; `None` if no engine can have run one.
    pub(crate) ran: Option<refusal::RanState>,
    /// Failure answer of an engine, forwarded if no later attempt succeeds.
    pub(crate) failure: Option<(Box<http::response::Parts>, Bytes)>,
    /// When the last event was received.
    pub(crate) last_at: Option<units::MonoTime>,
    /// How long the answer that was given up last had been silent; zero if its connection broke.
    pub(crate) silent: time::Duration,
}

impl StreamState {
    /// Forwards complete events, preceded by the head if it was not sent yet.
    pub(crate) async fn send(
        &mut self,
        reply: &mut caller_connection::CallerReply<'_>,
        head: &http::response::Parts,
        events: &BytesMut,
    ) -> Result<(), h1::MessageError> {
        if self.begun {
            return reply.send_events(events).await;
        }
        self.begun = true;
        reply.start_stream(head, events).await
    }

    /// Records received events in the state and in the request's record.
    pub(crate) fn note_events(
        &mut self,
        context: &context::InstanceContext,
        call: &incoming_call::IncomingCall,
        record: &mut request_record::RequestRecord,
        events: &BytesMut,
    ) {
        let now = context.now();
        if record.first_ms.is_none() {
            record.first_ms = Some(now.since(call.arrived).as_millis() as u64);
        }
        if let Some(last) = self.last_at {
            record.pause_ms = record.pause_ms.max(now.since(last).as_millis() as u64);
        }
        self.last_at = Some(now);
        for event in event_stream::split_events(events) {
            record.events += 1;
            if let Some(id) = context.adapter.event_id(event) {
                self.last_event = Some(id);
            }
        }
    }

    /// Returns whether the next attempt may probe an engine after its backoff.
    pub(crate) fn probe_permission(
        &self,
        call: &incoming_call::IncomingCall,
    ) -> send_gate::ProbePermission {
        let attempts = self.excluded.len().max(self.sent as usize);
        send_gate::ProbePermission::of(attempts, call.route.max_attempts)
    }

    /// Returns whether an engine other than `used` is left for the request; otherwise waiting for a place
    /// is useless.
    pub(crate) fn has_engine(
        &self,
        context: &context::InstanceContext,
        call: &incoming_call::IncomingCall,
        used: Option<&ids::UpstreamId>,
    ) -> bool {
        let fleet = context.fleet.borrow();
        let open = fleet.list.open(context.now(), &call.service, self.probe_permission(call));
        let mut open = open.into_iter().map(|entry| &entry.name);
        open.any(|name| Some(name) != used && !self.excluded.contains(name))
    }

    /// Returns whether the request may still obtain a place if it requests one now; always true unless a graceful stop
    /// has begun.
    fn may_send_again(
        &self,
        context: &context::InstanceContext,
        call: &incoming_call::IncomingCall,
    ) -> bool {
        let last = stop_gate::last_send_at(context, call, self.last_event.is_some());
        last.is_none_or(|last| context.now() + context::MIN_PLACE_TIME < last)
    }

    /// Returns the need for a retry: `otherwise`, unless part of the answer was sent to the caller.
    pub(crate) fn retry_need(&self, otherwise: retry_need::RetryNeed) -> retry_need::RetryNeed {
        if self.begun { retry_need::RetryNeed::Begun } else { otherwise }
    }

    /// Returns whether a silent `engine` is given up, which takes a retry from the budget or uses an
    /// earlier failure answer. `sent_attempts` is the number of attempts that reached an engine,
    /// including the current one; `reach` selects the engines that may continue the request.
    pub(crate) async fn give_up(
        &mut self,
        context: &context::InstanceContext,
        call: &incoming_call::IncomingCall,
        engine: &ids::UpstreamId,
        sent_attempts: u32,
        reach: upstream_attempt::RetryReach,
    ) -> bool {
        let other_than = (reach == upstream_attempt::RetryReach::OtherUpstream).then_some(engine);
        let allowed = call.route.repeat.allows_repeat()
            && sent_attempts < call.route.max_attempts
            && self.may_send_again(context, call)
            && self.has_engine(context, call, other_than);
        let need = self.retry_need(retry_need::RetryNeed::Early);
        self.retry_taken =
            allowed && permit_request::obtain_retry(context, &call.service, need).await;
        // An engine's failure answer now is better than a refusal at the end of the time limit.
        let has_fallback = self.failure.is_some() && !self.begun;
        self.retry_taken || (has_fallback && reach == upstream_attempt::RetryReach::OtherUpstream)
    }
}
