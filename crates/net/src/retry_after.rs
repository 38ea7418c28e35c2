//! Parser for the `Retry-After` header of a response.
//!
//! RFC 9110, section 10.2.3, allows whole seconds and a date. Fractions of a second are accepted too, since
//! some servers send them.

use std::time;

use http::header;
use snafu::Snafu;

/// Number of characters of an invalid value that an error message contains.
const MAX_SHOWN_CHARS: usize = 40;
/// Longest delay returned for a number of seconds. Larger numbers are reduced to it: they are
/// mistakes, and might not fit into a `Duration`.
const MAX_SECONDS: f64 = 1e9;

/// The value is neither a number of seconds nor a date.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("found '{found}', expected seconds or a date"))]
pub struct RetryAfterError {
    /// Value of the `Retry-After` header, truncated to 40 characters.
    pub found: String,
}

/// Reads the `Retry-After` headers of a response: `None` if there are none, zero for a date in the past.
///
/// If there are several, the longest valid one is returned, because the shorter ones do not revoke it. A date is
/// compared with the `Date` header of the response, or with the local time `now` if the response has none.
pub fn read(
    headers: &http::HeaderMap,
    now: time::SystemTime,
) -> Option<Result<time::Duration, RetryAfterError>> {
    // The `Date` header and a date in `Retry-After` come from the sender's clock, so its offset
    // from the local clock does not matter.
    let sent_at = headers.get(header::DATE).and_then(|value| value.to_str().ok());
    let now = sent_at.and_then(|text| httpdate::parse_http_date(text).ok()).unwrap_or(now);
    let values = headers.get_all(header::RETRY_AFTER).into_iter();
    let delays = values.map(|value| parse_value(value, now));
    delays.reduce(|left, right| match (left, right) {
        (Ok(left), Ok(right)) => Ok(left.max(right)),
        (Ok(delay), Err(_)) | (Err(_), Ok(delay)) => Ok(delay),
        (Err(error), Err(_)) => Err(error),
    })
}

fn parse_value(
    value: &http::HeaderValue,
    now: time::SystemTime,
) -> Result<time::Duration, RetryAfterError> {
    let text = value.to_str().unwrap_or_default().trim();
    if let Some(delay) = parse_seconds(text) {
        return Ok(delay);
    }
    let date = httpdate::parse_http_date(text).map_err(|_| {
        let found =
            String::from_utf8_lossy(value.as_bytes()).chars().take(MAX_SHOWN_CHARS).collect();
        RetryAfterError { found }
    })?;
    Ok(date.duration_since(now).unwrap_or_default())
}

/// Parses digits with at most one decimal point. The other notations that `f64` accepts, such as `1e3`, `+3` and
/// `inf`, are rejected.
fn parse_seconds(text: &str) -> Option<time::Duration> {
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    Some(time::Duration::from_secs_f64(seconds.min(MAX_SECONDS)))
}
