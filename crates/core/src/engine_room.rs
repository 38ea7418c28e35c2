//! What one engine can take at one moment.

use crate::{placement, service_rank, units};

/// What an engine can take at one moment.
#[derive(Debug)]
pub(crate) struct EngineRoom {
    pub(crate) free: units::TokenCount,
    pub(crate) headroom: units::TokenCount,
    pub(crate) slots: usize,
    pub(crate) grouped: bool,
    /// Prefill work on the engine and the rank it has there.
    pub(crate) prefills: Vec<(service_rank::ServiceRank, f64)>,
    /// Prefill work that no lease explains.
    pub(crate) foreign: f64,
    pub(crate) prefill_limit: units::TokenCount,
    /// Set once an overdue request has not found room: no other but a short may take it.
    pub(crate) reserved: bool,
}

impl EngineRoom {
    /// Whether a waiting request can start now.
    pub(crate) fn fits(
        &mut self,
        request: &placement::PlaceRequest,
        rank: service_rank::ServiceRank,
        overdue: bool,
    ) -> bool {
        let short = rank.band == service_rank::LengthBand::Short;
        if self.has_room(request, rank) && (short || !self.reserved) {
            return true;
        }
        // Memory drains towards the first that is overdue; only shorts still go before it.
        self.reserved |= overdue && !short;
        false
    }

    fn has_room(&self, request: &placement::PlaceRequest, rank: service_rank::ServiceRank) -> bool {
        let usable = match rank.band {
            service_rank::LengthBand::Short => self.free,
            _ => self.free.saturating_sub(self.headroom),
        };
        let alone = !(request.grouped && self.grouped);
        self.slots > 0 && request.memory <= usable && self.is_within_prefill_limit(rank) && alone
    }

    /// Whether the engine has so little to do first that the order of the queue still matters.
    ///
    /// Of long prompts there is one at a time; one that goes before it on the engine may join it.
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
