//! The coordinator's side of shared quotas: requests to each upstream with a limit, and retries to each service.
//!
//! One member coordinates each quota, as no member sees the total. It grants a permit for each send, and a few ahead at
//! high rates. A granted permit counts as used. A new coordinator starts with an empty bucket, as its predecessor may
//! have granted everything just before.

use std::{collections, time};

use crate::{quota_permit, send_pace, units};

/// Time for which permits are granted ahead, at rates so high that members send several within it.
const AHEAD_TIME: time::Duration = time::Duration::from_millis(100);
/// Members that requested permits within this time share what is granted ahead.
const ASKER_TIME: time::Duration = time::Duration::from_secs(1);
/// Longest backoff of a member that was refused. It bounds the capacity reserved for members that have nothing left to
/// send, and the time that an increased rate stays unused.
const MAX_BACK: time::Duration = time::Duration::from_secs(2);
/// Members invited to request again for each permit: not each of them still has a request by then, and an unrequested
/// permit is lost.
const TURNS_EACH: u32 = 4;
/// Window over which granted permits are reported to operators.
const GRANT_REPORT_WINDOW: time::Duration = time::Duration::from_secs(4);

/// A member that requested permits.
#[derive(Debug, Clone, Copy, Default)]
struct PermitRequester {
    asked: units::MonoTime,
    /// When it is invited to request again after a refusal.
    turn: units::MonoTime,
}

/// State of one quota.
#[derive(Debug)]
struct LedgerRow {
    pace: send_pace::SendPace,
    /// Latest invitation, and the number of members invited for that time.
    tail: units::MonoTime,
    turns: u32,
    /// Members with recent requests.
    askers: collections::BTreeMap<u64, PermitRequester>,
    /// Recent grants, oldest first.
    given: collections::VecDeque<(units::MonoTime, u64, u32)>,
}

/// The quotas that this process coordinates.
#[derive(Debug)]
pub struct QuotaLedger<K> {
    rows: collections::BTreeMap<K, LedgerRow>,
}

impl<K> Default for QuotaLedger<K> {
    fn default() -> Self {
        Self { rows: collections::BTreeMap::new() }
    }
}

impl<K: Ord + Clone> QuotaLedger<K> {
    /// Sets the quotas that this process coordinates, and its share of each.
    pub fn set_coordinated(
        &mut self,
        now: units::MonoTime,
        kept: &collections::BTreeMap<K, send_pace::PaceBound>,
    ) {
        self.rows.retain(|subject, _| kept.contains_key(subject));
        for (subject, bound) in kept {
            let row = self.rows.entry(subject.clone()).or_insert_with(|| LedgerRow {
                pace: send_pace::SendPace::begun(now, *bound),
                tail: now,
                turns: 0,
                askers: collections::BTreeMap::new(),
                given: collections::VecDeque::new(),
            });
            if row.pace.bound() != *bound {
                row.pace.change(now, *bound);
            }
        }
    }

    /// Empties all buckets: this process was paused, and others may have coordinated the quotas meanwhile.
    pub fn begin_anew(&mut self, now: units::MonoTime) {
        for row in self.rows.values_mut() {
            row.pace = send_pace::SendPace::begun(now, row.pace.bound());
        }
    }

    /// Responds to a request; `None` when this process does not coordinate the quota.
    pub fn ask(
        &mut self,
        now: units::MonoTime,
        subject: &K,
        asker: u64,
        ask: &quota_permit::PermitRequest,
    ) -> Option<quota_permit::PermitResponse> {
        self.request_reserving(now, subject, asker, ask, 0.0)
    }

    /// Like [`Self::ask`], leaving `part` of the burst allowance to other requests.
    pub fn request_reserving(
        &mut self,
        now: units::MonoTime,
        subject: &K,
        asker: u64,
        ask: &quota_permit::PermitRequest,
        part: f64,
    ) -> Option<quota_permit::PermitResponse> {
        let row = self.rows.get_mut(subject)?;
        row.note_asker(now, asker);
        let wait = row.pace.wait_reserving(now, part);
        if wait > time::Duration::from_millis(u64::from(ask.patience_ms)) {
            let back_ms = millis(row.refuse(now, asker, wait));
            return Some(quota_permit::PermitResponse::Refused { back_ms });
        }
        if wait.is_zero() {
            // No invitations are pending.
            (row.tail, row.turns) = (now, 0);
        }
        let count = row.count(ask.wanted);
        row.pace.take(now, count);
        row.given.push_back((now, asker, count));
        Some(quota_permit::PermitResponse::Granted { count, wait_ms: millis(wait) })
    }

    /// Time until the next permit is due; `None` when this process does not coordinate the quota.
    pub fn wait(&self, now: units::MonoTime, subject: &K) -> Option<time::Duration> {
        self.rows.get(subject).map(|row| row.pace.wait(now))
    }

    /// This process's share of a quota that it coordinates.
    pub fn bound(&self, subject: &K) -> Option<send_pace::PaceBound> {
        self.rows.get(subject).map(|row| row.pace.bound())
    }

    /// Grants one permit regardless of the wait; returns whether this process coordinates the quota.
    pub fn take(&mut self, now: units::MonoTime, subject: &K, asker: u64) -> bool {
        let Some(row) = self.rows.get_mut(subject) else {
            return false;
        };
        row.note_asker(now, asker);
        row.pace.take(now, 1);
        row.given.push_back((now, asker, 1));
        true
    }

    /// Recent grants by member; `None` when this process does not coordinate the quota.
    pub fn given(
        &self,
        now: units::MonoTime,
        subject: &K,
    ) -> Option<collections::BTreeMap<u64, u32>> {
        let row = self.rows.get(subject)?;
        let lately = row.given.iter().filter(|(at, ..)| now.since(*at) < GRANT_REPORT_WINDOW);
        Some(lately.fold(collections::BTreeMap::new(), |mut sums, (_, asker, count)| {
            *sums.entry(*asker).or_default() += count;
            sums
        }))
    }
}

impl LedgerRow {
    fn note_asker(&mut self, now: units::MonoTime, asker: u64) {
        self.askers.entry(asker).or_default().asked = now;
        self.askers.retain(|_, asker| now.since(asker.asked) < ASKER_TIME);
        while self.given.front().is_some_and(|(at, ..)| now.since(*at) >= GRANT_REPORT_WINDOW) {
            self.given.pop_front();
        }
    }

    /// Permits granted at once to a member that wants `wanted`.
    fn count(&self, wanted: u32) -> u32 {
        let rate = self.pace.bound().rate;
        let ahead = rate.per_second() * AHEAD_TIME.as_secs_f64() / self.askers.len() as f64;
        (ahead as u32).clamp(1, wanted.max(1))
    }

    /// Time after which a refused member is invited to request again.
    fn refuse(&mut self, now: units::MonoTime, asker: u64, wait: time::Duration) -> time::Duration {
        let asker = self.askers.entry(asker).or_default();
        // Concurrent requests of one member share one invitation.
        if asker.turn < now + wait {
            if self.tail < now + wait {
                (self.tail, self.turns) = (now + wait, 0);
            } else if self.turns == TURNS_EACH {
                (self.tail, self.turns) = (self.tail + self.pace.bound().interval(), 0);
            }
            self.turns += 1;
            asker.turn = self.tail.min(now + MAX_BACK);
        }
        asker.turn.since(now)
    }
}

fn millis(span: time::Duration) -> u32 {
    // Rounds up: a request that is early by a moment is refused again.
    u32::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
