//! Calls a program as a person does; shared by the tests of all programs.

#![allow(dead_code, missing_docs, unreachable_pub, clippy::unwrap_used)]

use std::{fs, path, process};

/// Exit code, and all that was said.
pub fn run(program: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let output = process::Command::new(program).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// `--help` and `--version` exit 0, wrong usage exits 2.
pub fn check_usage(program: &str) {
    assert_eq!(run(program, &["--help"]).0, Some(0));
    let (code, text) = run(program, &["--version"]);
    assert_eq!(code, Some(0));
    let name = path::Path::new(program).file_name().unwrap().to_str().unwrap();
    assert!(text.starts_with(&format!("{name} ")), "{text}");
    assert_eq!(run(program, &["--no-such-option"]).0, Some(2));
    assert_eq!(run(program, &[]).0, Some(2));
}

const GOOD: &str = "instance: instance-1\ndata_center: dc-1\nlisten: {callers: '127.0.0.1:1', \
                    operators: '127.0.0.1:2', scheduler: '127.0.0.1:3'}\nplatform: ['127.0.0.1:4']\n";

/// A server checks its settings file without serving, and names what is wrong with it.
pub fn check_settings(program: &str, folder: &str) {
    let file = |name: &str, text: &str| {
        let file = path::Path::new(folder).join(format!("{name}.yaml"));
        fs::write(&file, text).unwrap();
        file.to_str().unwrap().to_owned()
    };
    let good = file("good", GOOD);
    assert_eq!(run(program, &["-s", &good, "--check"]), (Some(0), format!("{good}: valid\n")));
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
        let (code, said) = run(program, &["-s", &bad, "--check"]);
        assert_eq!(code, Some(1), "{name}");
        assert!(said.contains(fault), "{name}: {said}");
    }
    assert_eq!(run(program, &["-s", "no-such-file.yaml", "--check"]).0, Some(1));
}
