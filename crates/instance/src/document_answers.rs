//! Encoded answers to members that request the store's documents.
//!
//! At a start of the fleet and after each change many members request the same documents at the same time. Each
//! answer is encoded once and shared: otherwise the first member to have a long list would hold one copy of it in
//! memory for each requester.

use std::rc;

use bytes::Bytes;
use slipturn_core::store_revision;

use crate::{adapter, compressed_bytes, context};

/// Most cached answers. All contain the same versions of the routes and the list of upstreams; they differ by what the
/// requester lacks: the routes, the list, or both.
const MAX_CACHED_ANSWERS: usize = 4;
/// Size in bytes from which an answer counts as large: sending it takes 7 ms on a link of 20 Mbit/s.
const MIN_LARGE_ANSWER_BYTES: usize = 16 * 1024;
/// Most bytes of large answers in flight at once: 0.2 s on a link of 20 Mbit/s. A refused member requests the documents
/// from another one; more members have them by then.
const MAX_LARGE_BYTES_IN_FLIGHT: usize = 480 * 1024;
/// Number of large answers that may be in flight whatever their size.
const MIN_LARGE_IN_FLIGHT: usize = 8;

/// Key of a cached answer, which is reused only for a request with an equal key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AnswerKey {
    /// Versions of the routes and of the list of upstreams that the requester has; no version of the list if it
    /// requests the routes alone.
    requester_has: (u64, Option<store_revision::StoreRevision>),
    /// Versions of the routes and of the list of upstreams that this process has.
    current: (u64, store_revision::StoreRevision),
    /// Ages in milliseconds, as reported in the answer, of the last outage's end and of the store's era, which began
    /// when the store was restored from an older copy. Once a reported age has grown, the answer is encoded again.
    ages: (Option<u64>, Option<u64>),
}

/// Cached answers to members, and the number and size of large ones in flight.
#[derive(Debug, Default)]
pub struct DocumentAnswers {
    /// Cached answers, oldest first.
    cached: Vec<(AnswerKey, Bytes)>,
    /// Number of large answers in flight.
    large_in_flight: usize,
    /// Total size of large answers in flight, in bytes.
    large_bytes_in_flight: usize,
}

/// Counts a large answer as in flight until it is dropped.
pub(crate) struct LargeAnswerGuard {
    context: rc::Rc<context::InstanceContext>,
    /// Size of the large answer, in bytes.
    bytes: usize,
}

impl Drop for LargeAnswerGuard {
    fn drop(&mut self) {
        let mut answers = self.context.answers.borrow_mut();
        answers.large_in_flight -= 1;
        answers.large_bytes_in_flight -= self.bytes;
    }
}

/// An answer to a member's request for documents, or the reason that there is none.
pub(crate) enum DocumentAnswer {
    /// The encoded documents; the guard of a large answer is held until the answer is sent.
    Ready(Bytes, Option<LargeAnswerGuard>),
    /// Too many large answers are in flight; the member requests the documents from another one.
    Busy,
    /// The documents could not be encoded.
    Failed(compressed_bytes::CompressionError),
}

/// Returns the documents that a member with version `routes` of the routes and revision `list` of the list of upstreams
/// lacks; without `list`, the routes alone.
pub(crate) fn answer(
    context: &rc::Rc<context::InstanceContext>,
    routes: u64,
    list: Option<store_revision::StoreRevision>,
) -> DocumentAnswer {
    let bytes = match cached_or_encoded(context, routes, list) {
        Ok(bytes) => bytes,
        Err(error) => return DocumentAnswer::Failed(error),
    };
    if !is_large(&bytes) {
        return DocumentAnswer::Ready(bytes, None);
    }
    let mut answers = context.answers.borrow_mut();
    if answers.large_in_flight >= MIN_LARGE_IN_FLIGHT
        && answers.large_bytes_in_flight + bytes.len() > MAX_LARGE_BYTES_IN_FLIGHT
    {
        return DocumentAnswer::Busy;
    }
    answers.large_in_flight += 1;
    answers.large_bytes_in_flight += bytes.len();
    let guard = LargeAnswerGuard { context: rc::Rc::clone(context), bytes: bytes.len() };
    DocumentAnswer::Ready(bytes, Some(guard))
}

/// Returns the answer from the cache, or encodes and caches it.
fn cached_or_encoded(
    context: &context::InstanceContext,
    routes: u64,
    list: Option<store_revision::StoreRevision>,
) -> Result<Bytes, compressed_bytes::CompressionError> {
    let mut fleet = context.fleet.borrow_mut();
    let current = (fleet.routes.version.0, fleet.revision());
    let key = AnswerKey {
        requester_has: (routes, list),
        current,
        ages: fleet.reported_ages(context.now()),
    };
    let mut answers = context.answers.borrow_mut();
    if let Some((_, bytes)) = answers.cached.iter().find(|(cached, _)| *cached == key) {
        return Ok(bytes.clone());
    }
    let documents = fleet.documents(context.now(), routes, list);
    let bytes = Bytes::from(encode(&documents)?);
    answers.cached.retain(|(cached, _)| cached.current == current && cached.ages == key.ages);
    if answers.cached.len() >= MAX_CACHED_ANSWERS {
        answers.cached.remove(0);
    }
    answers.cached.push((key, bytes.clone()));
    Ok(bytes)
}

/// Whether an answer counts towards the limits on large answers.
pub(crate) fn is_large(answer: &[u8]) -> bool {
    answer.len() >= MIN_LARGE_ANSWER_BYTES
}

/// Encodes and compresses documents for another member.
pub fn encode(
    documents: &adapter::RawDocuments,
) -> Result<Vec<u8>, compressed_bytes::CompressionError> {
    let plain =
        postcard::to_stdvec(documents).map_err(compressed_bytes::CompressionError::codec)?;
    let compressed = compressed_bytes::CompressedBytes::compress(&plain, &[])?;
    postcard::to_stdvec(&compressed).map_err(compressed_bytes::CompressionError::codec)
}

/// Decodes the documents that [`encode`] produced at another member.
pub fn decode(bytes: &[u8]) -> Result<adapter::RawDocuments, compressed_bytes::CompressionError> {
    let compressed: compressed_bytes::CompressedBytes =
        postcard::from_bytes(bytes).map_err(compressed_bytes::CompressionError::codec)?;
    let plain = compressed.decompress(&[])?;
    postcard::from_bytes(&plain).map_err(compressed_bytes::CompressionError::codec)
}
