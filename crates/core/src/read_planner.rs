//! Where prompts are read: which engine answers a request, and which engines read parts of it.
//!
//! One planner holds the work of every engine of a service. Short prompts are packed onto few
//! engines, long ones are read in parts by engines on which nobody's pauses suffer. A request
//! that has slack waits for such a place; one that has none takes the place that loses least.
//! Times are milliseconds as `f64`, see [`crate::pass_model`].

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::{ids, pass_model, route_table, settings, units};

/// Most helpers of one prompt; engines accept no more.
pub const MAX_HELPERS: usize = 16;
/// Numbers of parts that are compared.
const PART_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, 17];
/// Writers with a pause goal up to this are packed together, milliseconds.
const TIGHT_PAUSE_MS: f64 = 300.0;
/// Part of a pause goal that a pass may fill by plan; the rest is for what the plan cannot see.
const PAUSE_PART: f64 = 0.85;
/// Part of the goal for the first token that a plan may use.
const GOAL_PART: f64 = 0.8;
/// Part of an engine's memory that is given away.
const MEMORY_PART: f64 = 0.96;
/// A prompt that leaves its engine less than this part of the memory is held by several.
const ALONE_PART: f64 = 0.85;
/// Largest part of an engine's free memory that is set aside for a prompt answered elsewhere.
const HELD_PART: f64 = 0.9;
/// Tokens below which setting memory aside is not worth an order.
const MIN_HELD_TOKENS: u64 = 4_096;
/// Leases that their member does not renew for so long are given up.
const LEASE_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Time an engine is left alone after a failure; doubles with each further one.
const SHUN_TIME: time::Duration = time::Duration::from_millis(600);
/// Longest time an engine is left alone.
const MAX_SHUN_TIME: time::Duration = time::Duration::from_secs(5);
/// Part of a tight goal that a request waits for a calm place: less than the quarter of it within
/// which a refusal must be out.
const TIGHT_WAIT_PART: f64 = 0.16;
/// The same for a request that has been refused before and would not come back again.
const RETURNED_WAIT_PART: f64 = 1.5;
/// Part of a tight goal that a plan may use on the engine.
const TIGHT_GOAL_PART: f64 = 0.55;
/// Part of a tight goal within which a sooner start earns nothing.
const TIGHT_EASY_PART: f64 = 0.33;
/// Reading that may still wait on an engine when a long part is added, milliseconds: about the
/// time that the request takes to get there.
const MAX_STACKED_MS: f64 = 40.0;
/// Longest part that is read in one go while there is a choice, milliseconds.
const MAX_PART_MS: f64 = 500.0;
/// Part of its worth that a request keeps that comes late.
const LATE_PART: f64 = 0.25;
/// Part of its own worth that a long prompt may cost others.
const HARM_PART: f64 = 0.5;
/// The same in shares of the prompt's goal, if longer.
const MAX_GOAL_PART: f64 = 0.2;
/// Shortest part that is worth a helper, milliseconds.
const MIN_PART_MS: f64 = 20.0;
/// Parts up to this length may be read before a short prompt that waits on the same engine.
const SHORT_PART_MS: f64 = 60.0;
/// What a part costs beside its reading: a message and a pass cut short, milliseconds.
const PART_COST_MS: f64 = 15.0;
/// Part of all engines' slots that must be taken before a short request is refused; below it,
/// engines that seem unusable may only have been slow.
const FULL_PART: f64 = 0.6;
/// Requests that come and go while a report is on its way; a difference up to this says nothing.
const REPORT_SLACK: usize = 4;
/// Requests beyond its slots that an engine may get of those that come back.
const RETURNED_EXTRA: usize = 2;
/// When a refused request may come back, milliseconds; spread by its member.
const BACK_AFTER_MS: u32 = 700;
/// Slack below which a long prompt goes before others, milliseconds: about the time that an
/// engine is busy with another's part.
const URGENT_SLACK_MS: f64 = 500.0;
/// Time after a short request found no calm place during which others are taken to find none.
const PRESSED_TIME: time::Duration = time::Duration::from_millis(700);
/// Tokens of a short request's answer, for what an engine could do instead of reading.
const SHORT_ANSWER: u64 = 1_700;
/// Slack below which a request takes the best place there is, milliseconds.
const MIN_SLACK_MS: f64 = 60.0;
/// Time between two engines' readiness and a caller's patience that a late request is kept for.
const LATE_RESERVE_MS: f64 = 1_200.0;

/// How the planner weighs its choices; the figures come from runs of `slipturn-compare` and of
/// the users' bench, see `docs/design/platform.md`.
#[derive(Debug, Clone, Copy)]
pub struct PlannerOptions {
    /// How engines are chosen; all but slipturn's own are there to compare with.
    pub routing: settings::RoutingKind,
    /// Writers with tight pauses that an engine is filled up to before the next one is used.
    pub packed_writers: usize,
    /// Most parts of one prompt.
    pub max_parts: usize,
    /// Loss of an engine's tight writer whose pause grows by a whole goal, in shares of its worth.
    pub pressure: f64,
    /// Loss of a first token that takes its whole goal, in shares of its worth, for ties.
    pub delay: f64,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        let routing = settings::RoutingKind::ExpectedStart;
        Self { routing, packed_writers: 14, max_parts: 17, pressure: 0.25, delay: 0.3 }
    }
}

/// One request as the planner knows it, unique among all members and their starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// Start of the member that holds the caller's connection.
    pub boot: u64,
    /// Number of the attempt at that member.
    pub sequence: u64,
}

/// What is asked of the planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceAsk {
    /// The attempt.
    pub job: JobId,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub output: u64,
    /// Longest pause between events in time, milliseconds.
    pub pause_ms: u32,
    /// Time from arrival within which the first token is in time, milliseconds.
    pub goal_ms: u32,
    /// Time left until the first token is late, milliseconds; 0 when it is.
    pub goal_left_ms: u32,
    /// Time left until the caller gives up, milliseconds.
    pub patience_ms: u32,
    /// What it is worth in time, against a short request's 1.
    pub worth: f32,
    /// Whether it may be refused: it has not been refused before.
    pub refusable: bool,
    /// Engines that must not be used.
    pub excluded: Vec<ids::UpstreamId>,
}

/// Memory set aside on an engine for a prompt that another answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPart {
    /// The engine.
    pub engine: ids::UpstreamId,
    /// Tokens.
    pub tokens: u64,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceGrant {
    /// The attempt.
    pub job: JobId,
    /// The engine that answers.
    pub engine: ids::UpstreamId,
    /// Engines that read parts.
    pub helpers: Vec<ids::UpstreamId>,
    /// Memory to set aside first.
    pub held: Vec<HeldPart>,
    /// Expected time to the first token, milliseconds.
    pub first_token_ms: u32,
    /// Time it has waited for the place, milliseconds.
    pub waited_ms: u32,
}

/// A request for which there is no place in time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceRefusal {
    /// The attempt.
    pub job: JobId,
    /// When a place is likely, milliseconds from now.
    pub back_after_ms: u32,
    /// Requests that run, of so many that could.
    pub running: u32,
    /// Requests that all engines together could run.
    pub slots: u32,
}

/// What the planner says to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlaceAnswer {
    /// It has a place.
    Grant(PlaceGrant),
    /// It will have none in time.
    Refuse(PlaceRefusal),
}

impl PlaceAnswer {
    /// The attempt.
    pub fn job(&self) -> JobId {
        match self {
            Self::Grant(grant) => grant.job,
            Self::Refuse(refusal) => refusal.job,
        }
    }
}

/// A place in use, as its member repeats it: enough for a planner that has just taken over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceLease {
    /// The request as it was asked for.
    pub ask: PlaceAsk,
    /// Its place.
    pub grant: PlaceGrant,
    /// Whether its prompt has been read.
    pub reading: bool,
}

/// How an attempt ended for its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceEnd {
    /// Well, or by the caller's own wish.
    Done,
    /// The engine had no room.
    Full,
    /// The engine failed.
    Failed,
    /// The engine was silent for long; it may be gone, or only busy.
    Silent,
}

#[derive(Debug, Clone)]
struct PendingPart {
    job: JobId,
    left_ms: f64,
}

#[derive(Debug, Clone)]
struct EngineWork {
    /// Place in the order in which engines are filled.
    rank: u64,
    memory: u64,
    /// Requests answered here.
    answering: collections::BTreeSet<JobId>,
    /// Parts not read yet, oldest first.
    pending: collections::VecDeque<PendingPart>,
    /// Tokens in use or set aside.
    used: u64,
    /// Above 1 the engine is slower than its figures.
    pace: f64,
    /// Requests of other planners.
    foreign: usize,
    failures: u32,
    shunned_until: units::MonoTime,
    advanced: units::MonoTime,
}

#[derive(Debug, Clone)]
struct JobState {
    lease: PlaceLease,
    renewed: units::MonoTime,
}

#[derive(Debug, Clone)]
struct WaitingJob {
    ask: PlaceAsk,
    since: units::MonoTime,
}

/// An engine as one choice sees it.
struct EngineView<'a> {
    name: &'a ids::UpstreamId,
    rank: u64,
    /// Reading that waits there, milliseconds.
    pending_ms: f64,
    steps_ms: f64,
    /// Smallest pause goal of those that write there; infinite without any.
    pause_ms: f64,
    /// Worth of those that write there.
    worth: f64,
    tight: usize,
    /// Those of them whose prompt has not been read.
    unread: usize,
    answering: usize,
    free: u64,
    pace: f64,
}

struct Choice {
    grant: PlaceGrant,
    loss: f64,
}

/// What a choice may do to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChoiceMode {
    /// Nobody's pauses suffer and no part waits behind another.
    Calm,
    /// No part waits behind another.
    Harmful,
    /// Whatever loses least.
    Forced,
}

/// The work of every engine of one service.
#[derive(Debug)]
pub struct ReadPlanner {
    shape: route_table::EngineShape,
    options: PlannerOptions,
    engines: collections::BTreeMap<ids::UpstreamId, EngineWork>,
    jobs: collections::HashMap<JobId, JobState>,
    waiting: Vec<WaitingJob>,
    /// Until when short requests are taken to find no room.
    pressed_until: units::MonoTime,
    /// Engines that were silent; they should be asked for a report.
    suspects: collections::BTreeSet<ids::UpstreamId>,
}

impl ReadPlanner {
    /// A planner without engines.
    pub fn new(shape: route_table::EngineShape, options: PlannerOptions) -> Self {
        Self {
            shape,
            options,
            engines: collections::BTreeMap::new(),
            jobs: collections::HashMap::new(),
            waiting: Vec::new(),
            pressed_until: units::MonoTime::default(),
            suspects: collections::BTreeSet::new(),
        }
    }

    /// Takes over new figures of the engines.
    pub fn set_shape(&mut self, shape: route_table::EngineShape) {
        self.shape = shape;
    }

    /// Sets which engines may be used; each with a number that orders them alike everywhere.
    pub fn set_engines(&mut self, now: units::MonoTime, names: &[(ids::UpstreamId, u64)]) {
        let wanted: collections::BTreeSet<_> = names.iter().map(|(name, _)| name).collect();
        self.engines.retain(|name, _| wanted.contains(name));
        for (name, rank) in names {
            let memory = (self.shape.memory.0 as f64 * MEMORY_PART) as u64;
            self.engines.entry(name.clone()).or_insert_with(|| EngineWork::new(*rank, memory, now));
        }
    }

    /// Number of engines.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Number of requests that wait for a place.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that have a place.
    pub fn placed_count(&self) -> usize {
        self.jobs.len()
    }

    /// The planner's view of its engines, one short text an engine, for the log.
    pub fn summary(&self, now: units::MonoTime) -> String {
        let row = |(name, engine): (&ids::UpstreamId, &EngineWork)| {
            let pending: f64 = engine.pending.iter().map(|part| part.left_ms).sum();
            let shunned = if engine.shunned_until > now { " shunned" } else { "" };
            format!(
                "{name}: {} running, {pending:.0} ms to read, {} tokens, pace {:.1}{shunned}",
                engine.answering.len(),
                engine.used,
                engine.pace
            )
        };
        self.engines.iter().map(row).collect::<Vec<_>>().join("; ")
    }

    /// Asks for a place; asked again, it answers the same.
    pub fn ask(&mut self, now: units::MonoTime, ask: PlaceAsk) -> Option<PlaceAnswer> {
        if let Some(state) = self.jobs.get(&ask.job) {
            return Some(PlaceAnswer::Grant(state.lease.grant.clone()));
        }
        if self.waiting.iter().any(|waiting| waiting.ask.job == ask.job) {
            return None;
        }
        let waiting = WaitingJob { ask, since: now };
        match self.try_place(now, &waiting) {
            Some(answer) => Some(answer),
            None => {
                self.waiting.push(waiting);
                None
            }
        }
    }

    /// Gives places to those that wait, the most urgent first.
    pub fn tick(&mut self, now: units::MonoTime) -> Vec<PlaceAnswer> {
        self.expire(now);
        let mut waiting = std::mem::take(&mut self.waiting);
        // What would be late after a short wait goes first. Of the others the least work goes first, as it earns most for an engine's time; short
        // ones that were refused once go before all.
        waiting.sort_by(|left, right| {
            let order = |job: &WaitingJob| {
                let first = job.ask.refusable || !job.ask.tight();
                let late = job.late(now) && !job.ask.tight();
                (late, first, !self.is_urgent(now, job), job.ask.prompt)
            };
            order(left).cmp(&order(right))
        });
        let mut answers = Vec::new();
        for job in waiting {
            match self.try_place(now, &job) {
                Some(answer) => answers.push(answer),
                None => self.waiting.push(job),
            }
        }
        answers
    }

    /// Notes that a prompt has been read and its answer begins.
    pub fn first_token(&mut self, job: JobId) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        state.lease.reading = false;
        let grant = state.lease.grant.clone();
        for name in std::iter::once(&grant.engine).chain(&grant.helpers) {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.pending.retain(|part| part.job != job);
                engine.failures = 0;
            }
        }
    }

    /// Ends a request, placed or waiting.
    pub fn end(&mut self, now: units::MonoTime, job: JobId, end: PlaceEnd) {
        self.waiting.retain(|waiting| waiting.ask.job != job);
        let Some(state) = self.jobs.remove(&job) else {
            return;
        };
        self.release(&state.lease);
        match end {
            PlaceEnd::Failed => self.shun(now, &state.lease.grant.engine),
            PlaceEnd::Silent => {
                self.suspects.insert(state.lease.grant.engine.clone());
            }
            PlaceEnd::Done | PlaceEnd::Full => {}
        }
    }

    /// Leaves an engine alone for a while.
    pub fn shun(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        if let Some(engine) = self.engines.get_mut(name) {
            let time = SHUN_TIME * 2_u32.pow(engine.failures.min(4));
            engine.failures += 1;
            engine.shunned_until = now + time.min(MAX_SHUN_TIME);
        }
    }

    /// Engines that were silent since the last call.
    pub fn take_suspects(&mut self) -> Vec<ids::UpstreamId> {
        std::mem::take(&mut self.suspects).into_iter().collect()
    }

    /// Takes over what an engine says of itself: its pace, above 1 when it is slower than its
    /// figures, and the requests that it runs and holds in its queue.
    ///
    /// What goes clearly beyond this planner's own is the work of another one, as on the other
    /// side of a cut.
    pub fn set_report(&mut self, name: &ids::UpstreamId, pace: f64, requests: usize) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.pace = pace.clamp(0.5, 20.0);
            engine.foreign = requests.saturating_sub(engine.answering.len() + REPORT_SLACK);
        }
    }

    /// Renews leases of a member, and takes over those not known here.
    pub fn renew(&mut self, now: units::MonoTime, leases: Vec<PlaceLease>) {
        for lease in leases {
            let job = lease.ask.job;
            match self.jobs.get_mut(&job) {
                Some(state) => {
                    state.renewed = now;
                    if state.lease.reading && !lease.reading {
                        self.first_token(job);
                    }
                }
                None => self.adopt(now, lease),
            }
        }
    }

    fn adopt(&mut self, now: units::MonoTime, lease: PlaceLease) {
        self.waiting.retain(|waiting| waiting.ask.job != lease.ask.job);
        self.occupy(now, &lease);
        self.jobs.insert(lease.ask.job, JobState { lease, renewed: now });
    }

    fn expire(&mut self, now: units::MonoTime) {
        let silent: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, state)| now.since(state.renewed) > LEASE_TIME)
            .map(|(job, _)| *job)
            .collect();
        for job in silent {
            if let Some(state) = self.jobs.remove(&job) {
                self.release(&state.lease);
            }
        }
        // Whoever still wants a place asks again within the lease time.
        self.waiting.retain(|job| now.since(job.since).as_secs() < 30);
    }

    fn try_place(&mut self, now: units::MonoTime, job: &WaitingJob) -> Option<PlaceAnswer> {
        for engine in self.engines.values_mut() {
            engine.advance(now);
        }
        let mode = self.mode(now, job);
        if job.ask.tight() && mode == ChoiceMode::Forced {
            self.pressed_until = now + PRESSED_TIME;
        }
        let views = self.views(now, job);
        if self.options.routing != settings::RoutingKind::ExpectedStart {
            let grant = self.choose_plainly(now, job, &views)?;
            return Some(PlaceAnswer::Grant(self.take(now, job, grant)));
        }
        if !self.earns_its_reading(now, job) {
            return self.refuse_long(now, job).map(PlaceAnswer::Refuse);
        }
        let calm = self.choose(now, job, &views, ChoiceMode::Calm);
        let choice = match (calm, mode) {
            (Some(choice), _) => choice,
            (None, ChoiceMode::Calm) => {
                return self.refuse_long(now, job).map(PlaceAnswer::Refuse);
            }
            (None, mode) => {
                let choice = self.choose(now, job, &views, mode);
                let crowded = choice.as_ref().is_none_or(|choice| self.is_crowded(job, choice));
                if crowded && let Some(refusal) = self.refuse(now, job) {
                    return Some(PlaceAnswer::Refuse(refusal));
                }
                choice?
            }
        };
        let grant = choice.grant;
        Some(PlaceAnswer::Grant(self.take(now, job, grant)))
    }

    /// Notes a place as taken.
    fn take(&mut self, now: units::MonoTime, job: &WaitingJob, grant: PlaceGrant) -> PlaceGrant {
        let lease = PlaceLease { ask: job.ask.clone(), grant: grant.clone(), reading: true };
        self.occupy(now, &lease);
        self.jobs.insert(job.ask.job, JobState { lease, renewed: now });
        grant
    }

    /// The choice of a plain router: one engine, at once, read by nobody else.
    fn choose_plainly(
        &self,
        now: units::MonoTime,
        job: &WaitingJob,
        views: &[EngineView<'_>],
    ) -> Option<PlaceGrant> {
        let load = |view: &&EngineView<'_>| match self.options.routing {
            settings::RoutingKind::LeastRequests => view.answering as u64,
            settings::RoutingKind::LeastTokens => u64::MAX - view.free,
            _ => 0,
        };
        let turn = job.ask.job.sequence as usize % views.len().max(1);
        let (before, behind) = views.split_at(turn);
        let engine = behind.iter().chain(before).min_by_key(load)?;
        let part = pass_model::read_ms(&self.shape, job.ask.prompt);
        Some(PlaceGrant {
            job: job.ask.job,
            engine: engine.name.clone(),
            helpers: Vec::new(),
            held: Vec::new(),
            first_token_ms: (engine.pending_ms + part + engine.steps_ms) as u32,
            waited_ms: now.since(job.since).as_millis() as u32,
        })
    }

    /// Whether a short request would stand in an engine's queue, or come late.
    fn is_crowded(&self, job: &WaitingJob, choice: &Choice) -> bool {
        let engine = self.engines.get(&choice.grant.engine);
        let running = engine.map_or(0, |engine| engine.answering.len());
        let more = if job.ask.refusable { 0 } else { RETURNED_EXTRA };
        running >= self.shape.slots + more || choice.grant.first_token_ms > job.ask.goal_ms * 2
    }

    /// Refuses a short request that finds no place in time: in an engine's queue it would come
    /// late and make those behind it late too.
    fn refuse(&self, now: units::MonoTime, job: &WaitingJob) -> Option<PlaceRefusal> {
        if !job.ask.tight() {
            return self.refuse_long(now, job);
        }
        let slots = self.engines.len() * self.shape.slots;
        let running: usize = self.engines.values().map(|engine| engine.answering.len()).sum();
        if (running as f64) < slots as f64 * FULL_PART {
            return None;
        }
        Some(PlaceRefusal {
            job: job.ask.job,
            back_after_ms: BACK_AFTER_MS,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            slots: u32::try_from(slots).unwrap_or(u32::MAX),
        })
    }

    /// Refuses a long prompt whose turn will come too late, while its caller can still come back.
    fn refuse_long(&self, now: units::MonoTime, job: &WaitingJob) -> Option<PlaceRefusal> {
        let ask = &job.ask;
        let waited = job.waited_ms(now) / f64::from(ask.goal_ms.max(1));
        if ask.tight() || !ask.refusable || !(0.12..0.22).contains(&waited) {
            return None;
        }
        let usable = self.engines.values().filter(|engine| engine.shunned_until <= now);
        let engines = usable.clone().count().max(1) as f64;
        let pending: f64 = usable.flat_map(|engine| &engine.pending).map(|part| part.left_ms).sum();
        let before = self.waiting.iter().filter(|other| {
            !other.ask.tight() && !other.late(now) && other.ask.prompt < ask.prompt
        });
        let ahead: f64 =
            before.map(|other| pass_model::read_ms(&self.shape, other.ask.prompt)).sum();
        let own = pass_model::part_ms(&self.shape, ask.prompt, self.options.max_parts);
        let expected = (pending + ahead) / engines * 1.2 + own * 1.3 + 100.0;
        let missing = expected - job.goal_left(now);
        if missing <= 0.0 {
            return None;
        }
        let slots = self.engines.len() * self.shape.slots;
        let running: usize = self.engines.values().map(|engine| engine.answering.len()).sum();
        Some(PlaceRefusal {
            job: ask.job,
            back_after_ms: (missing + 1_000.0).min(2_500.0) as u32,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            slots: u32::try_from(slots).unwrap_or(u32::MAX),
        })
    }

    /// What a request may do to others by now.
    ///
    /// A long one that can just be in time may cost others their pauses, but does not stand behind
    /// another's part, where both would come late. One that is late waits for a calm place until
    /// its caller's patience runs out.
    fn mode(&self, now: units::MonoTime, job: &WaitingJob) -> ChoiceMode {
        if job.ask.tight() {
            let part = if job.ask.refusable { TIGHT_WAIT_PART } else { RETURNED_WAIT_PART };
            let patient = job.waited_ms(now) < f64::from(job.ask.goal_ms) * part;
            return if patient { ChoiceMode::Calm } else { ChoiceMode::Forced };
        }
        let parts = self.options.max_parts.min(self.engines.len().max(1));
        let quickest = pass_model::part_ms(&self.shape, job.ask.prompt, parts);
        if job.late(now) {
            let spare = job.patience_left(now) - quickest;
            return match spare {
                spare if spare > LATE_RESERVE_MS * 2.0 => ChoiceMode::Calm,
                spare if spare > LATE_RESERVE_MS => ChoiceMode::Harmful,
                _ => ChoiceMode::Forced,
            };
        }
        let spare = job.goal_left(now) * GOAL_PART - quickest * 1.5;
        if spare > MIN_SLACK_MS { ChoiceMode::Calm } else { ChoiceMode::Harmful }
    }

    /// Whether a long prompt is worth the short requests that its reading turns away, while these
    /// find no room. What is late by then waits until they do.
    fn earns_its_reading(&self, now: units::MonoTime, job: &WaitingJob) -> bool {
        if job.ask.tight() || now >= self.pressed_until {
            return true;
        }
        let worth = f64::from(job.ask.worth) * if job.late(now) { LATE_PART } else { 1.0 };
        let seconds = pass_model::read_ms(&self.shape, job.ask.prompt) / 1_000.0;
        let answer_ms = pass_model::write_ms(&self.shape, self.shape.slots, 0, SHORT_ANSWER);
        let shorts = self.shape.slots as f64 * 1_000.0 / answer_ms;
        worth >= seconds * shorts
    }

    /// Whether a long prompt that is still in time would not be after a short wait.
    fn is_urgent(&self, now: units::MonoTime, job: &WaitingJob) -> bool {
        let parts = self.options.max_parts.min(self.engines.len().max(1));
        let quickest = pass_model::part_ms(&self.shape, job.ask.prompt, parts);
        let spare = job.goal_left(now) * GOAL_PART - quickest * 1.5;
        !job.ask.tight() && !job.late(now) && spare < URGENT_SLACK_MS
    }

    fn views(&self, now: units::MonoTime, job: &WaitingJob) -> Vec<EngineView<'_>> {
        let usable = |shunned: bool| {
            let allowed = self.engines.iter().filter(move |(name, engine)| {
                (engine.shunned_until > now) == shunned && !job.ask.excluded.contains(name)
            });
            allowed.map(|(name, engine)| self.view(name, engine)).collect::<Vec<_>>()
        };
        let views = usable(false);
        // An engine that failed lately is better than none.
        if views.is_empty() { usable(true) } else { views }
    }

    fn choose(
        &self,
        now: units::MonoTime,
        job: &WaitingJob,
        views: &[EngineView<'_>],
        mode: ChoiceMode,
    ) -> Option<Choice> {
        let most = self.options.max_parts.min(views.len()).min(MAX_HELPERS + 1);
        let whole = pass_model::read_ms(&self.shape, job.ask.prompt);
        PART_COUNTS
            .iter()
            .filter(|parts| **parts <= most)
            .filter(|parts| **parts == 1 || whole / **parts as f64 >= MIN_PART_MS)
            .filter_map(|parts| self.choose_parts(now, job, views, *parts, mode))
            .min_by(|left, right| left.loss.total_cmp(&right.loss))
    }

    fn view<'a>(&'a self, name: &'a ids::UpstreamId, engine: &EngineWork) -> EngineView<'a> {
        let asks = engine.answering.iter().filter_map(|job| self.jobs.get(job));
        let (mut context, mut pause_ms, mut worth) = (0, f64::INFINITY, 0.0);
        let (mut tight, mut unread) = (0, 0);
        for state in asks {
            let ask = &state.lease.ask;
            context += ask.prompt / (state.lease.grant.helpers.len() as u64 + 1);
            pause_ms = pause_ms.min(f64::from(ask.pause_ms));
            worth += f64::from(ask.worth);
            tight += usize::from(ask.tight());
            unread += usize::from(ask.tight() && state.lease.reading);
        }
        let answering = engine.answering.len() + engine.foreign;
        EngineView {
            name,
            rank: engine.rank,
            pending_ms: engine.pending.iter().map(|part| part.left_ms).sum(),
            steps_ms: pass_model::steps_ms(&self.shape, answering, context),
            pause_ms,
            worth,
            tight: tight + engine.foreign,
            unread,
            answering,
            free: engine.memory.saturating_sub(engine.used),
            pace: engine.pace,
        }
    }

    fn choose_parts(
        &self,
        now: units::MonoTime,
        job: &WaitingJob,
        views: &[EngineView<'_>],
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
                ChoiceMode::Harmful => view.pending_ms <= MAX_STACKED_MS,
                ChoiceMode::Forced => true,
            })
            .map(|view| (self.engine_loss(view, ask, part), view))
            .collect();
        if scored.len() < parts {
            return None;
        }
        scored
            .sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.rank.cmp(&right.1.rank)));
        let need = ask.prompt + ask.output;
        let capacity = (self.shape.memory.0 as f64 * MEMORY_PART) as u64;
        let alone = need as f64 <= capacity as f64 * ALONE_PART;
        let chosen = &scored[..parts];
        let host = chosen
            .iter()
            .filter(|(_, view)| view.answering < self.shape.slots)
            .filter(|(_, view)| !alone || view.free >= need)
            .min_by(|left, right| {
                let cost = |view: &EngineView<'_>| {
                    // Answers of long prompts are written side by side, so that few engines
                    // interrupt their reading for steps.
                    let fresh = if view.answering == 0 { 0.5 } else { 0.0 };
                    view.tight as f64 + fresh + view.pending_ms / 100.0
                };
                cost(left.1).total_cmp(&cost(right.1))
            });
        let host = match host {
            Some((_, view)) => *view,
            // Without a free slot anywhere the engine's own queue takes it.
            None if mode == ChoiceMode::Forced && alone => {
                chosen.iter().min_by_key(|(_, view)| view.answering)?.1
            }
            None => return None,
        };
        let held = if alone { Vec::new() } else { self.hold(ask, host, chosen, capacity)? };
        let ready = chosen
            .iter()
            .map(|(_, view)| (view.pending_ms + part + view.steps_ms * 1.5) * view.pace)
            .fold(0.0, f64::max);
        let first_token_ms = ready;
        let harm: f64 = chosen.iter().map(|(_, view)| self.harm(view, part)).sum();
        let worth = f64::from(ask.worth) * if job.late(now) { LATE_PART } else { 1.0 };
        if mode == ChoiceMode::Harmful && harm > worth * HARM_PART {
            return None;
        }
        let late = if first_token_ms > job.goal_left(now) * GOAL_PART { worth } else { 0.0 };
        let ranks: f64 = chosen.iter().map(|(loss, _)| loss).sum();
        let delay = first_token_ms / f64::from(ask.goal_ms.max(1)) * self.options.delay;
        let loss = harm + late + ranks + delay * worth;
        let helpers = chosen
            .iter()
            .filter(|(_, view)| view.name != host.name)
            .map(|(_, view)| view.name.clone())
            .collect();
        let grant = PlaceGrant {
            job: ask.job,
            engine: host.name.clone(),
            helpers,
            held,
            first_token_ms: first_token_ms as u32,
            waited_ms: now.since(job.since).as_millis() as u32,
        };
        Some(Choice { grant, loss })
    }

    /// Longest part of a prompt while there is a choice: on few engines it cannot be short.
    fn longest_part(&self, ask: &PlaceAsk, engines: usize) -> f64 {
        let most = self.options.max_parts.min(engines).min(MAX_HELPERS + 1);
        let shortest = pass_model::part_ms(&self.shape, ask.prompt, most);
        MAX_PART_MS.max(f64::from(ask.goal_ms) * MAX_GOAL_PART).max(shortest)
    }

    /// Whether an engine can read a part at once and nobody there suffers.
    fn is_calm(&self, view: &EngineView<'_>, ask: &PlaceAsk, part: f64) -> bool {
        if ask.tight() {
            let pass = (view.steps_ms + view.pending_ms + part) * view.pace;
            let first = pass + view.steps_ms * 0.5 * view.pace;
            return view.answering < self.shape.slots
                && pass <= f64::from(ask.pause_ms) * PAUSE_PART
                && first <= f64::from(ask.goal_ms) * TIGHT_GOAL_PART
                && self.harm(view, part) <= 0.0;
        }
        // Parts read for others go before an engine's own, so a second one on top could keep the
        // first one waiting without end.
        view.pending_ms <= MAX_STACKED_MS
            && (part <= SHORT_PART_MS || view.unread == 0)
            && self.harm(view, part) <= 0.0
    }

    /// Worth that those who write on an engine lose by one more part read there.
    fn harm(&self, view: &EngineView<'_>, part: f64) -> f64 {
        let before = (view.steps_ms + view.pending_ms) * view.pace;
        let pause = before + part * view.pace;
        let limit = view.pause_ms * PAUSE_PART;
        // A pause that is too long already is not lost twice.
        if pause > limit && before <= limit { view.worth * 0.75 } else { 0.0 }
    }

    /// What speaks against reading a part on an engine, for order and ties.
    fn engine_loss(&self, view: &EngineView<'_>, ask: &PlaceAsk, part: f64) -> f64 {
        let harm = self.harm(view, part);
        let wait = (view.pending_ms + view.steps_ms + part) * view.pace;
        if ask.tight() {
            let full = if view.answering >= self.shape.slots { 1.0 } else { 0.0 };
            let paused = if wait > f64::from(ask.pause_ms) * PAUSE_PART { 0.5 } else { 0.0 };
            let packed = self.options.packed_writers;
            let fill = if view.tight < packed {
                (packed - view.tight) as f64 * 0.004
            } else {
                (view.tight - packed) as f64 * 0.02
            };
            let beside = (view.answering - view.tight) as f64 * 0.03;
            // Time that the goal leaves anyway costs nothing.
            let slow = (wait - f64::from(ask.goal_ms) * TIGHT_EASY_PART).max(0.0) / 1_000.0;
            return harm + slow + full + paused + fill + beside;
        }
        // Each part costs its engine a pass with the steps of those that write there.
        let steps = if view.answering > 0 { view.steps_ms } else { 0.0 };
        let crowd = view.tight as f64 * self.options.pressure * (part / TIGHT_PAUSE_MS).min(1.0);
        harm + crowd + (steps + view.pending_ms + PART_COST_MS) * view.pace / 1_000.0
    }

    /// Memory on other engines for what the answering one has no room for.
    fn hold(
        &self,
        ask: &PlaceAsk,
        host: &EngineView<'_>,
        chosen: &[(f64, &EngineView<'_>)],
        capacity: u64,
    ) -> Option<Vec<HeldPart>> {
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
            held.push(HeldPart { engine: view.name.clone(), tokens });
            left = left.saturating_sub(tokens);
        }
        (left == 0).then_some(held)
    }

    fn occupy(&mut self, now: units::MonoTime, lease: &PlaceLease) {
        let (ask, grant) = (&lease.ask, &lease.grant);
        let part = pass_model::part_ms(&self.shape, ask.prompt, grant.helpers.len() + 1);
        for name in std::iter::once(&grant.engine).chain(&grant.helpers) {
            let Some(engine) = self.engines.get_mut(name) else {
                continue;
            };
            engine.advance(now);
            if lease.reading {
                engine.pending.push_back(PendingPart { job: ask.job, left_ms: part });
            }
        }
        let held: u64 = grant.held.iter().map(|part| part.tokens).sum();
        if let Some(engine) = self.engines.get_mut(&grant.engine) {
            engine.answering.insert(ask.job);
            engine.used += (ask.prompt + ask.output).saturating_sub(held);
        }
        for part in &grant.held {
            if let Some(engine) = self.engines.get_mut(&part.engine) {
                engine.used += part.tokens;
            }
        }
    }

    fn release(&mut self, lease: &PlaceLease) {
        let (ask, grant) = (&lease.ask, &lease.grant);
        for name in std::iter::once(&grant.engine).chain(&grant.helpers) {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.pending.retain(|part| part.job != ask.job);
            }
        }
        let held: u64 = grant.held.iter().map(|part| part.tokens).sum();
        if let Some(engine) = self.engines.get_mut(&grant.engine)
            && engine.answering.remove(&ask.job)
        {
            let own = (ask.prompt + ask.output).saturating_sub(held);
            engine.used = engine.used.saturating_sub(own);
        }
        for part in &grant.held {
            if let Some(engine) = self.engines.get_mut(&part.engine) {
                engine.used = engine.used.saturating_sub(part.tokens);
            }
        }
    }
}

impl PlaceAsk {
    /// Whether its pauses must be short, so that it suffers from long parts.
    pub fn tight(&self) -> bool {
        f64::from(self.pause_ms) <= TIGHT_PAUSE_MS
    }
}

impl WaitingJob {
    fn goal_left(&self, now: units::MonoTime) -> f64 {
        f64::from(self.ask.goal_left_ms) - self.waited_ms(now)
    }

    fn patience_left(&self, now: units::MonoTime) -> f64 {
        f64::from(self.ask.patience_ms) - self.waited_ms(now)
    }

    fn late(&self, now: units::MonoTime) -> bool {
        self.goal_left(now) <= 0.0
    }

    fn waited_ms(&self, now: units::MonoTime) -> f64 {
        now.since(self.since).as_secs_f64() * 1_000.0
    }
}

impl EngineWork {
    fn new(rank: u64, memory: u64, now: units::MonoTime) -> Self {
        Self {
            rank,
            memory,
            answering: collections::BTreeSet::new(),
            pending: collections::VecDeque::new(),
            used: 0,
            pace: 1.0,
            foreign: 0,
            failures: 0,
            shunned_until: units::MonoTime::default(),
            advanced: now,
        }
    }

    /// Works off what has been read since the last call.
    fn advance(&mut self, now: units::MonoTime) {
        let mut spent = now.since(self.advanced).as_secs_f64() * 1_000.0 / self.pace;
        self.advanced = now;
        while spent > 0.0 {
            let Some(front) = self.pending.front_mut() else {
                return;
            };
            if front.left_ms > spent {
                front.left_ms -= spent;
                return;
            }
            spent -= front.left_ms;
            self.pending.pop_front();
        }
    }
}
