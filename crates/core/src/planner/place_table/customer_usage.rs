//! Work in progress of each customer, derived from the placements, in engines: an engine of the modeled speed that works
//! only for one customer counts 1.

use std::iter;

use crate::{
    ids,
    planner::{customer_shares, place_table},
};

impl place_table::PlaceTable {
    /// Moving average of the time from the first token to the end of short answers, milliseconds.
    pub(crate) fn answer_ms(&self) -> f64 {
        self.answer_ms
    }

    /// Slots that the short requests of each customer hold. A slot of a slow engine counts less, as it provides less
    /// engine time.
    pub(crate) fn held_slots(&self) -> customer_shares::EnginesByCustomer {
        let slots = self.shape.slots.max(1) as f64;
        let shorts = self.jobs.values().filter(|state| state.lease.request.tight);
        let held = shorts.filter_map(|state| {
            let origin = state.lease.request.origin.as_ref()?;
            let speed = self.speed(&state.lease.grant.engine);
            Some((&origin.customer, speed / slots))
        });
        sum(held)
    }

    /// Number of slots that short requests with a known customer hold.
    pub(crate) fn origin_slots(&self) -> usize {
        let requests = self.jobs.values().map(|state| &state.lease.request);
        requests.filter(|request| request.tight && request.origin.is_some()).count()
    }

    /// Engines that prefill the long prompts of each customer.
    pub(crate) fn held_prefill(&self) -> customer_shares::EnginesByCustomer {
        let longs = self.jobs.values().filter(|state| !state.lease.request.tight);
        let held = longs.filter(|state| state.lease.prefilling).filter_map(|state| {
            let origin = state.lease.request.origin.as_ref()?;
            let grant = &state.lease.grant;
            let engines = iter::once(&grant.engine).chain(&grant.helpers);
            Some((&origin.customer, engines.map(|name| self.speed(name)).sum()))
        });
        sum(held)
    }

    /// Speed of an engine relative to the performance model.
    fn speed(&self, name: &ids::UpstreamId) -> f64 {
        self.engines.get(name).map_or(1.0, |engine| 1.0 / engine.pace)
    }
}

fn sum<'a>(
    held: impl Iterator<Item = (&'a ids::CustomerId, f64)>,
) -> customer_shares::EnginesByCustomer {
    let mut sums = customer_shares::EnginesByCustomer::new();
    for (customer, engines) in held {
        match sums.get_mut(customer) {
            Some(sum) => *sum += engines,
            None => drop(sums.insert(customer.clone(), engines)),
        }
    }
    sums
}
