//! Routing policies: choice of an engine among candidates, by slipturn's own policy or one of the baselines.

use std::time;

use crate::{ids, placement, settings, units};

/// An engine that a request could be sent to, with what this instance knows about the engine.
#[derive(Debug, Clone)]
pub struct RouteCandidate {
    /// Name of the engine in the published list.
    pub engine: ids::EngineId,
    /// Offer of the engine's scheduler; `None` if the scheduler did not answer.
    pub offer: Option<placement::EngineOffer>,
    /// Number of requests that this instance has outstanding on the engine.
    pub own_requests: usize,
    /// Summed memory that the outstanding requests of this instance need on the engine.
    pub own_tokens: units::TokenCount,
    /// Whether the engine is in this instance's data centre.
    pub near: bool,
}

/// A chosen candidate, with the reason shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteChoice {
    /// Index into the candidates.
    pub index: usize,
    /// Why the policy chose the candidate, as text for operators.
    pub reason: &'static str,
}

/// A strategy for choosing among candidates.
pub trait RoutingPolicy {
    /// Chooses a candidate; `None` if none is suitable.
    fn choose(&mut self, candidates: &[RouteCandidate]) -> Option<RouteChoice>;

    /// Whether the policy needs the offers of schedulers, which are requested for a sample of the engines.
    ///
    /// The baselines consider all engines and only the load that the instance itself has sent, like common routers.
    fn wants_offers(&self) -> bool;
}

/// Creates the policy selected in the settings.
pub fn policy_for(kind: settings::RoutingKind) -> Box<dyn RoutingPolicy> {
    match kind {
        settings::RoutingKind::ExpectedStart => Box::new(ExpectedStart),
        settings::RoutingKind::RoundRobin => Box::new(RoundRobin { next: 0 }),
        settings::RoutingKind::LeastRequests => Box::new(LeastRequests),
        settings::RoutingKind::LeastTokens => Box::new(LeastTokens),
    }
}

/// Penalty for engines in other data centres, added to their expected time to the first token.
const FAR_PENALTY: time::Duration = time::Duration::from_millis(5);

#[derive(Debug)]
struct ExpectedStart;

impl RoutingPolicy for ExpectedStart {
    fn choose(&mut self, candidates: &[RouteCandidate]) -> Option<RouteChoice> {
        let expected = |candidate: &RouteCandidate| {
            let offer = candidate.offer?;
            let penalty = if candidate.near { time::Duration::ZERO } else { FAR_PENALTY };
            Some((offer.first_token + penalty, std::cmp::Reverse(offer.free), offer.running))
        };
        let offered = candidates.iter().enumerate();
        let offered = offered.filter_map(|(index, candidate)| Some((expected(candidate)?, index)));
        let index = offered.min()?.1;
        Some(RouteChoice { index, reason: "earliest expected first token" })
    }

    fn wants_offers(&self) -> bool {
        true
    }
}

#[derive(Debug)]
struct RoundRobin {
    next: usize,
}

impl RoutingPolicy for RoundRobin {
    fn choose(&mut self, candidates: &[RouteCandidate]) -> Option<RouteChoice> {
        let index = self.next.checked_rem(candidates.len())?;
        self.next = self.next.wrapping_add(1);
        Some(RouteChoice { index, reason: "its turn" })
    }

    fn wants_offers(&self) -> bool {
        false
    }
}

#[derive(Debug)]
struct LeastRequests;

impl RoutingPolicy for LeastRequests {
    fn choose(&mut self, candidates: &[RouteCandidate]) -> Option<RouteChoice> {
        let counted = candidates.iter().enumerate();
        let (index, _) = counted.min_by_key(|(_, candidate)| candidate.own_requests)?;
        Some(RouteChoice { index, reason: "fewest requests outstanding" })
    }

    fn wants_offers(&self) -> bool {
        false
    }
}

#[derive(Debug)]
struct LeastTokens;

impl RoutingPolicy for LeastTokens {
    fn choose(&mut self, candidates: &[RouteCandidate]) -> Option<RouteChoice> {
        let counted = candidates.iter().enumerate();
        let (index, _) = counted.min_by_key(|(_, candidate)| candidate.own_tokens)?;
        Some(RouteChoice { index, reason: "fewest tokens outstanding" })
    }

    fn wants_offers(&self) -> bool {
        false
    }
}
