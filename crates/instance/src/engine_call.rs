//! Calls that an instance itself makes to engines, besides callers' requests: reads of reports, and memory orders.

use std::{net, time};

use bytes::Bytes;
use slipturn_core::{ids, quota_permit, send_gate, upstream_notice, upstream_reach};
use snafu::Snafu;

use crate::{adapter, context, document_call, upstream_gate, upstream_links, upstream_signals};

/// Why a call to an engine failed.
#[derive(Debug, Snafu)]
pub(crate) enum EngineCallError {
    /// The gate, which checks the engine's notices (leaving, backoff, limit) before each send, denied the call; nothing
    /// was sent.
    #[snafu(display("{reason}"))]
    Denied {
        /// The reason for the denial.
        reason: send_gate::SendDenial,
    },
    /// The call failed, or was refused.
    #[snafu(display("{source}"))]
    Call {
        /// Why the call failed, such as a timeout or a status other than 200.
        source: document_call::CallError,
    },
}

impl EngineCallError {
    /// Returns whether the engine will certainly not execute the call any more, as it was refused or
    /// never sent.
    pub(crate) fn is_over(&self) -> bool {
        match self {
            Self::Denied { .. } => true,
            Self::Call { source } => matches!(source, document_call::CallError::Status { .. }),
        }
    }
}

/// An engine and its network address.
#[derive(Debug, Clone)]
pub struct EngineAddress {
    /// Name of the engine, by which `upstream_gate` decides whether it may be called now.
    pub engine: ids::UpstreamId,
    /// Address on which the engine accepts calls.
    pub address: net::SocketAddrV4,
}

/// A memory order and the conditions under which it may be sent.
pub(crate) struct EngineOrder<'a> {
    /// The order to reserve or release memory.
    pub(crate) order: &'a adapter::MemoryOrder,
    /// Purpose of the order, which determines the reasons for which `upstream_gate` may deny it.
    pub(crate) kind: send_gate::SendKind,
    /// Permits for engines with a limit, if the order begins work there.
    pub(crate) permits: &'a [quota_permit::SendPermit],
}

/// Requests an engine's report over a new connection.
pub(crate) async fn report(
    context: &context::InstanceContext,
    to: &EngineAddress,
    limit: time::Duration,
) -> Result<Bytes, EngineCallError> {
    let path = adapter::UpstreamAdapter::report_path(&*context.adapter);
    let kind = send_gate::SendKind::Report;
    send(context, to, (kind, &[]), ("GET", &path, Bytes::new()), limit).await
}

/// Sends an engine a memory order over a new connection.
pub(crate) async fn order(
    context: &context::InstanceContext,
    to: &EngineAddress,
    engine_order: &EngineOrder<'_>,
    limit: time::Duration,
) -> Result<Bytes, EngineCallError> {
    let (path, body) = context.adapter.memory_order(engine_order.order);
    send(context, to, (engine_order.kind, engine_order.permits), ("POST", &path, body), limit).await
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
    let entry = context.fleet.borrow().list.entry(&to.engine).cloned();
    let attempt = entry.as_ref().map(|entry| upstream_reach::LinkAttempt {
        service: &entry.service,
        address: to.address,
        opened: started,
    });
    let unreached = |_: &_| {
        if let Some(attempt) = attempt {
            upstream_links::note_failure(context, attempt);
        }
    };
    connection.open(limit).await.inspect_err(unreached).map_err(failed)?;
    // The gate checks the engine's notices (leaving, backoff, limit) again right before the first byte: some may have
    // arrived while the connection was opened.
    let _pass = upstream_gate::pass(context, &to.engine, kind, permits).map_err(denied)?;
    let sent_at = context.now();
    let left = limit.saturating_sub(sent_at.since(started));
    let response = connection.call_any_status(method, path, body, left).await;
    let response = response.inspect_err(unreached).map_err(failed)?;
    if let Some(attempt) = attempt {
        upstream_links::note_answer(context, attempt);
    }
    // The notices in the answer's head (leaving, limit, backoff) count also if the engine refused the call.
    let source = match kind {
        send_gate::SendKind::Report => upstream_notice::NoticeSource::Report,
        _ => upstream_notice::NoticeSource::Order,
    };
    let origin = upstream_signals::SignalOrigin { requested_at: sent_at, source };
    upstream_signals::receive_at(context, to.address, &response.head, origin);
    response.into_body().map_err(failed)
}
