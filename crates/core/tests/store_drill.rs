//! Simulation of a store that is restored from an older copy, in virtual time: how long until all members of a data centre
//! know the next change, and how often they call the store. Data centres watch the store independently of each other.

#[path = "support/event_queue.rs"]
mod event_queue;

use std::{net, time};

use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use slipturn_core::{
    ids,
    member_heartbeat::MemberHeartbeat,
    membership::MemberView,
    store_revision::{StoreEra, StoreRevision},
    units,
};

/// Delay of a datagram.
const DELAY: time::Duration = time::Duration::from_millis(1);
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// Interval between two comparisons of a member's list with those of the other members.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Duration of a call to the store.
const CALL_TIME: time::Duration = time::Duration::from_millis(8);
/// Number of calls of a complete read of the store.
const READ_CALLS: u32 = 4;
/// First and longest pause after a call that failed.
const PAUSES: (time::Duration, time::Duration) =
    (time::Duration::from_millis(100), time::Duration::from_millis(800));
/// Duration of a fetch of the differences between two revisions of the list from another member.
const FETCH_TIME: time::Duration = time::Duration::from_millis(5);
/// Start of the store's outage.
const OUTAGE_START_MS: u64 = 20_000;
/// End of the outage: the store answers again, with the content of the older copy.
const OUTAGE_END_MS: u64 = 22_000;
/// When the first change after the outage is written to the store.
const CHANGED_MS: u64 = 22_100;
/// End of the simulation.
const END_MS: u64 = 32_000;
/// Time after which a leaving upstream must get no more work, and so within which all members must know that it leaves.
const DRAIN_TIME: time::Duration = time::Duration::from_secs(2);

/// The last revision before the outage.
const FORMER: StoreRevision = StoreRevision { era: StoreEra(1), number: 90 };
/// The revision of the older copy from which the store is restored, which starts a new era.
const COPY: StoreRevision = StoreRevision { era: StoreEra(2), number: 70 };
/// The revision of the first change after the outage.
const NEXT: StoreRevision = StoreRevision { era: StoreEra(2), number: 71 };

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

/// An event of a member.
#[derive(Debug)]
enum Step {
    /// Sends heartbeats.
    SendHeartbeats,
    /// Compares the member's list with those of the other members.
    Check,
    /// Receives a heartbeat.
    Heartbeat(Box<MemberHeartbeat>),
    /// Receives this revision of the list from another member.
    Fetched(StoreRevision),
    /// Calls the store, which may be unreachable.
    Call,
    /// Completes a read of the whole store.
    Read,
    /// Receives a change from the store as a watcher.
    Change,
}

struct Member {
    view: MemberView,
    /// Sequence number of the last heartbeat that the member sent.
    sequence: u64,
    /// Revision of the member's list.
    list: StoreRevision,
    /// Whether the member watches the store.
    watches: bool,
    /// Whether the member will repeat a failed call to the store.
    calling: bool,
    /// Whether the member's last call failed.
    failed: bool,
    /// Pause after the next failed call.
    pause: time::Duration,
    /// Since when the member's data centre has had too few watchers.
    missing_since: Option<units::MonoTime>,
    /// Whether a fetch from a member is in progress.
    fetching: bool,
    /// When the member learned of the first change after the outage.
    learned_at: Option<units::MonoTime>,
}

/// The members of a data centre and their store, which has an outage and is restored from an older copy.
struct RestoreSimulation {
    random: ChaCha8Rng,
    now: units::MonoTime,
    events: event_queue::EventQueue<(usize, Step)>,
    members: Vec<Member>,
    /// Interval between the heartbeats of a member, which depends on the size of the whole fleet.
    interval: time::Duration,
    /// Number of calls to the store.
    calls: u32,
    /// Number of complete reads of the store.
    reads: u32,
}

#[derive(Debug)]
struct RestoreOutcome {
    /// Time from the write of the first change after the outage until the last member learned of it; `None` if a member
    /// did not.
    last: Option<time::Duration>,
    /// Number of calls to the store since the start of the outage.
    calls: u32,
    /// Number of complete reads of the store.
    reads: u32,
}

impl RestoreSimulation {
    /// A data centre of `count` members in a fleet of `fleet` members.
    fn new(count: usize, fleet: usize, seed: u64) -> Self {
        let member = |own| Member {
            view: MemberView::new(name(own), (0..3.min(count)).map(address).collect()),
            sequence: 0,
            list: FORMER,
            watches: false,
            calling: false,
            failed: false,
            pause: PAUSES.0,
            missing_since: None,
            fetching: false,
            learned_at: None,
        };
        let mut simulation = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: units::MonoTime::default(),
            events: event_queue::EventQueue::default(),
            members: (0..count).map(member).collect(),
            interval: MemberView::heartbeat_interval_of(fleet),
            calls: 0,
            reads: 0,
        };
        for own in 0..count {
            let after = simulation.interval.mul_f64(simulation.random.random());
            // All members know each other.
            for other in (0..count).filter(|other| *other != own) {
                let heartbeat = simulation.heartbeat(other);
                simulation.members[own].view.receive(simulation.now, heartbeat);
            }
            simulation.schedule(after, own, Step::SendHeartbeats);
            let first_check = CHECK_INTERVAL.mul_f64(simulation.random.random());
            simulation.schedule(first_check, own, Step::Check);
        }
        simulation
    }

    fn run(mut self) -> RestoreOutcome {
        while let Some((now, (own, step))) = self.events.pop_until(at(END_MS)) {
            self.now = now;
            self.handle(own, step);
        }
        let learned: Option<Vec<_>> = self.members.iter().map(|member| member.learned_at).collect();
        let last = learned.and_then(|learned| learned.into_iter().max());
        RestoreOutcome {
            last: last.map(|last| last.since(at(CHANGED_MS))),
            calls: self.calls,
            reads: self.reads,
        }
    }

    fn schedule(&mut self, after: time::Duration, own: usize, step: Step) {
        self.events.push(self.now + after, (own, step));
    }

    fn is_outage(&self) -> bool {
        at(OUTAGE_START_MS) <= self.now && self.now < at(OUTAGE_END_MS)
    }

    fn heartbeat(&self, own: usize) -> MemberHeartbeat {
        let member = &self.members[own];
        MemberHeartbeat {
            name: name(own),
            boot: own as u64,
            sequence: member.sequence,
            address: address(own),
            data_center: "a".parse().expect("a valid name"),
            cpu: 250,
            plans: true,
            leaving: false,
            routes: 1,
            list: member.list,
            watches: member.watches,
            others: Vec::new(),
        }
    }

    /// Sends a heartbeat to all other members.
    fn announce(&mut self, own: usize) {
        self.members[own].sequence += 1;
        let heartbeat = self.heartbeat(own);
        for to in (0..self.members.len()).filter(|to| *to != own) {
            if self.random.random::<f64>() >= LOSS {
                self.events
                    .push(self.now + DELAY, (to, Step::Heartbeat(Box::new(heartbeat.clone()))));
            }
        }
    }

    /// Applies a revision of the list if it is newer than the member's; returns whether it is.
    fn adopt(&mut self, own: usize, list: StoreRevision) -> bool {
        let member = &mut self.members[own];
        if list <= member.list {
            return false;
        }
        member.list = list;
        if list >= NEXT {
            member.learned_at = Some(self.now);
        }
        true
    }

    fn handle(&mut self, own: usize, step: Step) {
        match step {
            Step::SendHeartbeats => {
                self.announce(own);
                self.schedule(self.interval, own, Step::SendHeartbeats);
            }
            Step::Heartbeat(heartbeat) => _ = self.members[own].view.receive(self.now, *heartbeat),
            Step::Check => {
                self.check(own);
                self.schedule(CHECK_INTERVAL, own, Step::Check);
            }
            Step::Fetched(list) => {
                self.members[own].fetching = false;
                self.adopt(own, list);
            }
            Step::Call => self.call(own),
            Step::Read => {
                let list = if self.now < at(CHANGED_MS) { COPY } else { NEXT };
                self.members[own].watches = true;
                self.adopt(own, list);
                self.announce(own);
                if list < NEXT {
                    self.events.push(at(CHANGED_MS) + CALL_TIME, (own, Step::Change));
                }
            }
            Step::Change if !self.is_outage() => {
                self.adopt(own, NEXT);
                self.announce(own);
            }
            Step::Change => {}
        }
    }

    /// Detects the loss of the store, fetches a newer list from a member, or starts to watch the store.
    fn check(&mut self, own: usize) {
        let own_heartbeat = self.heartbeat(own);
        let now = self.now;
        let is_lost = now >= at(OUTAGE_START_MS) && self.members[own].list.era == FORMER.era;
        let member = &mut self.members[own];
        if member.watches && is_lost {
            // The outage resets the member's connection to the store.
            member.watches = false;
            member.calling = true;
            self.announce(own);
            return self.call(own);
        }
        if member.calling || member.watches {
            return;
        }
        let near: ids::DataCenterId = "a".parse().expect("a valid name");
        let sources = member.view.list_sources(now, member.list, &near);
        let newest: Vec<_> = sources.iter().map(|heartbeat| heartbeat.list).collect();
        if let (Some(list), false) = (newest.choose(&mut self.random), member.fetching) {
            member.fetching = true;
            let list = *list;
            return self.schedule(FETCH_TIME, own, Step::Fetched(list));
        }
        let missing = member.view.watchers_missing(now, &own_heartbeat);
        member.missing_since = missing.then(|| member.missing_since.unwrap_or(now));
        let missing_for =
            member.missing_since.map_or(time::Duration::ZERO, |since| now.since(since));
        if member.view.should_watch(now, &own_heartbeat, missing_for, member.failed) {
            if now < at(OUTAGE_START_MS) {
                member.watches = true;
                self.announce(own);
            } else {
                member.calling = true;
                self.call(own);
            }
        }
    }

    /// Calls the store, and reads it completely if it answers.
    fn call(&mut self, own: usize) {
        self.calls += 1;
        let outage = self.is_outage();
        let member = &mut self.members[own];
        if outage {
            member.failed = true;
            let pause = member.pause.mul_f64(self.random.random_range(0.7..1.3));
            member.pause = (member.pause * 2).min(PAUSES.1);
            let own_heartbeat = self.heartbeat(own);
            let member = &mut self.members[own];
            // The first members in the order of replacement keep calling the store; the others stop.
            member.calling =
                member.view.should_watch(self.now, &own_heartbeat, time::Duration::ZERO, true);
            if member.calling {
                self.schedule(pause, own, Step::Call);
            }
            return;
        }
        member.calling = false;
        self.calls += READ_CALLS;
        self.reads += 1;
        self.schedule(CALL_TIME * READ_CALLS, own, Step::Read);
    }
}

fn name(number: usize) -> ids::InstanceId {
    format!("m{number}").parse().expect("a valid name")
}

fn address(number: usize) -> net::SocketAddrV4 {
    let [.., high, low] = number.to_be_bytes();
    net::SocketAddrV4::new(net::Ipv4Addr::new(10, 0, high, low), 7_000)
}

/// Sizes of fleets, each with the number of members in its largest data centre.
const SIZES: [(usize, usize); 4] = [(6, 2), (60, 20), (585, 117), (1_170, 234)];

#[test]
fn all_members_know_the_next_change_in_time_after_a_restore_at_any_size() {
    for (fleet, count) in SIZES {
        let mut worst = time::Duration::ZERO;
        let (mut calls, mut reads) = (0, 0);
        for seed in 0..10 {
            let outcome = RestoreSimulation::new(count, fleet, seed).run();
            let last = outcome.last.unwrap_or_else(|| panic!("{fleet}, seed {seed}: {outcome:?}"));
            worst = worst.max(last);
            calls = calls.max(outcome.calls);
            reads = reads.max(outcome.reads);
        }
        println!(
            "{fleet}: known to all {worst:?} after it was written, {calls} calls, {reads} complete reads"
        );
        assert!(worst <= DRAIN_TIME, "{fleet}: {worst:?}");
        assert!(reads <= 6, "{fleet}: {reads} complete reads by members of a data centre");
    }
}
