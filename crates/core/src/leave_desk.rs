//! A member's side of limits: leaves in hand, and when to ask the keeper again.

use std::{collections, time};

use crate::{ids, send_leave, units};

/// Time over which a member's own requests to an upstream are counted.
const COUNT_TIME: time::Duration = time::Duration::from_secs(1);
/// Part of these for which leaves are asked for ahead: those of the next tenth of a second.
const AHEAD_PART: usize = 10;

/// What a request for an upstream with a limit should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaveStep {
    /// Go, when the leave in hand is due.
    Send(send_leave::SendLeave),
    /// Ask the keeper.
    Ask(send_leave::LeaveAsk),
    /// Go elsewhere: there is no leave for so long.
    Closed(time::Duration),
}

/// What is known of one upstream's leaves.
#[derive(Debug, Default)]
struct DeskRow {
    in_hand: collections::VecDeque<send_leave::SendLeave>,
    /// Until when asking is in vain.
    closed_until: units::MonoTime,
    /// When requests came here that wanted to go there.
    wanted: collections::VecDeque<units::MonoTime>,
}

/// Leaves of this member, by starts of upstreams.
#[derive(Debug, Default)]
pub struct LeaveDesk {
    rows: collections::BTreeMap<ids::UpstreamId, DeskRow>,
}

impl LeaveDesk {
    /// What a request should do that would wait so long for a leave.
    pub fn step(
        &mut self,
        now: units::MonoTime,
        upstream: &ids::UpstreamId,
        patience: time::Duration,
    ) -> LeaveStep {
        let row = self.rows.entry(upstream.clone()).or_default();
        row.count(now);
        row.in_hand.retain(|leave| leave.is_good(now, upstream));
        let in_time = |leave: &send_leave::SendLeave| leave.from <= now + patience;
        if let Some(at) = row.in_hand.iter().position(in_time)
            && let Some(leave) = row.in_hand.remove(at)
        {
            return LeaveStep::Send(leave);
        }
        let closed = row.closed_until.since(now);
        if closed > patience {
            return LeaveStep::Closed(closed);
        }
        let wanted = u32::try_from(row.wanted.len() / AHEAD_PART).unwrap_or(u32::MAX).max(1);
        let patience_ms = u32::try_from(patience.as_millis()).unwrap_or(u32::MAX);
        LeaveStep::Ask(send_leave::LeaveAsk { upstream: upstream.clone(), wanted, patience_ms })
    }

    /// For how long asking for leave is in vain.
    pub fn closed(&self, now: units::MonoTime, upstream: &ids::UpstreamId) -> time::Duration {
        self.rows.get(upstream).map_or(time::Duration::ZERO, |row| row.closed_until.since(now))
    }

    /// Takes in what the keeper answered to an ask that went out at `asked`: the leave, or when to ask again.
    pub fn hear(
        &mut self,
        now: units::MonoTime,
        upstream: &ids::UpstreamId,
        asked: units::MonoTime,
        answer: send_leave::LeaveAnswer,
    ) -> Result<send_leave::SendLeave, time::Duration> {
        let row = self.rows.entry(upstream.clone()).or_default();
        match answer {
            send_leave::LeaveAnswer::Given { count, wait_ms } => {
                let wait = time::Duration::from_millis(u64::from(wait_ms));
                let leave = send_leave::SendLeave::of_answer(upstream.clone(), asked, wait);
                let more = count.saturating_sub(1) as usize;
                row.in_hand.extend(std::iter::repeat_n(leave.clone(), more));
                if leave.is_good(now, upstream) { Ok(leave) } else { Err(time::Duration::ZERO) }
            }
            send_leave::LeaveAnswer::Refused { back_ms } => {
                let back = time::Duration::from_millis(u64::from(back_ms));
                row.closed_until = row.closed_until.max(now + back);
                Err(back)
            }
        }
    }

    /// Takes back a leave that was not used, or came when nobody waited for it any more.
    pub fn put_back(&mut self, leave: send_leave::SendLeave) {
        let row = self.rows.entry(leave.upstream.clone()).or_default();
        row.in_hand.push_back(leave);
    }

    /// The keeper says nothing: it is asked again behind so much time, or another one is.
    pub fn note_silence(
        &mut self,
        now: units::MonoTime,
        upstream: &ids::UpstreamId,
        pause: time::Duration,
    ) {
        let row = self.rows.entry(upstream.clone()).or_default();
        row.closed_until = row.closed_until.max(now + pause);
    }

    /// A limit has changed: what was said by the one before holds nothing up.
    pub fn reopen(&mut self, upstream: &ids::UpstreamId) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.closed_until = units::MonoTime::default();
        }
    }

    /// Forgets upstreams without a limit.
    pub fn retain(&mut self, limited: impl Fn(&ids::UpstreamId) -> bool) {
        self.rows.retain(|upstream, _| limited(upstream));
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
