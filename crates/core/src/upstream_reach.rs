//! Evidence of whether this process reaches the upstreams of a service over its own links.
//!
//! A failure at one upstream has many causes. If new connections to several upstreams of a service fail and none
//! succeeds meanwhile, the links of this process are the probable one. Only new connections count: those that are open
//! may live on while new ones are refused, and a reused one may have died on its own. Services are told apart, as a
//! partition may separate this process from the upstreams of one and not of another.

use std::{collections, net, time};

use crate::{ids, units};

/// Number of upstreams that must fail before their service counts as unreachable, if the list has as many.
const MIN_FAILED_UPSTREAMS: usize = 2;
/// Age from which a failure is no longer evidence.
const MAX_FAILURE_AGE: time::Duration = time::Duration::from_secs(10);

/// A change of the state of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// The process seems to reach no upstream of the service.
    Lost,
    /// The process reaches upstreams of the service again, after the given time.
    Restored(time::Duration),
}

/// Recent failures of new connections to one upstream.
#[derive(Debug, Clone, Copy)]
struct LinkFailures {
    /// Failures since a connection to the upstream last carried bytes.
    count: u32,
    last: units::MonoTime,
    /// When the youngest connection that failed was begun.
    opened: units::MonoTime,
}

/// A connection attempt: its service, its upstream, and when it was begun.
#[derive(Debug, Clone, Copy)]
pub struct LinkAttempt<'a> {
    /// Service of the upstream.
    pub service: &'a ids::ServiceId,
    /// Address of the upstream.
    pub address: net::SocketAddrV4,
    /// When the connection was begun.
    pub opened: units::MonoTime,
}

/// Recent failures of new connections to the upstreams of a service.
#[derive(Debug, Default)]
struct ServiceReach {
    /// Failures by address; an upstream without any has no entry.
    failures: collections::HashMap<net::SocketAddrV4, LinkFailures>,
    /// When the youngest connection that has carried bytes was opened.
    last_good_open: Option<units::MonoTime>,
    /// When the service became unreachable; `None` while it is reached.
    lost_since: Option<units::MonoTime>,
}

impl ServiceReach {
    /// Whether enough upstreams have failed since the last connection that carried bytes was opened.
    fn has_failed_all(&self, listed: usize) -> bool {
        let is_recent = |failures: &&LinkFailures| {
            self.last_good_open.is_none_or(|last| failures.opened > last)
        };
        let failed = self.failures.values().filter(is_recent).count();
        failed >= MIN_FAILED_UPSTREAMS.min(listed.max(1))
    }
}

/// Recent failures of new connections to upstreams, by service.
#[derive(Debug, Default)]
pub struct UpstreamReach {
    services: collections::BTreeMap<ids::ServiceId, ServiceReach>,
}

impl UpstreamReach {
    /// Returns since when this process seems to reach no upstream of a service; `None` while it reaches some.
    pub fn lost_since(&self, service: &ids::ServiceId) -> Option<units::MonoTime> {
        self.services.get(service)?.lost_since
    }

    /// Returns the services without a reachable upstream, and since when.
    pub fn lost(&self) -> impl Iterator<Item = (&ids::ServiceId, units::MonoTime)> {
        self.services.iter().filter_map(|(service, reach)| Some((service, reach.lost_since?)))
    }

    /// Records that a connection has carried bytes from its upstream.
    pub fn note_answer(
        &mut self,
        now: units::MonoTime,
        attempt: LinkAttempt<'_>,
    ) -> Option<ReachChange> {
        let reach = self.services.entry(attempt.service.clone()).or_default();
        reach.failures.remove(&attempt.address);
        if reach.last_good_open.is_some_and(|last| last >= attempt.opened) {
            return None;
        }
        reach.last_good_open = Some(attempt.opened);
        let since = reach.lost_since.take()?;
        Some(ReachChange::Restored(now.since(since)))
    }

    /// Records that a connection could not be opened, or failed before it carried a byte; `listed` is the number of
    /// upstreams of the service in the list.
    pub fn note_failure(
        &mut self,
        now: units::MonoTime,
        attempt: LinkAttempt<'_>,
        listed: usize,
    ) -> Option<ReachChange> {
        let reach = self.services.entry(attempt.service.clone()).or_default();
        reach.failures.retain(|_, failures| now.since(failures.last) < MAX_FAILURE_AGE);
        let first = LinkFailures { count: 0, last: now, opened: attempt.opened };
        let failures = reach.failures.entry(attempt.address).or_insert(first);
        failures.count += 1;
        failures.last = now;
        failures.opened = failures.opened.max(attempt.opened);
        if reach.lost_since.is_some() || !reach.has_failed_all(listed) {
            return None;
        }
        reach.lost_since = Some(now);
        Some(ReachChange::Lost)
    }

    /// Removes the state of services that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&ids::ServiceId) -> bool) {
        self.services.retain(|service, _| known(service));
    }
}
