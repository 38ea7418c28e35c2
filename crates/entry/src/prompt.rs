//! Parsing of OpenAI-style request bodies. The prompt itself is not decoded.

use std::collections;

use bytes::Bytes;
use serde::Deserialize as _;
use serde_json::value;
use slipturn_core::{entry_router, ids, refusal, rendezvous, units};

/// Number of prompt bytes estimated as one token, because the entry has no tokenizer.
const BYTES_PER_TOKEN: u64 = 4;
/// Length in bytes of the prompt prefix that two requests must share for routing to expect a hit in
/// an engine's prefix cache.
const PREFIX_BYTES: usize = 4_096;

/// A parsed request body, with the values that routing needs.
#[derive(Debug, Clone)]
pub struct ParsedRequest {
    /// Model that the caller requests.
    pub model: ids::ModelId,
    /// Estimated length of the prompt.
    pub tokens: units::TokenCount,
    /// Estimated length of the hashed prefix.
    pub prefix_tokens: units::TokenCount,
    /// Hash of the prompt's prefix, by which routing finds an engine that may have it cached.
    pub prefix: u64,
    /// Requested limit on the output, if any.
    pub output: Option<units::TokenCount>,
    /// Whether the caller requested a streamed answer.
    pub stream: bool,
    /// Members of the caller's JSON object, with undecoded values.
    members: collections::BTreeMap<String, Box<value::RawValue>>,
}

impl ParsedRequest {
    /// Parses the body of a `POST /v1/chat/completions` or `/v1/completions`.
    ///
    /// # Errors
    ///
    /// Refuses with `BadRequest` if the body is not a JSON object, or if a member that routing
    /// needs is missing or malformed.
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

    /// Builds the query with which the router resolves the settings of the request.
    pub fn plan_query(
        &self,
        key: String,
        requested_limit: Option<std::time::Duration>,
    ) -> entry_router::PlanQuery {
        let (model, prompt, output) = (self.model.clone(), self.tokens, self.output);
        entry_router::PlanQuery { key, model, prompt, output, requested_limit }
    }

    /// Encodes the body for the engine: the caller's members, with the output limited to `output`.
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

/// Decodes a member of the body that must be present.
fn required<'de, T: serde::Deserialize<'de>>(
    members: &'de collections::BTreeMap<String, Box<value::RawValue>>,
    name: &str,
) -> Result<T, refusal::RequestRefusal> {
    optional(members, name)?.ok_or_else(|| bad_request(&format!("'{name}' is missing")))
}

/// Decodes a member of the body; `None` if it is absent or null.
fn optional<'de, T: serde::Deserialize<'de>>(
    members: &'de collections::BTreeMap<String, Box<value::RawValue>>,
    name: &str,
) -> Result<Option<T>, refusal::RequestRefusal> {
    let Some(value) = members.get(name) else {
        return Ok(None);
    };
    let mut deserializer = serde_json::Deserializer::from_str(value.get());
    Option::deserialize(&mut deserializer)
        .map_err(|error| bad_request(&format!("'{name}': {error}")))
}

fn bad_request(text: &str) -> refusal::RequestRefusal {
    refusal::RequestRefusal::not_run(refusal::RefusalCode::BadRequest, text)
}
