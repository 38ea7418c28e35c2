//! Evidence of whether this process reaches upstreams over its own links, and by which path it should connect.
//!
//! A failure at one upstream has many causes. If new connections to several upstreams of a service fail and none
//! succeeds meanwhile, the links of this process are the probable one. Only new connections count: those that are open
//! may live on while new ones are refused, and a reused one may have failed independently. Services are told apart, as
//! a partition may separate this process from the upstreams of one and not of another.
//!
//! A wrong conclusion costs one hop: a connection that is relayed by another member reaches the upstream as well.

use std::{collections, net, time};

use crate::{ids, units};

/// Number of upstreams that must fail before their service counts as unreachable, if the list has as many.
const MIN_FAILED_UPSTREAMS: usize = 2;
/// Age from which a failure is no longer evidence.
const MAX_FAILURE_AGE: time::Duration = time::Duration::from_secs(10);
/// Failures in a row after which connections to an upstream are relayed.
const MIN_LINK_FAILURES: u32 = 2;
/// Pause before the first probe of a link; doubles with each further one that fails.
const FIRST_PROBE_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Pause between two probes of an unreachable service.
const SERVICE_PROBE_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Longest pause between two probes of a link.
const MAX_PROBE_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Age up to which an answer shows that the links of this process work.
const MAX_ANSWER_AGE: time::Duration = time::Duration::from_millis(500);
/// Time for which no connection to an upstream is relayed after a relay could not reach it either.
const UNRELAYED_TIME: time::Duration = time::Duration::from_secs(1);

/// A change of the state of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// The process seems to reach no upstream of the service.
    Lost,
    /// The process reaches upstreams of the service again, after the given time.
    Restored(time::Duration),
}

/// By which path a connection to an upstream is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkPath {
    /// Over the links of this process, and by a relay if that fails.
    Direct,
    /// Over the links of this process only: a relay has just failed to reach the upstream.
    DirectOnly,
    /// By a relay, and over the links of this process if that fails.
    Relayed,
}

/// The next probe of a link.
#[derive(Debug, Clone, Copy)]
struct LinkProbe {
    due: units::MonoTime,
    /// Pause that ends with the probe.
    pause: time::Duration,
}

/// State of the link to one upstream.
#[derive(Debug, Clone, Copy)]
struct LinkState {
    /// Failures of new connections since one last carried bytes.
    failures: u32,
    last: units::MonoTime,
    /// When the youngest connection that failed was begun.
    opened: units::MonoTime,
    /// The next probe; `None` while connections are opened directly.
    probe: Option<LinkProbe>,
    /// End of the time in which no connection is relayed.
    unrelayed_until: units::MonoTime,
    /// Whether the relay that failed last found that nothing listens at the address.
    relay_refused: bool,
}

impl LinkState {
    fn new(now: units::MonoTime, opened: units::MonoTime) -> Self {
        Self {
            failures: 0,
            last: now,
            opened,
            probe: None,
            unrelayed_until: units::MonoTime::default(),
            relay_refused: false,
        }
    }

    /// Begins to relay connections, unless they are relayed already.
    fn begin_relaying(&mut self, now: units::MonoTime) {
        let pause = FIRST_PROBE_PAUSE;
        self.probe.get_or_insert(LinkProbe { due: now + pause, pause });
    }
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

/// State of the links to the upstreams of a service.
#[derive(Debug, Default)]
struct ServiceReach {
    /// Links by address; one whose last connection carried bytes has no entry.
    links: collections::HashMap<net::SocketAddrV4, LinkState>,
    /// When the youngest connection that has carried bytes was opened.
    last_good_open: Option<units::MonoTime>,
    /// When a connection last carried bytes.
    last_answer: Option<units::MonoTime>,
    /// When the service became unreachable; `None` while it is reached.
    lost_since: Option<units::MonoTime>,
    /// When any upstream of the service is probed, while the service is unreachable. Those that failed may have failed
    /// on their own.
    probe_due: units::MonoTime,
}

impl ServiceReach {
    /// Whether enough upstreams have failed since the last connection that carried bytes was opened.
    fn has_failed_all(&self, listed: usize) -> bool {
        let is_recent = |link: &&LinkState| {
            link.failures > 0 && self.last_good_open.is_none_or(|last| link.opened > last)
        };
        let failed = self.links.values().filter(is_recent).count();
        failed >= MIN_FAILED_UPSTREAMS.min(listed.max(1))
    }

    /// Records that a connection opened at `opened` works; returns the change if the service was unreachable.
    fn restore(&mut self, now: units::MonoTime, opened: units::MonoTime) -> Option<ReachChange> {
        if self.last_good_open.is_some_and(|last| last >= opened) {
            return None;
        }
        self.last_good_open = Some(opened);
        let since = self.lost_since.take()?;
        self.links
            .values_mut()
            .filter_map(|link| link.probe.as_mut())
            .for_each(|probe| probe.due = now);
        Some(ReachChange::Restored(now.since(since)))
    }
}

/// Addresses of the listed upstreams, by service.
pub type ListedAddresses =
    collections::BTreeMap<ids::ServiceId, collections::HashSet<net::SocketAddrV4>>;

/// State of the links of this process to upstreams, by service.
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

    /// Returns by which path a connection to an upstream is opened.
    pub fn path(
        &self,
        now: units::MonoTime,
        service: &ids::ServiceId,
        address: net::SocketAddrV4,
    ) -> LinkPath {
        let Some(reach) = self.services.get(service) else {
            return LinkPath::Direct;
        };
        match reach.links.get(&address) {
            Some(link) if now < link.unrelayed_until => LinkPath::DirectOnly,
            Some(link) if link.probe.is_some() => LinkPath::Relayed,
            _ if reach.lost_since.is_some() => LinkPath::Relayed,
            _ => LinkPath::Direct,
        }
    }

    /// Whether this process can tell a failed upstream of a service from a failed link of its own, as it has lately
    /// received answers from the service.
    pub fn is_reliable(&self, now: units::MonoTime, service: &ids::ServiceId) -> bool {
        self.services.get(service).is_some_and(|reach| {
            let answered = reach.last_answer.is_some_and(|at| now.since(at) < MAX_ANSWER_AGE);
            answered && reach.lost_since.is_none()
        })
    }

    /// Whether the relay that last failed to reach the upstream found that nothing listens at its address.
    pub fn relay_refused(&self, service: &ids::ServiceId, address: net::SocketAddrV4) -> bool {
        let link = self.services.get(service).and_then(|reach| reach.links.get(&address));
        link.is_some_and(|link| link.relay_refused)
    }

    /// Records that a connection has carried bytes from its upstream.
    pub fn note_answer(
        &mut self,
        now: units::MonoTime,
        attempt: LinkAttempt<'_>,
    ) -> Option<ReachChange> {
        let reach = self.service_mut(attempt.service);
        reach.last_answer = Some(now);
        // A connection that was opened before the failures may live on while new ones fail.
        let is_younger = |link: &LinkState| attempt.opened >= link.opened;
        if reach.links.get(&attempt.address).is_some_and(is_younger) {
            reach.links.remove(&attempt.address);
        }
        reach.restore(now, attempt.opened)
    }

    /// Records that a connection could not be opened, or failed before it carried a byte; `listed` is the number of
    /// upstreams of the service in the list.
    pub fn note_failure(
        &mut self,
        now: units::MonoTime,
        attempt: LinkAttempt<'_>,
        listed: usize,
    ) -> Option<ReachChange> {
        let reach = self.service_mut(attempt.service);
        reach
            .links
            .retain(|_, link| link.probe.is_some() || now.since(link.last) < MAX_FAILURE_AGE);
        let first = LinkState::new(now, attempt.opened);
        let link = reach.links.entry(attempt.address).or_insert(first);
        link.failures += 1;
        link.last = now;
        link.opened = link.opened.max(attempt.opened);
        if link.failures >= MIN_LINK_FAILURES {
            link.begin_relaying(now);
        }
        if reach.lost_since.is_some() {
            link.begin_relaying(now);
            return None;
        }
        if !reach.has_failed_all(listed) {
            return None;
        }
        reach.lost_since = Some(now);
        reach.probe_due = now + SERVICE_PROBE_PAUSE;
        reach.links.values_mut().for_each(|link| link.begin_relaying(now));
        Some(ReachChange::Lost)
    }

    /// Records that a relay could not reach an upstream either, because nothing listens at its address if `refused`.
    /// The failure is the upstream's, and is no evidence against the link.
    pub fn note_relay_failure(
        &mut self,
        now: units::MonoTime,
        service: &ids::ServiceId,
        address: net::SocketAddrV4,
        refused: bool,
    ) {
        let reach = self.service_mut(service);
        let link = reach.links.entry(address).or_insert_with(|| LinkState::new(now, now));
        *link = LinkState {
            unrelayed_until: now + UNRELAYED_TIME,
            relay_refused: refused,
            ..LinkState::new(now, link.opened)
        };
    }

    /// Takes a service and a link to one of its upstreams whose probe is due, or no link if any upstream of the service
    /// may be probed. A probe is an exchange over a direct connection, whose answer ends the relaying.
    pub fn take_probe(
        &mut self,
        now: units::MonoTime,
    ) -> Option<(ids::ServiceId, Option<net::SocketAddrV4>)> {
        for (service, reach) in &mut self.services {
            if reach.lost_since.is_some() && reach.probe_due <= now {
                reach.probe_due = now + SERVICE_PROBE_PAUSE;
                return Some((service.clone(), None));
            }
            let mut links = reach.links.iter_mut();
            let due = links.find_map(|(address, link)| {
                let probe = link.probe.filter(|probe| probe.due <= now)?;
                let pause = (probe.pause * 2).min(MAX_PROBE_PAUSE);
                link.probe = Some(LinkProbe { due: now + pause, pause });
                Some(*address)
            });
            if let Some(address) = due {
                return Some((service.clone(), Some(address)));
            }
        }
        None
    }

    /// Whether there are neither failed links nor unreachable services, so that [`Self::retain`] would do nothing.
    pub fn is_empty(&self) -> bool {
        self.services.values().all(|reach| reach.links.is_empty() && reach.lost_since.is_none())
    }

    /// Removes the services and the links to upstreams that are not `listed`.
    pub fn retain(&mut self, listed: &ListedAddresses) {
        self.services.retain(|service, reach| {
            let Some(addresses) = listed.get(service) else {
                return false;
            };
            reach.links.retain(|address, _| addresses.contains(address));
            true
        });
    }

    /// Returns the state of a service, which is added if it is not known yet.
    fn service_mut(&mut self, service: &ids::ServiceId) -> &mut ServiceReach {
        // The name is copied only once, as each answer is noted.
        if !self.services.contains_key(service) {
            self.services.entry(service.clone()).or_default();
        }
        self.services.get_mut(service).expect("it was added")
    }
}
