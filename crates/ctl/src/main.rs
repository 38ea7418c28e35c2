//! `slipturnctl`: see the library of the same name.

use std::{net, path, process};

use slipturn_net::{command_line, local_settings};
use slipturnctl::{question, table};

const INFO: command_line::ProgramInfo = command_line::ProgramInfo {
    name: "slipturnctl",
    version: env!("CARGO_PKG_VERSION"),
    arguments: "[options] check FILE | status | settings | explain ID | histograms | quarantine | release DIGEST | upstreams | drain",
    about: "Asks an instance of slipturn, or checks a settings document before it is published.",
};

/// Why the command line cannot be followed, or what it asked for did not work.
enum CommandError {
    Usage(String),
    Failed(String),
}

fn main() -> process::ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("a", "address", "an instance's address for operators", "ADDRESS");
    options.optopt("s", "settings", "local settings file, to take the address from", "FILE");
    options.optopt("c", "customer", "settings: whose", "NAME");
    options.optopt("p", "application", "settings: for which application", "NAME");
    options.optopt("", "prompt", "settings: for a prompt of this many tokens", "N");
    options.optflag("", "json", "print JSON");
    let matches = match command_line::parse(INFO, options) {
        command_line::ParsedArguments::Run(matches) => matches,
        command_line::ParsedArguments::Exit(code) => return process::ExitCode::from(code),
    };
    match run(&matches) {
        Ok(()) => process::ExitCode::from(command_line::EXIT_SUCCESS),
        Err(CommandError::Failed(text)) => command_line::fail(INFO, &text),
        Err(CommandError::Usage(text)) => {
            eprintln!("{}: {text}\nTry '{} --help'.", INFO.name, INFO.name);
            process::ExitCode::from(command_line::EXIT_USAGE)
        }
    }
}

fn run(matches: &getopts::Matches) -> Result<(), CommandError> {
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let get = http::Method::GET;
    match words.as_slice() {
        ["check", file] => {
            let version = question::check(path::Path::new(file)).map_err(failed)?;
            println!("{file}: valid, version {version}");
            Ok(())
        }
        ["status"] => show(matches, get, "/v1/status"),
        ["settings"] => show(matches, get, &settings_path(matches)?),
        ["explain", id] => show(matches, get, &format!("/v1/decisions/{id}")),
        ["histograms"] => show(matches, get, "/v1/histograms"),
        ["upstreams"] => show(matches, get, "/v1/upstreams"),
        ["quarantine"] => show(matches, get, "/v1/quarantine"),
        ["release", digest] => {
            show(matches, http::Method::POST, &format!("/v1/quarantine/{digest}/release"))
        }
        ["drain"] => show(matches, http::Method::POST, "/v1/drain"),
        [] => Err(CommandError::Usage("a command is missing".to_owned())),
        other => Err(CommandError::Usage(format!("'{}' is not a command", other.join(" ")))),
    }
}

fn settings_path(matches: &getopts::Matches) -> Result<String, CommandError> {
    let (customer, application) = (matches.opt_str("customer"), matches.opt_str("application"));
    match (customer, application) {
        (None, None) => Ok("/v1/settings".to_owned()),
        (Some(customer), Some(application)) => {
            let prompt = matches.opt_str("prompt").unwrap_or_else(|| "0".to_owned());
            let query = format!("customer={customer}&application={application}&prompt={prompt}");
            Ok(format!("/v1/settings?{query}"))
        }
        _ => Err(CommandError::Usage("--customer and --application go together".to_owned())),
    }
}

fn show(matches: &getopts::Matches, method: http::Method, path: &str) -> Result<(), CommandError> {
    let value = question::ask(address(matches)?, method, path).map_err(failed)?;
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string_pretty(&value).unwrap_or_default());
    } else {
        print!("{}", table::render(&value));
    }
    Ok(())
}

fn address(matches: &getopts::Matches) -> Result<net::SocketAddr, CommandError> {
    if let Some(text) = matches.opt_str("address") {
        let fault = |_| CommandError::Usage(format!("--address: found '{text}', expected IP:PORT"));
        return text.parse().map_err(fault);
    }
    let Some(file) = matches.opt_str("settings") else {
        return Err(CommandError::Usage("--address or --settings is needed".to_owned()));
    };
    let local = local_settings::LocalSettings::load(path::Path::new(&file)).map_err(failed)?;
    Ok(local.listen.operators)
}

fn failed(error: impl ToString) -> CommandError {
    CommandError::Failed(error.to_string())
}
