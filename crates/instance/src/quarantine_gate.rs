//! Stops the work on requests that are quarantined, or whose prompts have quarantined parts.
//!
//! Everything that is sent for a request is sent by the one future that serves it: first attempts,
//! retries, resumed streams, prompts that wait for a place (an assignment to engines) and parts of
//! prompts that helper engines process. The gate wraps that future and checks the quarantine before
//! each poll, so the steps need no checks of their own. If the request is quarantined meanwhile,
//! the future is dropped, as when the caller disconnects.

use std::{cell, future::Future, pin, task, time};

use futures::{FutureExt as _, channel::oneshot, future};
use slipturn_core::{part_quarantine::verdicts, prompt_part, quarantine, refusal, units};

use crate::{context, incoming_call, part_trial};

/// Retry delay of a prompt that is held back while another one is tried.
const TRIAL_RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

type SharedSignal = future::Shared<oneshot::Receiver<()>>;

/// Wakes the requests in progress when a request is quarantined.
#[derive(Debug)]
pub struct VerdictSignal {
    next: cell::RefCell<(oneshot::Sender<()>, SharedSignal)>,
}

impl Default for VerdictSignal {
    fn default() -> Self {
        Self { next: cell::RefCell::new(new_signal()) }
    }
}

impl VerdictSignal {
    /// Makes all requests in progress check the quarantine.
    pub fn notify_all(&self) {
        let (sender, _) = self.next.replace(new_signal());
        // Sending fails if no request is in progress.
        let _ = sender.send(());
    }

    fn subscribe(&self) -> SharedSignal {
        self.next.borrow().1.clone()
    }
}

fn new_signal() -> (oneshot::Sender<()>, SharedSignal) {
    let (sender, receiver) = oneshot::channel();
    (sender, receiver.shared())
}

/// Why a request is held back.
#[derive(Debug)]
pub(crate) struct HeldRequest {
    /// Parts of its prompt that are quarantined; `None` if the request itself is.
    parts: Option<prompt_part::SharedParts>,
    /// Names of the upstreams that crashed, separated by spaces.
    pub(crate) upstreams: String,
    /// Number of these upstreams.
    crashes: usize,
    /// When the caller may try again.
    until: units::MonoTime,
}

impl From<quarantine::QuarantineVerdict> for HeldRequest {
    fn from(verdict: quarantine::QuarantineVerdict) -> Self {
        let (upstreams, crashes) = (verdict.names(), verdict.upstreams.len());
        Self { parts: None, upstreams, crashes, until: verdict.until }
    }
}

/// Runs `work` for a request unless the request or parts of its prompt are, or become, quarantined. A prompt whose
/// answer has begun goes on if only parts of it are quarantined: a complete answer clears them.
pub(crate) async fn pass<T>(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    work: impl Future<Output = T>,
) -> Result<T, HeldRequest> {
    let mut work = pin::pin!(work);
    let mut signal = context.verdicts.subscribe();
    let mut trial = part_trial::PartTrial::default();
    future::poll_fn(|cx| {
        while signal.poll_unpin(cx).is_ready() {
            signal = context.verdicts.subscribe();
        }
        // The quarantines change only between polls, so this check covers all that `work` sends in this poll.
        if let Some(held) = held(context, call, &mut trial) {
            return task::Poll::Ready(Err(held));
        }
        work.as_mut().poll(cx).map(Ok)
    })
    .await
}

fn held(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    trial: &mut part_trial::PartTrial,
) -> Option<HeldRequest> {
    let by_request = verdict(context, call).map(HeldRequest::from);
    by_request.or_else(|| held_by_part(context, call, trial))
}

fn verdict(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
) -> Option<quarantine::QuarantineVerdict> {
    let table = context.quarantine.borrow();
    // While no request is quarantined, the digest need not be computed.
    if !table.has_quarantined() {
        return None;
    }
    table.verdict(context.now(), call.digest())
}

fn held_by_part(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    trial: &mut part_trial::PartTrial,
) -> Option<HeldRequest> {
    let mut state = context.part_state.borrow_mut();
    if state.verdicts.is_empty() || call.answering.get() {
        return None;
    }
    let (now, parts) = (context.now(), &call.request.parts);
    let found = state.verdicts.find(now, &call.service, call.customer.as_ref(), parts);
    let (verdict, phase) = found.map(|(verdict, phase)| (verdict.clone(), phase))?;
    let is_begun = trial.has_begun();
    if phase == verdicts::VerdictPhase::Trial
        && trial.is_allowed(context, call, &state.verdicts, &verdict)
    {
        if !is_begun {
            state.verdicts.note_trial(now, verdict.scope, verdict.parts);
        }
        return None;
    }
    let until = match phase {
        verdicts::VerdictPhase::Quarantine => verdict.until(),
        verdicts::VerdictPhase::Trial => now + TRIAL_RETRY_AFTER,
    };
    Some(HeldRequest {
        parts: Some(verdict.parts.clone()),
        upstreams: verdict.names(),
        crashes: verdict.upstreams.len(),
        until,
    })
}

/// Returns whether this process knows of upstreams that crashed while they ran the request.
pub(crate) fn is_suspect(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
) -> bool {
    let table = context.quarantine.borrow();
    !table.is_empty() && table.suspects(call.digest())
}

/// Returns the refusal of a request that is held back.
pub(crate) fn refusal(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    held: &HeldRequest,
) -> refusal::RequestRefusal {
    let ended = held.crashes;
    let text = match &held.parts {
        Some(parts) => format!("{ended} upstreams ended while they ran prompts with part {parts}"),
        None => {
            format!("{ended} upstreams ended one after the other while they ran this request")
        }
    };
    if call.may_have_run.get() > 0 {
        let code = refusal::RefusalCode::UpstreamFailed;
        return refusal::RequestRefusal::not_run(code, text).ran(refusal::RanState::Unknown);
    }
    let retry_after = held.until.since(context.now());
    refusal::RequestRefusal::not_run(refusal::RefusalCode::Quarantined, text)
        .retry_after(retry_after)
}
