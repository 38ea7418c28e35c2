//! How long a request waits at a process that has just started and knows no routes yet.

use std::time;

/// Age up to which a request waits while nobody has been heard: a process that is cut off from all others and
/// the store can only send its callers elsewhere.
const LONE_AGE: time::Duration = time::Duration::from_millis(350);
/// The same while members are there, and none of them knows the routes.
const MET_AGE: time::Duration = time::Duration::from_millis(700);
/// The same while some member or the store has them.
const SOURCE_AGE: time::Duration = time::Duration::from_millis(1_500);
/// Part of its caller's patience that a request waits at most: time must be left for its answer, or for another
/// process.
const PATIENCE_PART: f64 = 0.3;

/// Whom a process that knows nothing has heard since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartContact {
    /// Nobody.
    Nobody,
    /// Members that know as little.
    Members,
    /// A member that knows the routes, or the store.
    Source,
}

/// Whether a request goes on waiting that has waited for `waited`, at a process of this age.
pub fn goes_on(
    contact: StartContact,
    age: time::Duration,
    waited: time::Duration,
    patience: time::Duration,
) -> bool {
    let limit = match contact {
        StartContact::Nobody => LONE_AGE,
        StartContact::Members => MET_AGE,
        StartContact::Source => SOURCE_AGE,
    };
    age < limit && waited < patience.mul_f64(PATIENCE_PART)
}
