//! Forecast of the short requests that are about to arrive, and the engines that are kept free of long prompts for them.

use std::{cmp, time};

use crate::{
    engine_place,
    planner::{engine_view, place_table, timetable},
    sharing, units,
};

/// Time constant of the average arrival rate. It follows a burst within the duration of an answer; between 0.4 and 2 s the
/// figures of `tests/load_forecast.rs` hardly differ.
const RATE_TIME: time::Duration = time::Duration::from_secs(1);

/// Expected arrivals of short requests.
#[derive(Debug, Default)]
pub(crate) struct LoadForecast {
    /// Short requests per second, averaged over [`RATE_TIME`]; as of `updated`.
    rate: f64,
    updated: units::MonoTime,
}

impl LoadForecast {
    /// Creates a forecast without observations; `None` if the settings need none.
    pub(crate) fn new(policy: sharing::LoadForecasting) -> Option<Self> {
        (policy == sharing::LoadForecasting::ReserveSlots).then(Self::default)
    }

    /// Records the arrival of a request. Only first attempts of short requests count.
    pub(crate) fn note_request(
        &mut self,
        now: units::MonoTime,
        request: &engine_place::PlacementRequest,
    ) {
        if !request.tight || !request.refusable || request.resumed {
            return;
        }
        self.rate = self.rate(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.updated = now;
    }

    /// Derives the rate from placements that another planner granted: as many short requests as run arrive within the
    /// duration of an answer.
    pub(crate) fn take_over(
        &mut self,
        now: units::MonoTime,
        table: &place_table::PlaceTable,
        leases: &[engine_place::PlaceLease],
    ) {
        let shorts = leases.iter().filter(|lease| lease.request.tight).count();
        self.rate = self.rate(now).max(shorts as f64 * 1_000.0 / table.answer_ms());
        self.updated = now;
    }

    /// Short requests expected per second.
    fn rate(&self, now: units::MonoTime) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.rate * (-elapsed / RATE_TIME.as_secs_f64()).exp()
    }

    /// Number of engines, of `usable` ones with `slots` each, that are kept free of long prompts. One prompt can still
    /// use as many engines as it may have, or half of them all.
    pub(crate) fn kept_engines(
        &self,
        now: units::MonoTime,
        table: &place_table::PlaceTable,
        usable: usize,
        slots: usize,
    ) -> usize {
        let running = self.rate(now) * table.answer_ms() / 1_000.0;
        // Below one request, the decaying remainder of an earlier load would keep an engine for minutes.
        let wanted = (running.floor() / slots.max(1) as f64).ceil() as usize;
        let for_longs = usable.div_ceil(2).min(engine_place::MAX_HELPERS + 1);
        wanted.min(usable - for_longs)
    }
}

/// Marks the `count` engines that short requests will use next: those that already have some, then those that prefill no
/// long prompt.
pub(crate) fn mark_kept(views: &mut [engine_view::EngineView<'_>], count: usize) {
    let mut order: Vec<_> = views.iter_mut().filter(|view| !view.ejected).collect();
    order.sort_by_key(|view| {
        let prefills = view.prefill_left_ms > timetable::MAX_KEPT_PART_MS;
        (cmp::Reverse(view.latency_sensitive()), prefills, view.rank)
    });
    order.into_iter().take(count).for_each(|view| view.kept = true);
}
