//! `slipturn-compare`: compares the routing policies on the fleets of both users.

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
    let number = |name: &str, default: u64| {
        matches.opt_str(name).map_or(Some(default), |text| text.parse().ok())
    };
    let (Some(seconds), Some(seed)) = (number("seconds", 60), number("seed", 1)) else {
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

/// Options that apply to all runs.
struct CommonOptions {
    length: time::Duration,
    seed: u64,
    options: String,
}

/// Turns the default scenario into that of a case.
type ScenarioChange = fn(&mut scenario::RunScenario);

const CASES: [(&str, ScenarioChange); 9] = [
    ("50% load", |run| run.load = 0.5),
    ("70% load", |run| run.load = 0.7),
    ("70% load, prompts up to 2k tokens alone", |run| {
        run.load = 0.7;
        run.short_prompts_only = true;
    }),
    ("90% load", |run| run.load = 0.9),
    ("100% load", |run| run.load = 1.0),
    ("200% load", |run| run.load = 2.0),
    ("70% load, reports 2 s old", |run| {
        run.load = 0.7;
        run.report_lag = time::Duration::from_secs(2);
    }),
    ("70% load, 3 of 18 engines lost at half time", |run| {
        run.load = 0.7;
        run.lost_engines = 3;
    }),
    ("70% load, one small customer sends 10 times its share", |run| {
        run.load = 0.7;
        run.flood_factor = 10.0;
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
        let mut run = scenario::RunScenario::new(profile, routing, 0.7);
        run.length = common.length;
        run.seed = common.seed;
        if routing == settings::RoutingKind::ExpectedStart {
            run.options.clone_from(&common.options);
        }
        apply_change(&mut run);
        (name, thread::spawn(move || summary::summarize(&run, &policy_run::PolicyRun::run(&run))))
    });
    for (name, run) in runs {
        match run.join() {
            Ok(figures) => print_row(name, &figures),
            Err(_) => println!("{name}: the run failed"),
        }
    }
}

fn print_row(name: &str, figures: &summary::RunSummary) {
    let format_cell =
        |values: &[f64; 3]| format!("{:.0}/{:.0}/{:.0}", values[0], values[1], values[2]);
    let bands: Vec<_> = figures
        .bands
        .iter()
        .map(|(band, values)| format!("{band} {}", format_cell(values)))
        .collect();
    println!("{name:<15} {}", bands.join("  "));
    println!(
        "{:<15} {} requests, {} whole, {} refused (slowest after {:.0} ms), {} failed; long whole \
         {:.3}; {:.0} useful tokens/s; {:.3} attempts; other customers {}",
        "",
        figures.requests,
        figures.completed,
        figures.refused,
        figures.slowest_refusal_ms,
        figures.failed,
        figures.long_completion_share,
        figures.goodput,
        figures.attempts_per_request,
        format_cell(&figures.other_small_customers),
    );
}
