//! What every request of an entry can reach.

use std::{cell, collections, rc};

use futures::lock;
use slipturn_core::{ids, refusal};
use slipturn_net::{http_client, local_settings, process, scheduler_link};

use crate::{body_budget, event};

/// Lives as long as the process.
pub struct EntryContext {
    /// The local settings file.
    pub local: rc::Rc<local_settings::LocalSettings>,
    /// This start of the process.
    pub boot: ids::BootId,
    /// The process's clock.
    pub clock: process::ProcessClock,
    /// The director.
    pub events: event::EventSender,
    /// Connections to engines, upstreams and other entries.
    pub pool: rc::Rc<http_client::ConnectionPool>,
    /// Connections to schedulers.
    pub links: rc::Rc<scheduler_link::LinkPool>,
    /// Bytes of bodies held.
    pub bodies: body_budget::BodyBudget,
    /// Whether a stop was asked for.
    pub stop: process::StopSignal,
    /// Held by whoever draws from a customer's budget, so that others spend what is drawn instead
    /// of drawing too.
    pub draws: DrawLocks,
    /// Requests being served.
    pub active: cell::Cell<usize>,
    /// Requests taken so far.
    pub sequence: cell::Cell<u64>,
}

impl EntryContext {
    /// The id of the next request.
    pub fn next_request(&self) -> ids::RequestId {
        self.sequence.set(self.sequence.get() + 1);
        ids::RequestId::new(&self.local.instance, self.boot, self.sequence.get())
    }

    /// Spreads the time to come back, where there is one, so that callers do not return as one wave.
    pub async fn spread_retry_after(
        &self,
        mut refusal: refusal::RequestRefusal,
    ) -> refusal::RequestRefusal {
        if let Some(expected) = refusal.retry_after {
            let ask = |answer| event::EntryEvent::SpreadRetry(expected, answer);
            refusal.retry_after = Some(self.events.ask(ask).await);
        }
        refusal
    }

    /// Counts a request as being served for as long as the guard lives.
    pub fn begin_request(self: &rc::Rc<Self>) -> ActiveRequest {
        self.active.set(self.active.get() + 1);
        ActiveRequest(rc::Rc::clone(self))
    }
}

/// A request being served.
pub struct ActiveRequest(rc::Rc<EntryContext>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// One lock for each customer from whose budget somebody draws.
#[derive(Default)]
pub struct DrawLocks(cell::RefCell<collections::HashMap<ids::CustomerId, rc::Rc<lock::Mutex<()>>>>);

impl DrawLocks {
    /// The customer's lock.
    pub fn for_customer(&self, customer: &ids::CustomerId) -> rc::Rc<lock::Mutex<()>> {
        let mut locks = self.0.borrow_mut();
        rc::Rc::clone(locks.entry(customer.clone()).or_default())
    }

    /// Drops unused locks.
    pub fn prune(&self) {
        self.0.borrow_mut().retain(|_, lock| rc::Rc::strong_count(lock) > 1);
    }
}
