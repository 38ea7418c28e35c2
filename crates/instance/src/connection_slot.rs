//! The place of a caller's connection within the bound on connections, if the settings state the machine's limits.

use std::rc;

use futures::{channel::oneshot, future};
use slipturn_core::connection_bound;

use crate::context;

/// Counts a connection as open until it is dropped.
pub struct ConnectionSlot {
    context: rc::Rc<context::InstanceContext>,
    /// The connection; `None` without a bound.
    id: Option<connection_bound::ConnectionId>,
}

impl ConnectionSlot {
    /// Takes a slot for a new connection, in favor of an idle one if there is no other; `None` if it is to be closed
    /// unread.
    pub fn take(context: &rc::Rc<context::InstanceContext>) -> Option<Self> {
        let Some(intake) = &context.intake else {
            return Some(Self { context: rc::Rc::clone(context), id: None });
        };
        let mut state = intake.borrow_mut();
        let answer = state.connections.open();
        let count = |outcome: &str| context.stats.borrow_mut().count("intake_connections", outcome);
        let id = match answer {
            connection_bound::ConnectionAnswer::Accepted(id) => id,
            connection_bound::ConnectionAnswer::Replaces { id, closed } => {
                count("closed_idle");
                if let Some(sender) = state.closers.remove(&closed) {
                    // Fails if the connection has ended meanwhile.
                    let _ = sender.send(());
                }
                id
            }
            connection_bound::ConnectionAnswer::Rejected => {
                count("closed_unread");
                state.note_limited(context.now(), "connection");
                return None;
            }
        };
        Some(Self { context: rc::Rc::clone(context), id: Some(id) })
    }

    /// Notes that the connection waits for its next request. The returned future completes when the connection is to be
    /// closed in favor of another.
    pub(crate) fn begin_idle(
        &self,
    ) -> future::Either<oneshot::Receiver<()>, future::Pending<Result<(), oneshot::Canceled>>> {
        let (Some(intake), Some(id)) = (&self.context.intake, self.id) else {
            return future::Either::Right(future::pending());
        };
        let (sender, closed) = oneshot::channel();
        let mut state = intake.borrow_mut();
        state.connections.set_idle(self.context.now(), id);
        state.closers.insert(id, sender);
        future::Either::Left(closed)
    }

    /// Notes that the connection has received bytes.
    pub(crate) fn end_idle(&self) {
        if let (Some(intake), Some(id)) = (&self.context.intake, self.id) {
            let mut state = intake.borrow_mut();
            state.connections.set_busy(id);
            state.closers.remove(&id);
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if let (Some(intake), Some(id)) = (&self.context.intake, self.id) {
            let mut state = intake.borrow_mut();
            state.connections.close(id);
            state.closers.remove(&id);
        }
    }
}
