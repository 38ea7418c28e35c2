//! HTTP/1.1 messages on a socket, both sides, for an instance that passes them on byte for byte.
//!
//! Heads are parsed by `httparse`. `monoio-http` is not used here because it takes an answer
//! without a length for an empty one, writes a whole request before it looks for an answer, and
//! keeps its buffers while a connection rests.

use std::{io, time};

use bytes::{Buf as _, Bytes, BytesMut};
use monoio::{
    io::{AsyncReadRent as _, AsyncWriteRent as _, AsyncWriteRentExt as _},
    io::{OwnedReadHalf, OwnedWriteHalf, Splitable as _},
    net,
};
use snafu::{ResultExt as _, Snafu};

/// Most headers of one message; more than any client or upstream of ours sends.
const MAX_HEADERS: usize = 64;
/// Bytes read at once.
const READ_BYTES: usize = 8 * 1024;
/// Largest head of an answer.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// Longest line that announces a chunk, or trailer line.
const MAX_CHUNK_LINE: usize = 1_024;
/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 9] = [
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

/// Why a message could not be read or written.
#[derive(Debug, Snafu)]
pub enum MessageError {
    /// The socket failed.
    #[snafu(display("connection: {source}"))]
    Socket {
        /// What the system said.
        source: io::Error,
    },
    /// The other side closed in the middle of a message.
    #[snafu(display("closed before the end of a message"))]
    Closed,
    /// The bytes are not HTTP/1.1.
    #[snafu(display("not HTTP/1.1: {reason}"))]
    Malformed {
        /// Why.
        reason: String,
    },
    /// The head is larger than allowed.
    #[snafu(display("the head has more than {limit} bytes"))]
    HeadTooLarge {
        /// Most bytes allowed.
        limit: usize,
    },
    /// The body is larger than allowed.
    #[snafu(display("the body has more than {limit} bytes"))]
    BodyTooLarge {
        /// Most bytes allowed.
        limit: usize,
    },
}

/// The reading side of a connection, with what has arrived and is not used yet.
#[derive(Debug)]
pub struct MessageReader {
    half: OwnedReadHalf<net::TcpStream>,
    buffer: BytesMut,
}

/// The writing side of a connection.
#[derive(Debug)]
pub struct MessageWriter {
    half: OwnedWriteHalf<net::TcpStream>,
}

/// Takes a connected socket over.
pub fn split(stream: net::TcpStream) -> (MessageReader, MessageWriter) {
    // Without it small events wait for an acknowledgement; a socket that refuses still works.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("set_nodelay: {error}");
    }
    let (read_half, write_half) = stream.into_split();
    let reader = MessageReader { half: read_half, buffer: BytesMut::new() };
    (reader, MessageWriter { half: write_half })
}

impl MessageReader {
    /// Reads what has arrived; 0 when the other side has closed.
    pub async fn fill(&mut self) -> Result<usize, MessageError> {
        // The future may be dropped while it waits; with the poll driver nothing is lost then,
        // because bytes leave the socket only at the poll that completes.
        let buffer = Vec::with_capacity(READ_BYTES);
        let (result, buffer) = self.half.read(buffer).await;
        let count = result.context(SocketSnafu)?;
        self.buffer.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Whether bytes have arrived that belong to no message read so far.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes that have arrived and are not used yet.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Gives the buffer's memory back while nothing is in it.
    pub fn rest(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Reads a request's head; `None` when the other side closes between two requests.
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
                let between = self.buffer.is_empty();
                return if between { Ok(None) } else { ClosedSnafu.fail() };
            }
        }
    }

    /// Reads an answer's head, passing over interim ones.
    pub async fn response_head(&mut self) -> Result<http::response::Parts, MessageError> {
        loop {
            if let Some(head) = self.parse_answer()? {
                if head.status.is_informational() {
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

    /// Reads a whole body.
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

    /// The next piece of a body; `None` at its end.
    pub async fn next_piece(
        &mut self,
        framing: &mut BodyFraming,
    ) -> Result<Option<Bytes>, MessageError> {
        loop {
            if let Some(piece) = self.take_piece(framing)? {
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

    fn parse_answer(&mut self) -> Result<Option<http::response::Parts>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(&self.buffer).map_err(malformed)?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let mut builder = http::Response::builder()
            .status(parsed.code.unwrap_or_default())
            .version(version(parsed.version));
        for header in parsed.headers.iter() {
            builder = builder.header(header.name, header.value);
        }
        let answer = builder.body(()).map_err(malformed)?;
        self.buffer.advance(length);
        Ok(Some(answer.into_parts().0))
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

    fn take(&mut self, most: u64) -> Option<Bytes> {
        let most = usize::try_from(most).unwrap_or(usize::MAX).min(self.buffer.len());
        (most > 0).then(|| self.buffer.split_to(most).freeze())
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
                            if size == 0 { ChunkState::Trailer } else { ChunkState::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_CHUNK_LINE => {
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
                ChunkState::Trailer => {
                    let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if self.buffer.len() > MAX_CHUNK_LINE {
                            return MalformedSnafu { reason: "trailer" }.fail();
                        }
                        return Ok(None);
                    };
                    self.buffer.advance(end + 2);
                    if end == 0 {
                        *framing = BodyFraming::Ended;
                    }
                }
            }
        }
    }
}

impl MessageWriter {
    /// Writes bytes and sends them at once.
    pub async fn write(&mut self, data: impl Into<Bytes>) -> Result<(), MessageError> {
        let (result, _) = self.half.write_all(data.into()).await;
        result.context(SocketSnafu)?;
        self.half.flush().await.context(SocketSnafu)
    }

    /// Closes the sending direction, so that what was written still arrives.
    pub async fn shutdown(&mut self) -> Result<(), MessageError> {
        self.half.shutdown().await.context(SocketSnafu)
    }
}

/// Where a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// It has ended.
    Ended,
    /// After this number of further bytes.
    Length(u64),
    /// By chunks.
    Chunked(ChunkState),
    /// With its connection.
    UntilClose,
}

/// What comes next in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkState {
    /// The line with a chunk's length.
    Size,
    /// So many bytes of a chunk.
    Data(u64),
    /// The end of a chunk.
    DataEnd,
    /// Lines after the last chunk.
    Trailer,
}

impl BodyFraming {
    /// How the body of a request ends.
    pub fn of_request(head: &http::request::Parts) -> Result<Self, MessageError> {
        let given = Self::given(&head.headers)?;
        Ok(given.unwrap_or(Self::Ended))
    }

    /// How the body of an answer ends.
    pub fn of_response(head: &http::response::Parts) -> Result<Self, MessageError> {
        if matches!(head.status.as_u16(), 204 | 304) {
            return Ok(Self::Ended);
        }
        let given = Self::given(&head.headers)?;
        Ok(given.unwrap_or(Self::UntilClose))
    }

    /// Whether the body has ended.
    pub fn ended(&self) -> bool {
        *self == Self::Ended
    }

    fn given(headers: &http::HeaderMap) -> Result<Option<Self>, MessageError> {
        let lengths: Vec<_> = headers.get_all(http::header::CONTENT_LENGTH).iter().collect();
        let coded = headers.get_all(http::header::TRANSFER_ENCODING).iter().next_back();
        match (coded, lengths.as_slice()) {
            (None, []) => Ok(None),
            (Some(coded), []) => {
                let chunked = coded.as_bytes().to_ascii_lowercase().ends_with(b"chunked");
                if !chunked {
                    return MalformedSnafu { reason: "unknown transfer encoding" }.fail();
                }
                Ok(Some(Self::Chunked(ChunkState::Size)))
            }
            (None, [length]) => {
                let text = length.to_str().ok().filter(|text| !text.starts_with('+'));
                let length = text.and_then(|text| text.parse().ok());
                match length {
                    Some(0) => Ok(Some(Self::Ended)),
                    Some(length) => Ok(Some(Self::Length(length))),
                    None => MalformedSnafu { reason: "length of the body" }.fail(),
                }
            }
            // Two readings of where a body ends let one caller write another's request.
            _ => MalformedSnafu { reason: "more than one length of the body" }.fail(),
        }
    }
}

/// A request's head as bytes. Its body, if any, has `length` bytes.
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

/// An answer's head as bytes; without a length the body is sent in chunks.
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

/// A piece of a chunked body as bytes.
pub fn encode_chunk(piece: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
    chunk.extend_from_slice(piece);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Removes what concerns one connection only, and the length, which is stated anew.
pub fn strip_connection_headers(headers: &mut http::HeaderMap) {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(http::header::CONTENT_LENGTH);
}

/// Whether the sender of these headers closes the connection after this message.
pub fn closes(version: http::Version, headers: &http::HeaderMap) -> bool {
    let mut words = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|word| word.trim().to_ascii_lowercase());
    match version {
        http::Version::HTTP_10 => !words.any(|word| word == "keep-alive"),
        _ => words.any(|word| word == "close"),
    }
}

/// For how long the other side keeps a resting connection, where it says so.
pub fn keep_alive_timeout(headers: &http::HeaderMap) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    timeout.unwrap_or(value.trim()).parse().ok().map(time::Duration::from_secs)
}

fn put_headers(text: &mut Vec<u8>, headers: &http::HeaderMap) {
    for (name, value) in headers {
        text.extend_from_slice(name.as_str().as_bytes());
        text.extend_from_slice(b": ");
        text.extend_from_slice(value.as_bytes());
        text.extend_from_slice(b"\r\n");
    }
}

fn version(minor: Option<u8>) -> http::Version {
    if minor == Some(0) { http::Version::HTTP_10 } else { http::Version::HTTP_11 }
}

fn malformed(reason: impl ToString) -> MessageError {
    MessageError::Malformed { reason: reason.to_string() }
}
