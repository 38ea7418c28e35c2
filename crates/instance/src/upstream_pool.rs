//! Connections to upstreams: one request a time on each, few resting ones kept.

use std::{cell, collections, io, net, time};

use futures::FutureExt as _;
use slipturn_net::h1;
use snafu::Snafu;

/// Time for a connection to come about; within a region it takes a few milliseconds.
const CONNECT_TIME: time::Duration = time::Duration::from_millis(400);
/// Resting connections kept for each upstream.
const MAX_RESTING: usize = 4;
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

/// A connection to an upstream.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// What the upstream sends.
    pub reader: h1::MessageReader,
    /// What is sent to it.
    pub writer: h1::MessageWriter,
    /// Whether it has carried a request before.
    pub used: bool,
}

#[derive(Debug)]
struct RestingConnection {
    connection: UpstreamConnection,
    until: time::Instant,
}

/// Resting connections by address.
#[derive(Debug, Default)]
pub struct UpstreamPool {
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
        Ok(UpstreamConnection { reader, writer, used: false })
    }

    /// Keeps a connection whose last answer has been read to its end.
    pub fn put(
        &self,
        address: net::SocketAddrV4,
        mut connection: UpstreamConnection,
        keep: Option<time::Duration>,
    ) {
        if connection.reader.has_surplus() {
            return;
        }
        connection.reader.rest();
        connection.used = true;
        let rest = keep.map_or(REST_TIME, |keep| keep.saturating_sub(REST_MARGIN).min(REST_TIME));
        if rest.is_zero() {
            return;
        }
        let mut resting = self.resting.borrow_mut();
        let kept = resting.entry(address).or_default();
        if kept.len() < MAX_RESTING {
            kept.push(RestingConnection { connection, until: time::Instant::now() + rest });
        }
    }

    /// Closes connections that have rested long enough.
    pub fn prune(&self) {
        let now = time::Instant::now();
        self.resting.borrow_mut().retain(|_, kept| {
            kept.retain(|resting| resting.until > now);
            !kept.is_empty()
        });
    }

    fn take_resting(&self, address: net::SocketAddrV4) -> Option<UpstreamConnection> {
        let now = time::Instant::now();
        loop {
            let mut resting = self.resting.borrow_mut().get_mut(&address)?.pop()?;
            // Anything to read means that the upstream has closed, or speaks out of turn.
            let silent = resting.connection.reader.fill().now_or_never().is_none();
            if resting.until > now && silent {
                return Some(resting.connection);
            }
        }
    }
}
