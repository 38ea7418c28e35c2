//! Decides whether a stopping instance may still send a request to an upstream.
//!
//! A request that cannot be expected to end before the exit is rejected at once, so that its caller can turn to another
//! instance; sent, it would be cut off. All sends of requests pass [`check`]: first attempts, retries, resumed streams,
//! requests that waited, and requests whose connection is relayed.

use std::{future::Future, pin, rc, time};

use futures::future;
use slipturn_core::{refusal, send_gate, stop_schedule, units};

use crate::{context, incoming_call};

/// Retry delay of a rejected request: other instances can serve it now.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(50);

/// Checks whether a request may be sent to an upstream now; `is_resumed` says whether it continues a stream of which the
/// caller has received a part.
pub(crate) fn check(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    is_resumed: bool,
) -> Result<(), send_gate::SendDenial> {
    match last_send_at(context, call, is_resumed) {
        Some(last) if context.now() > last => Err(send_gate::SendDenial::Stopping),
        _ => Ok(()),
    }
}

/// Returns until when a request may be sent to an upstream; `None` unless a graceful stop has begun.
pub(crate) fn last_send_at(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    is_resumed: bool,
) -> Option<units::MonoTime> {
    let schedule = context.stop_schedule.get()?;
    let expected = if is_resumed {
        stop_schedule::ExpectedTime::Resumed
    } else {
        context.loads.borrow().expected_time(&call.route, call.request.output)
    };
    let now = context.now();
    Some(schedule.last_send_at(now, call.left(now), expected))
}

/// Returns whether callers' connections are closed, as a graceful stop has lasted for long enough.
pub(crate) fn is_closing(context: &context::InstanceContext) -> bool {
    context.stop_schedule.get().is_some_and(|schedule| context.now() >= schedule.closing_at())
}

/// Completes `work` unless the process is about to exit. The work is pinned by the caller: as an owned argument it would
/// take its memory twice.
pub(crate) async fn until_exit<T>(
    context: &rc::Rc<context::InstanceContext>,
    work: pin::Pin<&mut impl Future<Output = T>>,
) -> Option<T> {
    match future::select(work, context.exiting.clone()).await {
        future::Either::Left((result, _)) => Some(result),
        future::Either::Right(_) => None,
    }
}

/// Returns the refusal of a request that no upstream has run, and which another instance can serve.
pub(crate) fn refusal() -> refusal::RequestRefusal {
    let code = refusal::RefusalCode::Stopping;
    refusal::RequestRefusal::not_run(code, "the instance is stopping").retry_after(RETRY_AFTER)
}

/// Returns the refusal of a request that is still in progress when the process exits.
pub(crate) fn refusal_at_exit(call: &incoming_call::IncomingCall) -> refusal::RequestRefusal {
    if call.may_have_run.get() == 0 {
        return refusal();
    }
    let text = "not finished before the exit of the instance";
    refusal::RequestRefusal::not_run(refusal::RefusalCode::UpstreamFailed, text)
        .ran(refusal::RanState::Unknown)
}
