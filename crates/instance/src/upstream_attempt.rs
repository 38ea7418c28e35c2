//! Sends a request to an upstream, and reads and checks the head of the answer.

use std::{net, rc, time};

use bytes::{Bytes, BytesMut};
use futures::future;
use slipturn_core::{connection_silence, ids, quota_permit, retry, units, upstream_notice};
use slipturn_net::h1;

use crate::{
    adapter, answer_end, context, incoming_call, upstream_connect, upstream_ends, upstream_gate,
    upstream_links, upstream_pool, upstream_signals, upstream_silence, upstream_starts,
};

/// How long to wait for an answer after writing the request failed: the upstream may have answered
/// before it stopped reading.
const EARLY_ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(50);

/// A failed attempt without an answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptFault {
    /// Kind of the failure, which shows whether the request may have run.
    pub failure: retry::AttemptFailure,
    /// Address of the upstream that caused a refusal, if another one than the upstream that refused.
    pub at_fault: Option<net::SocketAddrV4>,
    /// Whether a reused connection was silent, so that the upstream itself may be healthy.
    pub reused_silent: bool,
    /// Whether a link of this process may have failed rather than the upstream.
    pub link_doubt: bool,
    /// Description of the failure, for the request's record and the refusal.
    pub text: String,
}

impl AttemptFault {
    pub(crate) fn new(failure: retry::AttemptFailure, text: impl ToString) -> Self {
        let text = text.to_string();
        Self { failure, at_fault: None, reused_silent: false, link_doubt: false, text }
    }

    /// Creates the fault of a request whose upstream was restarted before it answered; the request may
    /// have run before the restart.
    pub(crate) fn restarted() -> Self {
        Self::broke(upstream_starts::RESTARTED)
    }

    fn broke(text: impl ToString) -> Self {
        Self::new(retry::AttemptFailure::BrokeBeforeAnswer, text)
    }
}

/// Where an attempt is sent, and what it carries for the upstream.
#[derive(Debug, Clone)]
pub struct AttemptTarget {
    /// The upstream that answers.
    pub upstream: ids::UpstreamId,
    /// Address of the upstream that answers.
    pub address: net::SocketAddrV4,
    /// Engines that process parts of the prompt.
    pub helpers: Vec<PartReader>,
    /// Id of the event after which the stream resumes; `None` if it starts from the beginning.
    pub last_event: Option<String>,
    /// Priority, where 0 is the most urgent; `None` leaves it to the upstream.
    pub priority: Option<u8>,
    /// Permits for the upstream and the helpers that have a limit.
    pub permits: Vec<quota_permit::SendPermit>,
}

/// An engine that processes a part (share) of a prompt for the engine that answers.
#[derive(Debug, Clone)]
pub struct PartReader {
    /// Name of the engine, by which `upstream_gate` decides whether the request may be sent.
    pub engine: ids::UpstreamId,
    /// Address of the engine.
    pub address: net::SocketAddrV4,
    /// The ticket of the memory reserved on the engine, if any.
    pub ticket: Option<String>,
}

/// An answer whose head has been read.
pub struct AttemptAnswer {
    /// The head, including hop-by-hop headers.
    pub head: http::response::Parts,
    /// Fields read from the head.
    pub head_fields: adapter::UpstreamAnswer,
    /// How the end of the body is determined.
    pub framing: h1::BodyFraming,
    /// The connection, which can be reused only after the end of the body.
    pub connection: upstream_pool::UpstreamConnection,
    service: ids::ServiceId,
    address: net::SocketAddrV4,
    /// Whether the request was sent completely and the upstream keeps the connection open.
    reusable: bool,
    /// Set if the body has neither a length nor chunks, so that only the connection's end shows that it is complete: what
    /// else was listed at the address when the head arrived.
    ends_beside: Option<Vec<ids::UpstreamId>>,
}

impl AttemptAnswer {
    /// Reads the complete body, which must not exceed `max_bytes`. If nothing is received for
    /// `silence`, the attempt is given up if `give_up` returns true.
    pub async fn whole_body(
        &mut self,
        context: &context::InstanceContext,
        upstream: &ids::UpstreamId,
        max_bytes: usize,
        silence: time::Duration,
        give_up: impl AsyncFnMut(RetryReach) -> bool,
    ) -> Result<Bytes, AttemptFault> {
        match self.leading_body(context, upstream, max_bytes, silence, give_up).await? {
            LeadingBody { bytes, whole: true } if bytes.len() <= max_bytes => Ok(bytes),
            _ => Err(AttemptFault::broke(format!("the body has more than {max_bytes} bytes"))),
        }
    }

    /// Reads the body until it ends or exceeds `max_bytes`; otherwise like [`Self::whole_body`].
    pub(crate) async fn leading_body(
        &mut self,
        context: &context::InstanceContext,
        upstream: &ids::UpstreamId,
        max_bytes: usize,
        silence: time::Duration,
        mut give_up: impl AsyncFnMut(RetryReach) -> bool,
    ) -> Result<LeadingBody, AttemptFault> {
        let mut body = BytesMut::new();
        let times = rc::Rc::clone(&self.connection.times);
        let mut ended = false;
        while body.len() <= max_bytes {
            let next = self.connection.next_piece(&mut self.framing);
            let mut next = std::pin::pin!(next);
            let piece = match monoio::time::timeout(silence, next.as_mut()).await {
                Ok(piece) => piece,
                Err(_) if give_up(RetryReach::OtherUpstream).await => {
                    let phase = connection_silence::SilencePhase::MidAnswer;
                    let times = &times;
                    let waited = silence;
                    let wait = upstream_silence::SilentWait { upstream, times, phase, waited };
                    let cause = upstream_silence::note(context, &wait).label();
                    return Err(AttemptFault::broke(format!("silent for {silence:?}: {cause}")));
                }
                Err(_) => next.await,
            };
            let Some(piece) = piece.map_err(AttemptFault::broke)? else {
                ended = true;
                break;
            };
            times.receive();
            body.extend_from_slice(&piece);
        }
        if ended {
            self.confirm_end(context, upstream).await.map_err(AttemptFault::broke)?;
        }
        let whole = ended || self.framing.ended();
        Ok(LeadingBody { bytes: body.freeze(), whole })
    }

    /// Checks that an answer which ended with its connection is complete: a process that crashes closes its connections
    /// as well. Does nothing if the answer has a length or chunks.
    pub(crate) async fn confirm_end(
        &self,
        context: &context::InstanceContext,
        upstream: &ids::UpstreamId,
    ) -> Result<(), answer_end::UnconfirmedEnd> {
        let Some(beside) = &self.ends_beside else {
            return Ok(());
        };
        let (service, address) = (&self.service, self.address);
        let relay = self.connection.relay();
        answer_end::EndedAnswer { upstream, service, address, beside, relay }.confirm(context).await
    }

    /// Returns the connection to the pool if it can be reused.
    pub fn finish(self, context: &context::InstanceContext, upstream: &ids::UpstreamId) {
        if self.reusable && self.framing.ended() {
            let keep_alive_timeout = h1::keep_alive_timeout(&self.head.headers);
            let max_idle = context.idle_connection_limit(upstream);
            context.pool.put(self.address, self.connection, keep_alive_timeout, max_idle);
        }
    }
}

/// The first bytes of a body.
pub(crate) struct LeadingBody {
    pub(crate) bytes: Bytes,
    /// Whether `bytes` is the complete body.
    pub(crate) whole: bool,
}

/// Which upstreams may continue a request that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReach {
    /// Another upstream only, as this one is slow or unreachable.
    OtherUpstream,
    /// Any upstream, including this one over a new connection, as only the old connection may be dead.
    AnyUpstream,
}

/// How long to wait for the head of an answer.
#[derive(Debug, Clone, Copy)]
pub struct HeadWait {
    /// Limit on a reused connection, which may have died while idle.
    pub reused: time::Duration,
    /// Limit on any connection, new or reused.
    pub longest: time::Duration,
    /// Usual time of an answer; with less time left, a retry over a new connection is useless.
    pub usual_time: time::Duration,
}

/// Which connection an attempt needs, by how the one before ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionNeed {
    /// Any connection.
    Any,
    /// A new one, as the connection before may have been dead: no request is sent over two dead connections.
    New,
    /// A new one, as the connection before broke or fell silent in the middle of an answer: all links of this process may
    /// have failed. It goes through a member if possible, unless another connection to the upstream carried bytes during
    /// the silence, which lasted for this time; zero if the connection broke.
    OtherPath(time::Duration),
}

/// Returns a connection for a request: a pooled one only if another attempt may follow.
///
/// A pooled connection may have died while idle, and a request written to it may still have run.
pub async fn connect(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    target: &AttemptTarget,
    need: ConnectionNeed,
) -> Result<upstream_pool::UpstreamConnection, AttemptFault> {
    // Avoids opening a connection for a request that must not be sent. The gate checks the upstream's notices (leaving,
    // backoff, limit) again right before the first byte is sent.
    upstream_gate::check_request(context, call, target)?;
    let retry_allowed = call.route.repeat.allows_repeat() && call.route.max_attempts > 1;
    let connect_target =
        upstream_connect::ConnectTarget { service: &call.service, address: target.address };
    let opened = match need {
        ConnectionNeed::OtherPath(silent) if !context.pool.has_live(target.address, silent) => {
            upstream_connect::open_by_other_path(context, connect_target).await
        }
        ConnectionNeed::Any if retry_allowed => {
            upstream_connect::get(context, connect_target).await
        }
        ConnectionNeed::Any | ConnectionNeed::New | ConnectionNeed::OtherPath(_) => {
            upstream_connect::open(context, connect_target).await
        }
    };
    let not_connected = retry::AttemptFailure::NotConnected;
    if let Ok(connection) = &opened {
        let relay = connection.times.relay();
        call.relayed.replace(relay.map(|member| describe_relay(context, call, member)));
    }
    opened.map_err(|error| {
        if error.is_connection_refused() {
            context.report_run(upstream_ends::RunEvent::Refused(target.upstream.clone()));
        }
        let link_doubt = !error.is_confirmed();
        AttemptFault { link_doubt, ..AttemptFault::new(not_connected, error) }
    })
}

/// Describes a relayed connection for the record of its attempt.
fn describe_relay(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    member: &ids::InstanceId,
) -> String {
    let since = context.reach.borrow().lost_since(&call.service);
    match since.map(|since| units::whole_millis(context.now().since(since))) {
        Some(lost_ms) => format!("by {member}, no upstream reached for {lost_ms} ms"),
        None => format!("by {member}"),
    }
}

/// Sends a request over a connection and reads the head of its answer.
///
/// After each limit of `wait` the attempt is given up if `give_up` returns true. Otherwise it
/// continues until the call ends, as no other upstream can answer.
pub async fn send(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    target: &AttemptTarget,
    connection: upstream_pool::UpstreamConnection,
    wait: HeadWait,
    mut give_up: impl AsyncFnMut(RetryReach) -> bool,
) -> Result<AttemptAnswer, AttemptFault> {
    let used = connection.used;
    let times = rc::Rc::clone(&connection.times);
    let started = time::Instant::now();
    let mut work = std::pin::pin!(exchange(context, call, target, connection));
    if used && let Ok(answered) = monoio::time::timeout(wait.reused, work.as_mut()).await {
        return answered;
    }
    let phase = connection_silence::SilencePhase::Head;
    let may_be_dead = used && context.pool.cause(&times, phase, wait.reused).may_affect_others();
    let in_time = call.left(context.now()) >= wait.usual_time;
    let reused_silent = may_be_dead && in_time && give_up(RetryReach::AnyUpstream).await;
    if !reused_silent {
        let left = wait.longest.saturating_sub(started.elapsed());
        if let Ok(answered) = monoio::time::timeout(left, work.as_mut()).await {
            return answered;
        }
        upstream_links::note_exchange(context, &call.service, &times);
        if !give_up(RetryReach::OtherUpstream).await {
            return work.await;
        }
    }
    let waited = started.elapsed();
    let upstream = &target.upstream;
    let silent = upstream_silence::SilentWait { upstream, times: &times, phase, waited };
    let cause = upstream_silence::note(context, &silent).label();
    let fault = AttemptFault::broke(format!("no answer within {waited:?}: {cause}"));
    Err(AttemptFault { reused_silent, ..fault })
}

/// Sends a request over a connection and reads the head of its answer, without a time limit.
pub async fn exchange(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    target: &AttemptTarget,
    connection: upstream_pool::UpstreamConnection,
) -> Result<AttemptAnswer, AttemptFault> {
    // Counted before a byte is sent, as this future may be dropped at any time afterwards.
    let before = call.may_have_run.get();
    call.may_have_run.set(before + 1);
    let times = rc::Rc::clone(&connection.times);
    let answered = write_and_read(context, call, target, connection).await;
    if !matches!(&answered, Err(fault) if fault.failure == retry::AttemptFailure::Denied) {
        upstream_links::note_exchange(context, &call.service, &times);
    }
    if answered.as_ref().is_err_and(|fault| fault.failure.definitely_not_run()) {
        call.may_have_run.set(before);
    }
    answered
}

async fn write_and_read(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    target: &AttemptTarget,
    mut connection: upstream_pool::UpstreamConnection,
) -> Result<AttemptAnswer, AttemptFault> {
    let request_message = request_message(context, call, target);
    let pass = upstream_gate::pass_request(context, call, target)?;
    let sent_at = context.now();
    let (head, sent) = {
        let (reader, writer) = connection.sides(&pass);
        let writing = std::pin::pin!(writer.write(request_message));
        let reading = std::pin::pin!(reader.response_head());
        match future::select(writing, reading).await {
            future::Either::Left((Ok(()), reading)) => (reading.await, true),
            future::Either::Left((Err(error), reading)) => {
                // The upstream may have answered before it stopped reading.
                let head = monoio::time::timeout(EARLY_ANSWER_TIMEOUT, reading).await;
                match head {
                    Ok(Ok(head)) => (Ok(head), false),
                    _ => return Err(AttemptFault::broke(error)),
                }
            }
            // The upstream answered early; the remainder of the request is not sent.
            future::Either::Right((head, _)) => (head, false),
        }
    };
    let head = head.map_err(AttemptFault::broke)?;
    connection.times.receive();
    let framing = h1::BodyFraming::of_response(&head).map_err(AttemptFault::broke)?;
    let head_fields = context.adapter.parse_answer(&head);
    if head_fields.id.as_deref() != Some(call.request.id.as_str()) {
        return Err(AttemptFault::broke("the answer belongs to another request"));
    }
    if is_from_target(&head, &head_fields) {
        let source = upstream_notice::NoticeSource::Answer;
        let origin = upstream_signals::SignalOrigin { requested_at: sent_at, source };
        upstream_signals::receive(context, &target.upstream, head.status, &head_fields, origin);
    }
    let reusable =
        sent && framing != h1::BodyFraming::UntilClose && !h1::closes(head.version, &head.headers);
    let address = target.address;
    let ends_beside = (framing == h1::BodyFraming::UntilClose)
        .then(|| answer_end::listed_beside(context, &target.upstream, address));
    let answer = AttemptAnswer {
        head,
        head_fields,
        framing,
        connection,
        service: call.service.clone(),
        address,
        reusable,
        ends_beside,
    };
    if answer.head_fields.not_run && !answer.head.status.is_success() {
        let failure = if answer.head_fields.misdirected {
            retry::AttemptFailure::Misdirected
        } else {
            retry::AttemptFailure::SaidNotRun
        };
        let fault = AttemptFault {
            failure,
            at_fault: answer.head_fields.at_fault,
            reused_silent: false,
            link_doubt: false,
            text: format!("not run: status {}", answer.head.status.as_u16()),
        };
        drain_refusal(context, &target.upstream, answer).await;
        return Err(fault);
    }
    // Callers request bodies without a content encoding, so an encoded one is not the upstream's.
    if is_encoded(&answer.head.headers) {
        return Err(AttemptFault::broke("the answer has a content encoding"));
    }
    if answer.head.status.is_success() && !answer.head_fields.signed {
        return Err(AttemptFault::broke("a success without the upstream's signature"));
    }
    Ok(answer)
}

/// Returns whether an answer's head comes from the addressed upstream: not from another one at its
/// address, and not a success without a signature.
fn is_from_target(head: &http::response::Parts, head_fields: &adapter::UpstreamAnswer) -> bool {
    !head_fields.misdirected && (head_fields.signed || !head.status.is_success())
}

/// Reads a refusal completely, so that the connection can be reused.
async fn drain_refusal(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    mut answer: AttemptAnswer,
) {
    const REFUSAL_BYTES: usize = 16 * 1024;
    const REFUSAL_TIMEOUT: time::Duration = time::Duration::from_millis(20);
    let body = answer.connection.reader.whole_body(&mut answer.framing, REFUSAL_BYTES);
    let read = monoio::time::timeout(REFUSAL_TIMEOUT, body).await;
    if matches!(read, Ok(Ok(_))) {
        answer.finish(context, upstream);
    }
}

fn request_message(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    target: &AttemptTarget,
) -> Vec<u8> {
    let left = call.left(context.now());
    let helper = |part: &PartReader| (part.address, part.ticket.clone());
    let helpers = target.helpers.iter().map(helper).collect();
    let mut head = context.adapter.call_head(&adapter::UpstreamCall {
        head: &call.head,
        upstream: &target.upstream,
        customer: call.customer.as_ref(),
        left,
        priority: target.priority,
        last_event: target.last_event.as_deref(),
        helpers,
    });
    h1::strip_connection_headers(&mut head.headers);
    let bodiless = call.body.is_empty() && head.method == http::Method::GET;
    let length = (!bodiless).then_some(call.body.len());
    let mut bytes = h1::encode_request_head(&head, length);
    bytes.extend_from_slice(&call.body);
    bytes
}

/// Returns whether a body has a content encoding; `identity` is none.
fn is_encoded(headers: &http::HeaderMap) -> bool {
    let mut encodings = headers.get_all(http::header::CONTENT_ENCODING).iter();
    encodings.any(|encoding| !encoding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"identity"))
}
