//! The work of one engine as its planner believes it.

use std::{collections, time};

use crate::{engine_place, planner::ways, units};

/// Time an engine is left alone after a failure; doubles with each further one.
const EJECTION_TIME: time::Duration = time::Duration::from_millis(600);
/// Longest time an engine is left alone.
const MAX_EJECTION_TIME: time::Duration = time::Duration::from_secs(5);
/// Time an engine is left alone that refused a request for want of room, as its planner believed
/// otherwise; doubles with each further refusal. Who refuses has nothing to do and looks like the best
/// choice.
const REFUSAL_TIME: time::Duration = time::Duration::from_millis(100);
/// Doublings of these times at most.
const MAX_DOUBLINGS: u32 = 4;
/// Time an engine is left alone that refused to read a part for another one: about the time until the
/// list says that it leaves. With a shorter one a prompt may meet two such engines in a row.
const HELPER_EJECTION_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Paces that are believed; a report beyond them is a fault.
const PACE_RANGE: (f64, f64) = (0.5, 20.0);
/// Pace above which an engine is polled like one with work.
const SLOW_PACE: f64 = 1.2;
/// Requests that come and go while a report is on its way; a difference up to this says nothing.
const REPORT_SLACK: usize = 4;
/// The same while a first token's note is on its way: some milliseconds, where reports are some 200
/// old.
const FIRST_TOKEN_SLACK: usize = 2;

/// Time without new work after which an engine is idle.
const IDLE_TIME: time::Duration = time::Duration::from_secs(4);

/// Time beyond an expected first token that says nothing: a pass, and the way to the planner.
const EXPECTED_SLACK: time::Duration = time::Duration::from_millis(120);

/// Shortest pass that is believed, milliseconds; below, figures of an engine are a fault.
const MIN_PASS_MS: f64 = 0.5;

/// A part of a prompt that an engine has not read yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingPart {
    pub(crate) job: engine_place::JobId,
    pub(crate) left_ms: f64,
}

/// A pass under way: an engine reads what waited when the pass began, and plays the steps of those
/// that write there. What arrives meanwhile waits for the next one.
#[derive(Debug, Clone)]
pub(crate) struct EnginePass {
    pub(crate) left_ms: f64,
    /// Parts that it reads.
    pub(crate) parts: Vec<PendingPart>,
}

/// What one engine is believed to do.
#[derive(Debug, Clone)]
pub(crate) struct EngineWork {
    /// Place in the order in which engines are filled.
    pub(crate) rank: u64,
    pub(crate) memory: u64,
    /// Requests answered here.
    pub(crate) answering: collections::BTreeSet<engine_place::JobId>,
    /// Those of them whose prompt has been read.
    pub(crate) writers: collections::BTreeSet<engine_place::JobId>,
    /// Time of the steps of a pass with the writers of now, milliseconds.
    pub(crate) steps_ms: f64,
    /// The pass under way; none while there is nothing to do.
    pub(crate) pass: Option<EnginePass>,
    /// Parts that wait for the next pass, oldest first.
    pub(crate) pending: collections::VecDeque<PendingPart>,
    /// Prompts read here whose first token is not out, with the time at which it was expected.
    pub(crate) expected: collections::BTreeMap<engine_place::JobId, units::MonoTime>,
    /// Tokens in use or set aside.
    pub(crate) used: u64,
    /// Above 1 the engine is slower than its figures.
    pub(crate) pace: f64,
    /// Requests of other planners.
    pub(crate) foreign: usize,
    /// Failures since the last first token there.
    pub(crate) failures: u32,
    /// Refusals for want of room since the last first token there.
    pub(crate) refusals: u32,
    ejected_until: units::MonoTime,
    /// When work was last placed here.
    placed: Option<units::MonoTime>,
    /// When its report was last requested.
    asked: Option<units::MonoTime>,
    pub(crate) advanced: units::MonoTime,
}

impl EngineWork {
    /// An idle engine.
    pub(crate) fn new(rank: u64, memory: u64, now: units::MonoTime) -> Self {
        Self {
            rank,
            memory,
            answering: collections::BTreeSet::new(),
            writers: collections::BTreeSet::new(),
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
            placed: None,
            asked: None,
            advanced: now,
        }
    }

    /// Plays the passes since the last call.
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
            self.pass = None;
            // With nothing to read all passes are alike.
            if self.pending.is_empty() {
                spent %= self.steps_ms.max(MIN_PASS_MS);
            }
        }
    }

    /// Begins the next pass; `false` where there is nothing to do.
    fn begin_pass(&mut self) -> bool {
        if self.writers.is_empty() {
            // Without steps in between, one part is read after the other.
            let Some(part) = self.pending.pop_front() else {
                return false;
            };
            self.pass = Some(EnginePass { left_ms: part.left_ms, parts: vec![part] });
            return true;
        }
        let parts: Vec<_> = self.pending.drain(..).collect();
        let reading: f64 = parts.iter().map(|part| part.left_ms).sum();
        self.pass = Some(EnginePass { left_ms: self.steps_ms.max(MIN_PASS_MS) + reading, parts });
        true
    }

    /// Adds a part that is to be read.
    pub(crate) fn add_part(&mut self, part: PendingPart) {
        self.pending.push_back(part);
    }

    /// Notes that the first token of a job is out: the pass that read its part is over.
    pub(crate) fn note_read(&mut self, job: engine_place::JobId) {
        if self.pass.as_ref().is_some_and(|pass| pass.parts.iter().any(|part| part.job == job)) {
            self.pass = None;
        }
        self.pending.retain(|part| part.job != job);
        self.expected.remove(&job);
        self.failures = 0;
        self.refusals = 0;
    }

    /// Takes a job's part out, read or not.
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

    /// Leaves it alone for a while, longer after each failure in a row.
    pub(crate) fn eject(&mut self, now: units::MonoTime) {
        let time = EJECTION_TIME * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.ejected_until = now + time.min(MAX_EJECTION_TIME);
    }

    /// Leaves it alone for a moment, as it has refused a request for want of room.
    pub(crate) fn note_refusal(&mut self, now: units::MonoTime) {
        let time = REFUSAL_TIME * 2_u32.pow(self.refusals.min(MAX_DOUBLINGS));
        self.refusals += 1;
        self.ejected_until = self.ejected_until.max(now + time);
    }

    /// Whether it is left alone: for a while after a failure, and then until the first token of the
    /// one request that finds out whether it is sound again.
    pub(crate) fn is_ejected(&self, now: units::MonoTime, way: ways::EngineFaultWay) -> bool {
        let probed =
            way == ways::EngineFaultWay::Probe && self.failures > 0 && !self.expected.is_empty();
        self.ejected_until > now || probed
    }

    /// Leaves it alone after it refused to read a part for another engine: mostly it is leaving, which
    /// its own answers do not show.
    pub(crate) fn eject_helper(&mut self, now: units::MonoTime) {
        self.ejected_until = self.ejected_until.max(now + HELPER_EJECTION_TIME);
    }

    /// Records that work is placed here.
    pub(crate) fn note_placed(&mut self, now: units::MonoTime) {
        self.placed = Some(now);
    }

    /// Whether it has no work and no sign of trouble.
    pub(crate) fn is_idle(&self, now: units::MonoTime) -> bool {
        let has_work = !self.answering.is_empty() || self.used > 0 || self.pass.is_some();
        let is_doubted = self.foreign > 0 || self.failures > 0 || self.pace > SLOW_PACE;
        let is_recent = self.placed.is_some_and(|placed| now.since(placed) < IDLE_TIME);
        !(has_work || is_doubted || is_recent)
    }

    /// Whether its report is due, which counts as requested then; `idle_interval` applies while it is idle.
    pub(crate) fn take_report_due(
        &mut self,
        now: units::MonoTime,
        idle_interval: time::Duration,
    ) -> bool {
        let asked = self.asked.is_some_and(|asked| now.since(asked) < idle_interval);
        let due = !(asked && self.is_idle(now));
        self.asked = if due { Some(now) } else { self.asked };
        due
    }

    /// Takes over what it says of itself.
    pub(crate) fn report(&mut self, pace: f64, requests: usize) {
        self.pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.foreign = requests.saturating_sub(self.answering.len() + REPORT_SLACK);
    }

    /// Takes over how many requests it had as an answer of its own began.
    ///
    /// Answers come several times a second where reports come each two: by reports alone two planners on the sides of
    /// a cut fill the same engines.
    pub(crate) fn note_load(&mut self, requests: usize) {
        self.foreign = requests.saturating_sub(self.answering.len() + FIRST_TOKEN_SLACK);
    }

    /// Reading that waits for the next pass, milliseconds.
    pub(crate) fn pending_ms(&self) -> f64 {
        self.pending.iter().map(|part| part.left_ms).sum()
    }

    /// Time until the next pass begins, milliseconds.
    pub(crate) fn wait_ms(&self, now: units::MonoTime) -> f64 {
        self.pass.as_ref().map_or(0.0, |pass| pass.left_ms) + self.behind_ms(now)
    }

    /// How far it is behind what was expected of it, milliseconds: it does something that its
    /// planner does not know of, for an unknown time.
    fn behind_ms(&self, now: units::MonoTime) -> f64 {
        let oldest = self.expected.values().min();
        let late = oldest.map_or(time::Duration::ZERO, |due| now.since(*due));
        late.saturating_sub(EXPECTED_SLACK).as_secs_f64() * 1_000.0
    }

    /// Time until all that is to be read by now has been read, milliseconds.
    pub(crate) fn unread_ms(&self) -> f64 {
        let reads = self.pass.as_ref().filter(|pass| !pass.parts.is_empty());
        reads.map_or(0.0, |pass| pass.left_ms) + self.pending_ms()
    }
}
