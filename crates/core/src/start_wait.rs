//! How long requests wait at a starting process that knows no routes yet.

use std::time;

/// Age of the process up to which requests wait without any contact. A partitioned process can only send its callers
/// elsewhere.
const NO_CONTACT_AGE: time::Duration = time::Duration::from_millis(350);
/// The same in contact with members that know no routes either.
const MEMBER_CONTACT_AGE: time::Duration = time::Duration::from_millis(700);
/// The same in contact with a member or the store that has them.
const SOURCE_CONTACT_AGE: time::Duration = time::Duration::from_millis(1_500);
/// Largest part of its deadline that a request waits; the rest is for its answer or another attempt.
const PATIENCE_FRACTION: f64 = 0.3;

/// Contact of a process since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartContact {
    /// None.
    Nobody,
    /// Members without routes.
    Members,
    /// A member with routes, or the store.
    Source,
}

/// Whether a request that has waited for `waited` continues to wait at a process of this age.
pub fn keeps_waiting(
    contact: StartContact,
    age: time::Duration,
    waited: time::Duration,
    patience: time::Duration,
) -> bool {
    let limit = match contact {
        StartContact::Nobody => NO_CONTACT_AGE,
        StartContact::Members => MEMBER_CONTACT_AGE,
        StartContact::Source => SOURCE_CONTACT_AGE,
    };
    age < limit && waited < patience.mul_f64(PATIENCE_FRACTION)
}
