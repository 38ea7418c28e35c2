//! Another writer writes large entries at one moment; after that the configuration changes and a runner drains.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{CONFIGURATION_APPLY, DRAIN, Fleet, Record},
    service, store,
};

const RUNNERS: u8 = 3;
/// The runner that drains, and the time after the acknowledgement of that for which it serves.
const DRAINING: &str = "i-2";
const SERVING_ON: Duration = Duration::from_secs(6);
/// Entries that the other writer writes.
const FOREIGN_ENTRIES: u32 = 8;
const CLIENTS_PER_INSTANCE: u8 = 3;
const THINK_TIME: Duration = Duration::from_millis(150);
const DEADLINE: Duration = Duration::from_secs(3);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let (fleet, store) = Fleet::new(6);
    let fleet = Arc::new(fleet);
    let plan = service::RunnerPlan {
        slots: 6,
        queue: 24,
        work: Duration::from_millis(60),
        sending: Duration::ZERO,
        retry_after: None,
    };
    // When the store acknowledged that the runner drains, and the requests that reached the runner too late.
    let drains_since = Arc::new(Mutex::new(None::<Instant>));
    let late_runs = Arc::new(AtomicU32::new(0));
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        let id = format!("i-{number}");
        let (record, since, late) =
            (Arc::clone(record), Arc::clone(&drains_since), Arc::clone(&late_runs));
        let report: service::Report = Arc::new(move |text: String| {
            let is_arrival = text.starts_with(&format!("{DRAINING} arrived "));
            let age = since.lock().unwrap().map(|since| since.elapsed());
            let is_late = is_arrival && age.is_some_and(|age| age > DRAIN);
            late.fetch_add(u32::from(is_late), Ordering::SeqCst);
            record.line(if is_late { format!("{text}: too late") } else { text });
        });
        let address = fleet.runner_address(number);
        match service::Runner::start(&id, address, plan, report) {
            Ok(runner) => runners.push(runner),
            Err(error) => return Verdict::NotRun(error.to_string()),
        }
        let entry = service::entry(address, fleet.runner_zone(number), plan.slots, "ready");
        store.put(&format!("servers/{id}"), entry.as_bytes());
    }
    store.put("op/config", service::configuration(7, false).as_bytes());
    fleet.start_all();
    if !fleet.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the instances are not ready".to_owned());
    }
    let added_since = Arc::new(Mutex::new(None::<Instant>));
    let (denied, over) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for number in 0..fleet.count() * CLIENTS_PER_INSTANCE {
        let client = Client {
            number,
            fleet: Arc::clone(&fleet),
            record: Arc::clone(record),
            added_since: Arc::clone(&added_since),
            denied: Arc::clone(&denied),
            over: Arc::clone(&over),
        };
        clients.push(thread::spawn(move || client.play()));
    }
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        write_foreign_entries(&store);
        record.line(format!("another writer has written {FOREIGN_ENTRIES} entries"));
    }
    thread::sleep(Duration::from_secs(1));
    store.put("op/config", service::configuration(8, true).as_bytes());
    added_since.lock().unwrap().replace(Instant::now());
    record.line("acknowledged: configuration 8, with another route");
    let number = RUNNERS - 1;
    let address = fleet.runner_address(number);
    let entry = service::entry(address, fleet.runner_zone(number), plan.slots, "draining");
    store.put(&format!("servers/{DRAINING}"), entry.as_bytes());
    drains_since.lock().unwrap().replace(Instant::now());
    record.line(format!("acknowledged: {DRAINING} drains"));
    thread::sleep(SERVING_ON);
    runners[usize::from(number)].end();
    store.delete(&format!("servers/{DRAINING}"));
    record.line(format!("{DRAINING} has ended"));
    thread::sleep(Duration::from_secs(4));
    over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let (late, denied) = (late_runs.load(Ordering::SeqCst), denied.load(Ordering::SeqCst));
    record.line(format!(
        "requests that reached {DRAINING} more than {DRAIN:?} after the acknowledgement that it drains: {late}; \
         404 for the added route on requests sent more than {CONFIGURATION_APPLY:?} after its acknowledgement: {denied}"
    ));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Writes entries of servers of another kind, each as large as the store takes.
fn write_foreign_entries(store: &store::Store) {
    for number in 0..FOREIGN_ENTRIES {
        store.put(&format!("servers/batch-{number}"), service::foreign_entry(number).as_bytes());
    }
}

struct Client {
    number: u8,
    fleet: Arc<Fleet>,
    record: Arc<Record>,
    added_since: Arc<Mutex<Option<Instant>>>,
    denied: Arc<AtomicU32>,
    over: Arc<AtomicBool>,
}

impl Client {
    fn play(&self) {
        let instance = self.number / CLIENTS_PER_INSTANCE;
        let address = self.fleet.callers(instance);
        let mut kept = None;
        for turn in 0_u32.. {
            if self.over.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("r{}-{turn}", self.number);
            // The third client of each instance asks for the added route once it is acknowledged.
            let added_since = *self.added_since.lock().unwrap();
            let asks_added = self.number % CLIENTS_PER_INSTANCE == 2 && added_since.is_some();
            let (method, prefix) = match turn % 2 {
                _ if asks_added => ("GET", service::ADDED_PREFIX),
                0 => ("POST", service::POST_PREFIX),
                _ => ("GET", service::GET_PREFIX),
            };
            let is_due = asks_added
                && added_since.is_some_and(|since| since.elapsed() > CONFIGURATION_APPLY);
            self.record.line(format!(
                "client sends {method} {prefix}2f {id} to {}",
                self.fleet.name(instance)
            ));
            let path = format!("{prefix}2f");
            let (outcome, _) = service::send(&mut kept, address, (method, &path), &id, DEADLINE);
            self.record.line(format!("client gets for {id}: {}", outcome.describe()));
            if is_due && matches!(outcome, service::Outcome::Answer(404, _)) {
                self.denied.fetch_add(1, Ordering::SeqCst);
            }
            thread::sleep(THINK_TIME);
        }
    }
}
