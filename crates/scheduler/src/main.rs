//! The `slipturn-scheduler` program; the `slipturn_scheduler` library implements it.

use std::process;

use slipturn_net::command_line;

const INFO: command_line::ProgramInfo = command_line::ProgramInfo {
    name: "slipturn-scheduler",
    version: env!("CARGO_PKG_VERSION"),
    arguments: "-s FILE [--check]",
    about: "Keeps queues, leases, budgets and votes of one slipturn instance.",
};

fn main() -> process::ExitCode {
    let local = match command_line::load_server(INFO) {
        Ok(local) => local,
        Err(code) => return code,
    };
    command_line::serve(INFO, local, slipturn_scheduler::program::run)
}
