//! Bound on the connections of callers, so that descriptors are left for the connections that their requests need.

use std::collections;

use crate::{machine_limits, units};

/// Part of the descriptors for connections of callers. The rest is for connections to upstreams and members, of which a
/// request in progress uses one.
const CALLER_FRACTION: f64 = 0.5;
/// Connections beyond the bound while others are being closed in their favor.
const MAX_CLOSING: usize = 32;

/// Identifies a connection of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What happens to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAnswer {
    /// It is served.
    Accepted(ConnectionId),
    /// It is served, and the idle connection `closed` is closed in its favor.
    Replaces {
        /// The new connection.
        id: ConnectionId,
        /// The connection that has been idle for longest.
        closed: ConnectionId,
    },
    /// It is closed unread, as all others have requests in progress.
    Rejected,
}

/// The open connections of callers.
#[derive(Debug)]
pub struct ConnectionBound {
    limit: usize,
    /// When each connection became idle; those that serve a request are `None`.
    open: collections::BTreeMap<ConnectionId, Option<units::MonoTime>>,
    /// The idle connections, the one that has been idle for longest first.
    idle: collections::BTreeSet<(units::MonoTime, ConnectionId)>,
    last_id: u64,
}

impl ConnectionBound {
    /// Creates the bound for a process with this limit on open files.
    pub fn new(descriptors: u32) -> Self {
        let available = descriptors.saturating_sub(machine_limits::RESERVED_DESCRIPTORS);
        Self {
            limit: (f64::from(available) * CALLER_FRACTION) as usize,
            open: collections::BTreeMap::new(),
            idle: collections::BTreeSet::new(),
            last_id: 0,
        }
    }

    /// Adds a new connection, which counts as one with a request until [`set_idle`](Self::set_idle).
    pub fn open(&mut self) -> ConnectionAnswer {
        let is_full = self.open.len() >= self.limit;
        let oldest = self.idle.first().copied().filter(|_| is_full);
        if is_full && (oldest.is_none() || self.open.len() >= self.limit + MAX_CLOSING) {
            return ConnectionAnswer::Rejected;
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.open.insert(id, None);
        let Some((_, closed)) = oldest else {
            return ConnectionAnswer::Accepted(id);
        };
        // It stays open until its task has closed it, but is not chosen again.
        self.set_busy(closed);
        ConnectionAnswer::Replaces { id, closed }
    }

    /// Notes that a connection waits for its next request.
    pub fn set_idle(&mut self, now: units::MonoTime, id: ConnectionId) {
        self.set_busy(id);
        if let Some(since) = self.open.get_mut(&id) {
            *since = Some(now);
            self.idle.insert((now, id));
        }
    }

    /// Notes that a connection has received bytes of a request.
    pub fn set_busy(&mut self, id: ConnectionId) {
        if let Some(since) = self.open.get_mut(&id).and_then(Option::take) {
            self.idle.remove(&(since, id));
        }
    }

    /// Removes a connection that has been closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.set_busy(id);
        self.open.remove(&id);
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.len()
    }

    /// Most connections that are served.
    pub fn limit(&self) -> usize {
        self.limit
    }
}
