//! Weighted max-min shares: customers that demand less than their part get what they demand, and the others divide the
//! remainder by weight.

/// A customer's claim to capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareClaim {
    /// Weight relative to other customers; above zero.
    pub(crate) weight: f64,
    /// Demand, in engines.
    pub(crate) demand: f64,
}

/// Share per unit of weight of the customers that demand more than they get, in engines; infinite if the capacity
/// covers all demands.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(crate) struct WaterLevel(f64);

impl WaterLevel {
    /// Computes the level at which the claims, each limited to its demand, fill `capacity` (in engines).
    pub(crate) fn of(mut claims: Vec<ShareClaim>, capacity: f64) -> Self {
        let height = |claim: &ShareClaim| claim.demand / claim.weight;
        claims.sort_by(|left, right| height(left).total_cmp(&height(right)));
        let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
        let mut left = capacity.max(0.0);
        for claim in claims {
            let level = left / weight;
            if height(&claim) > level {
                return Self(level);
            }
            left = (left - claim.demand).max(0.0);
            weight -= claim.weight;
        }
        Self(f64::INFINITY)
    }

    /// Share of a customer that demands more than its share, in engines.
    pub(crate) fn share(self, weight: f64) -> f64 {
        self.0 * weight
    }

    /// Whether a customer that uses `usage` engines uses its share.
    pub(crate) fn is_reached(self, weight: f64, usage: f64) -> bool {
        usage > 0.0 && usage >= self.share(weight)
    }
}
