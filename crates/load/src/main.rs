//! `slipturn-load`: generates open-loop load and reports on the responses.

use std::{cell, net, process, rc, time};

use slipturn_load::{arrivals, caller, report};
use slipturn_net::{command_line, http_client, process as own_process};

const INFO: command_line::ProgramInfo = command_line::ProgramInfo {
    name: "slipturn-load",
    version: env!("CARGO_PKG_VERSION"),
    arguments: "--targets ADDRESS,... --keys KEY[=WEIGHT],... [options]",
    about: "Sends requests at a given rate, whatever becomes of them, and reports on the answers.",
};

/// Options that can also be set in the tool's settings file.
const OPTIONS: [&str; 12] = [
    "targets",
    "keys",
    "model",
    "rate",
    "seconds",
    "min-prompt",
    "max-prompt",
    "long-share",
    "output",
    "seed",
    "alone",
    "json",
];
/// Longest prompt of the baseline run, in tokens.
const SHORT_PROMPT_TOKENS: u64 = 2_000;

/// The parameters of a run, from the command line and the tool's settings file.
struct LoadPlan {
    profile: arrivals::ArrivalProfile,
    targets: Vec<net::SocketAddr>,
    keys: Vec<String>,
    model: String,
    /// Duration of the run, in seconds.
    seconds: u64,
    /// Duration in seconds of the baseline run with short prompts only; 0 for none.
    baseline_seconds: u64,
    json: bool,
}

fn main() -> process::ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("t", "targets", "entries to call in turn", "ADDRESS,...");
    options.optopt("k", "keys", "callers' keys and their relative use", "KEY[=WEIGHT],...");
    options.optopt("m", "model", "model to ask for (default invitation)", "NAME");
    options.optopt("r", "rate", "requests a second (default 10)", "N");
    options.optopt("n", "seconds", "length of the run (default 20)", "N");
    options.optopt("", "min-prompt", "shortest prompt in tokens (default 1000)", "N");
    options.optopt("", "max-prompt", "longest prompt in tokens (default 1000000)", "N");
    options.optopt("", "long-share", "share of prompts over 100000 tokens (default 0.02)", "X");
    options.optopt("", "output", "output tokens of each request (default 64)", "N");
    options.optopt("", "seed", "seed of all choices (default 1)", "N");
    options.optopt("", "alone", "then send shorts alone for this long, to compare", "SECONDS");
    options.optflag("", "json", "report as JSON");
    command_line::ToolOptions::declare(&mut options);
    let matches = match command_line::parse(INFO, options) {
        command_line::ParsedArguments::Run(matches) => matches,
        command_line::ParsedArguments::Exit(code) => return process::ExitCode::from(code),
    };
    let options = command_line::ToolOptions::load(matches, &OPTIONS);
    let plan = match options.and_then(|options| read_plan(&options)) {
        Ok(plan) => plan,
        Err(text) => {
            eprintln!("{}: {text}", INFO.name);
            return process::ExitCode::from(command_line::EXIT_USAGE);
        }
    };
    let json = plan.json;
    match own_process::run(run(plan)) {
        Ok(report) if json => {
            println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
            process::ExitCode::from(command_line::EXIT_SUCCESS)
        }
        Ok(report) => {
            print!("{}", report.table());
            process::ExitCode::from(command_line::EXIT_SUCCESS)
        }
        Err(error) => command_line::fail(INFO, &error),
    }
}

fn read_plan(options: &command_line::ToolOptions) -> Result<LoadPlan, String> {
    let targets = list_option(options, "targets")?;
    let (mut keys, mut key_weights) = (Vec::new(), Vec::new());
    for text in list_option(options, "keys")? {
        let (key, weight) = text.split_once('=').unwrap_or((&text, "1"));
        keys.push(key.to_owned());
        key_weights.push(parse_value("keys", weight)?);
    }
    let profile = arrivals::ArrivalProfile {
        rate: options.value("rate", 10.0)?,
        min_prompt: options.value("min-prompt", 1_000)?,
        max_prompt: options.value("max-prompt", 1_000_000)?,
        long_share: options.value("long-share", 0.02)?,
        output: options.value("output", 64)?,
        key_weights,
        seed: options.value("seed", 1)?,
    };
    Ok(LoadPlan {
        profile,
        targets: targets
            .iter()
            .map(|text| parse_value("targets", text))
            .collect::<Result<_, _>>()?,
        keys,
        model: options.text("model").unwrap_or_else(|| "invitation".to_owned()),
        seconds: options.value("seconds", 20)?,
        baseline_seconds: options.value("alone", 0)?,
        json: options.flag("json"),
    })
}

/// Runs the load, followed by a baseline run with short prompts only if one was requested.
async fn run(plan: LoadPlan) -> report::RunReport {
    let duration = time::Duration::from_secs(plan.seconds);
    let mut report = run_profile(&plan, plan.profile.clone(), duration).await;
    if plan.baseline_seconds > 0 {
        let profile = arrivals::ArrivalProfile {
            max_prompt: SHORT_PROMPT_TOKENS,
            long_share: 0.0,
            seed: plan.profile.seed + 1,
            ..plan.profile.clone()
        };
        let baseline =
            run_profile(&plan, profile, time::Duration::from_secs(plan.baseline_seconds)).await;
        report.compare_short_prompts(&baseline);
    }
    report
}

async fn run_profile(
    plan: &LoadPlan,
    profile: arrivals::ArrivalProfile,
    duration: time::Duration,
) -> report::RunReport {
    let builder = rc::Rc::new(cell::RefCell::new(report::ReportBuilder::default()));
    let pool = rc::Rc::new(http_client::ConnectionPool::default());
    let started = time::Instant::now();
    let mut tasks = Vec::new();
    for arrival in arrivals::ArrivalStream::new(profile).take_while(|arrival| arrival.at < duration)
    {
        monoio::time::sleep(arrival.at.saturating_sub(started.elapsed())).await;
        let sequence = usize::try_from(arrival.number).unwrap_or(0);
        let target = caller::CallTarget {
            address: plan.targets[sequence % plan.targets.len()],
            key: plan.keys[arrival.key].clone(),
            model: plan.model.clone(),
        };
        let (pool, builder) = (rc::Rc::clone(&pool), rc::Rc::clone(&builder));
        tasks.push(monoio::spawn(async move {
            let outcome = caller::call(&pool, &target, &arrival).await;
            builder.borrow_mut().add(&arrival, &outcome);
        }));
    }
    for task in tasks {
        task.await;
    }
    builder.take().build()
}

fn list_option(options: &command_line::ToolOptions, name: &str) -> Result<Vec<String>, String> {
    let text = options.text(name).ok_or_else(|| format!("{name} is missing"))?;
    Ok(text.split(',').map(str::to_owned).collect())
}

fn parse_value<T: std::str::FromStr>(name: &str, text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("{name}: found '{text}', which is not valid"))
}
