//! When callers come back whose service has no upstream that may take their request now.

use std::{fmt, time};

use slipturn_core::{ids, refusal, send_gate, units, upstream_notice};

use crate::context;

/// Why none of a service's upstreams may get a request now, and when one will.
#[derive(Debug, Clone)]
pub(crate) enum NoneOpen {
    /// All that might take one rest; the rest that ends first.
    Rest {
        /// The service.
        service: ids::ServiceId,
        /// The rest that ends first.
        first: upstream_notice::RestNotice,
        /// As of when.
        now: units::MonoTime,
    },
    /// All that might take one are in data centres under evacuation.
    Evacuated {
        /// The service.
        service: ids::ServiceId,
        /// When a caller comes back.
        back_after: time::Duration,
    },
    /// All that might take one have a limit, and there is no leave.
    Limited {
        /// The service.
        service: ids::ServiceId,
        /// When a caller comes back.
        back_after: time::Duration,
    },
}

impl NoneOpen {
    /// Whether it is because of rests.
    pub(crate) fn is_rest(&self) -> bool {
        matches!(self, Self::Rest { .. })
    }

    /// When a caller should come back.
    pub(crate) fn back_after(&self) -> time::Duration {
        match self {
            Self::Rest { first, now, .. } => {
                let (left, lasted) = (first.until.since(*now), first.lasts());
                refusal::rest_return(left, lasted, &mut rand::rng())
            }
            Self::Evacuated { back_after, .. } | Self::Limited { back_after, .. } => *back_after,
        }
    }
}

impl fmt::Display for NoneOpen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rest { service, first, now } => {
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

/// Why none of a service's upstreams may get a request now where some will again; nothing where one may.
///
/// `left` is the time that the caller has left.
pub(crate) fn none_open(
    context: &context::InstanceContext,
    service: &ids::ServiceId,
    left: time::Duration,
) -> Option<NoneOpen> {
    let now = context.now();
    let fleet = context.fleet.borrow();
    let open = fleet.list.open(now, service, send_gate::TrialTurn::Yes);
    if open.is_empty() {
        let service = service.clone();
        if let Some(first) = fleet.list.first_backoff_to_end(now, &service) {
            return Some(NoneOpen::Rest { service, first, now });
        }
        let away = fleet.list.evacuated_for(now, &service)?;
        let back_after = refusal::outage_return(away, left);
        return Some(NoneOpen::Evacuated { service, back_after });
    }
    let limits = open.iter().map(|entry| fleet.list.limit(&entry.name)?.reading.rate);
    let rates = limits.collect::<Option<Vec<_>>>()?;
    // Each member sees its part of those that come back.
    let rate: f64 = rates.into_iter().map(units::RequestRate::per_second).sum();
    let share = rate / context.members.borrow().size() as f64;
    let mut returns = context.quotas.returns.borrow_mut();
    let back_after = returns.entry(service.clone()).or_default().next(now, share);
    Some(NoneOpen::Limited { service: service.clone(), back_after })
}
