//! A store that returns from an older copy, before the members of one data centre in virtual time: when all know the
//! next change, and what the store is asked meanwhile. Data centres follow the store apart from each other.

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

/// One way of a datagram.
const DELAY: time::Duration = time::Duration::from_millis(1);
/// Part of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// Time between two looks of a member at what others have.
const LOOK: time::Duration = time::Duration::from_millis(150);
/// Time of a call to the store, and calls of a read of everything.
const CALL: time::Duration = time::Duration::from_millis(8);
const READ_CALLS: u32 = 4;
/// First and longest pause after a call that failed.
const PAUSES: (time::Duration, time::Duration) =
    (time::Duration::from_millis(100), time::Duration::from_millis(800));
/// Time for what differs from a member.
const FETCH: time::Duration = time::Duration::from_millis(5);
/// The store goes away, returns, and takes the next change.
const AWAY_MS: u64 = 20_000;
const BACK_MS: u64 = 22_000;
const CHANGED_MS: u64 = 22_100;
const END_MS: u64 = 32_000;
/// Time within which a leaving upstream gets no more work.
const DRAIN_TIME: time::Duration = time::Duration::from_secs(2);

const FORMER: StoreRevision = StoreRevision { era: StoreEra(1), number: 90 };
const COPY: StoreRevision = StoreRevision { era: StoreEra(2), number: 70 };
const NEXT: StoreRevision = StoreRevision { era: StoreEra(2), number: 71 };

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

#[derive(Debug)]
enum Step {
    Beat,
    Look,
    Hear(Box<MemberHeartbeat>),
    /// What differs has come from a member.
    Got(StoreRevision),
    /// The store is called; it answers or not.
    Call,
    /// All of the store has been read.
    Read,
    /// The store has a change for a watcher.
    Change,
}

struct Member {
    view: MemberView,
    sequence: u64,
    list: StoreRevision,
    watches: bool,
    /// Whether it calls the store, in reach or not.
    calling: bool,
    failed: bool,
    pause: time::Duration,
    missing_since: Option<units::MonoTime>,
    fetching: bool,
    known: Option<units::MonoTime>,
}

struct Drill {
    random: ChaCha8Rng,
    now: units::MonoTime,
    events: event_queue::EventQueue<(usize, Step)>,
    members: Vec<Member>,
    interval: time::Duration,
    calls: u32,
    reads: u32,
}

#[derive(Debug)]
struct DrillOutcome {
    /// When the last member knew the change, after it was written; nothing where one does not.
    last: Option<time::Duration>,
    /// Calls to the store from its loss on, and reads of everything among them.
    calls: u32,
    reads: u32,
}

impl Drill {
    /// So many members of a data centre, of `fleet` in all.
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
            known: None,
        };
        let mut drill = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: units::MonoTime::default(),
            events: event_queue::EventQueue::default(),
            members: (0..count).map(member).collect(),
            interval: MemberView::heartbeat_interval_of(fleet),
            calls: 0,
            reads: 0,
        };
        for own in 0..count {
            let after = drill.interval.mul_f64(drill.random.random());
            // All have met each other.
            for other in (0..count).filter(|other| *other != own) {
                let beat = drill.beat(other);
                drill.members[own].view.receive(drill.now, beat);
            }
            drill.schedule(after, own, Step::Beat);
            let first_look = LOOK.mul_f64(drill.random.random());
            drill.schedule(first_look, own, Step::Look);
        }
        drill
    }

    fn run(mut self) -> DrillOutcome {
        while let Some((now, (own, step))) = self.events.pop_until(at(END_MS)) {
            self.now = now;
            self.play(own, step);
        }
        let known: Option<Vec<_>> = self.members.iter().map(|member| member.known).collect();
        let last = known.and_then(|known| known.into_iter().max());
        DrillOutcome {
            last: last.map(|last| last.since(at(CHANGED_MS))),
            calls: self.calls,
            reads: self.reads,
        }
    }

    fn schedule(&mut self, after: time::Duration, own: usize, step: Step) {
        self.events.push(self.now + after, (own, step));
    }

    fn is_away(&self) -> bool {
        at(AWAY_MS) <= self.now && self.now < at(BACK_MS)
    }

    fn beat(&self, own: usize) -> MemberHeartbeat {
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

    fn announce(&mut self, own: usize) {
        self.members[own].sequence += 1;
        let beat = self.beat(own);
        for to in (0..self.members.len()).filter(|to| *to != own) {
            if self.random.random::<f64>() >= LOSS {
                self.events.push(self.now + DELAY, (to, Step::Hear(Box::new(beat.clone()))));
            }
        }
    }

    fn take(&mut self, own: usize, list: StoreRevision) -> bool {
        let member = &mut self.members[own];
        if list <= member.list {
            return false;
        }
        member.list = list;
        if list >= NEXT {
            member.known = Some(self.now);
        }
        true
    }

    fn play(&mut self, own: usize, step: Step) {
        match step {
            Step::Beat => {
                self.announce(own);
                self.schedule(self.interval, own, Step::Beat);
            }
            Step::Hear(beat) => _ = self.members[own].view.receive(self.now, *beat),
            Step::Look => {
                self.look(own);
                self.schedule(LOOK, own, Step::Look);
            }
            Step::Got(list) => {
                self.members[own].fetching = false;
                self.take(own, list);
            }
            Step::Call => self.call(own),
            Step::Read => {
                let list = if self.now < at(CHANGED_MS) { COPY } else { NEXT };
                self.members[own].watches = true;
                self.take(own, list);
                self.announce(own);
                if list < NEXT {
                    self.events.push(at(CHANGED_MS) + CALL, (own, Step::Change));
                }
            }
            Step::Change if !self.is_away() => {
                self.take(own, NEXT);
                self.announce(own);
            }
            Step::Change => {}
        }
    }

    fn look(&mut self, own: usize) {
        let own_beat = self.beat(own);
        let now = self.now;
        let is_lost = now >= at(AWAY_MS) && self.members[own].list.era == FORMER.era;
        let member = &mut self.members[own];
        if member.watches && is_lost {
            // Its connection is reset.
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
        let newest: Vec<_> = sources.iter().map(|beat| beat.list).collect();
        if let (Some(list), false) = (newest.choose(&mut self.random), member.fetching) {
            member.fetching = true;
            let list = *list;
            return self.schedule(FETCH, own, Step::Got(list));
        }
        let missing = member.view.watchers_missing(now, &own_beat);
        member.missing_since = missing.then(|| member.missing_since.unwrap_or(now));
        let missing_for =
            member.missing_since.map_or(time::Duration::ZERO, |since| now.since(since));
        if member.view.should_watch(now, &own_beat, missing_for, member.failed) {
            if now < at(AWAY_MS) {
                member.watches = true;
                self.announce(own);
            } else {
                member.calling = true;
                self.call(own);
            }
        }
    }

    fn call(&mut self, own: usize) {
        self.calls += 1;
        let away = self.is_away();
        let member = &mut self.members[own];
        if away {
            member.failed = true;
            let pause = member.pause.mul_f64(self.random.random_range(0.7..1.3));
            member.pause = (member.pause * 2).min(PAUSES.1);
            let own_beat = self.beat(own);
            let member = &mut self.members[own];
            // The first in order go on; the others leave it to them.
            member.calling =
                member.view.should_watch(self.now, &own_beat, time::Duration::ZERO, true);
            if member.calling {
                self.schedule(pause, own, Step::Call);
            }
            return;
        }
        member.calling = false;
        self.calls += READ_CALLS;
        self.reads += 1;
        self.schedule(CALL * READ_CALLS, own, Step::Read);
    }
}

fn name(number: usize) -> ids::InstanceId {
    format!("m{number}").parse().expect("a valid name")
}

fn address(number: usize) -> net::SocketAddrV4 {
    let [.., high, low] = number.to_be_bytes();
    net::SocketAddrV4::new(net::Ipv4Addr::new(10, 0, high, low), 7_000)
}

/// Fleets, and members of the largest data centre of each.
const SIZES: [(usize, usize); 4] = [(6, 2), (60, 20), (585, 117), (1_170, 234)];

#[test]
fn all_know_the_change_after_a_drill_in_time_at_any_size() {
    for (fleet, count) in SIZES {
        let mut worst = time::Duration::ZERO;
        let (mut calls, mut reads) = (0, 0);
        for seed in 0..10 {
            let outcome = Drill::new(count, fleet, seed).run();
            let last = outcome.last.unwrap_or_else(|| panic!("{fleet}, seed {seed}: {outcome:?}"));
            worst = worst.max(last);
            calls = calls.max(outcome.calls);
            reads = reads.max(outcome.reads);
        }
        println!(
            "{fleet}: last known {worst:?} after it was written, {calls} calls, {reads} whole reads"
        );
        assert!(worst <= DRAIN_TIME, "{fleet}: {worst:?}");
        assert!(reads <= 6, "{fleet}: {reads} members of a data centre read everything");
    }
}
