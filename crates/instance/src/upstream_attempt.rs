//! One attempt at an upstream: the request sent, the head of its answer read and judged.

use std::{net, rc, time};

use bytes::{Bytes, BytesMut};
use futures::future;
use slipturn_core::{connection_silence, ids, quota_permit, retry, upstream_notice};
use slipturn_net::h1;

use crate::{
    border, context, incoming_call, upstream_ends, upstream_gate, upstream_pool, upstream_signals,
    upstream_silence, upstream_starts,
};

/// Time for an answer that an upstream may have sent before it stopped reading.
const EARLY_ANSWER_TIME: time::Duration = time::Duration::from_millis(50);

/// How an attempt failed before its answer could be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptFault {
    /// What that says of its having run.
    pub failure: retry::AttemptFailure,
    /// The upstream that caused a refusal, where it is another.
    pub at_fault: Option<net::SocketAddrV4>,
    /// Whether a connection that had rested said nothing: the upstream itself may be sound.
    pub kept_silent: bool,
    /// What went wrong.
    pub text: String,
}

impl AttemptFault {
    pub(crate) fn new(failure: retry::AttemptFailure, text: impl ToString) -> Self {
        Self { failure, at_fault: None, kept_silent: false, text: text.to_string() }
    }

    /// What was sent to an upstream that has started again: it may have run at the start before.
    pub(crate) fn restarted() -> Self {
        Self::broke(upstream_starts::RESTARTED)
    }

    fn broke(text: impl ToString) -> Self {
        Self::new(retry::AttemptFailure::BrokeBeforeAnswer, text)
    }
}

/// Whom an attempt goes to.
#[derive(Debug, Clone)]
pub struct AttemptTarget {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Its address.
    pub address: net::SocketAddrV4,
    /// Engines that read parts of the prompt.
    pub helpers: Vec<PartReader>,
    /// Event after which the stream goes on.
    pub last_event: Option<String>,
    /// 0 is the most urgent.
    pub priority: Option<u8>,
    /// Leaves for those of these upstreams that have a limit.
    pub permits: Vec<quota_permit::SendPermit>,
}

/// An engine that reads a part of a prompt.
#[derive(Debug, Clone)]
pub struct PartReader {
    /// The engine.
    pub engine: ids::UpstreamId,
    /// Its address.
    pub address: net::SocketAddrV4,
    /// The ticket of the memory set aside there, if any is.
    pub ticket: Option<String>,
}

/// An answer whose head has been read.
pub struct AttemptAnswer {
    /// Its head, with what concerns only its connection.
    pub head: http::response::Parts,
    /// What the head says.
    pub said: border::UpstreamAnswer,
    /// Where its body ends.
    pub framing: h1::BodyFraming,
    /// The connection; it may be used again only after the body's end.
    pub connection: upstream_pool::UpstreamConnection,
    address: net::SocketAddrV4,
    /// Whether the whole request was sent and the upstream keeps the connection.
    reusable: bool,
}

impl AttemptAnswer {
    /// Reads the whole body. Where nothing comes for `silence`, it is given up if `give_up` has a
    /// retry permit.
    pub async fn whole_body(
        &mut self,
        context: &context::InstanceContext,
        upstream: &ids::UpstreamId,
        most: usize,
        silence: time::Duration,
        give_up: impl AsyncFnMut(RetryReach) -> bool,
    ) -> Result<Bytes, AttemptFault> {
        match self.leading_body(context, upstream, most, silence, give_up).await? {
            LeadingBody { bytes, whole: true } if bytes.len() <= most => Ok(bytes),
            _ => Err(AttemptFault::broke(format!("the body has more than {most} bytes"))),
        }
    }

    /// Reads the body until its end, or until there are more than `most` bytes; see [`Self::whole_body`].
    pub(crate) async fn leading_body(
        &mut self,
        context: &context::InstanceContext,
        upstream: &ids::UpstreamId,
        most: usize,
        silence: time::Duration,
        mut give_up: impl AsyncFnMut(RetryReach) -> bool,
    ) -> Result<LeadingBody, AttemptFault> {
        let mut body = BytesMut::new();
        while body.len() <= most {
            let next = self.connection.reader.next_piece(&mut self.framing);
            let mut next = std::pin::pin!(next);
            let piece = match monoio::time::timeout(silence, next.as_mut()).await {
                Ok(piece) => piece,
                Err(_) if give_up(RetryReach::OtherUpstream).await => {
                    let moment = connection_silence::SilencePhase::MidAnswer;
                    let life = &self.connection.life;
                    let waited = silence;
                    let wait = upstream_silence::SilentWait { upstream, life, moment, waited };
                    let cause = upstream_silence::note(context, &wait).label();
                    return Err(AttemptFault::broke(format!("silent for {silence:?}: {cause}")));
                }
                Err(_) => next.await,
            };
            let Some(piece) = piece.map_err(AttemptFault::broke)? else {
                return Ok(LeadingBody { bytes: body.freeze(), whole: true });
            };
            self.connection.life.receive();
            body.extend_from_slice(&piece);
        }
        let whole = self.framing.ended();
        Ok(LeadingBody { bytes: body.freeze(), whole })
    }

    /// Puts the connection back after a whole answer of an upstream.
    pub fn finish(self, context: &context::InstanceContext, upstream: &ids::UpstreamId) {
        if self.reusable && self.framing.ended() {
            let keep = h1::keep_alive(&self.head.headers);
            let most = context.resting_share(upstream);
            context.pool.put(self.address, self.connection, keep, most);
        }
    }
}

/// The first bytes of a body.
pub(crate) struct LeadingBody {
    /// What has been read.
    pub(crate) bytes: Bytes,
    /// Whether it is all of the body.
    pub(crate) whole: bool,
}

/// Where a request that is given up at one upstream may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReach {
    /// At another upstream only: this one is slow, or dark.
    OtherUpstream,
    /// At this one, too, over a new connection: the old one may be what is silent.
    AnyUpstream,
}

/// How long the head of an answer is awaited.
#[derive(Debug, Clone, Copy)]
pub struct HeadWait {
    /// On a connection that has rested; it may have fallen silent meanwhile.
    pub kept: time::Duration,
    /// On any.
    pub longest: time::Duration,
    /// What answers usually take: with less than that left, asking anew cannot help.
    pub usual: time::Duration,
}

/// A connection for a request: one that has rested only where another attempt may follow.
///
/// It may have fallen silent, and what was written to it may have run. So `anew` asks for a new one
/// after an attempt that broke: no request meets two silent connections.
pub async fn connect(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    target: &AttemptTarget,
    anew: bool,
) -> Result<upstream_pool::UpstreamConnection, AttemptFault> {
    // Before a connection is opened needlessly; the decision is made again as the first byte goes out.
    upstream_gate::look_at_request(context, target)?;
    let another = call.route.repeat.allows_repeat() && call.route.max_attempts > 1;
    let opened = if anew || !another {
        context.pool.open(target.address).await
    } else {
        context.pool.get(target.address).await
    };
    let not_connected = retry::AttemptFailure::NotConnected;
    opened.map_err(|error| {
        if error.nobody_listens() {
            context.report_run(upstream_ends::RunNews::Refused(target.upstream.clone()));
        }
        AttemptFault::new(not_connected, error)
    })
}

/// Sends a request over a connection and reads the head of its answer.
///
/// It is given up where `give_up` has a retry permit; else it is awaited for as long as the call
/// lasts, as no other upstream can answer.
pub async fn send(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    target: &AttemptTarget,
    connection: upstream_pool::UpstreamConnection,
    wait: HeadWait,
    mut give_up: impl AsyncFnMut(RetryReach) -> bool,
) -> Result<AttemptAnswer, AttemptFault> {
    let used = connection.used;
    let life = rc::Rc::clone(&connection.life);
    let started = time::Instant::now();
    let mut work = std::pin::pin!(exchange(context, call, target, connection));
    if used && let Ok(answered) = monoio::time::timeout(wait.kept, work.as_mut()).await {
        return answered;
    }
    let moment = connection_silence::SilencePhase::Head;
    let doubted = used && context.pool.cause(&life, moment, wait.kept).doubts_others();
    let in_time = call.left(context.now()) >= wait.usual;
    let kept_silent = doubted && in_time && give_up(RetryReach::AnyUpstream).await;
    if !kept_silent {
        let left = wait.longest.saturating_sub(started.elapsed());
        if let Ok(answered) = monoio::time::timeout(left, work.as_mut()).await {
            return answered;
        }
        if !give_up(RetryReach::OtherUpstream).await {
            return work.await;
        }
    }
    let waited = started.elapsed();
    let upstream = &target.upstream;
    let silent = upstream_silence::SilentWait { upstream, life: &life, moment, waited };
    let cause = upstream_silence::note(context, &silent).label();
    let fault = AttemptFault::broke(format!("no answer within {waited:?}: {cause}"));
    Err(AttemptFault { kept_silent, ..fault })
}

/// Sends a request over a connection and reads the head of its answer, however long that takes.
pub async fn exchange(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    target: &AttemptTarget,
    connection: upstream_pool::UpstreamConnection,
) -> Result<AttemptAnswer, AttemptFault> {
    // Counted before a byte is sent: the waiting task may be cancelled first.
    let before = call.may_have_run.get();
    call.may_have_run.set(before + 1);
    let answered = write_and_read(context, call, target, connection).await;
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
    let message = message(context, call, target);
    let pass = upstream_gate::pass_request(context, target)?;
    let asked_at = context.now();
    let (head, sent) = {
        let (reader, writer) = connection.sides(&pass);
        let writing = std::pin::pin!(writer.write(message));
        let reading = std::pin::pin!(reader.answer_head());
        match future::select(writing, reading).await {
            future::Either::Left((Ok(()), reading)) => (reading.await, true),
            future::Either::Left((Err(error), reading)) => {
                // The upstream may have answered before it stopped reading.
                let head = monoio::time::timeout(EARLY_ANSWER_TIME, reading).await;
                match head {
                    Ok(Ok(head)) => (Ok(head), false),
                    _ => return Err(AttemptFault::broke(error)),
                }
            }
            // An early answer; what is left of the request is never sent.
            future::Either::Right((head, _)) => (head, false),
        }
    };
    let head = head.map_err(AttemptFault::broke)?;
    connection.life.receive();
    let said = context.border.read_answer(&head);
    if said.id.as_deref() != Some(call.request.id.as_str()) {
        return Err(AttemptFault::broke("the answer belongs to another request"));
    }
    if is_own_word(&head, &said) {
        let source = upstream_notice::NoticeSource::Answer;
        let asked = upstream_signals::SignalOrigin { at: asked_at, source };
        upstream_signals::receive(context, &target.upstream, head.status, &said, asked);
    }
    let framing = h1::BodyFraming::of_answer(&head).map_err(AttemptFault::broke)?;
    let reusable =
        sent && framing != h1::BodyFraming::UntilClose && !h1::closes(head.version, &head.headers);
    let address = target.address;
    let answer = AttemptAnswer { head, said, framing, connection, address, reusable };
    if answer.said.not_run && !answer.head.status.is_success() {
        let failure = if answer.said.misdirected {
            retry::AttemptFailure::Misdirected
        } else {
            retry::AttemptFailure::SaidNotRun
        };
        let fault = AttemptFault {
            failure,
            at_fault: answer.said.at_fault,
            kept_silent: false,
            text: format!("not run: status {}", answer.head.status.as_u16()),
        };
        settle(context, &target.upstream, answer).await;
        return Err(fault);
    }
    if answer.head.status.is_success() && !answer.said.sealed {
        return Err(AttemptFault::broke("a success without the upstream's signature"));
    }
    Ok(answer)
}

/// Whether an answer's head is of the upstream that was asked: not of another one at its address, nor a success
/// without a signature.
fn is_own_word(head: &http::response::Parts, said: &border::UpstreamAnswer) -> bool {
    !said.misdirected && (said.sealed || !head.status.is_success())
}

/// Reads a refusal to its end, so that its connection can be used again.
async fn settle(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    mut answer: AttemptAnswer,
) {
    const REFUSAL_BYTES: usize = 16 * 1024;
    const REFUSAL_TIME: time::Duration = time::Duration::from_millis(20);
    let body = answer.connection.reader.whole_body(&mut answer.framing, REFUSAL_BYTES);
    let read = monoio::time::timeout(REFUSAL_TIME, body).await;
    if matches!(read, Ok(Ok(_))) {
        answer.finish(context, upstream);
    }
}

fn message(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    target: &AttemptTarget,
) -> Vec<u8> {
    let left = call.left(context.now());
    let helper = |part: &PartReader| (part.address, part.ticket.clone());
    let helpers = target.helpers.iter().map(helper).collect();
    let mut head = context.border.call_head(&border::UpstreamCall {
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
    let mut bytes = h1::request_bytes(&head, length);
    bytes.extend_from_slice(&call.body);
    bytes
}
