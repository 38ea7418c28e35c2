//! Instances' settings files, a folder a case: `input.yaml` and what is said of it.

use std::{fs, path};

use slipturn_instance::instance_settings::InstanceSettings;

fn check(input: &path::Path) -> datatest_stable::Result<()> {
    let expected = fs::read_to_string(input.with_file_name("expected"))?;
    let said = match InstanceSettings::load(input) {
        Ok(_) => "valid".to_owned(),
        Err(error) => error.to_string(),
    };
    if said.contains(expected.trim()) {
        return Ok(());
    }
    Err(format!("expected {:?} in {said:?}", expected.trim()).into())
}

datatest_stable::harness! {
    { test = check, root = "tests/settings_cases", pattern = r"input\.yaml$" },
}
