//! Decisions on retries, and the retry budget.

#![allow(clippy::unwrap_used)]

use slipturn_core::{retry, units};

const FAILURES: [retry::AttemptFailure; 4] = [
    retry::AttemptFailure::NotConnected,
    retry::AttemptFailure::SaidNotRun,
    retry::AttemptFailure::BrokeBeforeAnswer,
    retry::AttemptFailure::BrokeMidAnswer,
];

fn failed(failure: retry::AttemptFailure, repeatable: bool) -> retry::FailedAttempt {
    retry::FailedAttempt { failure, repeatable, attempts: 1, max_attempts: 3, time_left: true }
}

fn budget() -> retry::RetryBudget {
    retry::RetryBudget::new(units::ShareRatio::try_from(0.1).unwrap())
}

#[test]
fn a_request_that_must_not_run_twice_is_retried_only_if_it_did_not_run() {
    for failure in FAILURES {
        let verdict = budget().decide(units::MonoTime(0), failed(failure, false));
        let retried = verdict == retry::RetryVerdict::Retry;
        assert_eq!(retried, failure.definitely_not_run(), "{failure:?}");
    }
}

#[test]
fn a_request_is_not_retried_after_part_of_the_answer_was_delivered() {
    let attempt = failed(retry::AttemptFailure::BrokeMidAnswer, true);
    assert_ne!(budget().decide(units::MonoTime(0), attempt), retry::RetryVerdict::Retry);
}

#[test]
fn a_request_is_not_retried_without_attempts_or_time_left() {
    let attempt = failed(retry::AttemptFailure::NotConnected, true);
    let last = retry::FailedAttempt { attempts: 3, ..attempt };
    let late = retry::FailedAttempt { time_left: false, ..attempt };
    assert_ne!(budget().decide(units::MonoTime(0), last), retry::RetryVerdict::Retry);
    assert_ne!(budget().decide(units::MonoTime(0), late), retry::RetryVerdict::Retry);
}

#[test]
fn an_outage_of_a_third_of_the_engines_is_not_amplified() {
    // 10,000 requests in 100 s; every third attempt fails.
    let mut budget = budget();
    let (mut attempts, mut counter) = (0_u32, 0_u32);
    for number in 0..10_000_u64 {
        let now = units::MonoTime(number * 10_000);
        budget.count_request(now);
        let mut tries = 0;
        loop {
            tries += 1;
            attempts += 1;
            counter += 1;
            let fails = counter.is_multiple_of(3);
            let attempt = retry::FailedAttempt {
                attempts: tries,
                ..failed(retry::AttemptFailure::NotConnected, true)
            };
            if !fails || budget.decide(now, attempt) != retry::RetryVerdict::Retry {
                break;
            }
        }
    }
    let per_request = f64::from(attempts) / 10_000.0;
    assert!(per_request <= 1.1, "{per_request} attempts per request");
    assert!(per_request > 1.09, "the budget is not used: {per_request} attempts per request");
}

#[test]
fn a_few_retries_are_allowed_even_with_few_requests() {
    let mut budget = budget();
    let attempt = failed(retry::AttemptFailure::NotConnected, true);
    budget.count_request(units::MonoTime(0));
    assert_eq!(budget.decide(units::MonoTime(0), attempt), retry::RetryVerdict::Retry);
}

/// If no upstream has received any part of a request, the failure counts neither as an attempt nor against the retry
/// budget. An upstream that rejected a request has received it.
#[test]
fn only_failures_before_anything_was_sent_reached_no_upstream() {
    use retry::AttemptFailure;
    let unreached =
        [AttemptFailure::NotConnected, AttemptFailure::NotPrepared, AttemptFailure::Denied];
    assert!(
        unreached
            .iter()
            .all(|failure| failure.reached_no_upstream() && failure.definitely_not_run())
    );
    let reached = [AttemptFailure::SaidNotRun, AttemptFailure::Misdirected];
    assert!(
        reached
            .iter()
            .all(|failure| !failure.reached_no_upstream() && failure.definitely_not_run())
    );
    let unclear = [AttemptFailure::BrokeBeforeAnswer, AttemptFailure::BrokeMidAnswer];
    assert!(
        unclear
            .iter()
            .all(|failure| !failure.reached_no_upstream() && !failure.definitely_not_run())
    );
}
