//! Handles requests that other entry hosts hand over.

use super::headers;
use crate::{forwarder::Forwarder, gates::Readiness, handler::refusal_response};
use bytes::Bytes;
use cyclamenloft_http::{Body, BoxError, Handler, Request, Response, Token, error_response};
use cyclamenloft_types::{Error, ErrorKind};
use http_body::{Frame, SizeHint};
use std::{
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

/// Interval at which a planned stop polls the number of requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Handles handed-over requests on the listener for peers. They pass the same
/// gates as the requests of callers and reach only the targets of this host.
pub struct HopHandler {
    forwarder: Forwarder,
    readiness: Readiness,
    token: Token,
    /// Each request in flight holds a clone, so the strong count minus one is the number
    /// of requests in flight.
    in_flight: Rc<()>,
}

impl HopHandler {
    /// Creates a handler for peers that present `token`.
    #[must_use]
    pub fn new(forwarder: Forwarder, readiness: Readiness, token: Token) -> Self {
        Self { forwarder, readiness, token, in_flight: Rc::new(()) }
    }

    /// Waits until no handed-over request is in flight, for at most `limit`.
    pub async fn drained(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while Rc::strong_count(&self.in_flight) > 1 && Instant::now() < until {
            compio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    async fn respond(&self, req: Request, remote: SocketAddr) -> Result<Response, Error> {
        let arrived = Instant::now();
        let in_flight = self.in_flight.clone();
        self.token.check_in(req.headers(), &headers::HOP_TOKEN_HEADER)?;
        if !self.readiness.is_ready() {
            return Err(Error::new(ErrorKind::Draining, "not ready"));
        }
        let (mut parts, body) = req.into_parts();
        let attrs = headers::read(&mut parts)?;
        // The token must not reach a target.
        headers::remove(&mut parts.headers);
        let from = remote.ip().to_string();
        let response = self.forwarder.forward(parts, body, attrs, &from, true, arrived).await;
        let response = response.unwrap_or_else(refusal_response);
        Ok(response.map(|body| -> Body { Box::pin(InFlightBody { body, _in_flight: in_flight }) }))
    }
}

impl Handler for HopHandler {
    async fn handle(&self, req: Request, remote: SocketAddr) -> Response {
        self.respond(req, remote).await.unwrap_or_else(|e| error_response(&e))
    }
}

/// A response body that keeps its request counted as in flight until it ends.
struct InFlightBody {
    body: Body,
    _in_flight: Rc<()>,
}

impl http_body::Body for InFlightBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
