//! Small HTTP answers apart from callers' requests: readiness, members' documents, operators.

use std::{rc, time};

use bytes::Bytes;
use slipturn_core::{quarantine, request_digest, units};
use slipturn_net::h1;

use crate::{context, document_answers, member_feed, quarantine_gossip, upstream_rows};

/// Requests that are held back.
const QUARANTINE_PATH: &str = "/v1/quarantine";

/// Upstreams, and what they have said.
const UPSTREAMS_PATH: &str = "/v1/upstreams";

/// Largest head of such a request.
const MAX_HEAD: usize = 8 * 1024;
/// Longest rest of such a connection.
const REST_TIME: time::Duration = time::Duration::from_secs(10);

/// Time after a caller could not be let in during which the process is not ready; while one waits,
/// it is tried again far more often.
const SHUT_TIME: time::Duration = time::Duration::from_secs(1);

/// Whom a listener answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SmallRole {
    /// The balancer.
    Health,
    /// Other instances.
    Members,
    /// Operators.
    Operators,
}

/// Answers connections of one role for ever.
pub async fn accept_all(
    context: rc::Rc<context::InstanceContext>,
    listener: monoio::net::TcpListener,
    role: SmallRole,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve(rc::Rc::clone(&context), stream, role));
            }
            Err(error) => {
                log::warn!(error:%; "accept.failed");
                monoio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(
    context: rc::Rc<context::InstanceContext>,
    stream: monoio::net::TcpStream,
    role: SmallRole,
) {
    let (mut reader, mut writer) = h1::split(stream);
    loop {
        let next = monoio::time::timeout(REST_TIME, reader.request_head(MAX_HEAD)).await;
        let Ok(Ok(Some(head))) = next else {
            return;
        };
        let path = head.uri.path();
        let answer = match role {
            SmallRole::Health => SmallAnswer::text(health(&context, path)),
            SmallRole::Members => documents(&context, &head.uri),
            SmallRole::Operators => SmallAnswer::text(operators(&context, &head.method, path)),
        };
        let close = h1::closes(head.version, &head.headers);
        if answer.send(&mut writer, close).await.is_err() || close {
            return;
        }
        reader.rest();
    }
}

/// A small answer.
struct SmallAnswer {
    status: u16,
    body: Bytes,
    /// Held until it is sent, where it is one of a bounded number.
    guard: Option<document_answers::LargeGuard>,
}

impl SmallAnswer {
    fn text((status, text): (u16, String)) -> Self {
        Self { status, body: Bytes::from(text), guard: None }
    }

    async fn send(
        self,
        writer: &mut h1::MessageWriter,
        close: bool,
    ) -> Result<(), h1::MessageError> {
        let status = http::StatusCode::from_u16(self.status).unwrap_or_default();
        let headers = http::HeaderMap::new();
        let head = h1::answer_bytes(status, &headers, Some(self.body.len()), close);
        // The body is shared with others who get the same.
        writer.write(head).await?;
        writer.write(self.body).await?;
        drop(self.guard);
        Ok(())
    }
}

fn health(context: &context::InstanceContext, path: &str) -> (u16, String) {
    let ready = is_ready(context);
    match context.border.is_readiness(path) {
        true if ready => (200, "ready\n".to_owned()),
        true => (503, "not ready\n".to_owned()),
        false => (404, String::new()),
    }
}

/// Whether new connections should come here.
pub fn is_ready(context: &context::InstanceContext) -> bool {
    let now = context.now();
    let shut = context.not_let_in.get().is_some_and(|since| now.since(since) < SHUT_TIME);
    context.fleet.borrow().is_known() && !context.stop.asked() && !shut
}

fn documents(context: &rc::Rc<context::InstanceContext>, uri: &http::Uri) -> SmallAnswer {
    let refused = |status, text: &str| SmallAnswer::text((status, said(text)));
    if uri.path() != member_feed::DOCUMENTS_PATH {
        return refused(404, "not a path of members");
    }
    if !context.fleet.borrow().is_known() {
        return refused(503, "nothing is known yet");
    }
    let value = |name: &str| {
        let pairs = uri.query().unwrap_or_default().split('&');
        pairs.filter_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).next()
    };
    let routes = value("routes").and_then(|text| text.parse().ok()).unwrap_or(0);
    // Without a list that can be read, all of it is sent.
    let list = value("list").map(|text| text.parse().unwrap_or_default());
    match document_answers::answer(context, routes, list) {
        document_answers::DocumentAnswer::Ready(body, guard) => {
            SmallAnswer { status: 200, body, guard }
        }
        document_answers::DocumentAnswer::Busy => refused(503, "others are given documents"),
        document_answers::DocumentAnswer::Failed(error) => refused(500, &error.to_string()),
    }
}

/// The paths that `slipturnctl` asks, and the metrics page.
fn operators(
    context: &context::InstanceContext,
    method: &http::Method,
    path: &str,
) -> (u16, String) {
    if let Some(id) = path.strip_prefix("/v1/decisions/") {
        return match context.records.borrow().find(id) {
            Some(record) => json(record),
            None => (404, said("not among the last requests of this instance")),
        };
    }
    if let Some(named) = path.strip_prefix(QUARANTINE_PATH) {
        return quarantine(context, method, named);
    }
    match (method.as_str(), path) {
        ("GET", "/metrics") => (
            200,
            context.stats.borrow().text()
                + &source_gauges(context)
                + &ways_gauge(context)
                + &held_gauge(context)
                + &notice_gauges(context),
        ),
        ("GET", "/v1/status") => json(&status(context)),
        ("GET", UPSTREAMS_PATH) => json(&upstream_rows::upstreams(context)),
        ("GET", "/v1/histograms") => json(&context.stats.borrow().rows()),
        ("GET", "/v1/settings") => json(&routes(context)),
        ("POST", "/v1/drain") => {
            log::info!("drain.asked");
            context.stop.ask();
            (200, said("draining"))
        }
        _ => (
            404,
            said(
                "try /metrics, /v1/status, /v1/settings, /v1/histograms, /v1/decisions/ID, /v1/quarantine, /v1/upstreams",
            ),
        ),
    }
}

/// The quarantine, and its release by an operator.
fn quarantine(
    context: &context::InstanceContext,
    method: &http::Method,
    named: &str,
) -> (u16, String) {
    let release = named.strip_prefix('/').and_then(|rest| rest.strip_suffix("/release"));
    match (method.as_str(), named, release.map(str::parse)) {
        ("GET", "", _) => json(&held_rows(context)),
        ("POST", _, Some(Ok(digest))) if quarantine_gossip::clear(context, digest) => {
            (200, said("released"))
        }
        ("POST", _, Some(Ok(_))) => (404, said("no upstream has ended under this request")),
        ("POST", _, Some(Err(error))) => (400, said(&error.to_string())),
        _ => (404, said("try GET /v1/quarantine, POST /v1/quarantine/DIGEST/release")),
    }
}

fn held_rows(context: &context::InstanceContext) -> Vec<serde_json::Value> {
    let now = context.now();
    let table = context.quarantine.borrow();
    let held = table.quarantined_at(now).into_iter();
    let verdicts = held.filter_map(|digest| Some((digest, table.verdict(now, digest)?)));
    let row =
        |(digest, verdict): (request_digest::RequestDigest, quarantine::QuarantineVerdict)| {
            serde_json::json!({
                "digest": digest.to_string(),
                "for_ms": units::whole_millis(verdict.until.since(now)),
                "upstreams": verdict.names(),
            })
        };
    verdicts.map(row).collect()
}

fn json(value: &impl serde::Serialize) -> (u16, String) {
    match serde_json::to_string(value) {
        Ok(text) => (200, text),
        Err(error) => (500, said(&error.to_string())),
    }
}

/// A short answer to an operator, in the shape that `slipturnctl` shows.
fn said(text: &str) -> String {
    serde_json::json!({ "status": text }).to_string()
}

fn routes(context: &context::InstanceContext) -> serde_json::Value {
    let fleet = context.fleet.borrow();
    let rows: Vec<_> = fleet
        .routes
        .all_routes()
        .map(|route| {
            serde_json::json!({
                "name": route.name,
                "host": route.host,
                "path_prefix": route.path_prefix,
                "repeat": route.repeat.label(),
                "streaming": route.streaming,
                "time_limit_ms": units::whole_millis(route.time_limit),
                "first_token_goal_ms": units::whole_millis(route.first_token_goal),
                "pause_goal_ms": units::whole_millis(route.pause_goal),
                "priority": route.priority,
                "max_attempts": route.max_attempts,
            })
        })
        .collect();
    serde_json::json!({ "version": fleet.routes.version, "routes": rows })
}

/// How old what this process knows may be: a watch on which nothing is heard any more looks like one
/// on which nothing has changed, but for these.
fn source_gauges(context: &context::InstanceContext) -> String {
    let lags = context.lags();
    let belief = context.belief.borrow();
    format!(
        "slipturn_store_ok {}\nslipturn_store_era {}\nslipturn_store_heard_ms {}\n\
         slipturn_lists_older_total {}\nslipturn_routes_lag_ms {}\nslipturn_list_lag_ms {}\n",
        u8::from(belief.answers()),
        belief.era(),
        units::whole_millis(belief.last_answer_age(context.now())),
        context.fleet.borrow().dropped(),
        units::whole_millis(lags.routes),
        units::whole_millis(lags.list),
    )
}

/// How many requests are held back.
fn held_gauge(context: &context::InstanceContext) -> String {
    let held = context.quarantine.borrow().quarantined_at(context.now()).len();
    format!("slipturn_requests_held {held}\n")
}

/// How many upstreams leave, rest and have a limit, as far as this process knows.
fn notice_gauges(context: &context::InstanceContext) -> String {
    let now = context.now();
    let fleet = context.fleet.borrow();
    let notices = fleet.list.notices();
    let leaving = notices.names().filter(|name| notices.leaving(name).is_some()).count();
    let resting = notices.names().filter(|name| notices.rest(now, name).is_some()).count();
    let limited = fleet.list.limits().len();
    let evacuated = fleet.list.evacuated().count();
    let recovery = fleet.list.recovery().unwrap_or_default();
    let (kept, withheld) = (recovery.kept.len(), recovery.withheld.len());
    format!(
        "slipturn_upstreams_kept {kept}\nslipturn_upstreams_withheld {withheld}\n\
         slipturn_data_centers_evacuated {evacuated}\nslipturn_upstreams_leaving {leaving}\nslipturn_upstreams_resting {resting}\n\
         slipturn_upstreams_limited {limited}\n"
    )
}

/// The ways of decisions in force, for comparisons.
fn ways_gauge(context: &context::InstanceContext) -> String {
    format!("slipturn_ways{{ways=\"{}\"}} 1\n", context.settings().experiments)
}

fn status(context: &context::InstanceContext) -> serde_json::Value {
    let retries = upstream_rows::retries(context);
    let lags = context.lags();
    let beat = context.own_beat();
    let belief = context.belief.borrow();
    let fleet = context.fleet.borrow();
    let members = context.members.borrow();
    let alive: Vec<_> = members.alive(context.now()).map(|beat| beat.name.to_string()).collect();
    serde_json::json!({
        "name": beat.name,
        "ready": is_ready(context),
        "leaving": beat.leaving,
        "plans": beat.plans,
        "routes": beat.routes,
        "list": beat.list.to_string(),
        "list_source": &*fleet.origin().source,
        "list_age_ms": units::whole_millis(context.now().since(fleet.origin().since)),
        "store_era": belief.era().0,
        "upstreams": fleet.list.entries().count(),
        "evacuated": fleet.list.evacuated().collect::<Vec<_>>(),
        "store_ok": belief.answers(),
        "store_heard_ms": units::whole_millis(belief.last_answer_age(context.now())),
        "routes_lag_ms": units::whole_millis(lags.routes),
        "list_lag_ms": units::whole_millis(lags.list),
        "members": alive,
        "busy": context.busy.get(),
        "placed": context.planners.borrow().placed(),
        "retries": retries,
    })
}
