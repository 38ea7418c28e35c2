//! HTTP calls that fetch small documents from the store, from members and from engines.

use std::{net, time};

use bytes::Bytes;
use slipturn_net::h1;
use snafu::{ResultExt as _, Snafu};

use crate::adapter;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Largest body of a response, in bytes; the call fails if the body is larger.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Why a document call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be opened.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The call timed out.
    #[snafu(display("no answer within {limit:?}"))]
    Silent {
        /// Time limit that was exceeded: that of the call or of opening its connection.
        limit: time::Duration,
    },
    /// The connection failed, or the response is malformed.
    #[snafu(display("{source}"))]
    Message {
        /// The error of the HTTP layer.
        source: h1::MessageError,
    },
    /// The reader of the body has rejected it.
    #[snafu(display("{source}"))]
    Unreadable {
        /// The error of the parser.
        source: adapter::FormatError,
    },
    /// The response has a status other than 200.
    #[snafu(display("status {status}"))]
    Status {
        /// Status code of the response.
        status: u16,
    },
}

/// A complete HTTP response.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status line and headers.
    pub head: http::response::Parts,
    /// The body, at most `MAX_DOCUMENT_BYTES` long.
    pub body: Bytes,
    /// Whether the body has neither a length nor chunks, so that only the connection's end shows that it is complete.
    pub(crate) ends_with_connection: bool,
}

impl HttpResponse {
    /// Returns the body, or an error if the status is not 200.
    pub fn into_body(self) -> Result<Bytes, CallError> {
        let status = self.head.status.as_u16();
        if status == 200 { Ok(self.body) } else { StatusSnafu { status }.fail() }
    }
}

/// A persistent connection for consecutive document calls; reopened after a failure.
pub struct DocumentConnection {
    address: net::SocketAddr,
    /// Both sides of the open connection; `None` if a call must open one.
    open: Option<(h1::MessageReader, h1::MessageWriter)>,
}

impl DocumentConnection {
    /// Creates a connection that is opened by the first call.
    pub fn new(address: net::SocketAddr) -> Self {
        Self { address, open: None }
    }

    /// Creates a connection from the sides of one that is open.
    pub(crate) fn of_open(
        address: net::SocketAddr,
        reader: h1::MessageReader,
        writer: h1::MessageWriter,
    ) -> Self {
        Self { address, open: Some((reader, writer)) }
    }

    /// Fetches a document. A timeout or a failed exchange closes the connection.
    pub async fn get(&mut self, path: &str, limit: time::Duration) -> Result<Bytes, CallError> {
        self.call("GET", path, Bytes::new(), limit).await
    }

    /// Sends a request and returns the body of the response, or an error if its status is not 200.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: Bytes,
        limit: time::Duration,
    ) -> Result<Bytes, CallError> {
        self.call_any_status(method, path, body, limit).await?.into_body()
    }

    /// Sends a request and returns the response, whatever its status.
    pub async fn call_any_status(
        &mut self,
        method: &str,
        path: &str,
        body: Bytes,
        limit: time::Duration,
    ) -> Result<HttpResponse, CallError> {
        let mut open = self.open.take();
        let exchange_future = async {
            let head = send(&mut open, self.address, method, path, body).await?;
            let framing = h1::BodyFraming::of_response(&head).context(MessageSnafu)?;
            let ends_with_connection = framing == h1::BodyFraming::UntilClose;
            let (body, reusable) = read_body(&mut open, &head, None).await?;
            Ok((HttpResponse { head, body, ends_with_connection }, reusable))
        };
        let result = monoio::time::timeout(limit, exchange_future).await;
        let Ok(result) = result else {
            return SilentSnafu { limit }.fail();
        };
        let (response, reusable): (_, bool) = result?;
        self.open = open.filter(|_| reusable);
        Ok(response)
    }

    /// Fetches a document, which `reader` reads while it arrives if its status is 200; other bodies are discarded.
    ///
    /// Returns the head and how its body ended. Fails if there is no head.
    pub(crate) async fn read(
        &mut self,
        path: &str,
        limit: time::Duration,
        reader: &mut dyn adapter::BodyReader,
    ) -> Result<(http::response::Parts, Result<(), CallError>), CallError> {
        let mut open = self.open.take();
        let mut received_head = None;
        let exchange_future = async {
            let head = send(&mut open, self.address, "GET", path, Bytes::new()).await?;
            let reader = (head.status == http::StatusCode::OK).then_some(reader);
            let head = received_head.insert(head);
            let (_, reusable) = read_body(&mut open, head, reader).await?;
            Ok(reusable)
        };
        let result = monoio::time::timeout(limit, exchange_future).await;
        let result = result.unwrap_or_else(|_| SilentSnafu { limit }.fail());
        if matches!(result, Ok(true)) {
            self.open = open;
        }
        match received_head {
            Some(head) => Ok((head, result.map(|_| ()))),
            None => Err(result.err().unwrap_or(CallError::Silent { limit })),
        }
    }
}

async fn connect(
    address: net::SocketAddr,
) -> Result<(h1::MessageReader, h1::MessageWriter), CallError> {
    let connecting = monoio::net::TcpStream::connect_addr(address);
    let connected = monoio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let Ok(connected) = connected else {
        return SilentSnafu { limit: CONNECT_TIMEOUT }.fail();
    };
    Ok(h1::split(connected.context(ConnectSnafu)?))
}

/// Sends a request and reads the head of its response.
async fn send(
    open: &mut Option<(h1::MessageReader, h1::MessageWriter)>,
    address: net::SocketAddr,
    method: &str,
    path: &str,
    body: Bytes,
) -> Result<http::response::Parts, CallError> {
    if open.is_none() {
        *open = Some(connect(address).await?);
    }
    let Some((reader, writer)) = open.as_mut() else {
        return SilentSnafu { limit: CONNECT_TIMEOUT }.fail();
    };
    let mut request = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\n").into_bytes();
    if !body.is_empty() {
        let head = format!("content-type: application/json\r\ncontent-length: {}\r\n", body.len());
        request.extend_from_slice(head.as_bytes());
    }
    request.extend_from_slice(b"\r\n");
    request.extend_from_slice(&body);
    writer.write(request).await.context(MessageSnafu)?;
    reader.response_head().await.context(MessageSnafu)
}

/// Reads the body of a response, and returns it unless `body_reader` reads it; returns also whether the connection can be
/// reused.
async fn read_body(
    open: &mut Option<(h1::MessageReader, h1::MessageWriter)>,
    head: &http::response::Parts,
    body_reader: Option<&mut dyn adapter::BodyReader>,
) -> Result<(Bytes, bool), CallError> {
    let Some((reader, _)) = open.as_mut() else {
        return SilentSnafu { limit: CONNECT_TIMEOUT }.fail();
    };
    let mut framing = h1::BodyFraming::of_response(head).context(MessageSnafu)?;
    let until_close = framing == h1::BodyFraming::UntilClose;
    let body = match body_reader {
        None => reader.whole_body(&mut framing, MAX_DOCUMENT_BYTES).await.context(MessageSnafu)?,
        Some(body_reader) => {
            while let Some(piece) = reader.next_piece(&mut framing).await.context(MessageSnafu)? {
                body_reader.read(&piece).context(UnreadableSnafu)?;
            }
            Bytes::new()
        }
    };
    let reusable =
        !until_close && !h1::closes(head.version, &head.headers) && !reader.has_unread_bytes();
    reader.free_empty_buffer();
    Ok((body, reusable))
}
