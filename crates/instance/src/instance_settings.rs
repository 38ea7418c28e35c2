//! Settings of one instance, read from a YAML file that the platform writes at every start.

use std::{fs, net, path, time};

use serde::Deserialize;
use slipturn_core::{fleet_budget, ids, machine_limits, planner, settings, sharing, units};
use snafu::{ResultExt as _, Snafu};

/// Why a settings file was rejected.
#[derive(Debug, Snafu)]
pub enum InstanceSettingsError {
    /// The file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// Path of the settings file.
        path: path::PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid YAML, or does not match the settings' format.
    #[snafu(display("{}: {source}", path.display()))]
    Invalid {
        /// Path of the settings file.
        path: path::PathBuf,
        /// The error of the parser.
        source: settings::SettingsError,
    },
    /// A value is out of range.
    #[snafu(display("{}: {option}: found {found}, expected {expected}", path.display()))]
    Range {
        /// Path of the settings file.
        path: path::PathBuf,
        /// Full name of the option, with dots between its parts.
        option: &'static str,
        /// The rejected value.
        found: String,
        /// The range of valid values.
        expected: &'static str,
    },
}

/// Addresses on which an instance accepts connections.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// Address for requests of callers.
    pub callers: net::SocketAddr,
    /// Address for readiness checks of the load balancer.
    pub health: net::SocketAddr,
    /// Address at which other instances fetch documents.
    pub members: net::SocketAddr,
}

/// Limits that operators set for the whole fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetBounds {
    /// Time within which all instances must stop sending requests to a leaving upstream.
    pub leave: units::TimeSpan,
    /// Time from SIGTERM to SIGKILL.
    pub grace: units::TimeSpan,
    /// Number of retries allowed per request to a service, counted over all instances.
    pub retry_ratio: f64,
    /// Retries that all instances together may send to a service in each window, in addition to `retry_ratio`.
    pub retry_extra: f64,
    /// Length of the window in which `retry_extra` retries are allowed.
    pub retry_window: units::TimeSpan,
    /// Time for which memory reserved on engines may stay unused.
    #[serde(default = "default_memory_idle")]
    pub memory_idle: units::TimeSpan,
}

/// Share of [`FleetBounds::memory_idle`] after which an attempt is given up if its answer has not begun; the remainder
/// is for orders in flight and for releasing the memory.
const UNUSED_SHARE: f64 = 0.8;

fn default_memory_idle() -> units::TimeSpan {
    units::TimeSpan(time::Duration::from_secs(9))
}

impl FleetBounds {
    /// Time after a reservation of memory within which the answer must have begun.
    pub fn unused_time(&self) -> time::Duration {
        self.memory_idle.0.mul_f64(UNUSED_SHARE)
    }

    /// Bound on the retries of all instances together to one service.
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
    /// Unique name of the instance.
    pub name: ids::InstanceId,
    /// Data centre in which the instance runs; upstreams and document sources there are preferred.
    pub data_center: ids::DataCenterId,
    /// Addresses on which the instance accepts connections.
    pub listen: ListenAddresses,
    /// UDP address for messages of other instances; the port is the same on all instances.
    pub member_address: net::SocketAddrV4,
    /// Address for operators: metrics, status and records of requests.
    pub operator_address: net::SocketAddr,
    /// Document addresses of instances to contact first; may be stale.
    pub seeds: Vec<net::SocketAddrV4>,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// How engines are chosen; values other than the default serve to compare the rules.
    #[serde(default = "default_routing")]
    pub routing: settings::RoutingKind,
    /// Variants of decision rules; values other than the defaults serve to compare the variants.
    #[serde(default)]
    pub experiments: planner::modes::PlannerModes,
    /// Decisions that apply while there is less room than callers need; all off by default.
    #[serde(default)]
    pub sharing: sharing::SharingPolicy,
    /// CPU share of the instance, in cores; members with the largest share are preferred as planners.
    pub cpu_share: f64,
    /// Limits for the whole fleet.
    pub bounds: FleetBounds,
    /// Interval at which an upstream renews its entry in the store.
    #[serde(default = "default_upstream_heartbeat")]
    pub upstream_heartbeat: units::TimeSpan,
    /// Limits of the machine; without them, what callers make the instance hold is not bounded as a whole. In force from
    /// the start of the process.
    #[serde(default)]
    pub machine: Option<machine_limits::MachineLimits>,
}

/// Missed renewals after which the store drops the entry of an upstream.
const EXPIRY_HEARTBEATS: u32 = 3;
/// Time within which upstreams reconnect to the store after an outage.
const RECONNECT_TIME: time::Duration = time::Duration::from_secs(2);

fn default_upstream_heartbeat() -> units::TimeSpan {
    units::TimeSpan(time::Duration::from_millis(1_200))
}

fn default_routing() -> settings::RoutingKind {
    settings::RoutingKind::ExpectedStart
}

impl InstanceSettings {
    /// Reads and validates a settings file.
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
        if let Some(machine) = &settings.machine {
            if machine.memory < machine_limits::MIN_MEMORY {
                let found = machine.memory.0 as f64;
                return range_error("machine.memory", found, "64000000 bytes or more");
            }
            if machine.descriptors < machine_limits::MIN_DESCRIPTORS {
                let found = f64::from(machine.descriptors);
                return range_error("machine.descriptors", found, "400 or more");
            }
        }
        if let Some((option, found)) = settings.repeated_address() {
            let (found, expected) = (found.to_string(), "an address that no other option has");
            return RangeSnafu { path, option, found, expected }.fail();
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

    /// Returns the first option whose address accepts connections for an earlier option already.
    fn repeated_address(&self) -> Option<(&'static str, net::SocketAddr)> {
        let addresses = [
            ("listen.callers", self.listen.callers),
            ("listen.health", self.listen.health),
            ("listen.members", self.listen.members),
            ("operator_address", self.operator_address),
        ];
        let is_repeated = |&(index, (_, address)): &(usize, (&str, net::SocketAddr))| {
            addresses[..index].iter().any(|(_, other)| share_a_port(*other, address))
        };
        addresses.into_iter().enumerate().find(is_repeated).map(|(_, found)| found)
    }

    /// Time after the store was restored from an older copy by which every valid entry has been rewritten.
    pub fn rewrite_time(&self) -> time::Duration {
        self.upstream_heartbeat.0 * EXPIRY_HEARTBEATS + RECONNECT_TIME
    }

    /// Whether this instance is one of the seeds.
    pub fn is_seed(&self) -> bool {
        self.member_seeds().contains(&self.member_address)
    }

    /// UDP addresses of the seeds, which the settings name by their document addresses.
    pub fn member_seeds(&self) -> Vec<net::SocketAddrV4> {
        let port = self.member_address.port();
        self.seeds.iter().map(|seed| net::SocketAddrV4::new(*seed.ip(), port)).collect()
    }
}

/// Returns whether two listeners cannot both have their address: an unspecified one covers all others with its port. With
/// port 0 the system chooses different ports.
fn share_a_port(left: net::SocketAddr, right: net::SocketAddr) -> bool {
    let covers =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && covers
}
