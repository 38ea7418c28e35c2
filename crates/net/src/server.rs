//! What entry and scheduler have in common as servers: their start and why it fails.

use std::{io, net, time};

use snafu::{ResultExt as _, Snafu};

use crate::{metrics, process};

/// Why a server could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ServerError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Signals cannot be handled.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// What the system said.
        source: io::Error,
    },
    /// Metrics cannot be sent.
    #[snafu(display("{source}"))]
    Metrics {
        /// What is wrong.
        source: metrics::MetricsError,
    },
}

/// Listens on an address, or says which one cannot be had.
pub fn listen(address: net::SocketAddr) -> Result<monoio::net::TcpListener, ServerError> {
    process::listen(address).context(ListenSnafu { address })
}

/// Accepts connections for ever and hands each to `serve` in a task of its own.
pub async fn accept_all<F, Fut>(listener: monoio::net::TcpListener, serve: F)
where
    F: Fn(monoio::net::TcpStream) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    /// Pause after a failed accept, most often for want of file descriptors.
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
