//! Reasons and retry delays for requests whose service has no upstream that may take them now.

use std::{fmt, time};

use slipturn_core::{ids, refusal, send_gate, units, upstream_notice};

use crate::{context, incoming_call};

/// Why no upstream of a service may get a request now.
#[derive(Debug, Clone)]
pub(crate) enum NoUpstreamReason {
    /// All otherwise usable upstreams requested a backoff.
    Backoff {
        service: ids::ServiceId,
        /// The backoff that ends first.
        first: upstream_notice::BackoffNotice,
        /// Time of the check, from which the remaining backoff is counted.
        now: units::MonoTime,
    },
    /// This instance reaches no upstream, neither over its own links nor through members.
    Unreachable {
        service: ids::ServiceId,
        /// Time since the first failure.
        since: time::Duration,
        /// Retry delay for the caller.
        retry_after: time::Duration,
    },
    /// All otherwise usable upstreams are in data centres under evacuation.
    Evacuated {
        service: ids::ServiceId,
        /// Retry delay for the caller.
        retry_after: time::Duration,
    },
    /// All usable upstreams have a limit; it is assumed that no permit was available for the request.
    Limited {
        service: ids::ServiceId,
        /// Retry delay for the caller.
        retry_after: time::Duration,
    },
}

impl NoUpstreamReason {
    /// Returns whether the reason is that upstreams requested a backoff.
    pub(crate) fn is_backoff(&self) -> bool {
        matches!(self, Self::Backoff { .. })
    }

    /// Returns the retry delay for the caller; a random part spreads the retries after a backoff.
    pub(crate) fn retry_after(&self) -> time::Duration {
        match self {
            Self::Backoff { first, now, .. } => {
                let (left, lasted) = (first.until.since(*now), first.duration());
                refusal::backoff_retry_after(left, lasted, &mut rand::rng())
            }
            Self::Unreachable { retry_after, .. }
            | Self::Evacuated { retry_after, .. }
            | Self::Limited { retry_after, .. } => *retry_after,
        }
    }
}

impl fmt::Display for NoUpstreamReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Backoff { service, first, now } => {
                let left = units::whole_millis(first.until.since(*now));
                write!(f, "all upstreams of service '{service}' rest, the first {left} ms more")
            }
            Self::Unreachable { service, since, .. } => {
                let ms = units::whole_millis(*since);
                write!(f, "no upstream of service '{service}' was reached for {ms} ms, by any path")
            }
            Self::Evacuated { service, .. } => {
                write!(f, "all upstreams of service '{service}' are in evacuated data centres")
            }
            Self::Limited { service, .. } => {
                write!(f, "all upstreams of service '{service}' get as many requests as they take")
            }
        }
    }
}

/// Number of upstreams that must have been tried before a request is refused because its service is unreachable.
const MIN_UNREACHED: u32 = 2;
/// Time from the arrival of a request for which upstreams of an unreachable service are tried.
const UNREACHED_TIME: time::Duration = time::Duration::from_millis(250);

/// Returns whether a request ends because the service is unreachable, after attempts at `unreached` upstreams that no
/// path reached. Attempts that are refused at once go on, as another upstream may be reached.
pub(crate) fn is_unreachable(
    context: &context::InstanceContext,
    call: &incoming_call::IncomingCall,
    unreached: u32,
) -> bool {
    unreached >= MIN_UNREACHED
        && context.now().since(call.arrived) >= UNREACHED_TIME
        && context.reach.borrow().lost_since(&call.service).is_some()
}

/// Returns why a request is refused after attempts at `unreached` upstreams that no path reached.
pub(crate) fn unreachable_reason(
    context: &context::InstanceContext,
    service: &ids::ServiceId,
    unreached: u32,
    left: time::Duration,
) -> Option<NoUpstreamReason> {
    let lost_since = context.reach.borrow().lost_since(service).filter(|_| unreached > 0)?;
    let since = context.now().since(lost_since);
    let retry_after = refusal::outage_retry_after(since, left);
    Some(NoUpstreamReason::Unreachable { service: service.clone(), since, retry_after })
}

/// Returns why no upstream of a service may get a request now. Returns `None` if there is an upstream
/// without a limit, or if no temporary reason is known.
///
/// `left` is the time that the caller has left.
pub(crate) fn no_upstream_reason(
    context: &context::InstanceContext,
    service: &ids::ServiceId,
    left: time::Duration,
) -> Option<NoUpstreamReason> {
    let now = context.now();
    let fleet = context.fleet.borrow();
    let open = fleet.list.open(now, service, send_gate::ProbePermission::Yes);
    if open.is_empty() {
        let service = service.clone();
        if let Some(first) = fleet.list.first_backoff_to_end(now, &service) {
            return Some(NoUpstreamReason::Backoff { service, first, now });
        }
        let outage = fleet.list.evacuated_for(now, &service)?;
        let retry_after = refusal::outage_retry_after(outage, left);
        return Some(NoUpstreamReason::Evacuated { service, retry_after });
    }
    let limits = open.iter().map(|entry| fleet.list.limit(&entry.name)?.reading.rate);
    let rates = limits.collect::<Option<Vec<_>>>()?;
    // Callers retry at all members alike, so this process schedules its share of the total rate.
    let rate: f64 = rates.into_iter().map(units::RequestRate::per_second).sum();
    let share = rate / context.members.borrow().size() as f64;
    let mut retry_schedules = context.quotas.retry_schedules.borrow_mut();
    let retry_after = retry_schedules.entry(service.clone()).or_default().next(now, share);
    Some(NoUpstreamReason::Limited { service: service.clone(), retry_after })
}
