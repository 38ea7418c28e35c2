//! Upstreams as operators see them: what the list and they themselves say, what this process sends there, and who keeps
//! what all members may do together.

use std::collections;

use slipturn_core::{ids, quota_permit, send_counts, upstream_list};

use crate::{context, fleet_state, quota_coordinator};

/// A row for each upstream.
pub(crate) fn upstreams(context: &context::InstanceContext) -> Vec<serde_json::Value> {
    let now = context.now();
    let fleet = context.fleet.borrow();
    let sums = service_sums(context, &fleet);
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
            "connections": connections(context, entry),
        })
    };
    fleet.list.entries().map(row).collect()
}

/// A row for each service: who keeps the retries that all members share, and to whom they were given.
pub(crate) fn retries(context: &context::InstanceContext) -> Vec<serde_json::Value> {
    let services: Vec<_> = context.fleet.borrow().routes.services.keys().cloned().collect();
    let row = |service: ids::ServiceId| {
        let subject = quota_permit::QuotaSubject::all_retries(service.clone());
        let kept = quota_coordinator::summary(context, &subject).unwrap_or_default();
        serde_json::json!({ "service": service, "kept": kept })
    };
    services.into_iter().map(row).collect()
}

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

/// Requests that this process sent lately, by service.
fn service_sums(
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

fn sent(
    context: &context::InstanceContext,
    entry: &upstream_list::UpstreamEntry,
    sums: &collections::HashMap<ids::ServiceId, u32>,
) -> String {
    let count = context.sent.borrow().recent_count(context.now(), &entry.name);
    let sum = sums.get(&entry.service).copied().unwrap_or(0).max(1);
    let part = f64::from(count) / f64::from(sum);
    let span = send_counts::COUNT_TIME.as_secs();
    format!("{count} in {span} s, {part:.2} of its service's")
}

fn connections(context: &context::InstanceContext, entry: &upstream_list::UpstreamEntry) -> String {
    let held = context.pool.held(entry.address);
    let most = context.resting_share(&entry.name);
    format!("{} open, {} of {most} at rest", held.open, held.resting)
}
