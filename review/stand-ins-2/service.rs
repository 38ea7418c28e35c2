//! A plain service: its configuration and entries, its runners, and clients of its routes.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Head},
    store,
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Name of the service, and the path prefixes of its routes: `unsafe` and `safe`.
pub const SERVICE: &str = "guestbook";
pub const POST_PREFIX: &str = "/rsvp/";
pub const GET_PREFIX: &str = "/invite/";
/// Route that the second version of the configuration adds.
pub const ADDED_PREFIX: &str = "/added/";

/// The configuration, with or without the added route.
pub fn configuration(version: u64, has_added: bool) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\
             \"service\":\"{SERVICE}\",\"attempts\":{attempts},\"allow_anonymous\":false}}"
        )
    };
    let mut routes =
        vec![route("rsvp", POST_PREFIX, "unsafe", 1), route("invite", GET_PREFIX, "safe", 2)];
    if has_added {
        routes.push(route("added", ADDED_PREFIX, "safe", 2));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_check_path\":\"/health\",\"connection_limit\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":10000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Entry of a runner in the store.
pub fn entry(address: SocketAddr, zone: &str, slots: u32, state: &str) -> String {
    format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":4}}"
    )
}

/// Entry of another writer, as large as the store takes: a server of another kind, which keeps its log in its entry.
/// Fields are missing, and `slots` has another type.
pub fn foreign_entry(sequence: u32) -> String {
    let start =
        format!("{{\"kind\":\"batch\",\"slots\":\"many\",\"sequence\":{sequence},\"log\":\"");
    let filler = "x".repeat(store::VALUE_BYTES - start.len() - 2);
    format!("{start}{filler}\"}}")
}

/// Whole body of the answer to a request.
pub fn whole_body(id: &str) -> String {
    let lines = (1..=BODY_LINES).map(|line| format!("{id} line {line:02} {}\n", ".".repeat(80)));
    format!("{}{id} end\n", lines.collect::<String>())
}

const BODY_LINES: usize = 7;

/// How a runner answers.
#[derive(Clone, Copy)]
pub struct RunnerPlan {
    /// Requests that it works on at once, and further ones that wait for a slot.
    pub slots: u32,
    pub queue: u32,
    /// Time from the beginning of the work to the head of the answer.
    pub work: Duration,
    /// Time over which the body is sent; zero sends it at once, with its length. Otherwise the answer has no length and
    /// ends with its connection.
    pub sending: Duration,
    /// Seconds that a rejection names in `Retry-After`.
    pub retry_after: Option<u32>,
}

pub type Report = Arc<dyn Fn(String) + Send + Sync>;

/// A runner. It reports each request that it begins, ends or rejects.
pub struct Runner {
    id: String,
    plan: RunnerPlan,
    load: Mutex<Load>,
    slot_freed: Condvar,
    report: Report,
    /// Whether it has ended: it refuses connections and drops those that it has.
    ended: AtomicBool,
    connections: Mutex<Vec<std::net::TcpStream>>,
    address: SocketAddr,
}

impl Runner {
    pub fn start(
        id: &str,
        address: SocketAddr,
        plan: RunnerPlan,
        report: Report,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let runner = Arc::new(Self {
            id: id.to_owned(),
            plan,
            load: Mutex::default(),
            slot_freed: Condvar::new(),
            report,
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
            address,
        });
        let serving = Arc::clone(&runner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::SeqCst) {
                    return;
                }
                serving.connections.lock().unwrap().extend(stream.try_clone().ok());
                let runner = Arc::clone(&serving);
                thread::spawn(move || drop(runner.serve(Connection::new(stream))));
            }
        });
        Ok(runner)
    }

    /// Ends the runner: its address refuses connections from now on, and the open ones are closed.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = std::net::TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            connection.read_request_body(&head)?;
            let (method, target) = head.request_line();
            if target == "/health" {
                let headers = [("Slipturn-Instance-Id", self.id.as_str())];
                connection.write(&http::answer(200, &headers, b""))?;
                continue;
            }
            let id = head.header("slipturn-request-id").unwrap_or_default().to_owned();
            let arrived = format!("{} arrived {id} {method} {target}", self.id);
            (self.report)(arrived);
            if !self.answer(&mut connection, &head, &id)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, connection: &mut Connection, head: &Head, id: &str) -> io::Result<bool> {
        let headers = [("Slipturn-Request-Id", id), ("Slipturn-Not-Executed", "1")];
        if head.header("slipturn-expect-instance").is_some_and(|expected| expected != self.id) {
            let own = ("Slipturn-Instance-Id", self.id.as_str());
            connection.write(&http::answer(421, &[headers[0], headers[1], own], b""))?;
            return Ok(true);
        }
        let Some((running, waiting)) = self.take_slot() else {
            (self.report)(format!("{} rejects {id}", self.id));
            let seconds = self.plan.retry_after.map(|seconds| seconds.to_string());
            let mut headers = headers.to_vec();
            headers.extend(seconds.as_deref().map(|seconds| ("Retry-After", seconds)));
            connection.write(&http::answer(503, &headers, b""))?;
            return Ok(true);
        };
        let _slot = SlotGuard(self);
        (self.report)(format!("{} runs {id}", self.id));
        thread::sleep(self.plan.work);
        let body = whole_body(id);
        let seal = format!("{}.{id}", self.id);
        let load = format!("{running},{waiting},{}", self.plan.slots);
        let headers = [
            ("Slipturn-Request-Id", id),
            ("Slipturn-Response-Seal", seal.as_str()),
            ("Slipturn-Server-Load", load.as_str()),
        ];
        let is_sent_at_once = self.plan.sending.is_zero();
        if is_sent_at_once {
            connection.write(&http::answer(200, &headers, body.as_bytes()))?;
        } else {
            let mut text = "HTTP/1.1 200 OK\r\nConnection: close\r\n".to_owned();
            headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
            connection.write(format!("{text}\r\n").as_bytes())?;
            for (number, line) in body.split_inclusive('\n').enumerate() {
                thread::sleep(self.plan.sending / (BODY_LINES as u32 + 1));
                connection.write(line.as_bytes())?;
                (self.report)(format!("{} sent line {} of {id}", self.id, number + 1));
            }
        }
        (self.report)(format!("{} answered {id} whole", self.id));
        Ok(is_sent_at_once)
    }

    /// Takes a slot, perhaps after a wait; returns the numbers of running and waiting requests, or `None` if too many wait.
    fn take_slot(&self) -> Option<(u32, u32)> {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.plan.slots {
            if load.waiting >= self.plan.queue {
                return None;
            }
            load.waiting += 1;
            while load.running >= self.plan.slots {
                load = self.slot_freed.wait(load).unwrap();
            }
            load.waiting -= 1;
        }
        load.running += 1;
        Some((load.running, load.waiting))
    }
}

/// Numbers of running and of waiting requests.
#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

struct SlotGuard<'a>(&'a Runner);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.load.lock().unwrap().running -= 1;
        self.0.slot_freed.notify_one();
    }
}

/// How a client's try ended.
pub enum Outcome {
    /// An answer with this status and body that looks complete.
    Answer(u16, String),
    /// Part of an answer.
    Cut,
    /// The connection ended without a byte of an answer.
    Nothing,
    /// There was no byte of an answer until the deadline.
    Late,
    /// No connection came up, or the request could not be sent.
    NotSent,
}

/// Sends a request over a connection that is kept, which is opened if there is none; returns also whether the connection
/// had served a request before.
pub fn send(
    kept: &mut Option<Connection>,
    instance: SocketAddr,
    (method, path): (&str, &str),
    id: &str,
    deadline: Duration,
) -> (Outcome, bool) {
    let was_kept = kept.is_some();
    if kept.is_none() {
        *kept = Connection::open(instance, deadline).ok();
    }
    let Some(mut connection) = kept.take() else {
        return (Outcome::NotSent, was_kept);
    };
    let body = if method == "POST" { "a form" } else { "" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nSlipturn-Request-Id: {id}\r\n\
         Slipturn-Deadline-Milliseconds: {}\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    let begun = Instant::now();
    if connection.write(request.as_bytes()).is_err() {
        return (Outcome::NotSent, was_kept);
    }
    let head = match connection.read_head() {
        Ok(Some(head)) => head,
        Err(error)
            if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
        {
            return (Outcome::Late, was_kept);
        }
        _ => return (Outcome::Nothing, was_kept),
    };
    let (body, is_whole) = connection.read_answer_body(&head);
    let closes = head.header("connection").is_some_and(|value| value.contains("close"));
    if is_whole && !closes && begun.elapsed() < deadline {
        *kept = Some(connection);
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    (if is_whole { Outcome::Answer(head.status(), body) } else { Outcome::Cut }, was_kept)
}

impl Outcome {
    pub fn describe(&self) -> String {
        match self {
            Self::Answer(status, body) => format!("{status}, {} bytes", body.len()),
            Self::Cut => "part of an answer".to_owned(),
            Self::Nothing => "closed without an answer".to_owned(),
            Self::Late => "no answer until the deadline".to_owned(),
            Self::NotSent => "no connection".to_owned(),
        }
    }
}

/// A number that differs between texts.
pub fn hash(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
