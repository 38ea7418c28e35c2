//! The fleet's retries: each member's own share, and what one keeps for all.

use std::{collections, time};

use slipturn_core::{
    fleet_budget::{RetryBound, RetryShare},
    planner::ways::RetryOrderWay,
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

/// Members with a coordinator among them, which each can reach; behind a cut one on each side.
struct Fleet {
    shares: Vec<RetryShare>,
    keepers: Vec<QuotaLedger<()>>,
    /// Members that each believes there are.
    members: Option<usize>,
}

impl Fleet {
    /// So many members that have kept what they keep for long; `part` of it each of so many keepers.
    fn new(members: usize, known: Option<usize>, keepers: usize, part: f64) -> Self {
        let coordinator = |_| {
            let mut ledger = QuotaLedger::default();
            ledger.set_coordinated(
                at(0),
                &collections::BTreeMap::from([((), BOUND.kept(part, known))]),
            );
            ledger
        };
        Self {
            shares: (0..members).map(|_| RetryShare::new(BOUND)).collect(),
            keepers: (0..keepers).map(coordinator).collect(),
            members: known,
        }
    }

    /// Whether a member may make a retry, by its own share or its coordinator's leave.
    fn takes(&mut self, now: u64, member: usize) -> bool {
        self.takes_for(now, member, RetryNeed::Begun)
    }

    /// The same for a retry that saves so much.
    fn takes_for(&mut self, now: u64, member: usize, need: RetryNeed) -> bool {
        if self.shares[member].take(at(now), self.members) {
            return true;
        }
        let coordinator = member % self.keepers.len();
        let ask = PermitRequest { wanted: 1, patience_ms: 0 };
        let part = need.reserved_part();
        let answer =
            self.keepers[coordinator].request_reserving(at(now), &(), member as u64, &ask, part);
        matches!(answer, Some(PermitResponse::Granted { .. }))
    }

    /// Most retries in any window, where all try all the while for three of them from `from` on.
    fn most(&mut self, from: u64) -> usize {
        let mut taken = Vec::new();
        for now in (from..from + 30_000).step_by(100) {
            for member in 0..self.shares.len() {
                taken.extend((0..3).filter(|_| self.takes(now, member)).map(|_| now));
            }
        }
        let window = BOUND.window.as_millis() as u64;
        let until = |first: usize| taken.partition_point(|at| *at < taken[first] + window);
        (0..taken.len()).map(|first| until(first) - first).max().unwrap_or(0)
    }
}

/// Members sure of each other, all unsure, all just started, and cut in halves that do not know it yet or take each
/// other for gone.
#[test]
fn all_members_together_stay_inside_the_bound() {
    for members in [1_usize, 3, 6, 60, 300, 380] {
        let cases = [
            ("sure", Some(members), 1, 1.0, 60_000),
            ("unsure", None, 1, 1.0, 60_000),
            ("just started", None, 1, 1.0, 0),
            ("just cut", Some(members), 2, 1.0, 60_000),
            ("cut", Some(members.div_ceil(2)), 2, 0.5, 60_000),
            ("cut for long", Some(members.div_ceil(2)), 2, 1.0, 60_000),
        ];
        for (case, known, keepers, part, from) in cases {
            let most = Fleet::new(members, known, keepers, part).most(from);
            println!("{members} members, {case}: {most} in a window");
            assert!(most <= 100, "{members} members, {case}: {most}");
        }
    }
}

/// One failing call at each of 300 members, or all of them at one: what is kept for all goes to those that need it.
#[test]
fn what_is_kept_for_all_goes_to_those_that_need_it() {
    let mut each = Fleet::new(300, Some(300), 1, 1.0);
    let taken = (0..300).filter(|member| each.takes(60_000, *member)).count();
    let mut one = Fleet::new(300, Some(300), 1, 1.0);
    let taken_by_one = (0..300).filter(|_| one.takes(60_000, 7)).count();
    println!("{taken} of 300 where each has one, {taken_by_one} where one has all");
    assert!(taken >= 10 && taken_by_one >= 10);
}

#[test]
fn an_unsure_member_takes_the_smallest_share() {
    let taken = |members| {
        let mut share = RetryShare::new(BOUND);
        (0..1_000).filter(|_| share.take(at(0), members)).count()
    };
    assert!(taken(None) < taken(Some(6)));
}

#[test]
fn requests_raise_the_share_and_time_gives_it_back() {
    let mut share = RetryShare::new(BOUND);
    for request in 0..100 {
        share.count_request(at(request));
    }
    let mut taken = |now| (0..1_000).filter(|_| share.take(at(now), Some(6))).count();
    // Twelve by the requests, five by the split.
    assert_eq!(taken(100), 17);
    assert_eq!(taken(5_000), 0);
    assert!(taken(10_200) > 0);
}

/// What came of a storm: retries wished for and made, of answers that had begun and of all others.
#[derive(Debug, Default, Clone, Copy)]
struct StormResult {
    begun: (usize, usize),
    others: (usize, usize),
}

/// For 20 s many attempts are slow and some fail, in turn at all members; every two seconds an upstream ends, and
/// some answers are broken off that had begun.
fn storm(members: usize, order: RetryOrderWay, broken: usize) -> StormResult {
    let mut fleet = Fleet::new(members, Some(members), 1, 1.0);
    let mut result = StormResult::default();
    let mut turn = 0;
    let mut wish = |now: u64, need: RetryNeed, result: &mut StormResult| {
        turn += 1;
        let made = fleet.takes_for(now, turn * 7 % members, order.need(need));
        let sums = if need == RetryNeed::Begun { &mut result.begun } else { &mut result.others };
        sums.0 += 1;
        sums.1 += usize::from(made);
    };
    for now in (60_000..80_000).step_by(50) {
        wish(now, RetryNeed::Early, &mut result);
        if now % 200 == 0 {
            wish(now, RetryNeed::Failed, &mut result);
        }
        if now % 2_000 == 1_000 {
            (0..broken).for_each(|_| wish(now, RetryNeed::Begun, &mut result));
        }
    }
    result
}

/// Answers that have begun are lost whole, so their retries come before those that save time; and these lose little
/// where there is nothing else to save.
#[test]
fn retries_that_save_more_go_first() {
    for members in [6, 60, 300] {
        let [arrival, by_need] = [RetryOrderWay::Arrival, RetryOrderWay::ByNeed];
        let (before, after) = (storm(members, arrival, 6), storm(members, by_need, 6));
        println!("{members} members, as they come {before:?}, by need {after:?}");
        assert!(after.begun.1 >= before.begun.1 * 3, "{members} members");
        assert!(after.others.1 > 0, "{members} members");
        let (before, after) = (storm(members, arrival, 0), storm(members, by_need, 0));
        println!("without answers that break: {} and {}", before.others.1, after.others.1);
        assert!(after.others.1 * 10 >= before.others.1 * 9, "{members} members");
    }
}
