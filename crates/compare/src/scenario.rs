//! Scenarios: the fleet, the load and the settings of a run.

use std::time;

use slipturn_core::{fleet_list, settings, settings_resolve, units};
use slipturn_load::arrivals;

/// Number of instances. Each acts as an entry, which routes the requests that it receives.
pub const INSTANCES: usize = 6;
/// Number of engines, spread evenly over three data centres. All serve the same model.
pub const ENGINES: usize = 18;
/// Memory of an engine, in tokens. No prompt exceeds it, because groups of engines are tested only
/// with real processes.
pub const ENGINE_MEMORY_TOKENS: u64 = 400_000;
/// Prompt tokens that an engine prefills per second.
pub const PREFILL_RATE: f64 = 100_000.0;
/// Longest prompt, in tokens.
pub const MAX_PROMPT: u64 = 330_000;
/// Number of output tokens of each request.
pub const OUTPUT_TOKENS: u64 = 64;
/// Relative request rate of each customer; the first three are the large customers.
pub const KEY_WEIGHTS: [f64; 10] = [5.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
/// Time limit of each request, counted from its arrival.
pub const TIME_LIMIT: time::Duration = time::Duration::from_secs(60);
/// Prompt length, in tokens, that separates the two log-uniform ranges of the mix.
const LENGTH_THRESHOLD: f64 = arrivals::LONG_PROMPT_TOKENS as f64;

/// The properties of a user's fleet that a run depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetProfile {
    /// Name of the organization that runs the fleet, printed as the heading of the results.
    pub name: &'static str,
    /// Network round-trip time within a data centre.
    pub local_round_trip: time::Duration,
    /// Network round-trip time between data centres. The users specify only its order of magnitude;
    /// the values are assumptions.
    pub remote_round_trip: time::Duration,
}

/// The simulated fleets. They differ in the network round-trip time between data centres.
pub const PROFILES: [FleetProfile; 2] = [
    FleetProfile {
        name: "Bluebonnet",
        local_round_trip: time::Duration::from_micros(300),
        remote_round_trip: time::Duration::from_millis(2),
    },
    FleetProfile {
        name: "Holmgaard",
        local_round_trip: time::Duration::from_micros(300),
        remote_round_trip: time::Duration::from_millis(1),
    },
];

/// The fleet, load, policy and faults of a run.
#[derive(Debug, Clone)]
pub struct RunScenario {
    /// Fleet that is simulated, with its network round-trip times.
    pub profile: FleetProfile,
    /// Policy by which the entries choose an engine.
    pub routing: settings::RoutingKind,
    /// Offered load as a share of the prefill capacity of all engines.
    pub load: f64,
    /// Whether only prompts of up to 2,000 tokens are sent, at the same rate as in the full mix.
    pub short_prompts_only: bool,
    /// Minimum age of a load report when the ledger receives it.
    pub report_lag: time::Duration,
    /// Number of engines that fail in the middle of the run.
    pub lost_engines: usize,
    /// Factor by which the request rate of the first small customer is multiplied.
    pub flood_factor: f64,
    /// Additional options for `fleet:` in YAML flow style, each followed by a comma.
    pub options: String,
    /// Virtual time during which requests arrive; the run lasts until the last of them has ended.
    pub length: time::Duration,
    /// Seed of the arrivals and of the routers' random choices.
    pub seed: u64,
}

impl RunScenario {
    /// Creates a run of 60 s without faults.
    pub fn new(profile: FleetProfile, routing: settings::RoutingKind, load: f64) -> Self {
        Self {
            profile,
            routing,
            load,
            short_prompts_only: false,
            report_lag: time::Duration::from_millis(200),
            lost_engines: 0,
            flood_factor: 1.0,
            options: String::new(),
            length: time::Duration::from_secs(60),
            seed: 1,
        }
    }

    /// Returns the request rate per second at which the full mix of prompt lengths causes
    /// [`Self::load`]. The additional requests due to [`Self::flood_factor`] are not included.
    pub fn rate(&self) -> f64 {
        self.load * ENGINES as f64 * PREFILL_RATE / mean_prompt()
    }

    /// Returns the arrivals of the run, in order of time.
    pub fn arrivals(&self) -> impl Iterator<Item = arrivals::Arrival> + use<> {
        let mut key_weights = KEY_WEIGHTS.to_vec();
        let total_weight: f64 = key_weights.iter().sum();
        key_weights[3] *= self.flood_factor;
        let flooded_weight: f64 = key_weights.iter().sum();
        let arrival_profile = arrivals::ArrivalProfile {
            rate: self.rate() * flooded_weight / total_weight,
            min_prompt: 1_000,
            max_prompt: MAX_PROMPT,
            long_share: LONG_SHARE,
            output: OUTPUT_TOKENS,
            key_weights,
            seed: self.seed,
        };
        let (length, short_prompts_only) = (self.length, self.short_prompts_only);
        let arrivals = arrivals::ArrivalStream::new(arrival_profile);
        arrivals
            .take_while(move |arrival| arrival.at < length)
            .filter(move |arrival| !short_prompts_only || arrival.prompt <= SHORT_PROMPT_TOKENS)
    }

    /// Returns the settings document of the run, with one application and one API key for each
    /// customer.
    pub fn settings(&self) -> String {
        let routing = match self.routing {
            settings::RoutingKind::ExpectedStart => "expected_start",
            settings::RoutingKind::RoundRobin => "round_robin",
            settings::RoutingKind::LeastRequests => "least_requests",
            settings::RoutingKind::LeastTokens => "least_tokens",
        };
        let mut text = format!(
            "version: 1\nfleet: {{{}routing: {routing}}}\ndefaults: {{time_limit: {}s, \
             token_rate: 1000000000.0, token_burst: 1000000000}}\ncustomers:\n",
            self.options,
            TIME_LIMIT.as_secs()
        );
        for customer in 0..KEY_WEIGHTS.len() {
            let digest = settings_resolve::key_digest(&customer_key(customer));
            text += &format!(
                "  customer-{customer}: {{keys: [{{sha256: {digest}, application: drafts}}], \
                 applications: {{drafts: {{}}}}}}\n"
            );
        }
        text
    }

    /// Returns the fleet list of the run. Its addresses are placeholders that nothing connects to.
    pub fn list(&self) -> fleet_list::FleetList {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let data_center =
            |index: usize| format!("dc-{}", index % 3).parse().expect("the name is valid");
        let instances = (0..INSTANCES).map(|index| fleet_list::InstanceRecord {
            name: format!("instance-{index}").parse().expect("the name is valid"),
            data_center: data_center(index),
            entry: address,
            operators: address,
            scheduler: address,
            state: fleet_list::ListState::Live,
        });
        let engines = (0..ENGINES).map(|index| fleet_list::EngineRecord {
            name: format!("engine-{index}").parse().expect("the name is valid"),
            data_center: data_center(index),
            model: "invitation".parse().expect("the name is valid"),
            address,
            memory: units::TokenCount(ENGINE_MEMORY_TOKENS),
            prefill_rate: units::TokenRate(PREFILL_RATE),
            state: fleet_list::ListState::Live,
        });
        fleet_list::FleetList {
            revision: 1,
            instances: instances.collect(),
            engines: engines.collect(),
            upstreams: Vec::new(),
        }
    }
}

/// Longest prompt that counts as short, in tokens.
pub const SHORT_PROMPT_TOKENS: u64 = 2_000;
/// Share of prompts over [`arrivals::LONG_PROMPT_TOKENS`].
const LONG_SHARE: f64 = 0.02;

/// Returns the API key of the customer at an index of [`KEY_WEIGHTS`].
pub fn customer_key(customer: usize) -> String {
    format!("key-{customer}")
}

/// Returns the mean prompt length of the mix, in tokens. Lengths are log-uniform below and above
/// [`LENGTH_THRESHOLD`].
fn mean_prompt() -> f64 {
    let mean = |low: f64, high: f64| (high - low) / (high / low).ln();
    (1.0 - LONG_SHARE) * mean(1_000.0, LENGTH_THRESHOLD)
        + LONG_SHARE * mean(LENGTH_THRESHOLD, MAX_PROMPT as f64)
}
