//! Simulation of members that start at the same time, in virtual time: they discover each other by heartbeats and fetch
//! documents from each other.

mod event_queue;

use std::{fmt, net, time};

use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use slipturn_core::{ids, member_heartbeat::MemberHeartbeat, membership::MemberView, units};

/// Period over which the starts of the members are spread.
const START_SPREAD: time::Duration = time::Duration::from_millis(500);
/// Delay of a datagram.
const DELAY: time::Duration = time::Duration::from_millis(1);
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// Interval between two attempts of a member without documents to find a source.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Duration of a read of the store.
const READ_TIME: time::Duration = time::Duration::from_millis(60);
/// Bytes of the compressed documents per member: 24 per upstream, and two upstreams per member.
const DOCUMENT_BYTES_PER_MEMBER: usize = 24 * 2;
/// Bandwidth of a member's link in bytes per millisecond, 20 Mbit/s.
const LINK_BYTES_PER_MS: usize = 2_500;
/// Most bytes of documents that a member sends concurrently. A member that serves eight or more fetches refuses another
/// one that would exceed this number.
const MAX_SENDING_BYTES: usize = 480 * 1024;
/// Number of seed members, whose addresses every member knows when it starts.
const SEED_COUNT: usize = 3;
/// Interval between two changes of the list that watchers receive.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// End of the simulation.
const END: time::Duration = time::Duration::from_secs(6);

/// Where a member without documents fetches them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SourceChoice {
    /// From any member that has documents; seeds read the store at once.
    Any,
    /// From members with the newest list; seeds read the store once no new member has joined for a while.
    Newest,
}

/// Result of [`VirtualStart::run`].
#[derive(Debug)]
pub(crate) struct StartOutcome {
    /// Members without documents at the end.
    pub(crate) missing: usize,
    /// Time from the last start until the last member got the documents, in milliseconds; does not count missing members.
    pub(crate) last_ms: u64,
    /// Members that read the store.
    pub(crate) readers: usize,
    /// Most fetches that one member served.
    pub(crate) most_served: usize,
}

impl fmt::Display for StartOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { missing, last_ms, readers, most_served } = self;
        write!(
            f,
            "all but {missing} have documents {last_ms} ms after the last start, {readers} read the store, at most \
             {most_served} fetches served by one"
        )
    }
}

/// An event of a member.
#[derive(Debug)]
enum Step {
    Start,
    SendHeartbeats,
    /// Tries to find a source of the documents.
    Retry,
    /// A heartbeat has arrived.
    Heartbeat(Box<MemberHeartbeat>),
    /// Documents with this revision of the list have arrived from a member, or from the store if `None`.
    Received(Option<usize>, u64),
    /// The store reports a change to a watcher.
    Change,
}

#[derive(Debug)]
struct Event {
    to: usize,
    step: Step,
}

/// A member, which has no documents when it starts.
struct StartingMember {
    view: MemberView,
    /// Whether the member is cut off from the other members and the store.
    cut: bool,
    /// Start time; zero before the start.
    started: units::MonoTime,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// Revision of the member's list; 0 without documents.
    list: u64,
    /// When the member got the documents.
    received_at: Option<units::MonoTime>,
    /// Whether a fetch of the documents is in progress.
    fetching: bool,
    /// Whether the member watches the store.
    watches: bool,
    /// Number of fetches that the member is serving.
    serving: usize,
    /// Number of fetches that the member has served or is serving.
    served: usize,
}

/// The members of a fleet that start together, and the state of the store.
pub(crate) struct VirtualStart {
    choice: SourceChoice,
    random: ChaCha8Rng,
    now: units::MonoTime,
    events: event_queue::EventQueue<Event>,
    members: Vec<StartingMember>,
    /// Size of the compressed documents of the whole fleet.
    bytes: usize,
    /// Revision of the list in the store.
    revision: u64,
    /// Number of members that read the store.
    readers: usize,
}

impl VirtualStart {
    /// A fleet of `count` members, of which the share `cut` reaches neither the other members nor the store.
    pub(crate) fn new(count: usize, cut: f64, choice: SourceChoice, seed: u64) -> Self {
        let seeds: Vec<_> = (0..SEED_COUNT.min(count)).map(address).collect();
        let unreachable = (count as f64 * cut) as usize;
        let member = |number| StartingMember {
            view: MemberView::new(name(number), seeds.clone()),
            // The seeds are the first members and so are not cut off.
            cut: number >= count - unreachable,
            started: units::MonoTime::default(),
            sequence: 0,
            list: 0,
            received_at: None,
            fetching: false,
            watches: false,
            serving: 0,
            served: 0,
        };
        let mut start = Self {
            choice,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: units::MonoTime::default(),
            events: event_queue::EventQueue::default(),
            members: (0..count).map(member).collect(),
            bytes: count * DOCUMENT_BYTES_PER_MEMBER,
            revision: 1,
            readers: 0,
        };
        for number in 0..count {
            let after = START_SPREAD.mul_f64(start.random.random());
            start.schedule(after, number, Step::Start);
        }
        start
    }

    /// Runs until all members that are not cut off have the documents, or until [`END`].
    pub(crate) fn run(&mut self) -> StartOutcome {
        while let Some((at, event)) = self.events.pop_until(units::MonoTime::from_span(END)) {
            self.now = at;
            self.handle(event.to, event.step);
            if self.members.iter().all(|member| member.received_at.is_some() || member.cut) {
                break;
            }
        }
        let last_start = self.members.iter().map(|member| member.started).max();
        let last_start = last_start.unwrap_or_default();
        let received = self.members.iter().filter_map(|member| member.received_at);
        let last = received.max().unwrap_or_default();
        StartOutcome {
            missing: self.members.iter().filter(|member| member.received_at.is_none()).count(),
            last_ms: units::whole_millis(last.since(last_start)),
            readers: self.readers,
            most_served: self.members.iter().map(|member| member.served).max().unwrap_or_default(),
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
        let heartbeat = MemberHeartbeat {
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
            self.schedule(DELAY, to, Step::Heartbeat(Box::new(heartbeat)));
        }
    }

    fn announce(&mut self, own: usize) {
        let targets = self.members[own].view.targets(address(own));
        let sample_addresses = self.members[own].view.sample_addresses(self.members[own].sequence);
        targets.into_iter().for_each(|to| self.send(own, number_at(to), sample_addresses.clone()));
    }

    fn handle(&mut self, own: usize, step: Step) {
        match step {
            Step::Start => {
                self.members[own].started = self.now;
                self.schedule(time::Duration::ZERO, own, Step::SendHeartbeats);
                self.schedule(RETRY_INTERVAL, own, Step::Retry);
            }
            Step::SendHeartbeats => {
                self.announce(own);
                let interval = self.members[own].view.heartbeat_interval();
                self.schedule(interval, own, Step::SendHeartbeats);
            }
            // Members receive nothing before their start.
            Step::Heartbeat(_) if self.members[own].started == units::MonoTime::default() => {}
            Step::Heartbeat(heartbeat) => self.receive(own, *heartbeat),
            Step::Retry => self.find_documents(own),
            Step::Received(from, list) => self.receive_documents(own, from, list),
            Step::Change => {
                self.revision += 1;
                self.members[own].list = self.revision;
                self.announce(own);
                self.schedule(CHANGE_INTERVAL, own, Step::Change);
            }
        }
    }

    fn receive(&mut self, own: usize, heartbeat: MemberHeartbeat) {
        let from = number_at(heartbeat.address);
        let sequence = self.members[own].sequence;
        let view = &mut self.members[own].view;
        let newcomer_addresses = view.addresses_for_newcomer(&heartbeat);
        let joined = view.receive(self.now, heartbeat);
        let uncontacted = view.take_uncontacted(address(own));
        let sample_addresses = view.sample_addresses(sequence);
        if joined && newcomer_addresses.is_empty() {
            self.send(own, from, sample_addresses.clone());
        }
        for others in newcomer_addresses.into_iter().filter(|_| joined) {
            self.send(own, from, others);
        }
        uncontacted
            .into_iter()
            .for_each(|to| self.send(own, number_at(to), sample_addresses.clone()));
    }

    /// Fetches the documents if the member has none, or schedules another attempt.
    fn find_documents(&mut self, own: usize) {
        if self.members[own].received_at.is_some() || self.members[own].fetching {
            return;
        }
        let near: ids::DataCenterId = "a".parse().expect("a valid name");
        let view = &self.members[own].view;
        let age = self.now.since(self.members[own].started);
        let settled = view.is_settled(self.now) || age >= END / 4;
        let is_seed = own < SEED_COUNT && self.choice == SourceChoice::Any;
        let sources = match self.choice {
            SourceChoice::Any => view.any_sources(self.now, &near),
            SourceChoice::Newest => view.list_sources(self.now, 0.into(), &near),
        };
        let sources: Vec<_> =
            sources.iter().map(|heartbeat| number_at(heartbeat.address)).collect();
        if let Some(source) = sources.choose(&mut self.random).copied() {
            self.fetch(own, source);
        } else if (is_seed || (settled && own < SEED_COUNT)) && !self.members[own].cut {
            self.readers += 1;
            self.members[own].fetching = true;
            let revision = self.revision;
            self.schedule(READ_TIME, own, Step::Received(None, revision));
        } else {
            self.schedule(RETRY_INTERVAL, own, Step::Retry);
        }
    }

    fn fetch(&mut self, own: usize, source: usize) {
        let bytes = self.bytes;
        let unreachable = !self.reaches(own, source);
        let source_member = &mut self.members[source];
        let busy =
            source_member.serving >= 8 && (source_member.serving + 1) * bytes > MAX_SENDING_BYTES;
        if source_member.list == 0 || busy || unreachable {
            let pause = time::Duration::from_secs_f64(self.random.random_range(0.05..0.15));
            return self.schedule(pause, own, Step::Retry);
        }
        source_member.serving += 1;
        source_member.served += 1;
        let list = source_member.list;
        let duration_ms = bytes * source_member.serving / LINK_BYTES_PER_MS + 3;
        self.members[own].fetching = true;
        let duration = time::Duration::from_millis(duration_ms as u64);
        self.schedule(duration, own, Step::Received(Some(source), list));
    }

    fn receive_documents(&mut self, own: usize, from: Option<usize>, list: u64) {
        if let Some(from) = from {
            self.members[from].serving -= 1;
        }
        let member = &mut self.members[own];
        (member.list, member.received_at, member.fetching) = (list, Some(self.now), false);
        member.watches = from.is_none();
        if member.watches {
            self.schedule(CHANGE_INTERVAL, own, Step::Change);
        }
        self.announce(own);
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
