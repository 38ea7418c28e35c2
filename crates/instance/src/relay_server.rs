//! Relays connections of members to upstreams that they do not reach themselves.
//!
//! A relay connects over its own links only, so a connection is relayed once.
//!
//! Only the member knows whether an answer is under way. It opens a connection for one request and closes it after the
//! answer, so the relay ends none itself: a graceful stop waits for the open ones, however long they are silent.

use std::{cell, collections, io, net, rc, time};

use futures::future;
use slipturn_core::{byte_budget, ids, units, upstream_reach};
use slipturn_net::h1;

use crate::{context, intake, member_relay};

/// Maximum number of connections that this process relays at a time; each takes two sockets and two buffers.
const MAX_RELAYED: usize = 512;
/// Bytes that a relayed connection holds at most: for each direction a read buffer and a piece that is being written.
const RELAYED_BYTES: usize = 4 * h1::READ_BYTES;
/// Timeout of a connection to an upstream. The member that asks has another relay at hand.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Number of ended connections whose end members can ask for.
const MAX_ENDS: usize = 256;
/// Time for which a member may read the last bytes before its connection is closed.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Relayed connections of this process.
#[derive(Debug, Default)]
pub struct RelayedConnections {
    open: usize,
    /// Number of the last connection.
    number: u64,
    /// Numbers and upstreams of the last connections that their upstream closed.
    closed_by_upstream: collections::VecDeque<(u64, net::SocketAddrV4)>,
}

impl RelayedConnections {
    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open
    }

    /// Returns whether the upstream closed the connection with this number.
    pub(crate) fn was_closed_by_upstream(&self, number: u64) -> bool {
        self.closed_by_upstream.iter().any(|(closed, _)| *closed == number)
    }

    fn note_closed_by_upstream(&mut self, number: u64, address: net::SocketAddrV4) {
        if self.closed_by_upstream.len() >= MAX_ENDS {
            self.closed_by_upstream.pop_front();
        }
        self.closed_by_upstream.push_back((number, address));
    }
}

/// What ended a relayed connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayEnd {
    /// The member closed its side, or its side broke.
    Member,
    /// The upstream closed its side.
    Upstream,
    /// The upstream's side broke.
    Broken,
}

impl RelayEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Member => "member",
            Self::Upstream => "upstream",
            Self::Broken => "broken",
        }
    }
}

/// Counts a relayed connection until it is dropped.
struct RelayGuard<'a> {
    context: &'a context::InstanceContext,
    number: u64,
}

impl<'a> RelayGuard<'a> {
    fn begin(context: &'a context::InstanceContext) -> Self {
        let mut relayed = context.relayed.borrow_mut();
        relayed.open += 1;
        relayed.number += 1;
        Self { context, number: relayed.number }
    }
}

impl Drop for RelayGuard<'_> {
    fn drop(&mut self) {
        self.context.relayed.borrow_mut().open -= 1;
    }
}

/// Answers a member's request for a relayed connection, and forwards bytes until either side closes it.
pub(crate) async fn serve(
    context: &rc::Rc<context::InstanceContext>,
    head: &http::request::Parts,
    reader: h1::MessageReader,
    mut writer: h1::MessageWriter,
) {
    // A graceful stop waits for relayed connections that are in use.
    let _busy = context::BusyGuard::new(context);
    let guard = RelayGuard::begin(context);
    let (kind, owner) = (byte_budget::ByteKind::Relayed, byte_budget::ByteOwner::Members);
    let bytes = intake::ByteGuard::reserve_now(context, kind, owner, RELAYED_BYTES);
    let connected = match &bytes {
        Ok(_) => connect(context, head).await,
        Err(_) => Err(RelayRefusal::of_request(http::StatusCode::SERVICE_UNAVAILABLE)),
    };
    let (upstream, address) = match connected {
        Ok(connected) => connected,
        Err(RelayRefusal { status, is_doubtful }) => {
            context.stats.borrow_mut().count("relays", status.as_str());
            let mut headers = http::HeaderMap::new();
            if is_doubtful {
                let value = http::HeaderValue::from_static("1");
                headers.insert(member_relay::RELAY_DOUBT, value);
            }
            let head = h1::encode_response_head(status, &headers, Some(0), true);
            // The member finds the connection closed if this fails.
            let _ = writer.write(head).await;
            return;
        }
    };
    context.stats.borrow_mut().count("relays", "opened");
    let number = guard.number;
    let head = format!("HTTP/1.1 200 OK\r\n{}: {number}\r\n\r\n", member_relay::RELAY_NUMBER);
    if writer.write(head.into_bytes()).await.is_err() {
        return;
    }
    let (upstream_reader, upstream_writer) = h1::split(upstream);
    let state = ForwardState { context, last_received: cell::Cell::new(None) };
    let member = ConnectionSides { reader, writer };
    let upstream = ConnectionSides { reader: upstream_reader, writer: upstream_writer };
    state.forward((number, address), member, upstream).await;
}

/// The answer to a request for a relayed connection that was not opened.
struct RelayRefusal {
    status: http::StatusCode,
    /// Whether a link of this process may be the cause.
    is_doubtful: bool,
}

impl RelayRefusal {
    fn of_request(status: http::StatusCode) -> Self {
        Self { status, is_doubtful: false }
    }
}

/// Opens the connection that a member requests.
async fn connect(
    context: &context::InstanceContext,
    head: &http::request::Parts,
) -> Result<(monoio::net::TcpStream, net::SocketAddrV4), RelayRefusal> {
    if !is_from_member(context, head) {
        return Err(RelayRefusal::of_request(http::StatusCode::FORBIDDEN));
    }
    let address = head.uri.authority().and_then(|authority| authority.as_str().parse().ok());
    let Some(address) = address else {
        return Err(RelayRefusal::of_request(http::StatusCode::NOT_FOUND));
    };
    let is_check = head.headers.contains_key(member_relay::RELAY_CHECK);
    let service = listed_service(context, address);
    // The entry of an upstream may expire while its last answers are under way.
    if service.is_none() && !(is_check && has_relayed_end(context, head, address)) {
        return Err(RelayRefusal::of_request(http::StatusCode::NOT_FOUND));
    }
    let is_full = context.relayed.borrow().open > MAX_RELAYED;
    if is_full || context.stop.is_triggered() && !is_check {
        return Err(RelayRefusal::of_request(http::StatusCode::SERVICE_UNAVAILABLE));
    }
    let find_path = |service| context.reach.borrow().path(context.now(), service, address);
    let path = service.as_ref().map(find_path);
    if path == Some(upstream_reach::LinkPath::Relayed) {
        return Err(RelayRefusal::of_request(http::StatusCode::SERVICE_UNAVAILABLE));
    }
    // The failure is no evidence against the link of this process, as the link of the member has failed as well.
    let connecting = monoio::net::TcpStream::connect_addr(address.into());
    match monoio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => Ok((stream, address)),
        Ok(Err(error)) => {
            let reach = context.reach.borrow();
            let is_reliable = |service| reach.is_reliable(context.now(), service);
            let is_reliable = service.as_ref().is_none_or(is_reliable);
            let status = match error.kind() {
                io::ErrorKind::ConnectionRefused => member_relay::REFUSED_STATUS,
                _ => http::StatusCode::SERVICE_UNAVAILABLE,
            };
            Err(RelayRefusal { status, is_doubtful: !is_reliable })
        }
        Err(_) => Err(RelayRefusal::of_request(http::StatusCode::GATEWAY_TIMEOUT)),
    }
}

/// Returns whether a request names a relayed connection that the upstream at an address has closed.
fn has_relayed_end(
    context: &context::InstanceContext,
    head: &http::request::Parts,
    address: net::SocketAddrV4,
) -> bool {
    let number = head.headers.get(member_relay::RELAY_NUMBER).and_then(|value| value.to_str().ok());
    let number = number.and_then(|text| text.parse().ok());
    number.is_some_and(|number| {
        context.relayed.borrow().closed_by_upstream.contains(&(number, address))
    })
}

/// Returns whether a request comes from a known start of a member.
fn is_from_member(context: &context::InstanceContext, head: &http::request::Parts) -> bool {
    let boot = head.headers.get(member_relay::MEMBER_BOOT).and_then(|value| value.to_str().ok());
    let boot = boot.and_then(|text| text.parse().ok());
    boot.is_some_and(|boot| context.members.borrow().name_of_boot(boot).is_some())
}

/// Returns the service of the upstream that is listed with an address.
fn listed_service(
    context: &context::InstanceContext,
    address: net::SocketAddrV4,
) -> Option<ids::ServiceId> {
    let fleet = context.fleet.borrow();
    let listed = fleet.list.entries().find(|entry| entry.address == address);
    listed.map(|entry| entry.service.clone())
}

/// Both directions of a connection.
struct ConnectionSides {
    reader: h1::MessageReader,
    writer: h1::MessageWriter,
}

/// Why the copying of answers to a member ended.
enum CopyError {
    /// The upstream's side broke.
    Read,
    /// The member's side broke.
    Write,
}

/// State of the forwarding on one relayed connection.
struct ForwardState<'a> {
    context: &'a context::InstanceContext,
    /// When the upstream last sent bytes; `None` if it has sent none.
    last_received: cell::Cell<Option<units::MonoTime>>,
}

impl ForwardState<'_> {
    /// Forwards bytes in both directions until the member closes the connection or the upstream's side ends.
    async fn forward(
        &self,
        (number, address): (u64, net::SocketAddrV4),
        mut member: ConnectionSides,
        mut upstream: ConnectionSides,
    ) {
        let ended = {
            let to_upstream = copy_to_upstream(&mut member.reader, &mut upstream.writer);
            let to_member = self.copy_to_member(&mut upstream.reader, &mut member.writer);
            match future::select(std::pin::pin!(to_upstream), std::pin::pin!(to_member)).await {
                future::Either::Left(_) => RelayEnd::Member,
                future::Either::Right((Ok(()), _)) => RelayEnd::Upstream,
                future::Either::Right((Err(CopyError::Read), _)) => RelayEnd::Broken,
                future::Either::Right((Err(CopyError::Write), _)) => RelayEnd::Member,
            }
        };
        self.report_end(number, ended);
        if ended == RelayEnd::Upstream {
            self.context.relayed.borrow_mut().note_closed_by_upstream(number, address);
            if member.writer.shutdown().await.is_ok() {
                let discarding = discard(&mut member.reader);
                let _ = monoio::time::timeout(LINGER_TIMEOUT, discarding).await;
            }
        }
    }

    /// Counts the end of the connection, and logs it during a graceful stop.
    fn report_end(&self, number: u64, ended: RelayEnd) {
        self.context.stats.borrow_mut().count("relay_ends", ended.label());
        if !self.context.stop.is_triggered() {
            return;
        }
        let now = self.context.now();
        let silent_ms = self.last_received.get().map(|at| units::whole_millis(now.since(at)));
        log::info!(number, end = ended.label(), silent_ms; "relay.ended");
    }

    /// Copies bytes to the member until the upstream closes the connection.
    async fn copy_to_member(
        &self,
        reader: &mut h1::MessageReader,
        writer: &mut h1::MessageWriter,
    ) -> Result<(), CopyError> {
        let mut framing = h1::BodyFraming::UntilClose;
        while let Some(piece) =
            reader.next_piece(&mut framing).await.map_err(|_| CopyError::Read)?
        {
            self.last_received.set(Some(self.context.now()));
            writer.write(piece).await.map_err(|_| CopyError::Write)?;
            reader.free_empty_buffer();
        }
        Ok(())
    }
}

/// Reads and discards what a member still sends. Closing a socket with unread bytes resets the connection, so that the
/// member could not trust the end of the answer.
async fn discard(reader: &mut h1::MessageReader) {
    let mut framing = h1::BodyFraming::UntilClose;
    while let Ok(Some(_)) = reader.next_piece(&mut framing).await {
        reader.free_empty_buffer();
    }
}

/// Copies bytes to the upstream until the member's side ends. An upstream that stops reading may still answer, so the
/// rest of the request is then discarded.
async fn copy_to_upstream(reader: &mut h1::MessageReader, writer: &mut h1::MessageWriter) {
    let mut framing = h1::BodyFraming::UntilClose;
    let mut is_reading = true;
    while let Ok(Some(piece)) = reader.next_piece(&mut framing).await {
        is_reading = is_reading && writer.write(piece).await.is_ok();
        reader.free_empty_buffer();
    }
}
