//! HTTP interface for operators, served on its own address.

use std::{rc, time};

use bytes::Bytes;
use futures::future;
use serde::Serialize;
use slipturn_core::{fleet_list, ids, settings_resolve, units};
use slipturn_net::{http_client, http_server};

use crate::{event, request_context};

/// Time limit for the answer of another instance, and for reading the body of an operator's
/// request.
const PEER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Largest accepted answer of another instance, in bytes.
const MAX_PEER_ANSWER_BYTES: u64 = 4 << 20;
/// Largest accepted body of an operator's request, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// Header that marks a query forwarded by another instance; the receiver doesn't forward it again.
const FORWARDED_HEADER: &str = "slipturn-passed-on";
/// Number of other instances queried concurrently for a request id that doesn't contain the name of
/// a listed instance.
const PEERS_AT_ONCE: usize = 16;

/// Serves a connection of an operator until either side closes it.
pub async fn serve(
    context: rc::Rc<request_context::EntryContext>,
    mut connection: http_server::ServerConnection,
) {
    while let Ok(Some(mut incoming)) = connection.next_head().await {
        let limits = http_server::BodyLimits { max_bytes: MAX_BODY_BYTES, time: PEER_TIMEOUT };
        if connection.read_body(&mut incoming, limits).await.is_err() {
            return;
        }
        let close = http_server::wants_close(&incoming.head);
        let answer = answer(&context, &incoming).await;
        if connection.respond(answer).await.is_err() || close {
            return;
        }
    }
}

#[derive(Serialize)]
struct StatusMessage<'text> {
    status: &'text str,
}

async fn answer(
    context: &request_context::EntryContext,
    incoming: &http_server::IncomingHead,
) -> http::Response<Bytes> {
    let path = incoming.head.uri.path();
    let is_post = incoming.head.method == http::Method::POST;
    match path {
        "/healthz" => status_message(200, "alive"),
        "/readyz" => ready(context).await,
        "/v1/status" => status(context).await,
        "/v1/settings" => settings(context, incoming.head.uri.query().unwrap_or("")).await,
        "/v1/histograms" => {
            let rows = context.events.ask(event::EntryEvent::Histograms).await;
            http_server::json_response(200, &rows)
        }
        "/v1/drain" if is_post => {
            log::info!("stop requested by an operator");
            context.stop.trigger();
            status_message(200, "stopping")
        }
        _ => match path.strip_prefix("/v1/decisions/") {
            Some(id) => decision(context, id, incoming.header(FORWARDED_HEADER).is_some()).await,
            None => status_message(404, "not found"),
        },
    }
}

async fn ready(context: &request_context::EntryContext) -> http::Response<Bytes> {
    let status = context.events.ask(event::EntryEvent::Status).await;
    match (status.ready, context.stop.is_triggered()) {
        (_, true) => status_message(503, "stopping"),
        (false, _) => status_message(503, "settings or list not known yet"),
        (true, false) => status_message(200, "ready"),
    }
}

#[derive(Serialize)]
struct InstanceStatus {
    entry: event::EntryStatus,
    scheduler: serde_json::Value,
}

async fn status(context: &request_context::EntryContext) -> http::Response<Bytes> {
    let mut entry = context.events.ask(event::EntryEvent::Status).await;
    entry.requests = context.active.get();
    entry.ready &= !context.stop.is_triggered();
    let scheduler = match context.links.link(context.local.listen.scheduler).status().await {
        Ok(json) => serde_json::from_str(&json).unwrap_or(serde_json::Value::Null),
        Err(error) => serde_json::json!({ "unreachable": error.to_string() }),
    };
    http_server::json_response(200, &InstanceStatus { entry, scheduler })
}

#[derive(Serialize)]
struct SettingRow {
    option: &'static str,
    value: String,
    source: String,
}

#[derive(Serialize)]
struct SettingsAnswer {
    version: u64,
    customer: String,
    application: String,
    class: Option<String>,
    settings: Vec<SettingRow>,
}

/// Answers `?customer=C&application=A&prompt=N` with the resolved settings and their sources.
///
/// `prompt` is the prompt length in tokens, 0 by default. Without a customer or an application, the
/// answer lists the applications of every customer.
async fn settings(context: &request_context::EntryContext, query: &str) -> http::Response<Bytes> {
    let Some(tree) = context.events.ask(event::EntryEvent::Settings).await else {
        return status_message(503, "settings not known yet");
    };
    let parameter = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let (Some(customer), Some(application)) = (parameter("customer"), parameter("application"))
    else {
        let tree = tree.customers.iter().map(|(customer, node)| {
            (customer.to_string(), node.applications.keys().collect::<Vec<_>>())
        });
        let customers: std::collections::BTreeMap<_, _> = tree.collect();
        return http_server::json_response(200, &customers);
    };
    let prompt =
        parameter("prompt").and_then(|text| text.parse().ok()).unwrap_or(units::TokenCount::ZERO);
    let caller = customer.parse().ok().zip(application.parse().ok());
    let caller = caller
        .map(|(customer, application)| settings_resolve::CallerIdentity { customer, application });
    let resolved = caller.and_then(|caller| tree.resolve(&caller, prompt));
    let Some(resolved) = resolved else {
        return status_message(404, "no such customer or application");
    };
    let rows = resolved.rows().into_iter();
    let answer = SettingsAnswer {
        version: resolved.version.0,
        customer: resolved.customer.to_string(),
        application: resolved.application.to_string(),
        class: resolved.class.map(|class| class.to_string()),
        settings: rows
            .map(|(option, value, source)| SettingRow { option, value, source })
            .collect(),
    };
    http_server::json_response(200, &answer)
}

/// Looks up the decision record of a request on this instance, then on other instances.
async fn decision(
    context: &request_context::EntryContext,
    id: &str,
    forwarded: bool,
) -> http::Response<Bytes> {
    let to_event = |answer| event::EntryEvent::Find(id.to_owned(), answer);
    if let Some(record) = context.events.ask(to_event).await {
        return http_server::json_response(200, &*record);
    }
    let unknown = || status_message(404, "no record: unknown, or older than what is remembered");
    if forwarded {
        return unknown();
    }
    let list = context.events.ask(event::EntryEvent::List).await;
    for peers in peers_to_ask(context, &list, id).chunks(PEERS_AT_ONCE) {
        let queries = peers.iter().map(|peer| ask_peer(context, peer, id));
        let found = future::join_all(queries).await.into_iter().flatten().next();
        if let Some(found) = found {
            return found;
        }
    }
    unknown()
}

/// Returns the instances that may hold the record of a request. An id assigned by slipturn contains
/// the name of an instance, and only that instance is returned if it is listed. Otherwise, as for
/// most ids chosen by callers, all instances but this one are returned.
fn peers_to_ask<'list>(
    context: &request_context::EntryContext,
    list: &'list fleet_list::FleetList,
    id: &str,
) -> Vec<&'list fleet_list::InstanceRecord> {
    let request = id.parse::<ids::RequestId>().ok();
    let named = request.and_then(|request| request.instance());
    let others = list.instances.iter().filter(|instance| instance.name != context.local.instance);
    match named.and_then(|name| list.instance(&name)) {
        Some(instance) => vec![instance],
        None => others.collect(),
    }
}

async fn ask_peer(
    context: &request_context::EntryContext,
    peer: &fleet_list::InstanceRecord,
    id: &str,
) -> Option<http::Response<Bytes>> {
    let mut call = http::Request::new(Bytes::new());
    *call.uri_mut() = format!("/v1/decisions/{id}").parse().ok()?;
    call.headers_mut().insert(FORWARDED_HEADER, http::HeaderValue::from_static("1"));
    let connection_policy = http_client::ConnectionPolicy::Pooled;
    let calling =
        context.pool.call_buffered(peer.operators, connection_policy, call, MAX_PEER_ANSWER_BYTES);
    let answer = monoio::time::timeout(PEER_TIMEOUT, calling).await.ok()?.ok()?;
    if answer.status() != http::StatusCode::OK {
        return None;
    }
    let mut found = http::Response::new(answer.into_body());
    let content_type = http::HeaderValue::from_static("application/json");
    found.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    Some(found)
}

fn status_message(status: u16, text: &str) -> http::Response<Bytes> {
    http_server::json_response(status, &StatusMessage { status: text })
}
