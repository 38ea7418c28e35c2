//! Formats of the `Retry-After` header.

use std::time;

use slipturn_net::retry_after;

/// 6 November 1994, 08:49:37 UTC, the example date of RFC 9110, in seconds since the Unix epoch.
const NOW_SECONDS: u64 = 784_111_777;

fn read(values: &[&str]) -> Option<Result<time::Duration, retry_after::RetryAfterError>> {
    read_dated(values, None)
}

fn read_dated(
    values: &[&str],
    date: Option<&str>,
) -> Option<Result<time::Duration, retry_after::RetryAfterError>> {
    let mut headers = http::HeaderMap::new();
    for value in values {
        headers.append("retry-after", value.parse().expect("a header's value"));
    }
    if let Some(date) = date {
        headers.insert("date", date.parse().expect("a header's value"));
    }
    retry_after::read(&headers, time::UNIX_EPOCH + time::Duration::from_secs(NOW_SECONDS))
}

fn millis(values: &[&str]) -> u128 {
    read(values).expect("a value").expect("it can be read").as_millis()
}

#[test]
fn seconds_and_their_fractions_are_read() {
    assert_eq!(read(&[]), None);
    for (text, expected) in [("3", 3_000), (" 3 ", 3_000), ("0", 0), ("0.25", 250), ("1.5", 1_500)]
    {
        assert_eq!(millis(&[text]), expected, "{text}");
    }
    assert_eq!(
        millis(&["31536000"]),
        31_536_000_000,
        "a year is read; limiting it is up to the caller"
    );
    assert_eq!(millis(&["999999999999999999999"]), 1_000_000_000_000);
}

#[test]
fn dates_are_compared_with_the_senders_clock_if_it_is_given() {
    assert_eq!(millis(&["Sun, 06 Nov 1994 08:49:40 GMT"]), 3_000);
    assert_eq!(millis(&["Sun, 06 Nov 1994 08:49:30 GMT"]), 0, "the date is past");
    let dated =
        read_dated(&["Sun, 06 Nov 1994 10:00:04 GMT"], Some("Sun, 06 Nov 1994 10:00:00 GMT"));
    assert_eq!(dated, Some(Ok(time::Duration::from_secs(4))));
}

#[test]
fn the_longest_valid_value_of_several_counts() {
    assert_eq!(millis(&["2", "5", "1"]), 5_000);
    assert_eq!(millis(&["soon", "2"]), 2_000);
}

#[test]
fn an_invalid_value_is_an_error_that_contains_it() {
    for text in ["", "-3", "+3", "soon", "1e3", "inf", "NaN", "3s", "3, 5", "1.2.3"] {
        let error = read(&[text]).expect("a value").expect_err(text);
        assert_eq!(error.found, text);
    }
    let long = "x".repeat(5_000);
    assert!(
        read(&[&long]).expect("a value").expect_err("an invalid value").to_string().len() < 100
    );
}
