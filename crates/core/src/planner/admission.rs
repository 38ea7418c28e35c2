//! Admission of long prompts: which are prefilled in time, which run late and which are refused.
//!
//! All waiting prompts are scheduled by due time, earliest first. If one of them would miss its due time, the prompt
//! that loses the least worth per engine time is displaced: a prompt that could still be in time becomes late, and a
//! late one is refused. Prompts of customers above their share of scarce capacity come after all others, and are
//! displaced before them.

use crate::{
    engine_place, pass_model,
    planner::{engine_view, load_forecast, place_table, price, shares, timetable, waiting_job},
    sharing, units,
};

/// Largest loss that the prefill of a long prompt may cause to other requests, as a fraction of what the prompt
/// itself loses by missing its due time.
const MAX_LOSS_FRACTION: f64 = 0.5;
/// Largest loss that the prefill of a late long prompt may cause to other requests, as a fraction of what the prompt
/// itself loses by missing its due time. The caller of a late prompt waits anyway.
const LATE_MAX_LOSS_FRACTION: f64 = 0.12;
/// Fraction of its goal after which a prompt that is not yet late is no longer displaced by prompts that arrived after
/// it. A later plan needs the other half: 17 engines prefill 550,000 tokens in half of a goal of 4 s.
const DISPLACEABLE_FRACTION: f64 = 0.5;
/// Bounds of the retry delay given to a refused prompt, milliseconds. Callers obey a delay of up to a third of their
/// time limit.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (300.0, 5_000.0);

/// A prompt that could be displaced in favor of others.
struct DisplacedPrompt {
    /// Index of the prompt among the waiting ones.
    index: usize,
    /// Expected time until the prompt's first token, milliseconds.
    expected_ms: f64,
}

/// A prefill that could be booked on the timetable.
struct PrefillCandidate {
    booking: timetable::PrefillBooking,
    /// Whether the prefill may start; `false` if it would cost other requests too much.
    allowed: bool,
}

/// Context of one planning round for long prompts.
pub(crate) struct PrefillAdmission<'a> {
    pub(crate) table: &'a place_table::PlaceTable,
    pub(crate) price: &'a price::EnginePrice,
    pub(crate) shares: Option<&'a shares::CustomerShares>,
    /// Expected short requests; `None` if only requests that have arrived count.
    pub(crate) forecast: Option<&'a load_forecast::LoadForecast>,
    pub(crate) packing_target: usize,
    pub(crate) late_admission: sharing::LateAdmission,
    pub(crate) now: units::MonoTime,
}

impl PrefillAdmission<'_> {
    /// Schedules all waiting long prompts and returns the grants and refusals.
    ///
    /// Updates the `late` and `admitted_late` flags of `jobs`.
    pub(crate) fn plan(
        &self,
        jobs: &mut [&mut waiting_job::WaitingJob],
    ) -> Vec<engine_place::PlaceAnswer> {
        let mut views = self.table.views(self.now);
        let latency_sensitive: usize =
            views.iter().map(engine_view::EngineView::latency_sensitive).sum();
        let usable = views.iter().filter(|view| !view.ejected && view.has_permit()).count();
        // Number of engines left to long prompts once short requests are packed onto as few engines as possible.
        let mut free = usable.saturating_sub(latency_sensitive.div_ceil(self.packing_target));
        if let Some(forecast) = self.forecast {
            let slots = self.packing_target.min(self.table.shape.slots);
            let kept = forecast.kept_engines(self.now, self.table, usable, slots);
            load_forecast::mark_kept(&mut views, kept);
            free = free.min(usable - kept);
        }
        let mut answers = Vec::new();
        // Lateness is decided again in each round, because engines may be free earlier than expected.
        jobs.iter_mut().for_each(|job| job.late = job.goal_left_ms(self.now) <= 0.0);
        if let Some(shares) = self.shares {
            shares.mark_longs(self.now, self.table, free, jobs);
        }
        let worth_prefill = |index: &usize| {
            // A prompt worth less than the short requests that it displaces is not scheduled: it is unknown how long
            // the short requests will occupy the engines.
            self.price.is_worth_prefill(self.now, &self.table.shape, jobs[*index])
        };
        let mut order: Vec<_> = (0..jobs.len()).filter(worth_prefill).collect();
        loop {
            order.sort_by(|left, right| {
                let over_share = |index: usize| jobs[index].over_share;
                let due = |index: usize| jobs[index].due_ms(self.now);
                let by_share = over_share(*left).total_cmp(&over_share(*right));
                let by_return = jobs[*right].is_due().cmp(&jobs[*left].is_due());
                by_share.then(by_return).then(due(*left).total_cmp(&due(*right)))
            });
            let mut timetable = timetable::PrefillTimetable::new(
                &self.table.shape,
                views.clone(),
                jobs.len(),
                self.price.ms_per_worth(),
            );
            let displaced = match self.book_all(&mut timetable, jobs, &order) {
                Ok(grants) => {
                    answers.extend(grants);
                    return answers;
                }
                Err(displaced) => displaced,
            };
            let job = &mut jobs[displaced.index];
            let was_late = job.late;
            job.late = true;
            // A late prompt also waits for prompts that arrive after it, so its expected time grows with the load.
            // The load counts only when a prompt is first admitted late: later load must not get the prompt refused
            // while its caller would still get an answer.
            let prefill_load = self.price.load(self.now, free, &self.table.shape, &job.request);
            let rate = self.table.limited_rate(&job.request.excluded);
            let limit_load = rate.map_or(0.0, |rate| self.price.limited_load(self.now, rate));
            let load = prefill_load.max(limit_load);
            let is_booked = self.late_admission == sharing::LateAdmission::AsBooked;
            let load_factor = if is_booked || job.admitted_late || job.is_due() {
                1.0
            } else {
                1.0 / (1.0 - load)
            };
            let expected_ms = displaced.expected_ms * load_factor;
            job.admitted_late = true;
            if was_late || expected_ms > job.due_ms(self.now) {
                order.retain(|index| *index != displaced.index);
                let refusal = self.refuse(&job.request, expected_ms);
                answers.push(engine_place::PlaceAnswer::Refuse(refusal));
            }
        }
    }

    fn book_all(
        &self,
        timetable: &mut timetable::PrefillTimetable<'_>,
        jobs: &[&mut waiting_job::WaitingJob],
        order: &[usize],
    ) -> Result<Vec<engine_place::PlaceAnswer>, DisplacedPrompt> {
        let mut grants = Vec::new();
        let mut booked = Vec::new();
        let empty = self.forecast.map(|_| timetable.clone());
        for index in order {
            let job = &jobs[*index];
            let Some(PrefillCandidate { booking, allowed }) = self.best_prefill(timetable, job)
            else {
                continue;
            };
            if !timetable.can_hold(&job.request) && !job.request.resumed {
                // The engines that the prompt may use cannot hold it, so displacing another prompt would not help.
                return Err(DisplacedPrompt { index: *index, expected_ms: f64::INFINITY });
            }
            let missed = booking.first_ms > job.due_ms(self.now) && !job.request.resumed;
            if !missed && !allowed {
                // The prompt waits for a start that costs other requests less.
                continue;
            }
            booked.push(DisplacedPrompt { index: *index, expected_ms: booking.first_ms });
            if missed {
                let can_meet = empty.is_some_and(|empty| {
                    let alone = self.best_prefill(&empty, job);
                    alone.is_some_and(|alone| alone.booking.first_ms <= job.due_ms(self.now))
                });
                return Err(self.pick_displaced(jobs, booked, can_meet));
            }
            let granted = if booking.starts_now() || job.request.resumed && booking.has_permit() {
                timetable.grant(job, &booking, job.waited_ms(self.now), job.request.resumed)
            } else {
                None
            };
            timetable.book(&booking);
            grants.extend(granted.map(engine_place::PlaceAnswer::Grant));
        }
        Ok(grants)
    }

    /// Returns the best prefill, in this order of preference:
    ///
    /// 1. one that is in time and costs other requests nothing,
    /// 2. one that is in time and costs them at most the allowed fraction of what the prompt would lose,
    /// 3. a late one that costs them nothing,
    /// 4. any other, which must not start and only serves to estimate the first token.
    ///
    /// A resumed request may always start.
    fn best_prefill(
        &self,
        timetable: &timetable::PrefillTimetable<'_>,
        job: &waiting_job::WaitingJob,
    ) -> Option<PrefillCandidate> {
        let forced = || timetable.cheapest(&job.request, f64::INFINITY);
        if job.request.resumed {
            return forced().map(|booking| PrefillCandidate { booking, allowed: true });
        }
        let due = job.due_ms(self.now);
        let in_time = |booking: &timetable::PrefillBooking| booking.first_ms <= due;
        let lossless = timetable.cheapest(&job.request, 0.0);
        if lossless.as_ref().is_some_and(in_time) {
            return lossless.map(|booking| PrefillCandidate { booking, allowed: true });
        }
        let part = if job.late { LATE_MAX_LOSS_FRACTION } else { MAX_LOSS_FRACTION };
        let lossy = timetable.cheapest(&job.request, job.loss_if_missed() * part);
        if let Some(booking) = lossy.filter(in_time).or(lossless) {
            return Some(PrefillCandidate { booking, allowed: true });
        }
        forced().map(|booking| PrefillCandidate { booking, allowed: false })
    }

    /// Picks the prompt to displace, of customers above their share if there are any: the one that loses the least worth
    /// per engine time by missing its due time, and among equals the newest. Resumed requests are never displaced, and
    /// callers that return at their assigned time only if there are no others.
    ///
    /// The last of `booked` is the prompt that would miss its due time; with `can_meet`, it would not if nothing else was
    /// booked. With a forecast, a prompt that has waited for [`DISPLACEABLE_FRACTION`] of its goal is displaced only if
    /// it is late, or if no prompt that arrived after it could be displaced in its favor.
    fn pick_displaced(
        &self,
        jobs: &[&mut waiting_job::WaitingJob],
        mut booked: Vec<DisplacedPrompt>,
        can_meet: bool,
    ) -> DisplacedPrompt {
        let is_protected = |at: usize| {
            let job = &jobs[booked[at].index];
            let is_later = |other: &DisplacedPrompt| {
                let other = &jobs[other.index];
                other.since > job.since && !other.request.resumed
            };
            self.forecast.is_some()
                && !job.late
                && job.goal_spent(self.now) >= DISPLACEABLE_FRACTION
                && (can_meet || at + 1 < booked.len())
                && booked.iter().any(is_later)
        };
        let density = |prompt: &DisplacedPrompt| {
            let job = &jobs[prompt.index];
            job.loss_if_missed() / pass_model::prefill_ms(&self.table.shape, job.request.prompt)
        };
        let worst = (0..booked.len())
            .filter(|index| !jobs[booked[*index].index].request.resumed)
            .filter(|index| !is_protected(*index))
            .min_by(|left, right| {
                let since = |index: usize| jobs[booked[index].index].since;
                let over_share = |index: usize| jobs[booked[index].index].over_share;
                let by_share = over_share(*right).total_cmp(&over_share(*left));
                let is_due = |index: usize| jobs[booked[index].index].is_due();
                let by_return = is_due(*left).cmp(&is_due(*right));
                let by_density = density(&booked[*left]).total_cmp(&density(&booked[*right]));
                by_share.then(by_return).then(by_density).then(since(*right).cmp(&since(*left)))
            });
        booked.swap_remove(worst.unwrap_or(booked.len() - 1))
    }

    /// Builds a refusal with a retry delay of about the expected time to the first token.
    fn refuse(
        &self,
        request: &engine_place::PlacementRequest,
        expected_ms: f64,
    ) -> engine_place::PlaceRefusal {
        let back_after_ms = expected_ms.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1);
        let expected_ms = Some(expected_ms).filter(|expected| expected.is_finite());
        self.table.refusal(request.job, back_after_ms, expected_ms)
    }
}
