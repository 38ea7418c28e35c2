//! Which planner an engine belongs to: large services are planned in cells.
//!
//! One planner holds the work of at most some hundred engines, so that a choice among them stays
//! a fraction of a millisecond and no member plans for a whole fleet. Members whose lists differ
//! may see other cells for a while; that costs throughput, never safety.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ids, rendezvous};

/// Engines that one planner is meant for; `slipturn-compare --planned-size` shows what a choice
/// among them costs.
const CELL_ENGINES: usize = 96;

/// One planner of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlannerKey {
    /// The service.
    pub service: ids::ServiceId,
    /// Number of the cell, below [`cell_count`] of the service's engines.
    pub cell: u16,
}

impl fmt::Display for PlannerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.cell)
    }
}

impl PlannerKey {
    /// The key by which a member is found that keeps what concerns one plain upstream: it is a cell of its own.
    pub fn of_plain(service: &ids::ServiceId, upstream: &ids::UpstreamId) -> Self {
        let hash = rendezvous::stable_hash(&["plain", service.as_str(), upstream.identifier()]);
        Self { service: service.clone(), cell: hash as u16 }
    }

    /// The key by which a member is found that keeps what concerns all retries to a service.
    pub fn of_retries(service: &ids::ServiceId) -> Self {
        let hash = rendezvous::stable_hash(&["retries", service.as_str()]);
        Self { service: service.clone(), cell: hash as u16 }
    }
}

/// Number of cells for a number of listed engines. Engines that take no new work count, as planners lose the state of
/// engines that change cells.
pub fn cell_count(engines: usize) -> u16 {
    u16::try_from(engines.div_ceil(CELL_ENGINES).max(1)).unwrap_or(u16::MAX)
}

/// The cell of an engine. Adding a cell moves only the engines of that cell.
pub fn cell_of(service: &ids::ServiceId, engine: &ids::UpstreamId, cells: u16) -> u16 {
    // Members that know different starts of an engine must agree on its cell.
    let hash = rendezvous::stable_hash(&["cell", service.as_str(), engine.identifier()]);
    rendezvous::jump_bucket(hash, cells.max(1))
}

/// The planner that a request asks, of a service with this number of cells and these engines: that of an engine
/// `drawn` among them, so that each cell is asked as often as it has engines. Cells differ: two of
/// 150 engines have 72 and 78, and asked alike the smaller one is a twelfth fuller.
///
/// Of cells that have `refused` the request none is asked again, and none all of whose engines are `closed` to
/// it; nothing where that leaves none.
pub fn pick(
    service: &ids::ServiceId,
    cells: u16,
    engines: &[&ids::UpstreamId],
    closed: &[&ids::UpstreamId],
    refused: &[u16],
    drawn: usize,
) -> Option<PlannerKey> {
    let key = |cell| PlannerKey { service: service.clone(), cell };
    if engines.is_empty() || cells == 1 {
        // Also a planner without engines gives an answer.
        return Some(key(0)).filter(|key| !refused.contains(&key.cell));
    }
    let in_turn = engines.iter().cycle().skip(drawn % engines.len()).take(engines.len());
    let in_turn = in_turn.filter(|engine| !closed.contains(engine));
    let mut cells = in_turn.map(|engine| cell_of(service, engine, cells));
    cells.find(|cell| !refused.contains(cell)).map(key)
}
