//! Calls of engines and upstreams, and what their failures say.

use std::{net, time};

use bytes::Bytes;
use slipturn_core::{ids, refusal, retry, units};
use slipturn_net::http_client;

/// Header with the attempt's id; an engine that echoes another one answers another request.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header with the priority, 0 first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with what is left of the time limit.
pub const DEADLINE_HEADER: &str = "x-timeout-ms";
/// Header with the engines that hold parts of a prompt larger than one engine.
pub const PEERS_HEADER: &str = "x-kv-peers";
/// Header in which an upstream says that it did not run a call: `no`.
pub const RAN_HEADER: &str = "x-ran";
/// Largest answer to an order.
const MAX_ORDER_ANSWER: u64 = 64 * 1024;
/// Time for an engine to carry an order out.
const ORDER_LIMIT: time::Duration = time::Duration::from_millis(1_000);

/// A failed attempt: how, and in words.
#[derive(Debug)]
pub struct AttemptFault {
    /// How it failed.
    pub failure: retry::AttemptFailure,
    /// In words, for the record.
    pub text: String,
}

impl AttemptFault {
    /// A fault before anything reached the caller.
    pub fn before_answer(error: &http_client::CallError) -> Self {
        let failure = match error {
            http_client::CallError::NotConnected { .. } => retry::AttemptFailure::NotConnected,
            http_client::CallError::Broken { .. } | http_client::CallError::TooLarge { .. } => {
                retry::AttemptFailure::BrokeBeforeAnswer
            }
        };
        Self { failure, text: error.to_string() }
    }

    /// Whether the request ran, as far as this fault shows.
    pub fn ran(&self) -> refusal::RanState {
        match self.failure {
            retry::AttemptFailure::BrokeMidAnswer => refusal::RanState::Yes,
            failure if failure.definitely_not_run() => refusal::RanState::No,
            _ => refusal::RanState::Unknown,
        }
    }
}

/// Checks the head of an answer: whose it is, and whether the upstream ran the call.
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

/// A call of an upstream with the headers every attempt carries.
pub fn call(
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

/// Sets a header whose value slipturn made and so knows to be valid; others are left out.
pub fn set_header(call: &mut http::Request<Bytes>, name: &'static str, value: &str) {
    if let Ok(value) = http::HeaderValue::from_str(value) {
        call.headers_mut().insert(name, value);
    }
}

/// Orders that an entry gives to engines; the users' own engines may take them otherwise.
pub trait EngineOrders {
    /// Keeps memory for a part of a prompt whose answer another engine gives.
    fn reserve(
        &self,
        address: net::SocketAddr,
        attempt: ids::AttemptId,
        tokens: units::TokenCount,
    ) -> futures::future::LocalBoxFuture<'_, Result<(), AttemptFault>>;

    /// Gives an attempt up.
    fn cancel(
        &self,
        address: net::SocketAddr,
        attempt: ids::AttemptId,
    ) -> futures::future::LocalBoxFuture<'_, Result<(), AttemptFault>>;
}

impl EngineOrders for http_client::ConnectionPool {
    fn reserve(
        &self,
        address: net::SocketAddr,
        attempt: ids::AttemptId,
        tokens: units::TokenCount,
    ) -> futures::future::LocalBoxFuture<'_, Result<(), AttemptFault>> {
        let body = serde_json::json!({ "attempt": attempt.as_str(), "tokens": tokens.0 });
        Box::pin(order(self, address, "/v1/kv/reserve", attempt, body))
    }

    fn cancel(
        &self,
        address: net::SocketAddr,
        attempt: ids::AttemptId,
    ) -> futures::future::LocalBoxFuture<'_, Result<(), AttemptFault>> {
        let body = serde_json::json!({ "attempt": attempt.as_str() });
        Box::pin(order(self, address, "/v1/cancel", attempt, body))
    }
}

async fn order(
    pool: &http_client::ConnectionPool,
    address: net::SocketAddr,
    path: &'static str,
    attempt: ids::AttemptId,
    body: serde_json::Value,
) -> Result<(), AttemptFault> {
    let body = Bytes::from(body.to_string());
    let order = call(http::Method::POST, path, &attempt, ORDER_LIMIT, body);
    let pooled = http_client::ConnectionUse::Pooled;
    let calling = pool.call_whole(address, pooled, order, MAX_ORDER_ANSWER);
    let fault = |failure, text: &str| AttemptFault { failure, text: format!("{path}: {text}") };
    match monoio::time::timeout(ORDER_LIMIT, calling).await {
        Ok(Ok(answer)) if answer.status().is_success() => Ok(()),
        Ok(Ok(answer)) => {
            let text = format!("answered {}", answer.status().as_u16());
            Err(fault(retry::AttemptFailure::SaidNotRun, &text))
        }
        Ok(Err(error)) => Err(AttemptFault::before_answer(&error)),
        Err(_) => Err(fault(retry::AttemptFailure::BrokeBeforeAnswer, "no answer in time")),
    }
}
