//! When a failed attempt may be followed by another.

#![allow(clippy::unwrap_used)]

use slipturn_core::{retry, units};

const FAILURES: [retry::AttemptFailure; 4] = [
    retry::AttemptFailure::NotConnected,
    retry::AttemptFailure::SaidNotRun,
    retry::AttemptFailure::BrokeBeforeAnswer,
    retry::AttemptFailure::BrokeMidAnswer,
];

fn question(failure: retry::AttemptFailure, repeatable: bool) -> retry::FailedAttempt {
    retry::FailedAttempt { failure, repeatable, attempts: 1, max_attempts: 3, time_left: true }
}

fn budget() -> retry::RetryBudget {
    retry::RetryBudget::new(units::ShareRatio::try_from(0.1).unwrap())
}

#[test]
fn only_what_surely_did_not_run_is_repeated_when_it_must_not_run_twice() {
    for failure in FAILURES {
        let verdict = budget().ask(units::MonoTime(0), question(failure, false));
        let retried = verdict == retry::RetryVerdict::Retry;
        assert_eq!(retried, failure.definitely_not_run(), "{failure:?}");
    }
}

#[test]
fn nothing_is_repeated_once_a_token_went_out() {
    let asked = question(retry::AttemptFailure::BrokeMidAnswer, true);
    assert_ne!(budget().ask(units::MonoTime(0), asked), retry::RetryVerdict::Retry);
}

#[test]
fn attempts_and_time_are_bounded() {
    let asked = question(retry::AttemptFailure::NotConnected, true);
    let spent = retry::FailedAttempt { attempts: 3, ..asked };
    let late = retry::FailedAttempt { time_left: false, ..asked };
    assert_ne!(budget().ask(units::MonoTime(0), spent), retry::RetryVerdict::Retry);
    assert_ne!(budget().ask(units::MonoTime(0), late), retry::RetryVerdict::Retry);
}

#[test]
fn an_outage_of_a_third_of_the_engines_is_not_amplified() {
    // Every third attempt fails, a thousand requests over a hundred seconds.
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
            let failed = counter.is_multiple_of(3);
            let asked = retry::FailedAttempt {
                attempts: tries,
                ..question(retry::AttemptFailure::NotConnected, true)
            };
            if !failed || budget.ask(now, asked) != retry::RetryVerdict::Retry {
                break;
            }
        }
    }
    let per_request = f64::from(attempts) / 10_000.0;
    assert!(per_request <= 1.1, "{per_request} attempts a request");
    assert!(per_request > 1.09, "the budget is there to be used: {per_request}");
}

#[test]
fn a_few_retries_are_allowed_where_there_are_few_requests() {
    let mut budget = budget();
    let asked = question(retry::AttemptFailure::NotConnected, true);
    budget.count_request(units::MonoTime(0));
    assert_eq!(budget.ask(units::MonoTime(0), asked), retry::RetryVerdict::Retry);
}

/// What reached nobody spends neither an attempt nor the retry taken for it; whoever saw a request and turned it
/// away has been reached.
#[test]
fn what_reached_nobody_is_not_spent() {
    use retry::AttemptFailure;
    let nobody =
        [AttemptFailure::NotConnected, AttemptFailure::NotPrepared, AttemptFailure::Denied];
    assert!(
        nobody.iter().all(|failure| failure.reached_no_upstream() && failure.definitely_not_run())
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
