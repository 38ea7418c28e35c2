//! The published list of live and leaving instances, engines and upstreams, which may be out of date.
//!
//! An engine is an upstream that runs a model; the upstreams of a plain service run none.

use std::net;

use serde::{Deserialize, Serialize};

use crate::{ids, settings, units};

/// Whether an instance, an engine or an upstream takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// The instance, engine or upstream takes new work.
    #[default]
    Live,
    /// The instance, engine or upstream finishes its work in progress and takes no new work.
    Leaving,
}

/// An instance, which runs an entry for callers and a scheduler.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceRecord {
    /// Name of the instance; its hash decides which engines and budgets the instance's scheduler owns.
    pub name: ids::InstanceId,
    /// Data centre in which the instance runs.
    pub data_center: ids::DataCenterId,
    /// Address of the instance's entry for requests of callers.
    pub entry: net::SocketAddr,
    /// Address of the instance's entry for operators.
    pub operators: net::SocketAddr,
    /// Address of the instance's scheduler for entries and other schedulers.
    pub scheduler: net::SocketAddr,
    /// Whether the instance takes new work; live if absent.
    #[serde(default)]
    pub state: ListState,
}

/// An engine with its published capacity and speed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineRecord {
    /// Name of the engine; its hash decides which instance owns the engine.
    pub name: ids::EngineId,
    /// Data centre in which the engine runs.
    pub data_center: ids::DataCenterId,
    /// Model that the engine serves.
    pub model: ids::ModelId,
    /// Address at which the engine takes requests.
    pub address: net::SocketAddr,
    /// Capacity of the engine's KV cache in tokens.
    pub memory: units::TokenCount,
    /// Prompt tokens processed per second.
    pub prefill_rate: units::TokenRate,
    /// Whether the engine takes new work; live if absent.
    #[serde(default)]
    pub state: ListState,
}

/// An upstream of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRecord {
    /// Name of the upstream.
    pub name: ids::UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ids::ServiceId,
    /// Data centre in which the upstream runs.
    pub data_center: ids::DataCenterId,
    /// Address at which the upstream takes requests.
    pub address: net::SocketAddr,
    /// Whether the upstream takes new work; live if absent.
    #[serde(default)]
    pub state: ListState,
}

/// Published list of all instances, engines and upstreams, in one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetList {
    /// Number of the revision, incremented with each change; a list never replaces a newer one.
    pub revision: u64,
    /// All instances, live or leaving.
    pub instances: Vec<InstanceRecord>,
    /// All engines, live or leaving.
    pub engines: Vec<EngineRecord>,
    /// Upstreams of all plain services, live or leaving.
    pub upstreams: Vec<UpstreamRecord>,
}

impl FleetList {
    /// Parses a published list in YAML, and so in JSON as well.
    pub fn parse(text: &str) -> Result<Self, settings::SettingsError> {
        settings::parse_yaml(text)
    }

    /// Instances that take new work.
    pub fn live_instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.instances.iter().filter(|instance| instance.state == ListState::Live)
    }

    /// The record of an instance; `None` if it is not listed.
    pub fn instance(&self, name: &ids::InstanceId) -> Option<&InstanceRecord> {
        self.instances.iter().find(|instance| instance.name == *name)
    }
}
