//! What entry and scheduler have in common as servers: their start and why it fails.

use std::{io, net};

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
