//! The probe of one monitored member.

use std::time;

use crate::{failure_detector, units};

/// Timeout of a direct probe, after which relayed ones are requested.
const DIRECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Timeout of the relayed probes, after which the nearest monitor, the last live member before the silent one on the
/// ring, suspects the silent member.
const RELAYED_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Extra timeout for each monitor between this process and the silent member on the ring, so that usually only the
/// nearest monitor broadcasts the suspicion.
const ANNOUNCE_STEP: time::Duration = time::Duration::from_millis(150);

/// State of the probes of one monitored member.
#[derive(Debug)]
pub(super) struct MemberProbe {
    pub(super) member: failure_detector::RingMember,
    /// Number of monitors between this process and the member on the ring.
    pub(super) rank: u32,
    /// When the member last answered a probe, directly or through a relay.
    pub(super) answered: Option<units::MonoTime>,
    /// When the next probe is due.
    pub(super) due: units::MonoTime,
    /// When the first unanswered probe was sent.
    pub(super) unanswered_since: Option<units::MonoTime>,
    /// When relayed probes were requested.
    pub(super) relayed: Option<units::MonoTime>,
}

impl MemberProbe {
    /// The state for a newly monitored member, whose first probe is due at once.
    pub(super) fn new(member: failure_detector::RingMember, now: units::MonoTime) -> Self {
        Self { member, rank: 0, answered: None, due: now, unanswered_since: None, relayed: None }
    }

    /// Forgets unanswered probes, so that the timeouts begin anew.
    pub(super) fn reset(&mut self) {
        (self.unanswered_since, self.relayed) = (None, None);
    }

    /// Records an answer of the member, after which no probe counts as unanswered.
    pub(super) fn note_answer(&mut self, now: units::MonoTime) {
        self.answered = Some(now);
        self.reset();
    }

    /// Whether the direct probe timed out and relayed ones are due.
    pub(super) fn needs_relays(&self, now: units::MonoTime) -> bool {
        let unanswered_since = self.unanswered_since.filter(|_| self.relayed.is_none());
        unanswered_since
            .is_some_and(|unanswered_since| now.since(unanswered_since) >= DIRECT_TIMEOUT)
    }

    /// Whether the relayed probes timed out as well.
    pub(super) fn is_silent(&self, now: units::MonoTime) -> bool {
        let timeout = RELAYED_TIMEOUT + ANNOUNCE_STEP * self.rank;
        self.relayed.is_some_and(|relayed| now.since(relayed) >= timeout)
    }
}
