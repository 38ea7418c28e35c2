//! Detection of requests that crash the upstreams that run them.
//!
//! A crash breaks all requests in progress, and at most one of them is the cause. Four rules identify it without running
//! any request in isolation:
//!
//! - *Sequence.* A crash counts only if its run (the attempt that the crash ended) began after the previous counted
//!   crash, and if it happened some time after that. A rack failure that ends many copies of a request counts once, and
//!   so do the second attempts that it ends on the upstreams which fail last.
//! - *Answer.* A completed answer clears a request of all earlier crashes.
//! - *Rate.* A request that was answered regularly before needs more crashes in sequence, unless the lack of answers
//!   between them is significant at its rate: upstreams that lose power one after the other may by chance end the
//!   attempts of one call.
//! - *Known cause.* A request is not the cause if a quarantined request shares all its crashes and has more.
//!
//! Only evidence is stored. Quarantines are derived from it alone, so members with the same evidence agree regardless of
//! the order in which it arrived.

use std::{collections, ops, time};

use crate::{answered_requests, ids, request_digest, units};

/// Crashes in sequence after which a request is quarantined. Among many unrelated crashes, two may by chance end runs
/// of the same harmless request in sequence.
const SEQUENCE: usize = 3;
/// Crashes in sequence after which a request is quarantined that was answered before, if the lack of answers since is not
/// significant.
const ANSWERED_SEQUENCE: usize = 6;
/// Crashes in sequence from which members are asked whether they have answered the request.
const SUSPECT_SEQUENCE: usize = 2;
/// Answers a second from which a request counts as answered before.
const MIN_RATE: f64 = 0.15;
/// Expected number of answers from which their lack is significant.
const SIGNIFICANT_ANSWERS: f64 = 4.0;
/// Most requests about which members are asked at once.
pub const MAX_SUSPECTS: usize = 48;
/// Time between two crashes from which both count. Upstreams that fail together crash within a shorter time, and a
/// second attempt begins and ends in it.
pub(crate) const MOMENT_GAP: time::Duration = time::Duration::from_millis(50);
/// Divisor of a run's length that gives the tolerated overlap: how long before the previous counted crash the run may
/// have begun. A second attempt starts right after the first one breaks, and members exchange the times as ages, which
/// are off by the delay of a message.
const OVERLAP_DIVISOR: u32 = 4;
/// Longest tolerated overlap of a run with the previous crash.
const MAX_OVERLAP: time::Duration = time::Duration::from_millis(25);
/// Length of a quarantine, counted from the last crash. Far longer than callers retry by themselves.
const QUARANTINE_TIME: time::Duration = time::Duration::from_secs(300);
/// Most doublings of [`QUARANTINE_TIME`], one for each further crash in the sequence.
const MAX_DOUBLINGS: u32 = 4;
/// How long evidence is kept after the last crash, the last answer or the end of the quarantine, whichever is latest.
const EVIDENCE_TTL: time::Duration = time::Duration::from_secs(600);
/// Most crashes kept for a request; about 60 bytes each.
const MAX_CRASHES: usize = 16;
/// Most requests with evidence; about 150 KB with three crashes each.
const MAX_REQUESTS: usize = 512;

/// A point in time on this process's monotonic clock, in microseconds since its start; negative before it. Members report
/// crashes that a restarted process has not seen, and the time between those decides whether they count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashTime(i64);

impl CrashTime {
    /// The point in time `age_us` microseconds before `now`.
    pub fn before(now: units::MonoTime, age_us: u64) -> Self {
        Self(Self::from(now).0.saturating_sub(i64::try_from(age_us).unwrap_or(i64::MAX)))
    }

    /// The time since this point, or zero if it is later than `now`.
    pub fn age(self, now: units::MonoTime) -> time::Duration {
        Self::from(now).since(self)
    }

    /// The time since `earlier`, or zero if `earlier` is later than this point.
    fn since(self, earlier: Self) -> time::Duration {
        let micros = self.0.saturating_sub(earlier.0);
        time::Duration::from_micros(u64::try_from(micros).unwrap_or_default())
    }

    /// This point in time, or the start of the process if that is later.
    pub fn since_start(self) -> units::MonoTime {
        units::MonoTime(u64::try_from(self.0).unwrap_or_default())
    }
}

impl From<units::MonoTime> for CrashTime {
    fn from(time: units::MonoTime) -> Self {
        Self(i64::try_from(time.0).unwrap_or(i64::MAX))
    }
}

impl ops::Add<time::Duration> for CrashTime {
    type Output = Self;

    fn add(self, span: time::Duration) -> Self {
        Self(self.0.saturating_add(i64::try_from(span.as_micros()).unwrap_or(i64::MAX)))
    }
}

/// A run that ended with a crash of its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// Digest of the request.
    pub digest: request_digest::RequestDigest,
    /// The start (one life of its process) of the upstream that crashed.
    pub upstream: ids::UpstreamId,
    /// When the request was sent to the upstream.
    pub sent: CrashTime,
    /// When the connection broke; not before `sent`.
    pub ended: CrashTime,
}

impl CrashedRun {
    /// Merges two reports of one run. The earlier times are kept, as a delayed message makes times appear later than
    /// they are.
    fn merge(self, other: Self) -> Self {
        let (sent, ended) = (self.sent.min(other.sent), self.ended.min(other.ended));
        Self { sent, ended, ..self }
    }

    /// How long before the previous counted crash the run may have begun and still count.
    fn slack(&self) -> time::Duration {
        (self.ended.since(self.sent) / OVERLAP_DIVISOR).min(MAX_OVERLAP)
    }
}

/// How crashes are counted. Modes other than the default are baselines for tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CrashCountMode {
    /// By the sequence, answer, rate and known-cause rules of this module.
    #[default]
    Sequence,
    /// Every crash counts, also simultaneous ones, and answers clear nothing.
    Count,
}

/// A quarantine and its evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineVerdict {
    /// Upstreams that crashed, oldest crash first.
    pub upstreams: Vec<ids::UpstreamId>,
    /// End of the quarantine, counted from the last crash.
    pub until: units::MonoTime,
}

impl QuarantineVerdict {
    /// Names of the upstreams that crashed, separated by spaces.
    pub fn names(&self) -> String {
        let names: Vec<_> = self.upstreams.iter().map(ToString::to_string).collect();
        names.join(" ")
    }
}

/// Evidence against one request.
#[derive(Debug, Default)]
struct SuspectRecord {
    /// Crashes that ended runs of the request, ordered by [`CrashedRun::ended`]; each upstream occurs once.
    crashes: Vec<CrashedRun>,
    /// Time of the last completed answer or release by an operator; crashes up to then are not in `crashes`.
    answered: Option<units::MonoTime>,
    /// End of the quarantine; `None` if the request is only suspected.
    quarantined_until: Option<units::MonoTime>,
    /// Highest mean number of answers a second by this process, as of the reported crashes.
    own_rate: f64,
    /// Mean number of answers a second by the members that have replied.
    others_rate: f64,
    /// Whether the members were asked.
    asked: bool,
}

impl SuspectRecord {
    /// Number of crashes that count by the sequence rule of this module.
    fn sequence(&self) -> usize {
        in_sequence(&self.crashes).iter().filter(|counts| **counts).count()
    }

    /// Number of crashes in sequence after which the request is quarantined.
    fn needed_sequence(&self) -> usize {
        let rate = self.own_rate + self.others_rate;
        let first = self.crashes.first().map(|run| run.ended);
        let span = self.last_crash().zip(first).map(|(last, first)| last.since(first));
        let expected = rate * span.unwrap_or_default().as_secs_f64();
        if rate >= MIN_RATE && expected < SIGNIFICANT_ANSWERS {
            ANSWERED_SEQUENCE
        } else {
            SEQUENCE
        }
    }

    /// Whether the request of `other` shares all crashes of this one and has more.
    fn explained_by(&self, other: &Self) -> bool {
        let shared = |run: &CrashedRun| {
            other.crashes.iter().any(|other_run| other_run.upstream == run.upstream)
        };
        other.crashes.len() > self.crashes.len() && self.crashes.iter().all(shared)
    }

    fn last_crash(&self) -> Option<CrashTime> {
        self.crashes.last().map(|run| run.ended)
    }
}

/// Evidence against all requests.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    mode: CrashCountMode,
    suspects: collections::BTreeMap<request_digest::RequestDigest, SuspectRecord>,
    /// Number of requests with a quarantine, whether expired or not, whose crashes no other quarantined request explains.
    quarantined: usize,
    /// Answers of this process, also to requests without a record.
    answers: answered_requests::AnsweredRequests,
}

impl QuarantineTable {
    /// Creates an empty table that counts crashes by `mode`.
    pub fn new(mode: CrashCountMode) -> Self {
        Self { mode, ..Self::default() }
    }

    /// Whether the table has no evidence against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether any request may be quarantined: one whose quarantine has expired counts until its evidence is dropped.
    pub fn has_quarantined(&self) -> bool {
        self.quarantined > 0
    }

    /// Adds evidence; returns the requests that are quarantined now and were not before, also those whose earlier
    /// quarantine had expired.
    pub fn note_crashes(
        &mut self,
        now: units::MonoTime,
        runs: impl IntoIterator<Item = CrashedRun>,
    ) -> Vec<request_digest::RequestDigest> {
        let before = self.quarantined_at(now);
        self.drop_expired(now);
        runs.into_iter().for_each(|run| self.note_crash(now, run));
        self.update_quarantines();
        let mut added = self.quarantined_at(now);
        added.retain(|digest| !before.contains(digest));
        added
    }

    /// Records that this process has got a complete answer to a request.
    pub fn note_answer(&mut self, now: units::MonoTime, digest: request_digest::RequestDigest) {
        self.answers.note(now, digest);
    }

    /// Returns the mean number of answers a second of this process to a request, and the time of the last one.
    pub fn answers_to(
        &self,
        now: units::MonoTime,
        digest: request_digest::RequestDigest,
    ) -> (f64, Option<units::MonoTime>) {
        (self.answers.rate(now, digest), self.answers.last(digest))
    }

    /// Records the mean number of answers a second of a member that was asked about a request.
    pub fn note_member_rate(&mut self, digest: request_digest::RequestDigest, rate: f64) {
        if let Some(record) = self.suspects.get_mut(&digest).filter(|record| record.asked) {
            record.others_rate += rate.max(0.0);
            self.update_quarantines();
        }
    }

    /// Returns the requests about which members are to be asked now, each with the time of its first crash, and records
    /// that they are.
    pub fn take_suspects(&mut self) -> Vec<(request_digest::RequestDigest, CrashTime)> {
        let is_new =
            |record: &SuspectRecord| !record.asked && record.sequence() >= SUSPECT_SEQUENCE;
        let suspects = self.suspects.iter_mut().filter(|(_, record)| is_new(record));
        let ask = |(digest, record): (&request_digest::RequestDigest, &mut SuspectRecord)| {
            record.asked = true;
            Some((*digest, record.crashes.first()?.ended))
        };
        suspects.filter_map(ask).take(MAX_SUSPECTS).collect()
    }

    /// Clears a request of crashes up to `at`, when it was answered or released by an operator; returns whether there
    /// is a record of it. Does nothing in [`CrashCountMode::Count`].
    pub fn clear(&mut self, digest: request_digest::RequestDigest, at: units::MonoTime) -> bool {
        let Some(record) =
            self.suspects.get_mut(&digest).filter(|_| self.mode != CrashCountMode::Count)
        else {
            return false;
        };
        record.answered = record.answered.max(Some(at));
        record.crashes.retain(|run| run.ended > at.into());
        if record.crashes.is_empty() {
            (record.asked, record.own_rate, record.others_rate) = (false, 0.0, 0.0);
        }
        self.update_quarantines();
        true
    }

    /// Returns the quarantine of a request, if it has one at `now`.
    pub fn verdict(
        &self,
        now: units::MonoTime,
        digest: request_digest::RequestDigest,
    ) -> Option<QuarantineVerdict> {
        let record = self.suspects.get(&digest)?;
        let until = record.quarantined_until.filter(|until| now < *until)?;
        let upstreams = record.crashes.iter().map(|run| run.upstream.clone()).collect();
        Some(QuarantineVerdict { upstreams, until })
    }

    /// Whether any crash is kept as evidence against a request.
    pub fn suspects(&self, digest: request_digest::RequestDigest) -> bool {
        self.suspects.get(&digest).is_some_and(|record| !record.crashes.is_empty())
    }

    /// Returns the requests in quarantine at `now`.
    pub fn quarantined_at(&self, now: units::MonoTime) -> Vec<request_digest::RequestDigest> {
        let is_quarantined =
            |record: &SuspectRecord| record.quarantined_until.is_some_and(|until| now < until);
        let quarantined = self.suspects.iter().filter(|(_, record)| is_quarantined(record));
        quarantined.map(|(digest, _)| *digest).collect()
    }

    /// Time since the last completed answer, or release by an operator, of a request that has a record.
    pub fn answered_age(
        &self,
        now: units::MonoTime,
        digest: request_digest::RequestDigest,
    ) -> Option<time::Duration> {
        Some(now.since(self.suspects.get(&digest)?.answered?))
    }

    /// The crashes kept as evidence against a request, oldest first.
    pub fn crashes_of(&self, digest: request_digest::RequestDigest) -> &[CrashedRun] {
        self.suspects.get(&digest).map_or(&[], |record| &record.crashes)
    }

    fn note_crash(&mut self, now: units::MonoTime, run: CrashedRun) {
        let own_rate = self.answers.rate(now, run.digest);
        let record = self.suspects.entry(run.digest).or_default();
        record.own_rate = record.own_rate.max(own_rate);
        if record.answered.is_some_and(|answered| run.ended <= answered.into()) {
            return;
        }
        let known = record.crashes.iter().position(|other| other.upstream == run.upstream);
        let run = match known.map(|at| record.crashes.remove(at)) {
            Some(known) => known.merge(run),
            None => run,
        };
        let at = record.crashes.partition_point(|other| other.ended <= run.ended);
        record.crashes.insert(at, run);
        if record.crashes.len() > MAX_CRASHES {
            remove_least(&mut record.crashes);
        }
        if self.suspects.len() > MAX_REQUESTS {
            self.remove_least();
        }
    }

    /// Drops the record with the shortest sequence of crashes; among equals, the one whose last crash is the oldest.
    fn remove_least(&mut self) {
        let weight = |record: &SuspectRecord| (record.sequence(), record.last_crash());
        let least = self.suspects.iter().min_by_key(|(_, record)| weight(record));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }

    fn drop_expired(&mut self, now: units::MonoTime) {
        self.suspects.retain(|_, record| {
            let last_crash = record.last_crash().map(CrashTime::since_start);
            let last = record.quarantined_until.max(record.answered).max(last_crash);
            let last = last.unwrap_or_default();
            now.since(last) < EVIDENCE_TTL
        });
    }

    /// Derives the quarantines from the evidence.
    fn update_quarantines(&mut self) {
        let mode = self.mode;
        let count_of = |record: &SuspectRecord| match mode {
            CrashCountMode::Sequence => record.sequence(),
            CrashCountMode::Count => record.crashes.len(),
        };
        for record in self.suspects.values_mut() {
            let needed = match mode {
                CrashCountMode::Sequence => record.needed_sequence(),
                CrashCountMode::Count => SEQUENCE,
            };
            let count = count_of(record);
            record.quarantined_until =
                if count < needed { None } else { quarantined_until(record, count) };
        }
        let quarantined: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, record)| record.quarantined_until.is_some())
            .map(|(digest, _)| *digest)
            .collect();
        let is_explained = |digest: &request_digest::RequestDigest| {
            let mut others = quarantined.iter().filter_map(|other| self.suspects.get(other));
            let record = self.suspects.get(digest);
            record.is_some_and(|record| others.any(|other| record.explained_by(other)))
        };
        let explained: Vec<_> =
            quarantined.iter().copied().filter(|digest| is_explained(digest)).collect();
        self.quarantined = quarantined.len() - explained.len();
        for digest in explained.iter().filter(|_| mode == CrashCountMode::Sequence) {
            if let Some(record) = self.suspects.get_mut(digest) {
                record.quarantined_until = None;
            }
        }
    }
}

/// End of the quarantine of a request with `count` counted crashes; `None` if there are too few.
fn quarantined_until(record: &SuspectRecord, count: usize) -> Option<units::MonoTime> {
    let excess = u32::try_from(count.checked_sub(SEQUENCE)?).unwrap_or(u32::MAX);
    let length = QUARANTINE_TIME * 2_u32.pow(excess.min(MAX_DOUBLINGS));
    Some((record.last_crash()? + length).since_start())
}

/// Returns which crashes count, in order of time: those whose run began after the previous counted crash and ended at
/// least [`MOMENT_GAP`] after it.
fn in_sequence(crashes: &[CrashedRun]) -> Vec<bool> {
    let mut last = None;
    let counted = crashes.iter().map(|run| {
        let is_after = |last| run.sent + run.slack() >= last && run.ended >= last + MOMENT_GAP;
        let counts = last.is_none_or(is_after);
        if counts {
            last = Some(run.ended);
        }
        counts
    });
    counted.collect()
}

/// Drops the oldest crash that does not count, or else the oldest one.
fn remove_least(crashes: &mut Vec<CrashedRun>) {
    let uncounted = in_sequence(crashes).iter().position(|counts| !counts);
    crashes.remove(uncounted.unwrap_or(0));
}
