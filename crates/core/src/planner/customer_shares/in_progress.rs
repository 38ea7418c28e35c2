//! Limits customers by their work in progress.

use crate::{ids, planner::customer_shares, units};

/// Uses the work in progress as it is. It has no state of its own, so a planner that has taken over the placements of
/// another one decides as its predecessor did.
#[derive(Debug)]
pub(super) struct InProgressLimiter;

impl customer_shares::ShareLimiter for InProgressLimiter {
    fn note_grant(
        &mut self,
        _now: units::MonoTime,
        _pool: customer_shares::CapacityPool,
        _customer: &ids::CustomerId,
        _work_ms: f64,
    ) {
    }

    fn usage(
        &self,
        _now: units::MonoTime,
        _pool: customer_shares::CapacityPool,
        held: customer_shares::EnginesByCustomer,
    ) -> customer_shares::EnginesByCustomer {
        held
    }
}
