//! Forwards an engine's answer to the caller and detects truncated answers.

use slipturn_core::{histogram, units};
use slipturn_net::{http_client, http_server};

use crate::{answer, model_request, upstream_call};

/// Largest accepted piece of a streamed answer, in bytes. A larger one fails the attempt.
const MAX_PIECE_BYTES: u64 = 4 << 20;
/// Final event of a complete streamed answer.
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Number of bytes kept from the end of a stream to check for [`DONE_EVENT`].
const TAIL_BYTES: usize = 32;

impl model_request::ModelRequest {
    /// Forwards a streamed answer piece by piece.
    pub(crate) async fn forward_stream(
        &mut self,
        connection: &mut http_server::ServerConnection,
        answer: &mut http_client::StreamedResponse<'_>,
    ) -> model_request::AttemptEnd {
        let mut tail = Vec::new();
        let mut last = None;
        loop {
            let limited =
                monoio::time::timeout(self.remaining_time(), answer.next_piece(MAX_PIECE_BYTES));
            let piece = match connection.while_connected(limited).await {
                None => return model_request::AttemptEnd::CallerGone,
                Some(Err(_)) => return model_request::AttemptEnd::TimedOut,
                Some(Ok(Err(error))) => {
                    return model_request::AttemptEnd::Failed(
                        self.broken_answer(&error.to_string()),
                    );
                }
                Some(Ok(Ok(None))) => return self.end_stream(connection, &tail).await,
                Some(Ok(Ok(Some(piece)))) => piece,
            };
            if self.first_token.is_none() && self.send_stream_head(connection).await.is_err() {
                return model_request::AttemptEnd::CallerGone;
            }
            self.measure_piece(&mut last);
            keep_tail(&mut tail, &piece);
            let sending = connection.send_piece(&piece);
            match monoio::time::timeout(self.remaining_time(), sending).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return model_request::AttemptEnd::CallerGone,
                Err(_) => return model_request::AttemptEnd::TimedOut,
            }
        }
    }

    /// Sends the head of the streamed answer and records the time to the first token.
    async fn send_stream_head(
        &mut self,
        connection: &mut http_server::ServerConnection,
    ) -> Result<(), http_server::ServeError> {
        let now = self.context.clock.now();
        self.first_token = Some(now);
        let elapsed = now.since(self.call.arrived);
        self.record.first_token_ms = Some(units::whole_millis(elapsed));
        self.measure(histogram::MeasureKind::FirstToken, elapsed);
        let mut head = http::Response::new(());
        let headers = head.headers_mut();
        let content_type = http::HeaderValue::from_static("text/event-stream");
        headers.insert(http::header::CONTENT_TYPE, content_type);
        let cache = http::HeaderValue::from_static("no-cache");
        headers.insert(http::header::CACHE_CONTROL, cache);
        self.call.request_ids.add_headers(headers);
        answer::add_close_header(headers, &self.context.stop);
        connection.start_stream(&head).await
    }

    /// Finishes the stream to the caller if the engine's answer is complete.
    ///
    /// A body that ends properly at the HTTP level may still be truncated: only an answer that ends
    /// with [`DONE_EVENT`] is complete.
    async fn end_stream(
        &self,
        connection: &mut http_server::ServerConnection,
        tail: &[u8],
    ) -> model_request::AttemptEnd {
        if !tail.trim_ascii_end().ends_with(DONE_EVENT) {
            return model_request::AttemptEnd::Failed(
                self.broken_answer("the answer ends without its last event"),
            );
        }
        match connection.finish_stream().await {
            Ok(()) => model_request::AttemptEnd::Complete,
            Err(_) => model_request::AttemptEnd::CallerGone,
        }
    }

    /// Forwards an answer that is not streamed, once its whole body has been read.
    pub(crate) async fn forward_body(
        &mut self,
        connection: &mut http_server::ServerConnection,
        answer: &mut http_client::StreamedResponse<'_>,
    ) -> model_request::AttemptEnd {
        let limit = self.context.local.limits.max_answer.0;
        let limited = monoio::time::timeout(self.remaining_time(), answer.read_full_body(limit));
        let body = match connection.while_connected(limited).await {
            None => return model_request::AttemptEnd::CallerGone,
            Some(Err(_)) => return model_request::AttemptEnd::TimedOut,
            Some(Ok(Err(error))) => {
                return model_request::AttemptEnd::Failed(
                    upstream_call::AttemptFault::before_answer(&error),
                );
            }
            Some(Ok(Ok(body))) => body,
        };
        let now = self.context.clock.now();
        self.measure(histogram::MeasureKind::FirstToken, now.since(self.call.arrived));
        let mut response = http::Response::new(body);
        *response.status_mut() = answer.head.status;
        let headers = response.headers_mut();
        let content_type = http::HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, content_type);
        self.call.request_ids.add_headers(headers);
        answer::add_close_header(headers, &self.context.stop);
        match connection.respond(response).await {
            Ok(()) => model_request::AttemptEnd::Complete,
            Err(_) => model_request::AttemptEnd::CallerGone,
        }
    }
}

/// Appends a piece to the tail of the stream, of which the last [`TAIL_BYTES`] are kept.
fn keep_tail(tail: &mut Vec<u8>, piece: &[u8]) {
    tail.extend_from_slice(&piece[piece.len().saturating_sub(TAIL_BYTES)..]);
    let surplus = tail.len().saturating_sub(TAIL_BYTES);
    tail.drain(..surplus);
}
