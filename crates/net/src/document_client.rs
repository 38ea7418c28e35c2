//! Client of the platform's configuration service.
//!
//! `GET /v1/documents/NAME?after=N&wait_ms=M` returns 200 with the document, and its number in
//! `x-document-number`, or 304 if no newer document appears within the wait. The platform counts a
//! request that waits as one read.

use std::{net, time};

use bytes::Bytes;
use slipturn_core::settings;
use snafu::{ResultExt as _, Snafu, ensure};

use crate::http_client;

/// Name under which the platform publishes the settings tree.
pub const SETTINGS_DOCUMENT: &str = "settings";
/// Name of the document that lists instances, engines and upstreams.
pub const LIST_DOCUMENT: &str = "list";
/// Time allowed for a response of the platform in addition to the wait that the request asks for.
const RESPONSE_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Error that occurs when a document is read from the platform.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The connection failed, or the response is incomplete or too large.
    #[snafu(display("platform: {source}"))]
    Call {
        /// Error of the HTTP client.
        source: http_client::CallError,
    },
    /// No response arrived within the requested wait and the margin for the response.
    #[snafu(display("platform {address} did not answer in time"))]
    TimedOut {
        /// Address of the configuration service.
        address: net::SocketAddr,
    },
    /// The response has a status other than 200 and 304.
    #[snafu(display("platform answered {status}"))]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The document is not valid UTF-8.
    #[snafu(display("platform sent a document that is not text"))]
    NotText,
}

/// Requests a document with a number above `after` and waits up to `wait` for one. Returns `None`
/// if none is published in that time.
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
    let connection_policy = http_client::ConnectionPolicy::Pooled;
    let response = monoio::time::timeout(
        wait + RESPONSE_MARGIN,
        pool.call_buffered(address, connection_policy, call, limit),
    );
    let Ok(response) = response.await else {
        return TimedOutSnafu { address }.fail();
    };
    let response = response.context(CallSnafu)?;
    let status = response.status();
    if status == http::StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    ensure!(status == http::StatusCode::OK, RefusedSnafu { status: status.as_u16() });
    match String::from_utf8(response.into_body().to_vec()) {
        Ok(text) => Ok(Some(text)),
        Err(_) => NotTextSnafu.fail(),
    }
}
