//! What a run is made of.

use std::time;

use slipturn_core::{fleet_list, settings, settings_resolve, units};
use slipturn_load::arrivals;

/// Entry instances.
pub const INSTANCES: usize = 6;
/// Engines.
pub const ENGINES: usize = 18;
/// Memory of an engine, in tokens. No prompt of a run is larger: groups are tried with real
/// processes only.
pub const ENGINE_MEMORY: u64 = 400_000;
/// Prompt tokens an engine works through in a second.
pub const PREFILL_RATE: f64 = 100_000.0;
/// Longest prompt of a run.
pub const MAX_PROMPT: u64 = 330_000;
/// Output tokens of each request.
pub const OUTPUT_TOKENS: u64 = 64;
/// Customers; the first three are the large ones.
pub const KEY_WEIGHTS: [f64; 10] = [5.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
/// Time limit of each request.
pub const TIME_LIMIT: time::Duration = time::Duration::from_secs(60);
/// Mean prompt length of the mix: see `mean_prompt`.
const LENGTH_THRESHOLD: f64 = arrivals::LONG_PROMPT_TOKENS as f64;

/// A user's fleet, as far as a run knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetProfile {
    /// Its name.
    pub name: &'static str,
    /// Round trip within a data centre.
    pub local_round_trip: time::Duration,
    /// Round trip between data centres. The brief gives only their order; the figures are ours.
    pub remote_round_trip: time::Duration,
}

/// The users' fleets.
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

/// One run.
#[derive(Debug, Clone)]
pub struct RunScenario {
    /// Whose fleet.
    pub profile: FleetProfile,
    /// The policy.
    pub routing: settings::RoutingKind,
    /// Offered load as a share of what the engines can work through.
    pub load: f64,
    /// Whether only prompts up to 2,000 tokens are sent, at the rate they have in the mix.
    pub short_prompts_only: bool,
    /// Age of load reports.
    pub report_lag: time::Duration,
    /// Engines that die in the middle of the run.
    pub lost_engines: usize,
    /// How many times its share the first of the small customers sends.
    pub flood_factor: f64,
    /// Further options of `fleet:`, in YAML's flow style, each followed by a comma.
    pub options: String,
    /// Length of the run.
    pub length: time::Duration,
    /// Seed of arrivals and choices.
    pub seed: u64,
}

impl RunScenario {
    /// A plain run at a share of the capacity.
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

    /// Requests a second that make up the load.
    pub fn rate(&self) -> f64 {
        self.load * ENGINES as f64 * PREFILL_RATE / mean_prompt()
    }

    /// The arrivals, in order.
    pub fn arrivals(&self) -> impl Iterator<Item = arrivals::Arrival> + use<> {
        let mut key_weights = KEY_WEIGHTS.to_vec();
        let total: f64 = key_weights.iter().sum();
        key_weights[3] *= self.flood_factor;
        let flooded: f64 = key_weights.iter().sum();
        let arrival_profile = arrivals::ArrivalProfile {
            rate: self.rate() * flooded / total,
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

    /// The settings of the run.
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

    /// The list of the run. The addresses are never used.
    pub fn list(&self) -> fleet_list::FleetList {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let center = |index: usize| format!("dc-{}", index % 3).parse().expect("a valid name");
        let instances = (0..INSTANCES).map(|index| fleet_list::InstanceRecord {
            name: format!("instance-{index}").parse().expect("a valid name"),
            data_center: center(index),
            entry: address,
            operators: address,
            scheduler: address,
            state: fleet_list::ListState::Live,
        });
        let engines = (0..ENGINES).map(|index| fleet_list::EngineRecord {
            name: format!("engine-{index}").parse().expect("a valid name"),
            data_center: center(index),
            model: "invitation".parse().expect("a valid name"),
            address,
            memory: units::TokenCount(ENGINE_MEMORY),
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

/// Prompts up to this length are the shorts whose delay is measured.
pub const SHORT_PROMPT_TOKENS: u64 = 2_000;
/// Share of prompts over [`arrivals::LONG_PROMPT_TOKENS`].
const LONG_SHARE: f64 = 0.02;

/// Key of a customer's callers.
pub fn customer_key(customer: usize) -> String {
    format!("key-{customer}")
}

/// Mean of a length spread evenly over its logarithm, for the mix of short and long.
fn mean_prompt() -> f64 {
    let mean = |low: f64, high: f64| (high - low) / (high / low).ln();
    (1.0 - LONG_SHARE) * mean(1_000.0, LENGTH_THRESHOLD)
        + LONG_SHARE * mean(LENGTH_THRESHOLD, MAX_PROMPT as f64)
}
