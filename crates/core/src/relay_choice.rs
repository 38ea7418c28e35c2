//! Choice of the members that relay connections to upstreams which this process does not reach.

use std::{collections, time};

use rand::seq::SliceRandom as _;

use crate::{ids, member_heartbeat, units};

/// Maximum number of members that are asked to relay one connection.
const MAX_RELAYS: usize = 3;
/// Time for which a member that failed to relay is not asked again, if there are others.
const FAILED_TIME: time::Duration = time::Duration::from_secs(2);

/// Chooses relays, and remembers which members failed lately.
///
/// What members reach is not announced: in a large fleet, the announcements of a whole data centre that is cut off
/// would cost more than a few refused requests for a relay.
#[derive(Debug, Default)]
pub struct RelayChoice {
    /// Members that failed, and until when they are avoided.
    failed: collections::HashMap<ids::InstanceId, units::MonoTime>,
}

impl RelayChoice {
    /// Returns the members to ask, in this order: one in the data centre `near`, then one of another, as a whole data
    /// centre may be cut off. Members that failed lately come last.
    pub fn choose<'a>(
        &self,
        now: units::MonoTime,
        members: impl Iterator<Item = &'a member_heartbeat::MemberHeartbeat>,
        near: &ids::DataCenterId,
        random: &mut impl rand::Rng,
    ) -> Vec<&'a member_heartbeat::MemberHeartbeat> {
        let may_relay =
            |member: &&member_heartbeat::MemberHeartbeat| member.routes > 0 && !member.leaving;
        let mut candidates: Vec<_> = members.filter(may_relay).collect();
        candidates.shuffle(random);
        let (near, far): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|member| member.data_center == *near);
        let mut ordered: Vec<_> = near
            .iter()
            .enumerate()
            .map(|(place, member)| (place * 2, *member))
            .chain(far.iter().enumerate().map(|(place, member)| (place * 2 + 1, *member)))
            .collect();
        ordered.sort_by_key(|(place, member)| (self.failed_until(now, &member.name), *place));
        ordered.into_iter().map(|(_, member)| member).take(MAX_RELAYS).collect()
    }

    /// Records that a member did not relay a connection, or that a relayed connection carried nothing.
    pub fn note_failure(&mut self, now: units::MonoTime, member: &ids::InstanceId) {
        self.failed.retain(|_, until| now < *until);
        self.failed.insert(member.clone(), now + FAILED_TIME);
    }

    /// Records that a member relayed a connection.
    pub fn note_success(&mut self, member: &ids::InstanceId) {
        self.failed.remove(member);
    }

    /// Returns until when a member is avoided; `None` if it is not.
    fn failed_until(
        &self,
        now: units::MonoTime,
        member: &ids::InstanceId,
    ) -> Option<units::MonoTime> {
        self.failed.get(member).copied().filter(|until| now < *until)
    }
}
