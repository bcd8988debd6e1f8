//! Messages of the log between replicas. A replica's id is its IPv4 address as
//! a number, so nobody needs a table of addresses.

use crate::ask::{ASK_PATH, Ask, LOG_PATH, Reply, decode, encode};
use bytes::Bytes;
use cyclamenloft_http::KeepAliveClient;
use cyclamenloft_replication::Transport;
use cyclamenloft_types::{Error, ErrorKind, ReplicaId, Result};
use http::Request;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

/// Longest wait for an answer of another replica; the log has shorter limits of
/// its own for most messages.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// The id of the replica at `ip`.
#[must_use]
pub fn replica_id(ip: Ipv4Addr) -> ReplicaId {
    ReplicaId::from(u32::from(ip))
}

/// The address of a replica; `None` where the id is no address.
#[must_use]
pub fn replica_ip(id: ReplicaId) -> Option<Ipv4Addr> {
    u32::try_from(id).ok().map(Ipv4Addr::from)
}

/// Kept connections to other processes at one port.
pub struct Peers {
    port: u16,
    links: RefCell<BTreeMap<ReplicaId, Rc<KeepAliveClient>>>,
}

impl Peers {
    /// Connections to peers that listen at `port`.
    #[must_use]
    pub fn new(port: u16) -> Self {
        Self { port, links: RefCell::default() }
    }

    /// Posts `content` to a peer and reads its answer.
    ///
    /// # Errors
    ///
    /// `NotReached` where the peer has surely not received it,
    /// `PeerUnreachable` where it may have.
    pub async fn post(
        &self,
        to: ReplicaId,
        path: &'static str,
        content: Vec<u8>,
        until: Instant,
    ) -> Result<Bytes> {
        let link = self.link(to)?;
        let req = Request::post(path)
            .body(Bytes::from(content))
            .map_err(|e| Error::new(ErrorKind::Internal, format!("request: {e}")))?;
        let reply = link.call(req, until).await?;
        if reply.status.is_success() {
            return Ok(reply.body);
        }
        let detail = format!("{}{path}: status {}", link.addr(), reply.status);
        Err(Error::new(ErrorKind::PeerUnreachable, detail))
    }

    /// Asks a replica.
    ///
    /// # Errors
    ///
    /// As [`Peers::post`], and `BadRequest` where the answer can't be read.
    pub async fn ask(&self, to: ReplicaId, ask: &Ask, until: Instant) -> Result<Reply> {
        let answer = self.post(to, ASK_PATH, encode(ask)?, until).await?;
        decode(&answer)
    }

    fn link(&self, to: ReplicaId) -> Result<Rc<KeepAliveClient>> {
        let ip = replica_ip(to).ok_or_else(|| {
            Error::new(ErrorKind::PeerUnreachable, format!("replica {to} has no address"))
        })?;
        let addr = SocketAddr::from((ip, self.port));
        let mut links = self.links.borrow_mut();
        Ok(links.entry(to).or_insert_with(|| Rc::new(KeepAliveClient::new(addr))).clone())
    }
}

/// Carries the group's log.
pub(crate) struct LogMessages(pub Rc<Peers>);

impl Transport for LogMessages {
    async fn call(&self, to: ReplicaId, message: Vec<u8>) -> Result<Vec<u8>> {
        let until = Instant::now() + CALL_TIMEOUT;
        Ok(self.0.post(to, LOG_PATH, message, until).await?.to_vec())
    }
}
