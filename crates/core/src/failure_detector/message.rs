//! Messages and actions of the failure detector.

use std::{net, time};

use serde::{Deserialize, Serialize};

use crate::units;

/// A suspicion of one start of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Boot number of the start.
    pub boot: u64,
    /// Age of the first unanswered probe, milliseconds. Signs of life from before it do not contradict the suspicion.
    pub silent_ms: u32,
}

impl SuspectReport {
    /// Creates the report on a start whose first unanswered probe was sent at `since`.
    pub(super) fn new(now: units::MonoTime, boot: u64, since: units::MonoTime) -> Self {
        let silent_ms = u32::try_from(now.since(since).as_millis()).unwrap_or(u32::MAX);
        Self { boot, silent_ms }
    }

    /// When the first unanswered probe was sent.
    pub(super) fn since(&self, now: units::MonoTime) -> units::MonoTime {
        now.earlier_by(time::Duration::from_millis(u64::from(self.silent_ms)))
    }
}

/// A message between members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeMessage {
    /// Requests an [`Ack`](Self::Ack) with this number.
    Ping(u64),
    /// Answers the ping of this number.
    Ack(u64),
    /// Requests a ping of this address, and an [`AckFor`](Self::AckFor) once it is answered.
    PingFor(net::SocketAddrV4),
    /// This address has answered a ping.
    AckFor(net::SocketAddrV4),
}

/// An action of the failure detector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DetectorAction {
    /// Send a message.
    Send(net::SocketAddrV4, ProbeMessage),
    /// Broadcast a suspicion.
    Suspect(SuspectReport),
    /// Broadcast that the suspicion of a start has ended.
    Restore(u64),
}
