//! Whom this process reaches and hears: calls that stay unanswered, and its part of the members.

use std::net;

use crate::{ids, membership, units};

impl membership::MemberView {
    /// Part of the members that this process hears: what each side of a cut may use of what all share.
    ///
    /// Members that have said that they leave are in neither count: they are missed by plan.
    pub fn seen_part(&self, now: units::MonoTime) -> f64 {
        let limit = self.beat_interval() * membership::SUSPECT_BEATS;
        let staying = || self.members.values().filter(|member| !member.beat.leaving);
        let is_heard = |member: &&membership::MemberState| {
            now.since(member.heard) <= limit && member.unanswered < membership::MAX_UNANSWERED
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
        let mut members = self.members.iter();
        members.find(|(_, member)| member.beat.boot == boot).map(|(name, _)| name)
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
            member.heard = now;
        }
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
