//! Spread of a change among members by gossip, in virtual time.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_core::gossip::{self, GossipCause};

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// Length of a simulation step in milliseconds: about the delay of a datagram within a region.
const STEP_MS: u64 = 5;

/// A fleet, of which the two halves may be partitioned.
struct Fleet {
    /// Whether each member knows the change.
    knows: Vec<bool>,
    /// End of the partition in milliseconds; 0 without a partition.
    cut_until: u64,
    /// Messages sent so far.
    messages: usize,
    random: ChaCha8Rng,
}

impl Fleet {
    fn new(members: usize, cut_until: u64, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { knows: vec![false; members], cut_until, messages: 0, random }
    }

    /// Sends a message; returns whether it arrives.
    fn send(&mut self, now: u64, from: usize, to: usize) -> bool {
        self.messages += 1;
        let half = self.knows.len() / 2;
        let partitioned = now < self.cut_until && (from < half) != (to < half);
        !partitioned && self.random.random::<f64>() >= LOSS
    }

    fn send_to(&mut self, now: u64, from: usize, cause: GossipCause) {
        let alive = (0..self.knows.len()).filter(|to| *to != from);
        for to in gossip::targets(cause, alive, &mut self.random) {
            if self.send(now, from, to) {
                self.knows[to] = true;
            }
        }
    }

    /// Number of members that don't know the change.
    fn unaware(&self) -> usize {
        self.knows.iter().filter(|knows| !**knows).count()
    }

    /// Time in milliseconds until all members know a change that the first member learns at time 0, or 60,000 if some do not
    /// by then. With `found`, the first member also broadcasts the change.
    fn run(&mut self, found: bool) -> u64 {
        self.knows[0] = true;
        if found {
            self.send_to(0, 0, GossipCause::Found);
        }
        let interval = gossip::REPEAT_INTERVAL.as_millis() as u64;
        let offsets: Vec<_> =
            self.knows.iter().map(|_| self.random.random_range(0..interval)).collect();
        let mut now = 0;
        while self.unaware() > 0 && now < 60_000 {
            now += STEP_MS;
            for (member, offset) in offsets.iter().enumerate() {
                if now % interval / STEP_MS == offset / STEP_MS && self.knows[member] {
                    self.send_to(now, member, GossipCause::Repeat);
                }
            }
        }
        now
    }
}

/// The longest time of [`Fleet::run`] in milliseconds over 20 seeds, with the number of messages of that run.
fn longest(members: usize, cut_until: u64, found: bool) -> (u64, usize) {
    let run = |seed| {
        let mut fleet = Fleet::new(members, cut_until, seed);
        (fleet.run(found), fleet.messages)
    };
    (0..20).map(run).max().expect("some runs")
}

#[test]
fn all_members_know_a_change_within_seconds_even_after_a_partition() {
    // A leaving upstream keeps serving for two seconds; after a partition, three more seconds are allowed.
    let (within, after_cut) = (2_000, 5_000);
    for members in [6, 300] {
        let (broadcast, messages) = longest(members, 0, true);
        let (repeated, _) = longest(members, 0, false);
        let (partitioned, _) = longest(members, 5_000, true);
        println!(
            "{members} members: {broadcast} ms and {messages} messages; {repeated} ms by periodic rounds alone; \
             {partitioned} ms with a partition of 5,000 ms"
        );
        assert!(broadcast <= within, "{members}: {broadcast} ms");
        assert!(partitioned <= 5_000 + after_cut, "{members}: {partitioned} ms with a partition");
    }
}

/// Before any periodic round, only members whose datagram was lost don't know the change.
#[test]
fn one_broadcast_reaches_nearly_all_members() {
    let missed_members = |seed| {
        let mut fleet = Fleet::new(300, 0, seed);
        fleet.knows[0] = true;
        fleet.send_to(0, 0, GossipCause::Found);
        assert_eq!(fleet.messages, 299);
        fleet.unaware()
    };
    let mean = (0..100).map(missed_members).sum::<usize>() as f64 / 100.0;
    println!("{mean:.1} of 300 members are missed");
    assert!(mean < 6.0);
}

/// A member requests the state of three other members after a pause, or of the first three that it learns of after a start.
/// One answer is enough.
#[test]
fn requests_to_three_members_get_an_answer() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let missed = (0..10_000).filter(|_| {
        let recipients = gossip::targets(GossipCause::Resumed, 0..300, &mut random);
        assert_eq!(recipients.len(), 3);
        recipients.iter().all(|_| random.random::<f64>() < 2.0 * LOSS)
    });
    assert!(missed.count() <= 1);
    assert!(gossip::may_request_state(2) && !gossip::may_request_state(3));
}
