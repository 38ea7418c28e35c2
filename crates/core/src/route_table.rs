//! Routes, services and caller keys in force, as published by the operators in one version.

use std::{collections, time};

use crate::{cold_start, ids, settings, units};

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RepeatRule {
    /// The request may run any number of times.
    Repeatable,
    /// The request may run at most once.
    AtMostOnce,
    /// The request may run any number of times; another upstream can also continue its event stream
    /// after the last delivered event.
    Resumable,
}

impl RepeatRule {
    /// Whether a request may run more than once.
    pub fn allows_repeat(self) -> bool {
        self != Self::AtMostOnce
    }

    /// Label in logs and explanations.
    pub fn label(self) -> &'static str {
        match self {
            Self::Repeatable => "repeatable",
            Self::AtMostOnce => "at_most_once",
            Self::Resumable => "resumable",
        }
    }
}

/// A service's share of the traffic of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficShare {
    /// The service that receives the share.
    pub service: ids::ServiceId,
    /// Weight relative to the other shares; not negative.
    pub weight: f64,
}

/// Settings of one route, which apply to all its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutePolicy {
    /// Name of the route, used as the request class in logs and histograms.
    pub name: ids::ClassId,
    /// Requested host, in lower case, without a port.
    pub host: String,
    /// Prefix of the paths of the route; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeat: RepeatRule,
    /// Whether answers are event streams.
    pub streaming: bool,
    /// Longest time for which a request may stay unanswered.
    pub time_limit: time::Duration,
    /// Latency goal for the answer or its first event.
    pub first_token_goal: time::Duration,
    /// Latency goal for the pause between two events.
    pub pause_goal: time::Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Most upstreams that one request may be sent to; at least 1.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Services that receive the traffic; not empty.
    pub shares: Vec<TrafficShare>,
}

impl RoutePolicy {
    /// Picks the service for a request by weight, given a `random` number evenly distributed from 0 to 1.
    pub fn pick_service(&self, random: f64) -> &ids::ServiceId {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = random * total;
        for share in &self.shares {
            if left < share.weight {
                return &share.service;
            }
            left -= share.weight;
        }
        &self.shares[self.shares.len() - 1].service
    }
}

/// Capacity and speed of the engines of a service; the parameters of [`crate::pass_model`].
#[derive(Debug, Clone, PartialEq)]
pub struct EngineShape {
    /// Most requests that run concurrently on one engine.
    pub slots: usize,
    /// Size of the KV cache of one engine, in tokens.
    pub memory: units::TokenCount,
    /// Decode steps in one pass, which is one round of an engine, when at least one request is decoding.
    pub stride: f64,
    /// Duration of one decode step without load, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding request adds to a decode step, in milliseconds.
    pub step_per_decoding_ms: f64,
    /// Time that each 1,000 context tokens of the decoding requests add to a decode step, in milliseconds.
    pub step_per_context_ms: f64,
    /// Prompt tokens prefilled per millisecond, without the cost of token pairs.
    pub prefill_tokens_per_ms: f64,
    /// Time that each million pairs of a prompt token and an earlier one add to the prefill, in milliseconds.
    pub prefill_per_million_pairs_ms: f64,
    /// Age of the state in an engine's report, in milliseconds.
    pub report_lag_ms: f64,
}

/// Settings of one service, which apply to each of its upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePolicy {
    /// Name by which routes and upstreams refer to the service.
    pub name: ids::ServiceId,
    /// Most connections that one upstream accepts from all instances together.
    pub connection_limit: usize,
    /// Engine parameters; `None` if the upstreams are not model engines.
    pub engine: Option<EngineShape>,
    /// Limits of upstreams that have just started; `None` if they can serve all requests at once.
    pub cold: Option<cold_start::ColdPolicy>,
}

/// Limits on the size and timing of callers' requests and connections, for all routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest accepted request head, in bytes.
    pub head_bytes: usize,
    /// Largest accepted request body, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request must arrive, counted from its first byte, and within which the body must
    /// arrive, counted from the end of the head.
    pub arrival: time::Duration,
    /// Longest time for which a connection may be idle between two requests.
    pub idle: time::Duration,
}

impl Default for CallerLimits {
    // These limits are in force until the first published version is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            arrival: time::Duration::from_secs(3),
            idle: time::Duration::from_secs(10),
        }
    }
}

/// The strictest latency goals of a service's streaming routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceGoals {
    /// Shortest goal for an answer's first event.
    pub first_token: time::Duration,
    /// Shortest goal for the pause between two events of an answer.
    pub pause: time::Duration,
}

fn service_goals(routes: &[RoutePolicy]) -> collections::BTreeMap<ids::ServiceId, ServiceGoals> {
    let mut goals = collections::BTreeMap::new();
    for route in routes.iter().filter(|route| route.streaming) {
        for share in &route.shares {
            let route_goals =
                ServiceGoals { first_token: route.first_token_goal, pause: route.pause_goal };
            let strictest = goals.entry(share.service.clone()).or_insert(route_goals);
            strictest.first_token = strictest.first_token.min(route_goals.first_token);
            strictest.pause = strictest.pause.min(route_goals.pause);
        }
    }
    goals
}

/// One published version of the routes, applied as a whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    /// Version number of the routes, which never decreases.
    pub version: settings::SettingsVersion,
    /// Routes by host; those of one host are ordered from the longest prefix to the shortest.
    routes: collections::HashMap<String, Vec<std::rc::Rc<RoutePolicy>>>,
    /// Settings of the services, by name.
    pub services: collections::BTreeMap<ids::ServiceId, ServicePolicy>,
    /// The strictest latency goals of each service's streaming routes.
    goals: collections::BTreeMap<ids::ServiceId, ServiceGoals>,
    /// Customers by caller key.
    pub keys: collections::HashMap<String, ids::CustomerId>,
    /// Published priorities of customers, 0 the most urgent; a customer without one has priority 0.
    pub priorities: collections::BTreeMap<ids::CustomerId, u8>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Creates the table of one version, with the routes indexed by host and the goals of each service.
    pub fn new(
        version: settings::SettingsVersion,
        routes: Vec<RoutePolicy>,
        services: Vec<ServicePolicy>,
        keys: collections::HashMap<String, ids::CustomerId>,
        limits: CallerLimits,
    ) -> Self {
        let priorities = collections::BTreeMap::new();
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
        Self {
            version,
            routes: by_host,
            services: services.collect(),
            goals,
            keys,
            priorities,
            limits,
        }
    }

    /// The route with the longest matching prefix for a host, with or without a port, and a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&std::rc::Rc<RoutePolicy>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.routes.get(&name)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The customer that a caller key belongs to; `None` if the key is unknown.
    pub fn customer(&self, key: &str) -> Option<&ids::CustomerId> {
        self.keys.get(key)
    }

    /// Number of customers that have a key.
    pub fn customer_count(&self) -> usize {
        self.keys.values().collect::<collections::HashSet<_>>().len()
    }

    /// The strictest latency goals of a service's streaming routes; `None` if it has no such routes.
    pub fn goals(&self, service: &ids::ServiceId) -> Option<&ServiceGoals> {
        self.goals.get(service)
    }

    /// All routes, in unspecified order.
    pub fn all_routes(&self) -> impl Iterator<Item = &RoutePolicy> {
        self.routes.values().flatten().map(std::rc::Rc::as_ref)
    }

    /// Limits of upstreams that have just started, by service; services without such limits are left out.
    pub fn cold_policies(&self) -> collections::BTreeMap<ids::ServiceId, cold_start::ColdPolicy> {
        let services = self.services.values();
        services.filter_map(|service| Some((service.name.clone(), service.cold?))).collect()
    }

    /// Number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
