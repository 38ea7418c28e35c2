//! Voting that lets at most one request run for each idempotency key, without a leader, a log or
//! stored state.
//!
//! Every instance remembers in memory, for `retention`, from which request it received the first
//! query for a key. A request may run only with the votes of a majority of the key's voters: the [`GROUP_SIZE`]
//! instances that rank highest for the key among all that were listed at any time within the
//! retention, including those that have left. Their number does not grow with the fleet, and any
//! two majorities share a voter that remembers, whichever lists the requests were based on.
//! `docs/design/at-most-once.md` gives the reasoning, compares the alternatives and names the
//! interleaving that is not covered.

use std::{collections, time};

use crate::{ids, rendezvous, units};

/// An idempotency key, qualified by customer and service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ScopedKey(pub String);

impl ScopedKey {
    /// Qualifies `key` with the customer and the service.
    pub fn new(customer: &ids::CustomerId, service: &ids::ServiceId, key: &str) -> Self {
        Self(format!("{customer}/{service}/{key}"))
    }
}

/// Time after a request's first query to a voter within which the majority of the request may be used.
///
/// A request whose process was paused for longer gives up, because voters may have dropped its
/// votes.
pub const MAJORITY_TTL: time::Duration = time::Duration::from_secs(5);
/// Longest time by which one process's copy of the published list may be older than that of another process.
pub const MAX_LIST_LAG: time::Duration = time::Duration::from_secs(30);

/// Number of voters of a key. In a smaller fleet all instances are voters.
pub const GROUP_SIZE: usize = 7;

/// An instance's answer to a query for a key on behalf of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoteAnswer {
    /// The answering instance votes for the request.
    Granted {
        /// Number of the key's voters, by the lists that the answering instance saw within its window (the time
        /// for which it keeps records), see [`KeyVoter`].
        group: usize,
    },
    /// This instance received an earlier query for the key, from the request given here.
    Taken(ids::RequestId),
    /// The instance is not one of the key's voters, or has not been up or listed long enough.
    Abstained,
}

/// One instance's record of the first request for each key.
///
/// The voter's window is the retention, extended by [`MAX_LIST_LAG`] but at most doubled.
#[derive(Debug)]
pub struct KeyVoter {
    name: ids::InstanceId,
    started: units::MonoTime,
    retention: time::Duration,
    /// First request for each key, and when its query arrived. Invariant: an entry is kept for at least
    /// `retention` and never replaced.
    first_requests: collections::HashMap<ScopedKey, (ids::RequestId, units::MonoTime)>,
    /// Instances listed at some time within the voter's window, and when they were.
    listed: collections::HashMap<ids::InstanceId, ListedSpan>,
}

/// Time during which an instance was listed, as observed by this instance.
#[derive(Debug, Clone, Copy)]
struct ListedSpan {
    /// Start of the current uninterrupted listing; `None` while the instance is not listed.
    since: Option<units::MonoTime>,
    /// Time at which the instance was last seen listed.
    last: units::MonoTime,
}

/// Most keys that one voter records. A full voter abstains rather than drop a key.
pub const MAX_KEYS: usize = 200_000;

impl KeyVoter {
    /// Creates a voter that starts `now`, without any record of earlier requests.
    pub fn new(name: ids::InstanceId, now: units::MonoTime, retention: time::Duration) -> Self {
        Self {
            name,
            started: now,
            retention,
            first_requests: collections::HashMap::new(),
            listed: collections::HashMap::new(),
        }
    }

    /// Changes the retention. After an increase the voter abstains until the new window has passed.
    pub fn set_retention(&mut self, now: units::MonoTime, retention: time::Duration) {
        if retention > self.retention {
            self.started = now;
        }
        self.retention = retention;
    }

    /// Records which instances the published list names now, and forgets those that were last listed
    /// before the voter's window.
    pub fn update_list<'a>(
        &mut self,
        now: units::MonoTime,
        names: impl Iterator<Item = &'a ids::InstanceId>,
    ) {
        let names: collections::HashSet<_> = names.cloned().collect();
        let window = self.window();
        self.listed.retain(|_, span| now.since(span.last) < window);
        // An instance that left and returned counts as new: it may have restarted without its record.
        for (_, span) in self.listed.iter_mut().filter(|(name, _)| !names.contains(*name)) {
            span.since = None;
        }
        for name in names {
            let span = self.listed.entry(name).or_insert(ListedSpan { since: None, last: now });
            span.since.get_or_insert(now);
            span.last = now;
        }
    }

    /// Answers a query for a key on behalf of `request`.
    ///
    /// The first request for a key is recorded even if this instance then abstains, unless it already
    /// has [`MAX_KEYS`] keys.
    pub fn vote(
        &mut self,
        now: units::MonoTime,
        key: &ScopedKey,
        request: &ids::RequestId,
    ) -> VoteAnswer {
        if let Some((first, _)) = self.first_requests.get(key) {
            if first != request {
                return VoteAnswer::Taken(first.clone());
            }
        } else if self.first_requests.len() >= MAX_KEYS {
            return VoteAnswer::Abstained;
        } else {
            self.first_requests.insert(key.clone(), (request.clone(), now));
        }
        let group = self.listed.len().min(GROUP_SIZE);
        if self.has_full_history(now) && self.rank(key) < group {
            VoteAnswer::Granted { group }
        } else {
            VoteAnswer::Abstained
        }
    }

    /// Drops keys whose first query arrived before the voter's window. Keeping one for longer is harmless.
    pub fn prune(&mut self, now: units::MonoTime) {
        let window = self.window();
        self.first_requests.retain(|_, (_, queried_at)| now.since(*queried_at) < window);
    }

    /// Number of recorded keys, at most [`MAX_KEYS`].
    pub fn len(&self) -> usize {
        self.first_requests.len()
    }

    /// Whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.first_requests.is_empty()
    }

    /// Whether this instance has been running and listed for the voter's whole window. Until then it grants
    /// no votes.
    pub fn has_full_history(&self, now: units::MonoTime) -> bool {
        let listed = self.listed.get(&self.name);
        let has_list = listed.is_some_and(|span| self.is_listed_throughout(now, span));
        now.since(self.started) >= self.window() && has_list
    }

    fn is_listed_throughout(&self, now: units::MonoTime, span: &ListedSpan) -> bool {
        span.since.is_some_and(|since| now.since(since) >= self.window())
    }

    /// Number of instances listed within the window that rank before this one for a key.
    fn rank(&self, key: &ScopedKey) -> usize {
        let score = |name: &ids::InstanceId| rendezvous::stable_hash(&[&key.0, name.as_str()]);
        let own_score = score(&self.name);
        self.listed.keys().filter(|name| score(name) > own_score).count()
    }

    /// The retention, extended by [`MAX_LIST_LAG`] but at most doubled.
    fn window(&self) -> time::Duration {
        self.retention + MAX_LIST_LAG.min(self.retention)
    }
}

/// Result of the votes for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoteVerdict {
    /// The request has a majority and may run.
    Run {
        /// Time by which the request must have started.
        until: units::MonoTime,
    },
    /// A voter received an earlier query for the key, from the request given here.
    Taken(ids::RequestId),
    /// The request has no usable majority, and no earlier query of another request is known.
    InDoubt {
        /// Number of votes that the request has received.
        granted: usize,
        /// Number of votes that a majority needs.
        needed: usize,
    },
}

/// Count of the voters' answers to the queries of one request.
#[derive(Debug)]
pub struct VoteTally {
    /// When the first voter was queried.
    queried_at: units::MonoTime,
    /// Largest number of voters that any vote stated; 0 before the first vote.
    group: usize,
    granted: collections::HashSet<ids::InstanceId>,
    /// Another request whose query a voter received earlier.
    taken: Option<ids::RequestId>,
}

impl VoteTally {
    /// Creates an empty count; `queried_at` is the time at which the first voter is queried.
    pub fn new(queried_at: units::MonoTime) -> Self {
        Self { queried_at, group: 0, granted: collections::HashSet::new(), taken: None }
    }

    /// Adds the answer of one voter. Repeated votes of one instance count once.
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

    /// Number of voters to query: [`GROUP_SIZE`], or more if a voter stated more.
    pub fn group(&self) -> usize {
        self.group.max(GROUP_SIZE)
    }

    /// Returns the result of the answers so far. A majority counts only until [`MAJORITY_TTL`] after the first query.
    pub fn verdict(&self, now: units::MonoTime) -> VoteVerdict {
        if let Some(first) = &self.taken {
            return VoteVerdict::Taken(first.clone());
        }
        let needed = self.group / 2 + 1;
        let granted = self.granted.len();
        let until = self.queried_at + MAJORITY_TTL;
        if granted >= needed && now < until {
            return VoteVerdict::Run { until };
        }
        VoteVerdict::InDoubt { granted, needed }
    }
}
