//! Observations of a run, and the periods in which violations are excused.

use std::{collections, time};

use slipturn_platform_standin::runner::RunRecord;

use crate::{config_probe, traffic::SentRequest};

/// Time after the end of a fault that still counts as disturbed: the platform's bound for recovery.
pub(crate) const RECOVERY_MARGIN: time::Duration = time::Duration::from_millis(3_000);
/// Time after the start of a partition in which requests that were sent before may arrive.
const IN_FLIGHT_TIME: time::Duration = time::Duration::from_millis(100);

/// A period in which violations at one instance, or at all instances, are excused.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// Number of the instance disturbed; `None` for all instances.
    pub instance: Option<u8>,
    /// Time at which the disturbance began.
    pub from: time::Instant,
    /// End of the period excused: the end of the disturbance plus a margin for recovery.
    pub to: time::Instant,
}

impl Disturbance {
    /// Returns whether the period concerns `instance` and overlaps the span from `from` to `to`.
    pub fn overlaps(&self, instance: u8, from: time::Instant, to: time::Instant) -> bool {
        self.instance.is_none_or(|disturbed| disturbed == instance)
            && self.from <= to
            && self.to >= from
    }
}

/// Returns whether any disturbance concerns `instance` and overlaps the span from `from` to `to`.
pub fn any_overlaps(
    disturbances: &[Disturbance],
    instance: u8,
    from: time::Instant,
    to: time::Instant,
) -> bool {
    disturbances.iter().any(|disturbance| disturbance.overlaps(instance, from, to))
}

/// A change of an upstream between ready and leaving, by its entry in the store or by an
/// evacuation.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamListing {
    /// Number of the upstream whose listed state changed.
    pub upstream: u8,
    /// Whether the upstream is to get no more requests; `false` if it is ready.
    pub leaving: bool,
    /// Time at which the store had the change.
    pub at: time::Instant,
}

/// A period in which requests and cancels may reach an upstream late.
#[derive(Debug, Clone, Copy)]
pub struct LinkFault {
    /// Number of the instance whose link has the fault; `None` for all instances.
    pub instance: Option<u8>,
    /// Number of the upstream whose link has the fault.
    pub upstream: u8,
    /// Time at which the fault of the link began.
    pub from: time::Instant,
    /// End of the period excused: the end of the fault plus a margin for recovery.
    pub to: time::Instant,
}

impl LinkFault {
    /// Returns whether the fault concerns the link from `instance` to `upstream`.
    pub fn concerns(&self, instance: u8, upstream: u8) -> bool {
        self.upstream == upstream && self.instance.is_none_or(|own| own == instance)
    }

    /// Returns whether the fault may have delayed a run that began at `began`, or its cancel, up to `until`. What a
    /// partitioned instance sends during the fault goes by way of other members, or arrives after the fault.
    pub fn delays(&self, began: time::Instant, until: time::Instant) -> bool {
        let is_direct = self.instance.is_none()
            || began <= self.from + IN_FLIGHT_TIME
            || began + RECOVERY_MARGIN >= self.to;
        is_direct && self.from <= until && self.to >= began
    }
}

/// A period in which an instance is partitioned from upstreams.
#[derive(Debug, Clone, Copy)]
pub struct InstancePartition {
    /// Number of the instance.
    pub instance: u8,
    /// Time at which the partition began.
    pub from: time::Instant,
    /// Time at which the partition ended.
    pub to: time::Instant,
}

/// A run of a request at an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRun {
    /// Number of the upstream that ran the request.
    pub upstream: u8,
    /// Id of the request that was run.
    pub id: String,
    /// Time at which the run began.
    pub at: time::Instant,
    /// Time at which the upstream's last run of the request ended; equal to `at` if no run has
    /// ended.
    pub ended: time::Instant,
}

/// A request that reached an upstream, run or not, and what the answer announced: leaving, a
/// `Retry-After` time or a rate limit.
#[derive(Debug, Clone)]
pub struct UpstreamResponse {
    /// Number of the upstream that the request reached.
    pub upstream: u8,
    /// Id of the request that reached the upstream.
    pub id: String,
    /// Time at which the request arrived at the upstream.
    pub at: time::Instant,
    /// Time of the answer, if it announced that the upstream is leaving.
    pub leaving_announced_at: Option<time::Instant>,
    /// Time of the answer and its `Retry-After` time, if the upstream rejected the request.
    pub rejection: Option<(time::Instant, time::Duration)>,
    /// Time of the answer, if it announced a rate limit.
    pub limit_announced_at: Option<time::Instant>,
}

/// A rate limit that an upstream announced, and the period in which it applied.
#[derive(Debug, Clone)]
pub struct AnnouncedLimit {
    /// Number of the upstream that announced the limit.
    pub upstream: u8,
    /// The announced limit: requests a second from all instances together.
    pub rate: f64,
    /// Time from which answers of the upstream announced the limit.
    pub since: time::Instant,
    /// Time at which the upstream's next announcement replaced the limit, or the run ended.
    pub until: time::Instant,
}

/// Everything that was observed in a run.
#[derive(Debug)]
pub struct Evidence {
    /// Time origin of the times in violations: shortly before traffic began.
    pub started: time::Instant,
    /// Requests of clients, without probes.
    pub sent: Vec<SentRequest>,
    /// Records of the requests that were run, by request id, without probes. [`RunRecord::runs`] is
    /// the sum over all upstreams.
    pub runs: collections::HashMap<String, RunRecord>,
    /// Every run of a request at an upstream, including those of probes, in order of time.
    pub upstream_runs: Vec<UpstreamRun>,
    /// Requests that reached upstreams, run or not, and what the answers announced.
    pub responses: Vec<UpstreamResponse>,
    /// Rate limits that upstreams announced, each with the period in which it applied.
    pub limits: Vec<AnnouncedLimit>,
    /// Number of the upstream and time for each restart: what answers from before the restart
    /// announced no longer applies.
    pub upstream_restarts: Vec<(u8, time::Instant)>,
    /// Kills and pauses of instances, which excuse cut connections and long answers.
    pub unplanned_outages: Vec<Disturbance>,
    /// Planned stops of instances. A stop closes idle connections, and a client may send a request
    /// at the moment of the close; the instance must not have forwarded that request.
    pub planned_stops: Vec<Disturbance>,
    /// Faults of upstreams and links, which excuse failures and cut streams.
    pub external_faults: Vec<Disturbance>,
    /// Periods in which instances are out of contact with the store or other members, which excuse
    /// that changes take effect late.
    pub contact_losses: Vec<Disturbance>,
    /// Faults of links to upstreams, which excuse requests and cancels that arrive late.
    pub link_faults: Vec<LinkFault>,
    /// Partitions of instances from upstreams.
    pub partitions: Vec<InstancePartition>,
    /// Changes of upstreams between ready and leaving, in order of time.
    pub listings: Vec<UpstreamListing>,
    /// Number of the instance and time for each restart after a kill, a planned stop or a crash.
    pub instance_restarts: Vec<(u8, time::Instant)>,
    /// Configurations published, in order of time.
    pub publications: Vec<config_probe::Publication>,
    /// Probes of the configuration, in order of time for each instance.
    pub probes: Vec<config_probe::ConfigProbe>,
    /// Violations found before the evidence is checked, such as an instance that does not start.
    pub violations: Vec<String>,
}

impl Evidence {
    /// Moves the end of each period that ends at `planned_end` to `actual_end`, where both include
    /// the margin for recovery. Planned stops keep their end. A fault ends late if the soak has to
    /// wait before it can end the fault, for example for an instance to start.
    pub fn extend_to_actual_end(&mut self, planned_end: time::Instant, actual_end: time::Instant) {
        let disturbances =
            [&mut self.unplanned_outages, &mut self.external_faults, &mut self.contact_losses];
        for disturbance in
            disturbances.into_iter().flatten().filter(|period| period.to == planned_end)
        {
            disturbance.to = actual_end;
        }
        for fault in self.link_faults.iter_mut().filter(|period| period.to == planned_end) {
            fault.to = actual_end;
        }
    }

    /// Creates an empty record that starts now.
    pub fn new() -> Self {
        Self {
            started: time::Instant::now(),
            sent: Vec::new(),
            runs: collections::HashMap::new(),
            upstream_runs: Vec::new(),
            responses: Vec::new(),
            limits: Vec::new(),
            upstream_restarts: Vec::new(),
            unplanned_outages: Vec::new(),
            planned_stops: Vec::new(),
            external_faults: Vec::new(),
            contact_losses: Vec::new(),
            link_faults: Vec::new(),
            partitions: Vec::new(),
            listings: Vec::new(),
            instance_restarts: Vec::new(),
            publications: Vec::new(),
            probes: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Returns whether no loss of contact of `instance`, including the margin after it, overlaps
    /// the span from `from` to `to`.
    pub fn in_contact(&self, instance: u8, from: time::Instant, to: time::Instant) -> bool {
        !any_overlaps(&self.contact_losses, instance, from, to)
    }

    /// Returns the seconds from [`Self::started`] to `at`, 0 for earlier times.
    pub fn seconds_since_start(&self, at: time::Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}

impl Default for Evidence {
    fn default() -> Self {
        Self::new()
    }
}

/// Summarizes violations, given as pairs of a kind and a text: returns the first text of each kind,
/// with the number of violations of that kind.
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
