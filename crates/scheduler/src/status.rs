//! A scheduler's state as operators see it.

use serde::Serialize;
use slipturn_core::{ids, units};

/// One engine in the scheduler's care.
#[derive(Debug, Clone, Serialize)]
pub struct EngineStatus {
    /// Its name.
    pub engine: ids::EngineId,
    /// Whether this scheduler is its owner by the list it has.
    pub owned: bool,
    /// Whether it has reported recently.
    pub reachable: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Its memory, in tokens.
    pub memory: units::TokenCount,
    /// Memory not spoken for, in tokens.
    pub free: units::TokenCount,
    /// Leases.
    pub running: usize,
    /// Requests waiting.
    pub waiting: usize,
    /// Attempts it holds that no lease explains.
    pub unexplained: usize,
}

/// The whole scheduler.
#[derive(Debug, Clone, Serialize)]
pub struct SchedulerStatus {
    /// Its instance.
    pub instance: ids::InstanceId,
    /// Its data centre.
    pub data_center: ids::DataCenterId,
    /// This start of the process.
    pub boot: String,
    /// Settings in force.
    pub settings_version: u64,
    /// Fault of the last settings that were refused, if none were accepted since.
    pub settings_rejected: Option<String>,
    /// How long ago a source confirmed the settings.
    pub settings_age_ms: u64,
    /// List in force.
    pub list_revision: u64,
    /// Engines in its care.
    pub engines: Vec<EngineStatus>,
    /// Customers whose budget it keeps.
    pub budgets: usize,
    /// Idempotency keys it remembers.
    pub keys: usize,
    /// Whether it has been up and listed long enough to vote.
    pub votes: bool,
    /// Processes that watch its documents.
    pub watchers: usize,
}

/// The status as JSON.
pub fn to_json(status: &SchedulerStatus) -> String {
    serde_json::to_string(status).expect("a status has no map with keys other than text")
}
