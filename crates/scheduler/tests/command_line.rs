//! Tests of the command line of `slipturn-scheduler`: exit codes and error messages.

#![allow(clippy::unwrap_used)]

#[path = "../../net/tests/programs/mod.rs"]
mod programs;

const PROGRAM: &str = env!("CARGO_BIN_EXE_slipturn-scheduler");

#[test]
fn help_and_version_exit_with_0_and_an_invalid_command_line_with_2() {
    programs::check_usage(PROGRAM);
}

#[test]
fn check_option_validates_the_settings_file_without_serving() {
    programs::check_settings(PROGRAM, env!("CARGO_TARGET_TMPDIR"));
}
