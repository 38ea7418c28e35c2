//! Calls to engines and upstreams, and the classification of their failures.

use std::{net, time};

use bytes::Bytes;
use slipturn_core::{ids, refusal, retry, units};
use slipturn_net::http_client;

/// Header with the attempt's id. An answer that echoes a different id belongs to another attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header with the request's priority, where 0 is served first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the remaining time of the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-timeout-ms";
/// Header with the addresses of the other engines that hold parts of a prompt, separated by commas.
pub const PEERS_HEADER: &str = "x-kv-peers";
/// Header in which an upstream states with `no` that it did not run a call.
pub const RAN_HEADER: &str = "x-ran";
/// Largest accepted answer of an engine to a command, in bytes.
const MAX_COMMAND_ANSWER_BYTES: u64 = 64 * 1024;
/// Time limit for an engine to carry out a command.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Failure of an attempt, with a description.
#[derive(Debug)]
pub struct AttemptFault {
    /// Class of the failure, which decides whether the request may be retried.
    pub failure: retry::AttemptFailure,
    /// Description for the decision record and the caller.
    pub text: String,
}

impl AttemptFault {
    /// Classifies a call that failed before any part of its answer reached the caller.
    pub fn before_answer(error: &http_client::CallError) -> Self {
        let failure = match error {
            http_client::CallError::NotConnected { .. } => retry::AttemptFailure::NotConnected,
            http_client::CallError::Interrupted { .. }
            | http_client::CallError::TooLarge { .. } => retry::AttemptFailure::BrokeBeforeAnswer,
        };
        Self { failure, text: error.to_string() }
    }

    /// Whether the failed attempt ran the request; `Unknown` if the failure does not tell.
    pub fn ran(&self) -> refusal::RanState {
        match self.failure {
            retry::AttemptFailure::BrokeMidAnswer => refusal::RanState::Yes,
            failure if failure.definitely_not_run() => refusal::RanState::No,
            _ => refusal::RanState::Unknown,
        }
    }
}

/// Checks that an answer belongs to `attempt` and that the upstream ran the call.
///
/// # Errors
///
/// Fails if the answer belongs to another attempt, or if the upstream states that it did not run
/// the call.
pub fn check_head(
    head: &http::response::Parts,
    attempt: &ids::AttemptId,
) -> Result<(), AttemptFault> {
    let value = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    if value(ATTEMPT_HEADER).is_some_and(|echoed| echoed != attempt.as_str()) {
        let text = "the answer belongs to another attempt".to_owned();
        return Err(AttemptFault { failure: retry::AttemptFailure::BrokeBeforeAnswer, text });
    }
    if value(RAN_HEADER) == Some("no") {
        let text = format!("refused with {}, not run", head.status.as_u16());
        return Err(AttemptFault { failure: retry::AttemptFailure::SaidNotRun, text });
    }
    Ok(())
}

/// Builds a call to an upstream with the attempt's id and remaining time, which every attempt
/// carries in headers.
pub fn build_call(
    method: http::Method,
    path: &str,
    attempt: &ids::AttemptId,
    remaining_time: time::Duration,
    body: Bytes,
) -> http::Request<Bytes> {
    let mut call = http::Request::new(body);
    *call.method_mut() = method;
    *call.uri_mut() = path.parse().unwrap_or_default();
    set_header(&mut call, ATTEMPT_HEADER, attempt.as_str());
    set_header(&mut call, DEADLINE_HEADER, &remaining_time.as_millis().to_string());
    call
}

/// Sets a header. A value that is not valid in a header is left out; that should not occur, because
/// slipturn generates all of the values.
pub fn set_header(call: &mut http::Request<Bytes>, name: &'static str, value: &str) {
    if let Ok(value) = http::HeaderValue::from_str(value) {
        call.headers_mut().insert(name, value);
    }
}

/// Commands that an entry sends to engines. This is a trait because the users' own engines may need
/// another interface.
pub trait EngineCommands {
    /// Reserves memory for a part of a prompt whose answer another engine sends.
    fn reserve(
        &self,
        address: net::SocketAddr,
        attempt: ids::AttemptId,
        tokens: units::TokenCount,
    ) -> futures::future::LocalBoxFuture<'_, Result<(), AttemptFault>>;

    /// Cancels an attempt, which also frees the memory reserved for it.
    fn cancel(
        &self,
        address: net::SocketAddr,
        attempt: ids::AttemptId,
    ) -> futures::future::LocalBoxFuture<'_, Result<(), AttemptFault>>;
}

impl EngineCommands for http_client::ConnectionPool {
    fn reserve(
        &self,
        address: net::SocketAddr,
        attempt: ids::AttemptId,
        tokens: units::TokenCount,
    ) -> futures::future::LocalBoxFuture<'_, Result<(), AttemptFault>> {
        let body = serde_json::json!({ "attempt": attempt.as_str(), "tokens": tokens.0 });
        Box::pin(send_command(self, address, "/v1/kv/reserve", attempt, body))
    }

    fn cancel(
        &self,
        address: net::SocketAddr,
        attempt: ids::AttemptId,
    ) -> futures::future::LocalBoxFuture<'_, Result<(), AttemptFault>> {
        let body = serde_json::json!({ "attempt": attempt.as_str() });
        Box::pin(send_command(self, address, "/v1/cancel", attempt, body))
    }
}

/// Posts a command to an engine; any successful status counts as carried out.
async fn send_command(
    pool: &http_client::ConnectionPool,
    address: net::SocketAddr,
    path: &'static str,
    attempt: ids::AttemptId,
    body: serde_json::Value,
) -> Result<(), AttemptFault> {
    let body = Bytes::from(body.to_string());
    let command = build_call(http::Method::POST, path, &attempt, COMMAND_TIMEOUT, body);
    let connection_policy = http_client::ConnectionPolicy::Pooled;
    let calling = pool.call_buffered(address, connection_policy, command, MAX_COMMAND_ANSWER_BYTES);
    let fault = |failure, text: &str| AttemptFault { failure, text: format!("{path}: {text}") };
    match monoio::time::timeout(COMMAND_TIMEOUT, calling).await {
        Ok(Ok(answer)) if answer.status().is_success() => Ok(()),
        Ok(Ok(answer)) => {
            let text = format!("answered {}", answer.status().as_u16());
            Err(fault(retry::AttemptFailure::SaidNotRun, &text))
        }
        Ok(Err(error)) => Err(AttemptFault::before_answer(&error)),
        Err(_) => Err(fault(retry::AttemptFailure::BrokeBeforeAnswer, "no answer in time")),
    }
}
