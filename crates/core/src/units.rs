//! Quantities such as sizes, rates and times, each with its own type.

use std::{fmt, iter, ops, str, time};

use snafu::{ResultExt as _, Snafu};

/// Largest number of tokens of a prompt, an answer or a reservation that is computed with, far above any engine's memory.
/// Sums and products of such numbers fit into 64 bits.
pub const MAX_TOKENS: u64 = 1 << 40;

/// Longest part of an untrusted text that an error message contains, in characters.
const MAX_FOUND_CHARS: usize = 40;

/// Error for an invalid quantity.
#[derive(Debug, Snafu)]
pub enum UnitError {
    /// The text is not a whole number of tokens.
    #[snafu(display("found '{found}', expected a whole number of tokens"))]
    Tokens {
        /// The invalid text.
        found: String,
        /// Error of the integer parser.
        source: std::num::ParseIntError,
    },
    /// The text is not a length of time.
    #[snafu(display("found '{found}', expected a length of time such as 250ms, 10s or 5m"))]
    Span {
        /// The invalid text.
        found: String,
        /// Error of the duration parser.
        source: humantime::DurationError,
    },
    /// The text is not a number of bytes.
    #[snafu(display("found '{found}', expected a size such as 64MiB ({reason})"))]
    Bytes {
        /// The invalid text.
        found: String,
        /// Error message of the size parser.
        reason: String,
    },
    /// The text or number is not a valid request rate.
    #[snafu(display("found '{found}', expected requests a second such as 2 or 0.5"))]
    Requests {
        /// The invalid text or number.
        found: String,
    },
    /// The number is not between 0 and 1.
    #[snafu(display("found {found}, expected a share from 0 to 1"))]
    Share {
        /// The invalid number.
        found: f64,
    },
}

/// A number of tokens. Sums and differences saturate.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct TokenCount(pub u64);

impl TokenCount {
    /// Zero tokens, the neutral element of sums.
    pub const ZERO: Self = Self(0);

    /// The difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The count scaled by `factor`, rounded down.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl ops::Add for TokenCount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl ops::AddAssign for TokenCount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl ops::SubAssign for TokenCount {
    fn sub_assign(&mut self, other: Self) {
        *self = self.saturating_sub(other);
    }
}

impl iter::Sum for TokenCount {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::ZERO, |total, count| total + count)
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens", self.0)
    }
}

impl str::FromStr for TokenCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.trim_end_matches(" tokens");
        number.parse().map(Self).context(TokensSnafu { found: text })
    }
}

/// Returns a number of tokens that a peer claims, or [`MAX_TOKENS`] if it is larger.
pub fn claimed_tokens(claimed: u64) -> u64 {
    claimed.min(MAX_TOKENS)
}

/// Deserializes a number of tokens that a peer claims, as [`claimed_tokens`] bounds it.
pub(crate) fn read_claimed_tokens<'de, D>(from: D) -> Result<u64, D::Error>
where
    D: serde::Deserializer<'de>,
{
    <u64 as serde::Deserialize>::deserialize(from).map(claimed_tokens)
}

/// A rate in tokens per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

impl TokenRate {
    /// Time that `count` tokens take at this rate. A rate below one token per second counts as one.
    pub fn time_for(self, count: TokenCount) -> time::Duration {
        time::Duration::from_secs_f64((count.0 as f64 / self.0.max(1.0)).min(1e9))
    }

    /// Number of tokens in `span` at this rate, rounded down.
    pub fn tokens_in(self, span: time::Duration) -> TokenCount {
        TokenCount((self.0 * span.as_secs_f64()) as u64)
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens/s", self.0)
    }
}

/// A rate in requests per second; finite and not negative.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

// Equality is reflexive, because the rate is never NaN.
impl Eq for RequestRate {}

impl RequestRate {
    /// The rate as a number of requests per second; finite and not negative.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// The rate multiplied by `part`, which is clamped to 0 to 1.
    pub fn scaled(self, part: f64) -> Self {
        Self(self.0 * part.clamp(0.0, 1.0))
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = UnitError;

    fn try_from(found: f64) -> Result<Self, UnitError> {
        let found = Some(found).filter(|rate| rate.is_finite() && *rate >= 0.0).ok_or(found);
        found.map(Self).or_else(|found| RequestsSnafu { found: found.to_string() }.fail())
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} requests/s", self.0)
    }
}

impl str::FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.trim_end_matches(" requests/s");
        // Only digits and a decimal point: signs, exponents, `inf` and `NaN` are not valid here.
        let is_plain = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let rate = number.parse::<f64>().ok().filter(|_| is_plain);
        match rate.map(Self::try_from) {
            Some(Ok(rate)) => Ok(rate),
            _ => RequestsSnafu { found: text.chars().take(MAX_FOUND_CHARS).collect::<String>() }
                .fail(),
        }
    }
}

/// A number of bytes, written in settings as text such as `64MiB`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ByteCount(pub u64);

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", bytesize::ByteSize(self.0))
    }
}

impl str::FromStr for ByteCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.parse::<bytesize::ByteSize>() {
            Ok(size) => Ok(Self(size.as_u64())),
            Err(reason) => BytesSnafu { found: text, reason }.fail(),
        }
    }
}

impl TryFrom<String> for ByteCount {
    type Error = UnitError;

    fn try_from(text: String) -> Result<Self, UnitError> {
        text.parse()
    }
}

impl From<ByteCount> for String {
    fn from(count: ByteCount) -> Self {
        count.to_string()
    }
}

/// A length of time, written in settings as text such as `250ms`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct TimeSpan(pub time::Duration);

impl TimeSpan {
    /// Creates a span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(time::Duration::from_millis(millis))
    }

    /// Creates a span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(time::Duration::from_secs(secs))
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", humantime::format_duration(self.0))
    }
}

impl str::FromStr for TimeSpan {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        humantime::parse_duration(text).map(Self).context(SpanSnafu { found: text })
    }
}

impl TryFrom<String> for TimeSpan {
    type Error = UnitError;

    fn try_from(text: String) -> Result<Self, UnitError> {
        text.parse()
    }
}

impl From<TimeSpan> for String {
    fn from(span: TimeSpan) -> Self {
        span.to_string()
    }
}

/// Converts a length of time to whole milliseconds, rounded down, as used in messages and reports.
pub fn whole_millis(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A share from 0 to 1; other numbers are rejected where they are parsed.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct ShareRatio(f64);

impl ShareRatio {
    /// The share as a number from 0 to 1.
    pub fn factor(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for ShareRatio {
    type Error = UnitError;

    fn try_from(found: f64) -> Result<Self, UnitError> {
        if (0.0..=1.0).contains(&found) { Ok(Self(found)) } else { ShareSnafu { found }.fail() }
    }
}

impl From<ShareRatio> for f64 {
    fn from(share: ShareRatio) -> Self {
        share.0
    }
}

impl fmt::Display for ShareRatio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A point in time on one process's monotonic clock, in microseconds since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// The point in time `span` after the start of the process.
    pub fn from_span(span: time::Duration) -> Self {
        Self(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }

    /// The point in time `span` before this one, or the start of the process if that is later.
    pub fn earlier_by(self, span: time::Duration) -> Self {
        Self(self.0.saturating_sub(Self::from_span(span).0))
    }

    /// The time since `earlier`, or zero if `earlier` is later than this point.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for MonoTime {
    type Output = Self;

    fn add(self, span: time::Duration) -> Self {
        Self(self.0.saturating_add(Self::from_span(span).0))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} after start", time::Duration::from_micros(self.0))
    }
}
