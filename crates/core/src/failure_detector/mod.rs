//! Failure detection whose delay and cost per member do not grow with the fleet.
//!
//! Members form a ring by hash, and each monitors the next [`MONITORED`] live members on it. A member that misses a
//! direct probe is probed again, also through relays. If it stays silent it is suspected, and its monitor broadcasts
//! that more than once, as datagrams are lost. Any sign of life ends a suspicion.
//!
//! A start of a member is one run of its process, identified by a boot number; a suspicion concerns one start.

mod message;
mod probe;

use std::{collections, net, sync, time};

use rand::{RngExt as _, seq::IteratorRandom as _};

pub use self::message::{DetectorAction, ProbeMessage, SuspectReport};
use crate::units;

/// Number of live members that each member monitors.
pub const MONITORED: usize = 3;
/// Most further members that each member monitors if neighbours on the ring are suspected.
const MAX_EXTRA_MONITORED: usize = 16;
/// Interval between two probes of one member.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(600);
/// Interval between two calls of [`FailureDetector::tick`] from which this process itself is considered paused.
const PAUSE_TIME: time::Duration = time::Duration::from_millis(400);
/// Number of other members that are asked to probe a silent one.
const RELAYS: usize = 3;
/// Number of broadcasts of each finding (that a member is silent, or that it answers again).
const BROADCASTS: u32 = 3;
/// Interval between two broadcasts of a finding (that a member is silent, or that it answers again).
const BROADCAST_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// How long the end of a suspicion is remembered, so that reports of the ended suspicion that arrive later are ignored.
const RESTORED_TIME: time::Duration = time::Duration::from_secs(30);
/// Most pending probes on behalf of other members; beyond that the oldest are forgotten.
const MAX_RELAYED: usize = 256;

/// Another member with its position on the ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RingMember {
    /// Position on the ring: the hash of the member's name.
    pub hash: u64,
    /// Boot number of the member's present start.
    pub boot: u64,
    /// Address for probes.
    pub address: net::SocketAddrV4,
}

/// A finding of this member about a start of another one, to be broadcast.
#[derive(Debug, Clone, Copy)]
enum Finding {
    /// A start has been silent since its first unanswered probe, sent at this time.
    Silent(u64, units::MonoTime),
    /// The start with this boot number answers again.
    Answers(u64),
}

/// A finding with its remaining broadcasts.
#[derive(Debug, Clone, Copy)]
struct PendingBroadcast {
    /// Time of the finding's next broadcast.
    due: units::MonoTime,
    /// Number of remaining broadcasts of the finding.
    left: u32,
    finding: Finding,
}

/// State of the failure detector of one member: the members that it monitors and those that are suspected.
#[derive(Debug)]
pub struct FailureDetector {
    /// Position of this member on the ring.
    own_hash: u64,
    /// The other members, sorted by position.
    ring: sync::Arc<[RingMember]>,
    /// Boot numbers of the members on the ring.
    boots: collections::HashSet<u64>,
    /// Probes of the monitored members.
    probes: Vec<probe::MemberProbe>,
    /// Boot numbers of the suspected members.
    suspected: collections::BTreeSet<u64>,
    /// Boot numbers of members whose suspicion ended recently, and when it did.
    restored: collections::BTreeMap<u64, units::MonoTime>,
    broadcasts: Vec<PendingBroadcast>,
    /// When [`Self::tick`] was last called.
    last_tick: Option<units::MonoTime>,
    /// Number of the last ping sent. An answer repeats the number of its ping, which shows whether the ping was relayed
    /// for another member.
    number: u64,
    /// Addresses of the members that requested a relayed ping, by the number of that ping.
    relays: collections::BTreeMap<u64, net::SocketAddrV4>,
}

impl FailureDetector {
    /// The detector of a member at the position `own_hash`, with an empty ring.
    pub fn new(own_hash: u64) -> Self {
        Self {
            own_hash,
            ring: sync::Arc::new([]),
            boots: collections::HashSet::new(),
            probes: Vec::new(),
            suspected: collections::BTreeSet::new(),
            restored: collections::BTreeMap::new(),
            broadcasts: Vec::new(),
            last_tick: None,
            number: 0,
            relays: collections::BTreeMap::new(),
        }
    }

    /// Replaces the other members, sorted by position. Suspicions of starts that are no longer among them are dropped.
    pub fn set_members(&mut self, now: units::MonoTime, ring: sync::Arc<[RingMember]>) {
        if self.ring == ring {
            return;
        }
        self.ring = ring;
        self.boots = self.ring.iter().map(|member| member.boot).collect();
        self.suspected.retain(|boot| self.boots.contains(boot));
        self.choose_probes(now);
    }

    /// Whether the start with this boot number is suspected.
    pub fn is_suspected(&self, boot: u64) -> bool {
        self.suspected.contains(&boot)
    }

    /// Number of members on the ring that are suspected now.
    pub fn suspected_count(&self) -> usize {
        self.suspected.len()
    }

    /// Evaluates unanswered probes, and returns the probes and broadcasts that are due.
    pub fn tick(
        &mut self,
        now: units::MonoTime,
        random: &mut impl rand::Rng,
    ) -> Vec<DetectorAction> {
        let paused = self.last_tick.is_some_and(|last| now.since(last) >= PAUSE_TIME);
        self.last_tick = Some(now);
        if paused {
            // Answers may have arrived during the pause and not be read yet.
            self.probes.iter_mut().for_each(probe::MemberProbe::reset);
        }
        let mut actions = self.repeat_broadcasts(now);
        let mut silent = Vec::new();
        for probe in &mut self.probes {
            let member = probe.member;
            let is_suspected = self.suspected.contains(&member.boot);
            if probe.is_silent(now) && !is_suspected {
                silent.push((member.boot, probe.unanswered_since.unwrap_or(now)));
            } else if probe.needs_relays(now) && !is_suspected {
                probe.relayed = Some(now);
                self.number += 1;
                actions.push(DetectorAction::Send(member.address, ProbeMessage::Ping(self.number)));
                let others = self.ring.iter().filter(|other| other.boot != member.boot);
                let live = others.filter(|other| !self.suspected.contains(&other.boot));
                actions.extend(live.sample(random, RELAYS).into_iter().map(|relay| {
                    DetectorAction::Send(relay.address, ProbeMessage::PingFor(member.address))
                }));
            }
            if now >= probe.due {
                probe.due = now + PROBE_INTERVAL.mul_f64(random.random_range(0.9..1.1));
                probe.unanswered_since = probe.unanswered_since.or(Some(now));
                self.number += 1;
                actions.push(DetectorAction::Send(member.address, ProbeMessage::Ping(self.number)));
            }
        }
        for (boot, since) in silent {
            let report = SuspectReport::new(now, boot, since);
            if self.suspect(now, report) {
                self.broadcast(now, Finding::Silent(boot, since));
                actions.push(DetectorAction::Suspect(report));
            }
        }
        actions
    }

    /// Handles a message from the member at `from`; returns the replies. If the message shows that a suspected member
    /// answers again, the end of the suspicion is returned as well.
    pub fn receive(
        &mut self,
        now: units::MonoTime,
        from: net::SocketAddrV4,
        message: ProbeMessage,
    ) -> Vec<DetectorAction> {
        match message {
            ProbeMessage::Ping(number) => {
                vec![DetectorAction::Send(from, ProbeMessage::Ack(number))]
            }
            ProbeMessage::Ack(number) => match self.relays.remove(&number) {
                Some(requester) => {
                    vec![DetectorAction::Send(requester, ProbeMessage::AckFor(from))]
                }
                None => self.note_answer(now, from),
            },
            ProbeMessage::AckFor(target) => self.note_answer(now, target),
            ProbeMessage::PingFor(target) => {
                self.number += 1;
                self.relays.insert(self.number, from);
                while self.relays.len() > MAX_RELAYED {
                    self.relays.pop_first();
                }
                vec![DetectorAction::Send(target, ProbeMessage::Ping(self.number))]
            }
        }
    }

    /// Handles a suspicion that another member broadcast; returns whether the suspicion is new to this detector. If
    /// this member monitors the suspected one and got an answer after the first unanswered probe of the report, it
    /// refutes the suspicion with a broadcast.
    pub fn receive_suspect(
        &mut self,
        now: units::MonoTime,
        report: SuspectReport,
    ) -> (bool, Vec<DetectorAction>) {
        let boot = report.boot;
        let is_pending = self
            .broadcasts
            .iter()
            .any(|broadcast| matches!(broadcast.finding, Finding::Answers(known) if known == boot));
        if self.has_answered(now, report) && !is_pending {
            self.broadcast(now, Finding::Answers(boot));
            return (false, vec![DetectorAction::Restore(boot)]);
        }
        (self.suspect(now, report), Vec::new())
    }

    /// Ends the suspicion of a start after a sign of life; returns whether it was suspected.
    pub fn restore(&mut self, now: units::MonoTime, boot: u64) -> bool {
        if !self.suspected.remove(&boot) {
            return false;
        }
        self.restored.retain(|_, at| now.since(*at) < RESTORED_TIME);
        self.restored.insert(boot, now);
        let probes = self.probes.iter_mut().filter(|probe| probe.member.boot == boot);
        probes.for_each(probe::MemberProbe::reset);
        self.choose_probes(now);
        true
    }

    /// Whether this member monitors the suspected one, and has an answer from after the first unanswered probe.
    fn has_answered(&self, now: units::MonoTime, report: SuspectReport) -> bool {
        let probe = self.probes.iter().find(|probe| probe.member.boot == report.boot);
        let answered = probe.and_then(|probe| probe.answered);
        answered.is_some_and(|answered| answered > report.since(now))
    }

    /// Suspects a start unless it is unknown, or has given a sign of life since; returns whether the suspicion is new.
    fn suspect(&mut self, now: units::MonoTime, report: SuspectReport) -> bool {
        let boot = report.boot;
        let is_known = self.suspected.contains(&boot) || !self.boots.contains(&boot);
        let is_restored = self.restored.get(&boot).is_some_and(|at| *at > report.since(now));
        if is_known || is_restored || self.has_answered(now, report) {
            return false;
        }
        self.suspected.insert(boot);
        self.choose_probes(now);
        true
    }

    /// Records an answer to a probe of the member at `from`. If that member was suspected, the suspicion ends, and its
    /// end is broadcast.
    fn note_answer(
        &mut self,
        now: units::MonoTime,
        from: net::SocketAddrV4,
    ) -> Vec<DetectorAction> {
        let Some(probe) = self.probes.iter_mut().find(|probe| probe.member.address == from) else {
            return Vec::new();
        };
        probe.note_answer(now);
        let boot = probe.member.boot;
        if !self.restore(now, boot) {
            return Vec::new();
        }
        self.broadcast(now, Finding::Answers(boot));
        vec![DetectorAction::Restore(boot)]
    }

    /// Schedules the repeated broadcasts of a finding.
    fn broadcast(&mut self, now: units::MonoTime, finding: Finding) {
        let due = now + BROADCAST_INTERVAL;
        self.broadcasts.push(PendingBroadcast { due, left: BROADCASTS - 1, finding });
    }

    /// Repeats due broadcasts of findings that still hold.
    fn repeat_broadcasts(&mut self, now: units::MonoTime) -> Vec<DetectorAction> {
        let mut actions = Vec::new();
        let suspected = &self.suspected;
        self.broadcasts.retain_mut(|broadcast| {
            let holds = match broadcast.finding {
                Finding::Silent(boot, _) => suspected.contains(&boot),
                Finding::Answers(boot) => !suspected.contains(&boot),
            };
            if holds && now >= broadcast.due {
                actions.push(match broadcast.finding {
                    Finding::Silent(boot, since) => {
                        DetectorAction::Suspect(SuspectReport::new(now, boot, since))
                    }
                    Finding::Answers(boot) => DetectorAction::Restore(boot),
                });
                broadcast.left -= 1;
                broadcast.due = now + BROADCAST_INTERVAL;
            }
            holds && broadcast.left > 0
        });
        actions
    }

    /// Chooses the members to monitor: the next [`MONITORED`] live members on the ring, and the suspected ones between
    /// them. Each suspected member adds one live member, up to [`MAX_EXTRA_MONITORED`], as neighbours may fail
    /// together, and stays monitored until it answers.
    fn choose_probes(&mut self, now: units::MonoTime) {
        let start = self.ring.partition_point(|member| member.hash <= self.own_hash);
        let mut before = std::mem::take(&mut self.probes);
        let (mut live, mut suspected) = (0, 0);
        for member in self.ring.iter().cycle().skip(start).take(self.ring.len()) {
            if live >= MONITORED + suspected.min(MAX_EXTRA_MONITORED) {
                break;
            }
            let rank = live.min(MONITORED - 1) as u32;
            let is_suspected = self.suspected.contains(&member.boot);
            live += usize::from(!is_suspected);
            suspected += usize::from(is_suspected);
            let known = before.iter().position(|probe| probe.member == *member);
            let probe = known.map_or_else(
                || probe::MemberProbe::new(*member, now),
                |known| before.swap_remove(known),
            );
            self.probes.push(probe::MemberProbe { rank, ..probe });
        }
        let suspected = &self.suspected;
        before.retain(|probe| suspected.contains(&probe.member.boot));
        self.probes.append(&mut before);
    }
}
