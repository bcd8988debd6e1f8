//! A connection to a target, which carries one request at a time. Only this
//! module hands requests to connections.

use crate::{
    failure::{LostResponse, NoConnection, NoConnectionCause, SendFailure, UnsentRequest},
    pool::Pool,
    usage::ConnectionGuard,
};
use bytes::Bytes;
use compio::{
    net::TcpStream,
    runtime::{JoinHandle, spawn},
};
use cyclamenloft_http::{Body, BoxError};
use cyper_core::HyperStream;
use http::{Request, Response, StatusCode};
use http_body::{Frame, SizeHint};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use std::{
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
};

/// Maximum bytes of a response head and of one read from a target.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// A connection that can carry a request. Dropping it closes it, even while a
/// request is in flight.
pub struct Connection {
    sender: SendRequest<Body>,
    /// The task that reads and writes the socket. Dropping the handle closes the
    /// socket.
    _io: JoinHandle<()>,
    _guard: ConnectionGuard,
}

impl Connection {
    /// Returns whether the connection can carry a request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed, so that it can't carry further requests.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection can carry a request. Returns false if it closed
    /// instead.
    pub(crate) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

/// Opens a connection, at most until `until`.
///
/// # Errors
///
/// Returns the reason why no connection was opened; a timeout is
/// [`NoConnectionCause::Deadline`].
pub(crate) async fn connect(
    addr: SocketAddr,
    guard: ConnectionGuard,
    until: Instant,
) -> Result<Connection, NoConnection> {
    let failed = |cause, what: String| NoConnection {
        cause,
        detail: format!("connect to {addr}: {what}").into(),
    };
    let stream = match compio::time::timeout_at(until, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(failed(NoConnectionCause::Connect, e.to_string())),
        Err(_) => return Err(failed(NoConnectionCause::Deadline, "timed out".into())),
    };
    let _ = stream.set_nodelay(true);
    // The default limit of hyper on the number of headers applies: any other limit
    // costs an allocation for each response.
    let (sender, connection) = Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(HyperStream::new_plain(stream))
        .await
        .map_err(|e| failed(NoConnectionCause::Connect, e.to_string()))?;
    let io = spawn(async move {
        if let Err(e) = connection.await {
            tracing::debug!(%addr, error = %e, "connection to target ended early");
        }
    });
    Ok(Connection { sender, _io: io, _guard: guard })
}

/// A connection taken from a pool for one request.
pub struct Acquired {
    pub(crate) connection: Connection,
    pub(crate) addr: SocketAddr,
    pub(crate) pool: Pool,
    /// Whether no request has used the connection yet.
    pub(crate) fresh: bool,
}

impl Acquired {
    /// Returns whether no request has used the connection yet. The target may close
    /// a used connection while it is idle, which says nothing about the health of
    /// the target.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Sends a request and waits until `deadline` for the response head. The
    /// connection returns to the pool when the response body has ended.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::Unsent`] if no byte was written and
    /// [`SendFailure::Lost`] if the target may have received the request. The
    /// connection is closed in both cases.
    pub async fn send(
        mut self,
        req: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<TargetBody>, SendFailure> {
        let response = self.connection.sender.try_send_request(req);
        match compio::time::timeout_at(deadline, response).await {
            Ok(Ok(response)) if response.status() == StatusCode::SWITCHING_PROTOCOLS => {
                Err(lost(false, "the target switched protocols without being asked to".into()))
            }
            Ok(Ok(response)) => Ok(response.map(|body| TargetBody::new(body, self))),
            Ok(Err(mut e)) => match e.take_message() {
                Some(req) => Err(SendFailure::Unsent(UnsentRequest::new(req))),
                None => Err(lost(false, error_chain(&e.into_error()))),
            },
            Err(_) => Err(lost(true, "the deadline passed before a response arrived".into())),
        }
    }
}

fn lost(timed_out: bool, detail: String) -> SendFailure {
    SendFailure::Lost(LostResponse { timed_out, detail: detail.into() })
}

/// Formats the error with the chain of its causes.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(e) = cause {
        text.push_str(": ");
        text.push_str(&e.to_string());
        cause = e.source();
    }
    text
}

/// The body of a response from a target. When the body is complete, the connection
/// returns to the pool; if the body is dropped earlier, the connection is closed.
pub struct TargetBody {
    body: Incoming,
    acquired: Option<Acquired>,
}

impl TargetBody {
    fn new(body: Incoming, acquired: Acquired) -> Self {
        let mut this = Self { body, acquired: Some(acquired) };
        this.finish_if_ended();
        this
    }

    fn finish_if_ended(&mut self) {
        if http_body::Body::is_end_stream(&self.body) {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some(Acquired { connection, addr, pool, .. }) = self.acquired.take() {
            pool.put_idle(addr, connection);
        }
    }
}

impl http_body::Body for TargetBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match polled {
            None => {
                self.finish();
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                self.finish_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => {
                // After this error, the state of the connection is unknown. Dropping it
                // closes it.
                self.acquired = None;
                Poll::Ready(Some(Err(e.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        http_body::Body::is_end_stream(&self.body)
    }

    fn size_hint(&self) -> SizeHint {
        http_body::Body::size_hint(&self.body)
    }
}
