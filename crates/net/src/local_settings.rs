//! The local settings file of an instance's programs: names, addresses and process limits.
//!
//! All other settings come from the settings tree that the platform publishes.

use std::{fs, io, net, path};

use serde::Deserialize;
use slipturn_core::{ids, settings, units};
use snafu::{ResultExt as _, Snafu, ensure};

/// Error that occurs when a local settings file is loaded.
#[derive(Debug, Snafu)]
pub enum LocalSettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// Path of the local settings file.
        file: path::PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The content of the file is not valid.
    #[snafu(display("{}: {source}", file.display()))]
    Content {
        /// Path of the local settings file.
        file: path::PathBuf,
        /// Error of the parser.
        source: settings::SettingsError,
    },
    /// A value is out of range.
    #[snafu(display("{}: {field}: found {found}, expected {expected}", file.display()))]
    Range {
        /// Path of the local settings file.
        file: path::PathBuf,
        /// Path of the setting within the file.
        field: &'static str,
        /// Value in the file.
        found: String,
        /// Description of the valid values.
        expected: &'static str,
    },
}

/// Addresses that an instance's programs listen on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// Address of the entry for requests of callers.
    pub callers: net::SocketAddr,
    /// Address of the entry for requests of operators.
    pub operators: net::SocketAddr,
    /// Address of the scheduler for messages of entries and other schedulers.
    pub scheduler: net::SocketAddr,
}

/// Limits on the memory and time that a process spends.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessLimits {
    /// Largest body of a request. A prompt of a million tokens has about 4 MB.
    pub max_body: units::ByteCount,
    /// Limit on the total size of the request bodies in memory. A request that would exceed it is
    /// refused.
    pub held_bodies: units::ByteCount,
    /// Largest body of a response to a request that does not stream.
    pub max_answer: units::ByteCount,
    /// Time within which the body of a request must arrive.
    pub body_time: units::TimeSpan,
    /// Number of decision records that an entry keeps; the oldest is dropped first. Operators read
    /// in them how a request was routed and how it ended.
    pub decisions: usize,
    /// Length of a pause of the process, such as a suspension, after which it confirms its settings
    /// before it serves requests.
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

/// Format of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text for human readers.
    Text,
}

/// Level and format of the log.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogOptions {
    /// Least severe level logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
    /// Format of each line of the log.
    pub format: LogFormat,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info, format: LogFormat::Json }
    }
}

/// Content of a local settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalSettings {
    /// Name of the instance in the published list.
    pub instance: ids::InstanceId,
    /// Data centre that the instance runs in.
    pub data_center: ids::DataCenterId,
    /// Addresses that the instance's programs listen on. The entry also reaches its own scheduler
    /// by them, and `slipturnctl` the instance.
    pub listen: ListenAddresses,
    /// Addresses of the platform's configuration service.
    pub platform: Vec<net::SocketAddr>,
    /// Limits on the memory and time that each process spends. The file may leave out any of them;
    /// the defaults are those of [`ProcessLimits::default`].
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Level and format of the log; by default JSON lines from level `info`.
    #[serde(default)]
    pub log: LogOptions,
    /// Address to which metrics are sent over UDP. Without it, no metrics are sent.
    #[serde(default)]
    pub statsd: Option<net::SocketAddr>,
}

impl LocalSettings {
    /// Reads and validates a local settings file.
    pub fn load(file: &path::Path) -> Result<Self, LocalSettingsError> {
        let text = fs::read_to_string(file).context(ReadSnafu { file })?;
        let local: Self = settings::parse_yaml(&text).context(ContentSnafu { file })?;
        let platform = &local.platform;
        let (field, expected) = ("platform", "at least one address");
        ensure!(!platform.is_empty(), RangeSnafu { file, field, found: "[]", expected });
        let limits = &local.limits;
        let (field, expected) = ("limits.held_bodies", "at least limits.max_body");
        let found = limits.held_bodies.to_string();
        let fits_one_body = limits.held_bodies >= limits.max_body;
        ensure!(fits_one_body, RangeSnafu { file, field, found, expected });
        Ok(local)
    }
}
