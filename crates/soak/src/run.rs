//! One run: a fleet, its traffic, the faults of a plan, the judgement.

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
    evidence::{Evidence, NamedLimit, RequestArrival, UpstreamResponse},
    fault_injector::FaultInjector,
    fault_plan::{self, PlannedFault},
    traffic::Traffic,
};

/// How a run is made.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// The instances' program.
    pub program: path::PathBuf,
    /// What decides the plan.
    pub seed: u64,
    /// Length of the first part; see [`fault_plan`].
    pub length: Duration,
    /// Instances.
    pub instances: u8,
    /// Clients.
    pub clients: u64,
}

/// What a run came to.
#[derive(Debug)]
pub struct RunReport {
    /// Violations; empty for a clean run.
    pub violations: Vec<String>,
    /// Requests sent, and answered well.
    pub requests: (usize, usize),
    /// Folder with the logs of a run with violations.
    pub logs: Option<path::PathBuf>,
}

/// Engines of a run, and upstreams of the plain service.
const ENGINES: u8 = 4;
/// See [`ENGINES`].
const PLAIN: u8 = 3;

/// File in the logs' folder with the faults as they struck, and the violations.
const FAULT_LOG_FILE: &str = "strikes.txt";

/// The plan of a run.
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

/// Plays a seed.
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
    injector.fleet.keep = !violations.is_empty();
    let logs = injector.fleet.keep.then(|| injector.fleet.folder().to_owned());
    if let Some(folder) = &logs {
        let lines = [&[began][..], &injector.fault_log, &violations].concat();
        fs::write(folder.join(FAULT_LOG_FILE), lines.join("\n"))?;
    }
    Ok(RunReport { violations, requests: (sent.len(), good), logs })
}

/// Plays the plan while clients send requests and ask for configurations.
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

/// When traffic begins, by the clock that instances' log lines bear.
fn time_origin_line() -> String {
    let began = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    format!("second 0 is {} ms in the logs", began.as_millis())
}

/// Takes over what upstreams have noted.
fn record_runs(fleet: &Fleet, evidence: &mut Evidence) {
    for (upstream, runner) in (0..).zip(fleet.runners()) {
        let requests = runner.arrivals().into_iter();
        let requests = requests.filter(|arrival| arrival.kind == ArrivalKind::Request);
        evidence.responses.extend(requests.map(|arrival| UpstreamResponse {
            upstream,
            id: arrival.id,
            at: arrival.at,
            leaving: arrival.told,
            rest: arrival.turned_away,
            limited: arrival.limited,
        }));
        evidence.limits.extend(named_limits(upstream, &runner.limits()));
        for (id, record) in runner.runs() {
            let arrival = |at: &_| {
                let ended = record.ended.unwrap_or(*at);
                RequestArrival { upstream, id: id.clone(), at: *at, ended }
            };
            evidence.arrivals.extend(record.begun.iter().map(arrival));
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

/// The limits that an upstream named, each until the next.
fn named_limits(upstream: u8, limits: &[runner::NamedLimit]) -> Vec<NamedLimit> {
    let ends = limits.iter().skip(1).map(|limit| limit.since).chain([time::Instant::now()]);
    let named = |(limit, until): (&runner::NamedLimit, _)| {
        let rate = limit.text.parse().ok()?;
        Some(NamedLimit { upstream, rate, since: limit.since, until })
    };
    limits.iter().zip(ends).filter_map(named).collect()
}
