//! State and connections shared by all requests of an entry.

use std::{cell, collections, rc};

use futures::lock;
use slipturn_core::{ids, refusal};
use slipturn_net::{http_client, local_settings, process, scheduler_link};

use crate::{body_budget, event};

/// Shared context of an entry, which lives as long as the process.
pub struct EntryContext {
    /// Names, addresses and limits from the local settings file, which is read once at the start.
    pub local: rc::Rc<local_settings::LocalSettings>,
    /// Boot id, which differs for every start of the process.
    pub boot: ids::BootId,
    /// Monotonic clock of the process.
    pub clock: process::ProcessClock,
    /// Sender of events to the [`director`](crate::director), which owns the state shared by requests.
    pub events: event::EventSender,
    /// Pool of connections to engines, upstreams and other entries.
    pub pool: rc::Rc<http_client::ConnectionPool>,
    /// Pool of connections to schedulers.
    pub links: rc::Rc<scheduler_link::LinkPool>,
    /// Budget for the request bodies held in memory.
    pub body_budget: body_budget::BodyBudget,
    /// Signal that the process is to stop.
    pub stop: process::StopSignal,
    /// Locks by customer, held while a portion of a customer's budget is drawn, so that concurrent
    /// requests of the customer wait for that portion instead of drawing their own.
    pub draw_locks: DrawLocks,
    /// Number of requests being served.
    pub active: cell::Cell<usize>,
    /// Number of request ids assigned so far.
    pub sequence: cell::Cell<u64>,
}

impl EntryContext {
    /// Assigns an id to a request, made of the instance, the boot id and the sequence number.
    pub fn next_request_id(&self) -> ids::RequestId {
        self.sequence.set(self.sequence.get() + 1);
        ids::RequestId::new(&self.local.instance, self.boot, self.sequence.get())
    }

    /// Adds jitter to the retry delay of a refusal, if it has one, so that refused callers don't
    /// all retry at the same time.
    pub async fn spread_retry_after(
        &self,
        mut refusal: refusal::RequestRefusal,
    ) -> refusal::RequestRefusal {
        if let Some(expected) = refusal.retry_after {
            let to_event = |answer| event::EntryEvent::SpreadRetry(expected, answer);
            refusal.retry_after = Some(self.events.ask(to_event).await);
        }
        refusal
    }

    /// Counts a request as being served until the returned guard is dropped.
    pub fn begin_request(self: &rc::Rc<Self>) -> ActiveRequest {
        self.active.set(self.active.get() + 1);
        ActiveRequest(rc::Rc::clone(self))
    }
}

/// Guard that counts a request in [`EntryContext::active`].
pub struct ActiveRequest(rc::Rc<EntryContext>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// One lock for each customer whose budget is being drawn from.
#[derive(Default)]
pub struct DrawLocks(cell::RefCell<collections::HashMap<ids::CustomerId, rc::Rc<lock::Mutex<()>>>>);

impl DrawLocks {
    /// Returns the customer's lock, which is created on first use.
    pub fn for_customer(&self, customer: &ids::CustomerId) -> rc::Rc<lock::Mutex<()>> {
        let mut locks = self.0.borrow_mut();
        rc::Rc::clone(locks.entry(customer.clone()).or_default())
    }

    /// Drops the locks that no request holds or waits for.
    pub fn prune(&self) {
        self.0.borrow_mut().retain(|_, lock| rc::Rc::strong_count(lock) > 1);
    }
}
