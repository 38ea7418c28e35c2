//! The scheduler's status for operators.

use serde::Serialize;
use slipturn_core::{ids, units};

/// Status of an engine for which the scheduler has a ledger.
#[derive(Debug, Clone, Serialize)]
pub struct EngineStatus {
    /// Name of the engine in the published list.
    pub engine: ids::EngineId,
    /// Whether this scheduler owns the engine, according to the list in force.
    pub owned: bool,
    /// Whether the engine's last load report is recent enough for new leases.
    pub reachable: bool,
    /// Whether the engine accepts no new work, because it is listed as leaving or reports that it
    /// is draining.
    pub leaving: bool,
    /// Memory of the engine according to the list, in tokens.
    pub memory: units::TokenCount,
    /// Memory of the engine neither leased nor held by an attempt without a lease, in tokens.
    pub free: units::TokenCount,
    /// Number of attempts that hold a lease on the engine.
    pub running: usize,
    /// Number of requests that wait for a place on the engine.
    pub waiting: usize,
    /// Number of attempts that the engine holds without a lease.
    pub unexplained: usize,
}

/// Status of a scheduler, as shown to operators.
#[derive(Debug, Clone, Serialize)]
pub struct SchedulerStatus {
    /// Instance that the scheduler runs on.
    pub instance: ids::InstanceId,
    /// Data centre of the instance.
    pub data_center: ids::DataCenterId,
    /// Id of this run of the process, in hexadecimal.
    pub boot: String,
    /// Version of the settings in force; zero before the first ones.
    pub settings_version: u64,
    /// Error of the last invalid settings; `None` if newer ones were accepted since.
    pub settings_rejected: Option<String>,
    /// Time since a source last confirmed the settings, in milliseconds.
    pub settings_age_ms: u64,
    /// Revision of the list in force.
    pub list_revision: u64,
    /// Engines for which the scheduler has a ledger, the record of an engine's leases and queue.
    pub engines: Vec<EngineStatus>,
    /// Number of customers whose budget this scheduler keeps in a token bucket.
    pub budgets: usize,
    /// Number of idempotency keys that the scheduler has recorded as a voter.
    pub keys: usize,
    /// Whether the instance has been running and listed long enough to vote.
    pub votes: bool,
    /// Number of watches that wait for newer documents.
    pub watchers: usize,
}

/// Serializes a status as JSON, the form in which it is sent to the entry.
pub fn to_json(status: &SchedulerStatus) -> String {
    serde_json::to_string(status).expect("a status contains no map with non-string keys")
}
