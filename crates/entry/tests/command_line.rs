//! The command line of `slipturn-entry`: exit codes, and what a bad settings file is told.

#![allow(clippy::unwrap_used)]

use std::{fs, path, process};

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = process::Command::new(env!("CARGO_BIN_EXE_slipturn-entry"))
        .args(arguments)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

fn file(name: &str, text: &str) -> String {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("entry-{name}.yaml"));
    fs::write(&file, text).unwrap();
    file.to_str().unwrap().to_owned()
}

const GOOD: &str = "instance: instance-1\ndata_center: dc-1\nlisten: {callers: '127.0.0.1:1', \
                    operators: '127.0.0.1:2', scheduler: '127.0.0.1:3'}\nplatform: ['127.0.0.1:4']\n";

#[test]
fn help_and_version_are_good_and_wrong_usage_is_two() {
    assert_eq!(run(&["--help"]).0, Some(0));
    let (code, text) = run(&["--version"]);
    assert_eq!(code, Some(0));
    assert!(text.starts_with("slipturn-entry "), "{text}");
    assert_eq!(run(&["--no-such-option"]).0, Some(2));
    assert_eq!(run(&[]).0, Some(2));
}

#[test]
fn a_settings_file_is_checked_without_serving() {
    let good = file("good", GOOD);
    assert_eq!(run(&["-s", &good, "--check"]), (Some(0), format!("{good}: valid\n")));
    for (name, text, fault) in [
        ("unknown", format!("{GOOD}colour: red\n"), "unknown field `colour`"),
        ("kind", GOOD.replace("127.0.0.1:3", "here"), "listen.scheduler: "),
        (
            "empty",
            GOOD.replace("['127.0.0.1:4']", "[]"),
            "platform: found [], expected at least one",
        ),
        ("bytes", format!("{GOOD}limits: {{max_body: 1GiB}}\n"), "limits.held_bodies: "),
    ] {
        let bad = file(name, &text);
        let (code, said) = run(&["-s", &bad, "--check"]);
        assert_eq!(code, Some(1), "{name}");
        assert!(said.contains(fault), "{name}: {said}");
    }
    assert_eq!(run(&["-s", "no-such-file.yaml", "--check"]).0, Some(1));
}
