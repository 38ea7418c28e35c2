//! How many resting connections to one upstream a member keeps: an upstream limits the number for all members together.

use crate::{ids, rendezvous};

/// Part of what an upstream accepts that rests; the rest is for requests under way, whose number no share bounds, and
/// for views that differ.
const RESTING_PART: f64 = 0.5;

/// Connections to an upstream that accepts `limit` that one of a number of members keeps at rest, at most.
///
/// Where the shares are no whole connections, members differ: which of them keep one more follows from their names, so
/// that all together keep to the part.
pub fn max_idle(
    limit: usize,
    members: usize,
    own: &ids::InstanceId,
    upstream: &ids::UpstreamId,
) -> usize {
    let share = limit as f64 * RESTING_PART / members.max(1) as f64;
    let hash = rendezvous::stable_hash(&["rests", own.as_str(), upstream.identifier()]);
    let drawn = hash as f64 / u64::MAX as f64;
    share as usize + usize::from(drawn < share.fract())
}
