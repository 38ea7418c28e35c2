//! `slipturn-standin`: one stand-in a process.

use std::{net, process, time};

use slipturn_net::{command_line, http_client, process as own_process};
use slipturn_standin::{engine, engine_model, platform, service};

const INFO: command_line::ProgramInfo = command_line::ProgramInfo {
    name: "slipturn-standin",
    version: env!("CARGO_PKG_VERSION"),
    arguments: "engine|service|platform --listen ADDRESS [options]\n       \
                slipturn-standin publish NAME NUMBER FILE --to ADDRESS",
    about: "Stands in for an engine, a plain service or the platform, in tests only.",
};

fn main() -> process::ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("l", "listen", "address to listen on", "ADDRESS");
    options.optopt("", "memory", "engine: memory in tokens (default 400000)", "N");
    options.optopt("", "prefill", "engine: prompt tokens a second (default 100000)", "N");
    options.optopt("", "token-ms", "engine: time between tokens when idle (default 10)", "MS");
    options.optopt("", "to", "publish: the platform stand-in's address", "ADDRESS");
    options.optflag("", "checks-keys", "service: refuse a key it has seen");
    let matches = match command_line::parse(INFO, options) {
        command_line::ParsedLine::Run(matches) => matches,
        command_line::ParsedLine::Leave(code) => return process::ExitCode::from(code),
    };
    match run(&matches) {
        Ok(()) => process::ExitCode::from(command_line::EXIT_GOOD),
        Err(text) => {
            eprintln!("{}: {text}", INFO.name);
            process::ExitCode::from(command_line::EXIT_USAGE)
        }
    }
}

fn run(matches: &getopts::Matches) -> Result<(), String> {
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    if let ["publish", name, document, file] = words.as_slice() {
        let text = std::fs::read(file).map_err(|error| format!("{file}: {error}"))?;
        return publish(number(matches, "to", None)?, name, document, text.into());
    }
    serve(matches)
}

/// Publishes a document, waiting a little for the platform to come up.
fn publish(
    address: net::SocketAddr,
    name: &str,
    document: &str,
    text: bytes::Bytes,
) -> Result<(), String> {
    /// Tries, a tenth of a second apart.
    const TRIES: usize = 100;
    let path = format!("/documents/{name}?number={document}");
    let publishing = async {
        let pool = http_client::ConnectionPool::default();
        for _ in 0..TRIES {
            let mut call = http::Request::new(text.clone());
            *call.method_mut() = http::Method::PUT;
            *call.uri_mut() = path.parse().unwrap_or_default();
            let fresh = http_client::ConnectionUse::Fresh;
            if let Ok(answer) = pool.call_whole(address, fresh, call, 1 << 16).await {
                return answer.status().is_success();
            }
            monoio::time::sleep(time::Duration::from_millis(100)).await;
        }
        false
    };
    match own_process::run(publishing) {
        Ok(true) => Ok(()),
        Ok(false) => Err(format!("the platform at {address} did not take {name}")),
        Err(error) => Err(error.to_string()),
    }
}

fn serve(matches: &getopts::Matches) -> Result<(), String> {
    let address: net::SocketAddr = number(matches, "listen", None)?;
    let shape = engine_model::EngineShape {
        memory: number(matches, "memory", Some(400_000))?,
        prefill_rate: number(matches, "prefill", Some(100_000.0))?,
        token_time: time::Duration::from_millis(number(matches, "token-ms", Some(10))?),
        batch_knee: 64.0,
    };
    let checks_keys = matches.opt_present("checks-keys");
    let kind = matches.free.first().map(String::as_str).unwrap_or_default().to_owned();
    let serving = async move {
        let listener = own_process::listen(address).map_err(|error| error.to_string())?;
        match kind.as_str() {
            "engine" => engine::run(listener, shape).await,
            "service" => service::run(listener, checks_keys).await,
            "platform" => platform::run(listener).await,
            other => {
                return Err(format!("found '{other}', expected engine, service or platform"));
            }
        }
        Ok(())
    };
    own_process::run(serving).map_err(|error| error.to_string())?
}

fn number<T: std::str::FromStr>(
    matches: &getopts::Matches,
    name: &str,
    default: Option<T>,
) -> Result<T, String> {
    match (matches.opt_str(name), default) {
        (Some(text), _) => text.parse().map_err(|_| format!("--{name}: found '{text}'")),
        (None, Some(default)) => Ok(default),
        (None, None) => Err(format!("--{name} is missing")),
    }
}
