//! Trials of quarantined parts after the end of their quarantine: single prompts, one member after the other, so that a
//! part that still crashes engines ends few of them.

use slipturn_core::{
    part_quarantine::{self, verdicts},
    rendezvous, units,
};

use crate::{context, incoming_call, part_gossip};

/// Whether a request is sent as a trial.
#[derive(Debug, Default)]
pub(crate) struct PartTrial {
    begun: bool,
}

impl PartTrial {
    /// Returns whether a prompt may be sent although its part is quarantined: it is sent once, while no other is tried.
    pub(crate) fn is_allowed(
        &mut self,
        context: &context::InstanceContext,
        call: &incoming_call::IncomingCall,
        known: &verdicts::PartVerdicts,
        verdict: &part_quarantine::PartVerdict,
    ) -> bool {
        if self.begun {
            return call.broken_runs.get() == 0;
        }
        let now = context.now();
        if known.is_tried(now, verdict) || now < own_start(context, verdict) {
            return false;
        }
        let (scope, parts) = (&verdict.scope, &verdict.parts);
        log::info!(id = call.request.id.as_str(), scope:%, parts:%; "part.tried");
        part_gossip::announce_trial(context, scope, parts);
        self.begun = true;
        true
    }

    /// Returns whether the trial begins with this request.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun
    }
}

/// Returns when this process may try prompts.
fn own_start(
    context: &context::InstanceContext,
    verdict: &part_quarantine::PartVerdict,
) -> units::MonoTime {
    let own = context.settings().name.clone();
    let members = context.members.borrow();
    let alive: Vec<_> = members.alive(context.now()).map(|heartbeat| &heartbeat.name).collect();
    let subject = format!("{} {}", verdict.scope, verdict.parts);
    let candidates = alive.iter().copied().chain([&own]);
    let ranked = rendezvous::ranked(&subject, candidates, |name| name.as_str());
    let rank = ranked.iter().position(|name| **name == own).unwrap_or_default();
    verdicts::trial_start(verdict, rank, ranked.len())
}
