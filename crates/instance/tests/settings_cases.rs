//! Settings files of instances. Each case is a folder with a settings file `input.yaml` and a file `expected`, which
//! contains `valid` or a part of the error message.

use std::{fs, path};

use slipturn_instance::instance_settings::InstanceSettings;

fn check(input: &path::Path) -> datatest_stable::Result<()> {
    let expected = fs::read_to_string(input.with_file_name("expected"))?;
    let outcome = match InstanceSettings::load(input) {
        Ok(_) => "valid".to_owned(),
        Err(error) => error.to_string(),
    };
    if outcome.contains(expected.trim()) {
        return Ok(());
    }
    Err(format!("expected {:?} in {outcome:?}", expected.trim()).into())
}

datatest_stable::harness! {
    { test = check, root = "tests/settings_cases", pattern = r"input\.yaml$" },
}
