//! Members in virtual time, over datagrams that may be lost or cut off.

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

/// One way of a datagram.
const DELAY: time::Duration = time::Duration::from_millis(1);
/// Time between two looks of a member at its probes.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Time between two denials of being silent.
const DENIAL_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Heartbeats missed before a member is suspected.
const MISSED_BEATS: u32 = 4;
/// Times of the random probes: for an answer, and for one by way of others.
const PROBE_TIMES: (time::Duration, time::Duration) =
    (time::Duration::from_millis(250), time::Duration::from_millis(400));
/// Periods for which a result travels with random probes, for each doubling of the members.
const SPREAD_PERIODS: u32 = 3;

/// How members find out who is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Protocol {
    /// Each tells all others that it lives.
    Heartbeats,
    /// Each probes a random member a period; results travel with probes.
    RandomProbes,
    /// Each probes the next on a ring; results are announced.
    RingProbes,
}

#[derive(Debug, Clone)]
enum Datagram {
    Beat,
    Ping(Vec<usize>),
    Ack(Vec<usize>),
    Probe(ProbeMessage),
    Suspect(SuspectReport),
    Restore(u64),
}

#[derive(Debug)]
struct Event {
    to: usize,
    /// `None` is the member's own timer.
    from: Option<usize>,
    datagram: Option<Datagram>,
}

/// One member.
struct VirtualMember {
    silent: bool,
    side: u8,
    detector: FailureDetector,
    /// When each other was last heard, for heartbeats.
    heard: Vec<units::MonoTime>,
    /// Results of random probes: who is silent, and when that became known here.
    known: collections::BTreeMap<usize, units::MonoTime>,
    /// When it last denied to be silent.
    denied: Option<units::MonoTime>,
    /// The random probe that is open.
    open: Option<(usize, units::MonoTime)>,
}

/// All members.
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
    /// So many members that know each other.
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
                heard: vec![units::MonoTime::default(); count],
                known: collections::BTreeMap::new(),
                denied: None,
                open: None,
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

    /// Plays so much time.
    pub(crate) fn run(&mut self, time: time::Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            self.play(event);
        }
        self.now = end;
    }

    /// Datagrams that a member sent a second so far.
    pub(crate) fn sent_per_member(&self) -> f64 {
        let seconds = self.now.since(units::MonoTime::default()).as_secs_f64();
        self.sent as f64 / self.members.len() as f64 / seconds
    }

    /// Lets members fall silent.
    pub(crate) fn silence(&mut self, silent: &[usize]) {
        silent.iter().for_each(|member| self.members[*member].silent = true);
    }

    /// Lets a member go on.
    pub(crate) fn wake(&mut self, member: usize) {
        self.members[member].silent = false;
        self.schedule(TICK, member, None, None);
    }

    /// Cuts a part of the members off from the others.
    pub(crate) fn cut(&mut self, part: f64) {
        let cut = (self.members.len() as f64 * part) as usize;
        self.members.iter_mut().take(cut).for_each(|member| member.side = 1);
    }

    /// Ends the cut.
    pub(crate) fn heal(&mut self) {
        self.members.iter_mut().for_each(|member| member.side = 0);
    }

    /// Time until a part of the pairs of a live and a silent member know.
    pub(crate) fn until_part_known(
        &mut self,
        part: f64,
        limit: time::Duration,
    ) -> Option<time::Duration> {
        let begun = self.now;
        while self.now.since(begun) < limit {
            self.run(TICK);
            if self.part_known() >= part {
                return Some(self.now.since(begun));
            }
        }
        None
    }

    /// Part of the pairs on two sides of a cut that know of each other's silence after so much time.
    pub(crate) fn part_known_after(&mut self, time: time::Duration) -> f64 {
        self.run(time);
        let pairs = self.divided_pairs();
        let known = pairs.iter().filter(|(own, other)| self.suspects(*own, *other)).count();
        known as f64 / pairs.len() as f64
    }

    /// Part of all pairs that are suspected after so much time.
    pub(crate) fn suspected_after(&mut self, time: time::Duration) -> f64 {
        self.run(time);
        let pairs = self.members.len() * (self.members.len() - 1);
        self.suspicions() as f64 / pairs as f64
    }

    /// Suspicions of all members that live.
    pub(crate) fn suspicions(&self) -> usize {
        let live = self.members.iter().filter(|member| !member.silent);
        live.map(|member| member.detector.suspected_count()).sum()
    }

    fn divided_pairs(&self) -> Vec<(usize, usize)> {
        let all = 0..self.members.len();
        let pairs = all.clone().flat_map(|own| all.clone().map(move |other| (own, other)));
        pairs.filter(|(own, other)| self.members[*own].side != self.members[*other].side).collect()
    }

    fn part_known(&self) -> f64 {
        let is_silent = |own: &usize| self.members[*own].silent;
        let (silent, live): (Vec<_>, Vec<_>) = (0..self.members.len()).partition(is_silent);
        let known =
            |own: &usize| silent.iter().filter(|other| self.suspects(*own, **other)).count();
        let known: usize = live.iter().map(known).sum();
        known as f64 / (live.len() * silent.len()) as f64
    }

    fn suspects(&self, own: usize, other: usize) -> bool {
        let member = &self.members[own];
        match self.protocol {
            Protocol::Heartbeats => {
                let limit = interval(self.protocol, self.members.len()) * MISSED_BEATS;
                self.now.since(member.heard[other]) > limit
            }
            Protocol::RandomProbes => member.known.contains_key(&other),
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

    fn play(&mut self, event: Event) {
        if self.members[event.to].silent {
            return;
        }
        match (event.from, event.datagram) {
            (Some(from), Some(datagram)) => self.receive(event.to, from, datagram),
            _ => self.wake_up(event.to),
        }
    }

    /// A member's own timer.
    fn wake_up(&mut self, own: usize) {
        match self.protocol {
            Protocol::Heartbeats => {
                self.send_all(own, &Datagram::Beat);
                let pause = interval(self.protocol, self.members.len());
                self.schedule(pause, own, None, None);
            }
            Protocol::RandomProbes => self.probe_random(own),
            Protocol::RingProbes => {
                let actions = self.members[own].detector.tick(self.now, &mut self.random);
                self.act(own, actions);
                self.schedule(TICK, own, None, None);
            }
        }
    }

    fn probe_random(&mut self, own: usize) {
        if let Some((target, asked)) = self.members[own].open.take() {
            let waited = self.now.since(asked);
            if waited >= PROBE_TIMES.0 + PROBE_TIMES.1 {
                // Others that it has asked to probe the target find out.
                if self.members[target].silent
                    || self.members[target].side != self.members[own].side
                {
                    self.members[own].known.insert(target, self.now);
                }
            } else {
                self.members[own].open = Some((target, asked));
            }
        }
        if self.members[own].open.is_none() {
            let target = self.random.random_range(0..self.members.len());
            if target != own && !self.members[own].known.contains_key(&target) {
                self.members[own].open = Some((target, self.now));
                let news = self.random_news(own);
                self.send(own, target, Datagram::Ping(news));
            }
        }
        self.schedule(PROBE_INTERVAL, own, None, None);
    }

    /// Results that still travel.
    fn random_news(&self, own: usize) -> Vec<usize> {
        let doublings = self.members.len().ilog2() + 1;
        let lasts = PROBE_INTERVAL * SPREAD_PERIODS * doublings;
        let known = self.members[own].known.iter();
        let lately = known.filter(|(_, at)| self.now.since(**at) < lasts);
        lately.map(|(member, _)| *member).take(8).collect()
    }

    fn receive(&mut self, own: usize, from: usize, datagram: Datagram) {
        match datagram {
            Datagram::Beat => self.members[own].heard[from] = self.now,
            Datagram::Ping(news) => {
                self.learn(own, news);
                let news = self.random_news(own);
                self.send(own, from, Datagram::Ack(news));
            }
            Datagram::Ack(news) => {
                self.learn(own, news);
                let open = &mut self.members[own].open;
                *open = open.take().filter(|(target, _)| *target != from);
            }
            Datagram::Probe(message) => {
                let address = ring_member(from).address;
                let detector = &mut self.members[own].detector;
                let actions = detector.receive(self.now, address, message);
                self.act(own, actions);
            }
            Datagram::Suspect(report) if report.boot == own as u64 => self.deny(own),
            Datagram::Suspect(report) => {
                let detector = &mut self.members[own].detector;
                let (_, actions) = detector.receive_suspect(self.now, report);
                self.act(own, actions);
            }
            Datagram::Restore(boot) => {
                self.members[own].detector.restore(self.now, boot);
            }
        }
    }

    /// A member that is suspected tells all that it lives.
    fn deny(&mut self, own: usize) {
        let denied = self.members[own].denied;
        if denied.is_none_or(|denied| self.now.since(denied) >= DENIAL_INTERVAL) {
            self.members[own].denied = Some(self.now);
            self.send_all(own, &Datagram::Restore(own as u64));
        }
    }

    fn learn(&mut self, own: usize, news: Vec<usize>) {
        for silent in news.into_iter().filter(|silent| *silent != own) {
            self.members[own].known.entry(silent).or_insert(self.now);
        }
    }

    fn act(&mut self, own: usize, actions: Vec<DetectorAction>) {
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

/// Time between two timers of a member.
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
