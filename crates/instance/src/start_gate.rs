//! Holds requests that arrive while this process has just started and does not know the routes, the upstreams or the
//! planners yet. It usually learns them within a fraction of a second, and many callers retry only once.

use std::{rc, time};

use slipturn_core::{refusal, sharing, start_hold, start_wait, stated_limits, units};

use crate::{context, incoming_call};

/// Process age up to which requests wait. Members that started at the same time may not agree on
/// the planner before this age, so each would plan alone and assign the same engines.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(150);
/// Time that requests wait after this process has learned the routes if it lacked them for [`SETTLE_TIME`]. Members
/// learn them from each other within about 100 ms, and until a member has them it is not chosen as planner: three
/// members then planned for the same engines one after the other.
const ADOPTION_TIME: time::Duration = time::Duration::from_millis(100);
/// Interval at which a waiting request checks whether the process is ready.
const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Counts a request as held until it is dropped.
struct HoldGuard {
    context: rc::Rc<context::InstanceContext>,
    /// Bytes of the request's body.
    bytes: usize,
}

impl HoldGuard {
    /// Counts a request as held; `None` if that exceeds the bounds of the instance.
    fn new(
        context: &rc::Rc<context::InstanceContext>,
        attempt: start_hold::CallerAttempt,
        bytes: usize,
    ) -> Option<Self> {
        let added = context.start_holds.borrow_mut().held.add(attempt, bytes);
        added.then(|| Self { context: rc::Rc::clone(context), bytes })
    }
}

impl Drop for HoldGuard {
    fn drop(&mut self) {
        self.context.start_holds.borrow_mut().held.remove(self.bytes);
    }
}

/// Requests held at the start of the process, and the time limits that callers have stated until then.
#[derive(Debug, Default)]
pub struct StartHolds {
    held: start_hold::HeldRequests,
    limits: stated_limits::StatedLimits,
    /// Whether a request found the routes unknown after [`SETTLE_TIME`].
    was_unknown: bool,
    /// When a waiting request first found the routes known after that.
    known_since: Option<units::MonoTime>,
    /// The contact of this process and when it was determined, at most once per [`READY_POLL_INTERVAL`]: that takes a
    /// look at all members, and hundreds of requests may wait for the routes.
    contact: Option<(units::MonoTime, start_wait::StartContact)>,
}

impl StartHolds {
    /// Whether the other members have had the time to learn the routes, given whether this process knows them now.
    fn is_settled(&mut self, now: units::MonoTime, is_known: bool) -> bool {
        if now.since(units::MonoTime::default()) < SETTLE_TIME {
            return false;
        }
        self.was_unknown |= !is_known;
        if !is_known || !self.was_unknown {
            return is_known;
        }
        now.since(*self.known_since.get_or_insert(now)) >= ADOPTION_TIME
    }
}

/// A request that waits for the process to be ready.
pub(crate) struct ArrivedRequest<'a> {
    /// Head of the request.
    pub(crate) head: &'a http::request::Parts,
    /// When the last byte of the request was received.
    pub(crate) arrived: units::MonoTime,
    /// How long the caller waits for the answer, if it states that.
    pub(crate) max_wait: Option<time::Duration>,
    /// Length of the body in bytes.
    pub(crate) bytes: usize,
}

impl ArrivedRequest<'_> {
    /// Returns the request as [`start_hold`] sees it, without a goal.
    fn waiting(&self, context: &context::InstanceContext) -> start_hold::WaitingRequest {
        let limits = &context.start_holds.borrow().limits;
        let first = start_hold::CallerAttempt::First;
        start_hold::WaitingRequest {
            attempt: self.max_wait.map_or(first, |stated| limits.attempt(stated)),
            time_limit: self.max_wait.unwrap_or(incoming_call::DEFAULT_MAX_WAIT),
            waited: context.now().since(self.arrived),
            goal: None,
        }
    }

    /// Returns the goal of the request's route, if that is known.
    fn goal(&self, context: &context::InstanceContext) -> Option<time::Duration> {
        let fleet = context.fleet.borrow();
        let route = fleet.routes.route(&incoming_call::host_of(self.head), self.head.uri.path());
        route.map(|route| route.first_token_goal)
    }
}

/// Delays a request until the process is ready, or until it is to be rejected.
pub(crate) async fn wait_until_ready(
    context: &rc::Rc<context::InstanceContext>,
    request: &ArrivedRequest<'_>,
) {
    // Other instances serve the callers of one that stops.
    if is_ready(context) || context.stop.is_triggered() {
        return;
    }
    match context.settings().sharing.start {
        sharing::StartHold::Off => wait_by_age(context, request).await,
        sharing::StartHold::ByContact | sharing::StartHold::ByContactElapsed => {
            wait_by_contact(context, request).await;
        }
    }
}

/// Returns the retry delay for a caller whose request is rejected because the routes are not known; the caller has
/// stated that it waits for `max_wait`.
pub(crate) fn retry_after(
    context: &context::InstanceContext,
    arrived: units::MonoTime,
    max_wait: Option<time::Duration>,
) -> time::Duration {
    let variant = context.settings().sharing.start;
    let time_limit = max_wait.unwrap_or(incoming_call::DEFAULT_MAX_WAIT);
    if variant == sharing::StartHold::Off {
        let age = arrived.since(units::MonoTime::default());
        return refusal::outage_retry_after(age, time_limit);
    }
    let now = context.now();
    let request = start_hold::WaitingRequest {
        // A caller without another attempt ignores the delay.
        attempt: start_hold::CallerAttempt::First,
        time_limit,
        waited: now.since(arrived),
        goal: None,
    };
    let outage = now.since(units::MonoTime::default());
    start_hold::retry_after(variant, outage, &request, &mut rand::rng())
}

fn is_ready(context: &context::InstanceContext) -> bool {
    let is_known = context.fleet.borrow().is_known();
    if context.settings().sharing.start == sharing::StartHold::Off {
        let age = context.now().since(units::MonoTime::default());
        return is_known && age >= SETTLE_TIME;
    }
    context.start_holds.borrow_mut().is_settled(context.now(), is_known)
}

/// Waits up to a fixed process age.
async fn wait_by_age(context: &context::InstanceContext, request: &ArrivedRequest<'_>) {
    let max_wait = request.max_wait.unwrap_or(incoming_call::DEFAULT_MAX_WAIT);
    while !is_ready(context) && !context.stop.is_triggered() {
        let now = context.now();
        let age = now.since(units::MonoTime::default());
        let waited = now.since(request.arrived);
        if !start_wait::keeps_waiting(start_contact(context, now), age, waited, max_wait) {
            return;
        }
        monoio::time::sleep(READY_POLL_INTERVAL).await;
    }
}

/// Waits as [`start_hold`] decides.
async fn wait_by_contact(context: &rc::Rc<context::InstanceContext>, request: &ArrivedRequest<'_>) {
    let count = |outcome: &str| context.stats.borrow_mut().count("start_holds", outcome);
    if let Some(stated) = request.max_wait {
        context.start_holds.borrow_mut().limits.note(stated);
    }
    let attempt = request.waiting(context).attempt;
    let Some(_guard) = HoldGuard::new(context, attempt, request.bytes) else {
        count("no_space");
        return;
    };
    while !is_ready(context) && !context.stop.is_triggered() {
        let now = context.now();
        let age = now.since(units::MonoTime::default());
        let verdict =
            start_hold::decide(recent_contact(context, now), age, &request.waiting(context));
        if verdict == start_hold::HoldVerdict::Reject {
            count("rejected");
            return;
        }
        monoio::time::sleep(READY_POLL_INTERVAL).await;
    }
    count("released");
    let released =
        start_hold::WaitingRequest { goal: request.goal(context), ..request.waiting(context) };
    let delay = start_hold::release_delay(&released, &mut rand::rng());
    if !delay.is_zero() {
        monoio::time::sleep(delay).await;
    }
}

/// Returns the best contact of this process as of less than [`READY_POLL_INTERVAL`] ago.
fn recent_contact(
    context: &context::InstanceContext,
    now: units::MonoTime,
) -> start_wait::StartContact {
    let recent = context.start_holds.borrow().contact;
    if let Some((at, contact)) = recent
        && now.since(at) < READY_POLL_INTERVAL
    {
        return contact;
    }
    let contact = start_contact(context, now);
    context.start_holds.borrow_mut().contact = Some((now, contact));
    contact
}

/// Returns the best contact of this process: a source of documents (the store or a member that has them), any live
/// member, or none.
fn start_contact(
    context: &context::InstanceContext,
    now: units::MonoTime,
) -> start_wait::StartContact {
    let members = context.members.borrow();
    let near = &context.settings().data_center;
    if context.store_tracker.borrow().answers() || !members.any_sources(now, near).is_empty() {
        start_wait::StartContact::Source
    } else if members.alive(now).next().is_some() {
        start_wait::StartContact::Members
    } else {
        start_wait::StartContact::NoContact
    }
}
