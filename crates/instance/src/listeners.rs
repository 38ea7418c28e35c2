//! Opens the sockets on which an instance listens, and waits for addresses that are not available yet.

use std::{io, net, rc, time};

use slipturn_net::{boot_clock, process};
use snafu::{ResultExt as _, Snafu};

use crate::{adapter, instance_settings, internal_server, settings_watch};

/// Interval between two attempts to open the sockets.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// An address could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct ListenError {
    /// The address from the settings.
    address: net::SocketAddr,
    /// The error of the operating system.
    source: io::Error,
}

/// All sockets on which an instance listens.
pub struct InstanceSockets {
    /// Sockets that accept connections.
    pub listeners: TcpListeners,
    /// Receives datagrams of other instances.
    pub datagrams: monoio::net::udp::UdpSocket,
}

/// The sockets on which an instance accepts connections.
pub struct TcpListeners {
    /// For readiness checks of the load balancer.
    pub health: rc::Rc<monoio::net::TcpListener>,
    /// For operators.
    pub operators: monoio::net::TcpListener,
    /// For other instances.
    pub members: monoio::net::TcpListener,
    /// For callers.
    pub callers: monoio::net::TcpListener,
}

/// Opens all sockets. An address that is not available yet is tried again until it is, with the
/// settings of that moment; meanwhile readiness checks fail.
///
/// Returns `None` if a stop is requested first.
///
/// # Errors
///
/// Fails if an address cannot be bound for a reason that waiting does not change.
pub async fn open_all(
    settings: &mut instance_settings::InstanceSettings,
    watch: &mut settings_watch::SettingsWatch,
    adapter: &rc::Rc<dyn adapter::InstanceAdapter>,
    stop: &process::StopSignal,
) -> Result<Option<InstanceSockets>, ListenError> {
    let mut health = None;
    let mut unavailable = None;
    while !stop.is_triggered() {
        match try_open(settings, &mut health) {
            Ok(sockets) => {
                unavailable.iter().for_each(UnavailableAddress::log_acquired);
                return Ok(Some(sockets));
            }
            Err(error) if process::is_transient_bind_error(&error.source) => {
                unavailable = Some(UnavailableAddress::update(unavailable, &error));
            }
            Err(error) => return Err(error),
        }
        match &health {
            Some(listener) => {
                let answering = internal_server::answer_not_ready(adapter, listener);
                // Answering never ends by itself.
                let _ = monoio::time::timeout(RETRY_INTERVAL, answering).await;
            }
            None => monoio::time::sleep(RETRY_INTERVAL).await,
        }
        if let Some(changed) = watch.poll() {
            if changed.listen.health != settings.listen.health {
                health = None;
            }
            *settings = changed;
            unavailable = None;
        }
    }
    Ok(None)
}

/// Opens all sockets; `health` is kept if it is open already. After a failure `health` alone is open:
/// another socket that is open but not served would let its clients wait.
fn try_open(
    settings: &instance_settings::InstanceSettings,
    health: &mut Option<rc::Rc<monoio::net::TcpListener>>,
) -> Result<InstanceSockets, ListenError> {
    let health = match health {
        Some(listener) => rc::Rc::clone(listener),
        None => rc::Rc::clone(health.insert(rc::Rc::new(listen(settings.listen.health)?))),
    };
    let operators = listen(settings.operator_address)?;
    let members = listen(settings.listen.members)?;
    let address = net::SocketAddr::V4(settings.member_address);
    let datagrams = monoio::net::udp::UdpSocket::bind(address).context(ListenSnafu { address })?;
    // Last, so that no connection of a caller is reset because a later address is in use.
    let callers = listen(settings.listen.callers)?;
    let listeners = TcpListeners { health, operators, members, callers };
    Ok(InstanceSockets { listeners, datagrams })
}

fn listen(address: net::SocketAddr) -> Result<monoio::net::TcpListener, ListenError> {
    process::listen(address).context(ListenSnafu { address })
}

/// The address that a start waits for.
#[derive(Debug)]
struct UnavailableAddress {
    address: net::SocketAddr,
    since: boot_clock::BootInstant,
}

impl UnavailableAddress {
    /// Returns the address of `error`, and logs if it is another one than before.
    fn update(previous: Option<Self>, error: &ListenError) -> Self {
        let ListenError { address, source } = error;
        if let Some(previous) = previous {
            if previous.address == *address {
                return previous;
            }
            previous.log_acquired();
        }
        log::warn!(address:%, error:% = source; "listen.waiting");
        Self { address: *address, since: boot_clock::BootInstant::now() }
    }

    fn log_acquired(&self) {
        let waited_ms = self.since.elapsed().as_millis() as u64;
        log::info!(address:% = self.address, waited_ms; "listen.acquired");
    }
}
