//! Budget for placement attempts at several cells of a service. A cell is a subset of the service's engines with a
//! planner of its own.
//!
//! A request refused by one cell may find capacity in another. But under overload all cells refuse, and trying every
//! cell would multiply the messages by their number. So two cells are always tried, and further ones draw on a budget
//! that grows with each request.

/// Number of cells that each request may try without drawing on the budget.
const FREE_CELLS: usize = 2;
/// Number of cell attempts beyond [`FREE_CELLS`] that each new request adds to the budget.
const BUDGET_PER_REQUEST: f64 = 0.25;
/// Largest number of cell attempts in the budget; also the number at the start.
const MAX_BUDGET: f64 = 24.0;

/// The search budget of an instance, shared by all its requests.
#[derive(Debug)]
pub struct SearchBudget {
    /// Number of cell attempts beyond [`FREE_CELLS`] that the requests may still make.
    available: f64,
}

impl Default for SearchBudget {
    fn default() -> Self {
        Self { available: MAX_BUDGET }
    }
}

impl SearchBudget {
    /// Adds the budget for a new request.
    pub fn note_request(&mut self) {
        self.available = (self.available + BUDGET_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Whether a request that `refused` cells have refused may try another one; if so, draws on the budget.
    pub fn take(&mut self, refused: usize) -> bool {
        if refused < FREE_CELLS {
            return true;
        }
        let is_available = self.available >= 1.0;
        self.available -= f64::from(u8::from(is_available));
        is_available
    }
}
