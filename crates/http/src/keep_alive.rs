//! A client for one address that reuses a few keep-alive connections, for callers
//! for which each new connection is costly. A connection carries one request at a
//! time, and a connection whose request got no response is not reused.

use crate::body::read_limited;
use bytes::Bytes;
use compio::{
    net::TcpStream,
    runtime::{JoinHandle, spawn},
};
use cyclamenloft_types::{Error, ErrorKind, Result};
use cyper_core::HyperStream;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    time::Instant,
};

/// Maximum size of a response body. The largest list from a worker is smaller: with tasks of a
/// thousandth of a core each, a worker of 64 cores lists 64,000 runs of about 70 bytes each.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A complete response.
#[derive(Debug)]
pub struct FullResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// The task that reads and writes the socket. Dropping the handle closes the
    /// socket.
    _io: JoinHandle<()>,
}

/// A client for one address with a few keep-alive connections.
pub struct KeepAliveClient {
    addr: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    connection_count: Cell<u64>,
}

impl KeepAliveClient {
    /// Maximum number of idle connections that are kept. More concurrent calls are rare
    /// and short, so their connections are closed after use.
    pub const MAX_IDLE: usize = 4;

    /// Creates a client for `addr`. The first call opens the first connection.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: RefCell::default(), connection_count: Cell::new(0) }
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of connections opened since the client was created.
    #[must_use]
    pub fn connection_count(&self) -> u64 {
        self.connection_count.get()
    }

    /// Closes the idle connections.
    pub fn reset(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends `req` and reads the complete response, at most until `until`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::ConnectionRefused`] if nothing listens at the address,
    /// [`ErrorKind::NotReached`] if the server has not received the request for another reason,
    /// [`ErrorKind::ConnectionClosed`] if it may have and has closed the connection, and
    /// [`ErrorKind::PeerUnreachable`] if it may have and hasn't answered in time.
    pub async fn call(&self, mut req: Request<Bytes>, until: Instant) -> Result<FullResponse> {
        if !req.headers().contains_key(header::HOST) {
            let host = HeaderValue::from_str(&self.addr.to_string())
                .map_err(|e| Error::new(ErrorKind::Internal, format!("host header: {e}")))?;
            req.headers_mut().insert(header::HOST, host);
        }
        let mut req = req.map(Full::new);
        loop {
            let idle = self.take_idle();
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(until).await?,
            };
            let sent = connection.sender.try_send_request(req);
            let response = match compio::time::timeout_at(until, sent).await {
                Err(_) => return Err(self.no_response("timed out")),
                Ok(Ok(response)) => response,
                Ok(Err(mut e)) => match e.take_message() {
                    // The server had closed the idle connection before the request was
                    // sent, so the request is sent again.
                    Some(returned) if reused => {
                        req = returned;
                        continue;
                    }
                    Some(_) => return Err(self.not_reached("the connection closed")),
                    None => {
                        let detail = format!("{}: {}", self.addr, e.into_error());
                        return Err(Error::new(ErrorKind::ConnectionClosed, detail));
                    }
                },
            };
            let (head, body) = response.into_parts();
            let body = match compio::time::timeout_at(until, read_limited(body, MAX_RESPONSE_BYTES))
                .await
            {
                Ok(Ok(body)) => body,
                Ok(Err(e)) => return Err(self.no_response(&e.detail)),
                Err(_) => return Err(self.no_response("timed out while reading the response")),
            };
            self.keep(connection);
            return Ok(FullResponse { status: head.status, headers: head.headers, body });
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < Self::MAX_IDLE && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }

    async fn connect(&self, until: Instant) -> Result<Connection> {
        let stream = match compio::time::timeout_at(until, TcpStream::connect(self.addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                let detail = format!("connect to {}: {e}", self.addr);
                return Err(Error::new(ErrorKind::ConnectionRefused, detail));
            }
            Ok(Err(e)) => return Err(self.not_reached(&e.to_string())),
            Err(_) => return Err(self.not_reached("timed out")),
        };
        self.connection_count.set(self.connection_count.get() + 1);
        if let Err(e) = stream.set_nodelay(true) {
            tracing::debug!(addr = %self.addr, error = %e, "TCP_NODELAY not set");
        }
        let (sender, connection) = Builder::new()
            .handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|e| self.not_reached(&e.to_string()))?;
        let addr = self.addr;
        let io = spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(%addr, error = %e, "connection ended early");
            }
        });
        Ok(Connection { sender, _io: io })
    }

    fn not_reached(&self, reason: &str) -> Error {
        Error::new(ErrorKind::NotReached, format!("connect to {}: {reason}", self.addr))
    }

    fn no_response(&self, reason: &str) -> Error {
        Error::new(ErrorKind::PeerUnreachable, format!("{}: {reason}", self.addr))
    }
}
