//! The keeper's side of limits: how many requests members may send to each upstream whose limit this process keeps.
//!
//! One member keeps a limit, as the sum over all is seen by none of them. It gives leave for each send, and ahead for a
//! short time where the limit is high. What is given counts as used; whoever begins to keep a limit begins as though
//! the keeper before had just given a leave.

use std::{collections, time};

use crate::{ids, send_leave, send_pace, units};

/// For how much time leaves are given ahead, at limits so high that members send several within it.
const AHEAD_TIME: time::Duration = time::Duration::from_millis(100);
/// Members that asked within this time share what is given ahead.
const ASKER_TIME: time::Duration = time::Duration::from_secs(1);
/// Longest time after which a member that was refused asks again: it bounds what waits in vain for one that has
/// nothing more to send, and how long a limit that was raised stays unused.
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

/// What one upstream's limit lets through.
#[derive(Debug)]
struct LedgerRow {
    rate: units::RequestRate,
    pace: send_pace::SendPace,
    /// When the last of those that were refused are to ask again, and how many they are.
    tail: units::MonoTime,
    turns: u32,
    /// Members that asked lately.
    askers: collections::BTreeMap<u64, LeaveAsker>,
    /// What was given lately, oldest first.
    given: collections::VecDeque<(units::MonoTime, u64, u32)>,
}

/// The limits that this process keeps.
#[derive(Debug, Default)]
pub struct LeaveLedger {
    rows: collections::BTreeMap<ids::UpstreamId, LedgerRow>,
}

impl LeaveLedger {
    /// Sets which limits this process keeps, and at which rates.
    pub fn set_kept(
        &mut self,
        now: units::MonoTime,
        kept: &collections::BTreeMap<ids::UpstreamId, units::RequestRate>,
    ) {
        self.rows.retain(|upstream, _| kept.contains_key(upstream));
        for (upstream, rate) in kept {
            let row = self.rows.entry(upstream.clone()).or_insert_with(|| LedgerRow {
                rate: *rate,
                pace: send_pace::SendPace::begun(now, *rate),
                tail: now,
                turns: 0,
                askers: collections::BTreeMap::new(),
                given: collections::VecDeque::new(),
            });
            if row.rate != *rate {
                row.rate = *rate;
                row.pace.change(now, *rate);
            }
        }
    }

    /// Begins anew with all limits: this process was paused, and others may have kept them meanwhile.
    pub fn begin_anew(&mut self, now: units::MonoTime) {
        for row in self.rows.values_mut() {
            row.pace = send_pace::SendPace::begun(now, row.rate);
        }
    }

    /// Answers a member; `None` where this process does not keep the limit.
    pub fn ask(
        &mut self,
        now: units::MonoTime,
        asker: u64,
        ask: &send_leave::LeaveAsk,
    ) -> Option<send_leave::LeaveAnswer> {
        let row = self.rows.get_mut(&ask.upstream)?;
        row.note_asker(now, asker);
        let wait = row.pace.wait(now);
        if wait > time::Duration::from_millis(u64::from(ask.patience_ms)) {
            let back_ms = millis(row.refuse(now, asker, wait));
            return Some(send_leave::LeaveAnswer::Refused { back_ms });
        }
        if wait.is_zero() {
            // Nobody needs to stand in line.
            (row.tail, row.turns) = (now, 0);
        }
        let count = row.count(ask.wanted);
        row.pace.take(now, row.rate, count);
        row.given.push_back((now, asker, count));
        Some(send_leave::LeaveAnswer::Given { count, wait_ms: millis(wait) })
    }

    /// Time until something may be sent to an upstream; `None` where this process keeps no limit of it.
    pub fn wait(&self, now: units::MonoTime, upstream: &ids::UpstreamId) -> Option<time::Duration> {
        self.rows.get(upstream).map(|row| row.pace.wait(now))
    }

    /// The rate of a limit that this process keeps.
    pub fn rate(&self, upstream: &ids::UpstreamId) -> Option<units::RequestRate> {
        self.rows.get(upstream).map(|row| row.rate)
    }

    /// Gives one leave to a member, whatever the wait; whether this process keeps a limit of the upstream.
    pub fn take(&mut self, now: units::MonoTime, upstream: &ids::UpstreamId, asker: u64) -> bool {
        let Some(row) = self.rows.get_mut(upstream) else {
            return false;
        };
        row.note_asker(now, asker);
        row.pace.take(now, row.rate, 1);
        row.given.push_back((now, asker, 1));
        true
    }

    /// What was given of a limit lately, by member; nothing where this process does not keep it.
    pub fn given(
        &self,
        now: units::MonoTime,
        upstream: &ids::UpstreamId,
    ) -> Option<collections::BTreeMap<u64, u32>> {
        let row = self.rows.get(upstream)?;
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
        let ahead = self.rate.per_second() * AHEAD_TIME.as_secs_f64() / self.askers.len() as f64;
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
                (self.tail, self.turns) = (self.tail + send_pace::interval(self.rate), 0);
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
