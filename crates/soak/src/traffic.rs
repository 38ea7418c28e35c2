//! Clients: open connections used until they end, a record of every request.

use std::{
    collections, net,
    sync::{
        self,
        atomic::{self, AtomicBool},
    },
    thread, time,
};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_platform_standin::{
    caller::{Caller, Outcome, Request},
    fleet,
};

/// Pause of a client between two requests, milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 2..40;
/// One stream in so many is long: it outlasts the time for which a stopping instance still takes
/// connections, and ends inside the grace period.
const LONG_STREAMS: u32 = 24;
/// Tokens of a long stream's answer: 3.3 to 4.5 s of events.
pub const LONG_ANSWER: std::ops::Range<u64> = 11_000..15_000;
/// One request in so many is written by a client that leaves without its answer.
const LEFT_REQUESTS: u32 = 8;
/// Time that such a client waits, milliseconds: from "at once" to "behind the first silence".
const LEFT_WAIT_MS: std::ops::Range<u64> = 0..400;
/// Random stream of the choice who leaves.
const LEFT_STREAM: u64 = 1;
/// One request in so many is written by a client that reads nothing of its answer until the run ends.
const UNREAD_REQUESTS: u32 = 40;
/// Random stream of the choice who reads nothing.
const UNREAD_STREAM: u64 = 2;
/// Longest rest of a connection that is used again: well under the instances' idle time of 10 s,
/// so that its use does not cross their close.
const MAX_ACCEPTED_BACKOFF: time::Duration = time::Duration::from_secs(8);
/// Time a client is given, of each kind of request.
const DEADLINE: time::Duration = time::Duration::from_secs(6);

/// One request as its client saw it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Its id.
    pub id: String,
    /// Its route.
    pub route: &'static str,
    /// The instance it went to.
    pub instance: u8,
    /// When it was sent, and when its answer ended.
    pub from: time::Instant,
    /// See `from`.
    pub to: time::Instant,
    /// Since when the connection that it found ended had rested, if it found one.
    pub ended_rest: Option<time::Instant>,
    /// What it came to; `None` where its client left at `to` without waiting for that.
    pub outcome: Option<Outcome>,
}

/// A connection without a request.
struct RestingCaller {
    caller: Caller,
    since: time::Instant,
}

impl RestingCaller {
    /// The connection, if it may be used again; or else whether it has ended early, and since when
    /// it had rested.
    fn wake(mut self) -> Result<Caller, Option<time::Instant>> {
        if self.since.elapsed() >= MAX_ACCEPTED_BACKOFF {
            return Err(None);
        }
        if self.caller.ended() { Err(Some(self.since)) } else { Ok(self.caller) }
    }
}

/// A request whose client has read nothing of its answer yet.
struct UnreadRequest {
    caller: Caller,
    request: Request,
    sent: SentRequest,
}

impl UnreadRequest {
    /// Reads the answer, which must still be whole; it must have been sent by its deadline.
    fn read(mut self) -> SentRequest {
        let outcome = self.caller.read(&self.request);
        let to = time::Instant::now().min(self.sent.from + DEADLINE);
        SentRequest { to, outcome: Some(outcome), ..self.sent }
    }
}

/// Clients that run until told to end.
pub struct Traffic {
    ending: sync::Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<Vec<SentRequest>>>,
}

impl Traffic {
    /// Starts clients, each with its own random choices.
    pub fn start(seed: u64, clients: u64, instances: Vec<net::SocketAddr>) -> Self {
        let ending = sync::Arc::new(AtomicBool::new(false));
        let start = |client: u64| {
            let (ending, instances) = (sync::Arc::clone(&ending), instances.clone());
            thread::spawn(move || run_client(seed ^ (client << 32), client, &instances, &ending))
        };
        let clients = (0..clients).map(start).collect();
        Self { ending, clients }
    }

    /// Ends all clients behind their last request.
    pub fn finish(self) -> Vec<SentRequest> {
        self.ending.store(true, atomic::Ordering::SeqCst);
        let sent = self.clients.into_iter().filter_map(|client| client.join().ok());
        sent.flatten().collect()
    }
}

/// A request of a route.
pub fn request(id: String, route: &'static str, counts: (u64, u64)) -> Request {
    let streaming = matches!(route, "draft" | "once");
    Request {
        id,
        method: if route == "safe" { "GET" } else { "POST" },
        path: format!("/{route}/x"),
        key: Some(fleet::KEY.to_owned()),
        deadline: DEADLINE,
        counts: streaming.then_some(counts),
        body: if route == "safe" { Vec::new() } else { b"body".to_vec() },
    }
}

fn run_client(
    seed: u64,
    client: u64,
    instances: &[net::SocketAddr],
    ending: &AtomicBool,
) -> Vec<SentRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut leaving = random.clone();
    leaving.set_stream(LEFT_STREAM);
    let mut silent = random.clone();
    silent.set_stream(UNREAD_STREAM);
    let mut unread = Vec::new();
    let mut open: collections::HashMap<u8, RestingCaller> = collections::HashMap::new();
    let mut sent = Vec::new();
    for turn in 0.. {
        if ending.load(atomic::Ordering::SeqCst) {
            break;
        }
        let instance = random.random_range(0..instances.len()) as u8;
        let route = ["draft", "safe", "unsafe", "once"][random.random_range(0..4)];
        let prompt = match random.random_range(0..12) {
            0 => random.random_range(330_000..700_000),
            1..=3 => random.random_range(30_000..200_000),
            _ => random.random_range(500..9_000),
        };
        let answer = match random.random_range(0..LONG_STREAMS) {
            0 => random.random_range(LONG_ANSWER),
            _ => random.random_range(50..1_500),
        };
        let permits = leaving.random_range(0..LEFT_REQUESTS) == 0;
        // What nobody waits for would last long, so that work on it shows.
        let answer = if permits { LONG_ANSWER.start } else { answer };
        let counts = (prompt, answer);
        let request = request(format!("{seed:x}-{client}-{turn}"), route, counts);
        let from = time::Instant::now();
        let resting = open.remove(&instance).map_or(Err(None), RestingCaller::wake);
        let ended_rest = resting.as_ref().err().copied().flatten();
        let connection = resting.ok();
        let connection =
            connection.or_else(|| Caller::connect(instances[usize::from(instance)]).ok());
        let reads_nothing = silent.random_range(0..UNREAD_REQUESTS) == 0;
        let outcome = match connection {
            Some(mut caller) if reads_nothing && !permits => {
                let to = time::Instant::now();
                let id = request.id.clone();
                let sent = SentRequest { id, route, instance, from, to, ended_rest, outcome: None };
                // A connection that has ended shows when it is read.
                let _ = caller.write(&request);
                unread.push(UnreadRequest { caller, request, sent });
                continue;
            }
            None => Some(Outcome::NoConnection),
            Some(caller) if permits => {
                let wait = leaving.random_range(LEFT_WAIT_MS);
                leave_behind(caller, &request, time::Duration::from_millis(wait));
                None
            }
            Some(mut caller) => {
                let outcome = caller.send(&request);
                if !caller.closing && !matches!(outcome, Outcome::Cut(_)) {
                    open.insert(instance, RestingCaller { caller, since: time::Instant::now() });
                }
                Some(outcome)
            }
        };
        let to = time::Instant::now();
        let id = request.id;
        sent.push(SentRequest { id, route, instance, from, to, ended_rest, outcome });
        thread::sleep(time::Duration::from_millis(random.random_range(PAUSE_MS)));
    }
    sent.extend(unread.into_iter().map(UnreadRequest::read));
    sent
}

/// Writes a request and closes its connection a little later, whatever has come until then.
fn leave_behind(mut caller: Caller, request: &Request, wait: time::Duration) {
    // A connection that has ended already is left as well.
    let _ = caller.write(request);
    thread::sleep(wait);
}
