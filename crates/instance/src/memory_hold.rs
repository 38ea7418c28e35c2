//! Memory reservations on engines for a prompt that another engine answers.

use std::{cell, net, rc, time};

use slipturn_core::{engine_place, ids, quota_permit, send_gate, units};
use slipturn_net::process;
use snafu::Snafu;

use crate::{adapter, context, engine_call, upstream_starts};

/// Lifetime of a memory reservation without renewal. It is shorter than the time within which memory must
/// be free again after the instance that reserved it has crashed.
const HOLD_TTL: time::Duration = time::Duration::from_millis(3_400);
/// Interval between two renewals of a reservation.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(900);
/// Timeout of a memory order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(350);
/// Maximum number of attempts to release a reservation; after these it is left to expire.
const RELEASE_TRIES: u32 = 6;
/// Time after sending within which an unanswered order may still be executed.
const LATE_ORDER_TIME: time::Duration = time::Duration::from_secs(13);
/// Pause between two releases while an unanswered order may still be executed. It is shorter than
/// the time within which memory must be free again.
const LATE_RELEASE_PAUSE: time::Duration = time::Duration::from_millis(2_000);
/// Pause between two attempts to release a reservation.
const RELEASE_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Why the memory for an attempt could not be reserved.
#[derive(Debug, Snafu)]
#[snafu(display("{engine} sets no memory aside: {reason}"))]
pub struct HoldError {
    /// The engine that did not reserve its memory; the first one if there are several.
    pub engine: ids::UpstreamId,
    /// Reason why the engine did not reserve the memory, for the log and the request's record.
    pub reason: String,
}

/// A reservation of memory on one engine.
#[derive(Debug, Clone)]
struct HeldTicket {
    /// When the last hold order without an answer was sent; it may be executed up to
    /// [`LATE_ORDER_TIME`] later.
    unanswered: rc::Rc<cell::Cell<Option<units::MonoTime>>>,
    engine: ids::UpstreamId,
    /// Name of the engine with the start (life of its process) that holds the memory; a reservation does not survive a
    /// restart.
    start: rc::Rc<cell::RefCell<ids::UpstreamId>>,
    address: net::SocketAddrV4,
    /// Identifies the reservation at the engine.
    ticket: String,
    /// Reserved memory, in tokens.
    tokens: u64,
}

impl HeldTicket {
    /// Returns the engine and address to which orders about the reservation are sent.
    fn engine_address(&self) -> engine_call::EngineAddress {
        let engine = self.start.borrow().clone();
        engine_call::EngineAddress { engine, address: self.address }
    }

    /// Returns whether the engine was restarted after the reservation, so that the reservation is lost.
    fn is_lost(&self, context: &context::InstanceContext) -> bool {
        let fleet = context.fleet.borrow();
        fleet.list.entry(&self.engine).is_some_and(|entry| entry.name != *self.start.borrow())
    }
}

/// All reservations of one attempt; released when dropped.
pub struct MemoryHold {
    context: rc::Rc<context::InstanceContext>,
    tickets: Vec<HeldTicket>,
    /// Whether the reservations have been released, which ends their renewal.
    released: rc::Rc<cell::Cell<bool>>,
}

impl MemoryHold {
    /// Reserves the planned memory on all engines; if one reservation fails, the others are released.
    pub async fn take(
        context: &rc::Rc<context::InstanceContext>,
        job: engine_place::JobId,
        parts: &[engine_place::HeldPart],
        permits: &[quota_permit::SendPermit],
    ) -> Result<Self, HoldError> {
        let released = rc::Rc::new(cell::Cell::new(false));
        let mut hold = Self { context: rc::Rc::clone(context), tickets: Vec::new(), released };
        for (number, part) in parts.iter().enumerate() {
            let Some(entry) = context.fleet.borrow().list.entry(&part.engine).cloned() else {
                let reason = "it is not listed any more".to_owned();
                return Err(HoldError { engine: part.engine.clone(), reason });
            };
            let ticket = format!("{:x}-{:x}-{number}", job.boot, job.sequence);
            let held = HeldTicket {
                unanswered: rc::Rc::default(),
                engine: part.engine.clone(),
                start: rc::Rc::new(cell::RefCell::new(entry.name)),
                address: entry.address,
                ticket,
                tokens: part.tokens,
            };
            // Stored before the order is sent, so that the reservation is released even if the order has no
            // answer and is executed later.
            hold.tickets.push(held);
        }
        let kind = send_gate::SendKind::Hold;
        let orders = hold.tickets.iter().map(|held| send_hold(context, held, kind, permits));
        let results = futures::future::join_all(orders).await;
        for (held, result) in hold.tickets.iter().zip(results) {
            match result {
                // The engine may have restarted since the list was read; the start that answered holds
                // the memory.
                Ok(Some(start)) => {
                    let name = held.engine.with_start(start);
                    held.start.replace(name);
                }
                Ok(None) => {}
                Err(reason) => {
                    log::info!(engine:% = held.engine, ticket = held.ticket.as_str(),
                        tokens = held.tokens, reason = reason.as_str(); "memory.not_held");
                    return Err(HoldError { engine: held.engine.clone(), reason });
                }
            }
        }
        if !hold.tickets.is_empty() {
            log::info!(parts = hold.tickets.len(), job = job.sequence; "memory.held");
            process::spawn_isolated(renew(
                rc::Rc::clone(context),
                hold.tickets.clone(),
                rc::Rc::clone(&hold.released),
            ));
        }
        Ok(hold)
    }

    /// Returns whether any memory is reserved; a place may need none.
    pub fn holds(&self) -> bool {
        !self.tickets.is_empty()
    }

    /// Returns the first engine with reserved memory and its ticket. One is enough to see whether the
    /// reservations are in use, as an answer uses all or none.
    pub fn first_held(&self) -> Option<(engine_call::EngineAddress, String)> {
        self.tickets.first().map(|held| (held.engine_address(), held.ticket.clone()))
    }

    /// Returns the ticket of the reservation on an engine.
    pub fn ticket(&self, engine: &ids::UpstreamId) -> Option<String> {
        self.tickets.iter().find(|held| held.engine == *engine).map(|held| held.ticket.clone())
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.released.set(true);
        for held in self.tickets.drain(..) {
            process::spawn_isolated(release(rc::Rc::clone(&self.context), held));
        }
    }
}

/// Sends an order that reserves memory or extends a reservation; returns the start (life of the process) of the engine
/// that holds the memory, if reported.
async fn send_hold(
    context: &context::InstanceContext,
    held: &HeldTicket,
    kind: send_gate::SendKind,
    permits: &[quota_permit::SendPermit],
) -> Result<Option<ids::UpstreamStart>, String> {
    let order = adapter::MemoryOrder::Hold {
        ticket: held.ticket.clone(),
        tokens: held.tokens,
        time: HOLD_TTL,
    };
    // Recorded before the order is sent: the future may be dropped before the answer.
    let before = held.unanswered.replace(Some(context.now()));
    let engine_order = engine_call::EngineOrder { order: &order, kind, permits };
    let result = send_order(context, held, &engine_order).await;
    // After an answer, including a refusal, or if nothing was sent, the order is not executed later.
    let is_over = result.as_ref().map_or_else(engine_call::EngineCallError::is_over, |_| true);
    if is_over {
        held.unanswered.set(before);
    }
    result.map_err(|error| error.to_string())
}

/// Sends an order; returns the start (life of the process) of the engine that executed it, if reported.
async fn send_order(
    context: &context::InstanceContext,
    held: &HeldTicket,
    engine_order: &engine_call::EngineOrder<'_>,
) -> Result<Option<ids::UpstreamStart>, engine_call::EngineCallError> {
    let requested_at = context.now();
    let answer =
        engine_call::order(context, &held.engine_address(), engine_order, ORDER_TIMEOUT).await?;
    Ok(upstream_starts::receive_order(context, held.address, &answer, requested_at))
}

async fn renew(
    context: rc::Rc<context::InstanceContext>,
    tickets: Vec<HeldTicket>,
    released: rc::Rc<cell::Cell<bool>>,
) {
    loop {
        monoio::time::sleep(RENEWAL_INTERVAL).await;
        if released.get() {
            return;
        }
        for held in &tickets {
            // After a restart of the engine, a renewal would create a reservation that no request uses.
            if held.is_lost(&context) {
                continue;
            }
            let kind = send_gate::SendKind::Renewal;
            if let Err(reason) = send_hold(&context, held, kind, &[]).await {
                log::warn!(engine:% = held.engine, reason; "memory.not_renewed");
            }
            if released.get() || held.is_lost(&context) {
                // The renewal may have arrived after the release and reserved the memory again.
                release(rc::Rc::clone(&context), held.clone()).await;
            }
        }
    }
}

/// Releases a reservation, repeatedly while an unanswered order may still be executed.
async fn release(context: rc::Rc<context::InstanceContext>, held: HeldTicket) {
    release_once(&context, &held).await;
    while let Some(since) = held.unanswered.get() {
        if context.now().since(since) > LATE_ORDER_TIME {
            return;
        }
        monoio::time::sleep(LATE_RELEASE_PAUSE).await;
        if held.unanswered.get().is_none() {
            // The order was answered meanwhile; the task that sent it releases the memory.
            return;
        }
        release_once(&context, &held).await;
    }
}

async fn release_once(context: &rc::Rc<context::InstanceContext>, held: &HeldTicket) {
    let _busy = context::BusyGuard::new(context);
    let order = adapter::MemoryOrder::Release { ticket: held.ticket.clone() };
    let kind = send_gate::SendKind::Release;
    let engine_order = engine_call::EngineOrder { order: &order, kind, permits: &[] };
    for attempt in 1..=RELEASE_TRIES {
        match send_order(context, held, &engine_order).await {
            Ok(_) => return,
            // The engine does not know the ticket, so nothing is reserved.
            Err(error) if error.is_over() => return,
            Err(error) => {
                log::info!(engine:% = held.engine, attempt, error:%; "memory.not_released");
            }
        }
        monoio::time::sleep(RELEASE_PAUSE).await;
    }
}
