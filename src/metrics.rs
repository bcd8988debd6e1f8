//! Sends metrics to a statsd server, if one is set.

use cadence::{Gauged, NopMetricSink, StatsdClient, UdpMetricSink};
use cyclamenloft_types::{Error, ErrorKind, Result};
use std::{
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    time::Duration,
};

/// The time between two rounds of gauges.
pub const PERIOD: Duration = Duration::from_secs(10);

/// A statsd client, which drops all metrics if no address is set.
#[derive(Debug)]
pub struct Metrics(StatsdClient);

impl Metrics {
    /// Creates a client that sends metrics of `program` to `statsd`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadSetting`] naming the address.
    pub fn new(program: &str, statsd: Option<SocketAddr>) -> Result<Self> {
        let prefix = format!("cyclamenloft.{program}");
        let Some(addr) = statsd else {
            return Ok(Self(StatsdClient::from_sink(&prefix, NopMetricSink)));
        };
        let bad = |e: &dyn std::fmt::Display| {
            Error::new(ErrorKind::BadSetting, format!("--statsd {addr}: {e}"))
        };
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).map_err(|e| bad(&e))?;
        socket.set_nonblocking(true).map_err(|e| bad(&e))?;
        let sink = UdpMetricSink::from(addr, socket).map_err(|e| bad(&e))?;
        Ok(Self(StatsdClient::from_sink(&prefix, sink)))
    }

    /// Sends a gauge. A failure is only logged.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Err(e) = self.0.gauge(name, value) {
            tracing::debug!(name, error = %e, "metric lost");
        }
    }
}
