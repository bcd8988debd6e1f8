//! Transport of log messages between the replicas of a group.

use crate::LOG_PATH;
use cyclamenloft_http::JsonClient;
use cyclamenloft_replication::Transport;
use cyclamenloft_types::{Error, ErrorKind, ReplicaId, Result};
use std::{collections::BTreeMap, net::SocketAddr};

/// Sends a group's log messages over HTTP.
pub struct LogTransport {
    http: JsonClient,
    path: String,
    members: BTreeMap<ReplicaId, SocketAddr>,
}

impl LogTransport {
    /// Creates a transport for `group`, whose replicas listen at the addresses in
    /// `members`.
    #[must_use]
    pub fn new(
        http: JsonClient,
        group: &str,
        members: impl IntoIterator<Item = (ReplicaId, SocketAddr)>,
    ) -> Self {
        Self { http, path: format!("{LOG_PATH}{group}"), members: members.into_iter().collect() }
    }
}

impl Transport for LogTransport {
    async fn call(&self, to: ReplicaId, message: Vec<u8>) -> Result<Vec<u8>> {
        let addr = self.members.get(&to).ok_or_else(|| {
            Error::new(ErrorKind::PeerUnreachable, format!("replica {to} has no address"))
        })?;
        self.http.send(http::Method::POST, *addr, &self.path, message).await
    }
}
