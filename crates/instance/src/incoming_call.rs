//! A request that was read and admitted: whose it is, where it goes, until when.

use std::{cell, rc, time};

use bytes::Bytes;
use slipturn_core::{ids, refusal, request_digest, route_table, units};

use crate::{border, context, request_record};

/// Time kept back for the way of an answer to the caller.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(15);

/// What a caller of a process that knows no routes yet is taken to wait, where it does not say.
pub(crate) const USUAL_PATIENCE: time::Duration = time::Duration::from_secs(10);

/// An admitted request.
pub struct IncomingCall {
    /// What the caller sent.
    pub head: http::request::Parts,
    /// Its whole body.
    pub body: Bytes,
    /// What its head says.
    pub request: border::CallerRequest,
    /// Its route.
    pub route: rc::Rc<route_table::RoutePolicy>,
    /// Its customer, where it needs one.
    pub customer: Option<ids::CustomerId>,
    /// The service that takes it.
    pub service: ids::ServiceId,
    /// How the service's engines work, where it has any.
    pub shape: Option<route_table::EngineShape>,
    /// When its last byte had arrived.
    pub arrived: units::MonoTime,
    /// When it must have its final answer.
    pub deadline: units::MonoTime,
    /// Attempts whose upstream may have run it: bytes went out, and it did not say otherwise.
    pub may_have_run: cell::Cell<u32>,
    /// What it is recognised by, once somebody has asked: few requests ever need it.
    digest: cell::OnceCell<request_digest::RequestDigest>,
}

impl IncomingCall {
    /// Time left.
    pub fn left(&self, now: units::MonoTime) -> time::Duration {
        self.deadline.since(now)
    }

    /// What it is recognised by when its caller repeats it.
    pub fn digest(&self) -> request_digest::RequestDigest {
        *self.digest.get_or_init(|| {
            let target = self.head.uri.path_and_query().map_or("/", |target| target.as_str());
            let (method, customer) = (self.head.method.as_str(), self.customer.as_ref());
            request_digest::RequestDigest::of(method, target, customer, &self.body)
        })
    }

    /// The refusal once the time that it had, `limit`, is over.
    pub fn out_of_time(
        &self,
        limit: time::Duration,
        back_after: time::Duration,
    ) -> refusal::RequestRefusal {
        if self.may_have_run.get() == 0 {
            let code = refusal::RefusalCode::NoUpstream;
            let text = format!("no upstream took it within {limit:?}");
            return refusal::RequestRefusal::not_run(code, text).retry_after(back_after);
        }
        let text = format!("not finished within {limit:?}");
        refusal::RequestRefusal::not_run(refusal::RefusalCode::TimedOut, text)
            .ran(refusal::RanState::Unknown)
    }

    /// The record of what happens to it.
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
            limit_from: match self.request.patience {
                Some(patience) if patience < self.route.time_limit => "caller".to_owned(),
                _ => format!("route {}", self.route.name),
            },
            ..Default::default()
        }
    }
}

/// Admits a request whose head has been read as `request`.
pub fn admit(
    context: &context::InstanceContext,
    head: http::request::Parts,
    request: Result<border::CallerRequest, border::FormatError>,
    arrived: units::MonoTime,
) -> Result<IncomingCall, refusal::RequestRefusal> {
    let fleet = context.fleet.borrow();
    if !fleet.is_known() {
        let text = "routes and upstreams are not known yet";
        let refusal = refusal::RequestRefusal::not_run(refusal::RefusalCode::NotReady, text);
        let patience = request.ok().and_then(|request| request.patience);
        let away = arrived.since(units::MonoTime::default());
        let back_after = refusal::outage_retry_after(away, patience.unwrap_or(USUAL_PATIENCE));
        return Err(refusal.retry_after(back_after));
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
    let limit = request.patience.map_or(route.time_limit, |wish| wish.min(route.time_limit));
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
        may_have_run: cell::Cell::new(0),
        digest: cell::OnceCell::new(),
    })
}

fn host_of(head: &http::request::Parts) -> String {
    let named = head.headers.get(http::header::HOST).and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or_default().to_owned()
}
