//! An HTTP engine that runs an [`engine_model::EngineModel`] in real time.
//!
//! - `POST /v1/chat/completions` and `/v1/completions` run a request.
//! - `GET /v1/load` returns the load and the attempts that hold memory.
//! - `POST /v1/cancel` aborts an attempt, `POST /v1/kv/reserve` reserves memory for one.
//! - `POST /faults` sets the simulated faults, `GET /counts` returns counters for tests.

use std::{cell, collections, rc, time};

use bytes::Bytes;
use futures::{StreamExt as _, channel::mpsc};
use serde::{Deserialize, Serialize};
use slipturn_core::rendezvous;
use slipturn_net::{http_server, process};

use crate::{engine_model, faults};

/// Time between two steps of the model.
const STEP: time::Duration = time::Duration::from_millis(5);
/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Bytes of a prompt that count as one token.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;
/// Number of bytes at the start of a prompt that identify its prefix in the cache.
const PREFIX_BYTES: usize = 4_096;
/// Number of load reports kept for `report_lag_ms`: about 10 s, at one for each step.
const MAX_REPORTS: usize = 2_000;

type OutputSender = mpsc::UnboundedSender<engine_model::EngineOutput>;

/// Counters that tests read from `GET /counts`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RunCounts {
    /// Number of times that each attempt was started, by attempt id.
    pub started: collections::BTreeMap<String, u64>,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Requests that generated all of their output.
    pub done: u64,
    /// Running requests and reservations that were aborted.
    pub cancelled: u64,
    /// Peak memory use in tokens, sampled at each step.
    pub peak_held: u64,
}

#[derive(Debug, Clone, Serialize)]
struct AttemptMemory {
    attempt: String,
    tokens: u64,
}

#[derive(Debug, Clone, Serialize)]
struct LoadReport {
    draining: bool,
    memory_tokens: u64,
    prefill_backlog: u64,
    age_ms: u64,
    running: usize,
    held: Vec<AttemptMemory>,
}

/// State shared by the tasks of an engine.
struct EngineState {
    model: cell::RefCell<engine_model::EngineModel>,
    /// Channels to the tasks that write the responses, by attempt id.
    outputs: cell::RefCell<collections::HashMap<String, OutputSender>>,
    /// Latest load reports with the time of each, oldest first.
    reports: cell::RefCell<collections::VecDeque<(time::Instant, LoadReport)>>,
    counts: cell::RefCell<RunCounts>,
    faults: faults::SharedFaults,
}

/// Serves an engine on `listener`; never returns.
pub async fn run(listener: monoio::net::TcpListener, parameters: engine_model::EngineParameters) {
    let state = rc::Rc::new(EngineState {
        model: cell::RefCell::new(engine_model::EngineModel::new(parameters)),
        outputs: cell::RefCell::default(),
        reports: cell::RefCell::default(),
        counts: cell::RefCell::default(),
        faults: faults::SharedFaults::default(),
    });
    monoio::spawn(run_model(rc::Rc::clone(&state)));
    http_server::accept_all(listener, move |connection| serve(rc::Rc::clone(&state), connection))
        .await;
}

/// Steps the model in real time and forwards its outputs.
async fn run_model(state: rc::Rc<EngineState>) {
    let clock = process::ProcessClock::start();
    let mut last = clock.now();
    loop {
        monoio::time::sleep(STEP).await;
        let now = clock.now();
        let outputs = state.model.borrow_mut().step(now.since(last));
        last = now;
        for output in outputs {
            forward_output(&state, output);
        }
        record_report(&state);
    }
}

fn forward_output(state: &EngineState, output: engine_model::EngineOutput) {
    let mut senders = state.outputs.borrow_mut();
    match &output {
        engine_model::EngineOutput::Tokens(attempt, ..) => {
            if let Some(sender) = senders.get(attempt) {
                // A closed channel is ignored: the task that writes the response detects the
                // disconnect.
                let _ = sender.unbounded_send(output);
            }
        }
        engine_model::EngineOutput::Done(attempt) => {
            state.counts.borrow_mut().done += 1;
            if let Some(sender) = senders.remove(attempt) {
                let _ = sender.unbounded_send(output);
            }
        }
    }
}

fn record_report(state: &EngineState) {
    let model = state.model.borrow();
    let held: Vec<_> = model
        .memory_by_attempt()
        .into_iter()
        .map(|(attempt, tokens)| AttemptMemory { attempt, tokens })
        .collect();
    let report = LoadReport {
        draining: state.faults.plan().draining,
        memory_tokens: model.memory(),
        prefill_backlog: model.prefill_backlog(),
        age_ms: 0,
        running: model.running(),
        held,
    };
    let mut counts = state.counts.borrow_mut();
    counts.peak_held = counts.peak_held.max(model.held());
    let mut reports = state.reports.borrow_mut();
    reports.push_back((time::Instant::now(), report));
    if reports.len() > MAX_REPORTS {
        reports.pop_front();
    }
}

async fn serve(state: rc::Rc<EngineState>, mut connection: http_server::ServerConnection) {
    let limits =
        http_server::BodyLimits { max_bytes: MAX_BODY_BYTES, time: time::Duration::from_secs(60) };
    while let Ok(Some(mut incoming)) = connection.next_head().await {
        let Ok(body) = connection.read_body(&mut incoming, limits).await else {
            return;
        };
        let path = incoming.head.uri.path().to_owned();
        if path == "/faults" {
            let response = set_faults(&state.faults, &body);
            if connection.respond(response).await.is_err() {
                return;
            }
            continue;
        }
        let plan = state.faults.plan();
        if plan.down {
            // Neither responds nor closes the connection, like an engine whose host has stopped.
            monoio::time::sleep(time::Duration::from_secs(3_600)).await;
            return;
        }
        let keep_open = if path.ends_with("/completions") {
            complete(&state, &mut connection, &incoming, &body).await
        } else {
            let response = handle_control(&state, &path, &body);
            connection.respond(response).await.is_ok()
        };
        if !keep_open {
            return;
        }
    }
}

/// Replaces the fault plan by the JSON in `body`. Responds with status 400 and changes nothing if
/// it is invalid.
pub fn set_faults(faults: &faults::SharedFaults, body: &[u8]) -> http::Response<Bytes> {
    match serde_json::from_slice(body) {
        Ok(plan) => {
            faults.set(plan);
            http_server::json_response(200, &true)
        }
        Err(error) => http_server::json_response(400, &error.to_string()),
    }
}

#[derive(Deserialize)]
struct ControlBody {
    attempt: String,
    #[serde(default)]
    tokens: u64,
}

fn handle_control(state: &EngineState, path: &str, body: &[u8]) -> http::Response<Bytes> {
    match path {
        "/v1/load" => http_server::json_response(200, &delayed_report(state)),
        "/counts" => http_server::json_response(200, &*state.counts.borrow()),
        "/v1/cancel" | "/v1/kv/reserve" => match serde_json::from_slice::<ControlBody>(body) {
            Ok(control) if path == "/v1/cancel" => cancel_attempt(state, &control.attempt),
            Ok(control) => {
                let reserved = state.model.borrow_mut().reserve(&control.attempt, control.tokens);
                http_server::json_response(if reserved { 200 } else { 503 }, &reserved)
            }
            Err(error) => http_server::json_response(400, &error.to_string()),
        },
        _ => http_server::json_response(404, &"not found"),
    }
}

/// Returns the newest report that is at least `report_lag_ms` old, or else the oldest one.
fn delayed_report(state: &EngineState) -> LoadReport {
    let lag = time::Duration::from_millis(state.faults.plan().report_lag_ms);
    let reports = state.reports.borrow();
    let is_old_enough = |record: &&(time::Instant, LoadReport)| record.0.elapsed() >= lag;
    let matching = reports.iter().rev().find(is_old_enough).or_else(|| reports.front());
    let Some((recorded_at, report)) = matching else {
        let memory_tokens = state.model.borrow().memory();
        return LoadReport {
            draining: false,
            memory_tokens,
            prefill_backlog: 0,
            age_ms: 0,
            running: 0,
            held: Vec::new(),
        };
    };
    let age_ms = u64::try_from(recorded_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    LoadReport { age_ms, ..report.clone() }
}

fn cancel_attempt(state: &EngineState, attempt: &str) -> http::Response<Bytes> {
    if state.faults.plan().ignore_cancels {
        return http_server::json_response(200, &false);
    }
    http_server::json_response(200, &abort_attempt(state, attempt))
}

/// Aborts an attempt in the model. Returns whether the model had it.
fn abort_attempt(state: &EngineState, attempt: &str) -> bool {
    state.outputs.borrow_mut().remove(attempt);
    let existed = state.model.borrow_mut().cancel(attempt);
    state.counts.borrow_mut().cancelled += u64::from(existed);
    existed
}

#[derive(Deserialize)]
struct CompletionBody {
    #[serde(default)]
    messages: serde_json::Value,
    #[serde(default)]
    prompt: serde_json::Value,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Runs a completion and sends its response. Returns `false` if the connection must be closed.
async fn complete(
    state: &rc::Rc<EngineState>,
    connection: &mut http_server::ServerConnection,
    incoming: &http_server::IncomingHead,
    body: &[u8],
) -> bool {
    let plan = state.faults.plan();
    monoio::time::sleep(time::Duration::from_millis(plan.delay_ms)).await;
    let completion: CompletionBody = match serde_json::from_slice(body) {
        Ok(completion) => completion,
        Err(error) => {
            let response = http_server::json_response(400, &error.to_string());
            return connection.respond(response).await.is_ok();
        }
    };
    let text =
        if completion.messages.is_null() { &completion.prompt } else { &completion.messages };
    let text = text.to_string();
    let request = engine_request(incoming, &text, completion.max_tokens.unwrap_or(16));
    let attempt = request.attempt.clone();
    if plan.draining || plan.refuse || !state.model.borrow_mut().start(request) {
        state.counts.borrow_mut().refused += 1;
        let mut response = http_server::json_response(503, &"refused, not run");
        response.headers_mut().insert("x-ran", http::HeaderValue::from_static("no"));
        return connection.respond(response).await.is_ok();
    }
    *state.counts.borrow_mut().started.entry(attempt.clone()).or_default() += 1;
    let (sender, receiver) = mpsc::unbounded();
    state.outputs.borrow_mut().insert(attempt.clone(), sender);
    if plan.close_before_answer {
        abort_attempt(state, &attempt);
        return false;
    }
    let response = CompletionResponse {
        state,
        plan,
        attempt: attempt.clone(),
        fingerprint: prompt_fingerprint(&text),
        stream: completion.stream,
    };
    let finished = response.send(connection, receiver).await;
    if !finished && !state.faults.plan().ignore_disconnects {
        abort_attempt(state, &attempt);
    }
    finished
}

fn engine_request(
    incoming: &http_server::IncomingHead,
    text: &str,
    output: u64,
) -> engine_model::EngineRequest {
    let prompt = (text.len() as u64).div_ceil(PROMPT_BYTES_PER_TOKEN);
    let peers = incoming.header("x-kv-peers").map_or(0, |peers| peers.split(',').count() as u64);
    let prefix = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
    let hash = rendezvous::stable_hash(&[&String::from_utf8_lossy(prefix)]);
    engine_model::EngineRequest {
        attempt: incoming.header("x-attempt-id").unwrap_or("unnamed").to_owned(),
        prompt,
        output,
        memory: (prompt + output).div_ceil(peers + 1),
        priority: incoming.header("x-priority").and_then(|text| text.parse().ok()).unwrap_or(0),
        prefix: (hash, (prefix.len() as u64).div_ceil(PROMPT_BYTES_PER_TOKEN)),
    }
}

/// Returns the prefix of every word of the response to the prompt `text`. Callers use it to check
/// that a response belongs to their request.
pub fn prompt_fingerprint(text: &str) -> String {
    format!("{:016x}", rendezvous::stable_hash(&[text]))
}

/// The attempt, faults and format of one response.
struct CompletionResponse<'state> {
    state: &'state EngineState,
    plan: faults::FaultPlan,
    attempt: String,
    fingerprint: String,
    stream: bool,
}

impl CompletionResponse<'_> {
    /// Sends the output as it arrives. Returns `false` if the connection must be closed.
    async fn send(
        &self,
        connection: &mut http_server::ServerConnection,
        mut receiver: mpsc::UnboundedReceiver<engine_model::EngineOutput>,
    ) -> bool {
        if self.stream {
            let mut head = http::Response::new(());
            self.set_attempt_header(head.headers_mut());
            let kind = http::HeaderValue::from_static("text/event-stream");
            head.headers_mut().insert(http::header::CONTENT_TYPE, kind);
            if connection.start_stream(&head).await.is_err() {
                return false;
            }
        }
        let mut output_text = String::new();
        let mut sent = 0;
        loop {
            let Some(next) = connection.while_connected(receiver.next()).await else {
                return false;
            };
            let Some(engine_model::EngineOutput::Tokens(_, first, count)) = next else {
                break;
            };
            if self.plan.cut_after.is_some_and(|limit| sent >= limit) {
                return false;
            }
            if self.plan.short_after.is_some_and(|limit| sent >= limit) {
                abort_attempt(self.state, &self.attempt);
                return connection.finish_stream().await.is_ok();
            }
            if self.plan.hang_after.is_some_and(|limit| sent >= limit) {
                self.state.model.borrow_mut().hang(&self.attempt);
                let hour = time::Duration::from_secs(3_600);
                let _ = connection.while_connected(monoio::time::sleep(hour)).await;
                return false;
            }
            let text = self.output_text(first, count);
            sent += 1;
            if self.stream {
                if connection.send_piece(sse_event(&text).as_bytes()).await.is_err() {
                    return false;
                }
            } else {
                output_text.push_str(&text);
            }
        }
        if self.stream {
            let done = connection.send_piece(b"data: [DONE]\n\n").await.is_ok();
            return done && connection.finish_stream().await.is_ok();
        }
        let choice = serde_json::json!({ "index": 0, "message": { "content": output_text } });
        let mut response =
            http_server::json_response(200, &serde_json::json!({ "choices": [choice] }));
        self.set_attempt_header(response.headers_mut());
        connection.respond(response).await.is_ok()
    }

    fn set_attempt_header(&self, headers: &mut http::HeaderMap) {
        let attempt = if self.plan.wrong_attempt { "another:0:1:1" } else { &self.attempt };
        if let Ok(value) = http::HeaderValue::from_str(attempt) {
            headers.insert("x-attempt-id", value);
        }
    }

    fn output_text(&self, first: u64, count: u64) -> String {
        (first..first + count).map(|index| format!("{}-{index} ", self.fingerprint)).collect()
    }
}

fn sse_event(text: &str) -> String {
    let choice = serde_json::json!({ "index": 0, "delta": { "content": text } });
    format!("data: {}\n\n", serde_json::json!({ "choices": [choice] }))
}
