//! Simulation of failure detection in a fleet, in virtual time, with packet loss and partitions.

mod event_queue;

use std::{collections, net, sync, time};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_core::{
    failure_detector::{
        DetectorAction, FailureDetector, PROBE_INTERVAL, ProbeMessage, RingMember, SuspectReport,
    },
    membership::MemberView,
    rendezvous, units,
};

/// Delay of a datagram.
const DELAY: time::Duration = time::Duration::from_millis(1);
/// Interval between two ticks of a member's failure detector.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Interval between two refutations of a suspicion by the suspected member.
const REFUTATION_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Missed heartbeats until a member is suspected.
const MISSED_HEARTBEATS: u32 = 4;
/// Timeouts of the random probes: of a direct probe, and then of the probes relayed by other members.
const PROBE_TIMEOUTS: (time::Duration, time::Duration) =
    (time::Duration::from_millis(250), time::Duration::from_millis(400));
/// A result is piggybacked on random probes for this number of probe periods, times the number of binary digits of the
/// number of members.
const PIGGYBACK_PERIODS: u32 = 3;

/// Protocol by which members detect silent members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Protocol {
    /// Each member sends heartbeats to all others.
    Heartbeats,
    /// Each member probes a random other member per period; results are piggybacked on probes.
    RandomProbes,
    /// Each member probes the next members on a ring; results are broadcast.
    RingProbes,
}

#[derive(Debug, Clone)]
enum Datagram {
    Heartbeat,
    Ping(Vec<usize>),
    Ack(Vec<usize>),
    Probe(ProbeMessage),
    Suspect(SuspectReport),
    Restore(u64),
}

#[derive(Debug)]
struct Event {
    to: usize,
    /// Sender of the datagram; `None` if the event is the member's own timer.
    from: Option<usize>,
    datagram: Option<Datagram>,
}

/// A member, with the state that it needs for each of the protocols.
struct VirtualMember {
    /// Whether the member neither sends nor receives.
    silent: bool,
    /// Side of the partition, 0 or 1; the same for all members without a partition.
    side: u8,
    detector: FailureDetector,
    /// When the last heartbeat of each other member arrived; used by [`Protocol::Heartbeats`].
    last_heartbeats: Vec<units::MonoTime>,
    /// Members that random probes found silent, and when this member learned of each.
    known_silent: collections::BTreeMap<usize, units::MonoTime>,
    /// When the member last refuted a suspicion of itself.
    refuted: Option<units::MonoTime>,
    /// Target and time of the pending random probe.
    pending: Option<(usize, units::MonoTime)>,
}

/// Members, with their timers and the datagrams in transit.
pub(crate) struct VirtualFleet {
    protocol: Protocol,
    loss: f64,
    random: ChaCha8Rng,
    now: units::MonoTime,
    events: event_queue::EventQueue<Event>,
    members: Vec<VirtualMember>,
    sent: u64,
}

impl VirtualFleet {
    /// A fleet of `count` members that know each other, in which the share `loss` of datagrams is lost.
    pub(crate) fn new(protocol: Protocol, count: usize, loss: f64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let ring = |own: usize| {
            let others = (0..count).filter(|other| *other != own);
            let mut ring: Vec<_> = others.map(ring_member).collect();
            ring.sort_by_key(|member| member.hash);
            sync::Arc::from(ring)
        };
        let member = |own| {
            let mut detector = FailureDetector::new(ring_member(own).hash);
            if protocol == Protocol::RingProbes {
                detector.set_members(units::MonoTime::default(), ring(own));
            }
            VirtualMember {
                silent: false,
                side: 0,
                detector,
                last_heartbeats: vec![units::MonoTime::default(); count],
                known_silent: collections::BTreeMap::new(),
                refuted: None,
                pending: None,
            }
        };
        let members: Vec<_> = (0..count).map(member).collect();
        let first = interval(protocol, count);
        let starts: Vec<_> = (0..count).map(|_| first.mul_f64(random.random())).collect();
        let mut fleet = Self {
            protocol,
            loss,
            random,
            now: units::MonoTime::default(),
            events: event_queue::EventQueue::default(),
            members,
            sent: 0,
        };
        for (own, start) in starts.into_iter().enumerate() {
            fleet.schedule(start, own, None, None);
        }
        fleet
    }

    /// Advances virtual time by `time` and handles the events that are due.
    pub(crate) fn run(&mut self, time: time::Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Datagrams per member and second so far.
    pub(crate) fn sent_per_member(&self) -> f64 {
        let seconds = self.now.since(units::MonoTime::default()).as_secs_f64();
        self.sent as f64 / self.members.len() as f64 / seconds
    }

    /// Stops members from sending and receiving.
    pub(crate) fn silence(&mut self, silent: &[usize]) {
        silent.iter().for_each(|member| self.members[*member].silent = true);
    }

    /// Resumes a silent member.
    pub(crate) fn resume(&mut self, member: usize) {
        self.members[member].silent = false;
        self.schedule(TICK, member, None, None);
    }

    /// Cuts a share of the members off from the others.
    pub(crate) fn cut(&mut self, share: f64) {
        let count = (self.members.len() as f64 * share) as usize;
        self.members.iter_mut().take(count).for_each(|member| member.side = 1);
    }

    /// Ends the partition.
    pub(crate) fn heal(&mut self) {
        self.members.iter_mut().for_each(|member| member.side = 0);
    }

    /// Runs until, in at least `share` of the pairs of a live and a silent member, the live one suspects the silent
    /// one. Returns the time until then, or `None` if it exceeds `limit`.
    pub(crate) fn time_until_suspected(
        &mut self,
        share: f64,
        limit: time::Duration,
    ) -> Option<time::Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            self.run(TICK);
            if self.suspected_share() >= share {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// Runs for a time; returns the share of the pairs across the partition in which the first suspects the second.
    pub(crate) fn suspected_share_after(&mut self, time: time::Duration) -> f64 {
        self.run(time);
        let pairs = self.divided_pairs();
        let suspected = pairs.iter().filter(|(own, other)| self.suspects(*own, *other)).count();
        suspected as f64 / pairs.len() as f64
    }

    /// Runs for a time; returns the share of all pairs in which the first suspects the second.
    pub(crate) fn remaining_suspicions_after(&mut self, time: time::Duration) -> f64 {
        self.run(time);
        let pairs = self.members.len() * (self.members.len() - 1);
        self.suspicions() as f64 / pairs as f64
    }

    /// Number of suspicions held by all live members.
    pub(crate) fn suspicions(&self) -> usize {
        let live = self.members.iter().filter(|member| !member.silent);
        live.map(|member| member.detector.suspected_count()).sum()
    }

    /// Ordered pairs of members on different sides of the partition.
    fn divided_pairs(&self) -> Vec<(usize, usize)> {
        let all = 0..self.members.len();
        let pairs = all.clone().flat_map(|own| all.clone().map(move |other| (own, other)));
        pairs.filter(|(own, other)| self.members[*own].side != self.members[*other].side).collect()
    }

    /// Share of the pairs of a live and a silent member in which the live one suspects the silent one.
    fn suspected_share(&self) -> f64 {
        let is_silent = |own: &usize| self.members[*own].silent;
        let (silent, live): (Vec<_>, Vec<_>) = (0..self.members.len()).partition(is_silent);
        let suspected_by =
            |own: &usize| silent.iter().filter(|other| self.suspects(*own, **other)).count();
        let suspected: usize = live.iter().map(suspected_by).sum();
        suspected as f64 / (live.len() * silent.len()) as f64
    }

    fn suspects(&self, own: usize, other: usize) -> bool {
        let member = &self.members[own];
        match self.protocol {
            Protocol::Heartbeats => {
                let limit = interval(self.protocol, self.members.len()) * MISSED_HEARTBEATS;
                self.now.since(member.last_heartbeats[other]) > limit
            }
            Protocol::RandomProbes => member.known_silent.contains_key(&other),
            Protocol::RingProbes => member.detector.is_suspected(other as u64),
        }
    }

    fn schedule(
        &mut self,
        after: time::Duration,
        to: usize,
        from: Option<usize>,
        datagram: Option<Datagram>,
    ) {
        self.events.push(self.now + after, Event { to, from, datagram });
    }

    fn send(&mut self, from: usize, to: usize, datagram: Datagram) {
        self.sent += 1;
        let cut = self.members[from].side != self.members[to].side;
        if !cut && self.random.random::<f64>() >= self.loss {
            self.schedule(DELAY, to, Some(from), Some(datagram));
        }
    }

    fn send_all(&mut self, from: usize, datagram: &Datagram) {
        for to in (0..self.members.len()).filter(|to| *to != from) {
            self.send(from, to, datagram.clone());
        }
    }

    fn handle(&mut self, event: Event) {
        if self.members[event.to].silent {
            return;
        }
        match (event.from, event.datagram) {
            (Some(from), Some(datagram)) => self.receive(event.to, from, datagram),
            _ => self.handle_timer(event.to),
        }
    }

    /// Sends what the protocol sends when a member's timer fires, and sets the next timer.
    fn handle_timer(&mut self, own: usize) {
        match self.protocol {
            Protocol::Heartbeats => {
                self.send_all(own, &Datagram::Heartbeat);
                let period = interval(self.protocol, self.members.len());
                self.schedule(period, own, None, None);
            }
            Protocol::RandomProbes => self.probe_random(own),
            Protocol::RingProbes => {
                let actions = self.members[own].detector.tick(self.now, &mut self.random);
                self.execute(own, actions);
                self.schedule(TICK, own, None, None);
            }
        }
    }

    fn probe_random(&mut self, own: usize) {
        if let Some((target, sent_at)) = self.members[own].pending.take() {
            let waited = self.now.since(sent_at);
            if waited >= PROBE_TIMEOUTS.0 + PROBE_TIMEOUTS.1 {
                // Relayed probes are not simulated one by one: they count as failed if the target is silent or on the
                // other side of the partition, and as answered otherwise.
                if self.members[target].silent
                    || self.members[target].side != self.members[own].side
                {
                    self.members[own].known_silent.insert(target, self.now);
                }
            } else {
                self.members[own].pending = Some((target, sent_at));
            }
        }
        if self.members[own].pending.is_none() {
            let target = self.random.random_range(0..self.members.len());
            if target != own && !self.members[own].known_silent.contains_key(&target) {
                self.members[own].pending = Some((target, self.now));
                let results = self.piggybacked_results(own);
                self.send(own, target, Datagram::Ping(results));
            }
        }
        self.schedule(PROBE_INTERVAL, own, None, None);
    }

    /// Members to name with a probe or an answer: at most eight that this member learned to be silent recently.
    fn piggybacked_results(&self, own: usize) -> Vec<usize> {
        let doublings = self.members.len().ilog2() + 1;
        let max_age = PROBE_INTERVAL * PIGGYBACK_PERIODS * doublings;
        let known = self.members[own].known_silent.iter();
        let recent = known.filter(|(_, at)| self.now.since(**at) < max_age);
        recent.map(|(member, _)| *member).take(8).collect()
    }

    fn receive(&mut self, own: usize, from: usize, datagram: Datagram) {
        match datagram {
            Datagram::Heartbeat => self.members[own].last_heartbeats[from] = self.now,
            Datagram::Ping(results) => {
                self.record_results(own, results);
                let results = self.piggybacked_results(own);
                self.send(own, from, Datagram::Ack(results));
            }
            Datagram::Ack(results) => {
                self.record_results(own, results);
                let pending = &mut self.members[own].pending;
                *pending = pending.take().filter(|(target, _)| *target != from);
            }
            Datagram::Probe(message) => {
                let address = ring_member(from).address;
                let detector = &mut self.members[own].detector;
                let actions = detector.receive(self.now, address, message);
                self.execute(own, actions);
            }
            Datagram::Suspect(report) if report.boot == own as u64 => self.refute(own),
            Datagram::Suspect(report) => {
                let detector = &mut self.members[own].detector;
                let (_, actions) = detector.receive_suspect(self.now, report);
                self.execute(own, actions);
            }
            Datagram::Restore(boot) => {
                self.members[own].detector.restore(self.now, boot);
            }
        }
    }

    /// Broadcasts that a suspected member is live, at most once per [`REFUTATION_INTERVAL`].
    fn refute(&mut self, own: usize) {
        let refuted = self.members[own].refuted;
        if refuted.is_none_or(|refuted| self.now.since(refuted) >= REFUTATION_INTERVAL) {
            self.members[own].refuted = Some(self.now);
            self.send_all(own, &Datagram::Restore(own as u64));
        }
    }

    fn record_results(&mut self, own: usize, results: Vec<usize>) {
        for silent in results.into_iter().filter(|silent| *silent != own) {
            self.members[own].known_silent.entry(silent).or_insert(self.now);
        }
    }

    fn execute(&mut self, own: usize, actions: Vec<DetectorAction>) {
        for action in actions {
            match action {
                DetectorAction::Send(to, message) => {
                    let to = number_at(to);
                    self.send(own, to, Datagram::Probe(message));
                }
                DetectorAction::Suspect(report) => self.send_all(own, &Datagram::Suspect(report)),
                DetectorAction::Restore(boot) => self.send_all(own, &Datagram::Restore(boot)),
            }
        }
    }
}

/// Interval at which the timer of a member fires.
fn interval(protocol: Protocol, members: usize) -> time::Duration {
    match protocol {
        Protocol::Heartbeats => MemberView::heartbeat_interval_of(members),
        Protocol::RandomProbes => PROBE_INTERVAL,
        Protocol::RingProbes => TICK,
    }
}

fn ring_member(number: usize) -> RingMember {
    let [.., high, low] = number.to_be_bytes();
    RingMember {
        hash: rendezvous::mixed_hash(number as u64 + 1),
        boot: number as u64,
        address: net::SocketAddrV4::new(net::Ipv4Addr::new(10, 0, high, low), 7_000),
    }
}

fn number_at(address: net::SocketAddrV4) -> usize {
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}
