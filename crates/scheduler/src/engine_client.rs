//! HTTP client for engines: load reports and cancels.

use std::{net, rc, time};

use bytes::Bytes;
use serde::Deserialize;
use slipturn_core::{ids, placement, units};
use slipturn_net::http_client;
use snafu::{ResultExt as _, Snafu, ensure};

use crate::event;

/// Pause between two polls of an engine's load.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time limit of a call to an engine, from connecting to the end of the response.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Largest accepted body of an engine's response, in bytes.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Error of a call to an engine.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The request could not be sent, or its response could not be read.
    #[snafu(display("{source}"))]
    Call {
        /// Error of the HTTP client.
        source: http_client::CallError,
    },
    /// The engine did not answer within [`ANSWER_TIMEOUT`].
    #[snafu(display("no answer within {ANSWER_TIMEOUT:?}"))]
    TimedOut,
    /// The engine answered with a status other than 2xx.
    #[snafu(display("unexpected status {status}"))]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// The response body is not a valid load report.
    #[snafu(display("invalid load report: {source}"))]
    InvalidJson {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// An attempt for which the engine holds memory.
#[derive(Debug, Deserialize)]
struct HeldAttempt {
    attempt: String,
    tokens: units::TokenCount,
}

/// Response body of `GET /v1/load`.
#[derive(Debug, Deserialize)]
struct LoadReply {
    draining: bool,
    memory_tokens: units::TokenCount,
    prefill_backlog: units::TokenCount,
    age_ms: u64,
    held: Vec<HeldAttempt>,
}

/// Calls to engines. This is a trait because the users' own engines may need another protocol.
pub trait EngineControl {
    /// Requests the engine's load and the attempts that it holds.
    fn report(
        &self,
        address: net::SocketAddr,
    ) -> futures::future::LocalBoxFuture<'_, Result<placement::EngineReport, EngineError>>;

    /// Tells the engine to cancel an attempt.
    fn cancel(
        &self,
        address: net::SocketAddr,
        attempt: ids::AttemptId,
    ) -> futures::future::LocalBoxFuture<'_, Result<(), EngineError>>;
}

/// Calls to engines over HTTP.
pub struct HttpEngineControl {
    pool: rc::Rc<http_client::ConnectionPool>,
}

impl HttpEngineControl {
    /// Creates a client that uses the connections of `pool`.
    pub fn new(pool: rc::Rc<http_client::ConnectionPool>) -> Self {
        Self { pool }
    }

    async fn call(
        &self,
        address: net::SocketAddr,
        request: http::Request<Bytes>,
    ) -> Result<Bytes, EngineError> {
        let connection_policy = http_client::ConnectionPolicy::Pooled;
        let response =
            self.pool.call_buffered(address, connection_policy, request, MAX_ANSWER_BYTES);
        let Ok(response) = monoio::time::timeout(ANSWER_TIMEOUT, response).await else {
            return TimedOutSnafu.fail();
        };
        let response = response.context(CallSnafu)?;
        let status = response.status();
        ensure!(status.is_success(), RefusedSnafu { status: status.as_u16() });
        Ok(response.into_body())
    }
}

impl EngineControl for HttpEngineControl {
    fn report(
        &self,
        address: net::SocketAddr,
    ) -> futures::future::LocalBoxFuture<'_, Result<placement::EngineReport, EngineError>> {
        Box::pin(async move {
            let mut request = http::Request::new(Bytes::new());
            *request.uri_mut() = http::Uri::from_static("/v1/load");
            let body = self.call(address, request).await?;
            let reply: LoadReply = serde_json::from_slice(&body).context(InvalidJsonSnafu)?;
            Ok(placement::EngineReport {
                draining: reply.draining,
                memory: reply.memory_tokens,
                prefill_backlog: reply.prefill_backlog,
                age: time::Duration::from_millis(reply.age_ms),
                held: reply.held.into_iter().filter_map(parse_held).collect(),
            })
        })
    }

    fn cancel(
        &self,
        address: net::SocketAddr,
        attempt: ids::AttemptId,
    ) -> futures::future::LocalBoxFuture<'_, Result<(), EngineError>> {
        Box::pin(async move {
            let body = serde_json::json!({ "attempt": attempt.as_str() }).to_string();
            let mut request = http::Request::new(Bytes::from(body));
            *request.method_mut() = http::Method::POST;
            *request.uri_mut() = http::Uri::from_static("/v1/cancel");
            self.call(address, request).await.map(|_| ())
        })
    }
}

/// Polls an engine's load and sends each report to `events`, until `stopped` is set or the receiver
/// of `events` is closed. A failed poll is logged and repeated.
pub async fn poll(
    engine_control: rc::Rc<dyn EngineControl>,
    name: ids::EngineId,
    address: net::SocketAddr,
    events: event::EventSender,
    stopped: rc::Rc<std::cell::Cell<bool>>,
) {
    while !stopped.get() {
        match engine_control.report(address).await {
            Ok(report) => {
                let event = event::SchedulerEvent::Report(name.clone(), report);
                if events.unbounded_send(event).is_err() {
                    return;
                }
            }
            Err(error) => log::debug!("engine {name}: {error}"),
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Parses an attempt held by an engine. Returns `None` if its id is not in slipturn's format: the
/// attempt then belongs to another client of the engine and must not be cancelled.
fn parse_held(held: HeldAttempt) -> Option<(ids::AttemptId, units::TokenCount)> {
    let attempt: ids::AttemptId = held.attempt.parse().ok()?;
    Some((attempt, held.tokens))
}
