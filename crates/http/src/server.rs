//! The HTTP server. One task accepts connections, one task serves each connection,
//! and a planned stop lets the requests in flight end.

use crate::{
    body::Body,
    budget::Budget,
    connections::{Connection, Connections},
    request::{ArrivalLimits, Origin, RequestBody},
    sending::sending,
    stall::StallLimit,
    stop::{StopHandle, StopSignal, stop_pair},
};
use compio::{net::TcpStream, runtime::spawn};
use cyclamenloft_types::{Error, ErrorKind, Result};
use cyper_core::{CompioTimer, HyperStream};
use futures_channel::mpsc;
use futures_util::{
    StreamExt,
    future::{Either, select},
    pin_mut,
};
use http::{HeaderValue, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use socket2::SockRef;
use std::{
    convert::Infallible,
    future::poll_fn,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    rc::Rc,
    task::{Poll, Waker},
    time::{Duration, Instant},
};

/// A request as passed to a handler.
pub type Request = http::Request<RequestBody>;
/// A response as returned by a handler.
pub type Response = http::Response<Body>;

/// The default header limit of hyper, with which it parses a request without an
/// allocation.
const DEFAULT_MAX_HEADERS: usize = 100;
/// The smallest buffer for reads that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// The delay after a failed accept. Without it, the loop would spin while the
/// process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles the requests of one listener.
pub trait Handler: 'static {
    /// Handles one request of the connection from `remote`.
    fn handle(&self, req: Request, remote: SocketAddr) -> impl Future<Output = Response>;
}

/// Limits on connections and their requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections for each serving thread. A further one takes the place of
    /// the one that has waited longest for its client.
    pub connections: usize,
    /// Maximum number of bytes that bodies, and what they are decoded to, take for each serving
    /// thread. Bodies that are streamed don't count.
    pub budget_bytes: usize,
    /// Size of the kernel's receive buffer of a connection, in bytes; `None` leaves it to the kernel,
    /// which may take several megabytes that nobody reads.
    pub receive_buffer: Option<usize>,
    /// Maximum time for which a body may make no progress while it is read as a whole.
    pub body_stall: Duration,
    /// Maximum time for a body to arrive that is read as a whole.
    pub body_time: Duration,
    /// Maximum number of request headers.
    pub headers: usize,
    /// Maximum bytes of a request head.
    pub head_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub head_timeout: Duration,
    /// Maximum time for which a write may make no progress because the client doesn't
    /// read the response.
    pub write_stall: Duration,
    /// Maximum time that a planned stop waits for requests in flight.
    pub drain: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            budget_bytes: 64 << 20,
            receive_buffer: None,
            body_stall: Duration::from_secs(10),
            body_time: Duration::from_secs(60),
            headers: DEFAULT_MAX_HEADERS,
            head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(10),
            write_stall: Duration::from_secs(20),
            drain: Duration::from_secs(60),
        }
    }
}

/// Serves `listener` until `stop`, then until the requests in flight have ended or
/// the drain limit has passed.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] if the listener can't be used.
pub async fn serve(
    listener: TcpListener,
    limits: Limits,
    stop: StopSignal,
    handler: Rc<impl Handler>,
) -> Result<()> {
    // Accepted connections inherit the size.
    if let Some(bytes) = limits.receive_buffer
        && let Err(e) = SockRef::from(&listener).set_recv_buffer_size(bytes)
    {
        tracing::warn!(error = %e, "size of the receive buffer not set");
    }
    let listener = compio::net::TcpListener::from_std(listener)
        .map_err(|e| Error::new(ErrorKind::BadSetting, format!("listener: {e}")))?;
    let connections = Rc::new(Connections::new(limits.connections));
    let budget = Budget::new(limits.budget_bytes);
    let (alive_tx, mut alive_rx) = mpsc::unbounded::<Infallible>();
    let (mut drain_handle, drain): (StopHandle, StopSignal) = stop_pair();
    loop {
        let accepted = {
            let accept = async {
                connections.until_room().await;
                listener.accept().await
            };
            let stopped = stop.stopped();
            pin_mut!(accept, stopped);
            match select(accept, stopped).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(((), _)) => break,
            }
        };
        let (stream, remote) = match accepted {
            Ok(pair) => pair,
            Err(e) => {
                tracing::warn!(error = %e, "accept failed");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some((id, connection)) = connections.add(Instant::now()) else {
            tracing::warn!(%remote, limit = limits.connections, "connection refused: too many");
            continue;
        };
        let arrival = ArrivalLimits { stall: limits.body_stall, total: limits.body_time };
        let origin = Rc::new(Origin { connection, budget: budget.clone(), limits: arrival });
        let (connections, handler, drain, alive) =
            (connections.clone(), handler.clone(), drain.clone(), alive_tx.clone());
        spawn(async move {
            serve_connection(stream, remote, limits, origin, &connections, drain, handler).await;
            connections.remove(id);
            drop(alive);
        })
        .detach();
    }
    drop(listener);
    drop(alive_tx);
    drain_handle.stop();
    // Each connection holds a sender, so the channel ends once all connections have
    // ended.
    if compio::time::timeout(limits.drain, alive_rx.next()).await.is_err() {
        tracing::warn!(open = connections.count(), "stopped with connections still open");
    }
    Ok(())
}

async fn serve_connection(
    stream: TcpStream,
    remote: SocketAddr,
    limits: Limits,
    origin: Rc<Origin>,
    connections: &Connections,
    drain: StopSignal,
    handler: Rc<impl Handler>,
) {
    let _ = stream.set_nodelay(true);
    let connection_state = origin.connection.clone();
    let stream = HyperStream::new_plain(stream);
    let stream = StallLimit::new(stream, limits.write_stall, connection_state.clone());
    let service = service_fn(move |req: http::Request<Incoming>| {
        let (handler, origin) = (handler.clone(), origin.clone());
        async move {
            origin.connection.begin_handling();
            let req = req.map(|body| RequestBody::new(body, origin.clone()));
            let mut response = handler.handle(req, remote).await;
            if connections.take_wanted() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            let response = response.map(|body| sending(body, origin.connection.clone()));
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(CompioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_header_size(limits.head_bytes)
        // Otherwise the buffer grows with what arrives.
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    if limits.headers != DEFAULT_MAX_HEADERS {
        // An explicit limit makes hyper allocate for each request, so the limit is set
        // only if it differs from the default.
        builder.max_headers(limits.headers);
    }
    let connection = builder.serve_connection(stream, service);
    pin_mut!(connection);
    let ended = {
        let work = until_closing(connection.as_mut(), &connection_state);
        pin_mut!(work);
        until_stopped(work, &drain).await
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            until_closing(connection, &connection_state).await
        }
    };
    match ended {
        Some(Ok(())) => {}
        Some(Err(e)) => tracing::debug!(%remote, error = %e, "connection ended early"),
        None => tracing::debug!(%remote, "connection closed in favor of others"),
    }
}

/// Runs `work` until it ends, or returns `None` when the connection is to be closed.
async fn until_closing<T>(
    mut work: Pin<&mut impl Future<Output = T>>,
    connection: &Connection,
) -> Option<T> {
    poll_fn(|cx| match connection.poll_closing(cx) {
        Poll::Ready(()) => Poll::Ready(None),
        Poll::Pending => work.as_mut().poll(cx).map(Some),
    })
    .await
}

/// Runs `work` until it ends, or returns `None` when `stop` begins. A connection is
/// polled many times for each request, so to save time the signal is polled only if its
/// flag is set or the waker has changed.
async fn until_stopped<T>(
    mut work: Pin<&mut impl Future<Output = T>>,
    stop: &StopSignal,
) -> Option<T> {
    let stopped = stop.stopped();
    pin_mut!(stopped);
    let mut registered: Option<Waker> = None;
    poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(done));
        }
        let waker_unchanged = registered.as_ref().is_some_and(|waker| waker.will_wake(cx.waker()));
        if waker_unchanged && !stop.has_begun() {
            return Poll::Pending;
        }
        registered = Some(cx.waker().clone());
        stopped.as_mut().poll(cx).map(|()| None)
    })
    .await
}
