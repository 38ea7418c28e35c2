//! Sends a streamed completion request and checks the response.

use std::{net, time};

use bytes::Bytes;
use serde::Deserialize;
use slipturn_net::http_client;
use slipturn_standin::engine;

use crate::arrivals;

/// Largest accepted chunk of a response, and largest accepted error body, in bytes.
const MAX_READ_BYTES: u64 = 4 << 20;
/// Timeout of a request, from sending it to the end of its response.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(600);
/// Bytes of a prompt that count as one token, as in the stand-in engine.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;
/// Text that is repeated to fill a prompt.
const PROMPT_FILLER: &str = "abcdefghijklmno ";

/// The outcome of a request, as seen by its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// The response was complete and correct.
    Whole {
        /// Time from the start of the call to the first chunk of the response.
        first_token: time::Duration,
        /// Time from the start of the call to the end of the response.
        total: time::Duration,
        /// Longest time between two consecutive chunks of the response.
        longest_gap: time::Duration,
        /// Request id that slipturn returned; empty if it returned none.
        request: String,
    },
    /// The request was refused with a readable error body.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// The `code` field of the error body.
        code: String,
        /// The `ran` field of the error body: whether the request ran.
        ran: String,
        /// Time after which the caller may retry, if the error body contains one.
        retry_after: Option<time::Duration>,
        /// Time from the start of the call to the end of the error body.
        after: time::Duration,
    },
    /// The response began but ended with an error event or without its last event.
    Cut(String),
    /// The response ended normally but its text is wrong; holds the first 60 characters.
    Wrong(String),
    /// The connection failed, the error body was unreadable or the request timed out.
    Failed(String),
}

/// Destination and credentials of a request.
#[derive(Debug, Clone)]
pub struct CallTarget {
    /// Address of an entry, or of an engine that is called directly.
    pub address: net::SocketAddr,
    /// API key, sent as bearer token.
    pub key: String,
    /// Name of the model that the request asks for.
    pub model: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Deserialize)]
struct ErrorFields {
    code: String,
    ran: String,
    message: String,
    retry_after_ms: Option<u64>,
}

/// Returns the chat messages for an arrival, filled to about the length of its prompt.
pub fn messages(arrival: &arrivals::Arrival) -> serde_json::Value {
    let length = usize::try_from(arrival.prompt * PROMPT_BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let start = format!("request {} of this run: ", arrival.number);
    let filler = PROMPT_FILLER.repeat(length / PROMPT_FILLER.len() + 1);
    let mut content = start + &filler;
    // The JSON around the content counts towards the prompt length, so it is subtracted.
    content.truncate(length.saturating_sub(34).max(1));
    serde_json::json!([{ "role": "user", "content": content }])
}

/// Sends the request with streaming enabled and checks the response.
pub async fn call(
    pool: &http_client::ConnectionPool,
    target: &CallTarget,
    arrival: &arrivals::Arrival,
) -> CallOutcome {
    let messages = messages(arrival);
    let fingerprint = engine::prompt_fingerprint(&messages.to_string());
    let body = serde_json::json!({
        "model": target.model,
        "messages": messages,
        "max_tokens": arrival.output,
        "stream": true,
    });
    let mut http_request = http::Request::new(Bytes::from(body.to_string()));
    drop(messages);
    *http_request.method_mut() = http::Method::POST;
    *http_request.uri_mut() = http::Uri::from_static("/v1/chat/completions");
    let headers = http_request.headers_mut();
    if let Ok(value) = http::HeaderValue::try_from(format!("Bearer {}", target.key)) {
        headers.insert(http::header::AUTHORIZATION, value);
    }
    // An engine that is called directly identifies its requests by attempt id.
    if let Ok(value) = http::HeaderValue::try_from(format!("load:{fingerprint}")) {
        headers.insert("x-attempt-id", value);
    }
    headers.insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    let exchange = receive_response(pool, target, http_request, &fingerprint, arrival.output);
    let outcome = monoio::time::timeout(CALL_TIMEOUT, exchange).await;
    outcome.unwrap_or_else(|_| CallOutcome::Failed("the request timed out".to_owned()))
}

async fn receive_response(
    pool: &http_client::ConnectionPool,
    target: &CallTarget,
    http_request: http::Request<Bytes>,
    fingerprint: &str,
    output: u64,
) -> CallOutcome {
    let started = time::Instant::now();
    let connection_policy = http_client::ConnectionPolicy::Pooled;
    let mut response = match pool.call(target.address, connection_policy, http_request).await {
        Ok(response) => response,
        Err(error) => return CallOutcome::Failed(error.to_string()),
    };
    if !response.head.status.is_success() {
        return read_refusal(&mut response, started).await;
    }
    let request = response.header("slipturn-request-id").unwrap_or_default().to_owned();
    let mut text = Vec::new();
    let (mut first_token, mut last_chunk_at, mut longest_gap) =
        (None, started, time::Duration::ZERO);
    loop {
        match response.next_piece(MAX_READ_BYTES).await {
            Ok(Some(chunk)) => {
                if first_token.is_none() {
                    first_token = Some(started.elapsed());
                } else {
                    longest_gap = longest_gap.max(last_chunk_at.elapsed());
                }
                last_chunk_at = time::Instant::now();
                text.extend_from_slice(&chunk);
            }
            Ok(None) => break,
            Err(error) => return CallOutcome::Failed(format!("mid-response: {error}")),
        }
    }
    let total = started.elapsed();
    match check_response(&String::from_utf8_lossy(&text), fingerprint, output) {
        Ok(()) => {
            let first_token = first_token.unwrap_or(total);
            CallOutcome::Whole { first_token, total, longest_gap, request }
        }
        Err(outcome) => outcome,
    }
}

async fn read_refusal(
    response: &mut http_client::StreamedResponse<'_>,
    started: time::Instant,
) -> CallOutcome {
    let status = response.head.status.as_u16();
    let body = response.read_full_body(MAX_READ_BYTES).await.unwrap_or_default();
    let after = started.elapsed();
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => CallOutcome::Refused {
            status,
            code: body.error.code,
            ran: body.error.ran,
            retry_after: body.error.retry_after_ms.map(time::Duration::from_millis),
            after,
        },
        Err(_) => CallOutcome::Failed(format!("status {status} with an unreadable error body")),
    }
}

/// Checks that the event stream `text` is complete and holds the output that the stand-in engine
/// generates for the prompt with this fingerprint.
pub fn check_response(text: &str, fingerprint: &str, output: u64) -> Result<(), CallOutcome> {
    let mut output_text = String::new();
    let mut done = false;
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        if let Ok(body) = serde_json::from_str::<ErrorBody>(data) {
            return Err(CallOutcome::Cut(format!("{}: {}", body.error.code, body.error.message)));
        }
        let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        output_text += value["choices"][0]["delta"]["content"].as_str().unwrap_or("?");
    }
    if !done {
        return Err(CallOutcome::Cut("the stream ended without its last event".to_owned()));
    }
    let expected: String = (0..output).map(|index| format!("{fingerprint}-{index} ")).collect();
    if output_text != expected {
        let start: String = output_text.chars().take(60).collect();
        return Err(CallOutcome::Wrong(start));
    }
    Ok(())
}
