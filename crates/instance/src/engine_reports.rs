//! Polls the reports of engines: their pace and load, and whether they answer at all.

use std::{rc, time};

use slipturn_core::{planner_key, upstream_list};
use slipturn_net::process;

use crate::{context, engine_call, peers, upstream_starts};

/// Interval between two reports requested from one engine.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(2_000);
/// Interval at which the poller checks for engines while there are none to poll.
const IDLE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Timeout of a request for a report, which takes a few milliseconds within a region.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Engines with a limit are polled only if their limit was last read at least this long ago: they
/// are overloaded, and their answers carry enough information.
const LIMITED_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Pace (slowdown relative to the configured speed) above which an engine is logged as slow.
const SLOW_PACE: f64 = 1.5;

/// Polls the engines that this process plans for, spread evenly over `REPORT_INTERVAL`.
pub async fn poll(context: rc::Rc<context::InstanceContext>) {
    loop {
        let engines = planned_engines(&context);
        if engines.is_empty() {
            monoio::time::sleep(IDLE_POLL_INTERVAL).await;
            continue;
        }
        let pause = REPORT_INTERVAL / u32::try_from(engines.len()).unwrap_or(u32::MAX);
        for engine in engines {
            let now = context.now();
            if context.planners.borrow_mut().take_report_due(now, &engine.name) {
                process::spawn_isolated(report(rc::Rc::clone(&context), engine));
            }
            poll_suspects(&context);
            monoio::time::sleep(pause).await;
        }
    }
}

/// Returns the engines of this process's active planners, except those whose limit was read
/// within [`LIMITED_INTERVAL`].
fn planned_engines(context: &context::InstanceContext) -> Vec<upstream_list::UpstreamEntry> {
    let keys = context.planners.borrow().active(context.now());
    let own = keys.into_iter().filter(|key| peers::planner_of(context, key).is_none());
    let now = context.now();
    let mut engines = Vec::new();
    for key in own {
        let fleet = context.fleet.borrow();
        let usable = fleet.list.usable(&key.service);
        let cells = planner_key::cell_count(fleet.list.listed_count(&key.service));
        let in_cell = usable
            .into_iter()
            .filter(|entry| planner_key::cell_of(&key.service, &entry.name, cells) == key.cell)
            .filter(|entry| {
                let limit = fleet.list.notices().limit(&entry.name);
                limit.is_none_or(|limit| now.since(limit.reading.received) >= LIMITED_INTERVAL)
            });
        engines.extend(in_cell.cloned());
    }
    engines
}

/// Immediately polls engines that were silent during a request.
fn poll_suspects(context: &rc::Rc<context::InstanceContext>) {
    let suspects = context.planners.borrow_mut().take_suspects();
    let fleet = context.fleet.borrow();
    for engine in suspects.iter().filter_map(|name| fleet.list.entry(name)) {
        process::spawn_isolated(report(rc::Rc::clone(context), engine.clone()));
    }
}

/// Requests a report through a member, as only the links of this process may have failed: an ejection affects the requests
/// of all members.
async fn confirm(
    context: &context::InstanceContext,
    engine: &upstream_list::UpstreamEntry,
    to: &engine_call::EngineAddress,
) -> Result<bytes::Bytes, engine_call::RelayedReportError> {
    engine_call::relayed_report(context, to, &engine.service, REPORT_TIMEOUT).await
}

async fn report(context: rc::Rc<context::InstanceContext>, engine: upstream_list::UpstreamEntry) {
    let requested_at = context.now();
    let to = engine_call::EngineAddress { engine: engine.name.clone(), address: engine.address };
    let body = match engine_call::report(&context, &to, REPORT_TIMEOUT).await {
        Ok(body) => body,
        // Nothing was sent, as `upstream_gate` denied the poll, so it is unknown whether the engine answers.
        Err(engine_call::EngineCallError::Denied { .. }) => return,
        Err(error) => match confirm(&context, &engine, &to).await {
            Ok(body) => body,
            Err(relay_error) => {
                log::info!(engine:% = engine.name, error:%, relay_error:%; "engine.silent");
                let is_lost = context.reach.borrow().lost_since(&engine.service).is_some();
                if relay_error.speaks_against_engine() && !is_lost {
                    context.planners.borrow_mut().eject(context.now(), &engine.name);
                }
                return;
            }
        },
    };
    match context.adapter.parse_report(&body) {
        Ok(report) => {
            if report.pace > SLOW_PACE {
                log::info!(engine:% = engine.name, pace = report.pace; "engine.slow");
            }
            upstream_starts::receive(&context, engine.address, report.start, requested_at);
            let fleet = context.fleet.borrow();
            let Some(entry) = fleet.list.entry(&engine.name) else {
                return;
            };
            let requests = report.running.saturating_add(report.waiting) as usize;
            let mut planners = context.planners.borrow_mut();
            planners.sync(context.now(), &fleet);
            planners.set_report(&entry.name, report.pace, requests);
        }
        Err(error) => log::warn!(engine:% = engine.name, error:%; "engine.unreadable"),
    }
}
