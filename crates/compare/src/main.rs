//! `slipturn-compare`: compares the routing policies on each of the simulated fleets of
//! [`scenario::PROFILES`].

use std::{process, thread, time};

use slipturn_compare::{planned_size, planner_cost, policy_run, scenario, summary};
use slipturn_core::settings;
use slipturn_net::command_line;

const INFO: command_line::ProgramInfo = command_line::ProgramInfo {
    name: "slipturn-compare",
    version: env!("CARGO_PKG_VERSION"),
    arguments: "[--seconds N] [--seed N]",
    about: "Compares slipturn's routing with the baselines on the same arrivals, in virtual time.",
};

const POLICIES: [(settings::RoutingKind, &str); 4] = [
    (settings::RoutingKind::RoundRobin, "round robin"),
    (settings::RoutingKind::LeastRequests, "least requests"),
    (settings::RoutingKind::LeastTokens, "least tokens"),
    (settings::RoutingKind::ExpectedStart, "slipturn"),
];

fn main() -> process::ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("n", "seconds", "length of each run (default 60)", "N");
    options.optopt("", "fleet", "further options of 'fleet:' for slipturn", "\"NAME: VALUE,\"");
    options.optflag("", "planned-size", "measure decisions at the planned size instead");
    options.optopt("", "cases", "only cases whose title has this in it", "TEXT");
    options.optopt("", "seed", "seed of arrivals and choices (default 1)", "N");
    let matches = match command_line::parse(INFO, options) {
        command_line::ParsedArguments::Run(matches) => matches,
        command_line::ParsedArguments::Exit(code) => return process::ExitCode::from(code),
    };
    if matches.opt_present("planned-size") {
        let rows = planned_size::measure().into_iter().chain(planner_cost::measure());
        for row in rows {
            println!("{:<46} {}", row.operation, row.value);
        }
        return process::ExitCode::from(command_line::EXIT_SUCCESS);
    }
    let parse_number = |name: &str, default: u64| {
        matches.opt_str(name).map_or(Some(default), |text| text.parse().ok())
    };
    let (Some(seconds), Some(seed)) = (parse_number("seconds", 60), parse_number("seed", 1)) else {
        eprintln!("{}: --seconds and --seed take whole numbers", INFO.name);
        return process::ExitCode::from(command_line::EXIT_USAGE);
    };
    let common = CommonOptions {
        length: time::Duration::from_secs(seconds),
        seed,
        options: matches.opt_str("fleet").unwrap_or_default(),
    };
    let title_filter = matches.opt_str("cases").unwrap_or_default();
    for profile in scenario::PROFILES {
        println!("=== {}", profile.name);
        for (title, apply_change) in CASES.iter().filter(|(title, _)| title.contains(&title_filter))
        {
            print_case(profile, title, *apply_change, &common);
        }
    }
    process::ExitCode::from(command_line::EXIT_SUCCESS)
}

/// Command line options that apply to all runs.
struct CommonOptions {
    length: time::Duration,
    seed: u64,
    /// Additional settings of the `fleet:` section, as in [`scenario::RunScenario::options`].
    /// Applied only to the runs of slipturn's own policy.
    options: String,
}

/// Turns the default scenario (70% load, no faults) into that of one row of [`CASES`].
type ScenarioChange = fn(&mut scenario::RunScenario);

const CASES: [(&str, ScenarioChange); 9] = [
    ("50% load", |scenario| scenario.load = 0.5),
    ("70% load", |scenario| scenario.load = 0.7),
    ("70% load, prompts up to 2k tokens alone", |scenario| {
        scenario.load = 0.7;
        scenario.short_prompts_only = true;
    }),
    ("90% load", |scenario| scenario.load = 0.9),
    ("100% load", |scenario| scenario.load = 1.0),
    ("200% load", |scenario| scenario.load = 2.0),
    ("70% load, reports 2 s old", |scenario| {
        scenario.load = 0.7;
        scenario.report_lag = time::Duration::from_secs(2);
    }),
    ("70% load, 3 of 18 engines lost at half time", |scenario| {
        scenario.load = 0.7;
        scenario.lost_engines = 3;
    }),
    ("70% load, one small customer sends 10 times its share", |scenario| {
        scenario.load = 0.7;
        scenario.flood_factor = 10.0;
    }),
];

fn print_case(
    profile: scenario::FleetProfile,
    title: &str,
    apply_change: ScenarioChange,
    common: &CommonOptions,
) {
    println!("--- {title}: first token p50/p95/p99 in ms by prompt length");
    let runs = POLICIES.map(|(routing, name)| {
        let mut scenario = scenario::RunScenario::new(profile, routing, 0.7);
        scenario.length = common.length;
        scenario.seed = common.seed;
        if routing == settings::RoutingKind::ExpectedStart {
            scenario.options.clone_from(&common.options);
        }
        apply_change(&mut scenario);
        (
            name,
            thread::spawn(move || {
                summary::summarize(&scenario, &policy_run::PolicyRun::run(&scenario))
            }),
        )
    });
    for (name, run) in runs {
        match run.join() {
            Ok(summary) => print_row(name, &summary),
            Err(_) => println!("{name}: the run failed"),
        }
    }
}

fn print_row(name: &str, summary: &summary::RunSummary) {
    let format_cell =
        |values: &[f64; 3]| format!("{:.0}/{:.0}/{:.0}", values[0], values[1], values[2]);
    let bands: Vec<_> = summary
        .bands
        .iter()
        .map(|(band, values)| format!("{band} {}", format_cell(values)))
        .collect();
    println!("{name:<15} {}", bands.join("  "));
    println!(
        "{:<15} {} requests, {} whole, {} refused (slowest after {:.0} ms), {} failed; long whole \
         {:.3}; {:.0} useful tokens/s; {:.3} attempts; other customers {}",
        "",
        summary.requests,
        summary.completed,
        summary.refused,
        summary.slowest_refusal_ms,
        summary.failed,
        summary.long_completion_share,
        summary.goodput,
        summary.attempts_per_request,
        format_cell(&summary.other_small_customers),
    );
}
