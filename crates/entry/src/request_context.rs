//! What every request of an entry can reach.

use std::{cell, rc};

use slipturn_core::ids;
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

    /// Counts a request as being served for as long as the guard lives.
    pub fn enter(self: &rc::Rc<Self>) -> ActiveRequest {
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
