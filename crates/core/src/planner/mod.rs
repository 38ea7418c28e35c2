//! Placement of requests on engines: which engine answers a request, and which engines prefill parts of its prompt.
//!
//! One planner tracks the work of every engine of a service, or of one cell (a subset of the engines) of a large
//! service. A request passes through these steps:
//!
//! 1. [`PlacementPlanner::request`] receives it, and the place table provides the current state of the engines.
//! 2. A short prompt gets one engine. Long prompts are scheduled together on a timetable, and admission decides
//!    which of them meet their goal, which run late and which are refused.
//! 3. The place table records the grant.

mod admission;
mod baseline_choice;
mod customer_shares;
mod engine_limits;
mod engine_view;
mod engine_work;
mod load_forecast;
pub mod modes;
mod observed_pace;
mod place_table;
mod price;
mod return_schedule;
mod returns;
pub mod share_summary;
mod shares;
mod short_choice;
mod timetable;
mod waiting_job;

use std::{collections, time};

use crate::{
    engine_place, ids, quota_ledger, retry_schedule, route_table, send_pace, settings, sharing,
    units,
};

/// Longest time for which a request stays queued; the member that sent it has given up long before.
const MAX_WAIT: time::Duration = time::Duration::from_secs(30);
/// Fraction of all engine slots that must be in use before a short request is refused because it would be queued or
/// late. While fewer slots are in use, engines that seem unusable may only have been slow.
const CROWDED_FRACTION: f64 = 0.6;
/// Number of retried requests that an engine may hold in its own queue beyond its slots.
const MAX_QUEUED_RETRIES: usize = 2;
/// Slots that are expected to be released for each slot that a retry gets; new requests take the others.
const SLOTS_PER_RETRY: f64 = 2.0;
/// Longest time for which a retried short request waits for a rate-limit permit, as a multiple of its first-token goal.
/// The request is late by then.
const RETRY_WAIT_GOALS: f64 = 2.0;
/// Time after the first request of a planner in a process that has just started for which long prompts that can wait are
/// held back. Members start within a few hundred milliseconds of each other.
const SHORTS_FIRST_TIME: time::Duration = time::Duration::from_millis(400);
/// Shortest retry delay given to a refused short request, milliseconds. The member that sent it adds jitter.
const MIN_RETRY_AFTER_MS: f64 = 300.0;
/// Longest retry delay given to a refused short request, milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 2_500.0;

/// Routing policy and decision variants of a planner.
#[derive(Debug, Clone, Copy)]
pub struct PlannerOptions {
    /// Routing policy. All except [`settings::RoutingKind::ExpectedStart`] are baselines for comparison.
    pub routing: settings::RoutingKind,
    /// Variants of individual decisions. All except the defaults are for comparison.
    pub modes: modes::PlannerModes,
    /// Decisions that apply while there is less room than callers need.
    pub sharing: sharing::SharingPolicy,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self {
            routing: settings::RoutingKind::ExpectedStart,
            modes: modes::PlannerModes::default(),
            sharing: sharing::SharingPolicy::default(),
        }
    }
}

/// Places the requests of one service, or of one cell of its engines.
#[derive(Debug)]
pub struct PlacementPlanner {
    options: PlannerOptions,
    table: place_table::PlaceTable,
    price: price::EnginePrice,
    /// Requests without a placement, unordered.
    waiting: Vec<waiting_job::WaitingJob>,
    /// Answers for other requests that became known during a call of [`PlacementPlanner::request`]; the next
    /// [`PlacementPlanner::tick`] returns them.
    ready_answers: Vec<engine_place::PlaceAnswer>,
    /// Retry times for requests that no engine's rate limit permits.
    retry_schedule: retry_schedule::RetrySchedule,
    /// Until when long prompts that can wait are held back, see [`Self::begin_after_start`].
    shorts_first_until: units::MonoTime,
    /// Callers that were refused and are expected to return.
    returns: returns::CallerReturns,
    /// Shares of customers; `None` if the settings don't distinguish customers.
    shares: Option<shares::CustomerShares>,
    /// Expected short requests; `None` if the settings don't use a forecast.
    forecast: Option<load_forecast::LoadForecast>,
}

impl PlacementPlanner {
    /// Creates a planner without engines.
    pub fn new(shape: route_table::EngineShape, options: PlannerOptions) -> Self {
        let mut table = place_table::PlaceTable::new(
            shape,
            options.modes.engine_faults,
            options.sharing.passes,
        );
        if options.sharing.speeds != sharing::SpeedTracking::Off {
            table.observed = Some(observed_pace::ObservedPaces::default());
        }
        Self {
            options,
            table,
            price: price::EnginePrice::default(),
            waiting: Vec::new(),
            ready_answers: Vec::new(),
            retry_schedule: retry_schedule::RetrySchedule::default(),
            returns: returns::CallerReturns::default(),
            shares: shares::CustomerShares::new(options.sharing.customers),
            forecast: load_forecast::LoadForecast::new(options.sharing.forecast),
            shorts_first_until: units::MonoTime::default(),
        }
    }

    /// Tells the planner that it begins to plan in a process that has just started.
    ///
    /// After a restart of all instances, the callers whose requests were lost return within a fraction of a second. A few
    /// long prompts among them would occupy most engines, which all seem idle, for a second and more before the short
    /// requests arrive.
    pub fn begin_after_start(&mut self, now: units::MonoTime) {
        if self.options.sharing.planner_start == sharing::PlannerStart::ShortsFirst {
            self.shorts_first_until = now + SHORTS_FIRST_TIME;
        }
    }

    /// Sets which engines have a rate limit. `enforced` holds the limits that this process enforces; engines in
    /// `elsewhere` have a limit that another process enforces, and get no requests from this planner.
    pub fn set_limits(
        &mut self,
        now: units::MonoTime,
        enforced: &collections::BTreeMap<ids::UpstreamId, send_pace::PaceBound>,
        elsewhere: collections::BTreeSet<ids::UpstreamId>,
    ) {
        self.table.limits.set(now, enforced, elsewhere);
    }

    /// Rate-limit permits of this planner's engines. They are also taken for requests that need no placement.
    pub fn permits(&mut self) -> &mut quota_ledger::QuotaLedger<ids::UpstreamId> {
        &mut self.table.limits.permits
    }

    /// Replaces the performance model of the engines.
    pub fn set_shape(&mut self, shape: route_table::EngineShape) {
        self.table.shape = shape;
    }

    /// Sets which engines may be used, each with a rank: of engines with equal loss or cost, the lowest rank is
    /// preferred.
    ///
    /// Each member derives its own ranks, so that two planners of the same engines, as in a network partition, fill
    /// them in different orders. An engine that the planner already knows keeps its state and rank.
    pub fn set_engines(&mut self, now: units::MonoTime, names: &[(ids::UpstreamId, u64)]) {
        self.table.set_engines(now, names);
    }

    /// Number of requests that wait for a placement.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that wait for a placement.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = engine_place::JobId> {
        self.waiting.iter().map(|waiting| waiting.request.job)
    }

    /// Number of requests that have a placement.
    pub fn placed_count(&self) -> usize {
        self.table.placed_count()
    }

    /// Describes the engines that are not idle, for the log.
    pub fn summary(&self, now: units::MonoTime) -> String {
        self.table.summary(now)
    }

    /// State of the shares of customers, for operators; `None` if the settings don't distinguish customers.
    pub fn share_summary(&self, now: units::MonoTime) -> Option<share_summary::ShareSummary> {
        self.shares.as_ref().map(|shares| shares.summary(now, &self.table, &self.waiting))
    }

    /// Since when slots are divided among customers; `None` if they cover all demands.
    pub fn shares_divided_since(&self, now: units::MonoTime) -> Option<units::MonoTime> {
        self.shares.as_ref()?.divided_since(now)
    }

    /// Requests a placement. Idempotent: a job that has a placement gets the same answer again.
    ///
    /// Returns `None` while the request waits; [`Self::tick`] returns its answer later.
    pub fn request(
        &mut self,
        now: units::MonoTime,
        request: engine_place::PlacementRequest,
    ) -> Option<engine_place::PlaceAnswer> {
        let id = request.job;
        if let Some(answer) = self.table.answer(id) {
            return Some(answer);
        }
        if let Some(waiting) = self.waiting.iter_mut().find(|waiting| waiting.request.job == id) {
            // The excluded engines may have changed, for example because one requested a backoff from the member.
            waiting.request.excluded = request.excluded;
            return None;
        }
        let mut job = waiting_job::WaitingJob::new(request, now);
        job.standing = self.recognize_return(now, &job.request);
        self.table.advance(now);
        if let Some(shares) = &mut self.shares {
            shares.note_request(now, &self.table.shape, &job.request);
        }
        if let Some(forecast) = &mut self.forecast {
            forecast.note_request(now, &job.request);
        }
        if self.is_short(&job.request) {
            if self.table.limited_rate(&[]).is_some() {
                // Requests that already wait get due permits before this one.
                let answers = self.tick_short(now);
                self.ready_answers.extend(answers);
            }
            let answer = self.place_short(now, &job);
            if answer.is_none() {
                self.waiting.push(job);
            }
            return answer;
        }
        self.price.note_demand(now, &self.table.shape, &job.request);
        self.waiting.push(job);
        let (own, others) = self.plan_long(now).into_iter().partition(|answer| answer.job() == id);
        self.ready_answers.extend::<Vec<_>>(others);
        let own: Vec<_> = own;
        own.into_iter().next()
    }

    /// Drops expired requests and leases, then places waiting requests: short ones first, then long ones by due time.
    pub fn tick(&mut self, now: units::MonoTime) -> Vec<engine_place::PlaceAnswer> {
        self.table.expire(now);
        // Dropping a request is harmless: a member that still needs a placement repeats it within the lease time.
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

    /// Applies an update from a member about one of its requests or about an engine.
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

    /// Records the first token of a request: its prefill is complete.
    pub fn first_token(&mut self, now: units::MonoTime, job: engine_place::JobId) {
        self.table.first_token(now, job);
    }

    /// Removes a request, whether placed or waiting.
    pub fn end(
        &mut self,
        now: units::MonoTime,
        job: engine_place::JobId,
        end: engine_place::PlaceEnd,
    ) {
        self.waiting.retain(|waiting| waiting.request.job != job);
        self.table.end(now, job, end);
    }

    /// Renews the lease of a placement; returns `false` if this planner does not know it.
    pub fn renew(
        &mut self,
        now: units::MonoTime,
        job: engine_place::JobId,
        prefilling: bool,
    ) -> bool {
        self.table.renew(now, job, prefilling)
    }

    /// Adopts placements that another planner granted.
    pub fn take_over(&mut self, now: units::MonoTime, leases: Vec<engine_place::PlaceLease>) {
        for lease in &leases {
            self.waiting.retain(|waiting| waiting.request.job != lease.request.job);
        }
        if let Some(shares) = &mut self.shares {
            shares.take_over(now, &self.table, &leases);
        }
        if let Some(forecast) = &mut self.forecast {
            forecast.take_over(now, &self.table, &leases);
        }
        self.table.take_over(now, leases);
    }

    /// Excludes an engine from new placements for a while.
    pub fn eject(&mut self, now: units::MonoTime, name: &ids::UpstreamId) {
        self.table.eject(now, name);
    }

    /// Returns the engines reported as silent since the last call, which should be polled.
    pub fn take_suspects(&mut self) -> Vec<ids::UpstreamId> {
        self.table.take_suspects()
    }

    /// Whether to poll an engine in this round: always if it has work, less often if it is idle.
    pub fn take_report_due(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        self.options.modes.reports == modes::ReportMode::All
            || self.table.take_report_due(now, name)
    }

    /// Applies an engine's load report.
    ///
    /// `pace` is above 1 when the engine is slower than its model. `requests` counts the requests that it runs or
    /// queues; clearly more than this planner's own means that another planner uses it too, as on the other side of
    /// a network partition.
    pub fn set_report(&mut self, name: &ids::UpstreamId, pace: f64, requests: usize) {
        self.table.set_report(name, pace, requests);
    }

    /// Whether a request is placed on a single engine without the timetable of long prompts. Baseline routing policies
    /// treat every request as short.
    fn is_short(&self, request: &engine_place::PlacementRequest) -> bool {
        request.tight || self.options.routing != settings::RoutingKind::ExpectedStart
    }

    fn take(
        &mut self,
        now: units::MonoTime,
        request: &engine_place::PlacementRequest,
        grant: engine_place::PlaceGrant,
    ) -> Option<engine_place::PlaceAnswer> {
        if let Some(shares) = &mut self.shares {
            shares.note_grant(now, &self.table.shape, request);
        }
        self.table.take(now, request, grant);
        self.table.answer(request.job)
    }

    /// Places waiting short requests, retries first and then by age.
    fn tick_short(&mut self, now: units::MonoTime) -> Vec<engine_place::PlaceAnswer> {
        let waiting = std::mem::take(&mut self.waiting);
        let (mut shorts, longs): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|job| self.is_short(&job.request));
        self.waiting = longs;
        shorts.sort_by_key(|job| (job.request.refusable, job.since));
        let mut answers = Vec::new();
        for job in shorts {
            match self.place_short(now, &job) {
                Some(answer) => answers.push(answer),
                None => self.waiting.push(job),
            }
        }
        answers
    }

    /// Places or refuses a short request; `None` if it has to wait.
    fn place_short(
        &mut self,
        now: units::MonoTime,
        job: &waiting_job::WaitingJob,
    ) -> Option<engine_place::PlaceAnswer> {
        let mut views = self.table.views(now);
        if self.options.routing != settings::RoutingKind::ExpectedStart {
            let shape = &self.table.shape;
            let grant = baseline_choice::choose(shape, self.options.routing, now, job, &views)?;
            return self.take(now, &job.request, grant);
        }
        if let Some(shares) = &mut self.shares
            && let Some(retry_ms) = shares.refuse_short(now, &self.table, &mut views, job)
        {
            let refusal = self.table.refusal(job.request.job, retry_ms, None);
            return Some(engine_place::PlaceAnswer::OverShare(refusal));
        }
        let shape = &self.table.shape;
        let packing_target = self.options.modes.packing.packing_target(shape);
        let choice = short_choice::ShortChoice { shape, packing_target };
        let yields = self.yields_to_returns(now, job, &views);
        if let Some(grant) = choice.choose(now, job, &views, true).filter(|_| !yields) {
            return self.take(now, &job.request, grant);
        }
        let grant = choice.choose(now, job, &views, false);
        if !job.request.resumed {
            self.price.note_contention(now);
        }
        let Some(grant) = grant else {
            let refusal = self.refuse_limited(now, job);
            return refusal.map(engine_place::PlaceAnswer::Refuse);
        };
        if let Some(refusal) = self.refuse_short(now, job, &grant, yields) {
            let refusal = self.assign_return(now, job, refusal);
            return Some(engine_place::PlaceAnswer::Refuse(refusal));
        }
        self.take(now, &job.request, grant)
    }

    /// Whether a short request would take more than twice its first-token goal, or would find all slots of its engine
    /// in use; a retry may then still be queued, see [`MAX_QUEUED_RETRIES`].
    fn is_crowded(
        &self,
        now: units::MonoTime,
        job: &waiting_job::WaitingJob,
        grant: &engine_place::PlaceGrant,
    ) -> bool {
        let max_queued = if self.may_queue(now, job) { MAX_QUEUED_RETRIES } else { 0 };
        self.table.running_on(&grant.engine) >= self.table.shape.slots + max_queued
            || grant.first_token_ms > job.request.goal_ms * 2
    }

    /// Refuses a short request whose caller would give up before the first token. While most slots are in use, also
    /// refuses a request that would be late or queued at an engine, where it would delay the requests behind it. With
    /// `yields`, refuses any request, as the free slots are kept for callers that return.
    fn refuse_short(
        &self,
        now: units::MonoTime,
        job: &waiting_job::WaitingJob,
        grant: &engine_place::PlaceGrant,
        yields: bool,
    ) -> Option<engine_place::PlaceRefusal> {
        // Slots of engines that the request must not use don't count.
        let (running, slots) = self.table.used_slots(&job.request.excluded);
        let full = running as f64 >= slots as f64 * CROWDED_FRACTION;
        let hopeless = f64::from(grant.first_token_ms) > job.patience_ms(now);
        let crowded = self.options.modes.short_refusal == modes::ShortRefusalMode::Crowded
            && full
            && self.is_crowded(now, job, grant);
        if job.request.resumed || !(hopeless || crowded || yields) {
            return None;
        }
        let expected_ms = hopeless.then_some(f64::from(grant.first_token_ms));
        Some(self.table.refusal(job.request.job, self.slot_retry_ms(), expected_ms))
    }

    /// Refuses a short request that no engine's rate limit permits within the time that the request can wait.
    ///
    /// A first attempt can wait until it is late, a retry for longer. The request is refused at once: a wait that does
    /// not lead to a permit would take time that the request needs for a retry.
    fn refuse_limited(
        &mut self,
        now: units::MonoTime,
        job: &waiting_job::WaitingJob,
    ) -> Option<engine_place::PlaceRefusal> {
        let rate = self.table.limited_rate(&job.request.excluded)?;
        if job.request.resumed {
            return None;
        }
        let ahead = |other: &&waiting_job::WaitingJob| {
            let order = |job: &waiting_job::WaitingJob| (job.request.refusable, job.since);
            self.is_short(&other.request) && order(other) < order(job)
        };
        let ahead = self.waiting.iter().filter(ahead).count();
        let wait_ms = self.table.next_permit_ms(now) + ahead as f64 * 1_000.0 / rate;
        let max_wait_ms = match (job.waited_ms(now) > 0.0, job.request.refusable) {
            // A request that is already queued stays queued.
            (true, _) => f64::INFINITY,
            (false, true) => job.goal_left_ms(now),
            (false, false) => f64::from(job.request.goal_ms) * RETRY_WAIT_GOALS,
        };
        if wait_ms <= max_wait_ms.min(job.patience_ms(now)) {
            return None;
        }
        let delay = self.retry_schedule.next(now, rate);
        let delay_ms = delay.as_secs_f64() * 1_000.0;
        Some(self.table.refusal(job.request.job, delay_ms.max(MIN_RETRY_AFTER_MS), Some(wait_ms)))
    }

    /// Retry delay of a refused short request, from the rate at which slots are released, milliseconds.
    fn slot_retry_ms(&self) -> f64 {
        (self.table.mean_slot_release_ms() * SLOTS_PER_RETRY)
            .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Schedules all waiting long prompts; returns the answers of those that start now or are refused.
    fn plan_long(&mut self, now: units::MonoTime) -> Vec<engine_place::PlaceAnswer> {
        let held_ms = self.shorts_first_until.since(now).as_secs_f64() * 1_000.0;
        let shape = &self.table.shape;
        let can_start = |job: &&mut waiting_job::WaitingJob| !job.can_wait(now, shape, held_ms);
        let longs = self.waiting.iter_mut().filter(|job| !job.request.tight);
        let mut jobs: Vec<_> = longs.filter(can_start).collect();
        if jobs.is_empty() {
            return Vec::new();
        }
        let shape = &self.table.shape;
        let packing_target =
            self.options.modes.packing.packing_target(shape).unwrap_or(shape.slots);
        let admission = admission::PrefillAdmission {
            table: &self.table,
            price: &self.price,
            shares: self.shares.as_ref(),
            forecast: self.forecast.as_ref(),
            packing_target,
            late_admission: self.options.sharing.late_admission,
            now,
        };
        let answers = admission.plan(&mut jobs);
        let apply = |answer| self.apply_answer(now, answer);
        answers.into_iter().filter_map(apply).collect()
    }

    /// Removes a long prompt from the waiting ones and records its placement if it has one.
    fn apply_answer(
        &mut self,
        now: units::MonoTime,
        answer: engine_place::PlaceAnswer,
    ) -> Option<engine_place::PlaceAnswer> {
        let at = self.waiting.iter().position(|waiting| waiting.request.job == answer.job())?;
        let waiting = self.waiting.swap_remove(at);
        let grant = match answer {
            engine_place::PlaceAnswer::Grant(grant) => grant,
            engine_place::PlaceAnswer::Refuse(refusal) => {
                let refusal = self.assign_return(now, &waiting, refusal);
                return Some(engine_place::PlaceAnswer::Refuse(refusal));
            }
            other => return Some(other),
        };
        self.price.note_prefill(&self.table.shape, &waiting.request);
        self.take(now, &waiting.request, grant)
    }
}
