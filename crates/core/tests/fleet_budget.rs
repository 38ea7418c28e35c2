//! The fleet's retry budget: the shares of the members, and the quota that a coordinator grants.

use std::{collections, time};

use slipturn_core::{
    fleet_budget::{RetryBound, RetryShare},
    planner::modes::RetryOrderMode,
    quota_ledger::QuotaLedger,
    quota_permit::{PermitRequest, PermitResponse},
    retry_need::RetryNeed,
    units,
};

const BOUND: RetryBound =
    RetryBound { ratio: 0.2, extra: 100.0, window: time::Duration::from_secs(10) };

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

/// Members with a coordinator that all of them can reach, or one for each side of a partition.
struct Fleet {
    shares: Vec<RetryShare>,
    coordinators: Vec<QuotaLedger<()>>,
    /// Number of members as each member sees it; `None` if it is unknown.
    known_members: Option<usize>,
}

impl Fleet {
    /// Creates a fleet whose `coordinators` each grant `part` of the quota, from time 0 on.
    fn new(members: usize, known: Option<usize>, coordinators: usize, part: f64) -> Self {
        let coordinator = |_| {
            let mut ledger = QuotaLedger::default();
            ledger.set_coordinated(
                at(0),
                &collections::BTreeMap::from([((), BOUND.coordinator_bound(part, known))]),
            );
            ledger
        };
        Self {
            shares: (0..members).map(|_| RetryShare::new(BOUND)).collect(),
            coordinators: (0..coordinators).map(coordinator).collect(),
            known_members: known,
        }
    }

    /// Takes a retry for a member, from its own share or by a permit of its coordinator; returns whether a retry was left.
    fn take(&mut self, now: u64, member: usize) -> bool {
        self.take_for(now, member, RetryNeed::Begun)
    }

    /// Like [`Self::take`], for a retry of the given priority.
    fn take_for(&mut self, now: u64, member: usize, need: RetryNeed) -> bool {
        if self.shares[member].take(at(now), self.known_members) {
            return true;
        }
        let coordinator = member % self.coordinators.len();
        let request = PermitRequest { wanted: 1, patience_ms: 0 };
        let part = need.reserved_part();
        let response = self.coordinators[coordinator].request_reserving(
            at(now),
            &(),
            member as u64,
            &request,
            part,
        );
        matches!(response, Some(PermitResponse::Granted { .. }))
    }

    /// Most retries within any window of [`BOUND`] (10 s), when every member attempts three retries every 100 ms. The
    /// attempts begin at `from`, in milliseconds, and last for 30 s.
    fn most_in_window(&mut self, from: u64) -> usize {
        let mut taken = Vec::new();
        for now in (from..from + 30_000).step_by(100) {
            for member in 0..self.shares.len() {
                taken.extend((0..3).filter(|_| self.take(now, member)).map(|_| now));
            }
        }
        let window = BOUND.window.as_millis() as u64;
        let until = |first: usize| taken.partition_point(|at| *at < taken[first] + window);
        (0..taken.len()).map(|first| until(first) - first).max().unwrap_or(0)
    }
}

/// Guards against more retries in a window than the fixed quota allows: with an agreed or unknown number of members,
/// right after a start of all members, and in a partition that the halves have not detected yet or after which they
/// consider each other gone.
#[test]
fn retries_of_all_members_stay_within_the_fixed_quota() {
    for members in [1_usize, 3, 6, 60, 300, 380] {
        let cases = [
            ("agreed number of members", Some(members), 1, 1.0, 60_000),
            ("unknown number of members", None, 1, 1.0, 60_000),
            ("just started", None, 1, 1.0, 0),
            ("undetected partition", Some(members), 2, 1.0, 60_000),
            ("detected partition", Some(members.div_ceil(2)), 2, 0.5, 60_000),
            ("other half considered gone", Some(members.div_ceil(2)), 2, 1.0, 60_000),
        ];
        for (case, known, coordinators, part, from) in cases {
            let most = Fleet::new(members, known, coordinators, part).most_in_window(from);
            println!("{members} members, {case}: {most} in a window");
            assert!(most <= 100, "{members} members, {case}: {most}");
        }
    }
}

/// Guards against a part of the quota, granted by a coordinator, that is unusable in large fleets: with one failed call
/// at each of 300 members, or with 300 failed calls at one of them.
#[test]
fn the_coordinators_part_is_available_to_all_members_or_to_one() {
    let mut each = Fleet::new(300, Some(300), 1, 1.0);
    let taken = (0..300).filter(|member| each.take(60_000, *member)).count();
    let mut one = Fleet::new(300, Some(300), 1, 1.0);
    let taken_by_one = (0..300).filter(|_| one.take(60_000, 7)).count();
    println!(
        "retries: {taken} of 300 with one for each member, {taken_by_one} of 300 by one member"
    );
    assert!(taken >= 10 && taken_by_one >= 10);
}

#[test]
fn a_member_that_does_not_know_the_number_of_members_has_a_smaller_share() {
    let taken = |members| {
        let mut share = RetryShare::new(BOUND);
        (0..1_000).filter(|_| share.take(at(0), members)).count()
    };
    assert!(taken(None) < taken(Some(6)));
}

#[test]
fn requests_raise_the_share_and_used_retries_expire() {
    let mut share = RetryShare::new(BOUND);
    for request in 0..100 {
        share.count_request(at(request));
    }
    let mut taken = |now| (0..1_000).filter(|_| share.take(at(now), Some(6))).count();
    // The share is 17 retries: twelve for the 100 requests, and five as the part of one of six members in the evenly
    // split part of the quota.
    assert_eq!(taken(100), 17);
    assert_eq!(taken(5_000), 0);
    assert!(taken(10_200) > 0);
}

/// Retries needed and made in a storm.
#[derive(Debug, Default, Clone, Copy)]
struct StormResult {
    /// Retries of partly delivered answers: needed, made.
    begun: (usize, usize),
    /// Retries of all other requests: needed, made.
    others: (usize, usize),
}

/// Simulates 20 s in which many attempts are slow and some fail, at all members in turn. Every two seconds an upstream
/// crashes, which breaks `broken` partly delivered answers.
fn storm(members: usize, order: RetryOrderMode, broken: usize) -> StormResult {
    let mut fleet = Fleet::new(members, Some(members), 1, 1.0);
    let mut result = StormResult::default();
    let mut turn = 0;
    let mut retry = |now: u64, need: RetryNeed, result: &mut StormResult| {
        turn += 1;
        let made = fleet.take_for(now, turn * 7 % members, order.need(need));
        let sums = if need == RetryNeed::Begun { &mut result.begun } else { &mut result.others };
        sums.0 += 1;
        sums.1 += usize::from(made);
    };
    for now in (60_000..80_000).step_by(50) {
        retry(now, RetryNeed::Early, &mut result);
        if now % 200 == 0 {
            retry(now, RetryNeed::Failed, &mut result);
        }
        if now % 2_000 == 1_000 {
            (0..broken).for_each(|_| retry(now, RetryNeed::Begun, &mut result));
        }
    }
    result
}

/// Guards against early retries, which only save time, using up the quota, so that partly delivered answers are lost.
/// Also guards against a reservation for partly delivered answers that costs many of the other retries while no answer
/// breaks.
#[test]
fn retries_of_partly_delivered_answers_have_priority() {
    for members in [6, 60, 300] {
        let [arrival, by_need] = [RetryOrderMode::Arrival, RetryOrderMode::ByNeed];
        let (before, after) = (storm(members, arrival, 6), storm(members, by_need, 6));
        println!("{members} members, in order of arrival {before:?}, by need {after:?}");
        assert!(after.begun.1 >= before.begun.1 * 3, "{members} members");
        assert!(after.others.1 > 0, "{members} members");
        let (before, after) = (storm(members, arrival, 0), storm(members, by_need, 0));
        println!("without broken answers: {} and {}", before.others.1, after.others.1);
        assert!(after.others.1 * 10 >= before.others.1 * 9, "{members} members");
    }
}
