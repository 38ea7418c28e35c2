//! Conversion between Cap'n Proto messages and the types of `slipturn-core`.
//!
//! Points in time are sent as the time left until them, so that the clocks of the processes need not agree.

use std::{str, time};

use slipturn_core::{budget, ids, key_vote, placement, refusal, units};
use snafu::{ResultExt as _, Snafu};

use crate::scheduler_capnp;

/// Error that occurs when a message is decoded.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The message does not match the schema.
    #[snafu(display("message: {source}"))]
    Schema {
        /// Error of the `capnp` crate.
        source: capnp::Error,
    },
    /// A text in the message is not UTF-8.
    #[snafu(display("text: {source}"))]
    Text {
        /// Error of the UTF-8 decoder.
        source: str::Utf8Error,
    },
    /// A name or id in the message does not have the required form.
    #[snafu(display("name: {source}"))]
    Name {
        /// Error of the name's parser.
        source: ids::NameError,
    },
    /// The message contains a union variant that this version does not know.
    #[snafu(display("unknown variant {number}"))]
    UnknownVariant {
        /// Number of the unknown variant, as it was received.
        number: u16,
    },
    /// The message contains a refusal code that this version does not know.
    #[snafu(display("unknown refusal code '{label}'"))]
    UnknownCode {
        /// Label of the code, as it was received.
        label: String,
    },
}

impl From<capnp::Error> for WireError {
    fn from(source: capnp::Error) -> Self {
        Self::Schema { source }
    }
}

impl From<WireError> for capnp::Error {
    fn from(error: WireError) -> Self {
        capnp::Error::failed(error.to_string())
    }
}

/// Writes a request for a place (assignment of an attempt of a request to an engine) on `engine`.
/// Its deadlines are sent as the time left at `now`.
pub fn write_place(
    mut builder: scheduler_capnp::place::Builder<'_>,
    engine: &ids::EngineId,
    request: &placement::CapacityRequest,
    now: units::MonoTime,
) {
    builder.set_attempt(request.attempt.as_str());
    builder.set_engine(engine.as_str());
    builder.set_entry(request.entry.as_str());
    builder.set_boot(request.boot.0);
    builder.set_customer(request.customer.as_str());
    builder.set_weight(request.weight);
    builder.set_prompt_tokens(request.prompt.0);
    builder.set_cached_tokens(request.cached.0);
    builder.set_output_tokens(request.output.0);
    builder.set_memory_tokens(request.memory.0);
    builder.set_grouped(request.grouped);
    builder.set_deadline_ms(units::whole_millis(request.deadline.since(now)));
    builder.set_patience_ms(units::whole_millis(request.queue_deadline.since(now)));
}

/// Reads a request for a place, and the engine that is to run the request. Its deadlines are counted
/// from `now`, the time of receipt.
pub fn read_place(
    reader: scheduler_capnp::place::Reader<'_>,
    now: units::MonoTime,
) -> Result<(ids::EngineId, placement::CapacityRequest), WireError> {
    let request = placement::CapacityRequest {
        attempt: read_name(reader.get_attempt()?)?,
        entry: read_name(reader.get_entry()?)?,
        boot: ids::BootId(reader.get_boot()),
        customer: read_name(reader.get_customer()?)?,
        weight: reader.get_weight(),
        prompt: units::TokenCount(reader.get_prompt_tokens()),
        cached: units::TokenCount(reader.get_cached_tokens()),
        output: units::TokenCount(reader.get_output_tokens()),
        memory: units::TokenCount(reader.get_memory_tokens()),
        grouped: reader.get_grouped(),
        deadline: now + time::Duration::from_millis(reader.get_deadline_ms()),
        queue_deadline: now + time::Duration::from_millis(reader.get_patience_ms()),
    };
    Ok((read_name(reader.get_engine()?)?, request))
}

/// Writes a refusal. Whether the request was run is not sent: between slipturn's processes, only requests that
/// were not run are refused.
pub fn write_refusal(
    mut builder: scheduler_capnp::refusal::Builder<'_>,
    refusal: &refusal::RequestRefusal,
) {
    builder.set_code(refusal.code.label());
    builder.set_message(&refusal.message);
    // Zero means that there is no retry time, so a wait below one millisecond is sent as one.
    builder
        .set_retry_after_ms(refusal.retry_after.map_or(0, |wait| units::whole_millis(wait).max(1)));
}

/// Reads a refusal, whose request always counts as not run. Fails if the refusal code is unknown.
pub fn read_refusal(
    reader: scheduler_capnp::refusal::Reader<'_>,
) -> Result<refusal::RequestRefusal, WireError> {
    let label = read_text(reader.get_code()?)?;
    let code = refusal::RefusalCode::from_label(label)
        .ok_or_else(|| UnknownCodeSnafu { label }.build())?;
    let mut refusal = refusal::RequestRefusal::not_run(code, read_text(reader.get_message()?)?);
    if reader.get_retry_after_ms() > 0 {
        refusal.retry_after = Some(time::Duration::from_millis(reader.get_retry_after_ms()));
    }
    Ok(refusal)
}

/// Writes an engine's offer (an estimate of how it could serve a request), or the refusal of the
/// request.
pub fn write_offer(
    builder: scheduler_capnp::offer_reply::Builder<'_>,
    answer: &Result<placement::EngineOffer, refusal::RequestRefusal>,
) {
    match answer {
        Ok(offer) => {
            let mut group = builder.init_offer();
            group.set_first_token_us(
                u64::try_from(offer.first_token.as_micros()).unwrap_or(u64::MAX),
            );
            group.set_free_tokens(offer.free.0);
            group.set_running(u32::try_from(offer.running).unwrap_or(u32::MAX));
            group.set_waiting(u32::try_from(offer.waiting).unwrap_or(u32::MAX));
        }
        Err(refusal) => write_refusal(builder.init_refused(), refusal),
    }
}

/// Reads an engine's offer (an estimate of how it could serve a request), or the refusal of the
/// request.
pub fn read_offer(
    reader: scheduler_capnp::offer_reply::Reader<'_>,
) -> Result<Result<placement::EngineOffer, refusal::RequestRefusal>, WireError> {
    use scheduler_capnp::offer_reply::Which;
    match reader.which().map_err(unknown_variant)? {
        Which::Offer(group) => Ok(Ok(placement::EngineOffer {
            first_token: time::Duration::from_micros(group.get_first_token_us()),
            free: units::TokenCount(group.get_free_tokens()),
            running: group.get_running() as usize,
            waiting: group.get_waiting() as usize,
        })),
        Which::Refused(refused) => Ok(Err(read_refusal(refused?)?)),
    }
}

/// Writes the result of a wait for a place: the priority to send to the engine, or the refusal.
pub fn write_place_reply(
    mut builder: scheduler_capnp::place_reply::Builder<'_>,
    answer: &Result<u8, refusal::RequestRefusal>,
) {
    match answer {
        Ok(priority) => builder.set_granted(*priority),
        Err(refusal) => write_refusal(builder.init_refused(), refusal),
    }
}

/// Reads the result of a wait for a place: the priority to send to the engine, or the refusal.
pub fn read_place_reply(
    reader: scheduler_capnp::place_reply::Reader<'_>,
) -> Result<Result<u8, refusal::RequestRefusal>, WireError> {
    use scheduler_capnp::place_reply::Which;
    match reader.which().map_err(unknown_variant)? {
        Which::Granted(priority) => Ok(Ok(priority)),
        Which::Refused(refused) => Ok(Err(read_refusal(refused?)?)),
    }
}

/// Writes a portion of a token budget or, if the budget is exhausted, the time until tokens are
/// available again.
pub fn write_portion(
    mut builder: scheduler_capnp::portion_reply::Builder<'_>,
    answer: Result<budget::BudgetPortion, budget::BudgetExhausted>,
) {
    match answer {
        Ok(portion) => {
            let mut group = builder.init_portion();
            group.set_tokens(portion.tokens.0);
            group.set_life_ms(units::whole_millis(portion.ttl));
        }
        Err(budget::BudgetExhausted(wait)) => builder.set_empty_ms(units::whole_millis(wait)),
    }
}

/// Reads a portion of a token budget or, if the budget is exhausted, the time until tokens are
/// available again.
pub fn read_portion(
    reader: scheduler_capnp::portion_reply::Reader<'_>,
) -> Result<Result<budget::BudgetPortion, budget::BudgetExhausted>, WireError> {
    use scheduler_capnp::portion_reply::Which;
    match reader.which().map_err(unknown_variant)? {
        Which::Portion(group) => Ok(Ok(budget::BudgetPortion {
            tokens: units::TokenCount(group.get_tokens()),
            ttl: time::Duration::from_millis(group.get_life_ms()),
        })),
        Which::EmptyMs(wait) => Ok(Err(budget::BudgetExhausted(time::Duration::from_millis(wait)))),
    }
}

/// Writes an instance's vote on a request's use of an idempotency key: granted, abstained, or taken
/// by another request.
pub fn write_vote(
    mut builder: scheduler_capnp::vote_reply::Builder<'_>,
    answer: &key_vote::VoteAnswer,
) {
    let saturate = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    match answer {
        key_vote::VoteAnswer::Granted { group } => builder.set_granted(saturate(*group)),
        key_vote::VoteAnswer::Abstained => builder.set_abstained(()),
        key_vote::VoteAnswer::Taken(first) => builder.set_taken(first.as_str()),
    }
}

/// Reads an instance's vote on a request's use of an idempotency key: granted, abstained, or taken
/// by another request.
pub fn read_vote(
    reader: scheduler_capnp::vote_reply::Reader<'_>,
) -> Result<key_vote::VoteAnswer, WireError> {
    use scheduler_capnp::vote_reply::Which;
    Ok(match reader.which().map_err(unknown_variant)? {
        Which::Granted(group) => key_vote::VoteAnswer::Granted { group: group as usize },
        Which::Abstained(()) => key_vote::VoteAnswer::Abstained,
        Which::Taken(first) => key_vote::VoteAnswer::Taken(read_name(first?)?),
    })
}

/// Reads a text and checks that it is UTF-8.
pub fn read_text(reader: capnp::text::Reader<'_>) -> Result<&str, WireError> {
    reader.to_str().context(TextSnafu)
}

/// Reads a text and parses it as a name or id of type `T`; fails if it does not have the form of
/// `T`.
pub fn read_name<T>(reader: capnp::text::Reader<'_>) -> Result<T, WireError>
where
    T: str::FromStr<Err = ids::NameError>,
{
    read_text(reader)?.parse().context(NameSnafu)
}

fn unknown_variant(error: capnp::NotInSchema) -> WireError {
    WireError::UnknownVariant { number: error.0 }
}
