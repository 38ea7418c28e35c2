//! Members that start at once in virtual time: greetings, and documents that go from one to the other.

mod event_queue;

use std::{fmt, net, time};

use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use slipturn_core::{ids, member_heartbeat::MemberHeartbeat, membership::MemberView, units};

/// Time within which all start.
const START_SPREAD: time::Duration = time::Duration::from_millis(500);
/// One way of a datagram.
const DELAY: time::Duration = time::Duration::from_millis(1);
/// Part of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// Time between two looks of a member that knows nothing.
const LOOK: time::Duration = time::Duration::from_millis(20);
/// Time of a read of the store.
const READ: time::Duration = time::Duration::from_millis(60);
/// Bytes of the packed documents for each upstream, and upstreams for each member.
const DOCUMENT_BYTES: usize = 24 * 2;
/// Bytes that a member's link carries in a millisecond, 20 Mbit/s.
const LINK: usize = 2_500;
/// Bytes that a member sends at once.
const MAX_BYTES: usize = 480 * 1024;
/// Seeds.
const SEEDS: usize = 3;
/// Time between two changes of the list, as watchers see them.
const CHANGES: time::Duration = time::Duration::from_millis(300);
/// Time after which nothing more is played.
const END: time::Duration = time::Duration::from_secs(6);

/// Whom a member that knows nothing asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SourceWay {
    /// Any that has the documents; seeds read the store at once.
    Any,
    /// Those with the newest list; all wait until no new member shows.
    Newest,
}

/// How a start went.
#[derive(Debug)]
pub(crate) struct StartOutcome {
    /// Members that know nothing at the end.
    pub(crate) missing: usize,
    /// When the last of the others knew, milliseconds behind the last start.
    pub(crate) last_ms: u64,
    /// Members that read the store.
    pub(crate) readers: usize,
    /// Documents that one member gave, at most.
    pub(crate) most_given: usize,
}

impl fmt::Display for StartOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { missing, last_ms, readers, most_given } = self;
        write!(
            f,
            "last known {last_ms} ms behind the last start, {missing} know nothing, {readers} read the \
             store, {most_given} given by one"
        )
    }
}

#[derive(Debug)]
enum Step {
    Start,
    Beat,
    Look,
    Hear(Box<MemberHeartbeat>),
    /// A document of this version has come, from a member or the store.
    Got(Option<usize>, u64),
    /// The store has a change for a watcher.
    Change,
}

#[derive(Debug)]
struct Event {
    to: usize,
    step: Step,
}

struct StartingMember {
    view: MemberView,
    cut: bool,
    started: units::MonoTime,
    sequence: u64,
    list: u64,
    known: Option<units::MonoTime>,
    reading: bool,
    watches: bool,
    sending: usize,
    given: usize,
}

/// All members.
pub(crate) struct VirtualStart {
    way: SourceWay,
    random: ChaCha8Rng,
    now: units::MonoTime,
    events: event_queue::EventQueue<Event>,
    members: Vec<StartingMember>,
    bytes: usize,
    revision: u64,
    readers: usize,
}

impl VirtualStart {
    /// So many members, a part of them cut off from the others and the store.
    pub(crate) fn new(count: usize, cut: f64, way: SourceWay, seed: u64) -> Self {
        let seeds: Vec<_> = (0..SEEDS.min(count)).map(address).collect();
        let cut_off = (count as f64 * cut) as usize;
        let member = |number| StartingMember {
            view: MemberView::new(name(number), seeds.clone()),
            // The seeds come first and are on the larger side.
            cut: number >= count - cut_off,
            started: units::MonoTime::default(),
            sequence: 0,
            list: 0,
            known: None,
            reading: false,
            watches: false,
            sending: 0,
            given: 0,
        };
        let mut start = Self {
            way,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: units::MonoTime::default(),
            events: event_queue::EventQueue::default(),
            members: (0..count).map(member).collect(),
            bytes: count * DOCUMENT_BYTES,
            revision: 1,
            readers: 0,
        };
        for number in 0..count {
            let after = START_SPREAD.mul_f64(start.random.random());
            start.schedule(after, number, Step::Start);
        }
        start
    }

    /// Plays until nothing more happens, and tells how it went.
    pub(crate) fn run(&mut self) -> StartOutcome {
        while let Some((at, event)) = self.events.pop_until(units::MonoTime::from_span(END)) {
            self.now = at;
            self.play(event.to, event.step);
            if self.members.iter().all(|member| member.known.is_some() || member.cut) {
                break;
            }
        }
        let last_start = self.members.iter().map(|member| member.started).max();
        let last_start = last_start.unwrap_or_default();
        let known = self.members.iter().filter_map(|member| member.known);
        let last = known.max().unwrap_or_default();
        StartOutcome {
            missing: self.members.iter().filter(|member| member.known.is_none()).count(),
            last_ms: units::whole_millis(last.since(last_start)),
            readers: self.readers,
            most_given: self.members.iter().map(|member| member.given).max().unwrap_or_default(),
        }
    }

    fn schedule(&mut self, after: time::Duration, to: usize, step: Step) {
        self.events.push(self.now + after, Event { to, step });
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.members[from].cut == self.members[to].cut
    }

    fn send(&mut self, from: usize, to: usize, others: Vec<net::SocketAddrV4>) {
        let own = &mut self.members[from];
        own.sequence += 1;
        let beat = MemberHeartbeat {
            name: name(from),
            boot: from as u64,
            sequence: own.sequence,
            address: address(from),
            data_center: "a".parse().expect("a valid name"),
            cpu: 250,
            plans: false,
            leaving: false,
            routes: u64::from(own.list > 0),
            list: (own.list).into(),
            watches: own.watches,
            others,
        };
        if self.reaches(from, to) && self.random.random::<f64>() >= LOSS {
            self.schedule(DELAY, to, Step::Hear(Box::new(beat)));
        }
    }

    fn tell_all(&mut self, own: usize) {
        let targets = self.members[own].view.targets(address(own));
        let sample_addresses = self.members[own].view.sample_addresses(self.members[own].sequence);
        targets.into_iter().for_each(|to| self.send(own, number_at(to), sample_addresses.clone()));
    }

    fn play(&mut self, own: usize, step: Step) {
        match step {
            Step::Start => {
                self.members[own].started = self.now;
                self.schedule(time::Duration::ZERO, own, Step::Beat);
                self.schedule(LOOK, own, Step::Look);
            }
            Step::Beat => {
                self.tell_all(own);
                let interval = self.members[own].view.heartbeat_interval();
                self.schedule(interval, own, Step::Beat);
            }
            // Nobody hears before it has started.
            Step::Hear(_) if self.members[own].started == units::MonoTime::default() => {}
            Step::Hear(beat) => self.receive(own, *beat),
            Step::Look => self.look(own),
            Step::Got(from, list) => self.get(own, from, list),
            Step::Change => {
                self.revision += 1;
                self.members[own].list = self.revision;
                self.tell_all(own);
                self.schedule(CHANGES, own, Step::Change);
            }
        }
    }

    fn receive(&mut self, own: usize, beat: MemberHeartbeat) {
        let from = number_at(beat.address);
        let sequence = self.members[own].sequence;
        let view = &mut self.members[own].view;
        let welcome = view.welcome(&beat);
        let joined = view.receive(self.now, beat);
        let unmet = view.take_uncontacted(address(own));
        let sample_addresses = view.sample_addresses(sequence);
        if joined && welcome.is_empty() {
            self.send(own, from, sample_addresses.clone());
        }
        for others in welcome.into_iter().filter(|_| joined) {
            self.send(own, from, others);
        }
        unmet.into_iter().for_each(|to| self.send(own, number_at(to), sample_addresses.clone()));
    }

    /// What a member does that knows nothing yet.
    fn look(&mut self, own: usize) {
        if self.members[own].known.is_some() || self.members[own].reading {
            return;
        }
        let near: ids::DataCenterId = "a".parse().expect("a valid name");
        let view = &self.members[own].view;
        let age = self.now.since(self.members[own].started);
        let settled = view.is_settled(self.now) || age >= END / 4;
        let is_seed = own < SEEDS && self.way == SourceWay::Any;
        let sources = match self.way {
            SourceWay::Any => view.any_sources(self.now, &near),
            SourceWay::Newest => view.list_sources(self.now, 0.into(), &near),
        };
        let sources: Vec<_> = sources.iter().map(|beat| number_at(beat.address)).collect();
        if let Some(source) = sources.choose(&mut self.random).copied() {
            self.fetch(own, source);
        } else if (is_seed || (settled && own < SEEDS)) && !self.members[own].cut {
            self.readers += 1;
            self.members[own].reading = true;
            let revision = self.revision;
            self.schedule(READ, own, Step::Got(None, revision));
        } else {
            self.schedule(LOOK, own, Step::Look);
        }
    }

    fn fetch(&mut self, own: usize, source: usize) {
        let bytes = self.bytes;
        let cut_off = !self.reaches(own, source);
        let giver = &mut self.members[source];
        let busy = giver.sending >= 8 && (giver.sending + 1) * bytes > MAX_BYTES;
        if giver.list == 0 || busy || cut_off {
            let pause = time::Duration::from_secs_f64(self.random.random_range(0.05..0.15));
            return self.schedule(pause, own, Step::Look);
        }
        giver.sending += 1;
        giver.given += 1;
        let list = giver.list;
        let takes = bytes * giver.sending / LINK + 3;
        self.members[own].reading = true;
        let takes = time::Duration::from_millis(takes as u64);
        self.schedule(takes, own, Step::Got(Some(source), list));
    }

    fn get(&mut self, own: usize, from: Option<usize>, list: u64) {
        if let Some(from) = from {
            self.members[from].sending -= 1;
        }
        let member = &mut self.members[own];
        (member.list, member.known, member.reading) = (list, Some(self.now), false);
        member.watches = from.is_none();
        if member.watches {
            self.schedule(CHANGES, own, Step::Change);
        }
        self.tell_all(own);
    }
}

fn name(number: usize) -> ids::InstanceId {
    format!("m{number}").parse().expect("a valid name")
}

fn address(number: usize) -> net::SocketAddrV4 {
    let [.., high, low] = number.to_be_bytes();
    net::SocketAddrV4::new(net::Ipv4Addr::new(10, 0, high, low), 7_000)
}

fn number_at(address: net::SocketAddrV4) -> usize {
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}
