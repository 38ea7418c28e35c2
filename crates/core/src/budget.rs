//! Token budgets of customers.
//!
//! One scheduler holds a customer's token bucket and grants portions of it, which expire, to the
//! entries, the parts of instances that receive requests. A bucket may go into debt by one grant,
//! so that a prompt larger than its level can start while the level is positive; later grants wait
//! until the debt is repaid. An entry that cannot reach the scheduler uses its share of the limit:
//! the rate divided by the number of live entries.

use std::{collections, time};

use crate::{ids, units};

/// How long an entry may spend a portion, counted from when it receives the portion.
pub const PORTION_TTL: time::Duration = time::Duration::from_secs(2);
/// Time constant of the average of a customer's recent spending. An entry draws that average in addition
/// to each request, and no more, because unspent tokens expire and are lost to the customer.
const DRAW_AHEAD: time::Duration = time::Duration::from_millis(200);
/// Minimum time for which a new bucket is credited with tokens.
///
/// A new bucket is credited for the time since the last membership change, before which another scheduler
/// may have granted from the same budget. So a scheduler that takes over does not grant a full burst a
/// second time, and one that has been responsible throughout knows that the customer was idle.
const MIN_INITIAL_FILL: time::Duration = time::Duration::from_millis(250);
/// Time without draws after which a customer's bucket is dropped.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Limit on the tokens of a customer's requests, as resolved from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimit {
    /// Rate at which the customer's bucket fills.
    pub rate: units::TokenRate,
    /// Most tokens that the bucket holds after an idle period.
    pub burst: units::TokenCount,
}

/// Tokens of a customer's budget that a scheduler grants to an entry until they expire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetPortion {
    /// Number of tokens granted.
    pub tokens: units::TokenCount,
    /// Time for which the portion is valid, counted from when the entry receives it.
    pub ttl: time::Duration,
}

/// Error of a draw on a budget that is used up; holds the time until tokens are available again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExhausted(pub time::Duration);

#[derive(Debug)]
struct TokenBucket {
    /// Tokens available, negative while in debt; each refill caps it at the burst.
    level: f64,
    /// Time up to which the tokens gained are included in `level`.
    refilled: units::MonoTime,
}

impl TokenBucket {
    /// Creates the bucket of a customer that has drawn from no other scheduler for `exclusive`, credited
    /// with the tokens gained in that time.
    fn new(now: units::MonoTime, exclusive: time::Duration, limit: BudgetLimit) -> Self {
        let span = exclusive.max(MIN_INITIAL_FILL).as_secs_f64();
        let level = (limit.rate.0 * span).min(limit.burst.0 as f64);
        Self { level, refilled: now }
    }

    fn take(
        &mut self,
        now: units::MonoTime,
        limit: BudgetLimit,
        want: units::TokenCount,
    ) -> Result<(), BudgetExhausted> {
        let gained = limit.rate.0 * now.since(self.refilled).as_secs_f64();
        self.level = (self.level + gained).min(limit.burst.0 as f64);
        self.refilled = self.refilled.max(now);
        if self.level <= 0.0 {
            let debt = units::TokenCount((1.0 - self.level) as u64);
            return Err(BudgetExhausted(limit.rate.time_for(debt)));
        }
        self.level -= want.0 as f64;
        Ok(())
    }
}

/// The scheduler's token buckets, one for each customer with recent requests.
#[derive(Debug, Default)]
pub struct BudgetLedger {
    /// Time of the last membership change: no other scheduler has granted from these budgets since.
    exclusive_since: units::MonoTime,
    buckets: collections::HashMap<ids::CustomerId, TokenBucket>,
}

impl BudgetLedger {
    /// Records a change of the live instances, which may have moved customers between schedulers.
    pub fn note_membership_change(&mut self, now: units::MonoTime) {
        self.exclusive_since = now;
    }

    /// Grants a portion of `want` tokens if the bucket's level is above zero, even if it is below `want`.
    pub fn draw(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        limit: BudgetLimit,
        want: units::TokenCount,
    ) -> Result<BudgetPortion, BudgetExhausted> {
        let exclusive = now.since(self.exclusive_since);
        let new = || TokenBucket::new(now, exclusive, limit);
        let bucket = self.buckets.entry(customer.clone()).or_insert_with(new);
        bucket.take(now, limit, want)?;
        Ok(BudgetPortion { tokens: want, ttl: PORTION_TTL })
    }

    /// Returns unspent tokens to the customer's bucket, for instance when an answer was shorter than
    /// allowed. Without a bucket, they are lost.
    pub fn refund(&mut self, customer: &ids::CustomerId, tokens: units::TokenCount) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level += tokens.0 as f64;
        }
    }

    /// Drops buckets without draws for [`IDLE_TIMEOUT`]. All are kept for that time after a membership
    /// change, as a new bucket would then be credited for less time than the dropped one was idle.
    pub fn prune(&mut self, now: units::MonoTime) {
        let settled = now.since(self.exclusive_since) >= IDLE_TIMEOUT;
        self.buckets.retain(|_, bucket| !settled || now.since(bucket.refilled) < IDLE_TIMEOUT);
    }

    /// Number of customers with a bucket.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no customer has a bucket.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

/// An entry's unexpired portions, and its buckets for when the scheduler is unreachable.
#[derive(Debug, Default)]
pub struct BudgetCache {
    /// Tokens left of the portions drawn for each customer, and when they expire.
    portions: collections::HashMap<ids::CustomerId, (f64, units::MonoTime)>,
    /// Tokens that each customer spent recently, decaying over [`DRAW_AHEAD`], and the time of the last
    /// update.
    spending: collections::HashMap<ids::CustomerId, (f64, units::MonoTime)>,
    /// Buckets for this entry's share of each limit, used while the scheduler is unreachable.
    fallback: BudgetLedger,
}

impl BudgetCache {
    /// Spends `want` tokens of a cached portion; `false` means that a new portion must be drawn first.
    pub fn spend(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        want: units::TokenCount,
    ) -> bool {
        let Some((left, expires)) = self.portions.get_mut(customer) else {
            return false;
        };
        if *expires <= now {
            self.portions.remove(customer);
            return false;
        }
        if *left < want.0 as f64 {
            return false;
        }
        *left -= want.0 as f64;
        self.record_spending(now, customer, want);
        true
    }

    /// Tokens to draw for a request that needs `want`: these, and as many as the customer spent recently.
    pub fn draw_size(
        &self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        want: units::TokenCount,
    ) -> units::TokenCount {
        want + units::TokenCount(self.recent_spending(now, customer) as u64)
    }

    fn recent_spending(&self, now: units::MonoTime, customer: &ids::CustomerId) -> f64 {
        let Some((spent, updated)) = self.spending.get(customer) else { return 0.0 };
        spent * (-now.since(*updated).as_secs_f64() / DRAW_AHEAD.as_secs_f64()).exp()
    }

    fn record_spending(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        spent: units::TokenCount,
    ) {
        let recent = self.recent_spending(now, customer) + spent.0 as f64;
        self.spending.insert(customer.clone(), (recent, now));
    }

    /// Adds a drawn portion. What is left of the customer's unexpired portions will then expire together
    /// with the new portion.
    pub fn add(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        portion: BudgetPortion,
    ) {
        let cached = self.portions.entry(customer.clone()).or_insert((0.0, now));
        if cached.1 <= now {
            cached.0 = 0.0;
        }
        *cached = (cached.0 + portion.tokens.0 as f64, now + portion.ttl);
    }

    /// Spends from this entry's share of the limit, without the scheduler.
    pub fn spend_own_share(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        limit: BudgetLimit,
        live_entries: usize,
        want: units::TokenCount,
    ) -> Result<(), BudgetExhausted> {
        let entries = live_entries.max(1) as f64;
        let rate = units::TokenRate(limit.rate.0 / entries);
        let limit = BudgetLimit { rate, burst: limit.burst.scale(1.0 / entries) };
        self.fallback.draw(now, customer, limit, want).map(|_| ())
    }

    /// Drops expired portions, spending not updated for [`PORTION_TTL`], and idle buckets.
    pub fn prune(&mut self, now: units::MonoTime) {
        self.portions.retain(|_, (_, expires)| *expires > now);
        self.spending.retain(|_, (_, updated)| now.since(*updated) < PORTION_TTL);
        self.fallback.prune(now);
    }
}
