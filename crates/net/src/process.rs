//! Matters of a whole process: its clock, its event loop, and its planned stop.

use std::{
    io, net,
    sync::{self, atomic},
    time,
};

use slipturn_core::{ids, units};

use crate::boot_clock;

/// Time between two looks at whether a stop was asked for.
const STOP_POLL: time::Duration = time::Duration::from_millis(50);

/// The process's monotonic clock. It goes on while the process is paused, and while the machine is
/// suspended.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    started: boot_clock::BootInstant,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { started: boot_clock::BootInstant::now() }
    }

    /// The time since the start.
    pub fn now(&self) -> units::MonoTime {
        units::MonoTime::from_span(self.started.elapsed())
    }
}

/// A number that no other start of the same program is likely to have.
pub fn new_boot_id() -> ids::BootId {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let nanos = u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX);
    // The process number distinguishes two starts in one clock tick.
    ids::BootId(nanos ^ (u64::from(std::process::id()) << 40))
}

/// Runs a future on the event loop of this thread.
///
/// The driver is named because a dependency turns monoio's default features back on, and with them
/// the choice of io_uring, which must not be used.
pub fn run<F: Future>(work: F) -> io::Result<F::Output> {
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(work))
}

/// Listens on an address exclusively.
///
/// The library would share it with another process by default, and callers would then reach
/// either.
pub fn listen(address: net::SocketAddr) -> io::Result<monoio::net::TcpListener> {
    let options = monoio::net::ListenerOpts::new().reuse_port(false).reuse_addr(true);
    monoio::net::TcpListener::bind_with_config(address, &options)
}

/// Whether a planned stop was asked for, by SIGTERM, SIGINT or an operator.
#[derive(Debug, Clone)]
pub struct StopSignal(sync::Arc<atomic::AtomicBool>);

impl StopSignal {
    /// Installs the handlers of SIGTERM and SIGINT.
    pub fn install() -> io::Result<Self> {
        let flag = sync::Arc::new(atomic::AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::flag::register(signal, sync::Arc::clone(&flag))?;
        }
        Ok(Self(flag))
    }

    /// Asks for a stop.
    pub fn ask(&self) {
        self.0.store(true, atomic::Ordering::SeqCst);
    }

    /// Whether a stop was asked for.
    pub fn asked(&self) -> bool {
        self.0.load(atomic::Ordering::SeqCst)
    }

    /// Waits until a stop is asked for.
    pub async fn wait(&self) {
        while !self.asked() {
            monoio::time::sleep(STOP_POLL).await;
        }
    }
}
