//! Handles an engine's fault: what is reported to the planner, and which engines the request's next
//! attempts exclude.

use slipturn_core::{connection_silence, engine_place, ids, retry, send_gate, units};

use crate::{
    context, limit_gossip, plan_client, silence_watch, stream_state, upstream_attempt,
    upstream_pool, upstream_silence, upstream_starts,
};

/// Returns how the place (the assignment of the attempt to engines) ended, for the report to its
/// planner, after an attempt that failed with `fault`.
pub(crate) fn place_end(
    context: &context::InstanceContext,
    hold: &plan_client::PlaceHold,
    fault: &upstream_attempt::AttemptFault,
) -> engine_place::PlaceEnd {
    use retry::AttemptFailure;
    if hold.end == engine_place::PlaceEnd::Silent {
        return hold.end;
    }
    let other = fault.at_fault.filter(|address| Some(*address) != hold.address());
    match (fault.failure, other) {
        // The engine refused because of another engine, or never received the request.
        (AttemptFailure::SaidNotRun | AttemptFailure::Misdirected, Some(_))
        | (AttemptFailure::NotPrepared | AttemptFailure::Denied, _) => engine_place::PlaceEnd::Done,
        (AttemptFailure::SaidNotRun, None) => engine_place::PlaceEnd::Full,
        // The planner polls the engine before it ejects it, as only a link of this process may have failed.
        (AttemptFailure::BrokeBeforeAnswer | AttemptFailure::BrokeMidAnswer, _)
            if context.reach.borrow().lost_since(&hold.key().service).is_some() =>
        {
            engine_place::PlaceEnd::Silent
        }
        (AttemptFailure::NotConnected, _) if fault.link_doubt => engine_place::PlaceEnd::Silent,
        _ => engine_place::PlaceEnd::Failed,
    }
}

/// Excludes the engine that caused a fault from the request's next attempts.
pub(crate) fn exclude_at_fault(
    context: &context::InstanceContext,
    state: &mut stream_state::StreamState,
    hold: &plan_client::PlaceHold,
    fault: &upstream_attempt::AttemptFault,
) {
    if fault.failure == retry::AttemptFailure::Denied {
        // No engine failed, and the gate checks the notices of engines again before the next attempt. A planner that
        // does not know the reason of the denial would grant the same engine again.
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
    // If no other engine is left, a silent one is tried again: perhaps only its connection was silent,
    // and the next attempt uses a new one.
    let silent = hold.end == engine_place::PlaceEnd::Silent;
    let already_excluded = state.excluded.contains(&cause);
    if already_excluded || (silent && is_only_engine_left(context, state, hold)) {
        return;
    }
    state.excluded.push(cause);
}

/// Excludes, from the request's next attempts, the first engine of a place to which this instance must not send the
/// request now, and reports that engine's limit to the limit's coordinator.
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

/// Returns whether the engine of the last attempt is the only open one that the request does not exclude.
fn is_only_engine_left(
    context: &context::InstanceContext,
    state: &stream_state::StreamState,
    hold: &plan_client::PlaceHold,
) -> bool {
    let fleet = context.fleet.borrow();
    let open = fleet.list.open(context.now(), &hold.key().service, send_gate::ProbePermission::No);
    open.iter().all(|entry| entry.name == hold.grant.engine || state.excluded.contains(&entry.name))
}

/// Records that a wait for the engine, begun at `since`, was given up; returns the text for the
/// request's record.
pub(crate) fn record_silence(
    context: &context::InstanceContext,
    hold: &mut plan_client::PlaceHold,
    times: &upstream_pool::ConnectionTimes,
    phase: connection_silence::SilencePhase,
    since: units::MonoTime,
    fault: silence_watch::WaitFault,
) -> String {
    let silence_watch::WaitFault::Silent(silence) = fault else {
        return upstream_starts::RESTARTED.to_owned();
    };
    hold.end = engine_place::PlaceEnd::Silent;
    let waited = context.now().since(since);
    let upstream = &hold.grant.engine;
    let wait = upstream_silence::SilentWait { upstream, times, phase, waited };
    format!("{silence}: {}", upstream_silence::note(context, &wait).label())
}
