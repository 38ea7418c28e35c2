//! Runs a program and checks its command line; shared by the tests of all programs.

#![allow(dead_code, missing_docs, unreachable_pub, clippy::unwrap_used)]

use std::{fs, path, process};

/// Runs a program and returns its exit code and its output: standard output, then standard error.
pub fn run(program: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let output = process::Command::new(program).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Checks that `--help` and `--version` exit with 0 and an invalid command line exits with 2.
pub fn check_usage(program: &str) {
    assert_eq!(run(program, &["--help"]).0, Some(0));
    let (code, text) = run(program, &["--version"]);
    assert_eq!(code, Some(0));
    let name = path::Path::new(program).file_name().unwrap().to_str().unwrap();
    assert!(text.starts_with(&format!("{name} ")), "{text}");
    assert_eq!(run(program, &["--no-such-option"]).0, Some(2));
    assert_eq!(run(program, &[]).0, Some(2));
}

/// A valid local settings file.
const VALID_SETTINGS: &str = "instance: instance-1\ndata_center: dc-1\nlisten: {callers: '127.0.0.1:1', \
                    operators: '127.0.0.1:2', scheduler: '127.0.0.1:3'}\nplatform: ['127.0.0.1:4']\n";

/// Checks that `--check` validates a settings file without starting the server, and reports the fault of an
/// invalid file.
pub fn check_settings(program: &str, folder: &str) {
    let file = |name: &str, text: &str| {
        let file = path::Path::new(folder).join(format!("{name}.yaml"));
        fs::write(&file, text).unwrap();
        file.to_str().unwrap().to_owned()
    };
    let valid = file("good", VALID_SETTINGS);
    assert_eq!(run(program, &["-s", &valid, "--check"]), (Some(0), format!("{valid}: valid\n")));
    for (name, text, fault) in [
        ("unknown", format!("{VALID_SETTINGS}colour: red\n"), "unknown field `colour`"),
        ("kind", VALID_SETTINGS.replace("127.0.0.1:3", "here"), "listen.scheduler: "),
        (
            "empty",
            VALID_SETTINGS.replace("['127.0.0.1:4']", "[]"),
            "platform: found [], expected at least one",
        ),
        ("bytes", format!("{VALID_SETTINGS}limits: {{max_body: 1GiB}}\n"), "limits.held_bodies: "),
    ] {
        let invalid = file(name, &text);
        let (code, output) = run(program, &["-s", &invalid, "--check"]);
        assert_eq!(code, Some(1), "{name}");
        assert!(output.contains(fault), "{name}: {output}");
    }
    assert_eq!(run(program, &["-s", "no-such-file.yaml", "--check"]).0, Some(1));
}
