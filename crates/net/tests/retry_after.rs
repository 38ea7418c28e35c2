//! Forms in which an answer tells how long its sender wants to be left alone.

use std::time;

use slipturn_net::retry_after;

/// 6 November 1994, 08:49:37, as RFC 9110 shows it.
const NOON: u64 = 784_111_777;

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
    retry_after::read(&headers, time::UNIX_EPOCH + time::Duration::from_secs(NOON))
}

fn millis(values: &[&str]) -> u128 {
    read(values).expect("a value").expect("it can be read").as_millis()
}

#[test]
fn seconds_and_their_fractions() {
    assert_eq!(read(&[]), None);
    for (text, expected) in [("3", 3_000), (" 3 ", 3_000), ("0", 0), ("0.25", 250), ("1.5", 1_500)]
    {
        assert_eq!(millis(&[text]), expected, "{text}");
    }
    assert_eq!(millis(&["31536000"]), 31_536_000_000, "a year is read; who hears it bounds it");
    assert_eq!(millis(&["999999999999999999999"]), 1_000_000_000_000);
}

#[test]
fn dates_by_the_senders_clock_where_it_tells_it() {
    assert_eq!(millis(&["Sun, 06 Nov 1994 08:49:40 GMT"]), 3_000);
    assert_eq!(millis(&["Sun, 06 Nov 1994 08:49:30 GMT"]), 0, "it is over");
    let dated =
        read_dated(&["Sun, 06 Nov 1994 10:00:04 GMT"], Some("Sun, 06 Nov 1994 10:00:00 GMT"));
    assert_eq!(dated, Some(Ok(time::Duration::from_secs(4))));
}

#[test]
fn of_several_the_longest_that_can_be_read_counts() {
    assert_eq!(millis(&["2", "5", "1"]), 5_000);
    assert_eq!(millis(&["soon", "2"]), 2_000);
}

#[test]
fn nonsense_is_an_error_that_shows_it() {
    for text in ["", "-3", "+3", "soon", "1e3", "inf", "NaN", "3s", "3, 5", "1.2.3"] {
        let error = read(&[text]).expect("a value").expect_err(text);
        assert_eq!(error.found, text);
    }
    let long = "x".repeat(5_000);
    assert!(read(&[&long]).expect("a value").expect_err("nonsense").to_string().len() < 100);
}
