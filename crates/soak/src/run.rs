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
    contact_plan, engine_plan,
    evidence::{AnnouncedLimit, Evidence, UpstreamResponse, UpstreamRun},
    fault_injector::FaultInjector,
    fault_plan::{self, PlannedFault},
    traffic::Traffic,
};

/// Program, seed and sizes of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Path of the program that each instance runs.
    pub program: path::PathBuf,
    /// Seed of the plan of faults and of the clients' random choices.
    pub seed: u64,
    /// Length of the first part of the run; see [`fault_plan`].
    pub length: Duration,
    /// Number of instances in the fleet, each a process of its own.
    pub instances: u8,
    /// Number of clients that send requests at the same time.
    pub clients: u64,
}

/// The violations found in a run, and what is needed to analyse them.
#[derive(Debug)]
pub struct RunReport {
    /// Descriptions of the violations; empty if there were none.
    pub violations: Vec<String>,
    /// Number of requests sent, and how many of them got a good answer.
    pub requests: (usize, usize),
    /// Folder with the logs, which are kept only for a run with violations.
    pub logs: Option<path::PathBuf>,
}

/// Number of engines in the fleet.
const ENGINES: u8 = 4;
/// Number of upstreams of the plain service, which run no model.
const PLAIN: u8 = 3;

/// File in the log folder that lists the injected faults with their times, and the violations.
const FAULT_LOG_FILE: &str = "strikes.txt";

/// Returns the faults that a run injects, in order of time; equal options give equal plans.
pub fn plan(options: &RunOptions) -> Vec<PlannedFault> {
    fault_plan::plan(options.seed, plan_size(options))
}

fn plan_size(options: &RunOptions) -> fault_plan::PlanSize {
    fault_plan::PlanSize {
        instances: options.instances,
        upstreams: ENGINES + PLAIN,
        engines: ENGINES,
        length: options.length,
    }
}

/// Runs a seed and checks its outcome; fails if the fleet cannot be started or the fault log cannot
/// be written.
pub fn run(options: &RunOptions) -> io::Result<RunReport> {
    let fleet_plan =
        FleetPlan { instances: options.instances, engines: ENGINES, plain: PLAIN, proxied: true };
    let fleet_options = engine_plan::fleet_options(options.seed);
    let fleet = Fleet::start_with(&options.program, &fleet_plan, fleet_options)?;
    fleet.wait_ready();
    let mut injector = FaultInjector::new(fleet);
    let origin_line = time_origin_line();
    inject_under_traffic(&mut injector, options);
    injector.run_final_checks(options.seed);
    record_runs(&injector.fleet, &mut injector.evidence);
    injector.evidence.publications = injector.publication_log.all();
    let violations = check::violations(&injector.evidence);
    let sent = &injector.evidence.sent;
    let good = sent.iter().filter(|sent| sent.outcome == Some(Outcome::Good)).count();
    injector.fleet.keep_folder = !violations.is_empty();
    let logs = injector.fleet.keep_folder.then(|| injector.fleet.folder().to_owned());
    if let Some(folder) = &logs {
        let lines = [&[origin_line][..], &injector.fault_log, &violations].concat();
        fs::write(folder.join(FAULT_LOG_FILE), lines.join("\n"))?;
    }
    Ok(RunReport { violations, requests: (sent.len(), good), logs })
}

/// Injects the planned faults while clients send requests and probe the configuration.
fn inject_under_traffic(injector: &mut FaultInjector, options: &RunOptions) {
    let addresses: Vec<_> =
        (0..options.instances).map(|number| injector.fleet.caller_address(number)).collect();
    let prober = ConfigProber::start(&injector.publication_log, &addresses);
    let traffic = Traffic::start(
        options.seed,
        options.clients,
        engine_plan::customers(options.seed),
        addresses,
    );
    let length = options.length + contact_plan::scenes_length(plan_size(options));
    injector.inject_all(&plan(options), length);
    injector.evidence.sent = traffic.finish();
    injector.finish_late_clients();
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
            leaving_announced_at: arrival.leaving_announced_at,
            rejection: arrival.rejection,
            limit_announced_at: arrival.limit_announced_at,
        }));
        evidence.limits.extend(announced_limits(upstream, &runner.limits()));
        for (id, record) in runner.runs() {
            let upstream_run = |at: &_| {
                let ended = record.ended.unwrap_or(*at);
                UpstreamRun { upstream, id: id.clone(), at: *at, ended }
            };
            evidence.upstream_runs.extend(record.run_starts.iter().map(upstream_run));
            if id.starts_with("probe") {
                continue;
            }
            let total_record = evidence.runs.entry(id).or_default();
            let runs = total_record.runs + record.runs;
            *total_record = record;
            total_record.runs = runs;
        }
    }
    evidence.upstream_runs.sort_by_key(|upstream_run| upstream_run.at);
}

/// Returns the rate limits that an upstream announced, each valid until the next announcement. A
/// text that is not a number, such as the empty one that ends a limit, yields no limit.
fn announced_limits(upstream: u8, limits: &[runner::AnnouncedLimit]) -> Vec<AnnouncedLimit> {
    let ends = limits.iter().skip(1).map(|limit| limit.since).chain([time::Instant::now()]);
    let announced = |(limit, until): (&runner::AnnouncedLimit, _)| {
        let rate = limit.text.parse().ok()?;
        Some(AnnouncedLimit { upstream, rate, since: limit.since, until })
    };
    limits.iter().zip(ends).filter_map(announced).collect()
}
