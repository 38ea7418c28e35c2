//! Resolves the settings of one request and remembers which node gave each value.

use std::{fmt, time};

use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

use crate::{ids, settings, units};

/// Used where no node of the tree says otherwise.
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

/// A node of the tree, from the built-in defaults down to a request class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodePath {
    /// No node: the value built into slipturn.
    BuiltIn,
    /// The fleet-wide defaults.
    Fleet,
    /// A customer.
    Customer(ids::CustomerId),
    /// An application.
    Application(ids::CustomerId, ids::ApplicationId),
    /// A request class.
    Class(ids::CustomerId, ids::ApplicationId, ids::ClassId),
    /// The caller itself, which may only shorten its time limit.
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

/// A value and the node that gave it.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedValue<T> {
    /// The value in force.
    pub value: T,
    /// The node that gave it.
    pub source: NodePath,
}

/// Everything in force for one request.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedSettings {
    /// The version of the tree all values come from.
    pub version: settings::SettingsVersion,
    /// Whose request it is.
    pub customer: ids::CustomerId,
    /// For which application.
    pub application: ids::ApplicationId,
    /// In which request class, if the application has any that fits.
    pub class: Option<ids::ClassId>,
    /// Time within which it finishes or fails.
    pub time_limit: ResolvedValue<units::TimeSpan>,
    /// Longest accepted prompt.
    pub max_prompt_tokens: ResolvedValue<units::TokenCount>,
    /// Most tokens generated.
    pub max_output_tokens: ResolvedValue<units::TokenCount>,
    /// Share of the fleet under contention.
    pub weight: ResolvedValue<f64>,
    /// The customer's long-run rate; request classes cannot override it.
    pub token_rate: ResolvedValue<units::TokenRate>,
    /// The customer's burst; request classes cannot override it.
    pub token_burst: ResolvedValue<units::TokenCount>,
    /// Most attempts, the first included.
    pub max_attempts: ResolvedValue<u32>,
    /// Models it may use; `None` means all.
    pub models: ResolvedValue<Option<Vec<ids::ModelId>>>,
}

impl ResolvedSettings {
    /// Each option by name, with its value and the node that gave it.
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

    /// Shortens the time limit to what the caller asked for; a longer wish changes nothing.
    pub fn shorten_limit(&mut self, wish: time::Duration) {
        if wish < self.time_limit.value.0 {
            let value = units::TimeSpan(wish);
            self.time_limit = ResolvedValue { value, source: NodePath::Caller };
        }
    }
}

/// Whose request it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerIdentity {
    /// The customer.
    pub customer: ids::CustomerId,
    /// Its application.
    pub application: ids::ApplicationId,
}

/// SHA-256 of a caller's key in lower-case hexadecimal, as the settings hold it.
pub fn key_digest(key: &str) -> String {
    sha2::Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl settings::SettingsTree {
    /// Finds whom a key names.
    ///
    /// The start of the digest finds the few that may be meant, and the whole is compared in
    /// constant time. What the look-up's time reveals is a part of a digest, not of a key.
    pub fn identify(&self, key: &str) -> Option<CallerIdentity> {
        let digest = key_digest(key);
        let known = self.callers.get(settings::digest_prefix(&digest))?;
        let same = |caller: &&settings::KnownCaller| {
            bool::from(caller.digest.as_bytes().ct_eq(digest.as_bytes()))
        };
        let caller = known.iter().find(same)?;
        let (customer, application) = (caller.customer.clone(), caller.application.clone());
        Some(CallerIdentity { customer, application })
    }

    /// Resolves the settings of a request, or `None` where the tree has no such caller.
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
            time_limit: pick(&chain, defaults::TIME_LIMIT, |node| node.time_limit),
            max_prompt_tokens: pick(&chain, defaults::MAX_PROMPT, |node| node.max_prompt_tokens),
            max_output_tokens: pick(&chain, defaults::MAX_OUTPUT, |node| node.max_output_tokens),
            weight: pick(&chain, defaults::WEIGHT, |node| node.weight),
            token_rate: pick(budget, defaults::TOKEN_RATE, |node| node.token_rate),
            token_burst: pick(budget, defaults::TOKEN_BURST, |node| node.token_burst),
            max_attempts: pick(&chain, defaults::MAX_ATTEMPTS, |node| node.max_attempts),
            models: pick(&chain, None, |node| node.models.clone().map(Some)),
        })
    }
}

/// Takes the value of the lowest node that gives one.
fn pick<T>(
    chain: &[(NodePath, &settings::NodeOptions)],
    built_in: T,
    read: impl Fn(&settings::NodeOptions) -> Option<T>,
) -> ResolvedValue<T> {
    let given = chain.iter().rev().find_map(|(path, node)| Some((path, read(node)?)));
    match given {
        Some((path, value)) => ResolvedValue { value, source: path.clone() },
        None => ResolvedValue { value: built_in, source: NodePath::BuiltIn },
    }
}
