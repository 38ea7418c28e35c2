//! The command line of `slipturn-load`: exit codes and faults in words.

#![allow(clippy::unwrap_used)]

use std::process;

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = process::Command::new(env!("CARGO_BIN_EXE_slipturn-load"))
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

#[test]
fn a_settings_file_stands_behind_the_command_line() {
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("load.yaml");
    let name = file.to_str().unwrap();
    std::fs::write(&file, "targets: ['127.0.0.1:1']\nkeys: [a]\nseconds: 0\nrate: 5.5\n").unwrap();
    let (code, said) = run(&["-s", name]);
    assert_eq!(code, Some(0), "{said}");
    assert!(said.starts_with("0 requests"), "{said}");
    let (code, said) = run(&["-s", name, "--rate", "fast"]);
    assert_eq!(code, Some(2));
    assert!(said.contains("rate: found 'fast'"), "{said}");
    std::fs::write(&file, "speed: 9\n").unwrap();
    let (code, said) = run(&["-s", name]);
    assert_eq!(code, Some(2));
    assert!(said.contains("speed: found an unknown option"), "{said}");
}
