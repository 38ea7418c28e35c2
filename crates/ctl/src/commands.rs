//! Requests to an instance's address for operators, and validation of a settings document.

use std::{fs, net, path, time};

use bytes::Bytes;
use slipturn_core::settings;
use slipturn_net::{http_client, process};
use snafu::{ResultExt as _, Snafu};

/// Time limit for a request to an instance, from connecting to the end of the response.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Maximum size in bytes of the body of an instance's response.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Error of a command, with the text that `slipturnctl` prints.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// The connection failed, or the response is incomplete or too large.
    #[snafu(display("{source}"))]
    Call {
        /// Error of the HTTP client.
        source: http_client::CallError,
    },
    /// The response was not complete within the time limit.
    #[snafu(display("{address} did not answer within {RESPONSE_TIMEOUT:?}"))]
    TimedOut {
        /// Address for operators to which the request was sent.
        address: net::SocketAddr,
    },
    /// The event loop could not be started.
    #[snafu(display("event loop: {source}"))]
    Loop {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The body of the response is not valid JSON, whatever its HTTP status.
    #[snafu(display("the answer cannot be read: {source}"))]
    InvalidJson {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The instance responded with an error status.
    #[snafu(display("{status}: {text}"))]
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// The `status` field of the response's JSON, or `refused` if there is none.
        text: String,
    },
    /// The settings document cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// Path of the settings document.
        file: path::PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings document is not valid.
    #[snafu(display("{}: {source}", file.display()))]
    Settings {
        /// Path of the settings document.
        file: path::PathBuf,
        /// Error of the settings parser.
        source: settings::SettingsError,
    },
}

/// Sends a request to an instance's address for operators and returns the JSON of the response.
pub fn call_instance(
    address: net::SocketAddr,
    method: http::Method,
    path: &str,
) -> Result<serde_json::Value, CommandError> {
    let mut request = http::Request::new(Bytes::new());
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let pool = http_client::ConnectionPool::default();
    let call = async {
        let connection_policy = http_client::ConnectionPolicy::Fresh;
        let pending = pool.call_buffered(address, connection_policy, request, MAX_RESPONSE_BYTES);
        monoio::time::timeout(RESPONSE_TIMEOUT, pending).await
    };
    let Ok(response) = process::run(call).context(LoopSnafu)? else {
        return TimedOutSnafu { address }.fail();
    };
    let response = response.context(CallSnafu)?;
    let status = response.status();
    let value: serde_json::Value =
        serde_json::from_slice(response.body()).context(InvalidJsonSnafu)?;
    if status.is_success() {
        return Ok(value);
    }
    let text = value["status"].as_str().unwrap_or("refused").to_owned();
    RefusedSnafu { status: status.as_u16(), text }.fail()
}

/// Validates a settings document in the same way as an instance and returns its version.
pub fn check_settings(file: &path::Path) -> Result<settings::SettingsVersion, CommandError> {
    let text = fs::read_to_string(file).context(ReadSnafu { file })?;
    let tree = settings::SettingsTree::parse(&text).context(SettingsSnafu { file })?;
    Ok(tree.version)
}
