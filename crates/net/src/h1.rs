//! HTTP/1.1 client and server messages for an instance that forwards bodies unchanged.
//!
//! Heads are parsed by `httparse`. `monoio-http` is not used here because it treats a response without
//! a length as empty, writes a complete request before it reads the response, and keeps its buffers
//! while a connection is idle.

use std::{cell, future, io, ops, pin, rc, task, time};

use bytes::{Buf as _, Bytes, BytesMut};
use monoio::{
    io::{AsyncReadRent as _, AsyncWriteRent as _, AsyncWriteRentExt as _},
    io::{OwnedReadHalf, OwnedWriteHalf, Splitable as _},
    net,
};
use snafu::{ResultExt as _, Snafu};

/// Maximum number of headers in a message. No known client or upstream sends that many.
const MAX_HEADERS: usize = 64;
/// Maximum number of bytes per read from the socket.
pub const READ_BYTES: usize = 8 * 1024;
/// Size in bytes above which an incomplete response head is rejected.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// Maximum size in bytes of all interim responses before a response, and of all trailers after a body.
const MAX_SKIPPED_BYTES: usize = MAX_RESPONSE_HEAD_BYTES;
/// Number of bytes read without a wait after which a reader lets other tasks and sockets be served: a peer that sends as
/// fast as it is read would hold the thread.
const YIELD_BYTES: usize = 4 * READ_BYTES;
/// Number of bytes read without a wait after which a reader also lets timers be served, which the event loop does only
/// while no task is ready. That takes up to a millisecond, so it is rarer.
const MAX_UNINTERRUPTED_BYTES: usize = 8 * YIELD_BYTES;
/// Maximum length in bytes of a chunk-size line or trailer line that is still incomplete.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;
/// Status codes that an answer may have; `http` accepts up to 999.
pub(crate) const STATUS_CODES: ops::RangeInclusive<u16> = 100..=599;
/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Error that occurs when a message is read or written.
#[derive(Debug, Snafu)]
pub enum MessageError {
    /// Reading from or writing to the socket failed.
    #[snafu(display("connection: {source}"))]
    Socket {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The peer closed the connection within a message.
    #[snafu(display("closed before the end of a message"))]
    Closed,
    /// The message is not valid HTTP/1.1.
    #[snafu(display("not HTTP/1.1: {reason}"))]
    Malformed {
        /// Part of the message that is malformed, or error of the parser.
        reason: String,
    },
    /// The head is still incomplete after the maximum number of bytes.
    #[snafu(display("the head has more than {limit} bytes"))]
    HeadTooLarge {
        /// Maximum size of the head in bytes.
        limit: usize,
    },
    /// The interim responses before a response, or the trailers after a body, are larger than the maximum.
    #[snafu(display("interim responses or trailers have more than {limit} bytes"))]
    SkippedTooLarge {
        /// Maximum size of the interim responses or of the trailers in bytes.
        limit: usize,
    },
    /// The body is longer, by its declared or its received length, than the reader allows.
    #[snafu(display("the body has more than {limit} bytes"))]
    BodyTooLarge {
        /// Maximum size of the body in bytes.
        limit: usize,
    },
}

/// State of a connection that both of its halves share.
///
/// The operating system reports the failure of a connection once, to the half that uses it next; the other half then
/// finds an ordinary end. So each half records a failure here, and the end is trusted only without one.
#[derive(Debug, Default)]
struct ConnectionState {
    /// Kind of the first error of either half; `None` while the connection has not failed.
    failure: cell::Cell<Option<io::ErrorKind>>,
}

impl ConnectionState {
    /// Records the error of an operation on the connection, if it failed.
    fn check<T>(&self, result: io::Result<T>) -> Result<T, MessageError> {
        // `BrokenPipe` counts as well: a peer that closes its socket during an upload sends an end in order, and then a
        // reset, if it happens to have read all bytes that have arrived.
        if let Err(error) = &result {
            self.failure.set(self.failure.get().or(Some(error.kind())));
        }
        result.context(SocketSnafu)
    }

    /// Fails if an earlier operation on the connection has failed.
    fn check_end(&self) -> Result<(), MessageError> {
        let failed = self.failure.get().map(io::Error::from);
        failed.map_or(Ok(()), |error| Err(error).context(SocketSnafu))
    }
}

/// The reading half of a connection, with a buffer of bytes that have arrived but are not consumed.
#[derive(Debug)]
pub struct MessageReader {
    half: OwnedReadHalf<net::TcpStream>,
    state: rc::Rc<ConnectionState>,
    buffer: BytesMut,
    /// Number of bytes read since a read last had to wait; less than [`MAX_UNINTERRUPTED_BYTES`].
    uninterrupted: usize,
}

/// The writing half of a connection. It has no buffer; every write is flushed.
#[derive(Debug)]
pub struct MessageWriter {
    half: OwnedWriteHalf<net::TcpStream>,
    state: rc::Rc<ConnectionState>,
}

/// Splits a connected socket into a reader and a writer and disables Nagle's algorithm.
pub fn split(stream: net::TcpStream) -> (MessageReader, MessageWriter) {
    // Without `TCP_NODELAY`, small events wait for an acknowledgement of the earlier ones. A socket
    // that rejects the option still works.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("set_nodelay: {error}");
    }
    let (read_half, write_half) = stream.into_split();
    let state = rc::Rc::new(ConnectionState::default());
    let reader = MessageReader {
        half: read_half,
        state: rc::Rc::clone(&state),
        buffer: BytesMut::new(),
        uninterrupted: 0,
    };
    (reader, MessageWriter { half: write_half, state })
}

impl MessageReader {
    /// Waits for bytes and appends them to the buffer. Returns their number, 0 if the peer has closed the
    /// connection in order; a connection of which a read or a write has failed has no such end.
    pub async fn fill(&mut self) -> Result<usize, MessageError> {
        // The future may be dropped while it waits. With the poll driver no data is lost, because bytes
        // are only taken from the socket by the poll that completes the read.
        let mut reading = pin::pin!(self.half.read(Vec::with_capacity(READ_BYTES)));
        let mut has_waited = false;
        let read = future::poll_fn(|context| {
            let polled = reading.as_mut().poll(context);
            has_waited |= polled.is_pending();
            polled
        });
        let (result, buffer) = read.await;
        let count = self.state.check(result)?;
        if count == 0 {
            self.state.check_end()?;
        }
        self.buffer.extend_from_slice(&buffer[..count]);
        self.uninterrupted = if has_waited { 0 } else { self.uninterrupted + count };
        if self.uninterrupted >= MAX_UNINTERRUPTED_BYTES {
            self.uninterrupted = 0;
            monoio::time::sleep(time::Duration::ZERO).await;
        } else if self.uninterrupted / YIELD_BYTES
            > self.uninterrupted.saturating_sub(count) / YIELD_BYTES
        {
            yield_once().await;
        }
        Ok(count)
    }

    /// Returns whether the buffer contains bytes that are not consumed. After a request, they are
    /// the start of the next one; after a response, they belong to no request, and the connection
    /// is not reused.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of bytes that have arrived and are not consumed. The instance uses it to
    /// limit pipelined requests.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Frees the memory of the buffer if it is empty. Called before a connection becomes idle.
    pub fn free_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Reads the head of a request; fails if it is incomplete after more than `limit` bytes.
    /// Returns `None` if the peer closes the connection before the first byte of a head.
    pub async fn request_head(
        &mut self,
        limit: usize,
    ) -> Result<Option<http::request::Parts>, MessageError> {
        loop {
            if let Some(head) = self.parse_request()? {
                return Ok(Some(head));
            }
            if self.buffer.len() > limit {
                return HeadTooLargeSnafu { limit }.fail();
            }
            if self.fill().await? == 0 {
                let between_requests = self.buffer.is_empty();
                return if between_requests { Ok(None) } else { ClosedSnafu.fail() };
            }
        }
    }

    /// Reads the head of a response and skips interim responses (status 1xx).
    pub async fn response_head(&mut self) -> Result<http::response::Parts, MessageError> {
        let mut skipped = 0;
        loop {
            let arrived = self.buffer.len();
            if let Some(head) = self.parse_response()? {
                if head.status == http::StatusCode::SWITCHING_PROTOCOLS {
                    let reason = "a change of protocol that was not requested";
                    return MalformedSnafu { reason }.fail();
                }
                if head.status.is_informational() {
                    check_bodiless(&head)?;
                    skipped += arrived - self.buffer.len();
                    check_skipped(skipped)?;
                    continue;
                }
                return Ok(head);
            }
            if self.buffer.len() > MAX_RESPONSE_HEAD_BYTES {
                return HeadTooLargeSnafu { limit: MAX_RESPONSE_HEAD_BYTES }.fail();
            }
            if self.fill().await? == 0 {
                return ClosedSnafu.fail();
            }
        }
    }

    /// Reads a complete body of at most `limit` bytes.
    pub async fn whole_body(
        &mut self,
        framing: &mut BodyFraming,
        limit: usize,
    ) -> Result<Bytes, MessageError> {
        if let BodyFraming::Length(length) = framing
            && *length > limit as u64
        {
            return BodyTooLargeSnafu { limit }.fail();
        }
        let mut body = BytesMut::new();
        while let Some(piece) = self.next_piece(framing).await? {
            if body.len() + piece.len() > limit {
                return BodyTooLargeSnafu { limit }.fail();
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    }

    /// Returns the head of a request if it has arrived completely, without waiting.
    pub fn arrived_request_head(&mut self) -> Result<Option<http::request::Parts>, MessageError> {
        self.parse_request()
    }

    /// Discards bytes of a body that have arrived. Returns whether that was the rest of the body, so that the
    /// connection can be used for another request.
    pub fn discard_arrived_body(&mut self, framing: &mut BodyFraming) -> bool {
        while matches!(self.take_piece(framing), Ok(Some(_))) {}
        framing.ended()
    }

    /// Waits for bytes of a body and returns those that have arrived; small chunks are joined, as each piece costs its
    /// reader far more than its bytes. Returns `None` at the end of the body.
    pub async fn next_piece(
        &mut self,
        framing: &mut BodyFraming,
    ) -> Result<Option<Bytes>, MessageError> {
        loop {
            if let Some(piece) = self.take_pieces(framing)? {
                return Ok(Some(piece));
            }
            if framing.ended() {
                return Ok(None);
            }
            if self.fill().await? == 0 {
                if matches!(framing, BodyFraming::UntilClose) {
                    *framing = BodyFraming::Ended;
                    return Ok(None);
                }
                return ClosedSnafu.fail();
            }
        }
    }

    fn parse_request(&mut self) -> Result<Option<http::request::Parts>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(&self.buffer).map_err(malformed)?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let mut builder = http::Request::builder()
            .method(parsed.method.unwrap_or_default())
            .uri(parsed.path.unwrap_or_default())
            .version(version(parsed.version));
        for header in parsed.headers.iter() {
            builder = builder.header(header.name, header.value);
        }
        let request = builder.body(()).map_err(malformed)?;
        self.buffer.advance(length);
        Ok(Some(request.into_parts().0))
    }

    fn parse_response(&mut self) -> Result<Option<http::response::Parts>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(&self.buffer).map_err(malformed)?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let code = parsed.code.unwrap_or_default();
        if !STATUS_CODES.contains(&code) {
            return MalformedSnafu { reason: format!("status {code}") }.fail();
        }
        let mut builder = http::Response::builder().status(code).version(version(parsed.version));
        for header in parsed.headers.iter() {
            builder = builder.header(header.name, header.value);
        }
        let response = builder.body(()).map_err(malformed)?;
        self.buffer.advance(length);
        Ok(Some(response.into_parts().0))
    }

    /// Removes the arrived bytes of a body, of several chunks up to [`READ_BYTES`].
    fn take_pieces(&mut self, framing: &mut BodyFraming) -> Result<Option<Bytes>, MessageError> {
        let Some(first) = self.take_piece(framing)? else {
            return Ok(None);
        };
        let mut joined = BytesMut::new();
        // An error is found again by the next call, once the bytes before it have been returned.
        while first.len().max(joined.len()) < READ_BYTES
            && let Ok(Some(next)) = self.take_piece(framing)
        {
            if joined.is_empty() {
                joined.extend_from_slice(&first);
            }
            joined.extend_from_slice(&next);
        }
        Ok(Some(if joined.is_empty() { first } else { joined.freeze() }))
    }

    fn take_piece(&mut self, framing: &mut BodyFraming) -> Result<Option<Bytes>, MessageError> {
        match framing {
            BodyFraming::Ended => Ok(None),
            BodyFraming::UntilClose => Ok(self.take(u64::MAX)),
            BodyFraming::Length(left) => {
                let piece = self.take(*left);
                *left -= piece.as_ref().map_or(0, |piece| piece.len() as u64);
                if *left == 0 {
                    *framing = BodyFraming::Ended;
                }
                Ok(piece)
            }
            BodyFraming::Chunked(_) => self.take_chunk(framing),
        }
    }

    /// Removes up to `limit` bytes from the buffer; `None` if it is empty.
    fn take(&mut self, limit: u64) -> Option<Bytes> {
        let length = usize::try_from(limit).unwrap_or(usize::MAX).min(self.buffer.len());
        (length > 0).then(|| self.buffer.split_to(length).freeze())
    }

    fn take_chunk(&mut self, framing: &mut BodyFraming) -> Result<Option<Bytes>, MessageError> {
        loop {
            let BodyFraming::Chunked(state) = framing else {
                return Ok(None);
            };
            match state {
                ChunkState::Size => match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        self.buffer.advance(length);
                        *state =
                            if size == 0 { ChunkState::Trailer(0) } else { ChunkState::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_CHUNK_LINE_BYTES => {
                        return Ok(None);
                    }
                    _ => return MalformedSnafu { reason: "length of a chunk" }.fail(),
                },
                ChunkState::Data(left) => {
                    let left = *left;
                    let Some(piece) = self.take(left) else {
                        return Ok(None);
                    };
                    let left = left - piece.len() as u64;
                    *state = if left == 0 { ChunkState::DataEnd } else { ChunkState::Data(left) };
                    return Ok(Some(piece));
                }
                ChunkState::DataEnd => {
                    if self.buffer.len() < 2 {
                        return Ok(None);
                    }
                    if !self.buffer.starts_with(b"\r\n") {
                        return MalformedSnafu { reason: "end of a chunk" }.fail();
                    }
                    self.buffer.advance(2);
                    *state = ChunkState::Size;
                }
                ChunkState::Trailer(skipped) => {
                    let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if self.buffer.len() > MAX_CHUNK_LINE_BYTES {
                            return MalformedSnafu { reason: "trailer" }.fail();
                        }
                        return Ok(None);
                    };
                    self.buffer.advance(end + 2);
                    *skipped += end + 2;
                    check_skipped(*skipped)?;
                    if end == 0 {
                        *framing = BodyFraming::Ended;
                    }
                }
            }
        }
    }
}

impl MessageWriter {
    /// Writes all bytes to the socket and flushes it.
    pub async fn write(&mut self, data: impl Into<Bytes>) -> Result<(), MessageError> {
        let (result, _) = self.half.write_all(data.into()).await;
        self.state.check(result)?;
        let flushed = self.half.flush().await;
        self.state.check(flushed)
    }

    /// Closes the sending direction. Data that was written before still arrives.
    pub async fn shutdown(&mut self) -> Result<(), MessageError> {
        let closed = self.half.shutdown().await;
        self.state.check(closed)
    }
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body is complete, or there is none.
    Ended,
    /// The body ends after this number of further bytes.
    Length(u64),
    /// The body is sent in chunks and ends with an empty one.
    Chunked(ChunkState),
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// The next part to be read of a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkState {
    /// The line with the size of a chunk.
    Size,
    /// The data of a chunk, of which this number of bytes is left.
    Data(u64),
    /// The line break after the data of a chunk.
    DataEnd,
    /// The trailer lines after the last chunk, of which this number of bytes has been skipped; at most
    /// `MAX_SKIPPED_BYTES`.
    Trailer(usize),
}

impl BodyFraming {
    /// Determines the framing of a request body from the headers. A request that declares no length
    /// has no body.
    pub fn of_request(head: &http::request::Parts) -> Result<Self, MessageError> {
        let declared = Self::declared(head.version, &head.headers)?;
        Ok(declared.unwrap_or(Self::Ended))
    }

    /// Determines the framing of a response body from the status and the headers. A response that
    /// declares no length ends with the connection, unless its status excludes a body.
    pub fn of_response(head: &http::response::Parts) -> Result<Self, MessageError> {
        Self::of_response_fields(head.status, head.version, &head.headers)
    }

    /// Determines the framing of a response body like [`Self::of_response`].
    pub(crate) fn of_response_fields(
        status: http::StatusCode,
        version: http::Version,
        headers: &http::HeaderMap,
    ) -> Result<Self, MessageError> {
        let declared = Self::declared(version, headers)?;
        match (status, declared) {
            (http::StatusCode::NO_CONTENT, Some(Self::Length(_) | Self::Chunked(_))) => {
                MalformedSnafu { reason: "a body that the status excludes" }.fail()
            }
            // The length of a `304` is that of the body which it leaves out.
            (http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED, _) => Ok(Self::Ended),
            (_, declared) => Ok(declared.unwrap_or(Self::UntilClose)),
        }
    }

    /// Returns whether the body is complete.
    pub fn ended(&self) -> bool {
        *self == Self::Ended
    }

    /// Returns the framing that the headers declare, if any. Fails if they declare several or an
    /// invalid one.
    fn declared(
        version: http::Version,
        headers: &http::HeaderMap,
    ) -> Result<Option<Self>, MessageError> {
        let lengths: Vec<_> = headers.get_all(http::header::CONTENT_LENGTH).iter().collect();
        let is_coded = headers.contains_key(http::header::TRANSFER_ENCODING);
        match (is_coded, lengths.as_slice()) {
            (false, []) => Ok(None),
            (true, []) => {
                // The bytes below another coding are not the body, and HTTP/1.0 has no codings.
                if version == http::Version::HTTP_10 || !is_chunked_once(headers) {
                    return MalformedSnafu { reason: "unknown transfer encoding" }.fail();
                }
                Ok(Some(Self::Chunked(ChunkState::Size)))
            }
            (false, [length]) => {
                let text = length.to_str().ok().filter(|text| !text.starts_with('+'));
                let length = text.and_then(|text| text.parse().ok());
                match length {
                    Some(0) => Ok(Some(Self::Ended)),
                    Some(length) => Ok(Some(Self::Length(length))),
                    None => MalformedSnafu { reason: "length of the body" }.fail(),
                }
            }
            // A body whose end is ambiguous allows request smuggling.
            _ => MalformedSnafu { reason: "more than one length of the body" }.fail(),
        }
    }
}

/// Returns whether `chunked`, once, is the only transfer coding.
fn is_chunked_once(headers: &http::HeaderMap) -> bool {
    let values = headers.get_all(http::header::TRANSFER_ENCODING).iter();
    let codings = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let mut codings = codings.map(<[u8]>::trim_ascii).filter(|coding| !coding.is_empty());
    let first = codings.next();
    first.is_some_and(|coding| coding.eq_ignore_ascii_case(b"chunked")) && codings.next().is_none()
}

/// Encodes the head of a request. `length` is the length of its body in bytes, `None` if it has none.
pub fn encode_request_head(head: &http::request::Parts, length: Option<usize>) -> Vec<u8> {
    let path = head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    let mut text = format!("{} {path} HTTP/1.1\r\n", head.method).into_bytes();
    put_headers(&mut text, &head.headers);
    if let Some(length) = length {
        text.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
    }
    text.extend_from_slice(b"\r\n");
    text
}

/// Encodes the head of a response. Without a `length`, the body is sent in chunks. `close`
/// announces that the connection is closed after the response.
pub fn encode_response_head(
    status: http::StatusCode,
    headers: &http::HeaderMap,
    length: Option<usize>,
    close: bool,
) -> Vec<u8> {
    let reason = status.canonical_reason().unwrap_or("-");
    let mut text = format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).into_bytes();
    put_headers(&mut text, headers);
    match length {
        Some(length) => {
            text.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
        }
        None => text.extend_from_slice(b"transfer-encoding: chunked\r\n"),
    }
    if close {
        text.extend_from_slice(b"connection: close\r\n");
    }
    text.extend_from_slice(b"\r\n");
    text
}

/// Encodes a chunk of a chunked body. An empty piece would end the body.
pub fn encode_chunk(piece: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
    chunk.extend_from_slice(piece);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// The empty chunk that ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Removes hop-by-hop headers, also those that `Connection` names, and `Content-Length`, which is added
/// again when the head is encoded.
pub fn strip_connection_headers(headers: &mut http::HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed.iter().map(String::as_str).chain(HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(http::header::CONTENT_LENGTH);
}

/// Returns whether the sender of these headers closes the connection after the message.
pub fn closes(version: http::Version, headers: &http::HeaderMap) -> bool {
    let mut options = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase());
    match version {
        http::Version::HTTP_10 => !options.any(|option| option == "keep-alive"),
        _ => options.any(|option| option == "close"),
    }
}

/// Returns how long the peer keeps an idle connection, if its `Keep-Alive` header says so: as `timeout=SECONDS`
/// or as a bare number of seconds.
pub fn keep_alive_timeout(headers: &http::HeaderMap) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    timeout.unwrap_or(value.trim()).parse().ok().map(time::Duration::from_secs)
}

fn put_headers(bytes: &mut Vec<u8>, headers: &http::HeaderMap) {
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
}

fn version(minor: Option<u8>) -> http::Version {
    if minor == Some(0) { http::Version::HTTP_10 } else { http::Version::HTTP_11 }
}

/// Fails if an interim response declares a body, which it cannot have.
fn check_bodiless(head: &http::response::Parts) -> Result<(), MessageError> {
    match BodyFraming::declared(head.version, &head.headers)? {
        None | Some(BodyFraming::Ended) => Ok(()),
        Some(_) => MalformedSnafu { reason: "an interim response with a body" }.fail(),
    }
}

/// Fails if more bytes were skipped than interim responses or trailers may have.
fn check_skipped(skipped: usize) -> Result<(), MessageError> {
    let limit = MAX_SKIPPED_BYTES;
    if skipped > limit { SkippedTooLargeSnafu { limit }.fail() } else { Ok(()) }
}

/// Lets the other ready tasks run, and the event loop check the sockets.
async fn yield_once() {
    let mut has_yielded = false;
    future::poll_fn(|context| {
        if std::mem::replace(&mut has_yielded, true) {
            return task::Poll::Ready(());
        }
        context.waker().wake_by_ref();
        task::Poll::Pending
    })
    .await;
}

fn malformed(reason: impl ToString) -> MessageError {
    MessageError::Malformed { reason: reason.to_string() }
}
