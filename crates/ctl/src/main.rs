//! Command-line tool for operators: sends requests to an instance or validates a settings document.

use std::{net, path, process};

use slipturn_net::{command_line, local_settings};
use slipturnctl::{commands, table};

const INFO: command_line::ProgramInfo = command_line::ProgramInfo {
    name: "slipturnctl",
    version: env!("CARGO_PKG_VERSION"),
    arguments: "[options] check FILE | status | settings | explain ID | histograms | quarantine | release DIGEST|part:ID | upstreams | shares | share CUSTOMER FACTOR [MINUTES] | drain",
    about: "Asks an instance of slipturn, or checks a settings document before it is published.",
};

/// Error of the program. The variants have different exit codes.
enum CliError {
    /// The command line is invalid; the exit code is [`command_line::EXIT_USAGE`].
    Usage(String),
    /// The command failed; the exit code is [`command_line::EXIT_FAILURE`].
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
        Err(CliError::Failed(text)) => command_line::fail(INFO, &text),
        Err(CliError::Usage(text)) => {
            eprintln!("{}: {text}\nTry '{} --help'.", INFO.name, INFO.name);
            process::ExitCode::from(command_line::EXIT_USAGE)
        }
    }
}

fn run(matches: &getopts::Matches) -> Result<(), CliError> {
    let arguments: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let get = http::Method::GET;
    match arguments.as_slice() {
        ["check", file] => {
            let version = commands::check_settings(path::Path::new(file)).map_err(failed)?;
            println!("{file}: valid, version {version}");
            Ok(())
        }
        ["status"] => show(matches, get, "/v1/status"),
        ["settings"] => show(matches, get, &settings_path(matches)?),
        ["explain", id] => show(matches, get, &format!("/v1/decisions/{id}")),
        ["histograms"] => show(matches, get, "/v1/histograms"),
        ["upstreams"] => show(matches, get, "/v1/upstreams"),
        ["shares"] => show(matches, get, "/v1/shares"),
        ["quarantine"] => show(matches, get, "/v1/quarantine"),
        ["release", digest] => {
            show(matches, http::Method::POST, &format!("/v1/quarantine/{digest}/release"))
        }
        ["share", customer, factor] => {
            show(matches, http::Method::POST, &format!("/v1/shares/{customer}/{factor}"))
        }
        ["share", customer, factor, minutes] => {
            show(matches, http::Method::POST, &format!("/v1/shares/{customer}/{factor}/{minutes}"))
        }
        ["drain"] => show(matches, http::Method::POST, "/v1/drain"),
        [] => Err(CliError::Usage("a command is missing".to_owned())),
        other => Err(CliError::Usage(format!("'{}' is not a command", other.join(" ")))),
    }
}

/// Returns the path at which an entry serves the resolved settings of a customer's application.
/// Without `--customer` and `--application` the path has no query, and the entry lists the
/// applications of all customers.
fn settings_path(matches: &getopts::Matches) -> Result<String, CliError> {
    let (customer, application) = (matches.opt_str("customer"), matches.opt_str("application"));
    match (customer, application) {
        (None, None) => Ok("/v1/settings".to_owned()),
        (Some(customer), Some(application)) => {
            let prompt = matches.opt_str("prompt").unwrap_or_else(|| "0".to_owned());
            let query = format!("customer={customer}&application={application}&prompt={prompt}");
            Ok(format!("/v1/settings?{query}"))
        }
        _ => Err(CliError::Usage("--customer and --application go together".to_owned())),
    }
}

/// Sends a request to the instance and prints the result as a table or as JSON.
fn show(matches: &getopts::Matches, method: http::Method, path: &str) -> Result<(), CliError> {
    let value = commands::call_instance(address(matches)?, method, path).map_err(failed)?;
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string_pretty(&value).unwrap_or_default());
    } else {
        print!("{}", table::render(&value));
    }
    Ok(())
}

/// Returns the instance's address for operators from `--address` or from the local settings file.
fn address(matches: &getopts::Matches) -> Result<net::SocketAddr, CliError> {
    if let Some(text) = matches.opt_str("address") {
        let invalid = |_| CliError::Usage(format!("--address: found '{text}', expected IP:PORT"));
        return text.parse().map_err(invalid);
    }
    let Some(file) = matches.opt_str("settings") else {
        return Err(CliError::Usage("--address or --settings is needed".to_owned()));
    };
    let local = local_settings::LocalSettings::load(path::Path::new(&file)).map_err(failed)?;
    Ok(local.listen.operators)
}

fn failed(error: impl ToString) -> CliError {
    CliError::Failed(error.to_string())
}
