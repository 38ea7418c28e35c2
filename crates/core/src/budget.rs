//! A customer's token budget, kept by one scheduler and handed to entries in expiring portions.
//!
//! A bucket may go into debt by one grant, so that a prompt larger than what is in it can start as
//! long as anything is; the debt delays what follows. An entry cut off from the keeper uses its
//! part of the limit: the rate divided by the live entries.

use std::{collections, time};

use crate::{ids, units};

/// How long a portion may be used.
pub const PORTION_TTL: time::Duration = time::Duration::from_secs(2);
/// An entry draws ahead what it has itself spent in about this time, and no more: what it does not
/// spend expires, and would be lost to the customer.
const DRAW_AHEAD: time::Duration = time::Duration::from_millis(200);
/// A bucket that has just been made holds what the limit has given since the keeper can have had a
/// predecessor, but at least what it gives in this time. A keeper that takes over must not hand out
/// a whole burst a second time; one that has kept all along knows that the customer was idle.
const FRESH_SPAN: time::Duration = time::Duration::from_millis(250);
/// A bucket unused for this long is forgotten.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(60);

/// A customer's limit, as resolved from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimit {
    /// Tokens a second in the long run.
    pub rate: units::TokenRate,
    /// Tokens at once after a pause.
    pub burst: units::TokenCount,
}

/// Tokens an entry may spend until the portion expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetPortion {
    /// How many.
    pub tokens: units::TokenCount,
    /// For how long.
    pub ttl: time::Duration,
}

/// Nothing left; the time until there is something again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExhausted(pub time::Duration);

#[derive(Debug)]
struct TokenBucket {
    /// Tokens in it; below zero while in debt. Invariant: never above the burst.
    level: f64,
    filled: units::MonoTime,
}

impl TokenBucket {
    fn fresh(now: units::MonoTime, kept: time::Duration, limit: BudgetLimit) -> Self {
        let span = kept.max(FRESH_SPAN).as_secs_f64();
        let level = (limit.rate.0 * span).min(limit.burst.0 as f64);
        Self { level, filled: now }
    }

    fn take(
        &mut self,
        now: units::MonoTime,
        limit: BudgetLimit,
        want: units::TokenCount,
    ) -> Result<(), BudgetExhausted> {
        let gained = limit.rate.0 * now.since(self.filled).as_secs_f64();
        self.level = (self.level + gained).min(limit.burst.0 as f64);
        self.filled = self.filled.max(now);
        if self.level <= 0.0 {
            let debt = units::TokenCount((1.0 - self.level) as u64);
            return Err(BudgetExhausted(limit.rate.time_for(debt)));
        }
        self.level -= want.0 as f64;
        Ok(())
    }
}

/// The keeper's side: one bucket for each customer in use.
#[derive(Debug, Default)]
pub struct BudgetLedger {
    /// Since when no customer can have had another keeper.
    since: units::MonoTime,
    buckets: collections::HashMap<ids::CustomerId, TokenBucket>,
}

impl BudgetLedger {
    /// Notes that customers may have changed keepers, as after each change of the instances.
    pub fn note_membership_change(&mut self, now: units::MonoTime) {
        self.since = now;
    }

    /// Hands out a portion of `want` tokens.
    pub fn draw(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        limit: BudgetLimit,
        want: units::TokenCount,
    ) -> Result<BudgetPortion, BudgetExhausted> {
        let kept = now.since(self.since);
        let fresh = || TokenBucket::fresh(now, kept, limit);
        let bucket = self.buckets.entry(customer.clone()).or_insert_with(fresh);
        bucket.take(now, limit, want)?;
        Ok(BudgetPortion { tokens: want, ttl: PORTION_TTL })
    }

    /// Takes unspent tokens back, for instance when an answer was shorter than allowed.
    pub fn refund(&mut self, customer: &ids::CustomerId, tokens: units::TokenCount) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level += tokens.0 as f64;
        }
    }

    /// Forgets customers that have not drawn for a while and whose bucket would be as full anew.
    pub fn prune(&mut self, now: units::MonoTime) {
        let settled = now.since(self.since) >= IDLE_LIMIT;
        self.buckets.retain(|_, bucket| !settled || now.since(bucket.filled) < IDLE_LIMIT);
    }

    /// Customers with a bucket.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no customer has a bucket.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

/// The entry's side: portions held, and the fallback for when the keeper is out of reach.
#[derive(Debug, Default)]
pub struct BudgetCache {
    portions: collections::HashMap<ids::CustomerId, (f64, units::MonoTime)>,
    /// Tokens spent lately, decaying over [`DRAW_AHEAD`], as of the time given.
    spending: collections::HashMap<ids::CustomerId, (f64, units::MonoTime)>,
    fallback: BudgetLedger,
}

impl BudgetCache {
    /// Spends from a portion held; `false` means a new one must be drawn first.
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
        self.count_spending(now, customer, want);
        true
    }

    /// Tokens to draw for a request: its own, and what this entry is about to spend besides.
    pub fn draw_size(
        &self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        want: units::TokenCount,
    ) -> units::TokenCount {
        want + units::TokenCount(self.spent_lately(now, customer) as u64)
    }

    fn spent_lately(&self, now: units::MonoTime, customer: &ids::CustomerId) -> f64 {
        let Some((spent, since)) = self.spending.get(customer) else { return 0.0 };
        spent * (-now.since(*since).as_secs_f64() / DRAW_AHEAD.as_secs_f64()).exp()
    }

    fn count_spending(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        spent: units::TokenCount,
    ) {
        let lately = self.spent_lately(now, customer) + spent.0 as f64;
        self.spending.insert(customer.clone(), (lately, now));
    }

    /// Puts a drawn portion into the purse.
    pub fn add(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        portion: BudgetPortion,
    ) {
        let held = self.portions.entry(customer.clone()).or_insert((0.0, now));
        if held.1 <= now {
            held.0 = 0.0;
        }
        *held = (held.0 + portion.tokens.0 as f64, now + portion.ttl);
    }

    /// Spends without the keeper: this entry's part of the limit.
    pub fn spend_alone(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        limit: BudgetLimit,
        live_entries: usize,
        want: units::TokenCount,
    ) -> Result<(), BudgetExhausted> {
        let part = live_entries.max(1) as f64;
        let rate = units::TokenRate(limit.rate.0 / part);
        let limit = BudgetLimit { rate, burst: limit.burst.scale(1.0 / part) };
        self.fallback.draw(now, customer, limit, want).map(|_| ())
    }

    /// Drops expired portions.
    pub fn prune(&mut self, now: units::MonoTime) {
        self.portions.retain(|_, (_, expires)| *expires > now);
        self.spending.retain(|_, (_, since)| now.since(*since) < PORTION_TTL);
        self.fallback.prune(now);
    }
}
