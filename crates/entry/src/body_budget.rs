//! Limit on the total size of the request bodies that a process holds in memory.

use std::{cell, rc};

use slipturn_core::{refusal, units};

/// Number of bytes of request bodies that can still be held in memory. Clones share one count.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    available: rc::Rc<cell::Cell<u64>>,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes for all requests of the process.
    pub fn new(limit: units::ByteCount) -> Self {
        Self { available: rc::Rc::new(cell::Cell::new(limit.0)) }
    }

    /// Takes `bytes` from the budget until the returned hold is dropped.
    ///
    /// # Errors
    ///
    /// Refuses with `OutOfMemory` if fewer bytes are available.
    pub fn hold(&self, bytes: u64) -> Result<BodyHold, refusal::RequestRefusal> {
        let Some(available) = self.available.get().checked_sub(bytes) else {
            let text = "this instance holds as many bytes of requests as it may";
            let code = refusal::RefusalCode::OutOfMemory;
            let refusal = refusal::RequestRefusal::not_run(code, text);
            return Err(refusal.retry_after(std::time::Duration::from_secs(1)));
        };
        self.available.set(available);
        Ok(BodyHold { budget: self.clone(), bytes })
    }

    /// Number of bytes of the limit that no request holds.
    pub fn available(&self) -> u64 {
        self.available.get()
    }
}

/// Bytes held for one request, returned to the budget on drop.
#[derive(Debug)]
pub struct BodyHold {
    budget: BodyBudget,
    bytes: u64,
}

impl BodyHold {
    /// Reduces the hold to `bytes` once the actual size of the body is known. Never enlarges it.
    pub fn shrink(&mut self, bytes: u64) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.budget.available.set(self.budget.available.get() + surplus);
        self.bytes -= surplus;
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.budget.available.set(self.budget.available.get() + self.bytes);
    }
}
