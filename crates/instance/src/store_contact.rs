//! What changes in the belief about the store say to the log and to other members.

use std::time;

use slipturn_core::units;

use crate::{context, heartbeats};

/// Time between two looks at whether a member knows more.
pub(crate) const POLL_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// The same while this process knows nothing.
const START_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time that the own watch has to bring what a member knows before it is doubted, and the member
/// asked: a change does not reach all watches at one moment, and later where others came just before it.
pub(crate) const MAX_WATCH_LAG: time::Duration = time::Duration::from_millis(500);

/// Time between two looks at what members know; short while this one knows nothing.
pub(crate) fn poll_interval(context: &context::InstanceContext) -> time::Duration {
    if context.fleet.borrow().is_known() { POLL_INTERVAL } else { START_POLL_INTERVAL }
}

/// Whether the own watch is expected to bring what members know already.
///
/// That a watch is open is no reason: its connection may have fallen silent. Members that have had
/// something for [`MAX_WATCH_LAG`] are believed rather than the own watch.
pub(crate) fn trusts_own_watch(context: &context::InstanceContext) -> bool {
    let answers = context.belief.borrow().answers();
    answers && !is_behind(context)
}

/// Whether a member has had newer routes, or a newer list, for longer than the own watch needs.
pub(crate) fn is_behind(context: &context::InstanceContext) -> bool {
    context.lags().longest() >= MAX_WATCH_LAG
}

/// Notes that the store does not answer; whether that is new.
pub(crate) fn mark_lost(context: &context::InstanceContext, error: &str) -> bool {
    let lost = context.belief.borrow_mut().lose(context.now());
    if lost {
        log::warn!(error; "store.lost");
        heartbeats::announce(context);
    }
    lost
}

/// Notes an answer of the store.
pub(crate) fn mark_answered(context: &context::InstanceContext) {
    let now = context.now();
    let heard = context.belief.borrow_mut().receive(now);
    if let Some(away) = heard.away {
        log::info!(away_ms = units::whole_millis(away); "store.regained");
        context.fleet.borrow_mut().source_returned(now);
    }
    if heard.watches_again {
        // The others count on this one from now on.
        heartbeats::announce(context);
    }
}

/// Logs that this process has fallen behind other members, and that it has caught up.
pub(crate) fn log_lag(
    context: &context::InstanceContext,
    behind_since: &mut Option<units::MonoTime>,
) {
    let now = context.now();
    let lags = context.lags();
    let behind = lags.longest() >= MAX_WATCH_LAG && context.fleet.borrow().is_known();
    if behind && behind_since.is_none() {
        *behind_since = Some(now);
        let belief = context.belief.borrow();
        log::warn!(
            routes_ms = units::whole_millis(lags.routes),
            list_ms = units::whole_millis(lags.list),
            heard_ms = units::whole_millis(belief.last_answer_age(now)),
            store:? = belief.contact(); "store.behind_members"
        );
    }
    if let Some(since) = behind_since.filter(|_| !behind) {
        *behind_since = None;
        log::info!(behind_ms = units::whole_millis(now.since(since)); "store.caught_up");
    }
}
