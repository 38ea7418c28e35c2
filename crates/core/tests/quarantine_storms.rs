//! Storms of crashes beside requests that cause some, in virtual time: how many sound requests each way
//! of counting holds back, and how many engines a deadly request ends.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, seq::IteratorRandom as _};
use slipturn_core::{
    ids::UpstreamId,
    quarantine::{BlameWay, CrashedRun, QuarantineTable},
    request_digest::RequestDigest,
    units::MonoTime,
};

/// Step of the virtual time, milliseconds.
const STEP: u64 = 10;
const LENGTH: u64 = 60_000;
const ENGINES: usize = 18;
const SLOTS: usize = 14;
/// How long an engine is down.
const DOWN: u64 = 3_000;
/// From a deadly request's arrival at an engine to the engine's end.
const BEGIN: u64 = 60;
/// From an end to the moment at which all members know of it.
const NEWS: u64 = 50;
/// Attempts of one arrival.
const ATTEMPTS: u32 = 2;

/// What happens in one run.
#[derive(Debug, Clone, Copy)]
struct Storm {
    name: &'static str,
    /// Time between two moments at which engines crash by themselves, and how many.
    crashes: Option<(u64, usize)>,
    /// Deadly requests, each repeated four times a second in the first half.
    deadly: usize,
    /// Sound prompts that begin a second.
    rate: f64,
    /// All sound prompts have one body.
    same: bool,
    /// Longest work of a sound prompt, milliseconds.
    longest: u64,
    /// Arrivals of one sound prompt by its caller.
    arrivals: u32,
}

#[derive(Debug, Clone)]
struct Job {
    digest: RequestDigest,
    deadly: bool,
    attempts: u32,
    arrivals: u32,
    sent: u64,
    done: u64,
}

#[derive(Debug, Default, Clone)]
struct Engine {
    start: u64,
    down_until: u64,
    jobs: Vec<Job>,
}

#[derive(Debug, Default)]
struct Figures {
    sound: usize,
    served: usize,
    /// Sound requests that were held back at least once.
    blamed: usize,
    /// Engines that deadly requests ended.
    ended: usize,
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_span(Duration::from_millis(millis))
}

fn digest(body: String) -> RequestDigest {
    RequestDigest::of("POST", "/draft/a", None, body.as_bytes())
}

struct Play {
    storm: Storm,
    random: rand_chacha::ChaCha8Rng,
    engines: Vec<Engine>,
    table: QuarantineTable,
    /// Ends that members will know of.
    news: Vec<(u64, CrashedRun)>,
    figures: Figures,
    now: u64,
}

impl Play {
    fn play(storm: Storm, way: BlameWay, seed: u64) -> Figures {
        let mut play = Self {
            storm,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            engines: vec![Engine::default(); ENGINES],
            table: QuarantineTable::new(way),
            news: Vec::new(),
            figures: Figures::default(),
            now: 0,
        };
        while play.now < LENGTH {
            play.step();
            play.now += STEP;
        }
        play.figures
    }

    fn step(&mut self) {
        let (due, later) = self.news.drain(..).partition(|(known, _)| *known <= self.now);
        self.news = later;
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
        if self.random.random_bool(self.storm.rate * STEP as f64 / 1_000.0) {
            self.figures.sound += 1;
            let body = if self.storm.same { 0 } else { self.figures.sound };
            let digest = digest(format!("sound {body}"));
            self.send(Job { digest, deadly: false, attempts: 0, arrivals: 1, sent: 0, done: 0 });
        }
        let interval = 250 / self.storm.deadly.max(1) as u64 / STEP * STEP;
        if self.storm.deadly > 0
            && self.now < LENGTH / 2
            && self.now.is_multiple_of(interval.max(STEP))
        {
            let body = self.now / interval % self.storm.deadly as u64;
            let digest = digest(format!("deadly {body}"));
            self.send(Job { digest, deadly: true, attempts: 0, arrivals: 1, sent: 0, done: 0 });
        }
    }

    fn send(&mut self, mut job: Job) {
        if self.table.verdict(at(self.now), job.digest).is_some() {
            self.figures.blamed += usize::from(!job.deadly);
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
        let work =
            if job.deadly { BEGIN } else { self.random.random_range(300..self.storm.longest) };
        job.done = self.now + work;
        self.engines[engine].jobs.push(job);
    }

    fn finish(&mut self) {
        for engine in 0..ENGINES {
            let due = |job: &Job| job.done <= self.now;
            if self.engines[engine].jobs.iter().any(|job| job.deadly && due(job)) {
                self.figures.ended += 1;
                self.crash(engine);
                continue;
            }
            let jobs = std::mem::take(&mut self.engines[engine].jobs);
            let (done, left): (Vec<_>, Vec<_>) = jobs.into_iter().partition(due);
            self.engines[engine].jobs = left;
            for job in done {
                self.figures.served += 1;
                self.table.clear(job.digest, at(self.now));
            }
        }
    }

    fn crash(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        engine.start += 1;
        engine.down_until = self.now + DOWN;
        let upstream: UpstreamId = format!("e{number}-{}", engine.start).parse().expect("a name");
        for job in std::mem::take(&mut engine.jobs) {
            let (sent, ended) = (at(job.sent), at(self.now));
            let run = CrashedRun { digest: job.digest, upstream: upstream.clone(), sent, ended };
            self.news.push((self.now + NEWS, run));
            if job.attempts < ATTEMPTS {
                self.send(job);
            } else if !job.deadly && job.arrivals < self.storm.arrivals {
                self.send(Job { attempts: 0, arrivals: job.arrivals + 1, ..job });
            }
        }
    }
}

const SEEDS: u64 = 5;

fn sums(storm: Storm, way: BlameWay) -> Figures {
    let all = (0..SEEDS).map(|seed| Play::play(storm, way, seed));
    let sum = all.reduce(|sum, next| Figures {
        sound: sum.sound + next.sound,
        served: sum.served + next.served,
        blamed: sum.blamed + next.blamed,
        ended: sum.ended + next.ended,
    });
    let sum = sum.expect("a seed at least");
    println!("{:28} {way:?}: {sum:?}", storm.name);
    sum
}

const CALM: Storm = Storm {
    name: "calm",
    crashes: None,
    deadly: 0,
    rate: 60.0,
    same: false,
    longest: 2_500,
    arrivals: 2,
};

#[test]
fn storms_alone_hold_no_sound_request_back() {
    for (name, crashes) in
        [("17 in 100 at once", (4_000, 3)), ("a rack", (5_000, 6)), ("one each second", (1_000, 1))]
    {
        for same in [false, true] {
            let storm = Storm { name, crashes: Some(crashes), same, ..CALM };
            let kept = sums(storm, BlameWay::Sequence);
            let counted = sums(storm, BlameWay::Count);
            assert!(kept.blamed * 1_000 <= kept.sound, "{storm:?}: {kept:?}");
            assert!(kept.served >= counted.served, "{kept:?}, {counted:?}");
        }
    }
}

#[test]
fn deadly_requests_end_few_engines_and_nobody_else_is_held_back_for_them() {
    for deadly in [1, 3, 8] {
        for (rate, longest, arrivals) in [(60.0, 2_500, 2), (30.0, 8_000, 4)] {
            let storm = Storm {
                name: "deadly requests",
                deadly,
                crashes: Some((4_000, 3)),
                rate,
                longest,
                arrivals,
                ..CALM
            };
            let kept = sums(storm, BlameWay::Sequence);
            let counted = sums(storm, BlameWay::Count);
            assert!(kept.ended <= SEEDS as usize * deadly * 6, "{storm:?}: {kept:?}");
            assert!(kept.blamed <= counted.blamed, "{kept:?}, {counted:?}");
            assert!(kept.blamed * 1_000 <= kept.sound, "{storm:?}: {kept:?}");
        }
    }
}
