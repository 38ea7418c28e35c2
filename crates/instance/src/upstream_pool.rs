//! Connections to upstreams: one request a time on each, few resting ones kept.

use std::{cell, collections, io, net, rc, time};

use futures::FutureExt as _;
use slipturn_core::connection_silence;
use slipturn_net::{boot_clock, h1};
use snafu::Snafu;

use crate::upstream_gate;

/// Time for a connection to come about; within a region it takes a few milliseconds.
const CONNECT_TIME: time::Duration = time::Duration::from_millis(400);
/// Resting connections kept for each upstream.
pub(crate) const MAX_RESTING: usize = 4;
/// Longest a connection rests where the upstream does not say.
const REST_TIME: time::Duration = time::Duration::from_secs(4);
/// A connection is given up this long before the upstream would close it.
const REST_MARGIN: time::Duration = time::Duration::from_millis(900);

/// Why no connection came about; not a byte was written.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The system refused.
    #[snafu(display("cannot connect: {source}"))]
    Refused {
        /// What it said.
        source: io::Error,
    },
    /// Nothing happened in time.
    #[snafu(display("no connection within {CONNECT_TIME:?}"))]
    Silent,
}

impl ConnectError {
    /// Whether the other side's system said that no process listens there.
    pub fn nobody_listens(&self) -> bool {
        let refused = |source: &io::Error| {
            matches!(
                source.kind(),
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
            )
        };
        matches!(self, Self::Refused { source } if refused(source))
    }
}

/// When a connection was opened and last heard.
#[derive(Debug)]
pub struct ConnectionLife {
    address: net::SocketAddrV4,
    opened: boot_clock::BootInstant,
    heard: cell::Cell<Option<boot_clock::BootInstant>>,
}

impl ConnectionLife {
    /// Notes that bytes have come over it.
    pub fn receive(&self) {
        self.heard.set(Some(boot_clock::BootInstant::now()));
    }

    fn ages(&self) -> connection_silence::ConnectionAges {
        connection_silence::ConnectionAges {
            opened: self.opened.elapsed(),
            heard: self.heard.get().map(boot_clock::BootInstant::elapsed),
        }
    }
}

/// A connection to an upstream.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// What the upstream sends.
    pub reader: h1::MessageReader,
    writer: h1::MessageWriter,
    /// Whether it has carried a request before.
    pub used: bool,
    /// Its times.
    pub life: rc::Rc<ConnectionLife>,
}

impl UpstreamConnection {
    /// Both sides, for a request that the gate has let through.
    pub fn sides(
        &mut self,
        _pass: &upstream_gate::SendPass<'_>,
    ) -> (&mut h1::MessageReader, &mut h1::MessageWriter) {
        (&mut self.reader, &mut self.writer)
    }
}

#[derive(Debug)]
struct RestingConnection {
    connection: UpstreamConnection,
    until: boot_clock::BootInstant,
}

/// Connections of this process to one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeldConnections {
    /// All of them.
    pub(crate) open: usize,
    /// Those that wait for another request.
    pub(crate) resting: usize,
}

/// Resting connections by address, and the times of all.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    lives: cell::RefCell<collections::HashMap<net::SocketAddrV4, Vec<rc::Weak<ConnectionLife>>>>,
    resting: cell::RefCell<collections::HashMap<net::SocketAddrV4, Vec<RestingConnection>>>,
}

impl UpstreamPool {
    /// A resting connection, or a new one where there is none.
    pub async fn get(
        &self,
        address: net::SocketAddrV4,
    ) -> Result<UpstreamConnection, ConnectError> {
        match self.take_resting(address) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// A new connection.
    pub async fn open(
        &self,
        address: net::SocketAddrV4,
    ) -> Result<UpstreamConnection, ConnectError> {
        let connecting = monoio::net::TcpStream::connect_addr(address.into());
        let connected = monoio::time::timeout(CONNECT_TIME, connecting).await;
        let Ok(connected) = connected else {
            return SilentSnafu.fail();
        };
        let stream = connected.map_err(|source| ConnectError::Refused { source })?;
        let (reader, writer) = h1::split(stream);
        let heard = cell::Cell::new(None);
        let life = ConnectionLife { address, opened: boot_clock::BootInstant::now(), heard };
        let life = rc::Rc::new(life);
        self.lives.borrow_mut().entry(address).or_default().push(rc::Rc::downgrade(&life));
        Ok(UpstreamConnection { reader, writer, used: false, life })
    }

    /// Keeps a connection whose last answer has been read to its end, of `most` at rest to its upstream.
    pub fn put(
        &self,
        address: net::SocketAddrV4,
        mut connection: UpstreamConnection,
        keep: Option<time::Duration>,
        most: usize,
    ) {
        if connection.reader.has_surplus() {
            return;
        }
        connection.reader.rest();
        connection.used = true;
        connection.life.receive();
        let rest = keep.map_or(REST_TIME, |keep| keep.saturating_sub(REST_MARGIN).min(REST_TIME));
        if rest.is_zero() {
            return;
        }
        let mut resting = self.resting.borrow_mut();
        let kept = resting.entry(address).or_default();
        if kept.len() < most {
            kept.push(RestingConnection {
                connection,
                until: boot_clock::BootInstant::now() + rest,
            });
        }
    }

    /// How many connections to an address there are.
    pub(crate) fn held(&self, address: net::SocketAddrV4) -> HeldConnections {
        let is_open = |life: &&rc::Weak<ConnectionLife>| life.strong_count() > 0;
        let lives = self.lives.borrow();
        HeldConnections {
            open: lives.get(&address).map_or(0, |lives| lives.iter().filter(is_open).count()),
            resting: self.resting.borrow().get(&address).map_or(0, Vec::len),
        }
    }

    /// Closes connections that have rested long enough.
    pub fn prune(&self) {
        let now = boot_clock::BootInstant::now();
        self.resting.borrow_mut().retain(|_, kept| {
            kept.retain(|resting| resting.until > now);
            !kept.is_empty()
        });
        self.lives.borrow_mut().retain(|_, lives| {
            lives.retain(|life| life.strong_count() > 0);
            !lives.is_empty()
        });
    }

    /// Closes the connections that rest to an address; returns how many.
    pub fn forget(&self, address: net::SocketAddrV4) -> usize {
        self.resting.borrow_mut().remove(&address).map_or(0, |kept| kept.len())
    }

    /// What the silence of a connection shows, compared with the others to its upstream.
    pub fn cause(
        &self,
        silent: &ConnectionLife,
        moment: connection_silence::SilencePhase,
        waited: time::Duration,
    ) -> connection_silence::SilenceCause {
        let lives = self.lives.borrow();
        let same = lives.get(&silent.address).into_iter().flatten();
        let others = ages_beside(silent, same);
        connection_silence::SilenceCause::of(silent.ages(), moment, waited, others)
    }

    /// Closes resting connections that may have fallen silent with one on which was waited in
    /// vain; returns how many.
    pub fn drop_untrusted(&self, silent: &ConnectionLife, waited: time::Duration) -> usize {
        // What strikes a process strikes its connections to all upstreams at once; one that is
        // heard speaks for the others, and only those to the same upstream stay in doubt.
        let lives = self.lives.borrow();
        let others = ages_beside(silent, lives.values().flatten());
        let all = !silent.ages().has_live_peer(waited, others);
        let mut resting = self.resting.borrow_mut();
        let count = |resting: &collections::HashMap<_, Vec<_>>| -> usize {
            resting.values().map(Vec::len).sum()
        };
        let before = count(&resting);
        let doubted = resting.iter_mut().filter(|(address, _)| all || **address == silent.address);
        for (_, kept) in doubted {
            kept.retain(|resting| resting.connection.life.ages().trusted(waited));
        }
        before - count(&resting)
    }

    fn take_resting(&self, address: net::SocketAddrV4) -> Option<UpstreamConnection> {
        let now = boot_clock::BootInstant::now();
        loop {
            let mut resting = self.resting.borrow_mut().get_mut(&address)?.pop()?;
            // Anything to read means that the upstream has closed, or sent bytes without a request.
            let silent = resting.connection.reader.fill().now_or_never().is_none();
            if resting.until > now && silent {
                return Some(resting.connection);
            }
        }
    }
}

/// The ages of connections that are still open, but for one.
fn ages_beside<'a>(
    one: &ConnectionLife,
    lives: impl Iterator<Item = &'a rc::Weak<ConnectionLife>>,
) -> impl Iterator<Item = connection_silence::ConnectionAges> {
    let open = lives.filter_map(rc::Weak::upgrade);
    open.filter(|life| !std::ptr::eq(rc::Rc::as_ptr(life), one)).map(|life| life.ages())
}
