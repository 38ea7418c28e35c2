//! Keeps the settings and the list (of instances, engines and upstreams) of a process up to date
//! from peers and from the platform.
//!
//! Only a few instances of a data centre watch the platform. Each other instance watches an
//! instance of its data centre, and entries watch their own scheduler, so the load on the platform
//! does not grow with the fleet. If a source does not respond, the next one is asked.

use std::{net, rc, time};

use futures::future;

use crate::{document_client, http_client, scheduler_link};

/// Time that one watch of a peer waits for a newer document. If the peer hangs, the next source is
/// asked after this time and the margin for the response.
const PEER_WAIT: time::Duration = time::Duration::from_secs(3);
/// Time that one watch of the platform waits for a newer document. The platform counts each watch as a
/// read.
const PLATFORM_WAIT: time::Duration = time::Duration::from_secs(5);
/// Pause after a round in which no source responded. Jitter adds up to the same time again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Pause after each round with a response. It bounds the request rate if the source responds
/// without waiting.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Whether the next round of requests waits for a newer document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchMode {
    /// Every source responds at once, with or without a newer document. Used at the start and after
    /// a round in which no source responded.
    Immediate,
    /// The first source waits for a newer document; the others respond at once.
    Watch,
}

/// A source of the settings and the list, with its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedSource {
    /// The scheduler of another instance or, for an entry, of its own instance.
    Peer(net::SocketAddr),
    /// The platform's configuration service.
    Platform(net::SocketAddr),
}

/// The feed's access to the process whose settings and list it keeps up to date.
pub trait FeedConsumer {
    /// Returns the version of the settings and the revision of the list in force. Only documents
    /// newer than these are requested.
    fn known_versions(&self) -> scheduler_link::KnownDocuments;
    /// Returns the sources to ask, most preferred first. Called at the start of each round.
    fn sources(&self) -> Vec<FeedSource>;
    /// Applies an update. An update without documents confirms that those in force are current.
    fn apply(&self, update: scheduler_link::DocumentUpdate);
    /// Called after a round in which no source responded.
    fn sources_unreachable(&self);
    /// Returns a number between 0 and 1 that differs between processes. It lengthens the pause
    /// after a round without a response, so that the processes do not retry at the same time.
    fn jitter(&self) -> f64;
}

/// Keeps the documents of `consumer` up to date. Never returns.
pub async fn follow(
    consumer: rc::Rc<dyn FeedConsumer>,
    pool: rc::Rc<http_client::ConnectionPool>,
    links: rc::Rc<scheduler_link::LinkPool>,
) {
    let mut mode = FetchMode::Immediate;
    loop {
        if fetch_from_any(&*consumer, &pool, &links, mode).await {
            mode = FetchMode::Watch;
            monoio::time::sleep(MIN_PAUSE).await;
        } else {
            consumer.sources_unreachable();
            mode = FetchMode::Immediate;
            monoio::time::sleep(RETRY_PAUSE.mul_f64(1.0 + consumer.jitter())).await;
        }
    }
}

/// Asks the sources in order until one responds and applies its update. Returns whether one responded.
async fn fetch_from_any(
    consumer: &dyn FeedConsumer,
    pool: &http_client::ConnectionPool,
    links: &scheduler_link::LinkPool,
    mode: FetchMode,
) -> bool {
    for (index, source) in consumer.sources().into_iter().enumerate() {
        // Only the preferred source is watched. The others are asked when it has failed, and respond at
        // once.
        let wait = match (mode, source) {
            (FetchMode::Watch, FeedSource::Peer(_)) if index == 0 => PEER_WAIT,
            (FetchMode::Watch, FeedSource::Platform(_)) if index == 0 => PLATFORM_WAIT,
            _ => time::Duration::ZERO,
        };
        if let Some(update) = fetch(consumer.known_versions(), pool, links, source, wait).await {
            consumer.apply(update);
            return true;
        }
    }
    false
}

/// Fetches newer documents from one source. Returns `None` if the request fails.
pub async fn fetch(
    known: scheduler_link::KnownDocuments,
    pool: &http_client::ConnectionPool,
    links: &scheduler_link::LinkPool,
    source: FeedSource,
    wait: time::Duration,
) -> Option<scheduler_link::DocumentUpdate> {
    match source {
        FeedSource::Peer(address) => match links.link(address).watch(known, wait).await {
            Ok(update) => Some(update),
            Err(error) => {
                log::debug!("cannot fetch documents: {error}");
                None
            }
        },
        FeedSource::Platform(address) => fetch_from_platform(known, pool, address, wait).await,
    }
}

async fn fetch_from_platform(
    known: scheduler_link::KnownDocuments,
    pool: &http_client::ConnectionPool,
    address: net::SocketAddr,
    wait: time::Duration,
) -> Option<scheduler_link::DocumentUpdate> {
    let read = |name, after| document_client::read_document(pool, address, name, after, wait);
    let settings = Box::pin(read(document_client::SETTINGS_DOCUMENT, known.settings));
    let list = Box::pin(read(document_client::LIST_DOCUMENT, known.list));
    let mut update = scheduler_link::DocumentUpdate::default();
    let results = if wait.is_zero() {
        future::join(settings, list).await
    } else {
        // The first response ends the wait. The other document is requested again in the next round.
        match future::select(settings, list).await {
            future::Either::Left((settings, _)) => (settings, Ok(None)),
            future::Either::Right((list, _)) => (Ok(None), list),
        }
    };
    match results {
        (Ok(settings), Ok(list)) => {
            update.settings = settings;
            update.list = list;
            Some(update)
        }
        (Err(error), _) | (_, Err(error)) => {
            log::debug!("cannot fetch documents: {error}");
            None
        }
    }
}
