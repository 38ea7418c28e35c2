//! Acquires permits for sends under shared quotas.

use std::{cell, collections, time};

use futures::channel::oneshot;
use slipturn_core::{ids, permit_cache, quota_permit, retry_need, units};

use crate::{context, limit_gossip, peer_message, quota_coordinator};

/// Timeout for a coordinator's response, which takes a millisecond or two within a region.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(25);
/// Backoff after a coordinator has failed to respond.
const SILENCE_BACKOFF: time::Duration = time::Duration::from_millis(100);
/// Most pending requests; beyond that the oldest are dropped, and their responses ignored.
const MAX_PENDING: usize = 1_024;

/// A request for permits that was sent to a coordinator.
#[derive(Debug)]
struct PendingRequest {
    subject: quota_permit::QuotaSubject,
    sent_at: units::MonoTime,
    /// Channel to the task that waits for the response.
    reply: Option<oneshot::Sender<quota_permit::PermitResponse>>,
}

/// Requests of this process that await a response.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    by_number: cell::RefCell<collections::BTreeMap<u64, PendingRequest>>,
    /// Number of the last request.
    number: cell::Cell<u64>,
}

/// No permit is available; holds the backoff before the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoPermit(pub(crate) time::Duration);

/// Backoff before permits for an upstream may be requested; zero if the upstream has no limit.
pub(crate) fn backoff_left(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
) -> time::Duration {
    if context.fleet.borrow().list.limit(upstream).is_none() {
        return time::Duration::ZERO;
    }
    let subject = quota_permit::QuotaSubject::Upstream(upstream.clone());
    context.quotas.cache.borrow().backoff_left(context.now(), &subject)
}

/// Acquires a permit for one request to an upstream within `max_wait`; `None` if the upstream has no limit.
pub(crate) async fn obtain(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    max_wait: time::Duration,
) -> Result<Option<quota_permit::SendPermit>, NoPermit> {
    if context.fleet.borrow().list.limit(upstream).is_none() {
        return Ok(None);
    }
    let subject = quota_permit::QuotaSubject::Upstream(upstream.clone());
    let term = obtain_term(context, &subject, max_wait).await?;
    Ok(Some(quota_permit::SendPermit { upstream: upstream.clone(), term }))
}

/// Acquires one retry to a service, from this member's share or from the shared quota; returns whether there was one.
pub(crate) async fn obtain_retry(
    context: &context::InstanceContext,
    service: &ids::ServiceId,
    need: retry_need::RetryNeed,
) -> bool {
    if context.take_retry(service) {
        return true;
    }
    quota_coordinator::until_settled(context).await;
    let need = context.settings().experiments.retry_order.need(need);
    let subject = quota_permit::QuotaSubject::Retries(service.clone(), need);
    obtain_term(context, &subject, time::Duration::ZERO).await.is_ok()
}

/// Acquires a permit under a quota, from the cache or from the coordinator, and waits until it is valid.
async fn obtain_term(
    context: &context::InstanceContext,
    subject: &quota_permit::QuotaSubject,
    max_wait: time::Duration,
) -> Result<quota_permit::PermitTerm, NoPermit> {
    let now = context.now();
    let step = context.quotas.cache.borrow_mut().step(now, subject, max_wait);
    let term = match step {
        permit_cache::PermitStep::Send(term) => term,
        permit_cache::PermitStep::Backoff(backoff) => return Err(NoPermit(backoff)),
        permit_cache::PermitStep::Request(request) => {
            let Some(response) = request_coordinator(context, subject, request).await else {
                let mut cache = context.quotas.cache.borrow_mut();
                cache.note_silence(context.now(), subject, SILENCE_BACKOFF);
                return Err(NoPermit(SILENCE_BACKOFF));
            };
            let mut cache = context.quotas.cache.borrow_mut();
            cache.receive(context.now(), subject, now, response).map_err(NoPermit)?
        }
    };
    let unused = UnusedPermit { context, subject, term: Some(term) };
    Ok(unused.when_due().await)
}

/// Handles a coordinator's response to the request `number`.
pub(crate) fn receive(
    context: &context::InstanceContext,
    number: u64,
    response: quota_permit::PermitResponse,
) {
    let Some(request) = context.quotas.pending.by_number.borrow_mut().remove(&number) else {
        return;
    };
    let undelivered = match request.reply {
        Some(reply) => reply.send(response).err(),
        None => Some(response),
    };
    if let Some(response) = undelivered {
        // The task that waited for the permit has ended; another task can use it.
        let mut cache = context.quotas.cache.borrow_mut();
        if let Ok(term) = cache.receive(context.now(), &request.subject, request.sent_at, response)
        {
            cache.put_back(&request.subject, term);
        }
    }
}

/// Requests permits from the coordinator of a quota, which may be this process; `None` if it does not respond in time.
async fn request_coordinator(
    context: &context::InstanceContext,
    subject: &quota_permit::QuotaSubject,
    request: quota_permit::PermitRequest,
) -> Option<quota_permit::PermitResponse> {
    let Some(coordinator) = quota_coordinator::coordinator_of(context, subject) else {
        return Some(quota_coordinator::respond(context, context.boot, subject, &request));
    };
    let known = match subject {
        quota_permit::QuotaSubject::Upstream(upstream) => limit_gossip::report(context, upstream),
        quota_permit::QuotaSubject::Retries(..) => None,
    };
    let (number, reply) = context.quotas.pending.add(subject, context.now());
    let (subject, boot) = (subject.clone(), context.boot);
    let message = peer_message::PermitRequestMessage { number, boot, subject, request, known };
    context
        .send_to(coordinator.address, peer_message::PeerMessage::RequestPermit(Box::new(message)));
    match monoio::time::timeout(REPLY_TIMEOUT, reply).await {
        Ok(response) => {
            context.members.borrow_mut().note_answered(context.now(), &coordinator.name);
            response.ok()
        }
        Err(_) => {
            context.members.borrow_mut().note_unanswered(&coordinator.name);
            context.stats.borrow_mut().count("leaves", "unanswered");
            log::debug!(member:% = coordinator.name; "keeper.silent");
            None
        }
    }
}

impl PendingRequests {
    /// Adds a request; returns its number and the channel on which its response arrives.
    fn add(
        &self,
        subject: &quota_permit::QuotaSubject,
        sent_at: units::MonoTime,
    ) -> (u64, oneshot::Receiver<quota_permit::PermitResponse>) {
        let number = self.number.get() + 1;
        self.number.set(number);
        let (sender, receiver) = oneshot::channel();
        let mut pending = self.by_number.borrow_mut();
        pending.insert(
            number,
            PendingRequest { subject: subject.clone(), sent_at, reply: Some(sender) },
        );
        while pending.len() > MAX_PENDING {
            pending.pop_first();
        }
        (number, receiver)
    }
}

/// A permit that is not valid yet; returned to the cache if its request ends first.
struct UnusedPermit<'a> {
    context: &'a context::InstanceContext,
    subject: &'a quota_permit::QuotaSubject,
    term: Option<quota_permit::PermitTerm>,
}

impl UnusedPermit<'_> {
    /// Waits until the permit is valid.
    async fn when_due(mut self) -> quota_permit::PermitTerm {
        let from = self.term.map_or_else(units::MonoTime::default, |term| term.from);
        let wait = from.since(self.context.now());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
        self.term.take().expect("only this method takes the permit")
    }
}

impl Drop for UnusedPermit<'_> {
    fn drop(&mut self) {
        if let Some(term) = self.term.take() {
            self.context.quotas.cache.borrow_mut().put_back(self.subject, term);
        }
    }
}
