//! Division of scarce capacity among customers: how much engine time each of them uses, requests, and is entitled to.
//!
//! Engine time is measured in milliseconds; engine time per second in engines, where an engine of the modeled speed
//! that works all the time counts 1.

pub(crate) mod arrival_count;
pub(crate) mod customer_demand;
mod in_progress;
mod recent_work;
pub(crate) mod rejected_callers;
#[cfg(test)]
mod tests;
pub(crate) mod water_level;

use std::{collections, fmt};

use crate::{ids, sharing, units};

/// Largest number of customers that a planner tracks. The ones whose last request is oldest are dropped first.
const MAX_CUSTOMERS: usize = 1_024;

/// Engine time that each customer uses, in engines.
pub(crate) type EnginesByCustomer = collections::BTreeMap<ids::CustomerId, f64>;

/// Kind of capacity that is divided by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CapacityPool {
    /// Slots of engines for short requests.
    Slots,
    /// Prefill time of engines for long prompts.
    Prefill,
}

/// Measures the use of capacity by which customers are limited to their shares.
///
/// A customer is above its share if its use, relative to its weight, reaches the water level at which the demands of all
/// customers fill the capacity, see [`water_level::WaterLevel`].
pub(crate) trait ShareLimiter: fmt::Debug + Send + Sync {
    /// Records that a customer got engine time, in milliseconds.
    fn note_grant(
        &mut self,
        now: units::MonoTime,
        pool: CapacityPool,
        customer: &ids::CustomerId,
        work_ms: f64,
    );

    /// Returns the use of each customer that uses any. `held` is the work in progress in the pool.
    fn usage(
        &self,
        now: units::MonoTime,
        pool: CapacityPool,
        held: EnginesByCustomer,
    ) -> EnginesByCustomer;
}

/// Creates the limiter that the settings choose; `None` if customers are not distinguished.
pub(crate) fn limiter(choice: sharing::CustomerSharing) -> Option<Box<dyn ShareLimiter>> {
    match choice {
        sharing::CustomerSharing::Off => None,
        sharing::CustomerSharing::InProgress => Some(Box::new(in_progress::InProgressLimiter)),
        sharing::CustomerSharing::RecentWork => {
            Some(Box::new(recent_work::RecentWorkLimiter::default()))
        }
    }
}
