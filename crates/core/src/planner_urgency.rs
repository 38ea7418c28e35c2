//! How long a request may wait, what it may do to others, and when it is refused.

use crate::{engine_place, engine_work, pass_model, planner_choice, read_planner, units};

/// Part of the goal for the first token that a plan may use.
pub(crate) const GOAL_PART: f64 = 0.8;
/// Part of a tight goal that a request waits for a calm place: less than the quarter of it within
/// which a refusal must be out.
const TIGHT_WAIT_PART: f64 = 0.16;
/// The same for a request that has been refused before and would not come back again.
const RETURNED_WAIT_PART: f64 = 1.5;
/// Part of its worth that a request keeps that comes late.
pub(crate) const LATE_PART: f64 = 0.25;
/// Part of all engines' slots that must be taken before a short request is refused; below it,
/// engines that seem unusable may only have been slow.
const FULL_PART: f64 = 0.6;
/// Requests beyond its slots that an engine may get of those that come back.
const RETURNED_EXTRA: usize = 2;
/// When a refused request may come back, milliseconds; spread by its member.
const BACK_AFTER_MS: u32 = 700;
/// Parts of a long prompt's goal between which it may be refused: not before the planner has tried,
/// and inside the quarter within which a refusal must be out.
const LONG_REFUSAL: std::ops::Range<f64> = 0.12..0.22;
/// Factors of the expected first token: what waits is read with this loss, and the own part takes
/// this much longer than its reading alone; with [`LONG_EXTRA_MS`] beside. From runs on the bench.
const LONG_QUEUE_FACTOR: f64 = 1.2;
/// See [`LONG_QUEUE_FACTOR`].
const LONG_OWN_FACTOR: f64 = 1.3;
/// See [`LONG_QUEUE_FACTOR`], milliseconds.
const LONG_EXTRA_MS: f64 = 100.0;
/// A refused long prompt may come back this much later than its goal is missed by, milliseconds.
const LONG_BACK_MS: f64 = 1_000.0;
/// The latest that it is asked back, milliseconds; callers obey up to a third of their time.
const MAX_LONG_BACK_MS: f64 = 2_500.0;
/// Times its quickest reading that a long prompt needs, with what is under way on its engines.
const READ_MARGIN: f64 = 1.5;
/// Reserves of patience below which a late prompt may harm others.
const HARMFUL_RESERVES: f64 = 2.0;
/// Slack below which a long prompt goes before others, milliseconds: about the time that an
/// engine is busy with another's part.
const URGENT_SLACK_MS: f64 = 500.0;
/// Tokens of a short request's answer, for what an engine could do instead of reading.
const SHORT_ANSWER: u64 = 1_700;
/// Slack below which a request takes the best place there is, milliseconds.
const MIN_SLACK_MS: f64 = 60.0;
/// Time between two engines' readiness and a caller's patience that a late request is kept for.
const LATE_RESERVE_MS: f64 = 1_200.0;

/// A request without a place.
#[derive(Debug, Clone)]
pub(crate) struct WaitingJob {
    pub(crate) ask: engine_place::PlaceAsk,
    pub(crate) since: units::MonoTime,
}

impl WaitingJob {
    pub(crate) fn goal_left(&self, now: units::MonoTime) -> f64 {
        f64::from(self.ask.goal_left_ms) - self.waited_ms(now)
    }

    pub(crate) fn patience_left(&self, now: units::MonoTime) -> f64 {
        f64::from(self.ask.patience_ms) - self.waited_ms(now)
    }

    pub(crate) fn late(&self, now: units::MonoTime) -> bool {
        self.goal_left(now) <= 0.0
    }

    pub(crate) fn waited_ms(&self, now: units::MonoTime) -> f64 {
        now.since(self.since).as_secs_f64() * 1_000.0
    }
}

impl read_planner::ReadPlanner {
    /// Whether a short request would stand in an engine's queue, or come late.
    pub(crate) fn is_crowded(&self, job: &WaitingJob, choice: &planner_choice::Choice) -> bool {
        let engine = self.engines.get(&choice.grant.engine);
        let running = engine.map_or(0, |engine| engine.answering.len());
        let more = if job.ask.refusable { 0 } else { RETURNED_EXTRA };
        running >= self.shape.slots + more || choice.grant.first_token_ms > job.ask.goal_ms * 2
    }

    /// Refuses a short request that finds no place in time: in an engine's queue it would come
    /// late and make those behind it late too.
    pub(crate) fn refuse(
        &self,
        now: units::MonoTime,
        job: &WaitingJob,
    ) -> Option<engine_place::PlaceRefusal> {
        if job.ask.resumed {
            return None;
        }
        if !job.ask.tight() {
            return self.refuse_long(now, job);
        }
        let refusal = self.refusal(job, f64::from(BACK_AFTER_MS), None);
        let full = f64::from(refusal.running) >= f64::from(refusal.slots) * FULL_PART;
        full.then_some(refusal)
    }

    /// Refuses a long prompt whose answer would begin after its caller has left.
    ///
    /// Reading it would only keep engines from prompts that somebody still waits for.
    pub(crate) fn refuse_hopeless(
        &self,
        now: units::MonoTime,
        job: &WaitingJob,
        choice: &planner_choice::Choice,
    ) -> Option<engine_place::PlaceRefusal> {
        let expected = f64::from(choice.grant.first_token_ms);
        let hopeless = !job.ask.tight() && expected > job.patience_left(now);
        hopeless.then(|| self.refusal(job, LONG_BACK_MS, Some(expected)))
    }

    fn refusal(
        &self,
        job: &WaitingJob,
        back_after_ms: f64,
        expected_ms: Option<f64>,
    ) -> engine_place::PlaceRefusal {
        let slots = self.engines.len() * self.shape.slots;
        let running: usize = self.engines.values().map(|engine| engine.answering.len()).sum();
        engine_place::PlaceRefusal {
            job: job.ask.job,
            back_after_ms: back_after_ms as u32,
            expected_ms: expected_ms.map(|expected| expected as u32),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            slots: u32::try_from(slots).unwrap_or(u32::MAX),
        }
    }

    /// Refuses a long prompt whose turn will come too late, while its caller can still come back; and
    /// one that has come back as well: held on, it would mostly end unserved after many seconds.
    pub(crate) fn refuse_long(
        &self,
        now: units::MonoTime,
        job: &WaitingJob,
    ) -> Option<engine_place::PlaceRefusal> {
        let ask = &job.ask;
        let waited = job.waited_ms(now) / f64::from(ask.goal_ms.max(1));
        if ask.tight() || ask.resumed || !LONG_REFUSAL.contains(&waited) {
            return None;
        }
        let usable = self.engines.values().filter(|engine| engine.shunned_until <= now);
        let engines = usable.clone().count().max(1) as f64;
        let pending: f64 = usable.map(engine_work::EngineWork::unread_ms).sum();
        let before = self.waiting.iter().filter(|other| {
            !other.ask.tight() && !other.late(now) && other.ask.prompt < ask.prompt
        });
        let ahead: f64 =
            before.map(|other| pass_model::read_ms(&self.shape, other.ask.prompt)).sum();
        let own = pass_model::part_ms(&self.shape, ask.prompt, self.options.max_parts);
        let expected =
            (pending + ahead) / engines * LONG_QUEUE_FACTOR + own * LONG_OWN_FACTOR + LONG_EXTRA_MS;
        let missing = expected - job.goal_left(now);
        if missing <= 0.0 {
            return None;
        }
        let back_after = (missing + LONG_BACK_MS).min(MAX_LONG_BACK_MS);
        Some(self.refusal(job, back_after, Some(expected)))
    }

    /// What a request may do to others by now.
    ///
    /// A long one that can just be in time may cost others their pauses, but does not stand behind
    /// another's part, where both would come late. One that is late waits for a calm place until
    /// its caller's patience runs out.
    pub(crate) fn mode(
        &self,
        now: units::MonoTime,
        job: &WaitingJob,
    ) -> planner_choice::ChoiceMode {
        if job.ask.resumed {
            return planner_choice::ChoiceMode::Forced;
        }
        if job.ask.tight() {
            let part = if job.ask.refusable { TIGHT_WAIT_PART } else { RETURNED_WAIT_PART };
            let patient = job.waited_ms(now) < f64::from(job.ask.goal_ms) * part;
            return if patient {
                planner_choice::ChoiceMode::Calm
            } else {
                planner_choice::ChoiceMode::Forced
            };
        }
        let parts = self.options.max_parts.min(self.engines.len().max(1));
        let quickest = pass_model::part_ms(&self.shape, job.ask.prompt, parts);
        if job.late(now) {
            let spare = job.patience_left(now) - quickest;
            return match spare {
                spare if spare > LATE_RESERVE_MS * HARMFUL_RESERVES => {
                    planner_choice::ChoiceMode::Calm
                }
                spare if spare > LATE_RESERVE_MS => planner_choice::ChoiceMode::Harmful,
                _ => planner_choice::ChoiceMode::Forced,
            };
        }
        let spare = job.goal_left(now) * GOAL_PART - quickest * READ_MARGIN;
        if spare > MIN_SLACK_MS {
            planner_choice::ChoiceMode::Calm
        } else {
            planner_choice::ChoiceMode::Harmful
        }
    }

    /// Whether a long prompt is worth the short requests that its reading turns away, while these
    /// find no room. What is late by then waits until they do.
    pub(crate) fn earns_its_reading(&self, now: units::MonoTime, job: &WaitingJob) -> bool {
        if job.ask.tight() || job.ask.resumed || now >= self.pressed_until {
            return true;
        }
        let worth = f64::from(job.ask.worth) * if job.late(now) { LATE_PART } else { 1.0 };
        let seconds = pass_model::read_ms(&self.shape, job.ask.prompt) / 1_000.0;
        let answer_ms = pass_model::write_ms(&self.shape, self.shape.slots, 0, SHORT_ANSWER);
        let shorts = self.shape.slots as f64 * 1_000.0 / answer_ms;
        worth >= seconds * shorts
    }

    /// Whether a long prompt that is still in time would not be after a short wait.
    pub(crate) fn is_urgent(&self, now: units::MonoTime, job: &WaitingJob) -> bool {
        let parts = self.options.max_parts.min(self.engines.len().max(1));
        let quickest = pass_model::part_ms(&self.shape, job.ask.prompt, parts);
        let spare = job.goal_left(now) * GOAL_PART - quickest * READ_MARGIN;
        !job.ask.tight() && !job.late(now) && spare < URGENT_SLACK_MS
    }
}
