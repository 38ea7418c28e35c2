//! The gate that every send to an upstream passes right before its first byte.
//!
//! Between the choice of an upstream and the send a request waits for its planner, for memory, for a connection or
//! for an earlier attempt. Notices of the upstream (leaving, backoff, limit) that arrive meanwhile count, so the gate
//! checks them for all sends, and the writing side of a connection to an upstream is available only with a
//! [`SendPass`].
//!
//! Work for an upstream with a limit needs a permit of its coordinator.

use slipturn_core::{engine_place, ids, quota_permit, retry, send_gate};

use crate::{context, incoming_call, stop_gate, upstream_attempt};

/// Permission to send to an upstream now; after a wait a new one is needed.
pub struct SendPass<'a> {
    context: &'a context::InstanceContext,
    upstream: ids::UpstreamId,
    /// Whether the request that holds the pass probes the upstream after a backoff.
    is_probe: bool,
}

impl Drop for SendPass<'_> {
    fn drop(&mut self) {
        if self.is_probe {
            // Another request may probe now; a successful probe has ended the backoff.
            let mut fleet = self.context.fleet.borrow_mut();
            fleet.list.notices_mut().end_probe(&self.upstream);
        }
    }
}

/// Returns the pass for a send, or the reason why the send is denied.
pub(crate) fn pass<'a>(
    context: &'a context::InstanceContext,
    upstream: &ids::UpstreamId,
    kind: send_gate::SendKind,
    permits: &[quota_permit::SendPermit],
) -> Result<SendPass<'a>, send_gate::SendDenial> {
    check_send(context, upstream, kind, permits)?;
    let is_request = kind == send_gate::SendKind::Request;
    if is_request {
        context.sent.borrow_mut().count(context.now(), upstream);
    }
    let mut fleet = context.fleet.borrow_mut();
    let is_probe = is_request && fleet.list.notices_mut().begin(context.now(), upstream);
    Ok(SendPass { context, upstream: upstream.clone(), is_probe })
}

/// Checks whether a send would pass now.
pub(crate) fn check_send(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    kind: send_gate::SendKind,
    permits: &[quota_permit::SendPermit],
) -> Result<(), send_gate::SendDenial> {
    let permitted = context.fleet.borrow().list.permits(context.now(), upstream, kind, permits);
    permitted.inspect_err(|reason| {
        let label = format!("{kind}/{}", reason.label());
        context.stats.borrow_mut().count("kept_back", &label);
        log::debug!(upstream:%, kind:%, reason:%; "upstream.kept_back");
    })
}

/// Returns the pass for a request with all its helpers, or the reason why the request is denied.
pub(crate) fn pass_request<'a>(
    context: &'a context::InstanceContext,
    call: &incoming_call::IncomingCall,
    target: &upstream_attempt::AttemptTarget,
) -> Result<SendPass<'a>, upstream_attempt::AttemptFault> {
    check_stop(context, call, target.last_event.is_some())?;
    check_helpers(context, target)?;
    let kind = send_gate::SendKind::Request;
    pass(context, &target.upstream, kind, &target.permits).map_err(fault)
}

/// Checks whether a request with all its helpers would pass now.
pub(crate) fn check_request(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    target: &upstream_attempt::AttemptTarget,
) -> Result<(), upstream_attempt::AttemptFault> {
    check_stop(context, call, target.last_event.is_some())?;
    check_helpers(context, target)?;
    let kind = send_gate::SendKind::Request;
    check_send(context, &target.upstream, kind, &target.permits).map_err(fault)
}

/// Checks whether a granted place may be used now, before memory is reserved.
pub(crate) fn check_grant(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    grant: &engine_place::PlaceGrant,
    permits: &[quota_permit::SendPermit],
    is_resumed: bool,
) -> Result<(), upstream_attempt::AttemptFault> {
    check_stop(context, call, is_resumed)?;
    let holders = grant.held.iter().map(|part| &part.engine);
    let mut engines = std::iter::once(&grant.engine).chain(&grant.helpers).chain(holders);
    let kind = send_gate::SendKind::Request;
    engines.try_for_each(|engine| check_send(context, engine, kind, permits)).map_err(fault)
}

/// Checks whether a request may still be sent if this instance stops.
fn check_stop(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    is_resumed: bool,
) -> Result<(), upstream_attempt::AttemptFault> {
    stop_gate::check(context, call, is_resumed).map_err(|reason| {
        let label = format!("{}/{}", send_gate::SendKind::Request, reason.label());
        context.stats.borrow_mut().count("kept_back", &label);
        fault(reason)
    })
}

/// Checks whether sends to the helpers that process parts of the prompt would pass now.
fn check_helpers(
    context: &context::InstanceContext,
    target: &upstream_attempt::AttemptTarget,
) -> Result<(), upstream_attempt::AttemptFault> {
    let mut parts = target.helpers.iter();
    let kind = send_gate::SendKind::Request;
    let permits = &target.permits;
    parts.try_for_each(|part| check_send(context, &part.engine, kind, permits)).map_err(fault)
}

pub(crate) fn fault(reason: send_gate::SendDenial) -> upstream_attempt::AttemptFault {
    upstream_attempt::AttemptFault::new(retry::AttemptFailure::Denied, reason)
}
