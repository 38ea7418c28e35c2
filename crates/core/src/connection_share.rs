//! Each member's share of the idle connections to an upstream, which limits the connections of all
//! members together.

use crate::{ids, rendezvous};

/// Part of an upstream's connection limit that may be idle. The remainder is for requests in
/// progress, which have no share, and for members whose views of the fleet differ.
const IDLE_PART: f64 = 0.5;

/// Most idle connections that the member `own`, one of `members`, keeps to an upstream that accepts
/// `limit` connections.
///
/// A fractional share is rounded up by some members and down by the others, depending on a hash of
/// the names, so that on average all members together keep `IDLE_PART` of the limit idle.
pub fn max_idle(
    limit: usize,
    members: usize,
    own: &ids::InstanceId,
    upstream: &ids::UpstreamId,
) -> usize {
    let share = limit as f64 * IDLE_PART / members.max(1) as f64;
    let hash = rendezvous::stable_hash(&["rests", own.as_str(), upstream.identifier()]);
    let fraction = hash as f64 / u64::MAX as f64;
    share as usize + usize::from(fraction < share.fract())
}
