//! Detection of members that do not answer, in a time and at a cost that do not grow with the fleet.
//!
//! Members stand on a ring in the order of their hashes. Each probes the next [`MONITORED`] live members behind
//! it, so each is probed by as many. One that leaves a direct probe unanswered is probed again, also through
//! others; if it stays silent it is suspected, and its monitor announces that to all, more than once as datagrams
//! are lost. A suspicion is a belief: it ends with the first sign of life.

use std::{collections, net, sync, time};

use rand::{RngExt as _, seq::IteratorRandom as _};
use serde::{Deserialize, Serialize};

use crate::units;

/// Live members that each member probes.
pub const MONITORED: usize = 3;
/// Members that each probes beyond these where many are suspected, at most.
const MAX_MORE: usize = 16;
/// Time between two probes of one member.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(600);
/// Time for the answer to a direct probe, before others are asked to probe.
const DIRECT_TIME: time::Duration = time::Duration::from_millis(250);
/// Time for an answer by way of others.
const RELAYED_TIME: time::Duration = time::Duration::from_millis(400);
/// Time between two looks beyond which this process itself was paused.
const PAUSE_TIME: time::Duration = time::Duration::from_millis(400);
/// Members asked to probe a silent one.
const RELAYS: usize = 3;
/// Added to the time until a suspicion is announced for each monitor nearer to the member: mostly one of them
/// announces, and the others learn of it.
const ANNOUNCE_STEP: time::Duration = time::Duration::from_millis(150);
/// How often each finding is announced.
const ANNOUNCEMENTS: u32 = 3;
/// Time between two announcements of one finding.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// For how long a sign of life is remembered that ended a suspicion.
const RESTORED_TIME: time::Duration = time::Duration::from_secs(30);
/// Probes made for others that are remembered.
const MAX_RELAYED: usize = 256;

/// A member as the detector sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RingMember {
    /// Its place on the ring.
    pub hash: u64,
    /// This start of it.
    pub boot: u64,
    /// Where it takes probes.
    pub address: net::SocketAddrV4,
}

/// That a start of a member is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The start.
    pub boot: u64,
    /// How long ago the first probe was sent that it has not answered, milliseconds.
    pub silent_ms: u32,
}

/// What members send each other to find out who answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeMessage {
    /// Asks for an [`Ack`](Self::Ack) with this number.
    Ping(u64),
    /// Answers the probe of this number.
    Ack(u64),
    /// Asks to probe this address, and for an [`AckFor`](Self::AckFor) if it answers.
    PingFor(net::SocketAddrV4),
    /// This address has answered a probe.
    AckFor(net::SocketAddrV4),
}

/// What follows from time or a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DetectorAction {
    /// Send a message.
    Send(net::SocketAddrV4, ProbeMessage),
    /// Announce to all that a member is suspected.
    Suspect(SuspectReport),
    /// Announce to all that a suspected member answers again.
    Restore(u64),
}

/// The probe of one member.
#[derive(Debug)]
struct MemberProbe {
    member: RingMember,
    /// Monitors of the same member that are nearer to it on the ring.
    rank: u32,
    /// When it last answered.
    answered: Option<units::MonoTime>,
    /// When the next probe is due.
    due: units::MonoTime,
    /// When the direct probe that is open went out; none while nothing is open.
    asked: Option<units::MonoTime>,
    /// When others were asked to probe it.
    relayed: Option<units::MonoTime>,
}

/// A finding that is announced again.
#[derive(Debug, Clone, Copy)]
struct Announcement {
    /// When it is due again.
    due: units::MonoTime,
    /// Announcements left.
    left: u32,
    finding: Finding,
}

/// What is announced.
#[derive(Debug, Clone, Copy)]
enum Finding {
    /// That a start is silent since its first open probe, sent at this time.
    Silent(u64, units::MonoTime),
    /// That a start answers again.
    Answers(u64),
}

/// One member's part in the detection.
#[derive(Debug)]
pub struct FailureDetector {
    own: u64,
    /// The other members in the order of the ring.
    ring: sync::Arc<[RingMember]>,
    probes: Vec<MemberProbe>,
    /// Their starts.
    boots: collections::HashSet<u64>,
    /// Suspected starts.
    suspected: collections::BTreeSet<u64>,
    /// Starts that were suspected until a sign of life lately: suspicions of before may still travel.
    restored: collections::BTreeMap<u64, units::MonoTime>,
    /// Findings that are announced again.
    announced: Vec<Announcement>,
    /// When [`Self::tick`] was last called.
    ticked: Option<units::MonoTime>,
    /// Number of the last probe.
    number: u64,
    /// Who asked for the probes that are made for others, by number.
    relays: collections::BTreeMap<u64, net::SocketAddrV4>,
}

impl FailureDetector {
    /// Of the member with this hash, which knows of no other.
    pub fn new(own: u64) -> Self {
        Self {
            own,
            ring: sync::Arc::new([]),
            probes: Vec::new(),
            boots: collections::HashSet::new(),
            suspected: collections::BTreeSet::new(),
            announced: Vec::new(),
            restored: collections::BTreeMap::new(),
            ticked: None,
            number: 0,
            relays: collections::BTreeMap::new(),
        }
    }

    /// Sets the other members, sorted by hash.
    pub fn set_members(&mut self, now: units::MonoTime, ring: sync::Arc<[RingMember]>) {
        if self.ring == ring {
            return;
        }
        self.ring = ring;
        self.boots = self.ring.iter().map(|member| member.boot).collect();
        self.suspected.retain(|boot| self.boots.contains(boot));
        self.choose_probes(now);
    }

    /// Whether a start is suspected.
    pub fn is_suspected(&self, boot: u64) -> bool {
        self.suspected.contains(&boot)
    }

    /// Number of suspected members.
    pub fn suspected_count(&self) -> usize {
        self.suspected.len()
    }

    /// Sends probes that are due and draws conclusions from those that stay unanswered.
    pub fn tick(
        &mut self,
        now: units::MonoTime,
        random: &mut impl rand::Rng,
    ) -> Vec<DetectorAction> {
        let paused = self.ticked.is_some_and(|last| now.since(last) >= PAUSE_TIME);
        self.ticked = Some(now);
        if paused {
            // Answers may have come and not been read yet.
            self.probes.iter_mut().for_each(|probe| (probe.asked, probe.relayed) = (None, None));
        }
        let mut actions = self.repeat_findings(now);
        let mut silent = Vec::new();
        for probe in &mut self.probes {
            let known = self.suspected.contains(&probe.member.boot);
            if probe.is_silent(now) && !known {
                silent.push((probe.member.boot, probe.asked.unwrap_or(now)));
            } else if probe.wants_relays(now) && !known {
                probe.relayed = Some(now);
                self.number += 1;
                let ping = ProbeMessage::Ping(self.number);
                actions.push(DetectorAction::Send(probe.member.address, ping));
                let others = self.ring.iter().filter(|other| other.boot != probe.member.boot);
                let live = others.filter(|other| !self.suspected.contains(&other.boot));
                for relay in live.sample(random, RELAYS) {
                    let message = ProbeMessage::PingFor(probe.member.address);
                    actions.push(DetectorAction::Send(relay.address, message));
                }
            }
            if now >= probe.due {
                probe.due = now + PROBE_INTERVAL.mul_f64(random.random_range(0.9..1.1));
                probe.asked = probe.asked.or(Some(now));
                self.number += 1;
                let ping = ProbeMessage::Ping(self.number);
                actions.push(DetectorAction::Send(probe.member.address, ping));
            }
        }
        for (boot, since) in silent {
            let report = report(now, boot, since);
            if self.suspect(now, report) {
                self.announce(now, Finding::Silent(boot, since));
                actions.push(DetectorAction::Suspect(report));
            }
        }
        actions
    }

    /// Takes in a message of another member.
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
            ProbeMessage::Ack(number) => self.receive_ack(now, from, number),
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

    /// Takes in that another member suspects one; whether that is news here. Monitors that know better say so.
    pub fn receive_suspect(
        &mut self,
        now: units::MonoTime,
        report: SuspectReport,
    ) -> (bool, Vec<DetectorAction>) {
        let boot = report.boot;
        let pending = self.announced.iter().any(
            |announcement| matches!(announcement.finding, Finding::Answers(known) if known == boot),
        );
        if self.has_answered(now, report) && !pending {
            self.announce(now, Finding::Answers(boot));
            return (false, vec![DetectorAction::Restore(boot)]);
        }
        (self.suspect(now, report), Vec::new())
    }

    /// Whether this member probes the suspected one, and has an answer of since.
    fn has_answered(&self, now: units::MonoTime, report: SuspectReport) -> bool {
        let heard = silent_since(now, report);
        let probe = self.probes.iter().find(|probe| probe.member.boot == report.boot);
        probe.and_then(|probe| probe.answered).is_some_and(|answered| answered > heard)
    }

    /// Takes in that a member is suspected; whether that is news.
    fn suspect(&mut self, now: units::MonoTime, report: SuspectReport) -> bool {
        let boot = report.boot;
        let since = silent_since(now, report);
        let restored = self.restored.get(&boot).is_some_and(|at| *at > since);
        let known = self.suspected.contains(&boot) || !self.boots.contains(&boot);
        if known || restored || self.has_answered(now, report) {
            return false;
        }
        self.suspected.insert(boot);
        self.choose_probes(now);
        true
    }

    /// Takes in a sign of life of a member; whether it was suspected.
    pub fn restore(&mut self, now: units::MonoTime, boot: u64) -> bool {
        if !self.suspected.remove(&boot) {
            return false;
        }
        self.restored.retain(|_, at| now.since(*at) < RESTORED_TIME);
        self.restored.insert(boot, now);
        let mut probes = self.probes.iter_mut().filter(|probe| probe.member.boot == boot);
        probes.by_ref().for_each(|probe| (probe.asked, probe.relayed) = (None, None));
        self.choose_probes(now);
        true
    }

    fn receive_ack(
        &mut self,
        now: units::MonoTime,
        from: net::SocketAddrV4,
        number: u64,
    ) -> Vec<DetectorAction> {
        if let Some(asker) = self.relays.remove(&number) {
            return vec![DetectorAction::Send(asker, ProbeMessage::AckFor(from))];
        }
        self.note_answer(now, from)
    }

    fn note_answer(
        &mut self,
        now: units::MonoTime,
        from: net::SocketAddrV4,
    ) -> Vec<DetectorAction> {
        let Some(probe) = self.probes.iter_mut().find(|probe| probe.member.address == from) else {
            return Vec::new();
        };
        probe.answered = Some(now);
        (probe.asked, probe.relayed) = (None, None);
        let boot = probe.member.boot;
        if !self.restore(now, boot) {
            return Vec::new();
        }
        self.announce(now, Finding::Answers(boot));
        vec![DetectorAction::Restore(boot)]
    }

    fn announce(&mut self, now: units::MonoTime, finding: Finding) {
        let due = now + ANNOUNCE_INTERVAL;
        self.announced.push(Announcement { due, left: ANNOUNCEMENTS - 1, finding });
    }

    /// Announces findings again that are due and still hold.
    fn repeat_findings(&mut self, now: units::MonoTime) -> Vec<DetectorAction> {
        let mut actions = Vec::new();
        let suspected = &self.suspected;
        self.announced.retain_mut(|announcement| {
            let holds = match announcement.finding {
                Finding::Silent(boot, _) => suspected.contains(&boot),
                Finding::Answers(boot) => !suspected.contains(&boot),
            };
            if holds && now >= announcement.due {
                actions.push(match announcement.finding {
                    Finding::Silent(boot, since) => {
                        DetectorAction::Suspect(report(now, boot, since))
                    }
                    Finding::Answers(boot) => DetectorAction::Restore(boot),
                });
                announcement.left -= 1;
                announcement.due = now + ANNOUNCE_INTERVAL;
            }
            holds && announcement.left > 0
        });
        actions
    }

    /// Chooses whom to probe: all on the ring from here up to the last of so many live ones, and one more for each
    /// suspected one among them, as many fall silent together. Suspected ones are probed as well, for the sign of
    /// life that ends the suspicion.
    fn choose_probes(&mut self, now: units::MonoTime) {
        let start = self.ring.partition_point(|member| member.hash <= self.own);
        let mut before = std::mem::take(&mut self.probes);
        let (mut live, mut suspected) = (0, 0);
        for member in self.ring.iter().cycle().skip(start).take(self.ring.len()) {
            if live >= MONITORED + suspected.min(MAX_MORE) {
                break;
            }
            let rank = live.min(MONITORED - 1) as u32;
            let is_suspected = self.suspected.contains(&member.boot);
            live += usize::from(!is_suspected);
            suspected += usize::from(is_suspected);
            let known = before.iter().position(|probe| probe.member == *member);
            let probe = known
                .map_or_else(|| MemberProbe::new(*member, now), |known| before.swap_remove(known));
            self.probes.push(MemberProbe { rank, ..probe });
        }
        // Members that are live again in between must not end the probes of those that are not.
        let suspected = &self.suspected;
        before.retain(|probe| suspected.contains(&probe.member.boot));
        self.probes.append(&mut before);
    }
}

impl MemberProbe {
    fn new(member: RingMember, now: units::MonoTime) -> Self {
        Self { member, rank: 0, answered: None, due: now, asked: None, relayed: None }
    }

    /// Whether a direct probe has gone unanswered, and others are to be asked.
    fn wants_relays(&self, now: units::MonoTime) -> bool {
        self.relayed.is_none() && self.asked.is_some_and(|asked| now.since(asked) >= DIRECT_TIME)
    }

    /// Whether it has answered nobody, and its nearer monitors have had the time to say so.
    fn is_silent(&self, now: units::MonoTime) -> bool {
        let patience = RELAYED_TIME + ANNOUNCE_STEP * self.rank;
        self.relayed.is_some_and(|relayed| now.since(relayed) >= patience)
    }
}

fn silent_since(now: units::MonoTime, report: SuspectReport) -> units::MonoTime {
    now.earlier_by(time::Duration::from_millis(u64::from(report.silent_ms)))
}

/// That a start has not answered since its first open probe: what others heard of it before does not speak against
/// its end.
fn report(now: units::MonoTime, boot: u64, since: units::MonoTime) -> SuspectReport {
    let silent_ms = u32::try_from(now.since(since).as_millis()).unwrap_or(u32::MAX);
    SuspectReport { boot, silent_ms }
}
