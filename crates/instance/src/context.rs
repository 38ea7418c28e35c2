//! What all tasks of one process share.

use std::{cell, collections, rc, time};

use futures::{channel::mpsc, channel::oneshot, future};
use slipturn_core::{
    class_worth, connection_share, engine_place, failure_detector, fleet_budget, ids,
    member_heartbeat, membership, planner, planner_key, quarantine, rendezvous, search_budget,
    send_counts, send_gate, store_tracker, units,
};
use slipturn_net::process;

use crate::{
    border, document_answers, fleet_state, instance_settings, instance_stats, peer_message,
    planner_set, quarantine_gate, quota_coordinator, upstream_ends, upstream_load, upstream_pool,
    upstream_silence, upstream_starts,
};

/// Age at which a process knows how many members there are; heartbeats are a second apart at most.
const SURE_AGE: time::Duration = time::Duration::from_secs(3);

/// Shortest time in which a place is looked for, also after a long first attempt.
pub(crate) const MIN_PLACE_TIME: time::Duration = time::Duration::from_millis(200);

/// A message to another member, or to all.
#[derive(Debug)]
pub struct Outgoing {
    /// Where it goes.
    pub to: std::net::SocketAddrV4,
    /// What is said.
    pub message: peer_message::PeerMessage,
}

/// A place in use by a request of this process.
#[derive(Debug, Clone)]
pub struct HeldLease {
    /// The planner that gave it.
    pub key: planner_key::PlannerKey,
    /// The lease, as it is repeated to the planner.
    pub lease: engine_place::PlaceLease,
}

/// Shared by all tasks of one process; all run on one thread.
pub struct InstanceContext {
    /// Settings as of now; replaced by a reload.
    pub settings: cell::RefCell<rc::Rc<instance_settings::InstanceSettings>>,
    /// The outside.
    pub border: rc::Rc<dyn border::PlatformBorder>,
    /// Time since the start.
    pub clock: process::ProcessClock,
    /// This start of the process.
    pub boot: u64,
    /// Whether a planned stop was asked for.
    pub stop: process::StopSignal,
    /// Ends when resting connections are to be closed.
    pub closing: future::Shared<oneshot::Receiver<()>>,
    /// Routes and upstreams.
    pub fleet: cell::RefCell<fleet_state::FleetState>,
    /// Other instances.
    pub members: cell::RefCell<membership::MemberView>,
    /// The failure detector of the members.
    pub detector: cell::RefCell<failure_detector::FailureDetector>,
    /// When this process last denied a suspicion of itself.
    pub denied: cell::Cell<Option<units::MonoTime>>,
    /// What requests of each class are worth.
    pub classes: cell::RefCell<class_worth::ClassWorth>,
    /// Planners of services that this process plans for.
    pub planners: cell::RefCell<planner_set::PlannerSet>,
    /// Places in use by this process's requests.
    pub leases: cell::RefCell<collections::HashMap<engine_place::JobId, HeldLease>>,
    /// The other member that last planned for a key, as this process sees it.
    pub planned_by: cell::RefCell<collections::BTreeMap<planner_key::PlannerKey, ids::InstanceId>>,
    /// Cells that requests may ask beyond the first ones.
    pub search: cell::RefCell<search_budget::SearchBudget>,
    /// Requests waiting for a grant.
    pub grants: cell::RefCell<collections::HashMap<engine_place::JobId, peer_message::ReplySender>>,
    /// Retries of this process by service.
    pub retries: cell::RefCell<collections::HashMap<ids::ServiceId, fleet_budget::RetryShare>>,
    /// Idle connections to upstreams.
    pub pool: upstream_pool::UpstreamPool,
    /// What upstreams of plain services do for this process.
    pub loads: cell::RefCell<upstream_load::UpstreamLoads>,
    /// Requests that this process sent lately.
    pub sent: cell::RefCell<send_counts::SendCounts>,
    /// Shared quotas of the fleet, coordinated here or elsewhere.
    pub quotas: quota_coordinator::QuotaState,
    /// Attempts that wait for starts of upstreams.
    pub starts: upstream_starts::StartWaiters,
    /// Evidence against requests that crash upstreams.
    pub quarantine: cell::RefCell<quarantine::QuarantineTable>,
    /// Signals that a request was quarantined.
    pub verdicts: quarantine_gate::VerdictSignal,
    /// Second of the last gossip requests, and their number within it.
    pub gossip_requests: cell::Cell<(u64, usize)>,
    /// Answers to members about the store's documents.
    pub answers: cell::RefCell<document_answers::DocumentAnswers>,
    /// When silent connections were last logged.
    pub silence_log: upstream_silence::SilenceLog,
    /// Counters and histograms.
    pub stats: cell::RefCell<instance_stats::InstanceStats>,
    /// The last requests that ended.
    pub records: cell::RefCell<crate::request_record::RecordLog>,
    /// Requests and memory orders in progress.
    pub busy: cell::Cell<usize>,
    /// What is believed of the store, and of documents that other members have.
    pub belief: cell::RefCell<store_tracker::StoreTracker>,
    /// Members that joined since the last heartbeat, for the log.
    pub joined: cell::Cell<usize>,
    /// Heartbeats sent so far.
    pub beats: cell::Cell<u64>,
    /// When this process noticed that it had been paused; it plans for no one shortly after.
    pub woke: cell::Cell<units::MonoTime>,
    /// Until when requests wait for places, once a planned stop has begun.
    pub places_until: cell::Cell<Option<units::MonoTime>>,
    /// When the last caller could not be let in; nothing once one was.
    pub not_let_in: cell::Cell<Option<units::MonoTime>>,
    /// Messages to other members.
    pub outgoing: mpsc::UnboundedSender<Outgoing>,
    /// News of runs at upstreams.
    runs: mpsc::UnboundedSender<upstream_ends::RunNews>,
    sequence: cell::Cell<u64>,
}

/// Parts that a context is made of.
pub struct ContextParts {
    /// Settings.
    pub settings: instance_settings::InstanceSettings,
    /// The outside.
    pub border: rc::Rc<dyn border::PlatformBorder>,
    /// Planned stop.
    pub stop: process::StopSignal,
    /// Ends when resting connections are to be closed.
    pub closing: oneshot::Receiver<()>,
    /// Messages to other members.
    pub outgoing: mpsc::UnboundedSender<Outgoing>,
    /// News of runs at upstreams.
    pub runs: mpsc::UnboundedSender<upstream_ends::RunNews>,
}

impl InstanceContext {
    /// A context of a process that has just started.
    pub fn new(parts: ContextParts) -> Self {
        use futures::FutureExt as _;
        let seeds = parts.settings.member_seeds();
        let own = parts.settings.name.clone();
        let options = planner::PlannerOptions {
            routing: parts.settings.routing,
            ways: parts.settings.experiments,
        };
        let members = membership::MemberView::new(own.clone(), seeds);
        let place = rendezvous::stable_hash(&[own.as_str()]);
        let detector = failure_detector::FailureDetector::new(place);
        let load_choice = parts.settings.experiments.load_choice;
        let loads = upstream_load::UpstreamLoads::new(load_choice, own.as_str());
        let mut fleet = fleet_state::FleetState::new(rc::Rc::clone(&parts.border));
        fleet.list.notices_mut().set_return(parts.settings.experiments.rest_return);
        fleet.list.set_rewrite_time(parts.settings.rewrite_time());
        fleet.list.set_cold_way(parts.settings.experiments.cold_upstreams);
        Self {
            border: parts.border,
            clock: process::ProcessClock::start(),
            boot: rand::random(),
            stop: parts.stop,
            closing: parts.closing.shared(),
            fleet: cell::RefCell::new(fleet),
            members: cell::RefCell::new(members),
            detector: cell::RefCell::new(detector),
            denied: cell::Cell::new(None),
            planners: cell::RefCell::new(planner_set::PlannerSet::new(own, options)),
            classes: cell::RefCell::default(),
            leases: cell::RefCell::default(),
            planned_by: cell::RefCell::default(),
            search: cell::RefCell::default(),
            grants: cell::RefCell::default(),
            retries: cell::RefCell::default(),
            pool: upstream_pool::UpstreamPool::default(),
            loads: cell::RefCell::new(loads),
            sent: cell::RefCell::default(),
            quotas: quota_coordinator::QuotaState::default(),
            starts: upstream_starts::StartWaiters::default(),
            quarantine: cell::RefCell::default(),
            verdicts: quarantine_gate::VerdictSignal::default(),
            gossip_requests: cell::Cell::default(),
            answers: cell::RefCell::default(),
            silence_log: upstream_silence::SilenceLog::default(),
            stats: cell::RefCell::default(),
            records: cell::RefCell::default(),
            busy: cell::Cell::new(0),
            belief: cell::RefCell::default(),
            joined: cell::Cell::new(0),
            beats: cell::Cell::new(0),
            woke: cell::Cell::new(units::MonoTime::default()),
            places_until: cell::Cell::new(None),
            not_let_in: cell::Cell::new(None),
            outgoing: parts.outgoing,
            runs: parts.runs,
            sequence: cell::Cell::new(0),
            settings: cell::RefCell::new(rc::Rc::new(parts.settings)),
        }
    }

    /// The time since the start.
    pub fn now(&self) -> units::MonoTime {
        self.clock.now()
    }

    /// The settings as of now.
    pub fn settings(&self) -> rc::Rc<instance_settings::InstanceSettings> {
        rc::Rc::clone(&self.settings.borrow())
    }

    /// An id of an attempt that no other attempt of any member has.
    pub fn next_job(&self) -> engine_place::JobId {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        engine_place::JobId { boot: self.boot, sequence }
    }

    /// Sends a message to another member.
    pub fn send_to(&self, to: std::net::SocketAddrV4, message: peer_message::PeerMessage) {
        // The receiver lives as long as the process.
        let _ = self.outgoing.unbounded_send(Outgoing { to, message });
    }

    /// Reports the end of a run.
    pub(crate) fn report_run(&self, news: upstream_ends::RunNews) {
        // The receiver lives as long as the process.
        let _ = self.runs.unbounded_send(news);
    }

    /// The next heartbeat.
    pub fn next_beat(&self) -> member_heartbeat::MemberHeartbeat {
        let sequence = self.beats.get() + 1;
        self.beats.set(sequence);
        let others = self.members.borrow().sample_addresses(sequence);
        member_heartbeat::MemberHeartbeat { sequence, others, ..self.own_beat() }
    }

    /// What this process says of itself, as of its last heartbeat's number and naming no others.
    pub fn own_beat(&self) -> member_heartbeat::MemberHeartbeat {
        let settings = self.settings();
        let fleet = self.fleet.borrow();
        let now = self.now();
        let awake = self.woke.get() == units::MonoTime::default()
            || membership::MemberView::is_old_enough_to_plan(now.since(self.woke.get()));
        let age = now.since(units::MonoTime::default());
        let plans = fleet.is_known() && awake && membership::MemberView::is_old_enough_to_plan(age);
        member_heartbeat::MemberHeartbeat {
            name: settings.name.clone(),
            boot: self.boot,
            sequence: self.beats.get(),
            address: settings.member_address,
            data_center: settings.data_center.clone(),
            cpu: (settings.cpu_share * 1_000.0) as u32,
            plans,
            leaving: self.stop.asked(),
            routes: fleet.routes.version.0,
            list: fleet.list.revision(),
            watches: self.belief.borrow().is_reliable_watcher(),
            others: Vec::new(),
        }
    }

    /// Versions of routes and list here.
    pub fn versions(&self) -> store_tracker::DocumentVersions {
        let fleet = self.fleet.borrow();
        let (routes, list) = (fleet.routes.version.0, fleet.list.revision());
        store_tracker::DocumentVersions { routes, list }
    }

    /// For how long routes, and a list of upstreams, that other members have are missing here.
    pub fn lags(&self) -> store_tracker::DocumentLags {
        let now = self.now();
        let newest = self.members.borrow().newest(now);
        self.belief.borrow_mut().lags(now, self.versions(), newest)
    }

    /// Members believed to exist; `None` while that cannot be known.
    pub fn member_count(&self) -> Option<usize> {
        let age = self.now().since(units::MonoTime::default());
        let members = self.members.borrow();
        let alone = members.alive(self.now()).next().is_none();
        (age > SURE_AGE && !alone).then(|| members.size())
    }

    /// The planner that a request for a service asks, of one of its cells; nothing where all have
    /// `refused` it.
    pub fn pick_planner(
        &self,
        service: &ids::ServiceId,
        turn: send_gate::TrialTurn,
        refused: &[u16],
    ) -> Option<planner_key::PlannerKey> {
        let fleet = self.fleet.borrow();
        let cells = planner_key::cell_count(fleet.list.listed_count(service));
        let usable = fleet.list.usable(service);
        let engines: Vec<_> = usable.into_iter().map(|entry| &entry.name).collect();
        let closed = fleet.list.closed(self.now(), service, turn);
        let drawn = rand::random_range(0..=engines.len());
        planner_key::pick(service, cells, &engines, &closed, refused, drawn)
    }

    /// Engines of a planner that the list names as live and that must get no request from this instance now.
    pub fn closed_engines(
        &self,
        key: &planner_key::PlannerKey,
        turn: send_gate::TrialTurn,
    ) -> Vec<ids::UpstreamId> {
        let fleet = self.fleet.borrow();
        let closed = fleet.list.closed(self.now(), &key.service, turn);
        if closed.is_empty() {
            return Vec::new();
        }
        let cells = planner_key::cell_count(fleet.list.listed_count(&key.service));
        let in_cell =
            |name: &&&ids::UpstreamId| planner_key::cell_of(&key.service, name, cells) == key.cell;
        closed.iter().filter(in_cell).map(|name| (*name).clone()).collect()
    }

    /// Whether a request that asks for a place now may still get one, also during a planned stop.
    pub fn grants_places(&self) -> bool {
        self.places_until.get().is_none_or(|until| self.now() + MIN_PLACE_TIME < until)
    }

    /// Connections to an upstream that this process keeps at rest, at most.
    pub fn resting_share(&self, upstream: &ids::UpstreamId) -> usize {
        let fleet = self.fleet.borrow();
        let service = fleet.list.entry(upstream).map(|entry| &entry.service);
        let service = service.and_then(|service| fleet.routes.services.get(service));
        let limit = service.map_or(usize::MAX, |service| service.connection_limit);
        let members = self.members.borrow().size();
        let share = connection_share::resting(limit, members, &self.settings().name, upstream);
        share.min(upstream_pool::MAX_RESTING)
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &ids::ServiceId) {
        self.retry_share(service, fleet_budget::RetryShare::count_request);
    }

    /// Takes one retry from this process's own share.
    pub fn take_retry(&self, service: &ids::ServiceId) -> bool {
        let members = self.member_count();
        self.retry_share(service, |share, now| share.take(now, members))
    }

    fn retry_share<T>(
        &self,
        service: &ids::ServiceId,
        work: impl FnOnce(&mut fleet_budget::RetryShare, units::MonoTime) -> T,
    ) -> T {
        let bound = self.settings().bounds.retry_bound();
        let mut retries = self.retries.borrow_mut();
        let share =
            retries.entry(service.clone()).or_insert_with(|| fleet_budget::RetryShare::new(bound));
        work(share, self.now())
    }
}

/// Counts one piece of work as in progress for as long as it lives.
pub struct BusyGuard(rc::Rc<InstanceContext>);

impl BusyGuard {
    /// Starts counting.
    pub fn new(context: &rc::Rc<InstanceContext>) -> Self {
        context.busy.set(context.busy.get() + 1);
        Self(rc::Rc::clone(context))
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}
