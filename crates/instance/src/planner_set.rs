//! The planners that run in this process, and who waits for their answers.

use std::collections;

use slipturn_core::{ids, read_planner, rendezvous, units};

use crate::fleet_state;

/// Who asked for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskOrigin {
    /// A request of this process.
    Own,
    /// Another member, at this address.
    Member(std::net::SocketAddrV4),
}

/// One planner for each service of engines that this process was asked about.
#[derive(Debug, Default)]
pub struct PlannerSet {
    planners: collections::BTreeMap<ids::ServiceId, read_planner::ReadPlanner>,
    /// Who waits for an answer.
    origins: collections::HashMap<read_planner::JobId, AskOrigin>,
    /// Revision of the list and version of the routes the planners know.
    synced: (u64, u64),
    /// Services asked about lately by members.
    asked: collections::BTreeMap<ids::ServiceId, units::MonoTime>,
}

impl PlannerSet {
    /// Brings the planners up to the list and routes in force.
    pub fn sync(&mut self, now: units::MonoTime, fleet: &fleet_state::FleetState) {
        for (name, service) in &fleet.routes.services {
            let Some(shape) = &service.engine else {
                continue;
            };
            let planner = self.planners.entry(name.clone()).or_insert_with(|| {
                read_planner::ReadPlanner::new(
                    shape.clone(),
                    read_planner::PlannerOptions::default(),
                )
            });
            let version = (fleet.list.revision(), fleet.routes.version.0);
            if version != self.synced {
                planner.set_shape(shape.clone());
            }
            let engines: Vec<_> = fleet
                .list
                .usable(name)
                .into_iter()
                .map(|entry| {
                    let rank = rendezvous::stable_hash(&[name.as_str(), entry.name.as_str()]);
                    (entry.name.clone(), rank)
                })
                .collect();
            planner.set_engines(now, &engines);
        }
        self.synced = (fleet.list.revision(), fleet.routes.version.0);
    }

    /// The planner of a service; `None` where it has no engines.
    pub fn planner(&mut self, service: &ids::ServiceId) -> Option<&mut read_planner::ReadPlanner> {
        self.planners.get_mut(service)
    }

    /// Asks for a place; the answer, if it must wait, comes out of [`Self::tick`].
    pub fn ask(
        &mut self,
        now: units::MonoTime,
        service: &ids::ServiceId,
        ask: read_planner::PlaceAsk,
        origin: AskOrigin,
    ) -> Option<read_planner::PlaceAnswer> {
        self.asked.insert(service.clone(), now);
        let job = ask.job;
        let answer = self.planners.get_mut(service)?.ask(now, ask);
        if answer.is_none() {
            self.origins.insert(job, origin);
        }
        answer
    }

    /// Answers those that wait, as far as there are places or there will be none in time.
    pub fn tick(&mut self, now: units::MonoTime) -> Vec<(AskOrigin, read_planner::PlaceAnswer)> {
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
        planners.flat_map(read_planner::ReadPlanner::take_suspects).collect()
    }

    /// Logs what the planners in use believe.
    pub fn log_state(&mut self, now: units::MonoTime) {
        for service in self.active(now) {
            if let Some(planner) = self.planners.get(&service) {
                log::info!(
                    service:%, waiting = planner.waiting_count(), placed = planner.placed_count(),
                    engines = planner.summary(now).as_str(); "planner.state"
                );
            }
        }
    }

    /// Requests that wait in all planners.
    pub fn waiting(&self) -> usize {
        self.planners.values().map(read_planner::ReadPlanner::waiting_count).sum()
    }

    /// Services that this process has planned for within the last seconds.
    pub fn active(&self, now: units::MonoTime) -> Vec<ids::ServiceId> {
        let recent = |since: &units::MonoTime| now.since(*since).as_secs() < 2;
        self.asked
            .iter()
            .filter(|(_, since)| recent(since))
            .map(|(service, _)| service.clone())
            .collect()
    }
}
