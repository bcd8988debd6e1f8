//! Transport between replicas. A replica's id is its IPv4 address as a number,
//! so no table of addresses is needed.

use crate::protocol::{ASK_PATH, LOG_PATH, PeerRequest, PeerResponse, decode, encode};
use bytes::Bytes;
use cyclamenloft_http::{KeepAliveClient, response::OUTCOME_HEADER};
use cyclamenloft_replication::Transport;
use cyclamenloft_types::{Error, ErrorKind, Outcome, ReplicaId, Result};
use http::{HeaderValue, Request, StatusCode};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

/// Longest wait for another replica's answer to a log message. The replicated
/// log has shorter timeouts of its own for most messages.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Value of [`OUTCOME_HEADER`] in the response to a request that was not carried out.
const NOT_RUN: &[u8] = Outcome::NotRun.as_str().as_bytes();

/// Returns the id of the replica at `ip`.
#[must_use]
pub fn replica_id(ip: Ipv4Addr) -> ReplicaId {
    ReplicaId::from(u32::from(ip))
}

/// Returns the address of a replica, or `None` if the id is not an address.
#[must_use]
pub fn replica_ip(id: ReplicaId) -> Option<Ipv4Addr> {
    u32::try_from(id).ok().map(Ipv4Addr::from)
}

/// Persistent connections to other processes of the system, all on the same port.
pub struct Peers {
    port: u16,
    clients: RefCell<BTreeMap<ReplicaId, Rc<KeepAliveClient>>>,
}

impl Peers {
    /// Creates the connections to peers that listen at `port`, without opening any.
    #[must_use]
    pub fn new(port: u16) -> Self {
        Self { port, clients: RefCell::default() }
    }

    /// Posts `body` to a peer and returns the body of its answer.
    ///
    /// # Errors
    ///
    /// `NotReached` if the peer certainly has not received the request,
    /// `PeerUnreachable` if it may have.
    pub async fn post(
        &self,
        to: ReplicaId,
        path: &'static str,
        body: Vec<u8>,
        until: Instant,
    ) -> Result<Bytes> {
        let client = self.client(to)?;
        let req = Request::post(path)
            .body(Bytes::from(body))
            .map_err(|e| Error::new(ErrorKind::Internal, format!("request: {e}")))?;
        let reply = client.call(req, until).await?;
        if reply.status.is_success() {
            return Ok(reply.body);
        }
        let detail = format!("{}{path}: status {}", client.addr(), reply.status);
        let outcome = reply.headers.get(OUTCOME_HEADER).map(HeaderValue::as_bytes);
        let kind = match reply.status {
            // The peer has no memory for the request now.
            StatusCode::SERVICE_UNAVAILABLE if outcome == Some(NOT_RUN) => ErrorKind::NotReached,
            _ => ErrorKind::PeerUnreachable,
        };
        Err(Error::new(kind, detail))
    }

    /// Sends a request to a replica and returns its response.
    ///
    /// # Errors
    ///
    /// Those of [`Peers::post`], and `BadRequest` if the response can't be
    /// decoded.
    pub async fn request(
        &self,
        to: ReplicaId,
        req: &PeerRequest,
        until: Instant,
    ) -> Result<PeerResponse> {
        self.request_encoded(to, encode(req)?, until).await
    }

    /// Like [`Self::request`], with a request that is already encoded.
    ///
    /// # Errors
    ///
    /// Those of [`Self::request`].
    pub async fn request_encoded(
        &self,
        to: ReplicaId,
        req: Vec<u8>,
        until: Instant,
    ) -> Result<PeerResponse> {
        let answer = self.post(to, ASK_PATH, req, until).await?;
        decode(&answer)
    }

    fn client(&self, to: ReplicaId) -> Result<Rc<KeepAliveClient>> {
        let ip = replica_ip(to).ok_or_else(|| {
            Error::new(ErrorKind::PeerUnreachable, format!("replica {to} has no address"))
        })?;
        let addr = SocketAddr::from((ip, self.port));
        let mut clients = self.clients.borrow_mut();
        Ok(clients.entry(to).or_insert_with(|| Rc::new(KeepAliveClient::new(addr))).clone())
    }
}

/// Carries the messages of the group's replicated log.
pub(crate) struct LogTransport(pub Rc<Peers>);

impl Transport for LogTransport {
    async fn call(&self, to: ReplicaId, message: Vec<u8>) -> Result<Vec<u8>> {
        let until = Instant::now() + CALL_TIMEOUT;
        Ok(self.0.post(to, LOG_PATH, message, until).await?.to_vec())
    }
}
