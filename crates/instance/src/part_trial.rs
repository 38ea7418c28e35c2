//! Trials of quarantined parts after the end of their quarantine: each member tries one prompt at a time, and the members
//! begin one after the other, so that a part that still crashes engines ends few of them.

use std::rc;

use slipturn_core::{part_quarantine, part_quarantine::verdicts, rendezvous};

use crate::{context, incoming_call};

/// The trial that a request takes part in, if any.
#[derive(Debug, Default)]
pub(crate) struct PartTrial(Option<rc::Rc<()>>);

impl PartTrial {
    /// Returns whether a prompt may be sent although its part is quarantined: it is sent once, as the only one of this
    /// process.
    pub(crate) fn is_allowed(
        &mut self,
        context: &context::InstanceContext,
        call: &incoming_call::IncomingCall,
        verdict: &part_quarantine::PartVerdict,
    ) -> bool {
        if self.0.is_some() {
            return call.broken_runs.get() == 0;
        }
        let mut running = context.part_trial.borrow_mut();
        if running.strong_count() > 0 || context.now() < own_start(context, verdict) {
            return false;
        }
        let trial = rc::Rc::new(());
        *running = rc::Rc::downgrade(&trial);
        log::info!(id = call.request.id.as_str(), scope:% = verdict.scope, parts:% = verdict.parts; "part.tried");
        self.0 = Some(trial);
        true
    }
}

/// Returns when this process may try prompts.
fn own_start(
    context: &context::InstanceContext,
    verdict: &part_quarantine::PartVerdict,
) -> slipturn_core::units::MonoTime {
    let own = context.settings().name.clone();
    let members = context.members.borrow();
    let alive: Vec<_> = members.alive(context.now()).map(|heartbeat| &heartbeat.name).collect();
    let subject = format!("{} {}", verdict.scope, verdict.parts);
    let candidates = alive.iter().copied().chain([&own]);
    let ranked = rendezvous::ranked(&subject, candidates, |name| name.as_str());
    let rank = ranked.iter().position(|name| **name == own).unwrap_or_default();
    verdicts::trial_start(verdict, rank, ranked.len())
}
