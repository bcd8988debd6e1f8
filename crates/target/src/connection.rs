//! One connection to a target, with one request at a time. This module alone
//! knows whether a request was handed over, so it alone says `not-run`.

use bytes::Bytes;
use compio::{net::TcpStream, runtime::spawn};
use cyclamenloft_http::{Body, BoxError};
use cyper_core::HyperStream;
use http::{Request, Response};
use http_body::{Frame, SizeHint};
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use std::{
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

/// A connection that can take a request.
pub struct Connection {
    sender: SendRequest<Body>,
}

impl Connection {
    /// Whether the connection can take a request now.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Why no answer came.
pub enum SendFailure {
    /// No byte of the request was written to a connection.
    NotRun {
        /// The request, where it can be sent again.
        req: Option<Box<Request<Body>>>,
        /// What failed.
        detail: Box<str>,
    },
    /// The target may have received the request.
    Unknown {
        /// What failed.
        detail: Box<str>,
    },
}

/// Makes a connection; the error is a sentence for the log.
pub(crate) async fn connect(addr: SocketAddr, timeout: Duration) -> Result<Connection, Box<str>> {
    let stream = match compio::time::timeout(timeout, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(format!("connect to {addr}: {e}").into()),
        Err(_) => return Err(format!("connect to {addr}: timed out").into()),
    };
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(HyperStream::new_plain(stream))
        .await
        .map_err(|e| format!("handshake with {addr}: {e}"))?;
    spawn(async move {
        if let Err(e) = connection.await {
            tracing::debug!(%addr, error = %e, "connection to target ended early");
        }
    })
    .detach();
    Ok(Connection { sender })
}

/// Sends a request and waits for the answer's head.
pub(crate) async fn send(
    mut connection: Connection,
    req: Request<Body>,
) -> Result<(Response<Incoming>, Connection), SendFailure> {
    match connection.sender.try_send_request(req).await {
        Ok(response) => Ok((response, connection)),
        Err(mut e) => match e.take_message() {
            Some(req) => Err(SendFailure::NotRun {
                req: Some(Box::new(req)),
                detail: "the connection was closed before the request was written".into(),
            }),
            None => Err(SendFailure::Unknown { detail: e.into_error().to_string().into() }),
        },
    }
}

type GiveBack = Box<dyn FnOnce(Connection)>;

/// The body of a target's answer. When it ends whole, its connection may be
/// used again; when it is dropped before, the connection is closed.
pub struct TargetBody {
    body: Incoming,
    connection: Option<(Connection, GiveBack)>,
}

impl TargetBody {
    pub(crate) fn new(body: Incoming, connection: Connection, give_back: GiveBack) -> Self {
        let mut whole = Self { body, connection: Some((connection, give_back)) };
        whole.finish_if_ended();
        whole
    }

    fn finish_if_ended(&mut self) {
        if http_body::Body::is_end_stream(&self.body) {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some((connection, give_back)) = self.connection.take() {
            give_back(connection);
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
                // The connection's state is unknown, so it is not used again.
                self.connection = None;
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
