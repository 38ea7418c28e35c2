//! Tests of the command line of `slipturn-load`: exit codes and error messages.

#![allow(clippy::unwrap_used)]

#[path = "../../net/tests/programs/mod.rs"]
mod programs;

const PROGRAM: &str = env!("CARGO_BIN_EXE_slipturn-load");

#[test]
fn help_and_version_exit_zero_and_usage_errors_exit_two() {
    programs::check_usage(PROGRAM);
}

#[test]
fn a_settings_file_stands_behind_the_command_line() {
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("load.yaml");
    let name = file.to_str().unwrap();
    std::fs::write(&file, "targets: ['127.0.0.1:1']\nkeys: [a]\nseconds: 0\nrate: 5.5\n").unwrap();
    let (code, said) = programs::run(PROGRAM, &["-s", name]);
    assert_eq!(code, Some(0), "{said}");
    assert!(said.starts_with("0 requests"), "{said}");
    let (code, said) = programs::run(PROGRAM, &["-s", name, "--rate", "fast"]);
    assert_eq!(code, Some(2));
    assert!(said.contains("rate: found 'fast'"), "{said}");
    std::fs::write(&file, "speed: 9\n").unwrap();
    let (code, said) = programs::run(PROGRAM, &["-s", name]);
    assert_eq!(code, Some(2));
    assert!(said.contains("speed: found an unknown option"), "{said}");
}
