//! Cells asked for a place: enough where few are full, a bounded number where all are.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slipturn_core::search_budget::SearchBudget;

const REQUESTS: usize = 2_000;

/// Requests refused of those sent, and cells asked for each, where so many of ten cells are full.
fn played(full: usize, budget: impl Fn(&mut SearchBudget, usize) -> bool) -> (f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut own = SearchBudget::default();
    let (mut refused, mut asked) = (0_usize, 0_usize);
    for _ in 0..REQUESTS {
        own.note_request();
        let mut left: Vec<_> = (0..10).collect();
        let mut tried = 0;
        let placed = loop {
            if left.is_empty() || !budget(&mut own, tried) {
                break false;
            }
            let cell = left.swap_remove(random.random_range(0..left.len()));
            tried += 1;
            asked += 1;
            if cell >= full {
                break true;
            }
        };
        refused += usize::from(!placed);
    }
    (refused as f64 / REQUESTS as f64, asked as f64 / REQUESTS as f64)
}

/// The same with a fixed number of cells, as it was, is there to compare with.
#[test]
fn a_request_is_refused_where_all_cells_refuse_it() {
    for full in [1, 3, 5, 8, 10] {
        let (refused, asked) = played(full, SearchBudget::take);
        let (fixed, fixed_asked) = played(full, |_, tried| tried < 2);
        println!(
            "{full} of 10 full: refused {refused:.3} ({fixed:.3}), asked {asked:.2} ({fixed_asked:.2})"
        );
        assert!(refused <= fixed, "{full}: {refused}");
        assert!(asked <= 2.3, "{full}: {asked} cells asked each");
    }
    assert!(played(3, SearchBudget::take).0 <= 0.005, "few are full");
}
