//! Assignment of engines to cells (groups of engines with one planner each), and of requests to the planners of cells.

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
fn a_key_is_displayed_as_service_and_cell() {
    let key = PlannerKey { service: service(), cell: 4 };
    assert_eq!(key.to_string(), "models/4");
}

/// The two cells of 150 engines differ in size; with equal shares of the requests, the smaller one would have the
/// higher load.
#[test]
fn cells_get_requests_in_proportion_to_their_engines() {
    let engines = engines(150);
    let names: Vec<_> = engines.iter().collect();
    let cells = cell_count(names.len());
    assert_eq!(cells, 2);
    let size = |cell| names.iter().filter(|name| cell_of(&service(), name, cells) == cell).count();
    let picked = |cell| {
        let keys = (0..150).filter_map(|drawn| pick(&service(), cells, &names, &[], &[], drawn));
        keys.filter(|key| key.cell == cell).count()
    };
    println!("{} and {} engines", size(0), size(1));
    assert_ne!(size(0), size(1));
    assert_eq!((picked(0), picked(1)), (size(0), size(1)));
}

#[test]
fn a_cell_that_refused_is_not_picked_again() {
    let engines = engines(600);
    let names: Vec<_> = engines.iter().collect();
    let cells = cell_count(names.len());
    let mut refused = Vec::new();
    while let Some(key) = pick(&service(), cells, &names, &[], &refused, 17 * refused.len()) {
        assert!(!refused.contains(&key.cell));
        refused.push(key.cell);
    }
    assert_eq!(refused.len(), usize::from(cell_count(600)));
}

#[test]
fn a_service_without_engines_has_one_planner() {
    assert_eq!(
        pick(&service(), 1, &[], &[], &[], 0),
        Some(PlannerKey { service: service(), cell: 0 })
    );
    assert_eq!(pick(&service(), 1, &[], &[], &[0], 0), None);
}

/// A request would never be placed in a cell all of whose engines are closed to it.
#[test]
fn a_cell_that_is_closed_to_a_request_is_not_picked() {
    let engines = engines(150);
    let names: Vec<_> = engines.iter().collect();
    let cells = cell_count(names.len());
    let closed: Vec<_> =
        names.iter().copied().filter(|name| cell_of(&service(), name, cells) == 0).collect();
    for drawn in 0..150 {
        let key = pick(&service(), cells, &names, &closed, &[], drawn).expect("one cell is open");
        assert_eq!(key.cell, 1, "drawn {drawn}");
    }
    assert_eq!(pick(&service(), cells, &names, &names, &[], 0), None, "no cell is open");
}

/// A planner loses the state of an engine that moves to another cell, and a single new engine can add a cell: ten
/// cells hold 960 engines, one more makes an eleventh.
#[test]
fn adding_a_cell_moves_engines_only_to_it() {
    for cells in [1, 2, 10, 21] {
        let engines = engines(96 * usize::from(cells));
        let before = |engine| cell_of(&service(), engine, cells);
        let after = |engine| cell_of(&service(), engine, cells + 1);
        let moved: Vec<_> =
            engines.iter().filter(|engine| before(*engine) != after(*engine)).collect();
        let share = moved.len() as f64 / engines.len() as f64;
        println!("{cells} cells: {share:.3} moved");
        assert!(share <= 1.5 / f64::from(cells + 1), "{cells} cells: {share:.3} moved");
        assert!(
            moved.iter().all(|engine| after(engine) == cells),
            "engines move only to the new cell"
        );
    }
}

/// The largest cell determines the load of one member's planner. Its size must be at most 1.4 times the mean, also with
/// 4,000 engines, more than twice the planned 600.
#[test]
fn cells_are_of_similar_size() {
    for count in [300, 600, 960, 2_000, 4_000] {
        let engines = engines(count);
        let cells = cell_count(count);
        let mut sizes = vec![0_usize; usize::from(cells)];
        engines.iter().for_each(|engine| {
            sizes[usize::from(cell_of(&service(), engine, cells))] += 1;
        });
        let mean = count as f64 / f64::from(cells);
        let largest = sizes.iter().copied().max().unwrap_or_default() as f64;
        println!("{count} engines, {cells} cells: largest / mean {:.2}", largest / mean);
        assert!(largest <= mean * 1.4, "{sizes:?}");
    }
}
