//! Connections of callers: reads requests and dispatches them by path.

use std::{rc, time};

use bytes::Bytes;
use serde::Serialize;
use slipturn_core::{ids, refusal};
use slipturn_net::http_server;

use crate::{
    answer, event, model_request, model_request::RequestEnd, request_context, service_request,
};

/// Paths of model requests, which are forwarded to the engines without a change of the path.
const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];
/// Path at which a GET request returns the names of the models of all listed engines.
const MODELS_PATH: &str = "/v1/models";
/// Prefix of the paths of plain services, whose upstreams run no model. The service's name follows.
const SERVICES_PREFIX: &str = "/services/";
/// Longest request id accepted from a caller, in bytes; a longer one is ignored.
const MAX_CALLER_ID_BYTES: usize = 128;

/// Serves a connection until the caller closes it or leaves it idle for too long, a request requires
/// it to be closed, or the process stops.
pub async fn serve(
    context: rc::Rc<request_context::EntryContext>,
    mut connection: http_server::ServerConnection,
) {
    loop {
        let incoming = match connection.next_head().await {
            Ok(Some(incoming)) => incoming,
            Ok(None) => return,
            Err(error) => {
                refuse_bad_head(&context, &mut connection, &error).await;
                return;
            }
        };
        let close = http_server::wants_close(&incoming.head);
        let active = context.begin_request();
        let end = serve_one(&context, &mut connection, incoming).await;
        drop(active);
        match end {
            Ok(RequestEnd::Answered) if !close && !context.stop.is_triggered() => {}
            Ok(_) => return,
            Err(error) => {
                log::debug!("caller connection: {error}");
                return;
            }
        }
    }
}

/// Refuses a request whose head can't be read. Without the head, the caller's id of the request is
/// unknown and the start of the next request can't be found, so the connection must be closed.
async fn refuse_bad_head(
    context: &request_context::EntryContext,
    connection: &mut http_server::ServerConnection,
    error: &http_server::ServeError,
) {
    let request_ids = answer::RequestIds { request: context.next_request_id(), caller: None };
    let code = refusal::RefusalCode::BadRequest;
    let refusal = refusal::RequestRefusal::not_run(code, error.to_string());
    if let Err(error) = connection.respond(answer::refusal_answer(&request_ids, &refusal)).await {
        log::debug!("cannot send a refusal to the caller: {error}");
    }
    connection.linger().await;
}

async fn serve_one(
    context: &rc::Rc<request_context::EntryContext>,
    connection: &mut http_server::ServerConnection,
    mut incoming: http_server::IncomingHead,
) -> Result<RequestEnd, http_server::ServeError> {
    let caller = incoming.header(answer::CALLER_ID_HEADER);
    let caller = caller.filter(|id| id.len() <= MAX_CALLER_ID_BYTES).map(str::to_owned);
    let request_ids = answer::RequestIds { request: context.next_request_id(), caller };
    let (body, _hold) = match read_body(context, connection, &mut incoming).await {
        Ok(body) => body,
        Err(refusal) => {
            let refusal = context.spread_retry_after(refusal).await;
            // The connection is closed, because the unread rest of the body would be parsed as the
            // next request.
            connection.respond(answer::refusal_answer(&request_ids, &refusal)).await?;
            connection.linger().await;
            return Ok(RequestEnd::Close);
        }
    };
    match route(context, request_ids.clone(), &incoming) {
        Ok(RoutedCall::Model(call)) => {
            model_request::serve(rc::Rc::clone(context), connection, call, body).await
        }
        Ok(RoutedCall::Service(call)) => {
            service_request::serve(rc::Rc::clone(context), connection, *call, body).await
        }
        Ok(RoutedCall::Models) => {
            connection.respond(models_answer(context, &request_ids).await).await?;
            Ok(RequestEnd::Answered)
        }
        Err(refusal) => {
            connection.respond(answer::refusal_answer(&request_ids, &refusal)).await?;
            Ok(RequestEnd::Answered)
        }
    }
}

/// Reads a request's body and takes its size from the body budget until the returned hold is
/// dropped.
async fn read_body(
    context: &request_context::EntryContext,
    connection: &mut http_server::ServerConnection,
    incoming: &mut http_server::IncomingHead,
) -> Result<(Bytes, crate::body_budget::BodyHold), refusal::RequestRefusal> {
    let limits = &context.local.limits;
    let body_limit = limits.max_body.0;
    // The length of a chunked body is unknown before it has been read, so the maximum body size is
    // held until then.
    let expected = incoming.declared_length().unwrap_or(body_limit).min(body_limit);
    let mut hold = context.body_budget.hold(expected)?;
    let bounds = http_server::BodyLimits { max_bytes: body_limit, time: limits.body_time.0 };
    let body = connection.read_body(incoming, bounds).await.map_err(body_refusal)?;
    hold.shrink(body.len() as u64);
    Ok((body, hold))
}

fn body_refusal(error: http_server::ServeError) -> refusal::RequestRefusal {
    let code = match &error {
        http_server::ServeError::BodyTooLarge { .. } => refusal::RefusalCode::TooLarge,
        http_server::ServeError::BodyTimeout { .. } => refusal::RefusalCode::BodyTimeout,
        _ => refusal::RefusalCode::BadRequest,
    };
    refusal::RequestRefusal::not_run(code, error.to_string())
}

/// A request and the handler that serves it: a model request, a call to a plain service, or a query
/// for the list of models.
enum RoutedCall {
    Model(model_request::ModelCall),
    Service(Box<service_request::ServiceCall>),
    Models,
}

/// Chooses the handler of a request by its method and path, and reads the headers that the handler
/// needs.
fn route(
    context: &request_context::EntryContext,
    request_ids: answer::RequestIds,
    incoming: &http_server::IncomingHead,
) -> Result<RoutedCall, refusal::RequestRefusal> {
    let refuse = |code, text: &str| refusal::RequestRefusal::not_run(code, text);
    let path = incoming.head.uri.path();
    if path == MODELS_PATH && incoming.head.method == http::Method::GET {
        return Ok(RoutedCall::Models);
    }
    let is_model = MODEL_PATHS.contains(&path) && incoming.head.method == http::Method::POST;
    let service_path = path.strip_prefix(SERVICES_PREFIX);
    if !is_model && service_path.is_none() {
        let text = format!("{} {path} is not served", incoming.head.method);
        return Err(refuse(refusal::RefusalCode::NotFound, &text));
    }
    let key = bearer_key(incoming).ok_or_else(|| {
        refuse(refusal::RefusalCode::Unauthorized, "no key: send 'Authorization: Bearer KEY'")
    })?;
    let (requested_limit, arrived) = (parse_timeout_header(incoming)?, context.clock.now());
    match service_path {
        None => {
            let path = path.to_owned();
            Ok(RoutedCall::Model(model_request::ModelCall {
                request_ids,
                key,
                requested_limit,
                path,
                arrived,
            }))
        }
        Some(service_path) => {
            let (service, rest) = service_path.split_once('/').unwrap_or((service_path, ""));
            let service: ids::ServiceId = service
                .parse()
                .map_err(|_| refuse(refusal::RefusalCode::NotFound, "not a name of a service"))?;
            let mut head = incoming.head.clone();
            let query = head.uri.query().map_or(String::new(), |query| format!("?{query}"));
            head.uri = format!("/{rest}{query}")
                .parse()
                .map_err(|_| refuse(refusal::RefusalCode::BadRequest, "not a valid path"))?;
            let idempotency_key =
                incoming.header(answer::IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
            let call = service_request::ServiceCall {
                request_ids,
                key,
                requested_limit,
                idempotency_key,
                service,
                head,
                arrived,
            };
            Ok(RoutedCall::Service(Box::new(call)))
        }
    }
}

/// The caller's API key in the `Authorization` header, if its scheme is `Bearer`.
fn bearer_key(incoming: &http_server::IncomingHead) -> Option<String> {
    let (scheme, key) = incoming.header("authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}

/// Reads the time limit requested by the caller, a positive number of milliseconds.
fn parse_timeout_header(
    incoming: &http_server::IncomingHead,
) -> Result<Option<time::Duration>, refusal::RequestRefusal> {
    let Some(text) = incoming.header(answer::TIMEOUT_HEADER) else {
        return Ok(None);
    };
    match text.trim().parse() {
        Ok(millis) if millis > 0 => Ok(Some(time::Duration::from_millis(millis))),
        _ => {
            let text = format!("{}: found '{text}', expected milliseconds", answer::TIMEOUT_HEADER);
            Err(refusal::RequestRefusal::not_run(refusal::RefusalCode::BadRequest, text))
        }
    }
}

#[derive(Serialize)]
struct ModelRow {
    id: ids::ModelId,
    object: &'static str,
    owned_by: &'static str,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelRow>,
}

async fn models_answer(
    context: &request_context::EntryContext,
    request_ids: &answer::RequestIds,
) -> http::Response<Bytes> {
    let models = context.events.ask(event::EntryEvent::Models).await;
    let row = |id| ModelRow { id, object: "model", owned_by: "slipturn" };
    let list = ModelList { object: "list", data: models.into_iter().map(row).collect() };
    let mut answer = http_server::json_response(200, &list);
    request_ids.add_headers(answer.headers_mut());
    answer
}
