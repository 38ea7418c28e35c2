//! A limit that concerns the sum over all members, kept by ways that are compared in virtual time: the most that goes
//! out in any 4 s, the part of the limit that is used, and what that costs in messages.

use std::{collections, time};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_core::{
    ids,
    permit_cache::{PermitCache, PermitStep},
    quota_ledger::QuotaLedger,
    quota_permit::{PermitRequest, PermitResponse, PermitTerm},
    send_pace::{PaceBound, SendPace},
    units,
};

/// Datagrams lost, of all.
const LOST: f64 = 0.01;
/// A datagram's way within a region, milliseconds.
const WAY_MS: std::ops::RangeInclusive<u64> = 1..=3;
/// Virtual time of one run, milliseconds.
const RUN_MS: u64 = 24_000;
/// The span in which sends are counted, milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Requests that want to go to the upstream, in shares of its limit, where it is short.
const DEMAND: f64 = 10.0;
/// Time for a coordinator's answer, milliseconds; behind it the request goes elsewhere.
const REPLY_MS: u64 = 25;
/// Time behind which a request that was not answered is asked for anew, milliseconds.
const SILENCE_MS: u64 = 100;

/// How a limit is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LimitWay {
    /// Each member keeps an even share of it.
    EvenShare,
    /// Each keeps a share by its part of the demand, told to all each second.
    DemandShare,
    /// One member gives leave for each send.
    KeeperEach,
    /// One member gives leave, also ahead where members send several within a moment.
    KeeperAhead,
}

const WAYS: [LimitWay; 4] =
    [LimitWay::EvenShare, LimitWay::DemandShare, LimitWay::KeeperEach, LimitWay::KeeperAhead];

/// Who asks for the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Busy {
    All,
    One,
}

/// What becomes of keepers: member 0 keeps the limit, unless.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Calm,
    /// It dies after 8 s, and member 1 begins so many milliseconds later.
    Dies(u64),
    /// It stands still from 8 s on for 3 s, believes to be the coordinator still for so many milliseconds, and takes over
    /// again a second later.
    StandsStill(u64),
    /// From 8 to 16 s the members are cut in halves that both have a coordinator, which know it after so many
    /// milliseconds.
    CutInHalves(u64),
}

#[derive(Debug, Clone)]
enum Message {
    Ask(usize, PermitRequest, u64),
    Answer(usize, PermitResponse, u64),
}

struct Member {
    cache: PermitCache<ids::UpstreamId>,
    ledger: QuotaLedger<ids::UpstreamId>,
    /// Its own share, of the ways that have one.
    pace: SendPace,
    /// Requests of the second under way, and of the one before.
    counts: (u32, u32),
    /// What each member told of its demand, as this one has heard it.
    told: Vec<u32>,
}

struct Run {
    way: LimitWay,
    rate: f64,
    /// Requests a second that want to go there.
    demand: f64,
    busy: Busy,
    trouble: Trouble,
    members: Vec<Member>,
    /// Messages under way by their times of arrival, with whom they reach.
    under_way: collections::BTreeMap<u64, Vec<(usize, Message)>>,
    sends: Vec<u64>,
    messages: usize,
    random: ChaCha8Rng,
}

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

thread_local! {
    static UPSTREAM: ids::UpstreamId = "e1".parse().expect("a name");
}

fn upstream() -> ids::UpstreamId {
    UPSTREAM.with(Clone::clone)
}

fn bound(per_second: f64) -> PaceBound {
    PaceBound::of_limit(units::RequestRate::try_from(per_second).expect("a rate"))
}

impl Run {
    fn new(way: LimitWay, members: usize, limit: f64, busy: Busy, trouble: Trouble) -> Self {
        let new = || Member {
            cache: PermitCache::default(),
            ledger: QuotaLedger::default(),
            pace: SendPace::initial(at(0), bound(limit / members as f64)),
            counts: (0, 0),
            told: vec![0; members],
        };
        Self {
            way,
            rate: limit,
            demand: limit * DEMAND,
            busy,
            trouble,
            members: (0..members).map(|_| new()).collect(),
            under_way: collections::BTreeMap::new(),
            sends: Vec::new(),
            messages: 0,
            random: ChaCha8Rng::seed_from_u64(members as u64 + (limit * 10.0) as u64),
        }
    }

    fn play(mut self) -> Figures {
        // Not the one that keeps it.
        let first = if self.busy == Busy::All { 0 } else { self.members.len() - 1 };
        let busy = first..self.members.len();
        let each_ms = self.demand / 1_000.0;
        for now in 1..RUN_MS {
            self.set_keepers(now);
            for (to, message) in self.under_way.remove(&now).unwrap_or_default() {
                if !self.is_still(now, to) {
                    self.receive(now, to, message);
                } else {
                    // It lies in its socket until the process runs again.
                    self.under_way.entry(now + 1).or_default().push((to, message));
                }
            }
            if now % 1_000 == 0 {
                self.tell_demand();
            }
            // As many as whole numbers and chance give.
            for _ in 0..(each_ms + self.random.random::<f64>()) as usize {
                let member = self.random.random_range(busy.clone());
                if !self.is_still(now, member) {
                    self.arrive(now, member);
                }
            }
        }
        Figures::of(&self)
    }

    /// Whether a member does nothing now.
    fn is_still(&self, now: u64, member: usize) -> bool {
        member == 0
            && match self.trouble {
                Trouble::Dies(_) => now > 8_000,
                Trouble::StandsStill(_) => (8_000..11_000).contains(&now),
                _ => false,
            }
    }

    /// Which members believe that they keep the limit, and how much of it.
    fn set_keepers(&mut self, now: u64) {
        let half = self.members.len() / 2;
        let keepers = match self.trouble {
            Trouble::Dies(later) if now > 8_000 + later => vec![(1, 1.0)],
            Trouble::Dies(_) if now > 8_000 => vec![],
            Trouble::StandsStill(believes) if now > 8_050 && now < 12_000 => {
                let woken = (11_000..11_000 + believes).contains(&now).then_some((0, 1.0));
                [(1, 1.0)].into_iter().chain(woken).collect()
            }
            Trouble::CutInHalves(unknown) if (8_000..16_000).contains(&now) => {
                let part = if now < 8_000 + unknown { 1.0 } else { 0.5 };
                vec![(0, part), (half, part)]
            }
            _ => vec![(0, 1.0)],
        };
        for member in [0, 1, half] {
            let own = keepers.iter().find(|(coordinator, _)| *coordinator == member);
            let kept = own.map(|(_, part)| (upstream(), bound(self.rate * part)));
            if !self.is_still(now, member) {
                self.members[member].ledger.set_coordinated(at(now), &kept.into_iter().collect());
            }
        }
    }

    /// Whom a member takes for the coordinator.
    fn coordinator_of(&self, now: u64, member: usize) -> usize {
        let half = self.members.len() / 2;
        match self.trouble {
            Trouble::Dies(later) if now > 8_000 + later => 1,
            Trouble::StandsStill(believes) if now > 8_050 && now < 12_000 => {
                if member == 0 && now < 11_000 + believes { 0 } else { 1 }
            }
            Trouble::CutInHalves(_) if (8_000..16_000).contains(&now) && member >= half => half,
            _ => 0,
        }
    }

    fn send_to(&mut self, now: u64, to: usize, message: Message) {
        self.messages += 1;
        if self.random.random::<f64>() >= LOST {
            let arrives = now + self.random.random_range(WAY_MS);
            self.under_way.entry(arrives).or_default().push((to, message));
        }
    }

    fn tell_demand(&mut self) {
        for from in 0..self.members.len() {
            let (current, _) = self.members[from].counts;
            self.members[from].counts = (0, current);
            if self.way != LimitWay::DemandShare {
                continue;
            }
            for to in 0..self.members.len() {
                self.messages += usize::from(to != from);
                if to == from || self.random.random::<f64>() >= LOST {
                    self.members[to].told[from] = current;
                }
            }
        }
    }

    /// A request that would go to the upstream, or else elsewhere.
    fn arrive(&mut self, now: u64, from: usize) {
        self.members[from].counts.0 += 1;
        match self.way {
            LimitWay::EvenShare => self.send_by_share(now, from, 1.0 / self.members.len() as f64),
            LimitWay::DemandShare => {
                let told = &self.members[from].told;
                let sum: u32 = told.iter().sum();
                // Who does not know of any demand takes an even share.
                let even = 1.0 / told.len() as f64;
                let share = if sum == 0 { even } else { f64::from(told[from]) / f64::from(sum) };
                self.send_by_share(now, from, share);
            }
            LimitWay::KeeperEach | LimitWay::KeeperAhead => self.send_by_leave(now, from),
        }
    }

    fn send_by_share(&mut self, now: u64, from: usize, share: f64) {
        let own = bound(self.rate * share);
        let pace = &mut self.members[from].pace;
        pace.change(at(now), own);
        if pace.wait(at(now)).is_zero() {
            pace.take(at(now), 1);
            self.sends.push(now);
        }
    }

    fn send_by_leave(&mut self, now: u64, from: usize) {
        let step = self.members[from].cache.step(at(now), &upstream(), time::Duration::ZERO);
        match step {
            PermitStep::Send(_) => self.sends.push(now),
            PermitStep::Closed(_) => {}
            PermitStep::Ask(ask) => {
                let wanted = if self.way == LimitWay::KeeperEach { 1 } else { ask.wanted };
                let ask = PermitRequest { wanted, ..ask };
                let coordinator = self.coordinator_of(now, from);
                if coordinator != from {
                    self.send_to(now, coordinator, Message::Ask(from, ask, now));
                    return;
                }
                if let Some(answer) =
                    self.members[from].ledger.ask(at(now), &upstream(), from as u64, &ask)
                {
                    self.receive_answer(now, from, answer, now);
                }
            }
        }
    }

    fn receive(&mut self, now: u64, to: usize, message: Message) {
        match message {
            Message::Ask(from, ask, asked) => {
                if let Some(answer) =
                    self.members[to].ledger.ask(at(now), &upstream(), from as u64, &ask)
                {
                    self.send_to(now, from, Message::Answer(from, answer, asked));
                }
            }
            Message::Answer(to, answer, asked) => self.receive_answer(now, to, answer, asked),
        }
    }

    /// The request has gone elsewhere if the answer took too long; its leave serves the next one, while it is good.
    fn receive_answer(&mut self, now: u64, to: usize, answer: PermitResponse, asked: u64) {
        let heard = self.members[to].cache.receive(at(now), &upstream(), at(asked), answer);
        if heard.is_ok() && now < asked + REPLY_MS {
            self.sends.push(now);
        } else if heard.is_err() && now >= asked + REPLY_MS {
            let pause = time::Duration::from_millis(SILENCE_MS);
            self.members[to].cache.note_silence(at(now), &upstream(), pause);
        }
    }
}

/// What a run showed.
#[derive(Debug)]
struct Figures {
    /// Most sends in a window.
    most: usize,
    /// Part of the limit that was used.
    used: f64,
    /// The same, but for the time of one send at the start, and one.
    least_used: f64,
    /// Messages a second of all members.
    messages: f64,
}

impl Figures {
    fn of(run: &Run) -> Self {
        let until =
            |first: usize| run.sends.partition_point(|at| *at < run.sends[first] + WINDOW_MS);
        let seconds = RUN_MS as f64 / 1_000.0;
        let sent = run.sends.len() as f64;
        Self {
            most: (0..run.sends.len()).map(|first| until(first) - first).max().unwrap_or(0),
            used: sent / (run.rate * seconds),
            least_used: (sent + 1.0) / (run.rate * seconds - 1.0),
            messages: run.messages as f64 / seconds,
        }
    }
}

/// The most that the named rate lets through in a window: with what a leave's time and a gap made up for may move
/// from before the window into it, and the one that opens it.
fn most_by_rate(limit: f64) -> usize {
    let spans = WINDOW_MS as f64 / 1_000.0 + 0.2 + 0.5;
    (limit * spans) as usize + 1
}

const SIZES: [usize; 3] = [6, 60, 300];
const LIMITS: [f64; 3] = [0.3, 2.0, 20.0];

#[test]
fn the_named_rate_is_kept_and_used_at_all_sizes_by_all_or_one() {
    for way in WAYS {
        for members in SIZES {
            if way == LimitWay::DemandShare && members == 300 {
                // Each tells all each second: 89,700 messages.
                continue;
            }
            for limit in LIMITS {
                for busy in [Busy::All, Busy::One] {
                    let figures = Run::new(way, members, limit, busy, Trouble::Calm).play();
                    println!(
                        "{way:?}, {members} members, {limit} a second, {busy:?} busy: {} in 4 s ({} by the rate), \
                         {:.2} used, {:.1} messages a second",
                        figures.most,
                        most_by_rate(limit),
                        figures.used,
                        figures.messages
                    );
                    if way == LimitWay::KeeperAhead {
                        assert!(
                            figures.most <= most_by_rate(limit),
                            "{members}, {limit}: {figures:?}"
                        );
                        assert!(
                            figures.least_used >= 0.8,
                            "{members}, {limit}, {busy:?}: {figures:?}"
                        );
                        assert!(figures.messages < 4.0 * 300.0, "{members}, {limit}: {figures:?}");
                    }
                }
            }
        }
    }
}

#[test]
fn a_keeper_that_dies_stands_still_or_is_cut_off_costs_no_more_than_its_time() {
    let troubles = [
        Trouble::Dies(50),
        Trouble::Dies(1_000),
        Trouble::StandsStill(50),
        Trouble::CutInHalves(0),
        Trouble::CutInHalves(800),
    ];
    for trouble in troubles {
        for members in SIZES {
            for limit in LIMITS {
                let run = Run::new(LimitWay::KeeperAhead, members, limit, Busy::All, trouble);
                let figures = run.play();
                println!(
                    "{trouble:?}, {members} members, {limit} a second: {} in 4 s ({} by the rate), {:.2} used",
                    figures.most,
                    most_by_rate(limit),
                    figures.used
                );
                // Two that both believe to be the coordinator give one leave more, and until they know of a cut twice as
                // many.
                let unknown = match trouble {
                    Trouble::CutInHalves(unknown) => unknown as f64 / 1_000.0,
                    _ => 0.0,
                };
                let most = most_by_rate(limit) + 1 + (limit * (unknown + 0.2)).ceil() as usize;
                assert!(figures.most <= most, "{trouble:?}, {members}, {limit}: {figures:?}");
                assert!(figures.least_used >= 0.7, "{trouble:?}, {members}, {limit}: {figures:?}");
            }
        }
    }
}

/// A limit far beyond what is asked for keeps nothing back and costs few messages.
#[test]
fn leaves_given_ahead_spare_messages_where_a_limit_is_high() {
    let play = |way| {
        let mut run = Run::new(way, 6, 1_000_000.0, Busy::All, Trouble::Calm);
        run.demand = 600.0;
        let figures = run.play();
        (figures.used * 1_000_000.0 / 600.0, figures.messages)
    };
    let (each, ahead) = (play(LimitWay::KeeperEach), play(LimitWay::KeeperAhead));
    println!("part sent and messages a second: a leave each {each:?}, ahead {ahead:?}");
    assert!(ahead.0 >= 0.97 && ahead.1 < each.1 / 4.0);
}

/// What lay unread while its member was paused is no leave any more.
#[test]
fn an_answer_read_late_gives_no_leave() {
    let mut cache = PermitCache::default();
    let given = PermitResponse::Granted { count: 3, wait_ms: 0 };
    assert!(cache.receive(at(700), &upstream(), at(100), given).is_err());
    let step = cache.step(at(701), &upstream(), time::Duration::ZERO);
    assert!(matches!(step, PermitStep::Ask(_)), "{step:?}");
    let term = PermitTerm::of_answer(at(100), time::Duration::ZERO);
    assert!(term.is_valid(at(599)) && !term.is_valid(at(600)));
}
