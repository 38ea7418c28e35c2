//! The running instance: its listeners, its tasks, its start, reload and planned stop.

use std::{
    path, process as std_process, rc,
    sync::{
        self,
        atomic::{self, AtomicBool},
    },
    time,
};

use futures::channel::{mpsc, oneshot};
use slipturn_net::{command_line, process};
use snafu::{ResultExt as _, Snafu};

use crate::{
    adapter, caller_connection, context, engine_reports, failure_watch, heartbeats,
    instance_settings, lease_renewal, log_sink, member_feed, member_gossip, peers, small_server,
    store_feed, upstream_ends,
};

/// Time between two looks at whether a stop or a reload was asked for.
const SIGNAL_POLL: time::Duration = time::Duration::from_millis(100);
/// Looks for signals between two looks at the settings file.
const FILE_POLLS: u32 = 20;
/// After SIGTERM, connections are still taken for this long: the balancer asks every second and
/// looks away after two misses.
const UNREADY_TIME: time::Duration = time::Duration::from_millis(2_600);
/// The process ends by itself this long before it would be killed; on a slow machine its last
/// steps take some hundred milliseconds.
const GRACE_MARGIN: time::Duration = time::Duration::from_millis(900);
/// A request that has no place so long before the process ends gets none: its answer would be cut.
const PLACE_MARGIN: time::Duration = time::Duration::from_secs(1);
/// Time between two clean-ups of resting connections.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Why an instance could not run.
#[derive(Debug, Snafu)]
pub enum ProgramError {
    /// An address is not to be had.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// What the system said.
        source: std::io::Error,
    },
}

/// Runs the program: command line, settings, logs, event loop.
pub fn main(
    info: command_line::ProgramInfo,
    settings_variable: &str,
    adapter: rc::Rc<dyn adapter::InstanceAdapter>,
) -> std_process::ExitCode {
    let matches = match command_line::parse(info, command_line::server_options()) {
        command_line::ParsedLine::Run(matches) => matches,
        command_line::ParsedLine::Leave(code) => return std_process::ExitCode::from(code),
    };
    let named = matches.opt_str("settings").or_else(|| std::env::var(settings_variable).ok());
    let Some(file) = named else {
        eprintln!("{}: -s FILE or {settings_variable} is needed", info.name);
        return std_process::ExitCode::from(command_line::EXIT_USAGE);
    };
    let path = path::PathBuf::from(&file);
    let settings = match instance_settings::InstanceSettings::load(&path) {
        Ok(settings) => settings,
        Err(error) => return command_line::fail(info, &error),
    };
    if matches.opt_present("check") {
        println!("{file}: valid");
        return std_process::ExitCode::from(command_line::EXIT_GOOD);
    }
    if let Err(error) = log_sink::install(log::LevelFilter::Info) {
        return command_line::fail(info, &error);
    }
    match process::run(run(settings, path, adapter)) {
        Ok(Ok(())) => std_process::ExitCode::from(command_line::EXIT_GOOD),
        Ok(Err(error)) => command_line::fail(info, &error),
        Err(error) => command_line::fail(info, &error),
    }
}

/// Runs an instance until a stop is asked for and its requests are done.
pub async fn run(
    settings: instance_settings::InstanceSettings,
    path: path::PathBuf,
    adapter: rc::Rc<dyn adapter::InstanceAdapter>,
) -> Result<(), ProgramError> {
    let stop = process::StopSignal::install().context(SignalsSnafu)?;
    let reload = sync::Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, sync::Arc::clone(&reload))
        .context(SignalsSnafu)?;
    let callers = listen(settings.listen.callers)?;
    let health = listen(settings.listen.health)?;
    let members = listen(settings.listen.members)?;
    let operators = listen(settings.operator_address)?;
    let member_address = settings.member_address;
    let socket = monoio::net::udp::UdpSocket::bind(member_address)
        .context(ListenSnafu { address: member_address })?;
    let socket = rc::Rc::new(socket);
    let (closing_sender, closing) = oneshot::channel();
    let (outgoing, queue) = mpsc::unbounded();
    let (runs, run_news) = mpsc::unbounded();
    let grace = settings.bounds.grace.0;
    let stopping = stop.clone();
    let parts =
        context::ContextParts { settings, adapter, stop: stopping, closing, outgoing, runs };
    let context = rc::Rc::new(context::InstanceContext::new(parts));
    log::info!(instance:% = context.settings().name, boot = context.boot,
        seed = context.settings().is_seed(),
        version = env!("CARGO_PKG_VERSION"), ways:% = context.settings().experiments;
        "process.started");

    let share = || rc::Rc::clone(&context);
    monoio::spawn(peers::send_all(rc::Rc::clone(&socket), queue));
    monoio::spawn(peers::receive_all(share(), socket));
    monoio::spawn(heartbeats::repeat(share()));
    monoio::spawn(heartbeats::ask_silent(share()));
    monoio::spawn(failure_watch::run(share()));
    monoio::spawn(peers::plan(share()));
    monoio::spawn(lease_renewal::repeat(share()));
    monoio::spawn(store_feed::follow_store(share()));
    monoio::spawn(member_feed::follow_routes(share()));
    monoio::spawn(member_feed::follow_list(share()));
    monoio::spawn(engine_reports::poll(share()));
    monoio::spawn(prune(share()));
    monoio::spawn(upstream_ends::judge_runs(share(), run_news));
    monoio::spawn(member_gossip::repeat(share()));
    let small = small_server::accept_all;
    monoio::spawn(small(share(), health, small_server::SmallRole::Health));
    monoio::spawn(small(share(), members, small_server::SmallRole::Members));
    monoio::spawn(small(share(), operators, small_server::SmallRole::Operators));
    monoio::spawn(accept_callers(share(), callers));

    wait_for_stop(&context, &reload, &path).await;
    finish(&context, closing_sender, grace).await;
    Ok(())
}

async fn accept_callers(
    context: rc::Rc<context::InstanceContext>,
    listener: monoio::net::TcpListener,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                context.accept_failed_at.set(None);
                monoio::spawn(caller_connection::serve(rc::Rc::clone(&context), stream));
            }
            Err(error) => {
                context.accept_failed_at.set(Some(context.now()));
                log::warn!(error:%; "accept.failed");
                monoio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    }
}

async fn prune(context: rc::Rc<context::InstanceContext>) {
    loop {
        monoio::time::sleep(PRUNE_INTERVAL).await;
        context.pool.prune();
        context.fleet.borrow_mut().list.forget_notices(context.now());
        let fleet = context.fleet.borrow();
        context.loads.borrow_mut().retain(|name| fleet.list.is_present(name));
    }
}

async fn wait_for_stop(context: &context::InstanceContext, reload: &AtomicBool, path: &path::Path) {
    let mut changed = modified(path);
    let mut polls = 0_u32;
    while !context.stop.asked() {
        polls += 1;
        // The file may change without a signal.
        let found = if polls.is_multiple_of(FILE_POLLS) { modified(path) } else { changed };
        if reload.swap(false, atomic::Ordering::SeqCst) || found != changed {
            changed = found;
            load_again(context, path);
        }
        monoio::time::sleep(SIGNAL_POLL).await;
    }
}

/// When a file was last written; `None` where that cannot be told.
fn modified(path: &path::Path) -> Option<time::SystemTime> {
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}

/// Takes over what may change while the process runs; a bad file changes nothing.
fn load_again(context: &context::InstanceContext, path: &path::Path) {
    match instance_settings::InstanceSettings::load(path) {
        Ok(settings) => {
            log::info!(seeds = settings.seeds.len(); "settings.reloaded");
            context.members.borrow_mut().set_seeds(settings.member_seeds());
            *context.settings.borrow_mut() = rc::Rc::new(settings);
        }
        Err(error) => log::error!(error:%; "settings.rejected"),
    }
}

async fn finish(
    context: &context::InstanceContext,
    closing: oneshot::Sender<()>,
    grace: time::Duration,
) {
    let begun = context.now();
    let last = grace.saturating_sub(GRACE_MARGIN);
    context.places_until.set(Some(begun + last.saturating_sub(PLACE_MARGIN)));
    log::info!(busy = context.busy.get(); "process.stopping");
    monoio::time::sleep(UNREADY_TIME.min(grace / 2)).await;
    // Nobody may wait for it any more.
    let _ = closing.send(());
    while context.busy.get() > 0 && context.now().since(begun) < last {
        monoio::time::sleep(time::Duration::from_millis(20)).await;
    }
    log::info!(busy = context.busy.get(); "process.stopped");
    // Answers, closed connections and the last line leave before the process does.
    monoio::time::sleep(time::Duration::from_millis(50)).await;
}

fn listen(address: std::net::SocketAddr) -> Result<monoio::net::TcpListener, ProgramError> {
    process::listen(address).context(ListenSnafu { address })
}
