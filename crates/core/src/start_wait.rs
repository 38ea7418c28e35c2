//! How long requests wait at a process that has just started and has no routes yet.

use std::time;

/// Process age up to which requests wait while the process has no contact. A partitioned process cannot serve its
/// callers, so it soon sends them to other instances.
const NO_CONTACT_AGE: time::Duration = time::Duration::from_millis(350);
/// Process age up to which requests wait while the process is only in contact with members without routes.
const MEMBER_CONTACT_AGE: time::Duration = time::Duration::from_millis(700);
/// Process age up to which requests wait while the process is in contact with a source of routes.
const SOURCE_CONTACT_AGE: time::Duration = time::Duration::from_millis(1_500);
/// Largest fraction of its time limit for which a request waits; the remainder is for its answer or for an attempt at
/// another instance.
const TIME_LIMIT_FRACTION: f64 = 0.3;

/// The best contact that a process has had since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartContact {
    /// The process has had no contact with a member or the store.
    NoContact,
    /// The process has had contact only with members without routes.
    Members,
    /// The process has had contact with a source of routes: a member that has them, or the store.
    Source,
}

/// Whether a request with this time limit that has waited for `waited` keeps waiting at a process of this age.
pub fn keeps_waiting(
    contact: StartContact,
    age: time::Duration,
    waited: time::Duration,
    time_limit: time::Duration,
) -> bool {
    let limit = match contact {
        StartContact::NoContact => NO_CONTACT_AGE,
        StartContact::Members => MEMBER_CONTACT_AGE,
        StartContact::Source => SOURCE_CONTACT_AGE,
    };
    age < limit && waited < time_limit.mul_f64(TIME_LIMIT_FRACTION)
}
