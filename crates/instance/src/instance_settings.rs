//! Settings of one instance: a YAML file of its own, laid by the platform at every start.

use std::{fs, net, path, time};

use serde::Deserialize;
use slipturn_core::{fleet_budget, ids, planner, settings, units};
use snafu::{ResultExt as _, Snafu};

/// Why the settings could not be used.
#[derive(Debug, Snafu)]
pub enum InstanceSettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: path::PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// Its content is not valid.
    #[snafu(display("{}: {source}", path.display()))]
    Invalid {
        /// The file.
        path: path::PathBuf,
        /// What is wrong.
        source: settings::SettingsError,
    },
    /// A value is out of its range.
    #[snafu(display("{}: {option}: found {found}, expected {expected}", path.display()))]
    Range {
        /// The file.
        path: path::PathBuf,
        /// The option.
        option: &'static str,
        /// Its value.
        found: String,
        /// What would be valid.
        expected: &'static str,
    },
}

/// Where an instance listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// Callers' requests.
    pub callers: net::SocketAddr,
    /// The balancer's question whether it is ready.
    pub health: net::SocketAddr,
    /// Other instances' calls for documents.
    pub members: net::SocketAddr,
}

/// Bounds that the operators set for the whole fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetBounds {
    /// Time within which a leaving upstream gets no more work.
    pub leave: units::TimeSpan,
    /// Time from SIGTERM to SIGKILL.
    pub grace: units::TimeSpan,
    /// Retries for each request, of all instances together.
    pub retry_ratio: f64,
    /// Retries beyond that in a window.
    pub retry_extra: f64,
    /// Length of that window.
    pub retry_window: units::TimeSpan,
    /// Time for which memory set aside on engines may lie unused.
    #[serde(default = "default_memory_idle")]
    pub memory_idle: units::TimeSpan,
}

/// Part of [`FleetBounds::memory_idle`] after which an attempt is given up that has not begun; the
/// rest is for orders on their way and for the release.
const UNUSED_SHARE: f64 = 0.8;

fn default_memory_idle() -> units::TimeSpan {
    units::TimeSpan(time::Duration::from_secs(9))
}

impl FleetBounds {
    /// Time from setting memory aside by which the answer must have begun.
    pub fn unused_time(&self) -> time::Duration {
        self.memory_idle.0.mul_f64(UNUSED_SHARE)
    }

    /// The bound on retries.
    pub fn retry_bound(&self) -> fleet_budget::RetryBound {
        fleet_budget::RetryBound {
            ratio: self.retry_ratio,
            extra: self.retry_extra,
            window: self.retry_window.0,
        }
    }
}

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Its name.
    pub name: ids::InstanceId,
    /// Its data centre.
    pub data_center: ids::DataCenterId,
    /// Where it listens.
    pub listen: ListenAddresses,
    /// Address for other instances' heartbeats; the port is the same on all.
    pub member_address: net::SocketAddrV4,
    /// Where operators read metrics, status and explanations.
    pub operator_address: net::SocketAddr,
    /// Instances to ask first; may be stale.
    pub seeds: Vec<net::SocketAddrV4>,
    /// The platform's store.
    pub store: net::SocketAddr,
    /// How engines are chosen; all but the default are there to compare with.
    #[serde(default = "default_routing")]
    pub routing: settings::RoutingKind,
    /// Ways of decisions, for experiments; all but the defaults are there to compare with.
    #[serde(default)]
    pub experiments: planner::ways::PlannerWays,
    /// Share of a core.
    pub cpu_share: f64,
    /// Bounds that hold for the fleet.
    pub bounds: FleetBounds,
    /// Time between two writes of an upstream's entry in the store.
    #[serde(default = "default_upstream_heartbeat")]
    pub upstream_heartbeat: units::TimeSpan,
}

/// Missed heartbeats after which the entry of an upstream goes.
const EXPIRY_HEARTBEATS: u32 = 3;
/// Time in which upstreams reach a store that has returned.
const RECONNECT_TIME: time::Duration = time::Duration::from_secs(2);

fn default_upstream_heartbeat() -> units::TimeSpan {
    units::TimeSpan(time::Duration::from_millis(1_200))
}

fn default_routing() -> settings::RoutingKind {
    settings::RoutingKind::ExpectedStart
}

impl InstanceSettings {
    /// Reads and checks a file.
    pub fn load(path: &path::Path) -> Result<Self, InstanceSettingsError> {
        let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let settings: Self = settings::parse_yaml(&text).context(InvalidSnafu { path })?;
        let range_error = |option, found: f64, expected| {
            RangeSnafu { path, option, found: found.to_string(), expected }.fail()
        };
        if settings.cpu_share.is_nan() || settings.cpu_share <= 0.0 {
            return range_error("cpu_share", settings.cpu_share, "more than 0");
        }
        if settings.upstream_heartbeat.0.is_zero() {
            return range_error("upstream_heartbeat", 0.0, "more than 0");
        }
        let bounds = &settings.bounds;
        if bounds.retry_ratio.is_nan() || bounds.retry_ratio < 0.0 {
            return range_error("bounds.retry_ratio", bounds.retry_ratio, "0 or more");
        }
        if bounds.retry_extra.is_nan() || bounds.retry_extra < 0.0 {
            return range_error("bounds.retry_extra", bounds.retry_extra, "0 or more");
        }
        Ok(settings)
    }

    /// Time after the store's return from an older copy after which an entry that still stands has been renewed.
    pub fn rewrite_time(&self) -> time::Duration {
        self.upstream_heartbeat.0 * EXPIRY_HEARTBEATS + RECONNECT_TIME
    }

    /// Whether others begin to ask at this instance.
    pub fn is_seed(&self) -> bool {
        self.member_seeds().contains(&self.member_address)
    }

    /// Where other instances' heartbeats are heard, for those named by their document address.
    pub fn member_seeds(&self) -> Vec<net::SocketAddrV4> {
        let port = self.member_address.port();
        self.seeds.iter().map(|seed| net::SocketAddrV4::new(*seed.ip(), port)).collect()
    }
}
