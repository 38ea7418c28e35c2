//! Asks each instance again and again which configuration it handles requests by.
//!
//! Each configuration adds a route and a key and removes the key of the one before it.

use std::{
    net,
    sync::{
        self,
        atomic::{self, AtomicBool},
    },
    thread, time,
};

use slipturn_platform_standin::{
    caller::{self, Outcome},
    fleet,
};

use crate::traffic;

/// Pause between two questions to an instance.
const PAUSE: time::Duration = time::Duration::from_millis(60);
/// Keys that stay, beside the one of each configuration.
const STEADY_KEYS: [&str; 2] = [fleet::KEY, "key-2"];

/// A configuration that the store has.
#[derive(Debug, Clone)]
pub struct Publication {
    /// Its new route.
    pub route: String,
    /// Its own key, which the next one removes.
    pub key: String,
    /// When the store had it.
    pub at: time::Instant,
}

/// All configurations of a run so far.
#[derive(Debug, Clone, Default)]
pub struct PublicationLog {
    entries: sync::Arc<sync::Mutex<Vec<Publication>>>,
}

impl PublicationLog {
    /// Publishes the next configuration.
    pub fn publish(&self, fleet: &mut fleet::Fleet) {
        let mut routes = self.routes();
        let number = routes.len();
        let (route, key) = (format!("new{number}"), format!("turn-{number}"));
        routes.push(route.clone());
        let names: Vec<_> = routes.iter().map(String::as_str).collect();
        let keys: Vec<_> = STEADY_KEYS.into_iter().chain([key.as_str()]).collect();
        fleet.publish_all(&names, &keys);
        self.entries().push(Publication { route, key, at: time::Instant::now() });
    }

    /// All added routes.
    pub fn routes(&self) -> Vec<String> {
        self.entries().iter().map(|entry| entry.route.clone()).collect()
    }

    /// All of them.
    pub fn all(&self) -> Vec<Publication> {
        self.entries().clone()
    }

    fn entries(&self) -> sync::MutexGuard<'_, Vec<Publication>> {
        self.entries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// What a question is about; the number is the publication's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeTarget {
    /// Its route must be there.
    Route(usize),
    /// Its key must be gone.
    RemovedKey(usize),
}

/// One question to an instance.
#[derive(Debug, Clone)]
pub struct ConfigProbe {
    /// Its id.
    pub id: String,
    /// The instance.
    pub instance: u8,
    /// What it is about.
    pub target: ProbeTarget,
    /// When it was sent, and when its answer ended.
    pub from: time::Instant,
    /// See `from`.
    pub to: time::Instant,
    /// What it came to.
    pub outcome: Outcome,
}

/// Clients that ask until told to end, one for each instance.
pub struct ConfigProber {
    stop_requested: sync::Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<Vec<ConfigProbe>>>,
}

impl ConfigProber {
    /// Starts asking.
    pub fn start(log: &PublicationLog, instances: &[net::SocketAddr]) -> Self {
        let stop_requested = sync::Arc::new(AtomicBool::new(false));
        let start = |(instance, address): (u8, &net::SocketAddr)| {
            let (stop_requested, log, address) =
                (sync::Arc::clone(&stop_requested), log.clone(), *address);
            thread::spawn(move || run_client(instance, address, &log, &stop_requested))
        };
        let clients = (0..).zip(instances).map(start).collect();
        Self { stop_requested, clients }
    }

    /// Ends all clients behind their last question.
    pub fn finish(self) -> Vec<ConfigProbe> {
        self.stop_requested.store(true, atomic::Ordering::SeqCst);
        let probes = self.clients.into_iter().filter_map(|client| client.join().ok());
        probes.flatten().collect()
    }
}

fn run_client(
    instance: u8,
    address: net::SocketAddr,
    log: &PublicationLog,
    stop_requested: &AtomicBool,
) -> Vec<ConfigProbe> {
    let mut probes = Vec::new();
    let mut turn = 0;
    while !stop_requested.load(atomic::Ordering::SeqCst) {
        thread::sleep(PAUSE);
        let published = log.all();
        let Some(target) = target(turn, published.len()) else {
            continue;
        };
        let id = format!("probe-config-{instance}-{turn}");
        turn += 1;
        let (from, outcome) = send_probe(id.clone(), address, target, &published);
        probes.push(ConfigProbe { id, instance, target, from, to: time::Instant::now(), outcome });
    }
    probes
}

/// What the next question is about: the newest route, the key removed last, and the older ones in
/// turn.
fn target(turn: usize, published: usize) -> Option<ProbeTarget> {
    let newest = published.checked_sub(1)?;
    let target = match turn % 4 {
        0 => ProbeTarget::Route(newest),
        1 if newest > 0 => ProbeTarget::RemovedKey(newest - 1),
        2 if newest > 0 => ProbeTarget::RemovedKey(turn / 4 % newest),
        _ => ProbeTarget::Route(turn / 4 % published),
    };
    Some(target)
}

fn send_probe(
    id: String,
    address: net::SocketAddr,
    target: ProbeTarget,
    published: &[Publication],
) -> (time::Instant, Outcome) {
    let mut request = traffic::request(id, "safe", (0, 0));
    match target {
        ProbeTarget::Route(number) => request.path = format!("/{}/", published[number].route),
        ProbeTarget::RemovedKey(number) => request.key = Some(published[number].key.clone()),
    }
    let from = time::Instant::now();
    (from, caller::send(address, &request))
}
