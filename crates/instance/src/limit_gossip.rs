//! Limits of upstreams, read from their answers and exchanged between members.
//!
//! All members are informed when a limit begins or ends; changes of its value are sent to the coordinator of its quota
//! alone. Gossip rounds make up for lost messages.

use std::{collections, net, time};

use slipturn_core::{ids, quota_permit, units, upstream_limit, upstream_notice};

use crate::{adapter, context, member_gossip, peer_message, quota_coordinator, upstream_signals};

/// Minimum interval between two log lines on changes of one upstream's limit.
const CHANGE_LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time of the last logged change of each upstream's limit.
pub(crate) type LimitLog = collections::BTreeMap<ids::UpstreamId, units::MonoTime>;

/// Handles the limit that an answer states. The absence of a limit ends the known one only in answers to requests, as
/// other answers need not state it.
pub(crate) fn receive(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    answer: &adapter::UpstreamAnswer,
    origin: upstream_signals::SignalOrigin,
) {
    let rate = match &answer.limit {
        Some(Ok(rate)) => Some(*rate),
        Some(Err(error)) => {
            log::info!(upstream:%, error:%; "upstream.limit_unreadable");
            context.stats.borrow_mut().count("upstream_limits", "unreadable");
            return;
        }
        None if origin.source == upstream_notice::NoticeSource::Answer => None,
        None => return,
    };
    let (received, source) = (context.now(), origin.source);
    let reading =
        upstream_limit::LimitReading { rate, requested: origin.requested_at, received, source };
    match apply_reading(context, upstream, reading) {
        upstream_limit::LimitChange::Known => {}
        upstream_limit::LimitChange::Changed(..) => notify_coordinator(context, upstream),
        upstream_limit::LimitChange::Begun(_) | upstream_limit::LimitChange::Ended => {
            if let Some(report) = report(context, upstream) {
                let message = peer_message::PeerMessage::Limits(vec![report]);
                member_gossip::broadcast(context, &message);
            }
        }
    }
}

/// Handles limits that other members have read.
pub(crate) fn receive_members(
    context: &context::InstanceContext,
    reports: Vec<peer_message::LimitReport>,
) {
    let now = context.now();
    let ago = |micros| now.earlier_by(time::Duration::from_micros(micros));
    for report in reports {
        let received = ago(report.heard_us);
        let reading = upstream_limit::LimitReading {
            rate: report.rate,
            requested: ago(report.asked_us).min(received),
            received,
            source: upstream_notice::NoticeSource::Member,
        };
        apply_reading(context, &report.upstream, reading);
    }
}

/// Sends a member all limits known to this process, and those that ended recently.
pub(crate) fn send_to(context: &context::InstanceContext, to: net::SocketAddrV4) {
    let now = context.now();
    let reports: Vec<_> = {
        let fleet = context.fleet.borrow();
        let readings = fleet.list.notices().limit_readings();
        readings.map(|(upstream, reading)| report_of(now, upstream, &reading)).collect()
    };
    for part in reports.chunks(peer_message::MAX_LIMITS) {
        context.send_to(to, peer_message::PeerMessage::Limits(part.to_vec()));
    }
}

/// Sends the limit of an upstream, as known to this process, to the limit's coordinator.
pub(crate) fn notify_coordinator(context: &context::InstanceContext, upstream: &ids::UpstreamId) {
    let subject = quota_permit::QuotaSubject::Upstream(upstream.clone());
    let coordinator = quota_coordinator::coordinator_of(context, &subject);
    if let (Some(coordinator), Some(report)) = (coordinator, report(context, upstream)) {
        context.send_to(coordinator.address, peer_message::PeerMessage::Limits(vec![report]));
    }
}

/// Report of an upstream's limit for other members; `None` if none is known.
pub(crate) fn report(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
) -> Option<peer_message::LimitReport> {
    let fleet = context.fleet.borrow();
    let reading = fleet.list.notices().limit_reading(upstream)?;
    Some(report_of(context.now(), upstream, &reading))
}

fn report_of(
    now: units::MonoTime,
    upstream: &ids::UpstreamId,
    reading: &upstream_limit::LimitReading,
) -> peer_message::LimitReport {
    let micros = |at| u64::try_from(now.since(at).as_micros()).unwrap_or(u64::MAX);
    peer_message::LimitReport {
        upstream: upstream.clone(),
        rate: reading.rate,
        asked_us: micros(reading.requested),
        heard_us: micros(reading.received),
    }
}

/// Applies a reading of an upstream's limit; a change of the limit is logged and updates the quotas.
fn apply_reading(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    reading: upstream_limit::LimitReading,
) -> upstream_limit::LimitChange {
    let limit_change =
        context.fleet.borrow_mut().list.notices_mut().receive_limit(upstream, reading);
    let source = reading.source;
    let change = match limit_change {
        upstream_limit::LimitChange::Known => return limit_change,
        upstream_limit::LimitChange::Begun(rate) => {
            log::info!(upstream:%, source:%, rate:%; "upstream.limited");
            "begun"
        }
        upstream_limit::LimitChange::Changed(rate, before) => {
            if may_log_change(context, upstream) {
                log::info!(upstream:%, source:%, rate:%, before:%; "upstream.limit_changed");
            }
            "changed"
        }
        upstream_limit::LimitChange::Ended => {
            log::info!(upstream:%, source:%; "upstream.unlimited");
            "ended"
        }
    };
    context.stats.borrow_mut().count("upstream_limits", &format!("{change}/{source}"));
    quota_coordinator::refresh(context);
    let subject = quota_permit::QuotaSubject::Upstream(upstream.clone());
    context.quotas.cache.borrow_mut().end_backoff(&subject);
    limit_change
}

/// Whether a change of an upstream's limit may be logged now: limits may change with each answer.
fn may_log_change(context: &context::InstanceContext, upstream: &ids::UpstreamId) -> bool {
    let now = context.now();
    let mut log = context.quotas.limit_log.borrow_mut();
    let due = log.get(upstream).is_none_or(|last| now.since(*last) >= CHANGE_LOG_INTERVAL);
    if due {
        log.insert(upstream.clone(), now);
    }
    due
}
