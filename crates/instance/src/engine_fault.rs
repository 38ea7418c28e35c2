//! What follows from an engine's fault for the other attempts of a request, and for others.

use slipturn_core::{connection_silence, engine_place, ids, retry, send_gate, units};

use crate::{
    context, limit_gossip, plan_client, silence_watch, stream_state, upstream_attempt,
    upstream_pool, upstream_silence, upstream_starts,
};

/// What a fault says of the engine that had the request.
pub(crate) fn place_end(
    hold: &plan_client::PlaceHold,
    fault: &upstream_attempt::AttemptFault,
) -> engine_place::PlaceEnd {
    use retry::AttemptFailure;
    if hold.end == engine_place::PlaceEnd::Silent {
        return hold.end;
    }
    let other = fault.at_fault.filter(|address| Some(*address) != hold.address());
    match (fault.failure, other) {
        // It refused for another one's sake, or never had the request.
        (AttemptFailure::SaidNotRun | AttemptFailure::Misdirected, Some(_))
        | (AttemptFailure::NotPrepared | AttemptFailure::Denied, _) => engine_place::PlaceEnd::Done,
        (AttemptFailure::SaidNotRun, None) => engine_place::PlaceEnd::Full,
        _ => engine_place::PlaceEnd::Failed,
    }
}

/// Leaves the engine that was the cause alone.
pub(crate) fn blame(
    context: &context::InstanceContext,
    state: &mut stream_state::StreamState,
    hold: &plan_client::PlaceHold,
    fault: &upstream_attempt::AttemptFault,
) {
    if fault.failure == retry::AttemptFailure::Denied {
        // Nobody has failed, and the gate is asked again before the next attempt; a planner that does not
        // know of it would give the same engine again.
        exclude_denied(context, state, hold);
        return;
    }
    let named = fault.at_fault.and_then(|address| {
        let fleet = context.fleet.borrow();
        let found = fleet.list.entries().find(|entry| entry.address == address);
        found.map(|entry| entry.name.clone())
    });
    let cause = named.unwrap_or_else(|| hold.grant.engine.clone());
    if cause != hold.grant.engine {
        hold.eject(&cause);
    }
    // Where it is the only one, its connection may have been silent: it gets the request over a
    // new one.
    let silent = hold.end == engine_place::PlaceEnd::Silent;
    let known = state.excluded.contains(&cause);
    if known || (silent && is_last(context, state, hold)) {
        return;
    }
    state.excluded.push(cause);
}

/// Leaves out for a request what its planner would give again, as it does not know why this instance must not use it.
fn exclude_denied(
    context: &context::InstanceContext,
    state: &mut stream_state::StreamState,
    hold: &plan_client::PlaceHold,
) {
    let now = context.now();
    let kind = send_gate::SendKind::Request;
    let mut engines = std::iter::once(&hold.grant.engine).chain(&hold.grant.helpers);
    let is_denied = |engine: &&ids::UpstreamId| {
        context.fleet.borrow().list.permits(now, engine, kind, &hold.permits).is_err()
    };
    let Some(engine) = engines.find(is_denied) else {
        return;
    };
    limit_gossip::notify_coordinator(context, engine);
    state.excluded.push(engine.clone());
}

/// Whether no other engine is left for a request than the one of its last attempt.
fn is_last(
    context: &context::InstanceContext,
    state: &stream_state::StreamState,
    hold: &plan_client::PlaceHold,
) -> bool {
    let fleet = context.fleet.borrow();
    let open = fleet.list.open(context.now(), &hold.key().service, send_gate::ProbePermission::No);
    open.iter().all(|entry| entry.name == hold.grant.engine || state.excluded.contains(&entry.name))
}

/// Draws the conclusions of a wait, begun at `since`, that is given up; returns what it says in the
/// request's record.
pub(crate) fn note_wait(
    context: &context::InstanceContext,
    hold: &mut plan_client::PlaceHold,
    life: &upstream_pool::ConnectionLife,
    moment: connection_silence::SilencePhase,
    since: units::MonoTime,
    fault: silence_watch::WaitFault,
) -> String {
    let silence_watch::WaitFault::Silent(silence) = fault else {
        return upstream_starts::RESTARTED.to_owned();
    };
    hold.end = engine_place::PlaceEnd::Silent;
    let waited = context.now().since(since);
    let upstream = &hold.grant.engine;
    let wait = upstream_silence::SilentWait { upstream, life, moment, waited };
    format!("{silence}: {}", upstream_silence::note(context, &wait).label())
}
