//! Schedule of the times that rejected callers are told to return at, with the identities of their requests.

use std::{collections, time};

use crate::{engine_place, request_origin, units};

/// How long before its assigned time a caller's return is recognized. Callers round the delay, and some measure it from
/// the time at which they sent the request.
const EARLY_TIME: time::Duration = time::Duration::from_millis(100);
/// How long after its time an assigned time is kept.
pub(crate) const KEEP_TIME: time::Duration = time::Duration::from_secs(1);

/// How long an identity is at least known to be shared after several requests had times at once.
const SHARED_TIME: time::Duration = time::Duration::from_secs(60);

/// Bounds of a schedule.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScheduleBounds {
    /// Largest number of assigned times.
    pub(crate) entries: usize,
    /// Longest time from a rejection to the assigned time.
    pub(crate) horizon: time::Duration,
}

/// What a rejected request needs of the schedule.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReturnClaim {
    pub(crate) job: engine_place::JobId,
    pub(crate) identity: request_origin::RequestIdentity,
    /// Earliest time at which capacity is expected.
    pub(crate) earliest: units::MonoTime,
    /// Time for which the request takes up all of the capacity that is reserved for returning callers.
    pub(crate) span: time::Duration,
}

/// What the schedule knows about a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum ReturnStanding {
    /// No time was assigned to the request.
    #[default]
    Unknown,
    /// The request arrives before its assigned time.
    Early,
    /// The request arrives at its assigned time.
    Due,
}

/// Position of an assigned time: the time itself and the number of the entry, which differs between entries of the
/// same time.
type ReturnPosition = (units::MonoTime, u64);

/// Times assigned to rejected callers.
#[derive(Debug)]
pub(crate) struct ReturnSchedule {
    bounds: ScheduleBounds,
    entries: collections::BTreeMap<ReturnPosition, ReturnClaim>,
    /// Positions of the entries of each identity. Invariant: holds each key of `entries` once, and no empty set.
    positions: collections::HashMap<
        request_origin::RequestIdentity,
        collections::BTreeSet<ReturnPosition>,
    >,
    /// Identities of which several requests had times at once, with the time at which this was last seen. First
    /// attempts at others of these requests must not use up the times. At most `bounds.entries`.
    shared: collections::HashMap<request_origin::RequestIdentity, units::MonoTime>,
    /// Number of the last entry.
    last_entry: u64,
}

impl ReturnSchedule {
    /// Creates an empty schedule.
    pub(crate) fn new(bounds: ScheduleBounds) -> Self {
        Self {
            bounds,
            entries: collections::BTreeMap::new(),
            positions: collections::HashMap::new(),
            shared: collections::HashMap::new(),
            last_entry: 0,
        }
    }

    /// Number of assigned times.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Drops the times that passed more than [`KEEP_TIME`] ago.
    pub(crate) fn expire(&mut self, now: units::MonoTime) {
        while let Some((position, _)) = self.entries.first_key_value()
            && now.since(position.0) > KEEP_TIME
        {
            let position = *position;
            self.remove(position);
        }
    }

    /// Assigns the first time with unreserved capacity; `None` if that would be after the horizon or if the schedule
    /// is full. A repeated claim of the same job gets the same time.
    pub(crate) fn assign(
        &mut self,
        now: units::MonoTime,
        claim: ReturnClaim,
    ) -> Option<units::MonoTime> {
        self.expire(now);
        if let Some(position) = self.position_of(&claim) {
            return Some(position.0);
        }
        if self.entries.len() >= self.bounds.entries {
            return None;
        }
        let at = self.gap(&claim);
        if at.since(now) > self.bounds.horizon {
            return None;
        }
        if self.positions.contains_key(&claim.identity) {
            self.note_shared(now, claim.identity);
        }
        self.last_entry += 1;
        let position = (at, self.last_entry);
        self.entries.insert(position, claim);
        self.positions.entry(claim.identity).or_default().insert(position);
        Some(at)
    }

    /// Looks up a request that arrives, and removes its entry if the request is due.
    ///
    /// `is_retry` tells that the request is known to be a retry. Only such a request is recognized if several requests
    /// share its identity.
    pub(crate) fn recognize(
        &mut self,
        now: units::MonoTime,
        job: engine_place::JobId,
        identity: request_origin::RequestIdentity,
        is_retry: bool,
    ) -> ReturnStanding {
        self.expire(now);
        let Some(positions) = self.positions.get(&identity) else {
            return ReturnStanding::Unknown;
        };
        // A repeated message about a rejected attempt is no return.
        let mut others = positions.iter().filter(|at| self.entries[*at].job != job);
        if !is_retry && self.shared.contains_key(&identity) {
            return ReturnStanding::Unknown;
        }
        match others.next().copied() {
            Some(position) if position.0 <= now + EARLY_TIME => {
                self.remove(position);
                ReturnStanding::Due
            }
            Some(_) if is_retry => ReturnStanding::Early,
            _ => ReturnStanding::Unknown,
        }
    }

    /// The next time assigned to an identity, after `now`.
    pub(crate) fn next_of(
        &self,
        now: units::MonoTime,
        identity: request_origin::RequestIdentity,
    ) -> Option<units::MonoTime> {
        let positions = self.positions.get(&identity)?;
        positions.iter().map(|(at, _)| *at).find(|at| *at > now)
    }

    /// Number of callers whose assigned time is from `from` to `until`.
    pub(crate) fn count_due(&self, from: units::MonoTime, until: units::MonoTime) -> usize {
        self.entries.range((from, 0)..=(until, u64::MAX)).count()
    }

    /// First time from `claim.earliest` on that is free for `claim.span`.
    fn gap(&self, claim: &ReturnClaim) -> units::MonoTime {
        let mut at = claim.earliest;
        for (position, entry) in &self.entries {
            if at + claim.span <= position.0 {
                break;
            }
            at = at.max(position.0 + entry.span);
        }
        at
    }

    fn note_shared(&mut self, now: units::MonoTime, identity: request_origin::RequestIdentity) {
        if self.shared.len() >= self.bounds.entries {
            self.shared.retain(|_, seen| now.since(*seen) < SHARED_TIME);
        }
        if self.shared.len() < self.bounds.entries || self.shared.contains_key(&identity) {
            self.shared.insert(identity, now);
        }
    }

    fn position_of(&self, claim: &ReturnClaim) -> Option<ReturnPosition> {
        let positions = self.positions.get(&claim.identity)?;
        positions.iter().copied().find(|position| self.entries[position].job == claim.job)
    }

    fn remove(&mut self, position: ReturnPosition) {
        let Some(entry) = self.entries.remove(&position) else {
            return;
        };
        if let Some(positions) = self.positions.get_mut(&entry.identity) {
            positions.remove(&position);
            if positions.is_empty() {
                self.positions.remove(&entry.identity);
            }
        }
    }
}
