//! The engines of the published list, as one entry sees them.

use std::{collections, net};

use rand::seq::IndexedRandom as _;

use crate::{fleet_list, ids, rendezvous, settings, units};

/// Where to reach the scheduler of an engine, and the engine itself.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTarget {
    /// The engine.
    pub engine: ids::EngineId,
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Its owner's scheduler.
    pub scheduler: net::SocketAddr,
    /// Whether it is in this entry's data centre.
    pub near: bool,
    /// Its memory for KV cache.
    pub memory: units::TokenCount,
    /// Whether it probably has the prompt's prefix cached.
    pub warm: bool,
}

/// The engines of a list, seen from one data centre.
#[derive(Debug, Clone, Copy)]
pub struct EngineDirectory<'list> {
    list: &'list fleet_list::FleetList,
    data_center: &'list ids::DataCenterId,
}

impl<'list> EngineDirectory<'list> {
    /// The engines of `list`, seen from `data_center`.
    pub fn new(list: &'list fleet_list::FleetList, data_center: &'list ids::DataCenterId) -> Self {
        Self { list, data_center }
    }

    /// A share of the live engines of a model: the same ones for everybody.
    pub fn share_of(
        &self,
        model: &ids::ModelId,
        share: f64,
    ) -> Vec<&'list fleet_list::EngineRecord> {
        let all = self.live(model);
        if share >= 1.0 {
            return all.collect();
        }
        let ranked = rendezvous::ranked("long", all, |engine| engine.name.as_str());
        let count = (ranked.len() as f64 * share).ceil() as usize;
        ranked.into_iter().take(count.max(1)).collect()
    }

    /// The warm engine if it is open, one of the same data centre, and others from anywhere.
    pub fn sample(
        &self,
        open: &[&'list fleet_list::EngineRecord],
        count: usize,
        warm: Option<&ids::EngineId>,
        random: &mut impl rand::Rng,
    ) -> Vec<&'list fleet_list::EngineRecord> {
        let is_near = |engine: &&&fleet_list::EngineRecord| engine.data_center == *self.data_center;
        let near: Vec<_> = open.iter().filter(is_near).copied().collect();
        let mut picked = Vec::with_capacity(count + 2);
        picked.extend(open.iter().find(|engine| Some(&engine.name) == warm).copied());
        picked.extend(near.choose(random).copied());
        picked.extend(open.sample(random, count).copied());
        let mut seen = collections::HashSet::new();
        picked.retain(|engine| seen.insert(&engine.name));
        picked.truncate(count + usize::from(warm.is_some()));
        picked
    }

    /// Where to reach an engine and its owner; `None` where no instance is live.
    pub fn target(
        &self,
        engine: &fleet_list::EngineRecord,
        warm: Option<&ids::EngineId>,
    ) -> Option<EngineTarget> {
        let owner = rendezvous::engine_owner(self.list, &engine.name, &engine.data_center)?;
        Some(EngineTarget {
            engine: engine.name.clone(),
            address: engine.address,
            scheduler: owner.scheduler,
            near: engine.data_center == *self.data_center,
            memory: engine.memory,
            warm: Some(&engine.name) == warm,
        })
    }

    /// Groups of engines that each hold `need` together, of all data centres.
    ///
    /// For one size of group the list is cut in one order, so that no engine is in two. Groups of
    /// different sizes may overlap; their members stand in the order of names, in which they are
    /// taken, so that two prompts cannot each hold what the other waits for.
    pub fn groups(
        &self,
        model: &ids::ModelId,
        need: units::TokenCount,
        fleet: &settings::FleetOptions,
    ) -> Vec<Vec<EngineTarget>> {
        let centers: collections::BTreeSet<_> =
            self.live(model).map(|engine| &engine.data_center).collect();
        centers.into_iter().flat_map(|center| self.groups_in(center, model, need, fleet)).collect()
    }

    fn groups_in(
        &self,
        center: &ids::DataCenterId,
        model: &ids::ModelId,
        need: units::TokenCount,
        fleet: &settings::FleetOptions,
    ) -> Vec<Vec<EngineTarget>> {
        let engines = self.live(model).filter(|engine| engine.data_center == *center);
        let ranked = rendezvous::ranked("group", engines, |engine| engine.name.as_str());
        let Some(smallest) = ranked.iter().map(|engine| engine.memory).min() else {
            return Vec::new();
        };
        let usable = smallest.scale(1.0 - fleet.headroom.factor()).0.max(1);
        let size = usize::try_from(need.0.div_ceil(usable)).unwrap_or(usize::MAX).max(1);
        if size > ranked.len() {
            return Vec::new();
        }
        let groups = ranked.chunks_exact(size).take(fleet.group_limit);
        groups.map(|members| self.sorted_targets(members)).collect()
    }

    fn sorted_targets(&self, members: &[&fleet_list::EngineRecord]) -> Vec<EngineTarget> {
        let mut members: Vec<_> =
            members.iter().filter_map(|engine| self.target(engine, None)).collect();
        members.sort_by(|left, right| left.engine.cmp(&right.engine));
        members
    }

    fn live(
        &self,
        model: &ids::ModelId,
    ) -> impl Iterator<Item = &'list fleet_list::EngineRecord> + use<'list> {
        let model = model.clone();
        self.list.engines.iter().filter(move |engine| {
            engine.model == model && engine.state == fleet_list::ListState::Live
        })
    }
}
