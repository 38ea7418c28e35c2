//! Tests of the command line of `slipturn-standin`: exit codes and error messages.

#![allow(clippy::unwrap_used)]

#[path = "../../net/tests/programs/mod.rs"]
mod programs;

const PROGRAM: &str = env!("CARGO_BIN_EXE_slipturn-standin");

#[test]
fn help_and_version_exit_with_0_and_an_invalid_command_line_with_2() {
    programs::check_usage(PROGRAM);
}
