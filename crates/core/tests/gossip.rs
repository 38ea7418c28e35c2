//! News among members, in virtual time: who knows it when, and what that costs.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_core::gossip::{self, GossipCause};

/// Datagrams lost, of all.
const LOST: f64 = 0.01;
/// Milliseconds of one step: about a datagram's way within a region.
const STEP_MS: u64 = 5;

/// Members, and which of them reach each other.
struct Fleet {
    knows: Vec<bool>,
    /// Until when the first half does not reach the second, milliseconds.
    cut_until: u64,
    messages: usize,
    random: ChaCha8Rng,
}

impl Fleet {
    fn new(members: usize, cut_until: u64, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { knows: vec![false; members], cut_until, messages: 0, random }
    }

    fn send(&mut self, now: u64, from: usize, to: usize) -> bool {
        self.messages += 1;
        let half = self.knows.len() / 2;
        let cut = now < self.cut_until && (from < half) != (to < half);
        !cut && self.random.random::<f64>() >= LOST
    }

    fn send_to(&mut self, now: u64, from: usize, cause: GossipCause) {
        let alive = (0..self.knows.len()).filter(|to| *to != from);
        for to in gossip::targets(cause, alive, &mut self.random) {
            if self.send(now, from, to) {
                self.knows[to] = true;
            }
        }
    }

    fn unknowing(&self) -> usize {
        self.knows.iter().filter(|knows| !**knows).count()
    }

    /// When all know what the first finds out at 0, milliseconds; with `found` it tells all at once.
    fn run(&mut self, found: bool) -> u64 {
        self.knows[0] = true;
        if found {
            self.send_to(0, 0, GossipCause::Found);
        }
        let interval = gossip::REPEAT_INTERVAL.as_millis() as u64;
        let turns: Vec<_> =
            self.knows.iter().map(|_| self.random.random_range(0..interval)).collect();
        let mut now = 0;
        while self.unknowing() > 0 && now < 60_000 {
            now += STEP_MS;
            for (member, turn) in turns.iter().enumerate() {
                if now % interval / STEP_MS == turn / STEP_MS && self.knows[member] {
                    self.send_to(now, member, GossipCause::Repeat);
                }
            }
        }
        now
    }
}

/// Longest time over some seeds, and messages of the last run.
fn longest(members: usize, cut_until: u64, found: bool) -> (u64, usize) {
    let run = |seed| {
        let mut fleet = Fleet::new(members, cut_until, seed);
        (fleet.run(found), fleet.messages)
    };
    (0..20).map(run).max().expect("some runs")
}

#[test]
fn all_members_know_within_seconds_also_behind_a_cut() {
    // An upstream that leaves serves on for two seconds; a cut is felt for three behind its end.
    let (within, behind_cut) = (2_000, 5_000);
    for members in [6, 300] {
        let (told, messages) = longest(members, 0, true);
        let (repeated, _) = longest(members, 0, false);
        let (cut, _) = longest(members, 5_000, true);
        println!(
            "{members} members: {told} ms and {messages} messages; {repeated} ms by repeats alone; \
             {cut} ms with a cut in halves of 5,000 ms"
        );
        assert!(told <= within, "{members}: {told} ms");
        assert!(cut <= 5_000 + behind_cut, "{members}: {cut} ms behind a cut");
    }
}

/// Told once, before any repeat: whom a lost datagram leaves out.
#[test]
fn one_telling_reaches_nearly_all_at_once() {
    let left_out = |seed| {
        let mut fleet = Fleet::new(300, 0, seed);
        fleet.knows[0] = true;
        fleet.send_to(0, 0, GossipCause::Found);
        assert_eq!(fleet.messages, 299);
        fleet.unknowing()
    };
    let mean = (0..100).map(left_out).sum::<usize>() as f64 / 100.0;
    println!("{mean:.1} of 300 are left out");
    assert!(mean < 6.0);
}

/// Who has woken, or met others behind a start, asks three: one answer is enough.
#[test]
fn who_asks_three_hears_of_it() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let missed = (0..10_000).filter(|_| {
        let asked = gossip::targets(GossipCause::Woke, 0..300, &mut random);
        assert_eq!(asked.len(), 3);
        asked.iter().all(|_| random.random::<f64>() < 2.0 * LOST)
    });
    assert!(missed.count() <= 1);
    assert!(gossip::requests_from_met(2) && !gossip::requests_from_met(3));
}
