//! Serves a caller's connection: one request after another, until either side closes it.

use std::{rc, time};

use futures::future;
use slipturn_core::{byte_budget, refusal, units};
use slipturn_net::h1;

use crate::{
    body_intake, connection_slot, context, incoming_call, intake, model_request, quarantine_gate,
    request_record, service_request, start_gate, stop_gate,
};

/// Maximum number of bytes that a caller may pipeline before it receives its answer.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Maximum time for which remaining input is read and discarded before the connection is closed.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Maximum wait for a request on a connection that was accepted when others were closed for a stop.
const LATE_REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Whether a connection stays open after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionNext {
    /// The connection accepts another request.
    Keep,
    /// The connection is closed.
    Close,
    /// The connection was idle and is closed in favor of another one, without waiting for the caller.
    CloseIdle,
}

/// Writes the answer to one request to the caller's connection.
pub struct CallerReply<'a> {
    context: &'a context::InstanceContext,
    writer: &'a mut h1::MessageWriter,
    /// Whether the connection must be closed after the answer.
    close: bool,
    /// Whether part of an answer may have been sent.
    begun: bool,
}

impl CallerReply<'_> {
    /// Sends a complete answer of an upstream.
    pub async fn send_answer(
        &mut self,
        head: &http::response::Parts,
        body: &[u8],
    ) -> Result<(), h1::MessageError> {
        self.begun = true;
        let mut headers = head.headers.clone();
        h1::strip_connection_headers(&mut headers);
        let mut bytes =
            h1::encode_response_head(head.status, &headers, Some(body.len()), self.closing());
        bytes.extend_from_slice(body);
        self.writer.write(bytes).await
    }

    /// Sends the head of a stream together with its first events.
    pub async fn start_stream(
        &mut self,
        head: &http::response::Parts,
        events: &[u8],
    ) -> Result<(), h1::MessageError> {
        self.begun = true;
        let mut headers = head.headers.clone();
        h1::strip_connection_headers(&mut headers);
        let mut bytes = h1::encode_response_head(head.status, &headers, None, self.closing());
        if !events.is_empty() {
            bytes.extend_from_slice(&h1::encode_chunk(events));
        }
        self.writer.write(bytes).await
    }

    /// Sends the head of a non-streamed answer with the first bytes of its body. Without a `length`
    /// the body is sent in chunks.
    pub(crate) async fn start_body(
        &mut self,
        head: &http::response::Parts,
        length: Option<usize>,
        leading: &[u8],
    ) -> Result<(), h1::MessageError> {
        if length.is_none() {
            return self.start_stream(head, leading).await;
        }
        self.begun = true;
        let mut headers = head.headers.clone();
        h1::strip_connection_headers(&mut headers);
        let mut bytes = h1::encode_response_head(head.status, &headers, length, self.closing());
        bytes.extend_from_slice(leading);
        self.writer.write(bytes).await
    }

    /// Sends another piece of a body that was begun with [`Self::start_body`]; `known_length` tells whether
    /// that call had a `length`.
    pub(crate) async fn send_body_piece(
        &mut self,
        known_length: bool,
        piece: bytes::Bytes,
    ) -> Result<(), h1::MessageError> {
        if known_length {
            return self.writer.write(piece).await;
        }
        self.writer.write(h1::encode_chunk(&piece)).await
    }

    /// Sends further events of a stream.
    pub async fn send_events(&mut self, events: &[u8]) -> Result<(), h1::MessageError> {
        self.writer.write(h1::encode_chunk(events)).await
    }

    /// Ends a body sent in chunks; without this the caller sees that the answer is incomplete.
    pub async fn end_chunked(&mut self) -> Result<(), h1::MessageError> {
        self.writer.write(h1::LAST_CHUNK).await
    }

    /// Answers the request `id` with a refusal.
    pub async fn refuse(
        &mut self,
        id: &str,
        refusal: &refusal::RequestRefusal,
    ) -> Result<(), h1::MessageError> {
        self.begun = true;
        let status = http::StatusCode::from_u16(refusal.code.status())
            .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        let mut headers = self.context.adapter.answer_headers(id, refusal.retry_after);
        let kind = http::HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, kind);
        let body = serde_json::json!({"error": {
            "code": refusal.code.label(),
            "ran": refusal.ran.label(),
            "message": refusal.message,
        }});
        let body = body.to_string();
        let mut bytes =
            h1::encode_response_head(status, &headers, Some(body.len()), self.closing());
        bytes.extend_from_slice(body.as_bytes());
        self.writer.write(bytes).await
    }

    /// Returns whether the connection is closed after this answer.
    pub fn closing(&self) -> bool {
        self.close || self.context.stop.is_triggered() || self.context.leaves_callers_to_others()
    }
}

/// Serves the requests on a connection one after another until it is closed; errors are logged.
pub async fn serve(
    context: rc::Rc<context::InstanceContext>,
    stream: monoio::net::TcpStream,
    slot: connection_slot::ConnectionSlot,
) {
    let (mut reader, mut writer) = h1::split(stream);
    let is_closing = stop_gate::is_closing(&context);
    loop {
        match serve_next(&context, &mut reader, &mut writer, &slot, is_closing).await {
            Ok(ConnectionNext::Keep) => {}
            Ok(ConnectionNext::Close) => break,
            Ok(ConnectionNext::CloseIdle) => return,
            Err(error) => {
                log::debug!(error:%; "caller.connection_failed");
                break;
            }
        }
    }
    if writer.shutdown().await.is_ok() {
        linger(&mut reader).await;
    }
}

/// Waits for the next request on a connection, and serves it; rejects it if the connection `is_closing`, that is, accepted
/// when others were closed for a stop.
async fn serve_next(
    context: &rc::Rc<context::InstanceContext>,
    reader: &mut h1::MessageReader,
    writer: &mut h1::MessageWriter,
    slot: &connection_slot::ConnectionSlot,
    is_closing: bool,
) -> Result<ConnectionNext, h1::MessageError> {
    let limits = context.fleet.borrow().routes.limits;
    if !reader.has_unread_bytes() {
        reader.free_empty_buffer();
        let next_bytes = std::pin::pin!(monoio::time::timeout(limits.idle, reader.fill()));
        let closing = std::pin::pin!(until_closing(context, is_closing));
        let ending = future::select(slot.begin_idle(), closing);
        // `select` polls `next_bytes` first, so a connection with a new request is not closed.
        match future::select(next_bytes, ending).await {
            future::Either::Left((Ok(filled), _)) => {
                if filled? == 0 {
                    return Ok(ConnectionNext::Close);
                }
            }
            future::Either::Right((future::Either::Left(_), _)) => {
                return Ok(ConnectionNext::CloseIdle);
            }
            // The connection was idle for too long, or this process is stopping.
            _ => return Ok(ConnectionNext::Close),
        }
    }
    slot.end_idle();
    let _busy = context::BusyGuard::new(context);
    let limits = context.fleet.borrow().routes.limits;
    let mut reply = CallerReply { context, writer, close: true, begun: false };
    if context.intake.is_some() {
        return match body_intake::read_head(context, reader, limits).await {
            Ok(Some(head)) => {
                reply.close = h1::closes(head.version, &head.headers);
                if is_closing {
                    return refuse_late(&mut reply, &head).await;
                }
                serve_bounded(context, reader, &mut reply, head, limits).await
            }
            Ok(None) => Ok(ConnectionNext::Close),
            Err(error) => refuse_unreceived(&mut reply, "", error, limits.arrival).await,
        };
    }
    let head = monoio::time::timeout(limits.arrival, reader.request_head(limits.head_bytes)).await;
    let head = match head {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return Ok(ConnectionNext::Close),
        Ok(Err(error)) => return refuse_malformed(&mut reply, "", error).await,
        Err(_) => {
            let text = "the head of the request did not arrive in time";
            let code = refusal::RefusalCode::BodyTimeout;
            reply.refuse("", &refusal::RequestRefusal::not_run(code, text)).await?;
            return Ok(ConnectionNext::Close);
        }
    };
    reply.close = h1::closes(head.version, &head.headers);
    if is_closing {
        return refuse_late(&mut reply, &head).await;
    }
    serve_head(context, reader, &mut reply, head, limits).await
}

/// Waits until an idle connection is closed for a stop. A connection that `is_closing` is closed with an answer if a request
/// follows at once: a caller that finds its connection closed cannot know whether the request has run.
async fn until_closing(context: &context::InstanceContext, is_closing: bool) {
    if is_closing {
        monoio::time::sleep(LATE_REQUEST_TIMEOUT).await;
    } else {
        // Fails only if the sender has been dropped, right before the exit.
        let _ = context.closing.clone().await;
    }
}

/// Reads the body of a request whose head has been read, admits the request and serves it.
async fn serve_head(
    context: &rc::Rc<context::InstanceContext>,
    reader: &mut h1::MessageReader,
    reply: &mut CallerReply<'_>,
    head: http::request::Parts,
    limits: slipturn_core::route_table::CallerLimits,
) -> Result<ConnectionNext, h1::MessageError> {
    let request = context.adapter.parse_request(&head);
    let id = request.as_ref().map(|request| request.id.clone()).unwrap_or_default();
    let mut framing = match h1::BodyFraming::of_request(&head) {
        Ok(framing) => framing,
        Err(error) => return refuse_malformed(reply, &id, error).await,
    };
    let expects = head.headers.contains_key(http::header::EXPECT);
    if expects && !framing.ended() {
        reply.writer.write(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await?;
    }
    let reading = reader.whole_body(&mut framing, limits.body_bytes);
    let reading = monoio::time::timeout(limits.arrival, reading);
    let read = stop_gate::until_exit(context, std::pin::pin!(reading)).await;
    let body = match read {
        Some(Ok(Ok(body))) => body,
        Some(Ok(Err(error))) => return refuse_malformed(reply, &id, error).await,
        None => return refuse_stopping(reply, &id).await,
        Some(Err(_)) => {
            let text = "the body of the request did not arrive in time";
            let code = refusal::RefusalCode::BodyTimeout;
            reply.refuse(&id, &refusal::RequestRefusal::not_run(code, text)).await?;
            return Ok(ConnectionNext::Close);
        }
    };
    let arrived = context.now();
    let max_wait = request.as_ref().ok().and_then(|request| request.max_wait);
    let waiting = start_gate::ArrivedRequest { head: &head, arrived, max_wait, bytes: body.len() };
    start_gate::wait_until_ready(context, &waiting).await;
    let mut call = match incoming_call::admit(context, head, request, arrived) {
        Ok(call) => call,
        Err(refusal) => return refuse_not_admitted(reply, &id, &refusal).await,
    };
    call.body = body;
    // On the heap, so that connections without an admitted request do not hold memory for serving one.
    Box::pin(serve_admitted(context, reader, reply, &call)).await
}

/// Serves a request within the bounds of the machine: it is admitted on its head, and its body is read only then.
async fn serve_bounded(
    context: &rc::Rc<context::InstanceContext>,
    reader: &mut h1::MessageReader,
    reply: &mut CallerReply<'_>,
    head: http::request::Parts,
    limits: slipturn_core::route_table::CallerLimits,
) -> Result<ConnectionNext, h1::MessageError> {
    let request = context.adapter.parse_request(&head);
    let id = request.as_ref().map(|request| request.id.clone()).unwrap_or_default();
    let mut framing = match h1::BodyFraming::of_request(&head) {
        Ok(framing) => framing,
        Err(error) => return refuse_malformed(reply, &id, error).await,
    };
    let declared = match framing {
        h1::BodyFraming::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        _ => 0,
    };
    if declared > limits.body_bytes {
        let error = h1::MessageError::BodyTooLarge { limit: limits.body_bytes };
        return refuse_malformed(reply, &id, error).await;
    }
    let expects = head.headers.contains_key(http::header::EXPECT);
    let arrived = context.now();
    let max_wait = request.as_ref().ok().and_then(|request| request.max_wait);
    let waiting = start_gate::ArrivedRequest { head: &head, arrived, max_wait, bytes: declared };
    start_gate::wait_until_ready(context, &waiting).await;
    let mut call = match incoming_call::admit(context, head, request, arrived) {
        Ok(call) => call,
        Err(refusal) => return refuse_unread(reply, reader, &mut framing, &id, &refusal).await,
    };
    if stop_gate::check(context, &call, call.request.last_event.is_some()).is_err() {
        return refuse_unread(reply, reader, &mut framing, &id, &stop_gate::refusal()).await;
    }
    let left = call.left(context.now());
    let has_arrived = framing.ended() || declared > 0 && declared <= reader.buffered();
    let arriving = match reserve_arriving(context, &call, has_arrived) {
        Ok(guard) => guard,
        Err(rejection) => {
            let refusal = rejection.refusal(left);
            return refuse_unread(reply, reader, &mut framing, &id, &refusal).await;
        }
    };
    let intake =
        body_intake::BodyIntake { context, call: &call, limits, arriving: arriving.as_ref() };
    let admitted = stop_gate::until_exit(context, std::pin::pin!(intake.admit(framing))).await;
    let body_bytes = match admitted {
        Some(Ok(guard)) => guard,
        None => return refuse_stopping(reply, &id).await,
        Some(Err(error)) => match error.refusal(left) {
            Ok(refusal) => {
                return refuse_unread(reply, reader, &mut framing, &id, &refusal).await;
            }
            Err(error) => return Err(error),
        },
    };
    if expects && !framing.ended() {
        reply.writer.write(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await?;
    }
    let begun = context.now();
    let body_bytes = body_bytes.as_ref();
    let reading = intake.read(reader, &mut framing, body_bytes);
    let read = stop_gate::until_exit(context, std::pin::pin!(reading)).await;
    let body = match read {
        Some(Ok(body)) => body,
        None => return refuse_stopping(reply, &id).await,
        Some(Err(error)) => return refuse_unreceived(reply, &id, error, left).await,
    };
    call.body = body;
    call.add_sending_time(context.now().since(begun));
    drop(arriving);
    let kind = byte_budget::ByteKind::Request;
    let _request_bytes = match body_intake::reserve_request(context, &call, kind) {
        Ok(guard) => guard,
        Err(rejection) => {
            let refusal = rejection.refusal(left);
            return refuse_not_admitted(reply, &id, &refusal).await;
        }
    };
    // On the heap, so that connections without an admitted request do not hold memory for serving one.
    Box::pin(serve_admitted(context, reader, reply, &call)).await
}

/// Reserves what a request holds while its body arrives; nothing if that `has_arrived`. Fails also if there would be no
/// bytes for the request afterwards, so that its body is not sent in vain.
fn reserve_arriving(
    context: &rc::Rc<context::InstanceContext>,
    call: &incoming_call::IncomingCall,
    has_arrived: bool,
) -> Result<Option<intake::ByteGuard>, intake::IntakeRejection> {
    body_intake::reserve_request(context, call, byte_budget::ByteKind::Request)?;
    if has_arrived {
        return Ok(None);
    }
    body_intake::reserve_request(context, call, byte_budget::ByteKind::Arriving)
}

/// Serves a request whose body has been read.
async fn serve_admitted(
    context: &rc::Rc<context::InstanceContext>,
    reader: &mut h1::MessageReader,
    reply: &mut CallerReply<'_>,
    call: &incoming_call::IncomingCall,
) -> Result<ConnectionNext, h1::MessageError> {
    let mut record = call.record(context);
    // This outcome remains if the caller disconnects before the request is answered or refused.
    "caller left".clone_into(&mut record.outcome);
    context.count_request(&call.service);
    let served = {
        let serving = std::pin::pin!(serve_call(context, call, reply, &mut record));
        let serving = std::pin::pin!(stop_gate::until_exit(context, serving));
        let watching = std::pin::pin!(watch_caller(reader));
        // `select` polls `watching` first, so no work is done for a caller that has disconnected.
        match future::select(watching, serving).await {
            future::Either::Left(_) => Some(Ok(ConnectionNext::Close)),
            future::Either::Right((served, _)) => served,
        }
    };
    let next = match served {
        Some(next) => next,
        None => end_at_exit(call, reply, &mut record).await,
    };
    finish(context, call, record, call.arrived);
    next
}

/// Serves an admitted request, unless it is quarantined.
async fn serve_call(
    context: &rc::Rc<context::InstanceContext>,
    call: &incoming_call::IncomingCall,
    reply: &mut CallerReply<'_>,
    record: &mut request_record::RequestRecord,
) -> Result<ConnectionNext, h1::MessageError> {
    let work = async {
        if call.route.streaming {
            model_request::serve(context, call, reply, record).await
        } else {
            service_request::serve(context, call, reply, record).await
        }
    };
    let next = match quarantine_gate::pass(context, call, work).await {
        Ok(next) => next?,
        Err(held) => refuse_quarantined(context, call, reply, record, &held).await?,
    };
    Ok(if reply.closing() { ConnectionNext::Close } else { next })
}

/// Answers a request that is in progress when the process exits, unless part of its answer was sent.
async fn end_at_exit(
    call: &incoming_call::IncomingCall,
    reply: &mut CallerReply<'_>,
    record: &mut request_record::RequestRecord,
) -> Result<ConnectionNext, h1::MessageError> {
    let refusal = stop_gate::refusal_at_exit(call);
    record.outcome = format!("{} (ran: {})", refusal.message, refusal.ran.label());
    if !reply.begun {
        record.status = Some(refusal.code.status());
        reply.refuse(&call.request.id, &refusal).await?;
    }
    Ok(ConnectionNext::Close)
}

/// Refuses a request that is held back.
async fn refuse_quarantined(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    reply: &mut CallerReply<'_>,
    record: &mut request_record::RequestRecord,
    held: &quarantine_gate::HeldRequest,
) -> Result<ConnectionNext, h1::MessageError> {
    let refusal = quarantine_gate::refusal(context, call, held);
    let (why, ran) = (&refusal.message, refusal.ran.label());
    record.outcome = format!("{why}: {} (ran: {ran})", held.upstreams);
    call.identify(record);
    context.stats.borrow_mut().count("held_back", &call.service.to_string());
    if reply.begun {
        // After part of the answer was sent, only closing the connection shows that it is incomplete.
        return Ok(ConnectionNext::Close);
    }
    record.status = Some(refusal.code.status());
    reply.refuse(&call.request.id, &refusal).await?;
    Ok(ConnectionNext::Keep)
}

/// Counts and logs a request that has ended, and stores its record.
fn finish(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    mut record: request_record::RequestRecord,
    arrived: units::MonoTime,
) {
    record.total_ms = units::whole_millis(context.now().since(arrived));
    let mut stats = context.stats.borrow_mut();
    let series = call.route.name.as_str();
    let status = record.status.map_or("none".to_owned(), |status| status.to_string());
    stats.count("requests", &format!("{series}/{status}"));
    stats.time("total", series, context.now().since(arrived));
    if let Some(first) = record.first_ms {
        stats.time("first_token", series, time::Duration::from_millis(first));
        let customer = format!("customer/{}", record.customer);
        stats.time("first_token", &customer, time::Duration::from_millis(first));
    }
    let shown = serde_json::to_string(&record).unwrap_or_else(|error| error.to_string());
    if record.status == Some(200) {
        log::info!(request = shown.as_str(); "request.ended");
    } else {
        log::warn!(request = shown.as_str(); "request.ended");
    }
    context.records.borrow_mut().push(record);
}

/// Completes when the caller closes its connection. Pipelined bytes stay buffered; beyond
/// [`MAX_PIPELINED_BYTES`] the connection is no longer read, so a close is not detected.
async fn watch_caller(reader: &mut h1::MessageReader) {
    loop {
        if reader.buffered() > MAX_PIPELINED_BYTES {
            return future::pending().await;
        }
        if !matches!(reader.fill().await, Ok(count) if count > 0) {
            return;
        }
    }
}

/// Refuses a request whose body has not been read. The connection stays open only if the body has arrived completely;
/// else its remaining bytes would be taken for the next request.
async fn refuse_unread(
    reply: &mut CallerReply<'_>,
    reader: &mut h1::MessageReader,
    framing: &mut h1::BodyFraming,
    id: &str,
    refusal: &refusal::RequestRefusal,
) -> Result<ConnectionNext, h1::MessageError> {
    reply.close |= !reader.discard_arrived_body(framing);
    refuse_not_admitted(reply, id, refusal).await
}

/// Refuses a request on a connection that was accepted when others were closed for a stop.
async fn refuse_late(
    reply: &mut CallerReply<'_>,
    head: &http::request::Parts,
) -> Result<ConnectionNext, h1::MessageError> {
    let request = reply.context.adapter.parse_request(head);
    let id = request.map(|request| request.id).unwrap_or_default();
    refuse_stopping(reply, &id).await
}

/// Refuses a request that was not passed on, as the process stops.
async fn refuse_stopping(
    reply: &mut CallerReply<'_>,
    id: &str,
) -> Result<ConnectionNext, h1::MessageError> {
    reply.close = true;
    refuse_not_admitted(reply, id, &stop_gate::refusal()).await
}

/// Refuses a request that was not received completely; returns an error of the connection.
async fn refuse_unreceived(
    reply: &mut CallerReply<'_>,
    id: &str,
    error: body_intake::BodyError,
    left: time::Duration,
) -> Result<ConnectionNext, h1::MessageError> {
    reply.close = true;
    match error.refusal(left) {
        Ok(refusal) => refuse_not_admitted(reply, id, &refusal).await,
        Err(error) => refuse_malformed(reply, id, error).await,
    }
}

/// Refuses a request that was not admitted.
async fn refuse_not_admitted(
    reply: &mut CallerReply<'_>,
    id: &str,
    refusal: &refusal::RequestRefusal,
) -> Result<ConnectionNext, h1::MessageError> {
    log::info!(id, code = refusal.code.label(), reason = refusal.message.as_str();
        "request.not_admitted");
    reply.context.stats.borrow_mut().count("not_admitted", refusal.code.label());
    reply.refuse(id, refusal).await?;
    Ok(if reply.closing() { ConnectionNext::Close } else { ConnectionNext::Keep })
}

/// Refuses a request that is malformed or too large; returns any other error.
async fn refuse_malformed(
    reply: &mut CallerReply<'_>,
    id: &str,
    error: h1::MessageError,
) -> Result<ConnectionNext, h1::MessageError> {
    let code = match &error {
        h1::MessageError::BodyTooLarge { .. } | h1::MessageError::HeadTooLarge { .. } => {
            refusal::RefusalCode::TooLarge
        }
        h1::MessageError::Malformed { .. } => refusal::RefusalCode::BadRequest,
        _ => return Err(error),
    };
    reply.close = true;
    reply.refuse(id, &refusal::RequestRefusal::not_run(code, error.to_string())).await?;
    Ok(ConnectionNext::Close)
}

/// Reads and discards remaining input before the socket is closed. Closing a socket with unread
/// data resets the connection, which may lose the answer that was just sent.
async fn linger(reader: &mut h1::MessageReader) {
    let discarding = async {
        let mut framing = h1::BodyFraming::UntilClose;
        while let Ok(Some(_)) = reader.next_piece(&mut framing).await {}
    };
    // After `LINGER_TIMEOUT` the connection is closed even if the caller is still sending: it has had time to read its
    // answer.
    let _ = monoio::time::timeout(LINGER_TIMEOUT, discarding).await;
}
