//! Passive health checks of the upstreams of plain services: a failing upstream is avoided during a pause, and then gets one
//! probe at a time.
//!
//! Load alone cannot replace this: an upstream that fails at once has no call in progress, so it would look like the best
//! choice and get all calls.

use std::time;

use crate::units;

/// Pause after the first failure in a row; doubles with each further one. Calls take some tens of
/// milliseconds, while most faults last for seconds.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Longest pause, and so the longest time until an upstream that works again gets its share back.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(5);
/// Minimum pause after an upstream was found gone from its address. It does not return by itself: its list entry
/// changes or is deleted, mostly within three seconds.
const GONE_PAUSE: time::Duration = time::Duration::from_secs(3);
/// Pause after a refusal for lack of capacity. Such an upstream works: this is about the time in which one of its slots
/// becomes free.
const REFUSED_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Most doublings of a pause.
const MAX_DOUBLINGS: u32 = 5;
/// Timeout of a probe: its call may end without a result, because its caller has left.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time after a report of a gone upstream within which another report does not count as new: many members find out at
/// once.
const GONE_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Weight of the newest call in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time constant with which the failure rate decays. Without the decay, an upstream that is avoided because of its
/// failure rate would keep that rate, as it gets no calls.
const FAILURE_RATE_DECAY: time::Duration = time::Duration::from_secs(2);
/// Time after a pause within which only repeatable calls are probes: any other call is lost if the upstream fails again.
const REPEATABLE_ONLY_TIME: time::Duration = time::Duration::from_secs(2);

/// Result of a call to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The upstream served the call.
    Good,
    /// The upstream refused the call for lack of capacity.
    Full,
    /// The upstream ran the call and reported an error, of which the call itself may be the cause.
    Erred,
    /// The upstream could not be reached, or broke off the call.
    Failed,
    /// Another upstream answers at the address.
    Gone,
}

/// Health of one start of an upstream, which is one life of its process.
#[derive(Debug, Default, Clone)]
pub struct UpstreamHealth {
    /// Failed or refused calls since the last good one; at least 1 after a report that the upstream is gone.
    consecutive_failures: u32,
    /// End of the pause; at most [`MAX_PAUSE`] after the last failure.
    paused_until: units::MonoTime,
    /// When the pending probe began; only after a failure.
    probe: Option<units::MonoTime>,
    /// Moving average of failed calls, 0 to 1, as of `updated`.
    failure_rate: f64,
    updated: units::MonoTime,
    /// When the upstream was last reported gone.
    gone_reported: Option<units::MonoTime>,
}

impl UpstreamHealth {
    /// Whether no call has failed or been refused since the last good one.
    pub fn is_healthy(&self) -> bool {
        self.consecutive_failures == 0
    }

    /// Whether a call should probe the upstream: no other signal would show its recovery, as an avoided upstream gets
    /// no calls. Repeatable calls probe first.
    pub fn needs_probe(&self, now: units::MonoTime, repeatable: bool) -> bool {
        let due =
            if repeatable { self.paused_until } else { self.paused_until + REPEATABLE_ONLY_TIME };
        let probed = self.probe.is_some_and(|since| now.since(since) < PROBE_TIMEOUT);
        self.consecutive_failures > 0 && due <= now && !probed
    }

    /// Recent share of failed calls, 0 to 1; decays without calls.
    pub fn failure_rate(&self, now: units::MonoTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / FAILURE_RATE_DECAY.as_secs_f64();
        self.failure_rate * (-age).exp()
    }

    /// Records the start of a call, which is a probe unless the upstream is healthy.
    pub fn begin(&mut self, now: units::MonoTime) {
        if self.consecutive_failures > 0 {
            self.probe = Some(now);
        }
    }

    /// Records the result of a call.
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
            // Only the failure rate counts, as either this call or the upstream may be the cause.
            CallResult::Erred => return,
            CallResult::Full => REFUSED_PAUSE,
            CallResult::Failed => FIRST_PAUSE,
            CallResult::Gone => GONE_PAUSE,
        };
        let pause = pause * 2_u32.pow(self.consecutive_failures.min(MAX_DOUBLINGS));
        self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
        self.consecutive_failures += 1;
    }

    /// Records a report, of a member or of this process, that the upstream is gone; returns whether it is new, as there
    /// was no such report within the last [`GONE_REPORT_INTERVAL`].
    pub fn receive_gone(&mut self, now: units::MonoTime) -> bool {
        let is_new =
            self.gone_reported.is_none_or(|reported| now.since(reported) >= GONE_REPORT_INTERVAL);
        self.gone_reported = Some(now);
        self.consecutive_failures = self.consecutive_failures.max(1);
        self.paused_until = self.paused_until.max(now + GONE_PAUSE);
        is_new
    }

    /// Drops the pending probe, as its call ended without a result because its caller has left.
    pub fn cancel_probe(&mut self) {
        self.probe = None;
    }
}
