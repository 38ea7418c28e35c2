//! Probes links to upstreams whose connections are relayed, so that these are opened directly again once the link works.

use std::{net, rc, time};

use rand::seq::IteratorRandom as _;
use slipturn_core::{ids, upstream_list};
use slipturn_net::process;

use crate::{context, engine_call, upstream_connect};

/// Interval at which the prober checks whether a probe is due.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Timeout of the answer to a probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Probes links as their probes become due, one in [`CHECK_INTERVAL`] at most; never returns.
pub async fn repeat(context: rc::Rc<context::InstanceContext>) {
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let due = context.reach.borrow_mut().take_probe(context.now());
        if let Some((service, address)) = due {
            process::spawn_isolated(probe(rc::Rc::clone(&context), service, address));
        }
    }
}

/// Requests the upstream's report over a direct connection. Any answer shows that the link works; an open connection
/// alone does not, as something in between may have accepted it.
async fn probe(
    context: rc::Rc<context::InstanceContext>,
    service: ids::ServiceId,
    address: Option<net::SocketAddrV4>,
) {
    let Some(entry) = pick_upstream(&context, &service, address) else {
        return;
    };
    let address = entry.address;
    let to = engine_call::EngineAddress { engine: entry.name, address };
    if let Ok(opened) = upstream_connect::open_direct_only(&context, address).await {
        let result =
            engine_call::report_over(&context, &to, Some(&service), opened, PROBE_TIMEOUT).await;
        let label = if result.is_ok() { "answered" } else { "failed" };
        context.stats.borrow_mut().count("link_probes", label);
    }
}

/// Returns the upstream at an address, or a random one of the service.
fn pick_upstream(
    context: &context::InstanceContext,
    service: &ids::ServiceId,
    address: Option<net::SocketAddrV4>,
) -> Option<upstream_list::UpstreamEntry> {
    let fleet = context.fleet.borrow();
    let listed = fleet.list.entries().filter(|entry| entry.service == *service);
    let is_wanted = |entry: &&upstream_list::UpstreamEntry| {
        address.is_none_or(|address| entry.address == address)
    };
    listed.filter(is_wanted).choose(&mut rand::rng()).cloned()
}
