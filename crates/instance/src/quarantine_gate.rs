//! The gate that every request passes, whatever is done for it: its work goes on only while it is not
//! held back.
//!
//! All that is sent for a request is sent by the one future that serves it: first tries, retries, streams
//! carried on, prompts that wait for a place, parts read elsewhere. So the gate stands around that
//! future and is looked at before each of its steps; none of them needs one of its own. What is under
//! way when the verdict comes ends with it, as where a caller leaves.

use std::{cell, future::Future, pin, task};

use futures::{FutureExt as _, channel::oneshot, future};
use slipturn_core::{quarantine, refusal};

use crate::{context, incoming_call};

type SharedBell = future::Shared<oneshot::Receiver<()>>;

/// Wakes requests that are being served when one is held back.
#[derive(Debug)]
pub struct VerdictSignal {
    next: cell::RefCell<(oneshot::Sender<()>, SharedBell)>,
}

impl Default for VerdictSignal {
    fn default() -> Self {
        Self { next: cell::RefCell::new(new_bell()) }
    }
}

impl VerdictSignal {
    /// Has all requests look at the gate.
    pub fn ring(&self) {
        let (sender, _) = self.next.replace(new_bell());
        // Nobody may be served now.
        let _ = sender.send(());
    }

    fn listen(&self) -> SharedBell {
        self.next.borrow().1.clone()
    }
}

fn new_bell() -> (oneshot::Sender<()>, SharedBell) {
    let (sender, receiver) = oneshot::channel();
    (sender, receiver.shared())
}

/// Does the work of a request while it is not held back; the error says why it is.
pub(crate) async fn pass<T>(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    work: impl Future<Output = T>,
) -> Result<T, quarantine::QuarantineVerdict> {
    let mut work = pin::pin!(work);
    let mut bell = context.verdicts.listen();
    future::poll_fn(|turn| {
        while bell.poll_unpin(turn).is_ready() {
            bell = context.verdicts.listen();
        }
        // The table changes only between two turns: what is sent below has passed.
        if let Some(verdict) = verdict(context, call) {
            return task::Poll::Ready(Err(verdict));
        }
        work.as_mut().poll(turn).map(Ok)
    })
    .await
}

fn verdict(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
) -> Option<quarantine::QuarantineVerdict> {
    let table = context.quarantine.borrow();
    // Without anybody held back no digest is worked out.
    if !table.has_quarantined() {
        return None;
    }
    table.verdict(context.now(), call.digest())
}

/// Whether upstreams have ended under a request, as far as this member knows.
pub(crate) fn is_suspect(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
) -> bool {
    let table = context.quarantine.borrow();
    !table.is_empty() && table.suspects(call.digest())
}

/// The final answer to a request that is held back.
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
    let back_after = verdict.until.since(context.now());
    refusal::RequestRefusal::not_run(refusal::RefusalCode::Quarantined, text)
        .retry_after(back_after)
}
