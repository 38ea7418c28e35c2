//! Refusals, error events and response headers that slipturn itself sends to callers.

use std::time;

use bytes::Bytes;
use serde::Serialize;
use slipturn_core::{ids, refusal, units};
use slipturn_net::{http_server, process};

/// Header with the id that slipturn assigned to a request. Operators use it to look up the decision
/// record, which tells how the request was routed and how it ended.
pub const REQUEST_ID_HEADER: &str = "slipturn-request-id";
/// Header with the caller's own id of a request. The answer echoes it, or carries slipturn's id if
/// the caller sent none.
pub const CALLER_ID_HEADER: &str = "x-request-id";
/// Header with a time limit in milliseconds, requested by a caller. It can shorten the configured
/// limit, not extend it.
pub const TIMEOUT_HEADER: &str = "slipturn-timeout-ms";
/// Header with a caller's idempotency key, for calls that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

#[derive(Serialize)]
struct ErrorBody<'text> {
    error: ErrorFields<'text>,
}

#[derive(Serialize)]
struct ErrorFields<'text> {
    message: &'text str,
    r#type: &'static str,
    code: &'static str,
    ran: &'static str,
    retry_after_ms: Option<u64>,
}

/// Ids of a request that its answer carries in headers.
#[derive(Debug, Clone)]
pub struct RequestIds {
    /// Id assigned by slipturn, made of the instance, the boot id and a sequence number.
    pub request: ids::RequestId,
    /// Id sent by the caller, if any.
    pub caller: Option<String>,
}

impl RequestIds {
    /// Sets [`REQUEST_ID_HEADER`] to slipturn's id, and [`CALLER_ID_HEADER`] to the caller's id or,
    /// if the caller sent none, to slipturn's id.
    pub fn add_headers(&self, headers: &mut http::HeaderMap) {
        let own = self.request.as_str();
        let caller = self.caller.as_deref().unwrap_or(own);
        for (name, value) in [(REQUEST_ID_HEADER, own), (CALLER_ID_HEADER, caller)] {
            if let Ok(value) = http::HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
    }
}

/// Builds the answer to a request that is refused or has failed before its answer began.
pub fn refusal_answer(
    request_ids: &RequestIds,
    refusal: &refusal::RequestRefusal,
) -> http::Response<Bytes> {
    let mut answer = http_server::json_response(refusal.code.status(), &error_body(refusal));
    let headers = answer.headers_mut();
    request_ids.add_headers(headers);
    if let Some(wait) = refusal.retry_after {
        headers.insert(http::header::RETRY_AFTER, whole_seconds(wait).into());
    }
    answer
}

/// Encodes the event that ends a streamed answer after a failure; no `[DONE]` follows it.
pub fn error_event(refusal: &refusal::RequestRefusal) -> Vec<u8> {
    let body = serde_json::to_string(&error_body(refusal)).unwrap_or_else(|_| "{}".to_owned());
    format!("event: error\ndata: {body}\n\n").into_bytes()
}

/// Adds `connection: close` when the process is stopping, so that callers connect to another
/// instance.
pub fn add_close_header(headers: &mut http::HeaderMap, stop: &process::StopSignal) {
    if stop.is_triggered() {
        let close = http::HeaderValue::from_static("close");
        headers.insert(http::header::CONNECTION, close);
    }
}

fn error_body(refusal: &refusal::RequestRefusal) -> ErrorBody<'_> {
    ErrorBody {
        error: ErrorFields {
            message: &refusal.message,
            r#type: refusal.code.kind(),
            code: refusal.code.label(),
            ran: refusal.ran.label(),
            retry_after_ms: refusal.retry_after.map(units::whole_millis),
        },
    }
}

/// Rounds a delay up to whole seconds, the unit of `Retry-After`, so that no caller retries too
/// early.
fn whole_seconds(wait: time::Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}
