//! Routes, services and caller keys in force: one version of what the operators publish.

use std::{collections, time};

use crate::{cold_start, ids, settings, units};

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RepeatRule {
    /// Any number of times.
    Repeatable,
    /// Once at most.
    AtMostOnce,
    /// A stream that another upstream may carry on after the last event delivered.
    Resumable,
}

impl RepeatRule {
    /// Whether a second run does no harm.
    pub fn allows_repeat(self) -> bool {
        self != Self::AtMostOnce
    }

    /// The term that logs and explanations use.
    pub fn label(self) -> &'static str {
        match self {
            Self::Repeatable => "repeatable",
            Self::AtMostOnce => "at_most_once",
            Self::Resumable => "resumable",
        }
    }
}

/// One share of a route's traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficShare {
    /// The service that takes it.
    pub service: ids::ServiceId,
    /// Its weight against the other shares; not negative.
    pub weight: f64,
}

/// What holds for the requests of one route.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutePolicy {
    /// The route's name: the request class in logs and histograms.
    pub name: ids::ClassId,
    /// Host that callers name, in lower case, without a port.
    pub host: String,
    /// Beginning of the paths it covers; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeat: RepeatRule,
    /// Whether answers are event streams.
    pub streaming: bool,
    /// Longest a request may stay unanswered.
    pub time_limit: time::Duration,
    /// Time inside which the answer, or the first event, is in time.
    pub first_token_goal: time::Duration,
    /// Longest pause between events that is still in time.
    pub pause_goal: time::Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Most upstreams that one request may be sent to; 1 at least.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Where its traffic goes; not empty.
    pub shares: Vec<TrafficShare>,
}

impl RoutePolicy {
    /// The service that takes a request, by a number drawn evenly from 0 to 1.
    pub fn pick_service(&self, drawn: f64) -> &ids::ServiceId {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = drawn * total;
        for share in &self.shares {
            if left < share.weight {
                return &share.service;
            }
            left -= share.weight;
        }
        &self.shares[self.shares.len() - 1].service
    }
}

/// How fast the engines of a service work; the model behind [`crate::pass_model`].
#[derive(Debug, Clone, PartialEq)]
pub struct EngineShape {
    /// Requests that run at once.
    pub slots: usize,
    /// KV cache of one engine.
    pub memory: units::TokenCount,
    /// Steps of a pass in which at least one request writes.
    pub stride: f64,
    /// One step without load, milliseconds.
    pub step_ms: f64,
    /// Added to a step by each request that writes, milliseconds.
    pub step_per_writer_ms: f64,
    /// Added to a step by each 1,000 tokens of context of those that write, milliseconds.
    pub step_per_context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// Added to reading by each million pairs of a token and one before it, milliseconds.
    pub read_per_pairs_ms: f64,
    /// Age of what an engine reports, milliseconds.
    pub report_lag_ms: f64,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePolicy {
    /// Its name.
    pub name: ids::ServiceId,
    /// Most connections one upstream takes from all callers together.
    pub connection_limit: usize,
    /// Present where its upstreams are model engines.
    pub engine: Option<EngineShape>,
    /// Present where an upstream that has just started bears fewer requests.
    pub cold: Option<cold_start::ColdPolicy>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_bytes: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Time for a request to arrive once it has begun.
    pub arrival: time::Duration,
    /// Longest rest of a connection between two requests.
    pub idle: time::Duration,
}

impl Default for CallerLimits {
    // Stand-ins until the first published version is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            arrival: time::Duration::from_secs(3),
            idle: time::Duration::from_secs(10),
        }
    }
}

/// The most urgent goals of a service's streamed requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceGoals {
    /// Shortest time inside which a first event is in time.
    pub first_token: time::Duration,
    /// Shortest pause goal.
    pub pause: time::Duration,
}

fn service_goals(routes: &[RoutePolicy]) -> collections::BTreeMap<ids::ServiceId, ServiceGoals> {
    let mut goals = collections::BTreeMap::new();
    for route in routes.iter().filter(|route| route.streaming) {
        for share in &route.shares {
            let own = ServiceGoals { first_token: route.first_token_goal, pause: route.pause_goal };
            let known = goals.entry(share.service.clone()).or_insert(own);
            known.first_token = known.first_token.min(own.first_token);
            known.pause = known.pause.min(own.pause);
        }
    }
    goals
}

/// One published version, taken whole or not at all.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    /// Only ever goes up.
    pub version: settings::SettingsVersion,
    /// Routes by host; of one host, the longest prefix first.
    routes: collections::HashMap<String, Vec<std::rc::Rc<RoutePolicy>>>,
    /// Services by name.
    pub services: collections::BTreeMap<ids::ServiceId, ServicePolicy>,
    /// The most urgent goals of each service's streamed requests.
    goals: collections::BTreeMap<ids::ServiceId, ServiceGoals>,
    /// Customers by caller key.
    pub keys: collections::HashMap<String, ids::CustomerId>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Puts a version together.
    pub fn new(
        version: settings::SettingsVersion,
        routes: Vec<RoutePolicy>,
        services: Vec<ServicePolicy>,
        keys: collections::HashMap<String, ids::CustomerId>,
        limits: CallerLimits,
    ) -> Self {
        let goals = service_goals(&routes);
        let mut by_host: collections::HashMap<String, Vec<std::rc::Rc<RoutePolicy>>> =
            collections::HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(std::rc::Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        Self { version, routes: by_host, services: services.collect(), goals, keys, limits }
    }

    /// The route of a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&std::rc::Rc<RoutePolicy>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.routes.get(&name)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The customer that holds a key; `None` where the key is not known.
    pub fn customer(&self, key: &str) -> Option<&ids::CustomerId> {
        self.keys.get(key)
    }

    /// The most urgent goals of a service's streamed requests; `None` where it has no such routes.
    pub fn goals(&self, service: &ids::ServiceId) -> Option<&ServiceGoals> {
        self.goals.get(service)
    }

    /// All routes, in no order.
    pub fn all_routes(&self) -> impl Iterator<Item = &RoutePolicy> {
        self.routes.values().flatten().map(std::rc::Rc::as_ref)
    }

    /// What services say of their cold upstreams.
    pub fn cold_policies(&self) -> collections::BTreeMap<ids::ServiceId, cold_start::ColdPolicy> {
        let services = self.services.values();
        services.filter_map(|service| Some((service.name.clone(), service.cold?))).collect()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
