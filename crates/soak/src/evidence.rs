//! What a run has seen, and when promises were excused.

use std::{collections, time};

use slipturn_platform_standin::runner::RunRecord;

use crate::{config_probe, traffic::SentRequest};

/// A time during which a promise was excused, by instance.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// The instance; `None` for all.
    pub instance: Option<u8>,
    /// Its beginning.
    pub from: time::Instant,
    /// Its end, with the time after it that still counts.
    pub to: time::Instant,
}

impl Disturbance {
    /// Whether it touches an instance in a span of time.
    pub fn overlaps(&self, instance: u8, from: time::Instant, to: time::Instant) -> bool {
        self.instance.is_none_or(|struck| struck == instance) && self.from <= to && self.to >= from
    }
}

/// Whether any of these touches an instance in a span of time.
pub fn any_overlaps(
    disturbances: &[Disturbance],
    instance: u8,
    from: time::Instant,
    to: time::Instant,
) -> bool {
    disturbances.iter().any(|disturbance| disturbance.overlaps(instance, from, to))
}

/// A change of what an upstream says of itself.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamListing {
    /// The upstream.
    pub upstream: u8,
    /// Whether it says that it leaves, or that it is ready.
    pub leaving: bool,
    /// When the store had it.
    pub at: time::Instant,
}

/// A time in which what goes to an upstream may come late.
#[derive(Debug, Clone, Copy)]
pub struct LinkFault {
    /// The upstream.
    pub upstream: u8,
    /// Its beginning.
    pub from: time::Instant,
    /// Its end, with the time after it that still counts.
    pub to: time::Instant,
}

/// A request's arrival at an upstream.
#[derive(Debug, Clone)]
pub struct RequestArrival {
    /// The upstream.
    pub upstream: u8,
    /// The request.
    pub id: String,
    /// When its run began.
    pub at: time::Instant,
    /// When the upstream's last work on it ended.
    pub ended: time::Instant,
}

/// A request's arrival at an upstream, run or not, and what its answer said in passing.
#[derive(Debug, Clone)]
pub struct UpstreamResponse {
    /// The upstream.
    pub upstream: u8,
    /// The request.
    pub id: String,
    /// When it came.
    pub at: time::Instant,
    /// When its answer said that the upstream leaves.
    pub leaving: Option<time::Instant>,
    /// When its answer turned it away, and for how long the upstream wanted rest.
    pub rest: Option<(time::Instant, time::Duration)>,
    /// When its answer named a limit.
    pub limited: Option<time::Instant>,
}

/// A limit that an upstream named, while it stood.
#[derive(Debug, Clone)]
pub struct NamedLimit {
    /// The upstream.
    pub upstream: u8,
    /// Requests a second.
    pub rate: f64,
    /// From when on answers named it.
    pub since: time::Instant,
    /// Until when.
    pub until: time::Instant,
}

/// What a run has seen.
#[derive(Debug)]
pub struct Evidence {
    /// When traffic began; times in violations count from it.
    pub started: time::Instant,
    /// All requests.
    pub sent: Vec<SentRequest>,
    /// Runs at all upstreams, by request.
    pub runs: collections::HashMap<String, RunRecord>,
    /// Arrivals at all upstreams, those of probes among them.
    pub arrivals: Vec<RequestArrival>,
    /// Arrivals of requests, run or not, with what upstreams said.
    pub responses: Vec<UpstreamResponse>,
    /// Limits that upstreams named.
    pub limits: Vec<NamedLimit>,
    /// New starts of upstreams, which have said nothing yet.
    pub upstream_restarts: Vec<(u8, time::Instant)>,
    /// Kills, pauses and the like, which excuse cut connections and long answers.
    pub unplanned_outages: Vec<Disturbance>,
    /// Planned stops. A resting connection is closed in them, and a request may cross its end on
    /// the way; it must not have been passed on then.
    pub planned_stops: Vec<Disturbance>,
    /// Faults of upstreams and links, which excuse failures and cut streams.
    pub external_faults: Vec<Disturbance>,
    /// All that takes an instance out of contact, which excuses that changes come late.
    pub contact_losses: Vec<Disturbance>,
    /// Faults of links to upstreams.
    pub link_faults: Vec<LinkFault>,
    /// What upstreams have said of themselves, in order of time.
    pub listings: Vec<UpstreamListing>,
    /// Starts of instances' processes.
    pub starts: Vec<(u8, time::Instant)>,
    /// Configurations, in order of time.
    pub publications: Vec<config_probe::Publication>,
    /// Questions to instances about them, in order of time for each instance.
    pub probes: Vec<config_probe::ConfigProbe>,
    /// Violations found while the run went on.
    pub violations: Vec<String>,
}

impl Evidence {
    /// What was to be over at `planned` was so at `over` only: orders come late where this process has to wait, as for an
    /// instance that starts, and what they should have ended has gone on.
    pub fn extend_to_actual_end(&mut self, planned: time::Instant, over: time::Instant) {
        let struck =
            [&mut self.unplanned_outages, &mut self.external_faults, &mut self.contact_losses];
        for disturbance in struck.into_iter().flatten().filter(|one| one.to == planned) {
            disturbance.to = over;
        }
        for trouble in self.link_faults.iter_mut().filter(|one| one.to == planned) {
            trouble.to = over;
        }
    }

    /// Nothing seen yet.
    pub fn new() -> Self {
        Self {
            started: time::Instant::now(),
            sent: Vec::new(),
            runs: collections::HashMap::new(),
            arrivals: Vec::new(),
            responses: Vec::new(),
            limits: Vec::new(),
            upstream_restarts: Vec::new(),
            unplanned_outages: Vec::new(),
            planned_stops: Vec::new(),
            external_faults: Vec::new(),
            contact_losses: Vec::new(),
            link_faults: Vec::new(),
            listings: Vec::new(),
            starts: Vec::new(),
            publications: Vec::new(),
            probes: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Whether an instance was undisturbed for long enough, all through a span of time.
    pub fn in_contact(&self, instance: u8, from: time::Instant, to: time::Instant) -> bool {
        !any_overlaps(&self.contact_losses, instance, from, to)
    }

    /// Seconds since traffic began.
    pub fn seconds_since_start(&self, at: time::Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}

impl Default for Evidence {
    fn default() -> Self {
        Self::new()
    }
}

/// The first violation of each kind, with the number of the others.
pub fn summarize_by_kind(found: impl Iterator<Item = (String, String)>) -> Vec<String> {
    let mut kinds = collections::BTreeMap::<String, (String, usize)>::new();
    for (kind, text) in found {
        kinds.entry(kind).or_insert((text, 0)).1 += 1;
    }
    kinds
        .into_iter()
        .map(|(kind, (text, count))| format!("{kind}: {text}, {count} in all"))
        .collect()
}
