//! Budget for the search of a place over several cells of engines.
//!
//! A request refused by one cell may find room in another, but in a flood all refuse, and an exhaustive search would
//! multiply the messages by the number of cells. Two cells are always tried; further ones draw on a budget that fills
//! with the requests.

/// Cells tried without drawing on the budget.
const FREE_CELLS: usize = 2;
/// Budget added by each request.
const BUDGET_PER_REQUEST: f64 = 0.25;
/// Largest budget.
const MAX_BUDGET: f64 = 24.0;

/// The search budget of an instance.
#[derive(Debug)]
pub struct SearchBudget {
    available: f64,
}

impl Default for SearchBudget {
    fn default() -> Self {
        Self { available: MAX_BUDGET }
    }
}

impl SearchBudget {
    /// Adds the budget of a request.
    pub fn note_request(&mut self) {
        self.available = (self.available + BUDGET_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Whether a request that was refused by this number of cells tries another one; draws on the budget.
    pub fn take(&mut self, refused: usize) -> bool {
        if refused < FREE_CELLS {
            return true;
        }
        let has_room = self.available >= 1.0;
        self.available -= f64::from(u8::from(has_room));
        has_room
    }
}
