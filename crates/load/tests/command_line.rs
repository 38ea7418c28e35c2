//! Tests of the command line of `slipturn-load`: exit codes and error messages.

#![allow(clippy::unwrap_used)]

#[path = "../../net/tests/programs/mod.rs"]
mod programs;

const PROGRAM: &str = env!("CARGO_BIN_EXE_slipturn-load");

#[test]
fn help_and_version_exit_with_0_and_an_invalid_command_line_with_2() {
    programs::check_usage(PROGRAM);
}

#[test]
fn command_line_options_override_the_settings_file() {
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("load.yaml");
    let name = file.to_str().unwrap();
    std::fs::write(&file, "targets: ['127.0.0.1:1']\nkeys: [a]\nseconds: 0\nrate: 5.5\n").unwrap();
    let (code, output) = programs::run(PROGRAM, &["-s", name]);
    assert_eq!(code, Some(0), "{output}");
    assert!(output.starts_with("0 requests"), "{output}");
    let (code, output) = programs::run(PROGRAM, &["-s", name, "--rate", "fast"]);
    assert_eq!(code, Some(2));
    assert!(output.contains("rate: found 'fast'"), "{output}");
    std::fs::write(&file, "speed: 9\n").unwrap();
    let (code, output) = programs::run(PROGRAM, &["-s", name]);
    assert_eq!(code, Some(2));
    assert!(output.contains("speed: found an unknown option"), "{output}");
}
