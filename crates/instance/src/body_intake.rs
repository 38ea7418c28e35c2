//! Reads the body of an admitted request within the byte budget.

use std::{rc, time};

use bytes::{Bytes, BytesMut};
use slipturn_core::{byte_budget, machine_limits, progress_limit, refusal, route_table};
use slipturn_net::h1;
use snafu::{ResultExt as _, Snafu};

use crate::{context, incoming_call, intake, service_request};

/// Bytes reserved at a time for a body without a declared length, or with incremental reservation: small compared
/// with the bodies of which memory runs out, large compared with one read.
const STEP_BYTES: usize = 64 * 1024;
/// Largest body that is covered by [`ARRIVING_BYTES`] and needs no part of the budget for bodies, so that short requests
/// do not wait for large bodies.
const SMALL_BODY_BYTES: usize = h1::READ_BYTES;
/// Bytes that an arriving request holds besides its head: a read buffer, or its body if that is no larger.
const ARRIVING_BYTES: usize = h1::READ_BYTES;
/// Bytes that a request holds besides its head once it has arrived: its small body, and a piece of its answer while the
/// caller does not read.
const STREAM_BYTES: usize = 2 * h1::READ_BYTES;
/// Like [`STREAM_BYTES`] for a call to a plain service, whose answer is buffered up to a bound.
const CALL_BYTES: usize = STREAM_BYTES + service_request::MAX_BUFFERED_BODY;

/// Why a body was not received.
#[derive(Debug, Snafu)]
pub(crate) enum BodyError {
    /// The body is malformed or too large, or the connection failed.
    #[snafu(display("{source}"))]
    Message {
        /// Error of the reader.
        source: h1::MessageError,
    },
    /// The budget has no bytes for it.
    #[snafu(display("not admitted"))]
    NotAdmitted {
        /// The reason.
        rejection: intake::IntakeRejection,
    },
    /// It did not arrive in time, or too slowly while others waited.
    #[snafu(display("{reason}"))]
    TooSlow {
        /// Text for the caller.
        reason: &'static str,
    },
}

impl BodyError {
    /// Returns the refusal of the request; the error itself if it is one of the message.
    pub(crate) fn refusal(
        self,
        left: time::Duration,
    ) -> Result<refusal::RequestRefusal, h1::MessageError> {
        match self {
            Self::Message { source } => Err(source),
            Self::NotAdmitted { rejection } => Ok(rejection.refusal(left)),
            Self::TooSlow { reason } => {
                Ok(refusal::RequestRefusal::not_run(refusal::RefusalCode::BodyTimeout, reason))
            }
        }
    }
}

/// Returns who pays for a request.
pub(crate) fn owner_of(call: &incoming_call::IncomingCall) -> byte_budget::ByteOwner {
    let customer = call.customer.clone();
    customer.map_or(byte_budget::ByteOwner::Anonymous, byte_budget::ByteOwner::Customer)
}

/// Reserves the bytes that a request holds besides its body.
pub(crate) fn reserve_request(
    context: &rc::Rc<context::InstanceContext>,
    call: &incoming_call::IncomingCall,
    kind: byte_budget::ByteKind,
) -> Result<Option<intake::ByteGuard>, intake::IntakeRejection> {
    let headers = call.head.headers.iter();
    let head_bytes: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
    let bytes = match kind {
        byte_budget::ByteKind::Arriving => ARRIVING_BYTES,
        _ if call.route.streaming => STREAM_BYTES,
        _ => CALL_BYTES,
    };
    intake::ByteGuard::reserve_now(context, kind, owner_of(call), head_bytes + bytes)
}

/// A body that is about to be read.
pub(crate) struct BodyIntake<'a> {
    pub(crate) context: &'a rc::Rc<context::InstanceContext>,
    pub(crate) call: &'a incoming_call::IncomingCall,
    pub(crate) limits: route_table::CallerLimits,
    /// Guard of the bytes that the request holds while its body arrives; `None` if it has arrived with the head.
    pub(crate) arriving: Option<&'a intake::ByteGuard>,
}

impl BodyIntake<'_> {
    /// Reserves bytes for the body before it is read; `None` if it needs none.
    pub(crate) async fn admit(
        &self,
        framing: h1::BodyFraming,
    ) -> Result<Option<intake::ByteGuard>, BodyError> {
        let bytes = match framing {
            h1::BodyFraming::Length(length) if length <= SMALL_BODY_BYTES as u64 => {
                return Ok(None);
            }
            h1::BodyFraming::Length(length) if !self.is_incremental() => length as usize,
            h1::BodyFraming::Length(length) => STEP_BYTES.min(length as usize),
            h1::BodyFraming::Ended => return Ok(None),
            _ => STEP_BYTES,
        };
        let left = self.call.left(self.context.now());
        let (owner, urgency) = (owner_of(self.call), self.call.route.priority);
        let reserved =
            intake::ByteGuard::reserve_body(self.context, owner, urgency, bytes, left).await;
        reserved.map_err(|rejection| BodyError::NotAdmitted { rejection })
    }

    /// Reads the body for which `guard` was reserved.
    pub(crate) async fn read(
        &self,
        reader: &mut h1::MessageReader,
        framing: &mut h1::BodyFraming,
        guard: Option<&intake::ByteGuard>,
    ) -> Result<Bytes, BodyError> {
        let declared = match *framing {
            h1::BodyFraming::Length(length) => Some(length as usize),
            _ => None,
        };
        let capacity = declared.filter(|_| guard.is_none() || !self.is_incremental());
        let mut body = BytesMut::with_capacity(capacity.unwrap_or(0));
        let mut reserved = match (guard, declared) {
            (None, _) => usize::MAX,
            (Some(_), Some(length)) if !self.is_incremental() => length,
            (Some(_), declared) => STEP_BYTES.min(declared.unwrap_or(STEP_BYTES)),
        };
        let arrival = self.limits.arrival;
        let length = declared.unwrap_or(STEP_BYTES) as u64;
        let begun = self.context.now();
        let mut waited = time::Duration::ZERO;
        let mut progress = progress_limit::ProgressLimit::new(begun, arrival, length);
        loop {
            if let Some(guard) = guard
                && body.len() + h1::READ_BYTES > reserved
                && declared.is_none_or(|length| reserved < length)
            {
                let step = declared.map_or(STEP_BYTES, |length| STEP_BYTES.min(length - reserved));
                let asked = self.context.now();
                let growing = guard.grow(step, self.call.left(asked)).await;
                growing.map_err(|rejection| BodyError::NotAdmitted { rejection })?;
                waited += self.context.now().since(asked);
                reserved += step;
            }
            // Time in which the sender was held up does not count against it.
            let now = self.context.now();
            let spent = now.since(begun).saturating_sub(waited);
            if spent >= arrival {
                let reason = "the body of the request did not arrive in time";
                return TooSlowSnafu { reason }.fail();
            }
            let is_scarce =
                [guard, self.arriving].into_iter().flatten().any(intake::ByteGuard::is_scarce);
            if is_scarce && progress.is_behind(begun + spent) {
                let reason = "the body of the request arrived too slowly while others waited";
                return TooSlowSnafu { reason }.fail();
            }
            let pause = progress.window().min(arrival.saturating_sub(spent));
            let Ok(piece) = monoio::time::timeout(pause, reader.next_piece(framing)).await else {
                continue;
            };
            let Some(piece) = piece.context(MessageSnafu)? else {
                return Ok(body.freeze());
            };
            if body.len() + piece.len() > self.limits.body_bytes {
                let limit = self.limits.body_bytes;
                return Err(h1::MessageError::BodyTooLarge { limit }).context(MessageSnafu);
            }
            progress.note(piece.len() as u64);
            body.extend_from_slice(&piece);
        }
    }

    fn is_incremental(&self) -> bool {
        let intake = self.context.intake.as_ref();
        intake.is_some_and(|intake| {
            intake.borrow().bodies == machine_limits::BodyAdmission::Incremental
        })
    }
}

/// Reads the head of a request. One that has arrived completely needs no part of the budget to be read; the remainder of
/// an incomplete one does, and must make progress while such bytes are scarce.
pub(crate) async fn read_head(
    context: &rc::Rc<context::InstanceContext>,
    reader: &mut h1::MessageReader,
    limits: route_table::CallerLimits,
) -> Result<Option<http::request::Parts>, BodyError> {
    if let Some(head) = reader.arrived_request_head().context(MessageSnafu)? {
        return Ok(Some(head));
    }
    let (kind, owner) = (byte_budget::ByteKind::Arriving, byte_budget::ByteOwner::Anonymous);
    let guard = intake::ByteGuard::reserve_now(context, kind, owner, limits.head_bytes);
    let guard = guard.map_err(|rejection| BodyError::NotAdmitted { rejection })?;
    let reason = "the head of the request did not arrive in time";
    let begun = context.now();
    let length = limits.head_bytes as u64;
    let mut progress = progress_limit::ProgressLimit::new(begun, limits.arrival, length);
    let mut seen = 0;
    loop {
        let spent = context.now().since(begun);
        let is_scarce = guard.as_ref().is_some_and(intake::ByteGuard::is_scarce);
        if spent >= limits.arrival || is_scarce && progress.is_behind(context.now()) {
            return TooSlowSnafu { reason }.fail();
        }
        let pause = progress.window().min(limits.arrival.saturating_sub(spent));
        let reading = reader.request_head(limits.head_bytes);
        if let Ok(head) = monoio::time::timeout(pause, reading).await {
            return head.context(MessageSnafu);
        }
        progress.note(reader.buffered().saturating_sub(seen) as u64);
        seen = reader.buffered();
    }
}
