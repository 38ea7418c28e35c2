//! State shared by all tasks of an instance's process.

use std::{cell, collections, rc, time};

use futures::{channel::mpsc, channel::oneshot, future};
use slipturn_core::{
    attempt_limits, class_worth, connection_share, engine_place, failure_detector, fleet_budget,
    ids, member_heartbeat, membership, planner, planner_key, planner_silence, quarantine,
    relay_choice, rendezvous, search_budget, send_counts, send_gate, share_factors, stop_schedule,
    store_tracker, task_panics, units, upstream_reach,
};
use slipturn_net::process;

use crate::{
    adapter, document_answers, fleet_state, instance_settings, instance_stats, intake, part_gossip,
    peer_message, planner_set, quarantine_gate, quota_coordinator, relay_server, start_gate,
    upstream_ends, upstream_load, upstream_pool, upstream_silence, upstream_starts,
};

/// Process age from which the member count is reliable; heartbeats are at most a second apart.
const MEMBER_COUNT_MIN_AGE: time::Duration = time::Duration::from_secs(3);

/// Minimum time for which an attempt may wait for a place (the assignment of its request to engines), even if earlier
/// attempts have used up the time that the caller waits for an event. Only the request's deadline shortens it.
pub(crate) const MIN_PLACE_TIME: time::Duration = time::Duration::from_millis(200);

/// A message to another member.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// Address of the recipient.
    pub to: std::net::SocketAddrV4,
    /// The message, sent as one datagram.
    pub message: peer_message::PeerMessage,
}

/// A lease on a place (the assignment of a request to engines), which this process renews at the planner while the
/// request runs.
#[derive(Debug, Clone)]
pub struct HeldLease {
    /// The planner that granted the place.
    pub key: planner_key::PlannerKey,
    /// The lease that is renewed at the planner.
    pub lease: engine_place::PlaceLease,
}

/// State shared by all tasks of the process, which run on one thread.
pub struct InstanceContext {
    /// Current settings; a reload replaces them.
    pub settings: cell::RefCell<rc::Rc<instance_settings::InstanceSettings>>,
    /// Adapter that translates the headers, paths and documents of the platform.
    pub adapter: rc::Rc<dyn adapter::InstanceAdapter>,
    /// Clock that counts from the start of the process.
    pub clock: process::ProcessClock,
    /// Random id of this start of the process.
    pub boot: u64,
    /// Signals that a graceful stop was requested.
    pub stop: process::StopSignal,
    /// Completes when idle connections of callers are to be closed, during a graceful stop.
    pub closing: future::Shared<oneshot::Receiver<()>>,
    /// Completes when the remaining requests are to be answered, right before the exit of a graceful stop.
    pub exiting: future::Shared<oneshot::Receiver<()>>,
    /// Routes and the list of upstreams that are in force in this process.
    pub fleet: cell::RefCell<fleet_state::FleetState>,
    /// The other instances of the fleet.
    pub members: cell::RefCell<membership::MemberView>,
    /// Failure detector for the other members.
    pub detector: cell::RefCell<failure_detector::FailureDetector>,
    /// When this process last refuted a suspicion of itself; `None` if it never did.
    pub last_refuted: cell::Cell<Option<units::MonoTime>>,
    /// Mean prompt lengths by class of requests. From them the worth of a request is computed: its weight at the
    /// planner when requests compete for engine time.
    pub classes: cell::RefCell<class_worth::ClassWorth>,
    /// Planners that run in this process.
    pub planners: cell::RefCell<planner_set::PlannerSet>,
    /// Options of the planners, also of those that begin anew after a panic.
    pub(crate) planner_options: planner::PlannerOptions,
    /// Panics of planners and permanent tasks; if they repeat, other members plan.
    pub panics: cell::RefCell<task_panics::TaskPanics>,
    /// Leases on the places that this process's requests use.
    pub leases: cell::RefCell<collections::HashMap<engine_place::JobId, HeldLease>>,
    /// The other member from which this process last requested a place (the assignment of a request to engines), by
    /// planner key (service and cell).
    pub planned_by: cell::RefCell<collections::BTreeMap<planner_key::PlannerKey, ids::InstanceId>>,
    /// Budget for requesting places from further cells (groups of a service's engines) after a refusal.
    pub search_budget: cell::RefCell<search_budget::SearchBudget>,
    /// Channels for planners' replies, by the attempt that waits for a place.
    pub reply_senders:
        cell::RefCell<collections::HashMap<engine_place::JobId, peer_message::ReplySender>>,
    /// This process's share of the retry budget, by service.
    pub retries: cell::RefCell<collections::HashMap<ids::ServiceId, fleet_budget::RetryShare>>,
    /// Idle connections to upstreams.
    pub pool: upstream_pool::UpstreamPool,
    /// Load and health of the upstreams of plain services, which run no model.
    pub loads: cell::RefCell<upstream_load::UpstreamLoads>,
    /// Number of upstreams that were slow at the last round of gossip, for the log.
    pub slow_upstreams: cell::Cell<usize>,
    /// Evidence of whether this process reaches upstreams over its own links.
    pub reach: cell::RefCell<upstream_reach::UpstreamReach>,
    /// Choice of the members that relay connections to upstreams which this process does not reach.
    pub relays: cell::RefCell<relay_choice::RelayChoice>,
    /// Connections that this process relays for other members.
    pub relayed: cell::RefCell<relay_server::RelayedConnections>,
    /// Numbers of requests recently sent to each upstream.
    pub sent: cell::RefCell<send_counts::SendCounts>,
    /// Quotas shared by the fleet, coordinated by this process or by other members.
    pub quotas: quota_coordinator::QuotaState,
    /// Attempts to be notified when an upstream restarts.
    pub starts: upstream_starts::StartWaiters,
    /// Evidence about requests that crash upstreams.
    pub quarantine: cell::RefCell<quarantine::QuarantineTable>,
    /// Evidence about parts of prompts that crash engines, and the quarantines in force.
    pub part_state: cell::RefCell<part_gossip::PartState>,
    /// Temporary weights of customers.
    pub share_factors: cell::RefCell<share_factors::ShareFactors>,
    /// Wakes all requests in progress when a request has been quarantined, so that each checks whether it is
    /// quarantined.
    pub verdicts: quarantine_gate::VerdictSignal,
    /// Process age, in seconds, when gossip state was last requested from a member that had joined,
    /// and the number of such requests in that second.
    pub gossip_requests: cell::Cell<(u64, usize)>,
    /// Encoded answers to members that request documents, and the number of large ones in flight.
    pub answers: cell::RefCell<document_answers::DocumentAnswers>,
    /// Rate limiter for log lines about silent connections.
    pub silence_log: upstream_silence::SilenceLog,
    /// Counters and latency histograms of this process, for operators.
    pub stats: cell::RefCell<instance_stats::InstanceStats>,
    /// Records of the last completed requests.
    pub records: cell::RefCell<crate::request_record::RecordLog>,
    /// Whether this process became a planner soon after its start because no older member could be one.
    pub plans_since_start: cell::Cell<bool>,
    /// Time limits that callers have stated, by which retries are recognized.
    pub attempt_limits: cell::RefCell<attempt_limits::AttemptLimits>,
    /// Reply times of planners in other members.
    pub reply_times: cell::RefCell<planner_silence::ReplyTimes>,
    /// Requests held while this process has just started and does not know the routes.
    pub start_holds: cell::RefCell<start_gate::StartHolds>,
    /// Bounds on what callers make this process hold; `None` unless the settings state the machine's limits.
    pub(crate) intake: Option<cell::RefCell<intake::IntakeState>>,
    /// Number of requests, and of releases of engine memory, in progress; a graceful stop waits for them.
    pub busy: cell::Cell<usize>,
    /// Believed state of the store, and document versions that other members have.
    pub store_tracker: cell::RefCell<store_tracker::StoreTracker>,
    /// Number of members that joined since the last heartbeat, for the log.
    pub joined_members: cell::Cell<usize>,
    /// Sequence number of the last heartbeat.
    pub heartbeat_sequence: cell::Cell<u64>,
    /// When this process last detected that it had been paused; shortly after that, other members are preferred as
    /// planners. The default if it was never paused.
    pub resumed_at: cell::Cell<units::MonoTime>,
    /// Times of the graceful stop; `None` unless one has begun.
    pub stop_schedule: cell::Cell<Option<stop_schedule::StopSchedule>>,
    /// When accepting a caller's connection last failed; `None` once one has been accepted since.
    pub accept_failed_at: cell::Cell<Option<units::MonoTime>>,
    /// Queue of messages to other members, read by `peers::send_all`.
    pub outgoing: mpsc::UnboundedSender<OutgoingMessage>,
    /// Queue of events about requests running at upstreams, read by
    /// `upstream_ends::find_ended_upstreams`.
    runs: mpsc::UnboundedSender<upstream_ends::RunEvent>,
    /// Sequence number of the last attempt id.
    sequence: cell::Cell<u64>,
}

/// Arguments of [`InstanceContext::new`].
pub struct ContextParts {
    /// Settings at the start of the process; a reload does not change the planners' options derived from them.
    pub settings: instance_settings::InstanceSettings,
    /// Adapter that translates the headers, paths and documents of the platform.
    pub adapter: rc::Rc<dyn adapter::InstanceAdapter>,
    /// Signals that a graceful stop was requested.
    pub stop: process::StopSignal,
    /// Completes when idle connections of callers are to be closed, during a graceful stop.
    pub closing: oneshot::Receiver<()>,
    /// Completes when the remaining requests are to be answered, right before the exit of a graceful stop.
    pub exiting: oneshot::Receiver<()>,
    /// Queue of messages to other members; its receiver must live as long as the process.
    pub outgoing: mpsc::UnboundedSender<OutgoingMessage>,
    /// Queue of events about requests running at upstreams; its receiver must live as long as the
    /// process.
    pub runs: mpsc::UnboundedSender<upstream_ends::RunEvent>,
}

impl InstanceContext {
    /// Creates the context of a process that has just started.
    pub fn new(parts: ContextParts) -> Self {
        use futures::FutureExt as _;
        let seeds = parts.settings.member_seeds();
        let own = parts.settings.name.clone();
        let options = planner::PlannerOptions {
            routing: parts.settings.routing,
            modes: parts.settings.experiments,
            sharing: parts.settings.sharing,
        };
        let members = membership::MemberView::new(own.clone(), seeds);
        let place = rendezvous::stable_hash(&[own.as_str()]);
        let detector = failure_detector::FailureDetector::new(place);
        let load_choice = parts.settings.experiments.load_choice;
        let loads = upstream_load::UpstreamLoads::new(load_choice, own.as_str())
            .with_speeds(parts.settings.sharing.speeds);
        let limits = attempt_limits::AttemptLimits::new(parts.settings.sharing.attempts);
        let mut fleet = fleet_state::FleetState::new(rc::Rc::clone(&parts.adapter));
        fleet.list.notices_mut().set_return_mode(parts.settings.experiments.rest_return);
        fleet.list.set_rewrite_time(parts.settings.rewrite_time());
        fleet.list.set_cold_mode(parts.settings.experiments.cold_upstreams);
        Self {
            adapter: parts.adapter,
            clock: process::ProcessClock::start(),
            boot: rand::random(),
            stop: parts.stop,
            closing: parts.closing.shared(),
            exiting: parts.exiting.shared(),
            fleet: cell::RefCell::new(fleet),
            members: cell::RefCell::new(members),
            detector: cell::RefCell::new(detector),
            last_refuted: cell::Cell::new(None),
            planners: cell::RefCell::new(planner_set::PlannerSet::new(own, options)),
            planner_options: options,
            panics: cell::RefCell::default(),
            classes: cell::RefCell::default(),
            leases: cell::RefCell::default(),
            planned_by: cell::RefCell::default(),
            search_budget: cell::RefCell::default(),
            reply_senders: cell::RefCell::default(),
            retries: cell::RefCell::default(),
            pool: upstream_pool::UpstreamPool::default(),
            loads: cell::RefCell::new(loads),
            slow_upstreams: cell::Cell::default(),
            reach: cell::RefCell::default(),
            relays: cell::RefCell::default(),
            relayed: cell::RefCell::default(),
            sent: cell::RefCell::default(),
            quotas: quota_coordinator::QuotaState::default(),
            starts: upstream_starts::StartWaiters::default(),
            quarantine: cell::RefCell::default(),
            share_factors: cell::RefCell::default(),
            part_state: cell::RefCell::default(),
            verdicts: quarantine_gate::VerdictSignal::default(),
            gossip_requests: cell::Cell::default(),
            answers: cell::RefCell::default(),
            silence_log: upstream_silence::SilenceLog::default(),
            stats: cell::RefCell::default(),
            records: cell::RefCell::default(),
            plans_since_start: cell::Cell::new(false),
            attempt_limits: cell::RefCell::new(limits),
            reply_times: cell::RefCell::default(),
            start_holds: cell::RefCell::default(),
            intake: parts
                .settings
                .machine
                .map(|machine| cell::RefCell::new(intake::IntakeState::new(&machine))),
            busy: cell::Cell::new(0),
            store_tracker: cell::RefCell::default(),
            joined_members: cell::Cell::new(0),
            heartbeat_sequence: cell::Cell::new(0),
            resumed_at: cell::Cell::new(units::MonoTime::default()),
            stop_schedule: cell::Cell::new(None),
            accept_failed_at: cell::Cell::new(None),
            outgoing: parts.outgoing,
            runs: parts.runs,
            sequence: cell::Cell::new(0),
            settings: cell::RefCell::new(rc::Rc::new(parts.settings)),
        }
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> units::MonoTime {
        self.clock.now()
    }

    /// Returns the settings in force; a caller that keeps them does not see later reloads.
    pub fn settings(&self) -> rc::Rc<instance_settings::InstanceSettings> {
        rc::Rc::clone(&self.settings.borrow())
    }

    /// Returns a new attempt id, unique across all members.
    pub fn next_job(&self) -> engine_place::JobId {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        engine_place::JobId { boot: self.boot, sequence }
    }

    /// Sends a message to another member.
    pub fn send_to(&self, to: std::net::SocketAddrV4, message: peer_message::PeerMessage) {
        // Sending cannot fail, as the receiver lives as long as the process.
        let _ = self.outgoing.unbounded_send(OutgoingMessage { to, message });
    }

    /// Queues an event about a request at an upstream for `upstream_ends::find_ended_upstreams`.
    pub(crate) fn report_run(&self, event: upstream_ends::RunEvent) {
        // Sending cannot fail, as the receiver lives as long as the process.
        let _ = self.runs.unbounded_send(event);
    }

    /// Returns the next heartbeat, with the next sequence number.
    pub fn next_heartbeat(&self) -> member_heartbeat::MemberHeartbeat {
        let sequence = self.heartbeat_sequence.get() + 1;
        self.heartbeat_sequence.set(sequence);
        let others = self.members.borrow().sample_addresses(sequence);
        member_heartbeat::MemberHeartbeat { sequence, others, ..self.own_heartbeat() }
    }

    /// Returns the current state of this process as a heartbeat, which repeats the sequence number of the last
    /// heartbeat and names no other members.
    pub fn own_heartbeat(&self) -> member_heartbeat::MemberHeartbeat {
        let settings = self.settings();
        let fleet = self.fleet.borrow();
        let now = self.now();
        let awake = self.resumed_at.get() == units::MonoTime::default()
            || membership::MemberView::is_old_enough_to_plan(now.since(self.resumed_at.get()));
        let age = now.since(units::MonoTime::default());
        let may_plan =
            membership::MemberView::is_old_enough_to_plan(age) || self.plans_since_start.get();
        let is_sound = self.panics.borrow().may_plan(now);
        let plans = fleet.is_known() && awake && may_plan && is_sound;
        member_heartbeat::MemberHeartbeat {
            name: settings.name.clone(),
            boot: self.boot,
            sequence: self.heartbeat_sequence.get(),
            address: settings.member_address,
            data_center: settings.data_center.clone(),
            cpu: (settings.cpu_share * 1_000.0) as u32,
            plans,
            leaving: self.stop.is_triggered(),
            routes: fleet.routes.version.0,
            list: fleet.list.revision(),
            watches: self.store_tracker.borrow().is_reliable_watcher(),
            others: Vec::new(),
        }
    }

    /// Returns the versions of this process's routes and list of upstreams.
    pub fn versions(&self) -> store_tracker::DocumentVersions {
        let fleet = self.fleet.borrow();
        let (routes, list) = (fleet.routes.version.0, fleet.list.revision());
        store_tracker::DocumentVersions { routes, list }
    }

    /// Returns for how long this process has lacked the newest routes and list that other members have.
    pub fn lags(&self) -> store_tracker::DocumentLags {
        let now = self.now();
        let newest = self.members.borrow().newest(now);
        self.store_tracker.borrow_mut().lags(now, self.versions(), newest)
    }

    /// Returns the number of members believed to exist, or `None` if this process has just started or
    /// sees no other member.
    pub fn member_count(&self) -> Option<usize> {
        let age = self.now().since(units::MonoTime::default());
        let members = self.members.borrow();
        let alone = members.alive(self.now()).next().is_none();
        (age > MEMBER_COUNT_MIN_AGE && !alone).then(|| members.size())
    }

    /// Picks the planner from which a request for a service requests a place: that of a random cell (group of engines),
    /// weighted by its number of engines. Cells that have `refused` the request are left out and, if there are several
    /// cells, also those whose engines may all get no requests now. Returns `None` if no cell remains.
    pub fn pick_planner(
        &self,
        service: &ids::ServiceId,
        probe_permission: send_gate::ProbePermission,
        refused: &[u16],
    ) -> Option<planner_key::PlannerKey> {
        let fleet = self.fleet.borrow();
        let cells = planner_key::cell_count(fleet.list.listed_count(service));
        let usable = fleet.list.usable(service);
        let engines: Vec<_> = usable.into_iter().map(|entry| &entry.name).collect();
        let closed = fleet.list.closed(self.now(), service, probe_permission);
        let drawn = rand::random_range(0..=engines.len());
        planner_key::pick(service, cells, &engines, &closed, refused, drawn)
    }

    /// Returns the live engines in a planner's cell to which this instance must not send requests now.
    pub fn closed_engines(
        &self,
        key: &planner_key::PlannerKey,
        probe_permission: send_gate::ProbePermission,
    ) -> Vec<ids::UpstreamId> {
        let fleet = self.fleet.borrow();
        let closed = fleet.list.closed(self.now(), &key.service, probe_permission);
        if closed.is_empty() {
            return Vec::new();
        }
        let cells = planner_key::cell_count(fleet.list.listed_count(&key.service));
        let in_cell =
            |name: &&&ids::UpstreamId| planner_key::cell_of(&key.service, name, cells) == key.cell;
        closed.iter().filter(in_cell).map(|name| (*name).clone()).collect()
    }

    /// Returns whether callers are to be served by other instances, as this one does not reach upstreams.
    pub fn leaves_callers_to_others(&self) -> bool {
        self.settings().experiments.upstream_path == planner::modes::UpstreamPathMode::Unready
            && self.reach.borrow().lost().next().is_some()
    }

    /// Returns the maximum number of idle connections that this process keeps to an upstream.
    pub fn idle_connection_limit(&self, upstream: &ids::UpstreamId) -> usize {
        let fleet = self.fleet.borrow();
        let service = fleet.list.entry(upstream).map(|entry| &entry.service);
        let service = service.and_then(|service| fleet.routes.services.get(service));
        let limit = service.map_or(usize::MAX, |service| service.connection_limit);
        let members = self.members.borrow().size();
        let share = connection_share::max_idle(limit, members, &self.settings().name, upstream);
        share.min(upstream_pool::MAX_IDLE_CONNECTIONS)
    }

    /// Counts a request towards the retry budget of its service.
    pub fn count_request(&self, service: &ids::ServiceId) {
        self.retry_share(service, fleet_budget::RetryShare::count_request);
    }

    /// Takes one retry from this process's share of the retry budget of a service; returns whether there was one.
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

/// Counts one task in [`InstanceContext::busy`] until it is dropped.
pub struct BusyGuard(rc::Rc<InstanceContext>);

impl BusyGuard {
    /// Counts a task as in progress; a graceful stop waits for it as long as the grace time allows.
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
