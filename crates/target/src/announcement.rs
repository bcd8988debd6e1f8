//! The announcements that targets send about themselves.

use cyclamenloft_routing::TargetRecord;
use cyclamenloft_types::{
    DomainName, Error, ErrorKind, HostId, Result, ServiceName, TargetId, check_name,
};
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How long an announcement is valid.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);
/// Interval at which a target should announce itself.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);

/// The lifecycle phase that a target announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetPhase {
    /// The target accepts new requests.
    Serving,
    /// The target finishes its requests and accepts no new ones.
    Leaving,
}

/// An announcement as sent in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// The target's name.
    pub target: TargetId,
    /// The service that the target belongs to.
    pub service: ServiceName,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// The address that the target listens on.
    pub addr: SocketAddr,
    /// Sequence number that increases with each announcement, also across restarts of
    /// the target.
    pub sequence: u64,
    /// The lifecycle phase: whether the target accepts new requests.
    pub phase: TargetPhase,
    /// Number of requests that the target is working on.
    #[serde(default)]
    pub in_flight: u16,
    /// Number of requests that the target is working on from each entry host, which
    /// the `Cyclamenloft-Entry` header of a request names. `None` if the target doesn't
    /// count by entry host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub by_entry: Option<Vec<EntryInFlight>>,
}

/// The requests of one entry host that a target is working on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryInFlight {
    /// The entry host.
    pub host: HostId,
    /// Number of requests.
    pub in_flight: u16,
}

/// The response to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceResponse {
    /// Milliseconds for which the announcement is valid.
    pub life_ms: u64,
    /// Milliseconds between announcements.
    pub period_ms: u64,
}

impl Default for AnnounceResponse {
    fn default() -> Self {
        Self {
            life_ms: ANNOUNCEMENT_TTL.as_millis() as u64,
            period_ms: ANNOUNCE_PERIOD.as_millis() as u64,
        }
    }
}

impl TargetAnnouncement {
    /// Checks the names and the address.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`] naming the key.
    pub fn check(&self) -> Result<()> {
        check_name("target", &self.target)?;
        check_name("service", &self.service)?;
        check_name("domain", &self.domain)?;
        if self.addr.port() == 0 || self.addr.ip().is_unspecified() {
            return Err(Error::new(
                ErrorKind::BadRequest,
                format!(
                    "target {:?} addr {}: expected an address to connect to",
                    self.target, self.addr
                ),
            ));
        }
        Ok(())
    }

    /// Returns the number of requests of `host` that the target is working on, or
    /// `None` if the announcement does not state it.
    #[must_use]
    pub fn in_flight_of(&self, host: &str) -> Option<u16> {
        match &self.by_entry {
            Some(counts) => {
                Some(counts.iter().find(|c| &*c.host == host).map_or(0, |c| c.in_flight))
            }
            None => (self.in_flight == 0).then_some(0),
        }
    }

    /// Returns the record for routing, valid from `now`.
    #[must_use]
    pub fn record(&self, now: Instant) -> TargetRecord {
        TargetRecord {
            id: self.target.clone(),
            addr: self.addr,
            domain: self.domain.clone(),
            sequence: self.sequence,
            leaving: self.phase == TargetPhase::Leaving,
            in_flight: self.in_flight,
            expires: now + ANNOUNCEMENT_TTL,
        }
    }
}
