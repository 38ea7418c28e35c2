//! The planners that run in this process, and who waits for their answers.

use std::{collections, time};

use slipturn_core::{
    engine_place, ids, planner, planner_key, rendezvous, route_table, send_pace, units,
};

use crate::fleet_state;

/// A planner that was not asked for so long is not in use.
const ACTIVE_TIME: time::Duration = time::Duration::from_secs(2);

/// Engines of a planner with a limit: those whose limit this process keeps, and those of others.
pub type EngineLimits = (
    collections::BTreeMap<ids::UpstreamId, send_pace::PaceBound>,
    collections::BTreeSet<ids::UpstreamId>,
);

/// Who asked for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskOrigin {
    /// A request of this process.
    Own,
    /// Another member, at this address.
    Member(std::net::SocketAddrV4),
}

/// One planner for each cell of engines.
#[derive(Debug)]
pub struct PlannerSet {
    /// The instance that they run on.
    own: ids::InstanceId,
    options: planner::PlannerOptions,
    planners: collections::BTreeMap<planner_key::PlannerKey, planner::PlacementPlanner>,
    /// Who waits for an answer.
    origins: collections::HashMap<engine_place::JobId, AskOrigin>,
    /// Changes of the list and version of the routes that the planners know.
    synced: (u64, u64),
    /// Planners asked lately by members.
    asked: collections::BTreeMap<planner_key::PlannerKey, units::MonoTime>,
}

impl PlannerSet {
    /// No planners yet.
    pub fn new(own: ids::InstanceId, options: planner::PlannerOptions) -> Self {
        Self {
            own,
            options,
            planners: collections::BTreeMap::new(),
            origins: collections::HashMap::new(),
            synced: (0, 0),
            asked: collections::BTreeMap::new(),
        }
    }

    /// Brings the planners up to the list and routes in force; costs nothing while these stay.
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
            // Planners on two sides of a cut fill their engines in different orders.
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

    /// Whether a planner has not been asked for so long that it knows little of its engines.
    pub fn is_idle(&self, now: units::MonoTime, key: &planner_key::PlannerKey) -> bool {
        self.asked.get(key).is_none_or(|since| now.since(*since) >= ACTIVE_TIME)
    }

    /// One planner; `None` where there are no such engines.
    pub fn planner(
        &mut self,
        key: &planner_key::PlannerKey,
    ) -> Option<&mut planner::PlacementPlanner> {
        self.planners.get_mut(key)
    }

    /// Asks for a place; the answer, if it must wait, comes out of [`Self::tick`].
    pub fn ask(
        &mut self,
        now: units::MonoTime,
        key: &planner_key::PlannerKey,
        ask: engine_place::PlaceAsk,
        origin: AskOrigin,
    ) -> Option<engine_place::PlaceAnswer> {
        self.asked.insert(key.clone(), now);
        let job = ask.job;
        let answer = self.planners.get_mut(key)?.ask(now, ask);
        if answer.is_none() {
            self.origins.insert(job, origin);
        }
        answer
    }

    /// Answers those that wait, as far as there are places or there will be none in time.
    pub fn tick(&mut self, now: units::MonoTime) -> Vec<(AskOrigin, engine_place::PlaceAnswer)> {
        let mut answers = Vec::new();
        for planner in self.planners.values_mut() {
            for answer in planner.tick(now) {
                if let Some(origin) = self.origins.remove(&answer.job()) {
                    answers.push((origin, answer));
                }
            }
        }
        if self.waiting() == 0 {
            self.origins.clear();
        }
        answers
    }

    /// Engines that were silent for a request since the last call.
    pub fn take_suspects(&mut self) -> Vec<ids::UpstreamId> {
        let planners = self.planners.values_mut();
        planners.flat_map(planner::PlacementPlanner::take_suspects).collect()
    }

    /// Sets which engines have a limit, by planner: at which rate where this process keeps it, and those of others.
    pub fn set_limits(
        &mut self,
        now: units::MonoTime,
        mut limits: collections::BTreeMap<planner_key::PlannerKey, EngineLimits>,
    ) {
        for (key, planner) in &mut self.planners {
            let (kept, elsewhere) = limits.remove(key).unwrap_or_default();
            planner.set_limits(now, &kept, elsewhere);
        }
    }

    /// Begins anew with all limits that planners here keep.
    pub fn begin_limits_anew(&mut self, now: units::MonoTime) {
        self.planners.values_mut().for_each(|planner| planner.permits().begin_anew(now));
    }

    /// Leaves an engine alone for a while, in whichever planner it is.
    pub fn eject(&mut self, now: units::MonoTime, engine: &ids::UpstreamId) {
        self.planners.values_mut().for_each(|planner| planner.eject(now, engine));
    }

    /// Whether an engine should be asked for a report now.
    pub fn take_report_due(&mut self, now: units::MonoTime, engine: &ids::UpstreamId) -> bool {
        self.planners.values_mut().any(|planner| planner.take_report_due(now, engine))
    }

    /// Takes over what an engine says of itself.
    pub fn set_report(&mut self, engine: &ids::UpstreamId, pace: f64, requests: usize) {
        let planners = self.planners.values_mut();
        planners.for_each(|planner| planner.set_report(engine, pace, requests));
    }

    /// Logs what the planners in use believe.
    pub fn log_state(&mut self, now: units::MonoTime) {
        for key in self.active(now) {
            if let Some(planner) = self.planners.get(&key) {
                log::info!(
                    planner:% = key, waiting = planner.waiting_count(), placed = planner.placed_count(),
                    engines = planner.summary(now).as_str(); "planner.state"
                );
            }
        }
    }

    /// Requests that wait in all planners.
    pub fn waiting(&self) -> usize {
        self.planners.values().map(planner::PlacementPlanner::waiting_count).sum()
    }

    /// Requests that have a place, as all planners here know it.
    pub fn placed(&self) -> usize {
        self.planners.values().map(planner::PlacementPlanner::placed_count).sum()
    }

    /// Planners that were asked within the last seconds.
    pub fn active(&self, now: units::MonoTime) -> Vec<planner_key::PlannerKey> {
        let recent = |since: &units::MonoTime| now.since(*since) < ACTIVE_TIME;
        self.asked.iter().filter(|(_, since)| recent(since)).map(|(key, _)| key.clone()).collect()
    }
}
