//! Admission of requests: customer, route, service and deadline.

use std::{cell, rc, time};

use bytes::Bytes;
use slipturn_core::{ids, refusal, request_digest, route_table, units};

use crate::{adapter, context, request_record, start_gate};

/// Time reserved for sending an answer to the caller.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(15);

/// How long a caller is assumed to wait if it states no time and the routes are not known yet.
pub(crate) const DEFAULT_MAX_WAIT: time::Duration = time::Duration::from_secs(10);

/// A caller's request with the customer, route, service and deadline determined on its admission.
pub struct IncomingCall {
    /// Request line and headers, as received from the caller.
    pub head: http::request::Parts,
    /// The complete body; empty until the caller of [`admit`] has set it.
    pub body: Bytes,
    /// Fields read from the head.
    pub request: adapter::CallerRequest,
    /// The route that matches the host and path.
    pub route: rc::Rc<route_table::RoutePolicy>,
    /// The customer; `None` if the route allows anonymous requests and no known key was sent.
    pub customer: Option<ids::CustomerId>,
    /// The service picked by the route.
    pub service: ids::ServiceId,
    /// Capacity and speed of the service's engines; `None` for a plain service, whose upstreams run
    /// no model.
    pub shape: Option<route_table::EngineShape>,
    /// When the last byte of the request was received.
    pub arrived: units::MonoTime,
    /// When the final answer must be ready: `ANSWER_MARGIN` before the caller's or the route's time limit.
    pub deadline: units::MonoTime,
    /// Whether the caller has probably sent the request before and was refused, or lost the connection.
    pub retried: bool,
    /// Number of attempts that an upstream may have run: the request was sent, and the upstream did
    /// not deny having run it.
    pub may_have_run: cell::Cell<u32>,
    /// Number of runs that broke or were given up.
    pub broken_runs: cell::Cell<u32>,
    /// Whether the engine of the current attempt has sent an event.
    pub answering: cell::Cell<bool>,
    /// How the connection of the current attempt is relayed, for the attempt's record; `None` if it is direct.
    pub relayed: cell::RefCell<Option<String>>,
    /// Digest of the request, computed on first use, as few requests need it.
    digest: cell::OnceCell<request_digest::RequestDigest>,
}

impl IncomingCall {
    /// Moves the arrival and the deadline by the time that the caller took to send the body.
    pub(crate) fn add_sending_time(&mut self, sending: time::Duration) {
        self.arrived = self.arrived + sending;
        self.deadline = self.deadline + sending;
    }

    /// Returns the time left until the deadline.
    pub fn left(&self, now: units::MonoTime) -> time::Duration {
        self.deadline.since(now)
    }

    /// Returns the digest that identifies the request when its caller repeats it.
    pub fn digest(&self) -> request_digest::RequestDigest {
        *self.digest.get_or_init(|| {
            let target = self.head.uri.path_and_query().map_or("/", |target| target.as_str());
            let (method, customer) = (self.head.method.as_str(), self.customer.as_ref());
            request_digest::RequestDigest::of(method, target, customer, &self.body)
        })
    }

    /// Returns the refusal of a request that was not answered within `limit`; it states `retry_after` only if no
    /// upstream may have run the request.
    pub fn timeout_refusal(
        &self,
        limit: time::Duration,
        retry_after: time::Duration,
    ) -> refusal::RequestRefusal {
        if self.may_have_run.get() == 0 {
            let code = refusal::RefusalCode::NoUpstream;
            let text = format!("no upstream took it within {limit:?}");
            return refusal::RequestRefusal::not_run(code, text).retry_after(retry_after);
        }
        let text = format!("not finished within {limit:?}");
        refusal::RequestRefusal::not_run(refusal::RefusalCode::TimedOut, text)
            .ran(refusal::RanState::Unknown)
    }

    /// Adds to the request's record what identifies its repeats and its prompt: few requests need it.
    pub fn identify(&self, record: &mut request_record::RequestRecord) {
        record.digest = Some(self.digest().to_string());
        let parts = &self.request.parts;
        record.parts = (!parts.is_empty()).then(|| parts.to_string());
    }

    /// Creates the request's record, without attempts and result.
    pub fn record(&self, context: &context::InstanceContext) -> request_record::RequestRecord {
        let fleet = context.fleet.borrow();
        request_record::RequestRecord {
            id: self.request.id.clone(),
            route: self.route.name.to_string(),
            customer: self.customer.as_ref().map(ToString::to_string).unwrap_or_default(),
            service: self.service.to_string(),
            routes: fleet.routes.version.0,
            list: fleet.list.revision().to_string(),
            list_source: fleet.origin().source.to_string(),
            list_age_ms: units::whole_millis(context.now().since(fleet.origin().since)),
            repeat: self.route.repeat.label(),
            prompt: self.request.prompt,
            limit_ms: units::whole_millis(self.deadline.since(self.arrived)),
            limit_from: match self.request.max_wait {
                Some(max_wait) if max_wait < self.route.time_limit => "caller".to_owned(),
                _ => format!("route {}", self.route.name),
            },
            ..Default::default()
        }
    }
}

/// Admits a request, given its `head` and the result of parsing it; the caller of this function
/// adds the body.
pub fn admit(
    context: &context::InstanceContext,
    head: http::request::Parts,
    request: Result<adapter::CallerRequest, adapter::FormatError>,
    arrived: units::MonoTime,
) -> Result<IncomingCall, refusal::RequestRefusal> {
    let fleet = context.fleet.borrow();
    if !fleet.is_known() {
        let text = "routes and upstreams are not known yet";
        let refusal = refusal::RequestRefusal::not_run(refusal::RefusalCode::NotReady, text);
        let max_wait = request.ok().and_then(|request| request.max_wait);
        let retry_after = start_gate::retry_after(context, arrived, max_wait);
        return Err(refusal.retry_after(retry_after));
    }
    let host = host_of(&head);
    let Some(route) = fleet.routes.route(&host, head.uri.path()) else {
        let text = format!("no route for {host}{}", head.uri.path());
        return Err(refusal::RequestRefusal::not_run(refusal::RefusalCode::NotFound, text));
    };
    let request = request.map_err(|error| {
        refusal::RequestRefusal::not_run(refusal::RefusalCode::BadRequest, error.to_string())
    })?;
    let customer = match &request.key {
        Some(key) => fleet.routes.customer(key).cloned(),
        None => None,
    };
    if customer.is_none() && !route.anonymous {
        let text = "no key, or a key that is not known";
        return Err(refusal::RequestRefusal::not_run(refusal::RefusalCode::Unauthorized, text));
    }
    let limit =
        request.max_wait.map_or(route.time_limit, |requested| requested.min(route.time_limit));
    let retried = request.max_wait.is_some_and(|stated| {
        context.attempt_limits.borrow_mut().note(arrived, stated, route.time_limit)
    });
    let service = route.pick_service(rand::random()).clone();
    let shape = fleet.routes.services.get(&service).and_then(|service| service.engine.clone());
    Ok(IncomingCall {
        route: rc::Rc::clone(route),
        head,
        body: Bytes::new(),
        request,
        customer,
        service,
        shape,
        arrived,
        deadline: arrived + limit.saturating_sub(ANSWER_MARGIN),
        retried,
        may_have_run: cell::Cell::new(0),
        broken_runs: cell::Cell::default(),
        answering: cell::Cell::default(),
        relayed: cell::RefCell::default(),
        digest: cell::OnceCell::new(),
    })
}

/// Returns the host that a request names; empty if it names none.
pub(crate) fn host_of(head: &http::request::Parts) -> String {
    let named = head.headers.get(http::header::HOST).and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or_default().to_owned()
}
