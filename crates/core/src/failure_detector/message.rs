//! Messages that members send each other to detect failures, and actions that the detector returns.
//!
//! A start of a member is one run of its process, identified by a boot number.

use std::{net, time};

use serde::{Deserialize, Serialize};

use crate::units;

/// A suspicion of one start of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Boot number of the start.
    pub boot: u64,
    /// Age of the first unanswered probe at the time of the report, in milliseconds. Signs of life from before that
    /// probe do not contradict the suspicion.
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

/// A message by which a member probes another one, directly or through a relay.
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

/// An action that the caller of the detector carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DetectorAction {
    /// Send a message to the member at this address.
    Send(net::SocketAddrV4, ProbeMessage),
    /// Mark a member as suspected in this process's view, and broadcast the suspicion to all members.
    Suspect(SuspectReport),
    /// Clear the suspicion of the start with this boot number, and broadcast that to all members.
    Restore(u64),
}
