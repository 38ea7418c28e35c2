//! What a scheduler asks of engines over HTTP: load, attempts held, cancel.

use std::{net, rc, time};

use bytes::Bytes;
use serde::Deserialize;
use slipturn_core::{ids, placement, units};
use slipturn_net::http_client;
use snafu::{ResultExt as _, Snafu, ensure};

use crate::event;

/// Time between two questions for an engine's load.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time for an engine's answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Largest answer.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Why an engine gave no usable answer.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call {
        /// How.
        source: http_client::CallError,
    },
    /// No answer in time.
    #[snafu(display("no answer within {ANSWER_TIMEOUT:?}"))]
    TimedOut,
    /// A status other than success.
    #[snafu(display("answered {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// Not the JSON expected.
    #[snafu(display("answered something else: {source}"))]
    InvalidJson {
        /// What the library found.
        source: serde_json::Error,
    },
}

/// One attempt an engine holds memory for.
#[derive(Debug, Deserialize)]
struct HeldAttempt {
    attempt: String,
    tokens: units::TokenCount,
}

/// An engine's answer to `GET /v1/load`.
#[derive(Debug, Deserialize)]
struct LoadReply {
    draining: bool,
    memory_tokens: units::TokenCount,
    prefill_backlog: units::TokenCount,
    age_ms: u64,
    held: Vec<HeldAttempt>,
}

/// The orders and questions an engine understands; the users' own may be spoken otherwise.
pub trait EngineControl {
    /// Asks for load and attempts held.
    fn report(
        &self,
        address: net::SocketAddr,
    ) -> futures::future::LocalBoxFuture<'_, Result<placement::EngineReport, EngineError>>;

    /// Tells it to give an attempt up.
    fn cancel(
        &self,
        address: net::SocketAddr,
        attempt: ids::AttemptId,
    ) -> futures::future::LocalBoxFuture<'_, Result<(), EngineError>>;
}

/// Engines spoken to over HTTP.
pub struct HttpEngineControl {
    pool: rc::Rc<http_client::ConnectionPool>,
}

impl HttpEngineControl {
    /// Speaks over the connections of `pool`.
    pub fn new(pool: rc::Rc<http_client::ConnectionPool>) -> Self {
        Self { pool }
    }

    async fn call(
        &self,
        address: net::SocketAddr,
        request: http::Request<Bytes>,
    ) -> Result<Bytes, EngineError> {
        let connection_use = http_client::ConnectionUse::Pooled;
        let response = self.pool.call_whole(address, connection_use, request, MAX_ANSWER_BYTES);
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

/// Asks one engine for its load until its receiver is closed or `stopped` says so.
pub async fn poll(
    engines: rc::Rc<dyn EngineControl>,
    name: ids::EngineId,
    address: net::SocketAddr,
    events: event::EventSender,
    stopped: rc::Rc<std::cell::Cell<bool>>,
) {
    while !stopped.get() {
        match engines.report(address).await {
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

/// An attempt whose name is not one of slipturn's making is somebody else's and left alone.
fn parse_held(held: HeldAttempt) -> Option<(ids::AttemptId, units::TokenCount)> {
    let attempt: ids::AttemptId = held.attempt.parse().ok()?;
    Some((attempt, held.tokens))
}
