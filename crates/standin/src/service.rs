//! A plain HTTP service (one that runs no model) that counts its calls by idempotency key and by
//! request.

use std::{cell, collections, rc, time};

use serde::Serialize;
use slipturn_net::http_server;

use crate::{engine, faults};

/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Counters that tests read from `GET /counts`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ServiceCounts {
    /// Number of calls run, with or without an idempotency key.
    pub runs: u64,
    /// Number of calls run for each idempotency key; calls without a key are left out.
    pub by_key: collections::BTreeMap<String, u64>,
    /// Number of calls run for each request id, over all attempts of the request.
    pub by_request: collections::BTreeMap<String, u64>,
    /// Calls refused because a call with the same idempotency key had run before.
    pub key_refusals: u64,
}

struct ServiceState {
    counts: cell::RefCell<ServiceCounts>,
    /// Whether a call is refused if a call with the same idempotency key has run before.
    checks_keys: bool,
    faults: faults::SharedFaults,
}

/// Serves a plain service on `listener`; never returns. With `checks_keys`, a call whose
/// idempotency key has been used before gets status 409.
pub async fn run(listener: monoio::net::TcpListener, checks_keys: bool) {
    let state = rc::Rc::new(ServiceState {
        counts: cell::RefCell::default(),
        checks_keys,
        faults: faults::SharedFaults::default(),
    });
    http_server::accept_all(listener, move |connection| serve(rc::Rc::clone(&state), connection))
        .await;
}

async fn serve(state: rc::Rc<ServiceState>, mut connection: http_server::ServerConnection) {
    let limits =
        http_server::BodyLimits { max_bytes: MAX_BODY_BYTES, time: time::Duration::from_secs(60) };
    while let Ok(Some(mut incoming)) = connection.next_head().await {
        let Ok(body) = connection.read_body(&mut incoming, limits).await else {
            return;
        };
        let response = match incoming.head.uri.path() {
            "/faults" => engine::set_faults(&state.faults, &body),
            "/counts" => http_server::json_response(200, &*state.counts.borrow()),
            path => match run_call(&state, &incoming, path).await {
                Some(response) => response,
                None => return,
            },
        };
        if connection.respond(response).await.is_err() {
            return;
        }
    }
}

/// Runs a call. Returns `None` if a fault requires that the connection be closed without a
/// response.
async fn run_call(
    state: &ServiceState,
    incoming: &http_server::IncomingHead,
    path: &str,
) -> Option<http::Response<bytes::Bytes>> {
    let plan = state.faults.plan();
    if plan.draining || plan.refuse {
        let mut response = http_server::json_response(503, &"refused, not run");
        response.headers_mut().insert("x-ran", http::HeaderValue::from_static("no"));
        return Some(response);
    }
    let key = incoming.header("idempotency-key").unwrap_or_default().to_owned();
    let attempt = incoming.header("x-attempt-id").unwrap_or_default();
    let request = attempt.rsplit_once(':').map_or(attempt, |(request, _)| request).to_owned();
    if state.checks_keys && state.counts.borrow().by_key.contains_key(&key) && !key.is_empty() {
        state.counts.borrow_mut().key_refusals += 1;
        return Some(http_server::json_response(409, &"this key has run"));
    }
    record_run(&mut state.counts.borrow_mut(), key, request);
    monoio::time::sleep(time::Duration::from_millis(plan.delay_ms)).await;
    if plan.close_before_answer {
        return None;
    }
    let mut response = http_server::json_response(200, &format!("done {path}"));
    if let Ok(value) = http::HeaderValue::from_str(attempt) {
        response.headers_mut().insert("x-attempt-id", value);
    }
    Some(response)
}

fn record_run(counts: &mut ServiceCounts, key: String, request: String) {
    counts.runs += 1;
    *counts.by_request.entry(request).or_default() += 1;
    if !key.is_empty() {
        *counts.by_key.entry(key).or_default() += 1;
    }
}
