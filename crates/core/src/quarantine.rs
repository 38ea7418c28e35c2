//! Which requests end the upstreams that run them, told from those that stand beside.
//!
//! When an upstream ends, all that ran there breaks, and of some fourteen prompts one may be the
//! cause, or none. Three things tell them apart, and no request needs to be run alone for it:
//!
//! - *A sequence.* Only runs count of which each began after the one before had ended. A rack that ends
//!   takes any number of copies of one request with it, and is one run in the sequence.
//! - *An answer.* A request that an upstream has answered to the end is not the cause of ends before.
//! - *A cause that is known already.* Who stood beside a request in quarantine at all its own ends, and
//!   that one has ended more, is not the cause.
//!
//! What is kept is evidence; who is in quarantine follows from it alone, so that members who have the
//! same evidence agree in whatever order it reached them.

use std::{collections, time};

use crate::{ids, request_digest, units};

/// Upstreams that end in a sequence under a request before it is held back: in storms of crashes without a cause
/// among the requests sound ones may meet two.
const SEQUENCE: usize = 3;
/// Part of a run, and longest time, by which it may seem to begin before the one ahead has ended: members
/// tell times as ages, which are off by the way that a message took. A second attempt is sent a fraction
/// of a millisecond behind the break of the first.
const OVERLAP_PART: u32 = 4;
/// See [`OVERLAP_PART`].
const MAX_OVERLAP: time::Duration = time::Duration::from_millis(25);
/// How long a request is held back behind the last end under it: about what it takes operators to see
/// that engines restart, and far longer than callers repeat by themselves.
const HOLD_TIME: time::Duration = time::Duration::from_secs(300);
/// Doublings of that at most, one for each further end in the sequence: an hour and a little.
const MAX_DOUBLINGS: u32 = 4;
/// How long ends are remembered that led to nothing.
const MEMORY_TIME: time::Duration = time::Duration::from_secs(600);
/// Ends kept of one request; each takes some 60 bytes.
const MAX_ENDS: usize = 16;
/// Requests kept; with three ends each, some 150 KB. A storm of crashes among dozens of engines fills half of it.
const MAX_REQUESTS: usize = 512;

/// One run under which an upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// The request.
    pub digest: request_digest::RequestDigest,
    /// The start of the upstream that ended.
    pub upstream: ids::UpstreamId,
    /// When the request was sent there.
    pub sent: units::MonoTime,
    /// When its connection broke; not before `sent`.
    pub ended: units::MonoTime,
}

impl EndedRun {
    /// What two members tell of the same run: a message that was long on its way makes its times
    /// seem later than they are.
    fn merge(self, other: Self) -> Self {
        let (sent, ended) = (self.sent.min(other.sent), self.ended.min(other.ended));
        Self { sent, ended, ..self }
    }

    fn slack(&self) -> time::Duration {
        (self.ended.since(self.sent) / OVERLAP_PART).min(MAX_OVERLAP)
    }
}

/// How ends are counted; all but the default are there to measure against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BlameWay {
    /// In a sequence.
    #[default]
    Sequence,
    /// Each, also those at one moment; an answer clears nothing.
    Count,
}

/// Why a request is held back, and until when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineVerdict {
    /// Upstreams that ended under it, oldest first.
    pub upstreams: Vec<ids::UpstreamId>,
    /// When it may be tried once more.
    pub until: units::MonoTime,
}

impl QuarantineVerdict {
    /// The upstreams' names, for people.
    pub fn names(&self) -> String {
        let names: Vec<_> = self.upstreams.iter().map(ToString::to_string).collect();
        names.join(" ")
    }
}

/// One request that upstreams ended under.
#[derive(Debug, Default)]
struct SuspectRecord {
    /// Ordered by [`EndedRun::ended`]; each upstream once.
    ends: Vec<EndedRun>,
    /// When it was last answered to the end; ends up to then are not in `ends`.
    answered: Option<units::MonoTime>,
    /// Until when it is held back; nothing while it is a suspect only.
    held_until: Option<units::MonoTime>,
}

impl SuspectRecord {
    /// Ends in a sequence.
    fn sequence(&self) -> usize {
        in_sequence(&self.ends).iter().filter(|adds| **adds).count()
    }

    /// Whether another one was there at all ends, and at more: it explains them.
    fn explained_by(&self, other: &Self) -> bool {
        let shared = |end: &EndedRun| other.ends.iter().any(|more| more.upstream == end.upstream);
        other.ends.len() > self.ends.len() && self.ends.iter().all(shared)
    }

    fn last_end(&self) -> units::MonoTime {
        self.ends.last().map_or(units::MonoTime::default(), |end| end.ended)
    }
}

/// What is known of requests that upstreams ended under.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    way: BlameWay,
    suspects: collections::BTreeMap<request_digest::RequestDigest, SuspectRecord>,
    /// Requests held back; at most those that have a time in `suspects`.
    held: usize,
}

impl QuarantineTable {
    /// A table that counts in this way.
    pub fn new(way: BlameWay) -> Self {
        Self { way, ..Self::default() }
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether any request is held back.
    pub fn holds_any(&self) -> bool {
        self.held > 0
    }

    /// Takes in runs under which upstreams ended; returns requests that are held back from now on, those
    /// held back before only where their time had run out.
    pub fn note_ends(
        &mut self,
        now: units::MonoTime,
        runs: impl IntoIterator<Item = EndedRun>,
    ) -> Vec<request_digest::RequestDigest> {
        let before = self.held_at(now);
        self.forget_old(now);
        runs.into_iter().for_each(|run| self.note_end(run));
        self.judge();
        let mut held = self.held_at(now);
        held.retain(|digest| !before.contains(digest));
        held
    }

    /// Takes in that an upstream answered a request to the end, or that an operator lets it go; whether
    /// anything was known of it.
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

    /// Why a request must not be sent now.
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

    /// Whether upstreams have ended under a request, held back or not.
    pub fn suspects(&self, digest: request_digest::RequestDigest) -> bool {
        self.suspects.get(&digest).is_some_and(|record| !record.ends.is_empty())
    }

    /// Requests held back now.
    pub fn held_at(&self, now: units::MonoTime) -> Vec<request_digest::RequestDigest> {
        let held = |record: &SuspectRecord| record.held_until.is_some_and(|until| now < until);
        let held = self.suspects.iter().filter(|(_, record)| held(record));
        held.map(|(digest, _)| *digest).collect()
    }

    /// How long ago a request was last answered to the end, of those that upstreams had ended under.
    pub fn answered_age(
        &self,
        now: units::MonoTime,
        digest: request_digest::RequestDigest,
    ) -> Option<time::Duration> {
        Some(now.since(self.suspects.get(&digest)?.answered?))
    }

    /// The evidence against a request, oldest first.
    pub fn ends(&self, digest: request_digest::RequestDigest) -> &[EndedRun] {
        self.suspects.get(&digest).map_or(&[], |record| &record.ends)
    }

    fn note_end(&mut self, run: EndedRun) {
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

    /// Drops the request that least speaks against.
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

    /// Finds out anew who is held back.
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

/// Until when a request with so many ends in a sequence is held back.
fn held_until(record: &SuspectRecord, count: usize) -> Option<units::MonoTime> {
    let more = u32::try_from(count.checked_sub(SEQUENCE)?).unwrap_or(u32::MAX);
    Some(record.last_end() + HOLD_TIME * 2_u32.pow(more.min(MAX_DOUBLINGS)))
}

/// Which of these ends, ordered by their times, add to the longest sequence.
fn in_sequence(ends: &[EndedRun]) -> Vec<bool> {
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

/// Drops an end that adds nothing to the sequence, or the oldest.
fn remove_least(ends: &mut Vec<EndedRun>) {
    let beside = in_sequence(ends).iter().position(|adds| !adds);
    ends.remove(beside.unwrap_or(0));
}
