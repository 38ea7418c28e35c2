//! A runner crashes in the middle of answers without a length, after it has turned other requests of the same instance
//! away with `Retry-After`.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{self, Fleet, Record},
    service, store,
};

const RUNNERS: u8 = 3;
/// The runners' figures: the work of a call, and the time over which its answer is sent.
const SLOTS: u32 = 6;
const QUEUE: u32 = 2;
const WORK: Duration = Duration::from_millis(100);
const SENDING: Duration = Duration::from_millis(320);
/// Time for which a full runner wants no requests of an instance that it has turned away.
const RETRY_AFTER_S: u32 = 5;
/// Time for which a crashed runner is down, and after which its entry is gone: three heartbeats.
const DOWN_TIME: Duration = Duration::from_millis(4_500);
const ENTRY_TIME: Duration = Duration::from_millis(3_600);
/// Bursts of calls, the pause after each, and the clients of each instance.
const BURSTS: u32 = 6;
const BURST_PAUSE: Duration = Duration::from_secs(7);
const CLIENTS_PER_INSTANCE: u8 = 7;
const DEADLINE: Duration = Duration::from_secs(3);
/// Lines of an answer that a runner has sent when it crashes.
const LINES_SENT: std::ops::RangeInclusive<u32> = 2..=5;

/// What a runner process does; it reports on its standard output.
pub fn run_runner(words: &[&str]) {
    let [id, address] = words else {
        return;
    };
    let plan = service::RunnerPlan {
        slots: SLOTS,
        queue: QUEUE,
        work: WORK,
        sending: SENDING,
        retry_after: Some(RETRY_AFTER_S),
    };
    let address = address.parse().expect("an address");
    let runner = service::Runner::start(id, address, plan, Arc::new(|text| println!("{text}")));
    runner.expect("the address is free");
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

/// What the runners have reported.
#[derive(Default)]
struct Seen {
    /// For each runner and instance, when the runner last turned a request of the instance away.
    rejected: BTreeMap<(String, String), Instant>,
    /// Requests in progress, with their runner and the number of lines sent.
    answering: BTreeMap<String, (String, u32)>,
    /// Requests that were in progress at a runner as it crashed.
    crashed: BTreeSet<String>,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let (fleet, store) = Fleet::new(6);
    let fleet = Arc::new(fleet);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        let id = format!("i-{number}");
        match start_runner(&fleet, &store, number, &id, record, &seen) {
            Ok(process) => runners.push((id, process)),
            Err(error) => return Verdict::NotRun(error.to_string()),
        }
    }
    store.put("op/config", service::configuration(7, false).as_bytes());
    fleet.start_all();
    if !fleet.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the instances are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let wrong = Arc::new(Mutex::new(Vec::new()));
    for burst in 0..BURSTS {
        let begun = Instant::now();
        record.line(format!("burst {burst}"));
        let clients: Vec<_> = (0..fleet.count() * CLIENTS_PER_INSTANCE)
            .map(|client| {
                let (fleet, record, wrong) =
                    (Arc::clone(&fleet), Arc::clone(record), Arc::clone(&wrong));
                thread::spawn(move || call(&fleet, &record, burst, client, &wrong))
            })
            .collect();
        if has_trouble && let Some(number) = crash_one(&mut runners, record, &seen) {
            let id = runners[usize::from(number)].0.clone();
            clients.into_iter().for_each(|client| drop(client.join()));
            if !wrong.lock().unwrap().is_empty() {
                break;
            }
            thread::sleep(ENTRY_TIME.saturating_sub(begun.elapsed()));
            store.delete(&format!("servers/{id}"));
            thread::sleep(DOWN_TIME.saturating_sub(begun.elapsed()));
            let id = format!("i-{number}-{burst}");
            match start_runner(&fleet, &store, number, &id, record, &seen) {
                Ok(process) => runners[usize::from(number)] = (id, process),
                Err(error) => return Verdict::NotRun(error.to_string()),
            }
        } else {
            clients.into_iter().for_each(|client| drop(client.join()));
        }
        thread::sleep(BURST_PAUSE.saturating_sub(begun.elapsed()));
    }
    for (_, process) in &mut runners {
        let _ = process.kill();
        let _ = process.wait();
    }
    let seen = seen.lock().unwrap();
    if has_trouble && seen.crashed.is_empty() {
        return Verdict::NotRun("no runner answered and had turned requests away".to_owned());
    }
    let wrong = wrong.lock().unwrap();
    for (id, body) in wrong.iter() {
        let crashed = seen.crashed.contains(id);
        record.line(format!(
            "wrong: {id} was answered 200 with {} of {} bytes; its runner crashed under it: {crashed}",
            body.len(),
            service::whole_body(id).len()
        ));
    }
    if wrong.is_empty() { Verdict::Held } else { Verdict::Broken }
}

fn start_runner(
    fleet: &Fleet,
    store: &store::Store,
    number: u8,
    id: &str,
    record: &Arc<Record>,
    seen: &Arc<Mutex<Seen>>,
) -> std::io::Result<Child> {
    let address: SocketAddr = fleet.runner_address(number);
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["runner", id, &address.to_string()]).stdin(Stdio::null());
    let mut process = command.stdout(Stdio::piped()).spawn()?;
    fleet::note_started(process.id());
    let lines = BufReader::new(process.stdout.take().expect("it is piped")).lines();
    let (record, seen) = (Arc::clone(record), Arc::clone(seen));
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            seen.lock().unwrap().note(&line);
            record.line(line);
        }
    });
    let entry = service::entry(address, fleet.runner_zone(number), SLOTS, "ready");
    thread::sleep(Duration::from_millis(200));
    store.put(&format!("servers/{id}"), entry.as_bytes());
    Ok(process)
}

/// Instance that a request was sent to.
fn instance_of(id: &str) -> &str {
    id.split('-').next().unwrap_or_default()
}

impl Seen {
    /// Notes a line that a runner has reported.
    fn note(&mut self, line: &str) {
        let words: Vec<_> = line.split(' ').collect();
        match words.as_slice() {
            [runner, "rejects", id] => {
                let key = ((*runner).to_owned(), instance_of(id).to_owned());
                self.rejected.insert(key, Instant::now());
            }
            [runner, "runs", id] => {
                self.answering.insert((*id).to_owned(), ((*runner).to_owned(), 0));
            }
            [_, "sent", "line", number, "of", id] => {
                if let Some((_, sent)) = self.answering.get_mut(*id) {
                    *sent = number.parse().unwrap_or(0);
                }
            }
            [_, "answered", id, "whole"] => _ = self.answering.remove(*id),
            _ => {}
        }
    }

    /// A runner in the middle of an answer to an instance that it has turned away.
    fn runner_to_crash(&self) -> Option<String> {
        let limit = Duration::from_secs(u64::from(RETRY_AFTER_S) - 1);
        let found = self.answering.iter().find(|(id, (runner, sent))| {
            let rejected = self.rejected.get(&(runner.clone(), instance_of(id).to_owned()));
            LINES_SENT.contains(sent) && rejected.is_some_and(|at| at.elapsed() < limit)
        });
        found.map(|(_, (runner, _))| runner.clone())
    }
}

/// Crashes a runner in the middle of an answer to an instance that it has turned away; returns its number, or `None` if
/// there was none during this burst.
fn crash_one(runners: &mut [(String, Child)], record: &Record, seen: &Mutex<Seen>) -> Option<u8> {
    let begun = Instant::now();
    while begun.elapsed() < DEADLINE {
        let mut state = seen.lock().unwrap();
        if let Some(id) = state.runner_to_crash()
            && let Some(number) = runners.iter().position(|(found, _)| *found == id)
        {
            let _ = runners[number].1.kill();
            let crashed = state.answering.iter().filter(|(_, (runner, _))| *runner == id);
            let crashed: Vec<_> = crashed.map(|(request, _)| request.clone()).collect();
            record.line(format!("runner {id} crashes under {}", crashed.join(" ")));
            state.answering.retain(|_, (runner, _)| *runner != id);
            state.crashed.extend(crashed);
            drop(state);
            let _ = runners[number].1.wait();
            return Some(number as u8);
        }
        drop(state);
        thread::sleep(Duration::from_millis(2));
    }
    None
}

/// Sends one call, and notes a success whose body is not the runner's whole body.
fn call(
    fleet: &Fleet,
    record: &Record,
    burst: u32,
    client: u8,
    wrong: &Mutex<Vec<(String, String)>>,
) {
    let instance = client / CLIENTS_PER_INSTANCE;
    let id = format!("m{instance}-{burst}-{client}");
    let (method, prefix) = match client % 2 {
        0 => ("POST", service::POST_PREFIX),
        _ => ("GET", service::GET_PREFIX),
    };
    record.line(format!("client sends {method} {id} to {}", fleet.name(instance)));
    let path = format!("{prefix}2f");
    let address = fleet.callers(instance);
    let (outcome, _) = service::send(&mut None, address, (method, &path), &id, DEADLINE);
    record.line(format!("client gets for {id}: {}", outcome.describe()));
    if let service::Outcome::Answer(200..=299, body) = outcome
        && body != service::whole_body(&id)
    {
        wrong.lock().unwrap().push((id, body));
    }
}
