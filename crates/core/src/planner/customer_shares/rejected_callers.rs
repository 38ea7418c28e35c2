//! Callers that were rejected because their customer uses its share, so that their retries are recognized.

use std::{collections, time};

use crate::{request_origin, units};

/// Longest time after a rejection for which its retry is recognized. Callers obey a third of the time that they have
/// left, and many have 10 s.
const MAX_AGE: time::Duration = time::Duration::from_millis(3_500);
/// How long before its assigned time a retry is recognized: some callers measure the delay from the time at which they
/// sent the request. With 100 ms, one in 50 first attempts after a flood counted as the retry of an equal prompt.
const EARLY_TIME: time::Duration = time::Duration::from_millis(20);
/// Largest number of remembered callers, twice as many as a cell of 96 engines with 16 slots rejects within [`MAX_AGE`]
/// at double load.
const MAX_CALLERS: usize = 4_096;

/// What is remembered of the latest rejection of an identity.
#[derive(Debug, Clone, Copy)]
struct Rejection {
    since: units::MonoTime,
    /// Earliest time at which a request of this identity is the retry.
    from: units::MonoTime,
    /// Whether several callers have this identity, whose first attempts must not count as retries.
    is_shared: bool,
}

/// Identities of the callers that were rejected recently.
#[derive(Debug, Default)]
pub(crate) struct RejectedCallers {
    /// At most [`MAX_CALLERS`].
    rejections: collections::HashMap<request_origin::RequestIdentity, Rejection>,
}

impl RejectedCallers {
    /// Remembers a caller that was told to return after `delay`.
    pub(crate) fn note(
        &mut self,
        now: units::MonoTime,
        identity: request_origin::RequestIdentity,
        delay: time::Duration,
    ) {
        if self.rejections.len() >= MAX_CALLERS {
            self.rejections.retain(|_, rejection| now.since(rejection.since) <= MAX_AGE);
        }
        let last = self.rejections.get(&identity).copied();
        if last.is_none() && self.rejections.len() >= MAX_CALLERS {
            return;
        }
        let is_shared = last.is_some_and(|last| now.since(last.since) <= MAX_AGE);
        let from = (now + delay).earlier_by(EARLY_TIME);
        self.rejections.insert(identity, Rejection { since: now, from, is_shared });
    }

    /// Whether a request that arrives is the retry of a remembered caller, which is then forgotten.
    pub(crate) fn recognize(
        &mut self,
        now: units::MonoTime,
        identity: request_origin::RequestIdentity,
    ) -> bool {
        let Some(rejection) = self.rejections.get(&identity) else {
            return false;
        };
        let is_old = now.since(rejection.since) > MAX_AGE;
        let is_retry = !is_old && !rejection.is_shared && now >= rejection.from;
        if is_old || is_retry {
            self.rejections.remove(&identity);
        }
        is_retry
    }
}
