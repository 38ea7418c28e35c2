//! Simulates several strategies by which all members together enforce the rate limit of an upstream, and compares the most
//! sends in any 4 s, the part of the limit that is used and the number of messages.

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

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// Delay of a datagram within a region, in milliseconds.
const DELAY_MS: std::ops::RangeInclusive<u64> = 1..=3;
/// Simulated time of one run, in milliseconds.
const RUN_MS: u64 = 24_000;
/// Window in which sends are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Requests for the upstream, as a multiple of its limit.
const DEMAND: f64 = 10.0;
/// Longest wait for a coordinator's response, in milliseconds; then the request goes to another upstream.
const RESPONSE_TIMEOUT_MS: u64 = 25;
/// Time for which a member requests no permits after a late response without a valid one, in milliseconds.
const SILENCE_BACKOFF_MS: u64 = 100;

/// How the members enforce the limit together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// Each member has an even share of the limit.
    EvenShare,
    /// Each member has a share in proportion to its demand, which it sends to all others every second.
    DemandShare,
    /// A coordinator grants a permit for each send.
    GrantEach,
    /// A coordinator grants a permit for each send. A member that sends several within a short time gets permits for
    /// its next sends in advance.
    GrantAhead,
}

const STRATEGIES: [Strategy; 4] =
    [Strategy::EvenShare, Strategy::DemandShare, Strategy::GrantEach, Strategy::GrantAhead];

/// Members that have requests for the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Busy {
    All,
    One,
}

/// Fault of a run. Member 0 is the coordinator except where stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Member 0 crashes after 8 s, and member 1 takes over this many milliseconds later.
    Crash(u64),
    /// Member 0 is paused from 8 s to 11 s, and member 1 takes over. After the pause member 0 considers itself the
    /// coordinator for this many milliseconds more, and takes over again at 12 s.
    Pause(u64),
    /// From 8 s to 16 s the members are partitioned into halves, each with its own coordinator. The coordinators detect
    /// the partition after this many milliseconds.
    Partition(u64),
}

/// A message, with the member that requested permits and the time of its request.
#[derive(Debug, Clone)]
enum Message {
    Request(usize, PermitRequest, u64),
    Response(usize, PermitResponse, u64),
}

struct Member {
    cache: PermitCache<ids::UpstreamId>,
    ledger: QuotaLedger<ids::UpstreamId>,
    /// Token bucket of the member's own share, if the strategy has shares.
    pace: SendPace,
    /// Number of requests in the current second and in the previous one.
    counts: (u32, u32),
    /// Demand of each member, as last received by this one, in requests per second.
    demands: Vec<u32>,
}

struct Run {
    strategy: Strategy,
    /// The limit, in requests per second.
    rate: f64,
    /// Requests for the upstream per second.
    demand: f64,
    busy: Busy,
    fault: Fault,
    members: Vec<Member>,
    /// Messages in transit by time of arrival, with their recipients.
    in_transit: collections::BTreeMap<u64, Vec<(usize, Message)>>,
    /// Times of the sends to the upstream, in milliseconds.
    sends: Vec<u64>,
    /// Number of messages sent.
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
    fn new(strategy: Strategy, members: usize, limit: f64, busy: Busy, fault: Fault) -> Self {
        let member = || Member {
            cache: PermitCache::default(),
            ledger: QuotaLedger::default(),
            pace: SendPace::initial(at(0), bound(limit / members as f64)),
            counts: (0, 0),
            demands: vec![0; members],
        };
        Self {
            strategy,
            rate: limit,
            demand: limit * DEMAND,
            busy,
            fault,
            members: (0..members).map(|_| member()).collect(),
            in_transit: collections::BTreeMap::new(),
            sends: Vec::new(),
            messages: 0,
            random: ChaCha8Rng::seed_from_u64(members as u64 + (limit * 10.0) as u64),
        }
    }

    fn simulate(mut self) -> Figures {
        // If one member has all requests, it is not the coordinator.
        let first = if self.busy == Busy::All { 0 } else { self.members.len() - 1 };
        let busy_members = first..self.members.len();
        let requests_per_ms = self.demand / 1_000.0;
        for now in 1..RUN_MS {
            self.set_coordinators(now);
            for (to, message) in self.in_transit.remove(&now).unwrap_or_default() {
                if !self.is_stopped(now, to) {
                    self.receive(now, to, message);
                } else {
                    // The message stays in the socket until the process runs again.
                    self.in_transit.entry(now + 1).or_default().push((to, message));
                }
            }
            if now % 1_000 == 0 {
                self.send_demands();
            }
            // The number of requests is rounded up or down at random.
            for _ in 0..(requests_per_ms + self.random.random::<f64>()) as usize {
                let member = self.random.random_range(busy_members.clone());
                if !self.is_stopped(now, member) {
                    self.arrive(now, member);
                }
            }
        }
        Figures::of(&self)
    }

    /// Whether a member is crashed or paused.
    fn is_stopped(&self, now: u64, member: usize) -> bool {
        member == 0
            && match self.fault {
                Fault::Crash(_) => now > 8_000,
                Fault::Pause(_) => (8_000..11_000).contains(&now),
                _ => false,
            }
    }

    /// Sets which members consider themselves the coordinator, and of which part of the limit.
    fn set_coordinators(&mut self, now: u64) {
        let half = self.members.len() / 2;
        let coordinators = match self.fault {
            Fault::Crash(delay) if now > 8_000 + delay => vec![(1, 1.0)],
            Fault::Crash(_) if now > 8_000 => vec![],
            Fault::Pause(stale) if now > 8_050 && now < 12_000 => {
                let resumed = (11_000..11_000 + stale).contains(&now).then_some((0, 1.0));
                [(1, 1.0)].into_iter().chain(resumed).collect()
            }
            Fault::Partition(undetected) if (8_000..16_000).contains(&now) => {
                let part = if now < 8_000 + undetected { 1.0 } else { 0.5 };
                vec![(0, part), (half, part)]
            }
            _ => vec![(0, 1.0)],
        };
        for member in [0, 1, half] {
            let own = coordinators.iter().find(|(coordinator, _)| *coordinator == member);
            let coordinated = own.map(|(_, part)| (upstream(), bound(self.rate * part)));
            if !self.is_stopped(now, member) {
                self.members[member]
                    .ledger
                    .set_coordinated(at(now), &coordinated.into_iter().collect());
            }
        }
    }

    /// The coordinator as a member sees it.
    fn coordinator_of(&self, now: u64, member: usize) -> usize {
        let half = self.members.len() / 2;
        match self.fault {
            Fault::Crash(delay) if now > 8_000 + delay => 1,
            Fault::Pause(stale) if now > 8_050 && now < 12_000 => {
                if member == 0 && now < 11_000 + stale { 0 } else { 1 }
            }
            Fault::Partition(_) if (8_000..16_000).contains(&now) && member >= half => half,
            _ => 0,
        }
    }

    fn send_to(&mut self, now: u64, to: usize, message: Message) {
        self.messages += 1;
        if self.random.random::<f64>() >= LOSS {
            let arrives = now + self.random.random_range(DELAY_MS);
            self.in_transit.entry(arrives).or_default().push((to, message));
        }
    }

    /// Starts the demand counts of a new second and, if shares follow the demand, sends those of the last second to all
    /// members.
    fn send_demands(&mut self) {
        for from in 0..self.members.len() {
            let (current, _) = self.members[from].counts;
            self.members[from].counts = (0, current);
            if self.strategy != Strategy::DemandShare {
                continue;
            }
            for to in 0..self.members.len() {
                self.messages += usize::from(to != from);
                if to == from || self.random.random::<f64>() >= LOSS {
                    self.members[to].demands[from] = current;
                }
            }
        }
    }

    /// Handles a request that is sent to the upstream if the limit allows it, and to another upstream otherwise.
    fn arrive(&mut self, now: u64, from: usize) {
        self.members[from].counts.0 += 1;
        match self.strategy {
            Strategy::EvenShare => self.send_by_share(now, from, 1.0 / self.members.len() as f64),
            Strategy::DemandShare => {
                let demands = &self.members[from].demands;
                let sum: u32 = demands.iter().sum();
                // A member that knows of no demand uses an even share.
                let even = 1.0 / demands.len() as f64;
                let share = if sum == 0 { even } else { f64::from(demands[from]) / f64::from(sum) };
                self.send_by_share(now, from, share);
            }
            Strategy::GrantEach | Strategy::GrantAhead => self.send_by_permit(now, from),
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

    fn send_by_permit(&mut self, now: u64, from: usize) {
        let step = self.members[from].cache.step(at(now), &upstream(), time::Duration::ZERO);
        match step {
            PermitStep::Send(_) => self.sends.push(now),
            PermitStep::Backoff(_) => {}
            PermitStep::Request(request) => {
                let wanted = if self.strategy == Strategy::GrantEach { 1 } else { request.wanted };
                let request = PermitRequest { wanted, ..request };
                let coordinator = self.coordinator_of(now, from);
                if coordinator != from {
                    self.send_to(now, coordinator, Message::Request(from, request, now));
                    return;
                }
                if let Some(response) =
                    self.members[from].ledger.request(at(now), &upstream(), from as u64, &request)
                {
                    self.receive_response(now, from, response, now);
                }
            }
        }
    }

    fn receive(&mut self, now: u64, to: usize, message: Message) {
        match message {
            Message::Request(from, request, sent) => {
                if let Some(response) =
                    self.members[to].ledger.request(at(now), &upstream(), from as u64, &request)
                {
                    self.send_to(now, from, Message::Response(from, response, sent));
                }
            }
            Message::Response(to, response, sent) => self.receive_response(now, to, response, sent),
        }
    }

    /// Handles the response to a request that was sent at time `sent`. If the response is late, the request that needed the
    /// permit has already gone to another upstream.
    fn receive_response(&mut self, now: u64, to: usize, response: PermitResponse, sent: u64) {
        let received = self.members[to].cache.receive(at(now), &upstream(), at(sent), response);
        if received.is_ok() && now < sent + RESPONSE_TIMEOUT_MS {
            self.sends.push(now);
        } else if received.is_err() && now >= sent + RESPONSE_TIMEOUT_MS {
            let pause = time::Duration::from_millis(SILENCE_BACKOFF_MS);
            self.members[to].cache.note_silence(at(now), &upstream(), pause);
        }
    }
}

#[derive(Debug)]
struct Figures {
    /// Most sends in any window.
    most: usize,
    /// Part of the limit that was used.
    used: f64,
    /// Like `used`, with two allowances: the sends count one more, and the limit counts one less because the bucket
    /// starts empty.
    used_with_tolerance: f64,
    /// Messages of all members, per second.
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
            used_with_tolerance: (sent + 1.0) / (run.rate * seconds - 1.0),
            messages: run.messages as f64 / seconds,
        }
    }
}

/// Most sends in a window that the limit allows: the sends that fall due in the window, those that a permit's validity
/// (0.5 s) and the burst allowance (0.2 s) can move into the window, and one send at the start of the window.
fn most_by_rate(limit: f64) -> usize {
    let seconds = WINDOW_MS as f64 / 1_000.0 + 0.2 + 0.5;
    (limit * seconds) as usize + 1
}

const SIZES: [usize; 3] = [6, 60, 300];
const LIMITS: [f64; 3] = [0.3, 2.0, 20.0];

#[test]
fn the_limit_is_enforced_and_used_in_fleets_of_all_sizes() {
    for strategy in STRATEGIES {
        for members in SIZES {
            if strategy == Strategy::DemandShare && members == 300 {
                // Every member would send a message to every other each second: 89,700 messages.
                continue;
            }
            for limit in LIMITS {
                for busy in [Busy::All, Busy::One] {
                    let figures = Run::new(strategy, members, limit, busy, Fault::None).simulate();
                    println!(
                        "{strategy:?}, {members} members, limit {limit}/s, {busy:?} busy: {} in 4 s ({} allowed), \
                         {:.2} used, {:.1} messages/s",
                        figures.most,
                        most_by_rate(limit),
                        figures.used,
                        figures.messages
                    );
                    if strategy == Strategy::GrantAhead {
                        assert!(
                            figures.most <= most_by_rate(limit),
                            "{members}, {limit}: {figures:?}"
                        );
                        assert!(
                            figures.used_with_tolerance >= 0.8,
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
fn faults_of_the_coordinator_raise_sends_only_while_they_are_undetected() {
    let faults = [
        Fault::Crash(50),
        Fault::Crash(1_000),
        Fault::Pause(50),
        Fault::Partition(0),
        Fault::Partition(800),
    ];
    for fault in faults {
        for members in SIZES {
            for limit in LIMITS {
                let run = Run::new(Strategy::GrantAhead, members, limit, Busy::All, fault);
                let figures = run.simulate();
                println!(
                    "{fault:?}, {members} members, limit {limit}/s: {} in 4 s ({} allowed), {:.2} used",
                    figures.most,
                    most_by_rate(limit),
                    figures.used
                );
                // The bound adds what a second coordinator may grant: one permit, the permits of 0.2 s, and, until a
                // partition is detected, permits up to the whole limit.
                let undetected = match fault {
                    Fault::Partition(undetected) => undetected as f64 / 1_000.0,
                    _ => 0.0,
                };
                let most = most_by_rate(limit) + 1 + (limit * (undetected + 0.2)).ceil() as usize;
                assert!(figures.most <= most, "{fault:?}, {members}, {limit}: {figures:?}");
                assert!(
                    figures.used_with_tolerance >= 0.7,
                    "{fault:?}, {members}, {limit}: {figures:?}"
                );
            }
        }
    }
}

/// Guards against delayed requests, or a message for each request, under a limit that is far above the demand.
#[test]
fn permits_granted_ahead_save_messages_under_a_high_limit() {
    let simulate = |strategy| {
        let mut run = Run::new(strategy, 6, 1_000_000.0, Busy::All, Fault::None);
        run.demand = 600.0;
        let figures = run.simulate();
        (figures.used * 1_000_000.0 / 600.0, figures.messages)
    };
    let (each, ahead) = (simulate(Strategy::GrantEach), simulate(Strategy::GrantAhead));
    println!("part sent and messages/s: one permit for each request {each:?}, ahead {ahead:?}");
    assert!(ahead.0 >= 0.97 && ahead.1 < each.1 / 4.0);
}

/// Guards against the use of expired permits from a response that the member read only after a pause.
#[test]
fn a_response_read_late_contains_no_valid_permit() {
    let mut cache = PermitCache::default();
    let granted = PermitResponse::Granted { count: 3, wait_ms: 0 };
    assert!(cache.receive(at(700), &upstream(), at(100), granted).is_err());
    let step = cache.step(at(701), &upstream(), time::Duration::ZERO);
    assert!(matches!(step, PermitStep::Request(_)), "{step:?}");
    let term = PermitTerm::of_answer(at(100), time::Duration::ZERO);
    assert!(term.is_valid(at(599)) && !term.is_valid(at(600)));
}
