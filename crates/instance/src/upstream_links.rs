//! Records which upstreams this process reaches over its own links, and logs when it reaches none of a service.

use slipturn_core::{ids, units, upstream_reach};

use crate::{context, upstream_pool};

/// Records that a connection has carried bytes from its upstream.
pub(crate) fn note_answer(
    context: &context::InstanceContext,
    attempt: upstream_reach::LinkAttempt<'_>,
) {
    let change = context.reach.borrow_mut().note_answer(context.now(), attempt);
    log_change(attempt.service, change);
}

/// Records that a connection could not be opened, or failed before it carried a byte.
pub(crate) fn note_failure(
    context: &context::InstanceContext,
    attempt: upstream_reach::LinkAttempt<'_>,
) {
    let listed = context.fleet.borrow().list.listed_count(attempt.service);
    let change = context.reach.borrow_mut().note_failure(context.now(), attempt, listed);
    log_change(attempt.service, change);
}

/// Records the end of an exchange, or of a wait, by whether its connection has ever carried bytes. The silence of a
/// connection that was used before is no evidence, as it may have died on its own.
pub(crate) fn note_exchange(
    context: &context::InstanceContext,
    service: &ids::ServiceId,
    times: &upstream_pool::ConnectionTimes,
) {
    let now = context.now();
    if let Some(member) = times.relay() {
        let mut relays = context.relays.borrow_mut();
        if times.has_received() {
            relays.note_success(member);
        } else {
            relays.note_failure(now, member);
        }
        return;
    }
    let opened = now.earlier_by(times.age());
    let attempt = upstream_reach::LinkAttempt { service, address: times.address(), opened };
    if times.has_received() {
        note_answer(context, attempt);
    } else {
        note_failure(context, attempt);
    }
}

fn log_change(service: &ids::ServiceId, change: Option<upstream_reach::ReachChange>) {
    match change {
        None => {}
        Some(upstream_reach::ReachChange::Lost) => {
            log::warn!(service:%; "upstreams.unreachable");
        }
        Some(upstream_reach::ReachChange::Restored(span)) => {
            log::info!(service:%, after_ms = units::whole_millis(span); "upstreams.reachable");
        }
    }
}
