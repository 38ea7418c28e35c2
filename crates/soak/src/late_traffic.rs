//! Clients that use an instance during its planned stop until its process is gone.

use std::{
    net, thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_platform_standin::caller::{Caller, Outcome, Request};

use crate::{
    fault_injector::STOP_GRACE_PERIOD,
    traffic::{self, SentRequest},
};

/// Number of clients that send one request after the other, over new connections once theirs is closed.
const STEADY_CLIENTS: u64 = 2;
/// Number of clients that send one request whose body ends late in the grace.
const UPLOADS: u64 = 6;
/// Time after the signal at which an upload begins, milliseconds; connections are still accepted then.
const UPLOAD_START_MS: std::ops::Range<u64> = 1_500..2_400;
/// Time that an upload takes, milliseconds: its last byte is sent later than 3 s after the signal, so that the end of the
/// grace excuses no cut.
const UPLOAD_TIME_MS: std::ops::Range<u64> = 1_600..2_000;
/// Time limit that an upload states, counted from its last byte.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(5);
/// Pause of a steady client between two requests.
const PAUSE: Duration = Duration::from_millis(60);

/// Sends requests to the instance with a number, which gets SIGTERM now, in threads of their own.
pub(crate) fn start(
    instance: u8,
    address: net::SocketAddr,
    seed: u64,
) -> Vec<thread::JoinHandle<Vec<SentRequest>>> {
    let signalled = Instant::now();
    let steady = (0..STEADY_CLIENTS).map(|client| {
        let caller = Caller::connect(address).ok();
        thread::spawn(move || {
            send_until_gone((instance, address), format!("t1-late-{seed:x}-{client}"), caller)
        })
    });
    let uploads = (0..UPLOADS).map(|client| {
        let random = ChaCha8Rng::seed_from_u64(seed ^ client);
        let id = format!("t1-upload-{seed:x}-{client}");
        thread::spawn(move || {
            upload((instance, address), id, signalled, random).into_iter().collect()
        })
    });
    steady.chain(uploads).collect()
}

/// Sends requests that must not be repeated until no connection can be opened.
fn send_until_gone(
    (instance, address): (u8, net::SocketAddr),
    prefix: String,
    mut caller: Option<Caller>,
) -> Vec<SentRequest> {
    let begun = Instant::now();
    let mut sent = Vec::new();
    while begun.elapsed() < STOP_GRACE_PERIOD {
        let Some(mut open) = caller.take().or_else(|| Caller::connect(address).ok()) else {
            break;
        };
        let request = traffic::request(format!("{prefix}-{}", sent.len()), "unsafe", (0, 0));
        let from = Instant::now();
        let outcome = open.send(&request);
        caller = (!open.closing && !matches!(outcome, Outcome::Cut(_))).then_some(open);
        sent.push(SentRequest {
            id: request.id,
            route: "unsafe",
            instance,
            from,
            to: Instant::now(),
            closed_idle_since: None,
            outcome: Some(outcome),
        });
        thread::sleep(PAUSE);
    }
    sent
}

/// Sends a request whose last byte follows late; returns `None` if the instance is gone when it begins.
fn upload(
    (instance, address): (u8, net::SocketAddr),
    id: String,
    signalled: Instant,
    mut random: ChaCha8Rng,
) -> Option<SentRequest> {
    let start = Duration::from_millis(random.random_range(UPLOAD_START_MS));
    let sending = Duration::from_millis(random.random_range(UPLOAD_TIME_MS));
    let route = ["unsafe", "once", "draft"][random.random_range(0..3)];
    let tokens = random.random_range(traffic::LONG_ANSWER_TOKENS);
    let request = traffic::request(id, route, (1_000, tokens));
    let request = Request { deadline: UPLOAD_DEADLINE, ..request };
    thread::sleep(start.saturating_sub(signalled.elapsed()));
    let mut caller = Caller::connect(address).ok()?;
    let from = Instant::now();
    let outcome = match caller.write_slowly(&request, sending) {
        Ok(()) => caller.read(&request),
        Err(_) => Outcome::Cut(false),
    };
    let (id, to, outcome) = (request.id, Instant::now(), Some(outcome));
    Some(SentRequest { id, route, instance, from, to, closed_idle_since: None, outcome })
}
