//! Where and when prompts are read: which engine answers a request, and which engines read parts of it.
//!
//! One planner holds the work of every engine of a service. A request goes through its parts in this
//! order: [`ReadPlanner::ask`]; the place table, which shows what the engines do; for a short prompt
//! the choice of one engine; for a long one the timetable, on which all that wait are booked, and
//! admission, which says who is in time, late or refused; and a grant, noted in the place table.

mod admission;
mod baseline_choice;
mod engine_limits;
mod engine_view;
mod engine_work;
mod place_table;
mod price;
mod short_choice;
mod timetable;
mod waiting_job;
pub mod ways;

use std::{collections, time};

use crate::{engine_place, ids, quota_ledger, retry_line, route_table, send_pace, settings, units};

/// Longest that a request waits; its member has given up long before.
const MAX_WAIT: time::Duration = time::Duration::from_secs(30);
/// Part of all engines' slots that must be taken before a short request is refused; below it,
/// engines that seem unusable may only have been slow.
const CROWDED_FRACTION: f64 = 0.6;
/// Requests beyond its slots that an engine may get of those that come back.
const MAX_QUEUED_RETRIES: usize = 2;
/// Slots that come free for each that one who comes back gets: some go to others that arrive meanwhile.
const SLOTS_PER_RETRY: f64 = 2.0;
/// Goals for the first token that a short request which came back waits for the leave of a limit: it is late by then.
const RETRY_WAIT_GOALS: f64 = 2.0;
/// Shortest time after which a refused short request is asked back, milliseconds; spread by its
/// member.
const MIN_RETRY_AFTER_MS: f64 = 300.0;
/// The latest, milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 2_500.0;

/// How the planner weighs its choices.
#[derive(Debug, Clone, Copy)]
pub struct PlannerOptions {
    /// How engines are chosen; all but slipturn's own are there to compare with.
    pub routing: settings::RoutingKind,
    /// Ways of decisions; all but the defaults are there to compare with.
    pub ways: ways::PlannerWays,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self { routing: settings::RoutingKind::ExpectedStart, ways: ways::PlannerWays::default() }
    }
}

/// The planner of one service, or of one cell of its engines.
#[derive(Debug)]
pub struct ReadPlanner {
    options: PlannerOptions,
    table: place_table::PlaceTable,
    price: price::EnginePrice,
    /// Requests without a place, in no order.
    waiting: Vec<waiting_job::WaitingJob>,
    /// Answers that another's ask brought about; they go out at the next look.
    ready_answers: Vec<engine_place::PlaceAnswer>,
    /// When those come back that limits keep from all engines.
    returns: retry_line::RetryLine,
}

impl ReadPlanner {
    /// A planner without engines.
    pub fn new(shape: route_table::EngineShape, options: PlannerOptions) -> Self {
        Self {
            options,
            table: place_table::PlaceTable::new(shape, options.ways.engine_faults),
            price: price::EnginePrice::default(),
            waiting: Vec::new(),
            ready_answers: Vec::new(),
            returns: retry_line::RetryLine::default(),
        }
    }

    /// Sets which engines have a limit: at which rate where this process keeps it, and those whose limit another
    /// process keeps, which get nothing from here.
    pub fn set_limits(
        &mut self,
        now: units::MonoTime,
        kept: &collections::BTreeMap<ids::UpstreamId, send_pace::PaceBound>,
        elsewhere: collections::BTreeSet<ids::UpstreamId>,
    ) {
        self.table.limits.set(now, kept, elsewhere);
    }

    /// The leaves of its engines, to take and ask for, also for requests that need no place.
    pub fn permits(&mut self) -> &mut quota_ledger::QuotaLedger<ids::UpstreamId> {
        &mut self.table.limits.permits
    }

    /// Takes over new figures of the engines.
    pub fn set_shape(&mut self, shape: route_table::EngineShape) {
        self.table.shape = shape;
    }

    /// Sets which engines may be used; each with a number that orders them alike everywhere.
    pub fn set_engines(&mut self, now: units::MonoTime, names: &[(ids::UpstreamId, u64)]) {
        self.table.set_engines(now, names);
    }

    /// Number of requests that wait for a place.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that have a place.
    pub fn placed_count(&self) -> usize {
        self.table.placed_count()
    }

    /// The planner's view of its engines, one short text an engine, for the log.
    pub fn summary(&self, now: units::MonoTime) -> String {
        self.table.summary(now)
    }

    /// Asks for a place; asked again, it answers the same.
    pub fn ask(
        &mut self,
        now: units::MonoTime,
        ask: engine_place::PlaceAsk,
    ) -> Option<engine_place::PlaceAnswer> {
        let id = ask.job;
        if let Some(answer) = self.table.answer(id) {
            return Some(answer);
        }
        if let Some(waiting) = self.waiting.iter_mut().find(|waiting| waiting.ask.job == id) {
            // Engines may have asked its member for rest meanwhile.
            waiting.ask.excluded = ask.excluded;
            return None;
        }
        let job = waiting_job::WaitingJob::new(ask, now);
        self.table.advance(now);
        if self.is_short(&job.ask) {
            if self.table.limited_rate(&[]).is_some() {
                // Permits are granted one by one: a request that asks as one is due queues after those that wait for it.
                let answers = self.tick_short(now);
                self.ready_answers.extend(answers);
            }
            let answer = self.place_short(now, &job);
            if answer.is_none() {
                self.waiting.push(job);
            }
            return answer;
        }
        self.price.note_demand(now, &self.table.shape, &job.ask);
        self.waiting.push(job);
        let (own, others) = self.plan_long(now).into_iter().partition(|answer| answer.job() == id);
        self.ready_answers.extend::<Vec<_>>(others);
        let own: Vec<_> = own;
        own.into_iter().next()
    }

    /// Gives places to those that wait, the most urgent first.
    pub fn tick(&mut self, now: units::MonoTime) -> Vec<engine_place::PlaceAnswer> {
        self.table.expire(now);
        // Whoever still wants a place asks again within the lease time.
        self.waiting.retain(|job| now.since(job.since) < MAX_WAIT);
        let mut answers = std::mem::take(&mut self.ready_answers);
        if self.waiting.is_empty() {
            return answers;
        }
        self.table.advance(now);
        answers.extend(self.tick_short(now));
        answers.extend(self.plan_long(now));
        answers
    }

    /// Applies what a member reports of one of its requests.
    pub fn note(&mut self, now: units::MonoTime, note: &engine_place::PlaceNote) {
        match note {
            engine_place::PlaceNote::FirstToken(job, requests) => {
                self.first_token(now, *job);
                self.table.note_load(*job, *requests);
            }
            engine_place::PlaceNote::Ended(job, end) => self.end(now, *job, *end),
            engine_place::PlaceNote::Eject(engine) => self.table.eject_helper(now, engine),
        }
    }

    /// Notes that a prompt has been read and its answer begins.
    pub fn first_token(&mut self, now: units::MonoTime, job: engine_place::JobId) {
        self.table.first_token(now, job);
    }

    /// Ends a request, placed or waiting.
    pub fn end(
        &mut self,
        now: units::MonoTime,
        job: engine_place::JobId,
        end: engine_place::PlaceEnd,
    ) {
        self.waiting.retain(|waiting| waiting.ask.job != job);
        self.table.end(now, job, end);
    }

    /// Renews a place; `false` where it is not known here.
    pub fn renew(&mut self, now: units::MonoTime, job: engine_place::JobId, reading: bool) -> bool {
        self.table.renew(now, job, reading)
    }

    /// Takes over places that another planner gave.
    pub fn take_over(&mut self, now: units::MonoTime, leases: Vec<engine_place::PlaceLease>) {
        for lease in &leases {
            self.waiting.retain(|waiting| waiting.ask.job != lease.ask.job);
        }
        self.table.take_over(now, leases);
    }

    /// Leaves an engine alone for a while.
    pub fn eject(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        self.table.eject(now, name);
    }

    /// Engines that were silent since the last call.
    pub fn take_suspects(&mut self) -> Vec<ids::UpstreamId> {
        self.table.take_suspects()
    }

    /// Whether the report of an engine is due: in each round for one with work, less often for an idle one.
    pub fn take_report_due(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        self.options.ways.reports == ways::ReportWay::All || self.table.take_report_due(now, name)
    }

    /// Takes over what an engine says of itself: its pace, above 1 when it is slower than its
    /// figures, and the requests that it runs and holds in its queue.
    ///
    /// What goes clearly beyond this planner's own is the work of another one, as on the other
    /// side of a cut.
    pub fn set_report(&mut self, name: &ids::UpstreamId, pace: f64, requests: usize) {
        self.table.set_report(name, pace, requests);
    }

    /// Whether a request is read by one engine, packed with others like it.
    fn is_short(&self, ask: &engine_place::PlaceAsk) -> bool {
        ask.tight || self.options.routing != settings::RoutingKind::ExpectedStart
    }

    fn take(
        &mut self,
        now: units::MonoTime,
        ask: &engine_place::PlaceAsk,
        grant: engine_place::PlaceGrant,
    ) -> Option<engine_place::PlaceAnswer> {
        self.table.take(now, ask, grant);
        self.table.answer(ask.job)
    }

    /// Places short requests that wait: those that come back go first, then the oldest.
    fn tick_short(&mut self, now: units::MonoTime) -> Vec<engine_place::PlaceAnswer> {
        let waiting = std::mem::take(&mut self.waiting);
        let (mut shorts, longs): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|job| self.is_short(&job.ask));
        self.waiting = longs;
        shorts.sort_by_key(|job| (job.ask.refusable, job.since));
        let mut answers = Vec::new();
        for job in shorts {
            match self.place_short(now, &job) {
                Some(answer) => answers.push(answer),
                None => self.waiting.push(job),
            }
        }
        answers
    }

    /// A short request's engine, or its refusal; `None` while it waits.
    fn place_short(
        &mut self,
        now: units::MonoTime,
        job: &waiting_job::WaitingJob,
    ) -> Option<engine_place::PlaceAnswer> {
        let views = self.table.views(now);
        if self.options.routing != settings::RoutingKind::ExpectedStart {
            let shape = &self.table.shape;
            let grant = baseline_choice::choose(shape, self.options.routing, now, job, &views)?;
            return self.take(now, &job.ask, grant);
        }
        let shape = &self.table.shape;
        let packed_writers = self.options.ways.packing.writers(shape);
        let choice = short_choice::ShortChoice { shape, packed_writers };
        if let Some(grant) = choice.choose(now, job, &views, true) {
            return self.take(now, &job.ask, grant);
        }
        let grant = choice.choose(now, job, &views, false);
        if !job.ask.resumed {
            self.price.note_contention(now);
        }
        let Some(grant) = grant else {
            let refusal = self.refuse_limited(now, job);
            return refusal.map(engine_place::PlaceAnswer::Refuse);
        };
        if let Some(refusal) = self.refuse_short(now, job, &grant) {
            return Some(engine_place::PlaceAnswer::Refuse(refusal));
        }
        self.take(now, &job.ask, grant)
    }

    /// Whether a short request would stand in an engine's queue, or come late.
    fn is_crowded(&self, job: &waiting_job::WaitingJob, grant: &engine_place::PlaceGrant) -> bool {
        let more = if job.ask.refusable { 0 } else { MAX_QUEUED_RETRIES };
        self.table.running_on(&grant.engine) >= self.table.shape.slots + more
            || grant.first_token_ms > job.ask.goal_ms * 2
    }

    /// Refuses a short request whose caller would have left by its first token; and one that finds no
    /// place in time while most are taken: in an engine's queue it would come late and make those
    /// behind it late too.
    fn refuse_short(
        &self,
        now: units::MonoTime,
        job: &waiting_job::WaitingJob,
        grant: &engine_place::PlaceGrant,
    ) -> Option<engine_place::PlaceRefusal> {
        // Engines that it may not use have no places for it, however idle they are.
        let (running, slots) = self.table.used_slots(&job.ask.excluded);
        let full = running as f64 >= slots as f64 * CROWDED_FRACTION;
        let hopeless = f64::from(grant.first_token_ms) > job.patience_ms(now);
        let crowded = self.options.ways.short_refusal == ways::ShortRefusalWay::Crowded
            && full
            && self.is_crowded(job, grant);
        if job.ask.resumed || !(hopeless || crowded) {
            return None;
        }
        let expected_ms = hopeless.then_some(f64::from(grant.first_token_ms));
        Some(self.table.refusal(job.ask.job, self.slot_retry_ms(), expected_ms))
    }

    /// Refuses a short request that limits keep from all engines for longer than it can wait: any until it is late, one
    /// that came back for longer. It is refused at once, as a request that has waited without success has lost more.
    fn refuse_limited(
        &mut self,
        now: units::MonoTime,
        job: &waiting_job::WaitingJob,
    ) -> Option<engine_place::PlaceRefusal> {
        let rate = self.table.limited_rate(&job.ask.excluded)?;
        if job.ask.resumed {
            return None;
        }
        let ahead = |other: &&waiting_job::WaitingJob| {
            let order = |job: &waiting_job::WaitingJob| (job.ask.refusable, job.since);
            self.is_short(&other.ask) && order(other) < order(job)
        };
        let ahead = self.waiting.iter().filter(ahead).count();
        let wait_ms = self.table.next_permit_ms(now) + ahead as f64 * 1_000.0 / rate;
        let would_wait_ms = match (job.waited_ms(now) > 0.0, job.ask.refusable) {
            // Who was let into the line stays there.
            (true, _) => f64::INFINITY,
            (false, true) => job.goal_left_ms(now),
            (false, false) => f64::from(job.ask.goal_ms) * RETRY_WAIT_GOALS,
        };
        if wait_ms <= would_wait_ms.min(job.patience_ms(now)) {
            return None;
        }
        let back = self.returns.next(now, rate);
        let back_ms = back.as_secs_f64() * 1_000.0;
        Some(self.table.refusal(job.ask.job, back_ms.max(MIN_RETRY_AFTER_MS), Some(wait_ms)))
    }

    /// When a refused short request finds room, milliseconds: slots come free as answers end.
    fn slot_retry_ms(&self) -> f64 {
        (self.table.mean_slot_release_ms() * SLOTS_PER_RETRY)
            .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Books all long prompts that wait; the answers of those that begin or are refused.
    fn plan_long(&mut self, now: units::MonoTime) -> Vec<engine_place::PlaceAnswer> {
        let longs = self.waiting.iter_mut().filter(|job| !job.ask.tight);
        let mut jobs: Vec<_> = longs.collect();
        if jobs.is_empty() {
            return Vec::new();
        }
        let shape = &self.table.shape;
        let packed_writers = self.options.ways.packing.writers(shape).unwrap_or(shape.slots);
        let admission = admission::ReadAdmission {
            table: &self.table,
            price: &self.price,
            packed_writers,
            now,
        };
        let answers = admission.plan(&mut jobs);
        let settle = |answer| self.settle_long(now, answer);
        answers.into_iter().filter_map(settle).collect()
    }

    /// Takes a long prompt's place, or lets it go.
    fn settle_long(
        &mut self,
        now: units::MonoTime,
        answer: engine_place::PlaceAnswer,
    ) -> Option<engine_place::PlaceAnswer> {
        let at = self.waiting.iter().position(|waiting| waiting.ask.job == answer.job())?;
        let waiting = self.waiting.swap_remove(at);
        let engine_place::PlaceAnswer::Grant(grant) = answer else {
            return Some(answer);
        };
        self.price.note_reading(&self.table.shape, &waiting.ask);
        self.take(now, &waiting.ask, grant)
    }
}
