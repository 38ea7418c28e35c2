//! Cells: every engine is in one, all members agree, and none grows without end.

use slipturn_core::{
    ids,
    planner_key::{PlannerKey, cell_count, cell_of},
};

fn service() -> ids::ServiceId {
    "models".parse().expect("a valid name")
}

fn engines(count: usize) -> Vec<ids::UpstreamId> {
    (0..count).map(|number| format!("i-{number:x}").parse().expect("a valid name")).collect()
}

#[test]
fn a_small_service_is_one_cell() {
    assert_eq!([cell_count(0), cell_count(1), cell_count(60)], [1, 1, 1]);
}

#[test]
fn a_large_service_is_split_evenly() {
    let engines = engines(600);
    let cells = cell_count(engines.len());
    let mut sizes = vec![0; usize::from(cells)];
    for engine in &engines {
        sizes[usize::from(cell_of(&service(), engine, cells))] += 1;
    }
    assert!(sizes.iter().all(|size| (50..140).contains(size)), "{sizes:?}");
}

#[test]
fn a_key_tells_its_service_and_cell() {
    let key = PlannerKey { service: service(), cell: 4 };
    assert_eq!(key.to_string(), "models/4");
}
