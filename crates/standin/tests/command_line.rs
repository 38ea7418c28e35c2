//! Tests of the command line of `slipturn-standin`: exit codes and error messages.

#![allow(clippy::unwrap_used)]

#[path = "../../net/tests/programs/mod.rs"]
mod programs;

const PROGRAM: &str = env!("CARGO_BIN_EXE_slipturn-standin");

#[test]
fn help_and_version_exit_zero_and_usage_errors_exit_two() {
    programs::check_usage(PROGRAM);
}
