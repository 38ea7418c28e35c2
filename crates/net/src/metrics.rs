//! Metrics by `cadence`, over UDP in the statsd format.
//!
//! The sink is the buffered one without a queue: it needs no thread, and on a non-blocking socket
//! it drops a metric rather than wait.

use std::{io, net, time};

use cadence::{Counted as _, Gauged as _, Timed as _};
use snafu::{ResultExt as _, Snafu};

/// Why metrics cannot be sent.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// No socket.
    #[snafu(display("metrics: {source}"))]
    Socket {
        /// What the system said.
        source: io::Error,
    },
    /// The library refused the sink.
    #[snafu(display("metrics: {source}"))]
    Sink {
        /// What it said.
        source: cadence::MetricError,
    },
}

/// Where measured values go.
pub struct MetricSender(Option<cadence::StatsdClient>);

impl MetricSender {
    /// A sender to `address`; with `None` values go nowhere.
    pub fn new(prefix: &str, address: Option<net::SocketAddr>) -> Result<Self, MetricsError> {
        let Some(address) = address else {
            return Ok(Self(None));
        };
        let socket = net::UdpSocket::bind("0.0.0.0:0").context(SocketSnafu)?;
        socket.set_nonblocking(true).context(SocketSnafu)?;
        let sink = cadence::BufferedUdpMetricSink::from(address, socket).context(SinkSnafu)?;
        Ok(Self(Some(cadence::StatsdClient::from_sink(prefix, sink))))
    }

    /// Counts an event.
    pub fn count(&self, name: &str) {
        if let Some(client) = &self.0 {
            // Losing a metric is better than holding a request up.
            let _ = client.count(name, 1);
        }
    }

    /// Sends a level.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Some(client) = &self.0 {
            let _ = client.gauge(name, value);
        }
    }

    /// Sends a length of time.
    pub fn time(&self, name: &str, span: time::Duration) {
        if let Some(client) = &self.0 {
            let _ = client.time(name, span);
        }
    }

    /// Sends what is buffered.
    pub fn flush(&self) {
        if let Some(client) = &self.0 {
            let _ = client.flush();
        }
    }
}
