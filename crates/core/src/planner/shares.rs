//! Hooks of the planner for shares of customers: refuses short requests of customers above their share while slots are
//! scarce, and marks their long prompts while prefill time is scarce.
//!
//! Slots and prefill time are divided separately, because a planner fills them by separate decisions.

use std::{collections, time};

use crate::{
    engine_place, ids, pass_model,
    planner::{
        self,
        customer_shares::{self, arrival_count, customer_demand, rejected_callers, water_level},
        engine_view, place_table, share_summary, waiting_job,
    },
    request_origin, route_table, sharing, units,
};

/// Added to the use of customers above their share, so that it differs from that of the others.
const MIN_OVER_SHARE: f64 = 1e-6;
/// Longest time to the first token on an engine that is used instead of a rejection, as a multiple of the goal: with a
/// later one, short requests are refused as long as most slots are in use.
const MAX_FIRST_GOALS: f64 = 2.0;
/// Time after placements were adopted for which demands are not compared with the capacity: adopted placements never show
/// a demand above it.
const LEARNING_TIME: time::Duration = time::Duration::from_secs(1);
/// Time without scarcity after which capacity no longer counts as being divided.
const DIVISION_TIME: time::Duration = time::Duration::from_secs(1);

/// A customer's use of a pool and its claim to it.
struct CustomerLoad {
    customer: ids::CustomerId,
    claim: water_level::ShareClaim,
    /// Use as the limiter measures it, in engines.
    usage: f64,
    /// Engine time that is likely to be requested next, in engines.
    expected: f64,
}

/// Relation of the demands for slots to the capacity.
struct DemandContention {
    /// Level at which the demands fill the capacity; infinite if it covers all of them.
    level: water_level::WaterLevel,
    /// Sum of the demands, relative to the capacity.
    overload: f64,
}

impl DemandContention {
    /// Whether a customer would get less than its share if requests were served in the order of their arrival, where each
    /// customer gets the same part of its demand. Between customers of equal demand, nobody has to be limited.
    fn is_disadvantaged(
        &self,
        demand: &customer_demand::CustomerDemand,
        now: units::MonoTime,
        work_ms: f64,
    ) -> bool {
        let share = self.level.share(demand.weight);
        demand.most_engines(now, work_ms) < share * self.overload.max(1.0)
    }
}

/// Period in which slots are divided among customers.
#[derive(Debug, Clone, Copy)]
struct DivisionPeriod {
    /// When a customer was first limited to its share.
    since: units::MonoTime,
    /// When a customer was last limited to its share.
    last: units::MonoTime,
    /// The level as of `last`.
    level: water_level::WaterLevel,
}

/// Shares of the customers of one planner.
#[derive(Debug)]
pub(crate) struct CustomerShares {
    limiter: Box<dyn customer_shares::ShareLimiter>,
    demands: customer_demand::DemandTable,
    division: Option<DivisionPeriod>,
    rejected: rejected_callers::RejectedCallers,
    /// When placements of another planner were last adopted.
    adopted: Option<units::MonoTime>,
    /// The request that arrived last, if it is the retry of a rejected one.
    retry: Option<engine_place::JobId>,
}

impl CustomerShares {
    /// Creates the shares if the settings ask for them.
    pub(crate) fn new(choice: sharing::CustomerSharing) -> Option<Self> {
        let limiter = customer_shares::limiter(choice)?;
        Some(Self {
            limiter,
            demands: customer_demand::DemandTable::default(),
            division: None,
            rejected: rejected_callers::RejectedCallers::default(),
            adopted: None,
            retry: None,
        })
    }

    /// Records the demand of a request that has just arrived.
    pub(crate) fn note_request(
        &mut self,
        now: units::MonoTime,
        shape: &route_table::EngineShape,
        request: &engine_place::PlacementRequest,
    ) {
        let Some(origin) = &request.origin else {
            return;
        };
        // Members recognize a retry only if its caller states less time than the route allows.
        let is_repeated = self.rejected.recognize(now, origin.identity) || !request.refusable;
        if request.tight && is_repeated && !request.resumed {
            // With retries counted, a flood would seem to last until the last of its callers has returned.
            self.demands.note_retry(now, origin);
            self.retry = Some(request.job);
        } else {
            self.demands.note_request(now, pool(request), origin, work_ms(shape, request));
        }
    }

    /// Records that a request got a place.
    pub(crate) fn note_grant(
        &mut self,
        now: units::MonoTime,
        shape: &route_table::EngineShape,
        request: &engine_place::PlacementRequest,
    ) {
        if let Some(origin) = &request.origin {
            let work_ms = work_ms(shape, request);
            self.limiter.note_grant(now, pool(request), &origin.customer, work_ms);
        }
    }

    /// Derives demand from placements of another planner that `table` does not know yet.
    pub(crate) fn take_over(
        &mut self,
        now: units::MonoTime,
        table: &place_table::PlaceTable,
        leases: &[engine_place::PlaceLease],
    ) {
        let is_new = |lease: &&engine_place::PlaceLease| table.answer(lease.request.job).is_none();
        let shorts = leases.iter().filter(is_new).filter(|lease| lease.request.tight);
        let age = time::Duration::from_secs_f64(table.answer_ms() / 1_000.0);
        for lease in shorts {
            self.adopted = Some(now);
            if let Some(origin) = &lease.request.origin {
                let work_ms = work_ms(&table.shape, &lease.request);
                self.demands.note_taken_over(now, origin, work_ms, age);
            }
        }
    }

    /// The period in which capacity is being divided; `None` if it covers all demands.
    fn division(&self, now: units::MonoTime) -> Option<DivisionPeriod> {
        self.division.filter(|division| now.since(division.last) <= DIVISION_TIME)
    }

    /// Returns the retry delay in milliseconds for a short request that is to be refused: fewer places are free than the
    /// customers within their share need, and its customer is not one of them.
    ///
    /// While capacity is being divided, adds to `views` what other planners probably have on the engines. Instead of
    /// refusing a request, removes from `views` all engines but those that nobody's places are kept on, if there are any
    /// with a slot for it.
    pub(crate) fn refuse_short(
        &mut self,
        now: units::MonoTime,
        table: &place_table::PlaceTable,
        views: &mut Vec<engine_view::EngineView<'_>>,
        job: &waiting_job::WaitingJob,
    ) -> Option<f64> {
        if self.division(now).is_some() {
            // Two planners that each fill the slots which they believe to be free would overfill the engines.
            views.iter_mut().for_each(engine_view::EngineView::count_hidden);
        }
        let request = &job.request;
        // A request that already waits stays queued.
        let is_refusable = !request.resumed && job.since == now;
        let origin = request.origin.as_ref().filter(|_| is_refusable)?;
        let places = free_places(&table.shape, views, request) as f64;
        // A retry is late already. It leaves places to the first attempts of its own customer, too.
        let is_retry = self.retry == Some(request.job);
        let own = self.demands.get(&origin.customer).filter(|_| is_retry);
        let first_attempts = own.map_or(0.0, |own| {
            arrivals(
                &table.shape,
                views,
                request,
                own.engines(now, customer_shares::CapacityPool::Slots),
            )
        });
        let others =
            self.demands.present(now).filter(|(customer, _)| **customer != origin.customer);
        let expected: f64 = others.map(|(_, demand)| demand.expected_engines(now)).sum();
        // Customers that send only long prompts need no slots.
        let reserved = headroom(&table.shape, views, request, expected) + first_attempts;
        if expected <= 0.0 || places >= reserved {
            return None;
        }
        let pool = customer_shares::CapacityPool::Slots;
        let held = table.held_slots();
        let used = table.origin_slots() as f64;
        let loads = self.loads(now, pool, held);
        let work_ms = work_ms(&table.shape, request);
        let own = self.demands.get(&origin.customer)?;
        // With a flood at 1.5 times the capacity of a few engines, it takes 3 s until the flood is certain. A customer that
        // demands more than all others together is limited before.
        let is_dominant = own.expected_engines(now) > expected;
        let least = own.least_engines(now, work_ms);
        let demand = if is_dominant { own.expected_engines(now) } else { least };
        let steady = |load: &CustomerLoad| {
            let demand = self.demands.get(&load.customer);
            demand.map_or(0.0, |demand| demand.steady_engines(now, work_ms))
        };
        let claim = |load: &CustomerLoad| water_level::ShareClaim {
            weight: load.claim.weight,
            demand: if is_dominant { load.expected } else { steady(load) },
        };
        let claims = loads.iter().map(claim).collect();
        let contention = self.contention(now, claims, table, views);
        let is_known = self.adopted.is_none_or(|adopted| now.since(adopted) > LEARNING_TIME);
        if is_known && !contention.level.is_reached(own.weight, demand) {
            // The capacity covers the demand of this customer, or those of all. Fewer free places are then due to chance.
            return None;
        }
        let total: f64 = loads.iter().map(|load| load.usage).sum();
        // Places and use are in different units: a slot of a slow engine provides less engine time.
        let level = |headroom: f64| {
            let claims = loads.iter().map(|load| load.claim).collect();
            let capacity = total * (used + places - headroom) / used.max(1.0);
            water_level::WaterLevel::of(claims, capacity)
        };
        let before = level(0.0);
        let within = loads.iter().filter(|load| load.customer != origin.customer);
        let within = within.filter(|load| load.expected > 0.0);
        let is_disadvantaged = |load: &&CustomerLoad| {
            let demand = self.demands.get(&load.customer);
            demand.is_none_or(|demand| contention.is_disadvantaged(demand, now, work_ms))
        };
        let within = within.filter(is_disadvantaged);
        let (count, expected, left) =
            within.fold((0, 0.0, 0.0), |(count, expected, left), load| {
                let own = before.share(load.claim.weight) - load.usage;
                (count + 1, expected + load.expected, left + own)
            });
        // Customers need no more places than they may take until they reach their shares.
        let left = (left * used / total).ceil();
        let headroom = headroom(&table.shape, views, request, expected).min(left) + first_attempts;
        if count == 0 || places >= headroom {
            return None;
        }
        let level = level(headroom);
        let own = loads.iter().find(|load| load.customer == origin.customer)?;
        if !level.is_reached(own.claim.weight, own.usage) {
            return None;
        }
        let since = self.division(now).map_or(now, |division| division.since);
        self.division = Some(DivisionPeriod { since, last: now, level });
        let spare = spare_engines(&table.shape, views, request);
        if !spare.is_empty() {
            views.retain(|view| spare.contains(view.name));
            return None;
        }
        let rate = level.share(own.claim.weight) * 1_000.0 / work_ms;
        Some(self.retry_ms(now, origin, rate, is_retry))
    }

    /// Relation of the demands for slots to the engine time that is left to short requests.
    fn contention(
        &self,
        now: units::MonoTime,
        claims: Vec<water_level::ShareClaim>,
        table: &place_table::PlaceTable,
        views: &[engine_view::EngineView<'_>],
    ) -> DemandContention {
        let slots = table.shape.slots.max(1) as f64;
        let own_part = |view: &engine_view::EngineView<'_>| {
            (1.0 - view.foreign as f64 / slots).max(0.0) / view.pace
        };
        let engines: f64 = views.iter().filter(|view| !view.ejected).map(own_part).sum();
        // Engines that prefill long prompts now are soon free again, so their number at one time says little.
        let pool = customer_shares::CapacityPool::Prefill;
        let present = self.demands.present(now);
        let prefill: f64 = present.map(|(_, demand)| demand.engines(now, pool)).sum();
        let demand: f64 = claims.iter().map(|claim| claim.demand).sum();
        let capacity = (engines - prefill).max(0.0);
        let level = water_level::WaterLevel::of(claims, capacity);
        DemandContention { level, overload: demand / capacity.max(f64::MIN_POSITIVE) }
    }

    fn retry_ms(
        &mut self,
        now: units::MonoTime,
        origin: &request_origin::RequestOrigin,
        rate: f64,
        is_retry: bool,
    ) -> f64 {
        let Some(demand) = self.demands.get_mut(&origin.customer) else {
            return planner::MIN_RETRY_AFTER_MS;
        };
        demand.refused += 1;
        demand.last_refused = Some(now);
        if is_retry {
            // Its caller is not expected again, so it takes no time that another one could use.
            return planner::MAX_RETRY_AFTER_MS;
        }
        let min_delay = time::Duration::from_secs_f64(planner::MIN_RETRY_AFTER_MS / 1_000.0);
        let delay = demand.retries.next(now, rate).max(min_delay);
        self.rejected.note(now, origin.identity, delay);
        delay.as_secs_f64() * 1_000.0
    }

    /// Since when slots are divided among customers; `None` if they cover all demands.
    pub(crate) fn divided_since(&self, now: units::MonoTime) -> Option<units::MonoTime> {
        self.division(now).map(|division| division.since)
    }

    /// State of the shares for operators. `waiting` are the requests without a placement.
    pub(crate) fn summary(
        &self,
        now: units::MonoTime,
        table: &place_table::PlaceTable,
        waiting: &[waiting_job::WaitingJob],
    ) -> share_summary::ShareSummary {
        let division = self.division(now);
        let (slots, prefill) = (table.held_slots(), table.held_prefill());
        let held = |customer: &ids::CustomerId| {
            slots.get(customer).unwrap_or(&0.0) + prefill.get(customer).unwrap_or(&0.0)
        };
        let row = |(customer, demand): (&ids::CustomerId, &customer_demand::CustomerDemand)| {
            let engines = |pool| demand.engines(now, pool);
            let is_recent = |last: units::MonoTime| now.since(last) <= DIVISION_TIME;
            share_summary::ShareRow {
                customer: customer.clone(),
                weight: demand.weight,
                demand: engines(customer_shares::CapacityPool::Slots)
                    + engines(customer_shares::CapacityPool::Prefill),
                in_progress: held(customer),
                share: division.map(|division| division.level.share(demand.weight)),
                is_limited: demand.last_refused.is_some_and(is_recent),
                refused: demand.refused,
                waiting: share_summary::waiting_by_class(customer, waiting),
            }
        };
        share_summary::ShareSummary {
            divided_since: division.map(|division| division.since),
            rows: self.demands.present_or_refused(now).map(row).collect(),
        }
    }

    /// Sets for each of the waiting long prompts how far its customer is above its share of the prefill time. `engines` is
    /// the number of engines left to long prompts.
    pub(crate) fn mark_longs(
        &self,
        now: units::MonoTime,
        table: &place_table::PlaceTable,
        engines: usize,
        jobs: &mut [&mut waiting_job::WaitingJob],
    ) {
        let pool = customer_shares::CapacityPool::Prefill;
        let loads = self.loads(now, pool, table.held_prefill());
        let claims = loads.iter().map(|load| load.claim).collect();
        let level = water_level::WaterLevel::of(claims, engines as f64);
        let is_divided = loads.iter().filter(|load| load.claim.demand > 0.0).count() > 1;
        for job in jobs {
            let customer = job.request.origin.as_ref().map(|origin| &origin.customer);
            let load = loads.iter().find(|load| Some(&load.customer) == customer);
            let over = load.filter(|load| level.is_reached(load.claim.weight, load.claim.demand));
            let over = over.filter(|_| is_divided && !job.request.resumed);
            job.over_share =
                over.map_or(0.0, |load| load.usage / load.claim.weight + MIN_OVER_SHARE);
        }
    }

    fn loads(
        &self,
        now: units::MonoTime,
        pool: customer_shares::CapacityPool,
        held: customer_shares::EnginesByCustomer,
    ) -> Vec<CustomerLoad> {
        let mut usage = self.limiter.usage(now, pool, held);
        let present = self.demands.present(now).map(|(customer, _)| customer);
        let customers: collections::BTreeSet<_> = usage.keys().chain(present).cloned().collect();
        let load = |customer: ids::CustomerId| {
            let usage = usage.remove(&customer).unwrap_or(0.0);
            let demand = self.demands.get(&customer);
            let requested = demand.map_or(0.0, |demand| demand.engines(now, pool));
            let weight = demand.map_or(1.0, |demand| demand.weight);
            let expected = demand.map_or(0.0, |demand| demand.expected_engines(now));
            let claim = water_level::ShareClaim { weight, demand: requested.max(usage) };
            CustomerLoad { customer, claim, usage, expected }
        };
        customers.into_iter().map(load).collect()
    }
}

fn pool(request: &engine_place::PlacementRequest) -> customer_shares::CapacityPool {
    match request.tight {
        true => customer_shares::CapacityPool::Slots,
        false => customer_shares::CapacityPool::Prefill,
    }
}

/// Engine time of a request, milliseconds: the prefill of its prompt and its part of the decode steps at full slots.
fn work_ms(shape: &route_table::EngineShape, request: &engine_place::PlacementRequest) -> f64 {
    let (slots, prompt) = (shape.slots.max(1), request.prompt);
    let context = match request.tight {
        true => prompt * slots as u64,
        false => prompt,
    };
    let decode_ms = pass_model::decode_ms(shape, slots, context, request.output);
    pass_model::prefill_ms(shape, prompt) + decode_ms / slots as f64
}

/// Number of requests like this one that the engines could start now without missing a goal.
fn free_places(
    shape: &route_table::EngineShape,
    views: &[engine_view::EngineView<'_>],
    request: &engine_place::PlacementRequest,
) -> usize {
    let part = pass_model::prefill_ms(shape, request.prompt);
    let usable = engine_view::usable(views, request).into_iter().map(|at| &views[at]);
    let permitted = usable.filter(|view| view.has_permit());
    permitted.map(|view| view.free_places(shape.slots, request, part)).sum()
}

/// Engines that are too slow to have free places while they run any request, but have a slot in which `request` breaks no
/// pause goal. Customers within their shares lose nothing if another customer uses them.
fn spare_engines(
    shape: &route_table::EngineShape,
    views: &[engine_view::EngineView<'_>],
    request: &engine_place::PlacementRequest,
) -> collections::BTreeSet<ids::UpstreamId> {
    let part = pass_model::prefill_ms(shape, request.prompt);
    let steps_ms = pass_model::steps_ms(shape, 1, request.prompt);
    let is_spare = |view: &&engine_view::EngineView<'_>| {
        let pass_ms = (steps_ms + part) * view.pace;
        view.has_permit()
            && (1..shape.slots).contains(&view.answering)
            && pass_ms > view.free_place_pass_ms(request)
            && view.pause_loss(part) <= 0.0
            && view.first_ms(part) <= f64::from(request.goal_ms) * MAX_FIRST_GOALS
    };
    let usable = engine_view::usable(views, request).into_iter().map(|at| &views[at]);
    usable.filter(is_spare).map(|view| view.name.clone()).collect()
}

/// Number of free places with which requests of `expected` engines find a place: one more than arrive during a pass.
fn headroom(
    shape: &route_table::EngineShape,
    views: &[engine_view::EngineView<'_>],
    request: &engine_place::PlacementRequest,
    expected: f64,
) -> f64 {
    arrivals(shape, views, request, expected) + 1.0
}

/// Upper bound of the requests of `expected` engines that arrive during a pass at full slots, at whose end places are
/// released.
fn arrivals(
    shape: &route_table::EngineShape,
    views: &[engine_view::EngineView<'_>],
    request: &engine_place::PlacementRequest,
    expected: f64,
) -> f64 {
    let pace = views.iter().map(|view| view.pace).sum::<f64>() / views.len().max(1) as f64;
    let steps = pass_model::steps_ms(shape, shape.slots, request.prompt * shape.slots as u64);
    let pass_ms = (steps + pass_model::prefill_ms(shape, request.prompt)) * pace;
    let arrivals = expected * pass_ms / work_ms(shape, request);
    arrival_count::upper_bound(arrivals)
}
