//! What ends with a start of an upstream: attempts under way there, and connections that rest.

use std::{cell, collections};

use futures::{channel::oneshot, future};
use slipturn_core::{ids, units};

use crate::{adapter, context};

/// What a request's record says of an attempt whose upstream has started again.
pub(crate) const RESTARTED: &str = "the upstream has started again";

/// Attempts that wait for one start of an upstream.
#[derive(Debug, Default)]
pub struct StartWaiters {
    waiting: cell::RefCell<collections::HashMap<ids::UpstreamId, Vec<oneshot::Sender<()>>>>,
}

impl StartWaiters {
    /// Ends once a start is known to be over; never where the upstream does not tell its starts.
    ///
    /// Whatever ran there is lost then, and nothing comes over its connections any more: a call is answered with the
    /// news, and need not wait for the limit of a silence.
    pub fn until_over(&self, name: &ids::UpstreamId) -> impl Future<Output = ()> + use<> {
        let over = name.start().map(|_| {
            let (sender, over) = oneshot::channel();
            let mut waiting = self.waiting.borrow_mut();
            let waiters = waiting.entry(name.clone()).or_default();
            waiters.retain(|waiter| !waiter.is_canceled());
            waiters.push(sender);
            over
        });
        async move {
            let ended = match over {
                Some(over) => over.await.is_ok(),
                None => false,
            };
            if !ended {
                future::pending::<()>().await;
            }
        }
    }

    fn end(&self, name: &ids::UpstreamId) -> usize {
        let waiters = self.waiting.borrow_mut().remove(name).unwrap_or_default();
        // Some attempts have ended meanwhile.
        waiters.into_iter().filter_map(|waiter| waiter.send(()).ok()).count()
    }

    fn retain(&self, present: impl Fn(&ids::UpstreamId) -> bool) {
        self.waiting.borrow_mut().retain(|name, waiters| {
            waiters.retain(|waiter| !waiter.is_canceled());
            !waiters.is_empty() || present(name)
        });
    }
}

/// Draws the conclusions of starts that were found to be over.
pub(crate) fn settle(context: &context::InstanceContext) {
    let ended = context.fleet.borrow_mut().list.take_ended();
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

/// Records which start of an upstream sent this, if reported.
pub(crate) fn receive(
    context: &context::InstanceContext,
    address: std::net::SocketAddrV4,
    start: Option<ids::UpstreamStart>,
    asked: units::MonoTime,
) {
    if let Some(start) = start {
        context.fleet.borrow_mut().receive_start(context.now(), address, start, asked);
    }
}

/// The same of an engine's answer to an order.
pub(crate) fn receive_order(
    context: &context::InstanceContext,
    address: std::net::SocketAddrV4,
    body: &[u8],
    asked: units::MonoTime,
) -> Option<ids::UpstreamStart> {
    let start = adapter::UpstreamAdapter::order_start(&*context.adapter, body);
    receive(context, address, start, asked);
    start
}
