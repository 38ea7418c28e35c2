//! Forwards long answers of plain services (whose upstreams run no model) while they arrive, so
//! that an instance buffers little for callers that read slowly.

use std::time;

use bytes::Bytes;
use slipturn_core::{ids, upstream_health::CallResult};
use slipturn_net::h1;
use snafu::{ResultExt as _, Snafu};

use crate::{caller_connection, context, service_request, upstream_attempt, upstream_ends};

/// Total time spent waiting for the caller from which a broken answer no longer counts as a failure
/// of the upstream, as the upstream may have given up the slow connection.
const SLOW_CALLER_THRESHOLD: time::Duration = time::Duration::from_secs(1);

/// Why an answer was not forwarded completely.
#[derive(Debug, Snafu)]
pub(crate) enum ForwardError {
    /// The caller's connection failed.
    #[snafu(display("{source}"))]
    Caller {
        /// The error that occurred while writing to the caller.
        source: h1::MessageError,
    },
    /// The upstream's answer failed midway.
    #[snafu(display("the answer broke: {source}"))]
    Upstream {
        /// The error that occurred while reading the answer.
        source: h1::MessageError,
    },
    /// The answer ended with its connection, and perhaps with its upstream.
    #[snafu(display("the answer broke: {source}"))]
    Unconfirmed {
        /// Why the answer may be incomplete.
        source: upstream_ends::UnconfirmedEnd,
    },
    /// The caller did not read the answer in time.
    #[snafu(display("not read within {limit:?}"))]
    NotRead {
        /// Time limit for forwarding the answer.
        limit: time::Duration,
    },
}

/// An answer whose body has been read in part.
pub(crate) struct LongAnswer<'a> {
    /// The upstream that answers.
    pub(crate) upstream: ids::UpstreamId,
    /// The answer's head, and the connection on which its body arrives.
    pub(crate) answer: upstream_attempt::AttemptAnswer,
    /// The part of the body that has been read and not forwarded yet.
    pub(crate) leading: Bytes,
    /// Guard of the run (the execution of the request at the upstream), which ends with the answer.
    pub(crate) run: upstream_ends::RunGuard<'a>,
    /// Guard that, when dropped, records the end and the result of the call in the upstream's load and health.
    pub(crate) guard: service_request::LoadGuard<'a>,
}

impl LongAnswer<'_> {
    /// Forwards the answer within `limit`, as fast as the caller reads.
    pub(crate) async fn forward(
        mut self,
        context: &context::InstanceContext,
        reply: &mut caller_connection::CallerReply<'_>,
        limit: time::Duration,
    ) -> Result<(), ForwardError> {
        let mut waited = time::Duration::ZERO;
        let forwarding = forward_pieces(
            context,
            &self.upstream,
            &mut self.answer,
            self.leading,
            reply,
            &mut waited,
        );
        let forwarded = monoio::time::timeout(limit, forwarding).await;
        let result = forwarded.unwrap_or_else(|_| NotReadSnafu { limit }.fail());
        match &result {
            Ok(()) => {
                self.run.answered();
                self.guard.result.set(Some(CallResult::Good));
                self.answer.finish(context, &self.upstream);
            }
            Err(ForwardError::Upstream { .. } | ForwardError::Unconfirmed { .. })
                if waited < SLOW_CALLER_THRESHOLD =>
            {
                self.run.connection_broke();
                self.guard.result.set(Some(CallResult::Failed));
            }
            Err(_) => self.run.answered(),
        }
        result
    }
}

/// Forwards the body and adds the time spent waiting for the caller to `waited`.
async fn forward_pieces(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    answer: &mut upstream_attempt::AttemptAnswer,
    leading: Bytes,
    reply: &mut caller_connection::CallerReply<'_>,
    waited: &mut time::Duration,
) -> Result<(), ForwardError> {
    let length = match answer.framing {
        h1::BodyFraming::Length(left) => {
            usize::try_from(left).ok().map(|left| left + leading.len())
        }
        _ => None,
    };
    let mut write_started = context.now();
    reply.start_body(&answer.head, length, &leading).await.context(CallerSnafu)?;
    *waited += context.now().since(write_started);
    loop {
        let piece = answer.connection.next_piece(&mut answer.framing).await;
        let Some(piece) = piece.context(UpstreamSnafu)? else {
            break;
        };
        answer.connection.times.receive();
        write_started = context.now();
        reply.send_body_piece(length.is_some(), piece).await.context(CallerSnafu)?;
        *waited += context.now().since(write_started);
    }
    answer.confirm_end(context, upstream).await.context(UnconfirmedSnafu)?;
    match length {
        Some(_) => Ok(()),
        None => reply.end_chunked().await.context(CallerSnafu),
    }
}
