//! Metrics in the statsd format over UDP, sent with `cadence`.
//!
//! The sink that collects metrics into packets has a buffer but no queue, so it needs no thread.
//! Its socket is non-blocking, so metrics are dropped rather than delay the process.

use std::{io, net, time};

use cadence::{Counted as _, Gauged as _, Timed as _};
use snafu::{ResultExt as _, Snafu};

/// Error that occurs when a metrics sender is created.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The UDP socket cannot be opened.
    #[snafu(display("metrics: {source}"))]
    Socket {
        /// Error of the operating system.
        source: io::Error,
    },
    /// `cadence` cannot create the sink that buffers the metrics.
    #[snafu(display("metrics: {source}"))]
    Sink {
        /// Error of `cadence`.
        source: cadence::MetricError,
    },
}

/// Sends metrics to a statsd server, or discards them if none is configured.
pub struct MetricSender(Option<cadence::StatsdClient>);

impl MetricSender {
    /// Creates a sender to `address`. With `None`, metrics are discarded.
    pub fn new(prefix: &str, address: Option<net::SocketAddr>) -> Result<Self, MetricsError> {
        let Some(address) = address else {
            return Ok(Self(None));
        };
        let socket = net::UdpSocket::bind("0.0.0.0:0").context(SocketSnafu)?;
        socket.set_nonblocking(true).context(SocketSnafu)?;
        let sink = cadence::BufferedUdpMetricSink::from(address, socket).context(SinkSnafu)?;
        Ok(Self(Some(cadence::StatsdClient::from_sink(prefix, sink))))
    }

    /// Increments a counter by one. The server receives `name` with the prefix of the sender.
    pub fn count(&self, name: &str) {
        if let Some(client) = &self.0 {
            // A lost metric is preferable to a delayed request.
            let _ = client.count(name, 1);
        }
    }

    /// Sets a gauge, a value that replaces the previous one of the same name.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Some(client) = &self.0 {
            let _ = client.gauge(name, value);
        }
    }

    /// Records a duration, which is sent in milliseconds.
    pub fn time(&self, name: &str, span: time::Duration) {
        if let Some(client) = &self.0 {
            let _ = client.time(name, span);
        }
    }

    /// Sends the buffered metrics. Without this call, they wait until the buffer is full.
    pub fn flush(&self) {
        if let Some(client) = &self.0 {
            let _ = client.flush();
        }
    }
}
