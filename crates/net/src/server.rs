//! Startup errors and the accept loop of the entry and the scheduler.

use std::{io, net, time};

use snafu::{ResultExt as _, Snafu};

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

/// Listens on an address. The error contains the address.
pub fn listen(address: net::SocketAddr) -> Result<monoio::net::TcpListener, ServerError> {
    process::listen(address).context(ListenSnafu { address })
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
