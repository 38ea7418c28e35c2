//! The dense faults (those that follow each other closely and overlap) in the first part of a plan
//! stay the same when other kinds of faults are added, so that seeds that once exposed a fault keep
//! exposing it.
//!
//! Each file in `dense_plans` is named after its seed and lists the faults of the first part.

use std::{fs, path, time};

use slipturn_soak::fault_plan;

const SIZE: fault_plan::PlanSize = fault_plan::PlanSize {
    instances: 4,
    upstreams: 7,
    engines: 4,
    length: time::Duration::from_secs(8),
};

fn dense_faults_stay_the_same(input: &path::Path) -> datatest_stable::Result<()> {
    let seed = input
        .file_stem()
        .and_then(|stem| stem.to_str())
        .ok_or("the file name is not a seed")?
        .parse()?;
    let planned: Vec<_> = fault_plan::plan(seed, SIZE).iter().map(ToString::to_string).collect();
    let mut remaining = planned.iter();
    for line in fs::read_to_string(input)?.lines() {
        if !remaining.any(|planned| planned.trim() == line.trim()) {
            return Err(format!("missing from the plan or out of order: {line}").into());
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = dense_faults_stay_the_same, root = "tests/dense_plans", pattern = r"\.txt$" },
}
