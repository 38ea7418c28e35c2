//! HTTP/1.1 server with one request at a time per connection.
//!
//! Heads and bodies are decoded by `monoio-http`. Streamed responses are encoded in this module, with
//! one chunk and one flush per piece, because the encoder of `monoio-http` delays pieces until its
//! buffer is full.

use std::{future, io, pin, rc, time};

use bytes::{BufMut as _, Bytes, BytesMut};
use monoio::{
    io::{
        AsyncReadRent as _, AsyncWriteRent as _, AsyncWriteRentExt as _, OwnedReadHalf,
        OwnedWriteHalf, Splitable as _, sink::SinkExt as _,
    },
    net,
};
use monoio_http::{
    common::{error, request, response},
    h1::codec::{decoder, encoder},
};
use snafu::{ResultExt as _, Snafu};

use crate::{body, metered_read, server};

/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: u64 = 32 * 1024;
/// Number of bytes that the reader may buffer beyond the part of a message that is being decoded.
const READ_AHEAD_BYTES: u64 = 16 * 1024;
/// Time to wait for a request head before an idle connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(75);

/// Maximum number of bytes that [`ServerConnection::linger`] reads and discards.
const LINGER_BYTES: u64 = 64 << 20;
/// Maximum time that [`ServerConnection::linger`] takes.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Size of the buffer into which [`ServerConnection::linger`] reads.
const LINGER_BUFFER_BYTES: usize = 64 * 1024;

type HeadDecoder = decoder::GenericHeadDecoder<
    request::RequestHead,
    decoder::RequestHeadDecoder,
    decoder::DirectWrapper,
>;
type BodyDecoder = decoder::PayloadDecoder<decoder::FixedBodyDecoder, decoder::ChunkedBodyDecoder>;
type Reader =
    monoio_codec::FramedRead<metered_read::MeteredRead<OwnedReadHalf<net::TcpStream>>, HeadDecoder>;

/// Error while a request is read or a response is sent.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// Writing to the socket failed.
    #[snafu(display("connection: {source}"))]
    Socket {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The request cannot be decoded, or a response cannot be sent.
    #[snafu(display("the request cannot be read: {reason}"))]
    Malformed {
        /// Error of the decoder or the encoder, or description of the malformed body.
        reason: String,
    },
    /// The declared or the received body is larger than [`BodyLimits::max_bytes`].
    #[snafu(display("the body has more than {limit} bytes"))]
    BodyTooLarge {
        /// Maximum size of the body in bytes.
        limit: u64,
    },
    /// The complete body did not arrive within [`BodyLimits::time`].
    #[snafu(display("the body did not arrive within {limit:?}"))]
    BodyTimeout {
        /// Time within which the body had to arrive.
        limit: time::Duration,
    },
}

/// Limits on the body of a request.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Maximum size of the body in bytes.
    pub max_bytes: u64,
    /// Time within which the complete body must arrive, counted from the start of reading it.
    pub time: time::Duration,
}

/// The head of a request whose body has not been read yet.
pub struct IncomingHead {
    /// Method, path and headers of the request.
    pub head: request::RequestHead,
    body: BodyDecoder,
}

impl IncomingHead {
    /// Returns the length of the body as declared by the caller, `None` for a chunked body.
    pub fn declared_length(&self) -> Option<u64> {
        match &self.body {
            decoder::PayloadDecoder::None => Some(0),
            decoder::PayloadDecoder::Streamed(_) => None,
            decoder::PayloadDecoder::Fixed(_) => {
                let length = self.head.headers.get(http::header::CONTENT_LENGTH)?;
                length.to_str().ok()?.parse().ok()
            }
        }
    }

    /// Returns the value of a header if it is visible ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }
}

/// An accepted connection of a caller or an operator.
pub struct ServerConnection {
    reader: Reader,
    allowance: metered_read::ReadAllowance,
    encoder: encoder::GenericEncoder<OwnedWriteHalf<net::TcpStream>>,
    writer: OwnedWriteHalf<net::TcpStream>,
}

impl ServerConnection {
    /// Wraps an accepted socket and disables Nagle's algorithm.
    pub fn new(stream: net::TcpStream) -> Self {
        // The connection works without `TCP_NODELAY`, so a failure is ignored.
        let _ = stream.set_nodelay(true);
        let (read_half, writer) = stream.into_split();
        let second_writer = OwnedWriteHalf(rc::Rc::clone(&writer.0));
        let (metered, allowance) = metered_read::MeteredRead::new(read_half);
        Self {
            reader: Reader::new(metered, HeadDecoder::default()),
            allowance,
            encoder: encoder::GenericEncoder::new(second_writer),
            writer,
        }
    }

    /// Reads the head of the next request. Returns `None` if the caller closes the connection or the idle
    /// timeout expires.
    pub async fn next_head(&mut self) -> Result<Option<IncomingHead>, ServeError> {
        use monoio::io::stream::Stream as _;
        self.allowance.set(MAX_HEAD_BYTES + READ_AHEAD_BYTES);
        let next = monoio::time::timeout(IDLE_TIMEOUT, self.reader.next()).await;
        let Ok(Some(decoded)) = next else {
            return Ok(None);
        };
        let (head, body) = decoded.map_err(malformed)?;
        let both = head.headers.contains_key(http::header::TRANSFER_ENCODING)
            && head.headers.contains_key(http::header::CONTENT_LENGTH);
        let lengths = head.headers.get_all(http::header::CONTENT_LENGTH).iter().count();
        if both || lengths > 1 {
            // A body whose end is ambiguous allows request smuggling.
            return MalformedSnafu { reason: "more than one length of the body" }.fail();
        }
        Ok(Some(IncomingHead { head, body }))
    }

    /// Reads the body of the request whose head is `incoming`, which must be the latest one. Sends
    /// `100 Continue` first if the caller expects it.
    pub async fn read_body(
        &mut self,
        incoming: &mut IncomingHead,
        limits: BodyLimits,
    ) -> Result<Bytes, ServeError> {
        let limit = limits.max_bytes;
        if incoming.declared_length().is_some_and(|length| length > limit) {
            return BodyTooLargeSnafu { limit }.fail();
        }
        if expects_continue(&incoming.head) {
            self.write_all(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n")).await?;
        }
        self.allowance.set(limit.saturating_add(READ_AHEAD_BYTES));
        let body =
            monoio::time::timeout(limits.time, self.collect(&mut incoming.body, limit)).await;
        body.unwrap_or_else(|_| BodyTimeoutSnafu { limit: limits.time }.fail())
    }

    /// Sends a response whose body is completely in memory.
    pub async fn respond(&mut self, response: http::Response<Bytes>) -> Result<(), ServeError> {
        let (head, body) = response.into_parts();
        let response = response::Response::from_parts(head, body::full_payload(body));
        self.encoder.send_and_flush(response).await.map_err(malformed)
    }

    /// Sends the head of a streamed response, whose body follows in chunks by [`Self::send_piece`].
    pub async fn start_stream(&mut self, head: &http::Response<()>) -> Result<(), ServeError> {
        let mut text = BytesMut::with_capacity(256);
        let status = head.status();
        let reason = status.canonical_reason().unwrap_or("-");
        text.put_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_str()).as_bytes());
        for (name, value) in head.headers() {
            text.put_slice(name.as_str().as_bytes());
            text.put_slice(b": ");
            text.put_slice(value.as_bytes());
            text.put_slice(b"\r\n");
        }
        text.put_slice(b"transfer-encoding: chunked\r\n\r\n");
        self.write_all(text.freeze()).await
    }

    /// Sends one piece of a streamed response as a chunk and flushes it.
    pub async fn send_piece(&mut self, piece: &[u8]) -> Result<(), ServeError> {
        if piece.is_empty() {
            // An empty chunk would end the response.
            return Ok(());
        }
        let mut chunk = BytesMut::with_capacity(piece.len() + 16);
        chunk.put_slice(format!("{:X}\r\n", piece.len()).as_bytes());
        chunk.put_slice(piece);
        chunk.put_slice(b"\r\n");
        self.write_all(chunk.freeze()).await
    }

    /// Sends the empty chunk that ends a streamed response. Without it, the caller takes the
    /// response for truncated.
    pub async fn finish_stream(&mut self) -> Result<(), ServeError> {
        self.write_all(Bytes::from_static(b"0\r\n\r\n")).await
    }

    /// Reads and discards data from the caller for a limited time. Called before the connection is closed.
    ///
    /// Closing a socket with unread data resets the connection, and the caller may lose the response
    /// that was just sent.
    pub async fn linger(&mut self) {
        self.allowance.set(LINGER_BYTES);
        let reader = &mut self.reader;
        let discarding = async {
            let mut buffer = vec![0; LINGER_BUFFER_BYTES];
            loop {
                let (result, returned) = reader.read(buffer).await;
                buffer = returned;
                if !matches!(result, Ok(count) if count > 0) {
                    return;
                }
            }
        };
        // After the timeout, the caller has had enough time to read the response.
        let _ = monoio::time::timeout(LINGER_TIMEOUT, discarding).await;
    }

    /// Runs `operation` until it completes or the caller disconnects. Returns `None` after a
    /// disconnection.
    ///
    /// Data that the caller sends in the meantime is not a disconnection and stays in the read
    /// buffer. Once such data has arrived, a disconnection is no longer detected.
    pub async fn while_connected<T>(&mut self, operation: impl Future<Output = T>) -> Option<T> {
        let mut operation = pin::pin!(operation);
        self.allowance.set(MAX_HEAD_BYTES);
        let mut peek = Box::pin(self.reader.peek_data());
        let mut peeking = true;
        future::poll_fn(move |cx| {
            if let std::task::Poll::Ready(done) = operation.as_mut().poll(cx) {
                return std::task::Poll::Ready(Some(done));
            }
            if peeking && let std::task::Poll::Ready(peeked) = peek.as_mut().poll(cx) {
                peeking = false;
                if peeked.map_or(true, |data| data.is_empty()) {
                    return std::task::Poll::Ready(None);
                }
            }
            std::task::Poll::Pending
        })
        .await
    }

    async fn collect(&mut self, body: &mut BodyDecoder, limit: u64) -> Result<Bytes, ServeError> {
        match body {
            decoder::PayloadDecoder::None => Ok(Bytes::new()),
            decoder::PayloadDecoder::Fixed(fixed) => match self.reader.next_with(fixed).await {
                Some(Ok(body)) => Ok(body),
                Some(Err(error)) => Err(self.body_error(error.into(), limit)),
                None => MalformedSnafu { reason: "the body ends early" }.fail(),
            },
            decoder::PayloadDecoder::Streamed(chunks) => {
                let mut collected = BytesMut::new();
                loop {
                    match self.reader.next_with(chunks).await {
                        Some(Ok(Some(chunk))) => collected.put(chunk),
                        Some(Ok(None)) => return Ok(collected.freeze()),
                        Some(Err(error)) => return Err(self.body_error(error.into(), limit)),
                        None => {
                            return MalformedSnafu { reason: "the body ends early" }.fail();
                        }
                    }
                    if collected.len() as u64 > limit {
                        return BodyTooLargeSnafu { limit }.fail();
                    }
                }
            }
        }
    }

    fn body_error(&self, error: error::HttpError, limit: u64) -> ServeError {
        if self.allowance.is_exhausted() {
            return ServeError::BodyTooLarge { limit };
        }
        malformed(error)
    }

    async fn write_all(&mut self, data: Bytes) -> Result<(), ServeError> {
        let (result, _) = self.writer.write_all(data).await;
        result.context(SocketSnafu)?;
        self.writer.flush().await.context(SocketSnafu)
    }
}

/// Accepts connections forever and runs `serve` for each in its own task.
pub async fn accept_all<F, Fut>(listener: net::TcpListener, serve: F)
where
    F: Fn(ServerConnection) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    server::accept_all(listener, |stream| serve(ServerConnection::new(stream))).await;
}

/// Returns whether the connection is to be closed after the response to a request.
pub fn wants_close(head: &request::RequestHead) -> bool {
    let value = head.headers.get(http::header::CONNECTION).and_then(|value| value.to_str().ok());
    match value {
        Some(value) => value.eq_ignore_ascii_case("close"),
        None => head.version == http::Version::HTTP_10,
    }
}

/// Builds a JSON response. A body that cannot be serialized is replaced by `{}`.
pub fn json_response(status: u16, body: &impl serde::Serialize) -> http::Response<Bytes> {
    let text = serde_json::to_vec(body).unwrap_or_else(|_| b"{}".to_vec());
    let mut response = http::Response::new(Bytes::from(text));
    *response.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}

fn expects_continue(head: &request::RequestHead) -> bool {
    let value = head.headers.get(http::header::EXPECT).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
}

fn malformed(error: error::HttpError) -> ServeError {
    // The display text of `HttpError` calls some HTTP/1 errors "http2", so only their cause is shown.
    match error {
        error::HttpError::H1DecodeError(cause) => {
            ServeError::Malformed { reason: cause.to_string() }
        }
        other => ServeError::Malformed { reason: other.to_string() },
    }
}
