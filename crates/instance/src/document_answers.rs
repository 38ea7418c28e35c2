//! What members are given of the store's documents, coded once for all who lack the same.
//!
//! At a start and after each change many members lack the same at the same moment. Coded apart for each, a long list
//! would stand in the memory of the one who has it first once for each that asks.

use std::rc;

use bytes::Bytes;
use slipturn_core::store_revision;

use crate::{adapter, context, packed_bytes};

/// Answers kept: of one version of routes and list, for those who lack the routes, the list, or both.
const MAX_ANSWERS: usize = 4;
/// Answers of at least this size, bytes, count as large: on a link of 20 Mbit/s one takes 7 ms.
const LARGE_ANSWER: usize = 16 * 1024;
/// Bytes of large answers sent at once; 0.2 s on such a link. A member that is refused asks another one, and more have
/// the documents by then.
const MAX_LARGE_BYTES: usize = 480 * 1024;
/// Large answers always sent at once.
const MIN_LARGE: usize = 8;

/// What an answer was made for, and of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AnswerKey {
    /// Versions of routes and list that the other has.
    lacking: (u64, Option<store_revision::StoreRevision>),
    /// Versions of routes and list here.
    known: (u64, store_revision::StoreRevision),
    /// Ages reported in it; they grow while it is cached.
    ages: (Option<u64>, Option<u64>),
}

/// Answers to members, and how many large ones are on their way.
#[derive(Debug, Default)]
pub struct DocumentAnswers {
    /// Newest last.
    kept: Vec<(AnswerKey, Bytes)>,
    /// Large answers on their way.
    large: usize,
    /// Bytes of these.
    large_bytes: usize,
}

/// Counts a large answer as on its way for as long as it lives.
pub(crate) struct LargeGuard {
    context: rc::Rc<context::InstanceContext>,
    bytes: usize,
}

impl Drop for LargeGuard {
    fn drop(&mut self) {
        let mut answers = self.context.answers.borrow_mut();
        answers.large -= 1;
        answers.large_bytes -= self.bytes;
    }
}

/// An answer to a member, or why there is none.
pub(crate) enum DocumentAnswer {
    /// What it lacks; held until it is sent.
    Ready(Bytes, Option<LargeGuard>),
    /// Too many large ones are on their way.
    Busy,
    /// It cannot be coded.
    Failed(packed_bytes::PackError),
}

/// What a member that has these versions of routes and list lacks.
pub(crate) fn answer(
    context: &rc::Rc<context::InstanceContext>,
    routes: u64,
    list: Option<store_revision::StoreRevision>,
) -> DocumentAnswer {
    let bytes = match coded(context, routes, list) {
        Ok(bytes) => bytes,
        Err(error) => return DocumentAnswer::Failed(error),
    };
    if !is_large(&bytes) {
        return DocumentAnswer::Ready(bytes, None);
    }
    let mut answers = context.answers.borrow_mut();
    if answers.large >= MIN_LARGE && answers.large_bytes + bytes.len() > MAX_LARGE_BYTES {
        return DocumentAnswer::Busy;
    }
    answers.large += 1;
    answers.large_bytes += bytes.len();
    let guard = LargeGuard { context: rc::Rc::clone(context), bytes: bytes.len() };
    DocumentAnswer::Ready(bytes, Some(guard))
}

fn coded(
    context: &context::InstanceContext,
    routes: u64,
    list: Option<store_revision::StoreRevision>,
) -> Result<Bytes, packed_bytes::PackError> {
    let mut fleet = context.fleet.borrow_mut();
    let known = (fleet.routes.version.0, fleet.revision());
    let key =
        AnswerKey { lacking: (routes, list), known, ages: fleet.reported_ages(context.now()) };
    let mut answers = context.answers.borrow_mut();
    if let Some((_, bytes)) = answers.kept.iter().find(|(kept, _)| *kept == key) {
        return Ok(bytes.clone());
    }
    let documents = fleet.documents(context.now(), routes, list);
    let bytes = Bytes::from(encode(&documents)?);
    answers.kept.retain(|(kept, _)| kept.known == known && kept.ages == key.ages);
    if answers.kept.len() >= MAX_ANSWERS {
        answers.kept.remove(0);
    }
    answers.kept.push((key, bytes.clone()));
    Ok(bytes)
}

/// Whether an answer is one of those that are bounded.
pub(crate) fn is_large(answer: &[u8]) -> bool {
    answer.len() >= LARGE_ANSWER
}

/// Codes documents for another member.
pub fn encode(documents: &adapter::RawDocuments) -> Result<Vec<u8>, packed_bytes::PackError> {
    let plain = postcard::to_stdvec(documents).map_err(packed_bytes::PackError::code)?;
    let packed = packed_bytes::PackedBytes::pack(&plain, &[])?;
    postcard::to_stdvec(&packed).map_err(packed_bytes::PackError::code)
}

/// Reads documents of another member.
pub fn decode(bytes: &[u8]) -> Result<adapter::RawDocuments, packed_bytes::PackError> {
    let packed: packed_bytes::PackedBytes =
        postcard::from_bytes(bytes).map_err(packed_bytes::PackError::code)?;
    let plain = packed.unpack(&[])?;
    postcard::from_bytes(&plain).map_err(packed_bytes::PackError::code)
}
