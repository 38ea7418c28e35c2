//! HTTP server for everything but callers' requests: readiness checks, documents for members, and operators' pages.

use std::{collections, io, net, pin, rc, time};

use bytes::Bytes;
use slipturn_core::{ids, part_quarantine, prompt_part, quarantine, request_digest, units};
use slipturn_net::{h1, process};

use crate::{
    adapter, context, document_answers, intake, member_feed, member_relay, part_gossip,
    quarantine_gossip, relay_server, share_gossip, share_rows, upstream_rows,
};

/// Prefix that tells parts of prompts from the digest of a request.
const PARTS_PREFIX: &str = "part:";
/// Path at which operators list quarantined requests and parts, and prefix of the path that releases one.
const QUARANTINE_PATH: &str = "/v1/quarantine";

/// Path at which operators read a row on each listed upstream.
const UPSTREAMS_PATH: &str = "/v1/upstreams";

/// Path at which operators read a row on each customer's share at each planner of this process.
const SHARES_PATH: &str = "/v1/shares";

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Time after a failure to accept a caller's connection for which the process is not ready. While callers wait, accepting
/// is retried far more often.
const ACCEPT_FAILURE_TIME: time::Duration = time::Duration::from_secs(1);

/// Interval at which the listener for readiness checks is polled, at least.
const CHECK_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Delay of the answer to a readiness check from which it is logged: a load balancer may have given the check up.
const LATE_CHECK_TIME: time::Duration = time::Duration::from_millis(300);

/// Kind of clients that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRole {
    /// The load balancer, which checks readiness; accepted by [`accept_checks`].
    Health,
    /// Other instances, which fetch documents.
    Members,
    /// Operators, and the collector of metrics.
    Operators,
}

/// Accepts and serves the load balancer's connections, and reports when checks were answered late; never returns.
pub async fn accept_checks(
    context: &rc::Rc<context::InstanceContext>,
    listener: &monoio::net::TcpListener,
) {
    loop {
        match accept_check(context, listener).await {
            Ok((stream, _)) => {
                process::spawn_isolated(serve(rc::Rc::clone(context), stream, ServerRole::Health));
            }
            Err(error) => {
                log::warn!(error:%; "accept.failed");
                monoio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    }
}

/// Accepts one connection of the load balancer.
async fn accept_check(
    context: &context::InstanceContext,
    listener: &monoio::net::TcpListener,
) -> io::Result<(monoio::net::TcpStream, net::SocketAddr)> {
    let mut accept = pin::pin!(listener.accept());
    loop {
        let polled_at = context.now();
        let accepted = monoio::time::timeout(CHECK_POLL_INTERVAL, &mut accept).await;
        // Checks that arrived in the meantime have waited up to as long.
        let delay = context.now().since(polled_at).saturating_sub(CHECK_POLL_INTERVAL);
        report_if_late(context, delay, "process");
        if let Ok(accepted) = accepted {
            return accepted;
        }
    }
}

/// Logs and counts a delay of readiness checks by `cause`, unless it is short.
fn report_if_late(context: &context::InstanceContext, delay: time::Duration, cause: &str) {
    if delay >= LATE_CHECK_TIME {
        log::warn!(waited_ms = units::whole_millis(delay), cause; "health.late");
        context.stats.borrow_mut().count("late_checks", cause);
    }
}

/// Accepts and serves connections of one role; never returns.
pub async fn accept_all(
    context: &rc::Rc<context::InstanceContext>,
    listener: &monoio::net::TcpListener,
    role: ServerRole,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                process::spawn_isolated(serve(rc::Rc::clone(context), stream, role));
            }
            Err(error) => {
                log::warn!(error:%; "accept.failed");
                monoio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    }
}

/// Answers readiness checks while the process starts: it is not ready; never returns.
pub async fn answer_not_ready(
    adapter: &rc::Rc<dyn adapter::InstanceAdapter>,
    listener: &monoio::net::TcpListener,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                process::spawn_isolated(serve_not_ready(rc::Rc::clone(adapter), stream));
            }
            Err(error) => {
                log::warn!(error:%; "accept.failed");
                monoio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    }
}

/// Answers one readiness check, and closes the connection, so that the next check sees a later state.
async fn serve_not_ready(
    adapter: rc::Rc<dyn adapter::InstanceAdapter>,
    stream: monoio::net::TcpStream,
) {
    let (mut reader, mut writer) = h1::split(stream);
    let next = monoio::time::timeout(IDLE_TIMEOUT, reader.request_head(MAX_HEAD_BYTES)).await;
    if let Ok(Ok(Some(head))) = next {
        let answer = ServerAnswer::text(readiness(&*adapter, head.uri.path(), false));
        // The connection is closed in either case.
        let _ = answer.send(&mut writer, true).await;
    }
}

async fn serve(
    context: rc::Rc<context::InstanceContext>,
    stream: monoio::net::TcpStream,
    role: ServerRole,
) {
    let (mut reader, mut writer) = h1::split(stream);
    loop {
        let next = monoio::time::timeout(IDLE_TIMEOUT, reader.request_head(MAX_HEAD_BYTES)).await;
        let Ok(Ok(Some(head))) = next else {
            return;
        };
        if role == ServerRole::Members && head.method == http::Method::CONNECT {
            return relay_server::serve(&context, &head, reader, writer).await;
        }
        let asked_at = context.now();
        let path = head.uri.path();
        let answer = match role {
            ServerRole::Health => ServerAnswer::text(health(&context, path)),
            ServerRole::Members => documents(&context, &head.uri),
            ServerRole::Operators => ServerAnswer::text(operators(&context, &head.method, path)),
        };
        let close = h1::closes(head.version, &head.headers);
        let sent = answer.send(&mut writer, close).await;
        if role == ServerRole::Health {
            report_if_late(&context, context.now().since(asked_at), "answer");
        }
        if sent.is_err() || close {
            return;
        }
        reader.free_empty_buffer();
    }
}

/// A response of this server, before it is written to the connection.
struct ServerAnswer {
    status: u16,
    body: Bytes,
    /// Guard of a large answer, held until the response has been sent.
    guard: Option<document_answers::LargeAnswerGuard>,
}

impl ServerAnswer {
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
        let head = h1::encode_response_head(status, &headers, Some(self.body.len()), close);
        // Written separately, as the body is shared with responses to other members.
        writer.write(head).await?;
        writer.write(self.body).await?;
        drop(self.guard);
        Ok(())
    }
}

fn health(context: &context::InstanceContext, path: &str) -> (u16, String) {
    readiness(&*context.adapter, path, is_ready(context))
}

fn readiness(adapter: &dyn adapter::InstanceAdapter, path: &str, ready: bool) -> (u16, String) {
    match adapter.is_readiness(path) {
        true if ready => (200, "ready\n".to_owned()),
        true => (503, "not ready\n".to_owned()),
        false => (404, String::new()),
    }
}

/// Whether this instance should receive new connections: it knows routes and upstreams, is not stopping, and did not
/// fail to accept a connection within the last `ACCEPT_FAILURE_TIME`.
pub fn is_ready(context: &context::InstanceContext) -> bool {
    let now = context.now();
    let failed_lately =
        context.accept_failed_at.get().is_some_and(|since| now.since(since) < ACCEPT_FAILURE_TIME);
    context.fleet.borrow().is_known()
        && !context.stop.is_triggered()
        && !failed_lately
        && !context.leaves_callers_to_others()
}

/// Serves the documents that a member requests.
fn documents(context: &rc::Rc<context::InstanceContext>, uri: &http::Uri) -> ServerAnswer {
    let failed = |status, text: &str| ServerAnswer::text((status, status_body(text)));
    if let Some(number) = uri.path().strip_prefix(member_relay::RELAY_ENDS_PATH) {
        return relay_end(context, number);
    }
    if uri.path() != member_feed::DOCUMENTS_PATH {
        return failed(404, "not a path of members");
    }
    if !context.fleet.borrow().is_known() {
        return failed(503, "nothing is known yet");
    }
    let value = |name: &str| {
        let pairs = uri.query().unwrap_or_default().split('&');
        pairs.filter_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).next()
    };
    let routes = value("routes").and_then(|text| text.parse().ok()).unwrap_or(0);
    // For an invalid revision the whole list is sent.
    let list = value("list").map(|text| text.parse().unwrap_or_default());
    match document_answers::answer(context, routes, list) {
        document_answers::DocumentAnswer::Ready(body, guard) => {
            ServerAnswer { status: 200, body, guard }
        }
        document_answers::DocumentAnswer::Busy => failed(503, "others are given documents"),
        document_answers::DocumentAnswer::Failed(error) => failed(500, &error.to_string()),
    }
}

/// Tells a member how a relayed connection ended: status 200 if its upstream closed it, else 404.
fn relay_end(context: &context::InstanceContext, number: &str) -> ServerAnswer {
    let number = number.parse().ok();
    let was_closed =
        number.is_some_and(|number| context.relayed.borrow().was_closed_by_upstream(number));
    ServerAnswer::text((if was_closed { 200 } else { 404 }, String::new()))
}

/// Serves the paths that `slipturnctl` requests, and the metrics.
fn operators(
    context: &context::InstanceContext,
    method: &http::Method,
    path: &str,
) -> (u16, String) {
    if let Some(id) = path.strip_prefix("/v1/decisions/") {
        return match context.records.borrow().find(id) {
            Some(record) => json(record),
            None => (404, status_body("not among the last requests of this instance")),
        };
    }
    if let Some(path_rest) = path.strip_prefix(QUARANTINE_PATH) {
        return quarantine(context, method, path_rest);
    }
    if let ("POST", Some(rest)) = (method.as_str(), path.strip_prefix(SHARES_PATH)) {
        return match share_gossip::set_from_path(context, rest) {
            Ok(()) => (200, status_body("set")),
            Err(error) => (400, status_body(&error)),
        };
    }
    match (method.as_str(), path) {
        ("GET", "/metrics") => (
            200,
            context.stats.borrow().text()
                + &source_gauges(context)
                + &ways_gauge(context)
                + &quarantined_gauge(context)
                + &share_rows::refused_counters(context)
                + &notice_gauges(context)
                + &intake::gauges(context),
        ),
        ("GET", "/v1/status") => json(&status(context)),
        ("GET", UPSTREAMS_PATH) => json(&upstream_rows::upstreams(context)),
        ("GET", SHARES_PATH) => json(&share_rows::shares(context)),
        ("GET", "/v1/histograms") => json(&context.stats.borrow().rows()),
        ("GET", "/v1/settings") => json(&routes(context)),
        ("POST", "/v1/drain") => {
            log::info!("drain.asked");
            context.stop.trigger();
            (200, status_body("draining"))
        }
        _ => (
            404,
            status_body(
                "try /metrics, /v1/status, /v1/settings, /v1/histograms, /v1/decisions/ID, /v1/quarantine, /v1/upstreams, /v1/shares",
            ),
        ),
    }
}

/// Lists the quarantined requests and parts of prompts, and lets an operator release one.
fn quarantine(
    context: &context::InstanceContext,
    method: &http::Method,
    path_rest: &str,
) -> (u16, String) {
    let release = path_rest.strip_prefix('/').and_then(|rest| rest.strip_suffix("/release"));
    if let ("POST", Some(parts)) =
        (method.as_str(), release.and_then(|text| text.strip_prefix(PARTS_PREFIX)))
    {
        return release_parts(context, parts);
    }
    match (method.as_str(), path_rest, release.map(str::parse)) {
        ("GET", "", _) => json(&quarantined_rows(context)),
        ("POST", _, Some(Ok(digest))) if quarantine_gossip::clear(context, digest) => {
            (200, status_body("released"))
        }
        ("POST", _, Some(Ok(_))) => (404, status_body("no upstream has ended under this request")),
        ("POST", _, Some(Err(error))) => (400, status_body(&error.to_string())),
        _ => (404, status_body("try GET /v1/quarantine, POST /v1/quarantine/DIGEST/release")),
    }
}

fn release_parts(context: &context::InstanceContext, parts: &str) -> (u16, String) {
    match parts.parse::<prompt_part::SharedParts>() {
        Ok(parts) if part_gossip::release_parts(context, &parts) => (200, status_body("released")),
        Ok(_) => (404, status_body("no upstream has ended under prompts with exactly these parts")),
        Err(error) => (400, status_body(&error.to_string())),
    }
}

fn quarantined_part_rows(context: &context::InstanceContext) -> Vec<serde_json::Value> {
    let now = context.now();
    let state = context.part_state.borrow();
    let row = |verdict: &part_quarantine::PartVerdict| {
        serde_json::json!({
            "part": verdict.parts.to_string(),
            "scope": verdict.scope.to_string(),
            "for_ms": units::whole_millis(verdict.until().since(now)),
            "upstreams": verdict.names(),
        })
    };
    state.verdicts.iter().map(row).collect()
}

fn quarantined_rows(context: &context::InstanceContext) -> Vec<serde_json::Value> {
    let now = context.now();
    let table = context.quarantine.borrow();
    let quarantined = table.quarantined_at(now).into_iter();
    let verdicts = quarantined.filter_map(|digest| Some((digest, table.verdict(now, digest)?)));
    let row =
        |(digest, verdict): (request_digest::RequestDigest, quarantine::QuarantineVerdict)| {
            serde_json::json!({
                "digest": digest.to_string(),
                "for_ms": units::whole_millis(verdict.until.since(now)),
                "upstreams": verdict.names(),
            })
        };
    verdicts.map(row).chain(quarantined_part_rows(context)).collect()
}

fn json(value: &impl serde::Serialize) -> (u16, String) {
    match serde_json::to_string(value) {
        Ok(text) => (200, text),
        Err(error) => (500, status_body(&error.to_string())),
    }
}

/// Body with a short text, in the JSON format that `slipturnctl` shows.
fn status_body(text: &str) -> String {
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

/// Gauges of how old the documents of this process may be. No other metric distinguishes a watch that has fallen silent
/// from one without changes.
fn source_gauges(context: &context::InstanceContext) -> String {
    let lags = context.lags();
    let store_tracker = context.store_tracker.borrow();
    let kept = context.fleet.borrow().kept_bytes();
    format!(
        "slipturn_store_ok {}\nslipturn_store_era {}\nslipturn_store_heard_ms {}\n\
         slipturn_lists_older_total {}\nslipturn_routes_lag_ms {}\nslipturn_list_lag_ms {}\n\
         slipturn_store_kept_bytes{{part=\"routes\"}} {}\nslipturn_store_kept_bytes{{part=\"list\"}} {}\n\
         slipturn_store_kept_bytes{{part=\"changes\"}} {}\nslipturn_store_kept_bytes{{part=\"read\"}} {}\n",
        u8::from(store_tracker.answers()),
        store_tracker.era(),
        units::whole_millis(store_tracker.last_answer_age(context.now())),
        context.fleet.borrow().dropped(),
        units::whole_millis(lags.routes),
        units::whole_millis(lags.list),
        kept.routes,
        kept.list,
        kept.changes,
        kept.read,
    )
}

/// Gauges of quarantined requests and parts of prompts.
fn quarantined_gauge(context: &context::InstanceContext) -> String {
    let quarantined = context.quarantine.borrow().quarantined_at(context.now()).len();
    let parts = context.part_state.borrow().verdicts.iter().count();
    format!("slipturn_requests_held {quarantined}\nslipturn_parts_held {parts}\n")
}

/// Gauges of evacuated data centres, and of upstreams that are leaving, in backoff or limited, or that are kept or
/// withheld because the store was restored from an older copy.
fn notice_gauges(context: &context::InstanceContext) -> String {
    let now = context.now();
    let fleet = context.fleet.borrow();
    let notices = fleet.list.notices();
    let leaving = notices.names().filter(|name| notices.leaving(name).is_some()).count();
    let in_backoff = notices.names().filter(|name| notices.backoff(now, name).is_some()).count();
    let limited = fleet.list.limits().len();
    let evacuated = fleet.list.evacuated().count();
    let recovery = fleet.list.recovery().unwrap_or_default();
    let (kept, withheld) = (recovery.kept.len(), recovery.withheld.len());
    let unreachable = context.reach.borrow().lost().count();
    let relayed = context.relayed.borrow().open();
    format!(
        "slipturn_upstreams_kept {kept}\nslipturn_upstreams_withheld {withheld}\n\
         slipturn_data_centers_evacuated {evacuated}\nslipturn_upstreams_leaving {leaving}\nslipturn_upstreams_resting {in_backoff}\n\
         slipturn_upstreams_limited {limited}\n\
         slipturn_services_unreachable {unreachable}\n\
         slipturn_connections_relayed {relayed}\n"
    )
}

/// Gauge labelled with the variants of decision rules in force, for comparisons.
fn ways_gauge(context: &context::InstanceContext) -> String {
    format!("slipturn_ways{{ways=\"{}\"}} 1\n", context.settings().experiments)
}

/// Returns the services of which this process reaches no upstream, with the time for which that has lasted, in
/// milliseconds.
fn unreachable_services(
    context: &context::InstanceContext,
) -> collections::BTreeMap<ids::ServiceId, u64> {
    let (now, reach) = (context.now(), context.reach.borrow());
    let lost = reach.lost();
    lost.map(|(service, since)| (service.clone(), units::whole_millis(now.since(since)))).collect()
}

fn status(context: &context::InstanceContext) -> serde_json::Value {
    let retries = upstream_rows::retries(context);
    let lags = context.lags();
    let heartbeat = context.own_heartbeat();
    let store_tracker = context.store_tracker.borrow();
    let fleet = context.fleet.borrow();
    let members = context.members.borrow();
    let alive: Vec<_> =
        members.alive(context.now()).map(|heartbeat| heartbeat.name.to_string()).collect();
    let mut status = serde_json::json!({
        "name": heartbeat.name,
        "ready": is_ready(context),
        "leaving": heartbeat.leaving,
        "plans": heartbeat.plans,
        "routes": heartbeat.routes,
        "list": heartbeat.list.to_string(),
        "list_source": &*fleet.origin().source,
        "list_age_ms": units::whole_millis(context.now().since(fleet.origin().since)),
        "store_era": store_tracker.era().0,
        "upstreams": fleet.list.entries().count(),
        "unreachable_ms": unreachable_services(context),
        "evacuated": fleet.list.evacuated().collect::<Vec<_>>(),
        "store_ok": store_tracker.answers(),
        "store_heard_ms": units::whole_millis(store_tracker.last_answer_age(context.now())),
        "routes_lag_ms": units::whole_millis(lags.routes),
        "list_lag_ms": units::whole_millis(lags.list),
        "members": alive,
        "busy": context.busy.get(),
        "placed": context.planners.borrow().placed(),
        "returns": context.planners.borrow().assigned_returns(),
        "shares_divided_ms": share_rows::divided_ms(context),
        "retries": retries,
    });
    if let Some(intake) = intake::status(context) {
        status["intake"] = intake;
    }
    status
}
