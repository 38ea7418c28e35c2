//! The gate that everything sent to upstreams passes, right before its first byte goes out.
//!
//! A request is chosen a place for long before it is sent: it waits in a planner's queue, for memory, for a
//! connection, behind an attempt before. What the upstream says meanwhile, to whomever, counts at the moment of
//! sending, and whoever sends knows it best; so no way of sending has a check of its own, and a connection to an
//! upstream gives its writing side only to who shows a [`SendPass`].
//!
//! To an upstream with a limit only that begins work for which its keeper has given leave: no instance sees the sum
//! that the limit concerns.

use slipturn_core::{engine_place, ids, retry, send_leave, send_permit};

use crate::{context, upstream_attempt};

/// Leave to send something to an upstream now; whoever holds it over a wait asks anew.
pub struct SendPass<'a> {
    context: &'a context::InstanceContext,
    upstream: ids::UpstreamId,
    /// Whether this is the request that finds out whether the upstream takes work again behind its rest.
    trial: bool,
}

impl Drop for SendPass<'_> {
    fn drop(&mut self) {
        if self.trial {
            // Whatever became of it, another may find out now; where it was answered the rest is over.
            let mut fleet = self.context.fleet.borrow_mut();
            fleet.list.notices_mut().end_trial(&self.upstream);
        }
    }
}

/// Lets something through, or says why it is kept back.
pub(crate) fn pass<'a>(
    context: &'a context::InstanceContext,
    upstream: &ids::UpstreamId,
    kind: send_permit::SendKind,
    leaves: &[send_leave::SendLeave],
) -> Result<SendPass<'a>, send_permit::KeptBack> {
    look(context, upstream, kind, leaves)?;
    let begun = kind == send_permit::SendKind::Request;
    if begun {
        context.sent.borrow_mut().count(context.now(), upstream);
    }
    let mut fleet = context.fleet.borrow_mut();
    let trial = begun && fleet.list.notices_mut().begin(context.now(), upstream);
    Ok(SendPass { context, upstream: upstream.clone(), trial })
}

/// Whether something would be let through now, before effort is spent on it.
pub(crate) fn look(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    kind: send_permit::SendKind,
    leaves: &[send_leave::SendLeave],
) -> Result<(), send_permit::KeptBack> {
    let permitted = context.fleet.borrow().list.permits(context.now(), upstream, kind, leaves);
    permitted.inspect_err(|reason| {
        let label = format!("{kind}/{}", reason.word());
        context.stats.borrow_mut().count("kept_back", &label);
        log::debug!(upstream:%, kind:%, reason:%; "upstream.kept_back");
    })
}

/// Lets a request through with all engines that take part in it, or says why it is kept back.
pub(crate) fn pass_request<'a>(
    context: &'a context::InstanceContext,
    target: &upstream_attempt::AttemptTarget,
) -> Result<SendPass<'a>, upstream_attempt::AttemptFault> {
    look_at_parts(context, target)?;
    let kind = send_permit::SendKind::Request;
    pass(context, &target.upstream, kind, &target.leaves).map_err(fault)
}

/// Whether a request would be let through now.
pub(crate) fn look_at_request(
    context: &context::InstanceContext,
    target: &upstream_attempt::AttemptTarget,
) -> Result<(), upstream_attempt::AttemptFault> {
    look_at_parts(context, target)?;
    let kind = send_permit::SendKind::Request;
    look(context, &target.upstream, kind, &target.leaves).map_err(fault)
}

/// Whether a place that a planner gave may be used now, before memory is set aside for it.
pub(crate) fn look_at_grant(
    context: &context::InstanceContext,
    grant: &engine_place::PlaceGrant,
    leaves: &[send_leave::SendLeave],
) -> Result<(), upstream_attempt::AttemptFault> {
    let holders = grant.held.iter().map(|part| &part.engine);
    let mut engines = std::iter::once(&grant.engine).chain(&grant.helpers).chain(holders);
    let kind = send_permit::SendKind::Request;
    engines.try_for_each(|engine| look(context, engine, kind, leaves)).map_err(fault)
}

/// Engines that read parts get them from the one that answers, but for this instance's request.
fn look_at_parts(
    context: &context::InstanceContext,
    target: &upstream_attempt::AttemptTarget,
) -> Result<(), upstream_attempt::AttemptFault> {
    let mut parts = target.helpers.iter();
    let kind = send_permit::SendKind::Request;
    let leaves = &target.leaves;
    parts.try_for_each(|part| look(context, &part.engine, kind, leaves)).map_err(fault)
}

pub(crate) fn fault(reason: send_permit::KeptBack) -> upstream_attempt::AttemptFault {
    upstream_attempt::AttemptFault::new(retry::AttemptFailure::KeptBack, reason)
}
