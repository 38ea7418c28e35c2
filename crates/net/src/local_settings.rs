//! The local settings file of an instance's programs: who they are and where they listen.
//!
//! Everything else comes from the settings tree that the platform publishes.

use std::{fs, io, net, path};

use serde::Deserialize;
use slipturn_core::{ids, settings, units};
use snafu::{ResultExt as _, Snafu, ensure};

/// Why a local settings file cannot be used.
#[derive(Debug, Snafu)]
pub enum LocalSettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The file.
        file: path::PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file's content is not valid.
    #[snafu(display("{}: {source}", file.display()))]
    Content {
        /// The file.
        file: path::PathBuf,
        /// What is wrong with it.
        source: settings::SettingsError,
    },
    /// A value out of its range.
    #[snafu(display("{}: {field}: found {found}, expected {expected}", file.display()))]
    Range {
        /// The file.
        file: path::PathBuf,
        /// The value's path.
        field: &'static str,
        /// The value.
        found: String,
        /// What would be valid.
        expected: &'static str,
    },
}

/// Addresses that an instance's programs listen on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// Callers' requests; the entry's.
    pub callers: net::SocketAddr,
    /// Operators' requests; the entry's.
    pub operators: net::SocketAddr,
    /// Entries' and schedulers' messages; the scheduler's.
    pub scheduler: net::SocketAddr,
}

/// Bounds on memory and time of one process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessLimits {
    /// Largest body of one request. A prompt of a million tokens is some 4 MB.
    pub max_body: units::ByteCount,
    /// Bodies held at once, all requests together.
    pub held_bodies: units::ByteCount,
    /// Largest answer to a request that does not stream.
    pub max_answer: units::ByteCount,
    /// Time for a body to arrive.
    pub body_time: units::TimeSpan,
    /// Decisions remembered.
    pub decisions: usize,
    /// A pause of the process longer than this makes it confirm its settings before it serves.
    pub sleep_bound: units::TimeSpan,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        const MIB: u64 = 1 << 20;
        Self {
            max_body: units::ByteCount(8 * MIB),
            held_bodies: units::ByteCount(256 * MIB),
            max_answer: units::ByteCount(16 * MIB),
            body_time: units::TimeSpan::from_secs(30),
            decisions: 10_000,
            sleep_bound: units::TimeSpan::from_secs(3),
        }
    }
}

/// Shape of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for a person.
    Text,
}

/// What is logged, and how.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogOptions {
    /// Least severe level logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
    /// Shape of a line.
    pub format: LogFormat,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info, format: LogFormat::Json }
    }
}

/// A whole local settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalSettings {
    /// Name of the instance, as in the published list.
    pub instance: ids::InstanceId,
    /// Data centre it runs in.
    pub data_center: ids::DataCenterId,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Addresses of the platform's configuration service.
    pub platform: Vec<net::SocketAddr>,
    /// Bounds on memory and time.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// What is logged.
    #[serde(default)]
    pub log: LogOptions,
    /// Where to send metrics over UDP; absent means nowhere.
    #[serde(default)]
    pub statsd: Option<net::SocketAddr>,
}

impl LocalSettings {
    /// Reads and checks a file.
    pub fn load(file: &path::Path) -> Result<Self, LocalSettingsError> {
        let text = fs::read_to_string(file).context(ReadSnafu { file })?;
        let local: Self = settings::parse_yaml(&text).context(ContentSnafu { file })?;
        let platform = &local.platform;
        let (field, expected) = ("platform", "at least one address");
        ensure!(!platform.is_empty(), RangeSnafu { file, field, found: "[]", expected });
        let limits = &local.limits;
        let (field, expected) = ("limits.held_bodies", "at least limits.max_body");
        let found = limits.held_bodies.to_string();
        let enough = limits.held_bodies >= limits.max_body;
        ensure!(enough, RangeSnafu { file, field, found, expected });
        Ok(local)
    }
}
