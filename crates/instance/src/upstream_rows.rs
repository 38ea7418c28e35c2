//! Rows on upstreams and services for operators: listed state, notices of upstreams, requests sent by this process, and
//! coordinators of shared quotas.

use std::collections;

use slipturn_core::{ids, quota_permit, send_counts, upstream_list};

use crate::{context, fleet_state, quota_coordinator, speed_gossip};

/// Returns a row for each listed upstream.
pub(crate) fn upstreams(context: &context::InstanceContext) -> Vec<serde_json::Value> {
    let now = context.now();
    let fleet = context.fleet.borrow();
    let sums = sent_by_service(context, &fleet);
    let row = |entry: &upstream_list::UpstreamEntry| {
        serde_json::json!({
            "upstream": entry.name.to_string(),
            "service": entry.service,
            "data_center": entry.data_center,
            "listed": format!("{:?}", entry.state).to_lowercase(),
            "evacuated": fleet.list.is_evacuated(entry),
            "recovery": fleet.list.recovery_label(&entry.name),
            "said": fleet.list.notices().describe(now, &entry.name).unwrap_or_default(),
            "limit": limit(context, &fleet, &entry.name),
            "sent": sent(context, entry, &sums),
            "speed": speed_gossip::describe(context, &entry.name),
            "connections": connections(context, entry),
        })
    };
    fleet.list.entries().map(row).collect()
}

/// Returns a row for each service: the coordinator of its retry quota, and the recent grants.
pub(crate) fn retries(context: &context::InstanceContext) -> Vec<serde_json::Value> {
    let services: Vec<_> = context.fleet.borrow().routes.services.keys().cloned().collect();
    let row = |service: ids::ServiceId| {
        let subject = quota_permit::QuotaSubject::all_retries(service.clone());
        let summary = quota_coordinator::summary(context, &subject).unwrap_or_default();
        serde_json::json!({ "service": service, "kept": summary })
    };
    services.into_iter().map(row).collect()
}

/// Coordinator and recent grants of an upstream's limit; empty if it has none.
fn limit(
    context: &context::InstanceContext,
    fleet: &fleet_state::FleetState,
    upstream: &ids::UpstreamId,
) -> String {
    if fleet.list.limit(upstream).is_none() {
        return String::new();
    }
    let subject = quota_permit::QuotaSubject::Upstream(upstream.clone());
    quota_coordinator::summary(context, &subject).unwrap_or_default()
}

/// Numbers of requests that this process has sent recently, by service.
fn sent_by_service(
    context: &context::InstanceContext,
    fleet: &fleet_state::FleetState,
) -> collections::HashMap<ids::ServiceId, u32> {
    let counts = context.sent.borrow();
    fleet.list.entries().fold(collections::HashMap::new(), |mut sums, entry| {
        *sums.entry(entry.service.clone()).or_default() +=
            counts.recent_count(context.now(), &entry.name);
        sums
    })
}

/// Number of requests sent recently to an upstream, and its share of those sent to the whole service.
fn sent(
    context: &context::InstanceContext,
    entry: &upstream_list::UpstreamEntry,
    sums: &collections::HashMap<ids::ServiceId, u32>,
) -> String {
    let count = context.sent.borrow().recent_count(context.now(), &entry.name);
    let sum = sums.get(&entry.service).copied().unwrap_or(0).max(1);
    let share = f64::from(count) / f64::from(sum);
    let span = send_counts::COUNT_TIME.as_secs();
    format!("{count} in {span} s, {share:.2} of its service's")
}

/// Numbers of open and idle connections to an upstream, and the maximum number that may stay idle.
fn connections(context: &context::InstanceContext, entry: &upstream_list::UpstreamEntry) -> String {
    let counts = context.pool.connection_counts(entry.address);
    let max_idle = context.idle_connection_limit(&entry.name);
    format!("{} open, {} of {max_idle} at rest", counts.open, counts.idle)
}
