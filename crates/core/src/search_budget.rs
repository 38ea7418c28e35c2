//! Budget for the search of a place over several cells of engines.
//!
//! A request refused by one cell may find room in another, but in a flood all refuse, and an exhaustive search would
//! multiply the messages by the number of cells. Two cells are always tried; further ones draw on a budget that fills
//! with the requests.

/// Cells tried without drawing on the budget.
const FREE_CELLS: usize = 2;
/// Budget added by each request.
const EXTRA_EACH: f64 = 0.25;
/// Largest budget.
const EXTRA_MOST: f64 = 24.0;

/// The search budget of an instance.
#[derive(Debug)]
pub struct SearchBudget {
    extra: f64,
}

impl Default for SearchBudget {
    fn default() -> Self {
        Self { extra: EXTRA_MOST }
    }
}

impl SearchBudget {
    /// Adds the budget of a request.
    pub fn note_request(&mut self) {
        self.extra = (self.extra + EXTRA_EACH).min(EXTRA_MOST);
    }

    /// Whether a request that was refused by this number of cells tries another one; draws on the budget.
    pub fn take(&mut self, refused: usize) -> bool {
        if refused < FREE_CELLS {
            return true;
        }
        let has_room = self.extra >= 1.0;
        self.extra -= f64::from(u8::from(has_room));
        has_room
    }
}
