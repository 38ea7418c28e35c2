//! Bytes of bodies held by one process, all requests together.

use std::{cell, rc};

use slipturn_core::{refusal, units};

/// The bytes left.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    available: rc::Rc<cell::Cell<u64>>,
}

impl BodyBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: units::ByteCount) -> Self {
        Self { available: rc::Rc::new(cell::Cell::new(limit.0)) }
    }

    /// Takes `bytes` for as long as the hold lives.
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

    /// Bytes not held.
    pub fn available(&self) -> u64 {
        self.available.get()
    }
}

/// Bytes held for one request.
#[derive(Debug)]
pub struct BodyHold {
    budget: BodyBudget,
    bytes: u64,
}

impl BodyHold {
    /// Gives back what a body turned out not to need.
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
