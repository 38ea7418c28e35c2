//! The process of an instance: command line, listeners, tasks, reload of settings and graceful shutdown.

use std::{path, process as std_process, rc, time};

use futures::channel::{mpsc, oneshot};
use slipturn_core::{stop_schedule, units, upstream_reach};
use slipturn_net::{command_line, process};
use snafu::{ResultExt as _, Snafu};

use crate::{
    adapter, caller_connection, connection_slot, context, engine_reports, failure_watch,
    heartbeats, instance_settings, internal_server, lease_renewal, link_probe, listeners, log_sink,
    member_feed, member_gossip, peers, planner_guard, settings_watch, store_feed, upstream_ends,
};

/// Interval between two checks for a signal to stop or to reload.
const SIGNAL_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Maximum time in which the requests that remain at the exit are answered.
const LAST_ANSWERS_TIME: time::Duration = time::Duration::from_millis(100);
/// Interval between two clean-ups of idle connections and of state about upstreams that are gone.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Why an instance could not start.
#[derive(Debug, Snafu)]
pub enum ProgramError {
    /// An address could not be bound.
    #[snafu(display("{source}"))]
    Listen {
        /// The address and the error.
        source: listeners::ListenError,
    },
    /// The settings file could not be read or is not valid.
    #[snafu(display("{source}"))]
    Settings {
        /// The path of the file and the error.
        source: instance_settings::InstanceSettingsError,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Entry point of the program: parses the command line, and checks the settings or runs the instance.
pub fn main(
    info: command_line::ProgramInfo,
    settings_variable: &str,
    adapter: rc::Rc<dyn adapter::InstanceAdapter>,
) -> std_process::ExitCode {
    let matches = match command_line::parse(info, command_line::server_options()) {
        command_line::ParsedArguments::Run(matches) => matches,
        command_line::ParsedArguments::Exit(code) => return std_process::ExitCode::from(code),
    };
    let settings_file =
        matches.opt_str("settings").or_else(|| std::env::var(settings_variable).ok());
    let Some(file) = settings_file else {
        let name = info.name;
        command_line::print_error(format_args!("{name}: -s FILE or {settings_variable} is needed"));
        return std_process::ExitCode::from(command_line::EXIT_USAGE);
    };
    let path = path::PathBuf::from(&file);
    if matches.opt_present("check") {
        if let Err(error) = instance_settings::InstanceSettings::load(&path) {
            return command_line::fail(info, &error);
        }
        println!("{file}: valid");
        return std_process::ExitCode::from(command_line::EXIT_SUCCESS);
    }
    if let Err(error) = log_sink::install(log::LevelFilter::Info) {
        return command_line::fail(info, &error);
    }
    match process::run(run(path, adapter)) {
        Ok(Ok(())) => std_process::ExitCode::from(command_line::EXIT_SUCCESS),
        Ok(Err(error)) => command_line::fail(info, &error),
        Err(error) => command_line::fail(info, &error),
    }
}

/// Loads the settings and runs an instance until a stop is requested and its requests have ended.
pub async fn run(
    path: path::PathBuf,
    adapter: rc::Rc<dyn adapter::InstanceAdapter>,
) -> Result<(), ProgramError> {
    let stop = process::StopSignal::install().context(SignalsSnafu)?;
    process::handle_file_size_limit().context(SignalsSnafu)?;
    let mut watch = settings_watch::SettingsWatch::install(path).context(SignalsSnafu)?;
    let Some(mut settings) = watch.load_at_start(&stop).await.context(SettingsSnafu)? else {
        return Ok(());
    };
    let opened = listeners::open_all(&mut settings, &mut watch, &adapter, &stop).await;
    let Some(sockets) = opened.context(ListenSnafu)? else {
        return Ok(());
    };
    let (closing_sender, closing) = oneshot::channel();
    let (exiting_sender, exiting) = oneshot::channel();
    let (outgoing, queue) = mpsc::unbounded();
    let (runs, run_events) = mpsc::unbounded();
    let grace = settings.bounds.grace.0;
    let stopping = stop.clone();
    let context_parts = context::ContextParts {
        settings,
        adapter,
        stop: stopping,
        closing,
        exiting,
        outgoing,
        runs,
    };
    let context = rc::Rc::new(context::InstanceContext::new(context_parts));
    log::info!(instance:% = context.settings().name, boot = context.boot,
        seed = context.settings().is_seed(),
        version = env!("CARGO_PKG_VERSION"), ways:% = context.settings().experiments;
        "process.started");

    spawn_permanent_tasks(&context);
    spawn_queue_tasks(&context, sockets.datagrams, queue, run_events);
    spawn_accept_tasks(&context, sockets.listeners);

    wait_for_stop(&context, &mut watch).await;
    let schedule = stop_schedule::StopSchedule::new(context.now(), grace);
    let signals = StopSenders { closing: closing_sender, exiting: exiting_sender };
    shut_down(&context, signals, schedule).await;
    Ok(())
}

/// Spawns the tasks that need nothing but the context.
fn spawn_permanent_tasks(context: &rc::Rc<context::InstanceContext>) {
    spawn_with_context(context, heartbeats::repeat);
    spawn_with_context(context, heartbeats::probe_silent);
    spawn_with_context(context, failure_watch::run);
    spawn_with_context(context, peers::plan);
    spawn_with_context(context, lease_renewal::repeat);
    spawn_with_context(context, store_feed::follow_store);
    spawn_with_context(context, member_feed::follow_routes);
    spawn_with_context(context, member_feed::follow_list);
    spawn_with_context(context, engine_reports::poll);
    spawn_with_context(context, link_probe::repeat);
    spawn_with_context(context, prune);
    spawn_with_context(context, member_gossip::repeat);
}

fn spawn_with_context<F: Future<Output = ()> + 'static>(
    context: &rc::Rc<context::InstanceContext>,
    run: fn(rc::Rc<context::InstanceContext>) -> F,
) {
    let running = rc::Rc::clone(context);
    spawn_restarted(context, async move || run(rc::Rc::clone(&running)).await);
}

/// Spawns a task that runs again after a panic; repeated panics leave planning to other members.
fn spawn_restarted(context: &rc::Rc<context::InstanceContext>, run: impl AsyncFnMut() + 'static) {
    let context = rc::Rc::clone(context);
    process::spawn_restarted(run, move || planner_guard::note_panic(&context));
}

/// Spawns the tasks that send and receive datagrams and that handle events about runs.
fn spawn_queue_tasks(
    context: &rc::Rc<context::InstanceContext>,
    socket: monoio::net::udp::UdpSocket,
    mut outgoing: mpsc::UnboundedReceiver<context::OutgoingMessage>,
    mut runs: mpsc::UnboundedReceiver<upstream_ends::RunEvent>,
) {
    let socket = rc::Rc::new(socket);
    let sending = rc::Rc::clone(&socket);
    spawn_restarted(context, async move || peers::send_all(&sending, &mut outgoing).await);
    let receiver = rc::Rc::clone(context);
    spawn_restarted(context, async move || peers::receive_all(&receiver, &socket).await);
    let finder = rc::Rc::clone(context);
    spawn_restarted(context, async move || {
        upstream_ends::find_ended_upstreams(rc::Rc::clone(&finder), &mut runs).await;
    });
}

/// Spawns the tasks that accept connections.
fn spawn_accept_tasks(
    context: &rc::Rc<context::InstanceContext>,
    sockets: listeners::TcpListeners,
) {
    let internal = [
        (rc::Rc::new(sockets.members), internal_server::ServerRole::Members),
        (rc::Rc::new(sockets.operators), internal_server::ServerRole::Operators),
    ];
    for (listener, role) in internal {
        let server = rc::Rc::clone(context);
        spawn_restarted(context, async move || {
            internal_server::accept_all(&server, &listener, role).await;
        });
    }
    let (checked, health) = (rc::Rc::clone(context), sockets.health);
    spawn_restarted(context, async move || {
        internal_server::accept_checks(&checked, &health).await;
    });
    let (server, callers) = (rc::Rc::clone(context), sockets.callers);
    spawn_restarted(context, async move || accept_callers(&server, &callers).await);
}

async fn accept_callers(
    context: &rc::Rc<context::InstanceContext>,
    listener: &monoio::net::TcpListener,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                context.accept_failed_at.set(None);
                // A connection without a slot is closed unread.
                if let Some(slot) = connection_slot::ConnectionSlot::take(context) {
                    process::spawn_isolated(caller_connection::serve(
                        rc::Rc::clone(context),
                        stream,
                        slot,
                    ));
                }
            }
            Err(error) => {
                context.accept_failed_at.set(Some(context.now()));
                log::warn!(error:%; "accept.failed");
                monoio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    }
}

/// Periodically closes expired idle connections, and drops state about upstreams that are gone.
async fn prune(context: rc::Rc<context::InstanceContext>) {
    loop {
        monoio::time::sleep(PRUNE_INTERVAL).await;
        context.pool.prune();
        if let Some(intake) = &context.intake {
            intake.borrow_mut().note_calm(context.now());
        }
        context.fleet.borrow_mut().list.forget_notices(context.now());
        let fleet = context.fleet.borrow();
        context.loads.borrow_mut().retain(|name| fleet.list.is_present(name));
        if context.reach.borrow().is_empty() {
            continue;
        }
        let mut listed = upstream_reach::ListedAddresses::new();
        for entry in fleet.list.entries() {
            listed.entry(entry.service.clone()).or_default().insert(entry.address);
        }
        context.reach.borrow_mut().retain(&listed);
    }
}

/// Applies changed settings until a stop is requested.
async fn wait_for_stop(
    context: &context::InstanceContext,
    watch: &mut settings_watch::SettingsWatch,
) {
    while !context.stop.is_triggered() {
        if let Some(settings) = watch.poll() {
            context.members.borrow_mut().set_seeds(settings.member_seeds());
            *context.settings.borrow_mut() = rc::Rc::new(settings);
        }
        monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
    }
}

/// Senders of the signals of a graceful stop, whose receivers the context holds.
struct StopSenders {
    closing: oneshot::Sender<()>,
    exiting: oneshot::Sender<()>,
}

/// Shuts down gracefully: lets the load balancer notice, closes idle connections, waits for requests in progress, and
/// answers those that remain.
async fn shut_down(
    context: &context::InstanceContext,
    signals: StopSenders,
    schedule: stop_schedule::StopSchedule,
) {
    context.stop_schedule.set(Some(schedule));
    log::info!(busy = context.busy.get(); "process.stopping");
    monoio::time::sleep(schedule.closing_at().since(context.now())).await;
    // Fails only if the receiver has been dropped; then there is nothing left to close.
    let _ = signals.closing.send(());
    wait_for_requests(context, schedule.exit_at()).await;
    let cut = context.busy.get();
    let relayed = context.relayed.borrow().open();
    let _ = signals.exiting.send(());
    wait_for_requests(context, context.now() + LAST_ANSWERS_TIME).await;
    log::info!(busy = cut, relayed; "process.stopped");
    // Allows the last answers, closed connections and log lines to be written before the process exits.
    monoio::time::sleep(time::Duration::from_millis(50)).await;
}

/// Waits until no request is in progress, at most until a point in time.
async fn wait_for_requests(context: &context::InstanceContext, until: units::MonoTime) {
    while context.busy.get() > 0 && context.now() < until {
        monoio::time::sleep(time::Duration::from_millis(20)).await;
    }
}
