//! The planners that run in this process, and the origins of the requests queued in them.

use std::{collections, time};

use slipturn_core::{
    engine_place, ids,
    planner::{self, share_summary},
    planner_key, rendezvous, route_table, send_pace, units,
};

use crate::fleet_state;

/// Time without requests for places after which a planner counts as idle.
const ACTIVE_TIME: time::Duration = time::Duration::from_secs(2);

/// Engines of a planner that have a limit: the bounds of those whose limit this process coordinates,
/// and the names of those coordinated by other members.
pub type EngineLimits = (
    collections::BTreeMap<ids::UpstreamId, send_pace::PaceBound>,
    collections::BTreeSet<ids::UpstreamId>,
);

/// Number of origins beyond which those of withdrawn requests are looked for while requests wait.
const MIN_DROPPED_ORIGINS: usize = 64;

/// Origin of a request for a place (the assignment of a request to engines).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementOrigin {
    /// A request of this process.
    Local,
    /// A request of the member with this address.
    Member(std::net::SocketAddrV4),
}

/// One planner for each cell, a group of one service's engines.
#[derive(Debug)]
pub struct PlannerSet {
    /// Name of this instance, which determines the order in which its planners fill engines.
    own: ids::InstanceId,
    options: planner::PlannerOptions,
    planners: collections::BTreeMap<planner_key::PlannerKey, planner::PlacementPlanner>,
    /// Origins of queued requests, to which the answers are sent, and of some that were withdrawn.
    origins: collections::HashMap<engine_place::JobId, PlacementOrigin>,
    /// Change count of the list and version of the routes at the last [`Self::sync`].
    synced: (u64, u64),
    /// Time of the last request to each of `planners`.
    last_requests: collections::BTreeMap<planner_key::PlannerKey, units::MonoTime>,
}

impl PlannerSet {
    /// Creates a set without planners; [`Self::sync`] adds them.
    pub fn new(own: ids::InstanceId, options: planner::PlannerOptions) -> Self {
        Self {
            own,
            options,
            planners: collections::BTreeMap::new(),
            origins: collections::HashMap::new(),
            synced: (0, 0),
            last_requests: collections::BTreeMap::new(),
        }
    }

    /// Updates the planners to the current list and routes; returns at once if these have not changed.
    pub fn sync(&mut self, now: units::MonoTime, fleet: &fleet_state::FleetState) {
        let version = (fleet.list.changes(), fleet.routes.version.0);
        if version == self.synced {
            return;
        }
        for (name, service) in &fleet.routes.services {
            if let Some(shape) = &service.engine {
                self.sync_service(now, fleet, name, shape);
            }
        }
        let services = &fleet.routes.services;
        let is_planned = |service: &ids::ServiceId| {
            services.get(service).is_some_and(|known| known.engine.is_some())
        };
        self.planners.retain(|key, _| is_planned(&key.service));
        self.last_requests.retain(|key, _| self.planners.contains_key(key));
        self.synced = version;
    }

    fn sync_service(
        &mut self,
        now: units::MonoTime,
        fleet: &fleet_state::FleetState,
        name: &ids::ServiceId,
        shape: &route_table::EngineShape,
    ) {
        let usable = fleet.list.usable(name);
        let cells = planner_key::cell_count(fleet.list.listed_count(name));
        let mut engines = vec![Vec::new(); usize::from(cells)];
        for entry in usable {
            let cell = planner_key::cell_of(name, &entry.name, cells);
            // The rank depends on the instance, so that two planners of the same engines in a network
            // partition fill them in different orders.
            let rank = rendezvous::stable_hash(&[self.own.as_str(), entry.name.identifier()]);
            engines[usize::from(cell)].push((entry.name.clone(), rank));
        }
        self.planners.retain(|key, _| key.service != *name || key.cell < cells);
        for (cell, engines) in (0..cells).zip(engines) {
            let key = planner_key::PlannerKey { service: name.clone(), cell };
            let planner = self
                .planners
                .entry(key)
                .or_insert_with(|| planner::PlacementPlanner::new(shape.clone(), self.options));
            planner.set_shape(shape.clone());
            planner.set_engines(now, &engines);
        }
    }

    /// Returns whether the last request to a planner was so long ago that its state is outdated.
    pub fn is_idle(&self, now: units::MonoTime, key: &planner_key::PlannerKey) -> bool {
        self.last_requests.get(key).is_none_or(|since| now.since(*since) >= ACTIVE_TIME)
    }

    /// Returns the planner of a key, or `None` if the service has no such cell (group of engines).
    pub fn planner(
        &mut self,
        key: &planner_key::PlannerKey,
    ) -> Option<&mut planner::PlacementPlanner> {
        self.planners.get_mut(key)
    }

    /// Requests a place. Returns `None` if the request is queued, so that [`Self::tick`] returns the answer later, or
    /// if there is no planner for `key`.
    pub fn request(
        &mut self,
        now: units::MonoTime,
        key: &planner_key::PlannerKey,
        request: engine_place::PlacementRequest,
        origin: PlacementOrigin,
    ) -> Option<engine_place::PlaceAnswer> {
        let planner = self.planners.get_mut(key)?;
        self.last_requests.insert(key.clone(), now);
        let job = request.job;
        let answer = planner.request(now, request);
        if answer.is_none() {
            self.origins.insert(job, origin);
        }
        answer
    }

    /// Returns the answers to queued requests that get a place now or will get none in time.
    pub fn tick(
        &mut self,
        now: units::MonoTime,
    ) -> Vec<(PlacementOrigin, engine_place::PlaceAnswer)> {
        let mut answers = Vec::new();
        for planner in self.planners.values_mut() {
            for answer in planner.tick(now) {
                if let Some(origin) = self.origins.remove(&answer.job()) {
                    answers.push((origin, answer));
                }
            }
        }
        self.drop_origins();
        answers
    }

    /// Drops the origins of requests that no longer wait, as they were withdrawn, once they are the majority.
    fn drop_origins(&mut self) {
        let waiting = self.waiting();
        if waiting > 0 && self.origins.len() < 2 * waiting + MIN_DROPPED_ORIGINS {
            return;
        }
        let planners = self.planners.values();
        let jobs = planners.flat_map(planner::PlacementPlanner::waiting_jobs);
        let jobs: collections::HashSet<_> = jobs.collect();
        self.origins.retain(|job, _| jobs.contains(job));
    }

    /// Returns the engines that were silent during a request since the last call.
    pub fn take_suspects(&mut self) -> Vec<ids::UpstreamId> {
        let planners = self.planners.values_mut();
        planners.flat_map(planner::PlacementPlanner::take_suspects).collect()
    }

    /// Sets the engines with a limit, by planner; planners that are not in `limits` have none.
    pub fn set_limits(
        &mut self,
        now: units::MonoTime,
        mut limits: collections::BTreeMap<planner_key::PlannerKey, EngineLimits>,
    ) {
        for (key, planner) in &mut self.planners {
            let (coordinated, elsewhere) = limits.remove(key).unwrap_or_default();
            planner.set_limits(now, &coordinated, elsewhere);
        }
    }

    /// Empties the permit buckets of all engine limits that this process coordinates.
    pub fn reset_limits(&mut self, now: units::MonoTime) {
        self.planners.values_mut().for_each(|planner| planner.permits().reset_buckets(now));
    }

    /// Excludes an engine temporarily from planning, in the planner that it belongs to.
    pub fn eject(&mut self, now: units::MonoTime, engine: &ids::UpstreamId) {
        self.planners.values_mut().for_each(|planner| planner.eject(now, engine));
    }

    /// Returns whether the report of an engine should be requested now.
    pub fn take_report_due(&mut self, now: units::MonoTime, engine: &ids::UpstreamId) -> bool {
        self.planners.values_mut().any(|planner| planner.take_report_due(now, engine))
    }

    /// Updates an engine's pace and number of requests from its report.
    pub fn set_report(&mut self, engine: &ids::UpstreamId, pace: f64, requests: usize) {
        let planners = self.planners.values_mut();
        planners.for_each(|planner| planner.set_report(engine, pace, requests));
    }

    /// Logs the state of the active planners.
    pub fn log_state(&mut self, now: units::MonoTime) {
        for key in self.active(now) {
            if let Some(planner) = self.planners.get(&key) {
                log::info!(
                    planner:% = key, waiting = planner.waiting_count(), placed = planner.placed_count(),
                    returns = planner.assigned_returns(), engines = planner.summary(now).as_str(); "planner.state"
                );
            }
        }
    }

    /// Returns the planners that are dividing slots among customers, and since when.
    pub fn shares_divided(
        &self,
        now: units::MonoTime,
    ) -> collections::BTreeMap<planner_key::PlannerKey, units::MonoTime> {
        let planners = self.planners.iter();
        let divided = planners
            .filter_map(|(key, planner)| Some((key.clone(), planner.shares_divided_since(now)?)));
        divided.collect()
    }

    /// Returns the shares of customers at a planner; `None` if it does not distinguish customers.
    pub fn share_summary(
        &self,
        now: units::MonoTime,
        key: &planner_key::PlannerKey,
    ) -> Option<share_summary::ShareSummary> {
        self.planners.get(key)?.share_summary(now)
    }

    /// Returns the shares of customers at each planner that distinguishes them.
    pub fn share_summaries(
        &self,
        now: units::MonoTime,
    ) -> Vec<(&planner_key::PlannerKey, share_summary::ShareSummary)> {
        let keys = self.planners.keys();
        keys.filter_map(|key| Some((key, self.share_summary(now, key)?))).collect()
    }

    /// Returns the number of requests queued in all planners.
    pub fn waiting(&self) -> usize {
        self.planners.values().map(planner::PlacementPlanner::waiting_count).sum()
    }

    /// Returns the number of places in use that the planners know of.
    pub fn placed(&self) -> usize {
        self.planners.values().map(planner::PlacementPlanner::placed_count).sum()
    }

    /// Returns the number of times that the planners have assigned to rejected callers.
    pub fn assigned_returns(&self) -> usize {
        self.planners.values().map(planner::PlacementPlanner::assigned_returns).sum()
    }

    /// Returns the planners that are not idle.
    pub fn active(&self, now: units::MonoTime) -> Vec<planner_key::PlannerKey> {
        let recent = |since: &units::MonoTime| now.since(*since) < ACTIVE_TIME;
        self.last_requests
            .iter()
            .filter(|(_, since)| recent(since))
            .map(|(key, _)| key.clone())
            .collect()
    }
}
