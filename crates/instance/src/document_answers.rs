//! What members are given of the store's documents, coded once for all who lack the same.
//!
//! At a start and after each change many members lack the same at the same moment. Coded apart for each, a long list
//! would stand in the memory of the one who has it first once for each that asks.

use std::rc;

use bytes::Bytes;
use slipturn_core::store_revision;

use crate::{border, compressed_bytes, context};

/// Answers kept: of one version of routes and list, for those who lack the routes, the list, or both.
const MAX_CACHED_ANSWERS: usize = 4;
/// Answers of at least this size, bytes, count as large: on a link of 20 Mbit/s one takes 7 ms.
const MIN_LARGE_ANSWER_BYTES: usize = 16 * 1024;
/// Bytes of large answers sent at once; 0.2 s on such a link. A member that is refused asks another one, and more have
/// the documents by then.
const MAX_LARGE_BYTES_IN_FLIGHT: usize = 480 * 1024;
/// Large answers always sent at once.
const MIN_LARGE_IN_FLIGHT: usize = 8;

/// What an answer was made for, and of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AnswerKey {
    /// Versions of routes and list that the other has.
    requester_has: (u64, Option<store_revision::StoreRevision>),
    /// Versions of routes and list here.
    current: (u64, store_revision::StoreRevision),
    /// Ages reported in it; they grow while it is cached.
    ages: (Option<u64>, Option<u64>),
}

/// Answers to members, and how many large ones are on their way.
#[derive(Debug, Default)]
pub struct DocumentAnswers {
    /// Newest last.
    cached: Vec<(AnswerKey, Bytes)>,
    /// Large answers on their way.
    large_in_flight: usize,
    /// Bytes of these.
    large_bytes_in_flight: usize,
}

/// Counts a large answer as on its way for as long as it lives.
pub(crate) struct LargeAnswerGuard {
    context: rc::Rc<context::InstanceContext>,
    bytes: usize,
}

impl Drop for LargeAnswerGuard {
    fn drop(&mut self) {
        let mut answers = self.context.answers.borrow_mut();
        answers.large_in_flight -= 1;
        answers.large_bytes_in_flight -= self.bytes;
    }
}

/// An answer to a member, or why there is none.
pub(crate) enum DocumentAnswer {
    /// What it lacks; held until it is sent.
    Ready(Bytes, Option<LargeAnswerGuard>),
    /// Too many large ones are on their way.
    Busy,
    /// It cannot be coded.
    Failed(compressed_bytes::CompressionError),
}

/// What a member that has these versions of routes and list lacks.
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

/// Whether an answer is one of those that are bounded.
pub(crate) fn is_large(answer: &[u8]) -> bool {
    answer.len() >= MIN_LARGE_ANSWER_BYTES
}

/// Codes documents for another member.
pub fn encode(
    documents: &border::RawDocuments,
) -> Result<Vec<u8>, compressed_bytes::CompressionError> {
    let plain = postcard::to_stdvec(documents).map_err(compressed_bytes::CompressionError::code)?;
    let packed = compressed_bytes::CompressedBytes::compress(&plain, &[])?;
    postcard::to_stdvec(&packed).map_err(compressed_bytes::CompressionError::code)
}

/// Reads documents of another member.
pub fn decode(bytes: &[u8]) -> Result<border::RawDocuments, compressed_bytes::CompressionError> {
    let packed: compressed_bytes::CompressedBytes =
        postcard::from_bytes(bytes).map_err(compressed_bytes::CompressionError::code)?;
    let plain = packed.decompress(&[])?;
    postcard::from_bytes(&plain).map_err(compressed_bytes::CompressionError::code)
}
