//! Opens connections to upstreams through other members, by the HTTP method `CONNECT`.
//!
//! A relay forwards bytes and interprets none of them: attempts, deadlines, permits and the checks of answers stay with
//! the instance that the caller sent its request to.

use std::{net, time};

use futures::{StreamExt as _, stream::FuturesUnordered};
use slipturn_core::ids;
use slipturn_net::h1;
use snafu::{ResultExt as _, Snafu};

use crate::{context, upstream_pool};

/// Header with the boot number of the member that requests a relayed connection.
pub(crate) const MEMBER_BOOT: &str = "member-boot";
/// Header with the number that a relay gave to a connection; in a request for a check, that of the connection whose end is
/// checked.
pub(crate) const RELAY_NUMBER: &str = "relay-number";
/// Prefix of the path at which a relay tells how the relayed connection with a number ended.
pub(crate) const RELAY_ENDS_PATH: &str = "/relays/";
/// Status of a relay that found that nothing listens at the upstream's address.
pub(crate) const REFUSED_STATUS: http::StatusCode = http::StatusCode::BAD_GATEWAY;
/// Header of a request for a relayed connection that only checks whether the upstream accepts it. A stopping relay
/// accepts such requests, as the check concludes an answer that it has relayed.
pub(crate) const RELAY_CHECK: &str = "relay-check";
/// Header of a relay whose own link may be the cause of its answer.
pub(crate) const RELAY_DOUBT: &str = "relay-doubt";

/// Time after which the next member is asked, while the one before has not answered.
const NEXT_RELAY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Timeout of the question how a relayed connection ended.
const END_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Why no connection was relayed.
#[derive(Debug, Snafu)]
pub(crate) enum RelayError {
    /// There is no member to ask.
    #[snafu(display("no member to relay it"))]
    NoMember,
    /// No member answered in time.
    #[snafu(display("no relay within {limit:?}"))]
    Silent {
        /// Time limit that was exceeded.
        limit: time::Duration,
    },
    /// The exchange with the relay failed.
    #[snafu(display("relay: {source}"))]
    Exchange {
        /// The error of the HTTP layer.
        source: h1::MessageError,
    },
    /// The relay could not be reached.
    #[snafu(display("relay: {source}"))]
    Connect {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The relay reached the upstream's system, where nothing listens at the address.
    #[snafu(display("refused at a relay, too"))]
    Refused {
        /// Whether the relay's own link may be the cause.
        doubtful: bool,
    },
    /// The relay did not open the connection.
    #[snafu(display("relay: status {status}"))]
    Status {
        /// Status of the relay's answer.
        status: u16,
    },
}

impl RelayError {
    /// Returns whether nothing listens at the upstream's address, as far as members see.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }

    /// Returns whether the upstream failed, as far as the members that were asked see.
    pub(crate) fn speaks_against_upstream(&self) -> bool {
        let timeout = http::StatusCode::GATEWAY_TIMEOUT.as_u16();
        self.is_refused() || matches!(self, Self::Status { status } if *status == timeout)
    }

    /// Returns whether the refusal of a direct connection is the upstream's own. Without other members this process
    /// cannot tell.
    pub(crate) fn confirms_refusal(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::NoMember)
    }
}

/// The relay of a connection.
#[derive(Debug)]
pub struct ConnectionRelay {
    /// Name of the member that relays.
    pub(crate) member: ids::InstanceId,
    address: net::SocketAddr,
    /// Number that the member gave to the connection.
    number: String,
}

impl ConnectionRelay {
    /// Returns whether the upstream closed the connection, rather than a failure. A connection that ends with its relay
    /// looks the same.
    pub(crate) async fn ended_by_upstream(&self) -> bool {
        let path = format!("{RELAY_ENDS_PATH}{}", self.number);
        let asking = async {
            let stream = monoio::net::TcpStream::connect_addr(self.address).await.ok()?;
            let (mut reader, mut writer) = h1::split(stream);
            let request = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", self.address);
            writer.write(request.into_bytes()).await.ok()?;
            reader.response_head().await.ok()
        };
        let answered = monoio::time::timeout(END_TIMEOUT, asking).await.ok().flatten();
        answered.is_some_and(|head| head.status == http::StatusCode::OK)
    }

    /// Opens another connection to the upstream through the same relay, to check that the upstream accepts it.
    pub(crate) async fn open_check(
        &self,
        context: &context::InstanceContext,
        upstream: net::SocketAddrV4,
    ) -> Result<upstream_pool::OpenedConnection, RelayError> {
        let limit = END_TIMEOUT;
        let member = RelayMember { name: self.member.clone(), address: self.address };
        let purpose = ConnectPurpose::Check { ended: &self.number };
        let asked = connect(context.boot, member, upstream, purpose);
        let answered = monoio::time::timeout(limit, asked).await;
        answered.unwrap_or_else(|_| SilentSnafu { limit }.fail())
    }
}

/// What a relayed connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectPurpose<'a> {
    Request,
    /// See [`RELAY_CHECK`].
    Check {
        /// Number of the relayed connection whose end is checked.
        ended: &'a str,
    },
}

/// A member that may relay.
struct RelayMember {
    name: ids::InstanceId,
    address: net::SocketAddr,
}

/// Opens a connection to an upstream through a member. Members are asked one after the other, the next one as soon as
/// one fails or is slow; the first connection is taken.
pub(crate) async fn open(
    context: &context::InstanceContext,
    upstream: net::SocketAddrV4,
    limit: time::Duration,
) -> Result<upstream_pool::OpenedConnection, RelayError> {
    let mut remaining = members(context).into_iter();
    let mut pending = FuturesUnordered::new();
    let mut last_error = RelayError::NoMember;
    let deadline = context.now() + limit;
    while let left = deadline.since(context.now())
        && !left.is_zero()
    {
        let Some(member) = remaining.next() else {
            break;
        };
        pending.push(ask(context, member, upstream, left));
        match first_result(&mut pending, NEXT_RELAY_DELAY.min(left)).await {
            Some(Ok(connection)) => return Ok(connection),
            Some(Err(error)) => last_error = worse(last_error, error),
            None => {}
        }
    }
    while !pending.is_empty() {
        let left = deadline.since(context.now());
        match first_result(&mut pending, left).await {
            Some(Ok(connection)) => return Ok(connection),
            Some(Err(error)) => last_error = worse(last_error, error),
            None => return SilentSnafu { limit }.fail(),
        }
    }
    Err(last_error)
}

/// Combines the errors of two members. A refusal counts as the upstream's own only if all members that are asked find the
/// same: one of them may be cut off as well.
fn worse(first: RelayError, second: RelayError) -> RelayError {
    match (&first, &second) {
        (RelayError::NoMember | RelayError::Refused { .. }, _) => second,
        _ => first,
    }
}

/// Waits for the first of the pending results, at most for `limit`.
async fn first_result<F: Future>(
    pending: &mut FuturesUnordered<F>,
    limit: time::Duration,
) -> Option<F::Output> {
    monoio::time::timeout(limit, pending.next()).await.ok().flatten()
}

/// Returns the members to ask, in order.
fn members(context: &context::InstanceContext) -> Vec<RelayMember> {
    let settings = context.settings();
    let port = settings.listen.members.port();
    let members = context.members.borrow();
    let now = context.now();
    let (relays, mut random) = (context.relays.borrow(), rand::rng());
    let chosen = relays.choose(now, members.alive(now), &settings.data_center, &mut random);
    let relay_member = |member: &slipturn_core::member_heartbeat::MemberHeartbeat| RelayMember {
        name: member.name.clone(),
        address: net::SocketAddrV4::new(*member.address.ip(), port).into(),
    };
    chosen.into_iter().map(relay_member).collect()
}

/// Asks one member, and records whether it relays.
async fn ask(
    context: &context::InstanceContext,
    member: RelayMember,
    upstream: net::SocketAddrV4,
    limit: time::Duration,
) -> Result<upstream_pool::OpenedConnection, RelayError> {
    let name = member.name.clone();
    let asked = monoio::time::timeout(
        limit,
        connect(context.boot, member, upstream, ConnectPurpose::Request),
    )
    .await;
    let result = asked.unwrap_or_else(|_| SilentSnafu { limit }.fail());
    let now = context.now();
    match &result {
        Ok(_) | Err(RelayError::Refused { doubtful: false }) => {
            context.relays.borrow_mut().note_success(&name);
        }
        Err(error) => {
            log::debug!(member:% = name, error:%; "relay.failed");
            context.relays.borrow_mut().note_failure(now, &name);
        }
    }
    result
}

async fn connect(
    boot: u64,
    RelayMember { name, address }: RelayMember,
    upstream: net::SocketAddrV4,
    purpose: ConnectPurpose<'_>,
) -> Result<upstream_pool::OpenedConnection, RelayError> {
    let stream = monoio::net::TcpStream::connect_addr(address).await.context(ConnectSnafu)?;
    let (mut reader, mut writer) = h1::split(stream);
    let check = match purpose {
        ConnectPurpose::Request => String::new(),
        ConnectPurpose::Check { ended } => {
            format!("{RELAY_CHECK}: 1\r\n{RELAY_NUMBER}: {ended}\r\n")
        }
    };
    let request = format!(
        "CONNECT {upstream} HTTP/1.1\r\nhost: {upstream}\r\n{MEMBER_BOOT}: {boot}\r\n{check}\r\n"
    );
    writer.write(request.into_bytes()).await.context(ExchangeSnafu)?;
    let head = reader.response_head().await.context(ExchangeSnafu)?;
    match head.status {
        http::StatusCode::OK => {}
        REFUSED_STATUS => {
            let doubtful = head.headers.contains_key(RELAY_DOUBT);
            return RefusedSnafu { doubtful }.fail();
        }
        status => return StatusSnafu { status: status.as_u16() }.fail(),
    }
    let number = head.headers.get(RELAY_NUMBER).and_then(|value| value.to_str().ok());
    let number = number.unwrap_or_default().to_owned();
    let relay = ConnectionRelay { member: name, address, number };
    Ok(upstream_pool::OpenedConnection { reader, writer, relay: Some(relay) })
}
