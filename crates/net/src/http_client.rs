//! HTTP/1.1 client with a connection pool and one request at a time per connection.
//!
//! A connection returns to the pool only after a complete response. After a cancellation, a timeout or
//! an error it is closed, so that a late response cannot be taken for that of another request.

use std::{cell, collections, io, net as std_net, time};

use bytes::Bytes;
use monoio::{
    io::{OwnedReadHalf, OwnedWriteHalf, Splitable as _, sink::SinkExt as _},
    net,
};
use monoio_http::{
    common::{request, response},
    h1::codec::{decoder, encoder},
};
use snafu::Snafu;

use crate::{body, h1, metered_read};

/// Timeout for establishing a TCP connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Maximum number of idle connections per address. A further connection is closed after its call.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Bytes that may be read for a response head. Also added to the limit of a body, because the reader
/// may buffer more than the part that is being decoded.
const HEAD_ALLOWANCE_BYTES: u64 = 64 * 1024;

type HeadDecoder = decoder::GenericHeadDecoder<
    response::ResponseHead,
    decoder::ResponseHeadDecoder,
    decoder::DirectWrapper,
>;
type BodyDecoder = decoder::PayloadDecoder<decoder::FixedBodyDecoder, decoder::ChunkedBodyDecoder>;
type Reader =
    monoio_codec::FramedRead<metered_read::MeteredRead<OwnedReadHalf<net::TcpStream>>, HeadDecoder>;

/// Error of a call. The variants tell whether the upstream may have received a part of the request.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be established; nothing was sent.
    #[snafu(display("cannot connect to {address}: {reason}"))]
    NotConnected {
        /// Address of the upstream.
        address: std_net::SocketAddr,
        /// Error of the operating system, or `timed out`.
        reason: String,
    },
    /// The call failed after a part of the request may have been sent.
    #[snafu(display("the call broke off: {reason}"))]
    Interrupted {
        /// Error while the request was sent or the response was read.
        reason: String,
    },
    /// The body of the response, or a piece of it, is larger than the caller allows.
    #[snafu(display("the answer has more than {limit} bytes"))]
    TooLarge {
        /// Maximum size that the caller gave, in bytes.
        limit: u64,
    },
}

struct ClientConnection {
    reader: Reader,
    allowance: metered_read::ReadAllowance,
    encoder: encoder::GenericEncoder<OwnedWriteHalf<net::TcpStream>>,
}

impl ClientConnection {
    async fn open(address: std_net::SocketAddr) -> Result<Self, CallError> {
        let not_connected =
            |error: &dyn ToString| CallError::NotConnected { address, reason: error.to_string() };
        let connecting = net::TcpStream::connect_addr(address);
        let connected = monoio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_connected(&error)),
            Err(_) => return Err(not_connected(&"timed out")),
        };
        stream.set_nodelay(true).map_err(|error: io::Error| not_connected(&error))?;
        let (read_half, write_half) = stream.into_split();
        let (metered, allowance) = metered_read::MeteredRead::new(read_half);
        Ok(Self {
            reader: Reader::new(metered, HeadDecoder::default()),
            allowance,
            encoder: encoder::GenericEncoder::new(write_half),
        })
    }

    /// Returns whether the upstream has closed the idle connection or sent data that no request
    /// asked for.
    async fn is_stale(&mut self) -> bool {
        self.allowance.set(HEAD_ALLOWANCE_BYTES);
        // The peek completes at once only if data or the end of the stream has arrived.
        monoio::time::timeout(time::Duration::ZERO, self.reader.peek_data()).await.is_ok()
    }
}

struct IdleConnection {
    connection: ClientConnection,
    since: time::Instant,
}

/// Whether a call may reuse an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPolicy {
    /// Use an idle connection if there is one. The upstream may be about to close it, in which case
    /// the call fails with [`CallError::Interrupted`], so this is for calls that may be repeated.
    Pooled,
    /// Open a new connection, so that a call that must not run twice cannot fail because an idle
    /// connection was closed.
    Fresh,
}

/// A connection that is reserved for one call.
pub struct CallConnection {
    connection: ClientConnection,
    address: std_net::SocketAddr,
    reused: bool,
}

impl CallConnection {
    /// Returns whether the connection was idle in the pool before. Such a connection may have
    /// become unresponsive in the meantime.
    pub fn is_reused(&self) -> bool {
        self.reused
    }
}

/// A client that keeps idle connections by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: cell::RefCell<collections::HashMap<std_net::SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of the response.
    pub async fn call(
        &self,
        address: std_net::SocketAddr,
        connection_policy: ConnectionPolicy,
        request: http::Request<Bytes>,
    ) -> Result<StreamedResponse<'_>, CallError> {
        let connection = self.connect(address, connection_policy).await?;
        self.send(connection, request).await
    }

    /// Takes an idle connection from the pool, if the policy allows it and there is one, or opens a
    /// new one.
    pub async fn connect(
        &self,
        address: std_net::SocketAddr,
        connection_policy: ConnectionPolicy,
    ) -> Result<CallConnection, CallError> {
        let pooled = match connection_policy {
            ConnectionPolicy::Pooled => self.take_idle(address).await,
            ConnectionPolicy::Fresh => None,
        };
        let reused = pooled.is_some();
        let connection = match pooled {
            Some(connection) => connection,
            None => ClientConnection::open(address).await?,
        };
        Ok(CallConnection { connection, address, reused })
    }

    /// Sends a request over a reserved connection and waits for the head of the response.
    pub async fn send(
        &self,
        reserved: CallConnection,
        request: http::Request<Bytes>,
    ) -> Result<StreamedResponse<'_>, CallError> {
        let CallConnection { mut connection, address, .. } = reserved;
        let (mut head, body) = request.into_parts();
        if !head.headers.contains_key(http::header::HOST) {
            let host = http::HeaderValue::try_from(address.to_string());
            head.headers.insert(
                http::header::HOST,
                host.expect("a socket address is a valid header value"),
            );
        }
        let request = request::Request::from_parts(head, body::full_payload(body));
        connection.encoder.send_and_flush(request).await.map_err(interrupted)?;
        connection.allowance.set(HEAD_ALLOWANCE_BYTES);
        let (head, body) = read_head(&mut connection).await?;
        Ok(StreamedResponse {
            pool: self,
            address,
            connection: Some(connection),
            head,
            body,
            ended: false,
        })
    }

    /// Sends a request and waits for the complete response, whose body may have at most `limit` bytes.
    pub async fn call_buffered(
        &self,
        address: std_net::SocketAddr,
        connection_policy: ConnectionPolicy,
        request: http::Request<Bytes>,
        limit: u64,
    ) -> Result<http::Response<Bytes>, CallError> {
        let mut streamed = self.call(address, connection_policy, request).await?;
        let body = streamed.read_full_body(limit).await?;
        let (status, headers) = (streamed.head.status, streamed.head.headers.clone());
        let mut response = http::Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Ok(response)
    }

    async fn take_idle(&self, address: std_net::SocketAddr) -> Option<ClientConnection> {
        loop {
            let mut idle = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            let recent = idle.since.elapsed() < IDLE_TIMEOUT;
            if recent && !idle.connection.is_stale().await {
                return Some(idle.connection);
            }
        }
    }

    fn put_back(&self, address: std_net::SocketAddr, connection: ClientConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection { connection, since: time::Instant::now() });
        }
    }

    /// Closes the connections to an address that have been idle since `instant` or longer and
    /// returns their number.
    ///
    /// If a reused connection has become unresponsive, the connections that were idle at the same
    /// time may be unresponsive as well.
    pub fn close_idle_since(&self, address: std_net::SocketAddr, instant: time::Instant) -> usize {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&address) else {
            return 0;
        };
        let before = connections.len();
        connections.retain(|idle| idle.since > instant);
        before - connections.len()
    }

    /// Closes the connections whose idle timeout has expired.
    pub fn prune(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT);
            !connections.is_empty()
        });
    }
}

/// A response whose body is still arriving. If it is dropped before the end of the body, its connection
/// is closed.
pub struct StreamedResponse<'pool> {
    pool: &'pool ConnectionPool,
    address: std_net::SocketAddr,
    /// Connection on which the body arrives. Invariant: `Some` until the end of the body or an
    /// error.
    connection: Option<ClientConnection>,
    /// Status and headers of the response.
    pub head: response::ResponseHead,
    body: BodyDecoder,
    ended: bool,
}

impl StreamedResponse<'_> {
    /// Returns the value of a header if it is visible ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the next piece of the body, or `None` after the last one.
    ///
    /// Fails with [`CallError::TooLarge`] if a piece cannot be decoded from `limit` bytes and the
    /// allowance for a head.
    pub async fn next_piece(&mut self, limit: u64) -> Result<Option<Bytes>, CallError> {
        if self.ended {
            return Ok(None);
        }
        let Some(connection) = self.connection.as_mut() else {
            return InterruptedSnafu { reason: "an earlier piece failed" }.fail();
        };
        connection.allowance.set(limit.saturating_add(HEAD_ALLOWANCE_BYTES));
        let piece = match &mut self.body {
            decoder::PayloadDecoder::None => Ok(None),
            decoder::PayloadDecoder::Fixed(fixed) => match connection.reader.next_with(fixed).await
            {
                Some(Ok(body)) => {
                    self.body = decoder::PayloadDecoder::None;
                    return Ok(Some(body));
                }
                Some(Err(error)) => Err(interrupted(error)),
                None => InterruptedSnafu { reason: "the answer ends early" }.fail(),
            },
            decoder::PayloadDecoder::Streamed(chunks) => {
                match connection.reader.next_with(chunks).await {
                    Some(Ok(chunk)) => Ok(chunk),
                    Some(Err(error)) => Err(interrupted(error)),
                    None => InterruptedSnafu { reason: "the answer ends early" }.fail(),
                }
            }
        };
        match piece {
            Ok(Some(piece)) => Ok(Some(piece)),
            Ok(None) => {
                self.finish();
                Ok(None)
            }
            Err(error) => {
                let limit_reached = connection.allowance.is_exhausted();
                self.connection = None;
                if limit_reached { TooLargeSnafu { limit }.fail() } else { Err(error) }
            }
        }
    }

    /// Reads the rest of the body. Fails with [`CallError::TooLarge`] if it has more than `limit` bytes.
    pub async fn read_full_body(&mut self, limit: u64) -> Result<Bytes, CallError> {
        let mut pieces = Vec::new();
        let mut length = 0;
        while let Some(piece) = self.next_piece(limit).await? {
            length += piece.len() as u64;
            if length > limit {
                self.connection = None;
                return TooLargeSnafu { limit }.fail();
            }
            pieces.push(piece);
        }
        match pieces.len() {
            1 => Ok(pieces.swap_remove(0)),
            _ => Ok(Bytes::from(pieces.concat())),
        }
    }

    /// Marks the body as read and returns the connection to the pool unless the upstream closes it.
    fn finish(&mut self) {
        self.ended = true;
        let close =
            self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if let Some(connection) = self.connection.take().filter(|_| !close) {
            self.pool.put_back(self.address, connection);
        }
    }
}

async fn read_head(
    connection: &mut ClientConnection,
) -> Result<(response::ResponseHead, BodyDecoder), CallError> {
    use monoio::io::stream::Stream as _;
    match connection.reader.next().await {
        Some(Ok((head, body))) => {
            check_head(&head)?;
            Ok((head, body))
        }
        Some(Err(error)) => Err(interrupted(error)),
        None => InterruptedSnafu { reason: "closed before an answer" }.fail(),
    }
}

/// Fails if a response is interim or invalid, or has a body whose end the decoder does not find.
fn check_head(head: &response::ResponseHead) -> Result<(), CallError> {
    let status = head.status;
    if status.is_informational() || !h1::STATUS_CODES.contains(&status.as_u16()) {
        return InterruptedSnafu { reason: format!("status {status}") }.fail();
    }
    match h1::BodyFraming::of_response_fields(status, head.version, &head.headers) {
        // The decoder takes a response without a length for an empty one.
        Ok(h1::BodyFraming::UntilClose) => {
            InterruptedSnafu { reason: "an answer without a length" }.fail()
        }
        Ok(_) => Ok(()),
        Err(error) => Err(interrupted(error)),
    }
}

fn interrupted(error: impl ToString) -> CallError {
    CallError::Interrupted { reason: error.to_string() }
}
