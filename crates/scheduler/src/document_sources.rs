//! Whom a scheduler asks for documents.
//!
//! In each data centre the first two live instances, in an order all agree on, watch the platform.
//! Each of the others watches one that comes earlier in the order, at most [`FAN_OUT`] of them one
//! instance, so that a change reaches the last of 76 after three hops.

use std::{cell, net, rc};

use slipturn_core::{fleet_list, ids, rendezvous};
use slipturn_net::{document_feed, local_settings, scheduler_link};

use crate::{event, state};

/// Instances of a data centre that watch the platform.
const PLATFORM_WATCHERS: usize = 2;
/// Instances that watch one instance.
const FAN_OUT: usize = 4;

/// A scheduler's documents as the feed sees them.
pub struct SchedulerDocuments {
    local: rc::Rc<local_settings::LocalSettings>,
    state: rc::Rc<cell::RefCell<state::SchedulerState>>,
    events: event::EventSender,
}

impl SchedulerDocuments {
    /// The documents in `state`, which changes only through `events`.
    pub fn new(
        local: rc::Rc<local_settings::LocalSettings>,
        state: rc::Rc<cell::RefCell<state::SchedulerState>>,
        events: event::EventSender,
    ) -> Self {
        Self { local, state, events }
    }
}

impl document_feed::DocumentHolder for SchedulerDocuments {
    fn known(&self) -> scheduler_link::KnownDocuments {
        self.state.borrow().documents().known()
    }

    fn sources(&self) -> Vec<document_feed::FeedSource> {
        let state = self.state.borrow();
        let local = &self.local;
        sources(state.documents().list(), &local.instance, &local.data_center, &local.platform)
    }

    fn take(&self, update: scheduler_link::DocumentUpdate) {
        // The loop that owns the state has ended only when the process is stopping.
        let _ = self.events.unbounded_send(event::SchedulerEvent::Documents(update));
    }

    fn all_silent(&self) {
        log::warn!("neither platform nor peers answer; working from the documents held");
    }

    fn jitter(&self) -> f64 {
        // Two processes need only differ, and their names do.
        let hash = rendezvous::stable_hash(&[self.local.instance.as_str()]);
        (hash % 1_000) as f64 / 1_000.0
    }
}

/// Sources for one instance, best first.
pub fn sources(
    list: &fleet_list::FleetList,
    instance: &ids::InstanceId,
    data_center: &ids::DataCenterId,
    platform: &[net::SocketAddr],
) -> Vec<document_feed::FeedSource> {
    let order = rendezvous::data_center_order(list, data_center);
    let position = order.iter().position(|record| record.name == *instance);
    let platform_sources = platform.iter().copied().map(document_feed::FeedSource::Platform);
    let peer =
        |record: &fleet_list::InstanceRecord| document_feed::FeedSource::Peer(record.scheduler);
    let platform_watchers =
        order.iter().take(PLATFORM_WATCHERS).filter(|record| record.name != *instance);
    let remote = list
        .live_instances()
        .filter(|record| record.data_center != *data_center)
        .take(PLATFORM_WATCHERS);
    match position {
        Some(position) if position >= PLATFORM_WATCHERS => {
            let parent = order[(position - PLATFORM_WATCHERS) / FAN_OUT];
            let mut sources = vec![peer(parent)];
            sources.extend(
                platform_watchers
                    .filter(|record| record.name != parent.name)
                    .map(|record| peer(record)),
            );
            sources.extend(platform_sources);
            sources.extend(remote.map(peer));
            sources
        }
        _ => {
            let mut sources: Vec<_> = platform_sources.collect();
            sources.extend(platform_watchers.map(|record| peer(record)));
            sources.extend(remote.map(peer));
            sources
        }
    }
}
