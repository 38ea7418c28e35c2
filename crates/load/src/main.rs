//! `slipturn-load`: see the library of the same name.

use std::{cell, net, process, rc, time};

use slipturn_load::{arrivals, caller, report};
use slipturn_net::{command_line, http_client, process as own_process};

const INFO: command_line::ProgramInfo = command_line::ProgramInfo {
    name: "slipturn-load",
    version: env!("CARGO_PKG_VERSION"),
    arguments: "--targets ADDRESS,... --keys KEY[=WEIGHT],... [options]",
    about: "Sends requests at a given rate, whatever becomes of them, and reports on the answers.",
};

/// Longest prompt that counts as short here.
const SHORT_PROMPT: u64 = 2_000;

/// What the command line asks for.
struct LoadPlan {
    shape: arrivals::ArrivalShape,
    targets: Vec<net::SocketAddr>,
    keys: Vec<String>,
    model: String,
    seconds: u64,
    alone: u64,
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
    let matches = match command_line::parse(INFO, options) {
        command_line::ParsedLine::Run(matches) => matches,
        command_line::ParsedLine::Leave(code) => return process::ExitCode::from(code),
    };
    let plan = match read_plan(&matches) {
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
            process::ExitCode::from(command_line::EXIT_GOOD)
        }
        Ok(report) => {
            print!("{}", report.table());
            process::ExitCode::from(command_line::EXIT_GOOD)
        }
        Err(error) => command_line::fail(INFO, &error),
    }
}

fn read_plan(matches: &getopts::Matches) -> Result<LoadPlan, String> {
    let targets = list(matches, "targets")?;
    let (mut keys, mut key_weights) = (Vec::new(), Vec::new());
    for text in list(matches, "keys")? {
        let (key, weight) = text.split_once('=').unwrap_or((&text, "1"));
        keys.push(key.to_owned());
        key_weights.push(parse("keys", weight)?);
    }
    let shape = arrivals::ArrivalShape {
        rate: number(matches, "rate", 10.0)?,
        min_prompt: number(matches, "min-prompt", 1_000)?,
        max_prompt: number(matches, "max-prompt", 1_000_000)?,
        long_share: number(matches, "long-share", 0.02)?,
        output: number(matches, "output", 64)?,
        key_weights,
        seed: number(matches, "seed", 1)?,
    };
    Ok(LoadPlan {
        shape,
        targets: targets.iter().map(|text| parse("targets", text)).collect::<Result<_, _>>()?,
        keys,
        model: matches.opt_str("model").unwrap_or_else(|| "invitation".to_owned()),
        seconds: number(matches, "seconds", 20)?,
        alone: number(matches, "alone", 0)?,
        json: matches.opt_present("json"),
    })
}

/// Runs the load, and then the shorts alone where that is asked for.
async fn run(plan: LoadPlan) -> report::RunReport {
    let length = time::Duration::from_secs(plan.seconds);
    let mut report = run_shape(&plan, plan.shape.clone(), length).await;
    if plan.alone > 0 {
        let shape = arrivals::ArrivalShape {
            max_prompt: SHORT_PROMPT,
            long_share: 0.0,
            seed: plan.shape.seed + 1,
            ..plan.shape.clone()
        };
        let alone = run_shape(&plan, shape, time::Duration::from_secs(plan.alone)).await;
        report.compare_shorts(&alone);
    }
    report
}

async fn run_shape(
    plan: &LoadPlan,
    shape: arrivals::ArrivalShape,
    length: time::Duration,
) -> report::RunReport {
    let builder = rc::Rc::new(cell::RefCell::new(report::ReportBuilder::default()));
    let pool = rc::Rc::new(http_client::ConnectionPool::default());
    let started = time::Instant::now();
    let mut tasks = Vec::new();
    for arrival in arrivals::ArrivalStream::new(shape).take_while(|one| one.at < length) {
        monoio::time::sleep(arrival.at.saturating_sub(started.elapsed())).await;
        let turn = usize::try_from(arrival.number).unwrap_or(0);
        let target = caller::CallTarget {
            address: plan.targets[turn % plan.targets.len()],
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

fn list(matches: &getopts::Matches, name: &str) -> Result<Vec<String>, String> {
    let text = matches.opt_str(name).ok_or_else(|| format!("--{name} is missing"))?;
    Ok(text.split(',').map(str::to_owned).collect())
}

fn number<T: std::str::FromStr>(
    matches: &getopts::Matches,
    name: &str,
    default: T,
) -> Result<T, String> {
    matches.opt_str(name).map_or(Ok(default), |text| parse(name, &text))
}

fn parse<T: std::str::FromStr>(name: &str, text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("--{name}: found '{text}', which is not valid"))
}
