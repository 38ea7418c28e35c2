//! A request's way to the leave that it needs for an upstream with a limit.

use std::{cell, collections, time};

use futures::channel::oneshot;
use slipturn_core::{ids, leave_desk, send_leave, units, upstream_list};

use crate::{context, limit_keeping, limit_news, peer_message};

/// Time for a keeper's answer; within a region it takes a millisecond or two.
const REPLY_TIME: time::Duration = time::Duration::from_millis(25);
/// Time behind which a keeper is asked again that has said nothing, or another one is.
const SILENCE_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Asks remembered whose answers may still come.
const MAX_ASKS: usize = 1_024;

/// An ask that went out.
#[derive(Debug)]
struct SentAsk {
    upstream: ids::UpstreamId,
    at: units::MonoTime,
    /// Where the answer goes while somebody waits for it.
    reply: Option<oneshot::Sender<send_leave::LeaveAnswer>>,
}

/// Asks of this process that went to keepers, by number.
#[derive(Debug, Default)]
pub(crate) struct SentAsks {
    asks: cell::RefCell<collections::BTreeMap<u64, SentAsk>>,
    number: cell::Cell<u64>,
}

/// Why a request has no leave: for how long asking for one is in vain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoLeave(pub(crate) time::Duration);

/// For how long asking for leave is in vain.
pub(crate) fn closed(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
) -> time::Duration {
    let limited = context.fleet.borrow().list.notices().limit(upstream).is_some();
    let closed = || context.limits.desk.borrow().closed(context.now(), upstream);
    if limited { closed() } else { time::Duration::ZERO }
}

/// The leave for one request, waited for as long as `patience`; nothing where the upstream has no limit.
pub(crate) async fn obtain(
    context: &context::InstanceContext,
    entry: &upstream_list::UpstreamEntry,
    patience: time::Duration,
) -> Result<Option<send_leave::SendLeave>, NoLeave> {
    let upstream = &entry.name;
    if context.fleet.borrow().list.notices().limit(upstream).is_none() {
        return Ok(None);
    }
    let now = context.now();
    let step = context.limits.desk.borrow_mut().step(now, upstream, patience);
    let ask = match step {
        leave_desk::LeaveStep::Send(leave) => return Ok(Some(leave)),
        leave_desk::LeaveStep::Closed(closed) => return Err(NoLeave(closed)),
        leave_desk::LeaveStep::Ask(ask) => ask,
    };
    let Some(answer) = ask_keeper(context, ask).await else {
        let mut desk = context.limits.desk.borrow_mut();
        desk.note_silence(context.now(), upstream, SILENCE_PAUSE);
        return Err(NoLeave(SILENCE_PAUSE));
    };
    let heard = context.limits.desk.borrow_mut().hear(context.now(), upstream, now, answer);
    let unused = UnusedLeave { context, leave: Some(heard.map_err(NoLeave)?) };
    unused.when_due().await
}

/// Takes in a keeper's answer.
pub(crate) fn hear(
    context: &context::InstanceContext,
    number: u64,
    answer: send_leave::LeaveAnswer,
) {
    let Some(sent) = context.limits.asks.asks.borrow_mut().remove(&number) else {
        return;
    };
    let unheard = match sent.reply {
        Some(reply) => reply.send(answer).err(),
        None => Some(answer),
    };
    if let Some(answer) = unheard {
        // Its request has gone elsewhere; the leave serves another one.
        let mut desk = context.limits.desk.borrow_mut();
        if let Ok(leave) = desk.hear(context.now(), &sent.upstream, sent.at, answer) {
            desk.put_back(leave);
        }
    }
}

async fn ask_keeper(
    context: &context::InstanceContext,
    ask: send_leave::LeaveAsk,
) -> Option<send_leave::LeaveAnswer> {
    let Some(keeper) = limit_keeping::keeper_of(context, &ask.upstream) else {
        return Some(limit_keeping::answer(context, context.boot, &ask));
    };
    let known = limit_news::report(context, &ask.upstream)?;
    let (number, reply) = context.limits.asks.note(&ask.upstream, context.now());
    let boot = context.boot;
    let question = peer_message::LeaveQuestion { number, boot, ask, known };
    context.tell(keeper.address, peer_message::PeerMessage::AskLeave(Box::new(question)));
    match monoio::time::timeout(REPLY_TIME, reply).await {
        Ok(answer) => {
            context.members.borrow_mut().answered(context.now(), &keeper.name);
            answer.ok()
        }
        Err(_) => {
            context.members.borrow_mut().unanswered(&keeper.name);
            context.stats.borrow_mut().count("leaves", "unanswered");
            log::debug!(member:% = keeper.name; "keeper.silent");
            None
        }
    }
}

impl SentAsks {
    fn note(
        &self,
        upstream: &ids::UpstreamId,
        at: units::MonoTime,
    ) -> (u64, oneshot::Receiver<send_leave::LeaveAnswer>) {
        let number = self.number.get() + 1;
        self.number.set(number);
        let (sender, receiver) = oneshot::channel();
        let mut asks = self.asks.borrow_mut();
        asks.insert(number, SentAsk { upstream: upstream.clone(), at, reply: Some(sender) });
        while asks.len() > MAX_ASKS {
            asks.pop_first();
        }
        (number, receiver)
    }
}

/// A leave whose request may still leave before its time.
struct UnusedLeave<'a> {
    context: &'a context::InstanceContext,
    leave: Option<send_leave::SendLeave>,
}

impl UnusedLeave<'_> {
    async fn when_due(mut self) -> Result<Option<send_leave::SendLeave>, NoLeave> {
        let from = self.leave.as_ref().map_or_else(units::MonoTime::default, |leave| leave.from);
        let wait = from.since(self.context.now());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
        Ok(self.leave.take())
    }
}

impl Drop for UnusedLeave<'_> {
    fn drop(&mut self) {
        if let Some(leave) = self.leave.take() {
            self.context.limits.desk.borrow_mut().put_back(leave);
        }
    }
}
