//! One watch of the store, whose silence is not taken for "nothing has changed".

use std::{pin, time};

use futures::{StreamExt as _, future, stream};
use slipturn_core::store_revision;

use crate::{context, document_call, store_call, store_sight};

/// Longest wait of one watch, as a share of the time within which a leaving upstream gets no more
/// work. A connection may fall silent for good without a sign, so a change is heard at the latest
/// when the wait, [`OVERDUE`] and a read are over: before the platform holds a struck instance to its bounds
/// again.
const WAIT_PART: f64 = 0.75;
/// Wait of a watch that only asks whether the store is there: it returns at once.
const FIRST_WAIT: time::Duration = time::Duration::from_millis(1);
/// Time after a watch's wait after which its connection is doubted. A store that is fifty times
/// slower than usual answers in 200 ms.
const OVERDUE: time::Duration = time::Duration::from_millis(500);
/// Time for the answer to a watch that returns at once, before another is sent concurrently.
const PROBE_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Such watches at once, each on a connection of its own: a store that is as late as all of them is
/// taken for away. With one alone, a store that is later than its wait is never heard.
const MAX_PROBES: u32 = 3;
/// Shortest wait of a watch, whatever the settings say, so that quiet ones do not follow at once.
const LEAST_WAIT: time::Duration = time::Duration::from_millis(250);

/// Watches once from a revision on; the answer may come over another connection, which then
/// replaces the one given.
pub(crate) async fn watch(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
    revision: store_revision::StoreRevision,
) -> Result<store_call::StoreAnswer, store_call::StoreError> {
    if !context.belief.borrow().answers() {
        // After an outage the store's return is to be noticed.
        return probe(context, connection, revision).await;
    }
    let wait = context.settings().bounds.leave.0.mul_f64(WAIT_PART).max(LEAST_WAIT);
    let path = context.border.watch_path(revision.number, wait);
    let mut second = document_call::DocumentConnection::new(context.settings().store);
    let answered = {
        let limit = wait + OVERDUE + PROBE_TIME * MAX_PROBES;
        let mut waiting = std::pin::pin!(store_call::get(context, connection, &path, limit));
        if let Some(answered) = until_doubted(context, waiting.as_mut(), wait + OVERDUE).await {
            return answered;
        }
        context.belief.borrow_mut().doubt();
        // The store may be slow, or the connection silent while new ones work: who answers first
        // tells. Waiting for the one watch alone kept changes from instances for half a minute.
        match future::select(waiting, pin::pin!(probe(context, &mut second, revision))).await {
            future::Either::Left((answered, _)) => return answered,
            future::Either::Right((answered, _)) => answered,
        }
    };
    if answered.as_ref().map_or_else(store_call::StoreError::is_answer, |_| true) {
        log::warn!(revision:%; "store.connection_silent");
        context.stats.borrow_mut().count("silent_connections", "store");
    }
    *connection = second;
    answered
}

/// Asks for changes without waiting for any. While an answer is late, others are asked for concurrently with
/// it: the store may be back for new connections, or just slow.
async fn probe(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
    revision: store_revision::StoreRevision,
) -> Result<store_call::StoreAnswer, store_call::StoreError> {
    let path = &context.border.watch_path(revision.number, FIRST_WAIT);
    let ask = |sent: u32| async move {
        let mut fresh = document_call::DocumentConnection::new(context.settings().store);
        let limit = PROBE_TIME * (MAX_PROBES - sent);
        let answered = store_call::get(context, &mut fresh, path, limit).await;
        (fresh, answered)
    };
    let mut probes = stream::FuturesUnordered::new();
    for sent in 0..MAX_PROBES {
        probes.push(ask(sent));
        let Ok(Some((fresh, answered))) = monoio::time::timeout(PROBE_TIME, probes.next()).await
        else {
            // Entries may lapse from now on: its return is the end of an outage.
            store_sight::lose(context, "no answer on a new connection");
            continue;
        };
        *connection = fresh;
        return answered;
    }
    let source = document_call::CallError::Silent { limit: PROBE_TIME * MAX_PROBES };
    Err(store_call::StoreError::Call { source })
}

/// Waits for a watch's answer; `None` once it is overdue, or members have known for some time what
/// it should have brought.
async fn until_doubted<T>(
    context: &context::InstanceContext,
    mut waiting: pin::Pin<&mut impl Future<Output = T>>,
    limit: time::Duration,
) -> Option<T> {
    let started = context.now();
    loop {
        let open = context.now().since(started);
        let slice = store_sight::MEMBER_INTERVAL.min(limit.saturating_sub(open));
        if let Ok(done) = monoio::time::timeout(slice, waiting.as_mut()).await {
            return Some(done);
        }
        let open = context.now().since(started);
        let behind = open >= store_sight::WATCH_LEAD && store_sight::is_behind(context);
        if behind || open >= limit {
            return None;
        }
    }
}
