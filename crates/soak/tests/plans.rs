//! Plans are determined by their seed, are in order of time and end within the run.

use std::time;

use slipturn_soak::{
    contact_plan,
    fault_plan::{self, Fault},
    return_plan,
};

const SIZE: fault_plan::PlanSize = fault_plan::PlanSize {
    instances: 4,
    upstreams: 7,
    engines: 4,
    length: time::Duration::from_secs(8),
};
/// Seeds whose plans are checked.
const SEEDS: std::ops::Range<u64> = 0..100;

#[test]
fn the_same_seed_yields_the_same_plan() {
    for seed in SEEDS {
        assert_eq!(fault_plan::plan(seed, SIZE), fault_plan::plan(seed, SIZE));
    }
}

#[test]
fn plans_are_in_order_of_time_and_end_within_the_run() {
    let end = SIZE.length + contact_plan::scenes_length(SIZE);
    for plan in SEEDS.map(|seed| fault_plan::plan(seed, SIZE)) {
        assert!(plan.is_sorted_by_key(|planned| planned.at));
        let second_part = plan.iter().filter(|planned| planned.at >= SIZE.length);
        assert!(second_part.clone().all(|planned| planned.at + planned.length < end));
        assert!(second_part.clone().any(|planned| planned.fault == Fault::Publish));
        assert!(second_part.clone().any(|planned| matches!(planned.fault, Fault::Leave(_))));
    }
}

#[test]
fn restarts_and_invalid_entries_are_planned_only_from_seed_20000_on() {
    let is_entry_fault = |planned: &fault_plan::PlannedFault| {
        matches!(planned.fault, Fault::Restart(_) | Fault::Overwrite(_) | Fault::Litter(_))
    };
    for seed in SEEDS {
        assert!(!fault_plan::plan(seed, SIZE).iter().any(is_entry_fault));
        assert!(fault_plan::plan(seed + 20_000, SIZE).iter().any(is_entry_fault));
    }
}

#[test]
fn partitions_are_planned_only_from_seed_80000_on() {
    let is_partition =
        |planned: &fault_plan::PlannedFault| matches!(planned.fault, Fault::Partition(..));
    for seed in SEEDS {
        assert!(!fault_plan::plan(seed + 79_900, SIZE).iter().any(is_partition));
        assert!(fault_plan::plan(seed + 80_000, SIZE).iter().any(is_partition));
    }
}

#[test]
fn slow_engines_are_planned_only_for_a_part_of_the_seeds_from_100000_on() {
    let is_slow = |planned: &fault_plan::PlannedFault| matches!(planned.fault, Fault::Slow(..));
    let has_slow = |seed: &u64| fault_plan::plan(*seed, SIZE).iter().any(is_slow);
    assert_eq!(SEEDS.map(|seed| seed + 99_900).filter(has_slow).count(), 0);
    let with_speed = SEEDS.map(|seed| seed + 100_000).filter(has_slow).count();
    assert!((30..=70).contains(&with_speed), "{with_speed} of 100 seeds");
}

#[test]
fn streams_without_a_length_are_planned_only_from_seed_90000_on() {
    let is_unframed =
        |planned: &fault_plan::PlannedFault| matches!(planned.fault, Fault::Unframed(_));
    for seed in SEEDS {
        assert!(!fault_plan::plan(seed + 89_900, SIZE).iter().any(is_unframed));
        assert!(fault_plan::plan(seed + 90_000, SIZE).iter().any(is_unframed));
    }
}

#[test]
fn losses_of_power_of_all_upstreams_are_planned_only_from_the_first_seed_of_their_plan_on() {
    let is_return_fault = |planned: &fault_plan::PlannedFault| {
        matches!(planned.fault, Fault::PowerLoss(_) | Fault::CrashUnframed(..))
    };
    for seed in SEEDS {
        let first = return_plan::FIRST_SEED;
        assert!(!fault_plan::plan(first - 1 - seed, SIZE).iter().any(is_return_fault));
        assert!(fault_plan::plan(first + seed, SIZE).iter().any(is_return_fault));
    }
}

#[test]
fn limits_of_reads_begin_with_the_loss_of_power_that_they_follow() {
    let plans = SEEDS.map(|seed| fault_plan::plan(return_plan::FIRST_SEED + seed, SIZE));
    for plan in plans {
        let limited_losses = plan.iter().filter(|loss| {
            matches!(loss.fault, Fault::PowerLoss(Some(limit)) if !plan.iter().any(|planned| {
                planned.fault == Fault::LimitReads(limit) && planned.at == loss.at && planned.length > loss.length
            }))
        });
        assert_eq!(limited_losses.count(), 0);
    }
}
