//! Limits customers by the engine time that they were granted recently.

use std::{collections, time};

use crate::{
    ids,
    planner::customer_shares::{self, customer_demand},
    units,
};

/// Time constant of granted engine time. After a second, 13% of a grant still count.
const GRANT_TIME: time::Duration = time::Duration::from_millis(500);
/// Use below which a customer's grants are forgotten, in engines.
const MIN_USAGE: f64 = 1e-4;

/// Engine time granted to a customer, by pool.
#[derive(Debug)]
struct GrantedWork {
    slots: customer_demand::DecayingSum,
    prefill: customer_demand::DecayingSum,
}

impl GrantedWork {
    fn pool(&self, pool: customer_shares::CapacityPool) -> &customer_demand::DecayingSum {
        match pool {
            customer_shares::CapacityPool::Slots => &self.slots,
            customer_shares::CapacityPool::Prefill => &self.prefill,
        }
    }

    fn usage(&self, now: units::MonoTime, pool: customer_shares::CapacityPool) -> f64 {
        self.pool(pool).rate(now) / 1_000.0
    }
}

/// Uses decaying sums of granted engine time, which say nothing about how long placed requests stay. A planner that has
/// taken over from another one starts without them.
#[derive(Debug, Default)]
pub(super) struct RecentWorkLimiter {
    /// At most [`customer_shares::MAX_CUSTOMERS`].
    granted: collections::BTreeMap<ids::CustomerId, GrantedWork>,
}

impl RecentWorkLimiter {
    /// Drops the customers that use nothing, or if there are none, the one that uses least.
    fn make_room(&mut self, now: units::MonoTime) {
        let usage = |work: &GrantedWork| {
            work.usage(now, customer_shares::CapacityPool::Slots)
                + work.usage(now, customer_shares::CapacityPool::Prefill)
        };
        self.granted.retain(|_, work| usage(work) >= MIN_USAGE);
        if self.granted.len() < customer_shares::MAX_CUSTOMERS {
            return;
        }
        let by_usage =
            |left: &&GrantedWork, right: &&GrantedWork| usage(left).total_cmp(&usage(right));
        let rows = self.granted.iter();
        let least = rows.min_by(|left, right| by_usage(&left.1, &right.1));
        let least = least.map(|(customer, _)| customer.clone());
        least.and_then(|customer| self.granted.remove(&customer));
    }
}

impl customer_shares::ShareLimiter for RecentWorkLimiter {
    fn note_grant(
        &mut self,
        now: units::MonoTime,
        pool: customer_shares::CapacityPool,
        customer: &ids::CustomerId,
        work_ms: f64,
    ) {
        let is_full = self.granted.len() >= customer_shares::MAX_CUSTOMERS;
        if is_full && !self.granted.contains_key(customer) {
            self.make_room(now);
        }
        let work = self.granted.entry(customer.clone()).or_insert_with(|| GrantedWork {
            slots: customer_demand::DecayingSum::new(GRANT_TIME),
            prefill: customer_demand::DecayingSum::new(GRANT_TIME),
        });
        match pool {
            customer_shares::CapacityPool::Slots => work.slots.add(now, work_ms),
            customer_shares::CapacityPool::Prefill => work.prefill.add(now, work_ms),
        }
    }

    fn usage(
        &self,
        now: units::MonoTime,
        pool: customer_shares::CapacityPool,
        _held: customer_shares::EnginesByCustomer,
    ) -> customer_shares::EnginesByCustomer {
        let rows = self.granted.iter();
        let usage = rows.map(|(customer, work)| (customer.clone(), work.usage(now, pool)));
        usage.filter(|(_, usage)| *usage >= MIN_USAGE).collect()
    }
}
