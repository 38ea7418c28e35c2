//! Contact with the store: records its loss and return, logs them, and informs other members.

use std::time;

use slipturn_core::units;

use crate::{context, heartbeats};

/// Interval between two checks of whether a member has newer documents.
pub(crate) const POLL_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Interval between two checks of whether a member has newer documents, while this process has none.
const START_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time that this process may lag behind a member before it stops relying on its own watch and fetches documents from the
/// member. A change does not reach all watches at the same time, and arrives later if another change preceded it.
pub(crate) const MAX_WATCH_LAG: time::Duration = time::Duration::from_millis(500);

/// Interval between two checks of whether members have newer documents; short while this process has none.
pub(crate) fn poll_interval(context: &context::InstanceContext) -> time::Duration {
    if context.fleet.borrow().is_known() { POLL_INTERVAL } else { START_POLL_INTERVAL }
}

/// Whether this process's own watch can be expected to bring the changes that members already have.
///
/// An open watch is not sufficient, as its connection may have fallen silent: once a member has had a change for
/// [`MAX_WATCH_LAG`], its documents are fetched instead.
pub(crate) fn trusts_own_watch(context: &context::InstanceContext) -> bool {
    let answers = context.store_tracker.borrow().answers();
    answers && !is_behind(context)
}

/// Whether a member has had newer routes or a newer list for at least [`MAX_WATCH_LAG`].
pub(crate) fn is_behind(context: &context::InstanceContext) -> bool {
    context.lags().longest() >= MAX_WATCH_LAG
}

/// Records that the store does not answer; returns whether that ends the contact with the store.
pub(crate) fn mark_lost(context: &context::InstanceContext, error: &str) -> bool {
    let lost = context.store_tracker.borrow_mut().note_failure(context.now());
    if lost {
        log::warn!(error; "store.lost");
        heartbeats::announce(context);
    }
    lost
}

/// Records an answer of the store, which ends any outage.
pub(crate) fn mark_answered(context: &context::InstanceContext) {
    let now = context.now();
    let contact_change = context.store_tracker.borrow_mut().receive(now);
    if let Some(away) = contact_change.away {
        log::info!(away_ms = units::whole_millis(away); "store.regained");
        context.fleet.borrow_mut().source_returned(now);
    }
    if contact_change.resumes_watch {
        // From now on other members can rely on this process's watch.
        heartbeats::announce(context);
    }
}

/// Logs when this process falls behind other members and when it has caught up; `behind_since` keeps, between calls,
/// since when it has been behind.
pub(crate) fn log_lag(
    context: &context::InstanceContext,
    behind_since: &mut Option<units::MonoTime>,
) {
    let now = context.now();
    let lags = context.lags();
    let behind = lags.longest() >= MAX_WATCH_LAG && context.fleet.borrow().is_known();
    if behind && behind_since.is_none() {
        *behind_since = Some(now);
        let store_tracker = context.store_tracker.borrow();
        log::warn!(
            routes_ms = units::whole_millis(lags.routes),
            list_ms = units::whole_millis(lags.list),
            heard_ms = units::whole_millis(store_tracker.last_answer_age(now)),
            store:? = store_tracker.contact(); "store.behind_members"
        );
    }
    if let Some(since) = behind_since.filter(|_| !behind) {
        *behind_since = None;
        log::info!(behind_ms = units::whole_millis(now.since(since)); "store.caught_up");
    }
}
