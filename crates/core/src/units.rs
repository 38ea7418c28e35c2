//! Sizes, rates and times, each a type of its own.

use std::{fmt, iter, ops, str, time};

use snafu::{ResultExt as _, Snafu};

/// Characters of a text from outside that an error shows.
const MAX_SHOWN: usize = 40;

/// Why a text is not a valid quantity.
#[derive(Debug, Snafu)]
pub enum UnitError {
    /// Not a whole number.
    #[snafu(display("found '{found}', expected a whole number of tokens"))]
    Tokens {
        /// The offending text.
        found: String,
        /// What the standard library said.
        source: std::num::ParseIntError,
    },
    /// Not a length of time.
    #[snafu(display("found '{found}', expected a length of time such as 250ms, 10s or 5m"))]
    Span {
        /// The offending text.
        found: String,
        /// What the library said.
        source: humantime::DurationError,
    },
    /// Not a number of bytes.
    #[snafu(display("found '{found}', expected a size such as 64MiB ({reason})"))]
    Bytes {
        /// The offending text.
        found: String,
        /// What the library said.
        reason: String,
    },
    /// Not a number of requests a second.
    #[snafu(display("found '{found}', expected requests a second such as 2 or 0.5"))]
    Requests {
        /// The offending text.
        found: String,
    },
    /// Not a share between 0 and 1.
    #[snafu(display("found {found}, expected a share from 0 to 1"))]
    Share {
        /// The offending value.
        found: f64,
    },
}

/// A number of tokens.
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
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// The difference, or zero where `other` is larger.
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

/// Tokens a second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

impl TokenRate {
    /// How long `count` tokens take at this rate.
    pub fn time_for(self, count: TokenCount) -> time::Duration {
        time::Duration::from_secs_f64((count.0 as f64 / self.0.max(1.0)).min(1e9))
    }

    /// How many tokens pass in `span` at this rate.
    pub fn tokens_in(self, span: time::Duration) -> TokenCount {
        TokenCount((self.0 * span.as_secs_f64()) as u64)
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens/s", self.0)
    }
}

/// Requests a second: finite, and not below zero.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

// No value is other than itself: it is finite.
impl Eq for RequestRate {}

impl RequestRate {
    /// The rate as a number.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// A part of it, from 0 to 1.
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
        // Digits with at most one point; what else a number may be written as is none here.
        let plain = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let rate = number.parse::<f64>().ok().filter(|_| plain);
        match rate.map(Self::try_from) {
            Some(Ok(rate)) => Ok(rate),
            _ => RequestsSnafu { found: text.chars().take(MAX_SHOWN).collect::<String>() }.fail(),
        }
    }
}

/// A number of bytes, written in settings as `64MiB`.
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

/// A length of time, written in settings as `250ms`.
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
    /// A span of `millis` thousandths of a second.
    pub const fn from_millis(millis: u64) -> Self {
        Self(time::Duration::from_millis(millis))
    }

    /// A span of `secs` seconds.
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

/// A length of time in whole milliseconds, rounded down, as it travels and is reported.
pub fn whole_millis(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A share of a whole, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct ShareRatio(f64);

impl ShareRatio {
    /// The share as a factor.
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
    /// The point `span` after the process's start.
    pub fn from_span(span: time::Duration) -> Self {
        Self(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }

    /// The point `span` before this one, or the process's start where that is nearer.
    pub fn earlier_by(self, span: time::Duration) -> Self {
        Self(self.0.saturating_sub(Self::from_span(span).0))
    }

    /// The time since `earlier`, or zero where that lies ahead.
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
