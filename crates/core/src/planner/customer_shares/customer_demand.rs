//! Recent demand of each customer, from its requests, whether they were admitted or not.

use std::{collections, time};

use crate::{ids, planner::customer_shares, request_origin, retry_schedule, units};

/// Time constant of the demand that shares are computed from. A flood must count within its first half second.
const SHORT_TIME: time::Duration = time::Duration::from_millis(500);
/// Time constant of the demand that capacity is kept free for, and of long prompts: with a shorter one, the demand of a
/// customer with one request a second would count as none half of the time.
const LONG_TIME: time::Duration = time::Duration::from_secs(2);
/// Standard deviations by which a rate of requests must exceed a bound to count as above it. Of ten customers with equal
/// demand, some are always above the mean by chance.
const CERTAIN_DEVIATIONS: f64 = 2.0;
/// Time after its last request for which a customer counts as present.
const PRESENCE_TIME: time::Duration = time::Duration::from_secs(5);

/// A sum whose terms decay exponentially.
#[derive(Debug, Clone)]
pub(crate) struct DecayingSum {
    /// Time in which a term decays to 1/e.
    time_constant: time::Duration,
    /// The sum as of `updated`.
    sum: f64,
    updated: units::MonoTime,
}

impl DecayingSum {
    pub(crate) fn new(time_constant: time::Duration) -> Self {
        Self { time_constant, sum: 0.0, updated: units::MonoTime::default() }
    }

    pub(crate) fn add(&mut self, now: units::MonoTime, term: f64) {
        self.sum = self.value(now) + term;
        self.updated = now;
    }

    fn value(&self, now: units::MonoTime) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.sum * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }

    /// Estimated sum of the terms of one second.
    pub(crate) fn rate(&self, now: units::MonoTime) -> f64 {
        self.value(now) / self.time_constant.as_secs_f64()
    }

    /// Lower bound of [`Self::rate`] with random arrivals of terms of size `term`.
    fn least_rate(&self, now: units::MonoTime, term: f64) -> f64 {
        let rate = self.rate(now);
        let variance = rate * term / (2.0 * self.time_constant.as_secs_f64());
        (rate - CERTAIN_DEVIATIONS * variance.sqrt()).max(0.0)
    }
}

/// What a planner remembers about a customer.
#[derive(Debug)]
pub(crate) struct CustomerDemand {
    /// Weight relative to other customers, from its latest request; above zero.
    pub(crate) weight: f64,
    /// Requests refused because the customer was above its share.
    pub(crate) refused: u64,
    /// When a request was last refused for that reason.
    pub(crate) last_refused: Option<units::MonoTime>,
    pub(crate) retries: retry_schedule::RetrySchedule,
    /// Engine time of short requests, milliseconds, over [`SHORT_TIME`].
    recent: DecayingSum,
    /// Engine time of short requests, milliseconds, over [`LONG_TIME`].
    steady: DecayingSum,
    /// Engine time of long prompts, milliseconds, over [`LONG_TIME`].
    prefill: DecayingSum,
    last_request: units::MonoTime,
}

impl CustomerDemand {
    fn new() -> Self {
        Self {
            weight: 1.0,
            refused: 0,
            last_refused: None,
            retries: retry_schedule::RetrySchedule::default(),
            recent: DecayingSum::new(SHORT_TIME),
            steady: DecayingSum::new(LONG_TIME),
            prefill: DecayingSum::new(LONG_TIME),
            last_request: units::MonoTime::default(),
        }
    }

    fn is_present(&self, now: units::MonoTime) -> bool {
        now.since(self.last_request) <= PRESENCE_TIME
    }

    /// Requested engine time, in engines.
    pub(crate) fn engines(&self, now: units::MonoTime, pool: customer_shares::CapacityPool) -> f64 {
        let rate = match pool {
            customer_shares::CapacityPool::Slots => self.recent.rate(now),
            customer_shares::CapacityPool::Prefill => self.prefill.rate(now),
        };
        rate / 1_000.0
    }

    /// Engine time for short requests of `work_ms` each that is steadily requested, in engines: that of the last seconds,
    /// or more if the last moments prove it.
    pub(crate) fn steady_engines(&self, now: units::MonoTime, work_ms: f64) -> f64 {
        self.steady.rate(now).max(self.recent.least_rate(now, work_ms)) / 1_000.0
    }

    /// Like [`Self::steady_engines`], but at least requested with some certainty.
    pub(crate) fn least_engines(&self, now: units::MonoTime, work_ms: f64) -> f64 {
        let steady = self.steady.least_rate(now, work_ms);
        steady.max(self.recent.least_rate(now, work_ms)) / 1_000.0
    }

    /// Like [`Self::steady_engines`], but at most requested with some certainty.
    pub(crate) fn most_engines(&self, now: units::MonoTime, work_ms: f64) -> f64 {
        let spread = self.steady.rate(now) - self.steady.least_rate(now, work_ms);
        self.steady_engines(now, work_ms) + spread / 1_000.0
    }

    /// Engine time for short requests that is likely to be requested next, in engines: the larger of the demand of the
    /// last moments and that of the last seconds.
    pub(crate) fn expected_engines(&self, now: units::MonoTime) -> f64 {
        self.recent.rate(now).max(self.steady.rate(now)) / 1_000.0
    }
}

/// The recent demand of all customers of a planner.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    /// At most [`customer_shares::MAX_CUSTOMERS`].
    customers: collections::BTreeMap<ids::CustomerId, CustomerDemand>,
}

impl DemandTable {
    /// Records a request that takes `work_ms` of engine time.
    pub(crate) fn note_request(
        &mut self,
        now: units::MonoTime,
        pool: customer_shares::CapacityPool,
        origin: &request_origin::RequestOrigin,
        work_ms: f64,
    ) {
        let demand = self.entry(now, origin);
        match pool {
            customer_shares::CapacityPool::Slots => {
                demand.recent.add(now, work_ms);
                demand.steady.add(now, work_ms);
            }
            customer_shares::CapacityPool::Prefill => demand.prefill.add(now, work_ms),
        }
    }

    /// Records a short request of `work_ms` that another planner placed within the last `age`, at an unknown time.
    pub(crate) fn note_taken_over(
        &mut self,
        now: units::MonoTime,
        origin: &request_origin::RequestOrigin,
        work_ms: f64,
        age: time::Duration,
    ) {
        let part = |constant: time::Duration| constant.div_duration_f64(age.max(constant));
        let demand = self.entry(now, origin);
        demand.recent.add(now, work_ms * part(SHORT_TIME));
        demand.steady.add(now, work_ms * part(LONG_TIME));
    }

    fn entry(
        &mut self,
        now: units::MonoTime,
        origin: &request_origin::RequestOrigin,
    ) -> &mut CustomerDemand {
        let is_full = self.customers.len() >= customer_shares::MAX_CUSTOMERS;
        if is_full && !self.customers.contains_key(&origin.customer) {
            let oldest = self.customers.iter().min_by_key(|(_, demand)| demand.last_request);
            let oldest = oldest.map(|(customer, _)| customer.clone());
            oldest.and_then(|customer| self.customers.remove(&customer));
        }
        let demand =
            self.customers.entry(origin.customer.clone()).or_insert_with(CustomerDemand::new);
        demand.last_request = now;
        demand.weight = f64::from(origin.weight).max(f64::MIN_POSITIVE);
        demand
    }

    /// Records a request that repeats a recorded one, so it adds no demand.
    pub(crate) fn note_retry(
        &mut self,
        now: units::MonoTime,
        origin: &request_origin::RequestOrigin,
    ) {
        self.entry(now, origin);
    }

    /// Customers with a request within the last [`PRESENCE_TIME`].
    pub(crate) fn present(
        &self,
        now: units::MonoTime,
    ) -> impl Iterator<Item = (&ids::CustomerId, &CustomerDemand)> {
        self.customers.iter().filter(move |(_, demand)| demand.is_present(now))
    }

    /// The present customers, and those of which a request was refused.
    pub(crate) fn present_or_refused(
        &self,
        now: units::MonoTime,
    ) -> impl Iterator<Item = (&ids::CustomerId, &CustomerDemand)> {
        let rows = self.customers.iter();
        rows.filter(move |(_, demand)| demand.is_present(now) || demand.refused > 0)
    }

    pub(crate) fn get(&self, customer: &ids::CustomerId) -> Option<&CustomerDemand> {
        self.customers.get(customer)
    }

    pub(crate) fn get_mut(&mut self, customer: &ids::CustomerId) -> Option<&mut CustomerDemand> {
        self.customers.get_mut(customer)
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.customers.len()
    }
}
