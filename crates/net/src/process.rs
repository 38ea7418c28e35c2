//! Process-wide facilities: the clock, the event loop, listening sockets and graceful shutdown.

use std::{
    io, net, panic,
    sync::{self, atomic},
    time,
};

use futures::FutureExt as _;
use slipturn_core::{ids, units};

use crate::boot_clock;

/// Interval at which [`StopSignal::wait`] checks for a stop request.
const STOP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time after a panic of a permanent task until it runs again.
const RESTART_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Longest time until a permanent task runs again; each panic soon after the one before doubles the time.
const MAX_RESTART_PAUSE: time::Duration = time::Duration::from_millis(1_600);
/// Time without a panic after which the next pause is [`RESTART_PAUSE`] again.
const SOUND_RUN: time::Duration = time::Duration::from_secs(10);

/// The process's monotonic clock. It keeps counting while the process is paused or the system is
/// suspended.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    started: boot_clock::BootInstant,
}

impl ProcessClock {
    /// Creates a clock whose time starts at zero now.
    pub fn start() -> Self {
        Self { started: boot_clock::BootInstant::now() }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> units::MonoTime {
        units::MonoTime::from_span(self.started.elapsed())
    }
}

/// Generates an identifier that is unlikely to be used by another run of the same program.
pub fn new_boot_id() -> ids::BootId {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let nanos = u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX);
    // The process id distinguishes two processes that start within one clock tick.
    ids::BootId(nanos ^ (u64::from(std::process::id()) << 40))
}

/// Runs a future to completion on a new event loop on the current thread.
///
/// The driver is given explicitly because a dependency enables monoio's default features, with which
/// monoio may select io_uring, which must not be used.
pub fn run<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(future))
}

/// Spawns a task of one connection or request. A panic ends the task, where with [`monoio::spawn`] it
/// would end the process.
pub fn spawn_isolated(task: impl Future<Output = ()> + 'static) {
    // Not an `async` block, which would hold the task twice: as a captured variable and as the awaited future.
    drop(monoio::spawn(panic::AssertUnwindSafe(task).catch_unwind()));
}

/// Spawns a task that is to run until the process ends. After a panic, `on_panic` and then, with increasing pauses,
/// `run` are called again.
pub fn spawn_restarted(mut run: impl AsyncFnMut() + 'static, on_panic: impl Fn() + 'static) {
    monoio::spawn(async move {
        let mut pause = RESTART_PAUSE;
        loop {
            let started = boot_clock::BootInstant::now();
            if panic::AssertUnwindSafe(run()).catch_unwind().await.is_ok() {
                return;
            }
            on_panic();
            if started.elapsed() >= SOUND_RUN {
                pause = RESTART_PAUSE;
            }
            monoio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RESTART_PAUSE);
        }
    });
}

/// Listens on an address without sharing the port.
///
/// monoio sets `SO_REUSEPORT` by default. Another process could then listen on the same port, and
/// callers would reach either process.
pub fn listen(address: net::SocketAddr) -> io::Result<monoio::net::TcpListener> {
    let options = monoio::net::ListenerOpts::new().reuse_port(false).reuse_addr(true);
    monoio::net::TcpListener::bind_with_config(address, &options)
}

/// Returns whether an address that could not be bound may be available later without a change of the
/// settings or of the process's limits and permissions.
pub fn is_transient_bind_error(error: &io::Error) -> bool {
    use rustix::io::Errno;
    matches!(
        Errno::from_io_error(error),
        Some(Errno::ADDRINUSE | Errno::ADDRNOTAVAIL | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM)
    )
}

/// Lets a write beyond the limit on the size of a file fail. Without a handler for SIGXFSZ it would end
/// the process, for example when its log reaches the limit.
pub fn handle_file_size_limit() -> io::Result<()> {
    let unused = sync::Arc::new(atomic::AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGXFSZ, unused)?;
    Ok(())
}

/// A flag that is set by SIGTERM, SIGINT or an operator to request a graceful stop. Clones share it.
#[derive(Debug, Clone)]
pub struct StopSignal(sync::Arc<atomic::AtomicBool>);

impl StopSignal {
    /// Installs handlers for SIGTERM and SIGINT that set the flag.
    pub fn install() -> io::Result<Self> {
        let flag = sync::Arc::new(atomic::AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::flag::register(signal, sync::Arc::clone(&flag))?;
        }
        Ok(Self(flag))
    }

    /// Sets the flag, which requests a stop.
    pub fn trigger(&self) {
        self.0.store(true, atomic::Ordering::SeqCst);
    }

    /// Returns whether a stop has been requested.
    pub fn is_triggered(&self) -> bool {
        self.0.load(atomic::Ordering::SeqCst)
    }

    /// Waits until a stop is requested.
    pub async fn wait(&self) {
        while !self.is_triggered() {
            monoio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}
