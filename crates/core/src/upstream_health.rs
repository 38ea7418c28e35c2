//! How far an upstream of a plain service is trusted: who fails is left alone, and asked again by one
//! call at a time.
//!
//! Answers to the load that failures draw: an upstream that fails at once has no call in progress, so by load
//! alone it is the best choice and gets all calls.

use std::time;

use crate::units;

/// Pause after the first failure in a row; doubles with each further one. Calls take some tens of
/// milliseconds, and most faults last for seconds.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Longest pause: an upstream that is sound again has its share back within it.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(5);
/// First pause of one that is not at its address any more. It does not come back by itself: its
/// entry changes or goes, mostly within three seconds.
const GONE_PAUSE: time::Duration = time::Duration::from_secs(3);
/// Pause after a refusal for want of room, by which an upstream does its part: about the time that
/// a place there takes to come free.
const REFUSED_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Doublings of a pause at most.
const MAX_DOUBLINGS: u32 = 5;
/// A probe without an end so long is taken for lost, as where its caller has left.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time for which a notice to one member is not repeated by another: many are informed at once.
const GONE_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Weight of the newest call in the running mean of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time in which that mean fades: who is avoided for it gets no calls by which it could fall.
const FAILURE_RATE_DECAY: time::Duration = time::Duration::from_secs(2);
/// For so long only calls that may be repeated find out whether an upstream is sound again: the others
/// are lost where it is not.
const REPEATABLE_ONLY_TIME: time::Duration = time::Duration::from_secs(2);

/// How a call ended for its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// It did its part.
    Good,
    /// It refused for want of room.
    Full,
    /// It ran the call to a failure of its own: the call may be the cause as well.
    Erred,
    /// It could not be reached, or broke off.
    Failed,
    /// Another one answers at its address.
    Gone,
}

/// What is believed of one start of an upstream.
#[derive(Debug, Default, Clone)]
pub struct UpstreamHealth {
    /// Calls in a row that it did not do its part for.
    consecutive_failures: u32,
    /// Until when it is left alone; no later than [`MAX_PAUSE`] after the last failure.
    paused_until: units::MonoTime,
    /// When the call began that finds out whether it is sound again; only after a failure.
    probe: Option<units::MonoTime>,
    /// Share of calls that failed lately, as of `updated`.
    failure_rate: f64,
    updated: units::MonoTime,
    /// When a member last reported that it is gone.
    gone_reported: Option<units::MonoTime>,
}

impl UpstreamHealth {
    /// Whether it did its part when it was last asked.
    pub fn is_healthy(&self) -> bool {
        self.consecutive_failures == 0
    }

    /// Whether a call is to find out whether it is sound again: no other signal would show it, as one
    /// that is avoided gets no calls. Those that may be repeated do so first.
    pub fn needs_probe(&self, now: units::MonoTime, repeatable: bool) -> bool {
        let due =
            if repeatable { self.paused_until } else { self.paused_until + REPEATABLE_ONLY_TIME };
        let probed = self.probe.is_some_and(|since| now.since(since) < PROBE_TIMEOUT);
        self.consecutive_failures > 0 && due <= now && !probed
    }

    /// Share of calls that failed lately.
    pub fn failure_rate(&self, now: units::MonoTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / FAILURE_RATE_DECAY.as_secs_f64();
        self.failure_rate * (-age).exp()
    }

    /// Notes that a call goes there.
    pub fn begin(&mut self, now: units::MonoTime) {
        if self.consecutive_failures > 0 {
            self.probe = Some(now);
        }
    }

    /// Takes in how a call ended.
    pub fn end(&mut self, now: units::MonoTime, result: CallResult) {
        self.probe = None;
        let failure = if result == CallResult::Good { 0.0 } else { 1.0 };
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + (failure - failure_rate) * FAILURE_WEIGHT;
        self.updated = now;
        let pause = match result {
            CallResult::Good => {
                self.consecutive_failures = 0;
                return;
            }
            // Its share decides; whether this one call or the upstream is the cause is unknown.
            CallResult::Erred => return,
            CallResult::Full => REFUSED_PAUSE,
            CallResult::Failed => FIRST_PAUSE,
            CallResult::Gone => GONE_PAUSE,
        };
        let pause = pause * 2_u32.pow(self.consecutive_failures.min(MAX_DOUBLINGS));
        self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
        self.consecutive_failures += 1;
    }

    /// Records that a member, or this process, was informed that it is gone; returns whether that has
    /// not been heard for a while.
    pub fn receive_gone(&mut self, now: units::MonoTime) -> bool {
        let news = self.gone_reported.is_none_or(|heard| now.since(heard) >= GONE_REPORT_INTERVAL);
        self.gone_reported = Some(now);
        self.consecutive_failures = self.consecutive_failures.max(1);
        self.paused_until = self.paused_until.max(now + GONE_PAUSE);
        news
    }

    /// A call whose end says nothing, as its caller has left.
    pub fn cancel_probe(&mut self) {
        self.probe = None;
    }
}
