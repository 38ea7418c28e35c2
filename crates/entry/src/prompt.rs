//! Reads what an OpenAI-style request asks for, without taking its prompt apart.

use std::collections;

use bytes::Bytes;
use serde::Deserialize as _;
use serde_json::value;
use slipturn_core::{entry_router, ids, refusal, rendezvous, units};

/// Bytes of prompt that count as one token, where no tokenizer is at hand.
const BYTES_PER_TOKEN: u64 = 4;
/// Bytes at the prompt's start that must be alike for an engine's prefix cache to be of use.
const PREFIX_BYTES: usize = 4_096;

/// The part of the prompt an engine may have cached, and what else routing needs.
#[derive(Debug, Clone)]
pub struct ParsedRequest {
    /// The model asked for.
    pub model: ids::ModelId,
    /// Estimated length.
    pub tokens: units::TokenCount,
    /// Estimated length of the prefix that is compared.
    pub prefix_tokens: units::TokenCount,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Tokens of output asked for.
    pub output: Option<units::TokenCount>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// The request's members, their values unread.
    members: collections::BTreeMap<String, Box<value::RawValue>>,
}

impl ParsedRequest {
    /// Reads a body of `POST /v1/chat/completions` or `/v1/completions`.
    pub fn read(body: &[u8]) -> Result<Self, refusal::RequestRefusal> {
        let members: collections::BTreeMap<String, Box<value::RawValue>> =
            serde_json::from_slice(body).map_err(|error| bad_request(&error.to_string()))?;
        let text = members.get("messages").or_else(|| members.get("prompt"));
        let text = text.ok_or_else(|| bad_request("'messages' or 'prompt' is missing"))?.get();
        let model: String = required(&members, "model")?;
        let model = model.parse().map_err(|_| bad_request("'model' is not a valid name"))?;
        let chat_limit = optional(&members, "max_completion_tokens")?;
        let output = chat_limit.or(optional(&members, "max_tokens")?);
        let prefix = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
        Ok(Self {
            model,
            tokens: estimate_tokens(text.len()),
            prefix_tokens: estimate_tokens(prefix.len()),
            prefix: rendezvous::stable_hash(&[&String::from_utf8_lossy(prefix)]),
            output: output.map(units::TokenCount),
            stream: optional(&members, "stream")?.unwrap_or(false),
            members,
        })
    }

    /// What the router needs to know.
    pub fn question(
        &self,
        key: String,
        requested_limit: Option<std::time::Duration>,
    ) -> entry_router::PlanQuestion {
        let (model, prompt, output) = (self.model.clone(), self.tokens, self.output);
        entry_router::PlanQuestion { key, model, prompt, output, requested_limit }
    }

    /// The body to send to an engine: the caller's, with the output cut to what is allowed.
    pub fn into_body(mut self, output: units::TokenCount) -> Bytes {
        let limit = value::to_raw_value(&output.0).expect("a number is valid JSON");
        self.members.remove("max_completion_tokens");
        self.members.insert("max_tokens".to_owned(), limit);
        Bytes::from(serde_json::to_vec(&self.members).expect("members were read from JSON"))
    }
}

fn estimate_tokens(bytes: usize) -> units::TokenCount {
    units::TokenCount((bytes as u64).div_ceil(BYTES_PER_TOKEN))
}

fn required<'de, T: serde::Deserialize<'de>>(
    members: &'de collections::BTreeMap<String, Box<value::RawValue>>,
    name: &str,
) -> Result<T, refusal::RequestRefusal> {
    optional(members, name)?.ok_or_else(|| bad_request(&format!("'{name}' is missing")))
}

fn optional<'de, T: serde::Deserialize<'de>>(
    members: &'de collections::BTreeMap<String, Box<value::RawValue>>,
    name: &str,
) -> Result<Option<T>, refusal::RequestRefusal> {
    let Some(value) = members.get(name) else {
        return Ok(None);
    };
    let mut reader = serde_json::Deserializer::from_str(value.get());
    Option::deserialize(&mut reader).map_err(|error| bad_request(&format!("'{name}': {error}")))
}

fn bad_request(text: &str) -> refusal::RequestRefusal {
    refusal::RequestRefusal::not_run(refusal::RefusalCode::BadRequest, text)
}
