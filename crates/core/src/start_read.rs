//! When a process that has just started and has reached no member reads the documents from the store itself.
//!
//! All processes contact the seeds first and get the documents from them. If the seeds start later than the others, for
//! example after a loss of power, the others would wait for them although the store answers.

use std::{ops, time};

use rand::RngExt as _;

/// Ages from which a process reads the store with [`StartReadRule::EarlySpread`]. Seeds that started at the same time
/// have answered by the first of them. With 1,000 processes and two calls each the store gets 4,000 calls a second, of
/// 2,000 to 6,000 that it can answer; a process cannot know how many others have started.
const EARLY_READ_MS: ops::Range<u64> = 60..560;
/// Ages from which a process reads the store with [`StartReadRule::LateSpread`]: the first is the age at which a process
/// that has reached no member assumes that it is alone.
const LATE_READ_MS: ops::Range<u64> = 350..850;
/// Interval between heartbeats to the seeds until a member has answered. With the usual interval a process would notice
/// seeds that start shortly after it only 200 ms later.
const CONTACT_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Process age up to which [`CONTACT_INTERVAL`] holds. With 1,000 processes the seeds receive 25,000 datagrams a second
/// each until then.
const CONTACT_TIME: time::Duration = time::Duration::from_millis(600);

/// Rule for a process that is no seed and has reached no member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReadRule {
    /// The process reads the store at the age at which it assumes that it is alone, as all others do.
    Lone,
    /// As [`Self::Lone`], but the process contacts the seeds more often.
    Contact,
    /// As [`Self::Contact`], but the process reads the store at a random age, soon after its start.
    EarlySpread,
    /// As [`Self::Contact`], but the process reads the store at a random age, from the one of [`Self::Lone`] on.
    LateSpread,
}

impl StartReadRule {
    /// Draws the process age from which the process reads the store if it has reached no member; `None` leaves that to
    /// the rule for processes that are alone.
    pub fn read_age(self, random: &mut impl rand::Rng) -> Option<time::Duration> {
        let ages = match self {
            Self::Lone | Self::Contact => return None,
            Self::EarlySpread => EARLY_READ_MS,
            Self::LateSpread => LATE_READ_MS,
        };
        Some(time::Duration::from_millis(random.random_range(ages)))
    }

    /// Returns the interval until the next heartbeat to the seeds at a process of this age that has reached no member;
    /// `None` for the usual interval.
    pub fn contact_interval(self, age: time::Duration) -> Option<time::Duration> {
        (self != Self::Lone && age < CONTACT_TIME).then_some(CONTACT_INTERVAL)
    }
}
