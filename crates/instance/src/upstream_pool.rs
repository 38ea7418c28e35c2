//! Connection pool for upstreams. A connection carries one request at a time.

use std::{cell, collections, net, rc, time};

use futures::FutureExt as _;
use slipturn_core::{connection_silence, ids};
use slipturn_net::{boot_clock, h1};

use crate::{member_relay, upstream_gate};

/// Maximum number of idle connections to one upstream.
pub(crate) const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum time for which a connection is kept idle.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_secs(4);
/// How long before the upstream's keep-alive timeout an idle connection is closed.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(900);

/// When a connection was opened, and when bytes were last received on it.
#[derive(Debug)]
pub struct ConnectionTimes {
    address: net::SocketAddrV4,
    opened: boot_clock::BootInstant,
    /// When bytes were last received; `None` if there were none yet.
    received: cell::Cell<Option<boot_clock::BootInstant>>,
    /// The member that relays the connection; `None` if it is direct.
    relay: Option<ids::InstanceId>,
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

    /// Returns the member that relays the connection; `None` if it is direct.
    pub(crate) fn relay(&self) -> Option<&ids::InstanceId> {
        self.relay.as_ref()
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
    /// The member that relays the connection; `None` if it is direct.
    relay: Option<member_relay::ConnectionRelay>,
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

    /// Returns both sides and the relay by value, for a call that passed the gate.
    pub(crate) fn into_opened(self, _pass: &upstream_gate::SendPass<'_>) -> OpenedConnection {
        OpenedConnection { reader: self.reader, writer: self.writer, relay: self.relay }
    }

    /// Returns the member that relays the connection; `None` if it is direct.
    pub(crate) fn relay(&self) -> Option<&member_relay::ConnectionRelay> {
        self.relay.as_ref()
    }

    /// Waits for bytes of a body like [`h1::MessageReader::next_piece`]. A body that ends with its connection is complete
    /// only if the upstream closed the connection, which may also have broken together with its relay.
    pub async fn next_piece(
        &mut self,
        framing: &mut h1::BodyFraming,
    ) -> Result<Option<bytes::Bytes>, h1::MessageError> {
        let until_close = *framing == h1::BodyFraming::UntilClose;
        let piece = self.reader.next_piece(framing).await?;
        if until_close
            && piece.is_none()
            && let Some(relay) = &self.relay
            && !relay.ended_by_upstream().await
        {
            return Err(h1::MessageError::Closed);
        }
        Ok(piece)
    }
}

/// A connection to an upstream that has just been opened.
pub(crate) struct OpenedConnection {
    pub(crate) reader: h1::MessageReader,
    pub(crate) writer: h1::MessageWriter,
    /// The member that relays the connection; `None` if it is direct.
    pub(crate) relay: Option<member_relay::ConnectionRelay>,
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
    /// Direct connections only, the youngest last.
    idle: cell::RefCell<collections::HashMap<net::SocketAddrV4, Vec<PooledConnection>>>,
}

impl UpstreamPool {
    /// Registers a connection that has just been opened.
    pub(crate) fn register(
        &self,
        address: net::SocketAddrV4,
        opened: OpenedConnection,
    ) -> UpstreamConnection {
        let OpenedConnection { reader, writer, relay } = opened;
        let received = cell::Cell::new(None);
        let opened = boot_clock::BootInstant::now();
        let member = relay.as_ref().map(|relay| relay.member.clone());
        let times = rc::Rc::new(ConnectionTimes { address, opened, received, relay: member });
        self.connection_times
            .borrow_mut()
            .entry(address)
            .or_default()
            .push(rc::Rc::downgrade(&times));
        UpstreamConnection { reader, writer, relay, used: false, times }
    }

    /// Returns a connection to the pool after its last answer was read completely. It is kept for the
    /// time that the upstream allows (`keep_alive`), but closed if `max_idle` connections to the address are idle.
    /// A relayed one is closed, as its relay may stop at any time and does not know whether it is idle.
    pub fn put(
        &self,
        address: net::SocketAddrV4,
        mut connection: UpstreamConnection,
        keep_alive: Option<time::Duration>,
        max_idle: usize,
    ) {
        if connection.relay.is_some() || connection.reader.has_unread_bytes() {
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

    /// Returns whether a direct connection to an address that was open during a silence of `silent` has carried bytes in
    /// the last part of it.
    pub(crate) fn has_live(&self, address: net::SocketAddrV4, silent: time::Duration) -> bool {
        let connection_times = self.connection_times.borrow();
        let open = connection_times.get(&address).into_iter().flatten();
        let mut direct = open.filter_map(rc::Weak::upgrade).filter(|times| times.relay.is_none());
        direct.any(|times| {
            let ages = times.ages();
            ages.opened >= silent && ages.trusted(silent)
        })
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

    /// Returns an idle connection to an address, which is never relayed.
    pub(crate) fn take_idle(&self, address: net::SocketAddrV4) -> Option<UpstreamConnection> {
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
