//! Keeps a process's settings and list up to date from peers and from the platform.
//!
//! Few instances of a data centre watch the platform; the others watch one of them, and entries
//! watch their own scheduler. So the platform's reads do not grow with the fleet. Whoever
//! finds its source silent asks the next one.

use std::{net, rc, time};

use futures::future;

use crate::{document_client, http_client, scheduler_link};

/// How long one watch of a peer waits for something newer. A peer that is frozen costs this and an
/// answer's time, before the next source is asked.
const PEER_WAIT: time::Duration = time::Duration::from_secs(3);
/// How long one watch of the platform waits, where each counts as a read.
const PLATFORM_WAIT: time::Duration = time::Duration::from_secs(5);
/// Pause after all sources were silent, before jitter.
const SILENCE_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Pause after a source answered without waiting.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(20);

/// How the next question is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AskMode {
    /// Answer at once.
    AtOnce,
    /// Wait for something newer.
    Watch,
}

/// Where documents may come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedSource {
    /// The scheduler of another instance, or an entry's own.
    Peer(net::SocketAddr),
    /// The platform's configuration service.
    Platform(net::SocketAddr),
}

/// Whoever holds the documents.
pub trait DocumentHolder {
    /// What it has.
    fn known(&self) -> scheduler_link::KnownDocuments;
    /// Whom to ask now, in this order.
    fn sources(&self) -> Vec<FeedSource>;
    /// Takes in an answer. One without documents confirms what is held.
    fn take(&self, update: scheduler_link::DocumentUpdate);
    /// Learns that no source answered.
    fn sources_unreachable(&self);
    /// A number between 0 and 1, to spread pauses.
    fn jitter(&self) -> f64;
}

/// Follows the sources for ever.
pub async fn follow(
    holder: rc::Rc<dyn DocumentHolder>,
    pool: rc::Rc<http_client::ConnectionPool>,
    links: rc::Rc<scheduler_link::LinkPool>,
) {
    let mut mode = AskMode::AtOnce;
    loop {
        if ask_all(&*holder, &pool, &links, mode).await {
            mode = AskMode::Watch;
            monoio::time::sleep(MIN_PAUSE).await;
        } else {
            holder.sources_unreachable();
            mode = AskMode::AtOnce;
            monoio::time::sleep(SILENCE_PAUSE.mul_f64(1.0 + holder.jitter())).await;
        }
    }
}

/// Asks one source after the other until one answers.
async fn ask_all(
    holder: &dyn DocumentHolder,
    pool: &http_client::ConnectionPool,
    links: &scheduler_link::LinkPool,
    mode: AskMode,
) -> bool {
    for (index, source) in holder.sources().into_iter().enumerate() {
        // Only the first choice is worth waiting at; the others stand in for it.
        let wait = match (mode, source) {
            (AskMode::Watch, FeedSource::Peer(_)) if index == 0 => PEER_WAIT,
            (AskMode::Watch, FeedSource::Platform(_)) if index == 0 => PLATFORM_WAIT,
            _ => time::Duration::ZERO,
        };
        if let Some(update) = ask(holder.known(), pool, links, source, wait).await {
            holder.take(update);
            return true;
        }
    }
    false
}

/// Asks one source once; `None` when it does not answer.
pub async fn ask(
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
                log::debug!("documents: {error}");
                None
            }
        },
        FeedSource::Platform(address) => ask_platform(known, pool, address, wait).await,
    }
}

async fn ask_platform(
    known: scheduler_link::KnownDocuments,
    pool: &http_client::ConnectionPool,
    address: net::SocketAddr,
    wait: time::Duration,
) -> Option<scheduler_link::DocumentUpdate> {
    let read = |name, after| document_client::read_document(pool, address, name, after, wait);
    let settings = Box::pin(read(document_client::SETTINGS_DOCUMENT, known.settings));
    let list = Box::pin(read(document_client::LIST_DOCUMENT, known.list));
    let mut update = scheduler_link::DocumentUpdate::default();
    let answers = if wait.is_zero() {
        future::join(settings, list).await
    } else {
        // Whichever has something newer comes first; the other is asked again in the next round.
        match future::select(settings, list).await {
            future::Either::Left((settings, _)) => (settings, Ok(None)),
            future::Either::Right((list, _)) => (Ok(None), list),
        }
    };
    match answers {
        (Ok(settings), Ok(list)) => {
            update.settings = settings;
            update.list = list;
            Some(update)
        }
        (Err(error), _) | (_, Err(error)) => {
            log::debug!("documents: {error}");
            None
        }
    }
}
