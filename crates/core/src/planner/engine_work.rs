//! Model of the work of one engine, as its planner estimates it.

use std::{collections, time};

use crate::{engine_place, planner::modes, sharing, units};

/// How long an engine is ejected (excluded from new placements) after a failure; doubles with each further failure.
const EJECTION_TIME: time::Duration = time::Duration::from_millis(600);
/// Longest ejection after failures.
const MAX_EJECTION_TIME: time::Duration = time::Duration::from_secs(5);
/// How long an engine is ejected after it refused a request for lack of capacity; doubles with each further refusal.
/// Without this ejection, an engine that refuses everything looks idle and attracts all requests.
const REFUSAL_EJECTION_TIME: time::Duration = time::Duration::from_millis(100);
/// Largest number of doublings of an ejection time.
const MAX_DOUBLINGS: u32 = 4;
/// How long an engine is ejected after it refused to prefill a part for another engine. Most such engines are leaving,
/// and the published list takes about this long to say so. With a shorter time, a prompt may meet two such engines in a
/// row.
const HELPER_EJECTION_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Range of plausible paces of an engine. The pace is the slowdown relative to the performance model; a reported pace
/// outside the range is clamped to it.
const PACE_RANGE: (f64, f64) = (0.5, 20.0);
/// Pace above which an engine is polled as often as one with work.
const SLOW_PACE: f64 = 1.2;
/// Number of requests by which an engine's report may exceed the planner's own count before the excess is attributed to
/// other planners. Requests start and end while the report is sent.
pub(crate) const REPORT_SLACK: usize = 4;
/// Number of requests by which the count sent with a first token may exceed the planner's own count before the excess
/// is attributed to other planners. Below [`REPORT_SLACK`], as that count is a few milliseconds old; reports are about
/// 200 ms old.
const FIRST_TOKEN_SLACK: usize = 2;

/// Time without new work after which an engine counts as idle.
const IDLE_TIME: time::Duration = time::Duration::from_secs(4);

/// Delay of a first token, relative to its expected time, from which the token counts as overdue: the time of one pass
/// and of the message to the planner.
const FIRST_TOKEN_DELAY_SLACK: time::Duration = time::Duration::from_millis(120);

/// Lower bound of a pass, milliseconds, in case the model of an engine gives an implausible time.
const MIN_PASS_MS: f64 = 0.5;

/// How long a pass may exceed its modeled time without a first token before it counts as over: the prompts of the pass
/// are then lost, or answered by a member whose messages do not arrive.
const MAX_PASS_OVERRUN: time::Duration = time::Duration::from_millis(300);

/// A part of a prompt that an engine has still to prefill.
#[derive(Debug, Clone)]
pub(crate) struct PendingPart {
    pub(crate) job: engine_place::JobId,
    /// Prefill time of the part, milliseconds.
    pub(crate) left_ms: f64,
    /// When the part was placed on the engine.
    pub(crate) placed: units::MonoTime,
}

/// A pass in progress: the engine prefills the parts that were pending at its start and runs the decode steps of its
/// decoding requests. Parts that arrive during a pass wait for the next one.
#[derive(Debug, Clone)]
pub(crate) struct EnginePass {
    /// Time until the end of the pass, milliseconds.
    pub(crate) left_ms: f64,
    /// When the modeled time of the pass was over, while its end is not confirmed; `None` before.
    pub(crate) overrun_since: Option<units::MonoTime>,
    /// Parts that the pass prefills.
    pub(crate) parts: Vec<PendingPart>,
}

/// How long a first token may be overdue before the engine no longer counts as working on it. Another
/// engine that prefills a part of the same prompt has then failed, or the request is lost on its way.
pub(crate) const MAX_OVERDUE: time::Duration = time::Duration::from_millis(500);

/// The first token that a request is expected to get from an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExpectedToken {
    pub(crate) due: units::MonoTime,
    /// Whether the request is lost on its way, or its answer: the token has been overdue for [`MAX_OVERDUE`], and
    /// meanwhile the engine has sent one that was due later, or reported that it has no requests. It says nothing about
    /// the engine then.
    pub(crate) is_lost: bool,
}

impl ExpectedToken {
    pub(crate) fn new(due: units::MonoTime) -> Self {
        Self { due, is_lost: false }
    }

    fn is_long_overdue(&self, now: units::MonoTime) -> bool {
        now.since(self.due) > MAX_OVERDUE
    }
}

/// Estimated state of one engine.
#[derive(Debug, Clone)]
pub(crate) struct EngineWork {
    /// Position in the order in which engines of equal loss or cost are filled; lower ranks come first.
    pub(crate) rank: u64,
    /// How the end of a pass is determined.
    tracking: sharing::PassTracking,
    /// Tokens of memory that the planner may assign.
    pub(crate) memory: u64,
    /// Requests that this engine answers.
    pub(crate) answering: collections::BTreeSet<engine_place::JobId>,
    /// Requests of `answering` whose prefill is complete and which are decoding.
    pub(crate) decoding: collections::BTreeSet<engine_place::JobId>,
    /// Time of the decode steps of one pass with the current decoding requests, milliseconds; 0 if there are none.
    pub(crate) steps_ms: f64,
    /// The pass in progress; `None` while the engine has no work.
    pub(crate) pass: Option<EnginePass>,
    /// Parts queued for the next pass, oldest first.
    pub(crate) pending: collections::VecDeque<PendingPart>,
    /// Expected first token of each request that this engine prefills, wholly or in part, until the token is sent or
    /// the request ends.
    pub(crate) expected: collections::BTreeMap<engine_place::JobId, ExpectedToken>,
    /// Tokens of memory in use or reserved.
    pub(crate) used: u64,
    /// Slowdown relative to the performance model; above 1 if the engine is slower.
    pub(crate) pace: f64,
    /// Estimated number of requests of other planners.
    pub(crate) foreign: usize,
    /// Failures since the last first token.
    pub(crate) failures: u32,
    /// Refusals for lack of capacity since the last first token.
    pub(crate) refusals: u32,
    ejected_until: units::MonoTime,
    /// When work was last placed on the engine.
    last_placed: Option<units::MonoTime>,
    /// When the engine's report was last requested.
    report_requested: Option<units::MonoTime>,
    /// Time up to which the passes have been simulated.
    pub(crate) advanced: units::MonoTime,
}

impl EngineWork {
    pub(crate) fn new(
        rank: u64,
        memory: u64,
        tracking: sharing::PassTracking,
        now: units::MonoTime,
    ) -> Self {
        Self {
            rank,
            tracking,
            memory,
            answering: collections::BTreeSet::new(),
            decoding: collections::BTreeSet::new(),
            expected: collections::BTreeMap::new(),
            steps_ms: 0.0,
            pass: None,
            pending: collections::VecDeque::new(),
            used: 0,
            pace: 1.0,
            foreign: 0,
            failures: 0,
            refusals: 0,
            ejected_until: units::MonoTime::default(),
            last_placed: None,
            report_requested: None,
            advanced: now,
        }
    }

    /// Simulates the passes since the last call.
    pub(crate) fn advance(&mut self, now: units::MonoTime) {
        let mut spent = now.since(self.advanced).as_secs_f64() * 1_000.0 / self.pace;
        self.advanced = now;
        loop {
            let Some(pass) = self.pass.as_mut() else {
                if !self.begin_pass() {
                    return;
                }
                continue;
            };
            if pass.left_ms > spent {
                pass.left_ms -= spent;
                return;
            }
            spent -= pass.left_ms;
            if self.tracking == sharing::PassTracking::Confirmed && !pass.parts.is_empty() {
                pass.left_ms = 0.0;
                let overrun_since = *pass.overrun_since.get_or_insert(now);
                if now.since(overrun_since) < MAX_PASS_OVERRUN {
                    return;
                }
                spent = 0.0;
            }
            self.pass = None;
            // Without pending prefill, all passes take the same time and whole ones can be skipped.
            if self.pending.is_empty() {
                spent %= self.steps_ms.max(MIN_PASS_MS);
            }
        }
    }

    /// Starts the next pass; returns `false` if there is no work.
    fn begin_pass(&mut self) -> bool {
        if self.decoding.is_empty() {
            // Without decode steps, the parts are prefilled one by one.
            let Some(part) = self.pending.pop_front() else {
                return false;
            };
            self.pass =
                Some(EnginePass { left_ms: part.left_ms, overrun_since: None, parts: vec![part] });
            return true;
        }
        let parts: Vec<_> = self.pending.drain(..).collect();
        let prefill_ms: f64 = parts.iter().map(|part| part.left_ms).sum();
        let left_ms = self.steps_ms.max(MIN_PASS_MS) + prefill_ms;
        self.pass = Some(EnginePass { left_ms, overrun_since: None, parts });
        true
    }

    pub(crate) fn add_part(&mut self, part: PendingPart) {
        self.pending.push_back(part);
    }

    /// Records the first token of a job: the pass that prefilled its part has ended.
    pub(crate) fn note_first_token(&mut self, job: engine_place::JobId) {
        if self.pass.as_ref().is_some_and(|pass| pass.parts.iter().any(|part| part.job == job)) {
            self.pass = None;
        }
        self.pending.retain(|part| part.job != job);
        if let Some(token) = self.expected.remove(&job) {
            self.mark_lost(|overdue| overdue.due < token.due);
        }
        self.failures = 0;
        self.refusals = 0;
    }

    /// Marks the long overdue tokens for which `is_lost` holds.
    fn mark_lost(&mut self, is_lost: impl Fn(&ExpectedToken) -> bool) {
        let now = self.advanced;
        let overdue = self.expected.values_mut().filter(|token| token.is_long_overdue(now));
        overdue.filter(|token| is_lost(token)).for_each(|token| token.is_lost = true);
    }

    /// Removes a job's part, whether prefilled or not.
    pub(crate) fn drop_part(&mut self, job: engine_place::JobId) {
        self.expected.remove(&job);
        self.pending.retain(|part| part.job != job);
        if let Some(pass) = &mut self.pass
            && let Some(at) = pass.parts.iter().position(|part| part.job == job)
        {
            let part = pass.parts.remove(at);
            pass.left_ms = (pass.left_ms - part.left_ms).max(0.0);
        }
    }

    /// Ejects the engine for a while after a failure, longer for each failure in a row.
    pub(crate) fn eject(&mut self, now: units::MonoTime) {
        let ejection_time = EJECTION_TIME * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.ejected_until = now + ejection_time.min(MAX_EJECTION_TIME);
    }

    /// Ejects the engine briefly after it refused a request for lack of capacity.
    pub(crate) fn note_refusal(&mut self, now: units::MonoTime) {
        let ejection_time = REFUSAL_EJECTION_TIME * 2_u32.pow(self.refusals.min(MAX_DOUBLINGS));
        self.refusals += 1;
        self.ejected_until = self.ejected_until.max(now + ejection_time);
    }

    /// Whether the engine is ejected.
    ///
    /// With [`modes::EngineFaultMode::Probe`], an engine that failed gets a single request when its ejection time is
    /// over, and stays ejected until the first token of that request.
    pub(crate) fn is_ejected(&self, now: units::MonoTime, mode: modes::EngineFaultMode) -> bool {
        let is_awaited = self.expected.values().any(|token| !token.is_lost);
        let probed = mode == modes::EngineFaultMode::Probe && self.failures > 0 && is_awaited;
        self.ejected_until > now || probed
    }

    /// Ejects the engine after it refused to prefill a part for another engine. Most such engines are leaving, which
    /// the answers that they are still sending do not show.
    pub(crate) fn eject_helper(&mut self, now: units::MonoTime) {
        self.ejected_until = self.ejected_until.max(now + HELPER_EJECTION_TIME);
    }

    pub(crate) fn note_placed(&mut self, now: units::MonoTime) {
        self.last_placed = Some(now);
    }

    /// Whether the engine has no work, has got none for [`IDLE_TIME`], and is not suspect. An engine is suspect if it
    /// has requests of other planners, has failed since its last first token, or is slower than [`SLOW_PACE`].
    pub(crate) fn is_idle(&self, now: units::MonoTime) -> bool {
        let has_work = !self.answering.is_empty() || self.used > 0 || self.pass.is_some();
        let is_suspect = self.foreign > 0 || self.failures > 0 || self.pace > SLOW_PACE;
        let is_recent =
            self.last_placed.is_some_and(|last_placed| now.since(last_placed) < IDLE_TIME);
        !(has_work || is_suspect || is_recent)
    }

    /// Whether the engine's report is due; if so, records it as requested. The report of an idle engine is due once per
    /// `idle_interval`.
    pub(crate) fn take_report_due(
        &mut self,
        now: units::MonoTime,
        idle_interval: time::Duration,
    ) -> bool {
        let is_recent =
            self.report_requested.is_some_and(|requested| now.since(requested) < idle_interval);
        let due = !(is_recent && self.is_idle(now));
        self.report_requested = if due { Some(now) } else { self.report_requested };
        due
    }

    /// Applies the pace and the number of requests in the engine's load report.
    pub(crate) fn report(&mut self, pace: f64, requests: usize) {
        self.pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.foreign = requests.saturating_sub(self.answering.len() + REPORT_SLACK);
        if requests == 0 {
            self.mark_lost(|_| true);
        }
    }

    /// Applies a pace that was observed since the last report, if any.
    pub(crate) fn correct_pace(&mut self, observed: Option<f64>) {
        if let Some(pace) = observed {
            self.pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
        }
    }

    /// Applies the number of requests that the engine had when it sent a first token.
    ///
    /// First tokens arrive several times a second, reports every two seconds. With reports alone, two planners on
    /// the two sides of a network partition would fill the same engines.
    pub(crate) fn note_load(&mut self, requests: usize) {
        self.foreign = requests.saturating_sub(self.answering.len() + FIRST_TOKEN_SLACK);
    }

    /// Prefill time queued for the next pass, milliseconds.
    pub(crate) fn pending_ms(&self) -> f64 {
        self.pending.iter().map(|part| part.left_ms).sum()
    }

    /// Age of the oldest part that waits for the next pass, milliseconds; 0 without one, or if the end of passes is not
    /// confirmed.
    pub(crate) fn oldest_pending_ms(&self, now: units::MonoTime) -> f64 {
        if self.tracking == sharing::PassTracking::Modeled {
            return 0.0;
        }
        let oldest = self.pending.front().map(|part| now.since(part.placed));
        oldest.unwrap_or_default().as_secs_f64() * 1_000.0
    }

    /// Time until the next pass is expected to begin, milliseconds; longer while a first token is overdue.
    pub(crate) fn wait_ms(&self, now: units::MonoTime) -> f64 {
        self.pass.as_ref().map_or(0.0, |pass| pass.left_ms) + self.overdue_ms(now)
    }

    /// How long the engine's oldest expected first token is overdue, milliseconds. An engine with an overdue token does
    /// work that this planner does not know of, for an unknown time.
    fn overdue_ms(&self, now: units::MonoTime) -> f64 {
        let awaited = self.expected.values().filter(|token| !token.is_lost);
        let oldest = awaited.map(|token| token.due).min();
        let late = oldest.map_or(time::Duration::ZERO, |due| now.since(due));
        late.saturating_sub(FIRST_TOKEN_DELAY_SLACK).as_secs_f64() * 1_000.0
    }

    /// Time until all prefill that is running or queued is complete, milliseconds.
    pub(crate) fn prefill_left_ms(&self) -> f64 {
        let pass = self.pass.as_ref().filter(|pass| !pass.parts.is_empty());
        pass.map_or(0.0, |pass| pass.left_ms) + self.pending_ms()
    }
}
