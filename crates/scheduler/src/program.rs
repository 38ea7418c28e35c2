//! The scheduler process: its event loop, and the tasks that send events and perform effects.

use std::{cell, collections, rc, time};

use futures::{StreamExt as _, channel::mpsc};
use slipturn_net::{
    document_feed, http_client, local_settings, metrics, process, scheduler_link, server,
};
use slipturn_wire::scheduler_capnp;
use snafu::ResultExt as _;

use crate::{document_sources, engine_client, event, rpc_service, state};

/// Pause between two ticks, on which the state checks its timeouts and the metrics are sent.
const TICK: time::Duration = time::Duration::from_millis(50);
/// Time for which the scheduler serves calls after a stop request, so that entries can switch to
/// another scheduler.
const STOP_GRACE: time::Duration = time::Duration::from_secs(2);

type SharedState = rc::Rc<cell::RefCell<state::SchedulerState>>;
/// One flag for each polled engine, which ends the engine's poll task when set.
type PollStopFlags = collections::HashMap<slipturn_core::ids::EngineId, rc::Rc<cell::Cell<bool>>>;

/// Runs a scheduler until the process receives a stop signal, and [`STOP_GRACE`] longer.
pub async fn run(local: local_settings::LocalSettings) -> Result<(), server::ServerError> {
    let stop = process::StopSignal::install().context(server::SignalsSnafu)?;
    let clock = process::ProcessClock::start();
    let metric_sender = metrics::MetricSender::new("slipturn.scheduler", local.statsd)
        .context(server::MetricsSnafu)?;
    let address = local.listen.scheduler;
    let listener = server::listen(address)?;
    let (events, incoming) = mpsc::unbounded();

    let identity = state::SchedulerIdentity {
        instance: local.instance.clone(),
        data_center: local.data_center.clone(),
        boot: process::new_boot_id(),
    };
    let shared_state =
        rc::Rc::new(cell::RefCell::new(state::SchedulerState::new(clock.now(), identity)));
    let pool = rc::Rc::new(http_client::ConnectionPool::default());
    let links = rc::Rc::new(scheduler_link::LinkPool::default());

    let service = rpc_service::SchedulerService::new(events.clone(), clock);
    monoio::spawn(accept_connections(listener, service));
    monoio::spawn(send_ticks(events.clone()));
    let documents = document_sources::SchedulerDocuments::new(
        rc::Rc::new(local),
        rc::Rc::clone(&shared_state),
        events.clone(),
    );
    let consumer: rc::Rc<dyn document_feed::FeedConsumer> = rc::Rc::new(documents);
    monoio::spawn(document_feed::follow(consumer, rc::Rc::clone(&pool), links));
    log::info!("scheduler listening on {address}");

    let engine_control: rc::Rc<dyn engine_client::EngineControl> =
        rc::Rc::new(engine_client::HttpEngineControl::new(rc::Rc::clone(&pool)));
    monoio::spawn(run_event_loop(
        shared_state,
        incoming,
        events,
        engine_control,
        clock,
        metric_sender,
    ));
    stop.wait().await;
    log::info!("stop requested");
    // Leases are not handed over: the scheduler that owns an engine next learns of them from the
    // engine's reports and the renewals of entries.
    monoio::time::sleep(STOP_GRACE).await;
    Ok(())
}

/// Applies events to the state and performs the resulting effects, until all senders are dropped.
async fn run_event_loop(
    shared_state: SharedState,
    mut incoming: mpsc::UnboundedReceiver<event::SchedulerEvent>,
    events: event::EventSender,
    engine_control: rc::Rc<dyn engine_client::EngineControl>,
    clock: process::ProcessClock,
    metric_sender: metrics::MetricSender,
) {
    let mut stop_flags = PollStopFlags::new();
    while let Some(event) = incoming.next().await {
        let is_tick = matches!(event, event::SchedulerEvent::Tick);
        let effects = shared_state.borrow_mut().handle(clock.now(), event);
        for effect in effects {
            perform(effect, &mut stop_flags, &events, &engine_control, &metric_sender);
        }
        if is_tick {
            metric_sender.flush();
        }
    }
}

fn perform(
    effect: event::SchedulerEffect,
    stop_flags: &mut PollStopFlags,
    events: &event::EventSender,
    engine_control: &rc::Rc<dyn engine_client::EngineControl>,
    metric_sender: &metrics::MetricSender,
) {
    match effect {
        event::SchedulerEffect::Cancel(address, attempt) => {
            metric_sender.count("cancels");
            let engine_control = rc::Rc::clone(engine_control);
            monoio::spawn(async move {
                // A failed cancel is not retried here: the engine's next report still lists the
                // attempt, and the ledger cancels it again.
                if let Err(error) = engine_control.cancel(address, attempt.clone()).await {
                    log::warn!("failed to cancel {attempt} on engine at {address}: {error}");
                }
            });
        }
        event::SchedulerEffect::StartPoll(name, address) => {
            let stopped = rc::Rc::new(cell::Cell::new(false));
            if let Some(previous) = stop_flags.insert(name.clone(), rc::Rc::clone(&stopped)) {
                previous.set(true);
            }
            let engine_control = rc::Rc::clone(engine_control);
            monoio::spawn(engine_client::poll(
                engine_control,
                name,
                address,
                events.clone(),
                stopped,
            ));
        }
        event::SchedulerEffect::StopPoll(name) => {
            if let Some(stopped) = stop_flags.remove(&name) {
                stopped.set(true);
            }
        }
    }
}

async fn accept_connections(
    listener: monoio::net::TcpListener,
    service: rpc_service::SchedulerService,
) {
    server::accept_all(listener, move |stream| {
        let client: scheduler_capnp::scheduler::Client = capnp_rpc::new_client(service.clone());
        scheduler_link::serve(stream, client)
    })
    .await;
}

async fn send_ticks(events: event::EventSender) {
    while events.unbounded_send(event::SchedulerEvent::Tick).is_ok() {
        monoio::time::sleep(TICK).await;
    }
}
