//! Calls to engines beside requests: their reports, and orders about their memory.

use std::{net, time};

use bytes::Bytes;
use slipturn_core::{ids, quota_permit, send_gate, upstream_notice};
use snafu::Snafu;

use crate::{adapter, context, document_call, upstream_gate, upstream_signals};

/// Why an engine gave no good answer.
#[derive(Debug, Snafu)]
pub(crate) enum EngineCallError {
    /// Nothing was sent.
    #[snafu(display("{reason}"))]
    Denied {
        /// Why.
        reason: send_gate::SendDenial,
    },
    /// The call failed, or was refused.
    #[snafu(display("{source}"))]
    Call {
        /// How.
        source: document_call::CallError,
    },
}

impl EngineCallError {
    /// Whether nothing of the call is carried out any more: the engine refused it, or never got it.
    pub(crate) fn is_over(&self) -> bool {
        match self {
            Self::Denied { .. } => true,
            Self::Call { source } => matches!(source, document_call::CallError::Status { .. }),
        }
    }
}

/// An engine, and where it takes calls.
#[derive(Debug, Clone)]
pub struct EngineAddress {
    /// The engine.
    pub engine: ids::UpstreamId,
    /// Its address.
    pub address: net::SocketAddrV4,
}

/// An order about an engine's memory.
pub(crate) struct EngineOrder<'a> {
    /// What is ordered.
    pub(crate) order: &'a adapter::MemoryOrder,
    /// What it is sent for.
    pub(crate) kind: send_gate::SendKind,
    /// Leaves by which it is sent, where it begins work at an engine with a limit.
    pub(crate) permits: &'a [quota_permit::SendPermit],
}

/// Asks an engine for its report, over a connection of its own.
pub(crate) async fn report(
    context: &context::InstanceContext,
    to: &EngineAddress,
    limit: time::Duration,
) -> Result<Bytes, EngineCallError> {
    let path = adapter::UpstreamAdapter::report_path(&*context.adapter);
    let kind = send_gate::SendKind::Report;
    send(context, to, (kind, &[]), ("GET", &path, Bytes::new()), limit).await
}

/// Gives an engine an order about its memory, over a connection of its own.
pub(crate) async fn order(
    context: &context::InstanceContext,
    to: &EngineAddress,
    given: &EngineOrder<'_>,
    limit: time::Duration,
) -> Result<Bytes, EngineCallError> {
    let (path, body) = context.adapter.memory_order(given.order);
    send(context, to, (given.kind, given.permits), ("POST", &path, body), limit).await
}

async fn send(
    context: &context::InstanceContext,
    to: &EngineAddress,
    (kind, permits): (send_gate::SendKind, &[quota_permit::SendPermit]),
    (method, path, body): (&str, &str, Bytes),
    limit: time::Duration,
) -> Result<Bytes, EngineCallError> {
    let denied = |reason| EngineCallError::Denied { reason };
    let failed = |source| EngineCallError::Call { source };
    upstream_gate::check_send(context, &to.engine, kind, permits).map_err(denied)?;
    let started = context.now();
    let mut connection = document_call::DocumentConnection::new(to.address.into());
    connection.open(limit).await.map_err(failed)?;
    // Asked once more right before the first byte.
    let _pass = upstream_gate::pass(context, &to.engine, kind, permits).map_err(denied)?;
    let asked_at = context.now();
    let left = limit.saturating_sub(asked_at.since(started));
    let answer = connection.call_whole(method, path, body, left).await.map_err(failed)?;
    // What it says in passing is heard also where it refuses.
    let source = match kind {
        send_gate::SendKind::Report => upstream_notice::NoticeSource::Report,
        _ => upstream_notice::NoticeSource::Order,
    };
    let asked = upstream_signals::SignalOrigin { at: asked_at, source };
    upstream_signals::receive_at(context, to.address, &answer.head, asked);
    answer.into_body().map_err(failed)
}
