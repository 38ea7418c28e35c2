//! Simulates unrelated engine crashes together with deadly requests, which crash the engines they run on. Measures how
//! many harmless requests each way of counting crashes quarantines, and how many engines the deadly requests crash.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, seq::IteratorRandom as _};
use slipturn_core::{
    ids::UpstreamId,
    quarantine::{CrashCountMode, CrashedRun, QuarantineTable},
    request_digest::RequestDigest,
    units::MonoTime,
};

/// Step of the simulated time, in milliseconds.
const STEP_MS: u64 = 10;
/// Simulated time of one run, in milliseconds.
const RUN_MS: u64 = 60_000;
const ENGINES: usize = 18;
/// Most jobs on one engine.
const SLOTS: usize = 14;
/// Time for which a crashed engine is down, in milliseconds.
const DOWN_MS: u64 = 3_000;
/// Time from a deadly request's arrival at an engine to the crash, in milliseconds.
const CRASH_DELAY_MS: u64 = 60;
/// Time from a crash until all members know of it, in milliseconds.
const REPORT_DELAY_MS: u64 = 50;
/// Most attempts for one arrival of a request.
const ATTEMPTS: u32 = 2;

#[derive(Debug, Clone, Copy)]
struct Storm {
    name: &'static str,
    /// Interval of unrelated crashes in milliseconds, and the number of engines that crash each time.
    crashes: Option<(u64, usize)>,
    /// Number of deadly requests; each arrives about four times a second in the first half of the run.
    deadly: usize,
    /// Time from which these requests crash their engines; earlier ones are answered. In milliseconds.
    deadly_from: u64,
    /// Harmless requests per second.
    rate: f64,
    /// Whether all harmless requests have the same body.
    same_body: bool,
    /// Longest duration of a harmless request, in milliseconds.
    longest: u64,
    /// Most times that a caller sends a harmless request.
    arrivals: u32,
}

/// A request on an engine; times are in milliseconds.
#[derive(Debug, Clone)]
struct Job {
    digest: RequestDigest,
    deadly: bool,
    /// Attempts since the caller last sent the request.
    attempts: u32,
    /// Number of times that the caller has sent the request.
    arrivals: u32,
    /// Start of the current attempt.
    sent: u64,
    /// End of the current attempt; a deadly request crashes its engine then.
    done: u64,
}

#[derive(Debug, Default, Clone)]
struct Engine {
    /// Number of starts after the first one.
    start: u64,
    /// End of the downtime after a crash, in milliseconds.
    down_until: u64,
    jobs: Vec<Job>,
}

#[derive(Debug, Default)]
struct Figures {
    /// Harmless requests that arrived.
    harmless: usize,
    /// Harmless requests that were answered.
    served: usize,
    /// Harmless requests that were refused because of a quarantine.
    refused: usize,
    /// Crashes caused by deadly requests.
    crashed: usize,
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_span(Duration::from_millis(millis))
}

fn digest(body: String) -> RequestDigest {
    RequestDigest::of("POST", "/draft/a", None, body.as_bytes())
}

struct Simulation {
    storm: Storm,
    random: rand_chacha::ChaCha8Rng,
    engines: Vec<Engine>,
    table: QuarantineTable,
    /// Crashes that are not known to the members yet, with the time at which the members learn of them.
    reports: Vec<(u64, CrashedRun)>,
    figures: Figures,
    /// Simulated time, in milliseconds.
    now: u64,
}

impl Simulation {
    fn run(storm: Storm, mode: CrashCountMode, seed: u64) -> Figures {
        let mut simulation = Self {
            storm,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            engines: vec![Engine::default(); ENGINES],
            table: QuarantineTable::new(mode),
            reports: Vec::new(),
            figures: Figures::default(),
            now: 0,
        };
        while simulation.now < RUN_MS {
            simulation.step();
            simulation.now += STEP_MS;
        }
        simulation.figures
    }

    fn step(&mut self) {
        let (due, later) = self.reports.drain(..).partition(|(known, _)| *known <= self.now);
        self.reports = later;
        let due: Vec<(u64, CrashedRun)> = due;
        self.table.note_crashes(at(self.now), due.into_iter().map(|(_, run)| run));
        self.arrive();
        self.finish();
        if let Some((every, count)) = self.storm.crashes
            && self.now.is_multiple_of(every)
        {
            let up = (0..ENGINES).filter(|engine| self.engines[*engine].down_until <= self.now);
            for engine in up.sample(&mut self.random, count) {
                self.crash(engine);
            }
        }
    }

    fn arrive(&mut self) {
        if self.random.random_bool(self.storm.rate * STEP_MS as f64 / 1_000.0) {
            self.figures.harmless += 1;
            let body = if self.storm.same_body { 0 } else { self.figures.harmless };
            let digest = digest(format!("sound {body}"));
            self.send(Job { digest, deadly: false, attempts: 0, arrivals: 1, sent: 0, done: 0 });
        }
        let interval = 250 / self.storm.deadly.max(1) as u64 / STEP_MS * STEP_MS;
        if self.storm.deadly > 0
            && self.now < RUN_MS / 2
            && self.now.is_multiple_of(interval.max(STEP_MS))
        {
            let body = self.now / interval % self.storm.deadly as u64;
            let digest = digest(format!("deadly {body}"));
            self.send(Job { digest, deadly: true, attempts: 0, arrivals: 1, sent: 0, done: 0 });
        }
    }

    fn send(&mut self, mut job: Job) {
        if self.table.verdict(at(self.now), job.digest).is_some() {
            self.figures.refused += usize::from(!job.deadly);
            return;
        }
        let free = |engine: &usize| {
            let engine = &self.engines[*engine];
            engine.down_until <= self.now && engine.jobs.len() < SLOTS
        };
        let Some(engine) = (0..ENGINES).filter(free).choose(&mut self.random) else {
            return;
        };
        job.attempts += 1;
        job.sent = self.now;
        let duration = if job.deadly {
            CRASH_DELAY_MS
        } else {
            self.random.random_range(300..self.storm.longest)
        };
        job.done = self.now + duration;
        self.engines[engine].jobs.push(job);
    }

    fn finish(&mut self) {
        for engine in 0..ENGINES {
            let due = |job: &Job| job.done <= self.now;
            let crashes = |job: &Job| job.deadly && job.sent >= self.storm.deadly_from && due(job);
            if self.engines[engine].jobs.iter().any(crashes) {
                self.figures.crashed += 1;
                self.crash(engine);
                continue;
            }
            let jobs = std::mem::take(&mut self.engines[engine].jobs);
            let (done, left): (Vec<_>, Vec<_>) = jobs.into_iter().partition(due);
            self.engines[engine].jobs = left;
            for job in done {
                self.figures.served += usize::from(!job.deadly);
                self.table.note_answer(at(self.now), job.digest);
                self.table.clear(job.digest, at(self.now));
            }
        }
    }

    fn crash(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        engine.start += 1;
        engine.down_until = self.now + DOWN_MS;
        let upstream: UpstreamId = format!("e{number}-{}", engine.start).parse().expect("a name");
        for job in std::mem::take(&mut engine.jobs) {
            let (sent, ended) = (at(job.sent), at(self.now));
            let (sent, ended) = (sent.into(), ended.into());
            let run = CrashedRun { digest: job.digest, upstream: upstream.clone(), sent, ended };
            self.reports.push((self.now + REPORT_DELAY_MS, run));
            if job.attempts < ATTEMPTS {
                self.send(job);
            } else if !job.deadly && job.arrivals < self.storm.arrivals {
                self.send(Job { attempts: 0, arrivals: job.arrivals + 1, ..job });
            }
        }
    }
}

const SEEDS: u64 = 5;

/// Runs a storm with all seeds and adds the results up.
fn sums(storm: Storm, mode: CrashCountMode) -> Figures {
    let all = (0..SEEDS).map(|seed| Simulation::run(storm, mode, seed));
    let sum = all.reduce(|sum, next| Figures {
        harmless: sum.harmless + next.harmless,
        served: sum.served + next.served,
        refused: sum.refused + next.refused,
        crashed: sum.crashed + next.crashed,
    });
    let sum = sum.expect("there is at least one seed");
    println!("{:28} {mode:?}: {sum:?}", storm.name);
    sum
}

/// Load without crashes and without deadly requests.
const BASELINE: Storm = Storm {
    name: "baseline",
    crashes: None,
    deadly: 0,
    deadly_from: 0,
    rate: 60.0,
    same_body: false,
    longest: 2_500,
    arrivals: 2,
};

#[test]
fn unrelated_crashes_quarantine_no_harmless_requests() {
    for (name, crashes) in
        [("17 in 100 at once", (4_000, 3)), ("a rack", (5_000, 6)), ("one each second", (1_000, 1))]
    {
        for same_body in [false, true] {
            let storm = Storm { name, crashes: Some(crashes), same_body, ..BASELINE };
            let by_sequence = sums(storm, CrashCountMode::Sequence);
            let by_count = sums(storm, CrashCountMode::Count);
            assert!(
                by_sequence.refused * 1_000 <= by_sequence.harmless,
                "{storm:?}: {by_sequence:?}"
            );
            assert!(by_sequence.served >= by_count.served, "{by_sequence:?}, {by_count:?}");
        }
    }
}

#[test]
fn deadly_requests_crash_few_engines_and_no_other_requests_are_quarantined() {
    for deadly in [1, 3, 8] {
        for (rate, longest, arrivals) in [(60.0, 2_500, 2), (30.0, 8_000, 4)] {
            let storm = Storm {
                name: "deadly requests",
                deadly,
                crashes: Some((4_000, 3)),
                rate,
                longest,
                arrivals,
                ..BASELINE
            };
            let by_sequence = sums(storm, CrashCountMode::Sequence);
            let by_count = sums(storm, CrashCountMode::Count);
            assert!(
                by_sequence.crashed <= SEEDS as usize * deadly * 6,
                "{storm:?}: {by_sequence:?}"
            );
            assert!(by_sequence.refused <= by_count.refused, "{by_sequence:?}, {by_count:?}");
            assert!(
                by_sequence.refused * 1_000 <= by_sequence.harmless,
                "{storm:?}: {by_sequence:?}"
            );
        }
    }
}

/// Guards against requests that crash ever more engines because they were answered before.
#[test]
fn requests_that_become_deadly_crash_few_engines() {
    for deadly in [1, 3, 8] {
        let storm = Storm {
            name: "requests that become deadly",
            deadly,
            deadly_from: 10_000,
            crashes: Some((4_000, 3)),
            ..BASELINE
        };
        let by_sequence = sums(storm, CrashCountMode::Sequence);
        assert!(by_sequence.crashed <= SEEDS as usize * deadly * 9, "{storm:?}: {by_sequence:?}");
        assert!(by_sequence.refused * 1_000 <= by_sequence.harmless, "{storm:?}: {by_sequence:?}");
    }
}
