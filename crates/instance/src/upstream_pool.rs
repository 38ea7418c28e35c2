//! Connection pool for upstreams. A connection carries one request at a time.

use std::{cell, collections, io, net, rc, time};

use futures::FutureExt as _;
use slipturn_core::connection_silence;
use slipturn_net::{boot_clock, h1};
use snafu::Snafu;

use crate::upstream_gate;

/// Timeout of a connection attempt, which takes a few milliseconds within a region.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Maximum number of idle connections to one upstream.
pub(crate) const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum time for which a connection is kept idle.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_secs(4);
/// How long before the upstream's keep-alive timeout an idle connection is closed.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(900);

/// A failed connection attempt; nothing was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The operating system returned an error.
    #[snafu(display("cannot connect: {source}"))]
    Refused {
        /// The error that the operating system returned.
        source: io::Error,
    },
    /// The attempt timed out.
    #[snafu(display("no connection within {CONNECT_TIMEOUT:?}"))]
    Silent,
}

impl ConnectError {
    /// Returns whether the peer's system refused or reset the connection, as when no process listens
    /// on the address.
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

/// When a connection was opened, and when bytes were last received on it.
#[derive(Debug)]
pub struct ConnectionTimes {
    address: net::SocketAddrV4,
    opened: boot_clock::BootInstant,
    /// When bytes were last received; `None` if there were none yet.
    received: cell::Cell<Option<boot_clock::BootInstant>>,
}

impl ConnectionTimes {
    /// Records that bytes have been received just now.
    pub fn receive(&self) {
        self.received.set(Some(boot_clock::BootInstant::now()));
    }

    /// Returns the address of the upstream.
    pub(crate) fn address(&self) -> net::SocketAddrV4 {
        self.address
    }

    /// Returns the time since the connection was opened.
    pub(crate) fn age(&self) -> time::Duration {
        self.opened.elapsed()
    }

    /// Returns whether bytes were ever received.
    pub(crate) fn has_received(&self) -> bool {
        self.received.get().is_some()
    }

    fn ages(&self) -> connection_silence::ConnectionAges {
        connection_silence::ConnectionAges {
            opened: self.opened.elapsed(),
            received: self.received.get().map(boot_clock::BootInstant::elapsed),
        }
    }
}

/// A connection to an upstream. The writing side is available only with a [`upstream_gate::SendPass`].
#[derive(Debug)]
pub struct UpstreamConnection {
    /// Reads what the upstream sends.
    pub reader: h1::MessageReader,
    writer: h1::MessageWriter,
    /// Whether the connection was used for an earlier request.
    pub used: bool,
    /// When the connection was opened and last received bytes.
    pub times: rc::Rc<ConnectionTimes>,
}

impl UpstreamConnection {
    /// Returns both sides, for a request that passed the gate.
    pub fn sides(
        &mut self,
        _pass: &upstream_gate::SendPass<'_>,
    ) -> (&mut h1::MessageReader, &mut h1::MessageWriter) {
        (&mut self.reader, &mut self.writer)
    }
}

#[derive(Debug)]
struct PooledConnection {
    connection: UpstreamConnection,
    /// When the connection is closed if it stays idle.
    until: boot_clock::BootInstant,
}

/// Numbers of this process's connections to one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionCounts {
    /// Number of open connections, including the idle ones.
    pub(crate) open: usize,
    pub(crate) idle: usize,
}

/// Idle connections by address, and the times of all open connections.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    /// Times by address; a reference expires when its connection is closed.
    connection_times:
        cell::RefCell<collections::HashMap<net::SocketAddrV4, Vec<rc::Weak<ConnectionTimes>>>>,
    idle: cell::RefCell<collections::HashMap<net::SocketAddrV4, Vec<PooledConnection>>>,
}

impl UpstreamPool {
    /// Returns an idle connection, or opens a new one if there is none.
    pub async fn get(
        &self,
        address: net::SocketAddrV4,
    ) -> Result<UpstreamConnection, ConnectError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Opens a new connection, even if the pool has an idle one; fails after `CONNECT_TIMEOUT`.
    pub async fn open(
        &self,
        address: net::SocketAddrV4,
    ) -> Result<UpstreamConnection, ConnectError> {
        let connecting = monoio::net::TcpStream::connect_addr(address.into());
        let connected = monoio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let Ok(connected) = connected else {
            return SilentSnafu.fail();
        };
        let stream = connected.map_err(|source| ConnectError::Refused { source })?;
        let (reader, writer) = h1::split(stream);
        let received = cell::Cell::new(None);
        let times = ConnectionTimes { address, opened: boot_clock::BootInstant::now(), received };
        let times = rc::Rc::new(times);
        self.connection_times
            .borrow_mut()
            .entry(address)
            .or_default()
            .push(rc::Rc::downgrade(&times));
        Ok(UpstreamConnection { reader, writer, used: false, times })
    }

    /// Returns a connection to the pool after its last answer was read completely. It is kept for the
    /// time that the upstream allows (`keep_alive`), but closed if `max_idle` connections to the address are idle.
    pub fn put(
        &self,
        address: net::SocketAddrV4,
        mut connection: UpstreamConnection,
        keep_alive: Option<time::Duration>,
        max_idle: usize,
    ) {
        if connection.reader.has_unread_bytes() {
            return;
        }
        connection.reader.free_empty_buffer();
        connection.used = true;
        connection.times.receive();
        let idle_time = keep_alive.map_or(MAX_IDLE_TIME, |keep_alive| {
            keep_alive.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME)
        });
        if idle_time.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(address).or_default();
        if pooled.len() < max_idle {
            pooled.push(PooledConnection {
                connection,
                until: boot_clock::BootInstant::now() + idle_time,
            });
        }
    }

    /// Returns the numbers of connections to an address.
    pub(crate) fn connection_counts(&self, address: net::SocketAddrV4) -> ConnectionCounts {
        let is_open = |times: &&rc::Weak<ConnectionTimes>| times.strong_count() > 0;
        let connection_times = self.connection_times.borrow();
        ConnectionCounts {
            open: connection_times
                .get(&address)
                .map_or(0, |connection_times| connection_times.iter().filter(is_open).count()),
            idle: self.idle.borrow().get(&address).map_or(0, Vec::len),
        }
    }

    /// Closes connections that were idle for too long.
    pub fn prune(&self) {
        let now = boot_clock::BootInstant::now();
        self.idle.borrow_mut().retain(|_, pooled| {
            pooled.retain(|idle| idle.until > now);
            !pooled.is_empty()
        });
        self.connection_times.borrow_mut().retain(|_, connection_times| {
            connection_times.retain(|times| times.strong_count() > 0);
            !connection_times.is_empty()
        });
    }

    /// Closes the idle connections to an address; returns their number.
    pub fn close_idle(&self, address: net::SocketAddrV4) -> usize {
        self.idle.borrow_mut().remove(&address).map_or(0, |pooled| pooled.len())
    }

    /// Returns the probable cause of a connection's silence, given the other connections to its address.
    pub fn cause(
        &self,
        silent: &ConnectionTimes,
        phase: connection_silence::SilencePhase,
        waited: time::Duration,
    ) -> connection_silence::SilenceCause {
        let connection_times = self.connection_times.borrow();
        let same_address = connection_times.get(&silent.address).into_iter().flatten();
        let others = ages_of_others(silent, same_address);
        connection_silence::SilenceCause::of(silent.ages(), phase, waited, others)
    }

    /// Closes idle connections that may have died along with a silent one; returns their number.
    pub fn close_untrusted(&self, silent: &ConnectionTimes, waited: time::Duration) -> usize {
        // A network fault of this process breaks its connections to all upstreams at once. If another
        // connection that was open when this one fell silent still receives, only those to the same address
        // are closed.
        let connection_times = self.connection_times.borrow();
        let others = ages_of_others(silent, connection_times.values().flatten());
        let all = !silent.ages().has_live_peer(waited, others);
        let mut idle = self.idle.borrow_mut();
        let count =
            |idle: &collections::HashMap<_, Vec<_>>| -> usize { idle.values().map(Vec::len).sum() };
        let before = count(&idle);
        let affected = idle.iter_mut().filter(|(address, _)| all || **address == silent.address);
        for (_, pooled) in affected {
            pooled.retain(|idle| idle.connection.times.ages().trusted(waited));
        }
        before - count(&idle)
    }

    fn take_idle(&self, address: net::SocketAddrV4) -> Option<UpstreamConnection> {
        let now = boot_clock::BootInstant::now();
        loop {
            let mut idle = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            // If there is anything to read, the upstream closed the connection or sent unrequested bytes.
            let silent = idle.connection.reader.fill().now_or_never().is_none();
            if idle.until > now && silent {
                return Some(idle.connection);
            }
        }
    }
}

/// Returns the ages of all open connections except `excluded`.
fn ages_of_others<'a>(
    excluded: &ConnectionTimes,
    connection_times: impl Iterator<Item = &'a rc::Weak<ConnectionTimes>>,
) -> impl Iterator<Item = connection_silence::ConnectionAges> {
    let open = connection_times.filter_map(rc::Weak::upgrade);
    open.filter(|times| !std::ptr::eq(rc::Rc::as_ptr(times), excluded)).map(|times| times.ages())
}
