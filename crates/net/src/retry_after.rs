//! `Retry-After` of an answer: how long the other side wants to be left alone.
//!
//! RFC 9110, 10.2.3, allows whole seconds and a date. Fractions of a second are read too, as some senders
//! tell them.

use std::time;

use http::header;
use snafu::Snafu;

/// Characters of a bad value that an error shows.
const MAX_SHOWN: usize = 40;
/// Largest number of seconds that is read; more is a mistake, and no span of time holds it.
const MAX_SECONDS: f64 = 1e9;

/// A value that says no time.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("found '{found}', expected seconds or a date"))]
pub struct RetryAfterError {
    /// The beginning of the value.
    pub found: String,
}

/// Reads it; `None` where the answer has none, and zero where the time it names is over.
///
/// Of several the longest that can be read counts: who asked for that one has not taken it back. `now` is the time
/// of day here, for a date in an answer without a date of its own.
pub fn read(
    headers: &http::HeaderMap,
    now: time::SystemTime,
) -> Option<Result<time::Duration, RetryAfterError>> {
    // The sender's own clock, if given: only the difference counts, and clocks differ.
    let told = headers.get(header::DATE).and_then(|value| value.to_str().ok());
    let now = told.and_then(|text| httpdate::parse_http_date(text).ok()).unwrap_or(now);
    let values = headers.get_all(header::RETRY_AFTER).into_iter();
    let read = values.map(|value| read_value(value, now));
    read.reduce(|left, right| match (left, right) {
        (Ok(left), Ok(right)) => Ok(left.max(right)),
        (Ok(span), Err(_)) | (Err(_), Ok(span)) => Ok(span),
        (Err(error), Err(_)) => Err(error),
    })
}

fn read_value(
    value: &http::HeaderValue,
    now: time::SystemTime,
) -> Result<time::Duration, RetryAfterError> {
    let text = value.to_str().unwrap_or_default().trim();
    if let Some(span) = read_seconds(text) {
        return Ok(span);
    }
    let date = httpdate::parse_http_date(text).map_err(|_| {
        let found = String::from_utf8_lossy(value.as_bytes()).chars().take(MAX_SHOWN).collect();
        RetryAfterError { found }
    })?;
    Ok(date.duration_since(now).unwrap_or_default())
}

/// Digits with at most one point; what else a number may be written as is none here.
fn read_seconds(text: &str) -> Option<time::Duration> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| plain)?;
    Some(time::Duration::from_secs_f64(seconds.min(MAX_SECONDS)))
}
