//! Taking requests that other entry hosts hand over.

use super::marks;
use crate::{forwarder::Forwarder, gates::Readiness, handler::refused};
use cyclamenloft_http::{Handler, Request, Response, Token, error_response};
use cyclamenloft_types::{Error, ErrorKind};
use std::{net::SocketAddr, time::Instant};

/// Answers handed-over requests on the peers' listener. They go through the same
/// gates as callers' requests, and no further than to this host's targets.
pub struct HopHandler {
    forwarder: Forwarder,
    readiness: Readiness,
    token: Token,
}

impl HopHandler {
    /// A handler for peers that present `token`.
    #[must_use]
    pub fn new(forwarder: Forwarder, readiness: Readiness, token: Token) -> Self {
        Self { forwarder, readiness, token }
    }

    async fn respond(&self, req: Request, remote: SocketAddr) -> Result<Response, Error> {
        let arrived = Instant::now();
        self.token.check_in(req.headers(), &marks::HOP_TOKEN_HEADER)?;
        let (mut parts, body) = req.into_parts();
        if !self.readiness.is_ready() {
            return Err(Error::new(ErrorKind::Draining, "not ready"));
        }
        let marks = marks::read(&mut parts)?;
        // The token must not reach a target.
        marks::remove(&mut parts.headers);
        let from = remote.ip().to_string();
        let answer = self.forwarder.forward(parts, body, marks, &from, true, arrived).await;
        Ok(answer.unwrap_or_else(refused))
    }
}

impl Handler for HopHandler {
    async fn handle(&self, req: Request, remote: SocketAddr) -> Response {
        self.respond(req, remote).await.unwrap_or_else(|e| error_response(&e))
    }
}
