//! Contact with members: unanswered calls, suspicions, and the part of the fleet in contact.

use std::{net, sync, time};

use crate::{failure_detector, ids, membership, units};

/// Time within which a silent member must be suspected. Members are probed where heartbeats take longer.
const SUSPECT_TIME: time::Duration = time::Duration::from_secs(3);

impl membership::MemberView {
    /// Fraction of the members in contact, 0 to 1. During a network partition this side may use only this fraction of a
    /// shared quota. Members that are leaving by plan are not counted.
    pub fn reachable_share(&self, now: units::MonoTime) -> f64 {
        let limit = self.heartbeat_interval() * membership::SUSPECT_HEARTBEATS;
        let staying = || self.members.values().filter(|member| !member.heartbeat.leaving);
        let is_live = |member: &&membership::MemberState| {
            member.is_live(now, limit) && member.unanswered < membership::MAX_UNANSWERED
        };
        let live = staying().filter(is_live).count();
        (live + 1) as f64 / (staying().count() + 1) as f64
    }

    /// Whether there was a sign of life of a member after `at`; false for an unknown member.
    pub fn was_heard_since(&self, name: &ids::InstanceId, at: units::MonoTime) -> bool {
        self.members.get(name).is_some_and(|member| member.last_alive > at)
    }

    /// Name of the member whose present start has this boot number; `None` once it has restarted or was removed.
    pub fn name_of_boot(&self, boot: u64) -> Option<&ids::InstanceId> {
        self.by_boot.get(&boot)
    }

    /// Records an unanswered call to a member. After `MAX_UNANSWERED` in a row it cannot be a planner until a sign of life.
    pub fn note_unanswered(&mut self, name: &ids::InstanceId) {
        if let Some(member) = self.members.get_mut(name) {
            member.unanswered += 1;
        }
    }

    /// Records a call to a member that was sent at `sent` and has timed out. Calls that were sent before the last time-out
    /// count once together: a member that is late for a moment may leave many calls of that moment unanswered.
    pub fn note_timeout(
        &mut self,
        now: units::MonoTime,
        name: &ids::InstanceId,
        sent: units::MonoTime,
    ) {
        if let Some(member) = self.members.get_mut(name)
            && (member.unanswered == 0 || member.timed_out_at <= sent)
        {
            member.unanswered += 1;
            member.timed_out_at = now;
        }
    }

    /// Records an answered call to a member, which ends any suspicion of it.
    pub fn note_answered(&mut self, now: units::MonoTime, name: &ids::InstanceId) {
        if let Some(member) = self.members.get_mut(name) {
            member.unanswered = 0;
            member.suspected = false;
            member.last_alive = now;
        }
    }

    /// Whether heartbeats alone would show a silent member too late.
    pub fn needs_probes(&self) -> bool {
        self.heartbeat_interval() * membership::SUSPECT_HEARTBEATS > SUSPECT_TIME
    }

    /// The ring of the failure detector: all members but those that are leaving by plan.
    pub fn ring(&self) -> sync::Arc<[failure_detector::RingMember]> {
        let staying = self.members.values().filter(|member| !member.heartbeat.leaving);
        let mut ring: Vec<_> = staying
            .map(|member| failure_detector::RingMember {
                hash: member.hash,
                boot: member.heartbeat.boot,
                address: member.heartbeat.address,
            })
            .collect();
        ring.sort_unstable_by_key(|member| (member.hash, member.boot));
        ring.into()
    }

    /// Marks a member as suspected unless it gave a sign of life within the last `silent`. With `None`, ends the
    /// suspicion, and counts as a sign of life. Returns whether the member is suspected now.
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
        member.suspected = silent.is_some_and(|silent| now.since(member.last_alive) >= silent);
        if silent.is_none() {
            member.last_alive = now;
            member.unanswered = 0;
        }
        member.suspected
    }

    /// Addresses of members with unanswered calls and no sign of life since, to be probed for their return.
    ///
    /// With heartbeats alone, members would notice the end of a partition at different times, and meanwhile two members
    /// would assign requests to the same engines independently.
    pub fn silent(&self) -> Vec<net::SocketAddrV4> {
        let silent =
            self.members.values().filter(|member| member.unanswered >= membership::MAX_UNANSWERED);
        silent.map(|member| member.heartbeat.address).collect()
    }

    /// Whether this process, which started at time 0, and all live members, at least one, are too young to be planners:
    /// the whole fleet is starting, and no member knows more than another.
    pub fn starts_together(&self, now: units::MonoTime) -> bool {
        let age = now.since(units::MonoTime::default());
        let mut members = self.alive(now).peekable();
        !Self::is_old_enough_to_plan(age)
            && members.peek().is_some()
            && members.all(|member| !member.plans)
    }
}
