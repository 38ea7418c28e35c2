//! Tests of the command line of `slipturnctl`: exit codes, error messages and tables.

#![allow(clippy::unwrap_used)]

#[path = "../../net/tests/programs/mod.rs"]
mod programs;

const PROGRAM: &str = env!("CARGO_BIN_EXE_slipturnctl");

#[test]
fn help_and_version_exit_with_0_and_an_invalid_command_line_with_2() {
    programs::check_usage(PROGRAM);
}

#[test]
fn an_invalid_document_or_an_unreachable_instance_is_reported() {
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("tree.yaml");
    std::fs::write(&file, "version: 3\n").unwrap();
    let name = file.to_str().unwrap();
    assert_eq!(
        programs::run(PROGRAM, &["check", name]),
        (Some(0), format!("{name}: valid, version 3\n"))
    );
    std::fs::write(&file, "version: 3\nfleet: {candidates: 99}\n").unwrap();
    let (code, output) = programs::run(PROGRAM, &["check", name]);
    assert_eq!(code, Some(1));
    assert!(output.contains("fleet.candidates: found 99, expected 1 to 16"), "{output}");
    let (code, output) = programs::run(PROGRAM, &["-a", "127.0.0.1:1", "status"]);
    assert_eq!(code, Some(1));
    assert!(output.contains("cannot connect to 127.0.0.1:1"), "{output}");
    assert_eq!(programs::run(PROGRAM, &["-a", "here", "status"]).0, Some(2));
    assert_eq!(
        programs::run(PROGRAM, &["-a", "127.0.0.1:1", "-c", "bluebonnet", "settings"]).0,
        Some(2)
    );
}

#[test]
fn objects_are_rendered_as_lines_and_lists_of_objects_as_tables() {
    let value = serde_json::json!({
        "entry": { "ready": true, "note": null },
        "engines": [{ "engine": "a", "free": 10 }, { "engine": "longer", "free": 9 }],
        "notes": [],
    });
    let expected =
        "engines:\n  engine  free\n  a       10\n  longer  9\nentry:\n  ready: true\nnotes: []\n";
    assert_eq!(slipturnctl::table::render(&value), expected);
}
