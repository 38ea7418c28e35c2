//! A single watch of the store. A watch without an answer does not show that nothing has changed.

use std::{pin, time};

use futures::{StreamExt as _, future, stream};
use slipturn_core::store_revision;

use crate::{adapter, context, document_call, store_call, store_contact};

/// Longest wait of one watch, as a share of the time within which requests to a leaving upstream must stop.
///
/// A connection may fall silent without an error. A change is then received after the wait, [`MAX_DELAY`] and one read.
/// That is soon enough: the platform tolerates for longer that an instance exceeds its bounds after a fault.
const WAIT_SHARE: f64 = 0.75;
/// Wait of a probe, a watch that only checks whether the store answers: it returns at once.
const PROBE_WAIT: time::Duration = time::Duration::from_millis(1);
/// Time after the end of a watch's wait from which its connection may be dead. A store that is fifty times slower than
/// usual answers in 200 ms.
const MAX_DELAY: time::Duration = time::Duration::from_millis(500);
/// Time for the answer to a probe before another probe is sent concurrently.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Most concurrent probes, each on its own connection; the store counts as unreachable if none is answered. With a single
/// probe, answers of a store slower than [`PROBE_TIMEOUT`] would never be received.
const MAX_PROBES: u32 = 3;
/// Shortest wait of a watch, whatever the settings say, so that watches without changes do not follow each other at once.
const MIN_WAIT: time::Duration = time::Duration::from_millis(250);

/// Watches the store once for changes after `revision`. If the answer arrives on another connection, that one replaces
/// `connection`.
pub(crate) async fn watch(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
    revision: store_revision::StoreRevision,
) -> Result<store_call::StoreAnswer<adapter::StoreChanges>, store_call::StoreError> {
    if !context.store_tracker.borrow().answers() {
        // While the store is not known to answer, a probe replaces the watch, so that the end of an outage is detected
        // soon.
        return probe(context, connection, revision).await;
    }
    let wait = context.settings().bounds.leave.0.mul_f64(WAIT_SHARE).max(MIN_WAIT);
    let path = context.adapter.watch_path(revision.number, wait);
    let mut probe_connection = document_call::DocumentConnection::new(context.settings().store);
    let answered = {
        let limit = wait + MAX_DELAY + PROBE_TIMEOUT * MAX_PROBES;
        let reader = context.adapter.changes_reader();
        let mut waiting =
            std::pin::pin!(store_call::get(context, connection, &path, limit, reader));
        if let Some(answered) = until_overdue(context, waiting.as_mut(), wait + MAX_DELAY).await {
            return answered;
        }
        context.store_tracker.borrow_mut().note_overdue();
        // Either the store is slow, or this connection is silent while new ones work: the first answer decides. Waiting
        // for the watch alone delayed changes by half a minute.
        match future::select(waiting, pin::pin!(probe(context, &mut probe_connection, revision)))
            .await
        {
            future::Either::Left((answered, _)) => return answered,
            future::Either::Right((answered, _)) => answered,
        }
    };
    if answered.as_ref().map_or_else(store_call::StoreError::is_answer, |_| true) {
        log::warn!(revision:%; "store.connection_silent");
        context.stats.borrow_mut().count("silent_connections", "store");
    }
    *connection = probe_connection;
    answered
}

/// Requests changes without waiting for any. While an answer is late, further probes are sent concurrently: the store may
/// answer on new connections alone, or just be slow.
async fn probe(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
    revision: store_revision::StoreRevision,
) -> Result<store_call::StoreAnswer<adapter::StoreChanges>, store_call::StoreError> {
    let path = &context.adapter.watch_path(revision.number, PROBE_WAIT);
    let send_probe = |sent: u32| async move {
        let mut new_connection = document_call::DocumentConnection::new(context.settings().store);
        let limit = PROBE_TIMEOUT * (MAX_PROBES - sent);
        let reader = context.adapter.changes_reader();
        let answered = store_call::get(context, &mut new_connection, path, limit, reader).await;
        (new_connection, answered)
    };
    let mut probes = stream::FuturesUnordered::new();
    for sent in 0..MAX_PROBES {
        probes.push(send_probe(sent));
        let Ok(Some((new_connection, answered))) =
            monoio::time::timeout(PROBE_TIMEOUT, probes.next()).await
        else {
            // Entries may expire from now on, so the next answer of the store ends an outage.
            store_contact::mark_lost(context, "no answer on a new connection");
            continue;
        };
        *connection = new_connection;
        return answered;
    }
    let source = document_call::CallError::Silent { limit: PROBE_TIMEOUT * MAX_PROBES };
    Err(store_call::StoreError::Call { source })
}

/// Waits for the answer to a watch; `None` once the answer is overdue, or once this process has lacked newer documents
/// of members for `store_contact::MAX_WATCH_LAG` although it watches.
async fn until_overdue<T>(
    context: &context::InstanceContext,
    mut waiting: pin::Pin<&mut impl Future<Output = T>>,
    limit: time::Duration,
) -> Option<T> {
    let started = context.now();
    loop {
        let elapsed = context.now().since(started);
        let remaining_poll = store_contact::POLL_INTERVAL.min(limit.saturating_sub(elapsed));
        if let Ok(done) = monoio::time::timeout(remaining_poll, waiting.as_mut()).await {
            return Some(done);
        }
        let elapsed = context.now().since(started);
        let behind = elapsed >= store_contact::MAX_WATCH_LAG && store_contact::is_behind(context);
        if behind || elapsed >= limit {
            return None;
        }
    }
}
