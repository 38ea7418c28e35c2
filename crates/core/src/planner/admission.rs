//! Which long prompts are read in time, which late, and which are refused at once.
//!
//! All that wait are booked in the order in which they are due. Where one would miss its time, the one
//! whose engine time earns least gives way: out of time it becomes late, and late it is refused.

use crate::{
    engine_place, pass_model,
    planner::{engine_view, place_table, price, timetable, waiting_job},
    units,
};

/// Part of what is at stake for a long prompt that its reading may cost others.
const MAX_LOSS_FRACTION: f64 = 0.5;
/// The same for one that comes late: its caller waits anyway.
const LATE_MAX_LOSS_FRACTION: f64 = 0.12;
/// Shortest and latest time after which a refused prompt is asked back, milliseconds; callers obey
/// up to a third of their time.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (300.0, 5_000.0);

/// A prompt that gives way.
struct DisplacedPrompt {
    /// Its place in the list of those that wait.
    at: usize,
    /// When its first token was expected, milliseconds.
    expected_ms: f64,
}

/// A reading that could be booked.
struct ReadCandidate {
    booking: timetable::ReadBooking,
    /// Whether it may begin; others would suffer too much otherwise.
    allowed: bool,
}

/// One look at the long prompts that wait.
pub(crate) struct ReadAdmission<'a> {
    pub(crate) table: &'a place_table::PlaceTable,
    pub(crate) price: &'a price::EnginePrice,
    pub(crate) packed_writers: usize,
    pub(crate) now: units::MonoTime,
}

impl ReadAdmission<'_> {
    /// Books all long prompts that wait, and says which begin or are refused.
    ///
    /// `jobs` are changed where one becomes late.
    pub(crate) fn plan(
        &self,
        jobs: &mut [&mut waiting_job::WaitingJob],
    ) -> Vec<engine_place::PlaceAnswer> {
        let views = self.table.views(self.now);
        let tight: usize = views.iter().map(engine_view::EngineView::sensitive).sum();
        let usable = views.iter().filter(|view| !view.ejected && view.has_permit()).count();
        // Engines that short requests leave to long ones.
        let free = usable.saturating_sub(tight.div_ceil(self.packed_writers));
        let mut answers = Vec::new();
        // Engines may be free sooner than they were expected to be.
        jobs.iter_mut().for_each(|job| job.late = job.goal_left_ms(self.now) <= 0.0);
        let worth_reading = |at: &usize| {
            // Short requests take the engines of less valuable ones for an unknown time.
            self.price.is_worth_reading(self.now, &self.table.shape, jobs[*at])
        };
        let mut order: Vec<_> = (0..jobs.len()).filter(worth_reading).collect();
        loop {
            order.sort_by(|left, right| {
                jobs[*left].due_ms(self.now).total_cmp(&jobs[*right].due_ms(self.now))
            });
            let mut timetable = timetable::ReadTimetable::new(
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
            let job = &mut jobs[displaced.at];
            let hopeless = job.late;
            job.late = true;
            // What comes late waits for others that arrive meanwhile, too; once it is kept, it stays
            // as long as it can.
            let reading = self.price.load(self.now, free, &self.table.shape, &job.ask);
            let rate = self.table.limited_rate(&job.ask.excluded);
            let limited = rate.map_or(0.0, |rate| self.price.limited_load(self.now, rate));
            let load = reading.max(limited);
            let others = if job.admitted_late { 1.0 } else { 1.0 / (1.0 - load) };
            let expected_ms = displaced.expected_ms * others;
            job.admitted_late = true;
            if hopeless || expected_ms > job.due_ms(self.now) {
                order.retain(|at| *at != displaced.at);
                let refusal = self.refuse(&job.ask, expected_ms);
                answers.push(engine_place::PlaceAnswer::Refuse(refusal));
            }
        }
    }

    fn book_all(
        &self,
        timetable: &mut timetable::ReadTimetable<'_>,
        jobs: &[&mut waiting_job::WaitingJob],
        order: &[usize],
    ) -> Result<Vec<engine_place::PlaceAnswer>, DisplacedPrompt> {
        let mut grants = Vec::new();
        let mut booked = Vec::new();
        for at in order {
            let job = &jobs[*at];
            let Some(ReadCandidate { booking, allowed }) = self.best_read(timetable, job) else {
                continue;
            };
            if !timetable.can_hold(&job.ask) && !job.ask.resumed {
                // Nobody else's giving way would help.
                return Err(DisplacedPrompt { at: *at, expected_ms: f64::INFINITY });
            }
            let missed = booking.first_ms > job.due_ms(self.now) && !job.ask.resumed;
            if !missed && !allowed {
                // It waits until it delays no other request.
                continue;
            }
            booked.push(DisplacedPrompt { at: *at, expected_ms: booking.first_ms });
            if missed {
                return Err(self.pick_displaced(jobs, booked));
            }
            let granted = if booking.starts_now() || job.ask.resumed && booking.has_permit() {
                timetable.grant(job, &booking, job.waited_ms(self.now), job.ask.resumed)
            } else {
                None
            };
            timetable.book(&booking);
            grants.extend(granted.map(engine_place::PlaceAnswer::Grant));
        }
        Ok(grants)
    }

    /// The best reading that is in time and costs others less than what is at stake; else the one
    /// that shows how late it would be.
    fn best_read(
        &self,
        timetable: &timetable::ReadTimetable<'_>,
        job: &waiting_job::WaitingJob,
    ) -> Option<ReadCandidate> {
        let forced = || timetable.cheapest(&job.ask, f64::INFINITY);
        if job.ask.resumed {
            return forced().map(|booking| ReadCandidate { booking, allowed: true });
        }
        let due = job.due_ms(self.now);
        let in_time = |read: &timetable::ReadBooking| read.first_ms <= due;
        let lossless = timetable.cheapest(&job.ask, 0.0);
        if lossless.as_ref().is_some_and(in_time) {
            return lossless.map(|booking| ReadCandidate { booking, allowed: true });
        }
        let part = if job.late { LATE_MAX_LOSS_FRACTION } else { MAX_LOSS_FRACTION };
        let lossy = timetable.cheapest(&job.ask, job.loss_if_missed() * part);
        if let Some(booking) = lossy.filter(in_time).or(lossless) {
            return Some(ReadCandidate { booking, allowed: true });
        }
        forced().map(|booking| ReadCandidate { booking, allowed: false })
    }

    /// Of prompts that cannot all be in time, the one whose engine time earns least, of equal ones the one that has
    /// waited least; the last of `booked` is the one that missed.
    fn pick_displaced(
        &self,
        jobs: &[&mut waiting_job::WaitingJob],
        mut booked: Vec<DisplacedPrompt>,
    ) -> DisplacedPrompt {
        let density = |row: &DisplacedPrompt| {
            let job = &jobs[row.at];
            job.loss_if_missed() / pass_model::read_ms(&self.table.shape, job.ask.prompt)
        };
        let worst = (0..booked.len()).filter(|at| !jobs[booked[*at].at].ask.resumed).min_by(
            |left, right| {
                let since = |at: usize| jobs[booked[at].at].since;
                let earns = density(&booked[*left]).total_cmp(&density(&booked[*right]));
                earns.then(since(*right).cmp(&since(*left)))
            },
        );
        booked.swap_remove(worst.unwrap_or(booked.len() - 1))
    }

    /// Refuses a request: it may come back when there is room for it.
    fn refuse(&self, ask: &engine_place::PlaceAsk, expected_ms: f64) -> engine_place::PlaceRefusal {
        let back_after_ms = expected_ms.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1);
        let expected_ms = Some(expected_ms).filter(|expected| expected.is_finite());
        self.table.refusal(ask.job, back_after_ms, expected_ms)
    }
}
