//! How long a request for a place waits for a planner's first reply, and whether a missing reply counts as silence of the
//! planner.
//!
//! A reply usually takes one or two milliseconds. In a burst of requests, for example when all instances release the
//! requests that they held at a start, it takes up to 300 ms on small instances. If a fixed short time-out counted as
//! silence then, members would move on to the next planner, which begins with an empty table, and from that to the next.

use std::time;

use crate::{sharing::PlannerSilence, units};

/// Time-out of the first reply of a planner in normal operation.
const MIN_TIMEOUT: time::Duration = time::Duration::from_millis(25);
/// Longest time-out; a queued request is sent again after the same time.
const MAX_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time-out of [`PlannerSilence::ReplyTimes`] before the first reply.
const INITIAL_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Time without a reply after which signs of life no longer count: a member whose heartbeats arrive but that does not
/// receive requests must not be waited for.
const MAX_CONTACT_WAIT: time::Duration = time::Duration::from_millis(500);
/// Share of the latest reply time in the mean reply time and its mean deviation.
const SAMPLE_SHARE: f64 = 0.125;
/// Mean deviations by which a reply may exceed the mean reply time.
const MAX_DEVIATIONS: f64 = 4.0;

/// Reply times of planners, as one process has measured them.
#[derive(Debug, Default)]
pub struct ReplyTimes {
    /// Mean and mean deviation in seconds; `None` before the first reply.
    estimate: Option<(f64, f64)>,
}

impl ReplyTimes {
    /// Adds the time from the first sending of a request to the first reply.
    pub fn note(&mut self, time: time::Duration) {
        let time = time.as_secs_f64();
        let (mean, deviation) = self.estimate.unwrap_or((time, time / 2.0));
        let deviation = deviation + SAMPLE_SHARE * ((time - mean).abs() - deviation);
        self.estimate = Some((mean + SAMPLE_SHARE * (time - mean), deviation));
    }

    /// Time by which nearly all replies arrive.
    fn timeout(&self) -> time::Duration {
        self.estimate.map_or(INITIAL_TIMEOUT, |(mean, deviation)| {
            let timeout = time::Duration::from_secs_f64(mean + MAX_DEVIATIONS * deviation);
            timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
        })
    }
}

/// The wait of one request for the first reply of a planner.
#[derive(Debug)]
pub struct ReplyWait {
    rule: PlannerSilence,
    /// When the request was sent to this planner for the first time.
    pub first_sent: units::MonoTime,
    /// When it was last sent to this planner.
    pub last_sent: units::MonoTime,
    /// Time-out of the present wait.
    pub timeout: time::Duration,
}

impl ReplyWait {
    /// The wait of a request that is sent to a planner for the first time now.
    pub fn new(rule: PlannerSilence, now: units::MonoTime, times: &ReplyTimes) -> Self {
        let timeout = match rule {
            PlannerSilence::Fixed | PlannerSilence::Contact => MIN_TIMEOUT,
            PlannerSilence::ReplyTimes => times.timeout(),
        };
        Self { rule, first_sent: now, last_sent: now, timeout }
    }

    /// Records that the request is sent to the same planner again.
    pub fn repeat(&mut self, now: units::MonoTime) {
        self.last_sent = now;
        if self.rule == PlannerSilence::Contact {
            let is_patient = self.trusts_contact();
            self.timeout =
                if is_patient { (self.timeout * 2).min(MAX_TIMEOUT) } else { MIN_TIMEOUT };
        }
    }

    /// Whether signs of life of the planner count.
    fn trusts_contact(&self) -> bool {
        self.last_sent.since(self.first_sent) < MAX_CONTACT_WAIT
    }

    /// Whether a time-out at `now` counts as silence of the planner. `heard` is whether the planner has shown a sign of
    /// life since [`Self::last_sent`].
    ///
    /// With [`PlannerSilence::Contact`] it does not if the planner is alive, or if this process handles the time-out so
    /// late that the reply may have arrived unread.
    pub fn is_silence(&self, now: units::MonoTime, heard: bool) -> bool {
        let is_late = now.since(self.last_sent) >= self.timeout + MIN_TIMEOUT;
        self.rule != PlannerSilence::Contact || !(heard || is_late) || !self.trusts_contact()
    }
}
