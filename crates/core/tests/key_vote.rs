//! At most one run for each idempotency key, under restarts, pauses, lost answers and changes of the list of instances.
//!
//! A request with a key runs only with the votes of a majority of the key's voters, instances that remember their votes
//! for the retention. The property test changes a small fleet at random and lets requests collect votes at any time,
//! with any of the answers lost. No key may run twice within the retention.

#![allow(clippy::unwrap_used)]

use std::{collections, time};

use proptest::test_runner;
use slipturn_core::{ids, key_vote, rendezvous, units};

const RETENTION: time::Duration = time::Duration::from_secs(60);
/// Retention plus the longest lag of the list, in milliseconds.
const WINDOW: u64 = 90_000;
/// Time between two updates of the list, in milliseconds.
const TICK: u64 = 5_000;

fn at(millis: u64) -> units::MonoTime {
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

/// Voters by instance number. All instances see the same list.
struct Fleet {
    voters: collections::BTreeMap<u64, key_vote::KeyVoter>,
    /// Number of the next instance that joins.
    next: u64,
    /// Current time, in milliseconds.
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

    /// Creates a fleet whose instances have all been running and listed for the whole window.
    fn settled(size: u64) -> Self {
        let mut fleet = Self::new(size);
        fleet.advance(WINDOW);
        fleet
    }

    fn join(&mut self) {
        let voter = key_vote::KeyVoter::new(instance(self.next), at(self.clock), RETENTION);
        self.voters.insert(self.next, voter);
        self.next += 1;
        self.publish();
    }

    fn leave(&mut self, number: u64) {
        self.voters.remove(&number);
        self.publish();
    }

    /// Restarts an instance under the same name; it loses its record of votes.
    fn restart(&mut self, number: u64) {
        let voter = key_vote::KeyVoter::new(instance(number), at(self.clock), RETENTION);
        self.voters.insert(number, voter);
        self.publish();
    }

    fn publish(&mut self) {
        let names: Vec<_> = self.voters.keys().map(|number| instance(*number)).collect();
        for voter in self.voters.values_mut() {
            voter.update_list(at(self.clock), names.iter());
        }
    }

    fn advance(&mut self, millis: u64) {
        // The list is updated at regular intervals meanwhile, as it is in a running instance.
        for _ in 0..millis / TICK {
            self.clock += TICK;
            self.publish();
        }
        for voter in self.voters.values_mut() {
            voter.prune(at(self.clock));
        }
    }

    /// Requests the vote of one instance for the request with number `requester`.
    fn request_vote(&mut self, number: u64, requester: u64) -> key_vote::VoteAnswer {
        let now = at(self.clock);
        self.voters.get_mut(&number).unwrap().vote(now, &key(), &request(requester))
    }

    /// Requests the votes of all instances; the answers of those for which `lost` is true do not arrive.
    fn vote(&mut self, requester: u64, lost: impl Fn(u64) -> bool) -> key_vote::VoteVerdict {
        self.vote_among(requester, |_| true, lost)
    }

    /// Like [`Self::vote`], but requests the votes only of the instances for which `reached` is true.
    fn vote_among(
        &mut self,
        requester: u64,
        reached: impl Fn(u64) -> bool,
        lost: impl Fn(u64) -> bool,
    ) -> key_vote::VoteVerdict {
        let mut tally = key_vote::VoteTally::new(at(self.clock));
        let numbers: Vec<_> =
            self.voters.keys().copied().filter(|number| reached(*number)).collect();
        for number in numbers {
            let answer = self.request_vote(number, requester);
            if !lost(number) {
                tally.add(&instance(number), answer);
            }
        }
        tally.verdict(at(self.clock))
    }

    /// All instances, from the highest rank for the key to the lowest.
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
fn only_the_first_request_for_a_key_runs() {
    let mut fleet = Fleet::settled(6);
    assert!(runs(&fleet.vote(1, |_| false)));
    assert_eq!(fleet.vote(2, |_| false), key_vote::VoteVerdict::Taken(request(1)));
    // The first request may collect votes again, for example after a lost answer.
    assert!(runs(&fleet.vote(1, |_| false)));
}

#[test]
fn a_request_without_a_majority_does_not_run() {
    let mut fleet = Fleet::settled(6);
    let verdict = fleet.vote(1, |number| number >= 3);
    assert_eq!(verdict, key_vote::VoteVerdict::InDoubt { granted: 3, needed: 4 });
    // Only the answers were lost, not the votes, so another request does not get the key either.
    assert!(!runs(&fleet.vote(2, |number| number < 3)));
}

#[test]
fn a_majority_is_possible_after_one_restart() {
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
    // The restarted instances abstain, and the answer of instance 3 is lost. Instances 4 and 5 recorded the first request,
    // although their answers to it were lost.
    assert!(!runs(&fleet.vote(2, |number| number == 3)));
    fleet.advance(WINDOW);
    assert!(runs(&fleet.vote(3, |_| false)));
}

#[test]
fn a_key_is_not_granted_twice_while_all_instances_are_replaced_one_by_one() {
    let mut fleet = Fleet::settled(6);
    assert!(runs(&fleet.vote(1, |number| number >= 4)));
    for number in 0..6 {
        fleet.leave(number);
        fleet.join();
        fleet.advance(1_000);
        assert!(!runs(&fleet.vote(2 + number, |_| false)), "after {number} replacements");
    }
}

#[test]
fn a_fleet_that_shrank_needs_a_majority_of_its_former_voters() {
    let mut fleet = Fleet::settled(6);
    assert!(runs(&fleet.vote(1, |number| number >= 4)));
    for number in 0..3 {
        fleet.leave(number);
    }
    // Three instances are left, and two answers arrive: a majority of three, but not of the six former voters.
    assert!(!runs(&fleet.vote(2, |number| number == 3)));
}

#[test]
fn a_request_that_was_paused_does_not_use_old_votes() {
    let mut fleet = Fleet::settled(6);
    let mut tally = key_vote::VoteTally::new(at(fleet.clock));
    for number in 0..6 {
        let answer = fleet.request_vote(number, 1);
        tally.add(&instance(number), answer);
    }
    fleet.advance(5_000);
    assert!(!runs(&tally.verdict(at(fleet.clock))));
}

#[test]
fn the_number_of_voters_does_not_grow_with_the_fleet() {
    let mut fleet = Fleet::settled(100);
    let mut granted = 0;
    for number in 0..100 {
        if let key_vote::VoteAnswer::Granted { group } = fleet.request_vote(number, 1) {
            assert_eq!(group, key_vote::GROUP_SIZE);
            granted += 1;
        }
    }
    assert_eq!(granted, key_vote::GROUP_SIZE);
}

#[test]
fn a_majority_is_possible_after_a_few_instances_are_replaced() {
    let mut fleet = Fleet::settled(100);
    for number in 0..3 {
        fleet.leave(number);
        fleet.join();
    }
    assert!(runs(&fleet.vote(1, |_| false)));
}

#[test]
fn instances_that_move_up_in_rank_form_no_second_majority() {
    let mut fleet = Fleet::settled(20);
    let ranking = fleet.ranking();
    let first: Vec<_> = ranking[..4].to_vec();
    assert!(runs(&fleet.vote_among(1, |number| first.contains(&number), |_| false)));
    // All instances that voted leave. Others move up in rank, but those that left still count as voters.
    for number in first {
        fleet.leave(number);
    }
    assert!(!runs(&fleet.vote(2, |_| false)));
}

/// A step of a random history.
#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Leave(usize),
    Join,
    Restart(usize),
    /// A new request collects votes. The numbers are bit masks of instances: those that are not reached, and those whose
    /// answers are lost.
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
    let (mut last_run, mut requester, mut ran) = (None::<u64>, 0, 0);
    for step in history {
        let pick = |index: &usize| {
            let numbers: Vec<_> = fleet.voters.keys().copied().collect();
            numbers[index % numbers.len()]
        };
        match step {
            Step::Pass(millis) => fleet.advance(*millis),
            Step::Leave(index) if fleet.voters.len() > 2 => fleet.leave(pick(index)),
            Step::Leave(_) => {}
            Step::Join => fleet.join(),
            Step::Restart(index) => fleet.restart(pick(index)),
            Step::Vote(unreached, lost) => {
                requester += 1;
                let reached = |number: u64| unreached >> (number % 32) & 1 == 0;
                let lost = |number: u64| lost >> (number % 31) & 1 == 1;
                let verdict = fleet.vote_among(requester, reached, lost);
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
    // The property also holds if no request ever runs, so a number of runs is required.
    assert!(ran.get() > 300, "only {} requests had a majority", ran.get());
}
