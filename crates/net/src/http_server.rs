//! Server side of HTTP/1.1: one request a time on a connection.
//!
//! Heads and bodies are decoded by `monoio-http`. Streamed answers are written here, a chunk and a
//! flush for each piece, because the library's encoder holds pieces back until its buffer fills.

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

/// Largest accepted request head.
const MAX_HEAD_BYTES: u64 = 32 * 1024;
/// Read buffers may run ahead of what is being decoded by this much.
const READ_SLACK: u64 = 16 * 1024;
/// Longest pause between two requests on a connection.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(75);

/// Bytes of an unwanted body that are read and dropped.
const LINGER_BYTES: u64 = 64 << 20;
/// Time for reading and dropping them.
const LINGER_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Bytes read at once.
const LINGER_BUFFER: usize = 64 * 1024;

type HeadDecoder = decoder::GenericHeadDecoder<
    request::RequestHead,
    decoder::RequestHeadDecoder,
    decoder::DirectWrapper,
>;
type BodyDecoder = decoder::PayloadDecoder<decoder::FixedBodyDecoder, decoder::ChunkedBodyDecoder>;
type Reader =
    monoio_codec::FramedRead<metered_read::MeteredRead<OwnedReadHalf<net::TcpStream>>, HeadDecoder>;

/// What went wrong on a connection from a caller.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// The socket failed.
    #[snafu(display("connection: {source}"))]
    Socket {
        /// What the system said.
        source: io::Error,
    },
    /// The request cannot be read.
    #[snafu(display("the request cannot be read: {reason}"))]
    Malformed {
        /// Why.
        reason: String,
    },
    /// The body is larger than allowed.
    #[snafu(display("the body has more than {limit} bytes"))]
    BodyTooLarge {
        /// Most bytes allowed.
        limit: u64,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive within {limit:?}"))]
    BodyTimeout {
        /// The time allowed.
        limit: time::Duration,
    },
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Most bytes of a body.
    pub max_bytes: u64,
    /// Time for a body to arrive.
    pub time: time::Duration,
}

/// A request whose body has not been read.
pub struct IncomingHead {
    /// Method, path and headers.
    pub head: request::RequestHead,
    body: BodyDecoder,
}

impl IncomingHead {
    /// Length the caller declares; `None` for a chunked body.
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

    /// The value of a header, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }
}

/// A connection from a caller.
pub struct ServerConnection {
    reader: Reader,
    allowance: metered_read::ReadAllowance,
    encoder: encoder::GenericEncoder<OwnedWriteHalf<net::TcpStream>>,
    writer: OwnedWriteHalf<net::TcpStream>,
}

impl ServerConnection {
    /// Takes an accepted socket over.
    pub fn new(stream: net::TcpStream) -> Self {
        // A socket whose option cannot be set is not worth refusing the caller for.
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

    /// Waits for the next request's head; `None` when the caller has closed or idles too long.
    pub async fn next_head(&mut self) -> Result<Option<IncomingHead>, ServeError> {
        use monoio::io::stream::Stream as _;
        self.allowance.set(MAX_HEAD_BYTES + READ_SLACK);
        let next = monoio::time::timeout(IDLE_LIMIT, self.reader.next()).await;
        let Ok(Some(decoded)) = next else {
            return Ok(None);
        };
        let (head, body) = decoded.map_err(malformed)?;
        let both = head.headers.contains_key(http::header::TRANSFER_ENCODING)
            && head.headers.contains_key(http::header::CONTENT_LENGTH);
        let lengths = head.headers.get_all(http::header::CONTENT_LENGTH).iter().count();
        if both || lengths > 1 {
            // Two readings of where a body ends let one caller write another's request.
            return MalformedSnafu { reason: "more than one length of the body" }.fail();
        }
        Ok(Some(IncomingHead { head, body }))
    }

    /// Reads the body of the request whose head was read last.
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
        self.allowance.set(limit.saturating_add(READ_SLACK));
        let body =
            monoio::time::timeout(limits.time, self.collect(&mut incoming.body, limit)).await;
        body.unwrap_or_else(|_| BodyTimeoutSnafu { limit: limits.time }.fail())
    }

    /// Sends a whole answer.
    pub async fn respond(&mut self, answer: http::Response<Bytes>) -> Result<(), ServeError> {
        let (head, body) = answer.into_parts();
        let answer = response::Response::from_parts(head, body::full_payload(body));
        self.encoder.send_and_flush(answer).await.map_err(malformed)
    }

    /// Sends the head of a streamed answer.
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

    /// Sends one piece of a streamed answer at once.
    pub async fn send_piece(&mut self, piece: &[u8]) -> Result<(), ServeError> {
        if piece.is_empty() {
            // An empty chunk would end the answer.
            return Ok(());
        }
        let mut chunk = BytesMut::with_capacity(piece.len() + 16);
        chunk.put_slice(format!("{:X}\r\n", piece.len()).as_bytes());
        chunk.put_slice(piece);
        chunk.put_slice(b"\r\n");
        self.write_all(chunk.freeze()).await
    }

    /// Ends a streamed answer.
    pub async fn finish_stream(&mut self) -> Result<(), ServeError> {
        self.write_all(Bytes::from_static(b"0\r\n\r\n")).await
    }

    /// Reads and drops what the caller still sends, for a while, before the connection is closed.
    ///
    /// A socket closed with unread data resets the connection, and the caller may lose the answer
    /// that it was just sent.
    pub async fn linger(&mut self) {
        self.allowance.set(LINGER_BYTES);
        let reader = &mut self.reader;
        let dropping = async {
            let mut buffer = vec![0; LINGER_BUFFER];
            loop {
                let (result, returned) = reader.read(buffer).await;
                buffer = returned;
                if !matches!(result, Ok(count) if count > 0) {
                    return;
                }
            }
        };
        // A caller that takes longer has had its answer for as long.
        let _ = monoio::time::timeout(LINGER_LIMIT, dropping).await;
    }

    /// Runs `work` unless the caller goes away first; `None` then.
    ///
    /// A caller that sends something while it waits for its answer is not gone; what it sent stays
    /// in the read buffer.
    pub async fn while_connected<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin::pin!(work);
        self.allowance.set(MAX_HEAD_BYTES);
        let mut peek = Box::pin(self.reader.peek_data());
        let mut watching = true;
        future::poll_fn(move |cx| {
            if let std::task::Poll::Ready(done) = work.as_mut().poll(cx) {
                return std::task::Poll::Ready(Some(done));
            }
            if watching && let std::task::Poll::Ready(seen) = peek.as_mut().poll(cx) {
                watching = false;
                if seen.map_or(true, |data| data.is_empty()) {
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
                let mut whole = BytesMut::new();
                loop {
                    match self.reader.next_with(chunks).await {
                        Some(Ok(Some(chunk))) => whole.put(chunk),
                        Some(Ok(None)) => return Ok(whole.freeze()),
                        Some(Err(error)) => return Err(self.body_error(error.into(), limit)),
                        None => {
                            return MalformedSnafu { reason: "the body ends early" }.fail();
                        }
                    }
                    if whole.len() as u64 > limit {
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

/// Accepts connections for ever and hands each to `serve` in a task of its own.
pub async fn accept_all<F, Fut>(listener: net::TcpListener, serve: F)
where
    F: Fn(ServerConnection) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    server::accept_all(listener, |stream| serve(ServerConnection::new(stream))).await;
}

/// Whether a request asks for its connection to be closed after the answer.
pub fn wants_close(head: &request::RequestHead) -> bool {
    let value = head.headers.get(http::header::CONNECTION).and_then(|value| value.to_str().ok());
    match value {
        Some(value) => value.eq_ignore_ascii_case("close"),
        None => head.version == http::Version::HTTP_10,
    }
}

/// A JSON answer.
pub fn json_response(status: u16, body: &impl serde::Serialize) -> http::Response<Bytes> {
    let text = serde_json::to_vec(body).unwrap_or_else(|_| b"{}".to_vec());
    let mut answer = http::Response::new(Bytes::from(text));
    *answer.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let kind = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    answer
}

fn expects_continue(head: &request::RequestHead) -> bool {
    let value = head.headers.get(http::header::EXPECT).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
}

fn malformed(error: error::HttpError) -> ServeError {
    // The library's own text calls some faults of HTTP/1 "http2"; only the cause is of use.
    match error {
        error::HttpError::H1DecodeError(cause) => {
            ServeError::Malformed { reason: cause.to_string() }
        }
        other => ServeError::Malformed { reason: other.to_string() },
    }
}
