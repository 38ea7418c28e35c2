//! Order in which engines prefill prompts: by length band (short, medium, long), and within a band customers within
//! their share first.

use std::{collections, time};

use crate::{ids, settings, units};

/// Length band of a prompt, by the limits in [`settings::FleetOptions`]. The order of the variants is the order of
/// service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LengthBand {
    /// Prompts of up to `short_tokens`.
    Short,
    /// Prompts above `short_tokens`, up to `long_tokens`.
    Medium,
    /// Prompts above `long_tokens`.
    Long,
}

impl LengthBand {
    /// The band of a prompt with this number of tokens to prefill.
    pub fn of(prompt: units::TokenCount, fleet: &settings::FleetOptions) -> Self {
        if prompt <= fleet.short_tokens {
            Self::Short
        } else if prompt <= fleet.long_tokens {
            Self::Medium
        } else {
            Self::Long
        }
    }
}

/// Order of service on an engine; lower ranks are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceRank {
    /// Length band of the prompt without its cached prefix.
    pub band: LengthBand,
    /// Whether the customer has recently used more than its share of the engine.
    pub over_share: bool,
}

impl ServiceRank {
    /// The rank that is served last.
    pub const LAST: Self = Self { band: LengthBand::Long, over_share: true };

    /// Priority number sent to engines; 0 is served first.
    pub fn priority(self) -> u8 {
        self.band as u8 * 2 + u8::from(self.over_share)
    }
}

/// Time constant of the exponential decay of recorded usage.
const USAGE_WINDOW: time::Duration = time::Duration::from_secs(20);
/// Multiple of an equal share up to which a customer is within its share. The margin allows for a few long prompts that
/// arrive close together by chance.
const SHARE_TOLERANCE: f64 = 2.0;
/// Fraction of the work that an engine can do in [`USAGE_WINDOW`]; a customer with less usage counts as inactive, and
/// its usage is dropped.
const IDLE_FRACTION: f64 = 0.001;

/// Recent usage of one engine by customer.
#[derive(Debug, Default)]
pub struct ShareMeter {
    /// Usage in tokens divided by weight, with the time of its last update. Decays over [`USAGE_WINDOW`].
    used: collections::HashMap<ids::CustomerId, (f64, units::MonoTime)>,
}

impl ShareMeter {
    /// Records work that the engine is given for a customer.
    pub fn record_work(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        weight: f64,
        work: units::TokenCount,
    ) {
        let used = self.used(now, customer) + work.0 as f64 / weight;
        self.used.insert(customer.clone(), (used, now));
    }

    /// Whether a customer has used clearly more than its share of an engine that prefills at `rate`, see
    /// `SHARE_TOLERANCE`. The share is an equal part of the capacity for each customer that has used the engine
    /// recently, times the weight of the customer.
    pub fn over_share(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        rate: units::TokenRate,
    ) -> bool {
        let whole = rate.0 * USAGE_WINDOW.as_secs_f64();
        self.used.retain(|_, (used, since)| decayed(*used, *since, now) > whole * IDLE_FRACTION);
        let active = self.used.len().max(1) as f64;
        self.used(now, customer) > whole / active * SHARE_TOLERANCE
    }

    fn used(&self, now: units::MonoTime, customer: &ids::CustomerId) -> f64 {
        self.used.get(customer).map_or(0.0, |(used, since)| decayed(*used, *since, now))
    }
}

fn decayed(used: f64, since: units::MonoTime, now: units::MonoTime) -> f64 {
    used * (-now.since(since).as_secs_f64() / USAGE_WINDOW.as_secs_f64()).exp()
}
