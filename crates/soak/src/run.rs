//! Runs one seed: starts a fleet and its traffic, injects the planned faults and checks the
//! outcome.

use std::{
    fs, io, path,
    time::{self, Duration},
};

use slipturn_platform_standin::{
    caller::Outcome,
    fleet::{Fleet, FleetPlan},
    runner::{self, ArrivalKind},
};

use crate::{
    check,
    config_probe::ConfigProber,
    contact_plan,
    evidence::{AnnouncedLimit, Evidence, RequestArrival, UpstreamResponse},
    fault_injector::FaultInjector,
    fault_plan::{self, PlannedFault},
    traffic::Traffic,
};

/// Options of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Path of the instance program.
    pub program: path::PathBuf,
    /// Seed that determines the plan.
    pub seed: u64,
    /// Length of the first part of the run; see [`fault_plan`].
    pub length: Duration,
    /// Number of instances.
    pub instances: u8,
    /// Number of clients.
    pub clients: u64,
}

/// Outcome of a run.
#[derive(Debug)]
pub struct RunReport {
    /// Descriptions of the violations; empty where every promise was kept.
    pub violations: Vec<String>,
    /// Number of requests sent, and how many of them got a good answer.
    pub requests: (usize, usize),
    /// Folder with the logs, which are kept only for a run with violations.
    pub logs: Option<path::PathBuf>,
}

/// Number of engines in the fleet.
const ENGINES: u8 = 4;
/// Number of upstreams of the plain service.
const PLAIN: u8 = 3;

/// File in the log folder that lists the injected faults with their times, and the violations.
const FAULT_LOG_FILE: &str = "strikes.txt";

/// Returns the plan of a run.
pub fn plan(options: &RunOptions) -> Vec<PlannedFault> {
    fault_plan::plan(options.seed, size(options))
}

fn size(options: &RunOptions) -> fault_plan::PlanSize {
    fault_plan::PlanSize {
        instances: options.instances,
        upstreams: ENGINES + PLAIN,
        engines: ENGINES,
        length: options.length,
    }
}

/// Runs a seed and checks its outcome; fails where the fleet cannot be started.
pub fn run(options: &RunOptions) -> io::Result<RunReport> {
    let size =
        FleetPlan { instances: options.instances, engines: ENGINES, plain: PLAIN, proxied: true };
    let fleet = Fleet::start(&options.program, &size)?;
    fleet.wait_ready();
    let mut injector = FaultInjector::new(fleet);
    let began = time_origin_line();
    inject_under_traffic(&mut injector, options);
    injector.run_final_checks(options.seed);
    record_runs(&injector.fleet, &mut injector.evidence);
    injector.evidence.publications = injector.published.all();
    let violations = check::violations(&injector.evidence);
    let sent = &injector.evidence.sent;
    let good = sent.iter().filter(|sent| sent.outcome == Some(Outcome::Good)).count();
    injector.fleet.keep_folder = !violations.is_empty();
    let logs = injector.fleet.keep_folder.then(|| injector.fleet.folder().to_owned());
    if let Some(folder) = &logs {
        let lines = [&[began][..], &injector.fault_log, &violations].concat();
        fs::write(folder.join(FAULT_LOG_FILE), lines.join("\n"))?;
    }
    Ok(RunReport { violations, requests: (sent.len(), good), logs })
}

/// Injects the planned faults while clients send requests and probe the configuration.
fn inject_under_traffic(injector: &mut FaultInjector, options: &RunOptions) {
    let addresses: Vec<_> =
        (0..options.instances).map(|number| injector.fleet.callers(number)).collect();
    let prober = ConfigProber::start(&injector.published, &addresses);
    let traffic = Traffic::start(options.seed, options.clients, addresses);
    let length = options.length + contact_plan::scenes_length(size(options));
    injector.inject_all(&plan(options), length);
    injector.evidence.sent = traffic.finish();
    injector.evidence.probes = prober.finish();
}

/// Returns a line that relates the seconds of the fault log to the clock of the instances' logs.
fn time_origin_line() -> String {
    let began = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    format!("second 0 is {} ms in the logs", began.as_millis())
}

/// Adds the requests, runs and limits that upstreams recorded to the evidence.
fn record_runs(fleet: &Fleet, evidence: &mut Evidence) {
    for (upstream, runner) in (0..).zip(fleet.runners()) {
        let requests = runner.arrivals().into_iter();
        let requests = requests.filter(|arrival| arrival.kind == ArrivalKind::Request);
        evidence.responses.extend(requests.map(|arrival| UpstreamResponse {
            upstream,
            id: arrival.id,
            at: arrival.at,
            leaving: arrival.leaving_announced_at,
            rest: arrival.rejection,
            limited: arrival.limited,
        }));
        evidence.limits.extend(announced_limits(upstream, &runner.limits()));
        for (id, record) in runner.runs() {
            let arrival = |at: &_| {
                let ended = record.ended.unwrap_or(*at);
                RequestArrival { upstream, id: id.clone(), at: *at, ended }
            };
            evidence.arrivals.extend(record.run_starts.iter().map(arrival));
            if id.starts_with("probe") {
                continue;
            }
            let total = evidence.runs.entry(id).or_default();
            let runs = total.runs + record.runs;
            *total = record;
            total.runs = runs;
        }
    }
    evidence.arrivals.sort_by_key(|arrival| arrival.at);
}

/// Returns the rate limits that an upstream announced, each valid until the next. Texts that are
/// not numbers, such as the empty one that ends a limit, yield none.
fn announced_limits(upstream: u8, limits: &[runner::AnnouncedLimit]) -> Vec<AnnouncedLimit> {
    let ends = limits.iter().skip(1).map(|limit| limit.since).chain([time::Instant::now()]);
    let named = |(limit, until): (&runner::AnnouncedLimit, _)| {
        let rate = limit.text.parse().ok()?;
        Some(AnnouncedLimit { upstream, rate, since: limit.since, until })
    };
    limits.iter().zip(ends).filter_map(named).collect()
}
