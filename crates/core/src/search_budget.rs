//! How many cells of engines are asked for a place by requests that others refused.
//!
//! A request that one cell refuses may find room in another. In a flood all refuse, and asking each of them for
//! each request would multiply the questions by the number of cells. So the first two cells are asked in any
//! case, and those beyond as far as a budget goes that fills with the requests.

/// Cells that a request may ask in any case.
const FREE_CELLS: usize = 2;
/// Cells beyond that are asked for each request, in the mean.
const EXTRA_EACH: f64 = 0.25;
/// Cells beyond that may be asked at once.
const EXTRA_MOST: f64 = 24.0;

/// The budget of one instance.
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
    /// Counts a request.
    pub fn note_request(&mut self) {
        self.extra = (self.extra + EXTRA_EACH).min(EXTRA_MOST);
    }

    /// Whether a request that so many cells have refused asks another one; takes that from the budget.
    pub fn take(&mut self, refused: usize) -> bool {
        if refused < FREE_CELLS {
            return true;
        }
        let has_room = self.extra >= 1.0;
        self.extra -= f64::from(u8::from(has_room));
        has_room
    }
}
