//! Calls that an instance itself makes to engines, besides callers' requests: reads of reports, and memory orders.

use std::{net, rc, time};

use bytes::Bytes;
use slipturn_core::{ids, quota_permit, send_gate, upstream_notice};
use snafu::{ResultExt as _, Snafu};

use crate::{
    adapter, answer_end, context, document_call, member_relay, upstream_connect, upstream_gate,
    upstream_links, upstream_pool, upstream_signals,
};

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
    /// The engine could not be reached; nothing was sent.
    #[snafu(display("{source}"))]
    Connect {
        /// Why no connection was opened.
        source: upstream_connect::ConnectError,
    },
    /// The call failed, or was refused.
    #[snafu(display("{source}"))]
    Call {
        /// Why the call failed, such as a timeout or a status other than 200.
        source: document_call::CallError,
    },
    /// The answer to an order ended with its connection, perhaps together with the engine.
    #[snafu(display("the answer to an order may be incomplete: {reason}"))]
    Unconfirmed {
        /// Why the answer may be incomplete.
        reason: String,
    },
}

impl EngineCallError {
    /// Returns whether the engine will certainly not execute the call any more, as it was refused or
    /// never sent.
    pub(crate) fn is_over(&self) -> bool {
        match self {
            Self::Denied { .. } => true,
            Self::Connect { .. } | Self::Unconfirmed { .. } => false,
            Self::Call { source } => matches!(source, document_call::CallError::Status { .. }),
        }
    }
}

/// Why a report was not obtained through a member.
#[derive(Debug, Snafu)]
pub(crate) enum RelayedReportError {
    /// No member relayed the connection.
    #[snafu(display("{source}"))]
    Relay {
        /// Why no member relayed it.
        source: member_relay::RelayError,
    },
    /// The engine did not answer.
    #[snafu(display("{source}"))]
    Report {
        /// Why the call failed.
        source: EngineCallError,
    },
}

impl RelayedReportError {
    /// Returns whether the engine failed, as far as members can tell.
    pub(crate) fn speaks_against_engine(&self) -> bool {
        match self {
            Self::Relay { source } => source.speaks_against_upstream() || source.confirms_refusal(),
            Self::Report { .. } => true,
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

/// Requests an engine's report through a member, after this process got none.
pub(crate) async fn relayed_report(
    context: &context::InstanceContext,
    to: &EngineAddress,
    service: &ids::ServiceId,
    limit: time::Duration,
) -> Result<Bytes, RelayedReportError> {
    let target = upstream_connect::ConnectTarget { service, address: to.address };
    let opened = upstream_connect::open_relayed_only(context, target).await.context(RelaySnafu)?;
    report_over(context, to, Some(service), opened, limit).await.context(ReportSnafu)
}

/// Requests a report over a connection that has been opened for it.
pub(crate) async fn report_over(
    context: &context::InstanceContext,
    to: &EngineAddress,
    service: Option<&ids::ServiceId>,
    opened: upstream_pool::UpstreamConnection,
    limit: time::Duration,
) -> Result<Bytes, EngineCallError> {
    let path = adapter::UpstreamAdapter::report_path(&*context.adapter);
    let kind = send_gate::SendKind::Report;
    exchange(context, to, service, opened, (kind, &[]), ("GET", &path, Bytes::new()), limit).await
}

async fn send(
    context: &context::InstanceContext,
    to: &EngineAddress,
    (kind, permits): (send_gate::SendKind, &[quota_permit::SendPermit]),
    message: (&str, &str, Bytes),
    limit: time::Duration,
) -> Result<Bytes, EngineCallError> {
    let denied = |reason| EngineCallError::Denied { reason };
    upstream_gate::check_send(context, &to.engine, kind, permits).map_err(denied)?;
    let started = context.now();
    let service = context.fleet.borrow().list.entry(&to.engine).map(|entry| entry.service.clone());
    let opening = async {
        match &service {
            Some(service) => {
                let target = upstream_connect::ConnectTarget { service, address: to.address };
                upstream_connect::open(context, target).await
            }
            None => upstream_connect::open_direct_only(context, to.address).await,
        }
    };
    let opened = monoio::time::timeout(limit, opening).await;
    let opened = opened.unwrap_or(Err(upstream_connect::ConnectError::Silent { limit }));
    let opened = opened.map_err(|source| EngineCallError::Connect { source })?;
    let left = limit.saturating_sub(context.now().since(started));
    exchange(context, to, service.as_ref(), opened, (kind, permits), message, left).await
}

/// Sends a call over a connection, and reads the answer.
async fn exchange(
    context: &context::InstanceContext,
    to: &EngineAddress,
    service: Option<&ids::ServiceId>,
    opened: upstream_pool::UpstreamConnection,
    (kind, permits): (send_gate::SendKind, &[quota_permit::SendPermit]),
    (method, path, body): (&str, &str, Bytes),
    limit: time::Duration,
) -> Result<Bytes, EngineCallError> {
    let denied = |reason| EngineCallError::Denied { reason };
    let failed = |source| EngineCallError::Call { source };
    let times = rc::Rc::clone(&opened.times);
    // The gate checks the engine's notices (leaving, backoff, limit) right before the first byte: some may have arrived
    // while the connection was opened.
    let pass = upstream_gate::pass(context, &to.engine, kind, permits).map_err(denied)?;
    let upstream_pool::OpenedConnection { reader, writer, relay } = opened.into_opened(&pass);
    let mut connection =
        document_call::DocumentConnection::of_open(to.address.into(), reader, writer);
    let sent_at = context.now();
    let response = connection.call_any_status(method, path, body, limit).await;
    if response.is_ok() {
        times.receive();
    }
    if let Some(service) = service {
        upstream_links::note_exchange(context, service, &times);
    }
    let response = response.map_err(failed)?;
    // The notices in the answer's head (leaving, limit, backoff) count also if the engine refused the call.
    let source = match kind {
        send_gate::SendKind::Report => upstream_notice::NoticeSource::Report,
        _ => upstream_notice::NoticeSource::Order,
    };
    let origin = upstream_signals::SignalOrigin { requested_at: sent_at, source };
    upstream_signals::receive_at(context, to.address, &response.head, origin);
    let is_order = kind != send_gate::SendKind::Report;
    let ends_with_connection = response.ends_with_connection;
    let body = response.into_body().map_err(failed)?;
    // A report that is incomplete can't be parsed, but the answer to an order may be empty.
    if is_order && ends_with_connection {
        confirm_end(context, to, service, relay.as_ref()).await?;
    }
    Ok(body)
}

/// Fails unless the engine certainly runs after an answer that has ended with its connection: one that has ended holds no
/// memory.
async fn confirm_end(
    context: &context::InstanceContext,
    to: &EngineAddress,
    service: Option<&ids::ServiceId>,
    relay: Option<&member_relay::ConnectionRelay>,
) -> Result<(), EngineCallError> {
    let unconfirmed = |reason: &str| UnconfirmedSnafu { reason }.fail();
    let Some(service) = service else {
        return unconfirmed("the engine is not listed");
    };
    if let Some(relay) = relay
        && !relay.ended_by_upstream().await
    {
        return unconfirmed("the relay's connection broke");
    }
    let (upstream, address) = (&to.engine, to.address);
    let beside = &answer_end::listed_beside(context, upstream, address);
    let ended = answer_end::EndedAnswer { upstream, service, address, beside, relay };
    ended.confirm(context).await.or_else(|error| unconfirmed(&error.to_string()))
}
