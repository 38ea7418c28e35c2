//! Exchanges measured speeds of the upstreams of plain services with other members, if settings use them.
//!
//! A member sends its own measurements that have changed, with the periodic gossip rounds. Speeds are hints: lost
//! messages are not repeated, and members that use no speeds drop them.

use std::{collections, net};

use slipturn_core::{ids, upstream_speed};

use crate::{context, peer_message};

/// Factor from which the log has upstreams as uneven; they are even when the choice no longer tells any apart. With one
/// bound for both, an upstream near it would be logged each second.
const LOGGED_SLOWDOWN: f64 = 2.0;

/// Sends measurements that have changed to `targets`; called once a second. Logs when upstreams begin to differ and when
/// they no longer do.
pub(crate) fn send_changed(context: &context::InstanceContext, targets: &[net::SocketAddrV4]) {
    if !context.loads.borrow().uses_speeds() {
        return;
    }
    log_uneven(context);
    if targets.is_empty() {
        return;
    }
    let now = context.now();
    let changed =
        context.loads.borrow_mut().speeds_mut().take_changed(now, peer_message::MAX_SPEEDS);
    if changed.is_empty() {
        return;
    }
    context.stats.borrow_mut().count("upstream_speeds", "sent");
    for to in targets {
        context.send_to(*to, peer_message::PeerMessage::Speeds(changed.clone()));
    }
}

/// Handles the measurements of another member. Those of upstreams that this process does not list are dropped: they may
/// have restarted, and unknown names would use memory.
pub(crate) fn receive(context: &context::InstanceContext, reports: &[upstream_speed::SpeedReport]) {
    if !context.loads.borrow().uses_speeds() {
        return;
    }
    context.stats.borrow_mut().count("upstream_speeds", "received");
    let now = context.now();
    let fleet = context.fleet.borrow();
    let mut loads = context.loads.borrow_mut();
    let known = reports.iter().filter(|report| fleet.list.is_present(&report.upstream));
    for report in known.take(peer_message::MAX_SPEEDS) {
        loads.speeds_mut().receive(now, report);
    }
}

/// Describes the measured speed of an upstream for operators; empty if nothing recent is known.
pub(crate) fn describe(context: &context::InstanceContext, upstream: &ids::UpstreamId) -> String {
    let now = context.now();
    let loads = context.loads.borrow();
    let samples = loads.speeds().samples(now, upstream);
    if samples < 1.0 {
        return String::new();
    }
    let relative = loads.speeds().relative(now, upstream);
    format!("{relative} times the usual time, by {samples:.0} answers")
}

/// Logs when the first upstream begins to be slow, and when none is any more.
fn log_uneven(context: &context::InstanceContext) {
    let now = context.now();
    let slow = {
        let fleet = context.fleet.borrow();
        let mut services = collections::BTreeMap::<_, Vec<_>>::new();
        for entry in fleet.list.entries() {
            services.entry(&entry.service).or_default().push(&entry.name);
        }
        let loads = context.loads.borrow();
        let slowdowns = services
            .into_values()
            .flat_map(|names| loads.speeds().slowdowns(now, names.into_iter()));
        let is_uneven = context.slow_upstreams.get() > 0;
        let is_slow = |slowdown: &f64| *slowdown >= LOGGED_SLOWDOWN || is_uneven && *slowdown > 1.0;
        slowdowns.filter(is_slow).count()
    };
    let before = context.slow_upstreams.replace(slow);
    match (before, slow) {
        (0, 1..) => log::info!(slow; "upstreams.uneven"),
        (1.., 0) => log::info!(before; "upstreams.even"),
        _ => {}
    }
}
