//! Signals that upstreams send in the heads of their answers.

use std::{net, time};

use slipturn_core::{ids, planner::modes, units, upstream_notice};

use crate::{adapter, context, limit_gossip, member_gossip, peer_message};

/// Origin of a signal: the request whose answer carried it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SignalOrigin {
    /// When the request was sent.
    pub(crate) requested_at: units::MonoTime,
    /// Kind of answer that carried the signal.
    pub(crate) source: upstream_notice::NoticeSource,
}

/// Handles the signals in the head of an answer, even if the answer breaks off afterwards.
pub(crate) fn receive(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    status: http::StatusCode,
    answer: &adapter::UpstreamAnswer,
    origin: SignalOrigin,
) {
    let source = origin.source;
    if answer.leaving {
        receive_leaving(context, upstream, source);
    }
    limit_gossip::receive(context, upstream, answer, origin);
    let refusals = [http::StatusCode::SERVICE_UNAVAILABLE, http::StatusCode::TOO_MANY_REQUESTS];
    if refusals.contains(&status) {
        if let Some(backoff) = &answer.backoff {
            receive_backoff(context, upstream, backoff);
        }
    } else if source == upstream_notice::NoticeSource::Answer {
        receive_accepted(context, upstream);
    }
}

/// Handles the signals in the head of an answer to a call that the instance itself made to an engine at `address`; does
/// nothing unless exactly one upstream is listed there.
pub(crate) fn receive_at(
    context: &context::InstanceContext,
    address: net::SocketAddrV4,
    head: &http::response::Parts,
    origin: SignalOrigin,
) {
    let answer = adapter::UpstreamAdapter::parse_answer(&*context.adapter, head);
    if answer.misdirected || !(answer.leaving || answer.backoff.is_some() || answer.limit.is_some())
    {
        return;
    }
    let name = context.fleet.borrow().list.name_at(address).cloned();
    if let Some(name) = name {
        receive(context, &name, head.status, &answer, origin);
    }
}

/// Describes the notices of an upstream that are in force, for the record of a request.
pub(crate) fn describe_notices(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
) -> Option<String> {
    context.fleet.borrow().list.notices().describe(context.now(), upstream)
}

/// Handles leaving notices that another member has received.
pub(crate) fn receive_members(
    context: &context::InstanceContext,
    reports: Vec<peer_message::LeavingReport>,
) {
    for report in reports {
        let age = time::Duration::from_millis(report.age_ms);
        note_leaving(context, &report.upstream, upstream_notice::NoticeSource::Member, age);
    }
}

/// Sends a member the leaving upstreams that the list does not name as leaving.
pub(crate) fn send_leaving(context: &context::InstanceContext, to: net::SocketAddrV4) {
    if context.settings().experiments.leaving_news == modes::LeavingNoticeMode::Heard {
        return;
    }
    // Members learn of all other leaving upstreams from the list.
    let reports = context.fleet.borrow().leaving_reports(context.now());
    for part in reports.chunks(peer_message::MAX_LEAVING) {
        context.send_to(to, peer_message::PeerMessage::Leaving(part.to_vec()));
    }
}

/// Handles an upstream's leaving notice and broadcasts it: the list may be late during an outage of the store.
fn receive_leaving(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    source: upstream_notice::NoticeSource,
) {
    let is_new = note_leaving(context, upstream, source, time::Duration::ZERO);
    if !is_new || context.settings().experiments.leaving_news == modes::LeavingNoticeMode::Heard {
        return;
    }
    let report = peer_message::LeavingReport { upstream: upstream.clone(), age_ms: 0 };
    member_gossip::broadcast(context, &peer_message::PeerMessage::Leaving(vec![report]));
}

/// Records that an upstream is leaving; returns whether that is new.
fn note_leaving(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    source: upstream_notice::NoticeSource,
    age: time::Duration,
) -> bool {
    let mut fleet = context.fleet.borrow_mut();
    let is_new = fleet.list.receive_leaving(context.now(), upstream, source, age);
    if is_new {
        let age_ms = units::whole_millis(age);
        log::info!(upstream:%, source:%, age_ms; "upstream.leaves");
        context.stats.borrow_mut().count("upstream_leaves", &source.to_string());
        if let Some(entry) = fleet.list.entry(upstream) {
            // No more requests will use its idle connections.
            context.pool.close_idle(entry.address);
        }
    }
    is_new
}

/// Records that an upstream has accepted a request, and logs if that ends its backoff.
fn receive_accepted(context: &context::InstanceContext, upstream: &ids::UpstreamId) {
    let mut fleet = context.fleet.borrow_mut();
    if fleet.list.notices_mut().receive_accepted(context.now(), upstream) {
        log::info!(upstream:%; "upstream.rested");
    }
}

/// Handles the Retry-After of a refusal, which requests a backoff. In other answers the header has another meaning.
fn receive_backoff(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    backoff: &Result<time::Duration, adapter::FormatError>,
) {
    let requested = match backoff {
        Ok(requested) => *requested,
        Err(error) => {
            log::info!(upstream:%, error:%; "upstream.rest_unreadable");
            context.stats.borrow_mut().count("upstream_rests", "unreadable");
            return;
        }
    };
    let change = {
        let mut fleet = context.fleet.borrow_mut();
        fleet.list.notices_mut().receive_backoff(context.now(), upstream, requested)
    };
    let asked_ms = units::whole_millis(requested);
    let for_ms = units::whole_millis(requested.min(upstream_notice::MAX_ACCEPTED_BACKOFF));
    match change {
        upstream_notice::BackoffChange::Known => return,
        upstream_notice::BackoffChange::Begun => {
            log::info!(upstream:%, asked_ms, for_ms; "upstream.rests");
        }
        upstream_notice::BackoffChange::Longer => {
            log::debug!(upstream:%, asked_ms, for_ms; "upstream.rests_longer");
        }
    }
    context.stats.borrow_mut().count("upstream_rests", "asked");
}

/// Broadcasts that an upstream is gone, as another one answered at its address. Failed connections are not broadcast,
/// as they may be the fault of this instance.
pub(crate) fn broadcast_gone(context: &context::InstanceContext, upstream: &ids::UpstreamId) {
    let is_new = context.loads.borrow_mut().receive_gone(context.now(), upstream);
    if !is_new {
        return;
    }
    log::info!(upstream:%; "upstream.gone");
    member_gossip::broadcast(context, &peer_message::PeerMessage::Gone(upstream.clone()));
}
