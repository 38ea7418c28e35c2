//! The documents an entry holds, as the feed sees them.

use std::{cell, net, rc};

use slipturn_core::rendezvous;
use slipturn_net::{document_feed, local_settings, scheduler_link};

use crate::event;

/// Schedulers of other instances that an entry asks when its own one is silent.
const OTHER_SCHEDULERS: usize = 2;

/// What the director makes known of its documents.
#[derive(Debug, Default)]
pub struct DocumentSummary {
    /// Their numbers.
    pub known: cell::Cell<scheduler_link::KnownDocuments>,
    /// Pauses of the process noticed so far.
    pub wakes: cell::Cell<u64>,
    /// Schedulers of other instances, nearest first.
    pub schedulers: cell::RefCell<Vec<net::SocketAddr>>,
}

/// An entry's documents.
pub struct EntryDocuments {
    local: rc::Rc<local_settings::LocalSettings>,
    summary: rc::Rc<DocumentSummary>,
    events: event::EventSender,
    /// Wakes when the sources were last asked.
    wakes_when_asked: cell::Cell<u64>,
}

impl EntryDocuments {
    /// The documents in `summary`, which change only through `events`.
    pub fn new(
        local: rc::Rc<local_settings::LocalSettings>,
        summary: rc::Rc<DocumentSummary>,
        events: event::EventSender,
    ) -> Self {
        Self { local, summary, events, wakes_when_asked: cell::Cell::new(0) }
    }
}

impl document_feed::DocumentHolder for EntryDocuments {
    fn known(&self) -> scheduler_link::KnownDocuments {
        self.summary.known.get()
    }

    fn sources(&self) -> Vec<document_feed::FeedSource> {
        self.wakes_when_asked.set(self.summary.wakes.get());
        let local_scheduler = self.local.listen.scheduler;
        let schedulers = self.summary.schedulers.borrow();
        let others =
            schedulers.iter().filter(|one| **one != local_scheduler).take(OTHER_SCHEDULERS);
        let peers = std::iter::once(&local_scheduler).chain(others);
        let platform = self.local.platform.iter().copied();
        peers
            .copied()
            .map(document_feed::FeedSource::Peer)
            .chain(platform.map(document_feed::FeedSource::Platform))
            .collect()
    }

    fn take(&self, update: scheduler_link::DocumentUpdate) {
        self.events.send_to(event::EntryEvent::Documents(update, self.wakes_when_asked.get()));
    }

    fn all_silent(&self) {
        self.events.send_to(event::EntryEvent::AllSilent(self.wakes_when_asked.get()));
    }

    fn jitter(&self) -> f64 {
        // Two processes need only differ, and their names do.
        let hash = rendezvous::stable_hash(&["entry", self.local.instance.as_str()]);
        (hash % 1_000) as f64 / 1_000.0
    }
}
