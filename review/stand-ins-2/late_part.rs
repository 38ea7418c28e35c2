//! One part of prompts crashes the engines that begin to answer them; it stands behind many other parts.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, BufRead as _, BufReader},
    net::{SocketAddr, TcpListener},
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{self, CONTACT, Fleet, Record},
    http::{self, Connection, Head},
    service, store,
};

const SERVICE: &str = "penwright";
const PREFIX: &str = "/draft/";
const ENGINES: u8 = 18;
const SLOTS: u32 = 16;
/// Parts that all prompts share, besides one that is drawn or crashes and the prompt's own last one.
const SHARED_PARTS: u32 = 38;
const CRASHING_PART: &str = "dead0be";
/// Time from the arrival of a prompt to the first event, the pause between events, and their number.
const FIRST_EVENT: Duration = Duration::from_millis(60);
const EVENT_PAUSE: Duration = Duration::from_millis(30);
const EVENTS: u32 = 12;
/// Time for which a crashed engine is down, and after which its entry is gone: three heartbeats.
const DOWN_TIME: Duration = Duration::from_millis(4_500);
const ENTRY_TIME: Duration = Duration::from_millis(3_600);
/// Sound prompts and crashing ones that come a second, and how long they come.
const SOUND_RATE: u32 = 12;
const CRASHING_PAUSE: Duration = Duration::from_millis(1_200);
const PLAY_TIME: Duration = Duration::from_secs(50);
const DEADLINE: Duration = Duration::from_secs(10);
/// The crash from which the rule counts, and how many requests it allows after that.
const COUNTED_CRASH: usize = 5;
const ALLOWED: usize = 3;

/// What an engine process does; it reports on its standard output, and ends at once where a prompt crashes it.
pub fn run_engine(words: &[&str]) {
    let [id, address] = words else {
        return;
    };
    let listener = TcpListener::bind(address).expect("the address is free");
    let running = Arc::new(AtomicU32::new(0));
    for stream in listener.incoming().flatten() {
        let engine = Engine { id: (*id).to_owned(), running: Arc::clone(&running) };
        thread::spawn(move || drop(engine.serve(Connection::new(stream))));
    }
}

struct Engine {
    id: String,
    running: Arc<AtomicU32>,
}

impl Engine {
    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            connection.read_request_body(&head)?;
            let running = self.running.load(Ordering::SeqCst);
            match head.request_line().1 {
                "/-/report" => {
                    let body = format!(
                        "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                         \"busy\":false,\"sequence\":0,\"queued_requests\":0,\"running_requests\":{running},\
                         \"kv_cache_used\":{},\"kv_cache_total\":315000,\"handles\":0,\"pace\":1.0,\
                         \"tickets\":[]}}",
                        running * 5_000
                    );
                    let headers = [("Content-Type", "application/json")];
                    connection.write(&http::answer(200, &headers, body.as_bytes()))?;
                }
                "/-/order" => {
                    let headers = [("Content-Type", "application/json")];
                    connection.write(&http::answer(200, &headers, b"{\"free\":100000}"))?;
                }
                "/health" => {
                    let headers = [("Slipturn-Instance-Id", self.id.as_str())];
                    connection.write(&http::answer(200, &headers, b""))?;
                }
                _ => self.answer(&mut connection, &head)?,
            }
        }
        Ok(())
    }

    fn answer(&self, connection: &mut Connection, head: &Head) -> io::Result<()> {
        let id = head.header("slipturn-request-id").unwrap_or_default();
        if head.header("slipturn-expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = [("Slipturn-Request-Id", id), ("Slipturn-Not-Executed", "1")];
            return connection.write(&http::answer(421, &headers, b""));
        }
        if self.running.load(Ordering::SeqCst) >= SLOTS {
            let headers = [("Slipturn-Request-Id", id), ("Slipturn-Not-Executed", "1")];
            return connection.write(&http::answer(503, &headers, b""));
        }
        println!("{} runs {id}", self.id);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let result = self.stream(connection, head, id, running);
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn stream(
        &self,
        connection: &mut Connection,
        head: &Head,
        id: &str,
        running: u32,
    ) -> io::Result<()> {
        thread::sleep(FIRST_EVENT);
        let parts = head.header("slipturn-prompt-prefix").unwrap_or_default();
        let mut names = parts.split(',').map(|part| part.split(':').next().unwrap_or_default());
        if names.any(|name| name == CRASHING_PART) {
            println!("{} crashes under {id}", self.id);
            process::exit(1);
        }
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Slipturn-Request-Id: {id}\r\nSlipturn-Response-Seal: {}.{id}\r\n\
             Slipturn-Server-Load: {running},0,{SLOTS}\r\n\r\n",
            self.id
        );
        let last = head.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        for number in last + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            connection.write(text.as_bytes())?;
            text.clear();
            thread::sleep(EVENT_PAUSE);
        }
        connection.write(format!("{text}0\r\n\r\n").as_bytes())?;
        println!("{} answered {id} whole", self.id);
        Ok(())
    }
}

/// What the engines have reported of the prompts with the crashing part.
#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    /// Requests with the crashing part that an engine began to run later than [`CONTACT`] after the counted crash.
    late: BTreeSet<String>,
    sound_runs: u32,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let (fleet, store) = Fleet::new(6);
    let (fleet, seen) = (Arc::new(fleet), Arc::new(Mutex::new(Seen::default())));
    let end = Instant::now() + Duration::from_secs(4) + PLAY_TIME;
    for number in 0..ENGINES {
        let keeper = Keeper {
            number,
            fleet: Arc::clone(&fleet),
            store: Arc::clone(&store),
            record: Arc::clone(record),
            seen: Arc::clone(&seen),
        };
        thread::spawn(move || keeper.play(end));
    }
    store.put("op/config", configuration().as_bytes());
    fleet.start_all();
    if !fleet.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the instances are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let outcomes = Arc::new(Mutex::new(BTreeMap::<&str, u32>::new()));
    let (begun, mut next_crashing) = (Instant::now(), Instant::now() + Duration::from_secs(3));
    let mut clients = Vec::new();
    for turn in 0_u32.. {
        if begun.elapsed() >= PLAY_TIME {
            break;
        }
        let crashes = Instant::now() >= next_crashing;
        if crashes {
            next_crashing += CRASHING_PAUSE;
        }
        let call = Call {
            id: format!("{}{turn}", if crashes { "x" } else { "s" }),
            instance: (turn % u32::from(fleet.count())) as u8,
            // Without the disruption the same prompts come, and their part crashes nothing.
            part: match crashes {
                true if has_trouble => CRASHING_PART.to_owned(),
                true => "beef0de".to_owned(),
                false => format!("c{:06x}", turn % 5),
            },
        };
        let (fleet, record, outcomes) =
            (Arc::clone(&fleet), Arc::clone(record), Arc::clone(&outcomes));
        clients.push(thread::spawn(move || call.send(&fleet, &record, &outcomes)));
        thread::sleep(Duration::from_secs(1) / SOUND_RATE);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let seen = seen.lock().unwrap();
    record.line(format!("sound prompts: {:?}", outcomes.lock().unwrap()));
    record.line(format!(
        "crashes: {}; requests with the crashing part that reached engines later than {CONTACT:?} after crash \
         {COUNTED_CRASH}: {}",
        seen.crashes.len(),
        seen.late.len()
    ));
    if seen.late.len() > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// The configuration of the small deployment's model service.
fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"draft\",\"host\":\"{}\",\"path_prefix\":\"{PREFIX}\",\
         \"kind\":\"streaming\",\"timeout_ms\":10000,\"target_latency_ms\":300,\"priority\":1,\
         \"service\":\"{SERVICE}\",\"attempts\":2,\"allow_anonymous\":false,\"sticky_sessions\":true,\
         \"resume_streams\":true,\"gap_aim_ms\":250}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_check_path\":\"/health\",\"connection_limit\":424,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\"kv_cache_tokens\":315000,\
         \"stride\":51,\"step_ms\":0.85,\"per_seq_ms\":0.00425,\"context_per_k\":0.00285,\
         \"read_per_s\":177000.0,\"pairs_per_m\":0.184,\"chunk\":2048,\"report_lag_ms\":200.0}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":10000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{}\"],\"priority\":1}}]}}",
        service::HOST,
        service::KEY
    )
}

/// Keeps one engine running: starts it again some seconds after it has crashed.
struct Keeper {
    number: u8,
    fleet: Arc<Fleet>,
    store: Arc<store::Store>,
    record: Arc<Record>,
    seen: Arc<Mutex<Seen>>,
}

impl Keeper {
    fn play(&self, end: Instant) {
        for life in 0_u32.. {
            let id = format!("i-{}-{life}", self.number);
            let Ok(mut process) = self.start(&id) else {
                return;
            };
            let ended = process.wait();
            self.record.line(format!("{id} has ended: {ended:?}"));
            if Instant::now() > end {
                return;
            }
            thread::sleep(ENTRY_TIME);
            self.store.delete(&format!("servers/{id}"));
            thread::sleep(DOWN_TIME - ENTRY_TIME);
        }
    }

    fn start(&self, id: &str) -> io::Result<Child> {
        let address: SocketAddr = self.fleet.runner_address(self.number);
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["engine", id, &address.to_string()]).stdin(Stdio::null());
        let mut process = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn()?;
        fleet::note_started(process.id());
        let lines = BufReader::new(process.stdout.take().expect("it is piped")).lines();
        let (record, seen) = (Arc::clone(&self.record), Arc::clone(&self.seen));
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                seen.lock().unwrap().note(&line);
                record.line(line);
            }
        });
        thread::sleep(Duration::from_millis(200));
        let zone = self.fleet.runner_zone(self.number);
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":4}}"
        );
        self.store.put(&format!("servers/{id}"), entry.as_bytes());
        Ok(process)
    }
}

impl Seen {
    fn note(&mut self, line: &str) {
        let words: Vec<_> = line.split(' ').collect();
        match words.as_slice() {
            [_, "crashes", "under", _] => self.crashes.push(Instant::now()),
            [_, "runs", id] if id.starts_with('x') => {
                let counted = self.crashes.get(COUNTED_CRASH - 1);
                if counted.is_some_and(|at| at.elapsed() > CONTACT) {
                    self.late.insert((*id).to_owned());
                }
            }
            [_, "runs", _] => self.sound_runs += 1,
            _ => {}
        }
    }
}

struct Call {
    id: String,
    instance: u8,
    /// The part that the prompt does not share with all others.
    part: String,
}

impl Call {
    fn send(&self, fleet: &Fleet, record: &Record, outcomes: &Mutex<BTreeMap<&str, u32>>) {
        let own = service::hash(&self.id);
        let shared = (0..shared_parts()).map(|number| format!("a{number:05x}:120"));
        let parts: Vec<_> =
            shared.chain([format!("{}:120", self.part), format!("{own:08x}:160")]).collect();
        let body = format!("a prompt {}", self.id);
        let request = format!(
            "POST {PREFIX}2f HTTP/1.1\r\nHost: {}\r\nSlipturn-Request-Id: {}\r\nSlipturn-Model: m\r\n\
             Slipturn-Token-Counts: 4960,600\r\nSlipturn-Prompt-Prefix: {}\r\n\
             Slipturn-Deadline-Milliseconds: {}\r\nAuthorization: Bearer {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            service::HOST,
            self.id,
            parts.join(","),
            DEADLINE.as_millis(),
            service::KEY,
            body.len()
        );
        record.line(format!("client sends {} to {}", self.id, fleet.name(self.instance)));
        let outcome = match stream(fleet.callers(self.instance), &request) {
            Ok((200, events, true)) if events == EVENTS => "whole",
            Ok((200, ..)) => "cut",
            Ok(_) => "refused",
            Err(_) => "no answer",
        };
        record.line(format!("client gets for {}: {outcome}", self.id));
        if self.id.starts_with('s') {
            *outcomes.lock().unwrap().entry(outcome).or_default() += 1;
        }
    }
}

/// Parts that all prompts share.
fn shared_parts() -> u32 {
    std::env::var("SHARED_PARTS").ok().and_then(|text| text.parse().ok()).unwrap_or(SHARED_PARTS)
}

/// Sends a request; returns the status, the number of events, and whether the answer ended as it should.
fn stream(address: SocketAddr, request: &str) -> io::Result<(u16, u32, bool)> {
    let mut connection = Connection::open(address, DEADLINE)?;
    connection.write(request.as_bytes())?;
    let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (body, is_whole) = connection.read_answer_body(&head);
    let events = String::from_utf8_lossy(&body).matches("\n\n").count() as u32;
    Ok((head.status(), events, is_whole))
}
