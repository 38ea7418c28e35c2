//! Refusals of requests: the reason, whether the request may have run, and when to retry.

use std::time;

use rand::RngExt as _;

/// Whether an upstream ran a request that has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RanState {
    /// No byte of the request reached an upstream, or the upstream reported that it did not run it.
    No,
    /// The request may or may not have run.
    Unknown,
    /// The request ran, at least in part.
    Yes,
}

impl RanState {
    /// Combines the states of two attempts into the state of their request: `Yes` if one of them ran, `No` if neither
    /// ran, otherwise `Unknown`.
    pub fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Yes, _) | (_, Self::Yes) => Self::Yes,
            (Self::No, Self::No) => Self::No,
            _ => Self::Unknown,
        }
    }

    /// Name of the state in responses to callers.
    pub fn label(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// Why a request was not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalCode {
    /// The request is malformed, for example its HTTP head, a header value or its body.
    BadRequest,
    /// The caller key is missing or unknown.
    Unauthorized,
    /// The path, model or service does not exist.
    NotFound,
    /// The request body did not arrive in time.
    BodyTimeout,
    /// The idempotency key belongs to another request.
    KeyTaken,
    /// The prompt or the body is larger than allowed.
    TooLarge,
    /// The customer has used up its token budget.
    OverBudget,
    /// The request would not finish within its time limit.
    Overloaded,
    /// The instance has reached its memory limit.
    OutOfMemory,
    /// No engine or other upstream accepts the request now.
    NoUpstream,
    /// It is unknown whether a request with this idempotency key has run.
    KeyInDoubt,
    /// The settings are not known yet, or have not been confirmed for too long.
    NotReady,
    /// The instance is stopping, and another one can serve the request.
    Stopping,
    /// The request has repeatedly crashed upstreams.
    Quarantined,
    /// An attempt failed at an upstream, and no other attempt succeeded.
    UpstreamFailed,
    /// The time limit of the request has passed, and an upstream may have run it.
    TimedOut,
}

impl RefusalCode {
    /// HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::BodyTimeout => 408,
            Self::KeyTaken => 409,
            Self::TooLarge => 413,
            Self::OverBudget => 429,
            Self::UpstreamFailed => 502,
            Self::TimedOut => 504,
            Self::Overloaded
            | Self::OutOfMemory
            | Self::NoUpstream
            | Self::KeyInDoubt
            | Self::NotReady
            | Self::Stopping
            | Self::Quarantined => 503,
        }
    }

    /// The stable name of the code, for programs.
    pub fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::BodyTimeout => "body_timeout",
            Self::KeyTaken => "key_taken",
            Self::TooLarge => "too_large",
            Self::OverBudget => "over_budget",
            Self::Overloaded => "overloaded",
            Self::OutOfMemory => "out_of_memory",
            Self::NoUpstream => "no_upstream",
            Self::KeyInDoubt => "key_in_doubt",
            Self::NotReady => "not_ready",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::UpstreamFailed => "upstream_failed",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns the code with the given label; `None` if there is none.
    pub fn from_label(label: &str) -> Option<Self> {
        ALL_CODES.iter().copied().find(|code| code.label() == label)
    }

    /// The error type in the format that OpenAI clients expect.
    pub fn kind(self) -> &'static str {
        match self.status() {
            400 | 404 | 413 => "invalid_request_error",
            401 => "authentication_error",
            429 => "rate_limit_error",
            _ => "server_error",
        }
    }
}

/// All codes, among which [`RefusalCode::from_label`] searches.
pub const ALL_CODES: [RefusalCode; 16] = [
    RefusalCode::BadRequest,
    RefusalCode::Unauthorized,
    RefusalCode::NotFound,
    RefusalCode::BodyTimeout,
    RefusalCode::KeyTaken,
    RefusalCode::TooLarge,
    RefusalCode::OverBudget,
    RefusalCode::Overloaded,
    RefusalCode::OutOfMemory,
    RefusalCode::NoUpstream,
    RefusalCode::KeyInDoubt,
    RefusalCode::NotReady,
    RefusalCode::Stopping,
    RefusalCode::Quarantined,
    RefusalCode::UpstreamFailed,
    RefusalCode::TimedOut,
];

/// The final answer to a request that was not served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Reason for the refusal, which determines the HTTP status.
    pub code: RefusalCode,
    /// Whether an upstream ran the request.
    pub ran: RanState,
    /// Time after which the caller may retry; `None` if a retry would not help.
    pub retry_after: Option<time::Duration>,
    /// Human-readable description.
    pub message: String,
}

impl RequestRefusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, ran: RanState::No, retry_after: None, message: message.into() }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, span: time::Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Sets whether the request ran.
    pub fn ran(mut self, ran: RanState) -> Self {
        self.ran = ran;
        self
    }
}

/// Largest retry delay, as a part of the caller's remaining time. A later retry would leave too
/// little time for the answer, and callers rarely wait longer.
const MAX_DELAY_PART: f64 = 0.33;

/// Retry delay for a caller whose request has `time_left`, during an outage that has lasted for `outage`
/// so far.
///
/// The end of an outage cannot be predicted. Outages last from a fraction of a second to minutes, so
/// the best estimate is that this one lasts as long again. Callers retry once or twice: with a fixed
/// delay of 0.5 s, one in eight callers that meet an outage of four seconds returns after its end;
/// with this delay, half of them do.
pub fn outage_retry_after(outage: time::Duration, time_left: time::Duration) -> time::Duration {
    outage.min(time_left.mul_f64(MAX_DELAY_PART)).max(MIN_RETRY_AFTER)
}

/// Shortest retry delay that a caller is given.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Random retry delay of one to two times the expected wait, so that callers do not retry at the same
/// time.
pub fn spread_retry(expected: time::Duration, random: &mut impl rand::Rng) -> time::Duration {
    let base = expected.max(MIN_RETRY_AFTER);
    base.mul_f64(1.0 + random.random::<f64>())
}

/// Retry delay of a request that a planner refused with a delay of `planned`.
///
/// A time that the planner `assigned` to the caller alone is passed on unchanged: the planner expects the caller at
/// that time. Any other delay is spread.
pub fn planned_retry(
    planned: time::Duration,
    assigned: bool,
    random: &mut impl rand::Rng,
) -> time::Duration {
    if assigned { planned } else { spread_retry(planned, random) }
}

/// Random retry delay for a caller whose upstreams are all in backoff; the first backoff to end has
/// `left` remaining.
///
/// The delay is never shorter than `left`, even if the caller has less time, so that the caller
/// learns that waiting is useless. Callers refused during the backoff are spread over its `length`;
/// otherwise all of them would retry at the moment it ends.
pub fn backoff_retry_after(
    left: time::Duration,
    length: time::Duration,
    random: &mut impl rand::Rng,
) -> time::Duration {
    left + length.max(MIN_RETRY_AFTER).mul_f64(random.random::<f64>())
}
