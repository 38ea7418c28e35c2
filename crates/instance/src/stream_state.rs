//! What stays of a streamed request between its attempts.

use bytes::{Bytes, BytesMut};
use slipturn_core::{ids, refusal, retry_need, send_gate, units};
use slipturn_net::h1;

use crate::{
    caller_connection, context, event_stream, incoming_call, permit_request, request_record,
    upstream_attempt,
};

/// What stays of a stream between attempts.
#[derive(Default)]
pub(crate) struct StreamState {
    /// Whether the caller has the head.
    pub(crate) begun: bool,
    /// Id of the last event that the caller has.
    pub(crate) last_event: Option<String>,
    /// Engines that must not be used again.
    pub(crate) excluded: Vec<ids::UpstreamId>,
    /// Attempts that reached an engine.
    pub(crate) sent: u32,
    /// Whether the next attempt has been taken from the retry budget already.
    pub(crate) retry_taken: bool,
    /// Whether an attempt ran, as far as is known; nothing while none reached an engine.
    pub(crate) ran: Option<refusal::RanState>,
    /// An engine's own failure, for the case that nothing better comes.
    pub(crate) failure: Option<(Box<http::response::Parts>, Bytes)>,
    /// When the last event came.
    pub(crate) last_at: Option<units::MonoTime>,
}

impl StreamState {
    /// Passes whole events on, after the head where it is not sent yet.
    pub(crate) async fn send(
        &mut self,
        reply: &mut caller_connection::CallerReply<'_>,
        head: &http::response::Parts,
        events: &BytesMut,
    ) -> Result<(), h1::MessageError> {
        if self.begun {
            return reply.events(events).await;
        }
        self.begun = true;
        reply.begin(head, events).await
    }

    /// Notes events that have come.
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
            if let Some(id) = context.border.event_id(event) {
                self.last_event = Some(id);
            }
        }
    }

    /// Whether its next attempt may find out whether an engine takes work again after its rest.
    pub(crate) fn turn(&self, call: &incoming_call::IncomingCall) -> send_gate::ProbePermission {
        let made = self.excluded.len().max(self.sent as usize);
        send_gate::ProbePermission::of(made, call.route.max_attempts)
    }

    /// Whether any engine is left for the request, besides one that has it; where there is none,
    /// waiting for a place is useless.
    pub(crate) fn has_engine(
        &self,
        context: &context::InstanceContext,
        call: &incoming_call::IncomingCall,
        used: Option<&ids::UpstreamId>,
    ) -> bool {
        let fleet = context.fleet.borrow();
        let open = fleet.list.open(context.now(), &call.service, self.turn(call));
        let mut open = open.into_iter().map(|entry| &entry.name);
        open.any(|name| Some(name) != used && !self.excluded.contains(name))
    }

    /// What a retry saves that saves `otherwise` where nothing has reached the caller.
    pub(crate) fn retry_need(&self, otherwise: retry_need::RetryNeed) -> retry_need::RetryNeed {
        if self.begun { retry_need::RetryNeed::Begun } else { otherwise }
    }

    /// Whether a silent `engine`, the `reached`th that got the request, is given up: one within
    /// `reach` may go on, and the retry budget has room. The retry is taken then.
    pub(crate) async fn give_up(
        &mut self,
        context: &context::InstanceContext,
        call: &incoming_call::IncomingCall,
        engine: &ids::UpstreamId,
        reached: u32,
        reach: upstream_attempt::RetryReach,
    ) -> bool {
        let beside = (reach == upstream_attempt::RetryReach::OtherUpstream).then_some(engine);
        let allowed = call.route.repeat.allows_repeat()
            && reached < call.route.max_attempts
            && context.grants_places()
            && self.has_engine(context, call, beside);
        let need = self.retry_need(retry_need::RetryNeed::Early);
        self.retry_taken =
            allowed && permit_request::obtain_retry(context, &call.service, need).await;
        // A failure that an engine gave is better than our own at the end of the time.
        let in_hand = self.failure.is_some() && !self.begun;
        self.retry_taken || (in_hand && reach == upstream_attempt::RetryReach::OtherUpstream)
    }
}
