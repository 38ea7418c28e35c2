//! Reads the platform's configuration service.
//!
//! `GET /v1/documents/NAME?after=N&wait_ms=M` answers 200 with the document and its number in
//! `x-document-number`, or 304 when there is none newer within the wait. A waiting call counts as
//! one read.

use std::{net, time};

use bytes::Bytes;
use slipturn_core::settings;
use snafu::{ResultExt as _, Snafu, ensure};

use crate::http_client;

/// Name of the settings document.
pub const SETTINGS_DOCUMENT: &str = "settings";
/// Name of the list of instances, engines and upstreams.
pub const LIST_DOCUMENT: &str = "list";
/// Time for an answer beyond the wait that was asked for.
const ANSWER_SLACK: time::Duration = time::Duration::from_secs(2);

/// Why the platform gave no answer.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The call failed.
    #[snafu(display("platform: {source}"))]
    Call {
        /// How.
        source: http_client::CallError,
    },
    /// No answer in time.
    #[snafu(display("platform {address} did not answer in time"))]
    TimedOut {
        /// The service's address.
        address: net::SocketAddr,
    },
    /// An answer other than a document.
    #[snafu(display("platform answered {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The document is not text.
    #[snafu(display("platform sent a document that is not text"))]
    NotText,
}

/// Asks for a document newer than `after`, waiting up to `wait` for one.
pub async fn read_document(
    pool: &http_client::ConnectionPool,
    address: net::SocketAddr,
    name: &str,
    after: u64,
    wait: time::Duration,
) -> Result<Option<String>, PlatformError> {
    let path = format!("/v1/documents/{name}?after={after}&wait_ms={}", wait.as_millis());
    let mut call = http::Request::new(Bytes::new());
    *call.uri_mut() = path.try_into().expect("the path is made of valid characters");
    let limit = settings::MAX_DOCUMENT_BYTES as u64;
    let pooled = http_client::ConnectionUse::Pooled;
    let answer = monoio::time::timeout(
        wait + ANSWER_SLACK,
        pool.call_buffered(address, pooled, call, limit),
    );
    let Ok(answer) = answer.await else {
        return TimedOutSnafu { address }.fail();
    };
    let answer = answer.context(CallSnafu)?;
    let status = answer.status();
    if status == http::StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    ensure!(status == http::StatusCode::OK, RefusedSnafu { status: status.as_u16() });
    match String::from_utf8(answer.into_body().to_vec()) {
        Ok(text) => Ok(Some(text)),
        Err(_) => NotTextSnafu.fail(),
    }
}
