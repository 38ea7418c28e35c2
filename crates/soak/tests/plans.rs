//! Plans: a seed decides all, and scenes leave time for what is judged.

use std::time;

use slipturn_soak::{
    contact_plan,
    fault_plan::{self, Fault},
};

const SIZE: fault_plan::PlanSize = fault_plan::PlanSize {
    instances: 4,
    upstreams: 7,
    engines: 4,
    length: time::Duration::from_secs(8),
};
/// Seeds that are looked at.
const SEEDS: std::ops::Range<u64> = 0..100;

#[test]
fn a_seed_decides_the_plan() {
    for seed in SEEDS {
        assert_eq!(fault_plan::plan(seed, SIZE), fault_plan::plan(seed, SIZE));
    }
}

#[test]
fn plans_are_in_order_and_end_in_time() {
    let end = SIZE.length + contact_plan::scenes_length(SIZE);
    for plan in SEEDS.map(|seed| fault_plan::plan(seed, SIZE)) {
        assert!(plan.is_sorted_by_key(|planned| planned.at));
        let last = plan.iter().filter(|planned| planned.at >= SIZE.length);
        assert!(last.clone().all(|planned| planned.at + planned.length < end));
        assert!(last.clone().any(|planned| planned.fault == Fault::Publish));
        assert!(last.clone().any(|planned| matches!(planned.fault, Fault::Leave(_))));
    }
}

#[test]
fn plans_of_earlier_seeds_have_no_restarts_and_later_ones_have() {
    let odd = |planned: &fault_plan::PlannedFault| {
        matches!(planned.fault, Fault::Restart(_) | Fault::Overwrite(_) | Fault::Litter(_))
    };
    for seed in SEEDS {
        assert!(!fault_plan::plan(seed, SIZE).iter().any(odd));
        assert!(fault_plan::plan(seed + 20_000, SIZE).iter().any(odd));
    }
}
