//! The keeper's side of what all members share: how many requests they may send to each upstream whose limit this
//! process keeps, and how many retries they may make.
//!
//! One member keeps each sum, as none of them sees it. It gives leave for each send, and ahead for a short time where the
//! rate is high. What is given counts as used; whoever begins to keep a sum begins as though the keeper before had
//! just given all that it may.

use std::{collections, time};

use crate::{send_leave, send_pace, units};

/// For how much time leaves are given ahead, at rates so high that members send several within it.
const AHEAD_TIME: time::Duration = time::Duration::from_millis(100);
/// Members that asked within this time share what is given ahead.
const ASKER_TIME: time::Duration = time::Duration::from_secs(1);
/// Longest time after which a member that was refused asks again: it bounds what waits in vain for one that has
/// nothing more to send, and how long a rate that was raised stays unused.
const MAX_BACK: time::Duration = time::Duration::from_secs(2);
/// Members that may ask again for each leave: not each of them has a request when its turn comes, and a leave that nobody
/// asks for is lost.
const TURNS_EACH: u32 = 4;
/// How long what was given is told to operators.
const TOLD_TIME: time::Duration = time::Duration::from_secs(4);

/// A member that asked for leave.
#[derive(Debug, Clone, Copy, Default)]
struct LeaveAsker {
    asked: units::MonoTime,
    /// When it is to ask again, where it was refused.
    turn: units::MonoTime,
}

/// What is given of one sum.
#[derive(Debug)]
struct LedgerRow {
    pace: send_pace::SendPace,
    /// When the last of those that were refused are to ask again, and how many they are.
    tail: units::MonoTime,
    turns: u32,
    /// Members that asked lately.
    askers: collections::BTreeMap<u64, LeaveAsker>,
    /// What was given lately, oldest first.
    given: collections::VecDeque<(units::MonoTime, u64, u32)>,
}

/// The sums that this process keeps, by what they are about.
#[derive(Debug)]
pub struct LeaveLedger<K> {
    rows: collections::BTreeMap<K, LedgerRow>,
}

impl<K> Default for LeaveLedger<K> {
    fn default() -> Self {
        Self { rows: collections::BTreeMap::new() }
    }
}

impl<K: Ord + Clone> LeaveLedger<K> {
    /// Sets which sums this process keeps, and how much of them.
    pub fn set_kept(
        &mut self,
        now: units::MonoTime,
        kept: &collections::BTreeMap<K, send_pace::PaceBound>,
    ) {
        self.rows.retain(|subject, _| kept.contains_key(subject));
        for (subject, bound) in kept {
            let row = self.rows.entry(subject.clone()).or_insert_with(|| LedgerRow {
                pace: send_pace::SendPace::begun(now, *bound),
                tail: now,
                turns: 0,
                askers: collections::BTreeMap::new(),
                given: collections::VecDeque::new(),
            });
            if row.pace.bound() != *bound {
                row.pace.change(now, *bound);
            }
        }
    }

    /// Begins anew with all sums: this process was paused, and others may have kept them meanwhile.
    pub fn begin_anew(&mut self, now: units::MonoTime) {
        for row in self.rows.values_mut() {
            row.pace = send_pace::SendPace::begun(now, row.pace.bound());
        }
    }

    /// Answers a member; `None` where this process does not keep the sum.
    pub fn ask(
        &mut self,
        now: units::MonoTime,
        subject: &K,
        asker: u64,
        ask: &send_leave::LeaveAsk,
    ) -> Option<send_leave::LeaveAnswer> {
        self.ask_sparing(now, subject, asker, ask, 0.0)
    }

    /// The same for a wish that leaves a part of what may be given at once to others.
    pub fn ask_sparing(
        &mut self,
        now: units::MonoTime,
        subject: &K,
        asker: u64,
        ask: &send_leave::LeaveAsk,
        part: f64,
    ) -> Option<send_leave::LeaveAnswer> {
        let row = self.rows.get_mut(subject)?;
        row.note_asker(now, asker);
        let wait = row.pace.wait_sparing(now, part);
        if wait > time::Duration::from_millis(u64::from(ask.patience_ms)) {
            let back_ms = millis(row.refuse(now, asker, wait));
            return Some(send_leave::LeaveAnswer::Refused { back_ms });
        }
        if wait.is_zero() {
            // Nobody needs to stand in line.
            (row.tail, row.turns) = (now, 0);
        }
        let count = row.count(ask.wanted);
        row.pace.take(now, count);
        row.given.push_back((now, asker, count));
        Some(send_leave::LeaveAnswer::Given { count, wait_ms: millis(wait) })
    }

    /// Time until the next leave is due; `None` where this process does not keep the sum.
    pub fn wait(&self, now: units::MonoTime, subject: &K) -> Option<time::Duration> {
        self.rows.get(subject).map(|row| row.pace.wait(now))
    }

    /// How much this process gives of a sum that it keeps.
    pub fn bound(&self, subject: &K) -> Option<send_pace::PaceBound> {
        self.rows.get(subject).map(|row| row.pace.bound())
    }

    /// Gives one leave to a member, whatever the wait; whether this process keeps the sum.
    pub fn take(&mut self, now: units::MonoTime, subject: &K, asker: u64) -> bool {
        let Some(row) = self.rows.get_mut(subject) else {
            return false;
        };
        row.note_asker(now, asker);
        row.pace.take(now, 1);
        row.given.push_back((now, asker, 1));
        true
    }

    /// What was given of a sum lately, by member; nothing where this process does not keep it.
    pub fn given(
        &self,
        now: units::MonoTime,
        subject: &K,
    ) -> Option<collections::BTreeMap<u64, u32>> {
        let row = self.rows.get(subject)?;
        let lately = row.given.iter().filter(|(at, ..)| now.since(*at) < TOLD_TIME);
        Some(lately.fold(collections::BTreeMap::new(), |mut sums, (_, asker, count)| {
            *sums.entry(*asker).or_default() += count;
            sums
        }))
    }
}

impl LedgerRow {
    fn note_asker(&mut self, now: units::MonoTime, asker: u64) {
        self.askers.entry(asker).or_default().asked = now;
        self.askers.retain(|_, asker| now.since(asker.asked) < ASKER_TIME);
        while self.given.front().is_some_and(|(at, ..)| now.since(*at) >= TOLD_TIME) {
            self.given.pop_front();
        }
    }

    /// Leaves given at once to a member that wants so many.
    fn count(&self, wanted: u32) -> u32 {
        let rate = self.pace.bound().rate;
        let ahead = rate.per_second() * AHEAD_TIME.as_secs_f64() / self.askers.len() as f64;
        (ahead as u32).clamp(1, wanted.max(1))
    }

    /// When a member that was refused asks again: a few for each leave, so that few ask in vain.
    fn refuse(&mut self, now: units::MonoTime, asker: u64, wait: time::Duration) -> time::Duration {
        let asker = self.askers.entry(asker).or_default();
        // Several requests of one member that ask at once have one turn.
        if asker.turn < now + wait {
            if self.tail < now + wait {
                (self.tail, self.turns) = (now + wait, 0);
            } else if self.turns == TURNS_EACH {
                (self.tail, self.turns) = (self.tail + self.pace.bound().interval(), 0);
            }
            self.turns += 1;
            asker.turn = self.tail.min(now + MAX_BACK);
        }
        asker.turn.since(now)
    }
}

fn millis(span: time::Duration) -> u32 {
    // A moment too late is no loss; a moment too early is an ask in vain.
    u32::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
