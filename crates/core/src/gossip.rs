//! Targets of gossip rounds.
//!
//! A member that learns of a change broadcasts it, and each member repeats its state to a few random ones each second.
//! A member that may have missed something requests the state of a few. The broadcast reaches nearly all; the rounds
//! make up for lost datagrams, restarts, pauses and network partitions.

use std::time;

use rand::seq::IteratorRandom as _;

/// Interval between two periodic rounds of a member.
pub const REPEAT_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of members that are asked for their state by a member that may have missed a change.
const REQUESTED_MEMBERS: usize = 3;
/// Number of members to which a periodic round repeats the state. With fewer members, the last member of a large fleet
/// learns that an upstream is leaving only after the upstream has exited.
const REPEATED_MEMBERS: usize = 3;

/// What triggers a gossip round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipCause {
    /// This process has detected a change itself, and broadcasts it to all members.
    Found,
    /// The periodic round, in which this process repeats its state to a few members.
    Repeat,
    /// A pause of this process has ended, and it requests the state of a few members.
    Resumed,
}

/// Chooses the targets of a gossip round among the live members.
pub fn targets<T>(
    cause: GossipCause,
    alive: impl Iterator<Item = T>,
    random: &mut impl rand::Rng,
) -> Vec<T> {
    match cause {
        GossipCause::Found => alive.collect(),
        GossipCause::Repeat => alive.sample(random, REPEATED_MEMBERS),
        GossipCause::Resumed => alive.sample(random, REQUESTED_MEMBERS),
    }
}

/// Whether to request the state of a member that has just joined, after `requested` such requests within the current
/// second. After a start of this process or a network partition, all members join its view at once.
pub fn may_request_state(requested: usize) -> bool {
    requested < REQUESTED_MEMBERS
}
