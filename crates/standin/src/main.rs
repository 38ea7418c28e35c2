//! `slipturn-standin`: serves one stand-in, or publishes a document to the platform stand-in.

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

/// Options that can also be set in a settings file.
const OPTIONS: [&str; 6] = ["listen", "memory", "prefill", "token-ms", "to", "checks-keys"];

fn main() -> process::ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("l", "listen", "address to listen on", "ADDRESS");
    options.optopt("", "memory", "engine: memory in tokens (default 400000)", "N");
    options.optopt("", "prefill", "engine: prompt tokens a second (default 100000)", "N");
    options.optopt("", "token-ms", "engine: time between tokens when idle (default 10)", "MS");
    options.optopt("", "to", "publish: the platform stand-in's address", "ADDRESS");
    options.optflag("", "checks-keys", "service: refuse a key it has seen");
    command_line::ToolOptions::declare(&mut options);
    let matches = match command_line::parse(INFO, options) {
        command_line::ParsedArguments::Run(matches) => matches,
        command_line::ParsedArguments::Exit(code) => return process::ExitCode::from(code),
    };
    let options = command_line::ToolOptions::load(matches, &OPTIONS);
    match options.and_then(|options| run(&options)) {
        Ok(()) => process::ExitCode::from(command_line::EXIT_SUCCESS),
        Err(text) => {
            eprintln!("{}: {text}", INFO.name);
            process::ExitCode::from(command_line::EXIT_USAGE)
        }
    }
}

fn run(options: &command_line::ToolOptions) -> Result<(), String> {
    let positional_arguments = options.positional();
    if let ["publish", name, number, file] = positional_arguments.as_slice() {
        let text = std::fs::read(file).map_err(|error| format!("{file}: {error}"))?;
        return publish(address(options, "to")?, name, number, text.into());
    }
    serve(options)
}

/// Publishes a version of a document, and retries while the platform does not respond.
fn publish(
    address: net::SocketAddr,
    name: &str,
    number: &str,
    text: bytes::Bytes,
) -> Result<(), String> {
    /// Number of attempts to publish the document, 100 ms apart.
    const PUBLISH_ATTEMPTS: usize = 100;
    let path = format!("/documents/{name}?number={number}");
    let publishing = async {
        let pool = http_client::ConnectionPool::default();
        for _ in 0..PUBLISH_ATTEMPTS {
            let mut request = http::Request::new(text.clone());
            *request.method_mut() = http::Method::PUT;
            *request.uri_mut() = path.parse().unwrap_or_default();
            let connection_policy = http_client::ConnectionPolicy::Fresh;
            if let Ok(response) =
                pool.call_buffered(address, connection_policy, request, 1 << 16).await
            {
                return response.status().is_success();
            }
            monoio::time::sleep(time::Duration::from_millis(100)).await;
        }
        false
    };
    match own_process::run(publishing) {
        Ok(true) => Ok(()),
        Ok(false) => Err(format!("the platform at {address} did not accept the document {name}")),
        Err(error) => Err(error.to_string()),
    }
}

fn serve(options: &command_line::ToolOptions) -> Result<(), String> {
    let address = address(options, "listen")?;
    let parameters = engine_model::EngineParameters {
        memory: options.value("memory", 400_000)?,
        prefill_rate: options.value("prefill", 100_000.0)?,
        token_time: time::Duration::from_millis(options.value("token-ms", 10)?),
        doubling_batch_size: 64.0,
    };
    let checks_keys = options.flag("checks-keys");
    let kind = options.positional().first().copied().unwrap_or_default().to_owned();
    let serving = async move {
        let listener = own_process::listen(address).map_err(|error| error.to_string())?;
        match kind.as_str() {
            "engine" => engine::run(listener, parameters).await,
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

fn address(options: &command_line::ToolOptions, name: &str) -> Result<net::SocketAddr, String> {
    let text = options.text(name).ok_or_else(|| format!("{name} is missing"))?;
    text.parse().map_err(|_| format!("{name}: found '{text}', expected IP:PORT"))
}
