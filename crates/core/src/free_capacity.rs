//! Free capacity of an engine, for the choice of the next waiting request.

use crate::{placement, service_rank, units};

/// Free capacity of an engine while its queue is searched for the next request to start.
#[derive(Debug)]
pub(crate) struct FreeCapacity {
    /// Memory neither leased nor held by an orphan (an attempt that the engine holds without a lease).
    pub(crate) free: units::TokenCount,
    /// Part of the memory that only short requests may use.
    pub(crate) headroom: units::TokenCount,
    /// Number of requests that may still start on the engine.
    pub(crate) slots: usize,
    /// Whether the engine runs a request that a group of engines serves together; another such request must wait.
    pub(crate) grouped: bool,
    /// Remaining prefill of each lease in tokens, with its rank.
    pub(crate) prefills: Vec<(service_rank::ServiceRank, f64)>,
    /// Prefill work that the engine reported beyond that of the leases, tokens.
    pub(crate) foreign: f64,
    /// Largest prefill backlog at which another request may start.
    pub(crate) prefill_limit: units::TokenCount,
    /// Set once an overdue request that is not short did not fit; from then on only short requests may start.
    pub(crate) reserved: bool,
}

impl FreeCapacity {
    /// Whether a waiting request can start now. If an overdue request that is not short cannot, sets `reserved`.
    pub(crate) fn fits(
        &mut self,
        request: &placement::CapacityRequest,
        rank: service_rank::ServiceRank,
        overdue: bool,
    ) -> bool {
        let short = rank.band == service_rank::LengthBand::Short;
        if self.has_capacity(request, rank) && (short || !self.reserved) {
            return true;
        }
        // Free memory accumulates for the overdue request, because only short requests may still start before it.
        self.reserved |= overdue && !short;
        false
    }

    fn has_capacity(
        &self,
        request: &placement::CapacityRequest,
        rank: service_rank::ServiceRank,
    ) -> bool {
        let usable = match rank.band {
            service_rank::LengthBand::Short => self.free,
            _ => self.free.saturating_sub(self.headroom),
        };
        let alone = !(request.grouped && self.grouped);
        self.slots > 0 && request.memory <= usable && self.is_within_prefill_limit(rank) && alone
    }

    /// Whether the prefill backlog ahead of a request is small enough for it to start.
    ///
    /// Requests beyond the limit wait in the queue, where they can still be reordered. An engine prefills one long
    /// prompt at a time; another long prompt may start only if the engine prefills it before the running one.
    fn is_within_prefill_limit(&self, rank: service_rank::ServiceRank) -> bool {
        let before = self.prefills.iter().filter(|(other, left)| *other <= rank && *left > 0.0);
        if rank.band == service_rank::LengthBand::Long {
            let mut long = before.filter(|(other, _)| other.band == rank.band);
            return long.next().is_none();
        }
        let backlog: f64 = before.map(|(_, left)| left).sum();
        backlog + self.foreign <= self.prefill_limit.0 as f64
    }
}
