//! Message bodies that are completely in memory.

use bytes::Bytes;
use monoio_http::h1::payload;

/// Wraps a complete body as a payload. An empty body becomes [`payload::Payload::None`], with which the
/// encoder adds no `content-length` to a request and `content-length: 0` to a response.
pub(crate) fn full_payload(body: Bytes) -> payload::Payload {
    if body.is_empty() {
        payload::Payload::None
    } else {
        payload::Payload::Fixed(payload::FixedPayload::new(body))
    }
}
