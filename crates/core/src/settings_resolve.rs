//! Resolution of the settings of a request, with the node that each value comes from.

use std::{fmt, time};

use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

use crate::{ids, settings, units};

/// Values of options that no node of the tree sets.
mod defaults {
    use crate::units;

    pub(super) const TIME_LIMIT: units::TimeSpan = units::TimeSpan::from_secs(120);
    pub(super) const MAX_PROMPT: units::TokenCount = units::TokenCount(1_000_000);
    pub(super) const MAX_OUTPUT: units::TokenCount = units::TokenCount(1_024);
    pub(super) const WEIGHT: f64 = 1.0;
    pub(super) const TOKEN_RATE: units::TokenRate = units::TokenRate(200_000.0);
    pub(super) const TOKEN_BURST: units::TokenCount = units::TokenCount(4_000_000);
    pub(super) const MAX_ATTEMPTS: u32 = 3;
}

/// Source of a value: a node of the settings tree, the built-in defaults or the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodePath {
    /// The built-in default.
    BuiltIn,
    /// The defaults for the whole fleet.
    Fleet,
    /// The node of a customer.
    Customer(ids::CustomerId),
    /// The node of an application of a customer.
    Application(ids::CustomerId, ids::ApplicationId),
    /// The node of a request class of an application.
    Class(ids::CustomerId, ids::ApplicationId, ids::ClassId),
    /// The caller, which can only shorten the time limit.
    Caller,
}

impl fmt::Display for NodePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BuiltIn => f.write_str("built-in"),
            Self::Fleet => f.write_str("fleet"),
            Self::Customer(customer) => write!(f, "fleet/{customer}"),
            Self::Application(customer, application) => write!(f, "fleet/{customer}/{application}"),
            Self::Class(customer, application, class) => {
                write!(f, "fleet/{customer}/{application}/{class}")
            }
            Self::Caller => f.write_str("caller"),
        }
    }
}

/// The value of an option for one request, and its source.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedValue<T> {
    /// The value in force for the request.
    pub value: T,
    /// Where the value comes from.
    pub source: NodePath,
}

/// Settings in force for one request.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedSettings {
    /// Version of the settings tree that the values come from.
    pub version: settings::SettingsVersion,
    /// Customer that the caller's key identifies.
    pub customer: ids::CustomerId,
    /// Application that the caller's key selects.
    pub application: ids::ApplicationId,
    /// Request class; `None` if no class of the application fits the prompt.
    pub class: Option<ids::ClassId>,
    /// Time within which the request finishes or fails.
    pub time_limit: ResolvedValue<units::TimeSpan>,
    /// Longest accepted prompt, in tokens.
    pub max_prompt_tokens: ResolvedValue<units::TokenCount>,
    /// Most tokens generated for the request.
    pub max_output_tokens: ResolvedValue<units::TokenCount>,
    /// The customer's share of the fleet under contention, relative to the weights of others.
    pub weight: ResolvedValue<f64>,
    /// Sustained token rate of the customer; applications and classes cannot override it.
    pub token_rate: ResolvedValue<units::TokenRate>,
    /// Token burst of the customer; applications and classes cannot override it.
    pub token_burst: ResolvedValue<units::TokenCount>,
    /// Most attempts for the request, including the first.
    pub max_attempts: ResolvedValue<u32>,
    /// Models that the request may use; `None` means all.
    pub models: ResolvedValue<Option<Vec<ids::ModelId>>>,
}

impl ResolvedSettings {
    /// Returns the name, value and source of each option as text, to explain a request to operators.
    pub fn rows(&self) -> Vec<(&'static str, String, String)> {
        fn row<T: ToString>(
            name: &'static str,
            resolved: &ResolvedValue<T>,
        ) -> (&'static str, String, String) {
            (name, resolved.value.to_string(), resolved.source.to_string())
        }
        let names = |models: &Vec<ids::ModelId>| {
            models.iter().map(ids::ModelId::as_str).collect::<Vec<_>>().join(",")
        };
        let models = self.models.value.as_ref().map_or_else(|| "all".to_owned(), names);
        vec![
            row("time_limit", &self.time_limit),
            row("max_prompt_tokens", &self.max_prompt_tokens),
            row("max_output_tokens", &self.max_output_tokens),
            row("weight", &self.weight),
            row("token_rate", &self.token_rate),
            row("token_burst", &self.token_burst),
            row("max_attempts", &self.max_attempts),
            ("models", models, self.models.source.to_string()),
        ]
    }

    /// Reduces the time limit to the one that the caller `requested`, unless that is longer.
    pub fn shorten_limit(&mut self, requested: time::Duration) {
        if requested < self.time_limit.value.0 {
            let value = units::TimeSpan(requested);
            self.time_limit = ResolvedValue { value, source: NodePath::Caller };
        }
    }
}

/// The customer and the application that a caller key identifies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Customer that the key belongs to.
    pub customer: ids::CustomerId,
    /// Application of that customer which the key selects.
    pub application: ids::ApplicationId,
}

/// SHA-256 of a caller key in lower-case hexadecimal, the form that the settings contain.
pub fn key_digest(key: &str) -> String {
    sha2::Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl settings::SettingsTree {
    /// Returns the customer and the application that a caller key belongs to.
    ///
    /// A prefix of the digest selects the few possible callers, whose full digests are compared in
    /// constant time. The duration of the lookup may reveal part of a digest, but nothing of a key.
    pub fn identify(&self, key: &str) -> Option<CallerIdentity> {
        let digest = key_digest(key);
        let candidates = self.callers.get(settings::digest_prefix(&digest))?;
        let is_match = |caller: &&settings::KnownCaller| {
            bool::from(caller.digest.as_bytes().ct_eq(digest.as_bytes()))
        };
        let caller = candidates.iter().find(is_match)?;
        let (customer, application) = (caller.customer.clone(), caller.application.clone());
        Some(CallerIdentity { customer, application })
    }

    /// Resolves the settings of a request with a prompt of the given length; `None` if the tree does not
    /// contain the caller's customer or application.
    pub fn resolve(
        &self,
        caller: &CallerIdentity,
        prompt: units::TokenCount,
    ) -> Option<ResolvedSettings> {
        let customer = self.customers.get(&caller.customer)?;
        let application = customer.applications.get(&caller.application)?;
        let class = application.classes.iter().filter(|(_, node)| prompt <= node.up_to_tokens);
        let class = class.min_by_key(|(_, node)| node.up_to_tokens);
        let (customer_id, application_id) = (&caller.customer, &caller.application);

        let mut chain = vec![
            (NodePath::Fleet, &self.defaults),
            (NodePath::Customer(customer_id.clone()), &customer.options),
        ];
        let budget_nodes = chain.len();
        let path = NodePath::Application(customer_id.clone(), application_id.clone());
        chain.push((path, &application.options));
        if let Some((id, node)) = class {
            let path = NodePath::Class(customer_id.clone(), application_id.clone(), id.clone());
            chain.push((path, &node.options));
        }
        let budget = &chain[..budget_nodes];
        Some(ResolvedSettings {
            version: self.version,
            customer: customer_id.clone(),
            application: application_id.clone(),
            class: class.map(|(id, _)| id.clone()),
            time_limit: resolve_option(&chain, defaults::TIME_LIMIT, |node| node.time_limit),
            max_prompt_tokens: resolve_option(&chain, defaults::MAX_PROMPT, |node| {
                node.max_prompt_tokens
            }),
            max_output_tokens: resolve_option(&chain, defaults::MAX_OUTPUT, |node| {
                node.max_output_tokens
            }),
            weight: resolve_option(&chain, defaults::WEIGHT, |node| node.weight),
            token_rate: resolve_option(budget, defaults::TOKEN_RATE, |node| node.token_rate),
            token_burst: resolve_option(budget, defaults::TOKEN_BURST, |node| node.token_burst),
            max_attempts: resolve_option(&chain, defaults::MAX_ATTEMPTS, |node| node.max_attempts),
            models: resolve_option(&chain, None, |node| node.models.clone().map(Some)),
        })
    }
}

/// Resolves one option: the value of the lowest node in `chain` that sets it, or else the default.
fn resolve_option<T>(
    chain: &[(NodePath, &settings::NodeOptions)],
    default: T,
    read: impl Fn(&settings::NodeOptions) -> Option<T>,
) -> ResolvedValue<T> {
    let set = chain.iter().rev().find_map(|(path, node)| Some((path, read(node)?)));
    match set {
        Some((path, value)) => ResolvedValue { value, source: path.clone() },
        None => ResolvedValue { value: default, source: NodePath::BuiltIn },
    }
}
