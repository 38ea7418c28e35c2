//! Detection of requests that crash the upstreams that run them.
//!
//! A crash breaks all requests in progress, and at most one of them is the cause. Three rules identify it without running
//! any request in isolation:
//!
//! - *Sequence.* Only crashes count whose run began after the previous one. A rack failure under many copies of a request
//!   counts once.
//! - *Answer.* A completed answer clears a request of all earlier crashes.
//! - *Known cause.* A request whose every crash is shared with a quarantined request that has more crashes is not the
//!   cause.
//!
//! Only evidence is stored. The quarantine follows from it alone, so members with the same evidence agree in whatever
//! order it arrived.

use std::{collections, time};

use crate::{ids, request_digest, units};

/// Crashes in sequence that quarantine a request. In storms of unrelated crashes a sound request may see two.
const SEQUENCE: usize = 3;
/// Tolerated overlap of a run with the previous crash, as a part of the run and as a longest time. Members exchange
/// ages, which are off by the delay of a message, and a second attempt starts right after the first breaks.
const OVERLAP_PART: u32 = 4;
/// See [`OVERLAP_PART`].
const MAX_OVERLAP: time::Duration = time::Duration::from_millis(25);
/// Quarantine time after the last crash: far longer than callers retry by themselves.
const HOLD_TIME: time::Duration = time::Duration::from_secs(300);
/// Most doublings of that time, one for each further crash in the sequence.
const MAX_DOUBLINGS: u32 = 4;
/// How long evidence without a verdict is kept.
const MEMORY_TIME: time::Duration = time::Duration::from_secs(600);
/// Most crashes kept for a request, some 60 bytes each.
const MAX_ENDS: usize = 16;
/// Most requests kept; some 150 KB with three crashes each.
const MAX_REQUESTS: usize = 512;

/// A run that ended with a crash of its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// The request.
    pub digest: request_digest::RequestDigest,
    /// The start of the upstream that crashed.
    pub upstream: ids::UpstreamId,
    /// When the request was sent there.
    pub sent: units::MonoTime,
    /// When its connection broke; not before `sent`.
    pub ended: units::MonoTime,
}

impl CrashedRun {
    /// Merges two reports of one run: a delayed message makes its times appear later than they are.
    fn merge(self, other: Self) -> Self {
        let (sent, ended) = (self.sent.min(other.sent), self.ended.min(other.ended));
        Self { sent, ended, ..self }
    }

    fn slack(&self) -> time::Duration {
        (self.ended.since(self.sent) / OVERLAP_PART).min(MAX_OVERLAP)
    }
}

/// How crashes are counted; all but the default exist for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BlameWay {
    /// By sequence.
    #[default]
    Sequence,
    /// Each crash, also simultaneous ones; answers clear nothing.
    Count,
}

/// A quarantine and its evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineVerdict {
    /// Crashed upstreams, oldest first.
    pub upstreams: Vec<ids::UpstreamId>,
    /// End of the quarantine.
    pub until: units::MonoTime,
}

impl QuarantineVerdict {
    /// The upstreams' names, for operators.
    pub fn names(&self) -> String {
        let names: Vec<_> = self.upstreams.iter().map(ToString::to_string).collect();
        names.join(" ")
    }
}

/// Evidence against one request.
#[derive(Debug, Default)]
struct SuspectRecord {
    /// Ordered by [`CrashedRun::ended`]; each upstream once.
    ends: Vec<CrashedRun>,
    /// Time of its last completed answer; crashes up to then are not in `ends`.
    answered: Option<units::MonoTime>,
    /// End of its quarantine; `None` for a mere suspect.
    held_until: Option<units::MonoTime>,
}

impl SuspectRecord {
    /// Length of the sequence of crashes.
    fn sequence(&self) -> usize {
        in_sequence(&self.ends).iter().filter(|adds| **adds).count()
    }

    /// Whether another request shares all its crashes and has more.
    fn explained_by(&self, other: &Self) -> bool {
        let shared = |end: &CrashedRun| other.ends.iter().any(|more| more.upstream == end.upstream);
        other.ends.len() > self.ends.len() && self.ends.iter().all(shared)
    }

    fn last_end(&self) -> units::MonoTime {
        self.ends.last().map_or(units::MonoTime::default(), |end| end.ended)
    }
}

/// Evidence against all requests.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    way: BlameWay,
    suspects: collections::BTreeMap<request_digest::RequestDigest, SuspectRecord>,
    /// Number of quarantined requests; at most those with a time in `suspects`.
    held: usize,
}

impl QuarantineTable {
    /// An empty table that counts crashes this way.
    pub fn new(way: BlameWay) -> Self {
        Self { way, ..Self::default() }
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether any request is quarantined.
    pub fn has_quarantined(&self) -> bool {
        self.held > 0
    }

    /// Adds evidence; returns the requests that are newly quarantined, or again after their time had run out.
    pub fn note_crashes(
        &mut self,
        now: units::MonoTime,
        runs: impl IntoIterator<Item = CrashedRun>,
    ) -> Vec<request_digest::RequestDigest> {
        let before = self.quarantined_at(now);
        self.forget_old(now);
        runs.into_iter().for_each(|run| self.note_end(run));
        self.judge();
        let mut held = self.quarantined_at(now);
        held.retain(|digest| !before.contains(digest));
        held
    }

    /// Clears a request that was answered, or that an operator releases; returns whether there was evidence against it.
    pub fn clear(&mut self, digest: request_digest::RequestDigest, at: units::MonoTime) -> bool {
        let Some(record) = self.suspects.get_mut(&digest).filter(|_| self.way != BlameWay::Count)
        else {
            return false;
        };
        record.answered = record.answered.max(Some(at));
        record.ends.retain(|end| end.ended > at);
        self.judge();
        true
    }

    /// The quarantine of a request.
    pub fn verdict(
        &self,
        now: units::MonoTime,
        digest: request_digest::RequestDigest,
    ) -> Option<QuarantineVerdict> {
        let record = self.suspects.get(&digest)?;
        let until = record.held_until.filter(|until| now < *until)?;
        let upstreams = record.ends.iter().map(|end| end.upstream.clone()).collect();
        Some(QuarantineVerdict { upstreams, until })
    }

    /// Whether there is evidence against a request.
    pub fn suspects(&self, digest: request_digest::RequestDigest) -> bool {
        self.suspects.get(&digest).is_some_and(|record| !record.ends.is_empty())
    }

    /// Requests in quarantine.
    pub fn quarantined_at(&self, now: units::MonoTime) -> Vec<request_digest::RequestDigest> {
        let held = |record: &SuspectRecord| record.held_until.is_some_and(|until| now < until);
        let held = self.suspects.iter().filter(|(_, record)| held(record));
        held.map(|(digest, _)| *digest).collect()
    }

    /// Time since the last completed answer to a suspected request.
    pub fn answered_age(
        &self,
        now: units::MonoTime,
        digest: request_digest::RequestDigest,
    ) -> Option<time::Duration> {
        Some(now.since(self.suspects.get(&digest)?.answered?))
    }

    /// The evidence against a request, oldest first.
    pub fn ends(&self, digest: request_digest::RequestDigest) -> &[CrashedRun] {
        self.suspects.get(&digest).map_or(&[], |record| &record.ends)
    }

    fn note_end(&mut self, run: CrashedRun) {
        let record = self.suspects.entry(run.digest).or_default();
        if record.answered.is_some_and(|answered| run.ended <= answered) {
            return;
        }
        let known = record.ends.iter().position(|end| end.upstream == run.upstream);
        let run = match known.map(|at| record.ends.remove(at)) {
            Some(known) => known.merge(run),
            None => run,
        };
        let at = record.ends.partition_point(|end| end.ended <= run.ended);
        record.ends.insert(at, run);
        if record.ends.len() > MAX_ENDS {
            remove_least(&mut record.ends);
        }
        if self.suspects.len() > MAX_REQUESTS {
            self.remove_least();
        }
    }

    /// Drops the request with the least evidence.
    fn remove_least(&mut self) {
        let weight = |record: &SuspectRecord| (record.sequence(), record.last_end());
        let least = self.suspects.iter().min_by_key(|(_, record)| weight(record));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }

    fn forget_old(&mut self, now: units::MonoTime) {
        self.suspects.retain(|_, record| {
            let kept = record.held_until.max(record.answered).unwrap_or_default();
            let last = kept.max(record.last_end());
            now.since(last) < MEMORY_TIME
        });
    }

    /// Derives the quarantines from the evidence.
    fn judge(&mut self) {
        let way = self.way;
        let count_of = |record: &SuspectRecord| match way {
            BlameWay::Sequence => record.sequence(),
            BlameWay::Count => record.ends.len(),
        };
        for record in self.suspects.values_mut() {
            record.held_until = held_until(record, count_of(record));
        }
        let held: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, record)| record.held_until.is_some())
            .map(|(digest, _)| *digest)
            .collect();
        let explained = |digest: &request_digest::RequestDigest| {
            let mut others = held.iter().filter_map(|other| self.suspects.get(other));
            let record = self.suspects.get(digest);
            record.is_some_and(|record| others.any(|other| record.explained_by(other)))
        };
        let beside: Vec<_> = held.iter().copied().filter(|digest| explained(digest)).collect();
        self.held = held.len() - beside.len();
        for digest in beside.iter().filter(|_| way == BlameWay::Sequence) {
            if let Some(record) = self.suspects.get_mut(digest) {
                record.held_until = None;
            }
        }
    }
}

/// End of the quarantine of a request with `count` crashes in sequence.
fn held_until(record: &SuspectRecord, count: usize) -> Option<units::MonoTime> {
    let more = u32::try_from(count.checked_sub(SEQUENCE)?).unwrap_or(u32::MAX);
    Some(record.last_end() + HOLD_TIME * 2_u32.pow(more.min(MAX_DOUBLINGS)))
}

/// Which of the crashes, ordered by time, extend the longest sequence.
fn in_sequence(ends: &[CrashedRun]) -> Vec<bool> {
    let mut last = None;
    let adds = ends.iter().map(|end| {
        let adds = last.is_none_or(|last| end.sent + end.slack() >= last);
        if adds {
            last = Some(end.ended);
        }
        adds
    });
    adds.collect()
}

/// Drops a crash outside the sequence, or the oldest one.
fn remove_least(ends: &mut Vec<CrashedRun>) {
    let beside = in_sequence(ends).iter().position(|adds| !adds);
    ends.remove(beside.unwrap_or(0));
}
