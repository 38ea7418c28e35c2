//! The command line of `slipturn-scheduler`: exit codes, and faults in words.

#![allow(clippy::unwrap_used)]

#[path = "../../net/tests/programs/mod.rs"]
mod programs;

const PROGRAM: &str = env!("CARGO_BIN_EXE_slipturn-scheduler");

#[test]
fn help_and_version_are_good_and_wrong_usage_is_two() {
    programs::check_usage(PROGRAM);
}

#[test]
fn a_settings_file_is_checked_without_serving() {
    programs::check_settings(PROGRAM, env!("CARGO_TARGET_TMPDIR"));
}
