//! Client side of HTTP/1.1: one request a time on a connection, few idle ones kept.
//!
//! A connection goes back to the pool only after a whole answer. After a cancel, a time-out or an
//! error it is closed, so that no late answer can reach another request.

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

use crate::{body, metered_read};

/// Time for a connection to come about.
const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(1_000);
/// Idle connections kept for each address.
const MAX_IDLE: usize = 32;
/// Longest an idle connection is kept.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(20);
/// Largest answer head, and the slack of the read buffer.
const HEAD_ALLOWANCE: u64 = 64 * 1024;

type HeadDecoder = decoder::GenericHeadDecoder<
    response::ResponseHead,
    decoder::ResponseHeadDecoder,
    decoder::DirectWrapper,
>;
type BodyDecoder = decoder::PayloadDecoder<decoder::FixedBodyDecoder, decoder::ChunkedBodyDecoder>;
type Reader =
    monoio_codec::FramedRead<metered_read::MeteredRead<OwnedReadHalf<net::TcpStream>>, HeadDecoder>;

/// How a call failed, by whether the upstream can have seen any of it.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection; not a byte was written.
    #[snafu(display("cannot connect to {address}: {reason}"))]
    NotConnected {
        /// The upstream.
        address: std_net::SocketAddr,
        /// Why.
        reason: String,
    },
    /// It broke off after at least one byte may have been written.
    #[snafu(display("the call broke off: {reason}"))]
    Broken {
        /// Why.
        reason: String,
    },
    /// The answer is larger than allowed.
    #[snafu(display("the answer has more than {limit} bytes"))]
    TooLarge {
        /// Most bytes allowed.
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
        let connected = monoio::time::timeout(CONNECT_LIMIT, connecting).await;
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

    /// Whether the upstream has closed an idle connection, or sent something unasked.
    async fn is_stale(&mut self) -> bool {
        self.allowance.set(HEAD_ALLOWANCE);
        // A peek that has to wait means that nothing has come, not even an end.
        monoio::time::timeout(time::Duration::ZERO, self.reader.peek_data()).await.is_ok()
    }
}

struct IdleConnection {
    connection: ClientConnection,
    since: time::Instant,
}

/// Which connection a call goes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// An idle one where there is one. The upstream may be closing it at this moment, which makes
    /// the call fail as broken; that is for calls that may be repeated.
    Pooled,
    /// A new one, so that a call that must not run twice cannot fail for an old one's sake.
    Fresh,
}

/// A connection taken for one call.
pub struct CallConnection {
    connection: ClientConnection,
    address: std_net::SocketAddr,
    rested: bool,
}

impl CallConnection {
    /// Whether it had been idle, and so may have fallen silent meanwhile.
    pub fn is_reused(&self) -> bool {
        self.rested
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: cell::RefCell<collections::HashMap<std_net::SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its answer.
    pub async fn call(
        &self,
        address: std_net::SocketAddr,
        which: ConnectionUse,
        call: http::Request<Bytes>,
    ) -> Result<StreamedResponse<'_>, CallError> {
        let connection = self.connect(address, which).await?;
        self.send(connection, call).await
    }

    /// Takes or opens a connection for a call.
    pub async fn connect(
        &self,
        address: std_net::SocketAddr,
        which: ConnectionUse,
    ) -> Result<CallConnection, CallError> {
        let pooled = match which {
            ConnectionUse::Pooled => self.pooled(address).await,
            ConnectionUse::Fresh => None,
        };
        let rested = pooled.is_some();
        let connection = match pooled {
            Some(connection) => connection,
            None => ClientConnection::open(address).await?,
        };
        Ok(CallConnection { connection, address, rested })
    }

    /// Sends a request over a connection taken for it and waits for the head of its answer.
    pub async fn send(
        &self,
        taken: CallConnection,
        call: http::Request<Bytes>,
    ) -> Result<StreamedResponse<'_>, CallError> {
        let CallConnection { mut connection, address, .. } = taken;
        let (mut head, body) = call.into_parts();
        if !head.headers.contains_key(http::header::HOST) {
            let host = http::HeaderValue::try_from(address.to_string());
            head.headers.insert(http::header::HOST, host.expect("an address is a valid value"));
        }
        let call = request::Request::from_parts(head, body::whole(body));
        connection.encoder.send_and_flush(call).await.map_err(broken)?;
        connection.allowance.set(HEAD_ALLOWANCE);
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

    /// Sends a request and waits for its whole answer, at most `limit` bytes of it.
    pub async fn call_buffered(
        &self,
        address: std_net::SocketAddr,
        which: ConnectionUse,
        call: http::Request<Bytes>,
        limit: u64,
    ) -> Result<http::Response<Bytes>, CallError> {
        let mut answer = self.call(address, which, call).await?;
        let body = answer.read_full_body(limit).await?;
        let (status, headers) = (answer.head.status, answer.head.headers.clone());
        let mut whole = http::Response::new(body);
        *whole.status_mut() = status;
        *whole.headers_mut() = headers;
        Ok(whole)
    }

    async fn pooled(&self, address: std_net::SocketAddr) -> Option<ClientConnection> {
        loop {
            let mut idle = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            let fresh = idle.since.elapsed() < IDLE_LIMIT;
            if fresh && !idle.connection.is_stale().await {
                return Some(idle.connection);
            }
        }
    }

    fn put_back(&self, address: std_net::SocketAddr, connection: ClientConnection) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(IdleConnection { connection, since: time::Instant::now() });
        }
    }

    /// Closes the connections to an address that have idled since `moment` or longer, and counts
    /// them: where another that had rested until then has fallen silent, so may they have.
    pub fn close_idle_since(&self, address: std_net::SocketAddr, moment: time::Instant) -> usize {
        let mut idle = self.idle.borrow_mut();
        let Some(kept) = idle.get_mut(&address) else {
            return 0;
        };
        let before = kept.len();
        kept.retain(|idle| idle.since > moment);
        before - kept.len()
    }

    /// Closes connections that have idled too long.
    pub fn prune(&self) {
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.since.elapsed() < IDLE_LIMIT);
            !kept.is_empty()
        });
    }
}

/// An answer whose body is still arriving. Dropped before its end, it closes its connection.
pub struct StreamedResponse<'pool> {
    pool: &'pool ConnectionPool,
    address: std_net::SocketAddr,
    /// Invariant: present until the body has ended or failed.
    connection: Option<ClientConnection>,
    /// Status and headers.
    pub head: response::ResponseHead,
    body: BodyDecoder,
    ended: bool,
}

impl StreamedResponse<'_> {
    /// The value of a header, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// The next piece of the body; `None` at its proper end.
    ///
    /// A piece may be as long as `limit` bytes and no longer.
    pub async fn next_piece(&mut self, limit: u64) -> Result<Option<Bytes>, CallError> {
        if self.ended {
            return Ok(None);
        }
        let Some(connection) = self.connection.as_mut() else {
            return BrokenSnafu { reason: "an earlier piece failed" }.fail();
        };
        connection.allowance.set(limit.saturating_add(HEAD_ALLOWANCE));
        let piece = match &mut self.body {
            decoder::PayloadDecoder::None => Ok(None),
            decoder::PayloadDecoder::Fixed(fixed) => match connection.reader.next_with(fixed).await
            {
                Some(Ok(body)) => {
                    self.body = decoder::PayloadDecoder::None;
                    return Ok(Some(body));
                }
                Some(Err(error)) => Err(broken(error)),
                None => BrokenSnafu { reason: "the answer ends early" }.fail(),
            },
            decoder::PayloadDecoder::Streamed(chunks) => {
                match connection.reader.next_with(chunks).await {
                    Some(Ok(chunk)) => Ok(chunk),
                    Some(Err(error)) => Err(broken(error)),
                    None => BrokenSnafu { reason: "the answer ends early" }.fail(),
                }
            }
        };
        match piece {
            Ok(Some(piece)) => Ok(Some(piece)),
            Ok(None) => {
                self.end();
                Ok(None)
            }
            Err(error) => {
                let used_up = connection.allowance.used_up();
                self.connection = None;
                if used_up { TooLargeSnafu { limit }.fail() } else { Err(error) }
            }
        }
    }

    /// The rest of the body, at most `limit` bytes of it.
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

    fn end(&mut self) {
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
        Some(Ok((head, body))) => Ok((head, body)),
        Some(Err(error)) => Err(broken(error)),
        None => BrokenSnafu { reason: "closed before an answer" }.fail(),
    }
}

fn broken(error: impl ToString) -> CallError {
    CallError::Broken { reason: error.to_string() }
}
