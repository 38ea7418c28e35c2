//! Timetable for the prefill of long prompts. Prompts are booked one after the other, each split into equal parts on
//! one or more engines at the lowest cost.
//!
//! Bookings that have not started are discarded and computed again in each planning round.

use crate::{
    engine_place, pass_model,
    planner::{engine_view, place_table, waiting_job},
    route_table,
};

/// Numbers of parts into which a prompt may be split; the cheapest is chosen.
const PART_COUNTS: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];
/// Shortest part that is worth sending to a helper, milliseconds.
const MIN_PART_MS: f64 = 20.0;
/// Engine time lost per part in addition to its prefill, milliseconds: a pass with the decode steps of other
/// requests, and the wait for the message that the part is complete. With a lower value, prompts are split into
/// too many parts.
const PART_COST_MS: f64 = 60.0;
/// Prefill that an engine may still have left when a part is sent to it, milliseconds: about the time that the
/// request takes to arrive. An engine with a long part gets no other until that part is known to be complete.
const MAX_STACKED_MS: f64 = 40.0;
/// Longest part that may run on an engine with a short prompt that is not yet prefilled, milliseconds.
const SHORT_PART_MS: f64 = 60.0;
/// Longest part that an engine kept for expected short requests gets, milliseconds. In a burst of short requests, 0.958
/// of the medium prompts and 0.953 of the short requests were on time with 20 ms, 0.986 and 0.944 with 40 ms, 1.000
/// and 0.923 with 100 ms.
pub(crate) const MAX_KEPT_PART_MS: f64 = 40.0;
/// Largest fraction of an engine's memory that one prompt and its answer may take; larger prompts are held by several
/// engines.
const SINGLE_HOST_FRACTION: f64 = 0.85;
/// Largest fraction of an engine's free memory that is reserved for a prompt answered by another engine.
const MAX_HELD_FRACTION: f64 = 0.9;
/// Smallest memory reservation on another engine, tokens; a smaller one is not worth a message.
const MIN_HELD_TOKENS: u64 = 4_096;
/// Cost of letting an engine without any requests answer, in units of one latency-sensitive request on it.
const FRESH_HOST_COST: f64 = 0.5;
/// Remaining prefill that costs as much as one latency-sensitive request when the answering engine is chosen,
/// milliseconds.
const PENDING_MS_PER_REQUEST: f64 = 100.0;
/// Cost of an engine for each latency-sensitive request on it, milliseconds of delay.
const TIGHT_COST_MS: f64 = 20.0;

/// The prefill booked for one prompt.
#[derive(Debug, Clone)]
pub(crate) struct PrefillBooking {
    /// Indices of the booked engines in the timetable.
    pub(crate) engines: Vec<usize>,
    /// Time until all booked engines can start on the prompt, milliseconds.
    pub(crate) start_ms: f64,
    /// Time until the rate limits of all booked engines permit the request, milliseconds.
    permit_ms: f64,
    /// Time until the first token of the prompt's answer, milliseconds.
    pub(crate) first_ms: f64,
    /// Cost of the booking: the time to the first token plus the delay of later prompts, milliseconds.
    pub(crate) cost_ms: f64,
}

impl PrefillBooking {
    /// Whether the request can be sent to the booked engines now.
    pub(crate) fn starts_now(&self) -> bool {
        self.start_ms <= MAX_STACKED_MS && self.has_permit()
    }

    /// Whether the rate limits of all booked engines permit the request now.
    pub(crate) fn has_permit(&self) -> bool {
        self.permit_ms <= 0.0
    }
}

/// An engine considered for one part of a prompt.
struct PartCandidate {
    /// Index of the engine in the timetable.
    index: usize,
    /// Worth that the engine's other requests lose by the pause that the part causes.
    pause_loss: f64,
    /// Time until the engine has finished its earlier prefill and its rate limit permits the request, milliseconds.
    start_ms: f64,
    /// Time until the engine completes the part of the prompt, milliseconds.
    first_ms: f64,
    /// Cost of using the engine for the part, milliseconds of delay.
    cost_ms: f64,
}

/// Snapshots of the engines with the bookings made on them.
#[derive(Clone)]
pub(crate) struct PrefillTimetable<'a> {
    shape: &'a route_table::EngineShape,
    views: Vec<engine_view::EngineView<'a>>,
    /// Number of prompts that wait for engine time.
    waiting: usize,
    /// Engine time that earns as much as one short request, milliseconds.
    ms_per_worth: f64,
}

impl<'a> PrefillTimetable<'a> {
    /// Creates a timetable without bookings for `waiting` prompts.
    pub(crate) fn new(
        shape: &'a route_table::EngineShape,
        views: Vec<engine_view::EngineView<'a>>,
        waiting: usize,
        ms_per_worth: f64,
    ) -> Self {
        Self { shape, views, waiting, ms_per_worth }
    }

    /// The cheapest prefill of a prompt, after all earlier bookings, by which other requests lose a worth of at most
    /// `max_loss`; `None` if there is none.
    pub(crate) fn cheapest(
        &self,
        request: &engine_place::PlacementRequest,
        max_loss: f64,
    ) -> Option<PrefillBooking> {
        let usable = engine_view::usable(&self.views, request);
        let most = usable.len().min(engine_place::MAX_HELPERS + 1);
        let whole = pass_model::prefill_ms(self.shape, request.prompt);
        PART_COUNTS
            .iter()
            .filter(|parts| **parts <= most)
            .filter(|parts| **parts == 1 || whole / **parts as f64 >= MIN_PART_MS)
            .filter_map(|parts| self.split_into(&usable, whole / *parts as f64, *parts, max_loss))
            .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
    }

    /// Whether the engines that one prompt may use could together hold the prompt and its answer.
    pub(crate) fn can_hold(&self, request: &engine_place::PlacementRequest) -> bool {
        let engines =
            engine_view::usable(&self.views, request).len().min(engine_place::MAX_HELPERS + 1);
        let others = engines.saturating_sub(1) as f64 * MAX_HELD_FRACTION;
        (request.prompt + request.output) as f64
            <= self.capacity() * (SINGLE_HOST_FRACTION + others)
    }

    /// Tokens of one engine's memory that the planner assigns.
    fn capacity(&self) -> f64 {
        self.shape.memory.0 as f64 * place_table::MEMORY_FRACTION
    }

    /// The cheapest prefill in `parts` parts of `part` milliseconds each.
    fn split_into(
        &self,
        usable: &[usize],
        part: f64,
        parts: usize,
        max_loss: f64,
    ) -> Option<PrefillBooking> {
        let mut candidates: Vec<_> = usable
            .iter()
            .filter(|index| part <= SHORT_PART_MS || self.views[**index].prefilling == 0)
            // An unlimited loss serves resumed requests, which may use any engine, and estimates.
            .filter(|index| {
                part <= MAX_KEPT_PART_MS || !self.views[**index].kept || max_loss.is_infinite()
            })
            .filter(|index| self.views[**index].permit.wait_ms.is_finite())
            .map(|index| self.part_candidate(*index, part))
            .filter(|candidate| candidate.pause_loss <= max_loss)
            .collect();
        if candidates.len() < parts {
            return None;
        }
        candidates.sort_by(|left, right| {
            let rank = || self.views[left.index].rank.cmp(&self.views[right.index].rank);
            left.cost_ms.total_cmp(&right.cost_ms).then_with(rank)
        });
        candidates.truncate(parts);
        let pause_loss: f64 = candidates.iter().map(|candidate| candidate.pause_loss).sum();
        if pause_loss > max_loss {
            return None;
        }
        let start_ms = candidates.iter().map(|candidate| candidate.start_ms).fold(0.0, f64::max);
        let permit_ms = candidates
            .iter()
            .map(|candidate| self.views[candidate.index].permit.wait_ms)
            .fold(0.0, f64::max);
        let first_ms = candidates
            .iter()
            .map(|candidate| {
                candidate.first_ms.max(start_ms + self.views[candidate.index].pass_ms(part))
            })
            .fold(0.0, f64::max);
        let overhead_ms: f64 = candidates
            .iter()
            .map(|candidate| first_ms - candidate.start_ms - part + PART_COST_MS)
            .sum();
        let waiting_per_engine = (1 + self.waiting) as f64 / self.views.len() as f64;
        let cost_ms =
            first_ms + (overhead_ms + pause_loss * self.ms_per_worth) * waiting_per_engine;
        let engines = candidates.iter().map(|candidate| candidate.index).collect();
        Some(PrefillBooking { engines, start_ms, permit_ms, first_ms, cost_ms })
    }

    /// Start, completion and cost of a part of `part` milliseconds on an engine.
    fn part_candidate(&self, index: usize, part: f64) -> PartCandidate {
        let view = &self.views[index];
        let pass_ms = view.pass_ms(part);
        let pause_loss = view.pause_loss(part);
        let start_ms = (view.prefill_left_ms * view.pace).max(view.permit.wait_ms);
        let first_ms = view.first_ms(part).max(start_ms + pass_ms);
        let steps = if view.answering > 0 { view.steps_ms * view.pace } else { 0.0 };
        let delay_ms = start_ms.max(view.wait_ms * view.pace) + steps;
        let cost_ms = delay_ms
            + view.latency_sensitive() as f64 * TIGHT_COST_MS
            + pause_loss * self.ms_per_worth;
        PartCandidate { index, pause_loss, start_ms, first_ms, cost_ms }
    }

    /// Records a booking: later bookings on the same engines start after it.
    pub(crate) fn book(&mut self, booking: &PrefillBooking) {
        for index in &booking.engines {
            let view = &mut self.views[*index];
            let until = booking.first_ms / view.pace;
            view.wait_ms = until;
            view.pending_ms = 0.0;
            view.prefill_left_ms = until;
            view.permit.wait_ms += view.permit.interval_ms;
        }
    }

    /// Builds the grant for a booking that starts now; `None` if no engine has the capacity to answer.
    pub(crate) fn grant(
        &mut self,
        job: &waiting_job::WaitingJob,
        booking: &PrefillBooking,
        waited_ms: f64,
        forced: bool,
    ) -> Option<engine_place::PlaceGrant> {
        let request = &job.request;
        let capacity = self.capacity() as u64;
        let alone =
            (request.prompt + request.output) as f64 <= capacity as f64 * SINGLE_HOST_FRACTION;
        let index = self.pick_host(request, booking, alone, forced)?;
        let held = if alone { Vec::new() } else { self.hold(request, index, booking, capacity)? };
        let reserved: u64 = held.iter().map(|part| part.tokens).sum();
        let host = &mut self.views[index];
        host.answering += 1;
        host.free =
            host.free.saturating_sub((request.prompt + request.output).saturating_sub(reserved));
        let engine = host.name.clone();
        let others = booking.engines.iter().filter(|other| **other != index);
        Some(engine_place::PlaceGrant {
            job: request.job,
            engine,
            helpers: others.map(|other| self.views[*other].name.clone()).collect(),
            held,
            first_token_ms: booking.first_ms as u32,
            waited_ms: waited_ms as u32,
        })
    }

    /// Picks the engine that answers, among those that prefill the prompt.
    fn pick_host(
        &self,
        request: &engine_place::PlacementRequest,
        booking: &PrefillBooking,
        alone: bool,
        forced: bool,
    ) -> Option<usize> {
        let need = request.prompt + request.output;
        // Answers of long prompts are decoded together, so that fewer engines interrupt their prefill for decode
        // steps.
        let cost = |index: usize| {
            let view = &self.views[index];
            let fresh = if view.answering == 0 { FRESH_HOST_COST } else { 0.0 };
            view.latency_sensitive() as f64 + fresh + view.prefill_left_ms / PENDING_MS_PER_REQUEST
        };
        let engines = || booking.engines.iter().copied();
        let free = engines()
            .filter(|index| self.views[*index].answering < self.shape.slots)
            .filter(|index| !alone || self.views[*index].free >= need)
            .min_by(|left, right| cost(*left).total_cmp(&cost(*right)));
        // With `forced`, a request that finds no engine with a free slot and enough memory goes into the queue of the
        // booked engine with the fewest answers.
        let queued = || engines().min_by_key(|index| self.views[*index].answering);
        free.or_else(|| if forced && alone { queued() } else { None })
    }

    /// Plans reservations on other engines for the tokens that do not fit on the answering one; `None` if the free
    /// memory does not suffice.
    fn hold(
        &self,
        request: &engine_place::PlacementRequest,
        host: usize,
        booking: &PrefillBooking,
        capacity: u64,
    ) -> Option<Vec<engine_place::HeldPart>> {
        let own = self.views[host].free.min((capacity as f64 * SINGLE_HOST_FRACTION) as u64);
        let mut left = (request.prompt + request.output).saturating_sub(own);
        let others = booking.engines.iter().filter(|index| **index != host);
        let mut others: Vec<_> = others.map(|index| &self.views[*index]).collect();
        others.sort_by_key(|view| std::cmp::Reverse(view.free));
        let mut held = Vec::new();
        for view in others {
            if left == 0 {
                break;
            }
            let tokens =
                left.min((view.free as f64 * MAX_HELD_FRACTION) as u64).max(MIN_HELD_TOKENS);
            if view.free < tokens {
                continue;
            }
            held.push(engine_place::HeldPart { engine: view.name.clone(), tokens });
            left = left.saturating_sub(tokens);
        }
        (left == 0).then_some(held)
    }
}
