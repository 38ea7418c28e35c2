//! Reasons and retry delays for requests whose service has no upstream that may take them now.

use std::{fmt, time};

use slipturn_core::{ids, refusal, send_gate, units, upstream_notice};

use crate::context;

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
            Self::Evacuated { retry_after, .. } | Self::Limited { retry_after, .. } => *retry_after,
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
            Self::Evacuated { service, .. } => {
                write!(f, "all upstreams of service '{service}' are in evacuated data centres")
            }
            Self::Limited { service, .. } => {
                write!(f, "all upstreams of service '{service}' get as many requests as they take")
            }
        }
    }
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
