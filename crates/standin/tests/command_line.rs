//! The command line of `slipturn-standin`: exit codes and faults in words.

#![allow(clippy::unwrap_used)]

use std::process;

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = process::Command::new(env!("CARGO_BIN_EXE_slipturn-standin"))
        .args(arguments)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[test]
fn help_and_version_are_good_and_wrong_usage_is_two() {
    assert_eq!(run(&["--help"]).0, Some(0));
    assert_eq!(run(&["--version"]).0, Some(0));
    assert_eq!(run(&["--no-such-option"]).0, Some(2));
    assert_eq!(run(&[]).0, Some(2));
}
