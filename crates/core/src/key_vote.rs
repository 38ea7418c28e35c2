//! At most one run for each idempotency key, without a leader, a log or stored state.
//!
//! Every instance remembers in memory, for `retention`, which request first asked it for a key. A
//! request may run only with the votes of a majority of the key's voters: the [`GROUP_SIZE`]
//! instances that rank highest for the key among all that were listed at any time within the
//! retention, those that have left included. So their number does not grow with the fleet, and any
//! two majorities share a voter that remembers, whatever lists they were taken by.
//! `docs/design/at-most-once.md` gives the argument, weighs the other ways and names the
//! interleaving that is not covered.

use std::{collections, time};

use crate::{ids, rendezvous, units};

/// An idempotency key, made one customer's own.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ScopedKey(pub String);

impl ScopedKey {
    /// The key of a customer for a service.
    pub fn new(customer: &ids::CustomerId, service: &ids::ServiceId, key: &str) -> Self {
        Self(format!("{customer}/{service}/{key}"))
    }
}

/// How long after the first ask a majority may be used.
///
/// A request that was paused longer gives up, because the votes may have been forgotten.
pub const MAJORITY_TTL: time::Duration = time::Duration::from_secs(5);
/// How far two processes' copies of the published list may lie apart.
pub const MAX_LIST_LAG: time::Duration = time::Duration::from_secs(30);

/// Voters of a key, in a fleet that has as many instances.
pub const GROUP_SIZE: usize = 7;

/// An instance's answer to an ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoteAnswer {
    /// The key is the asker's here.
    Granted {
        /// Number of the key's voters, as this one saw the list within the retention.
        group: usize,
    },
    /// Another request asked first.
    Taken(ids::RequestId),
    /// The instance is not one of the key's voters, or has not been up or listed long enough.
    Abstained,
}

/// One instance's memory of who asked first.
#[derive(Debug)]
pub struct KeyVoter {
    name: ids::InstanceId,
    started: units::MonoTime,
    retention: time::Duration,
    /// Invariant: an entry stays at least `retention` after it was made, and is never replaced.
    firsts: collections::HashMap<ScopedKey, (ids::RequestId, units::MonoTime)>,
    listed: collections::HashMap<ids::InstanceId, ListedSpan>,
}

/// When an instance was seen listed.
#[derive(Debug, Clone, Copy)]
struct ListedSpan {
    /// Since when without a gap; `None` while it is not listed.
    since: Option<units::MonoTime>,
    last: units::MonoTime,
}

/// Most keys one voter remembers; beyond it, it abstains rather than forget.
pub const MAX_KEYS: usize = 200_000;

impl KeyVoter {
    /// A voter that has just started and so knows nothing of the past.
    pub fn new(name: ids::InstanceId, now: units::MonoTime, retention: time::Duration) -> Self {
        Self {
            name,
            started: now,
            retention,
            firsts: collections::HashMap::new(),
            listed: collections::HashMap::new(),
        }
    }

    /// Takes a new retention over. A longer one makes the voter abstain until it has passed.
    pub fn set_retention(&mut self, now: units::MonoTime, retention: time::Duration) {
        if retention > self.retention {
            self.started = now;
        }
        self.retention = retention;
    }

    /// Takes in the published list.
    pub fn update_list<'a>(
        &mut self,
        now: units::MonoTime,
        names: impl Iterator<Item = &'a ids::InstanceId>,
    ) {
        let names: collections::HashSet<_> = names.cloned().collect();
        let window = self.window();
        self.listed.retain(|_, span| now.since(span.last) < window);
        // One that left and came back is a newcomer: its memory may be gone.
        for (_, span) in self.listed.iter_mut().filter(|(name, _)| !names.contains(*name)) {
            span.since = None;
        }
        for name in names {
            let span = self.listed.entry(name).or_insert(ListedSpan { since: None, last: now });
            span.since.get_or_insert(now);
            span.last = now;
        }
    }

    /// Answers an ask for a key.
    pub fn ask(
        &mut self,
        now: units::MonoTime,
        key: &ScopedKey,
        asker: &ids::RequestId,
    ) -> VoteAnswer {
        if let Some((first, _)) = self.firsts.get(key) {
            if first != asker {
                return VoteAnswer::Taken(first.clone());
            }
        } else if self.firsts.len() >= MAX_KEYS {
            return VoteAnswer::Abstained;
        } else {
            self.firsts.insert(key.clone(), (asker.clone(), now));
        }
        let group = self.listed.len().min(GROUP_SIZE);
        if self.has_full_history(now) && self.rank(key) < group {
            VoteAnswer::Granted { group }
        } else {
            VoteAnswer::Abstained
        }
    }

    /// Forgets keys whose retention has passed. One kept longer does no harm.
    pub fn prune(&mut self, now: units::MonoTime) {
        let window = self.window();
        self.firsts.retain(|_, (_, made)| now.since(*made) < window);
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.firsts.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.firsts.is_empty()
    }

    /// Whether this voter grants at all yet.
    pub fn has_full_history(&self, now: units::MonoTime) -> bool {
        let listed = self.listed.get(&self.name);
        let listed_long = listed.is_some_and(|span| self.listed_whole_window(now, span));
        now.since(self.started) >= self.window() && listed_long
    }

    fn listed_whole_window(&self, now: units::MonoTime, span: &ListedSpan) -> bool {
        span.since.is_some_and(|since| now.since(since) >= self.window())
    }

    /// How many of the instances listed lately rank before this one for a key.
    fn rank(&self, key: &ScopedKey) -> usize {
        let score = |name: &ids::InstanceId| rendezvous::stable_hash(&[&key.0, name.as_str()]);
        let mine = score(&self.name);
        self.listed.keys().filter(|name| score(name) > mine).count()
    }

    fn window(&self) -> time::Duration {
        self.retention + MAX_LIST_LAG.min(self.retention)
    }
}

/// What an asker may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoteVerdict {
    /// The request may run, if it does so before `until`.
    Run {
        /// End of the time in which the majority may be used.
        until: units::MonoTime,
    },
    /// Another request has the key.
    Taken(ids::RequestId),
    /// Not enough instances answered for either.
    InDoubt {
        /// Votes received.
        granted: usize,
        /// Votes needed.
        needed: usize,
    },
}

/// An asker's count of the answers.
#[derive(Debug)]
pub struct VoteTally {
    asked: units::MonoTime,
    /// Largest number of voters that any of them stated.
    group: usize,
    granted: collections::HashSet<ids::InstanceId>,
    taken: Option<ids::RequestId>,
}

impl VoteTally {
    /// A count that starts when the first instance is asked.
    pub fn new(asked: units::MonoTime) -> Self {
        Self { asked, group: 0, granted: collections::HashSet::new(), taken: None }
    }

    /// Takes in an answer; one from the same instance counts once.
    pub fn add(&mut self, voter: &ids::InstanceId, answer: VoteAnswer) {
        match answer {
            VoteAnswer::Granted { group } => {
                self.group = self.group.max(group);
                self.granted.insert(voter.clone());
            }
            VoteAnswer::Abstained => {}
            VoteAnswer::Taken(first) => self.taken = Some(first),
        }
    }

    /// Voters to ask in all, as far as known.
    pub fn group(&self) -> usize {
        self.group.max(GROUP_SIZE)
    }

    /// The verdict on the answers so far.
    pub fn verdict(&self, now: units::MonoTime) -> VoteVerdict {
        if let Some(first) = &self.taken {
            return VoteVerdict::Taken(first.clone());
        }
        let needed = self.group / 2 + 1;
        let granted = self.granted.len();
        let until = self.asked + MAJORITY_TTL;
        if granted >= needed && now < until {
            return VoteVerdict::Run { until };
        }
        VoteVerdict::InDoubt { granted, needed }
    }
}
