//! Opens connections to upstreams: over the links of this process, or through a member that relays.
//!
//! Both paths are tried one after the other, as by "Happy Eyeballs" (RFC 8305): a relay as soon as the link fails or is
//! slow. So a request is served also before this process knows that a link is cut. Over a link that seems cut, a
//! connection is opened only after the relays have failed.

use std::{future::Future, io, net, pin, time};

use futures::future;
use slipturn_core::{ids, planner::modes, units, upstream_reach};
use slipturn_net::h1;
use snafu::Snafu;

use crate::{context, member_relay, upstream_links, upstream_pool};

/// Timeout of a connection attempt, which takes a few milliseconds within a region.
pub(crate) const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Time after which the second path is tried, while the first one has not failed.
const SECOND_PATH_DELAY: time::Duration = time::Duration::from_millis(100);
/// Timeout of a direct attempt at an upstream of a service that seems unreachable, after no member relayed.
const UNREACHABLE_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Time in which a proxy closes a connection that leads nowhere.
pub(crate) const CLOSE_CHECK_TIME: time::Duration = time::Duration::from_millis(15);

/// A failed connection attempt; nothing was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The operating system returned an error.
    #[snafu(display("cannot connect: {source}"))]
    Refused {
        /// The error that the operating system returned.
        source: io::Error,
    },
    /// The operating system returned an error, and no member could tell whether the upstream or a link failed.
    #[snafu(display("cannot connect: {source}; {relay}"))]
    Unconfirmed {
        /// The error that the operating system returned.
        source: io::Error,
        /// Why no member relayed the connection.
        relay: String,
    },
    /// The attempt timed out.
    #[snafu(display("no connection within {limit:?}"))]
    Silent {
        /// Time limit of the attempt.
        limit: time::Duration,
    },
}

impl ConnectError {
    /// Returns whether the upstream failed, as far as this process and other members can tell.
    pub(crate) fn is_confirmed(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }

    /// Returns whether the upstream's system refused or reset the connection, as when no process listens on the
    /// address.
    pub fn is_connection_refused(&self) -> bool {
        let refused = |source: &io::Error| {
            matches!(
                source.kind(),
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
            )
        };
        matches!(self, Self::Refused { source } if refused(source))
    }
}

/// An upstream to connect to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectTarget<'a> {
    /// Service of the upstream.
    pub(crate) service: &'a ids::ServiceId,
    pub(crate) address: net::SocketAddrV4,
}

/// Returns a pooled connection to an upstream, or opens a new one if there is none.
pub(crate) async fn get(
    context: &context::InstanceContext,
    target: ConnectTarget<'_>,
) -> Result<upstream_pool::UpstreamConnection, ConnectError> {
    let is_relayed = path(context, target) == upstream_reach::LinkPath::Relayed;
    let idle = (!is_relayed).then(|| context.pool.take_idle(target.address)).flatten();
    match idle {
        Some(connection) => Ok(connection),
        None => open(context, target).await,
    }
}

/// Opens a new connection to an upstream, even if the pool has an idle one.
pub(crate) async fn open(
    context: &context::InstanceContext,
    target: ConnectTarget<'_>,
) -> Result<upstream_pool::UpstreamConnection, ConnectError> {
    let opened = open_by_path(context, target, path(context, target)).await?;
    Ok(context.pool.register(target.address, opened))
}

/// Opens a new connection to an upstream through a member if possible, else directly.
pub(crate) async fn open_by_other_path(
    context: &context::InstanceContext,
    target: ConnectTarget<'_>,
) -> Result<upstream_pool::UpstreamConnection, ConnectError> {
    let path = match path(context, target) {
        upstream_reach::LinkPath::Direct => upstream_reach::LinkPath::Relayed,
        path => path,
    };
    let opened = open_by_path(context, target, path).await?;
    Ok(context.pool.register(target.address, opened))
}

/// Opens a new connection to an upstream through a member only.
pub(crate) async fn open_relayed_only(
    context: &context::InstanceContext,
    target: ConnectTarget<'_>,
) -> Result<upstream_pool::UpstreamConnection, member_relay::RelayError> {
    let opened = open_relayed(context, target).await?;
    Ok(context.pool.register(target.address, opened))
}

/// Opens a new connection to an upstream over the links of this process only.
pub(crate) async fn open_direct_only(
    context: &context::InstanceContext,
    address: net::SocketAddrV4,
) -> Result<upstream_pool::UpstreamConnection, ConnectError> {
    let opened = open_direct(address, CONNECT_TIMEOUT).await?;
    Ok(context.pool.register(address, opened))
}

async fn open_by_path(
    context: &context::InstanceContext,
    target: ConnectTarget<'_>,
    path: upstream_reach::LinkPath,
) -> Result<upstream_pool::OpenedConnection, ConnectError> {
    let begun = context.now();
    let direct = open_direct(target.address, CONNECT_TIMEOUT);
    if !relays_connections(context) {
        return direct.await;
    }
    match path {
        upstream_reach::LinkPath::Direct => {
            let raced = race(direct, open_relayed(context, target)).await;
            note_direct_first(context, target, begun, raced)
        }
        upstream_reach::LinkPath::DirectOnly => {
            let refused = context.reach.borrow().relay_refused(target.service, target.address);
            let is_lost = context.reach.borrow().lost_since(target.service).is_some();
            let opened = match is_lost {
                true => open_lost(target.address, CONNECT_TIMEOUT).await,
                false => direct.await,
            };
            opened.map_err(|error| match error {
                ConnectError::Refused { source } if !refused => {
                    let relay = "no relay reached it lately".to_owned();
                    ConnectError::Unconfirmed { source, relay }
                }
                error => error,
            })
        }
        upstream_reach::LinkPath::Relayed => {
            let relay_error = match open_relayed(context, target).await {
                Ok(connection) => return Ok(connection),
                Err(error) => error,
            };
            let direct = open_lost(target.address, UNREACHABLE_TIMEOUT).await;
            direct.map_err(|error| note_relay_error(context, target, error, &relay_error))
        }
    }
}

/// Returns the path for a connection to an upstream.
fn path(
    context: &context::InstanceContext,
    ConnectTarget { service, address }: ConnectTarget<'_>,
) -> upstream_reach::LinkPath {
    if !relays_connections(context) {
        return upstream_reach::LinkPath::DirectOnly;
    }
    context.reach.borrow().path(context.now(), service, address)
}

/// Returns whether members may relay the connections of this process.
fn relays_connections(context: &context::InstanceContext) -> bool {
    context.settings().experiments.upstream_path == modes::UpstreamPathMode::Relayed
}

async fn open_direct(
    address: net::SocketAddrV4,
    limit: time::Duration,
) -> Result<upstream_pool::OpenedConnection, ConnectError> {
    let connecting = monoio::net::TcpStream::connect_addr(address.into());
    let Ok(connected) = monoio::time::timeout(limit, connecting).await else {
        return SilentSnafu { limit }.fail();
    };
    let stream = connected.map_err(|source| ConnectError::Refused { source })?;
    let (reader, writer) = h1::split(stream);
    Ok(upstream_pool::OpenedConnection { reader, writer, relay: None })
}

/// Opens a direct connection over a link that seems lost. A proxy may accept connections that lead nowhere, and a request
/// sent over one counts as possibly run, so the connection must stay open for [`CLOSE_CHECK_TIME`].
async fn open_lost(
    address: net::SocketAddrV4,
    limit: time::Duration,
) -> Result<upstream_pool::OpenedConnection, ConnectError> {
    let mut opened = open_direct(address, limit).await?;
    match monoio::time::timeout(CLOSE_CHECK_TIME, opened.reader.fill()).await {
        Ok(_) => {
            let source = io::Error::new(io::ErrorKind::ConnectionAborted, "closed at once");
            Err(ConnectError::Refused { source })
        }
        Err(_) => Ok(opened),
    }
}

async fn open_relayed(
    context: &context::InstanceContext,
    target: ConnectTarget<'_>,
) -> Result<upstream_pool::OpenedConnection, member_relay::RelayError> {
    member_relay::open(context, target.address, CONNECT_TIMEOUT).await
}

/// Result of two attempts, of which the second is made if the first one fails or is slow.
enum RaceResult<E1, E2> {
    First(upstream_pool::OpenedConnection),
    Second(upstream_pool::OpenedConnection),
    Failed(E1, E2),
}

/// Tries `first`, and `second` as soon as `first` fails or has taken [`SECOND_PATH_DELAY`].
async fn race<E1, E2>(
    first: impl Future<Output = Result<upstream_pool::OpenedConnection, E1>>,
    second: impl Future<Output = Result<upstream_pool::OpenedConnection, E2>>,
) -> RaceResult<E1, E2> {
    let (mut first, second) = (pin::pin!(first), pin::pin!(second));
    let first_error = match monoio::time::timeout(SECOND_PATH_DELAY, first.as_mut()).await {
        Ok(Ok(connection)) => return RaceResult::First(connection),
        Ok(Err(error)) => error,
        Err(_) => match future::select(first, second).await {
            future::Either::Left((Ok(connection), _)) => return RaceResult::First(connection),
            future::Either::Left((Err(error), second)) => return after_first(error, second).await,
            future::Either::Right((Ok(connection), _)) => return RaceResult::Second(connection),
            future::Either::Right((Err(second_error), first)) => {
                return match first.await {
                    Ok(connection) => RaceResult::First(connection),
                    Err(error) => RaceResult::Failed(error, second_error),
                };
            }
        },
    };
    after_first(first_error, second).await
}

async fn after_first<E1, E2>(
    first_error: E1,
    second: impl Future<Output = Result<upstream_pool::OpenedConnection, E2>>,
) -> RaceResult<E1, E2> {
    match second.await {
        Ok(connection) => RaceResult::Second(connection),
        Err(error) => RaceResult::Failed(first_error, error),
    }
}

/// Records the result of attempts of which the direct one was first.
fn note_direct_first(
    context: &context::InstanceContext,
    target: ConnectTarget<'_>,
    begun: units::MonoTime,
    raced: RaceResult<ConnectError, member_relay::RelayError>,
) -> Result<upstream_pool::OpenedConnection, ConnectError> {
    let ConnectTarget { service, address } = target;
    let attempt = upstream_reach::LinkAttempt { service, address, opened: begun };
    match raced {
        RaceResult::First(connection) => Ok(connection),
        RaceResult::Second(connection) => {
            upstream_links::note_failure(context, attempt);
            Ok(connection)
        }
        RaceResult::Failed(error, relay_error) => {
            if !relay_error.speaks_against_upstream() {
                upstream_links::note_failure(context, attempt);
            }
            Err(note_relay_error(context, target, error, &relay_error))
        }
    }
}

/// Records why no member relayed a connection that could not be opened directly either; returns the error of the direct
/// attempt.
fn note_relay_error(
    context: &context::InstanceContext,
    ConnectTarget { service, address }: ConnectTarget<'_>,
    error: ConnectError,
    relay_error: &member_relay::RelayError,
) -> ConnectError {
    if relay_error.speaks_against_upstream() {
        let (now, refused) = (context.now(), relay_error.is_refused());
        context.reach.borrow_mut().note_relay_failure(now, service, address, refused);
    }
    match error {
        ConnectError::Refused { source } if !relay_error.confirms_refusal() => {
            ConnectError::Unconfirmed { source, relay: relay_error.to_string() }
        }
        error => error,
    }
}
