//! The coordinator's side of quotas that all members share: requests to each upstream with a limit, and retries to each
//! service.
//!
//! No member sees the sends of all others, so one member coordinates each quota. It grants a permit for each send, and
//! a few ahead at high rates. A granted permit counts as used. A new coordinator starts with an empty bucket, as its
//! predecessor may have granted everything just before.

use std::{collections, time};

use crate::{quota_permit, send_pace, units};

/// Time for which permits are granted ahead, if the rate is so high that each requester can use more than one permit in
/// this time.
const PREFETCH_TIME: time::Duration = time::Duration::from_millis(100);
/// Time for which a member counts as a requester after its latest request; requesters share what is granted ahead.
const REQUESTER_TTL: time::Duration = time::Duration::from_secs(1);
/// Longest backoff of a member that was refused. It bounds the capacity that is reserved for members which have nothing
/// left to send when they are invited, and the time for which an increased rate stays unused.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Number of refused members that are invited to request again for each permit. Some of them have no request left by
/// then, and a permit that no member requests is lost.
const INVITATIONS_PER_PERMIT: u32 = 4;
/// Window over which granted permits are reported to operators.
const GRANT_REPORT_WINDOW: time::Duration = time::Duration::from_secs(4);

/// A member's latest request for permits of a quota, and its invitation to request again.
#[derive(Debug, Clone, Copy, Default)]
struct PermitRequester {
    /// Time of the member's latest request.
    requested: units::MonoTime,
    /// Time at which the member should request again after a refusal.
    invited: units::MonoTime,
}

/// Token bucket of one quota, and the members that request permits of it.
#[derive(Debug)]
struct LedgerRow {
    pace: send_pace::SendPace,
    /// Latest time for which a refused member was invited to request again.
    last_invited: units::MonoTime,
    /// Number of members invited for the time in `last_invited`.
    invitations: u32,
    /// Members with recent requests, by boot id.
    requesters: collections::BTreeMap<u64, PermitRequester>,
    /// Recent grants, oldest first: time, member and number of permits.
    grants: collections::VecDeque<(units::MonoTime, u64, u32)>,
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
        coordinated: &collections::BTreeMap<K, send_pace::PaceBound>,
    ) {
        self.rows.retain(|subject, _| coordinated.contains_key(subject));
        for (subject, bound) in coordinated {
            let row = self.rows.entry(subject.clone()).or_insert_with(|| LedgerRow {
                pace: send_pace::SendPace::initial(now, *bound),
                last_invited: now,
                invitations: 0,
                requesters: collections::BTreeMap::new(),
                grants: collections::VecDeque::new(),
            });
            if row.pace.bound() != *bound {
                row.pace.change(now, *bound);
            }
        }
    }

    /// Empties all buckets after a pause of this process, during which others may have coordinated the quotas.
    pub fn reset_buckets(&mut self, now: units::MonoTime) {
        for row in self.rows.values_mut() {
            row.pace = send_pace::SendPace::initial(now, row.pace.bound());
        }
    }

    /// Responds to a request of the member `requester`; `None` when this process does not coordinate the quota.
    pub fn request(
        &mut self,
        now: units::MonoTime,
        subject: &K,
        requester: u64,
        request: &quota_permit::PermitRequest,
    ) -> Option<quota_permit::PermitResponse> {
        self.request_reserving(now, subject, requester, request, 0.0)
    }

    /// Like [`Self::request`], leaving `part` of the burst allowance to other requests.
    pub fn request_reserving(
        &mut self,
        now: units::MonoTime,
        subject: &K,
        requester: u64,
        request: &quota_permit::PermitRequest,
        part: f64,
    ) -> Option<quota_permit::PermitResponse> {
        let row = self.rows.get_mut(subject)?;
        row.note_requester(now, requester);
        let wait = row.pace.wait_reserving(now, part);
        if wait > time::Duration::from_millis(u64::from(request.patience_ms)) {
            let back_ms = ceil_millis(row.refuse(now, requester, wait));
            return Some(quota_permit::PermitResponse::Refused { back_ms });
        }
        if wait.is_zero() {
            // A permit is available now, so later invitations need not wait behind earlier ones.
            (row.last_invited, row.invitations) = (now, 0);
        }
        let count = row.grant_size(request.wanted);
        row.pace.take(now, count);
        row.grants.push_back((now, requester, count));
        Some(quota_permit::PermitResponse::Granted { count, wait_ms: ceil_millis(wait) })
    }

    /// Time until the next permit of a quota is due; `None` when this process does not coordinate the quota.
    pub fn wait(&self, now: units::MonoTime, subject: &K) -> Option<time::Duration> {
        self.rows.get(subject).map(|row| row.pace.wait(now))
    }

    /// This process's share of a quota; `None` when it does not coordinate the quota.
    pub fn bound(&self, subject: &K) -> Option<send_pace::PaceBound> {
        self.rows.get(subject).map(|row| row.pace.bound())
    }

    /// Grants one permit regardless of the wait; returns whether this process coordinates the quota.
    pub fn take(&mut self, now: units::MonoTime, subject: &K, requester: u64) -> bool {
        let Some(row) = self.rows.get_mut(subject) else {
            return false;
        };
        row.note_requester(now, requester);
        row.pace.take(now, 1);
        row.grants.push_back((now, requester, 1));
        true
    }

    /// Number of permits granted recently, by boot id of the member; `None` when this process does not coordinate the
    /// quota.
    pub fn recent_grants(
        &self,
        now: units::MonoTime,
        subject: &K,
    ) -> Option<collections::BTreeMap<u64, u32>> {
        let row = self.rows.get(subject)?;
        let recent = row.grants.iter().filter(|(at, ..)| now.since(*at) < GRANT_REPORT_WINDOW);
        Some(recent.fold(collections::BTreeMap::new(), |mut sums, (_, requester, count)| {
            *sums.entry(*requester).or_default() += count;
            sums
        }))
    }
}

impl LedgerRow {
    /// Records a request of a member, and drops old requesters and grants.
    fn note_requester(&mut self, now: units::MonoTime, requester: u64) {
        self.requesters.entry(requester).or_default().requested = now;
        self.requesters.retain(|_, requester| now.since(requester.requested) < REQUESTER_TTL);
        while self.grants.front().is_some_and(|(at, ..)| now.since(*at) >= GRANT_REPORT_WINDOW) {
            self.grants.pop_front();
        }
    }

    /// Permits granted at once to a member that requests `wanted`.
    fn grant_size(&self, wanted: u32) -> u32 {
        let rate = self.pace.bound().rate;
        let ahead = rate.per_second() * PREFETCH_TIME.as_secs_f64() / self.requesters.len() as f64;
        (ahead as u32).clamp(1, wanted.max(1))
    }

    /// Time after which a refused member is invited to request again, when the next permit is due in `wait`.
    fn refuse(
        &mut self,
        now: units::MonoTime,
        requester: u64,
        wait: time::Duration,
    ) -> time::Duration {
        let requester = self.requesters.entry(requester).or_default();
        // Concurrent requests of one member share one invitation.
        if requester.invited < now + wait {
            if self.last_invited < now + wait {
                (self.last_invited, self.invitations) = (now + wait, 0);
            } else if self.invitations == INVITATIONS_PER_PERMIT {
                (self.last_invited, self.invitations) =
                    (self.last_invited + self.pace.bound().interval(), 0);
            }
            self.invitations += 1;
            requester.invited = self.last_invited.min(now + MAX_BACKOFF);
        }
        requester.invited.since(now)
    }
}

/// Milliseconds in `span`, rounded up: a member that requests slightly too early is refused again.
fn ceil_millis(span: time::Duration) -> u32 {
    u32::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
