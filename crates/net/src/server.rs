//! Startup errors and the accept loop of the entry and the scheduler.

use std::{io, net, time};

use snafu::Snafu;

use crate::{metrics, process};

/// Error that prevents a server from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ServerError {
    /// The server cannot listen on an address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the local settings file.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The metrics sender cannot be created.
    #[snafu(display("{source}"))]
    Metrics {
        /// Error of the socket or of `cadence`.
        source: metrics::MetricsError,
    },
}

/// Interval between two attempts to listen on an address that is not available yet.
const LISTEN_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Listens on an address, and waits while it is not available yet. Returns `None` if a stop is requested
/// first. The error contains the address.
pub async fn listen(
    address: net::SocketAddr,
    stop: &process::StopSignal,
) -> Result<Option<monoio::net::TcpListener>, ServerError> {
    let mut waits = false;
    while !stop.is_triggered() {
        match process::listen(address) {
            Ok(listener) => {
                if waits {
                    log::info!("{address} is available");
                }
                return Ok(Some(listener));
            }
            Err(error) if process::is_transient_bind_error(&error) => {
                if !waits {
                    log::warn!("waiting to listen on {address}: {error}");
                }
                waits = true;
            }
            Err(source) => return Err(ServerError::Listen { address, source }),
        }
        monoio::time::sleep(LISTEN_RETRY_INTERVAL).await;
    }
    Ok(None)
}

/// Accepts connections forever and runs `serve` for each in its own task.
pub async fn accept_all<F, Fut>(listener: monoio::net::TcpListener, serve: F)
where
    F: Fn(monoio::net::TcpStream) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    /// Pause after a failed accept, whose usual cause is a lack of file descriptors.
    const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve(stream));
            }
            Err(error) => {
                log::warn!("accept failed: {error}");
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
