//! Whom this process reaches and hears: calls that stay unanswered, and its part of the members.

use std::{net, sync, time};

use crate::{failure_detector, ids, membership, units};

/// Time within which a silent member must be known as that. Where heartbeats take longer to show it, members are
/// probed.
const SUSPECT_TIME: time::Duration = time::Duration::from_secs(3);

impl membership::MemberView {
    /// Part of the members that this process hears: what each side of a cut may use of what all share.
    ///
    /// Members that have said that they leave are in neither count: they are missed by plan.
    pub fn seen_part(&self, now: units::MonoTime) -> f64 {
        let limit = self.beat_interval() * membership::SUSPECT_BEATS;
        let staying = || self.members.values().filter(|member| !member.beat.leaving);
        let is_heard = |member: &&membership::MemberState| {
            member.is_heard(now, limit) && member.unanswered < membership::MAX_UNANSWERED
        };
        let heard = staying().filter(is_heard).count();
        (heard + 1) as f64 / (staying().count() + 1) as f64
    }

    /// Whether a member has been heard behind a moment.
    pub fn heard_since(&self, name: &ids::InstanceId, at: units::MonoTime) -> bool {
        self.members.get(name).is_some_and(|member| member.heard > at)
    }

    /// The member whose start this is.
    pub fn name_of_boot(&self, boot: u64) -> Option<&ids::InstanceId> {
        self.by_boot.get(&boot)
    }

    /// Notes that a member left a call unanswered.
    pub fn unanswered(&mut self, name: &ids::InstanceId) {
        if let Some(member) = self.members.get_mut(name) {
            member.unanswered += 1;
        }
    }

    /// Notes that a member answered a call.
    pub fn answered(&mut self, now: units::MonoTime, name: &ids::InstanceId) {
        if let Some(member) = self.members.get_mut(name) {
            member.unanswered = 0;
            member.suspected = false;
            member.heard = now;
        }
    }

    /// Whether there are so many members that heartbeats alone would show a silent one too late.
    pub fn needs_probes(&self) -> bool {
        self.beat_interval() * membership::SUSPECT_BEATS > SUSPECT_TIME
    }

    /// The other members as the failure detector sees them, but for those that leave by plan.
    pub fn ring(&self) -> sync::Arc<[failure_detector::RingMember]> {
        let staying = self.members.values().filter(|member| !member.beat.leaving);
        let mut ring: Vec<_> = staying
            .map(|member| failure_detector::RingMember {
                hash: member.hash,
                boot: member.beat.boot,
                address: member.beat.address,
            })
            .collect();
        ring.sort_unstable_by_key(|member| (member.hash, member.boot));
        ring.into()
    }

    /// Takes in whether a start of a member is suspected; one that was heard within `silent` is not. Returns
    /// whether that holds now.
    pub fn set_suspected(
        &mut self,
        now: units::MonoTime,
        boot: u64,
        silent: Option<time::Duration>,
    ) -> bool {
        let name = self.by_boot.get(&boot);
        let Some(member) = name.and_then(|name| self.members.get_mut(name)) else {
            return false;
        };
        member.suspected = silent.is_some_and(|silent| now.since(member.heard) >= silent);
        if silent.is_none() {
            member.heard = now;
            member.unanswered = 0;
        }
        member.suspected
    }

    /// Members that left calls unanswered and have not been heard since: they should be asked again and
    /// again whether they are back.
    ///
    /// By heartbeats alone, seconds apart in a large fleet, each learns at another moment that a cut has healed,
    /// and two members plan for the same engines meanwhile: one takes engines for idle that the other has filled.
    pub fn silent(&self) -> Vec<net::SocketAddrV4> {
        let silent =
            self.members.values().filter(|member| member.unanswered >= membership::MAX_UNANSWERED);
        silent.map(|member| member.beat.address).collect()
    }
}
