//! The published list of live and leaving instances, engines and upstreams. It lags.

use std::net;

use serde::{Deserialize, Serialize};

use crate::{ids, settings, units};

/// Whether something takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// It takes new work.
    #[default]
    Live,
    /// It finishes what it has and takes no new work.
    Leaving,
}

/// One entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceRecord {
    /// Its name.
    pub name: ids::InstanceId,
    /// Where it runs.
    pub data_center: ids::DataCenterId,
    /// Where its entry takes callers' requests.
    pub entry: net::SocketAddr,
    /// Where its entry answers operators.
    pub operators: net::SocketAddr,
    /// Where its scheduler answers entries and schedulers.
    pub scheduler: net::SocketAddr,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: ListState,
}

/// One model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineRecord {
    /// Its name.
    pub name: ids::EngineId,
    /// Where it runs.
    pub data_center: ids::DataCenterId,
    /// The model it serves.
    pub model: ids::ModelId,
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Its memory for KV cache.
    pub memory: units::TokenCount,
    /// Prompt tokens it works through in a second.
    pub prefill_rate: units::TokenRate,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: ListState,
}

/// One upstream of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRecord {
    /// Its name.
    pub name: ids::UpstreamId,
    /// The service it belongs to.
    pub service: ids::ServiceId,
    /// Where it runs.
    pub data_center: ids::DataCenterId,
    /// Where it takes calls.
    pub address: net::SocketAddr,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: ListState,
}

/// A revision of the list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetList {
    /// Goes up with each change.
    pub revision: u64,
    /// Entry instances.
    pub instances: Vec<InstanceRecord>,
    /// Model engines.
    pub engines: Vec<EngineRecord>,
    /// Upstreams of plain services.
    pub upstreams: Vec<UpstreamRecord>,
}

impl FleetList {
    /// Reads a published list; JSON is YAML too.
    pub fn parse(text: &str) -> Result<Self, settings::SettingsError> {
        settings::parse_yaml(text)
    }

    /// Names of the instances that take work.
    pub fn live_instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.instances.iter().filter(|instance| instance.state == ListState::Live)
    }

    /// The record of one instance.
    pub fn instance(&self, name: &ids::InstanceId) -> Option<&InstanceRecord> {
        self.instances.iter().find(|instance| instance.name == *name)
    }
}
