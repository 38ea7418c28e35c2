//! Number of cells (groups of engines with one planner each) that requests try: enough if few cells are full, and
//! bounded if all cells are full.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_core::search_budget::SearchBudget;

const REQUESTS: usize = 2_000;

/// Simulates requests to ten cells of which `full` refuse everything. Returns the fraction of requests refused and the
/// mean number of cells tried.
fn simulate(full: usize, may_try: impl Fn(&mut SearchBudget, usize) -> bool) -> (f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut budget = SearchBudget::default();
    let (mut refused, mut total_tried) = (0_usize, 0_usize);
    for _ in 0..REQUESTS {
        budget.note_request();
        let mut left: Vec<_> = (0..10).collect();
        let mut tried = 0;
        let placed = loop {
            if left.is_empty() || !may_try(&mut budget, tried) {
                break false;
            }
            let cell = left.swap_remove(random.random_range(0..left.len()));
            tried += 1;
            total_tried += 1;
            if cell >= full {
                break true;
            }
        };
        refused += usize::from(!placed);
    }
    (refused as f64 / REQUESTS as f64, total_tried as f64 / REQUESTS as f64)
}

/// Compares [`SearchBudget`], which allows requests more than two cells while most requests need few, with a fixed
/// limit of two cells per request.
#[test]
fn no_more_requests_are_refused_than_with_a_fixed_number_of_cells() {
    for full in [1, 3, 5, 8, 10] {
        let (refused, mean_tried) = simulate(full, SearchBudget::take);
        let (fixed, fixed_mean_tried) = simulate(full, |_, tried| tried < 2);
        println!(
            "{full} of 10 full: refused {refused:.3} ({fixed:.3}), tried {mean_tried:.2} ({fixed_mean_tried:.2})"
        );
        assert!(refused <= fixed, "{full}: {refused}");
        assert!(mean_tried <= 2.3, "{full}: {mean_tried} cells tried per request");
    }
    assert!(
        simulate(3, SearchBudget::take).0 <= 0.005,
        "with few full cells, almost no request is refused"
    );
}
