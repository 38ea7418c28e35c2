//! The published settings tree: fleet, customers, applications, request classes.
//!
//! The operators publish the tree as one YAML document with a version. Each node may override the
//! options of [`NodeOptions`] and inherits the others from its parent. `docs/SETTINGS.md` lists all
//! options.

use std::collections;

use serde::Deserialize;
use snafu::{Snafu, ensure};

use crate::{ids, units};

/// Length of a caller key's digest, in hexadecimal digits.
const KEY_DIGEST_LENGTH: usize = 64;
/// Largest accepted document, in bytes. The platform's store holds values of up to a megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Error for a settings document that is not accepted. Documents are accepted as a whole or not at
/// all.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The document is larger than [`MAX_DOCUMENT_BYTES`].
    #[snafu(display("found {found} bytes, expected at most {MAX_DOCUMENT_BYTES}"))]
    TooLarge {
        /// Size of the document, in bytes.
        found: usize,
    },
    /// The document is not valid YAML, or has an unknown option or a value of the wrong type.
    #[snafu(display("{path}: {reason}"))]
    Shape {
        /// Path of the invalid value.
        path: String,
        /// Error message of the YAML parser, with the line.
        reason: String,
    },
    /// A value is out of range.
    #[snafu(display("{path}: found {found}, expected {expected}"))]
    Range {
        /// Path of the invalid value.
        path: String,
        /// The invalid value.
        found: String,
        /// Description of the valid values.
        expected: &'static str,
    },
}

/// Version of the published settings; it increases with each document.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct SettingsVersion(pub u64);

impl std::fmt::Display for SettingsVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Rule by which the engine for a request is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingKind {
    /// The sampled engine with the earliest expected first token; the default.
    ExpectedStart,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests.
    LeastRequests,
    /// The engine with the fewest outstanding tokens.
    LeastTokens,
}

/// Options that any node of the tree may override.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeOptions {
    /// Time within which a request finishes or fails, counted from its last body byte.
    pub time_limit: Option<units::TimeSpan>,
    /// Longest accepted prompt, in tokens.
    pub max_prompt_tokens: Option<units::TokenCount>,
    /// Most tokens generated for one request; larger requested limits are reduced to it.
    pub max_output_tokens: Option<units::TokenCount>,
    /// Share of the fleet under contention, relative to the weights of other customers.
    pub weight: Option<f64>,
    /// Sustained rate of tokens (prompt and output) that a customer may use.
    pub token_rate: Option<units::TokenRate>,
    /// Tokens that a customer may use at once after an idle period.
    pub token_burst: Option<units::TokenCount>,
    /// Most attempts for one request, including the first.
    pub max_attempts: Option<u32>,
    /// Models that requests may use; absent means all.
    pub models: Option<Vec<ids::ModelId>>,
}

/// Options for the whole fleet, which no node of the tree overrides.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetOptions {
    /// Rule by which the engine for a request is chosen.
    pub routing: RoutingKind,
    /// Number of engines from which an offer is requested for each request, besides one that probably has the prompt's
    /// prefix cached.
    pub candidates: usize,
    /// Number of engines from which an offer is requested for a long request, for which the choice matters more.
    pub long_candidates: usize,
    /// Share of an engine's memory reserved for prompts up to `short_tokens`.
    pub headroom: units::ShareRatio,
    /// Longest prompt that counts as short, in tokens.
    pub short_tokens: units::TokenCount,
    /// Length in tokens beyond which a prompt counts as long.
    pub long_tokens: units::TokenCount,
    /// Share of a model's live engines, in all data centres together, that long prompts may use; at least one engine.
    pub long_engines: units::ShareRatio,
    /// Most requests running on one engine at a time.
    pub max_running: usize,
    /// Most groups of engines in each data centre that serve a prompt larger than one engine.
    pub group_limit: usize,
    /// How long a group waits for all its engines before it releases those it has.
    pub group_wait: units::TimeSpan,
    /// Retries allowed as a share of recent requests.
    pub retry_share: units::ShareRatio,
    /// How long an engine may hold memory for an attempt without a live lease, the scheduler's grant of capacity for
    /// one attempt. A lease that its entry does not renew ends after the same time.
    pub orphan_grace: units::TimeSpan,
    /// How long instances remember an idempotency key, so that no other request with it runs.
    pub key_retention: units::TimeSpan,
}

impl Default for FleetOptions {
    fn default() -> Self {
        let share =
            |factor| units::ShareRatio::try_from(factor).expect("constant shares are valid");
        Self {
            routing: RoutingKind::ExpectedStart,
            candidates: 2,
            long_candidates: 4,
            headroom: share(0.15),
            short_tokens: units::TokenCount(4_000),
            long_tokens: units::TokenCount(32_000),
            long_engines: share(1.0),
            max_running: 64,
            group_limit: 2,
            group_wait: units::TimeSpan::from_secs(20),
            retry_share: share(0.1),
            orphan_grace: units::TimeSpan::from_secs(15),
            key_retention: units::TimeSpan::from_secs(600),
        }
    }
}

/// A caller key, which identifies a customer and an application.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerKey {
    /// SHA-256 of the key in hexadecimal; the key itself is never published.
    pub sha256: String,
    /// The application that the key belongs to.
    pub application: ids::ApplicationId,
}

/// A request class of an application, chosen by prompt length.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassNode {
    /// Longest prompt of the class, in tokens. Of several classes that fit, the one with the smallest limit is
    /// used.
    pub up_to_tokens: units::TokenCount,
    /// Options that the class overrides.
    #[serde(default)]
    pub options: NodeOptions,
}

/// An application of a customer, selected by the caller's key.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ApplicationNode {
    /// Options that the application overrides.
    pub options: NodeOptions,
    /// Request classes of the application, by name; there may be none.
    pub classes: collections::BTreeMap<ids::ClassId, ClassNode>,
}

/// A customer, with the keys that identify its callers.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CustomerNode {
    /// Keys of the customer's callers, each for one of its applications.
    pub keys: Vec<CallerKey>,
    /// Options that the customer overrides.
    pub options: NodeOptions,
    /// Applications of the customer, by name.
    pub applications: collections::BTreeMap<ids::ApplicationId, ApplicationNode>,
}

/// Whether calls of a method may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// A call may run more than once.
    Repeatable,
    /// A call must run at most once.
    Once,
}

/// A plain service: its upstreams run no model.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceNode {
    /// Repeatability by method; a method that is not listed counts as `once`.
    #[serde(default)]
    pub methods: collections::BTreeMap<String, Repeatability>,
    /// Whether the upstreams themselves refuse an idempotency key that they have already seen.
    #[serde(default)]
    pub checks_keys: bool,
    /// Time within which a call finishes or fails.
    #[serde(default = "default_service_limit")]
    pub time_limit: units::TimeSpan,
}

fn default_service_limit() -> units::TimeSpan {
    units::TimeSpan::from_secs(10)
}

impl ServiceNode {
    /// Whether calls of `method` may be repeated.
    pub fn repeatability(&self, method: &str) -> Repeatability {
        self.methods.get(method).copied().unwrap_or(Repeatability::Once)
    }
}

/// A settings document in one version, with all levels of the tree.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SettingsTree {
    /// The document's version; a document with a lower one is never accepted again.
    pub version: SettingsVersion,
    /// Options for the whole fleet; an option that the document omits has its built-in default.
    pub fleet: FleetOptions,
    /// Defaults that the customers inherit.
    pub defaults: NodeOptions,
    /// Plain services, whose upstreams run no model, by name.
    pub services: collections::BTreeMap<ids::ServiceId, ServiceNode>,
    /// Customers by name; a caller key that none of them has is unknown.
    pub customers: collections::BTreeMap<ids::CustomerId, CustomerNode>,
    /// Callers by the prefix of their key's digest. Invariant: built from `customers` when the
    /// document is parsed, and not changed afterwards.
    #[serde(skip)]
    pub(crate) callers: collections::HashMap<String, Vec<KnownCaller>>,
}

/// A caller key, with the customer and the application that it identifies.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct KnownCaller {
    /// Full digest of the key, in lower case.
    pub(crate) digest: String,
    /// Customer that the key belongs to.
    pub(crate) customer: ids::CustomerId,
    /// Application of that customer which the key selects.
    pub(crate) application: ids::ApplicationId,
}

/// Length of the digest prefix by which callers are indexed, in digits. The full digest is compared
/// in constant time.
const PREFIX_DIGITS: usize = 16;

/// The prefix of a digest by which callers are indexed.
pub(crate) fn digest_prefix(digest: &str) -> &str {
    digest.get(..PREFIX_DIGITS).unwrap_or(digest)
}

impl SettingsTree {
    /// Parses and validates a YAML document.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        ensure!(text.len() <= MAX_DOCUMENT_BYTES, TooLargeSnafu { found: text.len() });
        let mut tree: Self = parse_yaml(text)?;
        tree.check()?;
        tree.index_callers();
        Ok(tree)
    }

    fn index_callers(&mut self) {
        for (customer, node) in &self.customers {
            for key in &node.keys {
                let digest = key.sha256.to_ascii_lowercase();
                let (customer, application) = (customer.clone(), key.application.clone());
                let found = self.callers.entry(digest_prefix(&digest).to_owned()).or_default();
                found.push(KnownCaller { digest, customer, application });
            }
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        let fleet = &self.fleet;
        check_range("version", &self.version, self.version.0 > 0, "at least 1")?;
        check_range(
            "fleet.candidates",
            &fleet.candidates,
            (1..=16).contains(&fleet.candidates),
            "1 to 16",
        )?;
        let long = fleet.long_candidates;
        check_range("fleet.long_candidates", &long, (1..=16).contains(&long), "1 to 16")?;
        check_range("fleet.max_running", &fleet.max_running, fleet.max_running > 0, "at least 1")?;
        let ordered = fleet.short_tokens < fleet.long_tokens;
        check_range(
            "fleet.long_tokens",
            &fleet.long_tokens,
            ordered,
            "more than fleet.short_tokens",
        )?;
        let valid = fleet.orphan_grace >= units::TimeSpan::from_secs(1);
        check_range("fleet.orphan_grace", &fleet.orphan_grace, valid, "at least 1s")?;
        let valid = !fleet.key_retention.0.is_zero();
        check_range("fleet.key_retention", &fleet.key_retention, valid, "more than 0s")?;
        for (id, service) in &self.services {
            // An idempotency key must be remembered at least until the first call with it has ended.
            let path = format!("services.{id}.time_limit");
            let valid = service.time_limit <= fleet.key_retention;
            check_range(&path, &service.time_limit, valid, "at most fleet.key_retention")?;
        }
        check_options("defaults", &self.defaults)?;
        self.customers.iter().try_for_each(|(id, customer)| check_customer(id, customer))
    }
}

/// Parses a YAML document. Errors contain the path and the line of the invalid value.
pub fn parse_yaml<'de, T: Deserialize<'de>>(text: &'de str) -> Result<T, SettingsError> {
    let reader = serde_norway::Deserializer::from_str(text);
    serde_path_to_error::deserialize(reader).map_err(|error| {
        let path = error.path().to_string();
        let text = error.into_inner().to_string();
        // The parser's message may begin with a prefix of the same path.
        let reason = match text.split_once(": ") {
            Some((prefix, reason)) if path.starts_with(prefix) => reason.to_owned(),
            _ => text,
        };
        SettingsError::Shape { path, reason }
    })
}

fn check_customer(id: &ids::CustomerId, customer: &CustomerNode) -> Result<(), SettingsError> {
    let path = format!("customers.{id}");
    for (index, key) in customer.keys.iter().enumerate() {
        let hexadecimal = key.sha256.bytes().all(|byte| byte.is_ascii_hexdigit());
        let valid = hexadecimal && key.sha256.len() == KEY_DIGEST_LENGTH;
        let field = format!("{path}.keys[{index}].sha256");
        check_range(&field, &key.sha256, valid, "64 hexadecimal digits")?;
        let known = customer.applications.contains_key(&key.application);
        let field = format!("{path}.keys[{index}].application");
        check_range(&field, &key.application, known, "an application of this customer")?;
    }
    check_options(&path, &customer.options)?;
    for (name, application) in &customer.applications {
        let path = format!("{path}.applications.{name}");
        check_options(&path, &application.options)?;
        check_no_budget(&path, &application.options)?;
        for (class, node) in &application.classes {
            let path = format!("{path}.classes.{class}");
            check_options(&path, &node.options)?;
            check_no_budget(&path, &node.options)?;
        }
    }
    Ok(())
}

fn check_options(path: &str, options: &NodeOptions) -> Result<(), SettingsError> {
    let field = |name: &str| format!("{path}.{name}");
    if let Some(weight) = options.weight {
        let valid = weight.is_finite() && weight > 0.0;
        check_range(&field("weight"), &weight, valid, "a number above 0")?;
    }
    if let Some(rate) = options.token_rate {
        check_range(&field("token_rate"), &rate, rate.0.is_finite() && rate.0 >= 0.0, "0 or more")?;
    }
    if let Some(limit) = options.time_limit {
        check_range(&field("time_limit"), &limit, !limit.0.is_zero(), "more than 0s")?;
    }
    if let Some(attempts) = options.max_attempts {
        check_range(&field("max_attempts"), &attempts, (1..=10).contains(&attempts), "1 to 10")?;
    }
    Ok(())
}

/// Rejects budget options below the level of customers, where no budget is enforced.
fn check_no_budget(path: &str, options: &NodeOptions) -> Result<(), SettingsError> {
    let expected = "only fleet and customers to set it";
    if let Some(rate) = options.token_rate {
        check_range(&format!("{path}.token_rate"), &rate, false, expected)?;
    }
    if let Some(burst) = options.token_burst {
        check_range(&format!("{path}.token_burst"), &burst, false, expected)?;
    }
    Ok(())
}

fn check_range(
    path: &str,
    found: &dyn ToString,
    valid: bool,
    expected: &'static str,
) -> Result<(), SettingsError> {
    let found = found.to_string();
    ensure!(valid, RangeSnafu { path, found, expected });
    Ok(())
}
