//! Which engines read a prompt: every way is weighed by what it loses, for the request and for
//! those that write there. Times are milliseconds as `f64`, see [`crate::pass_model`].

use crate::{
    engine_place, engine_view, pass_model, planner_urgency, read_planner, settings, units,
};

/// Numbers of parts that are compared.
const PART_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, 17];
/// Part of a pause goal that a pass may fill by plan; the rest is for what the plan cannot see.
const PAUSE_PART: f64 = 0.85;
/// Part of an engine's memory that is given away.
pub(crate) const MEMORY_PART: f64 = 0.96;
/// A prompt that leaves its engine less than this part of the memory is held by several.
const ALONE_PART: f64 = 0.85;
/// Largest part of an engine's free memory that is set aside for a prompt answered elsewhere.
const HELD_PART: f64 = 0.9;
/// Tokens below which setting memory aside is not worth an order.
const MIN_HELD_TOKENS: u64 = 4_096;
/// Part of a tight goal that a plan may use on the engine.
const TIGHT_GOAL_PART: f64 = 0.75;
/// Part of a tight goal within which a sooner start earns nothing.
const TIGHT_EASY_PART: f64 = 0.55;
/// Reading that may still wait on an engine when a long part is added, milliseconds: about the
/// time that the request takes to get there.
const MAX_STACKED_MS: f64 = 40.0;
/// Longest part that is read in one go while there is a choice, milliseconds.
const MAX_PART_MS: f64 = 500.0;
/// The same in shares of the prompt's goal, if longer.
const MAX_GOAL_PART: f64 = 0.2;
/// Shortest part that is worth a helper, milliseconds.
const MIN_PART_MS: f64 = 20.0;
/// Parts up to this length may be read before a short prompt that waits on the same engine.
const SHORT_PART_MS: f64 = 60.0;
/// What a part costs beside its reading: a message and a pass cut short, milliseconds.
const PART_COST_MS: f64 = 15.0;
/// Part of its own worth that a long prompt may cost others.
const HARM_PART: f64 = 0.5;

/// Part of its worth that an answer loses by one long pause.
const LOST_PART: f64 = 0.75;
/// What speaks against an engine without writers as the one that answers, in short writers.
const FRESH_HOST: f64 = 0.5;
/// Reading that waits there and weighs as much as one short writer, milliseconds.
const HOST_PENDING_MS: f64 = 100.0;
/// Losses by which short requests are ordered onto engines, in shares of one's worth: for each
/// writer missing to the packing, for each beyond it, for each long one beside, for a pause that
/// is too long already, for an engine without a free slot.
const PACK_LOSS: f64 = 0.004;
/// See [`PACK_LOSS`].
const CROWD_LOSS: f64 = 0.02;
/// See [`PACK_LOSS`].
const BESIDE_LOSS: f64 = 0.03;
/// See [`PACK_LOSS`].
const PAUSED_LOSS: f64 = 0.5;
/// See [`PACK_LOSS`].
const FULL_LOSS: f64 = 1.0;
/// Loss for each time that an engine is slower than its figures: it may get slower still.
const PACE_LOSS: f64 = 0.05;

/// A place with what it loses.
pub(crate) struct Choice {
    pub(crate) grant: engine_place::PlaceGrant,
    pub(crate) loss: f64,
}

/// What a choice may do to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChoiceMode {
    /// Nobody's pauses suffer and no part waits behind another.
    Calm,
    /// No part waits behind another, and others suffer only for what comes in time, or is late
    /// already and will soon be given up.
    Harmful,
    /// Whatever loses least.
    Forced,
}

impl read_planner::ReadPlanner {
    /// The choice of a plain router: one engine, at once, read by nobody else.
    pub(crate) fn choose_plainly(
        &self,
        now: units::MonoTime,
        job: &planner_urgency::WaitingJob,
        views: &[engine_view::EngineView<'_>],
    ) -> Option<engine_place::PlaceGrant> {
        let load = |view: &&engine_view::EngineView<'_>| match self.options.routing {
            settings::RoutingKind::LeastRequests => view.answering as u64,
            settings::RoutingKind::LeastTokens => u64::MAX - view.free,
            _ => 0,
        };
        let turn = job.ask.job.sequence as usize % views.len().max(1);
        let (before, behind) = views.split_at(turn);
        let engine = behind.iter().chain(before).min_by_key(load)?;
        let part = pass_model::read_ms(&self.shape, job.ask.prompt);
        Some(engine_place::PlaceGrant {
            job: job.ask.job,
            engine: engine.name.clone(),
            helpers: Vec::new(),
            held: Vec::new(),
            first_token_ms: (engine.wait_ms + engine.pending_ms + part + engine.steps_ms) as u32,
            waited_ms: now.since(job.since).as_millis() as u32,
        })
    }

    /// The place that loses least; `None` where the mode allows none.
    pub(crate) fn choose(
        &self,
        now: units::MonoTime,
        job: &planner_urgency::WaitingJob,
        views: &[engine_view::EngineView<'_>],
        mode: ChoiceMode,
    ) -> Option<Choice> {
        let most = self.options.max_parts.min(views.len()).min(engine_place::MAX_HELPERS + 1);
        let whole = pass_model::read_ms(&self.shape, job.ask.prompt);
        PART_COUNTS
            .iter()
            .filter(|parts| **parts <= most)
            .filter(|parts| **parts == 1 || whole / **parts as f64 >= MIN_PART_MS)
            .filter_map(|parts| self.choose_parts(now, job, views, *parts, mode))
            .min_by(|left, right| left.loss.total_cmp(&right.loss))
    }

    pub(crate) fn choose_parts(
        &self,
        now: units::MonoTime,
        job: &planner_urgency::WaitingJob,
        views: &[engine_view::EngineView<'_>],
        parts: usize,
        mode: ChoiceMode,
    ) -> Option<Choice> {
        let ask = &job.ask;
        let part = pass_model::part_ms(&self.shape, ask.prompt, parts);
        let longest = self.longest_part(ask, views.len());
        let mut scored: Vec<_> = views
            .iter()
            .filter(|view| match mode {
                ChoiceMode::Calm => part <= longest && self.is_calm(view, ask, part),
                ChoiceMode::Harmful => view.unread_ms <= MAX_STACKED_MS,
                ChoiceMode::Forced => true,
            })
            .map(|view| (self.engine_loss(view, ask, part), view))
            .collect();
        if scored.len() < parts {
            return None;
        }
        scored
            .sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.rank.cmp(&right.1.rank)));
        let chosen = &scored[..parts];
        let capacity = (self.shape.memory.0 as f64 * MEMORY_PART) as u64;
        let alone = (ask.prompt + ask.output) as f64 <= capacity as f64 * ALONE_PART;
        let host = self.pick_host(ask, chosen, alone, mode)?;
        let held = if alone { Vec::new() } else { self.hold(ask, host, chosen, capacity)? };
        let first_token_ms = chosen.iter().map(|(_, view)| view.first_ms(part)).fold(0.0, f64::max);
        let loss = self.loss(now, job, chosen, part, first_token_ms, mode)?;
        let helpers = chosen
            .iter()
            .filter(|(_, view)| view.name != host.name)
            .map(|(_, view)| view.name.clone())
            .collect();
        let grant = engine_place::PlaceGrant {
            job: ask.job,
            engine: host.name.clone(),
            helpers,
            held,
            first_token_ms: first_token_ms as u32,
            waited_ms: now.since(job.since).as_millis() as u32,
        };
        Some(Choice { grant, loss })
    }

    /// Of the engines that read a prompt, the one that answers.
    fn pick_host<'a>(
        &self,
        ask: &engine_place::PlaceAsk,
        chosen: &[(f64, &'a engine_view::EngineView<'a>)],
        alone: bool,
        mode: ChoiceMode,
    ) -> Option<&'a engine_view::EngineView<'a>> {
        let need = ask.prompt + ask.output;
        // Answers of long prompts are written side by side, so that few engines interrupt their
        // reading for steps.
        let cost = |view: &engine_view::EngineView<'_>| {
            let fresh = if view.answering == 0 { FRESH_HOST } else { 0.0 };
            view.tight as f64 + fresh + view.unread_ms / HOST_PENDING_MS
        };
        let free = chosen
            .iter()
            .map(|(_, view)| *view)
            .filter(|view| view.answering < self.shape.slots)
            .filter(|view| !alone || view.free >= need)
            .min_by(|left, right| cost(left).total_cmp(&cost(right)));
        // Without a free slot anywhere the engine's own queue takes it.
        let queued = || chosen.iter().map(|(_, view)| *view).min_by_key(|view| view.answering);
        free.or_else(|| if mode == ChoiceMode::Forced && alone { queued() } else { None })
    }

    /// What a way loses in all; `None` where it harms others more than its mode allows.
    fn loss(
        &self,
        now: units::MonoTime,
        job: &planner_urgency::WaitingJob,
        chosen: &[(f64, &engine_view::EngineView<'_>)],
        part: f64,
        first_token_ms: f64,
        mode: ChoiceMode,
    ) -> Option<f64> {
        let left = if job.late(now) { planner_urgency::LATE_PART } else { 1.0 };
        let worth = f64::from(job.ask.worth) * left;
        let harm: f64 = chosen.iter().map(|(_, view)| self.harm(view, part)).sum();
        if mode == ChoiceMode::Harmful && harm > worth * HARM_PART {
            return None;
        }
        let in_time = first_token_ms <= job.goal_left(now) * planner_urgency::GOAL_PART;
        if mode == ChoiceMode::Harmful && harm > 0.0 && !in_time && !job.late(now) {
            return None;
        }
        let late = if in_time { 0.0 } else { worth };
        let ranks: f64 = chosen.iter().map(|(loss, _)| loss).sum();
        let delay = first_token_ms / f64::from(job.ask.goal_ms.max(1)) * self.options.delay;
        Some(harm + late + ranks + delay * worth)
    }

    /// Longest part of a prompt while there is a choice: on few engines it cannot be short.
    pub(crate) fn longest_part(&self, ask: &engine_place::PlaceAsk, engines: usize) -> f64 {
        let most = self.options.max_parts.min(engines).min(engine_place::MAX_HELPERS + 1);
        let shortest = pass_model::part_ms(&self.shape, ask.prompt, most);
        MAX_PART_MS.max(f64::from(ask.goal_ms) * MAX_GOAL_PART).max(shortest)
    }

    /// Whether an engine can read a part at once and nobody there suffers.
    pub(crate) fn is_calm(
        &self,
        view: &engine_view::EngineView<'_>,
        ask: &engine_place::PlaceAsk,
        part: f64,
    ) -> bool {
        if ask.tight() {
            let pass = (view.steps_ms + view.pending_ms + part) * view.pace;
            return view.answering < self.shape.slots
                && pass <= f64::from(ask.pause_ms) * PAUSE_PART
                && view.first_ms(part) <= f64::from(ask.goal_ms) * TIGHT_GOAL_PART
                && self.harm(view, part) <= 0.0;
        }
        // Parts read for others go before an engine's own, so a second one on top could keep the
        // first one waiting without end.
        view.unread_ms <= MAX_STACKED_MS
            && (part <= SHORT_PART_MS || view.unread == 0)
            && self.harm(view, part) <= 0.0
    }

    /// Worth that those who write on an engine lose by one more part read there.
    pub(crate) fn harm(&self, view: &engine_view::EngineView<'_>, part: f64) -> f64 {
        let before = (view.steps_ms + view.pending_ms) * view.pace;
        let pause = before + part * view.pace;
        let limit = view.pause_ms * PAUSE_PART;
        // A pause that is too long already is not lost twice.
        if pause > limit && before <= limit { view.worth * LOST_PART } else { 0.0 }
    }

    /// What speaks against reading a part on an engine, for order and ties.
    pub(crate) fn engine_loss(
        &self,
        view: &engine_view::EngineView<'_>,
        ask: &engine_place::PlaceAsk,
        part: f64,
    ) -> f64 {
        let harm = self.harm(view, part);
        let wait = (view.pending_ms + view.steps_ms + part) * view.pace;
        let first = view.first_ms(part);
        if ask.tight() {
            let full = if view.answering >= self.shape.slots { FULL_LOSS } else { 0.0 };
            let paused =
                if wait > f64::from(ask.pause_ms) * PAUSE_PART { PAUSED_LOSS } else { 0.0 };
            let packed = self.options.packed_writers;
            let fill = if view.tight < packed {
                (packed - view.tight) as f64 * PACK_LOSS
            } else {
                (view.tight - packed) as f64 * CROWD_LOSS
            };
            let beside = (view.answering - view.tight) as f64 * BESIDE_LOSS;
            // Time that the goal leaves anyway costs nothing.
            let slow = (first - f64::from(ask.goal_ms) * TIGHT_EASY_PART).max(0.0) / 1_000.0;
            let pace = (view.pace - 1.0).max(0.0) * PACE_LOSS;
            return harm + slow + full + paused + fill + beside + pace;
        }
        // Each part costs its engine a pass with the steps of those that write there.
        let steps = if view.answering > 0 { view.steps_ms } else { 0.0 };
        let crowd = view.tight as f64
            * self.options.pressure
            * (part / engine_place::TIGHT_PAUSE_MS).min(1.0);
        harm + crowd + (steps + view.unread_ms + PART_COST_MS) * view.pace / 1_000.0
    }

    /// Memory on other engines for what the answering one has no room for.
    pub(crate) fn hold(
        &self,
        ask: &engine_place::PlaceAsk,
        host: &engine_view::EngineView<'_>,
        chosen: &[(f64, &engine_view::EngineView<'_>)],
        capacity: u64,
    ) -> Option<Vec<engine_place::HeldPart>> {
        let own = host.free.min((capacity as f64 * ALONE_PART) as u64);
        let mut left = (ask.prompt + ask.output).saturating_sub(own);
        let mut others: Vec<_> =
            chosen.iter().map(|(_, view)| *view).filter(|view| view.name != host.name).collect();
        others.sort_by_key(|view| std::cmp::Reverse(view.free));
        let mut held = Vec::new();
        for view in others {
            if left == 0 {
                break;
            }
            let tokens = left.min((view.free as f64 * HELD_PART) as u64).max(MIN_HELD_TOKENS);
            if view.free < tokens {
                continue;
            }
            held.push(engine_place::HeldPart { engine: view.name.clone(), tokens });
            left = left.saturating_sub(tokens);
        }
        (left == 0).then_some(held)
    }
}
