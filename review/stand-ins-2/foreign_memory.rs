//! Entries of other writers, written again and again, with a deployment under load.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, MEMORY_MB, Record},
    service, store,
};

/// Other writers, and the interval at which each of them writes its entry: that of a runner's heartbeat.
const WRITERS: u32 = 6;
const WRITE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time of the run after the instances are ready.
const PLAY_TIME: Duration = Duration::from_secs(64);
const CLIENTS_PER_INSTANCE: u8 = 6;
const THINK_TIME: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_secs(3);
/// Interval at which the platform looks at the memory of the processes, and the delay of a restart.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// How often the rule allows a machine to close a kept connection without an answer.
const ALLOWED_LOST: u32 = 3;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let (fleet, store) = Fleet::new(6);
    let fleet = Arc::new(fleet);
    let runs = Arc::new(Mutex::new(BTreeSet::new()));
    let plan = service::RunnerPlan {
        slots: 6,
        queue: 24,
        work: Duration::from_millis(250),
        sending: Duration::ZERO,
        retry_after: None,
    };
    for number in 0..3 {
        let (record, runs) = (Arc::clone(record), Arc::clone(&runs));
        let report: service::Report = Arc::new(move |text: String| {
            if let Some((_, id)) = text.split_once(" runs ") {
                runs.lock().unwrap().insert(id.to_owned());
            }
            record.line(text);
        });
        let (id, address) = (format!("i-{number}"), fleet.runner_address(number));
        if let Err(error) = service::Runner::start(&id, address, plan, report) {
            return Verdict::NotRun(error.to_string());
        }
        let entry = service::entry(address, fleet.runner_zone(number), plan.slots, "ready");
        store.put(&format!("servers/{id}"), entry.as_bytes());
    }
    store.put("op/config", service::configuration(7, false).as_bytes());
    fleet.start_all();
    if !fleet.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the instances are not ready".to_owned());
    }
    record.line("all instances are ready");

    let end = Instant::now() + PLAY_TIME;
    let lost = Arc::new(AtomicU32::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 0..fleet.count() * CLIENTS_PER_INSTANCE {
        let client = Client {
            number,
            fleet: Arc::clone(&fleet),
            record: Arc::clone(record),
            runs: Arc::clone(&runs),
            lost: Arc::clone(&lost),
        };
        threads.push(thread::spawn(move || client.play(end)));
    }
    let (looking, looked, looks_over) =
        (Arc::clone(&fleet), Arc::clone(record), Arc::clone(&is_over));
    let platform = thread::spawn(move || limit_memory(&looking, &looked, &looks_over));
    while has_trouble && Instant::now() < end {
        write_entries(&store, record);
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    is_over.store(true, Ordering::SeqCst);
    let (killed, peak) = platform.join().unwrap_or_default();
    let lost = lost.load(Ordering::SeqCst);
    record.line(format!(
        "killed over {MEMORY_MB} MB: {killed} processes; most memory {peak} MB; \
         requests of kept connections at sound runners whose connection was closed without an answer: {lost}"
    ));
    if lost > ALLOWED_LOST { Verdict::Broken } else { Verdict::Held }
}

/// Writes the entries of all other writers once, spread over [`WRITE_INTERVAL`].
fn write_entries(store: &store::Store, record: &Record) {
    for writer in 0..WRITERS {
        let begun = Instant::now();
        store.put(&format!("servers/batch-{writer}"), service::foreign_entry(writer).as_bytes());
        record.line(format!("another writer writes servers/batch-{writer}"));
        thread::sleep((WRITE_INTERVAL / WRITERS).saturating_sub(begun.elapsed()));
    }
}

/// Kills processes that go over their memory, as the platform does, and starts them again; returns their number and the
/// most memory seen, in MB.
fn limit_memory(fleet: &Fleet, record: &Record, is_over: &AtomicBool) -> (u32, u64) {
    let (mut killed, mut peak, mut last_line) = (0, 0, Instant::now());
    while !is_over.load(Ordering::SeqCst) {
        let mut seen = Vec::new();
        for number in 0..fleet.count() {
            let name = fleet.name(number);
            if let Some(status) = fleet.ended(number) {
                record.line(format!("{name} has ended by itself: {status}"));
                fleet.start(number);
            }
            let Some(bytes) = fleet.memory(number) else {
                continue;
            };
            seen.push((bytes >> 20).to_string());
            peak = peak.max(bytes >> 20);
            if bytes > MEMORY_MB << 20 {
                record.line(format!("{name} has {bytes} bytes of memory, and is killed"));
                fleet.kill(number);
                killed += 1;
                thread::sleep(RESTART_DELAY);
                fleet.start(number);
            }
        }
        if last_line.elapsed() > Duration::from_secs(2) {
            last_line = Instant::now();
            record.line(format!("memory of the instances in MB: {}", seen.join(" ")));
        }
        thread::sleep(LOOK_INTERVAL);
    }
    (killed, peak)
}

struct Client {
    number: u8,
    fleet: Arc<Fleet>,
    record: Arc<Record>,
    runs: Arc<Mutex<BTreeSet<String>>>,
    lost: Arc<AtomicU32>,
}

impl Client {
    fn play(&self, end: Instant) {
        let instance = self.number / CLIENTS_PER_INSTANCE;
        let address = self.fleet.callers(instance);
        let mut kept = None;
        for turn in 0.. {
            if Instant::now() >= end {
                return;
            }
            let id = format!("r{}-{turn}", self.number);
            let line = match turn % 2 {
                0 => ("POST", format!("{}2f", service::POST_PREFIX)),
                _ => ("GET", format!("{}2f", service::GET_PREFIX)),
            };
            self.record.line(format!("client sends {id} to {}", self.fleet.name(instance)));
            let line = (line.0, line.1.as_str());
            let (outcome, was_kept) = service::send(&mut kept, address, line, &id, DEADLINE);
            self.record.line(format!("client gets for {id}: {}", outcome.describe()));
            let is_lost = matches!(outcome, service::Outcome::Nothing);
            if is_lost && was_kept && self.runs.lock().unwrap().contains(&id) {
                self.record.line(format!("lost: {id}"));
                self.lost.fetch_add(1, Ordering::SeqCst);
            }
            if !matches!(outcome, service::Outcome::Answer(..)) {
                thread::sleep(Duration::from_millis(500));
            }
            thread::sleep(THINK_TIME);
        }
    }
}
