//! Why a request was not served, what that says about its having run, and when to come back.

use std::time;

use rand::RngExt as _;

/// Whether an upstream ran a request that has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RanState {
    /// No byte of it reached an upstream, or the upstream itself said it did not run it.
    No,
    /// It may or may not have run.
    Unknown,
    /// It ran, at least in part.
    Yes,
}

impl RanState {
    /// Of two attempts' states, the request's own.
    pub fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Yes, _) | (_, Self::Yes) => Self::Yes,
            (Self::No, Self::No) => Self::No,
            _ => Self::Unknown,
        }
    }

    /// The code that callers read.
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
    /// The request is not valid.
    BadRequest,
    /// No key, or an unknown one.
    Unauthorized,
    /// No such path, model or service.
    NotFound,
    /// The caller's body did not arrive in time.
    BodyTimeout,
    /// The idempotency key belongs to another request.
    KeyTaken,
    /// The prompt or the body is larger than allowed.
    TooLarge,
    /// The customer has used its tokens.
    OverBudget,
    /// It would not finish within its time limit.
    Overloaded,
    /// This instance holds as many bytes as it may.
    OutOfMemory,
    /// No engine or upstream takes it now.
    NoUpstream,
    /// It is unknown whether a call with this key has run.
    KeyInDoubt,
    /// The settings are not known yet, or not confirmed for too long.
    NotReady,
    /// Upstreams have ended under it again and again.
    Quarantined,
    /// The upstream failed.
    UpstreamFailed,
    /// The time limit has passed.
    TimedOut,
}

impl RefusalCode {
    /// HTTP status of the answer.
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
            | Self::Quarantined => 503,
        }
    }

    /// The stable code that programs compare.
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
            Self::Quarantined => "quarantined",
            Self::UpstreamFailed => "upstream_failed",
            Self::TimedOut => "timed_out",
        }
    }

    /// The reason of a code.
    pub fn from_label(word: &str) -> Option<Self> {
        ALL_CODES.iter().copied().find(|code| code.label() == word)
    }

    /// The group of codes in the shape that OpenAI clients know.
    pub fn kind(self) -> &'static str {
        match self.status() {
            400 | 404 | 413 => "invalid_request_error",
            401 => "authentication_error",
            429 => "rate_limit_error",
            _ => "server_error",
        }
    }
}

/// Every code, for tables and tests.
pub const ALL_CODES: [RefusalCode; 15] = [
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
    RefusalCode::Quarantined,
    RefusalCode::UpstreamFailed,
    RefusalCode::TimedOut,
];

/// The final answer to a request that was not served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Why.
    pub code: RefusalCode,
    /// Whether it ran.
    pub ran: RanState,
    /// When the caller may come back, if that can help.
    pub retry_after: Option<time::Duration>,
    /// What a person should read.
    pub message: String,
}

impl RequestRefusal {
    /// A refusal of a request no byte of which has reached an upstream.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, ran: RanState::No, retry_after: None, message: message.into() }
    }

    /// The same refusal with a time to come back.
    pub fn retry_after(mut self, span: time::Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// The same refusal with another statement on whether it ran.
    pub fn ran(mut self, ran: RanState) -> Self {
        self.ran = ran;
        self
    }
}

/// Part of its time within which a caller is asked back: later there is none left for its answer, and
/// callers seldom wait longer.
const RETURN_PART: f64 = 0.33;

/// When a caller should come back to a process that has waited for `away` for what it needs to serve at
/// all, and has `patience` left.
///
/// Nobody can tell when it comes; that it takes as long again is the best guess, as outages last from
/// a fraction of a second to minutes. Callers try again once or twice: of those that meet an outage of four
/// seconds, with 0.5 s as the time to come back, one in eight comes back to a process that serves; with this, half.
pub fn outage_retry_after(away: time::Duration, patience: time::Duration) -> time::Duration {
    away.min(patience.mul_f64(RETURN_PART)).max(MIN_RETRY_AFTER)
}

/// Shortest time after which a refused caller is asked back.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Spreads callers over one to two times the expected wait, so that they do not return together.
pub fn spread_retry(expected: time::Duration, random: &mut impl rand::Rng) -> time::Duration {
    let base = expected.max(MIN_RETRY_AFTER);
    base.mul_f64(1.0 + random.random::<f64>())
}

/// When a caller should come back whose upstreams all rest, the first of them for `left` more.
///
/// Never before that, also where its caller has less time: it then knows that waiting is useless. Spread over as
/// long as the rest `lasted`, as all that came in it come back: with its end alone they return all at once.
pub fn backoff_retry_after(
    left: time::Duration,
    lasted: time::Duration,
    random: &mut impl rand::Rng,
) -> time::Duration {
    left + lasted.max(MIN_RETRY_AFTER).mul_f64(random.random::<f64>())
}
