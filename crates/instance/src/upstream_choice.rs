//! When callers come back whose service has no upstream that may take their request now.

use std::{fmt, time};

use slipturn_core::{ids, refusal, send_permit, units, upstream_notice};

use crate::context;

/// All upstreams of a service that might take a request rest.
#[derive(Debug, Clone)]
pub(crate) struct ServiceRest {
    service: ids::ServiceId,
    /// The rest that ends first.
    first: upstream_notice::RestNotice,
    now: units::MonoTime,
}

impl ServiceRest {
    /// When a caller should come back.
    pub(crate) fn back_after(&self) -> time::Duration {
        let (left, lasted) = (self.first.until.since(self.now), self.first.lasts());
        refusal::rest_return(left, lasted, &mut rand::rng())
    }
}

impl fmt::Display for ServiceRest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let left = units::whole_millis(self.first.until.since(self.now));
        write!(f, "all upstreams of service '{}' rest, the first {left} ms more", self.service)
    }
}

/// The rest that ends first, where none of a service's upstreams may get a request now and some will again.
pub(crate) fn first_back(
    context: &context::InstanceContext,
    service: &ids::ServiceId,
) -> Option<ServiceRest> {
    let now = context.now();
    let fleet = context.fleet.borrow();
    if !fleet.list.open(now, service, send_permit::TrialTurn::Yes).is_empty() {
        return None;
    }
    let first = fleet.list.first_back(now, service)?;
    Some(ServiceRest { service: service.clone(), first, now })
}
