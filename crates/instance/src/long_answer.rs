//! Forwards long answers of plain services (whose upstreams run no model) while they arrive, so
//! that an instance buffers little for callers that read slowly.

use std::{cell, time};

use bytes::Bytes;
use slipturn_core::{ids, units, upstream_health::CallResult, upstream_list};
use slipturn_net::h1;
use snafu::{ResultExt as _, Snafu};

use crate::{
    answer_end, caller_connection, context, service_request, upstream_attempt, upstream_ends,
};

/// Share of the time limit spent waiting for the caller from which an answer that did not end counts as not read.
const SLOW_CALLER_SHARE: f64 = 0.5;
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
        source: answer_end::UnconfirmedEnd,
    },
    /// The caller did not read the answer in time.
    #[snafu(display("not read within {limit:?}"))]
    NotRead {
        /// Time limit for forwarding the answer.
        limit: time::Duration,
    },
    /// The answer did not end in time.
    #[snafu(display("no end of the answer within {limit:?}"))]
    Unended {
        /// Time limit for forwarding the answer.
        limit: time::Duration,
    },
}

/// An answer whose body has been read in part.
pub(crate) struct LongAnswer<'a> {
    /// The upstream that answers.
    pub(crate) entry: upstream_list::UpstreamEntry,
    /// Name of the route of the call.
    pub(crate) route: &'a ids::ClassId,
    /// When the call was sent, and the time until the answer's head.
    pub(crate) started: units::MonoTime,
    pub(crate) answer_time: time::Duration,
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
        let wait = CallerWait::default();
        let upstream = self.entry.name.clone();
        let forwarding =
            forward_pieces(context, &upstream, &mut self.answer, self.leading, reply, &wait);
        let forwarded = monoio::time::timeout(limit, forwarding).await;
        let waited = wait.total(context.now());
        let result = match forwarded {
            Ok(result) => result,
            Err(_) if waited >= limit.mul_f64(SLOW_CALLER_SHARE) => NotReadSnafu { limit }.fail(),
            Err(_) => UnendedSnafu { limit }.fail(),
        };
        match &result {
            Ok(()) => {
                self.run.answered();
                self.guard.result.set(Some(CallResult::Good));
                if self.answer.head.status.is_success() {
                    let mut loads = context.loads.borrow_mut();
                    loads.note_speed(context.now(), &self.entry, self.route, self.answer_time);
                }
                self.answer.finish(context, &upstream);
            }
            Err(ForwardError::Upstream { .. } | ForwardError::Unconfirmed { .. })
                if waited < SLOW_CALLER_THRESHOLD =>
            {
                self.run.connection_broke();
                self.guard.result.set(Some(CallResult::Failed));
            }
            Err(ForwardError::Unended { .. }) => {
                self.run.answered();
                // Other answers of a sound upstream end meanwhile, even if this one is long.
                let has_ended_others =
                    context.loads.borrow().answered_since(&upstream, self.started);
                if !has_ended_others {
                    let service = self.entry.service.to_string();
                    context.stats.borrow_mut().count("unended_answers", &service);
                    self.guard.result.set(Some(CallResult::Failed));
                }
            }
            Err(_) => self.run.answered(),
        }
        result
    }
}

/// Time that forwarding has spent waiting for the caller.
#[derive(Debug, Default)]
struct CallerWait {
    /// Total of the waits that have ended.
    ended: cell::Cell<time::Duration>,
    /// When the present wait began; `None` while none is under way.
    begun: cell::Cell<Option<units::MonoTime>>,
}

impl CallerWait {
    /// Waits for the caller to accept bytes.
    async fn during<T>(
        &self,
        context: &context::InstanceContext,
        writing: impl Future<Output = T>,
    ) -> T {
        self.begun.set(Some(context.now()));
        let written = writing.await;
        self.ended.set(self.total(context.now()));
        self.begun.set(None);
        written
    }

    /// Returns the time of all waits, including the present one.
    fn total(&self, now: units::MonoTime) -> time::Duration {
        let present = self.begun.get().map_or(time::Duration::ZERO, |begun| now.since(begun));
        self.ended.get() + present
    }
}

/// Forwards the body; the time spent waiting for the caller is added to `wait`.
async fn forward_pieces(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    answer: &mut upstream_attempt::AttemptAnswer,
    leading: Bytes,
    reply: &mut caller_connection::CallerReply<'_>,
    wait: &CallerWait,
) -> Result<(), ForwardError> {
    let length = match answer.framing {
        h1::BodyFraming::Length(left) => {
            usize::try_from(left).ok().map(|left| left + leading.len())
        }
        _ => None,
    };
    let start = reply.start_body(&answer.head, length, &leading);
    wait.during(context, start).await.context(CallerSnafu)?;
    loop {
        let piece = answer.connection.next_piece(&mut answer.framing).await;
        let Some(piece) = piece.context(UpstreamSnafu)? else {
            break;
        };
        answer.connection.times.receive();
        let write = reply.send_body_piece(length.is_some(), piece);
        wait.during(context, write).await.context(CallerSnafu)?;
    }
    answer.confirm_end(context, upstream).await.context(UnconfirmedSnafu)?;
    match length {
        Some(_) => Ok(()),
        None => reply.end_chunked().await.context(CallerSnafu),
    }
}
