//! Engines that turn away a part of their prompts and ask for rest, in virtual time: how requests come back behind
//! a rest, and how the planner learns whom a member must not use.

use std::{collections, time};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_core::{
    engine_place::{JobId, PlaceAnswer, PlaceAsk, PlaceEnd},
    fleet_list::ListState,
    ids,
    planner::{
        PlacementPlanner, PlannerOptions,
        ways::{ClosedEngineWay, PlannerWays},
    },
    route_table,
    send_gate::{SendKind, TrialTurn},
    settings::RoutingKind,
    units,
    upstream_list::{UpstreamEntry, UpstreamList},
    upstream_notice::RestReturnWay,
};

const MEMBERS: usize = 6;
const ENGINES: usize = 6;
/// Time between two prompts of all callers.
const ARRIVAL_MS: u64 = 20;
/// From a prompt to its first token, and to its end.
const FIRST_MS: u64 = 60;
const ANSWER_MS: u64 = 1_000;
/// When engines turn prompts away.
const TROUBLE_MS: std::ops::Range<u64> = 1_000..25_000;
/// The rest that they ask for.
const REST: time::Duration = time::Duration::from_secs(3);
/// Attempts that may reach an engine, and places asked for at most.
const ATTEMPTS: u32 = 2;
const MAX_TRIES: u32 = 5;

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

fn engine(number: usize) -> ids::UpstreamId {
    format!("e{number}").parse().expect("a name")
}

fn service() -> ids::ServiceId {
    "models".parse().expect("a name")
}

fn list(way: RestReturnWay) -> UpstreamList {
    let entry = |number| UpstreamEntry {
        name: engine(number),
        service: service(),
        data_center: "a".parse().expect("a name"),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        slots: 16,
        state: ListState::Live,
        cold: time::Duration::ZERO,
    };
    let mut list = UpstreamList::default();
    list.replace(at(0), (0..ENGINES).map(entry).collect(), 1.into());
    list.notices_mut().set_return(way);
    list
}

fn planner() -> PlacementPlanner {
    let shape = route_table::EngineShape {
        slots: 16,
        memory: units::TokenCount(315_000),
        stride: 51.0,
        step_ms: 0.85,
        step_per_writer_ms: 0.004_25,
        step_per_context_ms: 0.002_85,
        read_per_ms: 177.0,
        read_per_pairs_ms: 0.184,
        report_lag_ms: 200.0,
    };
    let options =
        PlannerOptions { routing: RoutingKind::ExpectedStart, ways: PlannerWays::default() };
    let mut planner = PlacementPlanner::new(shape, options);
    let ranked: Vec<_> = (0..ENGINES).map(engine).zip(0..).collect();
    planner.set_engines(at(0), &ranked);
    planner
}

fn ask(number: u64, excluded: Vec<ids::UpstreamId>) -> PlaceAsk {
    PlaceAsk {
        job: JobId { boot: 1, sequence: number },
        prompt: 5_000,
        output: 1_700,
        pause_ms: 250,
        goal_ms: 300,
        goal_left_ms: 300,
        patience_ms: 2_000,
        tight: true,
        worth: 1.0,
        refusable: true,
        resumed: false,
        excluded,
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    sent: u32,
    /// By the planner, for want of room.
    refused: u32,
    /// Turned away at each attempt, or out of tries.
    lost: u32,
    turned_away: u32,
    kept_back: u32,
}

struct Play {
    lists: Vec<UpstreamList>,
    planner: PlacementPlanner,
    /// First tokens and ends that are due.
    due: collections::BTreeMap<u64, Vec<(JobId, bool)>>,
    random: ChaCha8Rng,
    /// Engines that turn prompts away, and the share of them.
    troubled: usize,
    share: f64,
    outcome: Outcome,
    jobs: u64,
}

impl Play {
    fn settle(&mut self, now: u64) {
        let later = self.due.split_off(&(now + 1));
        for (job, ends) in std::mem::replace(&mut self.due, later).into_values().flatten() {
            if ends {
                self.planner.end(at(now), job, PlaceEnd::Done);
            } else {
                self.planner.first_token(at(now), job);
            }
        }
        let running: Vec<_> = self.due.values().flatten().map(|(job, _)| *job).collect();
        running.into_iter().for_each(|job| _ = self.planner.renew(at(now), job, false));
        self.planner.tick(at(now));
    }

    /// One prompt at one member; whether it was served, or refused at once.
    fn serve(&mut self, now: u64, member: usize, closed: ClosedEngineWay) -> bool {
        let mut excluded = Vec::new();
        let mut made = 0;
        for _ in 0..MAX_TRIES {
            if made >= ATTEMPTS {
                return false;
            }
            let turn = TrialTurn::of(excluded.len(), ATTEMPTS);
            let mut all = excluded.clone();
            if closed == ClosedEngineWay::Asked {
                let service = service();
                let names = self.lists[member].closed(at(now), &service, turn);
                all.extend(names.into_iter().cloned());
            }
            self.jobs += 1;
            let Some(PlaceAnswer::Grant(grant)) = self.planner.ask(at(now), ask(self.jobs, all))
            else {
                self.outcome.refused += 1;
                return true;
            };
            let list = &mut self.lists[member];
            if list.permits(at(now), &grant.engine, SendKind::Request, &[]).is_err() {
                self.outcome.kept_back += 1;
                self.planner.end(at(now), grant.job, PlaceEnd::Done);
                excluded.push(grant.engine);
                continue;
            }
            made += 1;
            list.notices_mut().begin(at(now), &grant.engine);
            let troubled = TROUBLE_MS.contains(&now)
                && (0..self.troubled).any(|number| engine(number) == grant.engine);
            if troubled && self.random.random::<f64>() < self.share {
                self.outcome.turned_away += 1;
                list.notices_mut().receive_rest(at(now), &grant.engine, REST);
                self.planner.end(at(now), grant.job, PlaceEnd::Full);
                excluded.push(grant.engine);
                continue;
            }
            list.notices_mut().receive_taken(at(now), &grant.engine);
            self.due.entry(now + FIRST_MS).or_default().push((grant.job, false));
            self.due.entry(now + ANSWER_MS).or_default().push((grant.job, true));
            return true;
        }
        false
    }
}

fn play(
    way: RestReturnWay,
    closed: ClosedEngineWay,
    (troubled, share): (usize, f64),
    seed: u64,
) -> Outcome {
    let mut play = Play {
        lists: (0..MEMBERS).map(|_| list(way)).collect(),
        planner: planner(),
        due: collections::BTreeMap::new(),
        random: ChaCha8Rng::seed_from_u64(seed),
        troubled,
        share,
        outcome: Outcome::default(),
        jobs: 0,
    };
    for now in (0..30_000).step_by(ARRIVAL_MS as usize) {
        play.settle(now);
        let member = play.random.random_range(0..MEMBERS);
        play.outcome.sent += 1;
        let served = play.serve(now, member, closed);
        play.outcome.lost += u32::from(!served);
    }
    play.outcome
}

fn sum(way: RestReturnWay, closed: ClosedEngineWay, trouble: (usize, f64)) -> Outcome {
    let runs = (0..10).map(|seed| play(way, closed, trouble, seed));
    runs.fold(Outcome::default(), |sum, one| Outcome {
        sent: sum.sent + one.sent,
        refused: sum.refused + one.refused,
        lost: sum.lost + one.lost,
        turned_away: sum.turned_away + one.turned_away,
        kept_back: sum.kept_back + one.kept_back,
    })
}

/// Of 15,000 prompts while three of six engines turn away 7 in 10: 67 lost where one goes first behind a rest and who
/// has been turned away keeps off, 130 where all come back at once; 307 asks in vain where the planner is not told.
#[test]
fn one_goes_first_behind_a_rest_and_planners_are_told_whom_to_leave_out() {
    for trouble in [(1, 0.4), (2, 0.4), (2, 1.0), (3, 0.7)] {
        let one = sum(RestReturnWay::One, ClosedEngineWay::Asked, trouble);
        let all = sum(RestReturnWay::All, ClosedEngineWay::Asked, trouble);
        let untold = sum(RestReturnWay::All, ClosedEngineWay::KeptBack, trouble);
        println!("{trouble:?}: one first {one:?}; all {all:?}; planners not told {untold:?}");
        assert!(one.lost <= all.lost, "{trouble:?}: {one:?} {all:?}");
        assert_eq!((one.kept_back, all.kept_back), (0, 0), "no ask in vain");
        assert!(untold.kept_back > 0);
        let served = 1.0 - f64::from(one.lost) / f64::from(one.sent);
        assert!(served >= 0.99, "{trouble:?}: {served:.4}");
    }
}
