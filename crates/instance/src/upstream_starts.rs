//! Handles ended starts (lives of the process) of upstreams: fails the attempts in progress there and closes the idle
//! connections.

use std::{cell, collections};

use futures::{channel::oneshot, future};
use slipturn_core::{ids, units};

use crate::{adapter, context};

/// Outcome, in the record of a request, of an attempt whose upstream has restarted.
pub(crate) const RESTARTED: &str = "the upstream has started again";

/// Attempts in progress, by the start (life of the process) of the upstream that they depend on.
#[derive(Debug, Default)]
pub struct StartWaiters {
    waiters: cell::RefCell<collections::HashMap<ids::UpstreamId, Vec<oneshot::Sender<()>>>>,
}

impl StartWaiters {
    /// Completes once a start of an upstream is known to have ended; never if the upstream does not report its starts.
    ///
    /// Everything that ran at that start is lost then, and its connections stay silent: the attempt can fail at once,
    /// without waiting for the silence limit.
    pub fn until_ended(&self, name: &ids::UpstreamId) -> impl Future<Output = ()> + use<> {
        let receiver = name.start().map(|_| {
            let (sender, receiver) = oneshot::channel();
            let mut waiters = self.waiters.borrow_mut();
            let waiters = waiters.entry(name.clone()).or_default();
            waiters.retain(|waiter| !waiter.is_canceled());
            waiters.push(sender);
            receiver
        });
        async move {
            let ended = match receiver {
                Some(receiver) => receiver.await.is_ok(),
                None => false,
            };
            if !ended {
                future::pending::<()>().await;
            }
        }
    }

    /// Notifies the attempts in progress at a start that the start has ended; returns the number of these attempts.
    fn end(&self, name: &ids::UpstreamId) -> usize {
        let waiters = self.waiters.borrow_mut().remove(name).unwrap_or_default();
        // Some attempts may have ended in the meantime.
        waiters.into_iter().filter_map(|waiter| waiter.send(()).ok()).count()
    }

    /// Forgets attempts that have ended, and starts that have no attempts and are no longer present.
    fn retain(&self, present: impl Fn(&ids::UpstreamId) -> bool) {
        self.waiters.borrow_mut().retain(|name, waiters| {
            waiters.retain(|waiter| !waiter.is_canceled());
            !waiters.is_empty() || present(name)
        });
    }
}

/// Handles the starts (lives of an upstream's process) that have ended since the last call: fails the attempts in
/// progress there and closes their idle connections.
pub(crate) fn handle_ended(context: &context::InstanceContext) {
    let ended = context.fleet.borrow_mut().list.take_ended_starts();
    if ended.is_empty() {
        return;
    }
    for start in ended {
        let attempts = context.starts.end(&start.name);
        let closed = context.pool.close_idle(start.address);
        log::info!(
            upstream:% = start.name, present:% = start.present, attempts, closed;
            "upstream.restarted"
        );
    }
    let fleet = context.fleet.borrow();
    context.starts.retain(|name| fleet.list.is_present(name));
}

/// Records the start (life of the process) of the upstream at `address`, if an answer reports it.
pub(crate) fn receive(
    context: &context::InstanceContext,
    address: std::net::SocketAddrV4,
    start: Option<ids::UpstreamStart>,
    requested_at: units::MonoTime,
) {
    if let Some(start) = start {
        context.fleet.borrow_mut().receive_start(context.now(), address, start, requested_at);
    }
}

/// Records, and returns, the start (life of its process) that an engine reports in its answer to a memory order.
pub(crate) fn receive_order(
    context: &context::InstanceContext,
    address: std::net::SocketAddrV4,
    body: &[u8],
    requested_at: units::MonoTime,
) -> Option<ids::UpstreamStart> {
    let start = adapter::UpstreamAdapter::order_start(&*context.adapter, body);
    receive(context, address, start, requested_at);
    start
}
