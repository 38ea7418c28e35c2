//! Runs any process of a test fleet: an entry, a scheduler or a stand-in.
//!
//! All of them are one binary, because cargo gives integration tests the paths of the binaries of
//! their own package only.
//!
//! `slipturn-trial entry|scheduler FILE` and `slipturn-trial engine|service|service-checking|
//! platform ADDRESS`.

use std::{net, path, process, time};

use slipturn_net::{local_settings, logging, process as own_process};
use slipturn_standin::{engine, engine_model, platform, service};

fn main() -> process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [role, argument] = arguments.as_slice() else {
        eprintln!("slipturn-trial: expected a role and its argument");
        return process::ExitCode::from(2);
    };
    match run(role, argument) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("slipturn-trial: {message}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(role: &str, argument: &str) -> Result<(), String> {
    match role {
        "entry" | "scheduler" => run_instance(role == "entry", path::Path::new(argument)),
        _ => run_standin(role, argument.parse().map_err(|_| "invalid address".to_owned())?),
    }
}

fn run_instance(is_entry: bool, settings_file: &path::Path) -> Result<(), String> {
    let settings =
        local_settings::LocalSettings::load(settings_file).map_err(|error| error.to_string())?;
    logging::install(&settings.log).map_err(|error| error.to_string())?;
    let run = async move {
        if is_entry {
            slipturn_entry::program::run(settings).await.map_err(|error| error.to_string())
        } else {
            slipturn_scheduler::program::run(settings).await.map_err(|error| error.to_string())
        }
    };
    own_process::run(run).map_err(|error| error.to_string())?
}

fn run_standin(role: &str, address: net::SocketAddr) -> Result<(), String> {
    let parameters = engine_model::EngineParameters {
        memory: 100_000,
        prefill_rate: 200_000.0,
        token_time: time::Duration::from_millis(5),
        doubling_batch_size: 64.0,
    };
    let role = role.to_owned();
    let run = async move {
        let listener = own_process::listen(address).map_err(|error| error.to_string())?;
        match role.as_str() {
            "engine" => engine::run(listener, parameters).await,
            "service" => service::run(listener, false).await,
            "service-checking" => service::run(listener, true).await,
            "platform" => platform::run(listener).await,
            other => return Err(format!("unknown role '{other}'")),
        }
        Ok(())
    };
    own_process::run(run).map_err(|error| error.to_string())?
}
