//! How long requests wait at a process that has just started.

use std::time;

use slipturn_core::start_wait::{StartContact, keeps_waiting};

/// Time limit of a request.
const TIME_LIMIT: time::Duration = time::Duration::from_secs(10);

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn waits(contact: StartContact, age: u64) -> bool {
    keeps_waiting(contact, millis(age), millis(0), TIME_LIMIT)
}

#[test]
fn requests_wait_longer_the_better_the_contact_of_the_process() {
    let contacts = [StartContact::NoContact, StartContact::Members, StartContact::Source];
    let at_age = |age| contacts.map(|contact| waits(contact, age));
    assert_eq!(at_age(200), [true, true, true]);
    assert_eq!(at_age(400), [false, true, true]);
    assert_eq!(at_age(800), [false, false, true]);
    assert_eq!(at_age(1_600), [false, false, false]);
}

/// A request with a short time limit needs the remaining time for its answer or for an attempt at another process.
#[test]
fn requests_wait_only_a_fraction_of_their_time_limit() {
    let short = time::Duration::from_millis(1_500);
    assert!(keeps_waiting(StartContact::Source, millis(500), millis(400), short));
    assert!(!keeps_waiting(StartContact::Source, millis(500), millis(500), short));
}
