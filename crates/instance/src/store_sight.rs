//! What changes in the belief about the store say to the log and to other members.

use std::time;

use slipturn_core::units;

use crate::{context, heartbeats};

/// Time between two looks at whether a member knows more.
pub(crate) const MEMBER_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// The same while this process knows nothing.
const START_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time that the own watch has to bring what a member knows before it is doubted, and the member
/// asked: a change does not reach all watches at one moment, and later where others came just before it.
pub(crate) const WATCH_LEAD: time::Duration = time::Duration::from_millis(500);

/// Time between two looks at what members know; short while this one knows nothing.
pub(crate) fn look_interval(context: &context::InstanceContext) -> time::Duration {
    if context.fleet.borrow().is_known() { MEMBER_INTERVAL } else { START_INTERVAL }
}

/// Whether the own watch is expected to bring what members know already.
///
/// That a watch is open is no reason: its connection may have fallen silent. Members that have had
/// something for [`WATCH_LEAD`] are believed rather than the own watch.
pub(crate) fn own_watch_leads(context: &context::InstanceContext) -> bool {
    let answers = context.belief.borrow().answers();
    answers && !is_behind(context)
}

/// Whether a member has had newer routes, or a newer list, for longer than the own watch needs.
pub(crate) fn is_behind(context: &context::InstanceContext) -> bool {
    context.lags().longest() >= WATCH_LEAD
}

/// Notes that the store does not answer; whether that is new.
pub(crate) fn lose(context: &context::InstanceContext, error: &str) -> bool {
    let lost = context.belief.borrow_mut().lose(context.now());
    if lost {
        log::warn!(error; "store.lost");
        heartbeats::announce(context);
    }
    lost
}

/// Notes an answer of the store.
pub(crate) fn regained(context: &context::InstanceContext) {
    let now = context.now();
    let heard = context.belief.borrow_mut().receive(now);
    if let Some(away) = heard.away {
        log::info!(away_ms = units::whole_millis(away); "store.regained");
        context.fleet.borrow_mut().source_returned(now);
    }
    if heard.resumes_watch {
        // The others count on this one from now on.
        heartbeats::announce(context);
    }
}

/// Logs that this process has fallen behind other members, and that it has caught up.
pub(crate) fn note_lag(
    context: &context::InstanceContext,
    behind_since: &mut Option<units::MonoTime>,
) {
    let now = context.now();
    let lags = context.lags();
    let behind = lags.longest() >= WATCH_LEAD && context.fleet.borrow().is_known();
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
