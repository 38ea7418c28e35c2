//! Stops the work on requests that are quarantined.
//!
//! Everything that is sent for a request is sent by the one future that serves it: first attempts,
//! retries, resumed streams, prompts that wait for a place (an assignment to engines) and parts of
//! prompts that helper engines process. The gate wraps that future and checks the quarantine before
//! each poll, so the steps need no checks of their own. If the request is quarantined meanwhile,
//! the future is dropped, as when the caller disconnects.

use std::{cell, future::Future, pin, task};

use futures::{FutureExt as _, channel::oneshot, future};
use slipturn_core::{quarantine, refusal};

use crate::{context, incoming_call};

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

/// Runs `work` for a request unless the request is, or becomes, quarantined. The error then names the upstreams that
/// crashed and the end of the quarantine.
pub(crate) async fn pass<T>(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    work: impl Future<Output = T>,
) -> Result<T, quarantine::QuarantineVerdict> {
    let mut work = pin::pin!(work);
    let mut signal = context.verdicts.subscribe();
    future::poll_fn(|cx| {
        while signal.poll_unpin(cx).is_ready() {
            signal = context.verdicts.subscribe();
        }
        // The quarantine table changes only between polls, so this check covers all that `work` sends in this poll.
        if let Some(verdict) = verdict(context, call) {
            return task::Poll::Ready(Err(verdict));
        }
        work.as_mut().poll(cx).map(Ok)
    })
    .await
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

/// Returns whether this process knows of upstreams that crashed while they ran the request.
pub(crate) fn is_suspect(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
) -> bool {
    let table = context.quarantine.borrow();
    !table.is_empty() && table.suspects(call.digest())
}

/// Returns the refusal of a quarantined request.
pub(crate) fn refusal(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    verdict: &quarantine::QuarantineVerdict,
) -> refusal::RequestRefusal {
    let ended = verdict.upstreams.len();
    let text = format!("{ended} upstreams ended one after the other while they ran this request");
    if call.may_have_run.get() > 0 {
        let code = refusal::RefusalCode::UpstreamFailed;
        return refusal::RequestRefusal::not_run(code, text).ran(refusal::RanState::Unknown);
    }
    let retry_after = verdict.until.since(context.now());
    refusal::RequestRefusal::not_run(refusal::RefusalCode::Quarantined, text)
        .retry_after(retry_after)
}
