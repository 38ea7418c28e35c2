//! The document feed's access to an entry: the settings and the fleet list in force, and the
//! sources of newer ones.

use std::{cell, net, rc};

use slipturn_core::rendezvous;
use slipturn_net::{document_feed, local_settings, scheduler_link};

use crate::event;

/// Number of other instances' schedulers that are asked for documents after this instance's own.
const OTHER_SCHEDULERS: usize = 2;

/// Summary of the documents in force: the director updates it, the document feed reads it.
#[derive(Debug, Default)]
pub struct DocumentSummary {
    /// Version of the settings and revision of the list in force.
    pub known: cell::Cell<scheduler_link::KnownDocuments>,
    /// Number of pauses of the process, such as suspensions, detected so far. If it changes while a
    /// source is queried, the answer may be outdated.
    pub pause_count: cell::Cell<u64>,
    /// Addresses of the schedulers of all live instances, in the order of the list.
    pub schedulers: cell::RefCell<Vec<net::SocketAddr>>,
}

/// The document feed's access to the entry: reads the summary, and sends updates to the director.
pub struct EntryDocuments {
    local: rc::Rc<local_settings::LocalSettings>,
    summary: rc::Rc<DocumentSummary>,
    events: event::EventSender,
    /// Value of [`DocumentSummary::pause_count`] when the sources were last asked, sent to the
    /// director with the result of the query.
    pauses_when_asked: cell::Cell<u64>,
}

impl EntryDocuments {
    /// Creates a consumer that reads from `summary` and sends updates to the director through
    /// `events`.
    pub fn new(
        local: rc::Rc<local_settings::LocalSettings>,
        summary: rc::Rc<DocumentSummary>,
        events: event::EventSender,
    ) -> Self {
        Self { local, summary, events, pauses_when_asked: cell::Cell::new(0) }
    }
}

impl document_feed::FeedConsumer for EntryDocuments {
    fn known_versions(&self) -> scheduler_link::KnownDocuments {
        self.summary.known.get()
    }

    fn sources(&self) -> Vec<document_feed::FeedSource> {
        self.pauses_when_asked.set(self.summary.pause_count.get());
        let local_scheduler = self.local.listen.scheduler;
        let schedulers = self.summary.schedulers.borrow();
        let others =
            schedulers.iter().filter(|address| **address != local_scheduler).take(OTHER_SCHEDULERS);
        let peers = std::iter::once(&local_scheduler).chain(others);
        let platform = self.local.platform.iter().copied();
        peers
            .copied()
            .map(document_feed::FeedSource::Peer)
            .chain(platform.map(document_feed::FeedSource::Platform))
            .collect()
    }

    fn apply(&self, update: scheduler_link::DocumentUpdate) {
        self.events.send(event::EntryEvent::Documents(update, self.pauses_when_asked.get()));
    }

    fn sources_unreachable(&self) {
        self.events.send(event::EntryEvent::SourcesUnreachable(self.pauses_when_asked.get()));
    }

    fn jitter(&self) -> f64 {
        // The jitter only has to differ between processes. A hash of the instance name does.
        let hash = rendezvous::stable_hash(&["entry", self.local.instance.as_str()]);
        (hash % 1_000) as f64 / 1_000.0
    }
}
