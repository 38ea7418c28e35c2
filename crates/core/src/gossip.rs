//! To whom a member tells news that must reach all: lost datagrams, starts, pauses and cuts between members
//! included.
//!
//! Whoever finds something out tells all at once, and each repeats what it knows to some others a second; who
//! may have missed something asks some. The first telling reaches nearly all at once, and repeats those whose
//! datagram was lost.

use std::time;

use rand::seq::IteratorRandom as _;

/// Time between two repeats of what is known.
pub const REPEAT_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Members that are asked by one that may have missed something.
const ASKED: usize = 3;
/// Members to which each repeats what it knows: with fewer the last of a large fleet hears of an upstream that leaves
/// only when that has ended.
const REPEATED: usize = 3;

/// Why a member tells or asks others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpreadCause {
    /// It has found something out itself.
    Found,
    /// It repeats what it knows.
    Repeat,
    /// It has just woken: it asks.
    Woke,
}

/// Those of the members believed alive that are told, or asked.
pub fn targets<T>(
    cause: SpreadCause,
    alive: impl Iterator<Item = T>,
    random: &mut impl rand::Rng,
) -> Vec<T> {
    match cause {
        SpreadCause::Found => alive.collect(),
        SpreadCause::Repeat => alive.sample(random, REPEATED),
        SpreadCause::Woke => alive.sample(random, ASKED),
    }
}

/// Members met within one second, of which so many were asked: all are met at once behind a start and behind a
/// cut; whether the next one is asked.
pub fn asks_met(asked: usize) -> bool {
    asked < ASKED
}
