//! Clients that reuse their connections as long as the connections stay open, and record every
//! request.

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
/// One request in this many has a long answer of [`LONG_ANSWER_TOKENS`]: its stream outlasts the
/// time for which a stopping instance still accepts connections, and ends before the instance must
/// have exited.
const LONG_STREAMS: u32 = 24;
/// Number of tokens of a long answer, whose stream takes 3.3 to 4.5 s.
pub const LONG_ANSWER_TOKENS: std::ops::Range<u64> = 11_000..15_000;
/// One request in this many is abandoned: its client closes the connection without reading the
/// answer.
const ABANDONED_REQUESTS: u32 = 8;
/// Time from writing an abandoned request to closing its connection, milliseconds. The longest
/// waits exceed the shortest time after which an instance gives up a silent connection to an
/// upstream.
const ABANDON_WAIT_MS: std::ops::Range<u64> = 0..400;
/// Number of a client's random stream that chooses the abandoned requests.
const ABANDON_STREAM: u64 = 1;
/// One request in this many is unread: its client reads nothing of the answer until the run ends.
const UNREAD_REQUESTS: u32 = 40;
/// Number of a client's random stream that chooses the unread requests.
const UNREAD_STREAM: u64 = 2;
/// Idle time after which a connection is not reused: well under the instances' idle timeout of 10
/// s, so that no request is sent while the instance closes the connection.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_secs(8);
/// Time limit that clients state in each request, counted from sending.
const DEADLINE: time::Duration = time::Duration::from_secs(6);

/// A request that a client sent, and its outcome as the client saw it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Id of the request, unique within the run.
    pub id: String,
    /// Name of the request's route, which is also the first segment of its path.
    pub route: &'static str,
    /// Number of the instance that the request was sent to.
    pub instance: u8,
    /// Time at which the client began to send the request.
    pub from: time::Instant,
    /// Time at which the answer ended or the client left.
    pub to: time::Instant,
    /// Start of the idle time of the connection meant for the request, if the instance had closed
    /// that connection.
    pub closed_idle_since: Option<time::Instant>,
    /// Outcome as the client saw it; `None` if the client left at `to` without reading the answer.
    pub outcome: Option<Outcome>,
}

/// An open connection without a request, and the start of its idle time.
struct IdleConnection {
    caller: Caller,
    since: time::Instant,
}

impl IdleConnection {
    /// Returns the connection if it can be reused. The error is the start of its idle time if the
    /// instance has closed it early, or `None` if it has been idle for [`MAX_IDLE_TIME`].
    fn reuse(mut self) -> Result<Caller, Option<time::Instant>> {
        if self.since.elapsed() >= MAX_IDLE_TIME {
            return Err(None);
        }
        if self.caller.is_closed() { Err(Some(self.since)) } else { Ok(self.caller) }
    }
}

/// A request whose client has not yet read its answer.
struct UnreadRequest {
    caller: Caller,
    request: Request,
    sent: SentRequest,
}

impl UnreadRequest {
    /// Reads the answer, which the checks require to be complete although it is read late. The
    /// recorded end is no later than the deadline, as the time of reading does not show when the
    /// answer was sent.
    fn read(mut self) -> SentRequest {
        let outcome = self.caller.read(&self.request);
        let to = time::Instant::now().min(self.sent.from + DEADLINE);
        SentRequest { to, outcome: Some(outcome), ..self.sent }
    }
}

/// Clients that send requests until they are stopped.
pub struct Traffic {
    stop_requested: sync::Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<Vec<SentRequest>>>,
}

impl Traffic {
    /// Starts the clients, each with random choices derived from the seed and its number. They use the
    /// names and API keys of `customers` in turn.
    pub fn start(
        seed: u64,
        clients: u64,
        customers: &'static [(&'static str, &'static str)],
        instances: Vec<net::SocketAddr>,
    ) -> Self {
        let stop_requested = sync::Arc::new(AtomicBool::new(false));
        let start = |client: u64| {
            let (stop_requested, instances) =
                (sync::Arc::clone(&stop_requested), instances.clone());
            thread::spawn(move || {
                let customer = customers[client as usize % customers.len()];
                run_client(seed ^ (client << 32), client, customer, &instances, &stop_requested)
            })
        };
        let clients = (0..clients).map(start).collect();
        Self { stop_requested, clients }
    }

    /// Stops all clients after their current request and returns all requests.
    pub fn finish(self) -> Vec<SentRequest> {
        self.stop_requested.store(true, atomic::Ordering::SeqCst);
        let sent = self.clients.into_iter().filter_map(|client| client.join().ok());
        sent.flatten().collect()
    }
}

/// Builds a request for a route; `counts` are the tokens of prompt and answer, which only streaming
/// routes use.
pub fn request(id: String, route: &'static str, counts: (u64, u64)) -> Request {
    let streaming = matches!(route, "draft" | "once");
    Request {
        id,
        method: if route == "safe" { "GET" } else { "POST" },
        path: format!("/{route}/x"),
        key: Some(fleet::KEY.to_owned()),
        deadline: DEADLINE,
        counts: streaming.then_some(counts),
        parts: String::new(),
        body: if route == "safe" { Vec::new() } else { b"body".to_vec() },
    }
}

fn run_client(
    seed: u64,
    client: u64,
    (customer, key): (&str, &str),
    instances: &[net::SocketAddr],
    stop_requested: &AtomicBool,
) -> Vec<SentRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut abandon_random = random.clone();
    abandon_random.set_stream(ABANDON_STREAM);
    let mut unread_random = random.clone();
    unread_random.set_stream(UNREAD_STREAM);
    let mut unread = Vec::new();
    let mut idle: collections::HashMap<u8, IdleConnection> = collections::HashMap::new();
    let mut sent = Vec::new();
    for turn in 0.. {
        if stop_requested.load(atomic::Ordering::SeqCst) {
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
            0 => random.random_range(LONG_ANSWER_TOKENS),
            _ => random.random_range(50..1_500),
        };
        let abandons = abandon_random.random_range(0..ABANDONED_REQUESTS) == 0;
        // Abandoned requests have long answers, so that the checks notice an upstream that
        // continues to work after the client has left.
        let answer = if abandons { LONG_ANSWER_TOKENS.start } else { answer };
        let counts = (prompt, answer);
        let mut request = request(format!("{customer}-{seed:x}-{client}-{turn}"), route, counts);
        request.key = Some(key.to_owned());
        let from = time::Instant::now();
        let reused = idle.remove(&instance).map_or(Err(None), IdleConnection::reuse);
        let closed_idle_since = reused.as_ref().err().copied().flatten();
        let connection = reused.ok();
        let connection =
            connection.or_else(|| Caller::connect(instances[usize::from(instance)]).ok());
        let reads_nothing = unread_random.random_range(0..UNREAD_REQUESTS) == 0;
        let outcome = match connection {
            Some(mut caller) if reads_nothing && !abandons => {
                let to = time::Instant::now();
                let id = request.id.clone();
                let sent =
                    SentRequest { id, route, instance, from, to, closed_idle_since, outcome: None };
                // A failed write needs no handling here: the outcome is recorded when the answer
                // is read.
                let _ = caller.write(&request);
                unread.push(UnreadRequest { caller, request, sent });
                continue;
            }
            None => Some(Outcome::NoConnection),
            Some(caller) if abandons => {
                let wait = abandon_random.random_range(ABANDON_WAIT_MS);
                abandon_request(caller, &request, time::Duration::from_millis(wait));
                None
            }
            Some(mut caller) => {
                let outcome = caller.send(&request);
                if !caller.closing && !matches!(outcome, Outcome::Cut(_)) {
                    idle.insert(instance, IdleConnection { caller, since: time::Instant::now() });
                }
                Some(outcome)
            }
        };
        let to = time::Instant::now();
        let id = request.id;
        sent.push(SentRequest { id, route, instance, from, to, closed_idle_since, outcome });
        thread::sleep(time::Duration::from_millis(random.random_range(PAUSE_MS)));
    }
    sent.extend(unread.into_iter().map(UnreadRequest::read));
    sent
}

/// Writes a request and closes its connection after `wait`, without reading the answer.
fn abandon_request(mut caller: Caller, request: &Request, wait: time::Duration) {
    // A failed write needs no handling: the request is abandoned anyway.
    let _ = caller.write(request);
    thread::sleep(wait);
}
