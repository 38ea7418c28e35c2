//! Questions to an instance, and the check of a settings document.

use std::{fs, net, path, time};

use bytes::Bytes;
use slipturn_core::settings;
use slipturn_net::{http_client, process};
use snafu::{ResultExt as _, Snafu};

/// Time for an answer.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(5);
/// Largest answer.
const MAX_ANSWER: u64 = 64 << 20;

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum QuestionError {
    /// The instance could not be asked.
    #[snafu(display("{source}"))]
    Call {
        /// How the call failed.
        source: http_client::CallError,
    },
    /// No answer in time.
    #[snafu(display("{address} did not answer within {ANSWER_LIMIT:?}"))]
    TimedOut {
        /// The instance.
        address: net::SocketAddr,
    },
    /// The event loop could not be made.
    #[snafu(display("event loop: {source}"))]
    Loop {
        /// What the system said.
        source: std::io::Error,
    },
    /// The answer is not JSON.
    #[snafu(display("the answer cannot be read: {source}"))]
    Shape {
        /// What the library found.
        source: serde_json::Error,
    },
    /// The instance refused.
    #[snafu(display("{status}: {text}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// What it said.
        text: String,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The file.
        file: path::PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A settings document is not valid.
    #[snafu(display("{}: {source}", file.display()))]
    Settings {
        /// The file.
        file: path::PathBuf,
        /// What is wrong.
        source: settings::SettingsError,
    },
}

/// Asks an instance's operators' address.
pub fn ask(
    address: net::SocketAddr,
    method: http::Method,
    path: &str,
) -> Result<serde_json::Value, QuestionError> {
    let mut call = http::Request::new(Bytes::new());
    *call.method_mut() = method;
    *call.uri_mut() = path.parse().unwrap_or_default();
    let pool = http_client::ConnectionPool::default();
    let asking = async {
        let fresh = http_client::ConnectionUse::Fresh;
        let calling = pool.call_buffered(address, fresh, call, MAX_ANSWER);
        monoio::time::timeout(ANSWER_LIMIT, calling).await
    };
    let Ok(answer) = process::run(asking).context(LoopSnafu)? else {
        return TimedOutSnafu { address }.fail();
    };
    let answer = answer.context(CallSnafu)?;
    let status = answer.status();
    let value: serde_json::Value = serde_json::from_slice(answer.body()).context(ShapeSnafu)?;
    if status.is_success() {
        return Ok(value);
    }
    let text = value["status"].as_str().unwrap_or("refused").to_owned();
    RefusedSnafu { status: status.as_u16(), text }.fail()
}

/// Checks a settings document as instances would, and tells its version.
pub fn check(file: &path::Path) -> Result<settings::SettingsVersion, QuestionError> {
    let text = fs::read_to_string(file).context(ReadSnafu { file })?;
    let tree = settings::SettingsTree::parse(&text).context(SettingsSnafu { file })?;
    Ok(tree.version)
}
