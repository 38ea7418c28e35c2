//! Bodies that are known whole.

use bytes::Bytes;
use monoio_http::h1::payload;

/// The payload of a whole body; an empty one has none, so that no length is stated twice.
pub(crate) fn whole(body: Bytes) -> payload::Payload {
    if body.is_empty() {
        payload::Payload::None
    } else {
        payload::Payload::Fixed(payload::FixedPayload::new(body))
    }
}
