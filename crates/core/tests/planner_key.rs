//! Cells: every engine is in one, all members agree, and none grows without end.

use slipturn_core::{
    ids,
    planner_key::{PlannerKey, cell_count, cell_of, pick},
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

/// Two cells of 150 engines are of unlike size; asked alike, the smaller is the fuller.
#[test]
fn each_cell_is_asked_as_often_as_it_has_engines() {
    let engines = engines(150);
    let names: Vec<_> = engines.iter().collect();
    let cells = cell_count(names.len());
    assert_eq!(cells, 2);
    let size = |cell| names.iter().filter(|name| cell_of(&service(), name, cells) == cell).count();
    let asked = |cell| {
        let keys = (0..150).filter_map(|drawn| pick(&service(), &names, &[], &[], drawn));
        keys.filter(|key| key.cell == cell).count()
    };
    println!("{} and {} engines", size(0), size(1));
    assert_ne!(size(0), size(1));
    assert_eq!((asked(0), asked(1)), (size(0), size(1)));
}

#[test]
fn a_cell_that_refused_is_not_asked_again() {
    let engines = engines(600);
    let names: Vec<_> = engines.iter().collect();
    let mut refused = Vec::new();
    while let Some(key) = pick(&service(), &names, &[], &refused, 17 * refused.len()) {
        assert!(!refused.contains(&key.cell));
        refused.push(key.cell);
    }
    assert_eq!(refused.len(), usize::from(cell_count(600)));
}

#[test]
fn a_service_without_engines_has_one_planner() {
    assert_eq!(
        pick(&service(), &[], &[], &[], 0),
        Some(PlannerKey { service: service(), cell: 0 })
    );
    assert_eq!(pick(&service(), &[], &[], &[0], 0), None);
}

/// A cell all of whose engines are closed to a request would keep it waiting in vain.
#[test]
fn a_cell_that_is_closed_to_a_request_is_not_asked() {
    let engines = engines(150);
    let names: Vec<_> = engines.iter().collect();
    let cells = cell_count(names.len());
    let closed: Vec<_> =
        names.iter().copied().filter(|name| cell_of(&service(), name, cells) == 0).collect();
    for drawn in 0..150 {
        let key = pick(&service(), &names, &closed, &[], drawn).expect("one is open");
        assert_eq!(key.cell, 1, "drawn {drawn}");
    }
    assert_eq!(pick(&service(), &names, &names, &[], 0), None, "none is open");
}
