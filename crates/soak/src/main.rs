//! Runs the soak for one or several seeds and prints the violations found.

use std::{path, process, time};

use slipturn_net::command_line;
use slipturn_soak::{return_plan, run};

const INFO: command_line::ProgramInfo = command_line::ProgramInfo {
    name: "slipturn-soak",
    version: env!("CARGO_PKG_VERSION"),
    arguments: "[--seed N] [--runs N] [--seconds S] [--instances N] [--clients N] [--plan]",
    about: "Runs real instances under random faults from outside and checks their promises.",
};

/// Maximum number of instances that a test fleet has loopback addresses for.
const MAX_INSTANCES: u64 = 40;

fn main() -> process::ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("", "seed", "first seed; drawn anew if left out", "N");
    options.optopt("", "runs", "seeds to play, one after the other (1)", "N");
    options.optopt(
        "",
        "seconds",
        "length of a run's first part (8); its scenes last as long or longer",
        "S",
    );
    options.optopt("", "instances", "instances (4)", "N");
    options.optopt("", "clients", "clients (12)", "N");
    options.optopt("", "program", "the instances' program (beside this one)", "FILE");
    options.optflag("", "plan", "print the plan of each seed, and play nothing");
    let matches = match command_line::parse(INFO, options) {
        command_line::ParsedArguments::Run(matches) => matches,
        command_line::ParsedArguments::Exit(code) => return process::ExitCode::from(code),
    };
    match run_seeds(&matches) {
        Ok(0) => process::ExitCode::from(command_line::EXIT_SUCCESS),
        Ok(_) => process::ExitCode::from(command_line::EXIT_FAILURE),
        Err(error) => command_line::fail(INFO, &error),
    }
}

/// Runs the seeds and returns how many of them had violations.
fn run_seeds(matches: &getopts::Matches) -> Result<u64, String> {
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text.parse::<u64>().map_err(|_| format!("{name}: found '{text}'")),
    };
    let first = number("seed", return_plan::FIRST_SEED + u64::from(rand::random::<u32>()))?;
    let own_path = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = match matches.opt_str("program") {
        Some(program) => path::PathBuf::from(program),
        None => own_path.with_file_name("slipturn-instance"),
    };
    let mut failed = 0;
    for seed in first..first + number("runs", 1)? {
        let options = run::RunOptions {
            program: program.clone(),
            seed,
            length: time::Duration::from_secs(number("seconds", 8)?),
            instances: number("instances", 4)?.clamp(1, MAX_INSTANCES) as u8,
            clients: number("clients", 12)?,
        };
        if matches.opt_present("plan") {
            println!("seed {seed}");
            run::plan(&options).iter().for_each(|planned| println!("  {planned}"));
            continue;
        }
        let report = run::run(&options).map_err(|error| error.to_string())?;
        let (requests, good) = report.requests;
        println!(
            "seed {seed}: {good} of {requests} served, {} violations",
            report.violations.len()
        );
        for violation in report.violations.iter().take(8) {
            println!("  {violation}");
        }
        if let Some(logs) = report.logs {
            println!("  logs: {}", logs.display());
            failed += 1;
        }
    }
    Ok(failed)
}
