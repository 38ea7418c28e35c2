//! Which of the sampled engines takes a request: slipturn's own way and the baselines.

use std::time;

use crate::{ids, placement, settings, units};

/// One engine a request could go to, with what is known of it.
#[derive(Debug, Clone)]
pub struct RouteCandidate {
    /// The engine.
    pub engine: ids::EngineId,
    /// Its scheduler's offer; `None` where the scheduler did not answer.
    pub offer: Option<placement::EngineOffer>,
    /// Requests this entry itself has running there.
    pub own_requests: usize,
    /// Tokens of those requests.
    pub own_tokens: units::TokenCount,
    /// Whether it is in this entry's data centre.
    pub near: bool,
}

/// A choice and the reason an operator will read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteChoice {
    /// Index into the candidates.
    pub index: usize,
    /// Why this one.
    pub reason: &'static str,
}

/// A way of choosing among candidates.
pub trait RoutingPolicy {
    /// Chooses one, or `None` where there is none.
    fn choose(&mut self, candidates: &[RouteCandidate]) -> Option<RouteChoice>;

    /// Whether the choice rests on offers of schedulers, taken from a sample of the engines.
    ///
    /// The baselines look at all engines and at what the entry itself has sent, as common
    /// routers do.
    fn wants_offers(&self) -> bool;
}

/// Makes the policy that the settings name.
pub fn policy_for(kind: settings::RoutingKind) -> Box<dyn RoutingPolicy> {
    match kind {
        settings::RoutingKind::ExpectedStart => Box::new(ExpectedStart),
        settings::RoutingKind::RoundRobin => Box::new(RoundRobin { next: 0 }),
        settings::RoutingKind::LeastRequests => Box::new(LeastRequests),
        settings::RoutingKind::LeastTokens => Box::new(LeastTokens),
    }
}

/// What leaving the data centre costs, in expected time to the first token.
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
        let offered = offered.filter_map(|(index, one)| Some((expected(one)?, index)));
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
