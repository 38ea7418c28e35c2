//! Order in which engines work on prompts: shorter bands first, and within a band customers inside
//! their share before customers over it.

use std::{collections, time};

use crate::{ids, settings, units};

/// Prompts grouped by length; the number is the priority sent to engines, 0 being first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LengthBand {
    /// Up to `short_tokens`.
    Short,
    /// Between the two.
    Medium,
    /// Beyond `long_tokens`.
    Long,
}

impl LengthBand {
    /// The band of a prompt.
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

/// Order of work on an engine; lower goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceRank {
    /// The prompt's band.
    pub band: LengthBand,
    /// Whether the customer has lately used more than its share of the engine.
    pub over_share: bool,
}

impl ServiceRank {
    /// The rank that goes after all others.
    pub const LAST: Self = Self { band: LengthBand::Long, over_share: true };

    /// The priority sent to engines, 0 first.
    pub fn priority(self) -> u8 {
        self.band as u8 * 2 + u8::from(self.over_share)
    }
}

/// Time over which use is remembered.
const USAGE_WINDOW: time::Duration = time::Duration::from_secs(20);
/// Use beyond an equal share that is still inside it; a few long prompts come by chance.
const SHARE_TOLERANCE: f64 = 2.0;
/// Use below this part of the engine's work is that of a customer that has gone.
const IDLE_FRACTION: f64 = 0.001;

/// Work that each customer has had of one engine lately.
#[derive(Debug, Default)]
pub struct ShareMeter {
    /// Tokens over weight, decaying over [`USAGE_WINDOW`], as of the time given.
    used: collections::HashMap<ids::CustomerId, (f64, units::MonoTime)>,
}

impl ShareMeter {
    /// Counts work given to a customer.
    pub fn count(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        weight: f64,
        work: units::TokenCount,
    ) {
        let used = self.used(now, customer) + work.0 as f64 / weight;
        self.used.insert(customer.clone(), (used, now));
    }

    /// Whether a customer has had more than its share of what an engine with this rate works
    /// through, counting those that have used it lately.
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
