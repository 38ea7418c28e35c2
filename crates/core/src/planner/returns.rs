//! Order in which rejected callers return: the times that they are told, recognition of a caller at its time, and its
//! precedence over first attempts.

use std::time;

use crate::{
    engine_place, pass_model,
    planner::{self, engine_view, return_schedule, waiting_job},
    request_origin, units,
};

/// Fraction of the slots released over time that returning callers get; first attempts, which can still be on time, get
/// the others.
const SHORT_FRACTION: f64 = 0.5;
/// Fraction of the engine time that returning long prompts get. Each of them costs one first attempt, so this is less
/// than for short requests.
const LONG_FRACTION: f64 = 0.1;
/// Number of free slots, as a multiple of the reserved ones, that must remain when a retry without an assigned time gets
/// one: first attempts, which can still be on time, come before it.
const LATE_RETRY_FACTOR: usize = 2;
/// How long after its assigned time a slot is kept free for a caller that has not arrived: the time that a rejection
/// and the retry take on the way between data centres and the caller.
const RESERVE_AFTER: time::Duration = time::Duration::from_millis(100);
/// Shortest delay until an assigned time: below it, a caller returns before anything has changed.
const MIN_DELAY: time::Duration = time::Duration::from_millis(300);
/// Longest time for which a request takes up the reserved capacity in the schedule, milliseconds.
const MAX_SPAN_MS: f64 = 10_000.0;
/// Bounds for short requests. A longer horizon only makes callers wait longer, as their number is bounded by the rate
/// at which slots are released. 3,584 times in 1 s are for 4,700 released slots a second; a cell of 96 engines with
/// 16 slots and answers of 1.5 s releases 1,024.
const SHORT_BOUNDS: return_schedule::ScheduleBounds =
    return_schedule::ScheduleBounds { entries: 3_584, horizon: time::Duration::from_millis(1_000) };
/// Bounds for long prompts. The end of what is booked is often 2.4 s away, and many callers obey a delay of up to 5 s.
const LONG_BOUNDS: return_schedule::ScheduleBounds =
    return_schedule::ScheduleBounds { entries: 512, horizon: time::Duration::from_millis(4_000) };
/// Range of the delays of callers of short requests without an assigned time, milliseconds. Callers obey a third of the
/// time that they have left, and many have 10 s.
const SHORT_OVERFLOW_MS: (f64, f64) = (2_500.0, 3_200.0);
/// Range of the delays of callers of long prompts without an assigned time, milliseconds. Many callers have 15 s.
const LONG_OVERFLOW_MS: (f64, f64) = (4_200.0, 4_900.0);
/// Step between the delays of successive callers without an assigned time, as a part of the range. Multiples of the
/// golden ratio are spread evenly, whatever their number.
const OVERFLOW_STEP: f64 = 0.618_034;

/// Returning callers of one planner.
#[derive(Debug)]
pub(crate) struct CallerReturns {
    shorts: return_schedule::ReturnSchedule,
    longs: return_schedule::ReturnSchedule,
    /// When the first request arrived. A new planner does not know the times that its predecessor assigned.
    began: Option<units::MonoTime>,
    /// Position in the range of delays of callers without an assigned time, from 0 to 1.
    overflow: f64,
}

impl Default for CallerReturns {
    fn default() -> Self {
        Self {
            shorts: return_schedule::ReturnSchedule::new(SHORT_BOUNDS),
            longs: return_schedule::ReturnSchedule::new(LONG_BOUNDS),
            began: None,
            overflow: 0.0,
        }
    }
}

impl CallerReturns {
    fn schedule(&mut self, short: bool) -> &mut return_schedule::ReturnSchedule {
        if short { &mut self.shorts } else { &mut self.longs }
    }

    /// Whether callers may return at times that another planner assigned.
    fn may_have_predecessor(&self, now: units::MonoTime) -> bool {
        let past = SHORT_BOUNDS.horizon + return_schedule::KEEP_TIME;
        self.began.is_none_or(|began| now.since(began) < past)
    }

    /// Delay of a caller that gets no time of its own: it returns after all that have one.
    fn overflow_delay(&mut self, short: bool) -> time::Duration {
        self.overflow = (self.overflow + OVERFLOW_STEP).fract();
        let (least, most) = if short { SHORT_OVERFLOW_MS } else { LONG_OVERFLOW_MS };
        time::Duration::from_secs_f64((least + (most - least) * self.overflow) / 1_000.0)
    }
}

impl planner::PlacementPlanner {
    /// Number of times assigned to rejected callers that have not returned yet.
    pub fn assigned_returns(&self) -> usize {
        self.returns.shorts.len() + self.returns.longs.len()
    }

    /// Looks up a request that arrives among the callers that were told to return.
    pub(super) fn recognize_return(
        &mut self,
        now: units::MonoTime,
        request: &engine_place::PlacementRequest,
    ) -> return_schedule::ReturnStanding {
        self.returns.began.get_or_insert(now);
        let Some(identity) = self.scheduled_identity(request) else {
            return return_schedule::ReturnStanding::Unknown;
        };
        let is_retry = !request.refusable;
        self.returns.schedule(request.tight).recognize(now, request.job, identity, is_retry)
    }

    /// Whether a short request must leave the free slots to returning callers that are due.
    pub(super) fn yields_to_returns(
        &self,
        now: units::MonoTime,
        job: &waiting_job::WaitingJob,
        views: &[engine_view::EngineView<'_>],
    ) -> bool {
        if !self.options.sharing.returns.has_precedence(true) || job.request.resumed || job.is_due()
        {
            return false;
        }
        // Slots are released at the ends of passes, several at a time, and a pass may last up to the pause limit.
        let pause_goal = time::Duration::from_millis(u64::from(job.request.pause_ms));
        let ahead = pause_goal.mul_f64(engine_view::PAUSE_FRACTION).min(MIN_DELAY);
        let (from, until) = (now.earlier_by(RESERVE_AFTER), now + ahead);
        let due = self.returns.shorts.count_due(from, until);
        if due == 0 {
            return false;
        }
        // The times may have been assigned while slots were released faster than now.
        let window_ms = (ahead + RESERVE_AFTER).as_secs_f64() * 1_000.0;
        let released = window_ms / self.table.mean_slot_release_ms() * SHORT_FRACTION;
        let reserved = due.min(released.ceil() as usize);
        let slots = self.table.shape.slots;
        let usable = engine_view::usable(views, &job.request);
        let free: usize =
            usable.iter().map(|index| slots.saturating_sub(views[*index].answering)).sum();
        let is_late_retry = !job.request.refusable && !self.may_queue(now, job);
        free <= reserved * if is_late_retry { LATE_RETRY_FACTOR } else { 1 }
    }

    /// Whether a short request may be queued at an engine beyond its slots: a retry, and while times are assigned, only
    /// one that returns at its time.
    pub(super) fn may_queue(&self, now: units::MonoTime, job: &waiting_job::WaitingJob) -> bool {
        let retried = !job.request.refusable;
        if self.scheduled_identity(&job.request).is_none() {
            return retried;
        }
        match job.standing {
            return_schedule::ReturnStanding::Due => true,
            return_schedule::ReturnStanding::Early => false,
            return_schedule::ReturnStanding::Unknown => {
                let assigns = self.returns.shorts.len() > 0;
                retried && (!assigns || self.returns.may_have_predecessor(now))
            }
        }
    }

    /// Replaces the retry delay of a refusal by the time until the caller's assigned time. A caller whose goal has
    /// passed gets no time of its own and returns after the others.
    pub(super) fn assign_return(
        &mut self,
        now: units::MonoTime,
        job: &waiting_job::WaitingJob,
        refusal: engine_place::PlaceRefusal,
    ) -> engine_place::PlaceRefusal {
        let request = &job.request;
        let Some(origin) = &request.origin else {
            return refusal;
        };
        // A long prompt without an expected time fits into no engine's memory.
        if !self.options.sharing.returns.assigns_times(request.tight)
            || (!request.tight && refusal.expected_ms.is_none())
        {
            return refusal;
        }
        let (booked_ms, span_ms) = if request.tight {
            // While a predecessor's callers return, they take up some of the released slots.
            let part = if self.returns.may_have_predecessor(now) { 0.5 } else { 1.0 };
            (0.0, self.table.mean_slot_release_ms() / (SHORT_FRACTION * part))
        } else {
            self.long_capacity(now, request)
        };
        // The mean slot release is infinite while no request decodes.
        let span = |ms: f64| time::Duration::from_secs_f64(ms.min(MAX_SPAN_MS) / 1_000.0);
        let claim = return_schedule::ReturnClaim {
            job: request.job,
            identity: origin.identity,
            earliest: now + span(booked_ms).max(MIN_DELAY),
            span: span(span_ms),
        };
        let schedule = self.returns.schedule(request.tight);
        let is_early = job.standing == return_schedule::ReturnStanding::Early;
        let is_late = !request.refusable || job.goal_left_ms(now) <= 0.0;
        let assigned = match (is_early, is_late) {
            (true, _) => schedule.next_of(now, origin.identity),
            (false, true) => None,
            (false, false) => schedule.assign(now, claim),
        };
        let delay = match assigned {
            Some(at) => at.since(now),
            None => self.returns.overflow_delay(request.tight),
        };
        let back_after_ms = u32::try_from(delay.as_millis()).unwrap_or(u32::MAX);
        engine_place::PlaceRefusal { back_after_ms, ..refusal }
    }

    /// Time until the engines have prefilled what is placed and waits, and the time for which a long prompt takes up
    /// the engine time of returning callers; milliseconds.
    fn long_capacity(
        &self,
        now: units::MonoTime,
        request: &engine_place::PlacementRequest,
    ) -> (f64, f64) {
        let shape = &self.table.shape;
        let views = self.table.views(now);
        let usable = engine_view::usable(&views, request);
        let packing_target =
            self.options.modes.packing.packing_target(shape).unwrap_or(shape.slots);
        let shorts: usize = usable.iter().map(|index| views[*index].latency_sensitive()).sum();
        let engines = usable.len().saturating_sub(shorts.div_ceil(packing_target)).max(1) as f64;
        let placed: f64 =
            usable.iter().map(|index| views[*index].prefill_left_ms * views[*index].pace).sum();
        let longs = self.waiting.iter().filter(|job| !job.request.tight);
        let waiting: f64 = longs.map(|job| pass_model::prefill_ms(shape, job.request.prompt)).sum();
        let span = pass_model::prefill_ms(shape, request.prompt) / (engines * LONG_FRACTION);
        ((placed + waiting) / engines, span)
    }

    /// Identity of a request if returning callers have precedence and the request has an origin.
    fn scheduled_identity(
        &self,
        request: &engine_place::PlacementRequest,
    ) -> Option<request_origin::RequestIdentity> {
        let scheduled = self.options.sharing.returns.has_precedence(request.tight);
        request.origin.as_ref().filter(|_| scheduled).map(|origin| origin.identity)
    }
}
