//! Probes each instance throughout a run to see which configuration it applies.
//!
//! Each configuration adds a route and a key and removes the key that the previous configuration
//! added.

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

/// Pause between two probes of an instance.
const PROBE_PAUSE: time::Duration = time::Duration::from_millis(60);
/// API keys that every configuration has, in addition to the key that it adds itself.
const PERMANENT_KEYS: [&str; 2] = [fleet::KEY, "key-2"];

/// A configuration that was written to the store.
#[derive(Debug, Clone)]
pub struct Publication {
    /// Route that this configuration adds.
    pub route: String,
    /// API key that this configuration adds and the next one removes.
    pub key: String,
    /// Time at which the store had the configuration.
    pub at: time::Instant,
}

/// The configurations published so far in a run, shared between threads.
#[derive(Debug, Clone, Default)]
pub struct PublicationLog {
    entries: sync::Arc<sync::Mutex<Vec<Publication>>>,
}

impl PublicationLog {
    /// Publishes the next configuration: all routes so far, a new route and a new key.
    pub fn publish(&self, fleet: &mut fleet::Fleet) {
        let mut routes = self.routes();
        let number = routes.len();
        let (route, key) = (format!("new{number}"), format!("turn-{number}"));
        routes.push(route.clone());
        let names: Vec<_> = routes.iter().map(String::as_str).collect();
        let keys: Vec<_> = PERMANENT_KEYS.into_iter().chain([key.as_str()]).collect();
        fleet.publish_routes_and_keys(&names, &keys);
        self.entries().push(Publication { route, key, at: time::Instant::now() });
    }

    /// Returns the routes added so far, oldest first.
    pub fn routes(&self) -> Vec<String> {
        self.entries().iter().map(|entry| entry.route.clone()).collect()
    }

    /// Returns the publications so far, oldest first.
    pub fn all(&self) -> Vec<Publication> {
        self.entries().clone()
    }

    fn entries(&self) -> sync::MutexGuard<'_, Vec<Publication>> {
        self.entries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// What a probe tests, with the number of the publication concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeTarget {
    /// The route that the publication added must be known.
    Route(usize),
    /// The key that the publication added must have been removed.
    RemovedKey(usize),
}

/// A probe request to an instance and its outcome.
#[derive(Debug, Clone)]
pub struct ConfigProbe {
    /// Id of the probe request, unique within the run.
    pub id: String,
    /// Number of the instance probed.
    pub instance: u8,
    /// Route or key that the probe tests; the probes of an instance take turns between new and old
    /// ones.
    pub target: ProbeTarget,
    /// Time at which the probe was sent.
    pub from: time::Instant,
    /// Time at which the answer ended.
    pub to: time::Instant,
    /// Outcome as the client saw it; statuses 401, 403 and 404 show that the instance rejected the
    /// route or the key.
    pub outcome: Outcome,
}

/// Clients that send probes until they are stopped, one for each instance.
pub struct ConfigProber {
    stop_requested: sync::Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<Vec<ConfigProbe>>>,
}

impl ConfigProber {
    /// Starts one client for each instance, which probes the publications in `log` in turn.
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

    /// Stops all clients after their current probe and returns all probes, ordered by time for each
    /// instance.
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
        thread::sleep(PROBE_PAUSE);
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

/// Chooses what the next probe tests: in turn the newest route, the key removed last, an older key
/// and an older route. `None` before the first publication.
fn target(turn: usize, publication_count: usize) -> Option<ProbeTarget> {
    let newest = publication_count.checked_sub(1)?;
    let target = match turn % 4 {
        0 => ProbeTarget::Route(newest),
        1 if newest > 0 => ProbeTarget::RemovedKey(newest - 1),
        2 if newest > 0 => ProbeTarget::RemovedKey(turn / 4 % newest),
        _ => ProbeTarget::Route(turn / 4 % publication_count),
    };
    Some(target)
}

/// Sends a probe and returns the time of sending and the outcome.
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
