//! A request's way to the leave that it needs where all members together may send only so much.

use std::{cell, collections, time};

use futures::channel::oneshot;
use slipturn_core::{ids, leave_desk, retry_need, send_leave, units};

use crate::{context, limit_news, peer_message, sum_keeping};

/// Time for a keeper's answer; within a region it takes a millisecond or two.
const REPLY_TIME: time::Duration = time::Duration::from_millis(25);
/// Time behind which a keeper is asked again that has said nothing, or another one is.
const SILENCE_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Asks remembered whose answers may still come.
const MAX_ASKS: usize = 1_024;

/// An ask that went out.
#[derive(Debug)]
struct SentAsk {
    subject: send_leave::LeaveSubject,
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

/// For how long asking for leave at an upstream is in vain; one without a limit needs none.
pub(crate) fn closed(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
) -> time::Duration {
    if context.fleet.borrow().list.limit(upstream).is_none() {
        return time::Duration::ZERO;
    }
    let subject = send_leave::LeaveSubject::Upstream(upstream.clone());
    context.sums.desk.borrow().closed(context.now(), &subject)
}

/// The leave for one request to an upstream, waited for as long as `patience`; nothing where it has no limit.
pub(crate) async fn obtain(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    patience: time::Duration,
) -> Result<Option<send_leave::SendLeave>, NoLeave> {
    if context.fleet.borrow().list.limit(upstream).is_none() {
        return Ok(None);
    }
    let subject = send_leave::LeaveSubject::Upstream(upstream.clone());
    let term = obtain_term(context, &subject, patience).await?;
    Ok(Some(send_leave::SendLeave { upstream: upstream.clone(), term }))
}

/// Takes one retry to a service: from this member's own share, else from what is kept for all.
pub(crate) async fn obtain_retry(
    context: &context::InstanceContext,
    service: &ids::ServiceId,
    need: retry_need::RetryNeed,
) -> bool {
    if context.take_retry(service) {
        return true;
    }
    sum_keeping::until_settled(context).await;
    let need = context.settings().experiments.retry_order.need(need);
    let subject = send_leave::LeaveSubject::Retries(service.clone(), need);
    obtain_term(context, &subject, time::Duration::ZERO).await.is_ok()
}

async fn obtain_term(
    context: &context::InstanceContext,
    subject: &send_leave::LeaveSubject,
    patience: time::Duration,
) -> Result<send_leave::LeaveTerm, NoLeave> {
    let now = context.now();
    let step = context.sums.desk.borrow_mut().step(now, subject, patience);
    let term = match step {
        leave_desk::LeaveStep::Send(term) => term,
        leave_desk::LeaveStep::Closed(closed) => return Err(NoLeave(closed)),
        leave_desk::LeaveStep::Ask(ask) => {
            let Some(answer) = ask_keeper(context, subject, ask).await else {
                let mut desk = context.sums.desk.borrow_mut();
                desk.note_silence(context.now(), subject, SILENCE_PAUSE);
                return Err(NoLeave(SILENCE_PAUSE));
            };
            let mut desk = context.sums.desk.borrow_mut();
            desk.hear(context.now(), subject, now, answer).map_err(NoLeave)?
        }
    };
    let unused = UnusedLeave { context, subject, term: Some(term) };
    Ok(unused.when_due().await)
}

/// Takes in a keeper's answer.
pub(crate) fn hear(
    context: &context::InstanceContext,
    number: u64,
    answer: send_leave::LeaveAnswer,
) {
    let Some(sent) = context.sums.asks.asks.borrow_mut().remove(&number) else {
        return;
    };
    let unheard = match sent.reply {
        Some(reply) => reply.send(answer).err(),
        None => Some(answer),
    };
    if let Some(answer) = unheard {
        // Its request has gone elsewhere; the leave serves another one.
        let mut desk = context.sums.desk.borrow_mut();
        if let Ok(term) = desk.hear(context.now(), &sent.subject, sent.at, answer) {
            desk.put_back(&sent.subject, term);
        }
    }
}

async fn ask_keeper(
    context: &context::InstanceContext,
    subject: &send_leave::LeaveSubject,
    ask: send_leave::LeaveAsk,
) -> Option<send_leave::LeaveAnswer> {
    let Some(keeper) = sum_keeping::keeper_of(context, subject) else {
        return Some(sum_keeping::answer(context, context.boot, subject, &ask));
    };
    let known = match subject {
        send_leave::LeaveSubject::Upstream(upstream) => limit_news::report(context, upstream),
        send_leave::LeaveSubject::Retries(..) => None,
    };
    let (number, reply) = context.sums.asks.note(subject, context.now());
    let (subject, boot) = (subject.clone(), context.boot);
    let question = peer_message::LeaveQuestion { number, boot, subject, ask, known };
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
        subject: &send_leave::LeaveSubject,
        at: units::MonoTime,
    ) -> (u64, oneshot::Receiver<send_leave::LeaveAnswer>) {
        let number = self.number.get() + 1;
        self.number.set(number);
        let (sender, receiver) = oneshot::channel();
        let mut asks = self.asks.borrow_mut();
        asks.insert(number, SentAsk { subject: subject.clone(), at, reply: Some(sender) });
        while asks.len() > MAX_ASKS {
            asks.pop_first();
        }
        (number, receiver)
    }
}

/// A leave whose request may still leave before its time.
struct UnusedLeave<'a> {
    context: &'a context::InstanceContext,
    subject: &'a send_leave::LeaveSubject,
    term: Option<send_leave::LeaveTerm>,
}

impl UnusedLeave<'_> {
    async fn when_due(mut self) -> send_leave::LeaveTerm {
        let from = self.term.map_or_else(units::MonoTime::default, |term| term.from);
        let wait = from.since(self.context.now());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
        self.term.take().expect("it is taken here alone")
    }
}

impl Drop for UnusedLeave<'_> {
    fn drop(&mut self) {
        if let Some(term) = self.term.take() {
            self.context.sums.desk.borrow_mut().put_back(self.subject, term);
        }
    }
}
