//! Baseline routing policies for comparison: each picks one engine at once, without helpers.

use crate::{
    engine_place, pass_model,
    planner::{engine_view, waiting_job},
    route_table, settings, units,
};

/// Grants the engine that a baseline policy picks; `None` if no engine may be used now.
pub(crate) fn choose(
    shape: &route_table::EngineShape,
    routing: settings::RoutingKind,
    now: units::MonoTime,
    job: &waiting_job::WaitingJob,
    views: &[engine_view::EngineView<'_>],
) -> Option<engine_place::PlaceGrant> {
    let load = |view: &&engine_view::EngineView<'_>| match routing {
        settings::RoutingKind::LeastRequests => view.answering as u64,
        settings::RoutingKind::LeastTokens => u64::MAX - view.free,
        _ => 0,
    };
    let usable = engine_view::usable(views, &job.request);
    let usable = usable.into_iter().map(|at| &views[at]);
    let usable: Vec<_> = usable.filter(|view| view.has_permit()).collect();
    let start = job.request.job.sequence as usize % usable.len().max(1);
    let (before, after) = usable.split_at(start);
    let engine = after.iter().chain(before).copied().min_by_key(load)?;
    let part = pass_model::prefill_ms(shape, job.request.prompt);
    Some(engine_place::PlaceGrant {
        job: job.request.job,
        engine: engine.name.clone(),
        helpers: Vec::new(),
        held: Vec::new(),
        first_token_ms: (engine.wait_ms + engine.pending_ms + part + engine.steps_ms) as u32,
        waited_ms: job.waited_ms(now) as u32,
    })
}
