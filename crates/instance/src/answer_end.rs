//! Evidence for the end of an answer with neither a length nor chunks, which ends with its connection.
//!
//! The connections of a process that crashes end in the same way. Such an answer is complete only if the upstream
//! certainly still runs afterwards.

use std::net;

use slipturn_core::{ids, send_gate};
use snafu::Snafu;

use crate::{context, member_relay, upstream_connect, upstream_ends, upstream_pool};

/// What is known of an upstream whose answer has ended with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndEvidence {
    /// The upstream still runs, so the answer is complete.
    Confirmed,
    /// There is no evidence: the upstream could not be asked.
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
    /// Other upstreams and starts that were listed at the address while the answer was under way, such as a former start
    /// whose entry has not expired.
    pub(crate) beside: &'a [ids::UpstreamId],
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
        let failure = match self.connect(context).await {
            Ok(mut connection) => {
                if stays_open(&mut connection).await {
                    self.keep(context, connection);
                    return EndEvidence::Confirmed;
                }
                EndEvidence::Failed(FailureReason::Closed)
            }
            Err(error) => evidence_of(&error),
        };
        // An upstream with many connections resets new ones, and one that stops may have closed its listener, but those
        // that it has accepted stay open. Only an idle one is evidence: bytes of a busy one may have arrived before the
        // end.
        let is_unreached = matches!(failure, EndEvidence::Denied(_));
        if is_unreached || self.relay.is_some() {
            return failure;
        }
        let Some(mut idle) = context.pool.take_idle(self.address) else {
            return failure;
        };
        if stays_open(&mut idle).await { EndEvidence::Confirmed } else { failure }
    }

    /// Whether the list names another upstream, or another start, at the address that it did not name before.
    fn is_other_listed(&self, context: &context::InstanceContext) -> bool {
        let others = listed_beside(context, self.upstream, self.address);
        others.iter().any(|name| !self.beside.contains(name))
    }

    /// Opens a connection by the path of the answer, or by another one if its relay does not.
    async fn connect(
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

    /// Keeps a connection for later requests if the upstream may get them.
    fn keep(
        &self,
        context: &context::InstanceContext,
        connection: upstream_pool::UpstreamConnection,
    ) {
        let kind = send_gate::SendKind::Check;
        let permitted =
            context.fleet.borrow().list.permits(context.now(), self.upstream, kind, &[]);
        if permitted.is_ok() {
            let max_idle = context.idle_connection_limit(self.upstream);
            context.pool.put(self.address, connection, None, max_idle);
        }
    }
}

/// Returns the other upstreams and starts that are listed at the address of an upstream.
pub(crate) fn listed_beside(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    address: net::SocketAddrV4,
) -> Vec<ids::UpstreamId> {
    let fleet = context.fleet.borrow();
    let others = fleet.list.entries().filter(|entry| entry.address == address);
    others.map(|entry| &entry.name).filter(|name| *name != upstream).cloned().collect()
}

/// Returns whether a connection on which nothing is under way stays open.
async fn stays_open(connection: &mut upstream_pool::UpstreamConnection) -> bool {
    let closing = connection.reader.fill();
    monoio::time::timeout(upstream_connect::CLOSE_CHECK_TIME, closing).await.is_err()
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
