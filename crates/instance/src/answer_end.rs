//! Evidence for the end of an answer with neither a length nor chunks, which ends with its connection.
//!
//! The connections of a process that crashes end in the same way. Such an answer is complete only if the upstream
//! certainly still runs afterwards.

use std::net;

use slipturn_core::{ids, send_gate};
use snafu::Snafu;

use crate::{context, member_relay, upstream_connect, upstream_ends, upstream_gate, upstream_pool};

/// What is known of an upstream whose answer has ended with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndEvidence {
    /// The upstream still runs, so the answer is complete.
    Confirmed,
    /// The upstream could not be reached, which shows nothing.
    Denied(DenialReason),
    /// The upstream has ended, or does not answer for another reason.
    Failed(FailureReason),
}

/// Why an upstream could not be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DenialReason {
    /// Another start, or another upstream, is listed at the address.
    OtherListed,
    /// No link leads to the upstream now, or a connection attempt timed out.
    NoPath,
}

/// Why an upstream does not seem to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FailureReason {
    /// No process listens at the address.
    Refused,
    /// A new connection was closed at once, as by a proxy whose upstream has ended.
    Closed,
}

impl EndEvidence {
    /// Label of the evidence in counters.
    fn label(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Denied(DenialReason::OtherListed) => "denied/other_listed",
            Self::Denied(DenialReason::NoPath) => "denied/no_path",
            Self::Failed(FailureReason::Refused) => "failed/refused",
            Self::Failed(FailureReason::Closed) => "failed/closed",
        }
    }
}

/// The answer ended with its connection, and there is no evidence that it is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display(
    "the answer ended with its connection, and its upstream is not confirmed to run: {label}"
))]
pub(crate) struct UnconfirmedEnd {
    label: &'static str,
}

/// An answer that has ended with its connection.
pub(crate) struct EndedAnswer<'a> {
    /// The start (one life of the process) of the upstream that answered.
    pub(crate) upstream: &'a ids::UpstreamId,
    pub(crate) service: &'a ids::ServiceId,
    pub(crate) address: net::SocketAddrV4,
    /// The relay of the connection; `None` if it was direct.
    pub(crate) relay: Option<&'a member_relay::ConnectionRelay>,
}

impl EndedAnswer<'_> {
    /// Fails unless the upstream certainly still runs.
    pub(crate) async fn confirm(
        &self,
        context: &context::InstanceContext,
    ) -> Result<(), UnconfirmedEnd> {
        let evidence = self.gather(context).await;
        context.stats.borrow_mut().count("unframed_ends", evidence.label());
        match evidence {
            EndEvidence::Confirmed => Ok(()),
            EndEvidence::Denied(_) | EndEvidence::Failed(_) => {
                UnconfirmedEndSnafu { label: evidence.label() }.fail()
            }
        }
    }

    /// Looks for evidence that the upstream still runs, on connections that carry no request: a notice that an upstream
    /// leaves or wants a backoff withholds requests only.
    async fn gather(&self, context: &context::InstanceContext) -> EndEvidence {
        monoio::time::sleep(upstream_ends::BREAK_CHECK_DELAY).await;
        if self.is_other_listed(context) {
            return EndEvidence::Denied(DenialReason::OtherListed);
        }
        let failure = match self.open_check(context).await {
            Ok(connection) => match self.check_open(context, connection).await {
                true => return EndEvidence::Confirmed,
                false => EndEvidence::Failed(FailureReason::Closed),
            },
            Err(error) => evidence_of(&error),
        };
        // An upstream with many connections resets new ones, but those that it has accepted stay open. Only an idle one
        // is evidence: bytes of a busy one may have arrived before the end.
        let is_conclusive = failure == EndEvidence::Failed(FailureReason::Refused);
        if is_conclusive || self.relay.is_some() {
            return failure;
        }
        let Some(idle) = context.pool.take_idle(self.address) else {
            return failure;
        };
        if self.check_open(context, idle).await { EndEvidence::Confirmed } else { failure }
    }

    /// Whether the list names another upstream, or another start, at the address.
    fn is_other_listed(&self, context: &context::InstanceContext) -> bool {
        let fleet = context.fleet.borrow();
        fleet.list.name_at(self.address).is_some_and(|name| name != self.upstream)
    }

    /// Opens a connection by the path of the answer, or by another one if its relay does not.
    async fn open_check(
        &self,
        context: &context::InstanceContext,
    ) -> Result<upstream_pool::UpstreamConnection, upstream_connect::ConnectError> {
        if let Some(relay) = self.relay
            && let Ok(opened) = relay.open_check(context, self.address).await
        {
            return Ok(context.pool.register(self.address, opened));
        }
        let target =
            upstream_connect::ConnectTarget { service: self.service, address: self.address };
        upstream_connect::open(context, target).await
    }

    /// Returns whether a connection stays open; then it is kept for later requests.
    async fn check_open(
        &self,
        context: &context::InstanceContext,
        mut connection: upstream_pool::UpstreamConnection,
    ) -> bool {
        if monoio::time::timeout(upstream_connect::CLOSE_CHECK_TIME, connection.reader.fill())
            .await
            .is_ok()
        {
            return false;
        }
        let kind = send_gate::SendKind::Request;
        if upstream_gate::check_send(context, self.upstream, kind, &[]).is_ok() {
            let max_idle = context.idle_connection_limit(self.upstream);
            context.pool.put(self.address, connection, None, max_idle);
        }
        true
    }
}

/// Returns what a failed connection attempt shows of its upstream.
fn evidence_of(error: &upstream_connect::ConnectError) -> EndEvidence {
    match error {
        upstream_connect::ConnectError::Refused { source }
            if source.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            EndEvidence::Failed(FailureReason::Refused)
        }
        upstream_connect::ConnectError::Refused { .. } => {
            EndEvidence::Failed(FailureReason::Closed)
        }
        upstream_connect::ConnectError::Unconfirmed { .. }
        | upstream_connect::ConnectError::Silent { .. } => {
            EndEvidence::Denied(DenialReason::NoPath)
        }
    }
}
