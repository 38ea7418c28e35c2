//! A caller's connection: one request after the other, until either side closes.

use std::{rc, time};

use futures::future;
use slipturn_core::{quarantine, refusal, start_wait, units};
use slipturn_net::h1;

use crate::{
    context, incoming_call, model_request, quarantine_gate, request_record, service_request,
};

/// Bytes that a caller may send ahead of its answer.
const MAX_AHEAD: usize = 64 * 1024;
/// Time for reading what a refused caller still sends, so that it can read its answer.
const LINGER_TIME: time::Duration = time::Duration::from_millis(500);
/// Age before which members that started at the same moment may not agree on who plans; each
/// would plan alone then, and give away the same engines.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(150);
/// Time between two looks at whether they are known.
const KNOWN_POLL: time::Duration = time::Duration::from_millis(10);

/// What becomes of the connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionNext {
    /// It takes another request.
    Keep,
    /// It is closed.
    Close,
}

/// The writing side of a caller's connection while one request is served.
pub struct CallerReply<'a> {
    context: &'a context::InstanceContext,
    writer: &'a mut h1::MessageWriter,
    /// Whether the connection is closed after the answer.
    close: bool,
    /// Whether part of an answer may be on its way.
    begun: bool,
}

impl CallerReply<'_> {
    /// Sends a whole answer of an upstream.
    pub async fn whole(
        &mut self,
        head: &http::response::Parts,
        body: &[u8],
    ) -> Result<(), h1::MessageError> {
        self.begun = true;
        let mut headers = head.headers.clone();
        h1::strip_connection_headers(&mut headers);
        let mut bytes = h1::answer_bytes(head.status, &headers, Some(body.len()), self.closing());
        bytes.extend_from_slice(body);
        self.writer.write(bytes).await
    }

    /// Sends the head of a stream, with its first events.
    pub async fn begin(
        &mut self,
        head: &http::response::Parts,
        events: &[u8],
    ) -> Result<(), h1::MessageError> {
        self.begun = true;
        let mut headers = head.headers.clone();
        h1::strip_connection_headers(&mut headers);
        let mut bytes = h1::answer_bytes(head.status, &headers, None, self.closing());
        if !events.is_empty() {
            bytes.extend_from_slice(&h1::chunk_bytes(events));
        }
        self.writer.write(bytes).await
    }

    /// Sends the head of a plain answer, of a length where that is known, with the first bytes of its body.
    pub(crate) async fn begin_body(
        &mut self,
        head: &http::response::Parts,
        length: Option<usize>,
        leading: &[u8],
    ) -> Result<(), h1::MessageError> {
        if length.is_none() {
            return self.begin(head, leading).await;
        }
        self.begun = true;
        let mut headers = head.headers.clone();
        h1::strip_connection_headers(&mut headers);
        let mut bytes = h1::answer_bytes(head.status, &headers, length, self.closing());
        bytes.extend_from_slice(leading);
        self.writer.write(bytes).await
    }

    /// Sends more of a plain answer, of a length that is known or not.
    pub(crate) async fn body_piece(
        &mut self,
        known_length: bool,
        piece: bytes::Bytes,
    ) -> Result<(), h1::MessageError> {
        if known_length {
            return self.writer.write(piece).await;
        }
        self.writer.write(h1::chunk_bytes(&piece)).await
    }

    /// Sends events of a stream.
    pub async fn events(&mut self, events: &[u8]) -> Result<(), h1::MessageError> {
        self.writer.write(h1::chunk_bytes(events)).await
    }

    /// Ends a stream.
    pub async fn end(&mut self) -> Result<(), h1::MessageError> {
        self.writer.write(h1::LAST_CHUNK).await
    }

    /// Sends a refusal.
    pub async fn refuse(
        &mut self,
        id: &str,
        refusal: &refusal::RequestRefusal,
    ) -> Result<(), h1::MessageError> {
        self.begun = true;
        let status = http::StatusCode::from_u16(refusal.code.status())
            .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        let mut headers = self.context.border.answer_headers(id, refusal.retry_after);
        let kind = http::HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, kind);
        let body = serde_json::json!({"error": {
            "code": refusal.code.label(),
            "ran": refusal.ran.label(),
            "message": refusal.message,
        }});
        let body = body.to_string();
        let mut bytes = h1::answer_bytes(status, &headers, Some(body.len()), self.closing());
        bytes.extend_from_slice(body.as_bytes());
        self.writer.write(bytes).await
    }

    /// Whether the connection is closed after this answer.
    pub fn closing(&self) -> bool {
        self.close || self.context.stop.asked()
    }
}

/// Serves a connection to its end.
pub async fn serve(context: rc::Rc<context::InstanceContext>, stream: monoio::net::TcpStream) {
    let (mut reader, mut writer) = h1::split(stream);
    loop {
        match serve_next(&context, &mut reader, &mut writer).await {
            Ok(ConnectionNext::Keep) => {}
            Ok(ConnectionNext::Close) => break,
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

async fn serve_next(
    context: &rc::Rc<context::InstanceContext>,
    reader: &mut h1::MessageReader,
    writer: &mut h1::MessageWriter,
) -> Result<ConnectionNext, h1::MessageError> {
    let limits = context.fleet.borrow().routes.limits;
    if !reader.has_surplus() {
        reader.rest();
        let resting = std::pin::pin!(monoio::time::timeout(limits.idle, reader.fill()));
        match future::select(resting, context.closing.clone()).await {
            future::Either::Left((Ok(filled), _)) => {
                if filled? == 0 {
                    return Ok(ConnectionNext::Close);
                }
            }
            // The caller has rested too long, or this process is about to end.
            _ => return Ok(ConnectionNext::Close),
        }
    }
    let _busy = context::BusyGuard::new(context);
    let limits = context.fleet.borrow().routes.limits;
    let head = monoio::time::timeout(limits.arrival, reader.request_head(limits.head_bytes)).await;
    let mut reply = CallerReply { context, writer, close: true, begun: false };
    let head = match head {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return Ok(ConnectionNext::Close),
        Ok(Err(error)) => return refuse_bytes(&mut reply, "", error).await,
        Err(_) => {
            let text = "the head of the request did not arrive in time";
            let code = refusal::RefusalCode::BodyTimeout;
            reply.refuse("", &refusal::RequestRefusal::not_run(code, text)).await?;
            return Ok(ConnectionNext::Close);
        }
    };
    reply.close = h1::closes(head.version, &head.headers);
    serve_head(context, reader, &mut reply, head, limits).await
}

async fn serve_head(
    context: &rc::Rc<context::InstanceContext>,
    reader: &mut h1::MessageReader,
    reply: &mut CallerReply<'_>,
    head: http::request::Parts,
    limits: slipturn_core::route_table::CallerLimits,
) -> Result<ConnectionNext, h1::MessageError> {
    let request = context.border.read_request(&head);
    let id = request.as_ref().map(|request| request.id.clone()).unwrap_or_default();
    let mut framing = match h1::BodyFraming::of_request(&head) {
        Ok(framing) => framing,
        Err(error) => return refuse_bytes(reply, &id, error).await,
    };
    let expects = head.headers.contains_key(http::header::EXPECT);
    if expects && !framing.ended() {
        reply.writer.write(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await?;
    }
    let reading = reader.whole_body(&mut framing, limits.body_bytes);
    let body = match monoio::time::timeout(limits.arrival, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return refuse_bytes(reply, &id, error).await,
        Err(_) => {
            let text = "the body of the request did not arrive in time";
            let code = refusal::RefusalCode::BodyTimeout;
            reply.refuse(&id, &refusal::RequestRefusal::not_run(code, text)).await?;
            return Ok(ConnectionNext::Close);
        }
    };
    let arrived = context.now();
    let patience = request.as_ref().ok().and_then(|request| request.patience);
    wait_until_known(context, arrived, patience.unwrap_or(incoming_call::USUAL_PATIENCE)).await;
    let mut call = match incoming_call::admit(context, head, request, arrived) {
        Ok(call) => call,
        Err(refusal) => {
            log::info!(id, code = refusal.code.label(), reason = refusal.message.as_str();
                "request.not_admitted");
            context.stats.borrow_mut().count("not_admitted", refusal.code.label());
            reply.refuse(&id, &refusal).await?;
            return Ok(if reply.closing() { ConnectionNext::Close } else { ConnectionNext::Keep });
        }
    };
    call.body = body;
    let mut record = call.record(context);
    // What stays in the record when nothing else happens.
    "caller left".clone_into(&mut record.outcome);
    context.count_request(&call.service);
    let next = {
        let serving = std::pin::pin!(serve_call(context, &call, reply, &mut record));
        let watching = std::pin::pin!(watch_caller(reader));
        // Watched first: nothing more is done for a caller whose close has arrived already.
        match future::select(watching, serving).await {
            future::Either::Left(_) => Ok(ConnectionNext::Close),
            future::Either::Right((next, _)) => next,
        }
    };
    finish(context, &call, record, arrived);
    next
}

/// Waits while this process has just started and knows neither routes nor upstreams nor who plans:
/// it learns them within a moment, and many callers come back only once.
async fn wait_until_known(
    context: &context::InstanceContext,
    arrived: units::MonoTime,
    patience: time::Duration,
) {
    loop {
        let now = context.now();
        let age = now.since(units::MonoTime::default());
        let known = context.fleet.borrow().is_known();
        if known && age >= SETTLE_TIME {
            return;
        }
        let contact = start_contact(context, now);
        if !start_wait::keeps_waiting(contact, age, now.since(arrived), patience) {
            return;
        }
        monoio::time::sleep(KNOWN_POLL).await;
    }
}

fn start_contact(
    context: &context::InstanceContext,
    now: units::MonoTime,
) -> start_wait::StartContact {
    let members = context.members.borrow();
    let near = &context.settings().data_center;
    if context.belief.borrow().answers() || !members.any_sources(now, near).is_empty() {
        start_wait::StartContact::Source
    } else if members.alive(now).next().is_some() {
        start_wait::StartContact::Members
    } else {
        start_wait::StartContact::Nobody
    }
}

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
        Err(verdict) => hold_back(context, call, reply, record, &verdict).await?,
    };
    Ok(if reply.closing() { ConnectionNext::Close } else { next })
}

/// Answers a request that is held back.
async fn hold_back(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    reply: &mut CallerReply<'_>,
    record: &mut request_record::RequestRecord,
    verdict: &quarantine::QuarantineVerdict,
) -> Result<ConnectionNext, h1::MessageError> {
    let refusal = quarantine_gate::refusal(context, call, verdict);
    let (why, ran) = (&refusal.message, refusal.ran.label());
    record.outcome = format!("{why}: {} (ran: {ran})", verdict.names());
    record.digest = Some(call.digest().to_string());
    context.stats.borrow_mut().count("held_back", &call.service.to_string());
    if reply.begun {
        // Only a cut connection can say now that the answer is not whole.
        return Ok(ConnectionNext::Close);
    }
    record.status = Some(refusal.code.status());
    reply.refuse(&call.request.id, &refusal).await?;
    Ok(ConnectionNext::Keep)
}

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

/// Ends when the caller has closed its connection; what it sends ahead stays for later.
async fn watch_caller(reader: &mut h1::MessageReader) {
    loop {
        if reader.buffered() > MAX_AHEAD {
            return future::pending().await;
        }
        if !matches!(reader.fill().await, Ok(count) if count > 0) {
            return;
        }
    }
}

async fn refuse_bytes(
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

/// Reads and drops what still comes: a socket closed with unread data resets the connection, and
/// the caller may lose the answer that it was just sent.
async fn linger(reader: &mut h1::MessageReader) {
    let dropping = async {
        let mut framing = h1::BodyFraming::UntilClose;
        while let Ok(Some(_)) = reader.next_piece(&mut framing).await {}
    };
    // A caller that takes longer has had its answer for as long.
    let _ = monoio::time::timeout(LINGER_TIME, dropping).await;
}
