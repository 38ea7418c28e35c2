//! A member's side of what all share: leaves in hand, and when to ask the keeper again.

use std::{collections, time};

use crate::{send_leave, units};

/// Time over which a member's own wishes for a leave are counted.
const COUNT_TIME: time::Duration = time::Duration::from_secs(1);
/// Part of these for which leaves are asked for ahead: those of the next tenth of a second.
const AHEAD_PART: usize = 10;

/// What a request that needs leave should do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveStep {
    /// Go, when the leave in hand is due.
    Send(send_leave::LeaveTerm),
    /// Ask the keeper.
    Ask(send_leave::LeaveAsk),
    /// Go elsewhere: there is no leave for so long.
    Closed(time::Duration),
}

/// What is known of the leaves of one sum.
#[derive(Debug, Default)]
struct DeskRow {
    in_hand: collections::VecDeque<send_leave::LeaveTerm>,
    /// Until when asking is in vain.
    closed_until: units::MonoTime,
    /// When requests came here that wanted one.
    wanted: collections::VecDeque<units::MonoTime>,
}

/// Leaves of this member, by what they are about.
#[derive(Debug)]
pub struct LeaveDesk<K> {
    rows: collections::BTreeMap<K, DeskRow>,
}

impl<K> Default for LeaveDesk<K> {
    fn default() -> Self {
        Self { rows: collections::BTreeMap::new() }
    }
}

impl<K: Ord + Clone> LeaveDesk<K> {
    /// What a request should do that would wait so long for a leave.
    pub fn step(
        &mut self,
        now: units::MonoTime,
        subject: &K,
        patience: time::Duration,
    ) -> LeaveStep {
        let row = self.rows.entry(subject.clone()).or_default();
        row.count(now);
        row.in_hand.retain(|term| term.is_good(now));
        let in_time = |term: &send_leave::LeaveTerm| term.from <= now + patience;
        if let Some(at) = row.in_hand.iter().position(in_time)
            && let Some(term) = row.in_hand.remove(at)
        {
            return LeaveStep::Send(term);
        }
        let closed = row.closed_until.since(now);
        if closed > patience {
            return LeaveStep::Closed(closed);
        }
        let wanted = u32::try_from(row.wanted.len() / AHEAD_PART).unwrap_or(u32::MAX).max(1);
        let patience_ms = u32::try_from(patience.as_millis()).unwrap_or(u32::MAX);
        LeaveStep::Ask(send_leave::LeaveAsk { wanted, patience_ms })
    }

    /// For how long asking for leave is in vain.
    pub fn closed(&self, now: units::MonoTime, subject: &K) -> time::Duration {
        self.rows.get(subject).map_or(time::Duration::ZERO, |row| row.closed_until.since(now))
    }

    /// Takes in what the keeper answered to an ask that went out at `asked`: the leave, or when to ask again.
    pub fn hear(
        &mut self,
        now: units::MonoTime,
        subject: &K,
        asked: units::MonoTime,
        answer: send_leave::LeaveAnswer,
    ) -> Result<send_leave::LeaveTerm, time::Duration> {
        let row = self.rows.entry(subject.clone()).or_default();
        match answer {
            send_leave::LeaveAnswer::Given { count, wait_ms } => {
                let wait = time::Duration::from_millis(u64::from(wait_ms));
                let term = send_leave::LeaveTerm::of_answer(asked, wait);
                let more = count.saturating_sub(1) as usize;
                row.in_hand.extend(std::iter::repeat_n(term, more));
                if term.is_good(now) { Ok(term) } else { Err(time::Duration::ZERO) }
            }
            send_leave::LeaveAnswer::Refused { back_ms } => {
                let back = time::Duration::from_millis(u64::from(back_ms));
                row.closed_until = row.closed_until.max(now + back);
                Err(back)
            }
        }
    }

    /// Takes back a leave that was not used, or came when nobody waited for it any more.
    pub fn put_back(&mut self, subject: &K, term: send_leave::LeaveTerm) {
        let row = self.rows.entry(subject.clone()).or_default();
        row.in_hand.push_back(term);
    }

    /// The keeper says nothing: it is asked again behind so much time, or another one is.
    pub fn note_silence(&mut self, now: units::MonoTime, subject: &K, pause: time::Duration) {
        let row = self.rows.entry(subject.clone()).or_default();
        row.closed_until = row.closed_until.max(now + pause);
    }

    /// The bound has changed: what was said by the one before holds nothing up.
    pub fn reopen(&mut self, subject: &K) {
        if let Some(row) = self.rows.get_mut(subject) {
            row.closed_until = units::MonoTime::default();
        }
    }

    /// Forgets what needs no leave any more.
    pub fn retain(&mut self, needed: impl Fn(&K) -> bool) {
        self.rows.retain(|subject, _| needed(subject));
    }
}

impl DeskRow {
    fn count(&mut self, now: units::MonoTime) {
        while self.wanted.front().is_some_and(|at| now.since(*at) >= COUNT_TIME) {
            self.wanted.pop_front();
        }
        self.wanted.push_back(now);
    }
}
