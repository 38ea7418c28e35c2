//! Assignment of engines to planners: the engines of a large service are split into cells with one planner each.
//!
//! A cell has about a hundred engines, so that a placement takes a fraction of a millisecond and no member plans for
//! a whole fleet. Members with different lists may disagree on the cells for a while; that costs throughput, never
//! safety.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ids, rendezvous};

/// Target number of engines per cell; `slipturn-compare --planned-size` measures the cost of a placement among them.
const CELL_ENGINES: usize = 96;

/// Identifies a planner: a service and one of its cells.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlannerKey {
    /// Service whose engines, plain upstream or retries the planner coordinates.
    pub service: ids::ServiceId,
    /// Number of the cell, below [`cell_count`], for cells of engines; a hash for plain upstreams and retries.
    pub cell: u16,
}

impl fmt::Display for PlannerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.cell)
    }
}

impl PlannerKey {
    /// Key for the member that coordinates one plain upstream (one that runs no model), which forms a cell of its own.
    pub fn of_plain(service: &ids::ServiceId, upstream: &ids::UpstreamId) -> Self {
        let hash = rendezvous::stable_hash(&["plain", service.as_str(), upstream.identifier()]);
        Self { service: service.clone(), cell: hash as u16 }
    }

    /// Key for the member that coordinates the retries to a service.
    pub fn of_retries(service: &ids::ServiceId) -> Self {
        let hash = rendezvous::stable_hash(&["retries", service.as_str()]);
        Self { service: service.clone(), cell: hash as u16 }
    }
}

/// Number of cells for a number of listed engines. Engines that accept no new work are included: fewer cells would
/// move engines, and planners lose the state of engines that change cells.
pub fn cell_count(engines: usize) -> u16 {
    u16::try_from(engines.div_ceil(CELL_ENGINES).max(1)).unwrap_or(u16::MAX)
}

/// The cell of an engine. Adding a cell moves engines only to the new cell.
pub fn cell_of(service: &ids::ServiceId, engine: &ids::UpstreamId, cells: u16) -> u16 {
    // Hashes the identifier without the start, so that members that know different starts of an engine agree.
    let hash = rendezvous::stable_hash(&["cell", service.as_str(), engine.identifier()]);
    rendezvous::jump_bucket(hash, cells.max(1))
}

/// Picks the planner for a request to a service with `cells` cells and these `engines`.
///
/// `drawn` is a random number that selects an engine, and with it its cell, so that each cell gets requests in
/// proportion to its engines. Cells differ in size: with 150 engines, two cells have 72 and 78, and with equal shares
/// the smaller one would be a twelfth fuller.
///
/// Skips cells that have `refused` the request and cells all of whose engines are `closed` to it; returns `None` if no
/// cell remains. A single cell is skipped only if it has refused.
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
        // A service without engines has a planner, too, which answers the request.
        return Some(key(0)).filter(|key| !refused.contains(&key.cell));
    }
    let in_turn = engines.iter().cycle().skip(drawn % engines.len()).take(engines.len());
    let in_turn = in_turn.filter(|engine| !closed.contains(engine));
    let mut cells = in_turn.map(|engine| cell_of(service, engine, cells));
    cells.find(|cell| !refused.contains(cell)).map(key)
}
