//! Command line of `slipturn-entry`, which runs [`slipturn_entry::program`].

use std::process;

use slipturn_net::command_line;

const INFO: command_line::ProgramInfo = command_line::ProgramInfo {
    name: "slipturn-entry",
    version: env!("CARGO_PKG_VERSION"),
    arguments: "-s FILE [--check]",
    about: "Takes callers' requests of one slipturn instance and streams engines' answers.",
};

fn main() -> process::ExitCode {
    let local = match command_line::load_server(INFO) {
        Ok(local) => local,
        Err(code) => return code,
    };
    command_line::serve(INFO, local, slipturn_entry::program::run)
}
