//! At most one run for a key: votes under restarts, pauses, lost answers and a changing list.
//!
//! The model moves a small fleet at random and lets askers vote at any time, with any answers
//! lost. An asker runs its call when it may; no key may run twice within the retention.

#![allow(clippy::unwrap_used)]

use std::{collections, time};

use proptest::test_runner;
use slipturn_core::{ids, key_vote, rendezvous, units};

const RETENTION: time::Duration = time::Duration::from_secs(60);
/// Retention and the lag of the list on top of it.
const WINDOW: u64 = 90_000;
/// Time between two looks at the list.
const TICK: u64 = 5_000;

fn now(millis: u64) -> units::MonoTime {
    units::MonoTime(millis * 1_000)
}

fn instance(number: u64) -> ids::InstanceId {
    format!("instance-{number}").parse().unwrap()
}

fn request(number: u64) -> ids::RequestId {
    format!("instance-0:1:{number}").parse().unwrap()
}

fn key() -> key_vote::ScopedKey {
    key_vote::ScopedKey("bluebonnet/rsvp/k".to_owned())
}

/// Instances by number; each has its own memory, and all see one list.
struct Fleet {
    voters: collections::BTreeMap<u64, key_vote::KeyVoter>,
    next: u64,
    clock: u64,
}

impl Fleet {
    fn new(size: u64) -> Self {
        let mut fleet = Self { voters: collections::BTreeMap::new(), next: 0, clock: 0 };
        for _ in 0..size {
            fleet.join();
        }
        fleet
    }

    /// A fleet whose instances have all been up and listed for long enough.
    fn settled(size: u64) -> Self {
        let mut fleet = Self::new(size);
        fleet.pass(WINDOW);
        fleet
    }

    fn join(&mut self) {
        let voter = key_vote::KeyVoter::new(instance(self.next), now(self.clock), RETENTION);
        self.voters.insert(self.next, voter);
        self.next += 1;
        self.publish();
    }

    fn leave(&mut self, number: u64) {
        self.voters.remove(&number);
        self.publish();
    }

    /// The same instance starts again: its memory is gone, its name is not.
    fn restart(&mut self, number: u64) {
        let voter = key_vote::KeyVoter::new(instance(number), now(self.clock), RETENTION);
        self.voters.insert(number, voter);
        self.publish();
    }

    fn publish(&mut self) {
        let names: Vec<_> = self.voters.keys().map(|number| instance(*number)).collect();
        for voter in self.voters.values_mut() {
            voter.update_list(now(self.clock), names.iter());
        }
    }

    fn pass(&mut self, millis: u64) {
        // The list is seen all the while, as ticks do it.
        for _ in 0..millis / TICK {
            self.clock += TICK;
            self.publish();
        }
        for voter in self.voters.values_mut() {
            voter.prune(now(self.clock));
        }
    }

    fn ask(&mut self, number: u64, asker: u64) -> key_vote::VoteAnswer {
        let clock = now(self.clock);
        self.voters.get_mut(&number).unwrap().ask(clock, &key(), &request(asker))
    }

    /// Asks all; the answers of those for which `lost` holds do not arrive.
    fn vote(&mut self, asker: u64, lost: impl Fn(u64) -> bool) -> key_vote::VoteVerdict {
        self.vote_among(asker, |_| true, lost)
    }

    /// Asks those for which `reached` holds.
    fn vote_among(
        &mut self,
        asker: u64,
        reached: impl Fn(u64) -> bool,
        lost: impl Fn(u64) -> bool,
    ) -> key_vote::VoteVerdict {
        let mut tally = key_vote::VoteTally::new(now(self.clock));
        let numbers: Vec<_> = self.voters.keys().copied().filter(|one| reached(*one)).collect();
        for number in numbers {
            let answer = self.ask(number, asker);
            if !lost(number) {
                tally.add(&instance(number), answer);
            }
        }
        tally.verdict(now(self.clock))
    }

    /// The voters of the key, best first.
    fn ranking(&self) -> Vec<u64> {
        let mut numbers: Vec<_> = self.voters.keys().copied().collect();
        let score = |number: &u64| rendezvous::stable_hash(&[&key().0, instance(*number).as_str()]);
        numbers.sort_by_key(|number| std::cmp::Reverse(score(number)));
        numbers
    }
}

fn runs(verdict: &key_vote::VoteVerdict) -> bool {
    matches!(verdict, key_vote::VoteVerdict::Run { .. })
}

#[test]
fn the_first_asker_runs_and_the_second_does_not() {
    let mut fleet = Fleet::settled(6);
    assert!(runs(&fleet.vote(1, |_| false)));
    assert_eq!(fleet.vote(2, |_| false), key_vote::VoteVerdict::Taken(request(1)));
    // The same request may ask again, as after a lost answer.
    assert!(runs(&fleet.vote(1, |_| false)));
}

#[test]
fn a_minority_in_reach_is_not_enough() {
    let mut fleet = Fleet::settled(6);
    let verdict = fleet.vote(1, |number| number >= 3);
    assert_eq!(verdict, key_vote::VoteVerdict::InDoubt { granted: 3, needed: 4 });
    // Its answers were lost, its votes were not: another request does not get the key either.
    assert!(!runs(&fleet.vote(2, |number| number < 3)));
}

#[test]
fn one_restart_costs_no_votes_that_are_needed() {
    let mut fleet = Fleet::settled(6);
    fleet.restart(2);
    assert!(runs(&fleet.vote(1, |_| false)));
}

#[test]
fn a_restarted_instance_abstains_until_the_retention_has_passed() {
    let mut fleet = Fleet::settled(6);
    assert!(runs(&fleet.vote(1, |number| number >= 4)));
    for number in [0, 1, 2] {
        fleet.restart(number);
    }
    // One of the four that voted is left, and it knows; without its answer there is no majority.
    assert!(!runs(&fleet.vote(2, |number| number == 3)));
    fleet.pass(WINDOW);
    assert!(runs(&fleet.vote(3, |_| false)));
}

#[test]
fn replacing_the_fleet_one_by_one_never_hands_a_key_out_twice() {
    let mut fleet = Fleet::settled(6);
    assert!(runs(&fleet.vote(1, |number| number >= 4)));
    for number in 0..6 {
        fleet.leave(number);
        fleet.join();
        fleet.pass(1_000);
        assert!(!runs(&fleet.vote(2 + number, |_| false)), "after {number} replacements");
    }
}

#[test]
fn a_fleet_that_shrank_needs_the_majority_of_the_larger_one() {
    let mut fleet = Fleet::settled(6);
    assert!(runs(&fleet.vote(1, |number| number >= 4)));
    for number in 0..3 {
        fleet.leave(number);
    }
    // Three are left; two of them would be a majority of three, and did not vote before.
    assert!(!runs(&fleet.vote(2, |number| number == 3)));
}

#[test]
fn a_paused_asker_does_not_use_old_votes() {
    let mut fleet = Fleet::settled(6);
    let mut tally = key_vote::VoteTally::new(now(fleet.clock));
    for number in 0..6 {
        let answer = fleet.ask(number, 1);
        tally.add(&instance(number), answer);
    }
    fleet.pass(5_000);
    assert!(!runs(&tally.verdict(now(fleet.clock))));
}

#[test]
fn votes_of_a_key_do_not_grow_with_the_fleet() {
    let mut fleet = Fleet::settled(100);
    let mut granted = 0;
    for number in 0..100 {
        if let key_vote::VoteAnswer::Granted { group } = fleet.ask(number, 1) {
            assert_eq!(group, key_vote::GROUP_SIZE);
            granted += 1;
        }
    }
    assert_eq!(granted, key_vote::GROUP_SIZE);
}

#[test]
fn a_fleet_in_which_few_come_and_go_still_votes() {
    let mut fleet = Fleet::settled(100);
    for number in 0..3 {
        fleet.leave(number);
        fleet.join();
    }
    assert!(runs(&fleet.vote(1, |_| false)));
}

#[test]
fn voters_that_move_up_because_others_left_make_no_second_majority() {
    let mut fleet = Fleet::settled(20);
    let ranking = fleet.ranking();
    let first: Vec<_> = ranking[..4].to_vec();
    assert!(runs(&fleet.vote_among(1, |number| first.contains(&number), |_| false)));
    // All that voted are gone. Others move up in rank, but those that left still count.
    for number in first {
        fleet.leave(number);
    }
    assert!(!runs(&fleet.vote(2, |_| false)));
}

/// One step of a random history.
#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Leave(usize),
    Join,
    Restart(usize),
    /// A new request votes; the bits say who is not reached, and whose answers are lost.
    Vote(u32, u32),
}

fn steps() -> impl proptest::strategy::Strategy<Value = Vec<Step>> {
    use proptest::{prelude::any, prop_oneof, strategy::Strategy as _};
    let step = prop_oneof![
        2 => (5_000_u64..40_000).prop_map(Step::Pass),
        2 => any::<usize>().prop_map(Step::Leave),
        2 => proptest::strategy::Just(Step::Join),
        1 => any::<usize>().prop_map(Step::Restart),
        4 => any::<(u32, u32, u32)>().prop_map(|bits| Step::Vote(bits.0 & bits.1, bits.1 & bits.2 & bits.0)),
    ];
    proptest::collection::vec(step, 1..60)
}

fn check_history(size: u64, history: &[Step]) -> Result<u32, test_runner::TestCaseError> {
    let mut fleet = Fleet::settled(size);
    let (mut last_run, mut asker, mut ran) = (None::<u64>, 0, 0);
    for step in history {
        let pick = |index: &usize| {
            let numbers: Vec<_> = fleet.voters.keys().copied().collect();
            numbers[index % numbers.len()]
        };
        match step {
            Step::Pass(millis) => fleet.pass(*millis),
            Step::Leave(index) if fleet.voters.len() > 2 => fleet.leave(pick(index)),
            Step::Leave(_) => {}
            Step::Join => fleet.join(),
            Step::Restart(index) => fleet.restart(pick(index)),
            Step::Vote(unreached, lost) => {
                asker += 1;
                let reached = |number: u64| unreached >> (number % 32) & 1 == 0;
                let lost = |number: u64| lost >> (number % 31) & 1 == 1;
                let verdict = fleet.vote_among(asker, reached, lost);
                if runs(&verdict) {
                    let since = last_run.map(|last| fleet.clock - last);
                    let retention = u64::try_from(RETENTION.as_millis()).unwrap();
                    proptest::prop_assert!(since.is_none_or(|since| since >= retention));
                    last_run = Some(fleet.clock);
                    ran += 1;
                }
            }
        }
    }
    Ok(ran)
}

#[test]
fn no_history_runs_a_key_twice_within_the_retention() {
    let config =
        test_runner::Config { cases: 400, failure_persistence: None, ..Default::default() };
    let random = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, random);
    let ran = std::cell::Cell::new(0);
    let checked = runner.run(&(3_u64..20, steps()), |(size, history)| {
        ran.set(ran.get() + check_history(size, &history)?);
        Ok(())
    });
    checked.unwrap();
    // A rule that never lets anybody run would pass for the wrong reason.
    assert!(ran.get() > 300, "only {} votes were won", ran.get());
}
