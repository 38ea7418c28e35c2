//! Sources from which a scheduler fetches the published documents (settings and list).
//!
//! The live instances of a data centre have an order that is the same for all processes with the
//! same list. The first [`PLATFORM_WATCHERS`] of them watch the platform. Each other instance
//! watches an earlier one, and no instance is watched by more than [`FAN_OUT`] others, so that in a
//! data centre with 76 instances a change reaches the last one three hops after the platform's
//! watchers.

use std::{cell, net, rc};

use slipturn_core::{fleet_list, ids, rendezvous};
use slipturn_net::{document_feed, local_settings, scheduler_link};

use crate::{event, state};

/// Number of instances in each data centre that watch the platform.
const PLATFORM_WATCHERS: usize = 2;
/// Largest number of instances that watch the same instance.
const FAN_OUT: usize = 4;

/// The document feed's access to the scheduler: reads the state, and changes it through events.
pub struct SchedulerDocuments {
    local: rc::Rc<local_settings::LocalSettings>,
    state: rc::Rc<cell::RefCell<state::SchedulerState>>,
    events: event::EventSender,
}

impl SchedulerDocuments {
    /// Creates a consumer that reads from `state` and sends updates to `events`.
    pub fn new(
        local: rc::Rc<local_settings::LocalSettings>,
        state: rc::Rc<cell::RefCell<state::SchedulerState>>,
        events: event::EventSender,
    ) -> Self {
        Self { local, state, events }
    }
}

impl document_feed::FeedConsumer for SchedulerDocuments {
    fn known_versions(&self) -> scheduler_link::KnownDocuments {
        self.state.borrow().documents().known_versions()
    }

    fn sources(&self) -> Vec<document_feed::FeedSource> {
        let state = self.state.borrow();
        let local = &self.local;
        sources(state.documents().list(), &local.instance, &local.data_center, &local.platform)
    }

    fn apply(&self, update: scheduler_link::DocumentUpdate) {
        // Sending fails only after the event loop has ended, when the process is stopping.
        let _ = self.events.unbounded_send(event::SchedulerEvent::Documents(update));
    }

    fn sources_unreachable(&self) {
        log::warn!("no answer from the platform or any peer; using the documents held");
    }

    fn jitter(&self) -> f64 {
        // Instances have different names, so their pauses differ.
        let hash = rendezvous::stable_hash(&[self.local.instance.as_str()]);
        (hash % 1_000) as f64 / 1_000.0
    }
}

/// Sources from which `instance` fetches the documents, most preferred first.
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
