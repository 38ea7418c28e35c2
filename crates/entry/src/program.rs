//! Startup and shutdown of an entry: its listeners, its director and its background tasks.

use std::{cell, rc, time};

use futures::{channel::oneshot, future};
use slipturn_core::entry_router;
use slipturn_net::{
    document_feed, http_client, http_server, local_settings, metrics, process, scheduler_link,
    server,
};
use snafu::ResultExt as _;

use crate::{
    body_budget, caller_connection, director, documents, event, operators, renewal, request_context,
};

/// Interval of the director's periodic work: cleanup of the router and sending of metrics.
const TICK: time::Duration = time::Duration::from_millis(50);
/// Interval at which idle connections, unused locks and links to unlisted schedulers are dropped.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time for which new connections are still accepted after a stop is requested. The load balancer
/// and the published list need that time to direct callers to other instances.
const UNREADY_GRACE: time::Duration = time::Duration::from_secs(3);
/// Longest time for which a stop waits for requests in progress; above any time limit in use.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(3_600);
/// Interval at which a stop checks whether requests are still in progress.
const STOP_POLL: time::Duration = time::Duration::from_millis(20);

/// Runs an entry until a stop is requested, and then until its requests have ended, for at most
/// `STOP_LIMIT`.
///
/// # Errors
///
/// Fails if the signal handlers, the metrics socket or the listeners cannot be set up.
pub async fn run(local: local_settings::LocalSettings) -> Result<(), server::ServerError> {
    let stop = process::StopSignal::install().context(server::SignalsSnafu)?;
    let clock = process::ProcessClock::start();
    let boot = process::new_boot_id();
    let sender =
        metrics::MetricSender::new("slipturn.entry", local.statsd).context(server::MetricsSnafu)?;
    let caller_listener = server::listen(local.listen.callers)?;
    let operator_listener = server::listen(local.listen.operators)?;
    let local = rc::Rc::new(local);

    let (events, incoming) = event::EventSender::channel();
    let summary = rc::Rc::new(documents::DocumentSummary::default());
    let router = entry_router::EntryRouter::new(
        local.instance.clone(),
        local.data_center.clone(),
        local.limits.sleep_bound.0,
        boot.0,
    );
    let decisions = local.limits.decisions;
    let shared = rc::Rc::clone(&summary);
    let director = director::EntryDirector::new(router, boot, decisions, shared, sender);
    monoio::spawn(director.run(incoming, clock));
    monoio::spawn(tick(events.clone()));

    let context = rc::Rc::new(request_context::EntryContext {
        body_budget: body_budget::BodyBudget::new(local.limits.held_bodies),
        local: rc::Rc::clone(&local),
        boot,
        clock,
        events: events.clone(),
        pool: rc::Rc::new(http_client::ConnectionPool::default()),
        links: rc::Rc::new(scheduler_link::LinkPool::default()),
        stop: stop.clone(),
        draw_locks: request_context::DrawLocks::default(),
        active: cell::Cell::new(0),
        sequence: cell::Cell::new(0),
    });
    let consumer: rc::Rc<dyn document_feed::FeedConsumer> =
        rc::Rc::new(documents::EntryDocuments::new(rc::Rc::clone(&local), summary, events));
    let (pool, links) = (rc::Rc::clone(&context.pool), rc::Rc::clone(&context.links));
    monoio::spawn(document_feed::follow(consumer, pool, links));
    monoio::spawn(renewal::run(rc::Rc::clone(&context)));
    monoio::spawn(prune(rc::Rc::clone(&context)));

    let operators_context = rc::Rc::clone(&context);
    monoio::spawn(http_server::accept_all(operator_listener, move |connection| {
        operators::serve(rc::Rc::clone(&operators_context), connection)
    }));
    let callers_context = rc::Rc::clone(&context);
    let accepting = http_server::accept_all(caller_listener, move |connection| {
        caller_connection::serve(rc::Rc::clone(&callers_context), connection)
    });
    let (close, closed) = oneshot::channel::<()>();
    // Dropping a task's handle doesn't stop the task, so the listener is closed by dropping
    // `close`, which ends the `select`.
    monoio::spawn(async move {
        future::select(Box::pin(accepting), closed).await;
    });
    log::info!("entry listening on {}", local.listen.callers);

    stop.wait().await;
    log::info!("stop requested, {} requests in progress", context.active.get());
    monoio::time::sleep(UNREADY_GRACE).await;
    drop(close);
    finish_requests(&context).await;
    Ok(())
}

/// Waits for the requests in progress, for at most [`STOP_LIMIT`].
async fn finish_requests(context: &request_context::EntryContext) {
    let started = context.clock.now();
    while context.active.get() > 0 && context.clock.now().since(started) < STOP_LIMIT {
        monoio::time::sleep(STOP_POLL).await;
    }
    // Gives the background tasks of the last requests time to release their leases.
    monoio::time::sleep(STOP_POLL * 5).await;
}

/// Sends a tick to the director after every [`TICK`].
async fn tick(events: event::EventSender) {
    loop {
        events.send(event::EntryEvent::Tick);
        monoio::time::sleep(TICK).await;
    }
}

/// Drops idle connections, unused locks, and the links to schedulers that are neither local nor
/// listed.
async fn prune(context: rc::Rc<request_context::EntryContext>) {
    loop {
        monoio::time::sleep(PRUNE_INTERVAL).await;
        context.pool.prune();
        context.draw_locks.prune();
        let list = context.events.ask(event::EntryEvent::List).await;
        let local_scheduler = context.local.listen.scheduler;
        context.links.retain(|address| {
            *address == local_scheduler
                || list.instances.iter().any(|instance| instance.scheduler == *address)
        });
    }
}
