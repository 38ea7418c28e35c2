//! Calls to engines beside requests: their reports, and orders about their memory.

use std::{net, time};

use bytes::Bytes;
use slipturn_core::upstream_notice;

use crate::{border, context, document_call, upstream_news};

/// Asks an engine for its report, over a connection of its own.
pub(crate) async fn report(
    context: &context::InstanceContext,
    engine: net::SocketAddrV4,
    limit: time::Duration,
) -> Result<Bytes, document_call::CallError> {
    let path = border::UpstreamBorder::report_path(&*context.border);
    let mut connection = document_call::DocumentConnection::new(engine.into());
    let answer = connection.call_whole("GET", &path, Bytes::new(), limit).await?;
    // What it says in passing is heard also where it refuses.
    upstream_news::hear_at(context, engine, &answer.head, upstream_notice::NoticeSource::Report);
    answer.into_body()
}

/// Gives an engine an order, over a connection of its own.
pub(crate) async fn order(
    context: &context::InstanceContext,
    engine: net::SocketAddrV4,
    path: &str,
    body: Bytes,
    limit: time::Duration,
) -> Result<Bytes, document_call::CallError> {
    let mut connection = document_call::DocumentConnection::new(engine.into());
    let answer = connection.call_whole("POST", path, body, limit).await?;
    upstream_news::hear_at(context, engine, &answer.head, upstream_notice::NoticeSource::Order);
    answer.into_body()
}
