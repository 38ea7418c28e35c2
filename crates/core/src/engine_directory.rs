//! Selection of engines from the published list by an instance that serves a caller's request.

use std::{collections, net};

use rand::seq::IndexedRandom as _;

use crate::{fleet_list, ids, rendezvous, settings, units};

/// Addresses of an engine and of its scheduler, with the properties by which an instance chooses an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTarget {
    /// Name of the engine in the published list.
    pub engine: ids::EngineId,
    /// Address at which the engine takes requests.
    pub address: net::SocketAddr,
    /// Address of the scheduler on the instance that owns the engine.
    pub scheduler: net::SocketAddr,
    /// Whether the engine is in the data centre of the instance that chooses.
    pub near: bool,
    /// KV cache capacity of the engine.
    pub memory: units::TokenCount,
    /// Whether the engine probably has the prompt's prefix cached.
    pub warm: bool,
}

/// The engines of a published list, for the choice by an instance in one data centre.
#[derive(Debug, Clone, Copy)]
pub struct EngineDirectory<'list> {
    list: &'list fleet_list::FleetList,
    data_center: &'list ids::DataCenterId,
}

impl<'list> EngineDirectory<'list> {
    /// Creates a directory of the engines of `list` for an instance in `data_center`.
    pub fn new(list: &'list fleet_list::FleetList, data_center: &'list ids::DataCenterId) -> Self {
        Self { list, data_center }
    }

    /// The fraction `share` of the live engines of a model, but at least one; every instance with the same list gets
    /// the same engines.
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

    /// Samples candidates from the engines `open`: the engine named `warm` if it is among them, a random engine of this
    /// data centre, and random engines of any data centre.
    ///
    /// Returns at most `count` engines, plus one if `warm` is given.
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

    /// Returns the addresses of an engine and of the scheduler that owns it. `None` if no instance is live, because
    /// then no scheduler owns the engine.
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

    /// Groups of engines, each within one data centre, whose members together can hold `need`; at most
    /// `fleet.group_limit` for each data centre.
    ///
    /// Groups of one size are disjoint, because all instances split the list in the same order. Groups of different
    /// sizes may overlap. Members are sorted by name and acquired in this order, so that two prompts cannot deadlock.
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
